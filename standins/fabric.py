"""Stand-in for the fabric: sprays single datagrams across the entries.

Each caller gets a socket of its own towards the entries, so that an entry sees a
distinct source address for each flow, as it would behind a real fabric.
"""

import asyncio
import random
from asyncio import DatagramProtocol, DatagramTransport

Address = tuple[str, int]


class Fabric:
    """Sprays the datagrams of one service address.

    Args:
        entries: Addresses of the entries.
        seed: Seed of the choice of entries.
    """

    def __init__(self, entries: list[Address], seed: int = 0) -> None:
        self.entries = list(entries)
        self._random = random.Random(seed)
        self._public: DatagramTransport | None = None
        self._flows: dict[Address, DatagramTransport] = {}
        self._waiting: dict[Address, list[bytes]] = {}
        # Share of datagrams that is lost in each direction.
        self.loss_inward = 0.0
        self.loss_outward = 0.0
        # Entries from which datagrams do not come back, for one-way cuts.
        self.muted: set[Address] = set()

    async def open(self, address: Address) -> None:
        """Open the public address."""
        loop = asyncio.get_running_loop()
        self._public, _ = await loop.create_datagram_endpoint(
            lambda: _PublicSide(self), address
        )

    def close(self) -> None:
        """Close all sockets."""
        for transport in self._flows.values():
            transport.close()
        if self._public is not None:
            self._public.close()

    def inward(self, datagram: bytes, caller: Address) -> None:
        """Pass a caller's datagram on to any entry."""
        transport = self._flows.get(caller)
        if transport is not None:
            self._spray(transport, datagram)
        elif caller in self._waiting:
            self._waiting[caller].append(datagram)
        else:
            self._waiting[caller] = [datagram]
            asyncio.get_running_loop().create_task(self._open_flow(caller))

    def outward(self, datagram: bytes, entry: Address, caller: Address) -> None:
        """Pass an entry's datagram on to the caller."""
        lost = self._random.random() < self.loss_outward or entry in self.muted
        if not lost and self._public is not None:
            self._public.sendto(datagram, caller)

    async def _open_flow(self, caller: Address) -> None:
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _EntrySide(self, caller), ("127.0.0.1", 0)
        )
        self._flows[caller] = transport
        for datagram in self._waiting.pop(caller):
            self._spray(transport, datagram)

    def _spray(self, transport: DatagramTransport, datagram: bytes) -> None:
        if self.entries and self._random.random() >= self.loss_inward:
            transport.sendto(datagram, self._random.choice(self.entries))


class _PublicSide(DatagramProtocol):
    def __init__(self, fabric: Fabric) -> None:
        self._fabric = fabric

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Pass a caller's datagram inward."""
        self._fabric.inward(data, addr)


class _EntrySide(DatagramProtocol):
    def __init__(self, fabric: Fabric, caller: Address) -> None:
        self._fabric = fabric
        self._caller = caller

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Pass an entry's datagram outward."""
        self._fabric.outward(data, addr, self._caller)

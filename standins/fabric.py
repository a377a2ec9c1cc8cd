"""Stand-in for the fabric: sends each datagram to a randomly chosen entry.

Each caller has a separate socket for its traffic to the entries, so that an entry sees
a distinct source address for each flow, as it would behind a real fabric.
"""

import asyncio
import random
from asyncio import DatagramProtocol, DatagramTransport
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

Address = tuple[str, int]

# Largest number of flows. Each flow holds a socket, and some systems allow a test
# process only 1,024 open files.
MAX_FLOWS = 512
# Largest number of datagrams that are queued for one caller while the caller's socket
# is being opened.
MAX_QUEUED_DATAGRAMS = 64


@dataclass(slots=True)
class Faults:
    """Faults of one direction. All shares are between 0 and 1.

    Attributes:
        loss: Share of datagrams that are dropped.
        duplication: Share of datagrams that are delivered twice.
        reordering: Share of datagrams that are delayed, so that others overtake them.
        delay_seconds: Delay of a reordered datagram in seconds.
    """

    loss: float = 0.0
    duplication: float = 0.0
    reordering: float = 0.0
    delay_seconds: float = 0.02


class _Link:
    """Applies each fault of one direction with a separate random number generator."""

    __slots__ = ("_duplication", "_loss", "_reordering", "faults")

    def __init__(self, name: str, seed: int) -> None:
        self.faults = Faults()
        self._loss = random.Random(f"{seed} {name} loss")
        self._duplication = random.Random(f"{seed} {name} duplication")
        self._reordering = random.Random(f"{seed} {name} reordering")

    def transmit(self, deliver: Callable[[], None]) -> None:
        """Drop, delay or duplicate a datagram according to the faults.

        Args:
            deliver: Called for each copy that is delivered.
        """
        faults = self.faults
        if self._loss.random() < faults.loss:
            return
        copies = 2 if self._duplication.random() < faults.duplication else 1
        for _ in range(copies):
            if self._reordering.random() < faults.reordering:
                loop = asyncio.get_running_loop()
                loop.call_later(faults.delay_seconds, deliver)
            else:
                deliver()


class Fabric:
    """Sprays the datagrams of one service address across the entries.

    Args:
        entries: Addresses of the entries.
        seed: Seed for the choice of entries and for all faults.
        max_flows: Maximum number of flows; a new one replaces the least recently used.
    """

    def __init__(
        self, entries: list[Address], seed: int = 0, max_flows: int = MAX_FLOWS
    ) -> None:
        self.entries = list(entries)
        # Entries that receive no datagrams, to simulate a failure of one direction.
        self.unreachable: set[Address] = set()
        # Entries whose datagrams are dropped, to simulate a failure of one direction.
        self.blocked_senders: set[Address] = set()
        self._max_flows = max_flows
        self._rng = random.Random(f"{seed} choice")
        self._inward_link = _Link("inward", seed)
        self._outward_link = _Link("outward", seed)
        self._public: DatagramTransport | None = None
        self._flows: OrderedDict[Address, DatagramTransport] = OrderedDict()
        self._queued: dict[Address, list[bytes]] = {}
        self._open_tasks: set[asyncio.Task[None]] = set()

    @property
    def inward_faults(self) -> Faults:
        """Faults on the way to the entries."""
        return self._inward_link.faults

    @property
    def outward_faults(self) -> Faults:
        """Faults on the way to the callers."""
        return self._outward_link.faults

    @property
    def loss_inward(self) -> float:
        """Share of datagrams that are dropped on the way to the entries."""
        return self._inward_link.faults.loss

    @loss_inward.setter
    def loss_inward(self, share: float) -> None:
        self._inward_link.faults.loss = share

    @property
    def loss_outward(self) -> float:
        """Share of datagrams that are dropped on the way to the callers."""
        return self._outward_link.faults.loss

    @loss_outward.setter
    def loss_outward(self, share: float) -> None:
        self._outward_link.faults.loss = share

    @property
    def flows(self) -> int:
        """Number of flows that have a socket."""
        return len(self._flows)

    async def open(self, address: Address) -> None:
        """Open a socket at the public address of the service."""
        loop = asyncio.get_running_loop()
        self._public, _ = await loop.create_datagram_endpoint(
            lambda: _PublicSide(self), address
        )

    def close(self) -> None:
        """Close all sockets."""
        for task in self._open_tasks:
            task.cancel()
        for transport in self._flows.values():
            transport.close()
        self._flows.clear()
        if self._public is not None:
            self._public.close()
            self._public = None

    def forward_to_entry(self, datagram: bytes, caller: Address) -> None:
        """Forward a caller's datagram to a randomly chosen entry."""
        transport = self._flows.get(caller)
        if transport is not None:
            self._flows.move_to_end(caller)
            self._spray(transport, datagram)
        elif caller in self._queued:
            if len(self._queued[caller]) < MAX_QUEUED_DATAGRAMS:
                self._queued[caller].append(datagram)
        elif len(self._queued) < self._max_flows:
            self._queued[caller] = [datagram]
            opening = self._open_flow(caller)
            task = asyncio.get_running_loop().create_task(opening)
            self._open_tasks.add(task)
            task.add_done_callback(self._open_tasks.discard)

    def forward_to_caller(
        self, datagram: bytes, entry: Address, caller: Address
    ) -> None:
        """Forward an entry's datagram to the caller."""
        if entry not in self.blocked_senders:
            self._outward_link.transmit(lambda: self._send_to_caller(datagram, caller))

    async def _open_flow(self, caller: Address) -> None:
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _EntrySide(self, caller), ("127.0.0.1", 0)
        )
        self._flows[caller] = transport
        if len(self._flows) > self._max_flows:
            _, oldest = self._flows.popitem(last=False)
            oldest.close()
        for datagram in self._queued.pop(caller):
            self._spray(transport, datagram)

    def _spray(self, transport: DatagramTransport, datagram: bytes) -> None:
        if not self.entries:
            return
        entry = self._rng.choice(self.entries)
        if entry not in self.unreachable:
            self._inward_link.transmit(lambda: _send(transport, datagram, entry))

    def _send_to_caller(self, datagram: bytes, caller: Address) -> None:
        if self._public is not None:
            _send(self._public, datagram, caller)


class _PublicSide(DatagramProtocol):
    def __init__(self, fabric: Fabric) -> None:
        self._fabric = fabric

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Forward a caller's datagram to an entry."""
        self._fabric.forward_to_entry(data, addr)


class _EntrySide(DatagramProtocol):
    def __init__(self, fabric: Fabric, caller: Address) -> None:
        self._fabric = fabric
        self._caller = caller

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Forward an entry's datagram to the caller."""
        self._fabric.forward_to_caller(data, addr, self._caller)


def _send(transport: DatagramTransport, datagram: bytes, to: Address) -> None:
    # The socket may have been closed while the datagram was delayed.
    if not transport.is_closing():
        transport.sendto(datagram, to)

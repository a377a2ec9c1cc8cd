"""Stand-in for the fabric: sprays single datagrams across the entries.

Each caller gets a socket of its own towards the entries, so that an entry sees a
distinct source address for each flow, as it would behind a real fabric.
"""

import asyncio
import random
from asyncio import DatagramProtocol, DatagramTransport
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

Address = tuple[str, int]

# Each flow holds a socket; a test process may open 1,024 files on some systems.
MAX_FLOWS = 512
# Datagrams of one caller that wait for its socket.
MAX_WAITING = 64


@dataclass(slots=True)
class Faults:
    """Faults of one direction. All shares are 0 to 1.

    Attributes:
        loss: Share of datagrams that is lost.
        duplication: Share of datagrams that arrives twice.
        reordering: Share of datagrams that is held back.
        delay_seconds: Time for which a datagram is held back in seconds.
    """

    loss: float = 0.0
    duplication: float = 0.0
    reordering: float = 0.0
    delay_seconds: float = 0.02


class _Link:
    """Applies the faults of one direction, each with its own random sequence."""

    __slots__ = ("_duplication", "_loss", "_reordering", "faults")

    def __init__(self, name: str, seed: int) -> None:
        self.faults = Faults()
        self._loss = random.Random(f"{seed} {name} loss")
        self._duplication = random.Random(f"{seed} {name} duplication")
        self._reordering = random.Random(f"{seed} {name} reordering")

    def carry(self, deliver: Callable[[], None]) -> None:
        """Deliver a datagram as often and as late as the faults say."""
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
    """Sprays the datagrams of one service address.

    Args:
        entries: Addresses of the entries.
        seed: Seed of the choice of entries and of all faults.
        max_flows: Largest number of flows; the one idle for longest is dropped first.
    """

    def __init__(
        self, entries: list[Address], seed: int = 0, max_flows: int = MAX_FLOWS
    ) -> None:
        self.entries = list(entries)
        # Entries to which datagrams do not pass, for one-way cuts.
        self.unreachable: set[Address] = set()
        # Entries from which datagrams do not come back, for one-way cuts.
        self.muted: set[Address] = set()
        self._max_flows = max_flows
        self._choice = random.Random(f"{seed} choice")
        self._inward = _Link("inward", seed)
        self._outward = _Link("outward", seed)
        self._public: DatagramTransport | None = None
        self._flows: OrderedDict[Address, DatagramTransport] = OrderedDict()
        self._waiting: dict[Address, list[bytes]] = {}
        self._opening: set[asyncio.Task[None]] = set()

    @property
    def inward_faults(self) -> Faults:
        """Faults on the way to the entries."""
        return self._inward.faults

    @property
    def outward_faults(self) -> Faults:
        """Faults on the way to the callers."""
        return self._outward.faults

    @property
    def loss_inward(self) -> float:
        """Share of datagrams that is lost on the way to the entries."""
        return self._inward.faults.loss

    @loss_inward.setter
    def loss_inward(self, share: float) -> None:
        self._inward.faults.loss = share

    @property
    def loss_outward(self) -> float:
        """Share of datagrams that is lost on the way to the callers."""
        return self._outward.faults.loss

    @loss_outward.setter
    def loss_outward(self, share: float) -> None:
        self._outward.faults.loss = share

    @property
    def flows(self) -> int:
        """Number of flows with a socket."""
        return len(self._flows)

    async def open(self, address: Address) -> None:
        """Open the public address."""
        loop = asyncio.get_running_loop()
        self._public, _ = await loop.create_datagram_endpoint(
            lambda: _PublicSide(self), address
        )

    def close(self) -> None:
        """Close all sockets."""
        for task in self._opening:
            task.cancel()
        for transport in self._flows.values():
            transport.close()
        self._flows.clear()
        if self._public is not None:
            self._public.close()
            self._public = None

    def inward(self, datagram: bytes, caller: Address) -> None:
        """Pass a caller's datagram on to any entry."""
        transport = self._flows.get(caller)
        if transport is not None:
            self._flows.move_to_end(caller)
            self._spray(transport, datagram)
        elif caller in self._waiting:
            if len(self._waiting[caller]) < MAX_WAITING:
                self._waiting[caller].append(datagram)
        elif len(self._waiting) < self._max_flows:
            self._waiting[caller] = [datagram]
            work = self._open_flow(caller)
            task = asyncio.get_running_loop().create_task(work)
            self._opening.add(task)
            task.add_done_callback(self._opening.discard)

    def outward(self, datagram: bytes, entry: Address, caller: Address) -> None:
        """Pass an entry's datagram on to the caller."""
        if entry not in self.muted:
            self._outward.carry(lambda: self._answer(datagram, caller))

    async def _open_flow(self, caller: Address) -> None:
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _EntrySide(self, caller), ("127.0.0.1", 0)
        )
        self._flows[caller] = transport
        if len(self._flows) > self._max_flows:
            _, oldest = self._flows.popitem(last=False)
            oldest.close()
        for datagram in self._waiting.pop(caller):
            self._spray(transport, datagram)

    def _spray(self, transport: DatagramTransport, datagram: bytes) -> None:
        if not self.entries:
            return
        entry = self._choice.choice(self.entries)
        if entry not in self.unreachable:
            self._inward.carry(lambda: _send(transport, datagram, entry))

    def _answer(self, datagram: bytes, caller: Address) -> None:
        if self._public is not None:
            _send(self._public, datagram, caller)


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


def _send(transport: DatagramTransport, datagram: bytes, to: Address) -> None:
    # A datagram that was held back may find its socket closed.
    if not transport.is_closing():
        transport.sendto(datagram, to)

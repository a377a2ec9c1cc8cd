"""Emulated network: delays, losses, cuts and machines without power."""

import asyncio
import random
from collections.abc import Sequence

from msgspec import Struct

from balsamspool.datagram.sockets import Address, DatagramSockets, OnDatagram

# The same machine, the same failure domain, another one, and a caller, one way.
LOCAL_SECONDS = 0.000_05
DOMAIN_SECONDS = 0.000_1
CROSS_SECONDS = 0.000_9
CALLER_SECONDS = 0.003
CALLERS = "callers"
# A link drops what would wait for longer.
QUEUE_SECONDS = 0.5
BITS = 8
# Headers of a datagram on a link.
HEADER_BYTES = 28


class Cut(Struct, frozen=True):
    """Datagrams of one machine that do not reach another one.

    Attributes:
        source: Address of the sender.
        destination: Address of the receiver.
    """

    source: str
    destination: str


class EmulatedSocket:
    """A socket on the emulated network.

    Args:
        network: The network.
        address: Address and port.
        on_datagram: Called with each datagram and its sender.
    """

    __slots__ = ("_address", "_network", "receive")

    def __init__(
        self, network: "Network", address: Address, on_datagram: OnDatagram
    ) -> None:
        self._network = network
        self._address = address
        self.receive = on_datagram

    def start(self) -> None:
        """Begin to read."""
        self._network.attach(self._address, self)

    def close(self) -> None:
        """Stop reading."""
        self._network.detach(self._address, self)

    def send(self, parts: Sequence[bytes | memoryview], address: Address) -> None:
        """Send one datagram that consists of parts."""
        self._network.transmit(b"".join(parts), self._address, address)


class Network:
    """Carries datagrams between machines.

    Args:
        rng: Source of randomness.
        loss: Share of datagrams between machines that are lost.
    """

    def __init__(self, rng: random.Random, loss: float = 0.0) -> None:
        self._rng = rng
        self._sockets: dict[Address, EmulatedSocket] = {}
        self._places: dict[str, str] = {}
        self.loss = loss
        self.cuts: set[Cut] = set()
        self.dark: set[str] = set()
        self.bytes_across = 0
        self.dropped_at_links = 0
        # Octets a second, and when all that waits has been sent, by machine.
        self._capacity: dict[str, float] = {}
        self._free_at: dict[str, float] = {}

    def place(self, address: str, failure_domain: str) -> None:
        """Put a machine into a failure domain."""
        self._places[address] = failure_domain

    def limit(self, address: str, megabits: float) -> None:
        """Limit the link of a machine, both ways together."""
        self._capacity[address] = megabits * 1e6 / BITS

    def attach(self, address: Address, socket: EmulatedSocket) -> None:
        """Deliver datagrams for an address to a socket."""
        self._sockets[address] = socket

    def detach(self, address: Address, socket: EmulatedSocket) -> None:
        """Deliver no more datagrams to a socket."""
        if self._sockets.get(address) is socket:
            del self._sockets[address]

    def transmit(self, data: bytes, source: Address, destination: Address) -> None:
        """Carry a datagram; it arrives later, or never."""
        here, there = source[0], destination[0]
        if here in self.dark:
            return
        if here != there and self._rng.random() < self.loss:
            return
        delay = self._delay(here, there, len(data))
        if here != there:
            for machine in (here, there):
                wait = self._wait(machine, len(data))
                if wait is None:
                    self.dropped_at_links += 1
                    return
                delay += wait
        loop = asyncio.get_running_loop()
        loop.call_later(delay, self._deliver, data, source, destination)

    def _deliver(self, data: bytes, source: Address, destination: Address) -> None:
        here, there = source[0], destination[0]
        if there in self.dark or Cut(here, there) in self.cuts:
            return
        socket = self._sockets.get(destination)
        if socket is not None:
            socket.receive(data, source)

    def _wait(self, machine: str, size: int) -> float | None:
        """Return the seconds at the link of a machine, None if the queue is full."""
        capacity = self._capacity.get(machine)
        if capacity is None:
            return 0.0
        time = asyncio.get_running_loop().time()
        begin = max(time, self._free_at.get(machine, time))
        if begin - time > QUEUE_SECONDS:
            return None
        self._free_at[machine] = begin + (size + HEADER_BYTES) / capacity
        return self._free_at[machine] - time

    def _delay(self, here: str, there: str, size: int) -> float:
        if here == there:
            return LOCAL_SECONDS
        first = self._places.get(here, CALLERS)
        second = self._places.get(there, CALLERS)
        if CALLERS in (first, second):
            return CALLER_SECONDS
        if first == second:
            return DOMAIN_SECONDS
        self.bytes_across += size
        return CROSS_SECONDS


class EmulatedSockets(DatagramSockets):
    """Opens sockets on the emulated network.

    Args:
        kernel: Kernel that runs the plug-in.
        network: The network.
    """

    def __init__(self, kernel: object, network: Network) -> None:
        super().__init__(kernel)
        self._network = network

    def open(self, address: Address, on_datagram: OnDatagram) -> EmulatedSocket:
        """Return a socket that does not read yet."""
        opened = EmulatedSocket(self._network, address, on_datagram)
        self._opened.append(opened)
        return opened

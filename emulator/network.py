"""Emulated network: delays, lost datagrams, cut paths and disconnected machines."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence

from msgspec import Struct

from balsamspool.datagram.sockets import Address, DatagramSockets, OnDatagram

# One-way delays inside a machine, inside a failure domain, between failure domains, and
# between a caller and any other machine.
LOCAL_SECONDS = 0.000_05
DOMAIN_SECONDS = 0.000_1
CROSS_SECONDS = 0.000_9
CALLER_SECONDS = 0.003
# Failure domain name used for machines without a failure domain, such as callers.
CALLERS = "callers"
# Maximum time that a datagram waits at a link for earlier datagrams to be sent. The
# link drops a datagram that would wait longer.
MAX_QUEUE_SECONDS = 0.5
BITS_PER_BYTE = 8
# Size of the headers of a datagram on a link.
HEADER_BYTES = 28


# Answers a request that arrived over a connection.
RequestHandler = Callable[[bytes], Awaitable[bytes]]


class Cut(Struct, frozen=True):
    """Path from one machine to another on which all datagrams are lost.

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
        """Start receiving."""
        self._network.attach(self._address, self)

    def close(self) -> None:
        """Stop receiving."""
        self._network.detach(self._address, self)

    def send(self, parts: Sequence[bytes | memoryview], address: Address) -> None:
        """Send one datagram that consists of parts."""
        self._network.transmit(b"".join(parts), self._address, address)


class Network:
    """Carries datagrams between machines.

    Args:
        rng: Random number generator.
        loss: Share of datagrams between machines that are lost.
    """

    def __init__(self, rng: random.Random, loss: float = 0.0) -> None:
        self._rng = rng
        self._sockets: dict[Address, EmulatedSocket] = {}
        self._failure_domains: dict[str, str] = {}
        self.loss = loss
        self.cuts: set[Cut] = set()
        self.disconnected: set[str] = set()
        self._request_handlers: dict[str, RequestHandler] = {}
        self.cross_domain_bytes = 0
        self.dropped_at_links = 0
        # By machine: rate of its link in octets per second, and the time in seconds at
        # which the link has sent all waiting datagrams.
        self._link_rates: dict[str, float] = {}
        self._link_free_at: dict[str, float] = {}

    def add_machine(self, address: str, failure_domain: str) -> None:
        """Assign a machine to a failure domain."""
        self._failure_domains[address] = failure_domain

    def limit_link(self, address: str, megabits: float) -> None:
        """Limit the rate of a machine's link, both directions together."""
        self._link_rates[address] = megabits * 1e6 / BITS_PER_BYTE

    def attach(self, address: Address, socket: EmulatedSocket) -> None:
        """Deliver datagrams for an address to a socket."""
        self._sockets[address] = socket

    def detach(self, address: Address, socket: EmulatedSocket) -> None:
        """Stop delivering datagrams to a socket."""
        if self._sockets.get(address) is socket:
            del self._sockets[address]

    def serve_requests(self, endpoint: str, handler: RequestHandler) -> None:
        """Answer requests to an endpoint, given as address and port."""
        self._request_handlers[endpoint] = handler

    def close_requests(self, endpoint: str) -> None:
        """Stop answering requests to an endpoint."""
        self._request_handlers.pop(endpoint, None)

    async def request(self, data: bytes, source: str, endpoint: str) -> bytes:
        """Send a request over a connection and return the answer.

        Raises:
            ConnectionRefusedError: If nobody answers at the endpoint.
        """
        receiver = endpoint.partition(":")[0]
        await self._carry(len(data), source, receiver)
        handler = self._request_handlers.get(endpoint)
        if handler is None:
            raise ConnectionRefusedError(endpoint)
        answer = await handler(data)
        await self._carry(len(answer), receiver, source)
        return answer

    async def _carry(self, size: int, sender: str, receiver: str) -> None:
        """Wait until octets of a connection have arrived, forever on a cut path."""
        delay = self._delay(sender, receiver, size)
        for machine in (sender, receiver):
            delay += self._link_delay(machine, size) or 0.0
        await asyncio.sleep(delay)
        cut = Cut(sender, receiver) in self.cuts
        if cut or self.disconnected & {sender, receiver}:
            await asyncio.Event().wait()

    def transmit(self, data: bytes, source: Address, destination: Address) -> None:
        """Send a datagram, which is delivered after a delay or lost."""
        sender, receiver = source[0], destination[0]
        if sender in self.disconnected:
            return
        if sender != receiver and self._rng.random() < self.loss:
            return
        delay = self._delay(sender, receiver, len(data))
        if sender != receiver:
            for machine in (sender, receiver):
                link_delay = self._link_delay(machine, len(data))
                if link_delay is None:
                    self.dropped_at_links += 1
                    return
                delay += link_delay
        loop = asyncio.get_running_loop()
        loop.call_later(delay, self._deliver, data, source, destination)

    def _deliver(self, data: bytes, source: Address, destination: Address) -> None:
        sender, receiver = source[0], destination[0]
        if receiver in self.disconnected or Cut(sender, receiver) in self.cuts:
            return
        socket = self._sockets.get(destination)
        if socket is not None:
            socket.receive(data, source)

    def _link_delay(self, machine: str, size: int) -> float | None:
        """Return the delay at a machine's link in seconds.

        Returns:
            The delay, None if the link drops the datagram.
        """
        rate = self._link_rates.get(machine)
        if rate is None:
            return 0.0
        time = asyncio.get_running_loop().time()
        begin = max(time, self._link_free_at.get(machine, time))
        if begin - time > MAX_QUEUE_SECONDS:
            return None
        self._link_free_at[machine] = begin + (size + HEADER_BYTES) / rate
        return self._link_free_at[machine] - time

    def _delay(self, sender: str, receiver: str, size: int) -> float:
        if sender == receiver:
            return LOCAL_SECONDS
        sender_domain = self._failure_domains.get(sender, CALLERS)
        receiver_domain = self._failure_domains.get(receiver, CALLERS)
        if CALLERS in (sender_domain, receiver_domain):
            return CALLER_SECONDS
        if sender_domain == receiver_domain:
            return DOMAIN_SECONDS
        self.cross_domain_bytes += size
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
        """Return a socket, which receives nothing before it is started."""
        opened = EmulatedSocket(self._network, address, on_datagram)
        self._opened.append(opened)
        return opened

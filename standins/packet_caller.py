"""Stand-in for callers of opaque flows and for the fabric that hashes their packets."""

import asyncio
import random
from collections.abc import Callable
from typing import cast

from standins.packets import ACK, FIN, RST, SYN, Endpoint, WirePacket, decode, encode

# Copies of an opening packet follow after these seconds.
COPY_SECONDS = (0.2, 0.4)
OPENING_SECONDS = 1.4
RETRANSMIT_SECONDS = 0.2

Fabric = Callable[[Endpoint, Endpoint], Endpoint]


class FlowBroken(Exception):
    """A flow could not be opened, was reset, or gave no answer in time."""


class CallerSocket(asyncio.DatagramProtocol):
    """Address of a caller; opens flows from many ports.

    The port of the packets is a field of their heads, so one socket is enough.

    Args:
        address: Address of the caller and the port at which it takes packets.
        fabric: Returns the entry for a flow.
    """

    def __init__(self, address: Endpoint, fabric: Fabric) -> None:
        self.address = address
        self.forged = 0
        self._fabric = fabric
        self._flows: dict[tuple[Endpoint, Endpoint], CallerFlow] = {}
        self._next_port = random.randrange(20_000, 30_000)
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=self.address)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def flow(self, service: Endpoint) -> "CallerFlow":
        """Return a flow to a route that is not open yet."""
        self._next_port += 1
        flow = CallerFlow(self, (self.address[0], self._next_port), service)
        self._flows[service, flow.source] = flow
        return flow

    def datagram_received(self, data: bytes, addr: Endpoint) -> None:
        """Pass a packet to its flow."""
        packet = decode(data)
        flow = self._flows.get((packet.source, packet.destination))
        own_reset = packet.flags == RST and packet.checksum == 0 and not packet.data
        if flow is None:
            return
        if not (packet.genuine or own_reset):
            self.forged += 1
            return
        flow.receive(packet)

    def send(self, packet: WirePacket) -> None:
        """Send a packet to the entry that the fabric chooses now."""
        if self._transport is not None:
            entry = self._fabric(packet.source, packet.destination)
            self._transport.sendto(encode(packet), entry)


class CallerFlow:
    """One flow of a caller.

    Args:
        socket: Socket of the caller.
        source: Address and port of the flow.
        service: Address and port of the route.
    """

    def __init__(
        self, socket: CallerSocket, source: Endpoint, service: Endpoint
    ) -> None:
        self.source = source
        self._socket = socket
        self.service = service
        self._sequence = random.getrandbits(30)
        self._peer_sequence = 0
        self._received: asyncio.Queue[WirePacket] = asyncio.Queue()

    def receive(self, packet: WirePacket) -> None:
        """Take a packet of the backend server, or a reset."""
        self._received.put_nowait(packet)

    async def open(self) -> None:
        """Open the flow.

        Raises:
            FlowBroken: If no backend server accepted it in time.
        """
        for copy, seconds in enumerate((*COPY_SECONDS, OPENING_SECONDS)):
            packet = WirePacket(SYN, self.source, self.service, self._sequence, copy)
            self._socket.send(packet)
            accepted = await self._next(SYN | ACK, seconds)
            if accepted is not None:
                self._peer_sequence = accepted.sequence + 1
                self._send(ACK, b"")
                return
        raise FlowBroken("not opened")

    async def request(self, data: bytes, deadline: float) -> bytes:
        """Send a request and return its answer.

        Args:
            data: The request; it has to differ from all others.
            deadline: Longest time until the answer in seconds.

        Raises:
            FlowBroken: If the flow is reset or time is up.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + deadline
        while loop.time() < end:
            self._send(ACK, data)
            answer = await self._next(ACK, RETRANSMIT_SECONDS, data)
            if answer is not None:
                return answer.data
        raise FlowBroken(f"no answer within {deadline} s")

    def close(self) -> None:
        """End the flow."""
        self._send(FIN | ACK, b"")

    def _send(self, flags: int, data: bytes) -> None:
        packet = WirePacket(
            flags,
            self.source,
            self.service,
            self._sequence + 1,
            self._peer_sequence,
            data,
        )
        self._socket.send(packet)

    async def _next(
        self, flags: int, seconds: float, request: bytes | None = None
    ) -> WirePacket | None:
        """Return the next packet of a kind, or None when time is up."""
        try:
            async with asyncio.timeout(seconds):
                while True:
                    packet = await self._received.get()
                    if packet.flags & RST:
                        raise FlowBroken("reset")
                    wanted = request is None or packet.data.endswith(request)
                    if packet.flags == flags and wanted:
                        return packet
        except TimeoutError:
            return None

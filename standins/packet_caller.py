"""Stand-in for callers of opaque flows."""

import asyncio
import random
from collections.abc import Callable
from typing import cast

from standins.packets import ACK, FIN, RST, SYN, Endpoint, WirePacket, decode, encode

# Delays between an opening packet and its copies, while no answer arrives.
COPY_DELAYS_SECONDS = (0.2, 0.4)
# Time to wait for an answer after the last copy of the opening packet.
OPENING_TIMEOUT_SECONDS = 1.4
RETRANSMIT_INTERVAL_SECONDS = 0.2

# Returns the entry for a flow, given its source and its destination.
ChooseEntry = Callable[[Endpoint, Endpoint], Endpoint]


class FlowBroken(Exception):
    """A flow could not be opened, was reset, or gave no answer in time."""


class CallerSocket(asyncio.DatagramProtocol):
    """Socket of a caller, which opens flows with many source ports.

    The source port is a field of each packet's header, so all flows share a socket.

    Args:
        address: Address of the caller and port at which it receives packets.
        choose_entry: Chooses the entry for each packet of a flow.
    """

    def __init__(self, address: Endpoint, choose_entry: ChooseEntry) -> None:
        self.address = address
        # Number of received packets whose checksum did not match.
        self.forged = 0
        self._choose_entry = choose_entry
        self._flows: dict[tuple[Endpoint, Endpoint], CallerFlow] = {}
        self._next_port = random.randrange(20_000, 30_000)
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=self.address)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def flow(self, service: Endpoint) -> "CallerFlow":
        """Return a new flow to a route; the flow is not open yet."""
        self._next_port += 1
        flow = CallerFlow(self, (self.address[0], self._next_port), service)
        self._flows[service, flow.source] = flow
        return flow

    def datagram_received(self, data: bytes, addr: Endpoint) -> None:
        """Pass a packet to its flow if the packet is intact or a reset."""
        packet = decode(data)
        flow = self._flows.get((packet.source, packet.destination))
        # The product cannot compute the checksum, so the resets that it creates have
        # checksum 0.
        product_reset = packet.flags == RST and packet.checksum == 0 and not packet.data
        if flow is None:
            return
        if not (packet.has_valid_checksum or product_reset):
            self.forged += 1
            return
        flow.receive(packet)

    def send(self, packet: WirePacket) -> None:
        """Send a packet to the entry that the fabric currently chooses."""
        if self._transport is not None:
            entry = self._choose_entry(packet.source, packet.destination)
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
        # Sequence numbers of the data of the latest request, and of what follows it.
        self._sequence = random.getrandbits(30)
        self._next_sequence = self._sequence + 1
        self._peer_sequence = 0
        self._received: asyncio.Queue[WirePacket] = asyncio.Queue()

    def receive(self, packet: WirePacket) -> None:
        """Queue a packet from the backend server, or a reset."""
        self._received.put_nowait(packet)

    async def open(self) -> None:
        """Open the flow.

        Raises:
            FlowBroken: If no backend server accepted it in time.
        """
        for copy, seconds in enumerate((*COPY_DELAYS_SECONDS, OPENING_TIMEOUT_SECONDS)):
            packet = WirePacket(SYN, self.source, self.service, self._sequence, copy)
            self._socket.send(packet)
            accepted = await self._next_packet(SYN | ACK, seconds)
            if accepted is not None:
                self._peer_sequence = accepted.sequence + 1
                self._send(ACK, b"")
                return
        raise FlowBroken("no backend server accepted the flow")

    async def request(self, data: bytes, deadline: float) -> bytes:
        """Send a request and return its answer.

        Args:
            data: Data of the request, which must differ from all other requests.
            deadline: Maximum time until the answer arrives, in seconds.

        Raises:
            FlowBroken: If the flow is reset or no answer arrives in time.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + deadline
        self._sequence = self._next_sequence
        self._next_sequence += len(data)
        while loop.time() < end:
            self._send(ACK, data)
            answer = await self._next_packet(ACK, RETRANSMIT_INTERVAL_SECONDS, data)
            if answer is not None:
                return answer.data
        raise FlowBroken(f"no answer within {deadline} s")

    def close(self) -> None:
        """Close the flow with a FIN packet."""
        self._send(FIN | ACK, b"")

    def _send(self, flags: int, data: bytes) -> None:
        packet = WirePacket(
            flags,
            self.source,
            self.service,
            self._sequence if data else self._next_sequence,
            self._peer_sequence,
            data,
        )
        self._socket.send(packet)

    async def _next_packet(
        self, flags: int, seconds: float, request: bytes | None = None
    ) -> WirePacket | None:
        """Return the next packet with these flags, or None if none arrives in time.

        Args:
            flags: Flags of the packet.
            seconds: Maximum wait in seconds.
            request: Data with which the packet must end, None for any data.
        """
        try:
            async with asyncio.timeout(seconds):
                while True:
                    packet = await self._received.get()
                    if packet.flags & RST:
                        raise FlowBroken("reset")
                    matches = request is None or packet.data.endswith(request)
                    if packet.flags == flags and matches:
                        return packet
        except TimeoutError:
            return None

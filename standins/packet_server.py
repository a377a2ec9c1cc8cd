"""Stand-in for a backend server that exchanges packets of opaque flows."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from time import monotonic
from typing import cast

from standins.packets import (
    ACK,
    BOUNCED,
    FIN,
    MAX_DATA_BYTES,
    RST,
    SYN,
    Endpoint,
    WirePacket,
    decode,
    encode,
)


@dataclass(slots=True)
class ServedFlow:
    """State of a flow at the backend server.

    Attributes:
        sequence: Sequence number of the backend server.
        open: Whether the caller has acknowledged the sequence number.
        executed: Data of the requests that were run; a repeated one is not run again.
    """

    sequence: int
    open: bool = False
    executed: set[bytes] = field(default_factory=set)


class PacketServer(asyncio.DatagramProtocol):
    """Runs each packet with data as a request and returns the data in its answer.

    Args:
        service: Name of the server's service.
        listen: Address and port at which the server receives packets.
        outbound: Address and port to which the server sends all its packets.
        request_seconds: Duration of each request in seconds.
        on_run: Called with the service, the caller's endpoint and the data of each
            request that is run.
    """

    def __init__(
        self,
        service: str,
        listen: Endpoint,
        outbound: Endpoint,
        request_seconds: float,
        on_run: Callable[[str, Endpoint, bytes], None],
    ) -> None:
        self.service = service
        self.listen = listen
        self.outbound = outbound
        self.accepting = True
        # Number of received packets with a wrong checksum or the flag BOUNCED.
        self.forged = 0
        # Monotonic times in seconds at which flows were accepted.
        self.openings: list[float] = []
        self._request_seconds = request_seconds
        self._on_run = on_run
        self._flows: dict[tuple[Endpoint, Endpoint], ServedFlow] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def open_flows(self) -> int:
        """Number of flows, including those that a caller has not acknowledged."""
        return len(self._flows)

    @property
    def last_opening(self) -> float:
        """Monotonic time in seconds at which the last flow was accepted, 0 for none."""
        return self.openings[-1] if self.openings else 0.0

    async def start(self) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=self.listen)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def close(self) -> None:
        """Close the socket and cancel all requests without notifying the callers."""
        if self._transport is not None:
            self._transport.close()
        for task in self._tasks:
            task.cancel()

    def holds(self, caller: Endpoint, route: Endpoint) -> bool:
        """Return whether a flow is open at this server."""
        flow = self._flows.get((caller, route))
        return flow is not None and flow.open

    def forget_flows(self) -> None:
        """Remove all flows, as a restart would."""
        self._flows.clear()

    def datagram_received(self, data: bytes, addr: Endpoint) -> None:
        """Handle a packet of a caller."""
        packet = decode(data)
        if not packet.has_valid_checksum or packet.flags & BOUNCED:
            self.forged += 1
            return
        key = (packet.source, packet.destination)
        flow = self._flows.get(key)
        if packet.flags & (SYN | ACK) == SYN:
            self._handle_opening(packet, data, flow)
        elif flow is None:
            self._return_packet(data)
        else:
            self._handle_packet(packet, key, flow)

    def _handle_opening(
        self, packet: WirePacket, data: bytes, flow: ServedFlow | None
    ) -> None:
        if flow is None:
            if not self.accepting:
                self._return_packet(data)
                return
            flow = ServedFlow(random.getrandbits(31))
            self._flows[packet.source, packet.destination] = flow
            self.openings.append(monotonic())
        self._send(packet, SYN | ACK, b"", flow.sequence)

    def _handle_packet(
        self,
        packet: WirePacket,
        key: tuple[Endpoint, Endpoint],
        flow: ServedFlow,
    ) -> None:
        if not flow.open and packet.acknowledged != flow.sequence + 1:
            # The packet acknowledges another host's answer, so the caller opened the
            # flow at that host and not here.
            del self._flows[key]
            self._return_packet(encode(packet, packet.checksum))
            return
        flow.open = True
        if packet.flags & RST:
            del self._flows[key]
        elif packet.flags & FIN:
            self._send(packet, FIN | ACK, b"", flow.sequence + 1)
            del self._flows[key]
        elif packet.data:
            task = asyncio.get_running_loop().create_task(self._run(packet, flow))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _run(self, packet: WirePacket, flow: ServedFlow) -> None:
        if packet.data not in flow.executed:
            flow.executed.add(packet.data)
            self._on_run(self.service, packet.source, packet.data)
            await asyncio.sleep(self._request_seconds)
        answer = f"{self.service}:".encode() + packet.data
        self._send(packet, ACK, answer[:MAX_DATA_BYTES], flow.sequence + 1)

    def _send(
        self, received: WirePacket, flags: int, data: bytes, sequence: int
    ) -> None:
        packet = WirePacket(
            flags,
            received.destination,
            received.source,
            sequence,
            received.sequence + 1,
            data,
        )
        self._transmit(encode(packet))

    def _return_packet(self, data: bytes) -> None:
        self._transmit(bytes((data[0] | BOUNCED,)) + data[1:])

    def _transmit(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, self.outbound)

"""Stand-in for a backend server that speaks packets of opaque flows."""

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
    """A flow that the backend server holds.

    Attributes:
        sequence: Its own sequence number.
        open: Whether the caller has acknowledged it.
        done: Identifiers of requests that were run.
    """

    sequence: int
    open: bool = False
    done: set[bytes] = field(default_factory=set)


class PacketServer(asyncio.DatagramProtocol):
    """Runs requests: each packet with data is one, and is answered with its own text.

    Args:
        service: Name of its service.
        app: Address and port at which it takes packets of its own instance.
        outbound: Address and port to which it sends all its packets.
        work: Seconds that a request takes.
        on_run: Called with service, flow and data of each request that is run.
    """

    def __init__(
        self,
        service: str,
        app: Endpoint,
        outbound: Endpoint,
        work: float,
        on_run: Callable[[str, Endpoint, bytes], None],
    ) -> None:
        self.service = service
        self.app = app
        self.outbound = outbound
        self.accepting = True
        self.forged = 0
        # Steady time of the last flow that it accepted in seconds.
        self.last_opening = 0.0
        self._work = work
        self._on_run = on_run
        self._flows: dict[tuple[Endpoint, Endpoint], ServedFlow] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def open_flows(self) -> int:
        """Flows that it holds."""
        return len(self._flows)

    async def start(self) -> None:
        """Open its socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=self.app)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def close(self) -> None:
        """Stop at once, without a word to anybody."""
        if self._transport is not None:
            self._transport.close()
        for task in self._tasks:
            task.cancel()

    def holds(self, caller: Endpoint, route: Endpoint) -> bool:
        """Return whether a flow is open here."""
        flow = self._flows.get((caller, route))
        return flow is not None and flow.open

    def forget_flows(self) -> None:
        """Lose all flows, as after a restart."""
        self._flows.clear()

    def datagram_received(self, data: bytes, addr: Endpoint) -> None:
        """Handle a packet of a caller."""
        packet = decode(data)
        if not packet.genuine or packet.flags & BOUNCED:
            self.forged += 1
            return
        key = (packet.source, packet.destination)
        flow = self._flows.get(key)
        if packet.flags & (SYN | ACK) == SYN:
            self._on_opening(packet, data, flow)
        elif flow is None:
            self._give_back(data)
        else:
            self._on_packet(packet, key, flow)

    def _on_opening(
        self, packet: WirePacket, data: bytes, flow: ServedFlow | None
    ) -> None:
        if flow is None:
            if not self.accepting:
                self._give_back(data)
                return
            flow = ServedFlow(random.getrandbits(31))
            self._flows[packet.source, packet.destination] = flow
            self.last_opening = monotonic()
        self._send(packet, SYN | ACK, b"", flow.sequence)

    def _on_packet(
        self,
        packet: WirePacket,
        key: tuple[Endpoint, Endpoint],
        flow: ServedFlow,
    ) -> None:
        if not flow.open and packet.acknowledged != flow.sequence + 1:
            # The caller opened the flow at another host.
            del self._flows[key]
            self._give_back(encode(packet, packet.checksum))
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
        if packet.data not in flow.done:
            flow.done.add(packet.data)
            self._on_run(self.service, packet.source, packet.data)
            await asyncio.sleep(self._work)
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
        self._put(encode(packet))

    def _give_back(self, data: bytes) -> None:
        self._put(bytes((data[0] | BOUNCED,)) + data[1:])

    def _put(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, self.outbound)

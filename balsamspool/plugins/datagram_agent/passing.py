"""Passes packets on to other agents, back to their entries, or resets their flows."""

import logging
import socket

from balsamspool.datagram._codec import forward_head, returned_head
from balsamspool.datagram.events import OPENING_DROPPED, OPENING_PASSED_ON
from balsamspool.datagram.messages import Forward
from balsamspool.datagram.packet import Packet, PacketCodec, address_of, flow_id
from balsamspool.datagram.sockets import BatchSocket
from balsamspool.kernel.counters import CounterSet
from balsamspool.plugins.datagram_agent.flow_watch import (
    PACKETS,
    PACKETS_HELP,
    FlowWatch,
)
from balsamspool.plugins.datagram_agent.flows import FlowTable

_logger = logging.getLogger(__name__)

# Maximum number of agents that pass on one packet.
MAX_HOPS = 16


def has_next_host(forward: Forward) -> bool:
    """Return whether a packet can be passed on to another host."""
    return bool(forward.alternatives) and forward.hops < MAX_HOPS


class PacketPasser:
    """Sends packets that the backend server of this agent does not take.

    Args:
        peer_socket: Socket for messages to agents and entries, and packets to callers.
        codec: Layout of the packets.
        flows: Flows of the backend server.
        watch: Logs what becomes of the packets.
        ports: UDP port of agents and entries, and UDP port of the callers.
        counters: Counters of the process.
    """

    __slots__ = (
        "_caller_port",
        "_codec",
        "_flows",
        "_passed_on",
        "_peer_port",
        "_peer_socket",
        "_watch",
    )

    def __init__(
        self,
        peer_socket: BatchSocket,
        codec: PacketCodec,
        flows: FlowTable,
        watch: FlowWatch,
        ports: tuple[int, int],
        counters: CounterSet,
    ) -> None:
        self._peer_socket = peer_socket
        self._codec = codec
        self._flows = flows
        self._watch = watch
        self._peer_port, self._caller_port = ports
        self._passed_on = counters.counter(PACKETS, PACKETS_HELP, "passed-on")

    def pass_on(
        self, forward: Forward, packet: Packet, reason: str = "not-held"
    ) -> None:
        """Send a packet to the next host, or back to its entry if there is none.

        Args:
            forward: How the packet arrived.
            packet: The packet.
            reason: Why the packet is passed on.
        """
        key = packet.flow_from_caller
        self._watch.on_pass(forward, packet, self._flows.get(key), reason)
        if not has_next_host(forward):
            self._return_or_drop(forward, packet, reason)
            return
        if packet.opens:
            flow = self._flows.get(key)
            if flow is not None:
                flow.passed_on = True
            OPENING_PASSED_ON.log(
                _logger,
                flow=flow_id(key),
                to=address_of(forward.alternatives[0]),
                reason=reason,
                hops=forward.hops + 1,
            )
        onward = Forward(
            forward.service,
            forward.origin,
            forward.hops + 1,
            True,
            forward.skipped,
            forward.alternatives[1:],
            forward.payload,
            forward.unsure,
        )
        self._passed_on.value += 1
        parts = [forward_head(onward), *self._codec.encode(packet, bytes(4))]
        next_agent = socket.inet_ntoa(forward.alternatives[0])
        self._peer_socket.send(parts, (next_agent, self._peer_port))

    def reset(self, packet: Packet) -> None:
        """Tell a caller that its flow is not open.

        Args:
            packet: Packet of the caller.
        """
        caller = (address_of(packet.source), self._caller_port)
        self._peer_socket.send((self._codec.reset(packet),), caller)

    def _return_or_drop(self, forward: Forward, packet: Packet, reason: str) -> None:
        if packet.opens:
            OPENING_DROPPED.log(
                _logger, flow=flow_id(packet.flow_from_caller), reason=reason
            )
            return
        self._watch.on_returned_to_entry(reason)
        head = returned_head(forward.hops + 1, forward.skipped, forward.unsure)
        parts = [head, *self._codec.encode(packet, bytes(4))]
        entry = (socket.inet_ntoa(forward.origin), self._peer_port)
        self._peer_socket.send(parts, entry)

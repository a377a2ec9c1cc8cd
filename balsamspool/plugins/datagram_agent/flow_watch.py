"""Logs what an agent sees of flows that entries search for or look for elsewhere.

The agent knows which flows its backend server holds. Its lines show whether an entry
was right to reset a flow, or to send the packets of a flow to other hosts.
"""

import logging
import socket

from msgspec import Struct

from balsamspool.datagram.events import (
    FLOW_ACCEPTED,
    FLOW_ACTIVE_AFTER_RETURN,
    FLOW_LOST,
    FLOW_NOT_HELD,
    FLOW_RESUMED,
)
from balsamspool.datagram.messages import Forward
from balsamspool.datagram.packet import Packet, address_of, flow_id
from balsamspool.kernel.clock import now
from balsamspool.kernel.counters import CounterFamily, CounterSet
from balsamspool.plugins.datagram_agent.flows import HostFlow

_logger = logging.getLogger(__name__)

PACKETS = "balsamspool_datagram_packets"
PACKETS_HELP = "Packets by what was done with them"
RETURNS = "balsamspool_datagram_returns"
RETURNS_HELP = "Packets that a backend server returned, or an agent, by reason"
# Packets that the backend server returned: of a new flow, of a flow that it held, and
# of one that it did not hold.
SERVER_OPENING = "server-opening"
SERVER_LOST_FLOW = "server-lost-flow"
SERVER_UNKNOWN_FLOW = "server-unknown-flow"
# Besides them, packets that the agent returned to an entry, by reason.
RETURN_KINDS = (
    SERVER_OPENING,
    SERVER_LOST_FLOW,
    SERVER_UNKNOWN_FLOW,
    "entry-refused",
    "entry-silent",
    "entry-other-service",
)
# Maximum number of flows that are remembered after a packet was passed on or returned.
MAX_RETURNED_FLOWS = 1_024
# Silence of a caller after which a packet from a searching entry is logged.
PAUSE_SECONDS = 1.0
# Shortest time between two lines about the same flow.
REPEAT_SECONDS = 1.0


class _ReturnedFlow(Struct):
    """A flow whose packet this agent passed on or returned.

    Attributes:
        first: Event loop time in seconds of the first such packet.
        last: Event loop time in seconds of the last such packet.
        reason: Why the last one was passed on or returned.
        logged: Event loop time in seconds of the last line about the flow.
        accepted: Whether a line says that the backend server accepted the flow later.
    """

    first: float
    last: float
    reason: str
    logged: float | None = None
    accepted: bool = False


class FlowWatch:
    """Logs and counts packets of flows that the backend server holds or does not hold.

    Args:
        counters: Counters of the process.
    """

    __slots__ = (
        "_flows",
        "_resets",
        "_returned",
        "_returns",
        "_to_entries",
    )

    def __init__(self, counters: CounterSet) -> None:
        # Ordered by the time of the last packet.
        self._flows: dict[bytes, _ReturnedFlow] = {}
        self._returned = counters.counter(PACKETS, PACKETS_HELP, "given-back")
        self._to_entries = counters.counter(PACKETS, PACKETS_HELP, "returned-to-entry")
        self._resets = counters.counter(PACKETS, PACKETS_HELP, "reset")
        self._returns = CounterFamily(counters, RETURNS, RETURNS_HELP, RETURN_KINDS)

    def on_search(self, forward: Forward, packet: Packet, flow: HostFlow) -> None:
        """Log a packet of a held flow that a searching entry sends after a pause.

        Args:
            forward: How the packet arrived.
            packet: The packet.
            flow: Its flow, as it was before the packet.
        """
        if packet.opens or not flow.held:
            return
        pause = now() - flow.last_from_caller
        if pause > PAUSE_SECONDS or flow.caller_ended or flow.server_ended:
            FLOW_RESUMED.log(
                _logger,
                flow=flow_id(packet.flow_from_caller),
                entry=address_of(forward.origin),
                seconds=round(pause, 3),
                server_seconds=_seconds_since(flow.last_from_server),
                earlier_entry=address_of(flow.origin),
                hops=forward.hops,
                caller_ended=flow.caller_ended,
                server_ended=flow.server_ended,
            )

    def on_accepted(self, key: bytes, flow: HostFlow, packet: Packet) -> None:
        """Log that the backend server accepted a flow."""
        FLOW_ACCEPTED.log(_logger, flow=flow_id(key), entry=address_of(flow.origin))
        self.on_server_packet(key, packet)

    def on_server_return(self, packet: Packet, flow: HostFlow | None) -> None:
        """Count a packet that the backend server returned.

        Args:
            packet: The packet.
            flow: Its flow, None if it is not known here.
        """
        self._returned.value += 1
        if packet.opens:
            self._returns.add(SERVER_OPENING)
        elif flow is not None and flow.held:
            self._returns.add(SERVER_LOST_FLOW)
        else:
            self._returns.add(SERVER_UNKNOWN_FLOW)

    def on_lost(self, key: bytes, flow: HostFlow) -> None:
        """Count and log a flow that the backend server held and no longer holds."""
        self._resets.value += 1
        self._record(key, "lost")
        if flow.caller_ended or flow.server_ended:
            return
        FLOW_LOST.log(
            _logger,
            flow=flow_id(key),
            entry=address_of(flow.origin),
            server_seconds=_seconds_since(flow.last_from_server),
        )

    def on_pass(
        self, forward: Forward, packet: Packet, flow: HostFlow | None, reason: str
    ) -> None:
        """Record a packet that is passed on or returned, and log an unexpected one.

        A packet is unexpected if its entry believes that this host holds the flow, or
        if an entry still searches for the flow some time after the first such packet.

        Args:
            forward: How the packet arrived.
            packet: The packet.
            flow: Its flow, None if it is not known here.
            reason: Why the packet is passed on or returned.
        """
        key = packet.flow_from_caller
        known = self._record(key, reason)
        if packet.opens:
            return
        time = known.last
        if forward.unconfirmed and time - known.first < REPEAT_SECONDS:
            return
        if known.logged is not None and time - known.logged < REPEAT_SECONDS:
            return
        known.logged = time
        FLOW_NOT_HELD.log(
            _logger,
            flow=flow_id(key),
            entry=address_of(forward.origin),
            searching=forward.unconfirmed,
            reason=reason,
            to=socket.inet_ntoa(forward.alternatives[0])
            if forward.alternatives
            else None,
            first_seconds=round(time - known.first, 3),
            passed_on=flow is not None and flow.passed_on,
            accepted=flow is not None and flow.accepted,
            last_packet_seconds=_seconds_since(flow.last_packet) if flow else None,
            server_seconds=_seconds_since(flow.last_from_server) if flow else None,
        )

    def on_returned_to_entry(self, reason: str) -> None:
        """Count a packet that no host holds and that goes back to its entry."""
        self._to_entries.value += 1
        self._returns.add(f"entry-{reason}")

    def on_server_packet(self, key: bytes, packet: Packet) -> None:
        """Log a packet that the backend server sends for a flow passed on earlier.

        It is called only for the packet that accepts a flow, for the first one after
        that, and for packets of flows that the agent does not know.

        Args:
            key: Key of the flow.
            packet: The packet.
        """
        known = self._flows.get(key) if self._flows else None
        if known is None or (packet.accepts and known.accepted):
            return
        if packet.accepts:
            known.accepted = True
        else:
            del self._flows[key]
        if packet.resets:
            # A backend server also resets a flow that opened at another host.
            return
        FLOW_ACTIVE_AFTER_RETURN.log(
            _logger,
            flow=flow_id(key),
            seconds=round(now() - known.last, 3),
            reason=known.reason,
            accepts=packet.accepts,
            length=packet.length,
        )

    def _record(self, key: bytes, reason: str) -> _ReturnedFlow:
        time = now()
        known = self._flows.pop(key, None)
        if known is None or time - known.last > PAUSE_SECONDS * 2:
            known = _ReturnedFlow(time, time, reason)
            if len(self._flows) >= MAX_RETURNED_FLOWS:
                del self._flows[next(iter(self._flows))]
        known.last, known.reason = time, reason
        self._flows[key] = known
        return known


def _seconds_since(time: float | None) -> float | None:
    return None if time is None else round(now() - time, 3)

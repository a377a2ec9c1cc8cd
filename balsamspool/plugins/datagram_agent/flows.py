"""Flows that an agent sees at its backend server."""

from collections.abc import Callable

from msgspec import Struct

from balsamspool.datagram.messages import Forward
from balsamspool.datagram.packet import Packet
from balsamspool.kernel.counters import Counter
from balsamspool.plugins.datagram_agent.work import WorkMeter

MAX_FLOWS = 65_536
# Sequence numbers are counted modulo this number.
_SEQUENCES = 1 << 32
# Time after which an entry knows that a flow is held here.
NOTICE_SECONDS = 0.05
# A request without an answer for this long no longer counts as in progress.
MAX_REQUEST_SECONDS = 10.0
# Time after which an idle flow is removed that one side has ended.
HALF_CLOSED_SECONDS = 30.0
# An ended flow is kept for this long, so that its late packets do not create a new one.
ENDED_SECONDS = 5.0
# A flow that is not accepted within this time is removed. A backend server accepts a
# flow immediately or never.
UNACCEPTED_SECONDS = 2.0


class HostFlow(Struct):
    """A flow at the agent's own backend server.

    Attributes:
        origin: Address of the entry that sent the last packet, 4 octets.
        last_packet: Event loop time of the last packet in seconds.
        last_from_caller: Event loop time of the last packet of the caller in seconds.
        last_from_server: Event loop time of the last packet of the backend server in
            seconds, None before the first.
        unconfirmed: Whether the entry has not been notified yet that this host holds
            the flow.
        opening_delivered: Whether an opening packet was sent to the backend server.
        accepted: Whether the backend server accepted the flow.
        held: Whether the backend server is known to hold the flow, because it sent more
            than its acceptance, or because the caller acknowledged its acceptance.
        located: Event loop time in seconds at which an entry was first notified that
            this host holds the flow, None before.
        passed_on: Whether the opening packet was passed on to another host.
        request_since: Event loop time in seconds at which the request in progress
            began, None without a request.
        server_sequence: Sequence number of the backend server's acceptance, None before
            it.
        data_end: Sequence number after the latest data of the caller, None before any.
        caller_ended: Whether the caller has ended its side.
        server_ended: Whether the backend server has ended its side.
        ended: Whether both sides have ended the flow, so that it is not counted.
    """

    origin: bytes
    last_packet: float
    last_from_caller: float = 0.0
    last_from_server: float | None = None
    unconfirmed: bool = False
    opening_delivered: bool = False
    accepted: bool = False
    held: bool = False
    located: float | None = None
    passed_on: bool = False
    request_since: float | None = None
    server_sequence: int | None = None
    data_end: int | None = None
    caller_ended: bool = False
    server_ended: bool = False
    ended: bool = False


def is_surely_held(flow: HostFlow, packet: Packet) -> bool:
    """Return whether the agent's backend server surely holds the flow of a packet.

    A caller acknowledges the sequence number of the backend server whose acceptance
    opened the flow, so a packet shows at which of several hosts the flow is open.

    Args:
        flow: The flow.
        packet: Packet of the caller.
    """
    if flow.caller_ended or flow.server_ended:
        return False
    if flow.held:
        return True
    accepted = flow.server_sequence
    if accepted is None:
        return False
    return (packet.acknowledged - accepted) % _SEQUENCES in (0, 1)


def is_searched_for(flow: HostFlow, forward: Forward, time: float) -> bool:
    """Return whether an entry searches for a flow by a packet.

    Copies of the packet reach other hosts then, so one has to reach the backend server
    of the flow soon.

    Args:
        flow: The flow.
        forward: How the packet arrived.
        time: Event loop time in seconds.
    """
    if forward.hops > 0:
        return True
    located = flow.located
    # A packet that was under way when the entry was notified is no search.
    return (
        forward.unconfirmed and located is not None and time - located > NOTICE_SECONDS
    )


class FlowTable:
    """Flows of one backend server, and their requests in progress.

    Args:
        meter: Counts the requests in progress.
        flow_life: Longest life of a flow in seconds. A caller may pause for almost as
            long.
        started: Event loop time in seconds at which the agent started.
        evicted: Counts the flows that were removed for lack of space.
        on_request_end: Called with the key of a flow whose request has ended, and
            whether the backend server answered it.
    """

    __slots__ = (
        "_ended_count",
        "_evicted",
        "_flow_life",
        "_flows",
        "_incomplete_at",
        "_meter",
        "_on_request_end",
    )

    def __init__(
        self,
        meter: WorkMeter,
        flow_life: float,
        started: float,
        evicted: Counter,
        on_request_end: Callable[[bytes, bool], None],
    ) -> None:
        self._flow_life = flow_life
        self._evicted = evicted
        # Event loop time in seconds at which a flow was last not in the table.
        self._incomplete_at = started
        self._flows: dict[bytes, HostFlow] = {}
        self._meter = meter
        self._on_request_end = on_request_end
        self._ended_count = 0

    def __len__(self) -> int:
        """Return the number of flows that have not ended."""
        return len(self._flows) - self._ended_count

    def is_complete(self, time: float) -> bool:
        """Return whether the table has each open flow of the backend server.

        It lacks flows from before the start and flows that were removed for lack of
        space, until they have reached the longest life of a flow.

        Args:
            time: Event loop time in seconds.
        """
        return time - self._incomplete_at >= self._flow_life

    def get(self, key: bytes) -> HostFlow | None:
        """Return the flow with a key, or None."""
        return self._flows.get(key)

    def get_or_create(self, key: bytes, origin: bytes, time: float) -> HostFlow:
        """Return the flow with a key, and create it if it is not known.

        Args:
            key: Key of the flow.
            origin: Address of the entry that sent the packet, 4 octets.
            time: Event loop time in seconds.
        """
        flow = self._flows.get(key)
        if flow is None:
            if len(self._flows) >= MAX_FLOWS:
                self._evict_oldest(time)
            flow = self._flows[key] = HostFlow(origin, time)
        return flow

    def record_data(self, flow: HostFlow, packet: Packet, time: float) -> bool:
        """Record data of a caller: a request is in progress until data is sent back.

        Returns:
            Whether a request begins. A copy of data that was sent before begins none.
        """
        end = (packet.sequence + packet.length) % _SEQUENCES
        known = flow.data_end
        if known is not None and not 0 < (end - known) % _SEQUENCES < _SEQUENCES // 2:
            return False
        flow.data_end = end
        if flow.request_since is not None:
            return False
        flow.request_since = time
        self._meter.begin(time)
        return True

    def record_answer(
        self, key: bytes, flow: HostFlow, time: float, answered: bool = True
    ) -> float | None:
        """Record data of the backend server, which ends the request in progress.

        Args:
            key: Key of the flow.
            flow: The flow.
            time: Event loop time in seconds.
            answered: Whether the request was answered, and not given up.

        Returns:
            Seconds for which the request was in progress, None without a request.
        """
        if flow.request_since is None:
            return None
        seconds = time - flow.request_since
        flow.request_since = None
        self._meter.end(time)
        self._on_request_end(key, answered)
        return seconds

    def end_if_closed(self, key: bytes, flow: HostFlow, time: float) -> None:
        """Stop counting a flow and its request if both sides have ended the flow."""
        if flow.caller_ended and flow.server_ended and not flow.ended:
            flow.ended = True
            self._ended_count += 1
            self.record_answer(key, flow, time, answered=False)

    def remove(self, key: bytes, time: float) -> None:
        """Remove a flow and its request in progress."""
        flow = self._flows.pop(key, None)
        if flow is None:
            return
        self._ended_count -= flow.ended
        self.record_answer(key, flow, time, answered=False)

    def expire(self, time: float) -> None:
        """Remove idle flows, and requests that have waited too long for an answer."""
        idle = [
            key
            for key, flow in self._flows.items()
            if time - flow.last_packet > self._longest_idle(flow)
        ]
        for key in idle:
            self.remove(key, time)
        for key, flow in self._flows.items():
            since = flow.request_since
            if since is not None and time - since > MAX_REQUEST_SECONDS:
                self.record_answer(key, flow, time, answered=False)

    def _longest_idle(self, flow: HostFlow) -> float:
        if flow.ended:
            return ENDED_SECONDS
        if not flow.accepted:
            return UNACCEPTED_SECONDS
        if flow.caller_ended or flow.server_ended:
            return min(HALF_CLOSED_SECONDS, self._flow_life)
        return self._flow_life

    def _evict_oldest(self, time: float) -> None:
        self._evicted.value += 1
        self._incomplete_at = time
        oldest = next(iter(self._flows))
        flow = self._flows[oldest]
        self.remove(oldest, flow.last_packet)

"""Flows that an agent sees at its backend server."""

from msgspec import Struct

from balsamspool.plugins.datagram_agent.work import WorkMeter

MAX_FLOWS = 65_536
# A request without an answer for so long is not counted as work any more.
MAX_WORK_SECONDS = 10.0
# Longer than a caller keeps an idle flow open.
IDLE_SECONDS = 30.0
# Late packets of an ended flow must not be taken for a new one.
ENDED_SECONDS = 5.0
# A backend server accepts a flow at once or never.
UNACCEPTED_SECONDS = 2.0


class HostFlow(Struct):
    """A flow at the agent's own backend server.

    Attributes:
        origin: Address of the entry that sent the last packet, 4 octets.
        seen: Event loop time of the last packet in seconds.
        unconfirmed: Whether the entry still has to be told who holds the flow.
        accepted: Whether the backend server accepted it.
        held: Whether the backend server sent more than its acceptance.
        passed_on: Whether its opening packet was passed on to another host.
        working_since: Event loop time in seconds at which the request in work began,
            None without one.
        caller_ended: Whether the caller has ended its side.
        server_ended: Whether the backend server has ended its side.
        ended: Whether it counts as ended.
    """

    origin: bytes
    seen: float
    unconfirmed: bool = False
    accepted: bool = False
    held: bool = False
    passed_on: bool = False
    working_since: float | None = None
    caller_ended: bool = False
    server_ended: bool = False
    ended: bool = False


class FlowTable:
    """Flows of one backend server, and the work that they cause.

    Args:
        meter: Counts the requests in work.
    """

    __slots__ = ("_ended", "_flows", "_meter")

    def __init__(self, meter: WorkMeter) -> None:
        self._flows: dict[bytes, HostFlow] = {}
        self._meter = meter
        self._ended = 0

    def __len__(self) -> int:
        """Return the number of flows that have not ended."""
        return len(self._flows) - self._ended

    def get(self, key: bytes) -> HostFlow | None:
        """Return the flow with a key, or None."""
        return self._flows.get(key)

    def ensure(self, key: bytes, origin: bytes, time: float) -> HostFlow:
        """Return the flow with a key; create it if it is not known.

        Args:
            key: Key of the flow.
            origin: Address of the entry that sent the packet, 4 octets.
            time: Event loop time in seconds.
        """
        flow = self._flows.get(key)
        if flow is None:
            if len(self._flows) >= MAX_FLOWS:
                self._remove_oldest()
            flow = self._flows[key] = HostFlow(origin, time)
        return flow

    def note_request(self, flow: HostFlow, time: float) -> None:
        """Count data of a caller: a request is in work until data comes back."""
        if flow.working_since is None:
            flow.working_since = time
            self._meter.begin(time)

    def note_answer(self, flow: HostFlow, time: float) -> float | None:
        """Count data of the backend server.

        Returns:
            Seconds for which the request was in work, None if there was none.
        """
        if flow.working_since is None:
            return None
        seconds = time - flow.working_since
        flow.working_since = None
        self._meter.end(time)
        return seconds

    def end_if_closed(self, flow: HostFlow, time: float) -> None:
        """Stop counting a flow and its work if both sides have ended it."""
        if flow.caller_ended and flow.server_ended and not flow.ended:
            flow.ended = True
            self._ended += 1
            self.note_answer(flow, time)

    def remove(self, key: bytes, time: float) -> None:
        """Forget a flow."""
        flow = self._flows.pop(key, None)
        if flow is None:
            return
        self._ended -= flow.ended
        self.note_answer(flow, time)

    def expire(self, time: float) -> None:
        """Forget flows without packets and requests without an answer."""
        idle = [k for k, f in self._flows.items() if time - f.seen > _lifetime(f)]
        for key in idle:
            self.remove(key, time)
        for flow in self._flows.values():
            since = flow.working_since
            if since is not None and time - since > MAX_WORK_SECONDS:
                self.note_answer(flow, time)

    def _remove_oldest(self) -> None:
        oldest = next(iter(self._flows))
        flow = self._flows[oldest]
        self.remove(oldest, flow.seen)


def _lifetime(flow: HostFlow) -> float:
    if flow.ended:
        return ENDED_SECONDS
    return IDLE_SECONDS if flow.accepted else UNACCEPTED_SECONDS

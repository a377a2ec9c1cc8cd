"""What an agent does with openings while its backend server warms up."""

import logging

from msgspec import Struct

from balsamspool.datagram.events import (
    BACKEND_SERVER_COLD,
    FLOW_REJECTED,
    OPENINGS_KEPT_OUT,
)
from balsamspool.datagram.packet import Packet, flow_id
from balsamspool.kernel.counters import CounterFamily, CounterSet
from balsamspool.kernel.recent import RecentCache
from balsamspool.placement.slow_start import (
    Admitted,
    Cold,
    KeptOut,
    OpeningLimit,
    Warm,
)
from balsamspool.plugins.datagram_agent.flows import HostFlow
from balsamspool.scheduling.terms import ServerTerms

_logger = logging.getLogger(__name__)

# Reason in log lines and messages of what happens because of the limit.
WARMING_UP = "warming-up"
# Copies of an opening that was kept out are kept out for this time. A caller gives up
# opening a flow within 1.4 s.
KEPT_OUT_SECONDS = 2.0
# Maximum number of such openings in each of the two generations.
MAX_KEPT_OUT = 1_024
# Shortest time between two lines on openings that were kept out.
LINE_SECONDS = 1.0

COLD_OPENINGS = "balsamspool_datagram_cold_openings"
COLD_OPENINGS_HELP = (
    "Openings at a backend server that warms up and has a limit, by what was done"
)
COLD_OPENING_KINDS = ("admitted", "passed-on", "refused", "dropped")


class Deliver(Struct, frozen=True):
    """The opening goes to the backend server."""


class PassOn(Struct, frozen=True):
    """The opening goes to the next host."""


class Refuse(Struct, frozen=True):
    """No host is left, and the caller is told at once that the flow is not open."""


class Drop(Struct, frozen=True):
    """No host is left for a copy, whose opening may be open at another host."""


Handling = Deliver | PassOn | Refuse | Drop

_DELIVER, _PASS_ON, _REFUSE, _DROP = Deliver(), PassOn(), Refuse(), Drop()


class OpeningAdmission:
    """Keeps the openings at one backend server within its limit while it warms up.

    Args:
        limit: Decides which openings the backend server takes.
        counters: Counters of the process.
    """

    __slots__ = ("_handled", "_kept_out", "_limit", "_line_time", "_since_line")

    def __init__(self, limit: OpeningLimit, counters: CounterSet) -> None:
        self._limit = limit
        self._handled = CounterFamily(
            counters, COLD_OPENINGS, COLD_OPENINGS_HELP, COLD_OPENING_KINDS
        )
        # Event loop time in seconds at which an opening was kept out, by key of the
        # flow.
        self._kept_out: RecentCache[float] = RecentCache(MAX_KEPT_OUT)
        self._line_time: float | None = None
        # Number of openings that were kept out after the last line.
        self._since_line = 0

    def learn(self, terms: ServerTerms, time: float) -> None:
        """Record what an entry told of the backend server.

        Args:
            terms: Terms of the backend server.
            time: Event loop time in seconds.
        """
        before = self._limit.state(time)
        self._limit.learn(terms, time)
        match before, self._limit.state(time):
            case Warm(), Cold(bound=bound):
                BACKEND_SERVER_COLD.log(
                    _logger,
                    seconds=round(terms.warmup, 3),
                    flows_per_second=terms.flows_per_second,
                    limit=bound,
                )

    def status(self, time: float) -> dict[str, object]:
        """Return the seconds left of the warm-up and the limit for one second.

        Args:
            time: Event loop time in seconds.
        """
        match self._limit.state(time):
            case Warm():
                return {"warmup_seconds_left": 0.0, "opening_limit": None}
            case Cold(until=until, bound=bound):
                left = round(until - time, 3)
                return {"warmup_seconds_left": left, "opening_limit": bound}

    def judge(
        self, packet: Packet, flow: HostFlow | None, has_next: bool, time: float
    ) -> Handling:
        """Decide what happens to an opening, and count it if it is delivered.

        Args:
            packet: The opening or a copy of it.
            flow: Its flow, None if it is not known here.
            has_next: Whether the opening can be passed on to another host.
            time: Event loop time in seconds.
        """
        if flow is not None and (flow.opening_delivered or flow.accepted):
            return _DELIVER
        key = packet.flow_from_caller
        if packet.attempt and self._was_kept_out(key, time):
            return self._keep_out(packet, has_next, time)
        match self._limit.decide(time):
            case Admitted(cold=cold):
                if cold:
                    self._handled.add("admitted")
                return _DELIVER
            case KeptOut() as decision:
                self._log_kept_out(decision, time)
                return self._keep_out(packet, has_next, time)

    def _was_kept_out(self, key: bytes, time: float) -> bool:
        kept_out = self._kept_out.get(key)
        return kept_out is not None and time - kept_out < KEPT_OUT_SECONDS

    def _keep_out(self, packet: Packet, has_next: bool, time: float) -> Handling:
        self._kept_out.put(packet.flow_from_caller, time)
        if has_next:
            self._handled.add("passed-on")
            return _PASS_ON
        if packet.attempt:
            self._handled.add("dropped")
            return _DROP
        self._handled.add("refused")
        FLOW_REJECTED.log(
            _logger, flow=flow_id(packet.flow_from_caller), reason=WARMING_UP
        )
        return _REFUSE

    def _log_kept_out(self, decision: KeptOut, time: float) -> None:
        self._since_line += 1
        if self._line_time is not None and time - self._line_time < LINE_SECONDS:
            return
        OPENINGS_KEPT_OUT.log(
            _logger,
            openings=self._since_line,
            limit=decision.bound,
            recent=decision.recent,
        )
        self._line_time = time
        self._since_line = 0

"""Limits the new flows that a backend server takes while it warms up.

Two rules apply. In any second, the backend server takes at most
``flows_per_second * excess + slack`` openings. Within that, a token bucket admits what
the backend server bears, ``flows_per_second``, in short bursts.
"""

import math
from collections import deque

from msgspec import Struct

from balsamspool.scheduling.terms import ServerTerms

# Length of the sliding window. It exceeds the second of the rule, because openings are
# counted when they are sent to the backend server and arrive there a little later.
WINDOW_SECONDS = 1.05
# A limit that has just started does not know which openings an earlier process admitted
# within the window, so it admits none to a cold backend server for this time.
UNKNOWN_SECONDS = WINDOW_SECONDS
# Maximum number of openings that are counted, and therefore the highest limit.
MAX_OPENINGS = 4_096
# A burst may be as large as the openings that are borne in this time.
BURST_SECONDS = 0.2
# Tolerance for sums of fractions of a token.
_ROUNDING = 1e-9


class Warm(Struct, frozen=True):
    """The backend server does not warm up, or has no limit."""


class Cold(Struct, frozen=True):
    """The backend server warms up and bears a limited number of openings.

    Attributes:
        until: Event loop time in seconds at which the warm-up ends.
        bound: Highest number of openings in one window.
        rate: Openings a second that are admitted over a longer time.
        burst: Number of openings that are admitted at once after a pause.
    """

    until: float
    bound: int
    rate: float
    burst: float


ServerState = Warm | Cold


class Admitted(Struct, frozen=True):
    """The backend server takes an opening.

    Attributes:
        cold: Whether it warms up, so that the opening counts towards its limit.
    """

    cold: bool


class KeptOut(Struct, frozen=True):
    """The backend server does not take an opening.

    Attributes:
        bound: Highest number of openings in one window.
        recent: Number of openings within the last window.
    """

    bound: int
    recent: int


Decision = Admitted | KeptOut

_WARM = Warm()
_ADMITTED_WARM = Admitted(cold=False)
_ADMITTED_COLD = Admitted(cold=True)


class OpeningLimit:
    """Decides which openings a backend server takes.

    Args:
        excess: Factor by which the openings in one second may exceed the number that
            the backend server bears.
        slack: Number of openings in one second by which they may exceed it besides.
        started: Event loop time in seconds from which on all openings are counted.
    """

    __slots__ = (
        "_excess",
        "_refilled",
        "_slack",
        "_started",
        "_state",
        "_times",
        "_tokens",
    )

    def __init__(self, excess: float, slack: float, started: float) -> None:
        self._excess = excess
        self._slack = slack
        self._started = started
        self._state: ServerState = _WARM
        # Event loop times in seconds of the openings within the window.
        self._times: deque[float] = deque(maxlen=MAX_OPENINGS)
        self._tokens = 0.0
        self._refilled = started

    def state(self, time: float) -> ServerState:
        """Return what is known of the backend server.

        Args:
            time: Event loop time in seconds.
        """
        match self._state:
            case Cold(until=until) if time >= until:
                self._state = _WARM
        return self._state

    def learn(self, terms: ServerTerms, time: float) -> None:
        """Replace what is known of the backend server.

        Args:
            terms: Terms of the backend server.
            time: Event loop time in seconds.
        """
        before = self.state(time)
        self._state = self._judge(terms, time)
        match before, self._state:
            case Warm(), Cold(burst=burst):
                self._forget_old(time)
                self._tokens = max(0.0, burst - len(self._times))
                self._refilled = time
            case Cold(), Cold():
                self._refill(before, time)

    def decide(self, time: float) -> Decision:
        """Decide whether the backend server takes an opening, and count it if so.

        Args:
            time: Event loop time in seconds.
        """
        match self.state(time):
            case Warm():
                self._count(time)
                return _ADMITTED_WARM
            case Cold() as cold:
                return self._decide_cold(cold, time)

    def _judge(self, terms: ServerTerms, time: float) -> ServerState:
        rate = terms.flows_per_second
        if terms.warmup <= 0 or rate <= 0:
            return _WARM
        bound = math.floor(min(rate * self._excess + self._slack, MAX_OPENINGS))
        burst = max(1.0, self._slack, rate * BURST_SECONDS)
        return Cold(time + terms.warmup, bound, min(rate, bound), burst)

    def _decide_cold(self, cold: Cold, time: float) -> Decision:
        self._forget_old(time)
        self._refill(cold, time)
        recent = len(self._times)
        known = time - self._started >= UNKNOWN_SECONDS
        if not known or recent >= cold.bound or self._tokens < 1.0 - _ROUNDING:
            return KeptOut(cold.bound, recent)
        self._tokens -= 1.0
        self._times.append(time)
        return _ADMITTED_COLD

    def _refill(self, cold: Cold, time: float) -> None:
        added = (time - self._refilled) * cold.rate
        self._tokens = min(cold.burst, self._tokens + added)
        self._refilled = time

    def _count(self, time: float) -> None:
        self._forget_old(time)
        self._times.append(time)

    def _forget_old(self, time: float) -> None:
        times = self._times
        while times and time - times[0] >= WINDOW_SECONDS:
            times.popleft()

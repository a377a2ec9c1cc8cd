"""How long the requests of each route take at one backend server."""

from collections import OrderedDict, deque
from statistics import median
from typing import TypeVar

from msgspec import Struct, field

Value = TypeVar("Value")

# Maximum number of routes whose times are kept; the one used longest ago is forgotten.
MAX_ROUTES = 64
# Expected time of a request if none was recorded at the backend server.
DEFAULT_SECONDS = 0.04
# Number of requests of a route over which its times are forgotten.
WINDOW_REQUESTS = 32
# Number of requests over which the share of each route is forgotten.
MIX_REQUESTS = 64
# Age at which a time is forgotten even if few requests follow. A host that was slow
# gets few new flows, so it could not show otherwise that it has recovered.
FORGET_SECONDS = 10.0
# A request that takes less than this share of the median was probably not run: a
# backend server refuses a request, or fails, in no time.
QUICK_SHARE = 0.2
# Requests of a route before quick ones are told apart, so that one long request at the
# start does not make all others look quick.
MIN_REQUESTS = 8
# After so many quick requests in a row, the backend server itself has become faster.
MAX_QUICK_IN_A_ROW = 32
# Longer requests count as this multiple of the median, so that a few long requests do
# not make a backend server look slow.
LONG_SHARE = 3.0
# Longest expected rest of a request, as a multiple of its expected time. The answer of
# a request that has run for longer may be lost.
MAX_REMAINING_SHARE = 8.0


class _Times(Struct):
    """Recorded times of one route.

    Attributes:
        recent: Event loop time in seconds and time of the latest requests in seconds.
        expected: Expected time in seconds.
        median: Median of the times in ``recent``.
        quick: Number of quick requests since the last other one.
    """

    recent: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=WINDOW_REQUESTS)
    )
    expected: float = 0.0
    median: float = 0.0
    quick: int = 0

    def record(self, seconds: float, time: float) -> None:
        """Record a request that took some seconds, at a time of the event loop."""
        _forget(self.recent, time)
        if len(self.recent) >= MIN_REQUESTS and seconds < QUICK_SHARE * self.median:
            self.quick += 1
            if self.quick < MAX_QUICK_IN_A_ROW:
                return
            self.recent.clear()
        self.quick = 0
        self.recent.append((time, seconds))
        found = [seconds for _, seconds in self.recent]
        self.median = median(found)
        longest = LONG_SHARE * self.median
        self.expected = sum(min(s, longest) for s in found) / len(found)


class ServiceTimes:
    """Learns the time of requests by route, from the start to the first answer."""

    __slots__ = ("_mix", "_routes")

    def __init__(self) -> None:
        self._routes: OrderedDict[bytes, _Times] = OrderedDict()
        # Event loop time in seconds and route of the latest requests.
        self._mix: deque[tuple[float, bytes]] = deque(maxlen=MIX_REQUESTS)

    def mean(self, time: float) -> float:
        """Return the expected time of a request of the recent mix of routes.

        Args:
            time: Event loop time in seconds.

        Returns:
            The time in seconds, 0 if no request was answered lately.
        """
        _forget(self._mix, time)
        if not self._mix:
            return 0.0
        return sum(self.expected(route) for _, route in self._mix) / len(self._mix)

    def observe(self, endpoint: bytes, seconds: float, time: float) -> None:
        """Record a request that was answered.

        Args:
            endpoint: Address and port of its route, 6 octets.
            seconds: Time that it took in seconds. A time of 0 is ignored, because the
                clock stood still.
            time: Event loop time in seconds.
        """
        if seconds <= 0:
            return
        times = self._routes.get(endpoint)
        if times is None:
            if len(self._routes) >= MAX_ROUTES:
                self._routes.popitem(last=False)
            times = self._routes[endpoint] = _Times()
        self._routes.move_to_end(endpoint)
        times.record(seconds, time)
        self._mix.append((time, endpoint))

    def expected(self, endpoint: bytes) -> float:
        """Return the expected time of a request in seconds.

        A request of an unknown route is expected to take as long as one of the route of
        the last answer.

        Args:
            endpoint: Address and port of its route, 6 octets.
        """
        times = self._routes.get(endpoint)
        if times is not None:
            return times.expected
        if self._routes:
            return next(reversed(self._routes.values())).expected
        return DEFAULT_SECONDS

    def remaining(self, endpoint: bytes, age: float) -> float:
        """Return the expected time that a running request still takes in seconds.

        A request that has run for longer than expected is probably a long one, and as
        likely to run for the same time again as to end immediately.

        Args:
            endpoint: Address and port of its route, 6 octets.
            age: Seconds for which it has run.
        """
        expected = self.expected(endpoint)
        if age > expected:
            return min(age, MAX_REMAINING_SHARE * expected)
        return max(expected - age, expected / 2)

    def by_route(self) -> dict[bytes, float]:
        """Return the expected time of each known route in seconds."""
        return {endpoint: times.expected for endpoint, times in self._routes.items()}


def _forget(recent: deque[tuple[float, Value]], time: float) -> None:
    """Remove what was recorded too long ago."""
    while recent and time - recent[0][0] > FORGET_SECONDS:
        recent.popleft()

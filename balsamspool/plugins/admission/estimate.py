"""Expected duration of requests, learnt for each route."""

from collections import OrderedDict, deque
from statistics import median

from balsamspool.kernel.clock import now

MAX_ROUTES = 256
MAX_SAMPLES = 31
# The recorded durations of a route are discarded if none was added for this long.
LIFETIME_SECONDS = 300.0
# Expected duration of a request whose route has no recorded durations.
DEFAULT_SECONDS = 0.05
# A route is long if its median duration is at least this many times the shortest
# median of the other routes.
LONG_RATIO = 8.0
# Shortest median duration of a long route. A wait behind shorter requests is not
# noticeable.
MIN_LONG_SECONDS = 0.25


class _History:
    """Latest durations of one route and their median."""

    __slots__ = ("durations", "median", "updated")

    def __init__(self) -> None:
        self.durations: deque[float] = deque(maxlen=MAX_SAMPLES)
        self.median = 0.0
        self.updated = 0.0

    def add(self, seconds: float) -> None:
        if now() - self.updated > LIFETIME_SECONDS:
            self.durations.clear()
        self.durations.append(seconds)
        # Unlike the mean, the median is not distorted by one stuck request.
        self.median = median(self.durations)
        self.updated = now()


class Estimator:
    """Estimates the duration of requests from recent ones of the same route."""

    __slots__ = ("_routes",)

    def __init__(self) -> None:
        self._routes: OrderedDict[str, _History] = OrderedDict()

    def expected(self, route: str) -> float:
        """Return the expected duration of a request in seconds."""
        history = self._current_history(route)
        return history.median if history else DEFAULT_SECONDS

    def is_long(self, route: str) -> bool:
        """Return whether requests of a route take much longer than on other routes."""
        history = self._current_history(route)
        if history is None or history.median < MIN_LONG_SECONDS:
            return False
        others = [self._current_history(name) for name in self._routes if name != route]
        shortest = min((h.median for h in others if h), default=history.median)
        return history.median >= LONG_RATIO * shortest

    def observe(self, route: str, seconds: float) -> None:
        """Record the duration of a request that was answered completely."""
        history = self._routes.setdefault(route, _History())
        self._routes.move_to_end(route)
        history.add(seconds)
        if len(self._routes) > MAX_ROUTES:
            self._routes.popitem(last=False)

    def observe_interrupted(self, route: str, seconds: float) -> None:
        """Record the time after which a request was interrupted.

        The whole request would have taken longer, so a time below the estimate is
        ignored.
        """
        if seconds > self.expected(route):
            self.observe(route, seconds)

    def _current_history(self, route: str) -> _History | None:
        history = self._routes.get(route)
        if history is None or now() - history.updated > LIFETIME_SECONDS:
            return None
        return history

"""Expected duration of requests, learnt for each route."""

from collections import OrderedDict, deque
from statistics import median

from balsamspool.kernel.clock import now

ROUTES = 256
SAMPLES = 31
LIFETIME_SECONDS = 300.0
DEFAULT_SECONDS = 0.05
# A route is long when it takes this many times the typical duration of the others.
LONG_RATIO = 8.0
# Below this duration nobody notices a wait behind a long request.
LONG_FLOOR_SECONDS = 0.25


class _History:
    """Latest durations of one route with their median."""

    __slots__ = ("durations", "median", "updated")

    def __init__(self) -> None:
        self.durations: deque[float] = deque(maxlen=SAMPLES)
        self.median = 0.0
        self.updated = 0.0

    def add(self, seconds: float) -> None:
        if now() - self.updated > LIFETIME_SECONDS:
            self.durations.clear()
        self.durations.append(seconds)
        # The median keeps one stuck request from changing the estimate.
        self.median = median(self.durations)
        self.updated = now()


class Estimator:
    """Learns durations from what was observed and forgets what is old."""

    __slots__ = ("_routes",)

    def __init__(self) -> None:
        self._routes: OrderedDict[str, _History] = OrderedDict()

    def expected(self, route: str) -> float:
        """Return the expected duration of a request in seconds."""
        history = self._known(route)
        return history.median if history else DEFAULT_SECONDS

    def is_long(self, route: str) -> bool:
        """Return whether requests of a route take much longer than the others."""
        history = self._known(route)
        if history is None or history.median < LONG_FLOOR_SECONDS:
            return False
        others = [self._known(name) for name in self._routes if name != route]
        shortest = min((h.median for h in others if h), default=history.median)
        return history.median >= LONG_RATIO * shortest

    def observe(self, route: str, seconds: float) -> None:
        """Record the duration of a request that ended by itself."""
        history = self._routes.setdefault(route, _History())
        self._routes.move_to_end(route)
        history.add(seconds)
        if len(self._routes) > ROUTES:
            self._routes.popitem(last=False)

    def observe_cut(self, route: str, seconds: float) -> None:
        """Record that a request would have taken at least this long."""
        if seconds > self.expected(route):
            self.observe(route, seconds)

    def _known(self, route: str) -> _History | None:
        history = self._routes.get(route)
        if history is None or now() - history.updated > LIFETIME_SECONDS:
            return None
        return history

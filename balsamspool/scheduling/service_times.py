"""How long the requests of each route take at one backend server."""

from collections import OrderedDict

from msgspec import Struct

# Maximum number of routes whose times are kept; the one used longest ago is forgotten.
MAX_ROUTES = 64
# Expected time of a request whose route has no recorded times.
DEFAULT_SECONDS = 0.04
# Number of requests over which the mean forgets.
MEAN_REQUESTS = 32
# A request that takes less than this share of the mean was probably not run: a backend
# server refuses a request, or fails, in no time.
QUICK_SHARE = 0.2


class _Times(Struct):
    """Recorded times of one route.

    Attributes:
        count: Number of requests, up to ``MEAN_REQUESTS``.
        mean: Mean time in seconds.
    """

    count: int = 0
    mean: float = 0.0


class ServiceTimes:
    """Learns the mean time of requests by route, from the start to the first answer."""

    __slots__ = ("_routes",)

    def __init__(self) -> None:
        self._routes: OrderedDict[bytes, _Times] = OrderedDict()

    def observe(self, endpoint: bytes, seconds: float) -> None:
        """Record a request that was answered.

        Args:
            endpoint: Address and port of its route, 6 octets.
            seconds: Time that it took in seconds.
        """
        times = self._routes.get(endpoint)
        if times is None:
            if len(self._routes) >= MAX_ROUTES:
                self._routes.popitem(last=False)
            times = self._routes[endpoint] = _Times()
        self._routes.move_to_end(endpoint)
        if times.count and seconds < QUICK_SHARE * times.mean:
            return
        times.count = min(times.count + 1, MEAN_REQUESTS)
        times.mean += (seconds - times.mean) / times.count

    def expected(self, endpoint: bytes) -> float:
        """Return the expected time of a request in seconds.

        Args:
            endpoint: Address and port of its route, 6 octets.
        """
        times = self._routes.get(endpoint)
        return times.mean if times is not None else DEFAULT_SECONDS

    def remaining(self, endpoint: bytes, age: float) -> float:
        """Return the expected time that a running request still takes in seconds.

        A request that has run for longer than expected is probably a long one, and as
        likely to run for the same time again as to end immediately.

        Args:
            endpoint: Address and port of its route, 6 octets.
            age: Seconds for which it has run.
        """
        expected = self.expected(endpoint)
        return max(expected - age, expected / 2, age if age > expected else 0.0)

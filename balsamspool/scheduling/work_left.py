"""Expected work of the requests that one backend server has not answered yet."""

from collections import Counter

from msgspec import Struct

from balsamspool.scheduling.service_times import ServiceTimes

# A request without an answer for this many times its expected time no longer counts as
# one that occupies a slot, because the backend server may never answer it.
OVERDUE_FACTOR = 4.0
MIN_OVERDUE_SECONDS = 0.1


class _Request(Struct):
    """A request that was sent to the backend server.

    Attributes:
        endpoint: Address and port of its route, 6 octets.
        since: Event loop time in seconds at which it got a slot, or at which it began
            if it has none yet.
    """

    endpoint: bytes
    since: float


class WorkLeft:
    """Requests of one backend server, and the time that they still take.

    The backend server is assumed to run its requests in the order in which they began,
    as many at a time as it has slots. The time of a request counts from when it got a
    slot, so that a loaded backend server does not look slow. A server that runs them in
    another order is measured correctly on average, because its busy time is shared out
    among the same requests.
    """

    __slots__ = ("_running", "_slots", "_times", "_waiting", "_waiting_by_route")

    def __init__(self) -> None:
        self._slots = 1
        self._times = ServiceTimes()
        self._running: dict[bytes, _Request] = {}
        # Requests that wait for a slot, in the order of their beginning.
        self._waiting: dict[bytes, _Request] = {}
        self._waiting_by_route: Counter[bytes] = Counter()

    @property
    def slots(self) -> int:
        """Number of requests that run at the same time."""
        return self._slots

    @property
    def times(self) -> ServiceTimes:
        """Learned times of requests."""
        return self._times

    def set_slots(self, slots: int, time: float) -> None:
        """Set the number of requests that run at the same time.

        Args:
            slots: The number, 1 or more.
            time: Event loop time in seconds.
        """
        self._slots = max(1, slots)
        self._fill_slots(time)

    def begin(self, key: bytes, endpoint: bytes, time: float) -> None:
        """Record a request that is sent to the backend server.

        Args:
            key: Key of the request, unique among those that have not ended.
            endpoint: Address and port of its route, 6 octets.
            time: Event loop time in seconds.
        """
        if key in self._running or key in self._waiting:
            return
        self._waiting[key] = _Request(endpoint, time)
        self._waiting_by_route[endpoint] += 1
        self._fill_slots(time)

    def end(self, key: bytes, time: float, answered: bool = True) -> None:
        """Record the end of a request; an unknown one is ignored.

        Args:
            key: Key of the request.
            time: Event loop time in seconds.
            answered: Whether the backend server answered it, so that its time counts.
        """
        running = self._running.pop(key, None)
        if running is None:
            self._stop_waiting(key)
            return
        if answered:
            self._times.observe(running.endpoint, time - running.since, time)
        self._fill_slots(time)

    def occupied(self, time: float) -> int:
        """Return the number of requests that occupy a slot or wait for one.

        Overdue requests do not count. If all running requests are overdue, they may
        never end, so the time of those that wait for their slots counts from then on.

        Args:
            time: Event loop time in seconds.
        """
        overdue = [self._overdue_at(r, r.since) for r in self._running.values()]
        running = sum(1 for at in overdue if time <= at)
        if running or not overdue:
            return running + len(self._waiting)
        stalled = max(overdue)
        return sum(
            1
            for request in self._waiting.values()
            if time <= self._overdue_at(request, max(request.since, stalled))
        )

    def seconds(self, time: float) -> float:
        """Return the work left for each slot in seconds.

        Args:
            time: Event loop time in seconds.
        """
        running = sum(
            self._times.remaining(request.endpoint, max(0.0, time - request.since))
            for request in self._running.values()
        )
        waiting = sum(
            count * self._times.expected(endpoint)
            for endpoint, count in self._waiting_by_route.items()
        )
        return (running + waiting) / self._slots

    def status(self, time: float) -> dict[str, object]:
        """Return the work left and the learned times for the status page."""
        return {
            "work_left": round(self.seconds(time), 4),
            "service_time": round(self._times.mean(time), 4),
            "service_times": {
                endpoint.hex(): round(seconds, 4)
                for endpoint, seconds in self._times.by_route().items()
            },
        }

    def _overdue_at(self, request: _Request, since: float) -> float:
        """Return the time at which a request is overdue that could run since a time."""
        limit = OVERDUE_FACTOR * self._times.expected(request.endpoint)
        return since + max(MIN_OVERDUE_SECONDS, limit)

    def _fill_slots(self, time: float) -> None:
        while self._waiting and len(self._running) < self._slots:
            key = next(iter(self._waiting))
            self._running[key] = _Request(self._stop_waiting(key), time)

    def _stop_waiting(self, key: bytes) -> bytes:
        """Remove a waiting request and return its route, empty if it is unknown."""
        request = self._waiting.pop(key, None)
        if request is None:
            return b""
        endpoint = request.endpoint
        if self._waiting_by_route[endpoint] > 1:
            self._waiting_by_route[endpoint] -= 1
        else:
            del self._waiting_by_route[endpoint]
        return endpoint

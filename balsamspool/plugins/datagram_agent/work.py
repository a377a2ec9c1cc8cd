"""Measures the work of a backend server by the packets that pass."""

import math

# Time constant of the mean. A few service times, so that it tells open flows from
# single requests, and short against the swing of demand.
MEAN_SECONDS = 1.5


class WorkMeter:
    """Counts requests in work and their mean over the last seconds.

    Args:
        time: Event loop time in seconds.
    """

    __slots__ = ("_in_work", "_mean", "_updated")

    def __init__(self, time: float) -> None:
        self._in_work = 0
        self._mean = 0.0
        self._updated = time

    @property
    def in_work(self) -> int:
        """Requests in work."""
        return self._in_work

    def begin(self, time: float) -> None:
        """Count a request that begins."""
        self._advance(time)
        self._in_work += 1

    def end(self, time: float) -> None:
        """Count a request that ends."""
        self._advance(time)
        self._in_work = max(0, self._in_work - 1)

    def mean(self, time: float) -> float:
        """Return the mean number of requests in work."""
        self._advance(time)
        return self._mean

    def _advance(self, time: float) -> None:
        passed = time - self._updated
        if passed > 0:
            share = 1.0 - math.exp(-passed / MEAN_SECONDS)
            self._mean += (self._in_work - self._mean) * share
            self._updated = time

"""Measures the requests in progress at a backend server."""

import math

# Time constant of the mean. It covers a few service times, so that the mean reflects
# the open flows and not single requests, and is short compared with changes in demand.
MEAN_SECONDS = 1.5


class WorkMeter:
    """Counts the requests in progress and their mean over the last seconds.

    Args:
        time: Event loop time in seconds.
    """

    __slots__ = ("_in_progress", "_mean", "_updated")

    def __init__(self, time: float) -> None:
        self._in_progress = 0
        self._mean = 0.0
        self._updated = time

    @property
    def in_progress(self) -> int:
        """Number of requests in progress."""
        return self._in_progress

    def begin(self, time: float) -> None:
        """Count a request that begins."""
        self._advance(time)
        self._in_progress += 1

    def end(self, time: float) -> None:
        """Count a request that ends."""
        self._advance(time)
        self._in_progress = max(0, self._in_progress - 1)

    def mean(self, time: float) -> float:
        """Return the mean number of requests in progress."""
        self._advance(time)
        return self._mean

    def _advance(self, time: float) -> None:
        elapsed = time - self._updated
        if elapsed > 0:
            weight = 1.0 - math.exp(-elapsed / MEAN_SECONDS)
            self._mean += (self._in_progress - self._mean) * weight
            self._updated = time

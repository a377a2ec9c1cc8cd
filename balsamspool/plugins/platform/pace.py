"""Delays that keep a fleet of readers below the platform's limit."""

import random

from balsamspool.kernel.clock import now

# The platform allows about 2,000 calls a second; the rest is room for chance.
CALLS_PER_SECOND = 1_600.0
# Each process watches the configuration and the instance list.
VALUES = 2


class Pace:
    """Spreads the calls of all processes over time without any coordination.

    Every process draws its delays from a window in which the whole fleet can call once
    for each value. So the rate stays bounded when all processes call for the same
    reason at the same moment.

    Args:
        readers: Processes that read the platform.
        rng: Source of randomness.
    """

    __slots__ = ("_rng", "readers")

    def __init__(self, readers: int, rng: random.Random) -> None:
        self.readers = readers
        self._rng = rng

    @property
    def window(self) -> float:
        """Seconds in which the whole fleet can call once for each value."""
        return self.readers * VALUES / CALLS_PER_SECOND

    def spread(self) -> float:
        """Return a delay after an event that the whole fleet sees at once."""
        return self._rng.uniform(0.0, self.window)

    def next_call(self, last_call: float) -> float:
        """Return the delay before the next call.

        No process calls twice within a window for one value; otherwise the calls of a
        start and those that follow the first answers would add up to twice the rate.
        Peers pass on a change that this delays.

        Args:
            last_call: Event loop time of the last call in seconds.
        """
        return max(0.0, last_call + self.window - now()) + self.spread()

    def wait(self, longest: float) -> float:
        """Return how long a watch waits, so that watches do not end together.

        Args:
            longest: Longest wait in seconds.
        """
        return longest * self._rng.uniform(0.7, 1.0)

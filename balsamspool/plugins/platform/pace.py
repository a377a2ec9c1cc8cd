"""Delays that keep a fleet of readers below the platform's limit."""

import random

from balsamspool.kernel.clock import now

# Call rate that all processes together should not exceed. The platform allows about
# 2,000 calls per second; the margin absorbs random peaks.
CALLS_PER_SECOND = 1_600.0
# Number of values that each process watches: the configuration and the instance list.
VALUES_PER_PROCESS = 2


class Pace:
    """Spreads the calls of all processes over time without any coordination.

    Every process draws its delays at random from a window in which the whole fleet can
    call once for each value. This bounds the call rate when all processes react to the
    same event.

    Args:
        readers: Number of processes that read the platform.
        rng: Random number generator.
    """

    __slots__ = ("_rng", "readers")

    def __init__(self, readers: int, rng: random.Random) -> None:
        self.readers = readers
        self._rng = rng

    @property
    def window(self) -> float:
        """Seconds in which the whole fleet can call once for each value."""
        return self.readers * VALUES_PER_PROCESS / CALLS_PER_SECOND

    def spread_delay(self) -> float:
        """Return a random delay after an event that reaches all processes together."""
        return self._rng.uniform(0.0, self.window)

    def next_call_delay(self, last_call: float) -> float:
        """Return the delay before the next call.

        No process calls twice for one value within a window. Otherwise the first calls
        after a start and the calls after their answers would add up to twice the
        permitted rate. Peers pass on a change that is delayed here.

        Args:
            last_call: Event loop time of the last call in seconds.
        """
        return max(0.0, last_call + self.window - now()) + self.spread_delay()

    def watch_wait(self, longest: float) -> float:
        """Return the wait of a watch, randomized so that watches do not end together.

        Args:
            longest: Longest wait in seconds.
        """
        return longest * self._rng.uniform(0.7, 1.0)

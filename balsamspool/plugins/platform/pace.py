"""Delays that keep a fleet of readers below the platform's limit."""

import random

from balsamspool.kernel.clock import now

# Call rate that all processes together should not exceed. The platform allows about
# 2,000 calls per second; the margin absorbs random peaks.
CALLS_PER_SECOND = 1_600.0
# Call rate that all processes together may use while nothing changes.
IDLE_CALLS_PER_SECOND = 400.0
# Wait of a watch that recovers from a lost answer in time: within the 8 s after which a
# change must be in force, the call times out 3 s after its wait, is repeated after up
# to 0.5 s, and is answered.
RECOVERING_WAIT_SECONDS = 4.0
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

        A process does not notice a lost answer before the end of its wait. A large
        fleet cannot call often enough; there the calls are spread so far that a short
        silence reaches a few processes only, and their peers pass a change on.

        Args:
            longest: Longest wait in seconds.
        """
        affordable = self.readers * VALUES_PER_PROCESS / IDLE_CALLS_PER_SECOND
        wait = min(longest, max(RECOVERING_WAIT_SECONDS, affordable))
        return wait * self._rng.uniform(0.7, 1.0)

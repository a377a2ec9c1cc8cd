"""Time of the event loop.

All intervals and deadlines use the event loop's clock, so that a test can pause it and
advance it. Wall-clock time appears only in logs.
"""

import asyncio
import time


def now() -> float:
    """Return the event loop's time in seconds."""
    return asyncio.get_running_loop().time()


def suspended_seconds() -> float:
    """Return how many seconds the machine has been suspended since it booted.

    The event loop's clock does not advance while the machine is suspended.
    """
    boot = time.clock_gettime(time.CLOCK_BOOTTIME)
    return boot - time.clock_gettime(time.CLOCK_MONOTONIC)


def processor_seconds() -> float:
    """Return the processor time that this process has used in seconds.

    It also advances within one turn of the event loop.
    """
    return time.process_time()


class Deadline:
    """A point in time by which something must be done.

    Args:
        at: Event loop time in seconds.
    """

    __slots__ = ("_at",)

    def __init__(self, at: float) -> None:
        self._at = at

    @property
    def at(self) -> float:
        """Event loop time in seconds."""
        return self._at

    @property
    def remaining(self) -> float:
        """Seconds left, at least 0."""
        return max(0.0, self._at - now())

    @property
    def expired(self) -> bool:
        """Whether the deadline has passed."""
        return now() >= self._at

    @classmethod
    def after(cls, seconds: float) -> "Deadline":
        """Return a deadline this many seconds from now."""
        return cls(now() + seconds)

"""Retry with jitter and a budget."""

import random

from balsamspool.kernel.clock import now


class Backoff:
    """Exponential backoff with jitter.

    Args:
        first: Upper bound of the first delay in seconds.
        limit: Upper bound of every delay in seconds.
        rng: Random number generator.
    """

    __slots__ = ("_attempts", "_first", "_limit", "_rng")

    def __init__(
        self, first: float, limit: float, rng: random.Random | None = None
    ) -> None:
        self._first = first
        self._limit = limit
        self._rng = rng or random.Random()
        self._attempts = 0

    def next_delay(self) -> float:
        """Return the next delay in seconds."""
        bound = min(self._limit, self._first * 2**self._attempts)
        # The maximum of 30 bounds the exponent: 2**30 times any first delay exceeds all
        # limits in use.
        self._attempts = min(self._attempts + 1, 30)
        # The lower bound prevents a retry immediately after a failure.
        return self._rng.uniform(bound / 4, bound)

    def reset(self) -> None:
        """Start again with the first delay after a success."""
        self._attempts = 0


class RetryBudget:
    """Limits retries to a share of first attempts.

    Each first attempt earns ``ratio`` of a retry. ``reserve`` retries a second are
    always allowed, so that a process with few requests can retry too.

    Args:
        ratio: Retries earned by each first attempt.
        reserve: Retries a second that are allowed without first attempts.
        burst: Largest number of unused retries that are kept for later.
    """

    __slots__ = ("_balance", "_burst", "_ratio", "_reserve", "_updated")

    def __init__(
        self, ratio: float = 0.1, reserve: float = 1.0, burst: float = 10.0
    ) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._burst = burst
        self._balance = burst
        self._updated: float | None = None

    def record_attempt(self) -> None:
        """Count a first attempt."""
        self._balance = min(self._burst, self._balance + self._ratio)

    def try_spend(self) -> bool:
        """Spend one retry of the budget, if any is left.

        Returns:
            Whether the retry is allowed.
        """
        time = now()
        if self._updated is not None:
            earned = (time - self._updated) * self._reserve
            self._balance = min(self._burst, self._balance + earned)
        self._updated = time
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True

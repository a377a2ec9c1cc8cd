"""Judges a backend server by what the agent itself observes of it."""

from collections import deque
from enum import Enum

from balsamspool.kernel.backoff import Backoff
from balsamspool.kernel.clock import now

REFUSED_LIMIT = 3
FAILURE_SAMPLES = 20
FAILURE_MINIMUM = 10
FAILURE_SHARE = 0.5
TRIAL_SUCCESSES = 3
# A success this recent is worth more than a report that contradicts it.
RECENT_SECONDS = 5.0
FIRST_BYTE_WEIGHT = 0.1


class Standing(Enum):
    """Whether a backend server gets requests."""

    HEALTHY = "healthy"
    SUSPENDED = "suspended"
    TRIAL = "trial"


class OutlierJudge:
    """Suspends a backend server that fails and takes it back by trial.

    Args:
        backoff: Time between a suspension and the next trial.
    """

    __slots__ = (
        "_backoff",
        "_failures",
        "_last_success",
        "_refused",
        "_reports",
        "_standing",
        "_successes",
        "_until",
        "first_byte_seconds",
    )

    def __init__(self, backoff: Backoff | None = None) -> None:
        self._backoff = backoff or Backoff(2.0, 30.0)
        self._standing = Standing.HEALTHY
        self._failures: deque[bool] = deque(maxlen=FAILURE_SAMPLES)
        self._refused = 0
        self._reports = 0
        self._successes = 0
        self._until = 0.0
        self._last_success: float | None = None
        self.first_byte_seconds = 0.0

    @property
    def standing(self) -> Standing:
        """Whether the backend server gets requests."""
        return self._standing

    def record_first_byte(self, seconds: float) -> None:
        """Record the time from a dispatch to the head of its answer."""
        difference = seconds - self.first_byte_seconds
        self.first_byte_seconds += FIRST_BYTE_WEIGHT * difference

    def record_success(self) -> None:
        """Record a whole answer."""
        self._last_success = now()
        self._refused = self._reports = 0
        self._failures.append(False)
        if self._standing is Standing.TRIAL:
            self._successes += 1
            if self._successes >= TRIAL_SUCCESSES:
                self._standing = Standing.HEALTHY
                self._backoff.reset()

    def record_refused(self) -> None:
        """Record that no connection could be opened."""
        self._refused += 1
        if self._standing is Standing.TRIAL or self._refused >= REFUSED_LIMIT:
            self._suspend()

    def record_failure(self) -> None:
        """Record that a connection failed or an answer was cut or late."""
        self._failures.append(True)
        share = sum(self._failures) / len(self._failures)
        many = len(self._failures) >= FAILURE_MINIMUM and share > FAILURE_SHARE
        if self._standing is Standing.TRIAL or many:
            self._suspend()

    def record_report(self, healthy: bool) -> bool:
        """Record what the backend server says of itself.

        Args:
            healthy: Whether it answered that it is well.

        Returns:
            Whether a trial begins with this report.
        """
        if healthy:
            self._reports = 0
            if self._standing is Standing.SUSPENDED and now() >= self._until:
                self._begin_trial()
                return True
            return False
        self._reports += 1
        recent = self._last_success
        contradicted = recent is not None and now() - recent < RECENT_SECONDS
        if self._reports >= REFUSED_LIMIT and not contradicted:
            self._suspend()
        return False

    def _begin_trial(self) -> None:
        self._standing = Standing.TRIAL
        self._successes = self._refused = 0
        self._failures.clear()

    def _suspend(self) -> None:
        if self._standing is not Standing.SUSPENDED:
            self._until = now() + self._backoff.next_delay()
        self._standing = Standing.SUSPENDED

"""Outlier detection: stops sending requests to a backend server that fails."""

from collections import deque
from enum import Enum

from balsamspool.kernel.backoff import Backoff
from balsamspool.kernel.clock import now

# The backend server is suspended after this many failed connection attempts, or this
# many unhealthy reports, without a success between them.
CONSECUTIVE_FAILURE_LIMIT = 3
MAX_FAILURE_SAMPLES = 20
MIN_FAILURE_SAMPLES = 10
# The backend server is suspended if more than this share of its latest requests failed.
MAX_FAILURE_SHARE = 0.5
TRIAL_SUCCESSES = 3
# Unhealthy reports may be wrong. They do not suspend a backend server that completed an
# answer to a request less than this long ago.
RECENT_SUCCESS_SECONDS = 5.0
FIRST_BYTE_WEIGHT = 0.1


class HealthState(Enum):
    """Whether a backend server gets requests."""

    HEALTHY = "healthy"
    SUSPENDED = "suspended"
    TRIAL = "trial"


class OutlierDetector:
    """Suspends a backend server that fails, and admits it again after a trial.

    Args:
        backoff: Time between a suspension and the next trial.

    Attributes:
        first_byte_seconds: Moving average of the time from a dispatch to the head of
            its answer.
    """

    __slots__ = (
        "_backoff",
        "_failed_connects",
        "_failures",
        "_last_success",
        "_state",
        "_suspended_until",
        "_trial_successes",
        "_unhealthy_reports",
        "first_byte_seconds",
    )

    def __init__(self, backoff: Backoff | None = None) -> None:
        self._backoff = backoff or Backoff(2.0, 30.0)
        self._state = HealthState.HEALTHY
        self._failures: deque[bool] = deque(maxlen=MAX_FAILURE_SAMPLES)
        self._failed_connects = 0
        self._unhealthy_reports = 0
        self._trial_successes = 0
        self._suspended_until = 0.0
        self._last_success: float | None = None
        self.first_byte_seconds = 0.0

    @property
    def state(self) -> HealthState:
        """Whether the backend server gets requests."""
        return self._state

    def record_first_byte(self, seconds: float) -> None:
        """Record the time from a dispatch to the head of its answer."""
        difference = seconds - self.first_byte_seconds
        self.first_byte_seconds += FIRST_BYTE_WEIGHT * difference

    def record_success(self) -> None:
        """Record that a request got a complete answer."""
        self._last_success = now()
        self._failed_connects = self._unhealthy_reports = 0
        self._failures.append(False)
        if self._state is HealthState.TRIAL:
            self._trial_successes += 1
            if self._trial_successes >= TRIAL_SUCCESSES:
                self._state = HealthState.HEALTHY
                self._backoff.reset()

    def record_failed_connect(self) -> None:
        """Record that no connection could be opened."""
        self._failed_connects += 1
        if (
            self._state is HealthState.TRIAL
            or self._failed_connects >= CONSECUTIVE_FAILURE_LIMIT
        ):
            self._suspend()

    def record_failure(self) -> None:
        """Record that a request failed or timed out on an open connection."""
        self._failures.append(True)
        failure_share = sum(self._failures) / len(self._failures)
        too_many_failed = (
            len(self._failures) >= MIN_FAILURE_SAMPLES
            and failure_share > MAX_FAILURE_SHARE
        )
        if self._state is HealthState.TRIAL or too_many_failed:
            self._suspend()

    def record_report(self, healthy: bool) -> bool:
        """Record the health that the backend server reports.

        Args:
            healthy: Whether it reports that it is healthy.

        Returns:
            Whether a trial begins with this report.
        """
        if healthy:
            self._unhealthy_reports = 0
            if self._state is HealthState.SUSPENDED and now() >= self._suspended_until:
                self._begin_trial()
                return True
            return False
        self._unhealthy_reports += 1
        last_success = self._last_success
        contradicted = (
            last_success is not None and now() - last_success < RECENT_SUCCESS_SECONDS
        )
        if self._unhealthy_reports >= CONSECUTIVE_FAILURE_LIMIT and not contradicted:
            self._suspend()
        return False

    def _begin_trial(self) -> None:
        self._state = HealthState.TRIAL
        self._trial_successes = self._failed_connects = 0
        self._failures.clear()

    def _suspend(self) -> None:
        if self._state is not HealthState.SUSPENDED:
            self._suspended_until = now() + self._backoff.next_delay()
        self._state = HealthState.SUSPENDED

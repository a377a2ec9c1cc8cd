"""Requests that wait for a slot."""

from asyncio import Future
from bisect import insort
from collections.abc import Iterator
from dataclasses import dataclass, field

from balsamspool.kernel.clock import now
from balsamspool.kernel.errors import ResultCode
from balsamspool.plugins.admission.slots import Slot

# Requests that arrive later may overtake a queued request only for a limited time, so
# that long requests do not starve. The limit is the lower of two times. The first is
# the expected duration of the queued request, multiplied by OVERTAKE_DURATION_RATIO.
# The second is the time until its latest start, multiplied by OVERTAKE_SLACK_SHARE.
# With a ratio of 4, the p99 of short requests was more than 1.5 times as high when the
# services records and studio were overloaded.
OVERTAKE_DURATION_RATIO = 1.0
OVERTAKE_SLACK_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Job:
    """Properties of a request that admission needs.

    Attributes:
        route: Name under which durations are recorded.
        deadline: Event loop time by which the answer must be complete.
        expected: Expected duration in seconds.
        long: Whether the request counts as long.
        relayed: Whether a peer relayed the request; it must not be relayed again.
    """

    route: str
    deadline: float
    expected: float
    long: bool
    relayed: bool = False

    @property
    def latest_start(self) -> float:
        """Event loop time after which the deadline cannot be met."""
        return self.deadline - self.expected


@dataclass(slots=True, eq=False)
class Waiter:
    """A request in the queue.

    Attributes:
        job: The request.
        order: Event loop time by which the queue is ordered.
        outcome: Receives the slot, or the reason for which the request was shed.
    """

    job: Job
    order: float
    outcome: Future[Slot | ResultCode] = field(repr=False)


class AdmissionQueue:
    """Keeps waiting requests in the order in which they get slots."""

    __slots__ = ("_waiters",)

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []

    def __len__(self) -> int:
        return len(self._waiters)

    def __iter__(self) -> Iterator[Waiter]:
        return iter(self._waiters)

    def add(self, waiter: Waiter) -> None:
        """Add a request."""
        insort(self._waiters, waiter, key=lambda waiter: waiter.order)

    def discard(self, waiter: Waiter) -> None:
        """Remove a request if it still waits."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def ahead_of(self, order: float) -> Iterator[Waiter]:
        """Yield the requests that get slots before a request with this order."""
        for waiter in self._waiters:
            if waiter.order > order:
                return
            yield waiter

    def first_too_late(self) -> Waiter | None:
        """Return the first request that can no longer meet its deadline, or None."""
        time = now()
        return next((w for w in self._waiters if w.job.latest_start < time), None)


def queue_order(job: Job) -> float:
    """Return the event loop time that orders a request arriving now in the queue.

    Args:
        job: The request.

    Returns:
        Arrival plus a delay that is short for short requests and near deadlines.
    """
    time = now()
    slack = max(0.0, job.latest_start - time) * OVERTAKE_SLACK_SHARE
    return time + min(slack, job.expected * OVERTAKE_DURATION_RATIO)

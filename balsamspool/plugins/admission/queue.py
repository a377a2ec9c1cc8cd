"""Requests that wait for a slot."""

from asyncio import Future
from bisect import insort
from collections.abc import Iterator
from dataclasses import dataclass, field

from balsamspool.kernel.clock import now
from balsamspool.kernel.errors import ResultCode
from balsamspool.plugins.admission.slots import Slot

# A request lets later ones pass for at most this many times its expected duration and
# this share of the time that it can spare, so a long one does not starve.
# With 4, p99 of short requests in overload of records and studio was over half higher.
PATIENCE_RATIO = 1.0
PATIENCE_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Job:
    """What admission needs to know of a request.

    Attributes:
        route: Name under which durations are learnt.
        deadline: Event loop time by which the answer must be whole.
        expected: Expected duration in seconds.
        long: Whether it counts as long.
        relayed: Whether a peer relayed it, so that it must not be relayed again.
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
        outcome: Becomes the slot, or the reason for which it was shed.
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
        """Yield the requests that get slots before one with this order."""
        for waiter in self._waiters:
            if waiter.order > order:
                return
            yield waiter

    def hopeless(self) -> Waiter | None:
        """Return a request that can no longer meet its deadline, or None."""
        time = now()
        return next((w for w in self._waiters if w.job.latest_start < time), None)


def order_of(job: Job) -> float:
    """Return the place of a request that arrives now, as event loop time.

    Args:
        job: The request.

    Returns:
        Arrival plus patience: short requests and near deadlines go first.
    """
    time = now()
    spare = max(0.0, job.latest_start - time) * PATIENCE_SHARE
    return time + min(spare, job.expected * PATIENCE_RATIO)

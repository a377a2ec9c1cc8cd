"""The slots of one backend server."""

from collections.abc import Callable
from types import TracebackType

from balsamspool.kernel.clock import now


class Slot:
    """Permission to run one request, released on exit of its context.

    Args:
        expected: Expected duration of the request in seconds.
        long: Whether the request counts as long.
        on_release: Called once when the slot is released.
    """

    __slots__ = ("_on_release", "_released", "expected", "long", "started")

    def __init__(
        self, expected: float, long: bool, on_release: Callable[["Slot"], None]
    ) -> None:
        self.expected = expected
        self.long = long
        self.started = now()
        self._on_release = on_release
        self._released = False

    def __enter__(self) -> "Slot":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.release()

    @property
    def remaining(self) -> float:
        """Expected time in seconds until the slot is released."""
        # A request that has run longer than expected is as likely to run for the same
        # time again as to end immediately, so its age is the best estimate of the time
        # left.
        age = now() - self.started
        return self.expected - age if age < self.expected else age

    def release(self) -> None:
        """Release the slot. Further calls have no effect."""
        if not self._released:
            self._released = True
            self._on_release(self)


class Slots:
    """Counts the slots in use and limits their number in a slow start.

    Args:
        limit: Slots of the backend server.
        share: Largest number of slots that dependencies allow.
        slow_start_seconds: Duration of the growth from 1 usable slot to the limit.
    """

    __slots__ = ("_slow_start_began", "_slow_start_seconds", "held", "limit", "share")

    def __init__(self, limit: int, share: int, slow_start_seconds: float) -> None:
        self.limit = limit
        self.share = share
        self.held: set[Slot] = set()
        self._slow_start_seconds = slow_start_seconds
        self._slow_start_began: float | None = None

    @property
    def busy(self) -> int:
        """Number of slots in use."""
        return len(self.held)

    @property
    def usable(self) -> int:
        """Number of slots that may be used now."""
        return max(1, min(self.limit, self.share, self._slow_start_limit()))

    @property
    def usable_for_long(self) -> int:
        """Number of slots that long requests may use now."""
        return max(1, self.usable - 1)

    @property
    def next_growth(self) -> float | None:
        """Seconds between two steps of a slow start, None if it has ended."""
        if self._slow_start_limit() >= self.limit:
            return None
        return self._slow_start_seconds / max(1, self.limit - 1)

    def begin_slow_start(self) -> None:
        """Limit the usable slots to 1, from where their number grows to the limit."""
        if self._slow_start_seconds > 0:
            self._slow_start_began = now()

    def fits(self, long: bool) -> bool:
        """Return whether a slot is free for a request now."""
        if self.busy >= self.usable:
            return False
        long_busy = sum(slot.long for slot in self.held)
        return not long or long_busy < self.usable_for_long

    def _slow_start_limit(self) -> int:
        if self._slow_start_began is None:
            return self.limit
        age = now() - self._slow_start_began
        return 1 + int((self.limit - 1) * age / self._slow_start_seconds + 1e-9)

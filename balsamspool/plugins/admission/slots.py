"""The slots of one backend server."""

from collections.abc import Callable
from types import TracebackType

from balsamspool.kernel.clock import now


class Slot:
    """Permission to run one request, released when its context is left.

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
        # A request that runs beyond its expectation is as likely to take as long again
        # as to end at once, so its age is the best guess of what is left.
        age = now() - self.started
        return self.expected - age if age < self.expected else age

    def release(self) -> None:
        """Give the slot back. Further calls have no effect."""
        if not self._released:
            self._released = True
            self._on_release(self)


class Slots:
    """Counts the slots in use and grows their number slowly for a cold server.

    Args:
        limit: Slots of the backend server.
        share: Largest number of slots that dependencies allow.
        slow_start_seconds: Time in which the number grows from 1 to the limit.
    """

    __slots__ = ("_cold_since", "_slow_start_seconds", "held", "limit", "share")

    def __init__(self, limit: int, share: int, slow_start_seconds: float) -> None:
        self.limit = limit
        self.share = share
        self.held: set[Slot] = set()
        self._slow_start_seconds = slow_start_seconds
        self._cold_since: float | None = None

    @property
    def busy(self) -> int:
        """Number of slots in use."""
        return len(self.held)

    @property
    def usable(self) -> int:
        """Number of slots that may be used now."""
        return max(1, min(self.limit, self.share, self._warm()))

    @property
    def usable_for_long(self) -> int:
        """Number of slots that long requests may use now."""
        return max(1, self.usable - 1)

    @property
    def next_growth(self) -> float | None:
        """Seconds until one more slot becomes warm, None if all are."""
        if self._warm() >= self.limit:
            return None
        return self._slow_start_seconds / max(1, self.limit - 1)

    def cool(self) -> None:
        """Begin a slow start."""
        if self._slow_start_seconds > 0:
            self._cold_since = now()

    def fits(self, long: bool) -> bool:
        """Return whether a request may take a slot now."""
        if self.busy >= self.usable:
            return False
        long_busy = sum(slot.long for slot in self.held)
        return not long or long_busy < self.usable_for_long

    def _warm(self) -> int:
        if self._cold_since is None:
            return self.limit
        age = now() - self._cold_since
        return 1 + int((self.limit - 1) * age / self._slow_start_seconds + 1e-9)

"""Event loop with a paused clock.

Time stands still while there is work and jumps to the next timer when the loop is idle,
so a minute ends as soon as its work is done, and always in the same order.
"""

import asyncio
import selectors

IDLE_SECONDS = 5.0
START_SECONDS = 1_000.0

Ready = list[tuple[selectors.SelectorKey, int]]


class _JumpingSelector(selectors.DefaultSelector):
    """Advances the clock of the loop in place of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.time = START_SECONDS

    def select(self, timeout: float | None = None) -> Ready:
        """Return what is ready; without that, jump over the wait."""
        if timeout is not None and timeout <= 0:
            return super().select(0)
        # Without a timer only another thread can wake the loop.
        events = super().select(IDLE_SECONDS if timeout is None else 0)
        if not events and timeout is None:
            raise RuntimeError("the loop is idle and no timer is set")
        if not events and timeout is not None:
            self.time += timeout
        return events


class PausedClockLoop(asyncio.SelectorEventLoop):
    """Event loop whose time moves only when it is idle."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the time of the paused clock in seconds."""
        return self._jumping.time

    def advance(self, seconds: float) -> None:
        """Move the clock at once, as a pause of the process does."""
        self._jumping.time += seconds

"""Event loop with a paused clock.

Time stops while callbacks are ready and jumps to the next timer when the loop is idle.
So a run takes only the time that its callbacks need, and always runs them in the same
order.
"""

import asyncio
import selectors

# Real time for which the loop waits for another thread while no timer is set.
MAX_IDLE_SECONDS = 5.0
START_TIME_SECONDS = 1_000.0

Ready = list[tuple[selectors.SelectorKey, int]]


class _JumpingSelector(selectors.DefaultSelector):
    """Advances the clock of the loop instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.time = START_TIME_SECONDS

    def select(self, timeout: float | None = None) -> Ready:
        """Return ready files; if there are none, advance the clock by the timeout."""
        if timeout is not None and timeout <= 0:
            return super().select(0)
        # Without a timer, only another thread can wake the loop.
        events = super().select(MAX_IDLE_SECONDS if timeout is None else 0)
        if not events and timeout is None:
            raise RuntimeError("the loop is idle and no timer is set")
        if not events and timeout is not None:
            self.time += timeout
        return events


class PausedClockLoop(asyncio.SelectorEventLoop):
    """Event loop whose time advances only while it is idle."""

    def __init__(self) -> None:
        self._clock_selector = _JumpingSelector()
        super().__init__(self._clock_selector)

    def time(self) -> float:
        """Return the time of the paused clock in seconds."""
        return self._clock_selector.time

    def advance(self, seconds: float) -> None:
        """Advance the clock immediately, as a pause of the process would."""
        self._clock_selector.time += seconds

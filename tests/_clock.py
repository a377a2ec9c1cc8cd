"""Event loop with a paused clock for tests.

Time stands still while there is work and jumps to the next timer when the loop is
idle, so a test of minutes ends in milliseconds and always in the same order.
"""

import asyncio
import selectors
from unittest import IsolatedAsyncioTestCase

IDLE_SECONDS = 5.0


class _JumpingSelector(selectors.DefaultSelector):
    """Advances the clock of the loop in place of waiting."""

    def __init__(self):
        super().__init__()
        self.time = 1_000.0

    def select(self, timeout=None):
        """Return what is ready; without that, jump over the wait."""
        if timeout is not None and timeout <= 0:
            return super().select(0)
        # Without a timer only another thread can wake the loop.
        events = super().select(IDLE_SECONDS if timeout is None else 0)
        if not events and timeout is None:
            raise RuntimeError("the loop is idle and no timer is set")
        if not events:
            self.time += timeout
        return events


class PausedClockLoop(asyncio.SelectorEventLoop):
    """Event loop whose time moves only when it is idle."""

    def __init__(self):
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self):
        """Return the time of the paused clock in seconds."""
        return self._jumping.time

    def advance(self, seconds):
        """Move the clock at once, as a pause of the process does."""
        self._jumping.time += seconds


class PausedClockTestCase(IsolatedAsyncioTestCase):
    """Runs each test on a loop with a paused clock."""

    loop_factory = PausedClockLoop

    def _setupAsyncioRunner(self):  # noqa: N802
        # unittest reads loop_factory only from Python 3.13 on.
        self._asyncioRunner = asyncio.Runner(debug=False, loop_factory=PausedClockLoop)

    def advance(self, seconds):
        """Move the clock at once, as a pause of the process does."""
        asyncio.get_running_loop().advance(seconds)

"""Test case whose event loop has a paused clock."""

import asyncio
from unittest import IsolatedAsyncioTestCase

from emulator.clock import PausedClockLoop


class PausedClockTestCase(IsolatedAsyncioTestCase):
    """Runs each test on a loop with a paused clock."""

    loop_factory = PausedClockLoop

    def _setupAsyncioRunner(self):  # noqa: N802
        # unittest reads loop_factory only from Python 3.13 on.
        self._asyncioRunner = asyncio.Runner(debug=False, loop_factory=PausedClockLoop)

    def advance(self, seconds):
        """Advance the clock in one step, as a pause of the process does."""
        asyncio.get_running_loop().advance(seconds)

"""An event loop whose clock stands still until nothing else is left to do."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any
from unittest import TestCase

from balsamspool.kernel.clock import now


class _PausedSelector(selectors.DefaultSelector):
    """Lets the loop's time pass instead of waiting."""

    passed = 0.0

    def select(self, timeout=None):
        self.passed += timeout or 0.0
        return super().select(0 if timeout is not None else None)


class PausedLoop(asyncio.SelectorEventLoop):
    """Jumps to the next timer instead of waiting for it."""

    def __init__(self) -> None:
        self._paused = _PausedSelector()
        super().__init__(self._paused)

    def time(self) -> float:
        return 1000.0 + self._paused.passed

    def advance(self, seconds: float) -> None:
        """Let time pass without running anything, as in a paused process."""
        self._paused.passed += seconds


def run_paused(work: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to its end on a paused clock."""
    loop = PausedLoop()
    try:
        return loop.run_until_complete(asyncio.wait_for(work, 100_000))
    finally:
        loop.close()


class PausedLoopTest(TestCase):
    def test_sleep_takes_exactly_its_time(self):
        """Guards against schedules that depend on the speed of the machine."""

        async def work():
            started = now()
            await asyncio.gather(asyncio.sleep(3600), asyncio.sleep(60))
            return now() - started

        self.assertAlmostEqual(run_paused(work()), 3600)

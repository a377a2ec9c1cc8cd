"""An event loop whose clock advances only while no task can run."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any
from unittest import TestCase

from balsamspool.kernel.clock import now


class _PausedSelector(selectors.DefaultSelector):
    """Advances the time of the loop instead of waiting."""

    elapsed = 0.0

    def select(self, timeout=None):
        self.elapsed += timeout or 0.0
        return super().select(0 if timeout is not None else None)


class PausedLoop(asyncio.SelectorEventLoop):
    """Jumps to the next timer instead of waiting for it."""

    def __init__(self) -> None:
        self._paused_selector = _PausedSelector()
        super().__init__(self._paused_selector)

    def time(self) -> float:
        return 1000.0 + self._paused_selector.elapsed

    def advance(self, seconds: float) -> None:
        """Advance the time without running anything, as in a paused process."""
        self._paused_selector.elapsed += seconds


def run_paused(work: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to its end in a ``PausedLoop``."""
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

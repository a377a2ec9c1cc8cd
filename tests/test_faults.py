"""Runs a fleet with two fixed seeds; ``python -m faults`` runs other seeds."""

from unittest import IsolatedAsyncioTestCase

from faults.checks import violations
from faults.runner import run_seed

# A schedule with planned changes only, and a schedule with other faults as well.
PLANNED_SEED = 6
OTHER_SEED = 2


class FaultsTest(IsolatedAsyncioTestCase):
    async def check(self, seed):
        history = await run_seed(seed)
        self.assertEqual(violations(history), [], history.faults)
        self.assertTrue(any(attempt.succeeded for attempt in history.attempts))
        self.assertTrue(all(feed.messages for feed in history.feeds))
        return history

    async def test_planned_changes_cost_nothing(self):
        """Guards against a planned change that interrupts a request or a feed."""
        history = await self.check(PLANNED_SEED)
        self.assertTrue(history.planned)
        self.assertTrue(history.stops)

    async def test_guarantees_hold_under_faults(self):
        """Guards against a lost, repeated or wrong answer under several faults."""
        history = await self.check(OTHER_SEED)
        self.assertFalse(history.planned)
        self.assertTrue(history.killed)

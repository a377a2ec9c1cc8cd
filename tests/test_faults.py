"""Runs a fleet under fixed schedules of faults; ``python -m faults`` runs others."""

from unittest import IsolatedAsyncioTestCase

from faults.checks import violations
from faults.runner import run_seed

# One with planned changes only, one with other faults as well.
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
        """Guards against a planned change that cuts a request or a feed."""
        history = await self.check(PLANNED_SEED)
        self.assertTrue(history.planned)
        self.assertTrue(history.stops)

    async def test_promises_hold_under_faults(self):
        """Guards against a lost, repeated or wrong answer under several faults."""
        history = await self.check(OTHER_SEED)
        self.assertFalse(history.planned)
        self.assertTrue(history.killed)

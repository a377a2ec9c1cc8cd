"""Tests of the stand-in for callers of the HTTP/3 front end."""

import asyncio
from unittest import IsolatedAsyncioTestCase

from standins.caller import open_caller
from standins.fleet import ServicePlan, run_fleet

PORTAL = ServicePlan("portal", 1, 1, [{"kind": "request", "path": "/"}])


class CancelTest(IsolatedAsyncioTestCase):
    async def test_cancelling_a_completed_request_changes_nothing(self):
        """Guards against a fault run that ends because an answer met its timeout."""
        async with (
            run_fleet([PORTAL]) as fleet,
            open_caller(*fleet.addresses["portal"]) as caller,
        ):
            stream_id, answer = caller.start("GET", "/plain")
            async with asyncio.timeout(5):
                while not answer.whole:
                    answer.changed.clear()
                    await answer.changed.wait()
            caller.cancel(stream_id)
            again = await caller.request("GET", "/plain")
            self.assertEqual(again.status, 200)

"""Tests of the path of requests through a fleet of separate processes."""

import json
from unittest import IsolatedAsyncioTestCase

from standins.caller import open_caller
from standins.fleet import ServicePlan, run_fleet

PORTAL = ServicePlan(
    "portal",
    1,
    2,
    [
        {"kind": "feed", "path": "/feed"},
        {"kind": "request", "path": "/"},
    ],
)
RECORDS = ServicePlan("records", 2, 1, [{"kind": "download", "path": "/"}])


class PathTest(IsolatedAsyncioTestCase):
    async def test_requests_reach_their_own_service(self):
        """Guards against a broken path and against requests at a wrong service."""
        async with run_fleet([PORTAL, RECORDS]) as fleet:
            for name in ("portal", "records"):
                async with open_caller(*fleet.addresses[name]) as caller:
                    answer = await caller.request("GET", "/any")
                self.assertEqual(answer.status, 200)
                server = json.loads(bytes(answer.body))["server"]
                self.assertTrue(server.startswith(name), server)

    async def test_large_answer_arrives_whole(self):
        """Guards against lost or repeated parts of a streamed answer."""
        async with (
            run_fleet([RECORDS]) as fleet,
            open_caller(*fleet.addresses["records"]) as caller,
        ):
            answer = await caller.request("GET", "/statement?bytes=3000000", timeout=30)
            self.assertEqual(len(answer.body), 3_000_000)
            block = bytes(range(256))
            self.assertEqual(bytes(answer.body[-64:]), block[2_999_936 % 256 :][:64])

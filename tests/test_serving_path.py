"""Admission and request keys over HTTP/3 through separate processes."""

import asyncio
import json
from unittest import IsolatedAsyncioTestCase

from standins.caller import ConnectionLost, open_caller
from standins.fleet import ServicePlan, run_fleet

PORTAL = ServicePlan(
    "portal",
    1,
    1,
    [
        {"kind": "request", "path": "/"},
        {"kind": "download", "path": "/statement"},
        {"kind": "request", "path": "/ticket", "repeatable": False},
    ],
    {"limits": {"slots_per_host": 2, "queue_per_host": 30}},
)
KEY_PATH = "/.well-known/balsamspool/request-key"


class ServingPathTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        manager = run_fleet([PORTAL], entries=1)
        self.fleet = await self.enterAsyncContext(manager)
        address = self.fleet.addresses["portal"]
        self.caller = await self.enterAsyncContext(open_caller(*address))
        (host,) = self.fleet.agents.values()
        self.server = host.backend_server

    async def test_ticket_runs_once_even_if_its_caller_cancels(self):
        """Guards against a ticket that is created twice."""
        issued = await self.caller.request("POST", KEY_PATH)
        self.assertEqual(issued.status, 201)
        headers = {"idempotency-key": json.loads(bytes(issued.body))["key"]}
        path = "/ticket?seconds=0.5&id=ticket"
        stream, _ = self.caller.start("POST", path, headers, b"{}")
        for _ in range(500):
            if self.server.executions:
                break
            await asyncio.sleep(0.01)
        self.caller.cancel(stream)
        calls = [self.caller.request("POST", path, headers, b"{}") for _ in range(3)]
        answers = await asyncio.gather(*calls)
        self.assertEqual([answer.status for answer in answers], [200] * 3)
        self.assertEqual(self.server.executed, ["ticket"])
        self.assertEqual(self.server.cancelled, 0)
        other = await self.caller.request("POST", path, headers, b"{ }")
        self.assertEqual(other.status, 422)

    async def test_slot_limit_holds_and_short_requests_pass_long_ones(self):
        """Guards against more requests than slots and blocking behind downloads."""
        loop = asyncio.get_running_loop()
        long = [
            asyncio.create_task(self.caller.request("GET", "/statement?seconds=1"))
            for _ in range(4)
        ]
        await asyncio.sleep(0.3)
        started = loop.time()
        calls = [self.caller.request("GET", f"/x?id={n}") for n in range(20)]
        answers = await asyncio.gather(*calls)
        self.assertLess(loop.time() - started, 2.5)
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertFalse(all(task.done() for task in long))
        await asyncio.gather(*long)
        self.assertLessEqual(self.server.peak_busy, 2)
        self.assertEqual(self.server.waiting, 0)

    async def test_cut_answer_is_cut_for_the_caller(self):
        """Guards against an incomplete answer that looks complete."""
        with self.assertRaises(ConnectionLost):
            await self.caller.request("GET", "/statement?bytes=300000&cut=100000")

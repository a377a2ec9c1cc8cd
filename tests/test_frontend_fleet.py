"""Feeds through entries that are killed or restarted, as separate processes."""

import asyncio
import random
import re
from unittest import IsolatedAsyncioTestCase

from standins.caller import open_caller
from standins.fleet import ServicePlan, run_fleet

PORTAL = ServicePlan(
    "portal",
    1,
    1,
    [{"kind": "feed", "path": "/feed"}, {"kind": "request", "path": "/"}],
)


class RecordingRandom(random.Random):
    """Records the entry that the fabric chose last."""

    last = None

    def choice(self, items):
        self.last = super().choice(items)
        return self.last


def numbers_of(answer):
    found = re.findall(rb"data: \S+ (\d+)\n\n", bytes(answer.body))
    return [int(number) for number in found]


async def wait_numbers(answer, count, seconds=10.0):
    async with asyncio.timeout(seconds):
        while len(numbers_of(answer)) < count:
            answer.changed.clear()
            await answer.changed.wait()


class EntryLossTest(IsolatedAsyncioTestCase):
    def check(self, answer, caller):
        numbers = numbers_of(answer)
        self.assertEqual(numbers, list(range(len(numbers))))
        self.assertFalse(answer.cut)
        self.assertFalse(caller.lost)

    async def test_feed_outlives_the_entry_that_carried_the_last_packet(self):
        """Guards against a feed that stalls when the entry of a silent caller fails."""
        async with (
            run_fleet([PORTAL]) as fleet,
            open_caller(*fleet.addresses["portal"]) as caller,
        ):
            (agent,) = fleet.agents.values()
            agent.backend_server.feed_interval = 1.0
            fabric = fleet.fabrics["portal"]
            fabric._rng = RecordingRandom(7)
            _, answer = caller.start("GET", "/feed")
            await wait_numbers(answer, 2)
            await asyncio.sleep(0.5)
            last_entry = fabric._rng.last
            by_address = dict(
                zip(
                    fleet.entry_addresses("portal"), fleet.entries.values(), strict=True
                )
            )
            await by_address[last_entry].kill()
            fabric.entries = [entry for entry in fabric.entries if entry != last_entry]
            await wait_numbers(answer, 6)
            self.check(answer, caller)

    async def test_feed_outlives_the_restart_of_each_entry(self):
        """Guards against packets that stay lost after the restart of an entry."""
        async with (
            run_fleet([PORTAL]) as fleet,
            open_caller(*fleet.addresses["portal"]) as caller,
        ):
            (agent,) = fleet.agents.values()
            agent.backend_server.feed_interval = 0.05
            _, answer = caller.start("GET", "/feed")
            await wait_numbers(answer, 5)
            for entry in fleet.entries.values():
                self.assertEqual(await entry.stop(), 0)
                await fleet.restart(entry)
                await wait_numbers(answer, len(numbers_of(answer)) + 10)
            self.check(answer, caller)


class GracefulStopTest(IsolatedAsyncioTestCase):
    async def test_stop_of_the_agent_finishes_requests_and_closes(self):
        """Guards against a graceful stop that cuts a request of another library."""
        async with (
            run_fleet([PORTAL]) as fleet,
            open_caller(*fleet.addresses["portal"]) as caller,
        ):
            (agent,) = fleet.agents.values()
            request_task = asyncio.create_task(
                caller.request("GET", "/slow?seconds=1.5")
            )
            await asyncio.sleep(0.3)
            stopping = asyncio.create_task(agent.stop())
            self.assertEqual((await request_task).status, 200)
            self.assertEqual(await stopping, 0)
            self.assertTrue(caller.goaway)
            self.assertEqual(len(agent.backend_server.executed), 1)

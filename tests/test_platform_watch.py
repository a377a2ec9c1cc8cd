"""Tests of watches of the platform, mostly by a whole fleet and on a paused clock."""

import asyncio
import random
from unittest import IsolatedAsyncioTestCase

from aiohttp import ClientSession

from balsamspool.kernel.clock import now
from balsamspool.kernel.errors import ResultError
from balsamspool.plugins.platform.client import (
    ANSWER_MARGIN_SECONDS,
    PlatformClient,
    PlatformValue,
    Unchanged,
)
from balsamspool.plugins.platform.codes import PLATFORM_UNAVAILABLE
from balsamspool.plugins.platform.pace import Pace
from balsamspool.plugins.platform.watcher import Watcher
from standins.fleet import free_port, serve
from standins.platform import PlatformStandIn
from tests._clock import PausedClockTestCase

READERS = 4_740
CALL_LIMIT = 2_000
# Time within which a published change must be in force everywhere.
APPLY_SECONDS = 8.0


class DirectClient:
    """Calls the stand-in without HTTP."""

    def __init__(self, platform):
        self.platform = platform

    async def watch(self, name, after, wait):
        try:
            served = await self.platform.read(name, after, wait)
        except ConnectionError as error:
            raise ResultError(PLATFORM_UNAVAILABLE, str(error)) from error
        return PlatformValue(*served) if served else Unchanged()


class SilentClient(DirectClient):
    """Leaves calls that begin before `silent_until` without an answer."""

    silent_until = 0.0

    async def watch(self, name, after, wait):
        if now() < SilentClient.silent_until:
            await asyncio.sleep(wait + ANSWER_MARGIN_SECONDS)
            raise ResultError(PLATFORM_UNAVAILABLE, "timed out")
        return await super().watch(name, after, wait)


class Reader:
    """Keeps the highest revision, like the configuration store."""

    def __init__(self):
        self.revision = 0

    def on_value(self, value):
        self.revision = max(self.revision, value.revision)


class PlatformWatchTest(PausedClockTestCase):
    async def asyncSetUp(self):
        self.tasks = []
        self.reports = []

    async def asyncTearDown(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def watch(self, platforms, name, pace, client=DirectClient):
        reader = Reader()
        clients = [client(platform) for platform in platforms]
        watcher = Watcher(clients, pace, 25.0, self.reports.append)
        work = watcher.run(name, lambda: reader.revision, reader.on_value)
        self.tasks.append(asyncio.create_task(work))
        return reader

    async def test_fleet_stays_below_the_call_limit(self):
        """Guards against bursts of calls at a start, after a change and an outage."""
        platform = PlatformStandIn()
        for name in ("configuration", "instances"):
            await platform.publish(name, "first")
        pace = Pace(READERS, random.Random(11))
        readers = [
            self.watch([platform], name, pace)
            for name in ("configuration", "instances")
            for _ in range(READERS)
        ]
        peaks = {}

        async def phase(name, seconds):
            platform.peak_rate = 0
            await asyncio.sleep(seconds)
            peaks[name] = platform.peak_rate

        await phase("start", 30)
        for name in ("configuration", "instances"):
            await platform.publish(name, "second")
        await phase("change", 30)
        platform.down = True
        await platform.wake()
        await phase("outage", 45)
        platform.down = False
        for name in ("configuration", "instances"):
            await platform.publish(name, "third")
        await phase("restored", 30)
        for name in ("configuration", "instances"):
            platform.hidden_revisions[name] = 1
        await platform.wake()
        await phase("stale", 40)
        self.assertLessEqual(max(peaks.values()), CALL_LIMIT, peaks)
        self.assertEqual({reader.revision for reader in readers}, {3})

    async def test_a_change_arrives_in_time_though_all_watches_were_lost(self):
        """Guards against a text that is late everywhere after a short silence.

        All processes watch again after a change, and nobody gets an answer.
        """
        platform = PlatformStandIn()
        await platform.publish("configuration", "first")
        pace = Pace(200, random.Random(3))
        readers = [
            self.watch([platform], "configuration", pace, SilentClient)
            for _ in range(20)
        ]
        await asyncio.sleep(5)
        await platform.publish("configuration", "second")
        self.addCleanup(setattr, SilentClient, "silent_until", 0.0)
        SilentClient.silent_until = now() + 1.0
        await asyncio.sleep(1.0)
        await platform.publish("configuration", "third")
        await asyncio.sleep(APPLY_SECONDS)
        self.assertEqual({reader.revision for reader in readers}, {3})

    async def test_watch_fails_over_and_leaves_a_stale_address(self):
        """Guards against a watch that stays at an unreachable or stale address."""
        dead, fresh = PlatformStandIn(), PlatformStandIn()
        dead.down = True
        await fresh.publish("configuration", "first")
        reader = self.watch([dead, fresh], "configuration", Pace(10, random.Random(1)))
        await asyncio.sleep(3)
        self.assertEqual(reader.revision, 1)
        await fresh.publish("configuration", "second")
        await asyncio.sleep(1)
        self.assertEqual(reader.revision, 2)
        # The address that the watch uses (`fresh`) returns an older revision, and the
        # other address (`dead`) has a newer revision.
        dead.down = False
        for text in ("first", "second", "third"):
            await dead.publish("configuration", text)
        fresh.hidden_revisions["configuration"] = 1
        await fresh.wake()
        await asyncio.sleep(10)
        self.assertEqual(reader.revision, 3)

    async def test_stale_platform_causes_no_tight_loop(self):
        """Guards against endless calls when every answer is an older revision."""
        platform = PlatformStandIn()
        for text in ("first", "second"):
            await platform.publish("configuration", text)
        self.watch([platform], "configuration", Pace(10, random.Random(1)))
        await asyncio.sleep(5)
        platform.hidden_revisions["configuration"] = 1
        await platform.wake()
        before = platform.calls
        await asyncio.sleep(60)
        self.assertLess(platform.calls - before, 60)


class CompressionTest(IsolatedAsyncioTestCase):
    async def test_compressed_value_is_read_and_its_wire_bytes_are_counted(self):
        """Guards against an answer that is not compressed, or whose size is wrong."""
        platform, port = PlatformStandIn(), free_port()
        platform.compress = True
        runner = await serve(platform.application(), port)
        try:
            await platform.publish("instances", "record" * 10_000)
            async with ClientSession() as session:
                client = PlatformClient(session, f"http://127.0.0.1:{port}")
                value = await client.watch("instances", 0, 0.0)
        finally:
            await runner.cleanup()
        self.assertEqual(value.value, "record" * 10_000)
        self.assertGreater(value.size, 0)
        self.assertLess(value.size, 1_000)

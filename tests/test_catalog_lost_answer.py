"""Calls to the publishing service that are never answered."""

import asyncio
import random
from pathlib import Path
from unittest import TestCase

from balsamspool.datagram._codec import encode_small
from balsamspool.datagram.messages import Readers
from balsamspool.kernel.clock import now
from balsamspool.kernel.counters import CounterSet
from balsamspool.plugins.catalog.announced import (
    MAX_ANNOUNCEMENTS,
    AnnouncedRevisions,
)
from balsamspool.plugins.catalog.calls import CallMetrics
from balsamspool.plugins.catalog.completeness import Completeness
from balsamspool.plugins.catalog.feed import CatalogFeed
from balsamspool.plugins.catalog.follower import CatalogFollower
from balsamspool.plugins.catalog.model import (
    BackendState,
    ServerPublished,
)
from balsamspool.plugins.catalog.plugin import CatalogSettings
from balsamspool.plugins.catalog.source import ANSWER_SECONDS
from balsamspool.plugins.catalog.upstream import (
    CHANGE_BATCH_SECONDS,
    ReaderList,
    UpstreamSelector,
    UpstreamTimes,
)
from balsamspool.plugins.catalog.view import CatalogView
from tests._clock import PausedClockTestCase
from tests.datagram_entry_case import EntryCase
from tests.datagram_fakes import (
    SYN,
    FakePeers,
    packet,
    published,
    routes,
    server,
)
from tests.silent_source import STEP_SECONDS, SilentSource

DRAINING = BackendState.DRAINING
# Values of the users' deployments in milliseconds.
RECOVERY_TIMES_MS = (4_000, 5_000, 6_000)


class LongestDelays(random.Random):
    """Draws the longest of all delays."""

    def uniform(self, a, b):
        return b


class LostAnswerTest(PausedClockTestCase):
    """An entry that reads the service itself, as at a small site."""

    def start(self, wait, rng=None):
        self.source = SilentSource()
        self.source.records = [routes(1), *published(2, server(1), server(2))]
        self.view = CatalogView()
        rng = rng or random.Random(1)
        self.selector = UpstreamSelector("10.0.0.9", UpstreamTimes.from_limit(3.0), rng)
        self.follower = CatalogFollower(
            self.source,
            FakePeers(),
            8166,
            self.view,
            CatalogFeed(),
            Completeness(),
            self.selector,
            wait,
            rng,
            CallMetrics(CounterSet()),
        )
        self.tasks = [
            asyncio.create_task(self.follower.run()),
            asyncio.create_task(self.announce()),
        ]
        self.announced = 10

    async def asyncTearDown(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def announce(self):
        while True:
            found = ReaderList(("10.0.0.9",), 1, self.announced)
            self.selector.record_list("10.1.0.1", found, now())
            await asyncio.sleep(1.0)

    def ready(self):
        return [s.name for s in self.view.ready("portal")]

    async def test_a_change_is_applied_in_time_though_nobody_knows_it(self):
        """Guards against flows to a draining host after a short silence of the store.

        The silence begins at any moment of a watch, and no other entry is in touch.
        """
        for recovery_ms in RECOVERY_TIMES_MS:
            wait = CatalogSettings(recovery_milliseconds=recovery_ms).longest_watch
            for moment in (0.0, 0.6, wait / 2, wait - 0.1, wait):
                self.start(wait)
                await asyncio.sleep(CHANGE_BATCH_SECONDS + moment)
                await self.source.silence(1.0)
                self.source.write(ServerPublished(20, server(1, state=DRAINING)))
                await asyncio.sleep(recovery_ms / 1000)
                self.assertEqual(self.ready(), ["i-2"], (recovery_ms, moment))
                await self.asyncTearDown()

    async def test_a_change_is_applied_in_time_though_the_history_is_lost_too(self):
        """Guards against a lost answer that leaves no time for two further calls.

        The next call finds that the history is gone; only a full read has the change.
        """
        for recovery_ms in RECOVERY_TIMES_MS:
            wait = CatalogSettings(recovery_milliseconds=recovery_ms).longest_watch
            self.start(wait, LongestDelays())
            answer_seconds = self.source.answer_seconds = 0.1
            await asyncio.sleep(answer_seconds + CHANGE_BATCH_SECONDS + STEP_SECONDS)
            await self.source.silence(0.0)
            self.source.write(ServerPublished(20, server(1, state=DRAINING)))
            self.source.oldest_revision = 20
            await asyncio.sleep(recovery_ms / 1000)
            self.assertEqual(self.ready(), ["i-2"], recovery_ms)
            await self.asyncTearDown()

    async def test_a_watch_is_given_up_if_others_know_more(self):
        """Guards against a process that is blind until its own watch ends (case 3)."""
        self.start(wait=60.0)
        await asyncio.sleep(5.0)
        await self.source.silence(1.0)
        self.source.write(ServerPublished(20, server(1, state=DRAINING)))
        self.announced = 20
        await asyncio.sleep(3.5)
        self.assertEqual(self.ready(), ["i-2"])
        self.assertTrue(self.follower.reachable)

    async def test_a_late_answer_of_a_given_up_watch_changes_nothing(self):
        """Guards against an answer that brings back what was known before."""
        self.start(wait=60.0)
        await asyncio.sleep(5.0)
        silence = asyncio.create_task(self.source.silence(1.0))
        self.announced = 20
        await asyncio.sleep(3.0)
        self.source.write(ServerPublished(20, server(1, state=DRAINING)))
        await silence
        await asyncio.sleep(70.0)
        self.assertEqual(self.follower.revision, 20)
        self.assertEqual(self.ready(), ["i-2"])

    async def test_steady_changes_give_up_no_watch(self):
        """Guards against more calls in a storm of changes that arrive as usual."""
        self.start(wait=60.0)
        await asyncio.sleep(2.0)
        for revision in range(20, 60):
            self.source.write(ServerPublished(revision, server(1, slots=revision)))
            self.announced = revision
            await asyncio.sleep(0.25)
            self.assertTrue(self.follower.reachable)

    async def test_an_impossible_revision_costs_few_calls(self):
        """Guards against one malformed announcement after which all watches end."""
        self.start(wait=2.5)
        await asyncio.sleep(5.0)
        calls = self.source.watches
        self.announced = 1 << 60
        await asyncio.sleep(10.0)
        self.announced = 10
        self.assertLess(self.source.watches - calls, 20)
        await asyncio.sleep(5.0)
        calls = self.source.watches
        await asyncio.sleep(10.0)
        self.assertLessEqual(self.source.watches - calls, 4)


class DrainTest(EntryCase):
    async def test_no_flow_opens_at_a_host_whose_drain_was_not_answered(self):
        """Guards against new flows at a draining host (review, case 3)."""
        gate = asyncio.Event()

        async def watch_without_answer(after, wait):
            self.source.watch = answered
            await gate.wait()

        answered = self.source.watch
        self.source.watch = watch_without_answer
        async with asyncio.timeout(CatalogSettings().longest_watch + 1.0):
            while self.source.watch is not answered:
                await asyncio.sleep(STEP_SECONDS)
        drained = [
            ServerPublished(20 + n, server(n, state=DRAINING)) for n in range(1, 5)
        ]
        self.source.publish(*drained)
        for _ in range(4):
            readers = Readers((), 1, self.source.revision)
            self.peers.receive(encode_small(readers), ("10.0.0.5", 7720))
            await asyncio.sleep(1.0)
        self.peers.take()
        self.receive(packet(SYN))
        _, agent = self.forwarded()
        self.assertEqual(agent, "10.0.0.5")


class SettingsTest(TestCase):
    def test_the_wait_leaves_time_for_another_call(self):
        """Guards against a watch that outlasts the time to recover."""
        for recovery_ms in RECOVERY_TIMES_MS:
            settings = CatalogSettings(recovery_milliseconds=recovery_ms)
            blind = settings.longest_watch + ANSWER_SECONDS
            self.assertLess(blind, recovery_ms / 1000)
            self.assertGreater(settings.longest_watch, 1.0)
        self.assertEqual(CatalogSettings(watch_seconds=0.5).longest_watch, 0.5)

    def test_the_deployment_passes_the_time_on(self):
        """Guards against a deployment whose time to recover is not used."""
        template = Path(__file__).resolve().parent.parent / "deploy" / "entry.json"
        self.assertIn('"recovery_milliseconds": {{', template.read_text())


class AnnouncedRevisionsTest(TestCase):
    def setUp(self):
        self.announced = AnnouncedRevisions()

    def test_the_first_unknown_revision_counts(self):
        """Guards against a process that never counts as behind in a storm."""
        for n in range(10):
            self.announced.record(20 + n, 100.0 + n)
        self.assertEqual(self.announced.seconds_behind(19, 110.0), 10.0)
        self.assertEqual(self.announced.seconds_behind(24, 110.0), 5.0)
        self.assertEqual(self.announced.seconds_behind(29, 110.0), 0.0)

    def test_what_an_answer_disproves_is_forgotten(self):
        """Guards against a process that counts as behind forever."""
        self.announced.record(20, 100.0)
        self.announced.record(30, 105.0)
        self.announced.confirm(102.0)
        self.assertEqual(self.announced.seconds_behind(10, 106.0), 1.0)
        self.announced.retract_above(20)
        self.assertEqual(self.announced.seconds_behind(10, 106.0), 0.0)

    def test_the_number_of_announcements_is_bounded(self):
        """Guards against memory that grows while the store is away."""
        for n in range(10 * MAX_ANNOUNCEMENTS):
            self.announced.record(20 + n, float(n))
        self.assertEqual(len(self.announced._announcements), MAX_ANNOUNCEMENTS)
        self.assertEqual(self.announced.seconds_behind(10, 1000.0), 1000.0)

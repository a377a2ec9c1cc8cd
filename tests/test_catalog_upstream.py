"""Which entries read the catalog, and how the others follow them."""

import asyncio
import random
from unittest import IsolatedAsyncioTestCase, TestCase

from balsamspool.datagram._codec import decode, encode_small
from balsamspool.datagram.messages import Announce, Readers, Subscribe
from balsamspool.kernel.clock import now
from balsamspool.kernel.counters import CounterSet
from balsamspool.kernel.errors import ResultError
from balsamspool.plugins.catalog.calls import CallMetrics
from balsamspool.plugins.catalog.codes import (
    CATALOG_PEER_UNAVAILABLE,
    CATALOG_UNAVAILABLE,
)
from balsamspool.plugins.catalog.completeness import Completeness
from balsamspool.plugins.catalog.delta import (
    CatalogDelta,
    decode_delta,
    encode_delta,
)
from balsamspool.plugins.catalog.feed import CatalogFeed
from balsamspool.plugins.catalog.follower import CatalogFollower
from balsamspool.plugins.catalog.model import (
    Changes,
    RecordIgnored,
    ServerPublished,
    ServerRemoved,
    Snapshot,
)
from balsamspool.plugins.catalog.peers import CHANGES_PATH, CatalogPeers
from balsamspool.plugins.catalog.record_log import MAX_REMOVALS, RecordLog
from balsamspool.plugins.catalog.upstream import (
    INDEPENDENT_SECONDS,
    READERS_LIFETIME_SECONDS,
    REVISION_LAG_SECONDS,
    FollowPeer,
    ReaderList,
    ReadService,
    UpstreamSelector,
    UpstreamTimes,
)
from balsamspool.plugins.catalog.view import CatalogView
from balsamspool.plugins.datagram_agent.entries import (
    LIFETIME_SECONDS,
    REPLY_ENTRIES,
    EntryRegister,
)
from standins.ports import free_port
from tests._clock import PausedClockTestCase
from tests.datagram_fakes import (
    FakeKernel,
    FakePeers,
    FakeSource,
    Role,
    published,
    routes,
    server,
)

OWN, FIRST, SECOND = "10.0.0.9", "10.0.0.1", "10.0.0.2"
TIMES = UpstreamTimes.from_limit(5.0)
LIST = ReaderList((FIRST, SECOND, OWN), 9, 20)
PEER = f"{FIRST}:8166"
UNAVAILABLE = ResultError(CATALOG_UNAVAILABLE, "503")


class SelectorTest(TestCase):
    def setUp(self):
        self.selector = UpstreamSelector(OWN, TIMES, random.Random(1))
        self.selector.record_list("10.1.0.1", LIST, 100.0)

    def choose(self, time=100.0, revision=20, answered=None):
        return self.selector.choose(revision, answered or time, time)

    def test_a_follower_asks_the_first_entry(self):
        """Guards against calls of an entry that need not read the service."""
        self.assertEqual(self.choose(), FollowPeer(FIRST))

    def test_a_listed_reader_reads_the_service(self):
        """Guards against a failure domain in which nobody reads the service."""
        self.selector.record_list("10.1.0.1", ReaderList((OWN, FIRST), 9, 20), 100.1)
        self.assertEqual(self.choose(100.1), ReadService())
        self.assertLess(self.selector.longest_wait(100.1), TIMES.stale / 2)

    def test_a_process_that_knows_no_readers_reads_the_service(self):
        """Guards against an entry without a catalog if all agents are silent."""
        late = 100.0 + READERS_LIFETIME_SECONDS + 0.1
        self.assertEqual(self.choose(late), ReadService())
        self.assertEqual(self.choose(revision=None), ReadService())

    def test_two_entries_of_a_failure_domain_both_read(self):
        """Guards against a small site that hangs on a single reader."""
        self.selector.record_list("10.1.0.1", ReaderList((FIRST, OWN), 2, 20), 100.1)
        self.assertEqual(self.choose(100.1), ReadService())

    def test_a_failed_reader_is_left_out(self):
        """Guards against a change that is late because a reader is frozen."""
        self.selector.record_peer_failure(FIRST, 100.0)
        self.assertEqual(self.choose(), FollowPeer(SECOND))
        self.selector.record_peer_failure(SECOND, 100.0)
        self.assertEqual(self.choose(), ReadService())

    def test_the_next_entry_in_the_order_does_not_follow_itself(self):
        """Guards against an entry that asks itself while the reader is frozen."""
        self.selector.record_list("10.1.0.1", ReaderList((FIRST, OWN), 9, 20), 100.1)
        self.selector.record_peer_failure(FIRST, 100.1)
        self.assertEqual(self.choose(100.1), ReadService())

    def test_readers_that_are_cut_off_are_noticed_by_their_age(self):
        """Guards against followers that wait for readers that lost the service."""
        answered = 100.0
        self.selector.record_list("10.1.0.1", LIST, 102.0)
        self.assertIsInstance(self.choose(102.0, answered=answered), FollowPeer)
        late = answered + TIMES.stale + 0.1
        self.assertEqual(self.choose(late, answered=answered), ReadService())

    def test_a_revision_that_others_know_is_noticed(self):
        """Guards against readers that answer but hold an old catalog."""
        newer = ReaderList(LIST.readers, 9, 30)
        self.selector.record_list("10.1.0.1", newer, 100.0)
        self.assertIsInstance(self.choose(100.0), FollowPeer)
        self.assertIsInstance(self.choose(100.5), FollowPeer)
        self.assertEqual(self.choose(100.1 + REVISION_LAG_SECONDS), ReadService())
        self.assertIsInstance(self.choose(101.5, revision=30), FollowPeer)

    def test_an_impossible_revision_is_forgotten(self):
        """Guards against one malformed announcement that makes all entries readers."""
        self.selector.record_list("10.1.0.2", ReaderList((FIRST,), 1, 1 << 63), 100.0)
        time = 100.0 + READERS_LIFETIME_SECONDS + 0.1
        self.selector.record_list("10.1.0.1", LIST, time)
        self.choose(time)
        self.assertIsInstance(self.choose(time + 2.0, answered=time + 1.9), FollowPeer)

    def test_a_follower_that_was_behind_reads_for_a_while(self):
        """Guards against a follower that returns to outdated readers at once."""
        late = 100.0 + TIMES.stale + 0.1
        self.selector.record_list("10.1.0.1", LIST, late)
        self.choose(late, answered=100.0)
        self.selector.record_service_answer(late, late)
        self.assertEqual(self.choose(late + 1.0), ReadService())
        until = late + INDEPENDENT_SECONDS + 0.1
        self.selector.record_list("10.1.0.1", LIST, until)
        self.assertIsInstance(self.choose(until), FollowPeer)

    def test_followers_do_not_all_call_a_service_that_is_down(self):
        """Guards against calls of every entry in an outage of the service."""
        late = 100.0 + TIMES.stale + 0.1
        self.selector.record_list("10.1.0.1", LIST, late)
        self.selector.record_service_failure(late)
        self.assertFalse(self.selector.reaches_service(late))
        self.assertIsInstance(self.choose(late + 0.1, answered=100.0), FollowPeer)
        self.selector.record_list("10.1.0.1", LIST, late + 3.0)
        self.assertEqual(self.choose(late + 3.1, answered=100.0), ReadService())

    def test_the_agent_that_knows_most_entries_is_believed(self):
        """Guards against many readers after a restart of one agent."""
        self.selector.record_list("10.1.0.2", ReaderList((OWN,), 1, 20), 100.1)
        self.assertIsInstance(self.choose(100.1), FollowPeer)


class RegisterTest(TestCase):
    def announce(self, register, number, time=0.0, domain=1, reaches=True, revision=5):
        announce = Announce(domain, revision, reaches)
        register.record(f"10.0.0.{number}", announce, time)

    def test_agents_agree_on_the_order(self):
        """Guards against agents that name different readers."""
        one, other = EntryRegister(), EntryRegister()
        for number in range(1, 8):
            self.announce(one, number)
            self.announce(other, 8 - number)
        self.assertEqual(one.readers_for(1), other.readers_for(1))
        self.assertEqual(len(one.readers_for(1).readers), REPLY_ENTRIES)
        self.assertEqual(one.readers_for(1).entries, 7)

    def test_entries_without_the_service_come_last(self):
        """Guards against a reader that the service turns away."""
        register = EntryRegister()
        for number in range(1, 8):
            self.announce(register, number)
        first = register.readers_for(1).readers[0]
        self.announce(register, first[-1], reaches=False)
        self.assertNotIn(first, register.readers_for(1).readers)

    def test_silent_entries_and_other_failure_domains_are_left_out(self):
        """Guards against followers of an entry that has stopped."""
        register = EntryRegister()
        self.announce(register, 1, time=0.0)
        self.announce(register, 2, time=1.0, domain=2, revision=9)
        self.announce(register, 3, time=LIFETIME_SECONDS + 0.5)
        found = register.readers_for(1)
        self.assertEqual([address[-1] for address in found.readers], [3])
        self.assertEqual(found.newest_revision, 9)


class MessageTest(TestCase):
    def test_messages_survive_the_codec(self):
        """Guards against fields that are written and read at different offsets."""
        for message in (
            Announce(0xFFFFFFFF, 1 << 40, False),
            Readers((bytes(4), b"\x0a\0\0\1"), 640, 1 << 40),
            Readers((), 0, 0),
            Subscribe(3.5, 0.125),
        ):
            data = encode_small(message)
            self.assertEqual(decode(data), message)
            for length in range(len(data)):
                cut = decode(data[:length])
                self.assertNotEqual(cut, message)

    def test_a_subscription_without_a_period_is_read(self):
        """Guards against agents that ignore entries of the previous version."""
        self.assertEqual(decode(b"\x01\x05\x0d\xac"), Subscribe(3.5))


class RecordLogTest(TestCase):
    def setUp(self):
        self.log = RecordLog()
        records = (routes(1), *published(2, server(1), server(2)))
        self.log.replace(Snapshot(10, records))

    def test_changes_are_complete_and_in_order(self):
        """Guards against a follower that misses a change or a removal."""
        newer = ServerPublished(12, server(3))
        self.log.apply(newer)
        self.log.apply(ServerRemoved(11, "i-1"))
        expected = (ServerRemoved(11, "i-1"), newer)
        self.assertEqual(self.log.changes_after(10), expected)
        self.assertEqual(self.log.changes_after(11), (newer,))
        self.assertIsNone(self.log.changes_after(9))

    def test_a_record_is_kept_only_in_its_newest_form(self):
        """Guards against memory that grows with each change."""
        for revision in range(11, 500):
            self.log.apply(ServerPublished(revision, server(1)))
        self.assertEqual(len(self.log.changes_after(10)), 1)
        self.log.apply(ServerPublished(20, server(1, slots=9)))
        self.assertEqual(self.log.changes_after(10)[0].revision, 499)

    def test_removals_that_a_snapshot_implies_are_passed_on(self):
        """Guards against a server that followers keep after the history was lost."""
        self.log.replace(Snapshot(30, published(2, server(1))))
        self.assertIn(ServerRemoved(30, "i-2"), self.log.changes_after(10))
        self.assertEqual(len(self.log.listed()), 2)

    def test_removals_are_bounded(self):
        """Guards against a log that keeps each removed server for ever."""
        for number in range(MAX_REMOVALS + 5):
            self.log.apply(ServerRemoved(20 + number, f"gone-{number}"))
        self.assertIsNone(self.log.changes_after(20))
        kept = self.log.changes_after(20 + MAX_REMOVALS)
        self.assertEqual(len(kept), 4)


class DeltaCodecTest(TestCase):
    RECORDS = (
        routes(1),
        *published(2, server(1)),
        ServerRemoved(3, "i-2"),
        RecordIgnored(4, "i-3", "no address"),
    )

    def test_all_records_survive(self):
        """Guards against a kind of record that peers do not get."""
        delta = CatalogDelta(9, True, self.RECORDS, 0.5, 3.0)
        self.assertEqual(decode_delta(encode_delta(delta)), delta)

    def test_a_delta_that_is_cut_off_is_never_accepted(self):
        """Guards against an answer that broke off and looks complete."""
        data = encode_delta(CatalogDelta(9, True, self.RECORDS, 0.5, 3.0))
        for length in range(len(data)):
            with self.assertRaises(ValueError):
                decode_delta(data[:length])

    def test_random_octets_are_refused(self):
        """Guards against a malformed message that ends a process."""
        rng = random.Random(7)
        for _ in range(500):
            with self.assertRaises(ValueError):
                decode_delta(rng.randbytes(rng.randrange(0, 200)))


class FeedTest(PausedClockTestCase):
    async def asyncSetUp(self):
        self.feed = CatalogFeed()
        self.feed.record_snapshot(Snapshot(10, (routes(1), *published(2, server(1)))))

    async def test_a_peer_gets_a_change_at_once(self):
        """Guards against followers that hear of a change at their next request."""
        waiting = asyncio.create_task(self.feed.changes_after(10, 0.75))
        await asyncio.sleep(0.3)
        change = ServerPublished(11, server(2))
        self.feed.record_changes(Changes(11, (change,)))
        before = now()
        delta = await waiting
        self.assertEqual((delta.records, delta.complete), ((change,), False))
        self.assertEqual(now(), before)

    async def test_a_quiet_time_passes_on_the_age_of_the_last_answer(self):
        """Guards against followers that take a reader's silence for freshness."""
        self.feed.record_answer(now())
        delta = await self.feed.changes_after(10, 0.75)
        self.assertEqual(delta.records, ())
        self.assertAlmostEqual(delta.age, 0.75, places=3)
        self.feed.record_answer(None)
        self.assertIsNone((await self.feed.changes_after(10, 0.1)).age)

    async def test_a_peer_that_knows_nothing_gets_everything(self):
        """Guards against an entry that starts with a part of the catalog."""
        delta = await self.feed.changes_after(0, 0.0)
        self.assertTrue(delta.complete)
        self.assertEqual(len(delta.records), 2)


class FollowingTest(PausedClockTestCase):
    async def asyncSetUp(self):
        self.source = FakeSource()
        servers = [server(number) for number in (1, 2, 4, 5, 6)]
        self.source.records = [routes(1), *published(2, *servers)]
        self.peers = FakePeers()
        self.view = CatalogView()
        self.state = Completeness()
        self.feed = CatalogFeed()
        rng = random.Random(1)
        self.selector = UpstreamSelector(OWN, TIMES, rng)
        self.follower = CatalogFollower(
            self.source,
            self.peers,
            8166,
            self.view,
            self.feed,
            self.state,
            self.selector,
            6.0,
            rng,
            CallMetrics(CounterSet()),
        )
        self.revision = 10
        self.serve(revision=10)
        self.tasks = [
            asyncio.create_task(self.follower.run()),
            asyncio.create_task(self.announce()),
        ]
        await asyncio.sleep(3)

    async def asyncTearDown(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def announce(self):
        while True:
            found = ReaderList((FIRST, SECOND, OWN), 9, self.revision)
            self.selector.record_list("10.1.0.1", found, now())
            await asyncio.sleep(1.0)

    def serve(self, *records, age=0.1, revision=None):
        """Let both readers answer with records."""
        found = revision or max((r.revision for r in records), default=10)
        for peer in (FIRST, SECOND):
            delta = CatalogDelta(found, False, records, age)
            self.peers.deltas[f"{peer}:8166"] = delta

    async def test_a_follower_makes_no_calls_to_the_service(self):
        """Guards against calls that grow with the number of entries."""
        self.serve(revision=10)
        await asyncio.sleep(1)
        before = self.source.watches
        await asyncio.sleep(20)
        self.assertEqual(self.source.watches, before)
        self.assertTrue(self.follower.reachable)
        self.assertLess(now() - self.follower.last_answer, TIMES.stale)

    async def test_a_follower_applies_what_a_reader_passes_on(self):
        """Guards against a change that only readers apply."""
        self.serve(revision=10)
        await asyncio.sleep(2)
        self.serve(ServerRemoved(11, "i-1"), ServerPublished(12, server(3)))
        await asyncio.sleep(1.0)
        listed = {s.name for s in self.view.listed("portal")}
        self.assertEqual(listed, {"i-2", "i-3", "i-4", "i-5", "i-6"})
        passed_on = await self.feed.changes_after(10, 0.0)
        self.assertEqual([r.revision for r in passed_on.records], [11, 12])

    async def test_a_change_is_in_force_if_both_readers_lose_the_service(self):
        """Guards against followers of readers that are cut off from the service.

        The limit is 5 s after the publication, as for the grown deployments.
        """
        self.serve(revision=10)
        await asyncio.sleep(2)
        cut_at = now()
        self.source.publish(ServerPublished(20, server(9)))
        while now() - cut_at < 5.0:
            self.serve(revision=10, age=now() - cut_at)
            await asyncio.sleep(0.05)
        self.assertIn("i-9", {s.name for s in self.view.listed("portal")})

    async def test_an_older_reader_reverts_nothing(self):
        """Guards against a reader that wakes up with an old catalog."""
        self.serve(ServerPublished(30, server(3)), revision=30)
        await asyncio.sleep(2)
        old = CatalogDelta(15, True, tuple(published(12, server(1))), 0.0)
        self.peers.deltas = {f"{peer}:8166": old for peer in (FIRST, SECOND)}
        await asyncio.sleep(2)
        self.assertIn("i-3", {s.name for s in self.view.listed("portal")})
        self.assertGreaterEqual(self.follower.revision, 30)

    async def test_an_outage_that_a_reader_saw_counts_here_too(self):
        """Guards against a reset while servers are about to be listed again."""
        self.serve(revision=10)
        await asyncio.sleep(5)
        self.assertTrue(self.state.is_complete(now()))
        for peer in (FIRST, SECOND):
            delta = CatalogDelta(10, False, (), 0.1, outage_age=0.5)
            self.peers.deltas[f"{peer}:8166"] = delta
        await asyncio.sleep(1)
        self.assertFalse(self.state.is_complete(now()))

    async def test_unreachable_readers_are_replaced_by_the_service(self):
        """Guards against an entry that is cut off from its failure domain only.

        The limit is 3 s after the publication, the shortest of all deployments.
        """
        self.serve(revision=10)
        await asyncio.sleep(2)
        failure = ResultError(CATALOG_PEER_UNAVAILABLE, "planted")
        self.peers.deltas = {f"{peer}:8166": failure for peer in (FIRST, SECOND)}
        self.source.publish(ServerPublished(20, server(9)))
        await asyncio.sleep(3.0)
        self.assertIn("i-9", {s.name for s in self.view.listed("portal")})

    async def test_a_pause_makes_the_passed_on_age_unknown(self):
        """Guards against a frozen reader whose old catalog counts as fresh."""
        self.follower.record_pause()
        delta = await self.feed.changes_after(10, 0.0)
        self.assertIsNone(delta.age)
        self.assertIsNotNone(delta.outage_age)


class PeerConnectionsTest(IsolatedAsyncioTestCase):
    async def test_a_waiting_request_and_another_one_get_their_own_answers(self):
        """Guards against an answer to the request that waits for changes.

        An entry follows a peer, and asks the same peer as a seed in an outage.
        """
        kernel = FakeKernel(Role.DATAGRAM_ENTRY, "127.0.0.1", {})
        server_side, peers = CatalogPeers(kernel), CatalogPeers(kernel)
        feed = CatalogFeed()
        feed.record_snapshot(Snapshot(10, (routes(1), *published(2, server(1)))))
        endpoint = f"127.0.0.1:{free_port()}"
        await server_side.serve(endpoint, feed.changes_after)
        waiting = asyncio.create_task(peers.fetch(endpoint, 10, 0.3))
        await asyncio.sleep(0.1)
        whole = await peers.fetch(endpoint, 0, 0.0)
        self.assertTrue(whole.complete)
        self.assertFalse((await waiting).complete)
        await peers.stop()
        await server_side.stop()


class PeersTest(PausedClockTestCase):
    async def page(self, peers, query):
        return await peers._page(CHANGES_PATH, query)

    async def test_malformed_requests_are_refused(self):
        """Guards against a malformed request that ends the process."""
        kernel = FakeKernel(Role.DATAGRAM_ENTRY, OWN, {})
        peers = CatalogPeers(kernel)
        feed = CatalogFeed()
        peers._answer = feed.changes_after
        for query in ("", "after=x", "after=1&wait-ms=y", "after", "after=%ff"):
            self.assertEqual((await self.page(peers, query)).status, 400, query)
        self.assertEqual((await self.page(peers, "after=1&wait-ms=-9")).status, 204)
        self.assertEqual((await peers._page("/other", "after=1")).status, 404)

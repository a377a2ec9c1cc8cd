"""A catalog that was restored from an older copy and uses revisions again."""

import asyncio
import random
import socket
from types import SimpleNamespace
from unittest import IsolatedAsyncioTestCase, TestCase

from balsamspool.datagram._codec import encode_small
from balsamspool.datagram.messages import FlowEnded
from balsamspool.kernel.clock import now
from balsamspool.kernel.counters import CounterSet
from balsamspool.kernel.errors import ResultError
from balsamspool.minihttp.client import HttpConnection
from balsamspool.placement.load import GONE_SECONDS
from balsamspool.plugins.catalog.calls import CallMetrics
from balsamspool.plugins.catalog.codes import CATALOG_OUTDATED
from balsamspool.plugins.catalog.completeness import Completeness
from balsamspool.plugins.catalog.delta import CatalogDelta, decode_delta, encode_delta
from balsamspool.plugins.catalog.feed import CatalogFeed
from balsamspool.plugins.catalog.follower import CatalogFollower
from balsamspool.plugins.catalog.model import (
    BackendState,
    Changes,
    RoutesPublished,
    ServerPublished,
    ServerRemoved,
    Snapshot,
)
from balsamspool.plugins.catalog.peers import CatalogPeers
from balsamspool.plugins.catalog.record_log import RecordLog
from balsamspool.plugins.catalog.removals import REMOVED_RETENTION_SECONDS
from balsamspool.plugins.catalog.restored_reports import CONFIRMATION_SECONDS
from balsamspool.plugins.catalog.revision import Revision
from balsamspool.plugins.catalog.upstream import (
    ReaderList,
    ReadService,
    UpstreamSelector,
    UpstreamTimes,
)
from balsamspool.plugins.catalog.view import CatalogView
from standins.ports import ADDRESS, free_port
from tests._clock import PausedClockTestCase
from tests.datagram_entry_case import DATA, KEY, EntryCase
from tests.datagram_fakes import (
    ADAPTER,  # noqa: F401  puts the adapter on the path
    FakePeers,
    FakeSource,
    published,
    route,
    routes,
    server,
)
from tests.store_case import StoreCase
from tests.test_platform_store import entry


def at(era, number):
    return Revision.of(era, number)


def report(number, sequence, state=BackendState.READY, started_ms=1000):
    """Return a report of a backend server."""
    return server(number, state=state, started_ms=started_ms, sequence=sequence)


def new_follower(source, view, feed=None):
    return CatalogFollower(
        source,
        FakePeers(),
        8166,
        view,
        feed or CatalogFeed(),
        Completeness(),
        UpstreamSelector("10.0.0.9", UpstreamTimes.from_limit(5.0), random.Random(1)),
        6.0,
        random.Random(1),
        CallMetrics(CounterSet()),
    )


class RestoredFollowerTest(PausedClockTestCase):
    async def test_a_table_at_a_revision_used_again_is_put_in_force(self):
        """Guards against a change that is never seen because its number is known."""
        view = CatalogView()
        follower = new_follower(FakeSource(), view)
        old = Snapshot(at(1, 59), (routes(at(1, 59), version=11),))
        follower.apply_delta(CatalogDelta(old.revision, True, old.records, 0.0))
        new = (routes(at(2, 59), version=14),)
        self.assertTrue(follower.apply_delta(CatalogDelta(at(2, 59), True, new, 0.0)))
        self.assertEqual(view.table.version, 14)
        self.assertEqual(follower.revision, at(2, 59))

    async def test_a_peer_in_the_old_era_does_not_win(self):
        """Guards against a peer that wins because its revision had grown further."""
        view = CatalogView()
        follower = new_follower(FakeSource(), view)
        new = (routes(at(2, 20), version=14),)
        follower.apply_delta(CatalogDelta(at(2, 20), True, new, 0.0))
        old = (ServerPublished(at(1, 90), server(1)),)
        self.assertFalse(follower.apply_delta(CatalogDelta(at(1, 90), True, old, 0.0)))
        self.assertEqual(view.servers, [])

    async def test_a_late_answer_of_the_old_era_is_rejected(self):
        """Guards against an answer from before the restore that arrives after it."""
        follower = new_follower(FakeSource(), CatalogView())
        follower.enter_era(at(2, 20))
        with self.assertRaises(ResultError) as caught:
            follower.enter_era(at(1, 90))
        self.assertIs(caught.exception.code, CATALOG_OUTDATED)

    async def test_servers_that_a_restored_catalog_lacks_are_kept_for_a_while(self):
        """Guards against giving up servers that registered in the lost seconds."""
        view = CatalogView()
        follower = new_follower(FakeSource(), view)
        known = tuple(ServerPublished(at(1, 50 + n), report(n, 1)) for n in range(1, 6))
        follower.apply_delta(CatalogDelta(at(1, 60), True, known, 0.0))
        copy = tuple(ServerPublished(at(2, 50 + n), report(n, 1)) for n in range(1, 5))
        follower.apply_delta(CatalogDelta(at(2, 54), True, copy, 0.0))
        self.assertEqual(len(view.ready("portal")), 5)
        self.assertTrue(view.has_delayed_removals)


class RestoredServiceTest(PausedClockTestCase):
    async def test_everything_is_read_again_if_a_watch_is_answered_in_a_new_era(self):
        """Guards against what was written at numbers that this process knows."""
        source, view = FakeSource(), CatalogView()
        source.revision, source.records = at(1, 59), [routes(at(1, 59), version=11)]
        follower = new_follower(source, view)
        task = asyncio.create_task(follower.run())
        self.addCleanup(task.cancel)
        await asyncio.sleep(1.0)
        source.revision, source.records = at(2, 60), [routes(at(2, 59), version=14)]
        source.queue.put_nowait(Changes(at(2, 60), ()))
        await asyncio.sleep(1.0)
        self.assertEqual(view.table.version, 14)
        self.assertEqual(follower.revision, at(2, 60))

    async def test_a_peer_that_enters_the_new_era_does_not_complete_a_watch(self):
        """Guards against changes after an old number that pass for later ones."""
        source, view = FakeSource(), CatalogView()
        source.revision, source.records = at(1, 80), [routes(at(1, 59), version=11)]
        follower = new_follower(source, view)
        task = asyncio.create_task(follower.run())
        self.addCleanup(task.cancel)
        await asyncio.sleep(1.0)
        copy = (routes(at(2, 40), version=8),)
        follower.apply_delta(CatalogDelta(at(2, 60), True, copy, 0.0))
        source.revision, source.records = at(2, 82), [routes(at(2, 70), version=14)]
        source.queue.put_nowait(Changes(at(2, 82), ()))
        await asyncio.sleep(1.0)
        self.assertEqual(view.table.version, 14)

    async def test_a_peer_of_the_old_era_is_not_asked_again_at_once(self):
        """Guards against requests without a pause to a peer that is outdated."""
        follower = new_follower(FakeSource(), CatalogView())
        follower.apply_delta(CatalogDelta(at(1, 58), True, (), 0.0))
        follower.enter_era(at(2, 10))
        selector = follower._selector
        peer, own = "10.0.0.1", "10.0.0.9"
        follower._peers.deltas[f"{peer}:8166"] = CatalogDelta(at(1, 60), False, (), 0.0)
        selector.record_list("10.0.0.5", ReaderList((peer, own), 3, at(1, 58)), now())
        await follower._follow(peer)
        chosen = selector.choose(at(1, 58), now(), now())
        self.assertEqual(chosen, ReadService())

    async def test_a_late_answer_of_the_old_era_does_not_make_the_catalog_fresh(self):
        """Guards against a peer that passes an outdated catalog on as recent."""
        source, view = FakeSource(), CatalogView()
        source.revision = at(1, 59)
        follower = new_follower(source, view)
        follower.enter_era(at(2, 10))
        task = asyncio.create_task(follower.run())
        self.addCleanup(task.cancel)
        await asyncio.sleep(0.5)
        self.assertIsNone(follower.last_answer)


class RestoredViewTest(TestCase):
    def setUp(self):
        self.view = CatalogView()

    def publish(self, revision, found):
        self.view.apply(ServerPublished(revision, found, Revision(1)), 0.0)

    def test_an_older_report_does_not_revert_a_drain(self):
        """Guards against new flows at a host whose drain report was lost."""
        self.publish(at(1, 50), report(1, 7, BackendState.DRAINING))
        for number in (40, 60):
            self.publish(at(2, number), report(1, 5))
            self.assertEqual(self.view.ready("portal"), ())

    def test_a_drain_of_the_new_era_counts_at_a_lower_revision(self):
        """Guards against a drain that is ignored until revisions have caught up."""
        self.publish(at(1, 90), report(1, 5))
        self.publish(at(2, 60), report(1, 7, BackendState.DRAINING))
        self.assertEqual(self.view.ready("portal"), ())

    def test_a_server_that_had_left_is_not_listed_by_an_old_report(self):
        """Guards against new flows at hosts that stand in the catalog again."""
        self.publish(at(1, 40), report(1, 5, BackendState.DRAINING))
        self.view.apply(ServerRemoved(at(1, 50), "i-1"), 0.0)
        self.publish(at(2, 30), report(1, 4))
        self.publish(at(2, 31), report(1, 5, BackendState.DRAINING))
        self.assertEqual(self.view.listed("portal"), ())
        self.publish(at(2, 60), report(1, 1, started_ms=9000))
        self.assertEqual(len(self.view.ready("portal")), 1)

    def expire_and_restore(self, state=BackendState.READY):
        """Let an entry expire, and list it again from a copy at 10 s."""
        for number in range(1, 4):
            self.publish(at(1, 40 + number), report(number, 5))
        self.publish(at(1, 45), report(1, 7, state))
        self.view.apply(ServerRemoved(at(1, 50), "i-1"), 9.0)
        self.view.apply(ServerPublished(at(2, 45), report(1, 7), Revision(1)), 10.0)

    def listed(self, time):
        self.view.expire(time)
        return {s.name: s.state for s in self.view.listed("portal")}

    def test_a_removed_server_that_stands_in_the_copy_is_listed_again(self):
        """Guards against a live host that is never used again (review, case 8)."""
        self.expire_and_restore()
        self.assertNotIn("i-1", self.listed(10.0 + CONFIRMATION_SECONDS - 0.1))
        self.assertEqual([s.name for s in self.view.unconfirmed], ["i-1"])
        # Another full read of the same copy does not begin the wait anew.
        again = ServerPublished(at(2, 45), report(1, 7), Revision(1))
        self.view.apply(again, 10.0 + CONFIRMATION_SECONDS - 0.1)
        found = self.listed(10.0 + CONFIRMATION_SECONDS)
        self.assertEqual(found["i-1"], BackendState.READY)
        self.assertEqual(self.view.unconfirmed, [])

    def test_a_stopped_server_that_stands_in_the_copy_is_not_listed(self):
        """Guards against new flows at a host whose entry expires a second time."""
        removal = ServerRemoved(at(2, 60), "i-1")
        for end in (removal, Snapshot(at(2, 60), ())):
            self.view = CatalogView()
            self.expire_and_restore()
            if end is removal:
                self.view.apply(end, 12.0)
            else:
                self.view.replace(end, 12.0)
            self.assertEqual(self.view.unconfirmed, [])
            self.assertNotIn("i-1", self.listed(60.0))

    def test_a_second_restore_begins_the_wait_anew(self):
        """Guards against new flows at a stopped host that stands in two copies."""
        self.expire_and_restore()
        self.view.apply(ServerPublished(at(3, 45), report(1, 7), Revision(1)), 14.0)
        self.assertNotIn("i-1", self.listed(14.0 + CONFIRMATION_SECONDS - 0.1))
        self.assertIn("i-1", self.listed(14.0 + CONFIRMATION_SECONDS))

    def test_a_server_that_had_drained_is_listed_again_as_draining(self):
        """Guards against new flows at a host whose drain report the copy lacks."""
        self.expire_and_restore(BackendState.DRAINING)
        found = self.listed(10.0 + CONFIRMATION_SECONDS)
        self.assertEqual(found["i-1"], BackendState.DRAINING)

    def test_an_older_report_of_the_copy_ends_a_delayed_removal(self):
        """Guards against a listed host that a removal of the lost era takes out."""
        for number in range(1, 4):
            self.publish(at(1, 40 + number), report(number, 5))
        self.view.record_outage(0.0)
        self.view.apply(ServerRemoved(at(1, 50), "i-1"), 1.0)
        self.assertTrue(self.view.has_delayed_removals)
        self.publish(at(2, 45), report(1, 4))
        self.assertIn("i-1", self.listed(60.0))

    def test_flows_that_open_under_an_older_table_of_the_copy_are_searched(self):
        """Guards against a reset of flows that entries opened by the older table."""
        self.view.apply(routes(at(1, 59), version=11), 0.0)
        older = routes(at(2, 40), route("records"), version=8)
        self.view.apply(older, 100.0)
        self.assertEqual(self.view.table.version, 11)
        found = self.view.services_at("198.18.0.1", 443)
        self.assertEqual(found, ("portal", "records"))

    def test_a_server_listed_again_may_hold_flows_of_unknown_tables(self):
        """Guards against a reset by a new process that takes it for a new server."""
        self.view.apply(routes(at(1, 30), version=3), 0.0)
        again = server(1, service="records")
        self.view.apply(ServerPublished(at(2, 60), again, at(2, 60)), 0.0)
        holders = self.view.unknown_holders("198.18.0.1", 443, 1.0)
        self.assertEqual([s.name for s in holders], ["i-1"])


class RestoredFlowTest(EntryCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.agent = self.open_flow()
        self.name = f"i-{self.agent.rpartition('.')[2]}"
        self.source.publish(ServerRemoved(50, self.name))
        await asyncio.sleep(2.0)
        self.source.revision = at(1, 20)
        self.source.records = [routes(at(1, 1))]
        self.source.records += published(at(1, 2), *self.servers)
        self.source.queue.put_nowait(Changes(at(1, 20), ()))
        await asyncio.sleep(1.0)
        self.peers.take()

    def unconfirmed(self):
        return [server.name for server in self.catalog.view.unconfirmed]

    async def test_a_flow_is_kept_while_its_host_is_not_confirmed(self):
        """Guards against a reset of a flow whose host is listed in the copy."""
        self.assertEqual(self.unconfirmed(), [self.name])
        self.reporting.discard(self.agent)
        await asyncio.sleep(GONE_SECONDS + 0.2)
        self.assertEqual(self.unconfirmed(), [self.name])
        self.receive(DATA)
        self.assertEqual(self.resets(), [])
        self.assertEqual(self.forwarded()[1], self.agent)

    async def test_a_flow_is_searched_for_at_its_host(self):
        """Guards against a search that leaves out a host of the copy, then or later."""
        for seconds in (GONE_SECONDS + 0.2, REMOVED_RETENTION_SECONDS):
            self.reporting.discard(self.agent)
            await asyncio.sleep(seconds)
            self.peers.receive(encode_small(FlowEnded(KEY)), (self.agent, 7720))
            self.peers.take()
            self.receive(DATA)
            message, first = self.forwarded()
            queried = [first, *map(socket.inet_ntoa, message.alternatives)]
            self.assertIn(self.agent, queried)


class RestoredRecordLogTest(TestCase):
    def setUp(self):
        self.log = RecordLog()
        table = routes(at(1, 59), version=11)
        self.log.replace(Snapshot(at(1, 59), (table,)))
        self.copy = (
            routes(at(2, 40), version=8),
            ServerPublished(at(2, 41), server(1)),
        )
        self.log.replace(Snapshot(at(2, 58), self.copy))

    def test_peers_of_the_old_era_get_everything(self):
        """Guards against changes across a restore that leave out what was lost."""
        self.assertIsNone(self.log.changes_after(at(1, 59)))
        self.log.apply(ServerRemoved(at(2, 59), "i-1"))
        changes = self.log.changes_after(at(2, 58))
        self.assertEqual([record.revision for record in changes], [at(2, 59)])

    def test_an_older_table_of_the_copy_is_not_passed_on(self):
        """Guards against a new process that gets a table that was replaced."""
        tables = [r for r in self.log.listed() if isinstance(r, RoutesPublished)]
        self.assertEqual([record.table.version for record in tables], [11])


class RestoredPeersTest(IsolatedAsyncioTestCase):
    def test_a_position_keeps_its_era_in_messages(self):
        """Guards against messages that drop the era, or that change in era 0."""
        removed = ServerRemoved(at(3, 7), "i-1")
        decoded = decode_delta(
            encode_delta(CatalogDelta(at(3, 9), False, (removed,), None))
        )
        self.assertEqual(decoded.revision.era, 3)
        self.assertEqual(decoded.records[0].revision, at(3, 7))
        self.assertEqual(int(at(0, 7)), 7)

    async def test_a_process_of_an_earlier_version_gets_no_positions(self):
        """Guards against a position that an earlier version takes for a revision."""
        peers = CatalogPeers(SimpleNamespace())
        endpoint = f"{ADDRESS}:{free_port()}"
        await peers.serve(endpoint, CatalogFeed().changes_after)
        self.addAsyncCleanup(peers.stop)
        address, port = endpoint.split(":")
        connection = HttpConnection(address, int(port))
        self.addCleanup(connection.close)
        answer = await connection.get("/catalog/changes?after=59&wait-ms=0", 1.0)
        self.assertEqual(answer.status, 404)


class RestoredStoreTest(StoreCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.store.page_items = 2
        for number in range(1, 4):
            await self.store.put(f"servers/i-{number}", entry(number))

    async def test_changes_tell_that_a_number_is_of_another_era(self):
        """Guards against changes after a number that stands for another change."""
        copy = self.store.copy()
        await self.store.put("servers/i-4", entry(4))
        known = (await self.source.read()).revision
        await self.store.restore(copy)
        for number in (5, 6):
            await self.store.put(f"servers/i-{number}", entry(number))
        self.assertFalse((await self.source.changes(known)).continues(known))
        self.assertFalse((await self.source.watch(known, 0.1)).continues(known))
        self.assertIsNone(await self.source.history(known))
        self.assertGreater((await self.source.read()).revision, known)

    async def test_pages_of_two_eras_are_not_mixed(self):
        """Guards against a snapshot whose pages are from before and after a restore."""
        copy = self.store.copy()
        await self.store.put("servers/i-4", entry(4))
        get, calls = self.source._reader.get, []

        async def restore_after_the_first_page(*arguments):
            answer = await get(*arguments)
            calls.append(answer)
            if len(calls) == 1:
                await self.store.restore(copy)
            return answer

        self.source._reader = SimpleNamespace(
            get=restore_after_the_first_page, close=self.source._reader.close
        )
        snapshot = await self.source.read()
        self.assertEqual(len(snapshot.records), 3)
        self.assertEqual({r.revision.era for r in snapshot.records}, {2})

    async def test_the_sequence_of_reports_is_read(self):
        """Guards against reports that cannot be ordered by their content."""
        await self.store.put("servers/i-1", entry(1) | {"seq": 12, "born": 1700})
        found = (await self.source.changes(Revision.of(1, 103))).records
        self.assertEqual(
            (found[0].server.sequence, found[0].server.started_ms), (12, 1700)
        )

"""Tests of the view of the published catalog, and of how it is kept up to date."""

import asyncio
import random
from unittest import TestCase

from balsamspool.kernel.clock import now
from balsamspool.kernel.counters import CounterSet
from balsamspool.kernel.errors import ResultError
from balsamspool.plugins.catalog.calls import CallMetrics
from balsamspool.plugins.catalog.codes import (
    CATALOG_HISTORY_LOST,
    CATALOG_UNAVAILABLE,
)
from balsamspool.plugins.catalog.completeness import (
    Completeness,
    explains_removals,
    unplanned_removals,
)
from balsamspool.plugins.catalog.delta import (
    CatalogDelta,
    decode_delta,
    encode_delta,
)
from balsamspool.plugins.catalog.feed import CatalogFeed
from balsamspool.plugins.catalog.follower import CatalogFollower
from balsamspool.plugins.catalog.model import (
    BackendState,
    Changes,
    RecordIgnored,
    ServerPublished,
    ServerRemoved,
    Snapshot,
)
from balsamspool.plugins.catalog.refresher import CatalogRefresher
from balsamspool.plugins.catalog.removals import REMOVED_RETENTION_SECONDS
from balsamspool.plugins.catalog.route_history import TABLE_RETENTION_SECONDS
from balsamspool.plugins.catalog.upstream import UpstreamSelector, UpstreamTimes
from balsamspool.plugins.catalog.view import (
    RELISTING_SECONDS,
    CatalogView,
)
from tests._clock import PausedClockTestCase
from tests.datagram_fakes import (
    SERVICE,
    FakePeers,
    FakeSource,
    published,
    route,
    routes,
    server,
)

DRAINING = BackendState.DRAINING


def new_follower(source, view, completeness=None, wait=6.0, peers=None):
    """Return a follower that follows peers only if they are given."""
    rng = random.Random(1)
    return CatalogFollower(
        source,
        peers or FakePeers(),
        8166 if peers else None,
        view,
        CatalogFeed(),
        completeness or Completeness(),
        UpstreamSelector("10.0.0.1", UpstreamTimes.from_limit(6.0), rng),
        wait,
        rng,
        CallMetrics(CounterSet()),
    )


def names(servers):
    return sorted(s.name for s in servers)


class CountingServers(dict):
    """Listed backend servers that count walks over all of them."""

    walks = 0

    def values(self):
        self.walks += 1
        return super().values()


class ViewTest(TestCase):
    def setUp(self):
        self.view = CatalogView()
        for record in published(1, *(server(n) for n in range(1, 6))):
            self.view.apply(record, 0.0)

    def test_an_older_route_table_is_ignored(self):
        """Guards against a return to an older route table."""
        self.view.apply(routes(10, route("portal"), version=5), 0.0)
        self.view.apply(routes(11, route("records"), version=4), 0.0)
        self.assertEqual(self.view.table.version, 5)
        self.assertEqual(self.view.route(*SERVICE).targets[0].service, "portal")

    def test_an_older_record_changes_nothing(self):
        """Guards against an outdated record that reverts a newer one."""
        self.view.apply(ServerPublished(20, server(1, state=DRAINING)), 0.0)
        self.view.apply(ServerPublished(19, server(1)), 0.0)
        self.assertEqual(names(self.view.ready("portal")), ["i-2", "i-3", "i-4", "i-5"])
        self.view.apply(ServerRemoved(21, "i-1"), 0.0)
        self.view.apply(ServerPublished(20, server(1)), 0.0)
        self.assertNotIn("i-1", names(self.view.listed("portal")))

    def test_a_draining_server_gets_no_new_flow_but_keeps_its_own(self):
        """Guards against new flows to a leaving host and against lost open flows."""
        self.view.apply(ServerPublished(20, server(1, state=DRAINING)), 0.0)
        self.assertNotIn("i-1", names(self.view.ready("portal")))
        self.assertIn("i-1", names(self.view.listed("portal")))

    def test_a_removed_server_is_remembered_for_its_flows(self):
        """Guards against open flows that are not searched for at their host."""
        self.view.apply(ServerRemoved(20, "i-1"), 0.0)
        (removed,) = self.view.recently_removed_from("portal")
        self.assertEqual((removed.server.name, removed.left), ("i-1", False))
        self.view.expire(REMOVED_RETENTION_SECONDS + 1)
        self.assertEqual(self.view.recently_removed_from("portal"), ())

    def test_servers_removed_in_an_outage_are_kept_until_they_can_be_relisted(self):
        """Guards against a service without hosts after an outage of the store."""
        self.view.record_outage(100.0)
        self.view.apply(ServerRemoved(20, "i-1"), 101.0)
        self.assertIn("i-1", names(self.view.ready("portal")))
        self.view.apply(ServerPublished(21, server(1)), 102.0)
        self.view.expire(101.0 + RELISTING_SECONDS)
        self.assertIn("i-1", names(self.view.ready("portal")))
        self.view.apply(ServerRemoved(22, "i-2"), 102.0)
        self.view.expire(102.0 + RELISTING_SECONDS)
        self.assertNotIn("i-2", names(self.view.listed("portal")))

    def test_a_removed_draining_server_is_not_kept(self):
        """Guards against new flows to a host that announced that it is leaving."""
        self.view.record_outage(100.0)
        self.view.apply(ServerPublished(20, server(1, state=DRAINING)), 100.0)
        self.view.apply(ServerRemoved(21, "i-1"), 101.0)
        self.assertNotIn("i-1", names(self.view.listed("portal")))

    def test_removals_of_half_a_service_at_once_are_delayed(self):
        """Guards against a loss of all hosts in an outage that was not detected."""
        for revision, name in enumerate(("i-1", "i-2", "i-3", "i-4", "i-5"), 20):
            self.view.apply(ServerRemoved(revision, name), 1.0)
        self.assertGreaterEqual(len(self.view.ready("portal")), 3)
        self.view.expire(1.0 + RELISTING_SECONDS)
        self.assertEqual(self.view.ready("portal"), ())

    def test_the_next_server_at_an_address_replaces_the_earlier_one(self):
        """Guards against two queries to one instance (trouble-1, second 36)."""
        old = server(7, name="i-old", started_ms=1000)
        new = server(7, name="i-new", started_ms=2000)
        self.view.apply(ServerPublished(20, old), 0.0)
        self.view.apply(ServerPublished(21, new), 0.0)
        self.assertNotIn("i-old", names(self.view.listed("portal")))
        # The catalog entry of the earlier backend server may still be written again.
        self.view.apply(ServerPublished(22, old), 0.0)
        self.assertNotIn("i-old", names(self.view.listed("portal")))
        self.assertIn("i-new", names(self.view.listed("portal")))

    def test_a_record_is_not_compared_with_all_servers(self):
        """Guards against a full read whose time grows with the square of 4,100 servers.

        Walks over all servers are counted, because elapsed time depends on the machine.
        """
        view = CatalogView()
        view._servers = CountingServers()
        servers = [server(n, address=f"10.{n >> 8}.{n & 255}.1") for n in range(400)]
        for record in published(1, *servers):
            view.apply(record, 0.0)
        self.assertEqual(len(view.servers), 400)
        # `view.servers` is the only walk.
        self.assertEqual(view._servers.walks, 1)

    def test_an_address_listed_for_another_service_is_removed_from_the_first(self):
        """Guards against packets of one service that reach another service."""
        self.view.apply(
            ServerPublished(20, server(1, "records", name="i-9", started_ms=5)), 0.0
        )
        self.assertNotIn("i-1", names(self.view.ready("portal")))
        self.assertEqual(names(self.view.ready("records")), ["i-9"])

    def test_a_server_that_restarts_under_its_name_is_listed(self):
        """Guards against an entry that is ignored because its name was removed."""
        self.view.apply(ServerRemoved(20, "i-1"), 0.0)
        self.view.apply(ServerPublished(21, server(1, started_ms=7)), 0.0)
        self.assertIn("i-1", names(self.view.ready("portal")))

    def test_an_unreadable_entry_removes_its_host(self):
        """Guards against use of a host whose entry was overwritten."""
        self.view.apply(RecordIgnored(20, "i-1", "not JSON"), 0.0)
        self.view.expire(RELISTING_SECONDS)
        self.assertNotIn("i-1", names(self.view.ready("portal")))

    def test_a_snapshot_removes_what_it_does_not_list(self):
        """Guards against hosts that stay listed forever after a loss of history."""
        kept = published(20, *(server(n) for n in (1, 2, 3, 4)))
        self.view.replace(Snapshot(30, tuple(kept)), 0.0)
        self.assertEqual(
            names(self.view.listed("portal")), ["i-1", "i-2", "i-3", "i-4"]
        )

    def test_a_snapshot_keeps_what_was_added_between_its_pages(self):
        """Guards against removal of a host that was added between two pages."""
        self.view.apply(ServerPublished(31, server(6)), 0.0)
        kept = published(20, *(server(n) for n in range(1, 6)))
        self.view.replace(Snapshot(30, tuple(kept)), 0.0)
        self.assertIn("i-6", names(self.view.listed("portal")))

    def test_earlier_services_of_a_route_are_returned_too(self):
        """Guards against open flows that are lost when their route is redirected."""
        self.view.apply(routes(20, route("portal"), version=1), 0.0)
        self.view.apply(routes(21, route("records"), version=2), 0.0)
        self.assertEqual(self.view.services_at(*SERVICE), ("records", "portal"))
        self.assertEqual(self.view.services_at("198.18.9.9", 1), ())


class CompletenessTest(TestCase):
    def test_a_removal_after_draining_is_planned(self):
        """Guards against resets that are delayed after every planned replacement."""
        leaving = ServerPublished(1, server(1, state=DRAINING))
        removed = ServerRemoved(2, "i-1")
        self.assertEqual(unplanned_removals(Changes(2, (leaving, removed))), set())
        self.assertEqual(unplanned_removals(Changes(2, (removed,))), {"i-1"})
        relisted = ServerPublished(3, server(1))
        self.assertEqual(unplanned_removals(Changes(3, (removed, relisted))), set())

    def test_a_list_is_incomplete_after_an_outage_and_after_a_start(self):
        """Guards against a reset of a flow while the entry of its host is expired."""
        state = Completeness()
        self.assertFalse(state.is_complete(0.0))
        state.record_answer(1.0)
        self.assertFalse(state.is_complete(1.1))
        state.record_history(Changes(1, ()))
        self.assertTrue(state.is_complete(1.1))
        state.record_outage(5.0)
        self.assertFalse(state.is_complete(5.0 + RELISTING_SECONDS / 2))
        self.assertTrue(state.is_complete(5.0 + RELISTING_SECONDS))

    def test_servers_that_failed_and_were_replaced_explain_their_removal(self):
        """Guards against resets that come 2 s late after a power failure.

        All instances lost power (tankline, trouble-1): their backend servers start
        again under new names, and the entries of the earlier ones expire.
        """
        started = [ServerPublished(n, server(n), n) for n in range(10, 14)]
        expired = [ServerRemoved(20 + n, f"i-{n}") for n in range(1, 5)]
        self.assertTrue(explains_removals(Changes(30, (*started, *expired))))
        self.assertFalse(explains_removals(Changes(30, (*started[:3], *expired))))

    def test_servers_that_started_and_expired_replace_none(self):
        """Guards against a reset of a flow whose host is about to be listed again.

        The servers started a short time before the outage in which they expired, so the
        history contains their start.
        """
        started = [ServerPublished(n, server(n), n) for n in range(1, 5)]
        expired = [ServerRemoved(20 + n, f"i-{n}") for n in range(1, 5)]
        self.assertFalse(explains_removals(Changes(30, (*started, *expired))))
        self.assertFalse(explains_removals(Changes(30, (*started, *expired[:2]))))

    def test_planned_replacements_explain_no_failure(self):
        """Guards against a live server that counts as replaced by a planned one."""
        planned = (
            ServerPublished(10, server(10), 10),
            ServerPublished(11, server(1, state=DRAINING), 2),
            ServerRemoved(12, "i-1"),
        )
        expired = ServerRemoved(13, "i-2")
        self.assertTrue(explains_removals(Changes(30, planned)))
        self.assertFalse(explains_removals(Changes(30, (*planned, expired))))

    def test_a_server_that_is_listed_again_is_a_sign_of_an_outage(self):
        """Guards against a reset of a flow whose host is about to be listed again."""
        records = (
            *(ServerPublished(n, server(n), n) for n in range(10, 14)),
            ServerRemoved(20, "i-1"),
            ServerRemoved(21, "i-2"),
            ServerPublished(22, server(1), 22),
        )
        self.assertFalse(explains_removals(Changes(30, records)))

    def test_the_list_stays_incomplete_if_the_history_is_lost(self):
        """Guards against treating a lost history as a history without removals."""
        state = Completeness()
        state.record_answer(1.0)
        state.record_history(None)
        self.assertFalse(state.is_complete(1.1))
        self.assertTrue(state.is_complete(1.0 + RELISTING_SECONDS))


class KnownServicesTest(TestCase):
    """Guards against a reset of a flow that an earlier service of its route holds."""

    def view(self, created, **fields):
        view = CatalogView()
        view.apply(ServerPublished(5, server(1), 2), 0.0)
        records = server(2, "records", **fields)
        view.apply(ServerPublished(6, records, created), 0.0)
        view.apply(routes(10), 0.0)
        return view

    def test_a_server_that_is_older_than_the_table_may_hold_flows(self):
        view = self.view(created=3)
        self.assertEqual(names(view.unknown_holders(*SERVICE, 1.0)), ["i-2"])
        self.assertEqual(view.unknown_holders(*SERVICE, TABLE_RETENTION_SECONDS), [])

    def test_a_new_entry_does_not_show_that_its_server_is_new(self):
        """The entry expired in an outage and was created again (review, case 4)."""
        for created in (0, 10, 30):
            view = self.view(created=created)
            self.assertEqual(names(view.unknown_holders(*SERVICE, 1.0)), ["i-2"])

    def test_earlier_services_are_learned_from_the_history(self):
        """The process started after the route was directed to another service."""
        view = self.view(created=3)
        view.learn_history([routes(4, route("records")), routes(8, route("portal"))])
        self.assertEqual(view.services_at(*SERVICE), ("portal", "records"))
        view.learn_history([routes(12, route("later"))])
        self.assertEqual(view.services_at(*SERVICE), ("portal", "records"))

    def test_no_history_shows_that_a_server_is_new(self):
        """The history of the service begins after the entry had expired."""
        histories = (
            [],
            [routes(4, route("portal"))],
            [ServerPublished(30, server(2, "records"), 30)],
            [ServerRemoved(25, "i-2"), ServerPublished(30, server(2, "records"), 30)],
            [ServerPublished(20, server(2, "records"), 4), ServerRemoved(25, "i-2")],
            [ServerPublished(40, server(3), 40)],
        )
        for history in histories:
            view = self.view(created=30)
            view.learn_history(history)
            self.assertEqual(names(view.unknown_holders(*SERVICE, 1.0)), ["i-2"])

    def test_a_server_that_appears_later_may_be_older(self):
        """Its instance was cut off from the service for longer than an outage."""
        view = self.view(created=3)
        view.apply(ServerPublished(40, server(3, "reports"), 40), 30.0)
        holders = names(view.unknown_holders(*SERVICE, 31.0))
        self.assertEqual(holders, ["i-2", "i-3"])

    def test_a_removed_server_of_another_service_is_remembered(self):
        """Its instance was cut off from the service, and it still serves its flows."""
        view = self.view(created=3)
        view.apply(ServerRemoved(40, "i-2"), 10.0)
        view.expire(10.0 + RELISTING_SECONDS)
        (removed,) = view.recently_removed_except(view.services_at(*SERVICE))
        self.assertEqual(removed.server.name, "i-2")

    def test_a_server_that_is_listed_again_may_hold_flows(self):
        """Its catalog entry expired in an outage after the route was redirected."""
        view = self.view(created=3)
        self.list_again(view, server(2, "records"))
        self.assertEqual(names(view.unknown_holders(*SERVICE, 1.0)), ["i-2"])

    def list_again(self, view, backend_server):
        view.apply(ServerRemoved(11, backend_server.name), 0.0)
        view.expire(RELISTING_SECONDS)
        self.assertEqual(view.ready(backend_server.service), ())
        view.apply(ServerPublished(12, backend_server, 12), RELISTING_SECONDS)

    def test_the_creation_of_an_entry_is_passed_on_to_peers(self):
        """Guards against a peer that orders two entries at one address otherwise."""
        records = (routes(10), ServerPublished(12, server(2, "records"), 10))
        delta = CatalogDelta(12, True, records, 0.0)
        self.assertEqual(decode_delta(encode_delta(delta)).records, records)


class FollowerTest(PausedClockTestCase):
    async def asyncSetUp(self):
        self.source = FakeSource()
        self.source.records = [routes(1), *published(2, server(1), server(2))]
        self.view = CatalogView()
        self.state = Completeness()
        self.follower = new_follower(self.source, self.view, self.state, wait=2.5)
        self.task = asyncio.create_task(self.follower.run())

    async def asyncTearDown(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    async def test_changes_are_followed(self):
        """Guards against a change that is applied late."""
        await asyncio.sleep(1)
        self.source.publish(ServerPublished(20, server(1, state=DRAINING)))
        await asyncio.sleep(0.3)
        self.assertEqual(names(self.view.ready("portal")), ["i-2"])

    async def test_lost_history_is_read_again(self):
        """Guards against a view that stays outdated after a compaction of the store."""
        await asyncio.sleep(1)
        self.source.records = [routes(30, version=9), *published(31, server(3))]
        self.source.revision = 40
        self.source.queue.put_nowait(ResultError(CATALOG_HISTORY_LOST, "410"))
        await asyncio.sleep(0.3)
        self.assertEqual(self.source.reads, 2)
        self.assertEqual(self.view.table.version, 9)

    async def test_an_outage_keeps_the_view_and_ends_within_a_second(self):
        """Guards against losing the view in an outage, and against a slow recovery."""
        await asyncio.sleep(1)
        self.source.failure = ResultError(CATALOG_UNAVAILABLE, "503")
        await asyncio.sleep(10)
        self.assertFalse(self.follower.reachable)
        self.assertEqual(names(self.view.ready("portal")), ["i-1", "i-2"])
        calls = self.source.watches
        await asyncio.sleep(10)
        self.assertLess(self.source.watches - calls, 25)
        self.source.failure = None
        self.source.publish(*published(50, server(1), server(2), server(3)))
        await asyncio.sleep(1.3)
        self.assertTrue(self.follower.reachable)
        self.assertEqual(len(self.view.ready("portal")), 3)

    async def test_an_outage_ends_with_the_first_answer(self):
        """Guards against a list that counts as complete before servers are relisted.

        The last failure may be a second older than the end of the outage.
        """
        self.source.failure = ResultError(CATALOG_UNAVAILABLE, "503")
        await asyncio.sleep(10)
        self.source.failure = None
        regained = self.follower.last_answer
        while self.follower.last_answer == regained:
            await asyncio.sleep(0.01)
        self.assertAlmostEqual(
            self.state.seconds_until_complete(now()), RELISTING_SECONDS, 1
        )

    async def test_steady_changes_cost_at_most_three_calls_a_second(self):
        """Guards against 640 entries that make more than 2,000 calls per second."""
        await asyncio.sleep(1)
        before = self.source.watches
        for revision in range(100, 200):
            self.source.publish(*published(revision, server(revision - 90)))
            await asyncio.sleep(0.1)
        self.assertLessEqual(self.source.watches - before, 30)

    async def test_changes_in_a_row_cost_few_calls(self):
        """Guards against a call for each of many changes."""
        await asyncio.sleep(1)
        before = self.source.watches
        for revision in range(100, 120):
            self.source.publish(*published(revision, server(revision - 90)))
            await asyncio.sleep(0.05)
        await asyncio.sleep(1)
        self.assertLess(self.source.watches - before, 22)


class RefresherTest(PausedClockTestCase):
    async def asyncSetUp(self):
        self.source = FakeSource()
        self.view = CatalogView()
        state = Completeness()
        state.record_answer(0.0)
        self.follower = new_follower(self.source, self.view, state)
        self.follower.apply_delta(CatalogDelta(10, True, (), None))
        self.refresher = CatalogRefresher(self.source, self.view, state, self.follower)
        self.task = asyncio.create_task(self.refresher.run())
        await asyncio.sleep(1)

    async def asyncTearDown(self):
        self.task.cancel()

    async def test_a_read_starts_after_its_request(self):
        """Guards against a decision on a list that is older than the request."""
        requested_at = now()
        self.refresher.request()
        await asyncio.sleep(0.01)
        self.assertGreaterEqual(self.refresher.started, requested_at)
        for _ in range(100):
            self.refresher.request()
            await asyncio.sleep(0.01)
        self.assertLess(self.source.updates, 12)

    async def test_only_changes_are_read(self):
        """Guards against full reads that fill a slow link (trouble-2 of a trial)."""
        self.source.records = published(11, server(1))
        self.source.revision = 11
        self.refresher.request()
        await asyncio.sleep(0.01)
        self.assertEqual([s.name for s in self.view.servers], ["i-1"])
        self.assertEqual((self.source.reads, self.source.updates), (0, 1))

    async def test_all_is_read_if_the_history_is_lost(self):
        """Guards against a decision on a list that lacks the lost changes."""

        async def changes(after):
            raise ResultError(CATALOG_HISTORY_LOST, "410")

        self.source.changes = changes
        self.source.records = published(11, server(1))
        self.refresher.request()
        await asyncio.sleep(0.01)
        self.assertEqual([s.name for s in self.view.servers], ["i-1"])
        self.assertEqual(self.source.reads, 1)

    async def test_a_failed_read_does_not_count(self):
        """Guards against a decision after a read that failed."""
        self.source.failure = ResultError(CATALOG_UNAVAILABLE, "503")
        requested_at = now()
        self.refresher.request()
        await asyncio.sleep(0.01)
        self.assertLess(self.refresher.started, requested_at)


class DeltaTest(PausedClockTestCase):
    async def test_only_newer_records_of_a_peer_are_applied(self):
        """Guards against a view that reverts to that of a partitioned peer."""
        view = CatalogView()
        follower = new_follower(FakeSource(), view)
        for record in published(5, server(1), server(3), server(4)):
            view.apply(record, 0.0)
        known = published(6, server(3), server(4), server(2))
        newer = CatalogDelta(20, True, (routes(8, version=3), *known), 0.1)
        self.assertTrue(follower.apply_delta(newer))
        self.assertEqual(names(view.listed("portal")), ["i-2", "i-3", "i-4"])
        stale = (routes(7, version=2), ServerPublished(5, server(1)))
        self.assertFalse(follower.apply_delta(CatalogDelta(10, True, stale, 0.1)))
        self.assertEqual(view.table.version, 3)
        self.assertEqual(names(view.listed("portal")), ["i-2", "i-3", "i-4"])

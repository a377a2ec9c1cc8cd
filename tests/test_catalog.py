"""What a process believes of the published catalog, and when."""

import asyncio
import random
from unittest import TestCase

import msgspec

from balsamspool.kernel.clock import now
from balsamspool.kernel.errors import ResultError
from balsamspool.plugins.catalog.codes import (
    CATALOG_HISTORY_LOST,
    CATALOG_UNAVAILABLE,
)
from balsamspool.plugins.catalog.completeness import (
    Completeness,
    unexplained_removals,
)
from balsamspool.plugins.catalog.exchange import CatalogExchange, CatalogState
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
from balsamspool.plugins.catalog.view import (
    DEPARTED_SECONDS,
    FLOW_LIFE_SECONDS,
    RETURN_SECONDS,
    CatalogView,
)
from tests._clock import PausedClockTestCase
from tests.datagram_fakes import SERVICE, FakeSource, published, route, routes, server

DRAINING = BackendState.DRAINING


def names(servers):
    return sorted(s.name for s in servers)


class ViewTest(TestCase):
    def setUp(self):
        self.view = CatalogView()
        for record in published(1, *(server(n) for n in range(1, 6))):
            self.view.apply(record, 0.0)

    def test_a_version_never_goes_back(self):
        """Guards against a configuration that reverts."""
        self.view.apply(routes(10, route("portal"), version=5), 0.0)
        self.view.apply(routes(11, route("records"), version=4), 0.0)
        self.assertEqual(self.view.table.version, 5)
        self.assertEqual(self.view.route(*SERVICE).targets[0].service, "portal")

    def test_an_older_record_changes_nothing(self):
        """Guards against a stale page that undoes a change."""
        self.view.apply(ServerPublished(20, server(1, state=DRAINING)), 0.0)
        self.view.apply(ServerPublished(19, server(1)), 0.0)
        self.assertEqual(names(self.view.ready("portal")), ["i-2", "i-3", "i-4", "i-5"])
        self.view.apply(ServerRemoved(21, "i-1"), 0.0)
        self.view.apply(ServerPublished(20, server(1)), 0.0)
        self.assertNotIn("i-1", names(self.view.listed("portal")))

    def test_a_draining_server_gets_no_new_flow_but_keeps_its_own(self):
        """Guards against new work on a leaving host, and against lost flows."""
        self.view.apply(ServerPublished(20, server(1, state=DRAINING)), 0.0)
        self.assertNotIn("i-1", names(self.view.ready("portal")))
        self.assertIn("i-1", names(self.view.listed("portal")))

    def test_a_removed_server_is_remembered_for_its_flows(self):
        """Guards against open flows that are never looked for at their host."""
        self.view.apply(ServerRemoved(20, "i-1"), 0.0)
        self.assertEqual(names(self.view.departed("portal")), ["i-1"])
        self.view.expire(DEPARTED_SECONDS + 1)
        self.assertEqual(self.view.departed("portal"), ())

    def test_entries_that_lapse_in_an_outage_are_kept_until_they_can_return(self):
        """Guards against a service without hosts after an outage of the store."""
        self.view.note_outage(100.0)
        self.view.apply(ServerRemoved(20, "i-1"), 101.0)
        self.assertIn("i-1", names(self.view.ready("portal")))
        self.view.apply(ServerPublished(21, server(1)), 102.0)
        self.view.expire(101.0 + RETURN_SECONDS)
        self.assertIn("i-1", names(self.view.ready("portal")))
        self.view.apply(ServerRemoved(22, "i-2"), 102.0)
        self.view.expire(102.0 + RETURN_SECONDS)
        self.assertNotIn("i-2", names(self.view.listed("portal")))

    def test_a_draining_server_that_left_is_not_kept(self):
        """Guards against new flows to a host that said it leaves."""
        self.view.note_outage(100.0)
        self.view.apply(ServerPublished(20, server(1, state=DRAINING)), 100.0)
        self.view.apply(ServerRemoved(21, "i-1"), 101.0)
        self.assertNotIn("i-1", names(self.view.listed("portal")))

    def test_removals_of_half_a_service_at_once_count_as_lapsed(self):
        """Guards against an outage that this process did not notice."""
        for revision, name in enumerate(("i-1", "i-2", "i-3", "i-4", "i-5"), 20):
            self.view.apply(ServerRemoved(revision, name), 1.0)
        self.assertGreaterEqual(len(self.view.ready("portal")), 3)
        self.view.expire(1.0 + RETURN_SECONDS)
        self.assertEqual(self.view.ready("portal"), ())

    def test_the_next_server_at_an_address_replaces_the_earlier_one(self):
        """Guards against an instance that is asked twice (trouble-1, second 36)."""
        old = server(7, name="i-old", started_ms=1000)
        new = server(7, name="i-new", started_ms=2000)
        self.view.apply(ServerPublished(20, old), 0.0)
        self.view.apply(ServerPublished(21, new), 0.0)
        self.assertNotIn("i-old", names(self.view.listed("portal")))
        # The entry of the earlier one may still be written once more.
        self.view.apply(ServerPublished(22, old), 0.0)
        self.assertNotIn("i-old", names(self.view.listed("portal")))
        self.assertIn("i-new", names(self.view.listed("portal")))

    def test_an_address_that_another_service_takes_over_leaves_the_first(self):
        """Guards against a packet of one service that reaches another."""
        self.view.apply(
            ServerPublished(20, server(1, "records", name="i-9", started_ms=5)), 0.0
        )
        self.assertNotIn("i-1", names(self.view.ready("portal")))
        self.assertEqual(names(self.view.ready("records")), ["i-9"])

    def test_a_server_that_starts_again_under_its_name_counts_as_new(self):
        """Guards against an entry that is refused because its name is known."""
        self.view.apply(ServerRemoved(20, "i-1"), 0.0)
        self.view.apply(ServerPublished(21, server(1, started_ms=7)), 0.0)
        self.assertIn("i-1", names(self.view.ready("portal")))

    def test_an_unreadable_entry_names_no_host(self):
        """Guards against a host that is used after its entry was overwritten."""
        self.view.apply(RecordIgnored(20, "i-1", "not JSON"), 0.0)
        self.view.expire(RETURN_SECONDS)
        self.assertNotIn("i-1", names(self.view.ready("portal")))

    def test_a_snapshot_removes_what_it_does_not_list(self):
        """Guards against hosts that stay for ever after lost history."""
        kept = published(20, *(server(n) for n in (1, 2, 3, 4)))
        self.view.replace(Snapshot(30, tuple(kept)), 0.0)
        self.assertEqual(
            names(self.view.listed("portal")), ["i-1", "i-2", "i-3", "i-4"]
        )

    def test_a_snapshot_keeps_what_was_added_between_its_pages(self):
        """Guards against a new host that is dropped because pages are no snapshot."""
        self.view.apply(ServerPublished(31, server(6)), 0.0)
        kept = published(20, *(server(n) for n in range(1, 6)))
        self.view.replace(Snapshot(30, tuple(kept)), 0.0)
        self.assertIn("i-6", names(self.view.listed("portal")))

    def test_earlier_services_of_a_route_are_searched_too(self):
        """Guards against open flows that are lost when their route is redirected."""
        self.view.apply(routes(20, route("portal"), version=1), 0.0)
        self.view.apply(routes(21, route("records"), version=2), 0.0)
        self.assertEqual(self.view.services_at(*SERVICE), ("records", "portal"))
        self.assertEqual(self.view.services_at("198.18.9.9", 1), ())


class CompletenessTest(TestCase):
    def test_a_planned_leave_explains_a_removal(self):
        """Guards against resets that wait after every planned replacement."""
        leaving = ServerPublished(1, server(1, state=DRAINING))
        gone = ServerRemoved(2, "i-1")
        self.assertEqual(unexplained_removals(Changes(2, (leaving, gone))), set())
        self.assertEqual(unexplained_removals(Changes(2, (gone,))), {"i-1"})
        back = ServerPublished(3, server(1))
        self.assertEqual(unexplained_removals(Changes(3, (gone, back))), set())

    def test_a_list_is_incomplete_after_an_outage_and_after_a_start(self):
        """Guards against a reset of a flow whose host's entry has lapsed."""
        state = Completeness()
        self.assertFalse(state.holds(0.0))
        state.note_answer(1.0)
        self.assertFalse(state.holds(1.1))
        state.note_history(Changes(1, ()))
        self.assertTrue(state.holds(1.1))
        state.note_outage(5.0)
        self.assertFalse(state.holds(5.0 + RETURN_SECONDS / 2))
        self.assertTrue(state.holds(5.0 + RETURN_SECONDS))

    def test_a_lost_history_explains_nothing(self):
        """Guards against trust in a history that is not there."""
        state = Completeness()
        state.note_answer(1.0)
        state.note_history(None)
        self.assertFalse(state.holds(1.1))
        self.assertTrue(state.holds(1.0 + RETURN_SECONDS))


class KnownServicesTest(TestCase):
    """Guards against a reset of a flow at a service that the route had before."""

    def view(self, created):
        view = CatalogView()
        view.apply(ServerPublished(5, server(1), 2), 0.0)
        view.apply(ServerPublished(6, server(2, "records"), created), 0.0)
        view.apply(routes(10), 0.0)
        return view

    def test_a_server_that_is_older_than_the_table_may_hold_flows(self):
        view = self.view(created=3)
        self.assertFalse(view.knows_services(*SERVICE, 1.0))
        self.assertTrue(view.knows_services(*SERVICE, FLOW_LIFE_SECONDS))

    def test_a_server_that_is_newer_than_the_table_holds_none(self):
        self.assertTrue(self.view(created=10).knows_services(*SERVICE, 1.0))

    def test_an_unknown_age_counts_as_older(self):
        self.assertFalse(self.view(created=0).knows_services(*SERVICE, 1.0))

    def test_the_age_is_passed_on_to_peers(self):
        copy = CatalogView()
        for record in self.view(created=10).records():
            copy.apply(record, 0.0)
        self.assertTrue(copy.knows_services(*SERVICE, 1.0))


class FollowerTest(PausedClockTestCase):
    async def asyncSetUp(self):
        self.source = FakeSource()
        self.source.records = [routes(1), *published(2, server(1), server(2))]
        self.view = CatalogView()
        self.state = Completeness()
        self.follower = CatalogFollower(
            self.source, self.view, self.state, 2.5, random.Random(1)
        )
        self.task = asyncio.create_task(self.follower.run())

    async def asyncTearDown(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    async def test_changes_are_followed(self):
        """Guards against a change that is seen late."""
        await asyncio.sleep(1)
        self.source.publish(ServerPublished(20, server(1, state=DRAINING)))
        await asyncio.sleep(0.3)
        self.assertEqual(names(self.view.ready("portal")), ["i-2"])

    async def test_lost_history_is_read_again(self):
        """Guards against a view that stays behind after a compaction."""
        await asyncio.sleep(1)
        self.source.records = [routes(30, version=9), *published(31, server(3))]
        self.source.revision = 40
        self.source.queue.put_nowait(ResultError(CATALOG_HISTORY_LOST, "410"))
        await asyncio.sleep(0.3)
        self.assertEqual(self.source.reads, 2)
        self.assertEqual(self.view.table.version, 9)

    async def test_an_outage_keeps_the_view_and_ends_within_a_second(self):
        """Guards against a process that forgets, or that notices a return late."""
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
        """Guards against a list that counts as complete before entries are back.

        The last failure may be a second older than the end of the outage.
        """
        self.source.failure = ResultError(CATALOG_UNAVAILABLE, "503")
        await asyncio.sleep(10)
        self.source.failure = None
        regained = self.follower.answered
        while self.follower.answered == regained:
            await asyncio.sleep(0.01)
        self.assertAlmostEqual(self.state.delay(now()), RETURN_SECONDS, 1)

    async def test_steady_changes_cost_at_most_three_calls_a_second(self):
        """Guards against 640 entries that call more than 2,000 times a second."""
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
        state.note_answer(0.0)
        self.follower = CatalogFollower(
            self.source, self.view, state, 6.0, random.Random(1)
        )
        self.follower.adopt(Snapshot(10, ()))
        self.refresher = CatalogRefresher(self.source, self.view, state, self.follower)
        self.task = asyncio.create_task(self.refresher.run())
        await asyncio.sleep(1)

    async def asyncTearDown(self):
        self.task.cancel()

    async def test_a_reading_begins_after_it_was_asked_for(self):
        """Guards against a decision on a list that is older than the question."""
        asked = now()
        self.refresher.request()
        await asyncio.sleep(0.01)
        self.assertGreaterEqual(self.refresher.started, asked)
        for _ in range(100):
            self.refresher.request()
            await asyncio.sleep(0.01)
        self.assertLess(self.source.updates, 12)

    async def test_only_changes_are_read(self):
        """Guards against full readings that fill a thin link (trouble-2 of a trial)."""
        self.source.records = published(11, server(1))
        self.source.revision = 11
        self.refresher.request()
        await asyncio.sleep(0.01)
        self.assertEqual([s.name for s in self.view.servers], ["i-1"])
        self.assertEqual((self.source.reads, self.source.updates), (0, 1))

    async def test_all_is_read_if_the_history_is_lost(self):
        """Guards against a decision on a list that misses what was forgotten."""

        async def changes(after):
            raise ResultError(CATALOG_HISTORY_LOST, "410")

        self.source.changes = changes
        self.source.records = published(11, server(1))
        self.refresher.request()
        await asyncio.sleep(0.01)
        self.assertEqual([s.name for s in self.view.servers], ["i-1"])
        self.assertEqual(self.source.reads, 1)

    async def test_an_answer_that_is_missing_decides_nothing(self):
        """Guards against a failed reading that counts as one."""
        self.source.failure = ResultError(CATALOG_UNAVAILABLE, "503")
        asked = now()
        self.refresher.request()
        await asyncio.sleep(0.01)
        self.assertLess(self.refresher.started, asked)


class ExchangeTest(PausedClockTestCase):
    def follower(self, source, view):
        return CatalogFollower(source, view, Completeness(), 6.0, random.Random(1))

    async def test_a_peer_that_knows_more_is_believed_and_one_that_knows_less_not(self):
        """Guards against a view that goes back because of a peer behind a cut."""
        ahead, behind = CatalogView(), CatalogView()
        source = FakeSource()
        follower = self.follower(source, behind)
        for record in published(5, server(1), server(3), server(4)):
            behind.apply(record, 0.0)
        known = published(6, server(3), server(4), server(2))
        self.assertTrue(follower.adopt(Snapshot(20, (routes(8, version=3), *known))))
        self.assertEqual(names(behind.listed("portal")), ["i-2", "i-3", "i-4"])
        older = Snapshot(10, (routes(7, version=2), ServerPublished(5, server(1))))
        self.assertFalse(follower.adopt(older))
        self.assertEqual(behind.table.version, 3)
        self.assertEqual(ahead.records(), ())

    async def test_the_page_for_a_peer_holds_all_records(self):
        """Guards against a peer that learns only a part."""
        view = CatalogView()
        follower = self.follower(FakeSource(), view)
        records = (routes(8, version=3), *published(20, server(1), server(2)))
        follower.adopt(Snapshot(30, records))
        exchange = CatalogExchange(follower, view, "10.0.0.1:1", random.Random(1))
        page = exchange.page("after=29")
        state = msgspec.msgpack.decode(page.body, type=CatalogState)
        self.assertEqual(state.revision, 30)
        self.assertEqual((state.routes, *state.servers), records)
        self.assertEqual(exchange.page("after=30").status, 204)
        self.assertEqual(exchange.page("nonsense").status, 204)

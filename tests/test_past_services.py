"""Earlier services of a route, at whose hosts its flows may be open."""

import asyncio
import socket
from unittest import TestCase

from balsamspool.plugins.catalog.model import Route, Target
from balsamspool.plugins.catalog.past_services import (
    MAX_ROUTES,
    MAX_SERVICES,
    NOT_LEFT,
    PastServices,
)
from balsamspool.plugins.catalog.plugin import CatalogSettings
from balsamspool.plugins.catalog.revision import Revision
from balsamspool.plugins.catalog.route_history import (
    FLOW_LIFE_SECONDS,
    OUTDATED_USE_SECONDS,
    TABLE_RETENTION_SECONDS,
)
from balsamspool.plugins.catalog.view import CatalogView
from tests.datagram_entry_case import DATA, EntryCase
from tests.datagram_fakes import SERVICE, published, route, routes, server

OTHER_ROUTE = ("198.18.0.2", 443)


class RouteChangesTest(TestCase):
    def setUp(self):
        self.view = CatalogView()
        self.version = 0
        self.direct(0.0, "a", "b")

    def direct(self, time, *services):
        """Direct the route to services."""
        self.publish(time, route(*services))

    def publish(self, time, *found):
        self.version += 1
        record = routes(self.version, *found, version=self.version)
        self.view.apply(record, time)

    def services(self, time):
        self.view.expire(time)
        return self.view.services_at(*SERVICE)

    def known(self, time):
        return self.view.knows_all_services(*SERVICE, time)

    def test_two_changes_in_a_row_forget_no_service(self):
        """Guards against a reset of flows of the fourth service (review, case 2)."""
        self.direct(82.0, "c", "d")
        self.direct(84.0, "c")
        self.assertEqual(set(self.services(88.0)), {"a", "b", "c", "d"})
        self.assertTrue(self.known(88.0))

    def test_a_service_is_remembered_until_its_flows_have_ended(self):
        """Guards against a place in a list that decides when a service is forgotten."""
        self.direct(100.0, "c")
        self.direct(110.0, "d")
        end = 100.0 + TABLE_RETENTION_SECONDS
        self.assertEqual(set(self.services(end - 1.0)), {"a", "b", "c", "d"})
        self.assertEqual(set(self.services(end + 1.0)), {"c", "d"})
        self.assertEqual(set(self.services(end + 12.0)), {"d"})

    def test_a_service_that_comes_back_is_remembered_from_its_last_use(self):
        """Guards against a life that begins when the service left the first time."""
        self.direct(100.0, "c")
        self.direct(150.0, "a")
        self.direct(155.0, "c")
        self.assertEqual(
            set(self.services(100.0 + TABLE_RETENTION_SECONDS + 2)), {"a", "c"}
        )

    def test_a_storm_of_changes_forgets_no_service_in_silence(self):
        """Guards against a bound that makes a search shorter than it has to be."""
        for number in range(3 * MAX_SERVICES):
            time = 100.0 + number / 4
            self.direct(time, f"s-{number}")
            everything = {"a", "b", *(f"s-{n}" for n in range(number + 1))}
            complete = set(self.services(time)) == everything
            self.assertEqual(self.known(time), complete, number)
        self.assertFalse(self.known(time + 1.0))
        self.assertTrue(self.known(time + TABLE_RETENTION_SECONDS))

    def test_all_targets_of_a_split_are_remembered(self):
        """Guards against a limit that a single table exceeds."""
        many = [f"s-{n}" for n in range(MAX_SERVICES)]
        self.direct(100.0, *many)
        self.direct(170.0, "z")
        self.assertEqual(set(self.services(171.0)), {"z", *many})

    def test_a_route_that_is_removed_and_comes_back(self):
        """Guards against flows that are forgotten while their route is missing."""
        elsewhere = route("x", address=OTHER_ROUTE)
        self.publish(100.0, elsewhere)
        self.assertEqual(self.services(101.0), ())
        self.publish(102.0, elsewhere, route("c"))
        self.assertEqual(set(self.services(103.0)), {"a", "b", "c"})

    def test_a_table_of_a_restored_catalog_counts_until_it_is_replaced(self):
        """Guards against flows that processes open by the older table meanwhile."""
        self.version = 10
        self.direct(100.0, "c")
        older = routes(Revision.of(1, 5), route("old"), version=8)
        self.view.apply(older, 110.0)
        self.assertIn("old", self.services(110.0 + 2 * TABLE_RETENTION_SECONDS))
        again = routes(Revision.of(1, 9), route("c"), version=11)
        self.view.apply(again, 300.0)
        self.assertIn("old", self.services(300.0 + TABLE_RETENTION_SECONDS - 1))
        self.assertNotIn("old", self.services(300.0 + TABLE_RETENTION_SECONDS + 1))

    def test_a_learned_table_is_remembered_from_its_replacement(self):
        """Guards against flows that a process does not know from its start on."""
        view = CatalogView()
        view.apply(routes(20, route("c"), version=2), 50.0)
        view.learn_history([routes(10, route("a"), version=1)])
        view.expire(50.0 + TABLE_RETENTION_SECONDS - 1)
        self.assertEqual(view.services_at(*SERVICE), ("c", "a"))
        view.expire(50.0 + TABLE_RETENTION_SECONDS + 1)
        self.assertEqual(view.services_at(*SERVICE), ("c",))

    def test_the_life_of_a_flow_is_a_setting(self):
        """Guards against a deployment whose flows live longer than usual."""
        settings = CatalogSettings(flow_seconds=90.0)
        view = CatalogView(settings.flow_seconds)
        view.apply(routes(1, route("a"), version=1), 0.0)
        view.apply(routes(2, route("b"), version=2), 10.0)
        retention = 90.0 + OUTDATED_USE_SECONDS
        self.assertFalse(view.knows_all_services(*SERVICE, retention - 1.0))
        view.expire(9.0 + retention)
        self.assertEqual(view.services_at(*SERVICE), ("b", "a"))

    def test_entries_that_apply_a_table_later_open_flows_by_the_earlier_one(self):
        """Guards against a reset of a flow that opened after its service had left."""
        self.direct(100.0, "c")
        opened = 100.0 + CatalogSettings().apply_milliseconds / 1000
        end = opened + FLOW_LIFE_SECONDS
        self.assertEqual(set(self.services(end)), {"a", "b", "c"})
        # The same holds for a process that did not know the earlier table.
        started = CatalogView()
        started.apply(routes(9, route("c"), version=9), 100.0)
        self.assertFalse(started.knows_all_services(*SERVICE, end))


class BoundsTest(TestCase):
    def test_the_number_of_routes_is_bounded(self):
        """Guards against memory that grows with each route that ever changed."""
        past = PastServices(TABLE_RETENTION_SECONDS)
        for number in range(MAX_ROUTES + 5):
            past.record((f"10.0.{number >> 8}.{number & 255}", 1), ["a"], 100.0)
        self.assertEqual(len(past._left), MAX_ROUTES)
        self.assertFalse(past.are_known(SERVICE, 120.0))
        self.assertTrue(past.are_known(SERVICE, 100.0 + TABLE_RETENTION_SECONDS))
        past.expire(100.0 + TABLE_RETENTION_SECONDS)
        self.assertEqual(len(past._left), 0)

    def test_a_bound_that_is_reached_before_a_service_left(self):
        """Guards against services that stay unknown forever after a restore."""
        past = PastServices(TABLE_RETENTION_SECONDS)
        past.record(SERVICE, [f"s-{n}" for n in range(MAX_SERVICES + 1)], NOT_LEFT)
        self.assertFalse(past.are_known(SERVICE, 1e6))
        past.end_use(200.0)
        self.assertTrue(past.are_known(SERVICE, 200.0 + TABLE_RETENTION_SECONDS))

    def test_unchanged_routes_take_no_memory(self):
        """Guards against a copy of each large route table."""
        view = CatalogView()
        many = [
            Route(f"r-{n}", f"198.19.{n >> 8}.{n & 255}", 443, (Target("a"),))
            for n in range(1_000)
        ]
        for version in range(1, 5):
            view.apply(routes(version, *many, version=version), float(version))
        self.assertEqual(len(view._routes._past_services._left), 0)


class SearchTest(EntryCase):
    async def test_the_hosts_of_the_fourth_service_are_asked(self):
        """Guards against a reset of a flow that its host holds (review, case 2)."""
        await asyncio.sleep(TABLE_RETENTION_SECONDS)
        hosts = [server(6 + n, name) for n, name in enumerate(("b", "c", "d"))]
        self.reporting |= {host.address for host in hosts}
        tables = [("portal", "b"), ("c", "d"), ("c",)]
        for number, services in enumerate(tables):
            revision = 50 + 10 * number
            table = routes(revision, route(*services), version=2 + number)
            self.source.publish(table, *published(revision + 1, *hosts))
            await asyncio.sleep(2)
        self.peers.take()
        self.receive(DATA)
        message, address = self.forwarded()
        agents = {address, *map(socket.inet_ntoa, message.alternatives)}
        self.assertEqual(agents, {s.address for s in (*self.servers, *hosts)})

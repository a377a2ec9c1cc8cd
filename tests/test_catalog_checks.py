"""The emulator's checks of what processes know of the catalog."""

from unittest import TestCase

from balsamspool.plugins.catalog.model import (
    BackendState,
    DomainCordoned,
    ServerPublished,
)
from balsamspool.plugins.catalog.revision import Revision
from balsamspool.plugins.catalog.view import CatalogView
from emulator.catalog_checks import (
    TABLE_APPLY_SECONDS,
    check_cordons,
    check_views,
)
from emulator.catalog_history import (
    CatalogRestored,
    CatalogRun,
    Offer,
    ServerGone,
    TableInForce,
)
from emulator.checks import CORDON_APPLY_SECONDS, check
from emulator.history import DomainOut, Drained, History, Opening, RoutesChanged
from tests.datagram_fakes import server


class CheckTest(TestCase):
    """Guards against checks that never fail, by a history that breaks each promise."""

    def setUp(self):
        self.history = History()
        self.run = CatalogRun("entry-1", "10.1.0.1", 0.0, 90.0)
        self.history.catalog_runs.append(self.run)
        self.history.restores.append(CatalogRestored(18.0, 20.0, 21.0))

    def found(self):
        return [violation.promise for violation in check(self.history)]

    def publish(self, version, time):
        self.history.routes.append(RoutesChanged(version, time, {}))

    def test_a_table_that_is_not_in_force_is_noticed(self):
        self.publish(1, 30.0)
        self.assertEqual(self.found(), ["late-table"])
        self.run.tables.append(TableInForce(1, 30.0 + TABLE_APPLY_SECONDS))
        self.assertEqual(self.found(), [])

    def test_a_lost_table_counts_from_its_second_publication(self):
        self.publish(1, 19.0)
        self.assertEqual(self.found(), [])
        self.publish(1, 23.0)
        self.assertEqual(self.found(), ["late-table"])

    def test_a_table_before_the_copy_counts_from_the_return(self):
        self.publish(1, 17.0)
        self.assertEqual(self.found(), ["late-table"])
        self.run.tables.append(TableInForce(1, 21.0 + TABLE_APPLY_SECONDS))
        self.assertEqual(self.found(), [])

    def test_a_return_to_an_older_table_is_noticed(self):
        self.run.tables += [TableInForce(2, 5.0), TableInForce(1, 22.0)]
        self.assertEqual(self.found(), ["older-table"])

    def test_a_draining_server_that_is_ready_again_is_noticed(self):
        self.history.drained.append(Drained("i-1", 19.5, True))
        self.run.offers += [Offer("i-1", 1.0, 20.0), Offer("i-1", 21.5, 23.0)]
        self.assertEqual(self.found(), [])
        self.history.drained.append(Drained("i-1", 16.5, True))
        self.assertEqual(self.found(), ["left"])

    def open_in_domain(self, time):
        self.history.openings.append(Opening(b"", "i-1", "portal", "a", time, time))
        self.history.sent_via[b""].append((time, self.run.address))

    def cordoned(self):
        return [v.time for v in check(self.history) if v.promise == "cordon"]

    def test_an_opening_in_a_domain_out_of_service_is_noticed(self):
        out = DomainOut("a", 30.0)
        self.history.domains_out += [out, DomainOut("b", 10.0)]
        self.open_in_domain(30.0 + CORDON_APPLY_SECONDS)
        self.assertEqual(self.cordoned(), [])
        self.open_in_domain(50.0)
        self.assertEqual(self.cordoned(), [50.0])
        self.history.record_disturbance(set(), 1.0, 45.0, "catalog")
        self.assertEqual(self.cordoned(), [50.0])
        out.until = 49.0
        self.assertEqual(self.cordoned(), [])

    def test_a_disturbance_defers_what_an_entry_must_know(self):
        self.history.domains_out.append(DomainOut("a", 30.0))
        self.history.record_disturbance(set(), 2.0, 31.0, "catalog")
        self.open_in_domain(39.0)
        self.assertEqual(self.cordoned(), [])
        self.open_in_domain(41.0)
        self.assertEqual(self.cordoned(), [41.0])
        self.history.record_disturbance({self.run.address}, 2.0, 38.0, "cut")
        self.assertEqual(self.cordoned(), [])

    def test_a_lost_cordon_counts_up_to_the_restore(self):
        self.history.domains_out.append(DomainOut("a", 17.5))
        self.open_in_domain(22.0)
        self.open_in_domain(24.5)
        self.assertEqual(self.cordoned(), [24.5])
        self.history.domains_out[0].time = 16.5
        self.open_in_domain(19.8)
        self.history.restores[0] = CatalogRestored(16.0, 20.0, 21.0)
        self.assertEqual(self.cordoned(), [19.8])

    def test_a_process_with_another_list_of_cordons_is_noticed(self):
        view = CatalogView()
        view.apply(DomainCordoned(Revision(5), "a"), 0.0)
        self.assertEqual(list(check_cordons({"a"}, {"entry-1": view}, 50.0)), [])
        (violation,) = check_cordons(set(), {"entry-1": view}, 50.0)
        self.assertEqual(violation.promise, "listing")

    def test_a_process_with_an_outdated_list_is_noticed(self):
        view = CatalogView()
        view.apply(ServerPublished(Revision(5), server(1)), 0.0)
        views = {"entry-1": view}
        self.assertEqual(list(check_views({"i-1": server(1)}, views, 50.0)), [])
        draining = server(1, state=BackendState.DRAINING)
        for servers in ({}, {"i-1": draining}):
            (violation,) = check_views(servers, views, 50.0)
            self.assertEqual(violation.promise, "listing")

    def test_a_removed_server_that_is_ready_again_is_noticed(self):
        self.history.gone.append(ServerGone("i-1", 12.0))
        self.run.offers += [Offer("i-1", 1.0, 12.5), Offer("i-1", 21.5, 23.0)]
        self.assertEqual(self.found(), ["left"])

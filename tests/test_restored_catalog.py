"""Entries while the catalog's service goes back to a copy and uses revisions again."""

import asyncio
import logging
import random
from unittest import TestCase

from balsamspool.kernel.clock import now
from balsamspool.plugins.catalog import CatalogPlugin
from balsamspool.plugins.catalog.model import BackendState, Target
from emulator.catalog_checks import (
    DRAIN_GRACE_SECONDS,
    REMOVAL_GRACE_SECONDS,
    TABLE_APPLY_SECONDS,
)
from emulator.catalog_service import CutWatches, GoneWatches, Silent
from emulator.checks import check
from emulator.experiment import run_trial, shared_workload, small_workload
from emulator.fleet import Fleet
from emulator.registration import OPERATOR_SECONDS, REGISTRATION_SECONDS
from emulator.troubles import ReplaceServer, RestoreCatalog
from tests._clock import PausedClockTestCase

PLAN = shared_workload(0.0).fleet
SETTLE_SECONDS = 8.0
# All writers have written again, and what they wrote is in force.
RECOVERY_SECONDS = max(OPERATOR_SECONDS[1], REGISTRATION_SECONDS) + TABLE_APPLY_SECONDS


class RestoredCase(PausedClockTestCase):
    """A fleet in which one entry of each failure domain reads and the others follow."""

    async def asyncSetUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.fleet = Fleet(PLAN, random.Random(1))
        await self.fleet.start()
        self.addAsyncCleanup(self.fleet.stop)
        self.catalog = self.fleet.catalog
        self.known_violations = []
        await asyncio.sleep(SETTLE_SECONDS)

    def plugin(self, entry):
        return entry.kernel.plugin(CatalogPlugin)

    def entries(self, reads):
        """Return the entries that read the service, or those that follow one."""
        return [
            entry
            for entry in self.fleet.entries
            if (self.plugin(entry).status()["upstream"] == "service") is reads
        ]

    def change_routes(self):
        """Direct a route elsewhere and publish that."""
        weight = self.fleet.version + 1
        targets = (Target("portal", weight), Target("records", 1))
        self.fleet.routes["portal"] = targets
        self.fleet.publish_routes()

    def change_server(self):
        """Let a backend server change its entry."""
        self.catalog.publish_server(next(iter(self.catalog.servers.values())))

    async def cut_off(self, entry, seconds):
        """Cut an entry off from the service and from its peers."""
        self.fleet.network.disconnected.add(entry.address)
        self.catalog.conditions[entry.instance] = Silent()
        await asyncio.sleep(seconds)
        del self.catalog.conditions[entry.instance]
        self.fleet.network.disconnected.discard(entry.address)

    async def assert_in_force(self, seconds=TABLE_APPLY_SECONDS):
        """Check that all entries know what the service has, after a time in seconds."""
        await asyncio.sleep(seconds)
        expected = {s.name: s.state for s in self.catalog.servers.values()}
        outdated = {}
        for entry in self.fleet.entries:
            view = self.plugin(entry).view
            listed = {s.name: s.state for s in view.servers}
            if view.table.version != self.catalog.table.version:
                outdated[entry.instance] = f"table {view.table.version}"
            elif listed != expected:
                outdated[entry.instance] = sorted(listed.items() ^ expected.items())
        self.assertEqual(outdated, {}, f"newest table {self.catalog.table.version}")
        found = [v for v in check(self.fleet.history) if v not in self.known_violations]
        self.known_violations += found
        self.assertEqual(found, [])


class RevisionsUsedAgainTest(RestoredCase):
    async def test_the_fleet_has_readers_and_followers(self):
        """Guards against schedules that no longer reach a follower."""
        self.assertEqual(len(self.entries(reads=True)), 2)
        self.assertEqual(len(self.entries(reads=False)), 9)

    async def test_a_table_under_the_revision_of_a_lost_one(self):
        """Guards against a table that a process takes for the lost one it has.

        The service has reached the revision again before an entry asks for changes.
        """
        for watches in (CutWatches(), GoneWatches()):
            for away in (0.0, 0.4, 2.0):
                with self.subTest(watches=watches, away=away):
                    self.catalog.waiting_watches = watches
                    self.change_routes()
                    lost = self.catalog.revision
                    await asyncio.sleep(2.0)
                    await self.fleet.restore_catalog(2.5, away)
                    self.change_routes()
                    self.assertEqual(self.catalog.revision, lost)
                    await self.assert_in_force()
                    await asyncio.sleep(SETTLE_SECONDS)

    async def test_a_follower_that_was_cut_off_over_the_restore(self):
        """Guards against a follower whose revision the next era has overtaken."""
        for entry in self.entries(reads=False)[:3]:
            with self.subTest(entry=entry.instance):
                self.change_routes()
                await asyncio.sleep(2.0)
                cut = asyncio.create_task(self.cut_off(entry, 3.0))
                await self.fleet.restore_catalog(2.5, 0.5)
                self.change_routes()
                for _ in range(3):
                    self.change_server()
                await cut
                await self.assert_in_force()
                await asyncio.sleep(SETTLE_SECONDS)

    async def test_followers_that_know_higher_revisions_of_the_lost_era(self):
        """Guards against followers that take a restored reader for outdated."""
        for _ in range(6):
            self.change_server()
        await asyncio.sleep(2.0)
        await self.fleet.restore_catalog(2.5, 0.3)
        self.change_routes()
        await self.assert_in_force()

    async def test_a_drain_report_with_a_lower_revision_than_the_lost_ones(self):
        """Guards against new flows to a host whose report is taken for outdated."""
        name = next(iter(self.fleet.servers))
        for _ in range(6):
            self.change_server()
        await asyncio.sleep(2.0)
        await self.fleet.restore_catalog(2.5, 0.3)
        await asyncio.sleep(2.0)
        self.fleet.spawn(self.fleet.drain_server(name, 60.0))
        await self.assert_in_force(DRAIN_GRACE_SECONDS)

    async def test_a_reader_that_misses_the_restore(self):
        """Guards against followers that go back to a reader in the lost era."""
        for reader in self.entries(reads=True):
            with self.subTest(reader=reader.instance):
                for _ in range(6):
                    self.change_server()
                self.change_routes()
                await asyncio.sleep(2.0)
                self.catalog.conditions[reader.instance] = Silent()
                await self.fleet.restore_catalog(3.0, 0.3)
                self.change_routes()
                await self.assert_in_force(TABLE_APPLY_SECONDS + 1.0)
                self.change_server()
                del self.catalog.conditions[reader.instance]
                await self.assert_in_force()

    async def test_processes_that_are_frozen_over_the_restore(self):
        """Guards against answers of the lost era that a process reads afterwards."""
        reader, follower = self.entries(reads=True)[0], self.entries(reads=False)[0]
        for entry in (reader, follower):
            with self.subTest(entry=entry.instance):
                frozen = asyncio.create_task(self.fleet.freeze(entry, 5.0))
                await asyncio.sleep(0.1)
                self.change_routes()
                await asyncio.sleep(2.0)
                await self.fleet.restore_catalog(2.5, 0.5)
                self.change_routes()
                self.change_server()
                await frozen
                await self.assert_in_force()
                await asyncio.sleep(SETTLE_SECONDS)

    async def test_a_second_restore_shortly_after_the_first(self):
        """Guards against a process that misses one of two eras."""
        for gap, age in ((0.2, 4.0), (1.0, 0.5), (1.0, 6.0), (3.0, 1.0)):
            with self.subTest(gap=gap, age=age):
                self.change_routes()
                await asyncio.sleep(2.0)
                await self.fleet.restore_catalog(2.5, 0.3)
                self.change_routes()
                await asyncio.sleep(gap)
                await self.fleet.restore_catalog(age, 0.3)
                self.change_routes()
                await self.assert_in_force()
                await asyncio.sleep(SETTLE_SECONDS)

    async def test_a_late_answer_of_the_lost_era(self):
        """Guards against an answer of the lost era after one of the next era."""
        for entry in self.entries(reads=True):
            with self.subTest(entry=entry.instance):
                held = self.catalog.hold_next(entry.instance)
                self.change_routes()
                await asyncio.sleep(0.3)
                await self.fleet.restore_catalog(0.5, 0.0)
                self.change_routes()
                self.change_server()
                self.plugin(entry).refresher.request()
                await asyncio.sleep(0.3)
                held.set()
                await self.assert_in_force()
                await asyncio.sleep(SETTLE_SECONDS)

    async def test_entries_that_start_during_the_restore(self):
        """Guards against a new process that keeps what the service has lost."""
        self.change_routes()
        await asyncio.sleep(2.0)
        entry = self.entries(reads=True)[0]
        restored = asyncio.create_task(self.fleet.restore_catalog(2.5, 1.0))
        await self.fleet.restart(entry)
        await restored
        self.change_routes()
        await self.assert_in_force()


class LostEntriesTest(RestoredCase):
    """Entries of backend servers whose changes are lost."""

    def ready_at(self, name):
        """Return the entries that regard a backend server as ready."""
        return [
            entry.instance
            for entry in self.fleet.entries
            if any(
                s.name == name and s.state is BackendState.READY
                for s in self.plugin(entry).view.servers
            )
        ]

    async def never_ready(self, name, seconds):
        """Check for a time in seconds that no entry regards a server as ready."""
        end = now() + seconds
        while now() < end:
            self.assertEqual(self.ready_at(name), [], f"{end - now():.2f} s before")
            await asyncio.sleep(0.05)

    async def test_a_draining_server_whose_report_is_lost(self):
        """Guards against new flows to a host that drains, until it reports again."""
        for away in (0.0, 1.0):
            with self.subTest(away=away):
                name = next(
                    name
                    for name, server in self.fleet.servers.items()
                    if not server.draining
                )
                self.fleet.spawn(self.fleet.drain_server(name, 60.0))
                await asyncio.sleep(DRAIN_GRACE_SECONDS + 0.5)
                self.fleet.spawn(self.fleet.restore_catalog(4.0, away))
                await self.never_ready(name, away + RECOVERY_SECONDS)
                await self.assert_in_force(0.0)

    async def test_a_removed_server_whose_entry_stands_again(self):
        """Guards against new flows to a host that stopped before the restore."""
        for away in (0.0, 1.0):
            with self.subTest(away=away):
                name = next(iter(self.fleet.servers))
                crash = self.fleet.crash_server(name, None)
                self.fleet.spawn(crash)
                await asyncio.sleep(REMOVAL_GRACE_SECONDS + 4.5)
                self.fleet.spawn(self.fleet.restore_catalog(12.0, away))
                await self.never_ready(name, away + RECOVERY_SECONDS)
                await self.assert_in_force(0.0)

    async def test_a_server_that_left_as_planned_stands_again(self):
        """Guards against new flows to a host that drained and stopped."""
        name = next(iter(self.fleet.servers))
        await self.fleet.drain_server(name, 3.5)
        await asyncio.sleep(4.0)
        self.fleet.spawn(self.fleet.restore_catalog(8.5, 0.5))
        await self.never_ready(name, RECOVERY_SECONDS)
        await self.assert_in_force(0.0)

    async def test_a_server_that_registered_in_the_lost_seconds(self):
        """Guards against a live host that stays unknown after its entry was lost."""
        for away in (0.0, 1.0):
            with self.subTest(away=away):
                added = await self.fleet.add_server("portal", "a", 2, 1.0)
                await asyncio.sleep(2.5)
                await self.fleet.restore_catalog(3.0, away)
                await self.assert_in_force(RECOVERY_SECONDS)
                ready = self.ready_at(added.plan.name)
                self.assertEqual(len(ready), len(self.fleet.entries))

    async def test_a_server_that_starts_again_at_a_restored_address(self):
        """Guards against a host that stays hidden behind the entry of its predecessor.

        The entry of the stopped server stands again at the address of the new one.
        """
        name, server = next(iter(self.fleet.servers.items()))
        self.fleet.spawn(self.fleet.crash_server(name, 0.5))
        await asyncio.sleep(8.0)
        added = next(
            s
            for s in self.fleet.servers.values()
            if s.plan.address == server.plan.address
        )
        await self.fleet.restore_catalog(9.0, 0.5)
        await self.assert_in_force(RECOVERY_SECONDS)
        self.assertEqual(len(self.ready_at(added.plan.name)), len(self.fleet.entries))


# Drawn runs on the shared fleet that failed: seed and cause.
REGRESSIONS = (
    (
        22,
        "a restarted entry held a host for newer than the oldest table that it knew, "
        "because the host had registered again after a restore (reset)",
    ),
)


class TrafficTest(TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_promises_hold_under_drawn_restores(self):
        """Guards against faults that appear only when troubles meet a restore."""
        for seed in range(1, 5):
            for workload in (small_workload(30.0, 0.3), shared_workload(30.0, 0.3)):
                entries = workload.fleet.entries
                with self.subTest(seed=seed, entries=entries):
                    trial = run_trial(workload, seed, 4, restores=2)
                    self.assertEqual(trial.violations, [])
                    self.assertGreater(len(trial.history.outcomes), 500)

    def test_seeds_of_earlier_failures_pass(self):
        """Guards against regressions of faults that drawn restores found."""
        for seed, cause in REGRESSIONS:
            with self.subTest(seed=seed, cause=cause):
                trial = run_trial(shared_workload(30.0, 0.3), seed, 8, restores=3)
                self.assertEqual(trial.violations, [])

    def test_flows_of_a_host_whose_entry_is_lost_stay_open(self):
        """Guards against a reset of open flows while a live host is not listed."""
        troubles = [
            ReplaceServer(at=1.0),
            RestoreCatalog(at=10.5, age=2.5, away=0.0, watches=GoneWatches()),
            RestoreCatalog(at=18.0, age=10.0, away=1.0),
        ]
        for seed in (1, 2):
            with self.subTest(seed=seed):
                trial = run_trial(shared_workload(30.0, 0.5), seed, troubles)
                self.assertEqual(trial.violations, [])

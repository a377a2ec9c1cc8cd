"""Changes after a silent outage, whose last moments hold calls without an answer."""

import asyncio
import logging
import random

from balsamspool.plugins.catalog.model import ServerPublished
from emulator.catalog_service import Silent
from emulator.experiment import SETTLE_SECONDS, shared_workload, small_workload
from emulator.fleet import Fleet
from tests._clock import PausedClockTestCase
from tests.datagram_entry_case import EntryCase
from tests.datagram_fakes import SERVICE, SYN, packet, route, routes
from tests.silent_source import SilentSource

# Time after a silence until changes are in force as usual, in the users' deployments.
RECOVERY_SECONDS = 4.0
OTHER = ("198.18.0.2", 443)
OUTAGES = 20
FLEETS = 3
FLEET_OUTAGES = 5


class EntryTest(EntryCase):
    """An entry that reads the service itself, and alone is not answered."""

    source_type = SilentSource

    def publish(self, *changed):
        """Publish a table that always has a route at `OTHER`."""
        revision = self.source.revision + 1
        kept = route("portal", address=OTHER)
        servers = [r for r in self.source.records if isinstance(r, ServerPublished)]
        self.source.records = servers
        self.source.write(routes(revision, kept, *changed, version=revision))

    def opens(self, port):
        """Return whether a new flow to `SERVICE` is forwarded."""
        self.peers.take()
        self.receive(packet(SYN, source=("100.64.0.7", port)))
        return bool(self.peers.take_forwards())

    async def test_no_flow_opens_on_a_route_dropped_after_an_outage(self):
        """Guards against a call of an outage's end that hides a confirmed table."""
        rng = random.Random(1)
        for number in range(OUTAGES):
            self.source.oldest_revision = 0
            self.publish(route("portal", address=SERVICE))
            await asyncio.sleep(2 * RECOVERY_SECONDS + rng.uniform(0.0, 3.0))
            self.assertTrue(self.opens(2000 + number))
            await self.source.silence_past_call(
                rng.uniform(2.0, 3.5), rng.uniform(0.1, 0.5)
            )
            await asyncio.sleep(rng.uniform(0.0, 3.0))
            self.publish()
            if rng.random() < 0.5:
                # Only a full read has the change.
                self.source.oldest_revision = self.source.revision
            await asyncio.sleep(RECOVERY_SECONDS)
            self.assertFalse(self.opens(3000 + number), number)


class FleetTest(PausedClockTestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    async def play(self, plan, seed):
        """Let a share of the entries lose their calls, and publish a table after.

        One entry starts meanwhile, so that it has to read the whole catalog.
        """
        rng = random.Random(seed)
        fleet = Fleet(plan, rng)
        await fleet.start()
        await asyncio.sleep(SETTLE_SECONDS)
        for _ in range(FLEET_OUTAGES):
            share = rng.uniform(0.2, 1.0)
            readers = [e.instance for e in fleet.entries if rng.random() < share]
            fleet.catalog.conditions.update(dict.fromkeys(readers, Silent()))
            fleet.catalog.lose_calls(readers)
            fleet.spawn(fleet.restart(rng.choice(fleet.entries)))
            await asyncio.sleep(rng.uniform(2.5, 4.5))
            fleet.catalog.conditions.clear()
            await asyncio.sleep(rng.uniform(0.0, 2.0))
            fleet.publish_routes()
            await asyncio.sleep(RECOVERY_SECONDS)
            for instance, view in fleet.views().items():
                version = view.table.version if view.table else None
                self.assertEqual(version, fleet.version, (seed, instance))
            await asyncio.sleep(rng.uniform(0.0, 3.0))
        await fleet.stop()

    async def test_a_table_is_in_force_though_a_share_of_entries_lost_calls(self):
        """Guards against entries that follow one whose call is never answered."""
        for workload in (small_workload(0.0), shared_workload(0.0)):
            for seed in range(FLEETS):
                with self.subTest(entries=workload.fleet.entries, seed=seed):
                    await self.play(workload.fleet, seed)

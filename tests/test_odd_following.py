"""A writer of odd entries at the store, while processes follow the catalog."""

import asyncio
import random

import msgspec

from balsamspool.kernel.counters import CounterSet
from balsamspool.kernel.lifecycle import run_supervised
from balsamspool.plugins.catalog.calls import CallMetrics
from balsamspool.plugins.catalog.completeness import Completeness
from balsamspool.plugins.catalog.delta import decode_delta, encode_delta
from balsamspool.plugins.catalog.feed import CatalogFeed
from balsamspool.plugins.catalog.follower import CatalogFollower
from balsamspool.plugins.catalog.model import BackendState, Snapshot
from balsamspool.plugins.catalog.upstream import UpstreamSelector, UpstreamTimes
from balsamspool.plugins.catalog.view import CatalogView
from standins.odd_entries import entry, random_entry
from tests.datagram_fakes import ADAPTER  # noqa: F401  puts the adapter on the path
from tests.store_case import StoreCase

CONFIG = b'{"version":1,"routes":[{"name":"r","host":"198.18.0.1","prefix":"/443/"%b}]}'
ENTRIES = 60
APPLY_SECONDS = 6.0


class OddWriterTest(StoreCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.view, self.feed = CatalogView(), CatalogFeed()
        rng = random.Random(1)
        self.follower = CatalogFollower(
            self.source,
            None,
            None,
            self.view,
            self.feed,
            Completeness(),
            UpstreamSelector("10.0.0.9", UpstreamTimes.from_limit(5.0), rng),
            1.0,
            rng,
            CallMetrics(CounterSet()),
        )

    async def put(self, key, text):
        await self.store.put(key, msgspec.Raw(text))

    async def until(self, condition, what):
        async with asyncio.timeout(APPLY_SECONDS):
            while not condition():
                await asyncio.sleep(0.02)
        self.assertTrue(condition(), what)

    def state(self, name):
        found = {server.name: server.state for server in self.view.servers}
        return found.get(name)

    async def test_changes_are_followed_beside_a_writer_of_odd_entries(self):
        """Guards against an odd entry after which a process follows no more changes.

        Half of the entries are there at the first read, and the others are written
        while the process follows. A peer must get the whole catalog too.
        """
        rng = random.Random(12)
        await self.put("op/config", CONFIG % b',"service":"portal"')
        await self.put("servers/good", entry())
        for number in range(ENTRIES):
            await self.put(f"servers/odd-{number}", random_entry(rng))
        with self.assertNoLogs("balsamspool.kernel.lifecycle", "ERROR"):
            task = asyncio.create_task(
                run_supervised(self.follower.run, "catalog follower")
            )
            try:
                await self.until(lambda: self.state("good"), "the first read")
                for number in range(ENTRIES):
                    await self.put(f"servers/odd-{number}", random_entry(rng))
                await self.put("op/config", CONFIG % b',"service":' + b"[" * 3_000)
                await self.put("servers/good", entry(state="draining"))
                await self.until(
                    lambda: self.state("good") is BackendState.DRAINING, "a change"
                )
            finally:
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
        self.assertIsNotNone(self.view.route("198.18.0.1", 443))
        delta = decode_delta(encode_delta(await self.feed.changes_after(-1, 0.0)))
        peer = CatalogView()
        peer.replace(Snapshot(delta.revision, delta.records), 0.0)
        found = {server.name: server.state for server in peer.servers}
        self.assertIs(found.get("good"), BackendState.DRAINING)
        self.assertIsNotNone(peer.route("198.18.0.1", 443))

"""Tests of the adapter's catalog source against the stand-in of the store."""

from types import SimpleNamespace
from unittest import IsolatedAsyncioTestCase

from aiohttp import web

from balsamspool.kernel.errors import ResultError
from balsamspool.plugins.catalog.codes import (
    CATALOG_HISTORY_LOST,
    CATALOG_UNAVAILABLE,
)
from balsamspool.plugins.catalog.model import ServerPublished, ServerRemoved
from standins.ports import ADDRESS, free_port
from standins.store import PAGE_ITEMS, StoreStandIn
from tests.datagram_fakes import ADAPTER  # noqa: F401  puts the adapter on the path

SERVERS = 2 * PAGE_ITEMS + 3


def entry(number, state="ready"):
    return {
        "service": "portal",
        "addr": f"10.0.0.{number}:8165",
        "zone": "a",
        "concurrency": 2,
        "state": state,
    }


class StoreSourceTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        from fleet_adapter.store import StoreSettings, StoreSource

        self.store = StoreStandIn()
        runner = web.AppRunner(self.store.application())
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        port = free_port()
        await web.TCPSite(runner, ADDRESS, port).start()
        settings = StoreSettings(address=f"{ADDRESS}:{port}")
        kernel = SimpleNamespace(settings=SimpleNamespace(section=lambda _: settings))
        self.source = StoreSource(kernel)
        self.addAsyncCleanup(self.source.stop)
        for number in range(SERVERS):
            await self.store.put(f"servers/i-{number}", entry(number))

    async def test_all_pages_are_read(self):
        """Guards against a list that ends with the first page."""
        snapshot = await self.source.read()
        self.assertEqual(len(snapshot.records), SERVERS)

    async def test_changes_are_returned_at_once(self):
        """Guards against a wait for changes and against full reads in their place."""
        known = (await self.source.read()).revision
        self.assertEqual((await self.source.changes(known)).records, ())
        await self.store.put("servers/i-1", entry(1, "draining"))
        await self.store.put("servers/i-2", None)
        calls = self.store.calls
        changes = await self.source.changes(known)
        kinds = [type(record) for record in changes.records]
        self.assertEqual(kinds, [ServerPublished, ServerRemoved])
        self.assertEqual(changes.revision, known + 2)
        self.assertEqual(self.store.calls, calls + 1)

    async def test_lost_history_and_refusals_have_codes_of_their_own(self):
        """Guards against a lost history that is treated as "nothing changed"."""
        known = (await self.source.read()).revision
        await self.store.put("servers/i-1", None)
        await self.store.drop_history()
        with self.assertRaises(ResultError) as raised:
            await self.source.changes(known)
        self.assertIs(raised.exception.code, CATALOG_HISTORY_LOST)
        self.store.refusing = True
        with self.assertRaises(ResultError) as raised:
            await self.source.changes(known)
        self.assertIs(raised.exception.code, CATALOG_UNAVAILABLE)

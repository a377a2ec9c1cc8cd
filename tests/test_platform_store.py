"""Tests of the adapter's catalog source against the stand-in of the store."""

import asyncio
import random

from aiohttp import ClientSession

from balsamspool.kernel.errors import ResultError
from balsamspool.plugins.catalog.codes import (
    CATALOG_HISTORY_LOST,
    CATALOG_UNAVAILABLE,
)
from balsamspool.plugins.catalog.model import ServerPublished, ServerRemoved
from standins.ports import ADDRESS
from standins.store import (
    ERA_HEADER,
    PAGE_ITEMS,
    CutWatches,
    GoneWatches,
)
from tests.datagram_fakes import ADAPTER  # noqa: F401  puts the adapter on the path
from tests.store_case import StoreCase

SERVERS = 2 * PAGE_ITEMS + 3


def entry(number, state="ready"):
    return {
        "service": "portal",
        "addr": f"10.0.0.{number}:8165",
        "zone": "a",
        "concurrency": 2,
        "state": state,
    }


class ServersCase(StoreCase):
    """The stand-in with `SERVERS` servers."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for number in range(SERVERS):
            await self.store.put(f"servers/i-{number}", entry(number))

    async def calls(self, count):
        """Wait until the store has received a number of calls."""
        async with asyncio.timeout(5):
            while self.store.calls < count:
                await asyncio.sleep(0.01)


class StoreSourceTest(ServersCase):
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

    async def test_a_full_read_ends_while_changes_are_read(self):
        """Guards against reads that make each other fail for as long as both are asked.

        The store is slow, and unknown flows keep the reads of changes coming.
        """
        known = (await self.source.read()).revision
        self.store.answer_seconds = 0.05
        failures = []

        async def read_changes():
            while True:
                try:
                    await self.source.changes(known)
                except ResultError as error:
                    failures.append(error)
                await asyncio.sleep(0.03)

        changes = asyncio.create_task(read_changes())
        try:
            snapshot = await self.source.read()
        finally:
            changes.cancel()
            await asyncio.gather(changes, return_exceptions=True)
        self.assertEqual(len(snapshot.records), SERVERS)
        self.assertEqual(failures, [])

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

    async def test_the_creation_of_an_entry_is_kept_across_its_changes(self):
        """Guards against an entry that seems to be new after each report."""
        await self.store.put("servers/i-1", entry(1, "draining"))
        snapshot = await self.source.read()
        (found,) = (r for r in snapshot.records if r.server.name == "i-1")
        self.assertEqual(found.server.state.value, "draining")
        self.assertEqual(snapshot.revision - found.created, SERVERS - 1)
        self.assertEqual(snapshot.revision, found.revision)


class RestoredStoreTest(ServersCase):
    """The store goes back to a copy; the adapter reads on."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.copy = self.store.copy()

    async def listed(self, snapshot):
        """Return the states by name of a snapshot, and those that the store has."""
        self.store.page_items = 2 * SERVERS
        current = await self.source.read()
        return (
            {r.server.name: r.server.state for r in snapshot.records},
            {r.server.name: r.server.state for r in current.records},
        )

    async def test_every_answer_carries_the_era(self):
        """Guards against a stand-in whose failures hide a restore."""
        base = f"http://{ADDRESS}:{self.port}/-"
        paths = {
            "/kv-range?prefix=": 200,
            "/kv-key?key=none": 404,
            f"/kv-watch?prefix=&after={1 << 40}&wait-ms=0": 410,
        }
        async with ClientSession() as session:
            for era in ("1", "2"):
                for path, status in paths.items():
                    async with session.get(base + path) as answer:
                        self.assertEqual(answer.status, status)
                        self.assertEqual(answer.headers[ERA_HEADER], era)
                await self.store.restore(self.copy)

    async def test_a_revision_that_the_store_lost_has_no_changes(self):
        """Guards against "nothing changed" for a revision that is beyond the end."""
        await self.store.put("servers/i-1", entry(1, "draining"))
        known = (await self.source.read()).revision
        await self.store.restore(self.copy)
        with self.assertRaises(ResultError) as raised:
            await self.source.changes(known)
        self.assertIs(raised.exception.code, CATALOG_HISTORY_LOST)

    async def test_a_waiting_watch_ends_with_a_restore(self):
        """Guards against a watch that waits for revisions that were lost."""
        expected = {
            CutWatches(): CATALOG_UNAVAILABLE,
            GoneWatches(): CATALOG_HISTORY_LOST,
        }
        for watches, code in expected.items():
            with self.subTest(watches=watches):
                known = (await self.source.read()).revision
                calls = self.store.calls
                waiting = asyncio.create_task(self.source.watch(known, 5.0))
                await self.calls(calls + 1)
                await self.store.restore(self.copy, watches)
                with self.assertRaises(ResultError) as raised:
                    await waiting
                self.assertIs(raised.exception.code, code)

    async def test_lost_changes_are_written_again(self):
        """Guards against schedules in which nothing that was lost comes back."""
        await self.store.put("servers/i-1", entry(1, "draining"))
        await self.store.put("servers/i-2", None)
        await self.store.put("servers/new", entry(9))
        before = await self.source.read()
        lost = await self.store.restore(self.copy)
        self.assertEqual(len(lost), 3)
        await self.store.write_again(lost, random.Random(1))
        states, current = await self.listed(before)
        self.assertEqual(states, current)
        written = self.store.copy().revision
        await self.store.write_again(lost, random.Random(1))
        self.assertEqual(self.store.copy().revision, written)

    async def test_revisions_that_are_given_out_again_are_newer(self):
        """Guards against a change that counts as known under its lost revision."""
        await self.store.put("servers/i-1", entry(1, "draining"))
        lost = (await self.source.read()).revision
        await self.store.restore(self.copy)
        await self.store.put("servers/i-2", entry(2, "draining"))
        self.assertGreater((await self.source.read()).revision, lost)

    async def test_pages_of_two_eras_are_not_one_list(self):
        """Guards against a list whose first pages show what the store has lost."""
        self.store.page_items = 10
        await self.store.put("servers/i-0", entry(0, "draining"))
        self.store.hold_next_answer()
        reading = asyncio.create_task(self.source.read())
        await self.calls(1)
        await self.store.restore(self.copy)
        self.store.release_answers()
        try:
            snapshot = await reading
        except ResultError:
            snapshot = await self.source.read()
        states, current = await self.listed(snapshot)
        self.assertEqual(states, current)

    async def test_a_late_answer_of_the_lost_era_is_not_newer(self):
        """Guards against changes that were lost but arrive after those in force."""
        known = (await self.source.read()).revision
        await self.store.put("servers/i-1", entry(1, "draining"))
        calls = self.store.calls
        self.store.hold_next_answer()
        watching = asyncio.create_task(self.source.watch(known, 0.0))
        await self.calls(calls + 1)
        await self.store.restore(self.copy)
        current = await self.source.read()
        self.store.release_answers()
        try:
            late = await watching
        except ResultError:
            return
        self.assertLess(late.revision, current.revision)

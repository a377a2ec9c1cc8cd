"""Route tables that a process does not get, because a later one came at once."""

from unittest import TestCase

import msgspec

from balsamspool.plugins.catalog.delta import (
    CatalogDelta,
    decode_delta,
    encode_delta,
)
from balsamspool.plugins.catalog.feed import CatalogFeed
from balsamspool.plugins.catalog.model import Changes, Snapshot
from balsamspool.plugins.catalog.revision import Revision
from balsamspool.plugins.catalog.route_history import TABLE_RETENTION_SECONDS
from balsamspool.plugins.catalog.view import CatalogView
from tests._clock import PausedClockTestCase
from tests.datagram_fakes import SERVICE, published, route, routes, server

LONG_AGO = -10 * TABLE_RETENTION_SECONDS


def table(revision, service, version=None):
    return routes(revision, route(service), version=version or revision)


class FeedTest(PausedClockTestCase):
    """A reader passes tables on, and a follower asks for them from time to time."""

    async def asyncSetUp(self):
        self.feed = CatalogFeed()
        self.feed.record_snapshot(Snapshot(10, (table(10, "a"),)))
        self.view = CatalogView()
        self.view.apply(table(10, "a"), LONG_AGO)

    def read(self, *records, all_tables=True):
        """Let the reader read changes."""
        newest = max(r.revision for r in records)
        self.feed.record_changes(Changes(newest, records, all_tables))

    async def follow(self, after):
        """Let the follower apply what the reader passes on, and return it."""
        delta = await self.feed.changes_after(after, 0.0)
        delta = decode_delta(encode_delta(delta))
        for record in delta.records:
            self.view.apply(record, 0.0, delta.all_tables)
        return delta.records

    def known(self, time=1.0):
        return self.view.knows_all_services(*SERVICE, time)

    async def test_one_table_at_a_time_is_all(self):
        """Guards against searches at all hosts after each change of the table."""
        self.read(table(11, "b"))
        self.assertEqual(len(await self.follow(10)), 1)
        self.assertTrue(self.known())
        self.read(table(12, "c"))
        await self.follow(11)
        self.assertTrue(self.known())
        self.assertEqual(set(self.view.services_at(*SERVICE)), {"a", "b", "c"})

    async def test_a_table_between_two_others_is_missed(self):
        """Guards against a reset of flows that another entry opened by that table."""
        self.read(table(11, "b"))
        self.read(table(12, "c"))
        self.assertEqual(len(await self.follow(10)), 1)
        self.assertFalse(self.known())
        self.assertTrue(self.known(2 * TABLE_RETENTION_SECONDS))

    async def test_what_a_reader_missed_its_followers_miss_too(self):
        """Guards against a follower that takes the tables of its reader for all."""
        self.read(table(11, "b"), all_tables=False)
        await self.follow(10)
        self.assertFalse(self.known())

    async def test_other_changes_are_no_reason_to_search_everywhere(self):
        """Guards against longer searches whenever hosts come and go."""
        self.read(table(11, "b"))
        await self.follow(10)
        self.read(*published(12, server(1), server(2)))
        await self.follow(11)
        self.assertTrue(self.known())

    async def test_a_peer_of_an_earlier_version_does_not_say(self):
        """Guards against a peer whose silence is taken for completeness."""
        data = encode_delta(CatalogDelta(11, False, (table(11, "b"),), 0.1, None, True))
        shorter = msgspec.msgpack.encode(msgspec.msgpack.decode(data)[:5])
        self.assertFalse(decode_delta(shorter).all_tables)
        self.assertTrue(decode_delta(data).all_tables)

    async def test_an_older_table_of_a_restored_catalog_is_missed(self):
        """Guards against flows that new processes open by the older table."""
        self.read(table(Revision.of(1, 5), "old", version=3))
        await self.follow(10)
        self.assertFalse(self.known())


class SnapshotTest(TestCase):
    def setUp(self):
        self.view = CatalogView()
        self.view.apply(table(10, "a"), LONG_AGO)

    def known(self):
        return self.view.knows_all_services(*SERVICE, 1.0)

    def test_a_snapshot_with_a_newer_table_may_hide_another_one(self):
        """Guards against a reset after the store has lost its history."""
        self.view.replace(Snapshot(40, (table(40, "z"),)), 0.0)
        self.assertFalse(self.known())

    def test_a_snapshot_with_the_known_table_hides_none(self):
        """Guards against longer searches after each loss of the history."""
        self.view.replace(Snapshot(40, (table(10, "a"),)), 0.0)
        self.assertTrue(self.known())

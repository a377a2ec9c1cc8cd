"""A view that followed the catalog through troubles equals one that reads it anew."""

from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from balsamspool.plugins.catalog.model import (
    BackendState,
    RecordIgnored,
    ServerPublished,
    ServerRemoved,
    Snapshot,
)
from balsamspool.plugins.catalog.record_log import RecordLog
from balsamspool.plugins.catalog.removals import REMOVED_RETENTION_SECONDS
from balsamspool.plugins.catalog.revision import NO_REVISION, Revision
from balsamspool.plugins.catalog.view import CatalogView
from tests.datagram_fakes import server

HOSTS = 4
STEP_SECONDS = 0.7
EXPIRY_SECONDS = 0.5
QUIET_SECONDS = REMOVED_RETENTION_SECONDS + 5.0

_numbers = st.integers(1, HOSTS)
_steps = st.lists(
    st.one_of(
        st.tuples(
            st.sampled_from(("report", "drain", "restart", "remove", "spoil")), _numbers
        ),
        st.tuples(
            st.sampled_from(
                ("follow", "follow-peer", "read", "copy", "restore", "lose", "outage")
            ),
            st.just(0),
        ),
    ),
    max_size=40,
)


class Catalog:
    """A published catalog that loses its history, or goes back to a copy."""

    def __init__(self):
        self.era = 1
        self.number = 100
        self.records = {}
        self.events = []
        self.lost_before = 0
        self.reports = {n: server(n, started_ms=1, sequence=1) for n in range(1, 5)}
        self.saved = self._state()

    @property
    def revision(self):
        return Revision.of(self.era, self.number)

    def write(self, number, **fields):
        found = self.reports[number]
        sequence = fields.pop("sequence", found.sequence + 1)
        found = replace(found, sequence=sequence, **fields)
        self.reports[number] = found
        self._put(found.name, lambda at: ServerPublished(at, found, at))

    def spoil(self, number):
        name = self.reports[number].name
        self._put(name, lambda at: RecordIgnored(at, name, "spoiled"))

    def remove(self, number):
        name = self.reports[number].name
        if name in self.records:
            self._put(name, lambda at: ServerRemoved(at, name))
            del self.records[name]

    def _put(self, name, make):
        self.number += 1
        self.records[name] = make(self.revision)
        self.events.append(self.records[name])

    def _state(self):
        return self.number, dict(self.records), list(self.events)

    def copy(self):
        self.saved = self._state()

    def restore(self):
        self.number, records, events = self.saved
        self.records, self.events = dict(records), list(events)
        self.era += 1
        for name, record in self.records.items():
            at = Revision.of(self.era, record.revision.number)
            self.records[name] = replace(record, revision=at)
        self.events = []
        self.lost_before = self.number

    def snapshot(self):
        return Snapshot(self.revision, tuple(self.records.values()))

    def changes(self, after):
        """Return the changes after a revision, None if they are not kept."""
        if after.era != self.era or after.number < self.lost_before:
            return None
        return [e for e in self.events if e.revision > after]


class Process:
    """A view that follows the catalog, or a process that does."""

    def __init__(self):
        self.view = CatalogView()
        self.log = RecordLog()
        self.revision = NO_REVISION

    def read(self, snapshot, time):
        self.view.replace(snapshot, time)
        self.log.replace(snapshot)
        self.revision = snapshot.revision

    def follow(self, catalog, time):
        changes = catalog.changes(self.revision)
        if changes is None:
            if Revision(self.revision).era not in (0, catalog.era):
                self.view.record_outage(time)
            self.read(catalog.snapshot(), time)
            return
        self._apply(changes, catalog.revision, time)

    def follow_peer(self, peer, time):
        if peer.revision <= self.revision:
            return
        changes = peer.log.changes_after(self.revision)
        if changes is None:
            self.read(Snapshot(peer.revision, peer.log.listed()), time)
        else:
            self._apply(changes, peer.revision, time)

    def _apply(self, changes, revision, time):
        for record in changes:
            self.view.apply(record, time)
            self.log.apply(record)
        self.revision = revision


def published_servers(catalog):
    published = (r for r in catalog.records.values() if isinstance(r, ServerPublished))
    return {record.server.name: record.server for record in published}


class ConvergenceTest(TestCase):
    def play(self, steps):
        catalog, reader, follower = Catalog(), Process(), Process()
        for number in range(1, HOSTS + 1):
            catalog.write(number)
        time = 100.0
        for kind, number in [*steps, ("follow", 0), ("follow-peer", 0)]:
            time += STEP_SECONDS
            match kind:
                case "report":
                    catalog.write(number)
                case "drain":
                    catalog.write(number, state=BackendState.DRAINING)
                case "restart":
                    started = catalog.reports[number].started_ms + 1
                    ready = BackendState.READY
                    catalog.write(number, started_ms=started, sequence=1, state=ready)
                case "remove":
                    catalog.remove(number)
                case "spoil":
                    catalog.spoil(number)
                case "follow":
                    reader.follow(catalog, time)
                case "follow-peer":
                    follower.follow_peer(reader, time)
                case "read":
                    reader.read(catalog.snapshot(), time)
                case "copy":
                    catalog.copy()
                case "restore":
                    catalog.restore()
                case "lose":
                    catalog.lost_before = catalog.number
                case "outage":
                    reader.view.record_outage(time)
            for process in (reader, follower):
                process.view.expire(time)
        end = time + QUIET_SECONDS
        while time < end:
            time += EXPIRY_SECONDS
            for process in (reader, follower):
                process.view.expire(time)
        return catalog, (reader.view, follower.view)

    @settings(max_examples=400, derandomize=True, deadline=None)
    @given(_steps)
    def test_a_view_lists_what_the_catalog_lists(self, steps):
        """Guards against a record that is dropped and that no later event brings back.

        A drain report, or a new start, that a restored catalog lacks stays in force,
        because the server writes it again.
        """
        catalog, views = self.play(steps)
        expected = published_servers(catalog)
        for view in views:
            found = {s.name: s for s in view.servers}
            self.assertEqual(found.keys(), expected.keys())
            for name, published in expected.items():
                same_start = found[name].started_ms == published.started_ms
                if same_start and published.state is BackendState.DRAINING:
                    self.assertIs(found[name].state, BackendState.DRAINING)
            self.assertEqual(view.unconfirmed, [])

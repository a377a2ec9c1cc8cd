"""Entries of other writers at the address of a host that is in use."""

import asyncio
import socket
from itertools import count
from unittest import TestCase

from balsamspool.datagram._codec import encode_small
from balsamspool.datagram.messages import ANY_SERVICE, FlowLocated
from balsamspool.kernel.clock import now
from balsamspool.placement.load import GONE_SECONDS
from balsamspool.plugins.catalog.completeness import explains_removals
from balsamspool.plugins.catalog.model import (
    BackendState,
    Changes,
    RecordIgnored,
    ServerPublished,
    ServerRemoved,
    Snapshot,
)
from balsamspool.plugins.catalog.removals import REMOVED_RETENTION_SECONDS
from balsamspool.plugins.catalog.view import CatalogView
from balsamspool.plugins.datagram_entry.presence import departed_servers
from tests.datagram_entry_case import DATA, KEY, EntryCase
from tests.datagram_fakes import (
    CODEC,
    SYN,
    packet,
    published,
    route,
    routes,
    server,
)

# Start of the host and of the programs beside it in Unix milliseconds.
STARTED_MS = 1_000
LATER_MS = 2_000
LATEST_MS = 4_102_444_800_000


def names(servers):
    return sorted(s.name for s in servers)


def program(started_ms=LATER_MS, service="metrics", **fields):
    """Return an entry of another program on the instance of i-1."""
    values = {"name": "exporter", "port": 9100, "started_ms": started_ms}
    return server(1, service, **(values | fields))


class SharedAddressTest(TestCase):
    def setUp(self):
        self.view = CatalogView()
        self.host = server(1, started_ms=STARTED_MS)
        self.view.apply(routes(1, route("portal"), route("records")), 0.0)
        for record in published(2, self.host, server(2, started_ms=STARTED_MS)):
            self.view.apply(record, 0.0)

    def assert_in_use(self, view=None):
        view = view or self.view
        self.assertEqual(names(view.ready("portal")), ["i-1", "i-2"])
        self.assertEqual(names(view.listed("portal")), ["i-1", "i-2"])

    def test_a_program_of_no_route_hides_no_host(self):
        """Guards against a reset of the flows of a live host (review, case 1)."""
        revisions = count(20)
        for started_ms in (None, LATER_MS, LATEST_MS):
            for port in (9100, self.host.port):
                for state in BackendState:
                    odd = program(started_ms, port=port, state=state)
                    self.view.apply(ServerPublished(next(revisions), odd, 20), 0.0)
                    self.assert_in_use()

    def test_no_order_of_the_entries_hides_a_host(self):
        """Guards against a host that a process misses from its first read on."""
        records = published(5, program(), self.host, server(2, started_ms=STARTED_MS))
        for order in (records, records[::-1]):
            view = CatalogView()
            # The route table is the last record of the page.
            view.replace(Snapshot(9, (*order, routes(1, route("portal")))), 0.0)
            self.assert_in_use(view)

    def test_entries_that_change_in_turn_hide_no_host(self):
        """Guards against two entries that remove each other at each change."""
        for revision in range(20, 40, 2):
            self.view.apply(ServerPublished(revision, program(), 20), 0.0)
            self.assert_in_use()
            changed = server(1, started_ms=STARTED_MS, slots=revision)
            self.view.apply(ServerPublished(revision + 1, changed, 2), 0.0)
            self.assert_in_use()

    def test_a_program_that_leaves_takes_no_host_along(self):
        """Guards against a host that stays missing after the odd entry has gone."""
        for end in (ServerRemoved(21, "exporter"), RecordIgnored(21, "exporter", "")):
            self.view.apply(ServerPublished(20, program()), 0.0)
            self.view.apply(end, 1.0)
            self.view.expire(1.0 + REMOVED_RETENTION_SECONDS)
            self.assert_in_use()

    def test_a_program_beside_a_host_that_left_does_not_stand_for_it(self):
        """Guards against callers that wait for a host that has gone."""
        self.view.apply(ServerPublished(20, program()), 0.0)
        draining = server(1, started_ms=STARTED_MS, state=BackendState.DRAINING)
        self.view.apply(ServerPublished(21, draining), 0.0)
        self.view.apply(ServerRemoved(22, "i-1"), 1.0)
        self.view.apply(routes(23, route("portal"), version=2), 1.0)
        opening = CODEC.decode(packet(SYN))
        departed = departed_servers(self.view, "10.0.0.1", opening)
        self.assertEqual([r.server.name for r in departed], ["i-1"])

    def test_a_successor_of_another_service_leaves_its_predecessor_searchable(self):
        """Guards against a host that one entry with a routed service hides."""
        odd = program(service="records", port=self.host.port)
        self.view.apply(ServerPublished(20, odd, 20), 0.0)
        self.assertEqual(names(self.view.ready("portal")), ["i-2"])
        self.assertEqual(names(self.view.listed("portal")), ["i-1", "i-2"])
        self.view.apply(ServerRemoved(21, "exporter"), 1.0)
        self.view.expire(10.0)
        self.assert_in_use()

    def test_one_entry_of_a_service_stands_for_an_address(self):
        """Guards against a host that gets twice its share, whatever the order."""
        second = program(service="portal", name="i-9", port=self.host.port)
        for order in ((self.host, second), (second, self.host)):
            view = CatalogView()
            for record in published(5, *order):
                view.apply(record, 0.0)
            self.assertEqual(names(view.ready("portal")), ["i-9"])
            view.apply(ServerRemoved(20, "i-9"), 1.0)
            view.expire(1.0 + REMOVED_RETENTION_SECONDS)
            self.assertEqual(names(view.ready("portal")), ["i-1"])

    def test_expired_entries_of_predecessors_delay_no_removal(self):
        """Guards against removals that count as an outage after a replacement."""
        later = server(1, name="i-9", started_ms=LATER_MS)
        self.view.apply(ServerPublished(20, later, 20), 0.0)
        self.view.apply(ServerRemoved(21, "i-1"), 1.0)
        self.assertFalse(self.view.has_delayed_removals)
        self.assertEqual(names(self.view.ready("portal")), ["i-2", "i-9"])

    def test_a_program_replaces_no_expired_server_in_the_history(self):
        """Guards against a reset of a flow whose host is about to be listed again."""
        records = (
            ServerPublished(10, self.host, 3),
            ServerPublished(20, program(), 20),
            ServerRemoved(30, "i-1"),
        )
        self.assertFalse(explains_removals(Changes(30, records)))
        successor = server(1, name="i-9")
        records = (*records, ServerPublished(31, successor, 31))
        self.assertTrue(explains_removals(Changes(31, records)))


class SearchTest(EntryCase):
    async def test_a_flow_is_searched_for_at_a_host_beside_an_odd_entry(self):
        """Guards against a reset of a flow that its host holds (review, case 1)."""
        self.source.publish(ServerPublished(50, program(), 50))
        await asyncio.sleep(REMOVED_RETENTION_SECONDS + 2)
        self.peers.take()
        self.receive(DATA)
        message, address = self.forwarded()
        queried = {address, *map(socket.inet_ntoa, message.alternatives)}
        self.assertIn("10.0.0.1", queried)

    async def test_a_flow_at_a_host_beside_an_odd_entry_is_delivered(self):
        """Guards against packets that the agent of a flow's host passes on."""
        odd = program(service="records", port=8080)
        self.source.publish(ServerPublished(50, odd, 50))
        await asyncio.sleep(1)
        self.receive(DATA)
        self.peers.take()
        self.peers.receive(encode_small(FlowLocated(KEY)), ("10.0.0.1", 7720))
        self.receive(DATA)
        message, address = self.forwarded()
        self.assertEqual((message.service, address), (ANY_SERVICE, "10.0.0.1"))


class DepartureTest(EntryCase):
    async def leave(self, name, **fields):
        """List a program at the address of the flow's host, drain it, and remove it."""
        number = int(self.agent.rpartition(".")[2])
        for state in (BackendState.READY, BackendState.DRAINING):
            values = {"name": name, "state": state, **fields}
            revision = next(self.revisions)
            self.source.publish(ServerPublished(revision, server(number, **values), 50))
            await asyncio.sleep(1)
        self.source.publish(ServerRemoved(next(self.revisions), name))
        await asyncio.sleep(1)

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.revisions = count(50)
        self.agent = self.open_flow()

    async def restart_agent(self, seconds):
        """Let the agent send no report for a time, as while it starts again."""
        self.reporting.discard(self.agent)
        await asyncio.sleep(seconds)
        self.receive(DATA)
        self.peers.receive(encode_small(FlowLocated(KEY)), (self.agent, 7720))
        self.reporting.add(self.agent)

    async def test_a_program_that_left_does_not_take_the_flows_of_the_host(self):
        """Guards against a reset of a flow whose host is listed (review, case 7)."""
        for fields in (
            {"service": "metrics", "port": 9100},
            {"service": "portal", "port": 9100},
            {"service": "metrics"},
        ):
            await self.leave("exporter", **fields)
            await self.restart_agent(GONE_SECONDS + 0.5)
            self.assertEqual(self.resets(), [], fields)
            self.assertIn(self.agent, {a for _, a in self.peers.take_forwards()})

    async def test_a_program_that_left_beside_a_host_of_an_earlier_service(self):
        """Guards against a reset by a process that does not know the flow's service."""
        self.source.publish(routes(49, route("records"), version=2))
        self.catalog.view._routes._past_services.expire(now() + 1_000)
        await self.leave("exporter", service="metrics", port=9100)
        await self.restart_agent(GONE_SECONDS + 0.5)
        self.assertEqual(self.resets(), [])

    async def test_a_host_that_left_beside_a_program_is_given_up(self):
        """Guards against callers that wait for a host because a program is listed."""
        odd = program(name="exporter", address=self.agent)
        self.source.publish(ServerPublished(next(self.revisions), odd, 50))
        number = int(self.agent.rpartition(".")[2])
        await self.leave(f"i-{number}")
        self.reporting.discard(self.agent)
        await asyncio.sleep(1)
        self.receive(DATA)
        self.assertEqual(len(self.resets()), 1)

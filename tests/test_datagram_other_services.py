"""Searches of a process that may not know each earlier service of a route."""

import asyncio
import socket

from balsamspool.datagram.messages import ANY_SERVICE
from balsamspool.placement.lookup import LOOKUP_LIMIT
from balsamspool.plugins.catalog.model import ServerPublished, ServerRemoved
from balsamspool.plugins.catalog.removals import REMOVED_RETENTION_SECONDS
from balsamspool.plugins.catalog.route_history import TABLE_RETENTION_SECONDS
from tests.datagram_entry_case import DATA, EntryCase
from tests.datagram_fakes import published, route, routes, server

OTHER = "10.0.0.9"


def queried(forwards):
    """Return the agents that packets are passed to, in order."""
    return [
        agent
        for message, first in forwards
        for agent in (first, *map(socket.inet_ntoa, message.alternatives))
    ]


class OtherServicesTest(EntryCase):
    async def publish(self, *records):
        self.source.publish(*records)
        self.source.records += records
        await asyncio.sleep(1)
        self.peers.take()

    def return_all(self, forwards):
        """Let the last agent of each chain return its packet."""
        for message, first in forwards:
            last = message.alternatives[-1] if message.alternatives else None
            agent = socket.inet_ntoa(last) if last else first
            hops = 1 + len(message.alternatives)
            self.return_packet(bytes(message.payload), agent, hops)

    async def test_a_host_that_was_listed_again_is_asked(self):
        """Guards against a reset after an outage that the history lacks (case 4)."""
        self.reporting.add(OTHER)
        await self.publish(ServerPublished(50, server(9, "records"), created=50))
        self.receive(DATA)
        self.assertIn(OTHER, queried(self.peers.take_forwards()))

    async def test_a_host_that_is_cut_off_from_the_service_is_asked(self):
        """Guards against a reset of a flow whose host is removed and still serves."""
        self.reporting.add(OTHER)
        await self.publish(ServerPublished(50, server(9, "records"), created=50))
        await self.publish(ServerRemoved(51, "i-9"))
        await asyncio.sleep(3)
        self.assertEqual(self.catalog.view.listed("records"), ())
        self.receive(DATA)
        self.assertIn(OTHER, queried(self.peers.take_forwards()))

    async def test_the_hosts_of_a_split_route_are_asked_first(self):
        """Guards against a reset, and against callers that wait for a lost flow.

        The packets of a split route carry no number of a service, so hosts of other
        services get them only if no host of the route holds the flow.
        """
        self.reporting |= {OTHER, "10.0.0.8"}
        split = routes(50, route("portal", "records"), version=2)
        servers = published(51, server(8, "records"), server(9, "tickets"))
        await self.publish(split, *servers)
        self.receive(DATA)
        first = self.peers.take_forwards()
        self.assertNotIn(OTHER, queried(first))
        self.return_all(first)
        second = self.peers.take_forwards()
        self.assertEqual(queried(second), [OTHER])
        self.assertEqual(second[0][0].service, ANY_SERVICE)
        await asyncio.sleep(0.05)
        self.assertEqual(self.resets(), [])
        self.return_all(second)
        await asyncio.sleep(0.05)
        self.assertEqual(len(self.resets()), 1)

    async def test_hosts_beyond_the_limit_prevent_a_reset(self):
        """Guards against a reset although not every possible host was asked."""
        many = [
            server(n, "records", name=f"m-{n}", address=f"10.7.{n // 250}.{n % 250}")
            for n in range(LOOKUP_LIMIT)
        ]
        await self.publish(*published(50, *many))
        await asyncio.sleep(REMOVED_RETENTION_SECONDS)
        self.peers.take()
        for _ in range(3):
            self.receive(DATA)
            for _ in range(3):
                await asyncio.sleep(0.01)
                self.return_all(self.peers.take_forwards())
            await asyncio.sleep(0.7)
        self.assertEqual(self.resets(), [])
        counters = self.kernel.counters.values()
        limited = counters["balsamspool_datagram_packets.search-limited"]
        self.assertGreater(limited, 0)

    async def test_a_process_with_the_tables_of_a_minute_asks_no_others(self):
        """Guards against a search that goes on at hosts that cannot hold the flow."""
        await self.publish(ServerPublished(50, server(9, "records"), created=50))
        await asyncio.sleep(TABLE_RETENTION_SECONDS)
        self.peers.take()
        self.receive(DATA)
        self.assertNotIn(OTHER, queried(self.peers.take_forwards()))


class RemovedHostsTest(EntryCase):
    async def test_a_removed_host_beyond_the_limit_prevents_a_reset(self):
        """Guards against a reset although a removed host that reports was not asked."""
        many = [
            server(n, name=f"m-{n}", address=f"10.7.{n // 250}.{n % 250}")
            for n in range(LOOKUP_LIMIT - len(self.servers) + 1)
        ]
        self.source.publish(*published(50, *many))
        await asyncio.sleep(TABLE_RETENTION_SECONDS)
        # The agent of the removed host still reports.
        self.source.publish(ServerRemoved(500, "i-1"))
        await asyncio.sleep(3)
        self.peers.take()
        self.receive(DATA)
        for _ in range(3):
            for message, first in self.peers.take_forwards():
                chain = [first, *map(socket.inet_ntoa, message.alternatives)]
                self.return_packet(bytes(message.payload), chain[-1], len(chain))
            await asyncio.sleep(0.05)
        self.assertEqual(len(self.catalog.view.listed("portal")), LOOKUP_LIMIT)
        self.assertEqual(self.resets(), [])

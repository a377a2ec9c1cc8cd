"""Terms of routes and backend servers that entries tell agents."""

import asyncio
from unittest import TestCase

from balsamspool.datagram._codec import decode, encode_small
from balsamspool.datagram.messages import QueryTerms, Terms
from balsamspool.placement.slow_start import UNKNOWN_SECONDS
from balsamspool.plugins.catalog.model import (
    DomainCordoned,
    DomainUncordoned,
    RoutesPublished,
    RouteTable,
    SlowStart,
)
from balsamspool.plugins.catalog.revision import Revision
from balsamspool.plugins.datagram_agent.terms import (
    DEFAULT_REQUEST,
    LIFETIME_SECONDS,
    MAX_ROUTES,
    TermsTable,
)
from balsamspool.scheduling.terms import RequestTerms, ServerTerms
from tests.datagram_agent_case import ENTRY, AgentCase
from tests.datagram_entry_case import EntryCase
from tests.datagram_fakes import CODEC, SYN, packet, published, route, server

ENDPOINT = CODEC.decode(packet(SYN)).destination
TERMS = Terms(ENDPOINT, RequestTerms(2, 0.25, 1.5), ServerTerms(3, 1.5, 12.5))


class CodecTest(TestCase):
    def test_terms_survive_the_wire(self):
        """Guards against an agent that reads a limit from the wrong field."""
        self.assertEqual(decode(encode_small(TERMS)), TERMS)
        query = QueryTerms(ENDPOINT)
        self.assertEqual(decode(encode_small(query)), query)

    def test_values_out_of_range_are_bounded(self):
        """Guards against a published value that no message can carry."""
        odd = Terms(
            ENDPOINT,
            RequestTerms(10**6, 86_400.0, 86_400.0),
            ServerTerms(65_535, 1e5, 1e9),
        )
        self.assertEqual(decode(encode_small(odd)).request.priority, 255)


class TableTest(TestCase):
    def test_a_route_is_asked_for_once_until_the_answer_or_a_retry(self):
        """Guards against a query for each opening packet, and a lost answer."""
        table = TermsTable()
        asked = [table.query_due(ENDPOINT, t) for t in (0.0, 0.05, 0.25)]
        self.assertEqual(asked, [True, False, True])
        self.assertEqual(table.request(ENDPOINT), DEFAULT_REQUEST)
        table.record(TERMS, 0.3)
        self.assertFalse(table.query_due(ENDPOINT, 1.0))
        self.assertTrue(table.query_due(ENDPOINT, 0.4 + LIFETIME_SECONDS))
        self.assertEqual(table.request(ENDPOINT), TERMS.request)

    def test_the_number_of_routes_is_bounded(self):
        """Guards against callers of many routes that fill the memory."""
        table = TermsTable()
        table.record(TERMS, 0.0)
        for number in range(MAX_ROUTES):
            table.query_due(number.to_bytes(6, "big"), 0.0)
        self.assertEqual(table.request(ENDPOINT), DEFAULT_REQUEST)
        self.assertEqual(table.server, TERMS.server)


class AgentTermsTest(AgentCase):
    async def test_an_opening_of_an_unknown_route_asks_its_entry(self):
        """Guards against an agent that never learns the terms of a route."""
        # An agent that has just started admits nothing to a cold backend server.
        await asyncio.sleep(2 * UNKNOWN_SECONDS)
        self.forward(packet(SYN))
        sent = [m for m, a in self.peers.take_messages() if a == ENTRY]
        self.assertEqual(sent, [QueryTerms(ENDPOINT)])
        self.peers.receive(encode_small(TERMS), (ENTRY, 7720))
        self.forward(packet(SYN, source=("100.64.0.9", 5)))
        self.assertEqual(self.peers.take(), [])


class EntryTermsTest(EntryCase):
    def query(self, agent):
        # Terms that were sent before are not the answer.
        self.peers.take()
        self.peers.receive(encode_small(QueryTerms(ENDPOINT)), (agent, 7720))
        return [m for m, _ in self.peers.take_messages() if isinstance(m, Terms)]

    async def publish(self, revision, *records):
        self.source.publish(*records)
        await asyncio.sleep(1)
        self.peers.take()

    async def publish_limit(self):
        limit = SlowStart("portal", 2.0, 10.0)
        table = RouteTable(2, (route("portal"),), 15.0, (limit,))
        await self.publish(60, RoutesPublished(Revision(60), table))

    async def test_an_agent_is_told_route_and_server(self):
        """Guards against terms of another route or another backend server."""
        (terms,) = self.query("10.0.0.1")
        self.assertEqual(terms.request, RequestTerms(0, 1.0, 0.0))
        self.assertEqual(terms.server, ServerTerms(2))

    async def test_unknown_routes_and_agents_get_no_answer(self):
        """Guards against terms for an address at which another service runs."""
        self.assertEqual(self.query("10.9.9.9"), [])

    async def test_an_agent_of_a_cold_server_is_told_with_the_opening(self):
        """Guards against a cold backend server whose agent knows no limit."""
        await self.publish_limit()
        cold = [server(n, warmup=2.0) for n in range(1, 6)]
        await self.publish(70, *published(Revision(70), *cold))
        self.receive(packet(SYN))
        told = [m for m, _ in self.peers.take_messages() if isinstance(m, Terms)]
        self.assertTrue(told)
        self.assertEqual(told[0].server.flows_per_second, 10.0)
        self.assertLess(told[0].server.warmup, 1.5)

    async def test_an_agent_is_told_of_the_latest_server_at_its_address(self):
        """Guards against the entry of a predecessor that lifts the limit."""
        await self.publish_limit()
        cold = server(9, address="10.0.0.1", warmup=3.0, started_ms=1_000)
        await self.publish(70, *published(Revision(70), cold))
        (terms,) = self.query("10.0.0.1")
        self.assertEqual(terms.server.flows_per_second, 10.0)

    async def test_a_warm_server_has_no_limit(self):
        """Guards against a limit that outlives the warm-up."""
        await self.publish_limit()
        await self.publish(70, *published(Revision(70), server(1, warmup=1.0)))
        await asyncio.sleep(1)
        (terms,) = self.query("10.0.0.1")
        self.assertEqual(terms.server, ServerTerms(2))

    async def test_servers_of_a_domain_that_came_back_count_as_cold(self):
        """Guards against a stale entry that hides that a server became cold."""
        await self.publish_limit()
        await self.publish(80, DomainCordoned(Revision(80), "a"))
        await self.publish(81, DomainUncordoned(Revision(81), "a"))
        (terms,) = self.query("10.0.0.1")
        self.assertEqual(terms.server.flows_per_second, 10.0)
        await asyncio.sleep(2)
        (terms,) = self.query("10.0.0.1")
        self.assertEqual(terms.server.flows_per_second, 0.0)

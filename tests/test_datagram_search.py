"""Entry of opaque flows: how it finds the host of a flow that it does not know."""

import asyncio
import socket

from balsamspool.datagram._codec import encode_small, service_number
from balsamspool.datagram.messages import ANY_SERVICE, FlowLocated
from balsamspool.kernel.errors import ResultError
from balsamspool.plugins.catalog.codes import CATALOG_UNAVAILABLE
from balsamspool.plugins.catalog.model import (
    BackendState,
    ServerPublished,
    ServerRemoved,
)
from balsamspool.plugins.catalog.route_history import TABLE_RETENTION_SECONDS
from tests.datagram_entry_case import DATA, KEY, EntryCase
from tests.datagram_fakes import (
    ACK,
    CODEC,
    packet,
    published,
    routes,
    server,
)


class SearchTest(EntryCase):
    async def test_an_unknown_flow_is_searched_and_then_known(self):
        """Guards against flows that are lost when the fabric rehashes."""
        self.receive(DATA)
        message, first = self.forwarded()
        queried = 1 + len(message.alternatives)
        self.assertEqual(queried, len(self.servers))
        self.assertTrue(message.unconfirmed)
        self.peers.receive(encode_small(FlowLocated(KEY)), ("10.0.0.4", 7720))
        self.receive(DATA)
        message, address = self.forwarded()
        self.assertEqual((address, message.alternatives), ("10.0.0.4", ()))

    async def test_a_lost_search_queries_each_host_separately(self):
        """Guards against a host without power that stops every search (hunt-d105-7)."""
        self.receive(DATA)
        self.forwarded()
        await asyncio.sleep(0.12)
        queries = self.peers.take_forwards()
        self.assertEqual({address for _, address in queries}, self.reporting)
        for message, _ in queries:
            self.assertEqual(bytes(message.payload), DATA)
            self.assertEqual(message.alternatives, ())
        self.peers.receive(encode_small(FlowLocated(KEY)), ("10.0.0.4", 7720))
        await asyncio.sleep(1)
        self.assertEqual(self.peers.take_forwards(), [])

    async def test_a_further_packet_also_reaches_each_host(self):
        """Guards against retransmissions that all stop at one host without power."""
        self.receive(DATA)
        await asyncio.sleep(0.2)
        self.peers.take()
        self.receive(DATA)
        queried = {address for _, address in self.peers.take_forwards()}
        self.assertEqual(queried, self.reporting)

    async def test_a_search_is_retried_only_a_few_times(self):
        """Guards against a search that is retried without end."""
        self.receive(DATA)
        await asyncio.sleep(3)
        self.assertEqual(len(self.peers.take_forwards()), 1 + 3 * len(self.servers))

    async def test_an_acknowledgement_is_searched_only_once(self):
        """Guards against copies to every host for a packet that needs no answer."""
        self.receive(packet(ACK, ack=77))
        self.forwarded()
        await asyncio.sleep(3)
        self.assertEqual(self.peers.take_forwards(), [])

    async def test_all_hosts_queried_separately_have_to_answer(self):
        """Guards against a reset of a flow whose host has not answered yet."""
        self.receive(DATA)
        await asyncio.sleep(0.12)
        reads = self.source.updates
        for address in sorted(self.reporting)[:-1]:
            self.return_packet(DATA, address, 1)
            self.return_packet(DATA, address, 1)
        await asyncio.sleep(0.05)
        self.assertEqual(self.source.updates, reads)
        self.return_packet(DATA, sorted(self.reporting)[-1], 1)
        await asyncio.sleep(0.05)
        self.assertEqual(self.source.updates, reads + 1)
        self.peers.take()
        self.return_packet(DATA, "10.0.0.5", 5)
        self.assertEqual(len(self.resets()), 1)

    async def test_a_lost_flow_of_a_large_service_is_reset(self):
        """Guards against callers that wait for a flow that no host holds any more."""
        more = [server(n) for n in range(6, 41)]
        self.reporting |= {s.address for s in more}
        self.source.publish(*published(50, *more))
        self.source.records += published(50, *more)
        await asyncio.sleep(3)
        self.peers.take()
        self.receive(DATA)
        queried = self.answer_as_not_held()
        self.assertEqual(queried, self.reporting)
        self.assertEqual(self.resets(), [])
        await asyncio.sleep(0.05)
        self.assertEqual(len(self.resets()), 1)
        self.assertEqual(self.answer_as_not_held(), set())

    async def test_one_silent_host_of_many_prevents_a_reset(self):
        """Guards against a reset of a flow whose host did not answer."""
        more = [server(n) for n in range(6, 41)]
        self.reporting |= {s.address for s in more}
        self.source.publish(*published(50, *more))
        self.source.records += published(50, *more)
        await asyncio.sleep(3)
        self.peers.take()
        self.receive(DATA)
        for _ in range(30):
            self.answer_as_not_held(silent="10.0.0.33")
            await asyncio.sleep(0.03)
        self.assertEqual(self.resets(), [])

    def answer_as_not_held(self, silent=""):
        """Let agents pass on and return all packets; return the queried addresses."""
        queried = set()
        while forwards := self.peers.take_forwards():
            for message, address in forwards:
                chain = [address, *map(socket.inet_ntoa, message.alternatives)]
                queried |= set(chain)
                if silent not in chain:
                    payload = bytes(message.payload)
                    self.return_packet(payload, chain[-1], len(chain))
        return queried

    async def test_a_removed_host_that_is_silent_is_not_queried(self):
        """Guards against a search that stops at a removed host."""
        self.reporting.discard("10.0.0.5")
        removed = server(5, state=BackendState.DRAINING)
        self.source.publish(ServerPublished(50, removed), ServerRemoved(51, "i-5"))
        await asyncio.sleep(1)
        self.peers.take()
        self.receive(DATA)
        message, _ = self.forwarded()
        self.assertEqual(1 + len(message.alternatives), 4)

    async def test_a_flow_that_no_host_holds_is_reset_after_another_catalog_read(self):
        """Guards against callers that wait for hosts that lost power (trouble-1)."""
        self.receive(DATA)
        self.forwarded()
        reads = self.source.updates
        self.return_packet(DATA, "10.0.0.5", 5)
        self.assertEqual(self.resets(), [])
        await asyncio.sleep(0.05)
        self.assertEqual(self.source.updates, reads + 1)
        self.assertEqual(self.resets(), [CODEC.reset(CODEC.decode(DATA))])
        # All hosts of the new list have already returned the packet.
        self.assertEqual(self.peers.take_forwards(), [])

    async def test_a_catalog_read_that_began_before_the_search_causes_no_reset(self):
        """Guards against a reset based on a list that lacks the newest hosts."""
        update, gate = self.source.changes, asyncio.Event()

        async def update_slowly(after):
            changes = await update(after)
            await gate.wait()
            return changes

        self.source.changes = update_slowly
        self.catalog.refresher.request()
        await asyncio.sleep(0.01)
        self.receive(DATA)
        self.forwarded()
        self.return_packet(DATA, "10.0.0.5", 5)
        self.source.records += published(70, server(9))
        self.source.revision = 70
        gate.set()
        await asyncio.sleep(0.05)
        self.assertEqual(self.resets(), [])
        await asyncio.sleep(0.5)
        message, address = self.forwarded()
        self.assertEqual(1 + len(message.alternatives), len(self.servers) + 1)
        self.assertEqual(self.resets(), [])

    async def test_a_host_that_was_just_listed_is_queried_before_a_reset(self):
        """Guards against a reset of a flow at a host that this entry did not know."""
        self.receive(DATA)
        self.forwarded()
        self.source.records = [
            routes(1),
            *published(2, *self.servers),
            *published(20, server(9)),
        ]
        self.source.revision = 20
        self.return_packet(DATA, "10.0.0.5", 5)
        await asyncio.sleep(0.05)
        message, address = self.forwarded()
        self.assertEqual(1 + len(message.alternatives), len(self.servers) + 1)

    async def test_a_copy_that_a_slow_agent_returns_ends_no_later_search(self):
        """Guards against a reset of a flow whose host was listed a moment ago."""
        self.receive(DATA)
        await asyncio.sleep(0.3)
        self.peers.take()
        for address in sorted(self.reporting):
            self.return_packet(DATA, address, 1)
        self.source.records += published(20, server(9))
        self.source.revision = 20
        await asyncio.sleep(0.05)
        message, _ = self.forwarded()
        self.assertEqual(1 + len(message.alternatives), len(self.servers) + 1)
        # The slow agent returns the second copy that it got in the search before.
        self.return_packet(DATA, "10.0.0.5", 1)
        self.assertEqual(self.resets(), [])
        self.return_packet(DATA, "10.0.0.5", len(self.servers) + 1)
        self.assertEqual(len(self.resets()), 1)

    async def test_a_copy_of_an_agent_does_not_speak_for_a_whole_chain(self):
        """Guards against a reset of a flow whose host is in the middle of a chain."""
        more = [server(n) for n in range(6, 41)]
        self.reporting |= {s.address for s in more}
        self.source.publish(*published(50, *more))
        self.source.records += published(50, *more)
        await asyncio.sleep(3)
        self.peers.take()
        self.receive(DATA)
        message, address = self.forwarded()
        likely = [address, *map(socket.inet_ntoa, message.alternatives)]
        self.return_packet(DATA, likely[-1], len(likely))
        reads = self.source.updates
        for message, _ in self.peers.take_forwards():
            last = socket.inet_ntoa(message.alternatives[-1])
            self.return_packet(DATA, last, 1)
        await asyncio.sleep(0.05)
        self.assertEqual(self.source.updates, reads)

    async def test_no_reset_if_a_host_was_not_queried(self):
        """Guards against a reset of a flow at a host that is only silent."""
        for _ in range(3):
            self.receive(DATA)
            self.forwarded()
            self.return_packet(DATA, "10.0.0.5", 5, skipped=True)
            await asyncio.sleep(0.5)
            self.peers.take()
        self.assertEqual(self.resets(), [])

    async def test_no_reset_while_entries_may_have_lapsed(self):
        """Guards against a reset of a flow whose host is missing from the list."""
        self.source.failure = ResultError(CATALOG_UNAVAILABLE, "503")
        await asyncio.sleep(4)
        self.source.failure = None
        await asyncio.sleep(1)
        searches = 0
        for _ in range(3):
            self.receive(DATA)
            for _ in self.peers.take_forwards():
                searches += 1
                self.return_packet(DATA, "10.0.0.5", 5)
            await asyncio.sleep(0.2)
            self.peers.take()
        self.assertEqual(self.resets(), [])
        # Only one search is made, because no search can lead to a reset before the list
        # is complete.
        self.assertEqual(searches, 1)

    async def test_a_missing_flow_is_reset_once_the_list_is_complete(self):
        """Guards against a flow that is reset only after another packet of its caller.

        The catalog is read only a few times meanwhile.
        """
        self.source.failure = ResultError(CATALOG_UNAVAILABLE, "503")
        await asyncio.sleep(4)
        self.source.failure = None
        await asyncio.sleep(1)
        self.receive(DATA)
        reads = self.source.updates
        for _ in range(60):
            await asyncio.sleep(0.05)
            for message, _ in self.peers.take_forwards():
                self.return_packet(bytes(message.payload), "10.0.0.5", 5)
        self.assertEqual(len(self.resets()), 1)
        self.assertLessEqual(self.source.updates - reads, 3)

    async def test_a_missing_flow_is_found_at_a_host_that_is_listed_later(self):
        """Guards against packets that wait although a peer listed the flow's host."""
        self.source.failure = ResultError(CATALOG_UNAVAILABLE, "503")
        await asyncio.sleep(8)
        self.receive(DATA)
        for _ in self.peers.take_forwards():
            self.return_packet(DATA, "10.0.0.5", 5)
        self.receive(DATA)
        self.assertEqual(self.peers.take_forwards(), [])
        self.catalog.view.apply(ServerPublished(90, server(9)), 0.0)
        self.receive(DATA)
        queried = self.answer_as_not_held()
        self.assertIn("10.0.0.9", queried)

    async def test_a_missing_flow_is_reset_after_a_catalog_read_that_failed(self):
        """Guards against a flow that waits forever because one catalog read failed."""
        self.source.failure = ResultError(CATALOG_UNAVAILABLE, "503")
        await asyncio.sleep(8)
        self.receive(DATA)
        for _ in self.peers.take_forwards():
            self.return_packet(DATA, "10.0.0.5", 5)
        await asyncio.sleep(1)
        self.source.failure = None
        await asyncio.sleep(5)
        self.receive(DATA)
        await asyncio.sleep(0.5)
        self.assertEqual(len(self.resets()), 1)

    async def test_an_entry_that_may_have_missed_a_table_queries_other_services(self):
        """Guards against losing a flow that an earlier service holds (emulator, 1002).

        The route pointed to another service for a while, and this entry has started
        since then.
        """
        other = ServerPublished(50, server(9, "records"), created=0)
        self.reporting.add("10.0.0.9")
        self.source.publish(other, routes(60, version=2))
        await asyncio.sleep(1)
        self.peers.take()
        self.receive(DATA)
        ((first, _),) = self.peers.take_forwards()
        self.assertIn("10.0.0.9", [socket.inet_ntoa(a) for a in first.alternatives])
        # The packet is addressed to the portal, so an agent of another service delivers
        # the packet only if its host holds the flow.
        self.assertEqual(first.service, service_number("portal"))
        # The agent of the other service started a short time ago, so it may not know
        # the flow.
        self.return_packet(DATA, "10.0.0.9", 6, unsure=True)
        await asyncio.sleep(0.5)
        self.answer_as_not_held("10.0.0.9")
        self.assertEqual(self.resets(), [])

    async def test_a_packet_reaches_the_host_of_an_agent_that_is_unsure(self):
        """Guards against a flow whose own host is never asked after a restart."""
        other = ServerPublished(50, server(9, "records"), created=0)
        self.source.publish(other, routes(60, version=2))
        await asyncio.sleep(1)
        self.peers.take()
        self.receive(DATA)
        self.peers.take()
        self.return_packet(DATA, "10.0.0.9", 6, unsure=True)
        message, address = self.forwarded()
        # The agent passes the packet to its backend server, whatever its service is.
        self.assertEqual((message.service, address), (ANY_SERVICE, "10.0.0.9"))
        self.return_packet(DATA, "10.0.0.9", 1)
        await asyncio.sleep(0.05)
        self.assertEqual(len(self.resets()), 1)

    async def test_a_flow_that_no_service_holds_is_reset(self):
        """Guards against callers that wait because an entry missed a route table.

        The agent of the other service has run for longer than a flow may be idle, so it
        knows each flow of its host.
        """
        other = ServerPublished(50, server(9, "records"), created=0)
        self.reporting.add("10.0.0.9")
        self.source.publish(other, routes(60, version=2))
        await asyncio.sleep(1)
        self.peers.take()
        self.receive(DATA)
        self.return_packet(DATA, "10.0.0.9", 6)
        await asyncio.sleep(0.5)
        self.answer_as_not_held()
        self.assertEqual(len(self.resets()), 1)

    async def test_a_flow_found_at_another_service_is_delivered_there(self):
        """Guards against a reset after a restart of its agent (emulator, 1069)."""
        other = ServerPublished(50, server(9, "records"), created=0)
        self.source.publish(other, routes(60, version=2))
        await asyncio.sleep(1)
        self.receive(DATA)
        self.peers.take()
        self.peers.receive(encode_small(FlowLocated(KEY)), ("10.0.0.9", 7720))
        self.receive(DATA)
        message, address = self.forwarded()
        self.assertEqual((message.service, address), (ANY_SERVICE, "10.0.0.9"))

    async def test_a_flow_found_at_its_service_stays_there(self):
        """Guards against packets to a server of another service at a reused address."""
        self.receive(DATA)
        self.peers.take()
        self.peers.receive(encode_small(FlowLocated(KEY)), ("10.0.0.4", 7720))
        self.receive(DATA)
        message, _ = self.forwarded()
        self.assertEqual(message.service, service_number("portal"))

    async def test_an_entry_with_the_tables_of_a_whole_minute_resets_lost_flows(self):
        """Guards against callers that never learn that their flow is lost."""
        other = ServerPublished(50, server(9, "records"), created=0)
        self.source.publish(other, routes(60, version=2))
        await asyncio.sleep(TABLE_RETENTION_SECONDS)
        self.peers.take()
        self.receive(DATA)
        self.answer_as_not_held()
        await asyncio.sleep(0.1)
        self.assertEqual(len(self.resets()), 1)

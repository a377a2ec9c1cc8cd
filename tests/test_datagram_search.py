"""Entry of opaque flows: how it finds flows that it does not know."""

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
from balsamspool.plugins.catalog.view import FLOW_LIFE_SECONDS
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
        asked = 1 + len(message.alternatives)
        self.assertEqual(asked, len(self.servers))
        self.assertTrue(message.unconfirmed)
        self.peers.receive(encode_small(FlowLocated(KEY)), ("10.0.0.4", 7720))
        self.receive(DATA)
        message, address = self.forwarded()
        self.assertEqual((address, message.alternatives), ("10.0.0.4", ()))

    async def test_a_search_that_is_lost_asks_each_host_on_its_own(self):
        """Guards against a dark host that ends every search (hunt-d105-7, FLOW)."""
        self.receive(DATA)
        self.forwarded()
        await asyncio.sleep(0.12)
        asked = self.peers.take_forwards()
        self.assertEqual({address for _, address in asked}, self.reporting)
        for message, _ in asked:
            self.assertEqual(bytes(message.payload), DATA)
            self.assertEqual(message.alternatives, ())
        self.peers.receive(encode_small(FlowLocated(KEY)), ("10.0.0.4", 7720))
        await asyncio.sleep(1)
        self.assertEqual(self.peers.take_forwards(), [])

    async def test_a_further_packet_also_reaches_each_host(self):
        """Guards against retransmissions that all end at the same dark host."""
        self.receive(DATA)
        await asyncio.sleep(0.2)
        self.peers.take()
        self.receive(DATA)
        asked = {address for _, address in self.peers.take_forwards()}
        self.assertEqual(asked, self.reporting)

    async def test_a_search_is_tried_again_only_a_few_times(self):
        """Guards against packets that circle for ever."""
        self.receive(DATA)
        await asyncio.sleep(3)
        self.assertEqual(len(self.peers.take_forwards()), 1 + 3 * len(self.servers))

    async def test_an_acknowledgement_is_searched_only_once(self):
        """Guards against copies at every host for a packet that nobody waits for."""
        self.receive(packet(ACK, ack=77))
        self.forwarded()
        await asyncio.sleep(3)
        self.assertEqual(self.peers.take_forwards(), [])

    async def test_hosts_asked_on_their_own_have_to_answer_all(self):
        """Guards against a reset of a flow whose host has not answered yet."""
        self.receive(DATA)
        await asyncio.sleep(0.12)
        reads = self.source.updates
        for address in sorted(self.reporting)[:-1]:
            self.give_back(DATA, address, 1)
            self.give_back(DATA, address, 1)
        await asyncio.sleep(0.05)
        self.assertEqual(self.source.updates, reads)
        self.give_back(DATA, sorted(self.reporting)[-1], 1)
        await asyncio.sleep(0.05)
        self.assertEqual(self.source.updates, reads + 1)
        self.peers.take()
        self.give_back(DATA, "10.0.0.5", 5)
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
        asked = self.answer_as_not_held()
        self.assertEqual(asked, self.reporting)
        self.assertEqual(self.resets(), [])
        await asyncio.sleep(0.05)
        self.assertEqual(len(self.resets()), 1)
        self.assertEqual(self.answer_as_not_held(), set())

    async def test_one_of_many_hosts_that_is_silent_forbids_a_reset(self):
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
        """Let agents pass on and give back what they get, and return who was asked."""
        asked = set()
        while forwards := self.peers.take_forwards():
            for message, address in forwards:
                chain = [address, *map(socket.inet_ntoa, message.alternatives)]
                asked |= set(chain)
                if silent not in chain:
                    payload = bytes(message.payload)
                    self.give_back(payload, chain[-1], len(chain))
        return asked

    async def test_a_removed_host_that_is_silent_is_not_asked(self):
        """Guards against a search that ends at a host that is gone."""
        self.reporting.discard("10.0.0.5")
        gone = server(5, state=BackendState.DRAINING)
        self.source.publish(ServerPublished(50, gone), ServerRemoved(51, "i-5"))
        await asyncio.sleep(1)
        self.peers.take()
        self.receive(DATA)
        message, _ = self.forwarded()
        self.assertEqual(1 + len(message.alternatives), 4)

    async def test_a_flow_that_no_host_holds_is_reset_after_another_reading(self):
        """Guards against callers that wait for hosts that lost power (trouble-1)."""
        self.receive(DATA)
        self.forwarded()
        reads = self.source.updates
        self.give_back(DATA, "10.0.0.5", 5)
        self.assertEqual(self.resets(), [])
        await asyncio.sleep(0.05)
        self.assertEqual(self.source.updates, reads + 1)
        self.assertEqual(self.resets(), [CODEC.reset(CODEC.decode(DATA))])
        # All hosts of the newer list have given the packet back already.
        self.assertEqual(self.peers.take_forwards(), [])

    async def test_a_reading_that_began_before_the_search_decides_nothing(self):
        """Guards against a reset by a list that does not name the newest hosts."""
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
        self.give_back(DATA, "10.0.0.5", 5)
        self.source.records += published(70, server(9))
        self.source.revision = 70
        gate.set()
        await asyncio.sleep(0.05)
        self.assertEqual(self.resets(), [])
        await asyncio.sleep(0.5)
        message, address = self.forwarded()
        self.assertEqual(1 + len(message.alternatives), len(self.servers) + 1)
        self.assertEqual(self.resets(), [])

    async def test_a_host_that_was_just_listed_is_asked_before_a_reset(self):
        """Guards against a reset of a flow at a host that this entry did not know."""
        self.receive(DATA)
        self.forwarded()
        self.source.records = [
            routes(1),
            *published(2, *self.servers),
            *published(20, server(9)),
        ]
        self.source.revision = 20
        self.give_back(DATA, "10.0.0.5", 5)
        await asyncio.sleep(0.05)
        message, address = self.forwarded()
        self.assertEqual(1 + len(message.alternatives), len(self.servers) + 1)

    async def test_no_reset_if_a_host_was_not_asked(self):
        """Guards against a reset of a flow at a host that is only silent."""
        for _ in range(3):
            self.receive(DATA)
            self.forwarded()
            self.give_back(DATA, "10.0.0.5", 5, skipped=True)
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
                self.give_back(DATA, "10.0.0.5", 5)
            await asyncio.sleep(0.2)
            self.peers.take()
        self.assertEqual(self.resets(), [])
        # Another search would decide nothing before the list is complete.
        self.assertEqual(searches, 1)

    async def test_a_missing_flow_is_reset_once_the_list_is_complete(self):
        """Guards against a caller that has to ask again, and against many readings."""
        self.source.failure = ResultError(CATALOG_UNAVAILABLE, "503")
        await asyncio.sleep(4)
        self.source.failure = None
        await asyncio.sleep(1)
        self.receive(DATA)
        reads = self.source.updates
        for _ in range(60):
            await asyncio.sleep(0.05)
            for message, _ in self.peers.take_forwards():
                self.give_back(bytes(message.payload), "10.0.0.5", 5)
        self.assertEqual(len(self.resets()), 1)
        self.assertLessEqual(self.source.updates - reads, 3)

    async def test_a_missing_flow_is_found_at_a_host_that_is_listed_later(self):
        """Guards against packets that wait although a peer names the flow's host."""
        self.source.failure = ResultError(CATALOG_UNAVAILABLE, "503")
        await asyncio.sleep(8)
        self.receive(DATA)
        for _ in self.peers.take_forwards():
            self.give_back(DATA, "10.0.0.5", 5)
        self.receive(DATA)
        self.assertEqual(self.peers.take_forwards(), [])
        self.catalog.view.apply(ServerPublished(90, server(9)), 0.0)
        self.receive(DATA)
        asked = self.answer_as_not_held()
        self.assertIn("10.0.0.9", asked)

    async def test_a_missing_flow_is_decided_after_a_reading_that_failed(self):
        """Guards against a flow that waits for ever because one reading failed."""
        self.source.failure = ResultError(CATALOG_UNAVAILABLE, "503")
        await asyncio.sleep(8)
        self.receive(DATA)
        for _ in self.peers.take_forwards():
            self.give_back(DATA, "10.0.0.5", 5)
        await asyncio.sleep(1)
        self.source.failure = None
        await asyncio.sleep(5)
        self.receive(DATA)
        await asyncio.sleep(0.5)
        self.assertEqual(len(self.resets()), 1)

    async def test_an_entry_that_may_have_missed_a_table_asks_other_services(self):
        """Guards against a flow that is lost at an earlier service (emulator, 1002).

        The route was directed to another service for a while, and this entry has
        started since.
        """
        other = ServerPublished(50, server(9, "records"), created=50)
        self.reporting.add("10.0.0.9")
        self.source.publish(other, routes(60, version=2))
        await asyncio.sleep(1)
        self.peers.take()
        self.receive(DATA)
        ((first, _),) = self.peers.take_forwards()
        self.assertIn("10.0.0.9", [socket.inet_ntoa(a) for a in first.alternatives])
        # Only the agent of the flow's host delivers it: the packet is for the portal.
        self.assertEqual(first.service, service_number("portal"))
        self.give_back(DATA, "10.0.0.9", 6)
        await asyncio.sleep(0.5)
        self.answer_as_not_held()
        self.assertEqual(self.resets(), [])

    async def test_a_flow_found_at_another_service_is_delivered_there(self):
        """Guards against a reset after a restart of its agent (emulator, 1069)."""
        other = ServerPublished(50, server(9, "records"), created=50)
        self.source.publish(other, routes(60, version=2))
        await asyncio.sleep(1)
        self.receive(DATA)
        self.peers.take()
        self.peers.receive(encode_small(FlowLocated(KEY)), ("10.0.0.9", 7720))
        self.receive(DATA)
        message, address = self.forwarded()
        self.assertEqual((message.service, address), (ANY_SERVICE, "10.0.0.9"))

    async def test_a_flow_found_at_its_service_stays_there(self):
        """Guards against packets at a server of another service that takes over."""
        self.receive(DATA)
        self.peers.take()
        self.peers.receive(encode_small(FlowLocated(KEY)), ("10.0.0.4", 7720))
        self.receive(DATA)
        message, _ = self.forwarded()
        self.assertEqual(message.service, service_number("portal"))

    async def test_a_reset_by_an_entry_that_knows_the_tables_of_a_minute(self):
        """Guards against callers of lost flows that are never told."""
        other = ServerPublished(50, server(9, "records"), created=50)
        self.source.publish(other, routes(60, version=2))
        await asyncio.sleep(FLOW_LIFE_SECONDS)
        self.peers.take()
        self.receive(DATA)
        self.answer_as_not_held()
        await asyncio.sleep(0.1)
        self.assertEqual(len(self.resets()), 1)

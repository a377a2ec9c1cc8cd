"""Entry of opaque flows: where packets go, and when a flow is reset."""

import asyncio
import socket

from balsamspool.datagram._codec import encode_small, returned_head
from balsamspool.datagram.messages import FlowEnded, FlowLocated, Report, Subscribe
from balsamspool.datagram.settings import DatagramSettings
from balsamspool.kernel.errors import ResultError
from balsamspool.kernel.identity import Role
from balsamspool.placement.load import LoadReport
from balsamspool.plugins.catalog import CatalogPlugin
from balsamspool.plugins.catalog.codes import CATALOG_UNAVAILABLE
from balsamspool.plugins.catalog.model import (
    BackendState,
    ServerPublished,
    ServerRemoved,
)
from balsamspool.plugins.catalog.plugin import CatalogSettings
from balsamspool.plugins.datagram_entry import DatagramEntryPlugin
from tests._clock import PausedClockTestCase
from tests.datagram_fakes import (
    ACK,
    CALLER,
    CODEC,
    RST,
    SYN,
    FakeKernel,
    FakeSocket,
    FakeSockets,
    FakeSource,
    packet,
    published,
    route,
    routes,
    server,
)

KEY = CODEC.decode(packet(SYN)).flow_from_caller
DATA = packet(ACK, b"request", ack=77)
IDLE = LoadReport(0, 0.0, 0, True, 0.1)


class EntryTest(PausedClockTestCase):
    async def asyncSetUp(self):
        sections = {
            "datagram-entry": DatagramSettings(address="10.0.1.1:8172"),
            "catalog": CatalogSettings(),
        }
        self.kernel = FakeKernel(Role.DATAGRAM_ENTRY, "10.0.1.1", sections)
        self.source = FakeSource()
        self.servers = [server(n) for n in range(1, 6)]
        self.source.records = [routes(1), *published(2, *self.servers)]
        self.kernel.known.append(self.source)
        self.catalog = CatalogPlugin(self.kernel)
        self.kernel.known.append(self.catalog)
        self.entry = DatagramEntryPlugin(self.kernel)
        await self.catalog.start()
        await self.entry.start()
        self.peers = FakeSocket.opened["10.0.1.1", 7720]
        self.callers = FakeSocket.opened["10.0.1.1", 8172]
        self.reporting = {s.address for s in self.servers}
        reports = asyncio.create_task(self.report())
        self.kernel.tasks.append(reports)
        # Longer than the time in which lapsed entries return.
        await asyncio.sleep(3)
        self.peers.take()

    async def asyncTearDown(self):
        await self.kernel.stop()

    async def report(self):
        while True:
            for address in self.reporting:
                self.peers.receive(encode_small(Report(IDLE)), (address, 7720))
            await asyncio.sleep(0.1)

    def receive(self, data):
        self.callers.receive(data, CALLER)

    def forwarded(self):
        """Return the one packet that was forwarded, and the agent."""
        ((message, address),) = self.peers.take_forwards()
        return message, address

    def give_back(self, data, agent, hops, skipped=False):
        self.peers.receive(returned_head(hops, skipped) + data, (agent, 7720))

    def open_flow(self):
        self.receive(packet(SYN))
        _, agent = self.forwarded()
        self.peers.receive(encode_small(FlowLocated(KEY)), (agent, 7720))
        return agent

    def resets(self):
        return [data for data, _ in self.callers.take()]

    async def test_a_flow_stays_with_its_host(self):
        """Guards against packets of one flow at several hosts."""
        agent = self.open_flow()
        for _ in range(3):
            self.receive(DATA)
            message, address = self.forwarded()
            self.assertEqual(address, agent)
            self.assertEqual(message.alternatives, ())
            self.assertFalse(message.unconfirmed)

    async def test_a_copy_of_an_opening_goes_to_another_host(self):
        """Guards against a caller whose copies all go to a dark host."""
        self.receive(packet(SYN))
        _, first = self.forwarded()
        self.receive(packet(SYN, ack=1))
        _, second = self.forwarded()
        self.receive(packet(SYN, ack=2))
        _, third = self.forwarded()
        self.assertEqual(len({first, second, third}), 3)
        # The first answer decides; its host is asked first.
        self.receive(DATA)
        message, address = self.forwarded()
        self.assertEqual(address, first)
        self.assertGreaterEqual(len(message.alternatives), 2)

    async def test_an_unknown_route_is_rejected_only_with_a_recent_catalog(self):
        """Guards against a refusal of a route that was just added."""
        other = packet(SYN, destination=("198.18.0.9", 443))
        self.receive(other)
        self.assertEqual(self.resets(), [CODEC.reset(CODEC.decode(other))])
        self.source.failure = ResultError(CATALOG_UNAVAILABLE, "503")
        await asyncio.sleep(9)
        self.receive(other)
        self.assertEqual(self.resets(), [])

    async def test_a_service_without_hosts_is_rejected_at_once(self):
        """Guards against callers that wait for what cannot be served."""
        leaving = [server(n, state=BackendState.DRAINING) for n in range(1, 6)]
        self.source.publish(*published(50, *leaving))
        await asyncio.sleep(0.5)
        self.receive(packet(SYN))
        self.assertEqual(len(self.resets()), 1)

    async def test_a_draining_host_gets_no_new_flow(self):
        """Guards against new work on a leaving host."""
        agent = self.open_flow()
        number = int(agent.rpartition(".")[2])
        leaving = server(number, state=BackendState.DRAINING)
        self.source.publish(ServerPublished(50, leaving))
        await asyncio.sleep(0.5)
        self.receive(DATA)
        self.assertEqual(self.forwarded()[1], agent)
        for port in range(200):
            self.receive(packet(SYN, source=("100.64.0.9", port)))
        self.assertNotIn(agent, {a for _, a in self.peers.take_forwards()})

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

    async def test_packets_wait_for_the_first_catalog(self):
        """Guards against packets that are lost while an entry starts (inc-6274)."""
        source = FakeSource()
        source.failure = ResultError(CATALOG_UNAVAILABLE, "503")
        self.kernel.known = [CODEC, FakeSockets(self.kernel), source]
        catalog = CatalogPlugin(self.kernel)
        self.kernel.known.append(catalog)
        entry = DatagramEntryPlugin(self.kernel)
        await catalog.start()
        await entry.start()
        callers = FakeSocket.opened["10.0.1.1", 8172]
        peers = FakeSocket.opened["10.0.1.1", 7720]
        callers.receive(packet(SYN), CALLER)
        callers.receive(packet(ACK, b"x", source=("100.64.0.9", 5)), CALLER)
        await asyncio.sleep(0.3)
        self.assertEqual(peers.take_forwards(), [])
        source.records = self.source.records
        source.failure = None
        await asyncio.sleep(0.3)
        self.assertGreaterEqual(len(peers.take_forwards()), 2)

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

    async def test_a_host_that_does_not_hold_its_flow_any_more_ends_it(self):
        """Guards against callers of a host that started again."""
        agent = self.open_flow()
        self.receive(DATA)
        self.give_back(DATA, agent, 1)
        self.assertEqual(len(self.resets()), 1)

    async def test_a_late_return_does_not_end_a_confirmed_flow(self):
        """Guards against a reset because of an earlier search of the same flow."""
        self.receive(DATA)
        self.peers.take()
        self.peers.receive(encode_small(FlowLocated(KEY)), ("10.0.0.4", 7720))
        self.give_back(DATA, "10.0.0.5", 3)
        self.assertEqual(self.resets(), [])
        self.assertEqual(self.forwarded()[1], "10.0.0.4")

    async def test_a_flow_of_a_host_that_left_is_reset_if_the_host_is_silent(self):
        """Guards against idle feeds that hang after a planned replacement."""
        agent = self.open_flow()
        number = int(agent.rpartition(".")[2])
        leaving = server(number, state=BackendState.DRAINING)
        self.source.publish(ServerPublished(50, leaving))
        await asyncio.sleep(0.5)
        self.source.publish(ServerRemoved(51, leaving.name))
        await asyncio.sleep(0.5)
        self.receive(DATA)
        self.assertEqual(self.forwarded()[1], agent)
        self.reporting.discard(agent)
        await asyncio.sleep(1)
        self.receive(DATA)
        self.assertEqual(len(self.resets()), 1)
        self.assertEqual(self.peers.take_forwards(), [])

    async def test_a_reset_of_a_caller_is_not_answered(self):
        """Guards against resets that answer each other."""
        agent = self.open_flow()
        self.receive(packet(RST))
        self.give_back(packet(RST), agent, 1)
        self.assertEqual(self.resets(), [])

    async def test_an_ended_flow_is_forgotten(self):
        """Guards against an entry that sends on to a host without the flow."""
        agent = self.open_flow()
        self.peers.receive(encode_small(FlowEnded(KEY)), (agent, 7720))
        self.receive(DATA)
        self.assertTrue(self.forwarded()[0].unconfirmed)

    async def test_flows_of_a_redirected_route_stay_where_they_are(self):
        """Guards against open flows that a new configuration moves."""
        agent = self.open_flow()
        records = server(8, "records")
        self.source.publish(
            *published(60, records), routes(61, route("records"), version=2)
        )
        await asyncio.sleep(0.5)
        self.receive(DATA)
        self.assertEqual(self.forwarded()[1], agent)
        self.receive(packet(SYN, source=("100.64.0.9", 5)))
        self.assertEqual(self.forwarded()[1], "10.0.0.8")

    async def test_subscriptions_are_renewed_and_reach_a_new_host_at_once(self):
        """Guards against hosts whose load is not known."""
        await asyncio.sleep(1.5)
        sent = [a for m, a in self.peers.take_messages() if isinstance(m, Subscribe)]
        self.assertEqual(set(sent), self.reporting)
        self.source.publish(ServerPublished(50, server(9)))
        await asyncio.sleep(0.3)
        sent = [a for m, a in self.peers.take_messages() if isinstance(m, Subscribe)]
        self.assertIn("10.0.0.9", sent)

    async def test_other_datagrams_are_counted_and_dropped(self):
        """Guards against a stranger's datagram that stops the process."""
        for data in (b"", b"x" * 31, b"\x01\x01", packet(SYN | ACK)):
            self.receive(data)
            self.peers.receive(data, ("203.0.113.9", 1))
        values = self.kernel.counters.values()
        self.assertEqual(values["balsamspool_datagram_malformed"], 8)
        self.assertEqual(self.peers.take_forwards(), [])

"""Entry of opaque flows: where packets are forwarded, and when a flow is reset."""

import asyncio
import socket
from collections import Counter

from balsamspool.datagram._codec import encode_small
from balsamspool.datagram.messages import (
    ANY_SERVICE,
    FlowEnded,
    FlowLocated,
    Subscribe,
)
from balsamspool.kernel.errors import ResultError
from balsamspool.placement.load import GONE_SECONDS
from balsamspool.plugins.catalog import CatalogPlugin
from balsamspool.plugins.catalog.codes import CATALOG_UNAVAILABLE
from balsamspool.plugins.catalog.model import (
    BackendState,
    ServerPublished,
    ServerRemoved,
)
from balsamspool.plugins.datagram_entry import DatagramEntryPlugin
from balsamspool.plugins.datagram_entry.presence import UNREPORTED_SECONDS
from balsamspool.plugins.datagram_entry.subscriptions import MAX_RENEWALS
from tests.datagram_entry_case import DATA, KEY, EntryCase
from tests.datagram_fakes import (
    ACK,
    CALLER,
    CODEC,
    RST,
    SYN,
    FakePeers,
    FakeSocket,
    FakeSockets,
    FakeSource,
    packet,
    published,
    route,
    routes,
    server,
)


class EntryTest(EntryCase):
    async def test_a_flow_stays_with_its_host(self):
        """Guards against packets of one flow being forwarded to several hosts."""
        agent = self.open_flow()
        for _ in range(3):
            self.receive(DATA)
            message, address = self.forwarded()
            self.assertEqual(address, agent)
            self.assertEqual(message.alternatives, ())
            self.assertFalse(message.unconfirmed)

    async def test_a_copy_of_an_opening_goes_to_another_host(self):
        """Guards against sending all copies of an opening to a host without power."""
        self.receive(packet(SYN))
        _, first = self.forwarded()
        self.receive(packet(SYN, ack=1))
        _, second = self.forwarded()
        self.receive(packet(SYN, ack=2))
        _, third = self.forwarded()
        self.assertEqual(len({first, second, third}), 3)
        # The host that received the first copy may still answer, so later packets go to
        # that host first.
        self.receive(DATA)
        message, address = self.forwarded()
        self.assertEqual(address, first)
        self.assertGreaterEqual(len(message.alternatives), 2)

    async def test_an_unknown_route_is_rejected_only_with_a_recent_catalog(self):
        """Guards against resetting flows to a route that was just added."""
        other = packet(SYN, destination=("198.18.0.9", 443))
        self.receive(other)
        self.assertEqual(self.resets(), [CODEC.reset(CODEC.decode(other))])
        self.source.failure = ResultError(CATALOG_UNAVAILABLE, "503")
        await asyncio.sleep(9)
        self.receive(other)
        self.assertEqual(self.resets(), [])

    async def test_a_copy_of_an_opening_is_not_rejected(self):
        """Guards against a reset of a flow that an earlier copy has opened meanwhile.

        The entry that received the earlier copy knew the route already.
        """
        other = packet(SYN, destination=("198.18.0.9", 443), ack=1)
        self.receive(other)
        self.assertEqual(self.resets(), [])
        leaving = [server(n, state=BackendState.DRAINING) for n in range(1, 6)]
        self.source.publish(*published(50, *leaving))
        await asyncio.sleep(0.5)
        self.receive(packet(SYN, ack=1))
        self.assertEqual(self.resets(), [])

    async def test_a_service_without_hosts_is_rejected_at_once(self):
        """Guards against callers that wait for a service that has no host."""
        leaving = [server(n, state=BackendState.DRAINING) for n in range(1, 6)]
        self.source.publish(*published(50, *leaving))
        await asyncio.sleep(0.5)
        self.receive(packet(SYN))
        self.assertEqual(len(self.resets()), 1)

    async def test_a_draining_host_gets_no_new_flow(self):
        """Guards against new flows at a leaving host."""
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

    async def test_packets_wait_for_the_first_catalog(self):
        """Guards against packets that are lost while an entry starts (inc-6274)."""
        source = FakeSource()
        source.failure = ResultError(CATALOG_UNAVAILABLE, "503")
        self.kernel.known = [CODEC, FakeSockets(self.kernel), FakePeers(), source]
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

    async def test_a_flow_that_was_idle_for_long_is_searched(self):
        """Guards against a reset of a new flow from a port that was used before.

        The caller opened the new flow through another entry, at another host.
        """
        agent = self.open_flow()
        for _ in range(3):
            await asyncio.sleep(14)
            self.peers.take()
            self.receive(DATA)
            self.assertEqual(self.forwarded()[1], agent)
        await asyncio.sleep(16)
        self.peers.take()
        self.receive(DATA)
        message, _ = self.forwarded()
        self.assertTrue(message.unconfirmed)
        self.assertEqual(1 + len(message.alternatives), len(self.servers))

    async def test_a_flow_that_its_host_returns_is_reset(self):
        """Guards against callers that wait for a host that has restarted."""
        agent = self.open_flow()
        self.receive(DATA)
        self.return_packet(DATA, agent, 1)
        self.assertEqual(len(self.resets()), 1)

    async def test_a_flow_is_kept_if_its_agent_did_not_ask_the_backend_server(self):
        """Guards against a reset after a new route and a restart of the agent.

        A copy of the opening came under a route table that directs the route to another
        service, but the flow had opened at the first host.
        """
        self.receive(packet(SYN))
        _, agent = self.forwarded()
        records = [server(n, "records") for n in range(8, 10)]
        self.source.publish(
            *published(60, *records), routes(62, route("records"), version=2)
        )
        await asyncio.sleep(0.3)
        self.peers.take()
        self.receive(packet(SYN, ack=1))
        self.peers.take()
        self.peers.receive(encode_small(FlowLocated(KEY)), (agent, 7720))
        self.receive(DATA)
        message, address = self.forwarded()
        self.assertEqual((message.service, address), (ANY_SERVICE, agent))

    async def test_an_agent_that_is_unsure_does_not_end_a_flow(self):
        """Guards against a reset by an agent that does not know flows of its server."""
        agent = self.open_flow()
        self.receive(DATA)
        self.forwarded()
        self.return_packet(DATA, agent, 1, unsure=True)
        self.assertEqual(self.resets(), [])
        message, address = self.forwarded()
        self.assertEqual((message.service, address), (ANY_SERVICE, agent))
        self.return_packet(DATA, agent, 1)
        self.assertEqual(len(self.resets()), 1)

    async def test_a_late_return_does_not_end_a_confirmed_flow(self):
        """Guards against a reset because of an earlier search for the same flow."""
        self.receive(DATA)
        self.peers.take()
        self.peers.receive(encode_small(FlowLocated(KEY)), ("10.0.0.4", 7720))
        self.return_packet(DATA, "10.0.0.5", 3)
        self.assertEqual(self.resets(), [])
        self.assertEqual(self.forwarded()[1], "10.0.0.4")

    async def test_a_leaving_host_whose_entry_expired_keeps_its_flows(self):
        """Guards against a reset of a flow at a host that drains during an outage.

        The entry of the host expires while the store is down. The agent restarts, and
        is silent for a second.
        """
        agent = self.open_flow()
        number = int(agent.rpartition(".")[2])
        leaving = server(number, state=BackendState.DRAINING)
        self.source.publish(ServerPublished(50, leaving))
        await asyncio.sleep(0.5)
        self.source.failure = ResultError(CATALOG_UNAVAILABLE, "503")
        await asyncio.sleep(9)
        self.source.failure = None
        self.source.publish(ServerRemoved(51, leaving.name))
        await asyncio.sleep(0.5)
        self.reporting.discard(agent)
        await asyncio.sleep(1.0)
        self.receive(DATA)
        self.assertEqual(self.resets(), [])
        self.assertIn(agent, {a for _, a in self.peers.take_forwards()})
        # An entry that does not know the flow queries the host too.
        self.peers.receive(encode_small(FlowEnded(KEY)), (agent, 7720))
        self.receive(DATA)
        message, first = self.forwarded()
        queried = [first, *map(socket.inet_ntoa, message.alternatives)]
        self.assertIn(agent, queried)

    async def test_a_flow_of_a_host_that_left_is_reset_if_the_host_is_silent(self):
        """Guards against idle feeds that hang after a planned host replacement."""
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

    async def test_renewals_are_bounded_and_no_subscription_ends(self):
        """Guards against control traffic that grows with the hosts of a domain."""
        named = [
            server(n, name=f"m-{n}", address=f"10.7.{n // 250}.{n % 250}")
            for n in range(400)
        ]
        self.source.publish(*published(100, *named))
        await asyncio.sleep(1.5)
        self.peers.take()
        leases = Counter()
        for _ in range(12):
            await asyncio.sleep(1.0)
            messages = self.peers.take_messages()
            sent = [m for m in messages if isinstance(m[0], Subscribe)]
            self.assertLessEqual(len(sent), MAX_RENEWALS + 1)
            leases.update(address for _, address in sent)
            self.assertGreater(min(m.lease for m, _ in sent), 2 * 405 / MAX_RENEWALS)
        self.assertEqual(len(leases), 405)
        self.assertGreaterEqual(min(leases.values()), 2)

    async def test_flows_of_a_host_that_is_silent_for_a_while_are_kept(self):
        """Guards against giving up the work of a host that is only cut off or slow.

        Its catalog entry expires, and its reports are late for 2 s. A host that stays
        silent is given up, so that its callers do not wait.
        """
        agent = self.open_flow()
        number = int(agent.rpartition(".")[2])
        self.reporting.discard(agent)
        self.source.publish(ServerRemoved(51, f"i-{number}"))
        for _ in range(4):
            await asyncio.sleep(0.5)
            self.receive(DATA)
            self.assertEqual(self.forwarded()[1], agent)
        self.reporting.add(agent)
        await asyncio.sleep(2)
        self.receive(DATA)
        self.assertEqual(self.forwarded()[1], agent)
        self.assertEqual(self.resets(), [])
        self.reporting.discard(agent)
        await asyncio.sleep(GONE_SECONDS + 0.2)
        self.receive(DATA)
        self.assertEqual(len(self.resets()), 1)

    async def test_a_removed_host_that_was_just_found_is_not_given_up(self):
        """Guards against a reset because a host was never asked for reports."""
        agent = self.open_flow()
        self.reporting.discard(agent)
        number = agent.rpartition(".")[2]
        self.source.publish(ServerRemoved(51, f"i-{number}"))
        await asyncio.sleep(GONE_SECONDS + 0.5)
        self.entry._board.retain(set())
        self.peers.receive(encode_small(FlowEnded(KEY)), (agent, 7720))
        self.peers.receive(encode_small(FlowLocated(KEY)), (agent, 7720))
        self.peers.take()
        self.receive(DATA)
        self.assertEqual(self.forwarded()[1], agent)
        self.assertEqual(self.resets(), [])
        await asyncio.sleep(UNREPORTED_SECONDS + 0.2)
        self.receive(DATA)
        self.assertEqual(len(self.resets()), 1)

    async def test_a_reset_of_a_caller_is_not_answered(self):
        """Guards against resets that answer each other."""
        agent = self.open_flow()
        self.receive(packet(RST))
        self.return_packet(packet(RST), agent, 1)
        self.assertEqual(self.resets(), [])

    async def test_an_ended_flow_is_forgotten(self):
        """Guards against forwarding to a host that no longer holds the flow."""
        agent = self.open_flow()
        self.peers.receive(encode_small(FlowEnded(KEY)), (agent, 7720))
        self.receive(DATA)
        self.assertTrue(self.forwarded()[0].unconfirmed)

    async def test_flows_of_a_redirected_route_stay_where_they_are(self):
        """Guards against a new configuration that moves open flows."""
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
        """Guards against hosts whose load is unknown to the entry."""
        await asyncio.sleep(1.5)
        sent = [a for m, a in self.peers.take_messages() if isinstance(m, Subscribe)]
        self.assertEqual(set(sent), self.reporting)
        self.source.publish(ServerPublished(50, server(9)))
        await asyncio.sleep(0.3)
        sent = [a for m, a in self.peers.take_messages() if isinstance(m, Subscribe)]
        self.assertIn("10.0.0.9", sent)

    async def test_other_datagrams_are_counted_and_dropped(self):
        """Guards against a malformed datagram that stops the process."""
        for data in (b"", b"x" * 31, b"\x01\x01", packet(SYN | ACK)):
            self.receive(data)
            self.peers.receive(data, ("203.0.113.9", 1))
        values = self.kernel.counters.values()
        self.assertEqual(values["balsamspool_datagram_malformed"], 8)
        self.assertEqual(self.peers.take_forwards(), [])

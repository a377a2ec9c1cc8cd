"""Agent of opaque flows: packets that it passes on, its counts and load reports."""

import asyncio
import socket
from pathlib import Path
from unittest.mock import patch

from balsamspool.datagram._codec import encode_small, forward_head, service_number
from balsamspool.datagram.messages import (
    FlowEnded,
    FlowLocated,
    Forward,
    PacketReturned,
    QueryTerms,
    Report,
    Subscribe,
)
from balsamspool.plugins.datagram_agent import flows, passing
from tests.datagram_agent_case import BACKEND, ENTRY, NEXT, SETTINGS, AgentCase
from tests.datagram_fakes import (
    ACK,
    CALLER,
    CODEC,
    FIN,
    RST,
    SYN,
    answer,
    packet,
)


class AgentTest(AgentCase):
    async def test_packets_pass_unchanged_both_ways(self):
        """Guards against a changed packet that its receiver rejects as forged."""
        self.forward(packet(SYN, ack=1))
        data, _ = self.backend.take()[0]
        self.assertEqual(data[:27], packet(SYN, ack=1)[:27])
        query = QueryTerms(CODEC.decode(packet(SYN)).destination)
        self.assertEqual(self.peers.take_messages(), [(query, ENTRY)])
        sent = answer(SYN | ACK, seq=99)
        self.reply(sent)
        self.assertEqual(self.peers.take(), [(sent, (CALLER[0], 8172))])

    async def test_the_entry_is_notified_once_of_the_host_of_a_flow(self):
        """Guards against an entry that starts a search for each packet."""
        self.forward(packet(SYN))
        self.reply(answer(SYN | ACK))
        self.forward(packet(ACK, b"request"))
        self.peers.take()
        self.reply(answer(ACK, b"answer"))
        self.reply(answer(ACK, b"more"))
        notified = [m for m, a in self.peers.take_messages() if a == ENTRY]
        key = CODEC.decode(packet(ACK)).flow_from_caller
        self.assertEqual(notified, [FlowLocated(key)])

    async def test_a_reset_does_not_show_that_the_flow_is_held(self):
        """Guards against an entry that moves a flow to a host that gave it up."""
        self.forward(packet(SYN))
        self.reply(answer(SYN | ACK))
        self.peers.take()
        self.reply(answer(RST))
        notified = [m for m, a in self.peers.take_messages() if a == ENTRY]
        self.assertEqual(notified, [])

    async def test_a_refused_opening_goes_to_the_next_host_at_once(self):
        """Guards against a caller that has to wait until it sends the next copy."""
        self.forward(packet(SYN))
        self.return_last_packet()
        ((passed, address),) = self.peers.take_forwards()
        self.assertEqual((address, passed.hops), (NEXT, 1))
        self.assertEqual(passed.alternatives, ())
        self.assertEqual(bytes(passed.payload), packet(SYN))

    async def test_an_unanswered_opening_goes_to_the_next_host(self):
        """Guards against a stopped backend server that delays each flow by 200 ms."""
        self.forward(packet(SYN))
        await asyncio.sleep(0.1)
        ((_, address),) = self.peers.take_forwards()
        self.assertEqual(address, NEXT)

    async def test_a_short_flow_is_not_opened_twice(self):
        """Guards against opening a short flow at a second host (quiet-1)."""
        self.open_flow()
        self.forward(packet(FIN | ACK))
        self.reply(answer(FIN | ACK))
        self.forward(packet(ACK))
        await asyncio.sleep(0.2)
        self.assertEqual(self.peers.take_forwards(), [])
        self.assertEqual(self.agent.status()["flows"], 0)

    async def test_the_port_of_an_ended_flow_can_be_used_again(self):
        """Guards against a new flow that is mistaken for the rest of an old flow."""
        self.open_flow()
        self.forward(packet(FIN | ACK))
        self.reply(answer(FIN | ACK))
        self.forward(packet(SYN, seq=500))
        await asyncio.sleep(0.1)
        self.assertEqual(len(self.peers.take_forwards()), 1)

    async def test_after_a_silent_opening_the_flow_goes_where_it_was_passed(self):
        """Guards against packets that are sent to a stopped backend server."""
        self.forward(packet(SYN))
        await asyncio.sleep(0.1)
        self.peers.take()
        self.forward(packet(ACK, b"request"))
        ((_, address),) = self.peers.take_forwards()
        self.assertEqual(address, NEXT)

    async def test_a_silent_backend_server_is_reported_and_passed_over(self):
        """Guards against new flows that all wait for a stopped backend server."""
        for port in (1, 2):
            self.forward(packet(SYN, source=("100.64.0.9", port)))
            await asyncio.sleep(0.1)
        self.assertFalse(self.agent.status()["responsive"])
        self.peers.take()
        self.forward(packet(SYN, source=("100.64.0.9", 3)))
        self.assertEqual(len(self.peers.take_forwards()), 1)
        # The agent also delivers the packet to its own backend server, so that it
        # notices when the backend server answers again.
        self.reply(answer(SYN | ACK, caller=("100.64.0.9", 3)))
        self.assertTrue(self.agent.status()["responsive"])

    async def test_a_flow_that_the_backend_server_lost_is_reset(self):
        """Guards against a caller that waits for a server that has restarted."""
        self.open_flow()
        self.forward(packet(ACK, b"request", ack=77))
        self.return_last_packet()
        sent = self.peers.take()
        reset = CODEC.reset(CODEC.decode(packet(ACK, b"request", ack=77)))
        self.assertIn((reset, (CALLER[0], 8172)), sent)
        key = CODEC.decode(packet(ACK)).flow_from_caller
        notified = (encode_small(FlowEnded(key)), (ENTRY, 7720))
        self.assertIn(notified, sent)

    async def test_a_flow_that_was_never_held_here_is_not_reset(self):
        """Guards against a reset of a flow that is open at another host."""
        self.forward(packet(ACK, b"request"))
        self.return_last_packet()
        ((passed, address),) = self.peers.take_forwards()
        self.assertEqual(address, NEXT)
        self.assertFalse(passed.skipped)

    async def test_the_end_of_the_chain_goes_back_to_the_entry(self):
        """Guards against packets that are lost at the last host."""
        self.forward(packet(ACK, b"request"), alternatives=())
        self.return_last_packet()
        ((message, address),) = self.peers.take_messages()
        self.assertEqual(address, ENTRY)
        self.assertEqual(message, PacketReturned(1, False, packet(ACK, b"request")))

    async def test_a_packet_of_another_service_is_not_delivered(self):
        """Guards against a portal packet that reaches records at a reused address."""
        self.forward(packet(SYN), service="records")
        self.forward(packet(ACK, b"request"), service="records")
        self.assertEqual(self.backend.take(), [])
        self.assertEqual([a for _, a in self.peers.take_forwards()], [NEXT, NEXT])

    async def test_an_agent_that_started_a_short_time_ago_says_that_it_is_unsure(self):
        """Guards against a reset of a flow that a restarted agent has forgotten."""
        for unsure in (True, False):
            self.forward(packet(ACK, b"x"), service="records", alternatives=())
            ((returned, _),) = self.peers.take_messages()
            self.assertEqual((returned.unsure, returned.skipped), (unsure, False))
            await asyncio.sleep(SETTINGS.flow_seconds)

    async def test_a_flow_that_pauses_is_known_for_as_long_as_it_may_live(self):
        """Guards against a reset of a flow that its host holds (review, case 5).

        An entry that does not know the earlier service of the route asks for the flow.
        """
        self.open_flow()
        await asyncio.sleep(SETTINGS.flow_seconds - 5.0)
        self.backend.take()
        self.forward(packet(ACK, b"request"), service="records")
        self.assertEqual(len(self.backend.take()), 1)

    async def test_an_agent_is_unsure_while_a_flow_from_before_its_start_may_live(self):
        """Guards against a reset of a flow that paused over a restart of its agent."""
        await asyncio.sleep(SETTINGS.flow_seconds - 5.0)
        self.forward(packet(ACK, b"x"), service="records", alternatives=())
        ((returned, _),) = self.peers.take_messages()
        self.assertTrue(returned.unsure)

    async def test_an_agent_is_unsure_after_its_table_was_full(self):
        """Guards against a reset of a flow that was removed for lack of space."""
        await asyncio.sleep(SETTINGS.flow_seconds)
        self.open_flow()
        with patch.object(flows, "MAX_FLOWS", 1):
            self.forward(packet(SYN, source=("100.64.0.9", 1)))
        counters = self.kernel.counters.values()
        self.assertEqual(counters["balsamspool_datagram_flows_evicted"], 1)
        for unsure in (True, False):
            self.peers.take()
            self.forward(packet(ACK, b"x"), service="records", alternatives=())
            ((returned, _),) = self.peers.take_messages()
            self.assertEqual(returned.unsure, unsure)
            await asyncio.sleep(SETTINGS.flow_seconds)

    def test_the_deployment_passes_the_life_of_a_flow_on(self):
        """Guards against a deployment whose longest life of a flow is not used."""
        template = Path(__file__).resolve().parent.parent / "deploy" / "agent.json"
        self.assertIn('"flow_seconds": {{bounds.flow-ttl-s}}', template.read_text())

    async def test_a_chain_that_skipped_a_silent_host_reports_it(self):
        """Guards against a reset of a flow that a silent host may hold."""
        for port in (1, 2):
            self.forward(packet(SYN, source=("100.64.0.9", port)))
            await asyncio.sleep(0.1)
        self.peers.take()
        self.forward(packet(ACK, b"request"), alternatives=())
        ((message, _),) = self.peers.take_messages()
        self.assertTrue(message.skipped)

    async def test_a_search_by_an_acknowledgement_finds_the_flow(self):
        """Guards against a search that continues because the server sends no answer."""
        self.open_flow()
        self.forward(packet(ACK))
        ((message, address),) = self.peers.take_messages()
        self.assertIsInstance(message, FlowLocated)
        self.assertEqual(address, ENTRY)
        self.assertEqual(len(self.backend.take()), 1)

    async def test_a_flow_that_is_not_held_is_not_confirmed(self):
        """Guards against an entry that sends packets to a host without the flow."""
        self.forward(packet(SYN))
        self.reply(answer(SYN | ACK))
        self.peers.take()
        self.forward(packet(ACK))
        self.assertEqual(self.peers.take(), [])

    async def test_hops_are_bounded(self):
        """Guards against a packet that is passed between agents without end."""
        message = Forward(
            service_number("portal"),
            bytes(4),
            passing.MAX_HOPS,
            True,
            False,
            (socket.inet_aton(NEXT),),
            packet(ACK, b"x"),
        )
        self.peers.receive(forward_head(message) + packet(ACK, b"x"), (ENTRY, 7720))
        self.return_last_packet()
        ((message, _),) = self.peers.take_messages()
        self.assertIsInstance(message, PacketReturned)

    async def test_work_is_counted_from_request_to_answer(self):
        """Guards against wrong load reports to the entries."""
        self.open_flow()
        self.forward(packet(ACK, b"one", seq=8))
        self.forward(packet(ACK, b"two", seq=11))
        self.assertEqual(self.agent.status()["in_work"], 1)
        self.reply(answer(ACK))
        self.assertEqual(self.agent.status()["in_work"], 1)
        self.reply(answer(ACK, b"answer"))
        self.assertEqual(self.agent.status()["in_work"], 0)
        self.forward(packet(ACK, b"three", seq=14))
        self.forward(packet(RST))
        self.reply(answer(RST))
        self.assertEqual(self.agent.status()["in_work"], 0)

    async def test_a_search_at_a_server_without_power_counts_no_request(self):
        """Guards against hosts that look busy for 10 s after a power failure."""
        self.forward(packet(ACK, b"request"))
        self.assertEqual(self.agent.status()["in_work"], 0)
        await asyncio.sleep(3.5)
        self.assertEqual(self.agent.status()["flows"], 0)

    async def test_a_reset_of_the_caller_ends_the_work(self):
        """Guards against counting requests that their callers have abandoned."""
        self.open_flow()
        self.forward(packet(ACK, b"two", seq=8))
        self.assertEqual(self.agent.status()["in_work"], 1)
        self.forward(packet(RST))
        self.assertEqual(self.agent.status()["in_work"], 0)
        self.assertEqual(self.agent.status()["flows"], 0)

    async def test_work_counts_again_after_a_restart_of_the_agent(self):
        """Guards against a host that looks idle because its agent knows no flow."""
        self.forward(packet(ACK, b"one"))
        self.reply(answer(ACK, b"answer"))
        self.forward(packet(ACK, b"two"))
        self.assertEqual(self.agent.status()["in_work"], 1)

    async def test_reports_go_to_subscribers_until_their_lease_ends(self):
        """Guards against reports to entries that have stopped."""
        lease = encode_small(Subscribe(1.0))
        self.peers.receive(lease, (ENTRY, 7720))
        await asyncio.sleep(0.95)
        reports = self.peers.take_messages()
        self.assertGreaterEqual(len(reports), 9)
        self.assertIsInstance(reports[0][0], Report)
        await asyncio.sleep(0.5)
        self.peers.take()
        await asyncio.sleep(1)
        self.assertEqual(self.peers.take(), [])

    async def test_many_subscribers_share_a_bounded_rate(self):
        """Guards against control traffic that grows with entries times hosts."""
        for number in range(200):
            address = (f"10.1.0.{number}", 7720)
            self.peers.receive(encode_small(Subscribe(5.0)), address)
        await asyncio.sleep(0)
        self.peers.take()
        await asyncio.sleep(2)
        self.assertLess(len(self.peers.take()), 2 * max_reports_per_second())

    async def test_other_datagrams_are_counted_and_dropped(self):
        """Guards against a malformed datagram that stops the process."""
        for data in (b"", b"x", b"\x01", b"\x01\x01", b"\x01\x07" + bytes(40)):
            self.peers.receive(data, ("203.0.113.9", 1))
            self.backend.receive(data, BACKEND)
        values = self.kernel.counters.values()
        self.assertEqual(values["balsamspool_datagram_malformed"], 10)


def max_reports_per_second():
    from balsamspool.plugins.datagram_agent.reporter import REPORTS_PER_SECOND

    return REPORTS_PER_SECOND * 1.5

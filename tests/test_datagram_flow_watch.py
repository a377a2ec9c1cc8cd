"""Log lines of an agent about flows that entries search for or look for elsewhere."""

import asyncio
import socket

from balsamspool.datagram._codec import forward_head, service_number
from balsamspool.datagram.messages import Forward
from balsamspool.plugins.datagram_agent import flow_watch
from tests.datagram_agent_case import ENTRY, NEXT, AgentCase
from tests.datagram_fakes import ACK, FIN, RST, SYN, answer, packet
from tests.log_capture import recorded_events

FLOW = "100.64.0.7:40001>198.18.0.1:443"
DATA = packet(ACK, b"request")


class FlowWatchTest(AgentCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        recording = recorded_events()
        self.log = recording.__enter__()
        self.addCleanup(recording.__exit__, None, None, None)

    def line(self, name):
        """Return the fields of the one event of a name."""
        (fields,) = self.log.fields(name)
        self.assertEqual(fields["flow"], FLOW)
        return fields

    def returns(self, kind):
        return self.kernel.counters.values()[f"balsamspool_datagram_returns.{kind}"]

    async def test_a_packet_that_comes_back_after_a_pause_is_logged(self):
        """Guards against packets that went elsewhere for seconds unseen (H2)."""
        self.open_flow()
        await asyncio.sleep(1.5)
        self.reply(answer(ACK, b"event"))
        await asyncio.sleep(0.5)
        self.forward(DATA)
        fields = self.line("flow-resumed")
        self.assertEqual((fields["seconds"], fields["server_seconds"]), (2.0, 0.5))
        self.assertEqual((fields["entry"], fields["hops"]), (ENTRY, 0))
        self.assertFalse(fields["caller_ended"])

    async def test_packets_of_a_confirmed_flow_and_short_pauses_are_not_logged(self):
        """Guards against a line for each packet of an idle caller."""
        self.open_flow()
        await asyncio.sleep(5)
        self.forward(DATA, unconfirmed=False)
        await asyncio.sleep(0.9)
        self.forward(DATA)
        self.assertEqual(self.log.fields("flow-resumed"), [])

    async def test_a_search_that_finds_an_ended_flow_is_logged(self):
        """Guards against a belief in a host whose caller ended the flow (H3)."""
        self.open_flow()
        self.forward(packet(FIN | ACK))
        self.forward(packet(ACK))
        fields = self.log.fields("flow-resumed")[-1]
        self.assertEqual(
            (fields["caller_ended"], fields["server_ended"]), (True, False)
        )

    async def test_a_server_that_accepts_an_opening_passed_on_is_logged(self):
        """Guards against a second holder of a flow that no line shows (H3)."""
        self.forward(packet(SYN))
        await asyncio.sleep(0.1)
        self.reply(answer(SYN | ACK))
        self.reply(answer(SYN | ACK))
        fields = self.line("flow-active-after-return")
        self.assertEqual((fields["reason"], fields["accepts"]), ("no-answer", True))
        self.reply(answer(ACK, b"answer"))
        self.reply(answer(ACK, b"more"))
        _, data = self.log.fields("flow-active-after-return")
        self.assertEqual((data["accepts"], data["length"]), (False, 6))

    async def test_a_server_that_sends_data_of_a_returned_flow_is_logged(self):
        """Guards against an agent that returns packets of a held flow unseen (H2)."""
        for port in (1, 2):
            self.forward(packet(SYN, source=("100.64.0.9", port)))
            await asyncio.sleep(0.1)
        self.forward(DATA, alternatives=())
        self.assertEqual(self.returns("entry-silent"), 1)
        await asyncio.sleep(0.4)
        self.reply(answer(ACK, b"event"))
        fields = self.line("flow-active-after-return")
        self.assertEqual((fields["reason"], fields["seconds"]), ("silent", 0.4))

    async def test_a_reset_of_a_server_does_not_count_as_activity(self):
        """Guards against a suspicion because a server rejects a foreign flow."""
        self.forward(DATA)
        self.return_last_packet()
        self.reply(answer(RST))
        self.assertEqual(self.log.fields("flow-active-after-return"), [])

    async def test_a_packet_for_a_host_that_does_not_hold_the_flow_is_logged(self):
        """Guards against an entry with a wrong belief that no line shows (H3)."""
        self.forward(DATA, unconfirmed=False, alternatives=())
        self.return_last_packet()
        fields = self.line("flow-not-held")
        self.assertEqual((fields["entry"], fields["searching"]), (ENTRY, False))
        self.assertEqual((fields["reason"], fields["to"]), ("refused", None))
        self.assertIsNone(fields["last_packet_seconds"])
        self.assertEqual(self.returns("server-unknown-flow"), 1)
        self.assertEqual(self.returns("entry-refused"), 1)

    async def test_a_belief_in_a_host_that_passed_the_opening_on_is_logged(self):
        """Guards against an entry that follows the wrong one of two hosts (H3)."""
        self.forward(packet(SYN))
        await asyncio.sleep(0.5)
        self.forward(DATA, unconfirmed=False)
        fields = self.line("flow-not-held")
        self.assertEqual((fields["passed_on"], fields["accepted"]), (True, False))
        self.assertEqual((fields["to"], fields["last_packet_seconds"]), (NEXT, 0.5))

    async def test_a_search_that_goes_on_is_logged_once_a_second(self):
        """Guards against a search of seconds that leaves no line at the agents (H2)."""
        for _ in range(30):
            self.forward(DATA, alternatives=())
            self.return_last_packet()
            await asyncio.sleep(0.1)
        lines = self.log.fields("flow-not-held")
        self.assertEqual([f["first_seconds"] for f in lines], [1.0, 2.0])
        self.assertEqual(self.returns("entry-refused"), 30)

    async def test_a_lost_flow_is_logged_with_the_last_packet_of_its_server(self):
        """Guards against a lost flow that looks like one returned by mistake."""
        self.open_flow()
        await asyncio.sleep(0.7)
        self.reply(answer(ACK, b"event"))
        await asyncio.sleep(0.3)
        self.forward(DATA)
        self.return_last_packet()
        self.assertEqual(self.line("flow-lost")["server_seconds"], 0.3)
        self.assertEqual(self.returns("server-lost-flow"), 1)

    async def test_returns_are_counted_by_reason(self):
        """Guards against a counter that mixes full servers and lost flows."""
        self.forward(packet(SYN))
        self.return_last_packet()
        self.assertEqual(self.returns("server-opening"), 1)
        self.forward(DATA, service="records", alternatives=())
        self.assertEqual(self.returns("entry-other-service"), 1)

    async def test_the_table_of_returned_flows_is_bounded(self):
        """Guards against memory that grows with the flows that are searched."""
        for port in range(flow_watch.MAX_RETURNED_FLOWS + 10):
            data = packet(ACK, b"x", source=("100.64.0.9", port))
            message = Forward(
                service_number("records"),
                socket.inet_aton(ENTRY),
                0,
                True,
                False,
                (),
                data,
            )
            self.peers.receive(forward_head(message) + data, (ENTRY, 7720))
        self.assertEqual(len(self.agent._watch._flows), flow_watch.MAX_RETURNED_FLOWS)

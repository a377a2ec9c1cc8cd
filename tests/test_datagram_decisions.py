"""Log lines and figures from which the cause of a reset or a search is told."""

import asyncio
import socket

from balsamspool.datagram._codec import encode_small
from balsamspool.datagram.messages import FlowEnded, FlowLocated
from balsamspool.kernel.errors import ResultError
from balsamspool.placement.load import GONE_SECONDS
from balsamspool.plugins.catalog.codes import CATALOG_UNAVAILABLE
from balsamspool.plugins.catalog.model import (
    BackendState,
    ServerPublished,
    ServerRemoved,
)
from balsamspool.plugins.catalog.route_history import TABLE_RETENTION_SECONDS
from balsamspool.plugins.datagram_entry import unlocated
from balsamspool.plugins.datagram_entry.unlocated import UnlocatedFlow, UnlocatedFlows
from tests.datagram_entry_case import DATA, KEY, EntryCase
from tests.datagram_fakes import RST, SYN, packet, published, server
from tests.log_capture import recorded_events

FLOW = "100.64.0.7:40001>198.18.0.1:443"


class DecisionCase(EntryCase):
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

    def locate(self, agent):
        self.peers.receive(encode_small(FlowLocated(KEY)), (agent, 7720))

    def last_of_chain(self):
        """Return the agent that returns the forwarded packet."""
        message, _ = self.forwarded()
        return socket.inet_ntoa(message.alternatives[-1])

    def counter(self, name):
        return self.kernel.counters.values()[f"balsamspool_datagram_{name}"]

    def observed(self, name):
        (found,) = (
            h
            for h in self.kernel.counters._histograms
            if h.name == f"balsamspool_datagram_{name}"
        )
        return found.buckets()[-1][1], found.sum


class ResetLineTest(DecisionCase):
    async def give_up_host(self):
        """Let the catalog entry and the reports of a flow's host be missing."""
        agent = self.open_flow()
        await asyncio.sleep(1)
        self.reporting.discard(agent)
        number = int(agent.rpartition(".")[2])
        self.source.publish(ServerRemoved(51, f"i-{number}"))
        await asyncio.sleep(GONE_SECONDS + 0.2)
        self.receive(DATA)
        self.assertEqual(len(self.resets()), 1)
        return agent, number

    async def test_a_give_up_names_the_host_and_the_age_of_its_report(self):
        """Guards against a give-up of a sound host that looks like a lost flow (H1)."""
        agent, number = await self.give_up_host()
        fields = self.line("flow-reset")
        self.assertEqual(fields["reason"], "host-gone")
        self.assertEqual((fields["host"], fields["address"]), (f"i-{number}", agent))
        self.assertTrue(fields["confirmed"])
        self.assertEqual(fields["host_state"], "removed")
        self.assertGreater(fields["removed_seconds"], GONE_SECONDS)
        self.assertGreater(fields["report_age"], GONE_SECONDS)
        self.assertAlmostEqual(fields["confirmed_seconds"], 1 + GONE_SECONDS, delta=0.3)
        self.assertEqual((fields["listed"], fields["removed"]), (4, 1))
        self.assertEqual(fields["searches"], 0)
        self.assertEqual(fields["catalog_revision"], 51)
        self.assertEqual(self.counter("flow_resets.host-gone"), 1)

    async def test_a_host_that_reports_after_a_give_up_is_named(self):
        """Guards against a give-up that no line shows to be wrong (H1)."""
        agent, number = await self.give_up_host()
        self.source.publish(ServerPublished(60, server(number)))
        self.reporting.add(agent)
        await asyncio.sleep(2)
        (fields,) = self.log.fields("host-reports-again")
        self.assertEqual((fields["host"], fields["address"]), (f"i-{number}", agent))
        self.assertEqual((fields["flows_reset"], fields["flows"]), (1, 0))
        self.assertEqual(fields["host_state"], "ready")

    async def test_a_host_that_stays_away_is_not_named(self):
        """Guards against a warning about each host that really stopped."""
        await self.give_up_host()
        await asyncio.sleep(3)
        self.assertEqual(self.log.fields("host-reports-again"), [])

    async def test_a_returned_packet_names_the_host_that_was_confirmed(self):
        """Guards against a wrong belief that looks like a restarted server (H3)."""
        agent = self.open_flow()
        self.receive(DATA)
        self.return_packet(DATA, agent, 1)
        fields = self.line("flow-reset")
        self.assertEqual((fields["reason"], fields["address"]), ("not-held", agent))
        self.assertEqual(fields["host_state"], "ready")
        self.assertLess(fields["report_age"], 0.2)
        self.assertEqual(self.counter("flow_resets.not-held"), 1)

    async def test_a_search_without_result_names_hosts_that_did_not_answer(self):
        """Guards against a reset although the holder was not queried (H2)."""
        self.source.publish(ServerRemoved(51, "i-3"))
        self.reporting.discard("10.0.0.3")
        await asyncio.sleep(GONE_SECONDS + 0.2)
        self.peers.take()
        self.receive(DATA)
        self.return_packet(DATA, self.last_of_chain(), 4)
        await asyncio.sleep(0.05)
        waits = self.line("flow-awaits-catalog")
        self.assertEqual((waits["queried"], waits["answered"]), (4, 4))
        fields = self.line("flow-reset")
        self.assertEqual(fields["reason"], "held-nowhere")
        self.assertEqual((fields["host"], fields["confirmed"]), (None, False))
        self.assertEqual((fields["queried"], fields["answered"]), (4, 4))
        self.assertEqual((fields["listed"], fields["removed"]), (4, 1))
        self.assertEqual(fields["not_queried"], ["i-3"])
        self.assertIn("removed-silent:1", fields["left_out"])
        self.assertEqual(self.counter("flow_resets.held-nowhere"), 1)
        self.assertEqual(self.counter("flows_without_host.reset"), 1)
        self.assertEqual(self.observed("search_reset_seconds")[0], 1)

    async def test_a_reset_of_the_caller_is_neither_logged_nor_counted(self):
        """Guards against figures that contain flows that their callers gave up."""
        agent = self.open_flow()
        self.return_packet(packet(RST), agent, 1)
        self.assertEqual(self.log.fields("flow-reset"), [])
        self.assertEqual(self.counter("flow_resets.not-held"), 0)


class SearchLineTest(DecisionCase):
    async def test_a_further_search_says_who_did_not_answer_and_how_long(self):
        """Guards against a lost answer that looks like a host without the flow (H2)."""
        self.receive(DATA)
        await asyncio.sleep(0.2)
        for number in (1, 2, 4, 5):
            self.return_packet(DATA, f"10.0.0.{number}", 1)
        await asyncio.sleep(0.5)
        self.receive(DATA)
        first, second = self.log.fields("flow-searched")
        self.assertEqual((first["search"], first.get("seconds")), (1, None))
        self.assertEqual((first["queried"], first["services"]), (5, ["portal"]))
        self.assertEqual((first["listed"], first["removed"]), (5, 0))
        self.assertEqual(second["search"], 2)
        self.assertAlmostEqual(second["seconds"], 0.7, delta=0.1)
        self.assertEqual((second["answered"], second["unanswered"]), (4, ["i-3"]))

    async def test_a_dropped_packet_keeps_the_time_without_a_host(self):
        """Guards against a search of seconds that looks like several short ones."""
        self.receive(DATA)
        for _ in range(4):
            self.return_packet(DATA, "10.0.0.5", 5, skipped=True)
            await asyncio.sleep(0.5)
            self.receive(DATA)
        self.assertEqual(self.log.fields("flow-unknown")[-1]["searches"], 4)
        self.assertEqual(self.entry.status()["flows_without_host"], 1)
        self.assertAlmostEqual(
            self.entry.status()["longest_without_host"], 2, delta=0.1
        )
        self.locate("10.0.0.3")
        fields = self.line("flow-found")
        self.assertAlmostEqual(fields["seconds"], 2, delta=0.1)
        self.assertEqual((fields["address"], fields["searches"]), ("10.0.0.3", 5))
        self.assertEqual(self.counter("flows_without_host.searched"), 1)
        self.assertEqual(self.counter("flows_without_host.located"), 1)
        count, seconds = self.observed("locate_seconds")
        self.assertEqual(count, 1)
        self.assertAlmostEqual(seconds, 2, delta=0.1)
        self.assertEqual(self.entry.status()["flows_without_host"], 0)

    async def test_hosts_over_the_limit_are_counted(self):
        """Guards against a holder that the search left out unseen (H2)."""
        more = [
            server(n, name=f"m-{n}", address=f"10.7.{n // 250}.{n % 250}")
            for n in range(300)
        ]
        self.source.publish(*published(100, *more))
        await asyncio.sleep(1)
        self.receive(DATA)
        fields = self.line("flow-searched")
        self.assertEqual((fields["queried"], fields["omitted"]), (256, 49))
        self.assertEqual(len(fields["hosts"]), 4)

    async def test_a_new_flow_from_the_same_port_ends_the_search(self):
        """Guards against search times that contain another flow of the port."""
        self.receive(DATA)
        await asyncio.sleep(4)
        self.receive(packet(SYN))
        self.locate("10.0.0.4")
        self.assertEqual(self.counter("flows_without_host.forgotten"), 1)
        self.assertEqual(self.observed("locate_seconds")[0], 0)

    async def test_a_route_without_hosts_is_named_as_the_reason(self):
        """Guards against a dropped packet without a reason."""
        leaving = [ServerRemoved(50 + n, f"i-{n}") for n in range(1, 6)]
        draining = [server(n, state=BackendState.DRAINING) for n in range(1, 6)]
        other = ServerPublished(39, server(9, "records"), created=39)
        # The entry knows each table under which an open flow may have opened.
        await asyncio.sleep(TABLE_RETENTION_SECONDS)
        self.source.publish(other, *published(40, *draining), *leaving)
        self.reporting.clear()
        self.reporting.add("10.0.0.9")
        await asyncio.sleep(2)
        self.receive(DATA)
        self.assertEqual(self.line("flow-unknown")["reason"], "no-host")


class BeliefLineTest(DecisionCase):
    async def test_a_second_host_that_confirms_is_named_with_the_first(self):
        """Guards against a changed belief that no line shows (H3)."""
        agent = self.open_flow()
        other = next(a for a in sorted(self.reporting) if a != agent)
        await asyncio.sleep(1)
        self.locate(other)
        fields = self.line("flow-found")
        self.assertEqual(fields["address"], other)
        self.assertEqual(fields["previous"], "i-" + agent.rpartition(".")[2])
        self.assertAlmostEqual(fields["previous_seconds"], 1, delta=0.1)

    async def test_a_confirmation_of_an_unknown_flow_is_logged(self):
        """Guards against a belief from a late confirmation of an ended flow (H3)."""
        self.locate("10.0.0.4")
        fields = self.line("flow-found")
        self.assertEqual((fields["known"], fields["previous"]), (False, None))

    async def test_an_expected_confirmation_is_not_logged(self):
        """Guards against one more line for each flow."""
        self.open_flow()
        self.assertEqual(self.log.fields("flow-found"), [])

    async def test_the_agent_that_ends_a_flow_is_named_with_the_believed_host(self):
        """Guards against forgetting a flow because another host ended it (H3)."""
        agent = self.open_flow()
        other = next(a for a in sorted(self.reporting) if a != agent)
        self.peers.receive(encode_small(FlowEnded(KEY)), (other, 7720))
        fields = self.line("flow-released")
        self.assertEqual((fields["agent"], fields["address"]), (other, agent))


class UnlocatedFlowsTest(DecisionCase):
    async def test_the_table_is_bounded(self):
        """Guards against memory that grows with the flows that are searched."""
        flows = UnlocatedFlows(self.kernel.counters)
        for number in range(unlocated.MAX_UNLOCATED_FLOWS + 10):
            flows.record_search(number.to_bytes(4, "big"), self.servers, {})
        self.assertEqual(len(flows), unlocated.MAX_UNLOCATED_FLOWS)

    async def test_a_flow_without_packets_is_forgotten(self):
        """Guards against a status that shows flows whose callers are gone."""
        flows = UnlocatedFlows(self.kernel.counters)
        flows.record_search(b"old", self.servers, {})
        await asyncio.sleep(unlocated.FORGET_SECONDS + 1)
        flows.record_search(b"new", self.servers, {})
        self.assertIsNone(flows.get(b"old"))
        self.assertEqual(len(flows), 1)

    async def test_answers_of_a_chain_count_for_each_of_its_hosts(self):
        """Guards against a wrong number of hosts that answered."""
        flow = UnlocatedFlow(0.0, 0.0, tuple(self.servers))
        flow.record_answer("10.0.0.3", 2)
        self.assertEqual((flow.answered, flow.unanswered(2)), (2, ["i-1", "i-4"]))
        flow.record_answer("10.0.0.3", 1)
        flow.record_answer("10.0.0.9", 1)
        flow.record_answer("10.0.0.2", 16)
        self.assertEqual((flow.answered, flow.unanswered(4)), (3, ["i-4", "i-5"]))


class PlacementLineTest(DecisionCase):
    async def test_a_placed_flow_names_its_route_table(self):
        """Guards against a late route table that no line of a flow shows."""
        self.receive(packet(SYN))
        fields = self.line("flow-placed")
        self.assertEqual(fields["routes_version"], 1)
        self.assertLess(fields["age_seconds"], 4.0)

    async def test_calls_and_silences_are_measured(self):
        """Guards against lost answers that no metric shows."""
        values = self.kernel.counters.values()
        answered = values["balsamspool_catalog_calls.answered"]
        self.source.queue.put_nowait(ResultError(CATALOG_UNAVAILABLE, "timed out"))
        await asyncio.sleep(6)
        values = self.kernel.counters.values()
        self.assertGreater(values["balsamspool_catalog_calls.answered"], answered)
        self.assertEqual(values["balsamspool_catalog_calls.catalog-unavailable"], 1)
        (silence,) = (
            h
            for h in self.kernel.counters._histograms
            if h.name == "balsamspool_catalog_silence_seconds"
        )
        self.assertGreaterEqual(silence.sum, 5.0)

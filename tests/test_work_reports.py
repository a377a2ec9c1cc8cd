"""Reports of work left, between processes of this version and the one before."""

import asyncio
import struct
from unittest import TestCase

from balsamspool.datagram._codec import decode, encode_small
from balsamspool.datagram.messages import (
    NO_ROUTE,
    Report,
    Subscribe,
    Terms,
    WorkReport,
)
from balsamspool.placement.load import LoadReport
from balsamspool.plugins.catalog.revision import Revision
from balsamspool.plugins.datagram_agent.reporter import WORK_REPORTS_SECONDS
from balsamspool.plugins.datagram_agent.terms import TermsTable
from balsamspool.plugins.datagram_entry.subscriptions import INTRODUCTION_ROUNDS
from balsamspool.scheduling.service_times import DEFAULT_SECONDS
from balsamspool.scheduling.terms import RequestTerms, ServerTerms
from tests.datagram_agent_case import ENTRY, AgentCase
from tests.datagram_entry_case import EntryCase
from tests.datagram_fakes import ACK, RST, SYN, answer, packet, published, server
from tests.log_capture import recorded_events

# Layout of a report in the version before work reports.
PLAIN_REPORT = struct.Struct("!BBBHIHH")
WORK = LoadReport(2, 1.5, 7, True, 0.1, work_left=0.125, service_time=0.0625)


class CodecTest(TestCase):
    def test_a_work_report_survives_the_wire(self):
        """Guards against an entry that reads a time from the wrong field."""
        self.assertEqual(decode(encode_small(WorkReport(WORK))), WorkReport(WORK))

    def test_a_work_report_is_hardly_longer(self):
        """Guards against control traffic over the limit of an entry."""
        plain = encode_small(Report(WORK))
        self.assertEqual(len(plain), PLAIN_REPORT.size)
        self.assertLessEqual(len(encode_small(WorkReport(WORK))), len(plain) + 2)

    def test_large_values_are_bounded_and_small_times_stay_known(self):
        """Guards against a load that no message can carry, and a time that is lost."""
        odd = LoadReport(10**6, 1e6, 10**6, True, 1e4, 1e6, 1e6)
        self.assertEqual(decode(encode_small(WorkReport(odd))).load.flows, 0xFFFF)
        tiny = LoadReport(0, 0.0, 0, True, 0.1, 0.0, 1e-5)
        self.assertGreater(decode(encode_small(WorkReport(tiny))).load.service_time, 0)

    def test_the_plain_report_keeps_its_layout(self):
        """Guards against an entry of the version before that gets no load."""
        found = PLAIN_REPORT.unpack(encode_small(Report(WORK)))
        self.assertEqual(found, (1, 6, 1, 2, 384, 7, 100))

    def test_a_truncated_work_report_is_ignored(self):
        """Guards against a report with fields of another version."""
        data = encode_small(WorkReport(WORK))
        self.assertIsNone(decode(data[:-1]))
        self.assertIsNone(decode(data + b"x"))

    def test_a_kind_of_a_later_version_is_ignored(self):
        """Guards against an upgrade in steps that needs all processes at once."""
        self.assertIsNone(decode(bytes((1, 12)) + bytes(20)))


class AgentReportTest(AgentCase):
    def terms(self, slots=1):
        terms = Terms(NO_ROUTE, RequestTerms(0, 0.0, 0.0), ServerTerms(slots))
        self.peers.receive(encode_small(terms), (ENTRY, 7720))

    def subscribe(self, entry=ENTRY):
        self.peers.receive(encode_small(Subscribe(60_000.0)), (entry, 7720))

    def reports(self, entry=ENTRY):
        return [m for m, to in self.peers.take_messages() if to == entry]

    async def test_only_entries_that_sent_terms_get_work_reports(self):
        """Guards against an entry of the version before that loses all reports."""
        self.subscribe()
        self.subscribe("10.0.1.2")
        self.terms()
        await asyncio.sleep(0.25)
        sent = self.peers.take_messages()
        self.assertEqual({type(m) for m, to in sent if to == ENTRY}, {WorkReport})
        self.assertEqual({type(m) for m, to in sent if to != ENTRY}, {Report})

    async def test_an_entry_of_an_older_version_gets_plain_reports_in_the_end(self):
        """Guards against an entry that was replaced and never gets a report again."""
        self.subscribe()
        self.terms()
        found = set()
        for _ in range(int(WORK_REPORTS_SECONDS) + 5):
            self.subscribe()
            await asyncio.sleep(1)
            found.update(map(type, self.reports()))
        self.assertEqual(found, {Report, WorkReport})

    async def test_reports_tell_work_left_and_service_time(self):
        """Guards against a report that counts requests and not their time."""
        self.open_flow()
        for _ in range(4):
            self.request()
            await asyncio.sleep(0.2)
            self.reply(answer(ACK, b"answer"))
        self.request()
        self.subscribe()
        self.terms()
        await asyncio.sleep(0.15)
        load = self.reports()[-1].load
        self.assertAlmostEqual(load.service_time, 0.2, delta=0.01)
        self.assertAlmostEqual(load.work_left, 0.1, delta=0.01)
        status = self.agent.status()
        self.assertAlmostEqual(status["service_time"], 0.2, delta=0.01)
        self.assertEqual(len(status["service_times"]), 1)

    async def test_slots_of_the_terms_count(self):
        """Guards against a host whose slots are unknown although an entry told them."""
        self.terms(slots=2)
        self.open_flow()
        self.request()
        self.assertAlmostEqual(
            self.agent.status()["work_left"], DEFAULT_SECONDS / 2, delta=0.001
        )

    async def test_flows_that_end_leave_no_work(self):
        """Guards against work of flows that were removed."""
        self.open_flow()
        self.request()
        self.forward(packet(RST))
        await asyncio.sleep(120)
        self.assertEqual(self.agent.status()["work_left"], 0.0)

    def test_terms_without_a_route_are_not_kept_as_a_route(self):
        """Guards against a query for the terms of no route."""
        table = TermsTable()
        table.record(Terms(NO_ROUTE, RequestTerms(0, 0.0, 0.0), ServerTerms(3)), 0.0)
        self.assertEqual(table.server, ServerTerms(3))
        self.assertTrue(table.query_due(NO_ROUTE, 0.1))


class EntryReportTest(EntryCase):
    def introduced(self):
        sent = self.peers.take_messages()
        return [to for m, to in sent if isinstance(m, Terms)]

    async def test_plain_reports_of_older_agents_are_read(self):
        """Guards against an entry that ignores agents of the version before."""
        data = PLAIN_REPORT.pack(1, 6, 1, 2, 384, 7, 100)
        self.peers.receive(data, ("10.0.0.1", 7720))
        found = self.entry._board.load("10.0.0.1").report
        self.assertEqual(found, LoadReport(2, 1.5, 7, True, 0.1))

    async def test_agents_without_work_reports_are_told_now_and_then(self):
        """Guards against a lost first message, and terms at each renewal."""
        await asyncio.sleep(2 * INTRODUCTION_ROUNDS)
        told = self.introduced()
        counts = [told.count(s.address) for s in self.servers]
        self.assertTrue(all(1 <= count <= 3 for count in counts), counts)

    async def test_agents_with_work_reports_are_not_told_again(self):
        """Guards against control traffic that tells agents what they know."""
        self.reporting.clear()
        for backend in self.servers:
            data = encode_small(WorkReport(WORK))
            self.peers.receive(data, (backend.address, 7720))
        await asyncio.sleep(2 * INTRODUCTION_ROUNDS)
        self.assertEqual(self.introduced(), [])

    async def test_the_log_tells_work_and_time_of_the_chosen_host(self):
        """Guards against a placement that no log line explains."""
        for backend in self.servers:
            data = encode_small(WorkReport(WORK))
            self.peers.receive(data, (backend.address, 7720))
        with recorded_events() as recorder:
            self.receive(packet(SYN))
        (fields,) = recorder.fields("flow-placed")
        self.assertEqual(fields["work_left"], 0.125)
        self.assertEqual(fields["service_time"], 0.062)

    async def test_a_host_is_told_with_the_first_subscription(self):
        """Guards against an agent that learns late what its entries understand."""
        new = server(9)
        self.source.publish(*published(Revision(60), new))
        await asyncio.sleep(0.9)
        sent = [m for m, to in self.peers.take_messages() if to == new.address]
        told = [m for m in sent if isinstance(m, Terms)]
        self.assertEqual([m.server for m in told], [ServerTerms(2)])
        self.assertEqual([m.endpoint for m in told], [NO_ROUTE])

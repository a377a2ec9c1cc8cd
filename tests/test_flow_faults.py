"""Flows that a report lists as wrongly reset or searched for too long."""

import contextlib
import io
import json
import tempfile
from pathlib import Path
from unittest import IsolatedAsyncioTestCase

from balsamspool.commands.codes import ExitCode
from balsamspool.commands.flow_faults import find_flow_faults
from balsamspool.commands.log_lines import read_lines
from balsamspool.commands.report import MAX_FLOWS, report
from balsamspool.commands.trace import trace

FLOW = "100.64.0.7:40001>198.18.0.1:443"
OTHER = "100.64.0.8:40001>198.18.0.1:443"
HOSTS = {"agent-1": "10.0.0.1", "agent-2": "10.0.0.2"}


def line(second, instance, name, **fields):
    time = f"2026-12-04T10:00:{second:06.3f}"
    entry = {"time": time, "instance": instance, "name": name, "logger": "x"}
    return json.dumps(entry | fields) + "\n"


def opened(second, agent="agent-1", flow=FLOW):
    return (
        line(second, "entry-1", "flow-placed", flow=flow, server="i-1"),
        line(second + 0.01, agent, "flow-accepted", flow=flow, entry="10.0.1.1"),
    )


def reset(second, reason, **fields):
    return line(second, "entry-2", "flow-reset", flow=FLOW, reason=reason, **fields)


class FlowFaultsTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        for number, (instance, address) in enumerate(HOSTS.items(), 1):
            started = {"role": "datagram-agent", "address": address}
            listed = {"server": f"i-{number}", "address": address, "state": "ready"}
            self.write(
                f"{instance}-start.log",
                line(0, instance, "process-started", **started),
                line(0.5, "entry-1", "backend-server-changed", **listed),
            )

    def write(self, name, *lines):
        (self.directory / name).write_text("".join(lines))

    def find(self, *lines):
        self.write("run.log", *lines)
        return find_flow_faults(read_lines([str(self.directory)]))

    def suspected(self, *lines):
        (found,) = self.find(*lines).resets
        self.assertEqual(found.line.flow, FLOW)
        return found

    async def test_a_host_that_reports_after_a_give_up_is_suspected(self):
        """Guards against a give-up of a sound host that nobody notices (H1)."""
        believed = {"host": "i-1", "address": HOSTS["agent-1"], "confirmed": True}
        again = {"host": "i-1", "address": HOSTS["agent-1"], "flows": 3}
        found = self.suspected(
            *opened(1),
            reset(9, "host-gone", **believed, removed_seconds=3.2, report_age=3.1),
            line(12, "entry-2", "host-reports-again", **again),
            *opened(13, flow=OTHER),
        )
        self.assertEqual(found.cause, "give-up")
        self.assertIn("it reported 3 flows 3.0 s later", found.evidence)
        self.assertIn("agent-1 accepted a flow 4.0 s later", found.evidence)
        self.assertIn("report age 3.1", found.evidence)

    async def test_a_report_alone_is_enough_for_a_suspicion(self):
        """Guards against a give-up of an idle host that nobody notices (H1)."""
        address = HOSTS["agent-1"]
        found = self.suspected(
            *opened(1),
            reset(9, "host-gone", host="i-1", address=address),
            line(12, "entry-2", "host-reports-again", address=address, flows=1),
        )
        self.assertIn("it reported 1 flows 3.0 s later", found.evidence)

    async def test_a_host_that_was_replaced_is_not_suspected(self):
        """Guards against a list full of flows that restarts really lost."""
        restarted = {"server": "i-9", "address": HOSTS["agent-1"], "state": "ready"}
        faults = self.find(
            *opened(1),
            reset(9, "held-nowhere", queried=2, answered=2, seconds=0.2),
            line(8, "entry-1", "backend-server-changed", **restarted),
            *opened(13, flow=OTHER),
        )
        self.assertEqual(faults.resets, [])

    async def test_a_host_whose_agent_started_again_is_not_suspected(self):
        """Guards against a suspicion after a power failure of the whole machine."""
        address = HOSTS["agent-1"]
        faults = self.find(
            *opened(1),
            reset(9, "host-gone", address=address),
            line(10, "agent-1", "process-started", address=address),
            line(11, "entry-2", "host-reports-again", address=address, flows=0),
            *opened(13, flow=OTHER),
        )
        self.assertEqual(faults.resets, [])

    async def test_a_search_that_missed_the_holder_says_so(self):
        """Guards against a search whose gap is not visible (H2)."""
        found = self.suspected(
            *opened(1),
            reset(
                9,
                "held-nowhere",
                queried=1,
                answered=1,
                seconds=0.3,
                not_queried=["i-1"],
                left_out=["removed-silent:1"],
            ),
            line(11, "agent-1", "flow-resumed", flow=FLOW, seconds=4.0),
        )
        self.assertEqual(found.cause, "search")
        self.assertIn("flow-resumed at agent-1 2.0 s later", found.evidence)
        self.assertIn("1 of 1 answered; i-1 not queried", found.evidence)

    async def test_a_flow_believed_at_another_host_is_a_wrong_belief(self):
        """Guards against a wrong belief that looks like a lost flow (H3)."""
        found = self.suspected(
            *opened(1),
            reset(9, "not-held", host="i-2", address=HOSTS["agent-2"], report_age=0.1),
            *opened(13, flow=OTHER),
        )
        self.assertEqual(found.cause, "belief")
        self.assertIn("believed at i-2 10.0.0.2", found.evidence)

    async def test_a_new_flow_from_the_same_port_is_no_activity(self):
        """Guards against a suspicion because a caller used its port again."""
        address = HOSTS["agent-1"]
        faults = self.find(
            *opened(1),
            reset(9, "host-gone", address=address),
            line(10, "agent-1", "process-started", address=address),
            *opened(11),
            line(14, "agent-1", "flow-resumed", flow=FLOW, seconds=2.0),
        )
        self.assertEqual(faults.resets, [])

    async def test_a_long_search_names_the_host_that_did_not_answer(self):
        """Guards against seconds without a host whose cause no table shows (H2)."""
        search = {"flow": FLOW, "queried": 2, "omitted": 1}
        faults = self.find(
            *opened(1),
            line(5, "entry-2", "flow-searched", **search, search=1, seconds=None),
            line(
                7.4,
                "entry-2",
                "flow-searched",
                **search,
                search=2,
                seconds=2.4,
                answered=1,
                unanswered=["i-1"],
            ),
            line(7.5, "entry-2", "flow-found", flow=FLOW, seconds=2.5, address="x"),
            line(8, "entry-1", "flow-searched", **search, search=1, seconds=None),
            line(9, "entry-1", "flow-found", flow=FLOW, seconds=1.0, address="x"),
        )
        (found,) = faults.searches
        self.assertEqual((found.seconds, found.line.instance), (2.5, "entry-2"))
        for wanted in (
            "found at x",
            "accepted by agent-1",
            "1 of 2 answered",
            "no answer of i-1",
            "left out 1",
        ):
            self.assertIn(wanted, found.evidence)

    async def test_a_search_without_end_is_listed(self):
        """Guards against a flow that is never found and so never listed."""
        faults = self.find(
            line(5, "entry-2", "flow-searched", flow=FLOW, search=1, seconds=None),
            line(9, "entry-2", "flow-unknown", flow=FLOW, seconds=4.0, queried=5),
        )
        (found,) = faults.searches
        self.assertEqual(found.seconds, 4.0)
        self.assertIn("not found, last flow-unknown", found.evidence)

    async def test_a_flow_that_two_hosts_accepted_is_listed(self):
        """Guards against a flow of which two servers hold a part unseen (H3)."""
        faults = self.find(
            *opened(1),
            line(1.2, "agent-2", "flow-accepted", flow=FLOW),
            line(2, "entry-1", "flow-found", flow=FLOW, address=HOSTS["agent-2"]),
            line(3, "agent-1", "flow-not-held", flow=FLOW, searching=False),
            *opened(4, agent="agent-2"),
        )
        (found,) = faults.shared
        for wanted in (
            "agent-2 0.190 s after the first",
            "believed at 10.0.0.2",
            "1 lines of hosts that did not hold it",
        ):
            self.assertIn(wanted, found.evidence)

    async def test_the_tables_are_part_of_the_report_and_bounded(self):
        """Guards against a report that hides suspicions or prints thousands."""
        lines = []
        for port in range(MAX_FLOWS + 5):
            flow = f"100.64.0.9:{port}>198.18.0.1:443"
            lines += opened(1, flow=flow)
            lines.append(line(9, "entry-2", "flow-reset", flow=flow, reason="not-held"))
        self.write("run.log", *lines, *opened(13, flow=OTHER))
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            code = await report(str(self.directory))
        self.assertEqual(code, ExitCode.OK)
        text = output.getvalue()
        self.assertIn(f"suspected wrong resets, first of {MAX_FLOWS + 5}", text)
        self.assertEqual(text.count("  returned  "), MAX_FLOWS)
        self.assertNotIn("long searches", text)

    async def test_a_trace_shows_the_lines_of_entries_and_agents(self):
        """Guards against a history without the lines that tell the cause."""
        self.write(
            "run.log",
            *opened(1),
            line(5, "entry-2", "flow-awaits-catalog", flow=FLOW, answered=2),
            line(6, "agent-2", "flow-not-held", flow=FLOW, reason="refused"),
            line(7, "agent-1", "flow-resumed", flow=FLOW, seconds=4.0),
            line(8, "entry-2", "host-reports-again", host="i-1"),
        )
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            code = await trace(FLOW, str(self.directory))
        self.assertEqual(code, ExitCode.OK)
        for wanted in (
            "flow-awaits-catalog     answered=2",
            "flow-not-held           reason=refused",
            "flow-resumed            seconds=4.0",
            "host-reports-again      host=i-1",
        ):
            self.assertIn(wanted, output.getvalue())

"""Tables and plots of a run, from the logs and metrics of several processes."""

import contextlib
import io
import json
import tempfile
from pathlib import Path
from unittest import IsolatedAsyncioTestCase

from balsamspool.commands.codes import ExitCode
from balsamspool.commands.log_lines import read_lines
from balsamspool.commands.report import report
from balsamspool.commands.run_summary import summarize
from balsamspool.kernel.errors import ResultError

METRICS = """\
# TYPE balsamspool_datagram_packets counter
balsamspool_datagram_packets_total{kind="forwarded"} 40.0
balsamspool_datagram_packets_total{kind="searched"} 2.0
"""


def line(second, instance, name, **fields):
    time = f"2026-12-04T10:00:{second:06.3f}"
    entry = {"time": time, "instance": instance, "name": name, "logger": "x"}
    return json.dumps(entry | fields) + "\n"


class ReportTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.write(
            "entry-1.log",
            line(1, "entry-1", "routes-in-force", version=7),
            line(2, "entry-1", "flow-placed", server="i-1", cost=0.5),
            line(2.5, "entry-1", "flow-placed", server="i-1", cost=1.5),
            line(3, "entry-1", "flow-placed", server="i-2", cost=0.2),
            line(9, "entry-1", "flow-reset", reason="not-held"),
        )
        self.write("entry-2.log", line(1.25, "entry-2", "routes-in-force", version=7))
        self.write(
            "agent-1.log",
            line(2.1, "agent-1", "flow-accepted"),
            line(2.2, "agent-1", "opening-passed-on", reason="refused", hops=1),
            "a line of another program\n",
        )
        for number in (1, 2):
            self.write(f"entry-{number}.prom", METRICS)

    def write(self, name, *lines):
        (self.directory / name).write_text("".join(lines))

    async def run_report(self, *names, **options):
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            code = await report(*names, **options)
        return code, output.getvalue()

    async def test_figures_of_all_processes_are_joined(self):
        """Guards against a summary that covers only one process of the run."""
        summary = summarize(read_lines([str(self.directory)]))
        self.assertEqual(summary.placed, {"i-1": 2, "i-2": 1})
        self.assertEqual(summary.passed_on, {"refused": 1})
        self.assertEqual(summary.hops, {1: 1})
        self.assertEqual(summary.resets, {"entry, not-held": 1})
        self.assertEqual(summary.routes[7].processes, 2)
        self.assertAlmostEqual(summary.routes[7].seconds, 0.25)
        self.assertEqual(summary.events_by_second["flow-reset"], {8: 1})

    async def test_tables_show_hosts_reasons_and_counters(self):
        """Guards against a report without the busiest host, reasons or counters."""
        code, text = await self.run_report(str(self.directory))
        self.assertEqual(code, ExitCode.OK)
        for wanted in (
            "flows of the busiest host over the mean  1.33",
            "refused",
            "entry, not-held",
            "balsamspool_datagram_packets_total.forwarded  80",
        ):
            self.assertIn(wanted, text)

    async def test_plots_are_written(self):
        """Guards against plots that fail if some events do not occur in a run."""
        target = self.directory / "plots"
        code, text = await self.run_report(str(self.directory), plots=str(target))
        self.assertEqual(code, ExitCode.OK)
        self.assertEqual(len(list(target.glob("*.png"))), 4)

    async def test_no_logs_to_summarize(self):
        """Guards against an empty report that looks like a quiet run."""
        empty = self.directory / "empty"
        empty.mkdir()
        code, _ = await self.run_report(str(empty))
        self.assertEqual(code, ExitCode.NOT_MET)
        with self.assertRaises(ResultError):
            await report()

    async def test_malformed_metrics_page(self):
        """Guards against a traceback in place of the name of the file."""
        self.write("broken.prom", "a{b 1\n")
        with self.assertRaises(ResultError) as raised:
            await report(str(self.directory))
        self.assertIn("broken.prom", str(raised.exception))

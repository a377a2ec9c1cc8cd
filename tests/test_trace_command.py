"""History of one flow, joined from the logs of several processes."""

import contextlib
import io
import json
import tempfile
from pathlib import Path
from unittest import IsolatedAsyncioTestCase

from balsamspool.commands.codes import ExitCode
from balsamspool.commands.trace import trace
from balsamspool.kernel.errors import ResultError

FLOW = "100.64.0.7:40001>198.18.0.1:443"
OTHER = "100.64.0.7:40002>198.18.0.1:443"


def line(second, instance, name, **fields):
    time = f"2026-12-04T10:00:{second:06.3f}"
    entry = {"time": time, "instance": instance, "name": name, "logger": "x"}
    return json.dumps(entry | fields) + "\n"


class TraceTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)

    def write(self, name, *lines):
        (self.directory / name).write_text("".join(lines))

    async def trace(self, flow, **options):
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            code = await trace(flow, str(self.directory), **options)
        return code, output.getvalue().splitlines()[1:]

    async def test_lines_of_all_processes_are_joined_in_order(self):
        """Guards against a history with parts missing or out of order."""
        self.write(
            "entry-1.log",
            line(1, "entry-1", "flow-placed", flow=FLOW, server="i-1"),
            line(9, "entry-1", "flow-reset", flow=FLOW, reason="not-held"),
            line(2, "entry-1", "flow-placed", flow=OTHER, server="i-2"),
        )
        self.write("agent-1.log", line(1.01, "agent-1", "flow-accepted", flow=FLOW))
        code, rows = await self.trace(FLOW)
        self.assertEqual(code, ExitCode.OK)
        events = [row.split()[2] for row in rows]
        self.assertEqual(events, ["flow-placed", "flow-accepted", "flow-reset"])
        self.assertIn("reason=not-held", rows[-1])

    async def test_lines_without_flow_of_the_same_processes_are_shown(self):
        """Guards against a history without a cause that no line of the flow names."""
        self.write(
            "entry-1.log",
            line(1, "entry-1", "flow-placed", flow=FLOW),
            line(2, "entry-1", "backend-server-removed", server="i-1"),
            line(30, "entry-1", "catalog-lost"),
        )
        self.write("entry-2.log", line(2, "entry-2", "catalog-lost"))
        _, rows = await self.trace("100.64.0.7:40001", around=5.0)
        events = [row.split()[2] for row in rows]
        self.assertEqual(events, ["flow-placed", "backend-server-removed"])

    async def test_other_text_is_skipped(self):
        """Guards against lines that are lost after a prefix or a truncated line."""
        self.write(
            "all.log",
            "  35.42 entry-1 " + line(1, "entry-1", "flow-placed", flow=FLOW),
            '{"time": "2026-12-04T10:0\n',
            "no object at all\n",
        )
        _, rows = await self.trace(FLOW)
        self.assertEqual(len(rows), 1)

    async def test_exit_code_shows_that_a_flow_has_no_lines(self):
        """Guards against an empty table that looks like a complete history."""
        self.write("all.log", line(1, "entry-1", "flow-placed", flow=OTHER))
        code, rows = await self.trace(FLOW)
        self.assertEqual((code, rows), (ExitCode.NOT_MET, []))
        with self.assertRaises(ResultError):
            await trace(FLOW)

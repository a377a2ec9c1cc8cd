"""Commands of balsamspool-ctl against a running fleet."""

import asyncio
import json
import sys
import tempfile
from pathlib import Path
from unittest import IsolatedAsyncioTestCase

from balsamspool.plugins.configuration.digest import text_digest
from standins.fleet import ROOT, ServicePlan, run_fleet

PORTAL = ServicePlan(
    "portal",
    1,
    2,
    [
        {"kind": "request", "path": "/"},
        {"kind": "request", "path": "/tickets", "repeatable": False},
    ],
)


async def ctl(*arguments):
    """Run balsamspool-ctl and return its exit code and output."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "balsamspool.programs.ctl",
        *arguments,
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    return process.returncode, output.decode()


class CtlTest(IsolatedAsyncioTestCase):
    async def test_commands_against_a_fleet(self):
        """Guards against commands that misreport a fleet or exit with a wrong code."""
        async with run_fleet([PORTAL], entries=1) as fleet:
            url = fleet.platform_url
            code, output = await ctl("status", url, "--json")
            self.assertEqual(code, 0, output)
            self.assertEqual(len(json.loads(output)), 3)
            drained = next(iter(fleet.agents))
            fleet.text["draining_hosts"] = [drained]
            await fleet.publish_text()
            digest = text_digest(fleet.published_text())
            code, output = await ctl("wait", url, digest, "--timeout=8")
            self.assertEqual(code, 0, output)
            code, output = await ctl("drain", url)
            self.assertEqual(code, 0, output)
            self.assertIn(drained, output)
            code, output = await ctl("status", url)
            self.assertRegex(output, rf"{drained} .* leaving ")
            code, output = await ctl("wait", url, "0" * 16, "--timeout=2")
            self.assertEqual(code, 1, output)
            code, output = await ctl(
                "explain", url, "--service=portal", "--caller=192.0.2.1:5"
            )
            self.assertIn(f"   {drained}: drained by the configuration", output)
            self.assertIn("-> portal-", output)
            code, output = await ctl(
                "explain", url, "--service=portal", "--path=/tickets"
            )
            self.assertIn("runs at most once", output)
            await self.check_texts(fleet)

    async def check_texts(self, fleet):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "text.json"
            fleet.text["services"]["portal"]["limits"] = {"queue_per_host": 5}
            path.write_text(fleet.published_text())
            code, output = await ctl(
                "check", str(path), f"--platform={fleet.platform_url}"
            )
            self.assertEqual(code, 0, output)
            self.assertIn("services.portal.limits.queue_per_host: 64 -> 5", output)
            path.write_text(
                fleet.published_text().replace('"number": 1', '"number": 0')
            )
            code, output = await ctl("check", str(path))
            self.assertEqual(code, 2, output)
            self.assertRegex(output, r"1102 .*line \d+, field .*number.*value 0")

    async def test_unreachable_platform(self):
        """Guards against an exit code that hides an unreachable platform."""
        code, output = await ctl("status", "http://127.0.0.1:9")
        self.assertEqual(code, 4, output)

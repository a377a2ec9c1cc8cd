"""Test case of explained placements, and the page that the command prints of them."""

import asyncio
import contextlib
import io
import sys
from pathlib import Path
from unittest import mock
from urllib.parse import urlencode

import msgspec

from balsamspool.commands.admin_pages import AdminAnswer
from balsamspool.commands.explain_flow import explain_flow
from balsamspool.datagram._codec import encode_small
from balsamspool.datagram.explanation import EXPLAIN_PATH, Explanation
from balsamspool.datagram.messages import Report
from balsamspool.placement.load import LoadReport
from balsamspool.plugins.admin.plugin import AdminPlugin, AdminSettings
from balsamspool.plugins.catalog.model import (
    BackendState,
    DomainCordoned,
    RoutesPublished,
    RouteTable,
    SlowStart,
)
from balsamspool.plugins.catalog.revision import Revision
from tests.datagram_entry_case import EntryCase
from tests.datagram_fakes import CALLER, SERVICE, published, route, server

GOLDEN = Path(__file__).resolve().parent / "golden" / "explain_flow.txt"
# Endpoints at which the command finds the entry of the test.
FIRST, SECOND = "10.0.1.1:9464", "10.0.1.2:9464"


def endpoint(address):
    return f"{address[0]}:{address[1]}"


class ExplainCase(EntryCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        settings = AdminSettings(ready_address="127.0.0.1:1")
        self.kernel.settings.section.__self__["admin"] = settings
        self.kernel.plugins = {"catalog": self.catalog, "datagram-entry": self.entry}
        self.admin = AdminPlugin(self.kernel)
        self.loads = {}

    async def report(self):
        # Hosts report as often as those of `EntryCase`, each its own load.
        self.loads = {}
        idle = LoadReport(0, 0.0, 0, True, 0.1)
        while True:
            for address in self.reporting:
                load = Report(self.loads.get(address, idle))
                self.peers.receive(encode_small(load), (address, 7720))
            await asyncio.sleep(0.1)

    async def page(self, **arguments):
        """Return the admin page for the arguments of a query."""
        return await self.admin._admin_page(EXPLAIN_PATH, urlencode(arguments))

    async def explanation(self, caller=CALLER, service=SERVICE):
        """Return the explanation for a caller and a route."""
        page = await self.page(caller=endpoint(caller), route=endpoint(service))
        self.assertEqual(page.status, 200, page.body)
        return msgspec.json.decode(page.body, type=Explanation)

    async def publish(self, *records):
        """Publish records and wait until they are in force."""
        self.source.publish(*records)
        await asyncio.sleep(1)
        self.peers.take()

    async def command(self, answers, *arguments, **options):
        """Run the command on given answers; return exit code, output and errors."""

        async def read_pages(endpoints, path, query):
            return [answers.get(e, AdminAnswer(e)) for e in endpoints]

        output, errors = io.StringIO(), io.StringIO()
        patched = mock.patch("balsamspool.commands.explain_flow.read_pages", read_pages)
        with (
            patched,
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(errors),
        ):
            options = {"caller": endpoint(CALLER), "route": endpoint(SERVICE)} | options
            code = await explain_flow(*(arguments or answers), **options)
        return code, output.getvalue(), errors.getvalue()

    async def answer(self, at=FIRST, service=SERVICE):
        """Return the answer of the entry as the command reads it."""
        page = await self.page(caller=endpoint(CALLER), route=endpoint(service))
        return AdminAnswer(at, page.status, page.body)

    async def two_entries(self):
        """Return the output for two entries that choose differently."""
        hosts = (
            server(6, state=BackendState.DRAINING),
            server(7, failure_domain="b", warmup=90.0),
            server(8, failure_domain="c"),
            server(9, failure_domain="b"),
            *(server(n) for n in (21, 22)),
        )
        table = RouteTable(
            2, (route("portal"),), 15.0, (SlowStart("portal", 120.0, 5.0),)
        )
        await self.publish(
            RoutesPublished(200, table),
            *published(201, *hosts),
            DomainCordoned(Revision(220), "c"),
        )
        self.reporting |= {"10.0.0.6", "10.0.0.7", "10.0.0.21", "10.0.0.22"}
        self.reporting -= {"10.0.0.1"}
        self.loads["10.0.0.2"] = LoadReport(0, 0.0, 0, False, 0.1)
        await asyncio.sleep(1)
        answers = {FIRST: await self.answer()}
        chosen = msgspec.json.decode(answers[FIRST].body, type=Explanation)
        busy = chosen.candidates[0].address
        self.loads[busy] = LoadReport(4, 3.5, 12, True, 0.1)
        await asyncio.sleep(1)
        other = msgspec.structs.replace(self.kernel.identity, instance="x-2")
        with mock.patch.object(self.kernel, "identity", other):
            answers[SECOND] = await self.answer(SECOND)
        return await self.command(answers)


class _Writer(ExplainCase):
    async def runTest(self):  # noqa: N802
        _, output, _ = await self.two_entries()
        GOLDEN.write_text(output)


if __name__ == "__main__" and sys.argv[1:] == ["write"]:
    _Writer().debug()

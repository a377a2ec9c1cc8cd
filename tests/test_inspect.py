"""Command ``inspect`` on status pages of given processes."""

import contextlib
import io
import json
from unittest import mock

from balsamspool.commands.admin_pages import AdminAnswer
from balsamspool.commands.codes import ExitCode
from balsamspool.commands.inspect import inspect
from balsamspool.plugins.catalog.model import DomainCordoned
from balsamspool.plugins.catalog.revision import Revision
from tests.explain_flow_case import FIRST, SECOND, ExplainCase


class InspectTest(ExplainCase):
    async def inspect(self, answers, **options):
        async def read_pages(endpoints, path):
            self.assertEqual(path, "/status")
            return [answers.get(e, AdminAnswer(e)) for e in endpoints]

        output = io.StringIO()
        patched = mock.patch("balsamspool.commands.inspect.read_pages", read_pages)
        with patched, contextlib.redirect_stdout(output):
            code = await inspect(FIRST, SECOND, **options)
        return code, output.getvalue()

    async def status(self, endpoint):
        page = await self.admin._admin_page("/status", "")
        return AdminAnswer(endpoint, page.status, page.body)

    async def test_failure_domains_out_of_service_are_named(self):
        """Guards against an operator who can't see which entry knows of a request."""
        answers = {FIRST: await self.status(FIRST)}
        await self.publish(
            DomainCordoned(Revision(200), "c"), DomainCordoned(Revision(201), "b")
        )
        answers[SECOND] = await self.status(SECOND)
        code, output = await self.inspect(answers)
        header, first, second = output.splitlines()
        column = header.index("out of service")
        self.assertEqual(first[column:].split()[0], "-")
        self.assertEqual(second[column:].split()[0], "b,c")
        self.assertEqual(code, ExitCode.OK)
        code, output = await self.inspect(answers, json=True)
        cordons = json.loads(output)[SECOND]["plugins"]["catalog"]["cordons"]
        self.assertEqual(cordons["b"]["revision"], "201")

    async def test_a_process_that_does_not_answer_has_a_row(self):
        """Guards against a row of another length than the header."""
        code, output = await self.inspect({FIRST: await self.status(FIRST)})
        self.assertEqual(code, ExitCode.NOT_MET)
        self.assertRegex(output, rf"{SECOND} .*unreachable")

"""Odd settings, lists and configuration texts: each fails in the expected way."""

import json
import tempfile
from pathlib import Path
from unittest import IsolatedAsyncioTestCase, TestCase

from aiohttp import web
from aiohttp.test_utils import TestServer

from balsamspool.kernel.errors import SETTINGS_UNREADABLE, ResultError
from balsamspool.kernel.settings import read_settings
from balsamspool.plugins.backend.health import HealthPoller, Unhealthy
from balsamspool.plugins.configuration.checker import TextError, check_text
from balsamspool.plugins.membership.listing import Listing, read_list
from balsamspool.plugins.platform.client import decode_answer
from tests.test_membership import record

NESTED = (
    "[" * 5_000 + "]" * 5_000,
    '{"a":' * 5_000 + "1" + "}" * 5_000,
    '{"process":' + "[" * 5_000 + "]" * 5_000 + "}",
)
HUGE = ("9" * 5_000, '{"revision":' + "9" * 5_000 + "}", "1e400", "NaN")
HALVES = ('"\\ud800"', '{"format":"\\ud800"}', '{"\\ud800":1}', '{"format":"\ud800"}')


class SettingsTest(TestCase):
    def test_odd_settings_are_refused_with_a_code(self):
        """Guards against a changed file that ends the process that reads it."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.json"
            for text in (*NESTED, *HUGE[:1], *HUGE[2:], HALVES[0]):
                path.write_text(text)
                with self.assertRaises(ResultError, msg=text[:40]) as raised:
                    read_settings(str(path), {})
                self.assertIs(raised.exception.code, SETTINGS_UNREADABLE)


class InstanceListTest(TestCase):
    def test_an_odd_record_leaves_the_others(self):
        """Guards against one host that freezes the view of the whole fleet."""
        good = json.dumps(record())
        for odd in (
            *NESTED,
            *HALVES[:3],
            good.replace("}", ',"x":' + NESTED[0] + "}"),
            good.replace("}", ',"data_port":' + "9" * 5_000 + "}"),
            good.replace("}", ',"data_port":65536}'),
        ):
            found = read_list(f"[{odd},{good}]")
            self.assertIsInstance(found, Listing, odd[:40])
            self.assertEqual(list(found.instances), [record()["instance"]], odd[:40])
            self.assertEqual(len(found.faults), 1)
            self.assertLess(len(found.faults[0]), 300)


class ConfigurationTextTest(TestCase):
    def test_odd_texts_are_refused_with_a_line(self):
        """Guards against a text that ends the task that follows the platform."""
        for text in (*NESTED, *HUGE, *HALVES):
            with self.assertRaises(TextError, msg=text[:40]):
                check_text(text)
        # The depth at which the decoder gives up depends on its caller.
        for levels in range(800, 1_000):
            with self.assertRaises(TextError, msg=levels):
                check_text('{"format":' + "[" * levels + "]" * levels + "}")


class PlatformAnswerTest(TestCase):
    def test_odd_answers_raise_a_value_error(self):
        """Guards against an answer that ends the watch."""
        for text in (*NESTED, *HUGE, '{"revision":-1,"value":""}'):
            with self.assertRaises(ValueError, msg=text[:40]):
                decode_answer(text.encode())


class BackendHealthTest(IsolatedAsyncioTestCase):
    async def test_an_odd_answer_is_unhealthy(self):
        """Guards against a backend server whose answer ends the polling."""
        from aiohttp import ClientSession

        body = ""

        async def answer(request):
            return web.Response(text=body)

        application = web.Application()
        application.router.add_get("/{path:.*}", answer)
        server = TestServer(application)
        await server.start_server()
        self.addAsyncCleanup(server.close)
        poller = HealthPoller(str(server.make_url("")).rstrip("/"), 1.0)
        async with ClientSession() as session:
            for body in (*NESTED, *HUGE):  # noqa: B007  the handler reads it
                self.assertIsInstance(await poller.poll(session), Unhealthy)
                self.assertIsNone(await poller._poll_load(session))

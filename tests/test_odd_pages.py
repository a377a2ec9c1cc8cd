"""Odd items in the answers of the store: the others are used, and reading goes on."""

from base64 import b64encode
from types import SimpleNamespace
from unittest import IsolatedAsyncioTestCase

from aiohttp import web

from balsamspool.kernel.counters import CounterSet
from balsamspool.kernel.errors import ResultError
from balsamspool.plugins.catalog.codes import CATALOG_MALFORMED
from balsamspool.plugins.catalog.model import RecordIgnored, ServerPublished
from standins.odd_entries import entry
from standins.ports import ADDRESS, free_port
from tests.datagram_fakes import ADAPTER  # noqa: F401  puts the adapter on the path

VALUE = b64encode(entry())
GOOD = b'{"key":"servers/good","revision":7,"created-at":3,"value":"%b"}' % VALUE
# Items with a key: their host is not listed any more.
KEYED = (
    b'{"key":"servers/odd"}',
    b'{"key":"servers/odd","revision":-1}',
    b'{"key":"servers/odd","revision":"7"}',
    b'{"key":"servers/odd","revision":%b}' % (b"9" * 30),
    b'{"key":"servers/odd","revision":%b}' % (b"9" * 5_000),
    b'{"key":"servers/odd","revision":7,"created-at":%b}' % (b"9" * 30),
    b'{"key":"servers/odd","revision":7,"created-at":-1}',
    b'{"key":"servers/odd","revision":7,"value":7}',
    b'{"key":"servers/odd","revision":7,"value":"\\ud800"}',
    b'{"key":"servers/odd","revision":7,"value":"\xff"}',
    b'{"key":"servers/odd","revision":7,"value":"%b"}' % b64encode(b"[" * 5_000),
    b'{"key":"servers/odd","revision":7}',
)
KEYLESS = (
    b"7",
    b"null",
    b"{}",
    b"[]",
    b'{"revision":7,"value":"%b"}' % VALUE,
    b'{"key":7,"revision":7}',
    b'{"key":"","revision":7}',
    b'{"key":"servers/%b","revision":7}' % (b"x" * 200),
    b'{"key":"\xff","revision":7}',
    b'{"key":null,"revision":7}',
    b'{"key":"servers/odd","revision":7,"x":' + b"[" * 5_000 + b"]" * 5_000 + b"}",
)
UNREADABLE = (
    b"",
    b"7",
    b"[",
    b"[" * 5_000,
    b"[" * 5_000 + b"]" * 5_000,
    b'{"items":[],"events":[]}',
    b'{"items":[],"events":[],"store-revision":%b}' % (b"9" * 30),
    b'{"items":[],"events":[],"store-revision":-1}',
    b'{"items":7,"events":7,"store-revision":9}',
    b'{"items":[NaN],"events":[NaN],"store-revision":9}',
)


class OddPageTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        from fleet_adapter.store import StoreSettings, StoreSource

        self.body = b""
        self.calls = 0
        application = web.Application()
        application.router.add_get("/{path:.*}", self.answer)
        runner = web.AppRunner(application)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        port = free_port()
        await web.TCPSite(runner, ADDRESS, port).start()
        settings = StoreSettings(address=f"{ADDRESS}:{port}")
        kernel = SimpleNamespace(
            settings=SimpleNamespace(section=lambda _: settings), counters=CounterSet()
        )
        self.source = StoreSource(kernel)
        self.addAsyncCleanup(self.source.stop)

    async def answer(self, request):
        self.calls += 1
        return web.Response(body=self.body)

    async def records(self, *items):
        """Return what a page and an answer to a watch with these items hold."""
        found = b",".join(items)
        self.body = b'{"items":[%b],"events":[%b],"store-revision":9}' % (found, found)
        page = (await self.source.read()).records
        events = (await self.source.watch(5, 0.1)).records
        self.assertEqual(page, events)
        return page

    async def test_an_odd_item_names_no_host_and_the_others_hold(self):
        """Guards against an item that makes a whole page, or all changes, unusable."""
        for odd in KEYED:
            ignored, good = await self.records(odd, GOOD)
            self.assertIsInstance(ignored, RecordIgnored, odd[:100])
            self.assertEqual(ignored.name, "odd")
            self.assertLessEqual(ignored.revision, 9)
            self.assertIsInstance(good, ServerPublished)

    async def test_an_item_without_a_key_is_logged_and_the_others_hold(self):
        """Guards against an item without a usable key that ends the reading."""
        for odd in KEYLESS:
            with self.assertLogs("fleet_adapter.records", "WARNING") as logs:
                found = await self.records(odd, GOOD)
            self.assertEqual([type(r) for r in found], [ServerPublished], odd[:100])
            # One line for the page and one for the watch.
            self.assertEqual(len(logs.output), 2)

    async def test_an_unreadable_answer_is_a_failed_call(self):
        """Guards against an answer that ends the follower instead of a new try."""
        for body in UNREADABLE:
            self.body = body
            for call in (self.source.read, lambda: self.source.watch(5, 0.1)):
                with self.assertRaises(ResultError, msg=body[:100]) as raised:
                    await call()
                self.assertIs(raised.exception.code, CATALOG_MALFORMED)
                self.assertLess(len(str(raised.exception)), 500)

    async def test_pages_that_lead_nowhere_end(self):
        """Guards against a process that reads the same page for ever."""
        for items in (b"{}", GOOD):
            self.body = b'{"items":[%b],"has-more":true,"store-revision":9}' % items
            self.calls = 0
            with self.assertRaises(ResultError):
                await self.source.read()
            self.assertLessEqual(self.calls, 2)

"""Readiness, metrics and status of processes that load no web framework."""

import asyncio
import json
from unittest import IsolatedAsyncioTestCase

from balsamspool.kernel.identity import Role
from balsamspool.kernel.lifecycle import ProcessState
from balsamspool.kernel.registry import Plugin
from balsamspool.minihttp.server import Page, PageServer
from balsamspool.plugins.admin.plugin import AdminPlugin, AdminSettings
from tests.datagram_fakes import FakeKernel


class Waiting(Plugin):
    ready = False


class PagesTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        settings = AdminSettings(ready_address="127.0.0.1:1", ready_path="/is-ready")
        self.kernel = FakeKernel(Role.DATAGRAM_ENTRY, "127.0.0.1", {"admin": settings})
        self.kernel.plugins = {}
        self.admin = AdminPlugin(self.kernel)

    async def test_readiness_follows_state_and_plugins(self):
        """Guards against packets for a process that cannot forward them."""
        self.assertEqual((await self.admin._probe_page("/is-ready", "")).status, 200)
        self.kernel.plugins = {"catalog": Waiting(self.kernel)}
        self.assertEqual((await self.admin._probe_page("/is-ready", "")).status, 503)
        self.kernel.plugins = {}
        self.kernel.state = ProcessState.LEAVING
        self.assertEqual((await self.admin._probe_page("/is-ready", "")).status, 503)
        self.assertEqual((await self.admin._probe_page("/metrics", "")).status, 404)

    async def test_metrics_hold_counters_and_histograms(self):
        """Guards against counters that are missing on the metrics page."""
        self.kernel.counters.counter("things", "Things", "big").value = 3
        self.kernel.counters.histogram("wait_seconds", "Waits").observe(0.03)
        text = (await self.admin._admin_page("/metrics", "")).body.decode()
        self.assertIn('things_total{kind="big"} 3.0', text)
        self.assertIn('wait_seconds_bucket{le="0.05"} 1.0', text)
        self.assertIn("wait_seconds_count 1.0", text)

    async def test_status_names_the_process(self):
        """Guards against a status page that does not name its instance."""
        body = json.loads((await self.admin._admin_page("/status", "")).body)
        self.assertEqual(body["instance"], "x-1")


class ServerTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = PageServer(self.page)
        await self.server.start("127.0.0.1", 0)
        self.port = self.server._server.sockets[0].getsockname()[1]

    async def asyncTearDown(self):
        self.server.close()

    async def page(self, path, query):
        if path == "/broken":
            raise ValueError("planted")
        return Page(200, path.encode())

    async def test_an_unexpected_error_fails_only_its_request(self):
        """Guards against one bad request that ends the connection or the process."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        for path, status in ((b"/broken", b"500"), (b"/a", b"200")):
            writer.write(b"GET " + path + b" HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            self.assertIn(status, head)
            length = int(head.lower().partition(b"content-length: ")[2].split()[0])
            await reader.readexactly(length)
        writer.close()

    async def test_one_connection_carries_many_requests(self):
        """Guards against probes that need a connection each."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        for path in (b"/a", b"/b"):
            writer.write(b"GET " + path + b"?x=1 HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            self.assertIn(b"200 OK", head)
            self.assertEqual(await reader.readexactly(2), path)
        writer.close()

    async def test_malformed_request_closes_only_its_connection(self):
        """Guards against a caller that stops the server."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(b"\x00\x01\x02 nonsense\r\n\r\n")
        self.assertEqual(await reader.read(), b"")
        writer.close()
        await self.test_one_connection_carries_many_requests()

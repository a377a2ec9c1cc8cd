"""Backend client, health and outlier detection, and the backend server stand-in."""

import asyncio
import json
import random
import socket
from contextlib import asynccontextmanager
from unittest import IsolatedAsyncioTestCase, TestCase
from unittest.mock import patch

from aiohttp import ClientSession, web
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.sdk.trace.export.in_memory_span_exporter import (
    InMemorySpanExporter,
)

from balsamspool.kernel.backoff import Backoff
from balsamspool.kernel.clock import Deadline
from balsamspool.kernel.errors import Outcome, ResultError
from balsamspool.plugins.backend import plugin as plugin_module
from balsamspool.plugins.backend.client import without_connection_headers
from balsamspool.plugins.backend.codes import (
    BACKEND_FAILED,
    BACKEND_TIMEOUT,
    BACKEND_UNREACHABLE,
)
from balsamspool.plugins.backend.outlier import HealthState, OutlierDetector
from balsamspool.plugins.backend.plugin import BackendPlugin, BackendSettings
from balsamspool.plugins.serving.body import read_body
from balsamspool.plugins.serving.codes import BODY_LIMIT_PASSED
from balsamspool.requests.request import Request
from standins.backend_server import BackendServerStandIn, Behaviour, ExecutionOutcome
from tests.test_admission_clock import run_paused

TRACE = "00-" + "ab" * 16 + "-" + "cd" * 8 + "-01"


class FakeKernel:
    def __init__(self, port):
        self.settings = self
        self.port = port
        self.tasks = []

    def section(self, name):
        return BackendSettings("127.0.0.1", self.port, poll_seconds=0.02)

    def spawn(self, work, name):
        self.tasks.append(asyncio.create_task(work, name=name))


def make_request(path, method="GET", headers=(), seconds=None, content=b""):
    async def chunks():
        if content:
            yield content

    deadline = Deadline.after(seconds) if seconds else None
    return Request(method, path, list(headers), chunks(), deadline, TRACE)


@asynccontextmanager
async def run_server():
    """Run a stand-in and a plug-in that sends requests to it."""
    server = BackendServerStandIn("server")
    runner = web.AppRunner(server.application(), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    kernel = FakeKernel(runner.addresses[0][1])
    plugin = BackendPlugin(kernel)
    await plugin.start()
    try:
        yield server, plugin
    finally:
        for task in kernel.tasks:
            task.cancel()
        await plugin.stop()
        await runner.cleanup()


async def fetch(plugin, request):
    async with plugin.dispatch(request) as answer:
        return answer.status, b"".join([chunk async for chunk in answer.chunks()])


async def wait_until(condition):
    for _ in range(500):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the condition did not hold within 5 s")


class ClientTest(IsolatedAsyncioTestCase):
    async def test_outcome_of_each_failure(self):
        """Guards against "not run" after a dispatch, and against an undetected cut."""
        async with run_server() as (server, plugin):
            for path, seconds, code in (
                ("/x?bytes=300000&cut=100000", None, BACKEND_FAILED),
                ("/x?seconds=5", 0.1, BACKEND_TIMEOUT),
            ):
                with self.assertRaises(ResultError) as caught:
                    await fetch(plugin, make_request(path, seconds=seconds))
                self.assertIs(caught.exception.code, code)
                self.assertIs(code.outcome, Outcome.UNKNOWN)
            self.assertEqual(len(server.executions), 2)

    async def test_refused_connection_is_not_run_and_suspends(self):
        """Guards against a server that refuses connections and still gets requests."""
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            plugin = BackendPlugin(FakeKernel(probe.getsockname()[1]))
        with patch.object(
            plugin_module.HealthPoller, "run", lambda *_: asyncio.sleep(0)
        ):
            await plugin.start()
        for _ in range(3):
            self.assertTrue(plugin.usable)
            with self.assertRaises(ResultError) as caught:
                await fetch(plugin, make_request("/x"))
            self.assertIs(caught.exception.code, BACKEND_UNREACHABLE)
        self.assertFalse(plugin.usable)
        await plugin.stop()

    async def test_cancel_closes_the_connection(self):
        """Guards against a server that processes requests that callers cancelled."""
        async with run_server() as (server, plugin):
            task = asyncio.create_task(fetch(plugin, make_request("/x?seconds=5")))
            await wait_until(lambda: server.busy)
            task.cancel()
            await wait_until(lambda: server.cancelled == 1 and server.busy == 0)

    async def test_large_body_is_streamed_and_its_limit_keeps_its_code(self):
        """Guards against lost large bodies, and against a wrong code at the limit."""

        async def chunks():
            for _ in range(30):
                yield bytes(10_000)

        async with run_server() as (server, plugin):
            for limit, code in ((400_000, None), (200_000, BODY_LIMIT_PASSED)):
                request = Request("POST", "/x", [], chunks())
                await read_body(request, 65_536, limit)
                self.assertIsNone(request.content)
                try:
                    _, body = await fetch(plugin, request)
                    self.assertEqual(json.loads(body)["body_bytes"], 300_000)
                except ResultError as error:
                    self.assertIs(error.code, code)
                else:
                    self.assertIsNone(code)

    async def test_deadline_and_trace_are_passed_on(self):
        """Guards against hops that lose the deadline or the trace."""
        exporter = InMemorySpanExporter()
        provider = TracerProvider()
        provider.add_span_processor(SimpleSpanProcessor(exporter))
        tracer = provider.get_tracer("balsamspool")
        async with run_server() as (_, plugin):
            with patch.object(plugin_module, "_tracer", tracer):
                headers = [("request-timeout-ms", "999999"), ("connection", "x-hop")]
                request = make_request("/x", "POST", headers, 2.0, b"body")
                _, body = await fetch(plugin, request)
        answer = json.loads(body)
        self.assertLessEqual(int(answer["timeout_ms"]), 2000)
        self.assertEqual(answer["body_bytes"], 4)
        span = exporter.get_finished_spans()[0]
        self.assertEqual(span.parent.span_id, int("cd" * 8, 16))
        self.assertIn("ab" * 16, answer["traceparent"])
        self.assertIn(f"{span.context.span_id:016x}", answer["traceparent"])

    def test_connection_headers_are_dropped(self):
        """Guards against connection headers that are forwarded to the server."""
        fields = [("Connection", "close, X-Hop"), ("x-hop", "1"), ("X-Kept", "2")]
        fields += [("Transfer-Encoding", "chunked"), ("Keep-Alive", "1")]
        self.assertEqual(without_connection_headers(fields), [("x-kept", "2")])


class HealthTest(IsolatedAsyncioTestCase):
    async def test_drain_is_followed(self):
        """Guards against new requests to a server that is draining."""
        async with run_server() as (server, plugin):
            server.behaviour.draining = True
            await wait_until(lambda: plugin.draining)
            server.behaviour.draining = False
            await wait_until(lambda: not plugin.draining)

    async def test_own_observations_override_reports(self):
        """Guards against a wrong report that suspends a server that works."""
        async with run_server() as (server, plugin):
            await fetch(plugin, make_request("/x"))
            server.behaviour.healthy = False
            await asyncio.sleep(0.3)
            self.assertTrue(plugin.usable)

    async def test_reported_failure_without_own_success_suspends(self):
        """Guards against a server that reports a failure and still gets requests."""
        async with run_server() as (server, plugin):
            server.behaviour.healthy = False
            await wait_until(lambda: not plugin.usable)


class OutlierTest(TestCase):
    def test_recovery_begins_with_a_trial(self):
        """Guards against a trial that starts too early or survives a failure."""

        async def work():
            detector = OutlierDetector(Backoff(2.0, 30.0, random.Random(1)))
            for _ in range(3):
                detector.record_failed_connect()
            steps = [detector.state, detector.record_report(True)]
            await asyncio.sleep(5)
            steps += [detector.record_report(True), detector.state]
            detector.record_failure()
            steps.append(detector.state)
            await asyncio.sleep(10)
            detector.record_report(True)
            for _ in range(3):
                detector.record_success()
            return [*steps, detector.state]

        suspended, healthy = HealthState.SUSPENDED, HealthState.HEALTHY
        expected = [suspended, False, True, HealthState.TRIAL, suspended, healthy]
        self.assertEqual(run_paused(work()), expected)

    def test_some_failures_do_not_suspend(self):
        """Guards against a server that is suspended although most requests succeed."""

        async def work():
            detector = OutlierDetector()
            for number in range(100):
                if number % 3:
                    detector.record_success()
                else:
                    detector.record_failure()
            early = detector.state
            for _ in range(20):
                detector.record_failure()
            return early, detector.state

        self.assertEqual(
            run_paused(work()), (HealthState.HEALTHY, HealthState.SUSPENDED)
        )


class StandInTest(IsolatedAsyncioTestCase):
    async def test_slots_queue_shed_and_control(self):
        """Guards against a stand-in that reports other slots or sheds than it uses."""
        async with run_server() as (server, plugin), ClientSession() as session:
            url = plugin._address
            change = {"slots": 1, "queue": 1, "reported_busy": 7}
            async with session.post(f"{url}/_control/behaviour", json=change) as answer:
                self.assertEqual((await answer.json())["queue"], 1)
            paths = [f"{url}/x?seconds=0.2&id={number}" for number in range(3)]
            answers = await asyncio.gather(*(session.get(path) for path in paths))
            statuses = sorted(answer.status for answer in answers)
            self.assertEqual(statuses, [200, 200, 503])
            self.assertEqual((server.peak_busy, server.shed), (1, 1))
            async with session.get(f"{url}/load") as answer:
                self.assertEqual((await answer.json())["busy"], 7)
            async with session.get(f"{url}/_control/executions") as answer:
                first, second = await answer.json()
            self.assertEqual(first["outcome"], ExecutionOutcome.FINISHED.value)
            self.assertGreaterEqual(second["start"], first["end"])

    async def test_cold_start_speed_and_deadline(self):
        """Guards against a stand-in that ignores its cold start, speed or deadline."""
        async with run_server() as (server, plugin):
            server.behaviour = Behaviour(cold_seconds=60, cold_factor=20)
            request = make_request("/x?seconds=0.05", seconds=0.2)
            with self.assertRaises(ResultError):
                await fetch(plugin, request)
            server.behaviour = Behaviour(speed=100)
            request = make_request("/x?seconds=5", seconds=0.5)
            self.assertEqual((await fetch(plugin, request))[0], 200)

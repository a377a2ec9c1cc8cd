"""Serving: the answers to callers match what the backend server has run."""

import asyncio
import itertools
import json
import random
from collections import Counter
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from unittest import TestCase
from unittest.mock import Mock, patch
from urllib.parse import parse_qs, urlsplit

from hypothesis import given, settings
from hypothesis import strategies as st
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.sdk.trace.export.in_memory_span_exporter import (
    InMemorySpanExporter,
)
from prometheus_client import CollectorRegistry, generate_latest

from balsamspool.kernel.clock import now
from balsamspool.kernel.errors import Outcome, ResultError
from balsamspool.kernel.identity import Identity, Role
from balsamspool.kernel.keyring import KeyRing, KeySet
from balsamspool.kernel.lifecycle import ProcessState
from balsamspool.plugins.admission import AdmissionPlugin, plugin
from balsamspool.plugins.admission.keys import First, KeyRecord, KeyTable
from balsamspool.plugins.admission.plugin import AdmissionSettings
from balsamspool.plugins.backend import BackendPlugin
from balsamspool.plugins.backend.codes import BACKEND_FAILED, BACKEND_UNREACHABLE
from balsamspool.plugins.configuration import ConfigurationPlugin
from balsamspool.plugins.configuration.settings import ConfigurationSettings
from balsamspool.plugins.membership import MembershipPlugin
from balsamspool.plugins.mesh import MeshPlugin
from balsamspool.plugins.mesh.message import PeerAddress
from balsamspool.plugins.platform import PlatformPlugin, PlatformValue
from balsamspool.plugins.serving.handler import ServingPlugin, ServingSettings
from balsamspool.plugins.serving.keyed import KEY_PATH
from balsamspool.requests.answer import ResponseWriter
from balsamspool.requests.relay import Answered, NotRun, PeerLoad, Unknown
from balsamspool.requests.request import Request
from tests.test_admission_clock import run_paused

SECRET = "33" * 32
_ports = itertools.count(4000)


class FakeKernel:
    """Holds plug-ins without starting sockets."""

    def __init__(self):
        self.keyring = KeyRing(KeySet(1, {"1": SECRET}))
        self.identity = Identity(
            Role.AGENT, "a", "d", "127.0.0.1", 1, next(_ports), 3, random.randbytes(8)
        )
        self.metrics = CollectorRegistry()
        self.state = ProcessState.ACCEPTING
        self.settings = self
        self.plugins = {}

    def section(self, name):
        sections = {
            "admission": AdmissionSettings(0.0),
            "serving": ServingSettings("s"),
        }
        return sections.get(name) or ConfigurationSettings()

    def plugin(self, plugin_type):
        return self.plugins[plugin_type]


class FakeBackend:
    """Records each run; the query of a request sets its duration, answer and fault."""

    def __init__(self):
        self.draining = False
        self.usable = True
        self.runs = Counter()
        self.finished = Counter()
        self.busy = self.peak = 0

    def on_recovery(self, callback):
        pass

    @asynccontextmanager
    async def dispatch(self, request):
        query = {k: v[0] for k, v in parse_qs(urlsplit(request.path).query).items()}
        if "refused" in query:
            raise ResultError(BACKEND_UNREACHABLE, "refused")
        async for _ in request.body:
            pass
        name = query.get("id", request.path)
        self.runs[name] += 1
        self.busy += 1
        self.peak = max(self.peak, self.busy)
        try:
            await asyncio.sleep(float(query.get("seconds", "0.1")))
            if "failed" in query:
                raise ResultError(BACKEND_FAILED, "failed")
            self.finished[name] += 1
            body = [f"run {self.runs[name]} ".encode() * int(query.get("size", "1"))]
            yield FakeAnswer(body, cut="cut" in query)
        finally:
            self.busy -= 1


@dataclass
class FakeAnswer:
    parts: list
    cut: bool
    status: int = 201
    headers: list = field(default_factory=list)

    async def chunks(self):
        for part in self.parts:
            yield part
        if self.cut:
            raise ResultError(BACKEND_FAILED, "cut")


class FakeWriter(ResponseWriter):
    def __init__(self):
        self.status, self.headers, self.body = 0, {}, b""
        self.whole = self.aborted = False

    @property
    def started(self):
        return self.status != 0

    async def start(self, status, headers):
        self.status, self.headers = status, dict(headers)

    async def write(self, data):
        self.body += data
        await asyncio.sleep(0)

    async def finish(self):
        self.whole = True

    async def abort(self, error):
        self.aborted = True

    @property
    def outcome(self):
        own = "balsamspool-result" in self.headers
        return json.loads(self.body)["outcome"] if own else None


class Agent:
    """The plug-ins of one agent beside a fake backend server."""

    def __init__(self, **limits):
        kernel = self.kernel = FakeKernel()
        self.backend = FakeBackend()
        kernel.plugins[MeshPlugin] = Mock()
        kernel.plugins[PlatformPlugin] = Mock()
        kernel.plugins[ConfigurationPlugin] = ConfigurationPlugin(kernel)
        kernel.plugins[MembershipPlugin] = MembershipPlugin(kernel)
        kernel.plugins[BackendPlugin] = self.backend
        kernel.plugins[AdmissionPlugin] = AdmissionPlugin(kernel)
        self.serving = ServingPlugin(kernel)
        routes = [
            {"kind": "request", "path": "/"},
            {"kind": "request", "path": "/ticket", "repeatable": False},
            {"kind": "feed", "path": "/feed"},
        ]
        service = {"number": 1, "address": "127.0.0.1:1", "routes": routes}
        self.text = {
            "format": 1,
            "operator": "o",
            "services": {"s": service | {"limits": limits}},
            "keys": {"active": 1, "secrets": {"1": SECRET}},
            "host_networks": ["127.0.0.0/8"],
        }
        self.offer(1)
        self.address = PeerAddress("127.0.0.1", kernel.identity.peer_port)

    def offer(self, revision):
        configuration = self.kernel.plugins[ConfigurationPlugin]
        configuration.offer(revision, json.dumps(self.text))

    def list_as(self, state):
        identity = self.kernel.identity
        listed = {
            "instance": identity.instance,
            "role": "agent",
            "state": state,
            "failure_domain": "d",
            "address": identity.address,
            "data_port": 1,
            "peer_port": identity.peer_port,
            "admin_port": 3,
            "service": "s",
        }
        value = PlatformValue(1, json.dumps([listed]))
        self.kernel.plugins[MembershipPlugin]._on_value(value)

    async def start(self):
        await self.kernel.plugins[AdmissionPlugin].start()
        await self.serving.start()
        return self

    def call(self, method, path, headers=(), body=b"", relayed=False):
        async def chunks():
            if body:
                yield body

        request = Request(method, path, list(headers), chunks(), relayed=relayed)
        writer = FakeWriter()
        work = self.serving.handle(request, writer)
        return asyncio.create_task(work), writer

    async def fetch(self, *args, **kwargs):
        task, writer = self.call(*args, **kwargs)
        await task
        return writer

    async def key(self):
        answer = await self.fetch("POST", KEY_PATH)
        return [("idempotency-key", json.loads(answer.body)["key"])]


class FakeRelay:
    """Relays to other agents of the same process, if there are any."""

    def __init__(self, *agents, result=None):
        self.agents = {agent.address: agent for agent in agents}
        self.result = result
        self.calls = 0

    def peers(self):
        return [
            PeerLoad(str(address), address, True, 0, 0.0) for address in self.agents
        ]

    async def run_at(self, peer, request, writer, incarnation):
        self.calls += 1
        if self.result is not None:
            return self.result
        if peer not in self.agents:
            return Unknown(BACKEND_FAILED, "unreachable")
        copy = Request(
            request.method, request.path, request.headers, request.body, relayed=True
        )
        try:
            await self.agents[peer].serving.run(copy, writer)
        except ResultError as error:
            if error.code.outcome is Outcome.NOT_RUN and not writer.started:
                return NotRun(error.code, error.detail, error.retry_after)
            return Unknown(error.code, error.detail)
        return Answered()


def run(scenario):
    return run_paused(scenario())


class KeyedTest(TestCase):
    def test_duplicates_wait_and_get_the_same_answer(self):
        """Guards against a duplicate that runs again or gets another answer."""

        async def scenario():
            agent = await Agent().start()
            key = await agent.key()
            calls = [agent.call("POST", "/ticket?seconds=1", key) for _ in range(3)]
            await asyncio.gather(*(task for task, _ in calls))
            late = await agent.fetch("POST", "/ticket?seconds=1", key)
            self.assertEqual(agent.backend.runs.total(), 1)
            answers = [writer for _, writer in calls] + [late]
            self.assertEqual({w.body for w in answers}, {b"run 1 "})
            other = await agent.fetch("POST", "/ticket?seconds=2", key)
            self.assertEqual((other.status, other.outcome), (422, "not-run"))

        run(scenario)

    def test_large_answer_is_streamed_and_reported_as_run(self):
        """Guards against an answer that is cut because it is too large to keep."""

        async def scenario():
            agent = await Agent().start()
            key = await agent.key()
            first = await agent.fetch("POST", "/ticket?size=9000", key)
            self.assertEqual((first.whole, len(first.body)), (True, 54_000))
            again = await agent.fetch("POST", "/ticket?size=9000", key)
            self.assertEqual((again.status, again.outcome), (409, "ran"))

        run(scenario)

    def test_request_continues_after_a_cancel(self):
        """Guards against an unknown outcome of a request that has run."""

        async def scenario():
            agent = await Agent().start()
            key = await agent.key()
            task, _ = agent.call("POST", "/ticket?seconds=1&size=9000", key)
            await asyncio.sleep(0.5)
            task.cancel()
            again = await agent.fetch("POST", "/ticket?seconds=1&size=9000", key)
            self.assertEqual(again.outcome, "ran")
            self.assertEqual(agent.backend.finished.total(), 1)
            self.assertEqual(agent.kernel.plugin(AdmissionPlugin).status()["busy"], 0)

        run(scenario)

    def test_missing_forged_and_foreign_keys(self):
        """Guards against a run whose key has no known issuer."""

        async def scenario():
            agent, other = await Agent().start(), await Agent().start()
            missing = await agent.fetch("POST", "/ticket")
            self.assertEqual((missing.status, missing.outcome), (428, "not-run"))
            forged = await agent.fetch("POST", "/ticket", [("idempotency-key", "abc")])
            self.assertEqual((forged.status, forged.outcome), (400, "not-run"))
            key = await other.key()
            lost = await agent.fetch("POST", "/ticket", key)
            self.assertEqual(lost.outcome, "unknown")
            agent.serving.set_relay(FakeRelay(result=Unknown(BACKEND_FAILED, "")))
            self.assertEqual(
                (await agent.fetch("POST", "/ticket", key)).outcome, "unknown"
            )
            agent.serving.set_relay(FakeRelay(other))
            self.assertEqual((await agent.fetch("POST", "/ticket", key)).status, 201)
            self.assertEqual((await other.fetch("POST", "/ticket", key)).status, 201)
            self.assertEqual((agent.backend.runs.total()), 0)
            self.assertEqual((other.backend.runs.total()), 1)

        run(scenario)

    def test_key_of_an_earlier_incarnation_is_not_run(self):
        """Guards against a second run after a restart on the same address."""

        async def scenario():
            agent, restarted = await Agent().start(), Agent()
            key = await agent.key()
            restarted.serving._keyed._address = agent.address
            await restarted.start()
            answer = await restarted.fetch("POST", "/ticket", key)
            self.assertEqual(answer.outcome, "unknown")
            self.assertEqual(restarted.backend.runs.total(), 0)

        run(scenario)

    def test_incomplete_duplicate_is_not_reported_as_not_run(self):
        """Guards against "not run" for a ticket whose first request has run."""

        async def scenario():
            agent = await Agent().start()
            key = await agent.key()
            large = {"body": bytes(70_000)}
            unused = await agent.fetch("POST", "/ticket", key, **large)
            self.assertEqual((unused.status, unused.outcome), (413, "not-run"))
            self.assertEqual((await agent.fetch("POST", "/ticket", key)).status, 201)
            used = await agent.fetch("POST", "/ticket", key, **large)
            self.assertEqual(used.outcome, "unknown")

        run(scenario)

    def test_leaving_issuer_delegates_once_and_keeps_the_answer(self):
        """Guards against a request that is lost or run twice if the issuer leaves."""

        async def scenario():
            agent, peer = await Agent().start(), await Agent().start()
            agent.serving.set_relay(FakeRelay(peer))
            key = await agent.key()
            agent.kernel.state = ProcessState.LEAVING
            issued = json.loads((await agent.fetch("POST", KEY_PATH)).body)["key"]
            named = peer.kernel.plugin(AdmissionPlugin).key_codec.open(issued)
            self.assertEqual(named.issuer, peer.address)
            calls = [agent.call("POST", "/ticket", key) for _ in range(2)]
            await asyncio.gather(*(task for task, _ in calls))
            self.assertEqual([w.status for _, w in calls], [201, 201])
            self.assertEqual(peer.backend.runs.total(), 1)
            # The peer does not run a request whose caller has forged the internal
            # header field for delegations.
            forged = [*key, ("balsamspool-delegation", "00" * 16)]
            for relayed in (True, False):
                answer = await peer.fetch("POST", "/ticket", forged, relayed=relayed)
                self.assertEqual(answer.outcome, "unknown")
            self.assertEqual(peer.backend.runs.total(), 1)

        run(scenario)


class DispatchTest(TestCase):
    def test_outcomes(self):
        """Guards against "not run" after a dispatch and cut answers that look whole."""

        async def scenario():
            agent = await Agent().start()
            refused = await agent.fetch("GET", "/x?refused=1")
            self.assertEqual(refused.outcome, "not-run")
            failed = await agent.fetch("GET", "/x?failed=1")
            self.assertEqual(failed.outcome, "unknown")
            cut = await agent.fetch("GET", "/x?cut=1")
            self.assertEqual((cut.whole, cut.aborted), (False, True))
            self.assertEqual(agent.kernel.plugin(AdmissionPlugin).status()["busy"], 0)

        run(scenario)

    def test_paused_process_does_not_dispatch_after_the_deadline(self):
        """Guards against a dispatch by a process that was paused in admission."""

        async def scenario():
            agent = await Agent(slots_per_host=1).start()
            first, _ = agent.call("GET", "/x?seconds=1&id=first")
            timeout = [("request-timeout-ms", "3000")]
            second, writer = agent.call("GET", "/x?id=second", timeout)
            await first
            asyncio.get_running_loop().advance(10)
            await second
            self.assertEqual(writer.outcome, "not-run")
            self.assertEqual(agent.backend.runs["second"], 0)

        run(scenario)

    def test_slow_uploader_holds_no_slot(self):
        """Guards against slots that are busy during an upload."""

        async def scenario():
            agent = await Agent(slots_per_host=1).start()

            async def slowly():
                await asyncio.sleep(5)
                yield b"body"

            slow = Request("POST", "/x", [], slowly())
            task = asyncio.create_task(agent.serving.handle(slow, FakeWriter()))
            await asyncio.sleep(1)
            started = now()
            self.assertEqual((await agent.fetch("GET", "/y")).status, 201)
            self.assertLess(now() - started, 0.2)
            await task
            large = await agent.fetch("POST", "/x", body=bytes(70_000))
            self.assertEqual((large.status, large.outcome), (413, "not-run"))

        run(scenario)

    def test_leaving_agent_relays_or_refuses(self):
        """Guards against new requests at a leaving server, for each way of leaving."""

        async def scenario():
            for way in ("process", "text", "list", "backend", "dead"):
                agent, peer = await Agent().start(), await Agent().start()
                match way:
                    case "process":
                        agent.kernel.state = ProcessState.LEAVING
                    case "text":
                        agent.text["draining_hosts"] = ["a"]
                        agent.offer(2)
                    case "list":
                        agent.list_as("leaving")
                    case "backend":
                        agent.backend.draining = True
                    case "dead":
                        agent.backend.usable = False
                alone = await agent.fetch("GET", "/x")
                self.assertEqual((alone.status, alone.outcome), (503, "not-run"), way)
                agent.serving.set_relay(FakeRelay(peer))
                self.assertEqual((await agent.fetch("GET", "/x")).status, 201, way)
                again = await agent.fetch("GET", "/x", relayed=True)
                self.assertEqual(again.outcome, "not-run", way)
                runs = agent.backend.runs.total(), peer.backend.runs.total()
                self.assertEqual(runs, (0, 1), way)

        run(scenario)

    def test_queued_request_is_relayed_when_the_agent_leaves(self):
        """Guards against new requests at a server that began to leave seconds ago."""

        async def scenario():
            agent, peer = await Agent(slots_per_host=1).start(), await Agent().start()
            first, _ = agent.call("GET", "/x?seconds=5")
            second, writer = agent.call("GET", "/x?id=second")
            await asyncio.sleep(1)
            agent.kernel.state = ProcessState.LEAVING
            agent.serving.set_relay(FakeRelay(peer))
            await asyncio.gather(first, second)
            self.assertEqual(writer.status, 201)
            runs = agent.backend.runs["second"], peer.backend.runs["second"]
            self.assertEqual(runs, (0, 1))

        run(scenario)

    def test_refused_connection_is_tried_at_peers_within_bounds(self):
        """Guards against endless attempts and against attempts after a dispatch."""

        async def scenario():
            agents = [await Agent().start() for _ in range(4)]
            agent, *others = agents
            not_run = FakeRelay(*others, result=NotRun(BACKEND_UNREACHABLE, "down"))
            agent.serving.set_relay(not_run)
            answer = await agent.fetch("GET", "/x?refused=1")
            self.assertEqual((answer.outcome, not_run.calls), ("not-run", 2))
            unknown = FakeRelay(*others, result=Unknown(BACKEND_FAILED, "cut"))
            agent.serving.set_relay(unknown)
            answer = await agent.fetch("GET", "/x?refused=1")
            self.assertEqual((answer.outcome, unknown.calls), ("unknown", 1))

        run(scenario)

    def test_metrics_and_span_of_admission(self):
        """Guards against sheds, keys and waits that operators cannot see."""
        exporter, provider = InMemorySpanExporter(), TracerProvider()
        provider.add_span_processor(SimpleSpanProcessor(exporter))

        async def scenario():
            agent = await Agent(slots_per_host=1, queue_per_host=0).start()
            trace = [("traceparent", f"00-{'ab' * 16}-{'cd' * 8}-01")]
            with patch.object(plugin, "_tracer", provider.get_tracer("balsamspool")):
                task, _ = agent.call("POST", "/ticket", trace + await agent.key())
                await asyncio.sleep(0.01)
                shed = await agent.fetch("GET", "/x")
                self.assertEqual((shed.status, shed.headers["retry-after"]), (503, "1"))
                await task
            return generate_latest(agent.kernel.metrics).decode()

        metrics = run(scenario)
        for line in (
            'balsamspool_admission_shed_requests_total{reason="queue-full"} 1.0',
            'balsamspool_admission_keys{state="Done"} 1.0',
            "balsamspool_admission_wait_seconds_count 1.0",
            "balsamspool_admission_busy_slots 0.0",
        ):
            self.assertIn(line, metrics)
        decisions = {s.attributes["decision"]: s for s in exporter.get_finished_spans()}
        self.assertEqual(set(decisions), {"Admit", "Shed"})
        self.assertEqual(decisions["Admit"].context.trace_id, int("ab" * 16, 16))

    def test_drain_waits_for_requests(self):
        """Guards against a planned stop that interrupts a request."""

        async def scenario():
            agent = await Agent().start()
            _, writer = agent.call("GET", "/x?seconds=3")
            await asyncio.sleep(0.1)
            agent.kernel.state = ProcessState.LEAVING
            await agent.serving.drain()
            return writer.whole

        self.assertTrue(run(scenario))

    def test_drain_ends_feeds_only_after_the_limit_of_the_text(self):
        """Guards against a feed that ends too early, and a stop that never ends."""

        async def scenario():
            agent = await Agent().start()
            agent.text["services"]["s"]["drain"] = {"feed_seconds": 60}
            agent.offer(2)
            _, writer = agent.call("GET", "/feed?seconds=1000")
            _, short = agent.call("GET", "/feed?seconds=50")
            await asyncio.sleep(0.1)
            started = now()
            await agent.serving.drain()
            return short.whole, writer.whole, round(now() - started)

        self.assertEqual(run(scenario), (True, False, 60))


@dataclass(frozen=True)
class Call:
    gap: float
    key: int | None
    query: str
    cancel_after: float | None
    pause: float = 0.0


calls = st.lists(
    st.builds(
        Call,
        gap=st.sampled_from([0.0, 0.05, 0.4]),
        key=st.sampled_from([None, 0, 0, 1]),
        query=st.sampled_from(["", "&seconds=1", "&failed=1", "&refused=1", "&cut=1"]),
        cancel_after=st.sampled_from([None, None, 0.0, 0.02, 0.3, 1.0]),
        # The process is paused, sometimes until all keys have expired.
        pause=st.sampled_from([0.0, 0.0, 0.0, 0.0, 15.0, 700.0]),
    ),
    max_size=16,
)


async def run_calls(schedule):
    """Run a schedule and return where runs and answers contradict each other."""
    agent = await Agent(slots_per_host=2, queue_per_host=2).start()
    keys = [await agent.key() for _ in range(2)]
    queries, observed, problems, tasks = {}, [], [], []
    for number, call in enumerate(schedule):
        await asyncio.sleep(call.gap)
        asyncio.get_running_loop().advance(call.pause)
        if call.key is None:
            name = f"plain-{number}"
            path, headers = f"/x?id={name}{call.query}", []
        else:
            name = f"key-{call.key}"
            query = queries.setdefault(call.key, call.query)
            path, headers = f"/ticket?id={name}{query}", keys[call.key]
        task, writer = agent.call("POST", path, headers)
        earlier_runs = agent.backend.runs[name]
        if call.cancel_after is not None:
            asyncio.get_running_loop().call_later(call.cancel_after, task.cancel)
        tasks.append(task)
        observed.append((name, writer, earlier_runs))
    await asyncio.gather(*tasks, return_exceptions=True)
    await agent.serving.drain()
    for name, writer, earlier_runs in observed:
        runs = agent.backend.runs[name]
        if runs > 1:
            problems.append(f"{name} ran {runs} times")
        if writer.whole and writer.outcome == "not-run" and earlier_runs:
            problems.append(f"{name} was reported as not run after it ran")
        if writer.whole and writer.outcome == "not-run" and runs and "plain" in name:
            problems.append(f"{name} was reported as not run")
        if writer.whole and writer.outcome is None and writer.body != b"run 1 ":
            problems.append(f"{name} got another answer")
    if agent.backend.peak > 2:
        problems.append("more requests than slots")
    if agent.kernel.plugin(AdmissionPlugin).status()["busy"]:
        problems.append("a slot is lost")
    return problems


class HistoryTest(TestCase):
    @settings(max_examples=250, derandomize=True, deadline=None)
    @given(schedule=calls)
    def test_answers_match_what_has_run(self, schedule):
        """Guards against second runs, false "not run", and lost or doubled slots."""
        self.assertEqual(run_paused(run_calls(schedule)), [])

    def test_planted_faults_are_caught(self):
        """Guards against a history check that never fails."""
        twice = [Call(0.0, 0, "&seconds=1", None)] * 2
        failing = [Call(0.0, None, "&failed=1", None)]
        with patch.object(
            KeyTable, "claim", lambda _, key, digest: First(KeyRecord(digest, 0))
        ):
            self.assertTrue(run_paused(run_calls(twice)))
        with patch(f"{__name__}.BACKEND_FAILED", BACKEND_UNREACHABLE):
            self.assertTrue(run_paused(run_calls(failing)))

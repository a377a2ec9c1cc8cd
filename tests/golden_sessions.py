"""Records the messages between the parts of a system in sessions, for golden files.

``python -m tests.golden_sessions write`` rewrites the files. One process runs an entry,
two agents and the stand-ins on loopback. A message is recorded when it is sent. Equal
datagrams of a flow between two parts are recorded only once, because their number
depends on timing. Ports, keys and times are replaced by fixed names.
"""

import asyncio
import json
import re
import sys
import tempfile
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path
from socket import SOCK_DGRAM, SOCK_STREAM
from typing import Any

from balsamspool.kernel.identity import Role
from balsamspool.kernel.lifecycle import Kernel
from balsamspool.kernel.registry import load_plugins, plugins_of
from balsamspool.kernel.settings import check_settings
from balsamspool.plugins.configuration import ConfigurationPlugin
from balsamspool.plugins.forwarding import ReturnPathPlugin
from balsamspool.plugins.forwarding.entry import EntryPlugin
from balsamspool.plugins.forwarding.envelope import Forward, Return, TracedForward
from balsamspool.plugins.frontend import FrontendPlugin
from balsamspool.plugins.membership import MembershipPlugin
from balsamspool.plugins.mesh import MeshPlugin
from balsamspool.plugins.relay import RelayPlugin
from balsamspool.plugins.relay.messages import (
    RelayBody,
    RelayData,
    RelayEnd,
    RelayHead,
    RelayNotRun,
    RelayRequest,
)
from standins.backend_server import BackendServerStandIn
from standins.caller import CallerConnection, open_caller
from standins.certificate import write_certificate
from standins.fleet import SECRET, serve
from standins.platform import PlatformStandIn
from standins.ports import ADDRESS, free_port

GOLDEN = Path(__file__).resolve().parent / "golden"
KEY_PATH = "/.well-known/balsamspool/request-key"
_SHOWN_HEADERS = frozenset(("idempotency-key", "balsamspool-result"))
_RELAYED = (RelayRequest, RelayBody, RelayHead, RelayData, RelayEnd, RelayNotRun)


class RecordingBackend(BackendServerStandIn):
    """Backend server stand-in that records the requests that it receives."""

    record: Callable[..., None]

    async def _answer(self, request: Any) -> Any:
        self.record(
            self.name.replace("backend", "agent"),
            self.name,
            method=request.method,
            path=request.path_qs,
            headers=_shown_headers(request.headers),
        )
        return await super()._answer(request)


class Session:
    """An entry, two agents and callers, with the recorded messages between them."""

    def __init__(self, stack: AsyncExitStack, folder: Path) -> None:
        self.messages: list[dict[str, Any]] = []
        self.kernels: dict[str, Kernel] = {}
        self.platform = PlatformStandIn()
        self._stack = stack
        self._folder = folder
        self._names: dict[int, str] = {}
        self._keys: dict[str, str] = {}
        self._recorded_datagrams: set[tuple[str, str, int, int]] = set()
        self._service_port = free_port(SOCK_DGRAM)

    async def start(self) -> None:
        """Start all processes and wait until they have found each other."""
        load_plugins()
        names = ("entry", "agent-1", "agent-2")
        listed = {name: self._listed(name) for name in names}
        self.text = self._text()
        await self.publish()
        await self.platform.publish("instances", json.dumps(list(listed.values())))
        # The entry's list contains only agent-1, so that agent-1 is the first host of
        # each flow. Processes do not pass their instance lists on to each other.
        platform = PlatformStandIn()
        await platform.publish("configuration", json.dumps(self.text))
        known = [listed["entry"], listed["agent-1"]]
        await platform.publish("instances", json.dumps(known))
        entry_port = await self._serve(platform.application())
        agent_port = await self._serve(self.platform.application())
        for name in names:
            port = entry_port if name == "entry" else agent_port
            await self._start_process(name, listed[name], port)
        await until(
            lambda: all(p.ready for k in self._all_kernels() for p in _plugins(k))
        )
        relay = self.kernels["agent-1"].plugin(RelayPlugin)
        await until(lambda: any(peer.accepting for peer in relay.peers()))
        await until(self._entries_probed)

    async def publish(self) -> int:
        """Publish the configuration text and return its revision."""
        return await self.platform.publish("configuration", json.dumps(self.text))

    def record(self, sender: str, receiver: str, **fields: Any) -> None:
        """Record a message."""
        self.messages.append({"from": sender, "to": receiver} | fields)

    async def open(self) -> CallerConnection:
        """Open a connection as a new caller."""
        self.record("caller", "entry", message="open connection")
        opened = open_caller(ADDRESS, self._service_port)
        return await self._stack.enter_async_context(opened)

    async def send_request(
        self,
        caller: CallerConnection,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> Any:
        """Send a request, record it with its answer, and return the answer's body."""
        self.record(
            "caller",
            "agent",
            method=method,
            path=path,
            headers=_shown_headers(headers or {}),
        )
        answer = await caller.request(method, path, headers, body)
        content = json.loads(bytes(answer.body))
        if "key" in content:
            self._keys[content["key"]] = f"KEY-{len(self._keys) + 1}"
        self.record(
            "agent",
            "caller",
            status=answer.status,
            headers=_shown_headers(answer.headers),
            body=content,
        )
        return content

    def lines(self) -> str:
        """Return the messages as normalised JSON lines."""
        text = "\n".join(json.dumps(m, sort_keys=True) for m in self.messages)
        for key, name in self._keys.items():
            text = text.replace(key, name)
        text = re.sub(r'("traceparent"): "[^"]*"', r'\1: "TRACE"', text)
        text = re.sub(r'("timeout_ms"): "\d+"', r'\1: "MILLISECONDS"', text)
        return text + "\n"

    async def _serve(self, application: Any) -> int:
        port = free_port()
        runner = await serve(application, port)
        self._stack.push_async_callback(runner.cleanup)
        return port

    def _all_kernels(self) -> list[Kernel]:
        return list(self.kernels.values())

    def _entries_probed(self) -> bool:
        return all(
            kernel.plugin(ReturnPathPlugin).status()["entries"]
            for name, kernel in self.kernels.items()
            if name != "entry"
        )

    def _listed(self, name: str) -> dict[str, Any]:
        role = name.split("-")[0]
        record = {
            "instance": name,
            "role": role,
            "state": "live",
            "failure_domain": "hall-a",
            "address": ADDRESS,
        }
        for port in ("data_port", "peer_port", "admin_port"):
            kind = SOCK_DGRAM if port == "data_port" else SOCK_STREAM
            record[port] = free_port(kind)
            self._names[record[port]] = name
        return record | ({"service": "portal"} if role == "agent" else {})

    def _text(self) -> dict[str, Any]:
        routes = [
            {"kind": "request", "path": "/ticket", "repeatable": False},
            {"kind": "request", "path": "/"},
        ]
        portal = {
            "number": 1,
            "address": f"{ADDRESS}:{self._service_port}",
            "routes": routes,
        }
        return {
            "format": 1,
            "operator": "golden",
            "services": {"portal": portal},
            "keys": {"active": 1, "secrets": {"1": SECRET}},
            "host_networks": ["127.0.0.0/8"],
        }

    async def _start_process(
        self, name: str, listed: dict[str, Any], platform_port: int
    ) -> None:
        fields = {k: listed[k] for k in listed if k not in ("role", "state", "service")}
        settings: dict[str, Any] = {
            "process": fields | {"keys": self.text["keys"]},
            "platform": {"addresses": [f"http://{ADDRESS}:{platform_port}"]},
        }
        role = Role(listed["role"])
        if role is Role.AGENT:
            settings |= await self._agent_settings(name)
        types = {e.name: e.plugin.settings_type for e in plugins_of(role)}
        kernel = self.kernels[name] = Kernel(role, check_settings(settings, types))
        kernel.plugin(MembershipPlugin).wants_text = lambda: False
        self._record_sends(name, kernel)
        await kernel.start()
        self._stack.push_async_callback(kernel.stop)

    async def _agent_settings(self, name: str) -> dict[str, Any]:
        certificate, key = write_certificate(self._folder)
        backend = RecordingBackend(name.replace("agent", "backend"))
        backend.record = self.record
        port = await self._serve(backend.application())
        return {
            "serving": {"service": "portal"},
            "backend": {"host": ADDRESS, "port": port},
            "frontend": {"certificate": str(certificate), "private_key": str(key)},
        }

    def _record_sends(self, name: str, kernel: Kernel) -> None:
        if kernel.identity.role is Role.ENTRY:
            entry = kernel.plugin(EntryPlugin)
            entry._send_to_agent = self._recording_send(name, entry._send_to_agent)  # noqa: SLF001
        else:
            path = kernel.plugin(ReturnPathPlugin)
            path._send = self._recording_send(name, path._send)  # noqa: SLF001
        mesh = kernel.plugin(MeshPlugin)
        enqueue = mesh._enqueue  # noqa: SLF001

        def recording_enqueue(peer: Any, body: Any, incarnation: Any) -> Any:
            if isinstance(body, _RELAYED):
                to = self._names[peer.peer_port]
                self.record(name, to, message=type(body).__name__)
            return enqueue(peer, body, incarnation)

        mesh._enqueue = recording_enqueue  # noqa: SLF001

    def _recording_send(
        self, name: str, send: Callable[..., None]
    ) -> Callable[..., None]:
        def recording_send(envelope: Any, to: tuple[str, int]) -> None:
            match envelope:
                case Forward() | TracedForward():
                    forward = getattr(envelope, "forward", envelope)
                    hops_and_port = (forward.hops, forward.caller_port)
                    self._record_datagram(name, to[1], "Forward", *hops_and_port)
                case Return(caller_port=caller):
                    self._record_datagram(name, to[1], "Return", 0, caller)
            send(envelope, to)

        return recording_send

    def _record_datagram(
        self, name: str, port: int, message: str, hops: int, caller: int
    ) -> None:
        to = self._names[port]
        datagram = (name, to, hops, caller)
        if datagram not in self._recorded_datagrams:
            self._recorded_datagrams.add(datagram)
            self.record(name, to, message=message, hops=hops)


async def ordinary_request(session: Session) -> None:
    """Requests that the host of the flow answers."""
    caller = await session.open()
    await session.send_request(caller, "GET", "/any?id=1")
    await session.send_request(caller, "GET", "/any?id=2")


async def repeated_submission(session: Session) -> None:
    """A ticket that is submitted twice with one request key, and once without."""
    caller = await session.open()
    key = (await session.send_request(caller, "POST", KEY_PATH))["key"]
    headers = {"idempotency-key": key}
    for _ in range(2):
        await session.send_request(caller, "POST", "/ticket?id=1", headers, b"{}")
    await session.send_request(caller, "POST", "/ticket?id=2", {}, b"{}")


async def drain(session: Session) -> None:
    """A drained host relays requests of open flows and hands new flows over."""
    caller = await session.open()
    await session.send_request(caller, "GET", "/any?id=before")
    # The entry keeps its old view, like a paused process.
    entry = session.kernels["entry"]
    entry.plugin(ConfigurationPlugin).offer = lambda *_: None
    entry.plugin(MembershipPlugin).record_signal = lambda *_: None
    session.text["draining_hosts"] = ["agent-1"]
    revision = await session.publish()
    session.record("platform", "agent-1", draining_hosts=["agent-1"])
    for name in ("agent-1", "agent-2"):
        configuration = session.kernels[name].plugin(ConfigurationPlugin)
        await until(lambda c=configuration: c.status()["revision"] == revision)
    frontend = session.kernels["agent-1"].plugin(FrontendPlugin)
    await until(lambda: frontend.leaving)
    await session.send_request(caller, "GET", "/any?id=relayed")
    fresh = await session.open()
    await session.send_request(fresh, "GET", "/any?id=handed-over")


async def refused_text(session: Session) -> None:
    """The last valid text stays in force when an invalid text is published."""
    session.text["services"]["portal"]["number"] = -1
    revision = await session.publish()
    session.record("platform", "agent-1", revision=revision, services="number -1")
    configuration = session.kernels["agent-1"].plugin(ConfigurationPlugin)
    await until(lambda: configuration.status()["rejected_revision"] == revision)
    status = configuration.status()
    shown = ("revision", "rejected_revision", "rejected_detail")
    session.record("agent-1", "operator", **{name: status[name] for name in shown})
    caller = await session.open()
    await session.send_request(caller, "GET", "/any?id=1")


SESSIONS = (ordinary_request, repeated_submission, drain, refused_text)


async def until(condition: Callable[[], bool], seconds: float = 10.0) -> None:
    """Wait for a condition."""
    async with asyncio.timeout(seconds):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


async def run_session(scenario: Callable[[Session], Awaitable[None]]) -> str:
    """Run a session and return its messages as JSON lines."""
    with tempfile.TemporaryDirectory(prefix="balsamspool-") as folder:
        async with AsyncExitStack() as stack:
            session = Session(stack, Path(folder))
            await session.start()
            await scenario(session)
            return session.lines()


def golden_path(scenario: Callable[[Session], Awaitable[None]]) -> Path:
    """Return the golden file of a session."""
    return GOLDEN / f"{scenario.__name__}.jsonl"


def _plugins(kernel: Kernel) -> list[Any]:
    return list(kernel.plugins.values())


def _shown_headers(headers: Any) -> dict[str, str]:
    return {n.lower(): v for n, v in headers.items() if n.lower() in _SHOWN_HEADERS}


if __name__ == "__main__" and sys.argv[1:] == ["write"]:
    GOLDEN.mkdir(exist_ok=True)
    for scenario in SESSIONS:
        golden_path(scenario).write_text(asyncio.run(run_session(scenario)))

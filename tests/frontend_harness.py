"""The agent's front end and its callers in one process, without a network.

Tests and ``benchmarks/agent_flows.py`` use it.
"""

import asyncio
import json
import ssl
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from aioquic.h3.connection import H3Connection
from aioquic.h3.events import DataReceived, HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import (
    ConnectionTerminated,
    HandshakeCompleted,
    ProtocolNegotiated,
    StopSendingReceived,
    StreamReset,
)

from balsamspool.kernel.clock import now
from balsamspool.kernel.identity import Role
from balsamspool.kernel.lifecycle import Kernel
from balsamspool.kernel.registry import load_plugins, plugins_of
from balsamspool.kernel.settings import check_settings
from balsamspool.plugins.configuration import ConfigurationPlugin
from balsamspool.plugins.forwarding import ReturnPathPlugin
from balsamspool.plugins.forwarding.envelope import Forward, TracedForward
from balsamspool.plugins.frontend import FrontendPlugin
from balsamspool.plugins.routing import RoutingPlugin
from balsamspool.plugins.serving import ServingPlugin
from balsamspool.requests import Request, ResponseWriter
from standins.certificate import write_certificate

SECRET = "5a" * 32
SERVICE = 1
ENTRY = ("127.0.0.2", 4100)
CALLER = ("192.0.2.1", 5000)
SERVER = ("192.0.2.200", 443)

Address = tuple[str, int]
Handler = Callable[[Request, ResponseWriter], Awaitable[None]]


async def answer_ok(request: Request, writer: ResponseWriter) -> None:
    """Read the body and answer with its size."""
    size = 0
    async for chunk in request.body:
        size += len(chunk)
    body = str(size).encode()
    await writer.start(200, [("content-length", str(len(body)))])
    await writer.write(body)
    await writer.finish()


class AgentHarness:
    """The plug-ins of an agent, of which only the front end is started.

    Args:
        folder: Folder for the certificate.
        service: Additional fields of the service in the configuration text.
        frontend: Additional settings of the front end.
    """

    def __init__(
        self,
        folder: Path,
        service: dict[str, Any] | None = None,
        frontend: dict[str, Any] | None = None,
    ) -> None:
        load_plugins()
        certificate, key = write_certificate(folder)
        settings = {
            "process": {
                "instance": "agent-1",
                "failure_domain": "hall-a",
                "address": "127.0.0.1",
                "data_port": 4001,
                "peer_port": 4002,
                "admin_port": 4003,
                "keys": {"active": 1, "secrets": {"1": SECRET}},
            },
            "platform": {"addresses": ["http://127.0.0.1:9"]},
            "serving": {"service": "portal"},
            "backend": {"host": "127.0.0.1", "port": 9},
            "frontend": {"certificate": str(certificate), "private_key": str(key)}
            | (frontend or {}),
        }
        types = {e.name: e.plugin.settings_type for e in plugins_of(Role.AGENT)}
        self.kernel = Kernel(Role.AGENT, check_settings(settings, types))
        self.frontend = self.kernel.plugin(FrontendPlugin)
        self.return_path = self.kernel.plugin(ReturnPathPlugin)
        self.codec = self.kernel.plugin(RoutingPlugin).codec
        self.return_path.send = self._send_to_caller
        self.kernel.plugin(ServingPlugin).handle = self._handle
        self.handler: Handler = answer_ok
        self.callers: dict[Address, MemoryCaller] = {}
        self.sent: list[tuple[Address, bytes, Address]] = []
        self.keep_sent = True
        self.lost_entries: set[Address] = set()
        self.revision = 0
        self.text = {
            "format": 1,
            "operator": "test",
            "services": {
                "portal": {
                    "number": SERVICE,
                    "address": "127.0.0.1:443",
                    "routes": [
                        {"kind": "feed", "path": "/feed"},
                        {"kind": "request", "path": "/"},
                    ],
                }
                | (service or {})
            },
            "keys": {"active": 1, "secrets": {"1": SECRET}},
            "host_networks": ["127.0.0.0/8"],
        }
        self.publish()

    def publish(self) -> None:
        """Put the configuration text in force."""
        self.revision += 1
        configuration = self.kernel.plugin(ConfigurationPlugin)
        configuration.offer(self.revision, json.dumps(self.text))

    def deliver(
        self,
        payload: bytes,
        caller: Address = CALLER,
        entry: Address = ENTRY,
        hops: int = 0,
        trace: tuple[bytes, bytes] | None = None,
    ) -> None:
        """Deliver a caller's datagram to the agent, as an entry does."""
        forward = Forward(SERVICE, *caller, hops, payload)
        traced = TracedForward(forward, *trace) if trace else None
        self.return_path._deliver(forward, entry, traced)  # noqa: SLF001

    def metric(self, name: str, **labels: str) -> float:
        """Return the value of a metric."""
        return self.kernel.metrics.get_sample_value(name, labels) or 0.0

    async def _handle(self, request: Request, writer: ResponseWriter) -> None:
        await self.handler(request, writer)

    def _send_to_caller(
        self, service: int, caller: Address, payload: bytes, entry: Address
    ) -> None:
        if self.keep_sent:
            self.sent.append((caller, payload, entry))
        receiver = self.callers.get(caller)
        if receiver is not None and entry not in self.lost_entries:
            asyncio.get_running_loop().call_soon(receiver.receive, payload)


class MemoryCaller:
    """A caller of the agent under test.

    Args:
        agent: The agent.
        address: Address of the caller.
        **options: Fields of the QUIC configuration.
    """

    def __init__(
        self, agent: AgentHarness, address: Address = CALLER, **options: Any
    ) -> None:
        self.agent = agent
        self.address = address
        configuration = QuicConfiguration(
            is_client=True,
            alpn_protocols=["h3"],
            verify_mode=ssl.CERT_NONE,
            server_name="balsamspool.example",
            **options,
        )
        self.tickets: list[Any] = []
        self.quic = QuicConnection(
            configuration=configuration, session_ticket_handler=self.tickets.append
        )
        self.http: H3Connection | None = None
        self.connected = False
        self.early_data_accepted = False
        self.terminated: ConnectionTerminated | None = None
        self.heads: dict[int, dict[str, str]] = {}
        self.bodies: dict[int, bytearray] = {}
        self.ended: set[int] = set()
        self.resets: dict[int, int] = {}
        self.stops: dict[int, int] = {}
        self.paused = False
        agent.callers[address] = self

    def start(self, trace: tuple[bytes, bytes] | None = None) -> None:
        """Send the opening packet."""
        self.quic.connect(SERVER, now())
        self.flush(trace=trace)

    async def connect(self) -> None:
        """Open the connection."""
        self.start()
        await self.until(lambda: self.http is not None and self.connected)

    def move(self, address: Address) -> None:
        """Change the address of the caller."""
        self.agent.callers.pop(self.address, None)
        self.address = address
        self.agent.callers[address] = self

    def flush(self, trace: tuple[bytes, bytes] | None = None) -> None:
        """Send the pending datagrams."""
        for payload, _ in self.quic.datagrams_to_send(now()):
            self.agent.deliver(payload, self.address, trace=trace)

    def receive(self, payload: bytes) -> None:
        """Receive a datagram of the agent."""
        if self.paused:
            return
        self.quic.receive_datagram(payload, SERVER, now())
        self._handle_events()

    def _handle_events(self) -> None:
        while (event := self.quic.next_event()) is not None:
            self._handle(event)
        self.flush()

    def request(
        self,
        method: str = "GET",
        path: str = "/any",
        headers: list[tuple[bytes, bytes]] | None = None,
        body: bytes | None = None,
        end: bool = True,
    ) -> int:
        """Send a request and return its stream ID."""
        fields = [
            (b":method", method.encode()),
            (b":scheme", b"https"),
            (b":authority", b"balsamspool.example"),
            (b":path", path.encode()),
        ]
        return self.send_fields(fields + (headers or []), body, end)

    def send_fields(
        self,
        fields: list[tuple[bytes, bytes]],
        body: bytes | None = None,
        end: bool = True,
    ) -> int:
        """Send header fields as they are and return the stream ID."""
        assert self.http is not None
        stream_id = self.quic.get_next_available_stream_id()
        self.http.send_headers(stream_id, fields, end_stream=end and body is None)
        if body is not None:
            self.http.send_data(stream_id, body, end_stream=end)
        self.flush()
        return stream_id

    async def answer(self, stream_id: int) -> tuple[int, bytes]:
        """Wait for a complete answer and return status and body."""
        await self.until(lambda: stream_id in self.ended)
        status = int(self.heads[stream_id][":status"])
        return status, bytes(self.bodies.get(stream_id, b""))

    async def until(self, condition: Callable[[], bool], seconds: float = 5.0) -> None:
        """Wait for a condition while the connection's timers run."""
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.002)
                timer = self.quic.get_timer()
                if timer is not None and timer <= now():
                    self.quic.handle_timer(now())
                    self._handle_events()

    def _handle(self, event: object) -> None:
        match event:
            case ProtocolNegotiated():
                self.http = H3Connection(self.quic)
            case HandshakeCompleted(early_data_accepted=accepted):
                self.connected = True
                self.early_data_accepted = accepted
            case ConnectionTerminated():
                self.terminated = event
            case StreamReset(error_code=code, stream_id=stream_id):
                self.resets[stream_id] = code
            case StopSendingReceived(error_code=code, stream_id=stream_id):
                self.stops[stream_id] = code
        if self.http is None:
            return
        for http_event in self.http.handle_event(event):
            match http_event:
                case HeadersReceived(headers=fields, stream_id=stream_id):
                    head = {n.decode(): v.decode() for n, v in fields}
                    self.heads[stream_id] = head
                    if http_event.stream_ended:
                        self.ended.add(stream_id)
                case DataReceived(data=data, stream_id=stream_id):
                    self.bodies.setdefault(stream_id, bytearray()).extend(data)
                    if http_event.stream_ended:
                        self.ended.add(stream_id)

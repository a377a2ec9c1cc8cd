"""Accepts connections and hands each datagram to the task of its connection."""

import asyncio
import logging

from aioquic.buffer import Buffer
from aioquic.quic.packet import (
    QuicHeader,
    QuicPacketType,
    encode_quic_retry,
    encode_quic_version_negotiation,
    pull_quic_header,
)

from balsamspool.kernel.clock import now
from balsamspool.kernel.identity import Role
from balsamspool.kernel.lifecycle import Kernel, ProcessState
from balsamspool.kernel.registry import Plugin, register
from balsamspool.plugins.admission import AdmissionPlugin
from balsamspool.plugins.backend import BackendPlugin
from balsamspool.plugins.configuration import Configuration, ConfigurationPlugin
from balsamspool.plugins.configuration.text import Service
from balsamspool.plugins.forwarding import ReturnPathPlugin
from balsamspool.plugins.forwarding.envelope import Forward, TracedForward
from balsamspool.plugins.frontend._metrics import FrontendMetrics
from balsamspool.plugins.frontend._quic import TokenQuicConnection
from balsamspool.plugins.frontend._retry import RetryTokens
from balsamspool.plugins.frontend._spans import connection_span
from balsamspool.plugins.frontend._table import ConnectionTable
from balsamspool.plugins.frontend.connection import Address, Connection
from balsamspool.plugins.frontend.events import (
    CONNECTION_CLOSED,
    CONNECTION_FAILED,
    CONNECTION_OPENED,
    DATAGRAM_FAILED,
    DRAIN_ENDED,
    DRAIN_STARTED,
)
from balsamspool.plugins.frontend.opening import (
    AcceptOpening,
    HandOverOpening,
    RefuseOpening,
    ValidateAddress,
)
from balsamspool.plugins.frontend.opening_policy import (
    MIN_OPENING_BYTES,
    HandshakeLimits,
    OpeningPolicy,
)
from balsamspool.plugins.frontend.settings import FrontendSettings
from balsamspool.plugins.frontend.tls import quic_configuration
from balsamspool.plugins.membership import MembershipPlugin, Signal
from balsamspool.plugins.membership.signals import SignalState
from balsamspool.plugins.routing import FlowKey, RoutingPlugin, TokenCheck
from balsamspool.plugins.routing.token import TOKEN_BYTES
from balsamspool.plugins.routing.token_check import (
    ForeignToken,
    NoToken,
    OwnToken,
    TokenMismatch,
)
from balsamspool.plugins.serving import ServingPlugin

_logger = logging.getLogger(__name__)

# Time in which the connections that a stopping process closes send their last packets.
STOP_SECONDS = 1.0


@register(
    "frontend",
    roles=[Role.AGENT],
    requires=[
        "configuration",
        "membership",
        "routing",
        "return-path",
        "admission",
        "backend",
        "serving",
        "relay",
    ],
)
class FrontendPlugin(Plugin):
    """Terminates the QUIC connections of the callers.

    Args:
        kernel: Kernel that runs the plug-in.
    """

    settings_type = FrontendSettings

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        settings: FrontendSettings = kernel.settings.section("frontend")
        self._handshake_seconds = settings.handshake_seconds
        self._quic = quic_configuration(
            settings.certificate, settings.private_key, settings.idle_seconds
        )
        codec = kernel.plugin(RoutingPlugin).codec
        self._return_path = kernel.plugin(ReturnPathPlugin)
        self._serving = kernel.plugin(ServingPlugin)
        self._configuration = kernel.plugin(ConfigurationPlugin)
        self._membership = kernel.plugin(MembershipPlugin)
        self._metrics = FrontendMetrics(kernel.metrics)
        identity = kernel.identity
        self._table = ConnectionTable(identity, codec)
        self._token_check = TokenCheck(
            codec, identity.address, identity.data_port, identity.incarnation
        )
        self._retry = RetryTokens(kernel.keyring)
        self._admission = kernel.plugin(AdmissionPlugin)
        self._backend = kernel.plugin(BackendPlugin)
        limits = HandshakeLimits(settings.max_handshakes, settings.retry_handshakes)
        self._opening_policy = OpeningPolicy(kernel, codec, self._retry, limits)
        self._tasks: set[asyncio.Task[None]] = set()
        self._handshakes: set[Connection] = set()
        self._leaving = False
        self._active_key = self._current_key()

    @property
    def leaving(self) -> bool:
        """Whether new connections are refused because this host is leaving."""
        return self._leaving

    @property
    def token_check(self) -> TokenCheck:
        """Checks whether a connection ID names this process."""
        return self._token_check

    @property
    def table(self) -> ConnectionTable:
        """Open connections."""
        return self._table

    async def start(self) -> None:
        """Register for datagrams of the return path and for changes of the state."""
        self._return_path.on_forward(self._on_forward)
        self._return_path.set_signal_source(self._signal)
        self._configuration.subscribe(self._on_configuration)
        self._membership.subscribe(self._update_leaving)
        self._backend.on_draining(self._update_leaving)

    async def drain(self) -> None:
        """Refuse new connections and wait until the open ones are closed."""
        self._update_leaving()
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def stop(self) -> None:
        """Close the remaining connections."""
        for connection in self._table.connections:
            connection.close()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=STOP_SECONDS)

    def status(self) -> dict[str, object]:
        """Return the number of connections and whether new ones are refused."""
        connections = self._table.connections
        return {
            "connections": len(connections),
            "handshakes": len(self._handshakes),
            "requests": sum(c.open_requests for c in connections),
            "leaving": self._leaving,
        }

    def _on_forward(
        self, forward: Forward, entry: Address, traced: TracedForward | None
    ) -> None:
        self._metrics.datagrams_in.inc()
        try:
            self._process_forward(forward, entry, traced)
        except Exception as error:
            # No connection owns the datagram yet, so only the datagram is lost.
            self._drop("internal-error")
            DATAGRAM_FAILED.log(_logger, error=repr(error))

    def _process_forward(
        self, forward: Forward, entry: Address, traced: TracedForward | None
    ) -> None:
        service = self._service()
        if service is None or service.number != forward.service:
            self._drop("wrong-service")
            return
        try:
            header = pull_quic_header(Buffer(data=forward.payload), TOKEN_BYTES)
        except ValueError:
            self._drop("not-quic")
            return
        if self._is_foreign_version(header):
            self._negotiate_version(forward, header, entry)
            return
        caller = (forward.caller_address, forward.caller_port)
        if self._names_other_process(forward.service, header):
            self._drop("foreign-token")
            return
        connection = self._table.find(header.destination_cid, caller)
        if connection is None:
            connection = self._open_connection(forward, header, entry, traced)
        caller_entry = entry if forward.hops == 0 else None
        if connection is not None and not connection.receive(
            forward.payload, caller, caller_entry
        ):
            self._drop("inbox-full")

    def _is_foreign_version(self, header: QuicHeader) -> bool:
        return (
            header.version is not None
            and header.version not in self._quic.supported_versions
        )

    def _negotiate_version(
        self, forward: Forward, header: QuicHeader, entry: Address
    ) -> None:
        # Small packets get no answer, so that this agent does not amplify traffic.
        # Version negotiation packets get none, so that this agent and another server do
        # not answer each other in a loop.
        if (
            header.packet_type is QuicPacketType.VERSION_NEGOTIATION
            or len(forward.payload) < MIN_OPENING_BYTES
        ):
            self._drop("unknown-version")
            return
        packet = encode_quic_version_negotiation(
            source_cid=header.destination_cid,
            destination_cid=header.source_cid,
            supported_versions=self._quic.supported_versions,
        )
        self._reply(forward, packet, entry)

    def _names_other_process(self, service: int, header: QuicHeader) -> bool:
        match self._token_check.check(header.destination_cid, service):
            case OwnToken() | NoToken():
                return False
            case ForeignToken(TokenMismatch.INCARNATION):
                # The connection ID of a packet with a Retry token may come from a Retry
                # that this agent sent before it restarted.
                return not header.token
            case ForeignToken():
                return True

    def _open_connection(
        self,
        forward: Forward,
        header: QuicHeader,
        entry: Address,
        traced: TracedForward | None,
    ) -> Connection | None:
        match self._opening_policy.decide(
            forward, header, len(self._table), len(self._handshakes)
        ):
            case AcceptOpening() as accepted:
                return self._accept_connection(
                    forward, header.destination_cid, accepted, traced
                )
            case ValidateAddress():
                self._send_retry(forward, header, entry)
            case HandOverOpening(peer):
                self._metrics.handed_over.inc()
                self._return_path.hand_over(forward, peer)
            case RefuseOpening(reason):
                self._drop(reason.value)
        return None

    def _signal(self) -> Signal:
        accepting = self._kernel.state is ProcessState.ACCEPTING
        accepts_flows = accepting and not self._leaving and self._serving.accepting
        state = SignalState.ACCEPTING if accepts_flows else SignalState.LEAVING
        return Signal(state, self._admission.load)

    def _send_retry(self, forward: Forward, header: QuicHeader, entry: Address) -> None:
        assert header.version is not None
        caller = (forward.caller_address, forward.caller_port)
        retry_id = self._table.new_id(forward.service)
        packet = encode_quic_retry(
            version=header.version,
            source_cid=retry_id,
            destination_cid=header.source_cid,
            original_destination_cid=header.destination_cid,
            retry_token=self._retry.create(
                caller, header.destination_cid, retry_id, now()
            ),
        )
        self._metrics.retries.inc()
        self._reply(forward, packet, entry)

    def _accept_connection(
        self,
        forward: Forward,
        opening_id: bytes,
        accepted: AcceptOpening,
        traced: TracedForward | None,
    ) -> Connection:
        service_number = forward.service
        caller = (forward.caller_address, forward.caller_port)
        issued: list[bytes] = []
        connection: Connection | None = None

        def issue_id() -> bytes:
            connection_id = self._table.new_id(service_number)
            if connection is None:
                issued.append(connection_id)
            else:
                self._table.add_id(connection, connection_id)
            return connection_id

        def send(datagram: bytes, to: Address, entry: Address) -> None:
            self._metrics.datagrams_out.inc()
            self._return_path.send(service_number, to, datagram, entry)

        span = connection_span(traced)
        connection = Connection(
            TokenQuicConnection(
                self._quic, accepted.original_id, issue_id, accepted.retry_id
            ),
            self._return_path.open_route(FlowKey(service_number, *caller)),
            self._service,
            self._serving,
            send,
            lambda: self._handshakes.discard(connection),
            lambda connection_id: self._table.retire(connection, connection_id),
            self._metrics,
            span,
            self._handshake_seconds,
        )
        self._table.add(connection, opening_id, caller)
        for connection_id in issued:
            self._table.add_id(connection, connection_id)
        self._handshakes.add(connection)
        self._metrics.connections.inc()
        CONNECTION_OPENED.log(_logger, caller=caller)
        coroutine = self._run(connection, opening_id, caller)
        task = self._kernel.spawn(coroutine, f"connection {caller}")
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(lambda _: span.end())
        return connection

    async def _run(
        self, connection: Connection, opening_id: bytes, caller: Address
    ) -> None:
        started = now()
        try:
            await connection.run()
        except Exception as error:
            # A fault in one connection must not end the process and all others.
            self._metrics.connection_failures.inc()
            CONNECTION_FAILED.log(_logger, caller=caller, error=repr(error))
        finally:
            self._table.remove(connection, opening_id, caller)
            self._handshakes.discard(connection)
            self._metrics.connections.dec()
            CONNECTION_CLOSED.log(_logger, seconds=round(now() - started, 3))

    def _reply(self, forward: Forward, packet: bytes, entry: Address) -> None:
        if forward.hops:
            # An agent handed this packet over. Agents cannot send to callers, so the
            # reply goes through an entry.
            flow = FlowKey(forward.service, forward.caller_address, forward.caller_port)
            found = self._return_path.open_route(flow).current()
            if found is None:
                self._drop("no-entry")
                return
            entry = found
        caller = (forward.caller_address, forward.caller_port)
        self._metrics.datagrams_out.inc()
        self._return_path.send(forward.service, caller, packet, entry)

    def _drop(self, reason: str) -> None:
        self._metrics.dropped.labels(reason).inc()

    def _service(self) -> Service | None:
        return self._configuration.service(self._serving.service_name)

    def _on_configuration(self, configuration: Configuration) -> None:
        # Entries drop packets whose connection ID uses a removed key, so open
        # connections must use IDs of the active key before the operator removes the
        # previous key.
        key = self._current_key()
        if key == self._active_key:
            return
        self._active_key = key
        for connection in self._table.connections:
            connection.renew_ids()

    def _current_key(self) -> tuple[int, bytes]:
        keyring = self._kernel.keyring
        return keyring.active, keyring.key(keyring.active, "token", 16)

    def _update_leaving(self) -> None:
        leaving = self._serving.leaving
        if leaving == self._leaving:
            return
        self._leaving = leaving
        if not leaving:
            DRAIN_ENDED.log(_logger)
            return
        connections = self._table.connections
        DRAIN_STARTED.log(_logger, connections=len(connections))
        service = self._service()
        feed_seconds = service.drain.feed_seconds if service is not None else 0.0
        for connection in connections:
            connection.drain(feed_seconds)

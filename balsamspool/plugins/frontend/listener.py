"""Accepts connections and hands each datagram to the task of its connection."""

import logging

from aioquic.buffer import Buffer
from aioquic.quic.packet import QuicPacketType, pull_quic_header
from prometheus_client import Counter, Gauge

from balsamspool.kernel.clock import now
from balsamspool.kernel.identity import Role
from balsamspool.kernel.lifecycle import Kernel
from balsamspool.kernel.registry import Plugin, register
from balsamspool.kernel.settings import Section
from balsamspool.plugins.configuration import ConfigurationPlugin
from balsamspool.plugins.forwarding import ReturnPathPlugin
from balsamspool.plugins.forwarding.envelope import Forward, TracedForward
from balsamspool.plugins.frontend._quic import TokenQuicConnection
from balsamspool.plugins.frontend.connection import Address, Connection
from balsamspool.plugins.frontend.events import CONNECTION_CLOSED, CONNECTION_OPENED
from balsamspool.plugins.frontend.tls import quic_configuration
from balsamspool.plugins.routing import RoutingPlugin, RoutingToken
from balsamspool.plugins.routing.token import (
    INCARNATION_BYTES,
    MAX_SERIAL,
    TOKEN_BYTES,
)
from balsamspool.plugins.serving import ServingPlugin

_logger = logging.getLogger(__name__)


class FrontendSettings(Section, frozen=True):
    """Settings of the front end.

    Attributes:
        certificate: Path of the certificate chain in PEM form.
        private_key: Path of the private key in PEM form.
    """

    certificate: str
    private_key: str


class _Flow:
    """A connection and the entry through which it is answered."""

    __slots__ = ("connection", "entry", "known_ids")

    def __init__(self, entry: Address) -> None:
        self.entry = entry
        self.connection: Connection | None = None
        self.known_ids: set[bytes] = set()


@register(
    "frontend",
    roles=[Role.AGENT],
    requires=["configuration", "routing", "return-path", "serving"],
)
class FrontendPlugin(Plugin):
    """Ends the QUIC connections of the callers.

    Args:
        kernel: Kernel that runs the plug-in.
    """

    settings_type = FrontendSettings

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        settings: FrontendSettings = kernel.settings.section("frontend")
        self._quic = quic_configuration(settings.certificate, settings.private_key)
        self._routing = kernel.plugin(RoutingPlugin)
        self._return_path = kernel.plugin(ReturnPathPlugin)
        self._serving = kernel.plugin(ServingPlugin)
        self._configuration = kernel.plugin(ConfigurationPlugin)
        self._flows: dict[bytes, _Flow] = {}
        self._serial = 0
        self._open = Gauge(
            "balsamspool_frontend_connections",
            "Open connections",
            registry=kernel.metrics,
        )
        self._dropped = Counter(
            "balsamspool_frontend_dropped_datagrams",
            "Datagrams dropped",
            ["reason"],
            registry=kernel.metrics,
        )

    async def start(self) -> None:
        """Take datagrams from the return path."""
        self._return_path.on_forward(self._on_forward)

    def _on_forward(
        self, forward: Forward, entry: Address, traced: TracedForward | None
    ) -> None:
        service = self._configuration.service(self._serving.service_name)
        if service is None or service.number != forward.service:
            self._dropped.labels("wrong-service").inc()
            return
        try:
            header = pull_quic_header(Buffer(data=forward.payload), TOKEN_BYTES)
        except ValueError:
            self._dropped.labels("not-quic").inc()
            return
        flow = self._flows.get(header.destination_cid)
        if flow is None:
            if header.packet_type is not QuicPacketType.INITIAL:
                self._dropped.labels("unknown-connection").inc()
                return
            flow = self._accept(forward, header.destination_cid, entry)
        if forward.hops == 0:
            flow.entry = entry
        if flow.connection is not None:
            flow.connection.receive(forward.payload)

    def _accept(self, forward: Forward, original_id: bytes, entry: Address) -> _Flow:
        flow = _Flow(entry)
        service = forward.service
        caller = (forward.caller_address, forward.caller_port)
        quic = TokenQuicConnection(
            self._quic, original_id, lambda: self._issue_id(service, flow)
        )
        flow.connection = Connection(
            quic,
            caller,
            self._serving,
            lambda datagram: self._return_path.send(
                service, caller, datagram, flow.entry
            ),
        )
        self._flows[original_id] = flow
        flow.known_ids.add(original_id)
        self._open.inc()
        CONNECTION_OPENED.log(_logger, caller=caller)
        self._kernel.spawn(self._run(flow, flow.connection), f"connection {caller}")
        return flow

    async def _run(self, flow: _Flow, connection: Connection) -> None:
        started = now()
        try:
            await connection.run()
        finally:
            for connection_id in flow.known_ids:
                self._flows.pop(connection_id, None)
            self._open.dec()
            CONNECTION_CLOSED.log(_logger, seconds=round(now() - started, 3))

    def _issue_id(self, service: int, flow: _Flow) -> bytes:
        identity = self._kernel.identity
        self._serial = (self._serial + 1) & MAX_SERIAL
        token = RoutingToken(
            address=identity.address,
            data_port=identity.data_port,
            service=service,
            incarnation=identity.incarnation[:INCARNATION_BYTES],
            serial=self._serial,
        )
        connection_id = self._routing.codec.encode(token)
        self._flows[connection_id] = flow
        flow.known_ids.add(connection_id)
        return connection_id

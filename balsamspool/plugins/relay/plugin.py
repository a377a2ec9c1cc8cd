"""Plug-in that relays requests between the agents of a service."""

import asyncio
from math import inf

from prometheus_client import Counter, Gauge

from balsamspool.kernel.clock import now
from balsamspool.kernel.identity import Role
from balsamspool.kernel.lifecycle import Kernel
from balsamspool.kernel.registry import Plugin, register
from balsamspool.plugins.admission import AdmissionPlugin
from balsamspool.plugins.backend import BackendPlugin
from balsamspool.plugins.configuration import ConfigurationPlugin
from balsamspool.plugins.membership import MembershipPlugin
from balsamspool.plugins.mesh import MeshPlugin, Message, PeerAddress
from balsamspool.plugins.relay.client import RelayClient
from balsamspool.plugins.relay.load import (
    ACCEPTING,
    LEAVING,
    LoadTable,
    PeerSample,
)
from balsamspool.plugins.relay.messages import (
    LoadReport,
    RelayBody,
    RelayCancel,
    RelayCredit,
    RelayData,
    RelayEnd,
    RelayFailed,
    RelayHead,
    RelayHeartbeat,
    RelayNotRun,
    RelayRequest,
)
from balsamspool.plugins.relay.server import RelayServer
from balsamspool.plugins.serving import ServingPlugin
from balsamspool.requests.answer import ResponseWriter
from balsamspool.requests.relay import PeerLoad, RelayResult
from balsamspool.requests.request import Request

HEARTBEAT_SECONDS = 1.0
# Load assumed for a peer that has not reported its load.
MAX_LOAD = 255

_TO_SERVER = (RelayRequest, RelayBody, RelayCancel)
_TO_CLIENT = (RelayHead, RelayData, RelayEnd, RelayFailed, RelayNotRun)
_TO_BOTH = (RelayCredit, RelayHeartbeat)


@register(
    "relay",
    roles=[Role.AGENT],
    requires=["mesh", "admission", "serving", "membership", "configuration", "backend"],
)
class RelayPlugin(Plugin):
    """Sends requests to peers, and runs the requests that peers send.

    Args:
        kernel: Kernel that runs the plug-in.
    """

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._mesh = kernel.plugin(MeshPlugin)
        self._serving = kernel.plugin(ServingPlugin)
        self._membership = kernel.plugin(MembershipPlugin)
        self._client = RelayClient(self._mesh, kernel.identity.incarnation)
        self._server = RelayServer(
            self._mesh,
            self._serving.run,
            kernel.spawn,
            lambda: self._serving.leaving,
        )
        self._loads = LoadTable()
        self._sample = PeerSample()
        # Peers in the instance list. They are cached, because scanning the list for
        # each request would take time in proportion to the size of the fleet.
        self._listed_peers: list[PeerLoad] = []
        self._leaving_peers: set[PeerAddress] = set()
        self._reported_accepting = True
        self._admission = kernel.plugin(AdmissionPlugin)
        self._results = Counter(
            "balsamspool_relay_finished_requests",
            "Requests relayed to peers by result",
            ["result"],
            registry=kernel.metrics,
        )
        self._received_bytes = Counter(
            "balsamspool_relay_received_bytes",
            "Bytes of relayed bodies received",
            ["kind"],
            registry=kernel.metrics,
        )
        progress = Gauge(
            "balsamspool_relay_progress_requests",
            "Relayed requests in progress",
            ["side"],
            registry=kernel.metrics,
        )
        progress.labels("issuer").set_function(lambda: self._client.in_progress)
        progress.labels("peer").set_function(lambda: self._server.in_progress)

    async def start(self) -> None:
        """Subscribe to messages and start heartbeats and load reports."""
        for body_type in _TO_SERVER:
            self._mesh.subscribe(body_type, self._on_request_message)
        for body_type in _TO_CLIENT:
            self._mesh.subscribe(body_type, self._on_answer_message)
        for body_type in _TO_BOTH:
            self._mesh.subscribe(body_type, self._on_shared_message)
        self._mesh.subscribe(LoadReport, self._on_load_report)
        self._serving.set_relay(self)
        self._membership.subscribe(self._refresh)
        self._kernel.plugin(ConfigurationPlugin).subscribe(lambda _: self._refresh())
        self._kernel.plugin(BackendPlugin).on_draining(self._refresh)
        self._refresh()
        self._kernel.spawn(self._send_heartbeats(), "relay heartbeats")
        self._kernel.spawn(self._report_loads(), "load reports")

    async def drain(self) -> None:
        """Report to peers that this agent is leaving, and wait for their requests."""
        self._report_to_peers()
        await self._server.wait_idle()

    def status(self) -> dict[str, object]:
        """Return the number of relayed requests and of peers with known load."""
        return {
            "issued": self._client.in_progress,
            "running": self._server.in_progress,
            "known_loads": len(self._loads.loads(now())),
        }

    async def run_at(
        self,
        peer: PeerAddress,
        request: Request,
        writer: ResponseWriter,
        incarnation: bytes | None,
    ) -> RelayResult:
        """Run a request at a peer and write its answer; see ``Relay``.

        Without an incarnation, the request is bound to the incarnation that last
        reported its load from that address, if there is one.
        """
        bound = incarnation or self._loads.incarnation(peer, now())
        result = await self._client.run(peer, request, writer, bound)
        self._results.labels(type(result).__name__).inc()
        return result

    def peers(self) -> list[PeerLoad]:
        """Return the peers of this service, with their reported load if it is known.

        Before the first reports, and after a pause of this process, no load is known.
        The listed peers without a report are then included, so that a request that
        must not run here can be sent to any of them.
        """
        loads = self._loads.loads(now())
        known = [peer for peer in loads if peer.address not in self._leaving_peers]
        if any(peer.accepting for peer in known):
            return known
        reported = {peer.address for peer in known}
        return known + [
            peer for peer in self._listed_peers if peer.address not in reported
        ]

    def _on_request_message(self, message: Message) -> None:
        if isinstance(message.body, RelayBody):
            self._received_bytes.labels("request").inc(len(message.body.data))
        self._server.receive(message)

    def _on_answer_message(self, message: Message) -> None:
        if isinstance(message.body, RelayData):
            self._received_bytes.labels("answer").inc(len(message.body.data))
        self._client.receive(message)

    def _on_shared_message(self, message: Message) -> None:
        if message.body.relay.issuer == self._kernel.identity.incarnation:
            self._client.receive(message)
        else:
            self._server.receive(message)

    def _on_load_report(self, message: Message) -> None:
        self._loads.record_report(message, now())

    def _own_report(self) -> LoadReport:
        state = ACCEPTING if self._serving.accepting else LEAVING
        return LoadReport(state, self._admission.load, self._admission.expected_wait)

    def _peer_addresses(self) -> list[PeerAddress]:
        return [peer.address for peer in self._listed_peers]

    def _refresh(self) -> None:
        # A change of the accepting state is reported immediately, because several hosts
        # may leave together. Until the next report, these hosts would relay requests to
        # each other, and a request that two of them refuse is answered "not run".
        self._refresh_peers()
        if self._serving.accepting != self._reported_accepting:
            self._reported_accepting = self._serving.accepting
            self._report_to_peers()

    def _report_to_peers(self) -> None:
        for peer in self._peer_addresses():
            self._mesh.send(peer, self._own_report())

    def _refresh_peers(self) -> None:
        own = self._kernel.identity.instance
        self._leaving_peers = {
            PeerAddress(host.address, host.peer_port)
            for host in self._membership.instances
            if host.service == self._serving.service_name
            and not self._membership.accepts(host)
        }
        self._listed_peers = [
            PeerLoad(
                host.instance,
                PeerAddress(host.address, host.peer_port),
                accepting=True,
                load=MAX_LOAD,
                expected_wait=inf,
            )
            for host in self._membership.hosts(self._serving.service_name)
            if host.instance != own
        ]

    async def _report_loads(self) -> None:
        while True:
            await asyncio.sleep(self._sample.next_delay())
            self._refresh()
            for peer in self._sample.choose(self._peer_addresses()):
                self._mesh.send(peer, self._own_report())

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            self._client.send_heartbeats()
            self._server.send_heartbeats()

"""Plug-in of the entry: forwards packets of callers to the agents of hosts."""

import asyncio
import logging
import socket

from balsamspool.datagram._codec import decode, service_number
from balsamspool.datagram.events import (
    FLOW_MOVED,
    HOST_AVOIDED,
)
from balsamspool.datagram.explanation import EXPLAIN_PATH
from balsamspool.datagram.messages import (
    ANY_SERVICE,
    FlowEnded,
    FlowLocated,
    PacketReturned,
    QueryTerms,
    Readers,
    Report,
    WorkReport,
)
from balsamspool.datagram.packet import (
    Packet,
    PacketCodec,
    flow_id,
)
from balsamspool.datagram.settings import DatagramEntrySettings
from balsamspool.datagram.sockets import Address, BatchSocket, DatagramSockets
from balsamspool.kernel.clock import now
from balsamspool.kernel.identity import Role
from balsamspool.kernel.lifecycle import Kernel
from balsamspool.kernel.recent import RecentCache
from balsamspool.kernel.registry import JsonPage, Plugin, register
from balsamspool.kernel.settings import split_endpoint
from balsamspool.placement.load import LoadBoard
from balsamspool.placement.opening import Choice
from balsamspool.plugins.catalog import CatalogPlugin
from balsamspool.plugins.datagram_entry.decision_log import HOST_GONE, DecisionLog
from balsamspool.plugins.datagram_entry.explainer import FlowExplainer
from balsamspool.plugins.datagram_entry.flow import EntryFlow
from balsamspool.plugins.datagram_entry.forwarder import Forwarder
from balsamspool.plugins.datagram_entry.opening_log import OpeningLog
from balsamspool.plugins.datagram_entry.openings import (
    AwaitCatalog,
    Ignore,
    OpeningPolicy,
    PlaceAt,
    Reject,
)
from balsamspool.plugins.datagram_entry.presence import HostPresence
from balsamspool.plugins.datagram_entry.search import FlowSearch
from balsamspool.plugins.datagram_entry.search_budget import SearchBudget
from balsamspool.plugins.datagram_entry.subscriptions import Subscriptions
from balsamspool.plugins.datagram_entry.terms import TermsSender

_logger = logging.getLogger(__name__)

# Maximum number of flows in each of the two generations of the flow table.
MAX_KNOWN_FLOWS = 65_536
# Maximum number of agents named in a forwarded packet.
MAX_ALTERNATIVES = 12
# Maximum number of packets that wait for the first catalog.
MAX_WAITING_PACKETS = 1_024
# A stopping entry forwards packets for at least ROTATION_SECONDS, because the fabric
# takes the entry out of rotation after two missed probes. Then the entry stops when no
# packet of a caller has arrived for QUIET_SECONDS, and after LINGER_SECONDS in any
# case.
LINGER_SECONDS = 2.5
ROTATION_SECONDS = 1.2
QUIET_SECONDS = 0.4


@register(
    "datagram-entry",
    roles=[Role.DATAGRAM_ENTRY],
    requires=["packet-codec", "datagram-sockets", "catalog", "admin"],
)
class DatagramEntryPlugin(Plugin):
    """Chooses a host for each flow and forwards its packets there.

    Args:
        kernel: Kernel that runs the plug-in.
    """

    settings_type = DatagramEntrySettings

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        settings: DatagramEntrySettings = kernel.settings.section("datagram-entry")
        identity = kernel.identity
        self._caller_address = split_endpoint(settings.address)
        self._peer_address = (identity.address, identity.data_port)
        self._link_mbps = settings.link_mbps
        self._failure_domain = identity.failure_domain
        self._codec = kernel.plugin(PacketCodec)
        self._catalog = kernel.plugin(CatalogPlugin)
        self._board = LoadBoard()
        self._openings = OpeningPolicy(
            self._catalog, self._board, identity.failure_domain
        )
        self._opening_log = OpeningLog(self._catalog, kernel.counters)
        self._presence = HostPresence(self._catalog, self._board)
        self._explainer = FlowExplainer(kernel, self._catalog, self._board)
        self._log = DecisionLog(self._catalog, self._board, kernel.counters)
        self._flows: RecentCache[EntryFlow] = RecentCache(MAX_KNOWN_FLOWS)
        self._caller_socket: BatchSocket
        self._peer_socket: BatchSocket
        self._last_packet = 0.0
        # Packets that wait for the first catalog.
        self._waiting_packets: list[Packet] = []
        self._catalog.view.subscribe(self._on_catalog)
        counters = kernel.counters
        self._malformed = counters.counter(
            "balsamspool_datagram_malformed", "Datagrams that could not be read"
        )

    async def start(self) -> None:
        """Open the sockets and start forwarding."""
        sockets = self._kernel.plugin(DatagramSockets)
        self._peer_socket = sockets.open(self._peer_address, self._on_peer)
        self._caller_socket = sockets.open(self._caller_address, self._on_caller)
        self._forwarder = Forwarder(
            self._peer_socket,
            self._caller_socket,
            self._codec,
            self._kernel.counters,
            self._peer_address,
            self._caller_address[1],
        )
        self._search = FlowSearch(
            self._catalog,
            self._board,
            self._flows,
            self._codec,
            self._forwarder,
            self._kernel.counters,
            self._log,
            self._failure_domain,
            SearchBudget(self._link_mbps, self._kernel.counters),
        )
        self._terms = TermsSender(
            self._catalog,
            self._peer_socket,
            self._peer_address[1],
            self._kernel.counters,
        )
        self._subscriptions = Subscriptions(
            self._kernel, self._catalog, self._board, self._peer_socket, self._terms
        )
        self._peer_socket.start()
        self._caller_socket.start()
        self._kernel.supervise(self._subscriptions.run, "load subscriptions")

    async def drain(self) -> None:
        """Keep forwarding until the fabric has taken this process out of rotation."""
        start = now()
        await asyncio.sleep(ROTATION_SECONDS)
        while now() - start < LINGER_SECONDS:
            if now() - self._last_packet > QUIET_SECONDS:
                return
            await asyncio.sleep(QUIET_SECONDS / 4)

    def status(self) -> dict[str, object]:
        """Return the number of known flows and the avoided hosts."""
        servers = self._catalog.view.servers
        return {
            "flows": len(self._flows),
            "avoided": [s.name for s in servers if self._board.avoided(s.address)],
            **self._log.status(),
        }

    def json_pages(self) -> dict[str, JsonPage]:
        """Return the page that explains where a new flow would go."""
        return {EXPLAIN_PATH: self._explainer.page}

    def _on_catalog(self) -> None:
        view = self._catalog.view
        if self._waiting_packets and view.table is not None:
            # The waiting packets are handled after the other records of this catalog
            # update have been applied.
            asyncio.get_running_loop().call_soon(self._handle_waiting)

    def _on_caller(self, data: bytes, sender: Address) -> None:
        packet = self._codec.decode(data)
        if packet is None or packet.accepts or packet.returned:
            self._malformed.value += 1
            return
        self._last_packet = now()
        if self._catalog.view.table is None:
            self._keep_waiting(packet)
        else:
            self._handle(packet)

    def _keep_waiting(self, packet: Packet) -> None:
        """Keep a packet until the first catalog, as its caller would resend it late."""
        if len(self._waiting_packets) < MAX_WAITING_PACKETS:
            self._waiting_packets.append(packet)
        else:
            self._opening_log.overflowed()

    def _handle_waiting(self) -> None:
        """Handle the packets that waited for the first catalog."""
        waiting, self._waiting_packets = self._waiting_packets, []
        for packet in waiting:
            self._handle(packet)

    def _handle(self, packet: Packet) -> None:
        if packet.opens:
            self._on_opening(packet)
            return
        flow = self._flows.get(packet.flow_from_caller)
        if flow is None or (flow.confirmed and self._is_outdated(flow)):
            self._search.search(packet)
        elif flow.confirmed and self._presence.is_gone(packet, flow):
            self._search.reset_lost(packet, HOST_GONE)
        elif flow.confirmed:
            flow.used_at = now()
            self._forwarder.forward(packet, flow.service, flow.hosts, unconfirmed=False)
        else:
            self._search.continue_search(packet, flow)

    def _on_opening(self, packet: Packet) -> None:
        key = packet.flow_from_caller
        match self._openings.decide(key, packet.attempt):
            case PlaceAt() as place:
                self._place(packet, key, place)
            case Reject(reason):
                self._forwarder.reset(packet)
                self._opening_log.rejected(key, reason)
            case Ignore(reason):
                self._opening_log.ignored(key, reason)
            case AwaitCatalog():
                self._keep_waiting(packet)

    def _place(self, packet: Packet, key: bytes, place: PlaceAt) -> None:
        choices = place.choices
        number = service_number(place.service)
        for choice in choices:
            self._terms.notify_warming(place.route, choice.server)
        known_flow = self._flows.get(key)
        if known_flow is not None and packet.attempt:
            self._forward_copy(packet, known_flow, number, choices)
            return
        hosts = tuple(socket.inet_aton(c.server.address) for c in choices)
        flow = EntryFlow(number, hosts)
        self._flows.put(key, flow)
        self._log.reopened(key)
        self._board.record_placed(choices[0].server.address, now())
        self._forwarder.forward(packet, flow.service, hosts, unconfirmed=True)
        self._opening_log.placed(key, place)

    def _forward_copy(
        self, packet: Packet, flow: EntryFlow, service: int, choices: list[Choice]
    ) -> None:
        """Forward a copy of an opening packet, to another host if none is confirmed."""
        key = packet.flow_from_caller
        if flow.confirmed:
            self._forwarder.forward(packet, flow.service, flow.hosts, unconfirmed=False)
            return
        tried = flow.hosts[: packet.attempt]
        usable = [socket.inet_aton(c.server.address) for c in choices]
        fresh = [host for host in usable if host not in tried] or usable
        # A host that received an earlier copy of the packet may still answer, so the
        # hosts in `tried` stay at the head of the list for later packets of the flow.
        flow.hosts = (*tried, *fresh)[:MAX_ALTERNATIVES]
        if flow.service != service:
            # The route was directed to another service since the first copy, whose host
            # may still open the flow.
            flow.service = ANY_SERVICE
        self._forwarder.forward(packet, service, tuple(fresh), unconfirmed=True)
        FLOW_MOVED.log(
            _logger,
            flow=flow_id(key),
            to=socket.inet_ntoa(fresh[0]),
            attempt=packet.attempt,
            tried=[socket.inet_ntoa(host) for host in tried],
        )

    def _is_outdated(self, flow: EntryFlow) -> bool:
        """Return whether a flow may have ended since its last packet here.

        Its packets may have passed other entries, and its caller may use the port for a
        new flow, which is open at another host.
        """
        table = self._catalog.view.table
        return table is not None and now() - flow.used_at > table.idle_seconds

    def _on_peer(self, data: bytes, sender: Address) -> None:
        match decode(data):
            case Report(load) | WorkReport(load):
                if self._board.record(sender[0], load, now()):
                    HOST_AVOIDED.log(
                        _logger, address=sender[0], responsive=load.responsive
                    )
                self._log.reported(sender[0], load)
            case FlowLocated(key):
                self._on_located(key, sender[0])
            case FlowEnded(key):
                self._log.released(key, self._flows.get(key), sender[0])
                self._flows.discard(key)
            case PacketReturned() as returned:
                self._search.on_returned(returned, sender[0])
            case QueryTerms() as query:
                self._terms.answer(query, sender[0])
            case Readers() as readers:
                self._subscriptions.record_readers(readers, sender[0])
            case _:
                self._malformed.value += 1

    def _on_located(self, key: bytes, agent: str) -> None:
        flow = self._flows.get(key)
        self._subscriptions.record_flow_at(agent)
        self._log.located(key, flow, agent)
        host = socket.inet_aton(agent)
        if flow is None:
            flow = EntryFlow(ANY_SERVICE, (host,), True, now(), now())
            self._flows.put(key, flow)
            return
        flow.used_at = now()
        if not flow.confirmed or flow.hosts[0] != host:
            flow.confirmed_at = now()
        flow.hosts = (host,)
        flow.confirmed = True
        if self._is_of_another_service(agent, flow):
            # The flow may have opened at this host under an earlier route table. If its
            # packets carried the number of another service, the agent of the host would
            # deliver them only while the agent knows the flow.
            flow.service = ANY_SERVICE

    def _is_of_another_service(self, agent: str, flow: EntryFlow) -> bool:
        listed = self._catalog.view.listed_at(agent)
        return any(service_number(s.service) != flow.service for s in listed)

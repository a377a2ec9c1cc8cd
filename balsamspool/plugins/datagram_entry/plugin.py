"""Plug-in of the entry: forwards packets of callers to the agents of hosts."""

import asyncio
import logging
import socket
from contextlib import suppress

from msgspec import Struct

from balsamspool.datagram._codec import (
    decode,
    encode_small,
    forward_head,
    service_number,
)
from balsamspool.datagram.events import (
    FLOW_FOUND,
    FLOW_IGNORED,
    FLOW_MOVED,
    FLOW_PLACED,
    FLOW_REJECTED,
    FLOW_RESET,
    FLOW_SEARCHED,
    FLOW_UNKNOWN,
    HOST_AVOIDED,
)
from balsamspool.datagram.messages import (
    ANY_SERVICE,
    FlowEnded,
    FlowLocated,
    Forward,
    PacketReturned,
    Report,
    Subscribe,
)
from balsamspool.datagram.packet import (
    Packet,
    PacketCodec,
    address_of,
    flow_id,
    port_of,
)
from balsamspool.datagram.settings import (
    DatagramSettings,
)
from balsamspool.datagram.sockets import Address, BatchSocket
from balsamspool.kernel.clock import now
from balsamspool.kernel.identity import Role
from balsamspool.kernel.lifecycle import Kernel
from balsamspool.kernel.recent import Recent
from balsamspool.kernel.registry import Plugin, register
from balsamspool.kernel.settings import split_endpoint
from balsamspool.placement.load import LoadBoard
from balsamspool.placement.lookup import order_lookup
from balsamspool.placement.opening import Choice, order_choices
from balsamspool.placement.rendezvous import choose_target
from balsamspool.plugins.catalog import BackendServer, CatalogPlugin, Route

_logger = logging.getLogger(__name__)

# In each of two generations.
MAX_KNOWN_FLOWS = 65_536
SUBSCRIBE_SECONDS = 1.0
SUBSCRIBE_PAUSE_SECONDS = 0.1
# Two lost renewals do not end a subscription.
LEASE_SECONDS = 3.5
MAX_SUBSCRIPTIONS = 512
# Agents named in a forwarded packet.
MAX_ALTERNATIVES = 12
# Flows that wait for another reading of the catalog.
MAX_MISSING = 4_096
# Packets that wait for the first catalog.
MAX_HELD = 1_024
# An agent that just started may have missed a search, and callers wait ever longer
# between their own retransmissions.
SEARCH_RETRY_SECONDS = (0.1, 0.15, 0.25)
# A stopping entry goes on while callers send packets, at most for so long. The fabric
# takes it out of rotation after two missed probes.
LINGER_SECONDS = 2.5
ROTATION_SECONDS = 1.2
QUIET_SECONDS = 0.4


class EntryFlow(Struct):
    """Where a flow is, as far as the entry knows.

    Attributes:
        service: Number of the service to which it was opened.
        hosts: Addresses of the agents that may hold it, the likeliest first, 4 octets
            each.
        confirmed: Whether the first of them said that it holds the flow.
        searched: Event loop time in seconds at which the last search for it began,
            None if none did.
        exhaustive: Whether that search asks every listed host.
        missing_since: Event loop time in seconds at which the first search ended
            without a host, None if none did.
    """

    service: int
    hosts: tuple[bytes, ...]
    confirmed: bool = False
    searched: float | None = None
    exhaustive: bool = False
    missing_since: float | None = None


@register(
    "datagram-entry",
    roles=[Role.DATAGRAM_ENTRY],
    requires=["packet-codec", "catalog", "admin"],
)
class DatagramEntryPlugin(Plugin):
    """Chooses a host for each flow and forwards its packets there.

    Args:
        kernel: Kernel that runs the plug-in.
    """

    settings_type = DatagramSettings

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        settings: DatagramSettings = kernel.settings.section("datagram-entry")
        identity = kernel.identity
        self._caller_address = split_endpoint(settings.address)
        self._caller_port = split_endpoint(settings.address)[1]
        self._peer_address = (identity.address, identity.data_port)
        self._failure_domain = identity.failure_domain
        self._origin = socket.inet_aton(identity.address)
        self._codec = kernel.plugin(PacketCodec)
        self._catalog = kernel.plugin(CatalogPlugin)
        self._board = LoadBoard()
        self._flows: Recent[EntryFlow] = Recent(MAX_KNOWN_FLOWS)
        self._caller_socket: BatchSocket
        self._peer_socket: BatchSocket
        self._last_packet = 0.0
        self._servers_changed = asyncio.Event()
        # Addresses of hosts that were removed from the catalog a short time ago.
        self._gone: set[str] = set()
        # Packets of flows that wait for another reading of the catalog.
        self._missing: dict[bytes, Packet] = {}
        # Packets that wait for the first catalog.
        self._held: list[Packet] = []
        self._catalog.view.subscribe(self._on_catalog)
        self._catalog.refresher.subscribe(self._search_missing)
        counters = kernel.counters
        self._malformed = counters.counter(
            "balsamspool_datagram_malformed", "Datagrams that could not be read"
        )
        packets = "balsamspool_datagram_packets"
        text = "Packets by what was done with them"
        self._forwarded = counters.counter(packets, text, "forwarded")
        self._placed = counters.counter(packets, text, "placed")
        self._searched = counters.counter(packets, text, "searched")
        self._retried = counters.counter(packets, text, "search-retried")
        self._came_back = counters.counter(packets, text, "returned-by-agent")
        self._unknown = counters.counter(packets, text, "unknown-flow")
        self._rejected = counters.counter(packets, text, "rejected")
        self._resets = counters.counter(packets, text, "reset")
        self._ignored = counters.counter(packets, text, "ignored")

    async def start(self) -> None:
        """Open the sockets and begin to forward."""
        self._peer_socket = BatchSocket(self._peer_address, self._on_peer)
        self._caller_socket = BatchSocket(self._caller_address, self._on_caller)
        self._peer_socket.start()
        self._caller_socket.start()
        self._kernel.spawn(self._subscribe(), "load subscriptions")

    async def drain(self) -> None:
        """Go on until the fabric has taken this process out of rotation."""
        start = now()
        await asyncio.sleep(ROTATION_SECONDS)
        while now() - start < LINGER_SECONDS:
            if now() - self._last_packet > QUIET_SECONDS:
                return
            await asyncio.sleep(QUIET_SECONDS / 4)

    async def stop(self) -> None:
        """Close the sockets."""
        for opened in ("_peer_socket", "_caller_socket"):
            if hasattr(self, opened):
                getattr(self, opened).close()

    def status(self) -> dict[str, object]:
        """Return the number of known flows and the avoided hosts."""
        servers = self._catalog.view.servers
        return {
            "flows": len(self._flows),
            "avoided": [s.name for s in servers if self._board.avoided(s.address)],
        }

    def _on_catalog(self) -> None:
        view = self._catalog.view
        listed = {server.address for server in view.servers}
        self._gone = {server.address for server in view.gone} - listed
        self._servers_changed.set()
        if self._held and view.table is not None:
            # The other records of the same reading are taken over first.
            asyncio.get_running_loop().call_soon(self._release)

    def _on_caller(self, data: bytes, sender: Address) -> None:
        packet = self._codec.decode(data)
        if packet is None or packet.accepts or packet.returned:
            self._malformed.value += 1
            return
        self._last_packet = now()
        if self._catalog.view.table is None:
            self._hold(packet)
        else:
            self._handle(packet)

    def _hold(self, packet: Packet) -> None:
        """Keep a packet until the first catalog, which a caller would send too late."""
        if len(self._held) < MAX_HELD:
            self._held.append(packet)
        else:
            self._ignored.value += 1

    def _release(self) -> None:
        """Handle the packets that waited for the first catalog."""
        held, self._held = self._held, []
        for packet in held:
            self._handle(packet)

    def _handle(self, packet: Packet) -> None:
        if packet.opens:
            self._on_opening(packet)
            return
        flow = self._flows.get(packet.flow_from_caller)
        if flow is None:
            self._search(packet)
        elif flow.confirmed and self._is_gone(flow.hosts[0]):
            self._reset_lost(packet, "host-gone")
        else:
            self._send(packet, flow.service, flow.hosts, not flow.confirmed)

    def _on_opening(self, packet: Packet) -> None:
        key = packet.flow_from_caller
        route = self._route(packet)
        if route is None:
            self._reject(packet, "no-route")
            return
        target = choose_target(key, route.targets)
        servers = self._catalog.view.ready(target.service)
        if not servers:
            self._reject(packet, "no-host")
            return
        choices = order_choices(key, servers, self._board, now(), self._failure_domain)
        known = self._flows.get(key)
        if known is not None and packet.attempt:
            known.service = service_number(target.service)
            self._move(packet, known, choices)
            return
        hosts = tuple(socket.inet_aton(c.server.address) for c in choices)
        flow = EntryFlow(service_number(target.service), hosts)
        self._flows.put(key, flow)
        self._placed.value += 1
        self._board.note_placed(choices[0].server.address)
        self._send(packet, flow.service, hosts, unconfirmed=True)
        self._log_placed(key, route, choices)

    def _move(self, packet: Packet, flow: EntryFlow, choices: list[Choice]) -> None:
        """Send a copy of an opening packet to a host that has not had one."""
        key = packet.flow_from_caller
        if flow.confirmed:
            self._send(packet, flow.service, flow.hosts, unconfirmed=False)
            return
        tried = flow.hosts[: packet.attempt]
        usable = [socket.inet_aton(c.server.address) for c in choices]
        fresh = [host for host in usable if host not in tried] or usable
        # The host that had the first copy may still answer; the packets that follow
        # go there first.
        flow.hosts = (*tried, *fresh)[:MAX_ALTERNATIVES]
        self._send(packet, flow.service, tuple(fresh), unconfirmed=True)
        FLOW_MOVED.log(
            _logger,
            flow=flow_id(key),
            to=socket.inet_ntoa(fresh[0]),
            attempt=packet.attempt,
            tried=[socket.inet_ntoa(host) for host in tried],
        )

    def _search(self, packet: Packet, missing_since: float | None = None) -> None:
        """Send a packet of an unknown flow along the hosts that may hold it."""
        key = packet.flow_from_caller
        view = self._catalog.view
        services = view.services_at(*self._destination(packet))
        listed: list[BackendServer] = []
        departed: list[BackendServer] = []
        for service in services:
            listed.extend(view.listed(service))
            departed.extend(view.departed(service))
        found = order_lookup(key, listed, departed, self._board)
        hosts = tuple(dict.fromkeys(socket.inet_aton(s.address) for s in found))
        if not hosts:
            self._unknown.value += 1
            FLOW_UNKNOWN.log(_logger, flow=flow_id(key), services=list(services))
            return
        number = service_number(services[0]) if len(services) == 1 else ANY_SERVICE
        flow = EntryFlow(
            number,
            hosts,
            searched=now(),
            exhaustive=len(found) >= len(listed),
            missing_since=missing_since,
        )
        self._searched.value += 1
        self._flows.put(key, flow)
        self._send(packet, number, hosts, unconfirmed=True)
        self._schedule_retry(packet, flow, 0)
        FLOW_SEARCHED.log(_logger, flow=flow_id(key), hosts=[s.name for s in found[:4]])

    def _schedule_retry(self, packet: Packet, flow: EntryFlow, retries: int) -> None:
        if retries < len(SEARCH_RETRY_SECONDS):
            delay = SEARCH_RETRY_SECONDS[retries]
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._retry, packet, flow, retries + 1)

    def _retry(self, packet: Packet, flow: EntryFlow, retries: int) -> None:
        """Send a packet again whose search ended neither at a host nor here."""
        known = self._flows.get(packet.flow_from_caller)
        if known is not flow or flow.confirmed or flow.missing_since is not None:
            return
        self._retried.value += 1
        self._send(packet, flow.service, flow.hosts, unconfirmed=True)
        self._schedule_retry(packet, flow, retries)

    def _is_gone(self, host: bytes) -> bool:
        """Return whether the host was removed from the catalog and is silent."""
        address = socket.inet_ntoa(host)
        return address in self._gone and self._board.silent(address)

    def _reset_lost(self, packet: Packet, reason: str) -> None:
        """Reset a flow whose host is known to hold it no longer."""
        key = packet.flow_from_caller
        self._flows.discard(key)
        self._missing.pop(key, None)
        if packet.resets:
            return
        self._resets.value += 1
        caller = (address_of(packet.source), self._caller_port)
        self._caller_socket.send((self._codec.reset(packet),), caller)
        FLOW_RESET.log(
            _logger,
            flow=flow_id(key),
            reason=reason,
            catalog_age=self._catalog.age,
            catalog_version=self._catalog.view.version,
        )

    def _route(self, packet: Packet) -> Route | None:
        return self._catalog.view.route(*self._destination(packet))

    def _destination(self, packet: Packet) -> tuple[str, int]:
        return address_of(packet.destination), port_of(packet.destination)

    def _reject(self, packet: Packet, reason: str) -> None:
        """Answer an opening packet by a reset if the catalog is surely up to date."""
        flow = flow_id(packet.flow_from_caller)
        if not self._catalog.fresh:
            self._ignored.value += 1
            FLOW_IGNORED.log(
                _logger, flow=flow, reason=reason, age_seconds=self._catalog.age
            )
            return
        self._rejected.value += 1
        caller = (address_of(packet.source), self._caller_port)
        self._caller_socket.send((self._codec.reset(packet),), caller)
        table = self._catalog.view.table
        FLOW_REJECTED.log(
            _logger,
            flow=flow,
            reason=reason,
            routes_version=table.version if table else None,
            age_seconds=self._catalog.age,
        )

    def _send(
        self,
        packet: Packet,
        service: int,
        hosts: tuple[bytes, ...],
        unconfirmed: bool,
    ) -> None:
        rest = hosts[1:] if unconfirmed else ()
        forward = Forward(
            service, self._origin, 0, unconfirmed, False, rest, packet.data
        )
        self._forwarded.value += 1
        agent = (socket.inet_ntoa(hosts[0]), self._peer_address[1])
        self._peer_socket.send((forward_head(forward), packet.data), agent)

    def _on_peer(self, data: bytes, sender: Address) -> None:
        match decode(data):
            case Report(load):
                if self._board.note(sender[0], load, now()):
                    HOST_AVOIDED.log(
                        _logger, address=sender[0], responsive=load.responsive
                    )
            case FlowLocated(key):
                self._on_located(key, sender[0])
            case FlowEnded(key):
                self._flows.discard(key)
            case PacketReturned() as returned:
                self._on_returned(returned, sender[0])
            case _:
                self._malformed.value += 1

    def _on_located(self, key: bytes, agent: str) -> None:
        flow = self._flows.get(key)
        host = socket.inet_aton(agent)
        if flow is None:
            self._flows.put(key, EntryFlow(ANY_SERVICE, (host,), confirmed=True))
            return
        if flow.hosts[0] != host:
            FLOW_FOUND.log(_logger, flow=flow_id(key), address=agent)
        flow.hosts = (host,)
        flow.confirmed = True

    def _on_returned(self, returned: PacketReturned, agent: str) -> None:
        """Decide on a packet whose flow is at none of the hosts that were asked."""
        packet = self._codec.decode(bytes(returned.payload))
        if packet is None:
            self._malformed.value += 1
            return
        self._came_back.value += 1
        key = packet.flow_from_caller
        flow = self._flows.get(key)
        if flow is not None and flow.confirmed:
            self._on_returned_confirmed(packet, flow, returned, agent)
        elif (
            flow is None
            or returned.skipped
            or flow.searched is None
            or not flow.exhaustive
        ):
            self._drop_unknown(packet, returned.hops, "not-all-asked")
        elif self._is_verified(flow):
            if self._catalog.complete:
                self._reset_lost(packet, "held-nowhere")
            else:
                self._verify(packet, flow)
        else:
            self._verify(packet, flow)

    def _on_returned_confirmed(
        self, packet: Packet, flow: EntryFlow, returned: PacketReturned, agent: str
    ) -> None:
        """Decide on a packet of a flow that a host has confirmed."""
        direct = agent == socket.inet_ntoa(flow.hosts[0]) and returned.hops == 1
        if not direct:
            # It was sent before the host was known.
            self._send(packet, flow.service, flow.hosts, unconfirmed=False)
        elif returned.skipped:
            self._drop_unknown(packet, returned.hops, "not-all-asked")
        else:
            self._reset_lost(packet, "not-held")

    def _is_verified(self, flow: EntryFlow) -> bool:
        """Return whether the list was read between the loss and the last search."""
        refresher = self._catalog.refresher
        missing, searched = flow.missing_since, flow.searched
        if missing is None or searched is None:
            return False
        return missing <= refresher.started and refresher.finished <= searched

    def _verify(self, packet: Packet, flow: EntryFlow) -> None:
        """Read the catalog again, then search once more for the flow."""
        if flow.missing_since is None:
            flow.missing_since = now()
        if len(self._missing) < MAX_MISSING:
            self._missing[packet.flow_from_caller] = packet
        self._catalog.refresher.request()

    def _search_missing(self) -> None:
        """Search again for the flows that were missing before the catalog was read."""
        missing, self._missing = self._missing, {}
        for key, packet in missing.items():
            flow = self._flows.get(key)
            if flow is not None and not flow.confirmed:
                self._search(packet, flow.missing_since)

    def _drop_unknown(self, packet: Packet, hops: int, reason: str) -> None:
        key = packet.flow_from_caller
        flow = self._flows.get(key)
        # The next packet begins another search, unless a host is known.
        if flow is None or not flow.confirmed:
            self._flows.discard(key)
        self._unknown.value += 1
        FLOW_UNKNOWN.log(_logger, flow=flow_id(key), hops=hops, reason=reason)

    def _log_placed(self, key: bytes, route: Route, choices: list[Choice]) -> None:
        first = choices[0]
        FLOW_PLACED.log(
            _logger,
            flow=flow_id(key),
            route=route.name,
            service=first.server.service,
            server=first.server.name,
            cost=round(first.cost, 2),
            load_age=round(first.age, 3) if first.age is not None else None,
            next=[f"{c.server.name}:{c.cost:.2f}" for c in choices[1:]],
            catalog_version=self._catalog.view.version,
        )

    async def _subscribe(self) -> None:
        """Renew the subscriptions to load reports, at once after a change."""
        while True:
            self._servers_changed.clear()
            view = self._catalog.view
            # A host that was removed is heard as well, to know whether it is silent.
            addresses = {s.address for s in (*view.servers, *view.gone)}
            self._board.retain(addresses)
            message = encode_small(Subscribe(LEASE_SECONDS))
            for address in list(addresses)[:MAX_SUBSCRIPTIONS]:
                self._peer_socket.send((message,), (address, self._peer_address[1]))
            with suppress(TimeoutError):
                async with asyncio.timeout(SUBSCRIBE_SECONDS):
                    await self._servers_changed.wait()
            # Several changes at once need one round of subscriptions.
            await asyncio.sleep(SUBSCRIBE_PAUSE_SECONDS)

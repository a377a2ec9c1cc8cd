"""Finds the hosts of flows that an entry does not know, and resets lost flows."""

import asyncio
import logging
import socket

from balsamspool.datagram._codec import service_number
from balsamspool.datagram.events import (
    FLOW_RESET,
    FLOW_SEARCHED,
    FLOW_UNKNOWN,
)
from balsamspool.datagram.messages import ANY_SERVICE, PacketReturned
from balsamspool.datagram.packet import (
    Packet,
    PacketCodec,
    flow_id,
    service_endpoint,
)
from balsamspool.kernel.clock import now
from balsamspool.kernel.counters import CounterSet
from balsamspool.kernel.recent import RecentCache
from balsamspool.placement.load import LoadBoard
from balsamspool.placement.lookup import CHAIN_HOSTS, LOOKUP_LIMIT, order_lookup
from balsamspool.plugins.catalog import BackendServer, CatalogPlugin
from balsamspool.plugins.datagram_entry.flow import EntryFlow
from balsamspool.plugins.datagram_entry.forwarder import (
    PACKETS,
    PACKETS_HELP,
    Forwarder,
)

_logger = logging.getLogger(__name__)

# Flows that wait for another reading of the catalog.
MAX_MISSING = 4_096
# An agent that just started may have missed a search, and callers wait ever longer
# between their own retransmissions.
SEARCH_RETRY_SECONDS = (0.1, 0.15, 0.25)
# After the last of these retries.
SEARCH_AGAIN_SECONDS = 0.55


class FlowSearch:
    """Searches flows along the hosts that may hold them.

    Args:
        catalog: Published routes and backend servers.
        board: Latest load of each host.
        flows: Flows that the entry knows.
        codec: Layout of packets.
        forwarder: Sends packets.
        counters: Where packets are counted.
    """

    __slots__ = (
        "_board",
        "_came_back",
        "_catalog",
        "_codec",
        "_flows",
        "_forwarder",
        "_malformed",
        "_missing",
        "_resets",
        "_retried",
        "_searched",
        "_unknown",
        "_waiting",
    )

    def __init__(
        self,
        catalog: CatalogPlugin,
        board: LoadBoard,
        flows: RecentCache[EntryFlow],
        codec: PacketCodec,
        forwarder: Forwarder,
        counters: CounterSet,
    ) -> None:
        self._catalog = catalog
        self._board = board
        self._flows = flows
        self._codec = codec
        self._forwarder = forwarder
        # Packets of flows that wait for another reading of the catalog.
        self._missing: dict[bytes, Packet] = {}
        self._searched = counters.counter(PACKETS, PACKETS_HELP, "searched")
        self._retried = counters.counter(PACKETS, PACKETS_HELP, "search-retried")
        self._came_back = counters.counter(PACKETS, PACKETS_HELP, "returned-by-agent")
        self._unknown = counters.counter(PACKETS, PACKETS_HELP, "unknown-flow")
        self._waiting = counters.counter(PACKETS, PACKETS_HELP, "flow-missing")
        self._resets = counters.counter(PACKETS, PACKETS_HELP, "reset")
        self._malformed = counters.counter(PACKETS, PACKETS_HELP, "returned-malformed")
        catalog.refresher.subscribe(self._search_missing)

    def search(self, packet: Packet, missing_since: float | None = None) -> None:
        """Send a packet of an unknown flow along the hosts that may hold it."""
        key = packet.flow_from_caller
        view = self._catalog.view
        services = view.services_at(*service_endpoint(packet))
        listed: list[BackendServer] = []
        departed: list[BackendServer] = []
        for service in services:
            listed.extend(view.listed(service))
            departed.extend(
                s for s in view.recently_removed_from(service) if self._reports(s)
            )
        found = order_lookup(key, listed, departed, self._board)
        if len(services) == 1 and not self._knows_services(packet):
            found += self._others(services, LOOKUP_LIMIT - len(found))
        hosts = tuple(dict.fromkeys(socket.inet_aton(s.address) for s in found))
        if not hosts:
            self._unknown.value += 1
            FLOW_UNKNOWN.log(_logger, flow=flow_id(key), services=list(services))
            return
        number = service_number(services[0]) if len(services) == 1 else ANY_SERVICE
        flow = EntryFlow(
            number,
            hosts[:CHAIN_HOSTS],
            searched=now(),
            version=view.version,
            exhaustive=len(found) >= len(listed),
            missing_since=missing_since,
            rest=hosts[CHAIN_HOSTS:],
            asked=frozenset(hosts),
        )
        self._searched.value += 1
        self._flows.put(key, flow)
        self._forwarder.forward(packet, number, flow.hosts, unconfirmed=True)
        if packet.length or packet.ends:
            # The loss of an acknowledgement harms nobody.
            self._schedule_retry(packet, flow, 0)
        FLOW_SEARCHED.log(_logger, flow=flow_id(key), hosts=[s.name for s in found[:4]])

    def continue_search(self, packet: Packet, flow: EntryFlow) -> None:
        """Send a further packet of a flow whose host is not confirmed."""
        if packet.flow_from_caller in self._missing:
            self._continue_missing(packet, flow)
        elif flow.searched is not None and now() - flow.searched > SEARCH_AGAIN_SECONDS:
            # Other hosts may be listed or silent by now.
            self.search(packet, flow.missing_since)
        elif flow.widened:
            self._waiting.value += 1
        elif flow.awaited is not None:
            self._ask_awaited(packet, flow)
        else:
            self._forwarder.forward(packet, flow.service, flow.hosts, unconfirmed=True)

    def on_returned(self, returned: PacketReturned, agent: str) -> None:
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
        elif flow is not None and self._waits_for_others(flow, returned, agent):
            return
        elif flow is None or not self._can_decide(flow, returned):
            self._drop_unknown(packet, returned.hops, "not-all-asked")
        elif flow.rest:
            self._ask_rest(packet, flow)
        elif not self._knows_services(packet):
            # The flow may have opened under a table that this process has not seen,
            # and the agent of its host may have started anew too.
            self._drop_unknown(packet, returned.hops, "services-unknown")
        elif self._is_verified(flow):
            if self._catalog.complete:
                self.reset_lost(packet, "held-nowhere")
            else:
                self._verify(packet, flow)
        else:
            self._verify(packet, flow)

    def reset_lost(self, packet: Packet, reason: str) -> None:
        """Reset a flow whose host is known to hold it no longer."""
        key = packet.flow_from_caller
        self._flows.discard(key)
        self._missing.pop(key, None)
        if packet.resets:
            return
        self._resets.value += 1
        self._forwarder.reset(packet)
        FLOW_RESET.log(
            _logger,
            flow=flow_id(key),
            reason=reason,
            catalog_age=self._catalog.age,
            catalog_version=self._catalog.view.version,
        )

    def _continue_missing(self, packet: Packet, flow: EntryFlow) -> None:
        """Keep a flow waiting that no listed host holds, unless the list changed."""
        if flow.version != self._catalog.view.version:
            del self._missing[packet.flow_from_caller]
            self.search(packet, flow.missing_since)
            return
        self._waiting.value += 1
        # An earlier reading may have failed.
        self._catalog.refresher.request()

    def _reports(self, server: BackendServer) -> bool:
        """Return whether the agent of a removed backend server still reports."""
        load = self._board.load(server.address)
        return load is not None and not self._board.silent(server.address)

    def _schedule_retry(self, packet: Packet, flow: EntryFlow, retries: int) -> None:
        if retries < len(SEARCH_RETRY_SECONDS):
            delay = SEARCH_RETRY_SECONDS[retries]
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._retry, packet, flow, retries + 1)

    def _retry(self, packet: Packet, flow: EntryFlow, retries: int) -> None:
        """Ask each host on its own if the search ended neither at a host nor here.

        A host that does not answer, or an agent that has just started, ends a search
        that asks one after the other, and the next one would end there too.
        """
        known = self._flows.get(packet.flow_from_caller)
        if known is not flow or flow.confirmed or flow.missing_since is not None:
            return
        if flow.widened:
            # Copies to so many hosts would fill the link of a small instance.
            return
        self._retried.value += 1
        if flow.awaited is None:
            flow.awaited = {socket.inet_ntoa(host) for host in flow.hosts}
        self._ask_awaited(packet, flow)
        self._schedule_retry(packet, flow, retries)

    def _ask_rest(self, packet: Packet, flow: EntryFlow) -> None:
        """Ask the hosts that were not likely to hold a flow, a few in a row each."""
        flow.hosts, flow.rest = flow.rest, ()
        flow.widened = True
        flow.awaited = set()
        for start in range(0, len(flow.hosts), CHAIN_HOSTS):
            chain = flow.hosts[start : start + CHAIN_HOSTS]
            flow.awaited.add(socket.inet_ntoa(chain[-1]))
            self._forwarder.forward(packet, flow.service, chain, unconfirmed=True)

    def _ask_awaited(self, packet: Packet, flow: EntryFlow) -> None:
        """Send a packet to each host that has not given it back."""
        for agent in flow.awaited or ():
            host = (socket.inet_aton(agent),)
            self._forwarder.forward(packet, flow.service, host, unconfirmed=True)

    def _on_returned_confirmed(
        self, packet: Packet, flow: EntryFlow, returned: PacketReturned, agent: str
    ) -> None:
        """Decide on a packet of a flow that a host has confirmed."""
        direct = agent == socket.inet_ntoa(flow.hosts[0]) and returned.hops == 1
        if not direct:
            # It was sent before the host was known.
            self._forwarder.forward(packet, flow.service, flow.hosts, unconfirmed=False)
        elif returned.skipped:
            self._drop_unknown(packet, returned.hops, "not-all-asked")
        else:
            self.reset_lost(packet, "not-held")

    def _is_verified(self, flow: EntryFlow) -> bool:
        """Return whether the list was read between the loss and the last search."""
        refresher = self._catalog.refresher
        missing, searched = flow.missing_since, flow.searched
        if missing is None or searched is None:
            return False
        return missing <= refresher.started and refresher.finished <= searched

    def _verify(self, packet: Packet, flow: EntryFlow) -> None:
        """Read the catalog again, then decide whether a host was not asked."""
        if flow.missing_since is None:
            flow.missing_since = now()
        if len(self._missing) < MAX_MISSING:
            self._missing[packet.flow_from_caller] = packet
        self._catalog.refresher.request()

    def _search_missing(self) -> None:
        """Decide on the flows that were missing before the catalog was read."""
        if self._missing and not self._catalog.complete:
            # A search would decide nothing, and each one asks every host.
            self._catalog.refresher.request()
            return
        for key, packet in list(self._missing.items()):
            flow = self._flows.get(key)
            if flow is None or flow.confirmed or flow.missing_since is None:
                del self._missing[key]
                continue
            if flow.missing_since > self._catalog.refresher.started:
                # A reading that had begun before does not list what opened meanwhile.
                continue
            del self._missing[key]
            if not self._knows_services(packet):
                self._drop_unknown(packet, 0, "services-unknown")
            elif self._asked_all(packet, flow):
                self.reset_lost(packet, "held-nowhere")
            else:
                self.search(packet, flow.missing_since)

    def _others(self, services: tuple[str, ...], limit: int) -> list[BackendServer]:
        """Return backend servers of other services at which a flow may have opened.

        Their agents deliver a packet only if they know its flow, so none reaches a
        backend server for which it is not meant.
        """
        servers = self._catalog.view.servers
        return [s for s in servers if s.service not in services][:limit]

    def _can_decide(self, flow: EntryFlow, returned: PacketReturned) -> bool:
        """Return whether each host that was asked gave a flow back."""
        return flow.searched is not None and flow.exhaustive and not returned.skipped

    def _knows_services(self, packet: Packet) -> bool:
        address, port = service_endpoint(packet)
        return self._catalog.view.knows_services(address, port, now())

    def _asked_all(self, packet: Packet, flow: EntryFlow) -> bool:
        """Return whether every host that is listed by now gave a flow back."""
        view = self._catalog.view
        return all(
            socket.inet_aton(server.address) in flow.asked
            for service in view.services_at(*service_endpoint(packet))
            for server in view.listed(service)
        )

    def _waits_for_others(
        self, flow: EntryFlow, returned: PacketReturned, agent: str
    ) -> bool:
        """Return whether hosts that were asked beside others have not answered yet."""
        if flow.awaited is None:
            return False
        if not returned.skipped:
            flow.awaited.discard(agent)
        return bool(flow.awaited)

    def _drop_unknown(self, packet: Packet, hops: int, reason: str) -> None:
        key = packet.flow_from_caller
        flow = self._flows.get(key)
        # The next packet begins another search, unless a host is known.
        if flow is None or not flow.confirmed:
            self._flows.discard(key)
        self._unknown.value += 1
        FLOW_UNKNOWN.log(_logger, flow=flow_id(key), hops=hops, reason=reason)

"""Finds the hosts of unknown flows, and resets flows that no host holds."""

import asyncio
import socket

from balsamspool.datagram.messages import ANY_SERVICE, PacketReturned
from balsamspool.datagram.packet import Packet, PacketCodec
from balsamspool.kernel.clock import now
from balsamspool.kernel.counters import CounterSet
from balsamspool.kernel.recent import RecentCache
from balsamspool.placement.load import LoadBoard
from balsamspool.placement.lookup import CHAIN_HOSTS
from balsamspool.plugins.catalog import CatalogPlugin
from balsamspool.plugins.datagram_entry.decision_log import (
    HELD_NOWHERE,
    NOT_HELD,
    DecisionLog,
)
from balsamspool.plugins.datagram_entry.flow import EntryFlow
from balsamspool.plugins.datagram_entry.forwarder import (
    PACKETS,
    PACKETS_HELP,
    Forwarder,
)
from balsamspool.plugins.datagram_entry.holders import PossibleHolders
from balsamspool.plugins.datagram_entry.missing import MissingFlows
from balsamspool.plugins.datagram_entry.search_budget import SearchBudget

# Delays before the retries of a search. The entry retries on its own because an agent
# that has just started may have missed the first packet, and callers wait longer after
# each of their retransmissions.
SEARCH_RETRY_SECONDS = (0.1, 0.15, 0.25)
# Age of a search after which the next packet of the flow starts a new search. It is
# longer than the delays of all retries together.
SEARCH_RESTART_SECONDS = 0.55
# Longest time between two retransmissions of a packet. If the packets before the
# present one are older, the flow was idle and they did not remain without an answer.
RETRANSMISSION_SECONDS = 2.0


class FlowSearch:
    """Searches for flows by passing their packets along the hosts that may hold them.

    Args:
        catalog: Published routes and backend servers.
        board: Latest load of each host.
        flows: Flows that the entry knows.
        codec: Layout of packets.
        forwarder: Sends packets.
        counters: Counters of the process.
        log: Logs what is decided for a flow.
        failure_domain: Failure domain of the entry.
        budget: Limits the copies of packets that are sent.
    """

    __slots__ = (
        "_budget",
        "_catalog",
        "_codec",
        "_flow_missing",
        "_flows",
        "_forwarder",
        "_holders",
        "_limited",
        "_log",
        "_malformed",
        "_missing_flows",
        "_resets",
        "_retried",
        "_returned",
        "_searched",
        "_unknown",
    )

    def __init__(
        self,
        catalog: CatalogPlugin,
        board: LoadBoard,
        flows: RecentCache[EntryFlow],
        codec: PacketCodec,
        forwarder: Forwarder,
        counters: CounterSet,
        log: DecisionLog,
        failure_domain: str,
        budget: SearchBudget,
    ) -> None:
        self._budget = budget
        self._catalog = catalog
        self._flows = flows
        self._codec = codec
        self._forwarder = forwarder
        self._log = log
        self._holders = PossibleHolders(catalog, board, failure_domain)
        self._missing_flows = MissingFlows(catalog, flows, log)
        self._searched = counters.counter(PACKETS, PACKETS_HELP, "searched")
        self._limited = counters.counter(PACKETS, PACKETS_HELP, "search-limited")
        self._retried = counters.counter(PACKETS, PACKETS_HELP, "search-retried")
        self._returned = counters.counter(PACKETS, PACKETS_HELP, "returned-by-agent")
        self._unknown = counters.counter(PACKETS, PACKETS_HELP, "unknown-flow")
        self._flow_missing = counters.counter(PACKETS, PACKETS_HELP, "flow-missing")
        self._resets = counters.counter(PACKETS, PACKETS_HELP, "reset")
        self._malformed = counters.counter(PACKETS, PACKETS_HELP, "returned-malformed")
        catalog.refresher.subscribe(self._resolve_missing)

    def search(
        self,
        packet: Packet,
        missing_since: float | None = None,
        separately: bool = False,
        unanswered: int = 0,
    ) -> None:
        """Send a packet of an unknown flow to the hosts that may hold it.

        Args:
            packet: The packet.
            missing_since: Event loop time in seconds at which the first search for the
                flow ended without finding a host, None if no search has ended like
                that.
            separately: Whether to send a copy to each likely host, instead of one
                packet that is passed from host to host.
            unanswered: Number of successive searches before this one that had no
                result.
        """
        key = packet.flow_from_caller
        holders = self._holders.find(packet)
        hosts = holders.addresses
        if not hosts:
            self._unknown.value += 1
            self._log.unknown(key, 0, "no-host")
            return
        flow = EntryFlow(
            holders.service,
            hosts[:CHAIN_HOSTS],
            passed_at=now(),
            searched_at=now(),
            unanswered=unanswered,
            catalog_version=self._catalog.view.version,
            exhaustive=holders.exhaustive,
            missing_since=missing_since,
            remaining_hosts=hosts[CHAIN_HOSTS:],
            queried=frozenset(hosts),
        )
        self._searched.value += 1
        self._flows.put(key, flow)
        if separately:
            self._query_separately(packet, flow)
        else:
            self._forwarder.forward(packet, flow.service, flow.hosts, unconfirmed=True)
        if unanswered and flow.remaining_hosts:
            # A likely host that does not answer must not hide the remaining hosts.
            self._query_remaining(packet, flow)
        if packet.length or packet.ends or separately:
            # A lost acknowledgement without data needs no retry, unless the ones before
            # it have had no result either.
            self._schedule_retry(packet, flow, 0)
        self._log.searched(key, holders)

    def continue_search(self, packet: Packet, flow: EntryFlow) -> None:
        """Send a further packet of a flow whose host is not confirmed."""
        if packet.flow_from_caller in self._missing_flows:
            self._continue_missing(packet, flow)
            return
        waited = now() - flow.passed_at if flow.passed_at is not None else 0.0
        idle = waited > RETRANSMISSION_SECONDS
        if waited > SEARCH_RESTART_SECONDS and not (idle and flow.searched_at is None):
            # The set of listed or silent hosts may have changed since the last search.
            self._search_again(packet, flow, idle)
        elif flow.widened:
            self._flow_missing.value += 1
        elif flow.passed_at is None or idle:
            flow.passed_at = now()
            flow.awaited_agents = None
            self._forwarder.forward(packet, flow.service, flow.hosts, unconfirmed=True)
        elif waited > SEARCH_RETRY_SECONDS[0] or flow.awaited_agents is not None:
            # An acknowledgement is not retried, and neither is any packet that followed
            # an opening. The next one must not stop at the same host again.
            self._query_separately(packet, flow)
        else:
            self._forwarder.forward(packet, flow.service, flow.hosts, unconfirmed=True)

    def on_returned(self, returned: PacketReturned, agent: str) -> None:
        """Handle a packet that was returned because no queried host holds its flow."""
        packet = self._codec.decode(bytes(returned.payload))
        if packet is None:
            self._malformed.value += 1
            return
        self._returned.value += 1
        key = packet.flow_from_caller
        self._log.returned(key, agent, returned.hops, returned.skipped)
        flow = self._flows.get(key)
        if flow is not None:
            flow.unsure = flow.unsure or returned.unsure
        if flow is not None and flow.confirmed:
            self._on_returned_confirmed(packet, flow, returned, agent)
        elif flow is not None and not flow.record_returned(returned, agent):
            return
        elif flow is None or not self._queried_all(flow, returned):
            self._drop_unknown(packet, returned.hops, "not-all-asked")
        elif flow.remaining_hosts:
            self._query_remaining(packet, flow)
        else:
            self._on_not_held(packet, flow, returned.hops)

    def reset_lost(self, packet: Packet, reason: str) -> None:
        """Reset a flow that no host holds any more."""
        key = packet.flow_from_caller
        flow = self._flows.get(key)
        self._flows.discard(key)
        self._missing_flows.discard(key)
        if packet.resets:
            self._log.dropped(key)
            return
        self._resets.value += 1
        self._forwarder.reset(packet)
        self._log.reset(packet, flow, reason)

    def _on_not_held(self, packet: Packet, flow: EntryFlow, hops: int) -> None:
        """Handle a packet whose flow none of the queried hosts holds."""
        if self._query_further(packet, flow):
            return
        asked_all = self._holders.asked_all_services(packet, flow)
        if not asked_all and self._catalog.refresher.history_read:
            # The flow may have opened under a route table that this process has not
            # seen, at a host of a service that was not queried.
            self._drop_unknown(packet, hops, "services-unknown")
        elif (
            asked_all
            and self._missing_flows.has_been_read(flow)
            and self._catalog.complete
        ):
            self.reset_lost(packet, HELD_NOWHERE)
        else:
            self._missing_flows.add(packet, flow)

    def _continue_missing(self, packet: Packet, flow: EntryFlow) -> None:
        """Keep a missing flow waiting, or search again if the catalog has changed."""
        if flow.catalog_version != self._catalog.view.version:
            self._missing_flows.discard(packet.flow_from_caller)
            self.search(packet, flow.missing_since)
            return
        self._flow_missing.value += 1
        # The read of the catalog is requested again, because an earlier read may have
        # failed.
        self._catalog.refresher.request()

    def _schedule_retry(self, packet: Packet, flow: EntryFlow, retries: int) -> None:
        if retries < len(SEARCH_RETRY_SECONDS):
            delay = SEARCH_RETRY_SECONDS[retries]
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._retry, packet, flow, retries + 1)

    def _retry(self, packet: Packet, flow: EntryFlow, retries: int) -> None:
        """Query each host separately if a search has had no result.

        A host that does not answer, or an agent that has just started, stops a packet
        that is passed from host to host. A copy that is passed along the same hosts
        would stop there too.
        """
        known = self._flows.get(packet.flow_from_caller)
        if known is not flow or flow.confirmed or flow.missing_since is not None:
            return
        if flow.widened:
            # The widened search already queries all remaining hosts, which may be many.
            # A separate copy of the packet for each of them would fill the link of a
            # small instance.
            return
        self._retried.value += 1
        self._query_separately(packet, flow)
        self._schedule_retry(packet, flow, retries)

    def _search_again(self, packet: Packet, flow: EntryFlow, idle: bool) -> None:
        """Search again for a flow whose packets have had no result for a while."""
        if idle:
            self.search(packet, flow.missing_since)
        else:
            unanswered = 0 if flow.searched_at is None else flow.unanswered + 1
            self.search(packet, flow.missing_since, True, unanswered)

    def _query_remaining(self, packet: Packet, flow: EntryFlow) -> None:
        """Query the hosts that are unlikely to hold a flow, in several short chains."""
        remaining = flow.remaining_hosts
        if not self._budget.allows(
            len(packet.data) * -(-len(remaining) // CHAIN_HOSTS), len(remaining)
        ):
            return
        flow.remaining_hosts = ()
        if flow.unanswered and flow.unanswered % 2 == 0:
            # A host that does not answer hides those after it in its chain, so the
            # chains of every second search run in the opposite direction.
            remaining = remaining[::-1]
        flow.widened = True
        awaited = flow.awaited_agents or {}
        for start in range(0, len(remaining), CHAIN_HOSTS):
            chain = remaining[start : start + CHAIN_HOSTS]
            awaited[socket.inet_ntoa(chain[-1])] = len(chain)
            self._forwarder.forward(packet, flow.service, chain, unconfirmed=True)
        flow.awaited_agents = awaited

    def _query_further(self, packet: Packet, flow: EntryFlow) -> bool:
        """Query the hosts of other services that may hold a flow, if there are any.

        The packet carries no number of a service any more, so their agents pass it to
        their backend servers, which return it unless they hold the flow. An agent that
        is unsure did not do so for a packet with the number of another service.

        Returns:
            Whether any host is queried.
        """
        further = self._holders.further(packet, flow)
        if further.omitted:
            self._limited.value += 1
        if not further.addresses:
            return False
        self._log.extended(packet.flow_from_caller, further)
        flow.service = ANY_SERVICE
        flow.unsure = False
        flow.remaining_hosts = further.addresses
        flow.queried = (flow.queried - further.asked) | frozenset(further.addresses)
        self._query_remaining(packet, flow)
        return True

    def _query_separately(self, packet: Packet, flow: EntryFlow) -> None:
        """Send a packet to each likely host that has not returned the packet yet."""
        if flow.awaited_agents is None:
            flow.awaited_agents = dict.fromkeys(map(socket.inet_ntoa, flow.hosts), 1)
        for agent in sorted(flow.awaited_agents):
            if not self._budget.allows(len(packet.data), 0):
                return
            host = (socket.inet_aton(agent),)
            self._forwarder.forward(packet, flow.service, host, unconfirmed=True)

    def _on_returned_confirmed(
        self, packet: Packet, flow: EntryFlow, returned: PacketReturned, agent: str
    ) -> None:
        """Handle a returned packet of a flow whose host is confirmed."""
        direct = agent == socket.inet_ntoa(flow.hosts[0]) and returned.hops == 1
        if not direct:
            # The packet was sent before the host of its flow was confirmed, so it is
            # sent again, to that host.
            self._forwarder.forward(packet, flow.service, flow.hosts, unconfirmed=False)
        elif returned.unsure:
            # The agent did not ask its backend server, because the packet carried the
            # number of another service and the agent does not know the flow.
            flow.service = ANY_SERVICE
            self._forwarder.forward(packet, flow.service, flow.hosts, unconfirmed=False)
        elif returned.skipped:
            self._drop_unknown(packet, returned.hops, "not-all-asked")
        else:
            self.reset_lost(packet, NOT_HELD)

    def _resolve_missing(self) -> None:
        """Reset or search for flows that were missing before the catalog was read."""
        for packet, flow in self._missing_flows.take_due():
            if self._holders.knows_more_services(packet, flow):
                self.search(packet, flow.missing_since)
            elif not self._holders.asked_all_services(packet, flow):
                if flow.catalog_version != self._catalog.view.version:
                    # Hosts that have been listed since the search were not queried.
                    self.search(packet, flow.missing_since)
                else:
                    self._drop_unknown(packet, 0, "services-unknown")
            elif self._holders.queried_all_listed(packet, flow):
                self.reset_lost(packet, HELD_NOWHERE)
            else:
                self.search(packet, flow.missing_since)

    def _queried_all(self, flow: EntryFlow, returned: PacketReturned) -> bool:
        """Return whether a search covers all listed hosts and no agent skipped one."""
        return flow.searched_at is not None and flow.exhaustive and not returned.skipped

    def _drop_unknown(self, packet: Packet, hops: int, reason: str) -> None:
        key = packet.flow_from_caller
        flow = self._flows.get(key)
        # A flow without a confirmed host is removed, so that its next packet starts
        # another search.
        if flow is None or not flow.confirmed:
            self._flows.discard(key)
        self._unknown.value += 1
        self._log.unknown(key, hops, reason)

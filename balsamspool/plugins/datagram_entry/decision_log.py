"""Writes what an entry decides for flows whose host it does not know or gives up."""

import logging
import socket

from msgspec import Struct

from balsamspool.datagram.events import (
    FLOW_AWAITS_CATALOG,
    FLOW_FOUND,
    FLOW_RELEASED,
    FLOW_RESET,
    FLOW_SEARCH_EXTENDED,
    FLOW_SEARCHED,
    FLOW_UNKNOWN,
    HOST_REPORTS_AGAIN,
)
from balsamspool.datagram.packet import Packet, flow_id
from balsamspool.kernel.clock import now
from balsamspool.kernel.counters import CounterFamily, CounterSet
from balsamspool.placement.load import LoadBoard, LoadReport
from balsamspool.plugins.catalog import CatalogPlugin
from balsamspool.plugins.datagram_entry.flow import EntryFlow
from balsamspool.plugins.datagram_entry.holders import FurtherHosts, Holders
from balsamspool.plugins.datagram_entry.reset_report import (
    ResetReport,
    left_out,
    names,
    search_fields,
    seconds_since,
)
from balsamspool.plugins.datagram_entry.unlocated import (
    FORGET_SECONDS,
    UnlocatedFlows,
)

_logger = logging.getLogger(__name__)

RESETS = "balsamspool_datagram_flow_resets"
RESETS_HELP = "Resets of open flows, by reason"
# Reasons for which an entry resets an open flow.
HOST_GONE, NOT_HELD, HELD_NOWHERE = "host-gone", "not-held", "held-nowhere"
# Maximum number of hosts whose flows were given up that are watched for a report.
MAX_GIVEN_UP_HOSTS = 64
# A search that finds the host at once, where the entry looked first, is only counted.
SLOW_SEARCH_SECONDS = 1.0


class _GivenUpHost(Struct):
    """A host whose flows were reset because it seemed to be gone.

    Attributes:
        name: Name of its backend server.
        last: Event loop time in seconds of the last reset.
        flows: Number of flows that were reset.
    """

    name: str
    last: float
    flows: int = 0


class DecisionLog:
    """Logs and counts searches and resets, with what they are based on.

    Args:
        catalog: Published routes and backend servers.
        board: Latest load of each host.
        counters: Counters of the process.
    """

    __slots__ = ("_catalog", "_given_up", "_report", "_resets", "_unlocated")

    def __init__(
        self, catalog: CatalogPlugin, board: LoadBoard, counters: CounterSet
    ) -> None:
        self._catalog = catalog
        self._report = ResetReport(catalog, board)
        self._unlocated = UnlocatedFlows(counters)
        self._given_up: dict[str, _GivenUpHost] = {}
        reasons = (HOST_GONE, NOT_HELD, HELD_NOWHERE)
        self._resets = CounterFamily(counters, RESETS, RESETS_HELP, reasons)

    def status(self) -> dict[str, object]:
        """Return how many flows have no host, and for how long at most."""
        return {
            "flows_without_host": len(self._unlocated),
            "longest_without_host": self._unlocated.longest_seconds,
        }

    def searched(self, key: bytes, holders: Holders) -> None:
        """Log that a search begins.

        Args:
            key: Key of the flow.
            holders: Hosts that the search covers.
        """
        view, found = self._catalog.view, holders.servers
        removed = sum(len(view.recently_removed_from(s)) for s in holders.services)
        omitted = left_out(
            holders.listed, holders.departed, removed, holders.others, len(found)
        )
        earlier = self._unlocated.record_search(key, found, omitted)
        before = search_fields(earlier)
        # What the search before this one covered is in its own line.
        number = before.pop("searches") + 1
        before.pop("queried", None)
        FLOW_SEARCHED.log(
            _logger,
            flow=flow_id(key),
            hosts=names(found),
            search=number,
            queried=len(found),
            services=list(holders.services)[:4],
            listed=holders.listed,
            removed=removed,
            omitted=sum(omitted.values()),
            others=holders.others,
            catalog_version=view.version,
            **before,
        )

    def extended(self, key: bytes, further: FurtherHosts) -> None:
        """Log that a search goes on at hosts of other services."""
        FLOW_SEARCH_EXTENDED.log(
            _logger,
            flow=flow_id(key),
            queried=len(further.addresses),
            unsure=len(further.asked),
            omitted=further.omitted,
        )

    def returned(self, key: bytes, agent: str, hops: int, skipped: bool) -> None:
        """Record a packet that agents returned because they do not hold its flow."""
        unlocated = self._unlocated.get(key)
        if unlocated is None:
            return
        if skipped:
            unlocated.skips += 1
        else:
            unlocated.record_answer(agent, hops)

    def located(self, key: bytes, flow: EntryFlow | None, agent: str) -> None:
        """Log that an agent holds a flow, unless that is what the entry expected.

        Args:
            key: Key of the flow.
            flow: The flow as the entry knew it before, None if it did not.
            agent: IPv4 address of the agent.
        """
        unlocated = self._unlocated.record_located(key)
        expected = flow is not None and socket.inet_ntoa(flow.hosts[0]) == agent
        slow = unlocated is not None and now() - unlocated.since > SLOW_SEARCH_SECONDS
        if expected and not slow:
            return
        before = self._report.belief(flow)
        searches = search_fields(unlocated)
        # It does not matter any more who did not answer.
        searches.pop("unanswered", None)
        FLOW_FOUND.log(
            _logger,
            flow=flow_id(key),
            address=agent,
            known=flow is not None,
            previous=before["host"],
            previous_seconds=before.get("confirmed_seconds"),
            **searches,
        )

    def reopened(self, key: bytes) -> None:
        """Record that a caller opens a new flow, perhaps from the port of another."""
        self._unlocated.forget(key)

    def released(self, key: bytes, flow: EntryFlow | None, agent: str) -> None:
        """Log that an agent's backend server no longer holds a flow."""
        FLOW_RELEASED.log(
            _logger, flow=flow_id(key), agent=agent, **self._report.belief(flow)
        )

    def awaits_catalog(self, key: bytes) -> None:
        """Log that packets of a flow wait until the catalog has been read again."""
        FLOW_AWAITS_CATALOG.log(
            _logger,
            flow=flow_id(key),
            complete=self._catalog.complete,
            **search_fields(self._unlocated.get(key)),
            **self._report.catalog(),
        )

    def unknown(self, key: bytes, hops: int, reason: str) -> None:
        """Log that a packet was dropped because no queried host holds its flow."""
        FLOW_UNKNOWN.log(
            _logger,
            flow=flow_id(key),
            hops=hops,
            reason=reason,
            **search_fields(self._unlocated.get(key)),
        )

    def reset(self, packet: Packet, flow: EntryFlow | None, reason: str) -> None:
        """Log and count the reset of an open flow.

        Args:
            packet: Packet that the reset answers.
            flow: The flow as the entry knew it, None if it did not.
            reason: Why the flow is reset.
        """
        key = packet.flow_from_caller
        unlocated = self._unlocated.record_reset(key)
        self._resets.add(reason)
        belief = self._report.belief(flow, packet)
        if reason == HOST_GONE and belief["confirmed"]:
            self._watch(belief["address"], belief["host"])
        FLOW_RESET.log(
            _logger,
            flow=flow_id(key),
            reason=reason,
            **belief,
            **search_fields(unlocated),
            **self._report.hosts(packet, unlocated),
            **self._report.catalog(),
        )

    def dropped(self, key: bytes) -> None:
        """Record that a caller reset a flow that no host holds."""
        self._unlocated.forget(key)

    def reported(self, address: str, load: LoadReport) -> None:
        """Log the first report of a host after its flows were given up."""
        if not self._given_up:
            return
        host = self._given_up.pop(address, None)
        if host is None or now() - host.last > FORGET_SECONDS:
            return
        HOST_REPORTS_AGAIN.log(
            _logger,
            host=host.name,
            address=address,
            seconds=seconds_since(host.last),
            flows_reset=host.flows,
            flows=load.flows,
            host_state=self._report.known_host(address).state,
        )

    def _watch(self, address: str, name: str) -> None:
        host = self._given_up.pop(address, None) or _GivenUpHost(name, now())
        host.last = now()
        host.flows += 1
        if len(self._given_up) >= MAX_GIVEN_UP_HOSTS:
            del self._given_up[next(iter(self._given_up))]
        self._given_up[address] = host

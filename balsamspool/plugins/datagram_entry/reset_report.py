"""What an entry knows about the host of a flow when it decides on the flow."""

import socket
from collections.abc import Mapping
from typing import Any

from msgspec import Struct

from balsamspool.datagram.packet import Packet, service_endpoint
from balsamspool.kernel.clock import now
from balsamspool.placement.load import LoadBoard
from balsamspool.plugins.catalog import BackendServer, CatalogPlugin
from balsamspool.plugins.datagram_entry.flow import EntryFlow
from balsamspool.plugins.datagram_entry.presence import departed_servers
from balsamspool.plugins.datagram_entry.unlocated import UnlocatedFlow

# Maximum number of names in one log line.
MAX_NAMES = 4


class KnownHost(Struct, frozen=True):
    """A host as the catalog of an entry knows it.

    Attributes:
        name: Name of its backend server, or its address if the catalog names none.
        state: State of the backend server: ``ready``, ``draining``, ``removed`` or
            ``unknown``.
        removed_seconds: Seconds since its removal, None if it is listed or unknown.
    """

    name: str
    state: str
    removed_seconds: float | None = None


class ResetReport:
    """Describes what a reset of a flow is based on.

    Args:
        catalog: Published routes and backend servers.
        board: Latest load of each host.
    """

    __slots__ = ("_board", "_catalog")

    def __init__(self, catalog: CatalogPlugin, board: LoadBoard) -> None:
        self._catalog = catalog
        self._board = board

    def known_host(self, address: str, packet: Packet | None = None) -> KnownHost:
        """Return what the catalog says about the host at an address.

        Args:
            address: IPv4 address of the host.
            packet: Packet of a flow at the host, None without one.
        """
        view = self._catalog.view
        listed, removed = view.listed_at(address), view.removed_at(address)
        if packet is not None:
            removed = departed_servers(view, address, packet)
        if removed and (packet is not None or not listed):
            last = removed[-1]
            seconds = seconds_since(last.removed)
            return KnownHost(last.server.name, "removed", seconds)
        for server in listed:
            return KnownHost(server.name, server.state.value)
        return KnownHost(address, "unknown")

    def report_age(self, address: str) -> float | None:
        """Return the age of the last load report of a host in seconds."""
        load = self._board.load(address)
        return None if load is None else seconds_since(load.received)

    def belief(
        self, flow: EntryFlow | None, packet: Packet | None = None
    ) -> dict[str, Any]:
        """Return the fields that say which host is believed to hold a flow.

        Args:
            flow: The flow, None if it is not known.
            packet: Packet of the flow, None without one.
        """
        if flow is None or not flow.confirmed:
            return {"host": None, "confirmed": False}
        address = socket.inet_ntoa(flow.hosts[0])
        host = self.known_host(address, packet)
        return {
            "host": host.name,
            "address": address,
            "confirmed": True,
            "confirmed_seconds": seconds_since(flow.confirmed_at),
            "host_state": host.state,
            "removed_seconds": host.removed_seconds,
            "listed_here": names(self._catalog.view.listed_at(address)),
            "report_age": self.report_age(address),
        }

    def catalog(self) -> dict[str, Any]:
        """Return the fields that say how recent the catalog is."""
        age = self._catalog.age
        return {
            "catalog_age": None if age is None else round(age, 3),
            "catalog_version": self._catalog.view.version,
            "catalog_revision": self._catalog.revision,
        }

    def hosts(self, packet: Packet, unlocated: UnlocatedFlow | None) -> dict[str, Any]:
        """Return how many hosts may hold the flow of a packet now.

        Args:
            packet: Packet of the flow.
            unlocated: Searches for the flow, None without a search.
        """
        view = self._catalog.view
        endpoint = service_endpoint(packet)
        services = view.services_at(*endpoint)
        listed = [s for service in services for s in view.listed(service)]
        removed = [r.server for n in services for r in view.recently_removed_from(n)]
        fields: dict[str, Any] = {
            "services_known": view.knows_all_services(*endpoint, now()),
            "listed": len(listed),
            "removed": len(removed),
        }
        if unlocated is not None:
            covered = {server.address for server in unlocated.servers}
            later = [s.name for s in listed if s.address not in covered]
            skipped = [s.name for s in removed if s.address not in covered]
            left_out = {"listed-later": len(later), "removed": len(skipped)}
            fields["left_out"] = format_counts({**unlocated.left_out, **left_out})
            fields["not_queried"] = [*later, *skipped][:MAX_NAMES]
        return fields


def search_fields(unlocated: UnlocatedFlow | None) -> dict[str, Any]:
    """Return what the searches for a flow have found so far.

    Args:
        unlocated: The searches, None without one.
    """
    if unlocated is None:
        return {"searches": 0}
    fields: dict[str, Any] = {
        "searches": unlocated.searches,
        "seconds": seconds_since(unlocated.since),
        "queried": len(unlocated.servers),
        "answered": unlocated.answered,
    }
    if unlocated.skips:
        fields["skips"] = unlocated.skips
    if unanswered := unlocated.unanswered(MAX_NAMES):
        fields["unanswered"] = unanswered
    return fields


def seconds_since(time: float) -> float:
    """Return the seconds since an event loop time, for a log line."""
    return round(now() - time, 3)


def format_counts(counts: Mapping[str, int]) -> list[str]:
    """Return the counts above 0, for a log line."""
    return [f"{reason}:{count}" for reason, count in counts.items() if count]


def left_out(
    listed: int, reporting: int, removed: int, others: int, found: int
) -> dict[str, int]:
    """Return how many hosts a search does not cover, by reason.

    Args:
        listed: Number of listed hosts of the services of the route.
        reporting: Number of their removed hosts that still report.
        removed: Number of all their hosts that were removed a short time ago.
        others: Number of hosts of other services that may hold the flow.
        found: Number of hosts that the search covers.
    """
    return {
        "removed-silent": removed - reporting,
        "over-limit": listed + reporting + others - found,
    }


def names(servers: list[BackendServer]) -> list[str]:
    """Return the first names of backend servers, for a log line."""
    return [server.name for server in servers[:MAX_NAMES]]

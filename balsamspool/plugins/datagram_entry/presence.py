"""Judges whether the host of a flow is gone.

A host is an instance with one agent. Flows, load reports and subscriptions belong to
its address. The catalog names programs, and an instance may run several of them, each
at a port of its own; only one of them holds the flows of a route.
"""

import socket

from balsamspool.datagram.packet import Packet, service_endpoint
from balsamspool.kernel.clock import now
from balsamspool.placement.load import GONE_PERIODS, LoadBoard
from balsamspool.plugins.catalog import CatalogPlugin, CatalogView, RemovedServer
from balsamspool.plugins.datagram_entry.flow import EntryFlow
from balsamspool.plugins.datagram_entry.subscriptions import REMOTE_PERIOD_SECONDS

# Time within which a host that is asked for reports has sent one, even if it reports
# seldom and one report was lost.
UNREPORTED_SECONDS = GONE_PERIODS * REMOTE_PERIOD_SECONDS


class HostPresence:
    """Combines what the catalog and the load reports say about a host.

    Args:
        catalog: Published routes and backend servers.
        board: Latest load of each host.
    """

    __slots__ = ("_board", "_catalog")

    def __init__(self, catalog: CatalogPlugin, board: LoadBoard) -> None:
        self._catalog = catalog
        self._board = board

    def is_gone(self, packet: Packet, flow: EntryFlow) -> bool:
        """Return whether the host of a flow has left or failed, and holds it no more.

        Args:
            packet: Packet of the flow.
            flow: The flow, whose host is confirmed.
        """
        address = socket.inet_ntoa(flow.hosts[0])
        departed = departed_servers(self._catalog.view, address, packet)
        if not departed:
            return False
        if self._board.load(address) is None:
            # A host is asked for reports while it is listed or holds a known flow.
            asked = max(flow.confirmed_at or 0.0, *(r.removed for r in departed))
            return now() - asked > UNREPORTED_SECONDS
        return not any(self.still_reports(removed) for removed in departed)

    def still_reports(self, removed: RemovedServer) -> bool:
        """Return whether the agent of a removed backend server still reports.

        A host that did not announce that it was leaving may only be cut off from the
        service that lists it, or slow, so it is given up later.
        """
        address = removed.server.address
        if self._board.load(address) is None:
            return False
        if removed.left:
            return not self._board.silent(address)
        return not self._board.seems_gone(address)


def departed_servers(
    view: CatalogView, address: str, packet: Packet
) -> tuple[RemovedServer, ...]:
    """Return the backend servers at an address that held a flow and were removed.

    There are none while one that is listed there may hold the flow. Other programs of
    an instance may be listed at its address, so that one of them is listed, or was
    removed, says nothing about a flow.

    Args:
        view: Catalog as this process knows it.
        address: IPv4 address of an instance.
        packet: Packet of the flow.
    """
    removed = view.removed_at(address)
    if not removed:
        return ()
    listed = view.listed_at(address)
    listed += [server for server in view.unconfirmed if server.address == address]
    endpoint = service_endpoint(packet)
    services = view.services_at(*endpoint)
    if any(server.service in services for server in listed):
        return ()
    ports = {server.port for server in listed}
    left = tuple(r for r in removed if r.server.port not in ports)
    known = tuple(r for r in left if r.server.service in services)
    if known or (services and view.knows_all_services(*endpoint, now())):
        return known
    # A flow may be of a service that the route had before this process started.
    return () if listed else left

"""Hosts that may hold a flow whose host the entry does not know."""

import socket

from msgspec import Struct

from balsamspool.datagram._codec import service_number
from balsamspool.datagram.messages import ANY_SERVICE
from balsamspool.datagram.packet import Packet, service_endpoint
from balsamspool.kernel.clock import now
from balsamspool.placement.load import LoadBoard
from balsamspool.placement.lookup import LOOKUP_LIMIT, order_lookup
from balsamspool.placement.ranking import by_failure_domain
from balsamspool.plugins.catalog import BackendServer, CatalogPlugin
from balsamspool.plugins.datagram_entry.flow import EntryFlow
from balsamspool.plugins.datagram_entry.presence import HostPresence


class Holders(Struct, frozen=True):
    """The hosts to query for a flow.

    Attributes:
        services: Services of the route, the present ones first.
        listed: Number of their listed hosts.
        departed: Number of their hosts that were removed and still report.
        others: Number of hosts of other services that may hold the flow.
        servers: Backend servers to query, the most likely first.
    """

    services: tuple[str, ...]
    listed: int
    departed: int
    others: int
    servers: list[BackendServer]

    @property
    def addresses(self) -> tuple[bytes, ...]:
        """Addresses of the agents to query, 4 octets each."""
        found = (socket.inet_aton(server.address) for server in self.servers)
        return tuple(dict.fromkeys(found))

    @property
    def service(self) -> int:
        """Number of the service whose hosts may receive the packet."""
        if len(self.services) == 1:
            return service_number(self.services[0])
        return ANY_SERVICE

    @property
    def exhaustive(self) -> bool:
        """Whether the hosts to query include all of the services of the route."""
        return len(self.servers) >= self.listed + self.departed


class FurtherHosts(Struct, frozen=True):
    """Hosts of other services that are queried after those of a route.

    Attributes:
        addresses: Addresses of their agents, 4 octets each.
        asked: Those among them that an earlier query of the search covers, but whose
            agents may not know all flows.
        omitted: Number of further ones that a search has no room for.
    """

    addresses: tuple[bytes, ...]
    asked: frozenset[bytes]
    omitted: int


class PossibleHolders:
    """Selects the hosts to query, and checks whether a search covered all of them.

    Args:
        catalog: Published routes and backend servers.
        board: Latest load of each host.
        failure_domain: Failure domain of the entry.
    """

    __slots__ = ("_board", "_catalog", "_failure_domain", "_presence")

    def __init__(
        self, catalog: CatalogPlugin, board: LoadBoard, failure_domain: str
    ) -> None:
        self._catalog = catalog
        self._board = board
        self._failure_domain = failure_domain
        self._presence = HostPresence(catalog, board)

    def find(self, packet: Packet) -> Holders:
        """Return the hosts that may hold the flow of a packet."""
        view = self._catalog.view
        services = view.services_at(*service_endpoint(packet))
        listed: list[BackendServer] = []
        departed: list[BackendServer] = []
        for service in services:
            listed.extend(self._listed(service))
            departed.extend(
                removed.server
                for removed in view.recently_removed_from(service)
                if self._presence.still_reports(removed)
                and removed.server not in view.unconfirmed
            )
        found = order_lookup(
            packet.flow_from_caller,
            by_failure_domain(listed),
            by_failure_domain(departed),
            self._board,
            self._failure_domain,
        )
        # Agents of other services deliver a packet only if they know its flow, so no
        # packet reaches a backend server for which it is not meant. An agent that has
        # not run for long may not know a flow of its backend server, and says that it
        # is unsure. Without the number of one service, they are queried later.
        others = self.of_other_services(packet) if len(services) == 1 else []
        found += others[: LOOKUP_LIMIT - len(found)]
        return Holders(services, len(listed), len(departed), len(others), found)

    def of_other_services(self, packet: Packet) -> list[BackendServer]:
        """Return hosts of other services that may hold the flow of a packet."""
        view = self._catalog.view
        endpoint = service_endpoint(packet)
        if view.knows_all_services(*endpoint, now()):
            return []
        listed = view.unknown_holders(*endpoint, now())
        services = view.services_at(*endpoint)
        removed = view.recently_removed_except(services)
        listed += [s for s in view.unconfirmed if s.service not in services]
        return listed + [r.server for r in removed if self._presence.still_reports(r)]

    def further(self, packet: Packet, flow: EntryFlow) -> FurtherHosts:
        """Return the hosts of other services that a search has yet to query.

        Args:
            packet: Packet of the flow.
            flow: The flow, with the hosts that the search covers so far.
        """
        others = self.of_other_services(packet)
        found = tuple(dict.fromkeys(socket.inet_aton(s.address) for s in others))
        asked: frozenset[bytes] = frozenset()
        if flow.unsure and flow.service != ANY_SERVICE:
            asked = flow.queried.intersection(found)
        unasked = [a for a in found if a in asked or a not in flow.queried]
        room = max(0, LOOKUP_LIMIT - len(flow.queried) + len(asked))
        return FurtherHosts(tuple(unasked[:room]), asked, len(unasked[room:]))

    def asked_all_services(self, packet: Packet, flow: EntryFlow) -> bool:
        """Return whether the last search covers each service that may hold a flow."""
        holders = self.of_other_services(packet)
        queried = all(socket.inet_aton(s.address) in flow.queried for s in holders)
        return not holders or (queried and not flow.unsure)

    def knows_more_services(self, packet: Packet, flow: EntryFlow) -> bool:
        """Return whether an earlier service of the route is known since the search."""
        services = self._catalog.view.services_at(*service_endpoint(packet))
        return flow.service != ANY_SERVICE and len(services) > 1

    def queried_all_listed(self, packet: Packet, flow: EntryFlow) -> bool:
        """Return whether the last search queried every host that is listed now."""
        view = self._catalog.view
        return all(
            socket.inet_aton(server.address) in flow.queried
            for service in view.services_at(*service_endpoint(packet))
            for server in self._listed(service)
        )

    def _listed(self, service: str) -> list[BackendServer]:
        """Return the listed backend servers of a service, confirmed or not."""
        view = self._catalog.view
        unconfirmed = (s for s in view.unconfirmed if s.service == service)
        return [*view.listed(service), *unconfirmed]

"""Decides what happens to a packet that opens a flow."""

from msgspec import Struct

from balsamspool.datagram.packet import address_of, port_of
from balsamspool.kernel.clock import now
from balsamspool.placement.load import LoadBoard
from balsamspool.placement.opening import Choice, order_choices
from balsamspool.placement.rendezvous import choose_target
from balsamspool.plugins.catalog import CatalogPlugin, Route

# No route leads to a service, or no backend server accepts new flows, or all of those
# that do are in failure domains out of service.
NO_ROUTE, NO_HOST, OUT_OF_SERVICE = "no-route", "no-host", "out-of-service"


class PlaceAt(Struct, frozen=True):
    """The flow opens at the first choice that accepts it.

    Attributes:
        route: Route of the flow.
        service: Service that was chosen among the targets of the route.
        choices: Backend servers, the preferred one first.
    """

    route: Route
    service: str
    choices: list[Choice]


class Reject(Struct, frozen=True):
    """The caller gets a reset.

    Attributes:
        reason: Why the flow cannot open.
        route: Route of the flow, None if there is none.
        service: Service that was chosen, None without a route.
    """

    reason: str
    route: Route | None = None
    service: str | None = None


class Ignore(Struct, frozen=True):
    """The packet is dropped, because its flow may open or be open elsewhere.

    Attributes:
        reason: Why the flow cannot open here.
        route: Route of the flow, None if there is none.
        service: Service that was chosen, None without a route.
    """

    reason: str
    route: Route | None = None
    service: str | None = None


class AwaitCatalog(Struct, frozen=True):
    """The packet waits until a route table is in force."""


Decision = PlaceAt | Reject | Ignore | AwaitCatalog


class OpeningPolicy:
    """Decides about opening packets; a decision changes nothing but cached sums.

    Args:
        catalog: Published routes and backend servers.
        board: Latest load of each host.
        failure_domain: Failure domain of the entry.
    """

    __slots__ = ("_board", "_catalog", "_failure_domain")

    def __init__(
        self, catalog: CatalogPlugin, board: LoadBoard, failure_domain: str
    ) -> None:
        self._catalog = catalog
        self._board = board
        self._failure_domain = failure_domain

    def decide(self, key: bytes, attempt: int) -> Decision:
        """Decide about an opening packet.

        Args:
            key: Key of the flow, from the caller.
            attempt: Number of earlier copies of the packet.
        """
        view = self._catalog.view
        endpoint = key[6:]
        route = view.route(address_of(endpoint), port_of(endpoint))
        if route is None:
            if view.table is None:
                return AwaitCatalog()
            return self._refuse(attempt, NO_ROUTE, None, None)
        service = choose_target(key, route.targets).service
        servers = view.ready_by_domain(service)
        if not servers:
            reason = OUT_OF_SERVICE if view.ready(service) else NO_HOST
            return self._refuse(attempt, reason, route, service)
        choices = order_choices(
            key, service, servers, self._board, now(), self._failure_domain
        )
        return PlaceAt(route, service, choices)

    def _refuse(
        self, attempt: int, reason: str, route: Route | None, service: str | None
    ) -> Reject | Ignore:
        if attempt or not self._catalog.fresh:
            # An earlier copy of the packet may have opened the flow through an entry
            # that knows the route.
            return Ignore(reason, route, service)
        return Reject(reason, route, service)

"""Terms of routes and of the own backend server, as entries tell them."""

from collections import OrderedDict

from msgspec import Struct

from balsamspool.datagram.messages import NO_ROUTE, Terms
from balsamspool.scheduling.terms import RequestTerms, ServerTerms

# Maximum number of routes whose terms are kept; the one used longest ago is forgotten.
MAX_ROUTES = 64
# Terms are asked for again after this time, so that changes reach the agent.
LIFETIME_SECONDS = 5.0
# Shortest time between two queries for the terms of one route.
QUERY_SECONDS = 0.2
# Terms of a route of which nothing is known yet.
DEFAULT_REQUEST = RequestTerms(priority=1, goal=1.0, limit=0.0)


class _RouteTerms(Struct):
    """Terms of one route.

    Attributes:
        request: The terms, None before the first answer.
        received: Event loop time in seconds of the answer.
        queried: Event loop time in seconds of the last query.
    """

    request: RequestTerms | None = None
    received: float = 0.0
    queried: float | None = None


class TermsTable:
    """Terms that entries have told this agent."""

    __slots__ = ("_routes", "_server")

    def __init__(self) -> None:
        self._routes: OrderedDict[bytes, _RouteTerms] = OrderedDict()
        self._server: ServerTerms | None = None

    @property
    def server(self) -> ServerTerms | None:
        """Terms of the backend server, None if no entry has told them yet."""
        return self._server

    def request(self, endpoint: bytes) -> RequestTerms:
        """Return the terms of the requests of a route.

        Args:
            endpoint: Address and port of the route, 6 octets.
        """
        found = self._routes.get(endpoint)
        if found is None or found.request is None:
            return DEFAULT_REQUEST
        return found.request

    def record(self, terms: Terms, time: float) -> None:
        """Record what an entry told.

        Args:
            terms: The terms.
            time: Event loop time in seconds.
        """
        self._server = terms.server
        if terms.endpoint == NO_ROUTE:
            return
        route = self._get_or_create(terms.endpoint)
        route.request, route.received = terms.request, time

    def query_due(self, endpoint: bytes, time: float) -> bool:
        """Return whether an entry is to be asked for the terms of a route now.

        The time of the query is recorded.

        Args:
            endpoint: Address and port of the route, 6 octets.
            time: Event loop time in seconds.
        """
        route = self._get_or_create(endpoint)
        current = time - route.received < LIFETIME_SECONDS
        if route.request is not None and current:
            return False
        if route.queried is not None and time - route.queried < QUERY_SECONDS:
            return False
        route.queried = time
        return True

    def _get_or_create(self, endpoint: bytes) -> _RouteTerms:
        found = self._routes.get(endpoint)
        if found is None:
            if len(self._routes) >= MAX_ROUTES:
                self._routes.popitem(last=False)
            found = self._routes[endpoint] = _RouteTerms()
        self._routes.move_to_end(endpoint)
        return found

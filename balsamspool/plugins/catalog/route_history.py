"""The route table in force, and where earlier tables directed each route."""

import logging
from collections.abc import Iterable

from balsamspool.plugins.catalog.events import ROUTES_IGNORED, ROUTES_IN_FORCE
from balsamspool.plugins.catalog.model import (
    Record,
    Route,
    RoutesPublished,
    RouteTable,
)
from balsamspool.plugins.catalog.revision import NO_REVISION

_logger = logging.getLogger(__name__)

# Longest life of a flow: callers use a flow for at most one minute. No open flow
# depends on a route table that was replaced longer ago than this.
FLOW_LIFE_SECONDS = 60.0
# Maximum number of earlier services that are remembered for each route. Unknown flows
# of the route are searched for in these services, because the route once directed flows
# to them.
MAX_PAST_SERVICES = 3

Endpoint = tuple[str, int]


class RouteHistory:
    """Routes by address and port, and their earlier services."""

    __slots__ = (
        "_past_services",
        "_revision",
        "_routed_services",
        "_routes",
        "_table",
        "_tracked_since",
    )

    def __init__(self) -> None:
        self._table: RouteTable | None = None
        self._revision = NO_REVISION
        self._routes: dict[Endpoint, Route] = {}
        # Services to which the table in force directs new flows.
        self._routed_services: set[str] = set()
        self._past_services: dict[Endpoint, tuple[str, ...]] = {}
        # Event loop time in seconds at which the first table was received.
        self._tracked_since: float | None = None

    @property
    def table(self) -> RouteTable | None:
        """Route table in force, None before the first."""
        return self._table

    def is_complete(self, time: float) -> bool:
        """Return whether this process knows all tables that open flows depend on.

        Args:
            time: Event loop time in seconds.
        """
        since = self._tracked_since
        return since is not None and time - since >= FLOW_LIFE_SECONDS

    def is_routed(self, service: str) -> bool:
        """Return whether a route leads to a service.

        Before the first table, a route may lead to any service.
        """
        return self._table is None or service in self._routed_services

    def route(self, endpoint: Endpoint) -> Route | None:
        """Return the route at an address and port, or None."""
        return self._routes.get(endpoint)

    def services_at(self, endpoint: Endpoint) -> tuple[str, ...]:
        """Return the services that may hold flows of a route, the present ones first.

        A route that is directed to another service keeps its open flows.
        """
        route = self._routes.get(endpoint)
        if route is None:
            return ()
        present = tuple(target.service for target in route.targets)
        past = self._past_services.get(endpoint, ())
        return (*present, *(service for service in past if service not in present))

    def apply(self, record: RoutesPublished, time: float) -> bool:
        """Put a table in force if it is newer, and return whether it is.

        Args:
            record: Record of the table.
            time: Event loop time in seconds.
        """
        table = record.table
        if self._table is not None and table.version <= self._table.version:
            if table.version < self._table.version:
                ROUTES_IGNORED.log(
                    _logger, offered=table.version, in_force=self._table.version
                )
                # A process that has started since a restore uses this table.
                self._remember_services(table.routes)
            return False
        if self._tracked_since is None:
            self._tracked_since = time
        # The services of each route are remembered before a newer table replaces them.
        self._remember_services(self._routes.values())
        self._table = table
        self._revision = record.revision
        self._routes = {(r.address, r.port): r for r in table.routes}
        self._routed_services = {t.service for r in table.routes for t in r.targets}
        ROUTES_IN_FORCE.log(
            _logger,
            version=table.version,
            revision=record.revision,
            routes=len(table.routes),
        )
        return True

    def learn(self, records: Iterable[Record]) -> None:
        """Learn earlier tables from records of the time before the first read.

        Args:
            records: All records since a revision, in order of their revision.
        """
        for record in records:
            match record:
                case RoutesPublished(revision, table) if (
                    revision < self._revision or self._is_earlier(table)
                ):
                    self._remember_services(table.routes)

    def _is_earlier(self, table: RouteTable) -> bool:
        return self._table is not None and table.version < self._table.version

    def _remember_services(self, routes: Iterable[Route]) -> None:
        """Remember the services of routes, the latest of them first."""
        for route in routes:
            endpoint = (route.address, route.port)
            past = self._past_services.get(endpoint, ())
            services = tuple(target.service for target in route.targets)
            kept = tuple(service for service in past if service not in services)
            self._past_services[endpoint] = (*services, *kept)[:MAX_PAST_SERVICES]

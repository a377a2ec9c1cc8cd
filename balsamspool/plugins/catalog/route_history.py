"""The route table in force, and where earlier tables directed each route."""

import logging
from collections.abc import Iterable

from balsamspool.datagram.settings import FLOW_LIFE_SECONDS
from balsamspool.plugins.catalog.events import ROUTES_IGNORED, ROUTES_IN_FORCE
from balsamspool.plugins.catalog.model import (
    Record,
    Route,
    RoutesPublished,
    RouteTable,
)
from balsamspool.plugins.catalog.past_services import (
    NOT_LEFT,
    Endpoint,
    PastServices,
)
from balsamspool.plugins.catalog.revision import NO_REVISION, Revision

_logger = logging.getLogger(__name__)

# Time for which other entries may open flows by a table that this process has replaced:
# they get the next one later, or were paused or cut off.
OUTDATED_USE_SECONDS = 15.0
# Time for which flows may depend on a table that this process has replaced.
TABLE_RETENTION_SECONDS = FLOW_LIFE_SECONDS + OUTDATED_USE_SECONDS
# Interval at which earlier services are checked for those whose flows have ended.
EXPIRY_SECONDS = 1.0


class RouteHistory:
    """Routes by address and port, and their earlier services.

    Args:
        flow_life: Longest life of a flow in seconds.
    """

    __slots__ = (
        "_applied_at",
        "_expired_at",
        "_past_services",
        "_retention",
        "_revision",
        "_routed_services",
        "_routes",
        "_table",
        "_tracked_since",
    )

    def __init__(self, flow_life: float = FLOW_LIFE_SECONDS) -> None:
        self._retention = flow_life + OUTDATED_USE_SECONDS
        self._table: RouteTable | None = None
        self._revision = NO_REVISION
        self._routes: dict[Endpoint, Route] = {}
        # Services to which the table in force directs new flows.
        self._routed_services: set[str] = set()
        self._past_services = PastServices(self._retention)
        # Event loop time in seconds at which the table in force was applied.
        self._applied_at = 0.0
        self._expired_at = 0.0
        # Event loop time in seconds since which this process knows all tables.
        self._tracked_since: float | None = None

    @property
    def table(self) -> RouteTable | None:
        """Route table in force, None before the first."""
        return self._table

    @property
    def services(self) -> frozenset[str]:
        """Services to which the table in force directs new flows."""
        return frozenset(self._routed_services)

    def is_complete(self, endpoint: Endpoint, time: float) -> bool:
        """Return whether all services are known that may hold flows of a route.

        Args:
            endpoint: Address and port of the route.
            time: Event loop time in seconds.
        """
        since = self._tracked_since
        return (
            since is not None
            and time - since >= self._retention
            and self._past_services.are_known(endpoint, time)
        )

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
        present = _services(route)
        past = self._past_services.at(endpoint)
        return (*present, *(service for service in past if service not in present))

    def apply(
        self, record: RoutesPublished, time: float, all_tables: bool = True
    ) -> bool:
        """Put a table in force if it is newer, and return whether it is.

        Args:
            record: Record of the table.
            time: Event loop time in seconds.
            all_tables: Whether no table between this one and the one in force is
                missing. Other processes may have used such a table.
        """
        table = record.table
        if self._table is not None and table.version < self._table.version:
            ROUTES_IGNORED.log(
                _logger, offered=table.version, in_force=self._table.version
            )
            # A process that has started since a restore uses this table until a newer
            # one is published.
            self._record_earlier(table, NOT_LEFT)
            return False
        self._past_services.end_use(time)
        if self._table is not None and table.version == self._table.version:
            self._republish(record.revision, time, all_tables)
            return False
        if self._tracked_since is None or not all_tables:
            self._tracked_since = time
        earlier = self._table
        self._table = table
        self._revision = record.revision
        self._applied_at = time
        self._routes = {(r.address, r.port): r for r in table.routes}
        if earlier is not None:
            self._record_earlier(earlier, time)
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
                    self._record_earlier(table, self._applied_at)

    def expire(self, time: float) -> None:
        """Forget earlier services whose flows have ended.

        Args:
            time: Event loop time in seconds.
        """
        if time - self._expired_at >= EXPIRY_SECONDS:
            self._expired_at = time
            self._past_services.expire(time)

    def _republish(self, revision: Revision, time: float, all_tables: bool) -> None:
        """Record that the table in force was published again.

        A restored catalog may have contained an older table in between.
        """
        if not all_tables and Revision(revision).era > Revision(self._revision).era:
            self._tracked_since = time
        self._revision = max(revision, self._revision)

    def _is_earlier(self, table: RouteTable) -> bool:
        return self._table is not None and table.version < self._table.version

    def _record_earlier(self, table: RouteTable, time: float) -> None:
        """Record the services of an earlier table that the one in force lacks.

        Args:
            table: The earlier table.
            time: Event loop time in seconds at which it was no longer used.
        """
        for route in table.routes:
            endpoint = (route.address, route.port)
            later = self._routes.get(endpoint)
            if later is not None and later.targets == route.targets:
                continue
            present = _services(later) if later is not None else ()
            left = [s for s in _services(route) if s not in present]
            if left:
                self._past_services.record(endpoint, left, time)


def _services(route: Route) -> tuple[str, ...]:
    return tuple(target.service for target in route.targets)

"""What a process knows of the published catalog."""

import logging
from collections.abc import Callable

from msgspec import Struct

from balsamspool.plugins.catalog.events import (
    RECORD_IGNORED,
    ROUTES_IGNORED,
    ROUTES_IN_FORCE,
    SERVER_CHANGED,
    SERVER_REMOVAL_DELAYED,
    SERVER_REMOVED,
)
from balsamspool.plugins.catalog.model import (
    BackendServer,
    BackendState,
    Record,
    RecordIgnored,
    Route,
    RoutesPublished,
    RouteTable,
    ServerPublished,
    ServerRemoved,
    Snapshot,
)

_logger = logging.getLogger(__name__)

# Entries that lapsed during an outage of the service are back within about 2 s.
RETURN_SECONDS = 2.2
# An outage that ended longer ago explains no missing entry.
OUTAGE_MEMORY_SECONDS = 4.0
# A backend server that was removed may still hold flows for so long.
DEPARTED_SECONDS = 20.0
# Removals of this share of a service within RETURN_SECONDS look like lapsed entries.
MASS_REMOVAL_SHARE = 0.5
# Callers use a flow for a minute at the most, so older tables concern no open flow.
FLOW_LIFE_SECONDS = 60.0

# Earlier services of a route at which its flows are looked for.
MAX_PAST_SERVICES = 3


class _Missing(Struct):
    """A backend server that is no longer listed but still used.

    Attributes:
        removed: Revision of the removal.
        until: Event loop time in seconds at which it counts as gone.
    """

    removed: int
    until: float


class _Departed(Struct, frozen=True):
    """A backend server that is gone.

    Attributes:
        server: The backend server.
        until: Event loop time in seconds until which flows may still belong to it.
    """

    server: BackendServer
    until: float


class CatalogView:
    """Routes and backend servers by the newest known revision of each."""

    __slots__ = (
        "_created",
        "_departed",
        "_missing",
        "_outage_end",
        "_past_services",
        "_ready_cache",
        "_records",
        "_listed_cache",
        "_revisions",
        "_routes",
        "_servers",
        "_subscribers",
        "_table",
        "_table_revision",
        "_tracked_since",
        "_version",
    )

    def __init__(self) -> None:
        self._table: RouteTable | None = None
        self._table_revision = 0
        self._routes: dict[tuple[str, int], Route] = {}
        self._past_services: dict[tuple[str, int], tuple[str, ...]] = {}
        self._servers: dict[str, BackendServer] = {}
        self._revisions: dict[str, int] = {}
        # Revision at which each listed backend server was first listed.
        self._created: dict[str, int] = {}
        # Event loop time of the first route table in seconds.
        self._tracked_since: float | None = None
        self._missing: dict[str, _Missing] = {}
        self._departed: dict[str, _Departed] = {}
        self._outage_end: float | None = None
        self._ready_cache: dict[str, tuple[BackendServer, ...]] = {}
        self._listed_cache: dict[str, tuple[BackendServer, ...]] = {}
        self._version = 0
        self._subscribers: list[Callable[[], None]] = []

    @property
    def table(self) -> RouteTable | None:
        """Route table in force, None before the first."""
        return self._table

    @property
    def table_revision(self) -> int:
        """Revision of the record that holds the route table in force."""
        return self._table_revision

    @property
    def version(self) -> int:
        """Counter that grows with each change of routes or backend servers."""
        return self._version

    @property
    def servers(self) -> list[BackendServer]:
        """All listed backend servers."""
        return list(self._servers.values())

    @property
    def gone(self) -> list[BackendServer]:
        """Backend servers that were removed a short time ago."""
        return [departed.server for departed in self._departed.values()]

    def revision_of(self, name: str) -> int:
        """Return the newest known revision of a backend server, 0 if unknown."""
        return self._revisions.get(name, 0)

    def records(self) -> tuple[RoutesPublished | ServerPublished, ...]:
        """Return all known records, for a peer."""
        servers = [
            ServerPublished(
                self._revisions[server.name], server, self._created[server.name]
            )
            for server in self._servers.values()
        ]
        if self._table is None:
            return tuple(servers)
        return (RoutesPublished(self._table_revision, self._table), *servers)

    def route(self, address: str, port: int) -> Route | None:
        """Return the route at an address, or None."""
        return self._routes.get((address, port))

    def services_at(self, address: str, port: int) -> tuple[str, ...]:
        """Return the services whose hosts may hold flows of a route.

        A route that is directed to another service keeps its open flows, so its
        earlier services come after those of the table in force.
        """
        route = self.route(address, port)
        if route is None:
            return ()
        present = tuple(target.service for target in route.targets)
        past = self._past_services.get((address, port), ())
        return (*present, *(service for service in past if service not in present))

    def knows_services(self, address: str, port: int, time: float) -> bool:
        """Return whether `services_at` names every service that holds flows of a route.

        A process that has just started does not know earlier tables. A backend server
        of another service holds no flow of the route if it was first listed under the
        table in force.

        Args:
            address: IPv4 address of the route.
            port: UDP port of the route.
            time: Event loop time in seconds.
        """
        since = self._tracked_since
        if since is not None and time - since >= FLOW_LIFE_SECONDS:
            return True
        services = self.services_at(address, port)
        return all(
            server.service in services or self._created[name] >= self._table_revision
            for name, server in self._servers.items()
        )

    def ready(self, service: str) -> tuple[BackendServer, ...]:
        """Return the backend servers of a service that take new flows."""
        found = self._ready_cache.get(service)
        if found is None:
            found = tuple(
                server
                for server in self._servers.values()
                if server.service == service and server.state is BackendState.READY
            )
            self._ready_cache[service] = found
        return found

    def listed(self, service: str) -> tuple[BackendServer, ...]:
        """Return the listed backend servers of a service, in any state."""
        found = self._listed_cache.get(service)
        if found is None:
            found = tuple(s for s in self._servers.values() if s.service == service)
            self._listed_cache[service] = found
        return found

    def departed(self, service: str) -> tuple[BackendServer, ...]:
        """Return the backend servers of a service that were removed a short time ago.

        One whose entry lapsed while it could not reach the service that publishes the
        catalog still holds its flows.
        """
        servers = (departed.server for departed in self._departed.values())
        return tuple(server for server in servers if server.service == service)

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call a function after each change of routes or backend servers."""
        self._subscribers.append(callback)

    @property
    def missing(self) -> bool:
        """Whether a backend server is kept although it is not listed."""
        return bool(self._missing)

    def missing_delay(self, time: float) -> float:
        """Return the seconds until no backend server is kept that is not listed.

        Args:
            time: Event loop time in seconds.
        """
        ends = [missing.until for missing in self._missing.values()]
        return max(0.0, max(ends, default=time) - time)

    def note_outage(self, time: float) -> None:
        """Record that the service that publishes the catalog did not answer."""
        self._outage_end = time

    def apply(self, record: Record, time: float) -> None:
        """Take over a record unless a newer one of the same name is known.

        Args:
            record: The record.
            time: Event loop time in seconds.
        """
        match record:
            case RoutesPublished():
                if self._tracked_since is None:
                    self._tracked_since = time
                self._take_routes(record)
            case ServerPublished(revision, server, created):
                if revision > self._revisions.get(server.name, 0):
                    self._created[server.name] = created
                    self._take_server(server, revision, time)
            case ServerRemoved(revision, name):
                if revision > self._revisions.get(name, 0):
                    self._remove(name, revision, time)
            case RecordIgnored(revision, name, detail):
                if revision > self._revisions.get(name, 0):
                    RECORD_IGNORED.log(
                        _logger, name=name, revision=revision, detail=detail
                    )
                    self._remove(name, revision, time)

    def replace(self, snapshot: Snapshot, time: float) -> None:
        """Take over a snapshot; backend servers that it does not list are removed.

        Args:
            snapshot: All records.
            time: Event loop time in seconds.
        """
        listed = set()
        for record in snapshot.records:
            match record:
                case ServerPublished(_, server):
                    listed.add(server.name)
                case RecordIgnored(_, name, _):
                    listed.add(name)
            self.apply(record, time)
        for name in list(self._servers):
            # A record that is newer than the first page was added between the pages.
            if name not in listed and self._revisions[name] <= snapshot.revision:
                self._remove(name, snapshot.revision, time)

    def expire(self, time: float) -> None:
        """Remove what was kept for a limited time.

        Args:
            time: Event loop time in seconds.
        """
        for name, missing in list(self._missing.items()):
            if time >= missing.until:
                self._drop(name, missing.removed, time)
        gone = [n for n, d in self._departed.items() if time >= d.until]
        for name in gone:
            del self._departed[name]
        if gone:
            self._changed()

    def _take_routes(self, record: RoutesPublished) -> None:
        table = record.table
        if self._table is not None and table.version <= self._table.version:
            if table.version < self._table.version:
                ROUTES_IGNORED.log(
                    _logger, offered=table.version, in_force=self._table.version
                )
            return
        self._remember_services()
        self._table = table
        self._table_revision = record.revision
        self._routes = {(r.address, r.port): r for r in table.routes}
        self._changed()
        ROUTES_IN_FORCE.log(
            _logger,
            version=table.version,
            revision=record.revision,
            routes=len(table.routes),
        )

    def _remember_services(self) -> None:
        """Keep the services of each route before another table replaces it."""
        for endpoint, route in self._routes.items():
            past = self._past_services.get(endpoint, ())
            new = [t.service for t in route.targets if t.service not in past]
            if new:
                kept = (*new, *past)[:MAX_PAST_SERVICES]
                self._past_services[endpoint] = kept

    def _take_server(self, server: BackendServer, revision: int, time: float) -> None:
        before = self._servers.get(server.name)
        self._revisions[server.name] = revision
        other = self._at_address(server)
        if other is not None:
            # An instance has one backend server. An entry that is not renewed any more
            # stays listed for a while after the next one has started there.
            if _started_after(other, server):
                if before is not None:
                    self._drop(server.name, revision, time)
                return
            self._drop(other.name, self._revisions[other.name], time)
        self._missing.pop(server.name, None)
        self._departed.pop(server.name, None)
        self._servers[server.name] = server
        self._changed()
        if before is None or before.state is not server.state:
            SERVER_CHANGED.log(
                _logger,
                server=server.name,
                service=server.service,
                address=server.address,
                state=server.state.value,
                revision=revision,
            )

    def _at_address(self, server: BackendServer) -> BackendServer | None:
        """Return another listed backend server at the same address, or None."""
        for other in self._servers.values():
            if other.address == server.address and other.name != server.name:
                return other
        return None

    def _remove(self, name: str, revision: int, time: float) -> None:
        server = self._servers.get(name)
        if server is None:
            self._revisions[name] = max(revision, self._revisions.get(name, 0))
            return
        if name in self._missing:
            return
        if server.state is BackendState.READY and self._may_return(server, time):
            self._missing[name] = _Missing(revision, time + RETURN_SECONDS)
            SERVER_REMOVAL_DELAYED.log(
                _logger, server=name, service=server.service, revision=revision
            )
            return
        self._drop(name, revision, time)

    def _may_return(self, server: BackendServer, time: float) -> bool:
        outage = self._outage_end
        if outage is not None and time - outage < OUTAGE_MEMORY_SECONDS:
            return True
        ready = self.ready(server.service)
        dropped = self._recently_dropped(server.service, time)
        missing = sum(1 for s in ready if s.name in self._missing) + 1 + dropped
        # The last backend server is kept too: there is no other to use instead.
        return missing >= max(1.0, MASS_REMOVAL_SHARE * (len(ready) + dropped))

    def _recently_dropped(self, service: str, time: float) -> int:
        """Return how many backend servers of a service ceased without draining."""
        since = time - RETURN_SECONDS
        return sum(
            1
            for departed in self._departed.values()
            if departed.server.service == service
            and departed.server.state is BackendState.READY
            and departed.until - DEPARTED_SECONDS >= since
        )

    def _drop(self, name: str, revision: int, time: float) -> None:
        server = self._servers.pop(name)
        self._created.pop(name, None)
        self._missing.pop(name, None)
        self._revisions[name] = max(revision, self._revisions.get(name, 0))
        self._departed[name] = _Departed(server, time + DEPARTED_SECONDS)
        self._changed()
        SERVER_REMOVED.log(
            _logger,
            server=name,
            service=server.service,
            address=server.address,
            revision=revision,
        )

    def _changed(self) -> None:
        self._version += 1
        self._ready_cache.clear()
        self._listed_cache.clear()
        for callback in self._subscribers:
            callback()


def _started_after(server: BackendServer, other: BackendServer) -> bool:
    """Return whether a backend server is known to have started after another one."""
    if server.started_ms is None or other.started_ms is None:
        return False
    return server.started_ms > other.started_ms

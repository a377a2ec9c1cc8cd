"""State of the published catalog as one process knows it."""

import logging
from collections.abc import Callable, Collection, Sequence

from balsamspool.datagram.settings import FLOW_LIFE_SECONDS
from balsamspool.kernel.counters import CounterSet
from balsamspool.plugins.catalog.address_index import AddressIndex
from balsamspool.plugins.catalog.cordons import Cordons
from balsamspool.plugins.catalog.events import (
    RECORD_IGNORED,
    SERVER_CHANGED,
    SERVER_REMOVAL_DELAYED,
    SERVER_REMOVED,
)
from balsamspool.plugins.catalog.fleet_restart import FleetState, Listing
from balsamspool.plugins.catalog.model import (
    BackendServer,
    BackendState,
    DomainCordoned,
    DomainUncordoned,
    Record,
    RecordIgnored,
    Route,
    RoutesPublished,
    RouteTable,
    ServerPublished,
    ServerRemoved,
    Snapshot,
)
from balsamspool.plugins.catalog.removals import (
    RELISTING_SECONDS,
    DelayedRemovals,
    RemovedServer,
    RemovedServers,
)
from balsamspool.plugins.catalog.restored_reports import RestoredReports
from balsamspool.plugins.catalog.revision import NO_REVISION, Revision
from balsamspool.plugins.catalog.route_history import RouteHistory
from balsamspool.plugins.catalog.server_index import ServerIndex
from balsamspool.plugins.catalog.warmups import Warmups

_logger = logging.getLogger(__name__)


class CatalogView:
    """Routes and backend servers, each at its newest known revision.

    Args:
        flow_life: Longest life of a flow in seconds.
        counters: Counters of the process, None to count for nobody.
    """

    __slots__ = (
        "_addresses",
        "_cordons",
        "_delayed",
        "_index",
        "_removed",
        "_restored",
        "_revisions",
        "_routes",
        "_servers",
        "_subscribers",
        "_version",
        "_warmups",
    )

    def __init__(
        self,
        flow_life: float = FLOW_LIFE_SECONDS,
        counters: CounterSet | None = None,
    ) -> None:
        self._routes = RouteHistory(flow_life)
        self._servers: dict[str, BackendServer] = {}
        self._addresses = AddressIndex(self._servers, self._routes.is_routed)
        self._cordons = Cordons(counters or CounterSet())
        self._index = ServerIndex(self._servers, self._addresses, self._cordons)
        self._warmups = Warmups(self._cordons)
        self._revisions: dict[str, Revision] = {}
        self._delayed = DelayedRemovals()
        self._removed = RemovedServers()
        self._restored = RestoredReports(
            self._servers, self._revisions, self._removed, self._delayed
        )
        self._version = 0
        self._subscribers: list[Callable[[], None]] = []

    @property
    def table(self) -> RouteTable | None:
        """Route table in force, None before the first."""
        return self._routes.table

    @property
    def version(self) -> int:
        """Counter that grows with each change of routes or backend servers."""
        return self._version

    @property
    def servers(self) -> list[BackendServer]:
        """All listed backend servers."""
        return list(self._servers.values())

    @property
    def cordons(self) -> Cordons:
        """Failure domains that are out of service."""
        return self._cordons

    @property
    def warmups(self) -> Warmups:
        """How long the listed backend servers still warm up."""
        return self._warmups

    @property
    def recently_removed(self) -> list[BackendServer]:
        """Backend servers that were removed a short time ago."""
        return [removed.server for removed in self._removed.all]

    def listed_at(self, address: str) -> list[BackendServer]:
        """Return the backend servers that are listed at an address."""
        return self._addresses.at(address)

    def removed_at(self, address: str) -> tuple[RemovedServer, ...]:
        """Return the backend servers of an address that were removed lately."""
        return self._removed.at(address)

    @property
    def unconfirmed(self) -> list[BackendServer]:
        """Backend servers of a restored catalog that may have stopped before it.

        They may hold flows, and get no new ones.
        """
        return self._restored.servers

    def route(self, address: str, port: int) -> Route | None:
        """Return the route at an address, or None."""
        return self._routes.route((address, port))

    def services_at(self, address: str, port: int) -> tuple[str, ...]:
        """Return the services whose hosts may hold flows of a route."""
        return self._routes.services_at((address, port))

    def knows_all_services(self, address: str, port: int, time: float) -> bool:
        """Return whether all services are known that may hold flows of a route.

        Args:
            address: IPv4 address of the route.
            port: UDP port of the route.
            time: Event loop time in seconds.
        """
        return self._routes.is_complete((address, port), time)

    def unknown_holders(
        self, address: str, port: int, time: float
    ) -> list[BackendServer]:
        """Return backend servers of other services that may hold flows of a route.

        A process that has just started does not know all earlier services of a route.
        Any host may be of such a service: that its entry is new does not show that the
        host is, because an entry that expired is created again.

        Args:
            address: IPv4 address of the route.
            port: UDP port of the route.
            time: Event loop time in seconds.
        """
        if self.knows_all_services(address, port, time):
            return []
        services = self.services_at(address, port)
        return [s for s in self._servers.values() if s.service not in services]

    def ready(self, service: str) -> tuple[BackendServer, ...]:
        """Return the backend servers of a service that accept new flows."""
        return self._index.ready(service)

    def ready_by_domain(self, service: str) -> dict[str, list[BackendServer]]:
        """Return the backend servers that accept new flows, by failure domain.

        Failure domains that are out of service are left out.
        """
        return self._index.ready_by_domain(service)

    def listed(self, service: str) -> tuple[BackendServer, ...]:
        """Return the listed backend servers of a service, in any state."""
        return self._index.listed(service)

    def recently_removed_from(self, service: str) -> tuple[RemovedServer, ...]:
        """Return the backend servers of a service that were removed lately."""
        return self._removed.of(service)

    def recently_removed_except(
        self, services: Collection[str]
    ) -> tuple[RemovedServer, ...]:
        """Return the backend servers of other services that were removed lately."""
        return self._removed.except_of(services)

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call a function after each change of routes or backend servers."""
        self._subscribers.append(callback)

    @property
    def has_delayed_removals(self) -> bool:
        """Whether the removal of any backend server is delayed."""
        return bool(self._delayed.names)

    def seconds_until_removals(self, time: float) -> float:
        """Return the seconds until all delayed removals have taken effect.

        Args:
            time: Event loop time in seconds.
        """
        return self._delayed.seconds_left(time)

    def fleet_state(self, time: float) -> FleetState:
        """Return the listed and removed backend servers, to judge their restart.

        Args:
            time: Event loop time in seconds.
        """
        delayed = [RemovedServer(self._servers[n], time) for n in self._delayed.names]
        listed = (s for n, s in self._servers.items() if n not in self._delayed.names)
        return FleetState(
            tuple(Listing(s, self._addresses.created(s)) for s in listed),
            (*self._removed.all, *delayed),
            self._routes.services,
            self._cordons.any_ended,
        )

    def record_outage(self, time: float) -> None:
        """Record that the publishing service did not answer at a time in seconds."""
        self._delayed.record_outage(time)

    def learn_history(self, records: Sequence[Record]) -> None:
        """Learn earlier route tables from records before the first read."""
        self._routes.learn(records)

    def apply(self, record: Record, time: float, all_tables: bool = True) -> None:
        """Apply a record unless a newer one of the same name is known.

        Args:
            record: The record.
            time: Event loop time in seconds.
            all_tables: Whether no route table before the record is missing.
        """
        match record:
            case RoutesPublished(_, table):
                if self._routes.apply(record, time, all_tables):
                    self._warmups.record_table(table)
                    self._on_change()
            case ServerPublished(revision, server, created) if self._is_new(
                server.name, revision
            ):
                if self._restored.hold_outdated(record, time):
                    self._on_change()
                else:
                    self._apply_server(server, revision, created, time)
            case ServerRemoved(revision, name) if self._is_new(name, revision):
                self._remove_or_delay(name, revision, time)
            case DomainCordoned(revision, domain):
                known = {s.failure_domain for s in self._servers.values()}
                if self._cordons.add(domain, revision, known, time):
                    self._on_change()
            case DomainUncordoned(revision, domain):
                if self._cordons.remove(domain, revision, time):
                    self._on_change()
            case RecordIgnored(revision, name, detail) if self._is_new(name, revision):
                RECORD_IGNORED.log(_logger, name=name, revision=revision, detail=detail)
                self._remove_or_delay(name, revision, time)

    def replace(self, snapshot: Snapshot, time: float) -> None:
        """Apply a snapshot and remove the backend servers that it does not list.

        Args:
            snapshot: All records.
            time: Event loop time in seconds.
        """
        # The backend servers of a failure domain are applied before its cordon.
        for record in sorted(snapshot.records, key=_is_cordon):
            self.apply(record, time, all_tables=False)
        listed, cordoned = snapshot.server_names, snapshot.cordoned_domains
        for name in list(self._servers):
            # The snapshot may miss a backend server that was added while its pages were
            # read. The record of such a server is newer, so the server is kept.
            if name not in listed and self._revisions[name] <= snapshot.revision:
                self._remove_or_delay(name, snapshot.revision, time)
        self._restored.retain(listed, snapshot.revision)
        if self._cordons.retain(cordoned, snapshot.revision, time, RELISTING_SECONDS):
            self._on_change()

    def expire(self, time: float) -> None:
        """Complete removals that are due, and forget what flows no longer depend on.

        Args:
            time: Event loop time in seconds.
        """
        self._routes.expire(time)
        if self._cordons.expire(time):
            self._on_change()
        for name, revision in self._delayed.due(time):
            self._remove_now(name, revision, time)
        for report in self._restored.take_due(time):
            self._apply_server(report.server, report.revision, report.created, time)
        if self._removed.expire(time):
            self._on_change()

    def _is_new(self, name: str, revision: Revision) -> bool:
        return revision > self._revisions.get(name, NO_REVISION)

    def _apply_server(
        self,
        server: BackendServer,
        revision: Revision,
        created: Revision,
        time: float,
    ) -> None:
        before = self._servers.get(server.name)
        self._revisions[server.name] = revision
        self._delayed.discard(server.name)
        self._removed.discard(server.name)
        self._restored.discard(server.name)
        if before is not None:
            self._addresses.discard(before)
        self._servers[server.name] = server
        self._addresses.add(server, created)
        self._remove_succeeded(server, time)
        self._warmups.record(server, time)
        self._on_change()
        if before is None or before.state is not server.state:
            SERVER_CHANGED.log(
                _logger,
                server=server.name,
                service=server.service,
                address=server.address,
                state=server.state.value,
                revision=revision,
            )
        if before is None or before.address != server.address:
            self._addresses.log_shared(server)

    def _remove_or_delay(self, name: str, revision: Revision, time: float) -> None:
        server = self._servers.get(name)
        self._restored.discard(name)
        if server is None:
            self._revisions[name] = max(
                revision, self._revisions.get(name, NO_REVISION)
            )
            return
        if name in self._delayed.names:
            return
        may_be_relisted = (
            server.state is BackendState.READY
            and not self._addresses.is_succeeded(server)
            and self._delayed.may_be_relisted(
                server.service, self.ready(server.service), self._removed.all, time
            )
        )
        if may_be_relisted:
            self._delayed.add(name, revision, time)
            SERVER_REMOVAL_DELAYED.log(
                _logger, server=name, service=server.service, revision=revision
            )
            return
        self._remove_now(name, revision, time)

    def _remove_succeeded(self, successor: BackendServer, time: float) -> None:
        """Complete the delayed removals of those that a backend server succeeds."""
        for server in list(self._addresses.others(successor)):
            delayed = self._delayed.get(server.name)
            if delayed is not None and self._addresses.is_succeeded(server):
                self._remove_now(server.name, delayed.removal_revision, time)

    def _remove_now(self, name: str, revision: Revision, time: float) -> None:
        server = self._servers[name]
        succeeded = self._addresses.is_succeeded(server)
        self._addresses.discard(server)
        del self._servers[name]
        self._warmups.forget(name)
        self._delayed.discard(name)
        self._revisions[name] = max(revision, self._revisions.get(name, NO_REVISION))
        expired = self._delayed.may_have_expired(time)
        self._removed.add(RemovedServer(server, time, expired, succeeded))
        self._on_change()
        SERVER_REMOVED.log(
            _logger,
            server=name,
            service=server.service,
            address=server.address,
            revision=revision,
        )

    def _on_change(self) -> None:
        self._version += 1
        self._index.clear()
        for callback in self._subscribers:
            callback()


def _is_cordon(record: Record) -> bool:
    return isinstance(record, DomainCordoned)

"""Published routes and backend servers, independent of how they are published."""

from enum import Enum
from typing import Annotated

from msgspec import Meta, Struct

from balsamspool.kernel.settings import Port
from balsamspool.plugins.catalog.revision import NO_REVISION, Revision

# The bounds are far above what occurs. They keep one odd value from making a message
# to peers impossible to encode, from overflowing a calculation, or from filling the log
# and the memory of each process.
Label = Annotated[str, Meta(min_length=1, max_length=255)]
Slots = Annotated[int, Meta(ge=1, le=65_535)]
Weight = Annotated[int, Meta(ge=0, le=1_000_000)]
Priority = Annotated[int, Meta(ge=0, le=1_000_000)]
Version = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]
Milliseconds = Annotated[float, Meta(ge=0, le=86_400_000)]
Rate = Annotated[float, Meta(ge=0, le=1_000_000)]
# Up to the year 2100: a backend server that claims a later start would replace any
# other one at its address.
UnixMilliseconds = Annotated[int, Meta(ge=0, le=4_102_444_800_000)]
Sequence = Annotated[int, Meta(ge=0, le=(1 << 53) - 1)]


class RouteKind(Enum):
    """Kind of the requests that a route carries."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    DOWNLOAD = "download"


class BackendState(Enum):
    """State that a backend server reports."""

    READY = "ready"
    DRAINING = "draining"


class Target(Struct, frozen=True):
    """A service to which a route sends a share of its new flows.

    Attributes:
        service: Name of the service.
        weight: Share relative to the other targets, above 0.
    """

    service: Label
    weight: Weight = 1


class Route(Struct, frozen=True):
    """An address at which callers reach a service.

    Attributes:
        name: Name of the route.
        address: IPv4 address in dotted form.
        port: UDP port.
        targets: Services that receive new flows, at least one.
        kind: Kind of the requests.
        goal: Latency objective of a request in seconds.
        priority: Priority, 0 is the highest.
        limit: Seconds after which the caller of a request no longer waits for it, 0 if
            it is not known.
    """

    name: str
    address: str
    port: Port
    targets: tuple[Target, ...]
    kind: RouteKind = RouteKind.SAFE
    goal: float = 1.0
    priority: Priority = 0
    limit: float = 0.0


class SlowStart(Struct, frozen=True):
    """How many new flows the backend servers of a service bear while they warm up.

    Attributes:
        service: Name of the service.
        seconds: Duration of the warm-up after a start in seconds.
        flows_per_second: New flows a second that one backend server bears.
    """

    service: Label
    seconds: float
    flows_per_second: float


class RouteTable(Struct, frozen=True):
    """All routes of one version.

    Attributes:
        version: Version of the table; a higher one is newer.
        routes: The routes.
        idle_seconds: Idle time after which the state of a flow may be deleted.
        slow_starts: Services whose backend servers bear few new flows while they warm
            up.
    """

    version: Version
    routes: tuple[Route, ...]
    idle_seconds: float
    slow_starts: tuple[SlowStart, ...] = ()


class BackendServer(Struct, frozen=True):
    """A backend server as the catalog lists it.

    Attributes:
        name: Name that is unique among all backend servers.
        service: Name of its service.
        address: IPv4 address of its instance.
        port: Port on which it receives packets from its own instance.
        failure_domain: Failure domain of its instance.
        slots: Number of requests that it runs at the same time.
        state: State that it reports.
        warmup: Seconds for which it still warmed up when its entry was written.
        started_ms: Its start in Unix milliseconds, None if it does not report it.
        sequence: Number of its report, which grows from the start of the backend server
            on; 0 if it does not report it.
    """

    name: str
    service: Label
    address: str
    port: Port
    failure_domain: Label
    slots: Slots
    state: BackendState
    warmup: float = 0.0
    started_ms: UnixMilliseconds | None = None
    sequence: Sequence = 0


class RoutesPublished(Struct, frozen=True, tag=True):
    """The route table was published.

    Attributes:
        revision: Revision of the record.
        table: The routes.
    """

    revision: Revision
    table: RouteTable


class ServerPublished(Struct, frozen=True, tag=True):
    """A backend server appeared or changed.

    Attributes:
        revision: Revision of the record.
        server: The backend server.
        created: Revision at which it was first listed, 0 if unknown.
    """

    revision: Revision
    server: BackendServer
    created: Revision = NO_REVISION


class ServerRemoved(Struct, frozen=True, tag=True):
    """A backend server is no longer listed.

    Attributes:
        revision: Revision of the removal.
        name: Name of the backend server.
    """

    revision: Revision
    name: str


class DomainCordoned(Struct, frozen=True, tag=True):
    """The operator took a failure domain out of service.

    Its backend servers keep their flows and get no new ones.

    Attributes:
        revision: Revision of the record.
        failure_domain: Name of the failure domain.
    """

    revision: Revision
    failure_domain: Label


class DomainUncordoned(Struct, frozen=True, tag=True):
    """The operator took a failure domain back into service.

    Attributes:
        revision: Revision of the change.
        failure_domain: Name of the failure domain.
    """

    revision: Revision
    failure_domain: Label


class RecordIgnored(Struct, frozen=True, tag=True):
    """A record that cannot be used.

    Attributes:
        revision: Revision of the record.
        name: Name under which the record is published.
        detail: What is wrong with the record.
    """

    revision: Revision
    name: str
    detail: str


Record = (
    RoutesPublished
    | ServerPublished
    | ServerRemoved
    | DomainCordoned
    | DomainUncordoned
    | RecordIgnored
)


class Snapshot(Struct, frozen=True):
    """All records, read page by page.

    Attributes:
        revision: Revision before the first page; changes after it may be missing.
        records: The records.
    """

    revision: Revision
    records: tuple[Record, ...]

    @property
    def server_names(self) -> set[str]:
        """Names of the backend servers, also of those whose record cannot be used."""
        names = set()
        for record in self.records:
            match record:
                case ServerPublished(_, server):
                    names.add(server.name)
                case RecordIgnored(_, name, _):
                    names.add(name)
        return names

    @property
    def cordoned_domains(self) -> set[str]:
        """Names of the failure domains that are out of service."""
        return {r.failure_domain for r in self.records if isinstance(r, DomainCordoned)}


class Changes(Struct, frozen=True):
    """Records that changed after a revision.

    Attributes:
        revision: Revision after which the next changes are to be read.
        records: The records, empty if nothing changed.
        all_tables: Whether the records contain each route table of the time, and not
            only the newest.
    """

    revision: Revision
    records: tuple[Record, ...]
    all_tables: bool = True

    def continues(self, after: Revision) -> bool:
        """Return whether the changes are of the same era as a revision.

        In another era, the number after which they were requested stands for another
        change, so records are missing.
        """
        return Revision(self.revision).era == Revision(after).era

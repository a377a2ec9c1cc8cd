"""History of a run as callers and backend servers saw it; the only input of checks."""

import math
from collections import defaultdict
from enum import Enum

from msgspec import Struct, field

from emulator.catalog_history import CatalogRestored, CatalogRun, ServerGone


class Result(Enum):
    """How a request of a caller ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    REFUSED = "refused"
    RESET = "reset"
    UNANSWERED = "unanswered"
    NOT_OPENED = "not-opened"


class Outcome(Struct, frozen=True):
    """A request as its caller saw it, with all attempts.

    Attributes:
        kind: Name of the kind of request.
        started: Time of the first attempt in seconds.
        seconds: Time in seconds until the last attempt ended.
        result: How the last attempt ended.
        attempts: Number of attempts.
        goal: Latency objective in seconds.
    """

    kind: str
    started: float
    seconds: float
    result: Result
    attempts: int
    goal: float


class Run(Struct, frozen=True):
    """A backend server started to run a request.

    Attributes:
        number: Number of the attempt.
        server: Name of the backend server.
        service: Its service.
        route: Endpoint of the route that the caller used.
        time: Time in seconds.
        waited: Seconds for which the request waited for a slot.
    """

    number: int
    server: str
    service: str
    route: bytes
    time: float
    waited: float


class Opening(Struct, frozen=True):
    """A backend server accepted an opening.

    Attributes:
        flow: Key of the flow.
        server: Name of the backend server.
        service: Its service.
        failure_domain: Its failure domain.
        sent: Time in seconds at which the caller sent this copy.
        time: Time in seconds at which it arrived.
    """

    flow: bytes
    server: str
    service: str
    failure_domain: str
    sent: float
    time: float


class OpenFlow(Struct):
    """A flow that is open at a backend server.

    Attributes:
        server: Name of the backend server.
        address: Address of its instance.
        opened: Time in seconds at which the caller confirmed it.
        arrivals: Times in seconds at which packets reached it.
        strays: Times in seconds at which packets reached another backend server.
        closed: Time in seconds at which the caller closed it or the server stopped.
    """

    server: str
    address: str
    opened: float
    arrivals: list[float] = field(default_factory=list)
    strays: list[float] = field(default_factory=list)
    closed: float = math.inf


class SystemReset(Struct, frozen=True):
    """A caller received a reset that no backend server sent.

    Attributes:
        flow: Key of the flow.
        sender: Address of the process that sent it.
        time: Time in seconds.
    """

    flow: bytes
    sender: str
    time: float


class Disturbance(Struct, frozen=True):
    """An unplanned trouble that affects some machines.

    Attributes:
        machines: Addresses of the machines.
        start: Start time in seconds.
        end: End time in seconds.
        name: Kind of trouble.
    """

    machines: frozenset[str]
    start: float
    end: float
    name: str


class Drained(Struct, frozen=True):
    """The service that publishes the catalog accepted that a server drains.

    Attributes:
        server: Name of the backend server.
        time: Time in seconds.
        available: Whether the service answered all readers normally at that time.
    """

    server: str
    time: float
    available: bool


class DomainOut(Struct):
    """A span in which the operator had a failure domain out of service.

    Attributes:
        failure_domain: Name of the failure domain.
        time: Time in seconds at which the service that publishes the catalog accepted
            it.
        until: Time in seconds at which the operator took it back.
    """

    failure_domain: str
    time: float
    until: float = math.inf


class RoutesChanged(Struct, frozen=True):
    """The service that publishes the catalog accepted a route table.

    Attributes:
        version: Version of the route table.
        time: Time in seconds.
        services: Services to which each route directs flows, by endpoint of the route.
    """

    version: int
    time: float
    services: dict[bytes, frozenset[str]]


class History:
    """Collects what callers and backend servers observe in a run."""

    __slots__ = (
        "catalog_runs",
        "disturbances",
        "domains_out",
        "drained",
        "flows",
        "forged",
        "gone",
        "openings",
        "outcomes",
        "resets",
        "restores",
        "routes",
        "runs",
        "sent_via",
    )

    def __init__(self) -> None:
        self.outcomes: list[Outcome] = []
        self.runs: list[Run] = []
        self.openings: list[Opening] = []
        self.flows: dict[bytes, OpenFlow] = {}
        self.resets: list[SystemReset] = []
        self.disturbances: list[Disturbance] = []
        self.domains_out: list[DomainOut] = []
        self.drained: list[Drained] = []
        self.routes: list[RoutesChanged] = []
        self.forged: list[str] = []
        self.gone: list[ServerGone] = []
        self.restores: list[CatalogRestored] = []
        self.catalog_runs: list[CatalogRun] = []
        # Time in seconds and address of the entry of each packet of a caller, by flow.
        self.sent_via: defaultdict[bytes, list[tuple[float, str]]] = defaultdict(list)

    def record_arrival(self, flow: bytes, server: str, time: float) -> None:
        """Record a packet that reached a backend server."""
        found = self.flows.get(flow)
        if found is None or found.closed <= time:
            return
        arrived = found.arrivals if found.server == server else found.strays
        arrived.append(time)

    def record_closed(self, flow: bytes, time: float) -> None:
        """Record that a flow was closed."""
        found = self.flows.get(flow)
        if found is not None:
            found.closed = min(found.closed, time)

    def record_disturbance(
        self, machines: set[str], seconds: float, time: float, name: str
    ) -> None:
        """Record an unplanned trouble.

        Args:
            machines: Addresses of the machines.
            seconds: Duration in seconds.
            time: Start time in seconds.
            name: Kind of trouble.
        """
        found = Disturbance(frozenset(machines), time, time + seconds, name)
        self.disturbances.append(found)

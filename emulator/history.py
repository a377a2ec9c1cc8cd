"""What callers and backend servers saw in a run; checks read nothing else."""

import math
from collections import defaultdict
from enum import Enum

from msgspec import Struct, field


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
        seconds: Time until it ended in seconds.
        result: How it ended.
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
    """A backend server began to work on a request.

    Attributes:
        number: Number of the attempt.
        server: Name of the backend server.
        service: Its service.
        route: Endpoint of the route that the caller used.
        time: Time in seconds.
        waited: Seconds that it waited for a slot.
    """

    number: int
    server: str
    service: str
    route: bytes
    time: float
    waited: float


class Opening(Struct, frozen=True):
    """A backend server took an opening.

    Attributes:
        flow: Key of the flow.
        server: Name of the backend server.
        service: Its service.
        sent: Time in seconds at which the caller sent this copy.
        time: Time in seconds at which it arrived.
    """

    flow: bytes
    server: str
    service: str
    sent: float
    time: float


class OpenFlow(Struct):
    """A flow that is open at a backend server.

    Attributes:
        server: Name of the backend server.
        address: Address of its instance.
        opened: Time in seconds.
        arrivals: Times in seconds at which packets reached it.
        strays: Times in seconds at which packets reached another backend server.
        closed: Time in seconds at which either end closed it, or the server ended.
    """

    server: str
    address: str
    opened: float
    arrivals: list[float] = field(default_factory=list)
    strays: list[float] = field(default_factory=list)
    closed: float = math.inf


class SystemReset(Struct, frozen=True):
    """A caller got a reset that no backend server sent.

    Attributes:
        flow: Key of the flow.
        sender: Address of the process that sent it.
        time: Time in seconds.
    """

    flow: bytes
    sender: str
    time: float


class Disturbance(Struct, frozen=True):
    """An unplanned trouble of some machines.

    Attributes:
        machines: Addresses of the machines.
        start: Time in seconds.
        end: Time in seconds.
        name: What it was.
    """

    machines: frozenset[str]
    start: float
    end: float
    name: str


class Drained(Struct, frozen=True):
    """The service that publishes the catalog acknowledged that a server drains.

    Attributes:
        server: Name of the backend server.
        time: Time in seconds.
        available: Whether the service served all readers.
    """

    server: str
    time: float
    available: bool


class RoutesChanged(Struct, frozen=True):
    """A route table was acknowledged.

    Attributes:
        version: Its version.
        time: Time in seconds.
        services: Services by endpoint of the route.
    """

    version: int
    time: float
    services: dict[bytes, frozenset[str]]


class History:
    """Collects what happened."""

    __slots__ = (
        "disturbances",
        "drained",
        "flows",
        "forged",
        "openings",
        "outcomes",
        "resets",
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
        self.drained: list[Drained] = []
        self.routes: list[RoutesChanged] = []
        self.forged: list[str] = []
        # Entry and time in seconds of each packet of a caller, by flow.
        self.sent_via: defaultdict[bytes, list[tuple[float, str]]] = defaultdict(list)

    def note_arrival(self, flow: bytes, server: str, time: float) -> None:
        """Record a packet that reached a backend server."""
        found = self.flows.get(flow)
        if found is None or found.closed <= time:
            return
        arrived = found.arrivals if found.server == server else found.strays
        arrived.append(time)

    def note_closed(self, flow: bytes, time: float) -> None:
        """Record that an end closed a flow."""
        found = self.flows.get(flow)
        if found is not None:
            found.closed = min(found.closed, time)

    def disturb(
        self, machines: set[str], seconds: float, time: float, name: str
    ) -> None:
        """Record an unplanned trouble.

        Args:
            machines: Addresses of the machines.
            seconds: How long it lasts.
            time: Time in seconds at which it begins.
            name: What it is.
        """
        found = Disturbance(frozenset(machines), time, time + seconds, name)
        self.disturbances.append(found)

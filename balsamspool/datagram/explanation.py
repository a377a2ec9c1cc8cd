"""Explanation of a placement, as an entry gives it and a command reads it."""

from enum import Enum
from typing import Any

from msgspec import Struct

# Path of the admin page; `caller` and `route` in the query are IPv4:port.
EXPLAIN_PATH = "/explain"


class Outcome(Enum):
    """What an entry does with a packet that opens a flow."""

    PLACE = "place"
    REJECT = "reject"
    IGNORE = "ignore"
    AWAIT_CATALOG = "await-catalog"


class Reason(Enum):
    """What keeps new flows of a caller away from a host."""

    DRAINING = "draining"
    SUCCEEDED = "succeeded"
    OUT_OF_SERVICE = "out-of-service"
    SILENT = "silent"
    NO_ANSWER = "no-answer"
    RANK = "rank"
    NEVER_REPORTED = "never-reported"


class HostExplanation(Struct):
    """What an entry knows of one host of the service.

    Attributes:
        server: Name of the backend server.
        address: IPv4 address of its agent.
        failure_domain: Its failure domain.
        slots: Requests that it runs at the same time.
        warmup_left: Seconds for which it still warms up.
        reasons: What keeps it out, or for a candidate what speaks against it.
        report: Latest load report by field, None if there was none.
        report_age: Age of the report in seconds.
        placed: Flows placed here by this entry since the report.
        choice: Facts by which a candidate was chosen by field, None for other hosts.
        order_cost: Cost with penalties, by which candidates are ordered.
    """

    server: str
    address: str
    failure_domain: str
    slots: int
    warmup_left: float
    reasons: list[Reason]
    report: dict[str, Any] | None = None
    report_age: float | None = None
    placed: int = 0
    choice: dict[str, Any] | None = None
    order_cost: float | None = None


class RouteExplanation(Struct):
    """Route of the flow.

    Attributes:
        name: Name of the route.
        weights: Weights of its services by name.
        service: Service that is chosen for this flow.
    """

    name: str
    weights: dict[str, int]
    service: str


class CatalogExplanation(Struct):
    """Catalog by which an entry decides.

    Attributes:
        routes_version: Version of the route table in force, None before the first.
        era: Era of the newest known revision.
        revision: Number of the newest known revision.
        age_seconds: Seconds since the last answer of the service, None before it.
        fresh: Whether the catalog is recent enough to reject a flow.
        out_of_service: Failure domains out of service.
    """

    routes_version: int | None
    era: int
    revision: int
    age_seconds: float | None
    fresh: bool
    out_of_service: list[str]


class Explanation(Struct):
    """Where a new flow would go from one entry, and why.

    Attributes:
        instance: Name of the entry.
        failure_domain: Its failure domain.
        state: State of its process.
        flow: The flow as logs name it.
        outcome: What the entry does with the opening packet.
        catalog: Catalog by which it decides.
        reason: Why the flow is not placed, None if it is.
        route: Route of the flow, None if there is none.
        candidates: Hosts to which the packet goes, the first one and those that take
            over.
        others: Hosts of the service that are left out, at most 64; those
            with a reason of their own come first.
        left_out: Number of all hosts that are left out, by reason. A host with several
            reasons counts for each.
    """

    instance: str
    failure_domain: str
    state: str
    flow: str
    outcome: Outcome
    catalog: CatalogExplanation
    reason: str | None = None
    route: RouteExplanation | None = None
    candidates: list[HostExplanation] = []
    others: list[HostExplanation] = []
    left_out: dict[str, int] = {}

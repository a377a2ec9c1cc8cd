"""Messages between entries and agents of the datagram front end."""

from msgspec import Struct

from balsamspool.placement.load import LoadReport
from balsamspool.scheduling.terms import RequestTerms, ServerTerms

# Service number in messages whose packet may belong to any service.
ANY_SERVICE = 0
# Endpoint in terms that only tell of the backend server.
NO_ROUTE = bytes(6)


class Forward(Struct):
    """A packet of a caller on its way to a backend server.

    Attributes:
        service: Number of the service that may receive the packet.
        origin: Address of the entry that received the packet, 4 octets.
        hops: Number of agents that passed the packet on.
        unconfirmed: Whether the entry has to be notified which host holds the flow.
        skipped: Whether an agent passed the packet on without delivering it to its
            backend server.
        alternatives: Addresses of the agents to query next, 4 octets each.
        payload: The packet.
        unsure: Whether an agent of another service passed the packet on that has not
            run for long enough to know all flows of its backend server.
    """

    service: int
    origin: bytes
    hops: int
    unconfirmed: bool
    skipped: bool
    alternatives: tuple[bytes, ...]
    payload: bytes | memoryview
    unsure: bool = False


class FlowLocated(Struct, frozen=True):
    """The sender's backend server holds a flow.

    Attributes:
        flow: Key of the flow.
    """

    flow: bytes


class FlowEnded(Struct, frozen=True):
    """The sender's backend server no longer holds a flow.

    Attributes:
        flow: Key of the flow.
    """

    flow: bytes


class PacketReturned(Struct, frozen=True):
    """A packet returned to its entry because no queried agent holds its flow.

    Attributes:
        hops: Number of agents that were queried.
        skipped: Whether an agent passed the packet on without delivering it to its
            backend server.
        payload: The packet.
        unsure: As in `Forward`.
    """

    hops: int
    skipped: bool
    payload: bytes | memoryview
    unsure: bool = False


class Subscribe(Struct, frozen=True):
    """Request of an entry for load reports.

    Attributes:
        lease: Seconds for which the entry subscribes to reports.
        period: Shortest time between two reports in seconds, 0 for no limit.
    """

    lease: float
    period: float = 0.0


class Report(Struct, frozen=True):
    """Load of the sender's backend server, without its work left.

    Attributes:
        load: The load.
    """

    load: LoadReport


class WorkReport(Struct, frozen=True):
    """Load and work left of the sender's backend server.

    It replaces `Report` for an entry that sent `Terms`. An older entry ignores it.

    Attributes:
        load: The load.
    """

    load: LoadReport


class Announce(Struct, frozen=True):
    """An entry announces itself, to learn which entries are to read the catalog.

    Attributes:
        failure_domain: Number of its failure domain.
        revision: Position in the history of the catalog up to which it knows all
            changes, as an integer that grows with the position.
        reaches_service: Whether it can read the service that publishes the catalog.
    """

    failure_domain: int
    revision: int
    reaches_service: bool


class Readers(Struct, frozen=True):
    """Reply to `Announce`: the entries that are to read the catalog.

    Attributes:
        readers: Addresses of the first entries of the failure domain in the order in
            which they are to read, 4 octets each.
        entries: Number of entries of the failure domain.
        newest_revision: Newest position that any entry announced.
    """

    readers: tuple[bytes, ...]
    entries: int
    newest_revision: int


class QueryTerms(Struct, frozen=True):
    """An agent asks the entry of an opening for the terms of its route.

    Attributes:
        endpoint: Address and port of the route, 6 octets.
    """

    endpoint: bytes


class Terms(Struct, frozen=True):
    """What an agent has to know of a route and of its own backend server.

    Agents don't read the catalog; the entries that place flows at them tell them what
    they need.

    Attributes:
        endpoint: Address and port of the route, 6 octets, or ``NO_ROUTE``.
        request: Terms of the requests of the route.
        server: Terms of the backend server.
    """

    endpoint: bytes
    request: RequestTerms
    server: ServerTerms


SmallMessage = (
    FlowLocated
    | FlowEnded
    | Subscribe
    | Report
    | WorkReport
    | Announce
    | Readers
    | QueryTerms
    | Terms
)
Message = Forward | PacketReturned | SmallMessage

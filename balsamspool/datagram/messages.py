"""Messages between entries and agents of the datagram front end."""

from msgspec import Struct

from balsamspool.placement.load import LoadReport

# Service number in messages whose packet may belong to any service.
ANY_SERVICE = 0


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
    """

    service: int
    origin: bytes
    hops: int
    unconfirmed: bool
    skipped: bool
    alternatives: tuple[bytes, ...]
    payload: bytes | memoryview


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
    """

    hops: int
    skipped: bool
    payload: bytes | memoryview


class Subscribe(Struct, frozen=True):
    """Request of an entry for load reports.

    Attributes:
        lease: Seconds for which the entry subscribes to reports.
    """

    lease: float


class Report(Struct, frozen=True):
    """Load of the sender's backend server.

    Attributes:
        load: The load.
    """

    load: LoadReport


Message = Forward | FlowLocated | FlowEnded | PacketReturned | Subscribe | Report

"""Messages between entries and agents of the datagram front end."""

from msgspec import Struct

from balsamspool.placement.load import LoadReport

# Number of a service in messages that may concern any service.
ANY_SERVICE = 0


class Forward(Struct):
    """A packet of a caller on its way to a backend server.

    Attributes:
        service: Number of the service that may take the packet.
        origin: Address of the entry that received it, 4 octets.
        hops: Agents that passed it on.
        unconfirmed: Whether the entry wants to know who holds the flow.
        skipped: Whether an agent passed it on without asking its backend server.
        alternatives: Addresses of agents to ask next, 4 octets each.
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
    """No agent that was asked holds the flow of a packet.

    Attributes:
        hops: Agents that were asked.
        skipped: Whether an agent passed it on without asking its backend server.
        payload: The packet.
    """

    hops: int
    skipped: bool
    payload: bytes | memoryview


class Subscribe(Struct, frozen=True):
    """The sender wants load reports for a while.

    Attributes:
        lease: Seconds for which reports are wanted.
    """

    lease: float


class Report(Struct, frozen=True):
    """Load of the sender's backend server.

    Attributes:
        load: The load.
    """

    load: LoadReport


Message = Forward | FlowLocated | FlowEnded | PacketReturned | Subscribe | Report

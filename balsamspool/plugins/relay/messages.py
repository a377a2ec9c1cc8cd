"""Messages of the relay, numbers 30 to 50."""

from dataclasses import dataclass

from balsamspool.plugins.mesh.message import mesh_message


@dataclass(frozen=True, slots=True)
class RelayId:
    """Identifies a relayed request.

    Attributes:
        issuer: Incarnation of the process that relays the request.
        number: Number that grows with each request of that incarnation.
    """

    issuer: bytes
    number: int


@mesh_message(30)
@dataclass(frozen=True, slots=True)
class RelayRequest:
    """Request that a peer is to run.

    Attributes:
        relay: ID of the request.
        method: HTTP method.
        path: Path with query.
        headers: Header fields.
        remaining_ms: Milliseconds to the deadline when sent, None for no deadline.
        trace_context: Value of ``traceparent``, empty for none.
        has_body: Whether a body follows.
    """

    relay: RelayId
    method: str
    path: str
    headers: list[tuple[str, str]]
    remaining_ms: int | None
    trace_context: str
    has_body: bool


@mesh_message(31)
@dataclass(frozen=True, slots=True)
class RelayBody:
    """A part of the request's body; sequence numbers start at 0."""

    relay: RelayId
    sequence: int
    data: bytes
    last: bool


@mesh_message(32)
@dataclass(frozen=True, slots=True)
class RelayCredit:
    """Total cost that the receiver of this message may send, counted from the start.

    Because the cost is a total, a lost, late or repeated message causes no wrong
    credit.
    """

    relay: RelayId
    bytes: int


@mesh_message(33)
@dataclass(frozen=True, slots=True)
class RelayCancel:
    """The issuer no longer wants the answer."""

    relay: RelayId


@mesh_message(34)
@dataclass(frozen=True, slots=True)
class RelayHead:
    """Status and header fields of the answer; they count as sequence number 0."""

    relay: RelayId
    status: int
    headers: list[tuple[str, str]]


@mesh_message(35)
@dataclass(frozen=True, slots=True)
class RelayData:
    """A part of the answer's body; sequence numbers start at 1."""

    relay: RelayId
    sequence: int
    data: bytes


@mesh_message(36)
@dataclass(frozen=True, slots=True)
class RelayEnd:
    """The answer is complete.

    Attributes:
        relay: ID of the request.
        count: Number of parts, the head included.
        bytes: Length of the body.
    """

    relay: RelayId
    count: int
    bytes: int


@mesh_message(37)
@dataclass(frozen=True, slots=True)
class RelayFailed:
    """The answer will stay incomplete.

    Attributes:
        relay: ID of the request.
        code: Number of the result code.
        detail: What happened.
        outcome: Value of ``Outcome``; the issuer never concludes "not run" from it.
    """

    relay: RelayId
    code: int
    detail: str
    outcome: str


@mesh_message(38)
@dataclass(frozen=True, slots=True)
class RelayNotRun:
    """The peer did not run the request and will not.

    Attributes:
        relay: ID of the request.
        code: Number of the result code.
        detail: What happened.
        retry_after: Seconds after which a caller may try again, if known.
    """

    relay: RelayId
    code: int
    detail: str
    retry_after: float | None = None


@mesh_message(39)
@dataclass(frozen=True, slots=True)
class RelayHeartbeat:
    """The sender still processes the request.

    Attributes:
        relay: ID of the request.
        bytes: Total cost that the receiver may send, as in ``RelayCredit``.
        sent: Number of parts that the sender has sent.
    """

    relay: RelayId
    bytes: int
    sent: int


@mesh_message(50, lifetime=2.0)
@dataclass(frozen=True, slots=True)
class LoadReport:
    """State and load of an agent.

    Attributes:
        state: ``accepting`` or ``leaving``.
        load: Slots and queue in use, 0 to 255; 128 means that all slots are busy.
        expected_wait: Seconds that a new request waits.
    """

    state: str
    load: int
    expected_wait: float

"""What callers and backend servers saw during one run. Times are ``monotonic()``."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Whole:
    """The caller got a whole answer.

    Attributes:
        status: HTTP status.
        result: Result code of an answer that the system made, empty for none.
        outcome: What such an answer says of the request, empty for none.
        body: The body.
        expected: The body that the backend server must have sent, None if unknown.
    """

    status: int
    result: str
    outcome: str
    body: bytes
    expected: bytes | None = None


@dataclass(frozen=True, slots=True)
class Rejected:
    """The stream was reset with H3_REQUEST_REJECTED, which states "not run"."""


@dataclass(frozen=True, slots=True)
class Cut:
    """The stream was reset or the connection lost before the answer was whole.

    Attributes:
        code: Error code of the reset, None for a lost connection.
    """

    code: int | None = None


@dataclass(frozen=True, slots=True)
class GaveUp:
    """The caller stopped waiting and cancelled the request."""


@dataclass(frozen=True, slots=True)
class NotConnected:
    """The caller could not open a connection, so it sent nothing."""


Ending = Whole | Rejected | Cut | GaveUp | NotConnected


@dataclass(frozen=True, slots=True)
class Attempt:
    """One request as its caller saw it.

    Attributes:
        request_id: ID that the backend server records; retries carry the same.
        keyed: Whether it carried a request key.
        sent: Time at which it was sent in seconds.
        ended: Time at which the caller knew its end in seconds.
        ending: How it ended.
    """

    request_id: str
    keyed: bool
    sent: float
    ended: float
    ending: Ending

    @property
    def not_run(self) -> bool:
        """Whether the caller was told that the request was not run."""
        match self.ending:
            case Whole(outcome=outcome):
                return outcome == "not-run"
            case Rejected():
                return True
            case _:
                return False

    @property
    def succeeded(self) -> bool:
        """Whether the backend server answered in full."""
        return isinstance(self.ending, Whole) and self.ending.status == 200


@dataclass(frozen=True, slots=True)
class Run:
    """One execution at a backend server.

    Attributes:
        request_id: ID of the request.
        server: Name of the backend server.
        start: Time at which it began in seconds.
    """

    request_id: str
    server: str
    start: float


@dataclass(slots=True)
class Feed:
    """A feed as its caller saw it.

    Attributes:
        name: Name of the feed.
        messages: Server and number of each message in the order of arrival.
        before_end: Number of messages when the faults ended.
        cut: Whether the stream was reset or the connection lost.
    """

    name: str
    messages: list[tuple[str, int]] = field(default_factory=list)
    before_end: int = 0
    cut: bool = False


@dataclass(frozen=True, slots=True)
class Stop:
    """A planned stop.

    Attributes:
        instance: Name of the instance.
        exit_code: Exit code, None if the process did not end in time.
    """

    instance: str
    exit_code: int | None


@dataclass(frozen=True, slots=True)
class HostEnd:
    """State of a host after the faults.

    Attributes:
        instance: Name of the instance.
        slots: Slots of the configuration.
        usable: Free slots that the agent may use when all is quiet.
        peak_busy: Most requests that the backend server ran at the same time.
    """

    instance: str
    slots: int
    usable: int
    peak_busy: int


@dataclass(slots=True)
class History:
    """Everything that was seen in one run.

    Attributes:
        planned: Whether all faults were planned changes.
        killed: Names of the agents that were killed.
        recovered_after: Time from the end of the faults to the first moment at which
            every service answered in seconds, None for never.
    """

    planned: bool
    attempts: list[Attempt] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    feeds: list[Feed] = field(default_factory=list)
    stops: list[Stop] = field(default_factory=list)
    hosts: list[HostEnd] = field(default_factory=list)
    killed: set[str] = field(default_factory=set)
    faults: list[str] = field(default_factory=list)
    recovered_after: float | None = None

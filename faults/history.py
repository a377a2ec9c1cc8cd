"""What callers and backend servers observed in one run.

All times are values of ``monotonic()``.
"""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class CompleteAnswer:
    """The caller received a complete answer.

    Attributes:
        status: HTTP status.
        result: Result code of an answer that balsamspool made, empty for an answer of
            the backend server.
        outcome: Outcome of the request that balsamspool reported with the result code,
            empty for an answer of the backend server.
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
    """The stream was reset with H3_REQUEST_REJECTED, which means "not run"."""


@dataclass(frozen=True, slots=True)
class Interrupted:
    """The stream was reset or the connection lost before the answer was complete.

    Attributes:
        code: Error code of the reset, None for a lost connection.
    """

    code: int | None = None


@dataclass(frozen=True, slots=True)
class TimedOut:
    """The caller stopped waiting and cancelled the request."""


@dataclass(frozen=True, slots=True)
class NotConnected:
    """The caller could not open a connection and did not send the request."""


FinalState = CompleteAnswer | Rejected | Interrupted | TimedOut | NotConnected


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt to send a request, as its caller observed it.

    Attributes:
        request_id: ID that the backend server records; all retries use the same ID.
        keyed: Whether the request carried a request key.
        sent_at: Time at which the attempt began in seconds.
        ended_at: Time at which the caller learned the final state in seconds.
        final_state: How the attempt ended.
    """

    request_id: str
    keyed: bool
    sent_at: float
    ended_at: float
    final_state: FinalState

    @property
    def not_run(self) -> bool:
        """Whether the caller was told that the request was not run."""
        match self.final_state:
            case CompleteAnswer(outcome=outcome):
                return outcome == "not-run"
            case Rejected():
                return True
            case _:
                return False

    @property
    def succeeded(self) -> bool:
        """Whether the backend server answered in full."""
        return (
            isinstance(self.final_state, CompleteAnswer)
            and self.final_state.status == 200
        )


@dataclass(frozen=True, slots=True)
class Run:
    """One execution at a backend server.

    Attributes:
        request_id: ID of the request.
        server: Name of the backend server.
        start: Time at which the execution began in seconds.
    """

    request_id: str
    server: str
    start: float


@dataclass(slots=True)
class Feed:
    """A feed as its caller observed it.

    Attributes:
        name: Name of the feed.
        messages: Backend server and number of each message in the order of arrival.
        count_at_fault_end: Number of messages when the faults ended.
        interrupted: Whether the stream was reset or the connection lost.
    """

    name: str
    messages: list[tuple[str, int]] = field(default_factory=list)
    count_at_fault_end: int = 0
    interrupted: bool = False


@dataclass(frozen=True, slots=True)
class Stop:
    """A planned stop of a process.

    Attributes:
        instance: Name of the instance.
        exit_code: Exit code, None if the process did not exit in time.
    """

    instance: str
    exit_code: int | None


@dataclass(frozen=True, slots=True)
class HostState:
    """State of a host after the faults.

    Attributes:
        instance: Name of the instance.
        slots: Configured number of slots.
        usable: Slots that the agent can still use, after all requests have ended.
        peak_busy: Largest number of requests that the backend server ran at the same
            time.
    """

    instance: str
    slots: int
    usable: int
    peak_busy: int


@dataclass(slots=True)
class History:
    """Everything that was observed in one run.

    Attributes:
        planned: Whether all faults were planned changes.
        killed: Names of the agents that were killed.
        faults: Descriptions of the faults and log excerpts of failed stops, for output.
        recovery_seconds: Time from the end of the faults until every service answered,
            None if a service did not answer.
    """

    planned: bool
    attempts: list[Attempt] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    feeds: list[Feed] = field(default_factory=list)
    stops: list[Stop] = field(default_factory=list)
    hosts: list[HostState] = field(default_factory=list)
    killed: set[str] = field(default_factory=set)
    faults: list[str] = field(default_factory=list)
    recovery_seconds: float | None = None

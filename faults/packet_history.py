"""What callers, backend servers and the runner observed in a run with opaque flows."""

from dataclasses import dataclass, field

from standins.packets import Endpoint


@dataclass(frozen=True, slots=True)
class BrokenFlow:
    """A flow that broke before its caller closed it.

    Attributes:
        flow: Endpoint of the caller.
        time: Time at which the flow broke in seconds.
        reason: What the caller observed.
        had_answer: Whether a request was answered on the flow before.
        holder: Number of the machine whose backend server still held the flow open,
            None if there was no such backend server.
    """

    flow: Endpoint
    time: float
    reason: str
    had_answer: bool
    holder: int | None


@dataclass(frozen=True, slots=True)
class UnplannedFault:
    """The machines and the period of an unplanned fault.

    Attributes:
        machines: Numbers of the affected machines, empty for a fault of the store.
        start: Time at which the fault started in seconds.
        end: Time at which the fault ended in seconds.
    """

    machines: frozenset[int]
    start: float
    end: float


@dataclass(frozen=True, slots=True)
class LateOpening:
    """A flow that a draining backend server accepted after the time limit.

    Attributes:
        machine: Number of the machine of the backend server.
        seconds: Time since the backend server was listed as draining.
    """

    machine: int
    seconds: float


@dataclass(frozen=True, slots=True)
class DomainOut:
    """A span in which a failure domain was listed as out of service.

    Attributes:
        failure_domain: Name of the failure domain.
        start: Time from which it was listed in seconds.
        end: Time up to which it was listed in seconds.
    """

    failure_domain: str
    start: float
    end: float


@dataclass(frozen=True, slots=True)
class Opening:
    """A flow that a backend server accepted.

    Attributes:
        machine: Number of the machine of the backend server.
        failure_domain: Its failure domain.
        time: Time in seconds.
    """

    machine: int
    failure_domain: str
    time: float


@dataclass(slots=True)
class PacketHistory:
    """Everything that was observed in one run.

    Attributes:
        planned: Whether all faults were planned changes.
        faults: Descriptions of the faults, for output.
        requests: Number of requests that were sent.
        answered: Number of requests that were answered.
        broken_flows: Flows that broke before their callers closed them.
        unplanned_faults: Unplanned faults, which can explain resets and late openings.
        runs: Service of the backend server and data of each request that ran.
        late_openings: Flows that draining backend servers accepted too late.
        domains_out: Failure domains that were out of service.
        openings: Flows that backend servers accepted.
        forged: Number of packets that were altered between sender and receiver.
        exits: Numbers and names of processes that exited unexpectedly.
        restarted_tasks: Machines and names of tasks that failed and started again.
        unrecovered_services: Services whose route did not answer after all faults.
    """

    planned: bool
    faults: list[str] = field(default_factory=list)
    requests: int = 0
    answered: int = 0
    broken_flows: list[BrokenFlow] = field(default_factory=list)
    unplanned_faults: list[UnplannedFault] = field(default_factory=list)
    runs: list[tuple[str, bytes]] = field(default_factory=list)
    late_openings: list[LateOpening] = field(default_factory=list)
    domains_out: list[DomainOut] = field(default_factory=list)
    openings: list[Opening] = field(default_factory=list)
    forged: int = 0
    exits: list[str] = field(default_factory=list)
    restarted_tasks: list[str] = field(default_factory=list)
    unrecovered_services: list[str] = field(default_factory=list)

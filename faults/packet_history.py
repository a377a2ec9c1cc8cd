"""What callers, backend servers and the injector saw in a run with opaque flows."""

from dataclasses import dataclass, field

from standins.packets import Endpoint


@dataclass(frozen=True, slots=True)
class Broken:
    """A flow that ended before its caller closed it.

    Attributes:
        flow: Endpoint of the caller.
        time: Time in seconds.
        reason: What the caller saw.
        opened: Whether a request was answered on it before.
        holder: Machine whose backend server still held it open, None for none.
    """

    flow: Endpoint
    time: float
    reason: str
    opened: bool
    holder: int | None


@dataclass(frozen=True, slots=True)
class Disturbance:
    """An unplanned fault.

    Attributes:
        machines: Numbers of the machines, empty for the store.
        start: Time in seconds.
        end: Time in seconds.
    """

    machines: frozenset[int]
    start: float
    end: float


@dataclass(frozen=True, slots=True)
class LateOpening:
    """A flow that a draining backend server accepted after the bound.

    Attributes:
        machine: Number of its machine.
        seconds: Time since its report.
    """

    machine: int
    seconds: float


@dataclass(slots=True)
class PacketHistory:
    """All that was seen.

    Attributes:
        planned: Whether all faults were planned changes.
        faults: The faults, for people.
        requests: Requests that were sent.
        answered: Requests that were answered.
        broken: Flows that ended too soon.
        disturbances: Unplanned faults.
        runs: Service and data of each request that ran, with its route's service.
        late_openings: Flows at draining backend servers.
        forged: Packets that arrived otherwise than their sender wrote them.
        exits: Processes that ended by themselves.
        unanswered_after: Routes that did not answer after all faults.
    """

    planned: bool
    faults: list[str] = field(default_factory=list)
    requests: int = 0
    answered: int = 0
    broken: list[Broken] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    runs: list[tuple[str, bytes]] = field(default_factory=list)
    late_openings: list[LateOpening] = field(default_factory=list)
    forged: int = 0
    exits: list[str] = field(default_factory=list)
    unanswered_after: list[str] = field(default_factory=list)

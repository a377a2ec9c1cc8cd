"""Seeded schedules of faults for the front end of opaque flows."""

import random
from dataclasses import dataclass

from faults.step import Step
from standins.odd_entries import HARMFUL_ENTRIES, odd_entries
from standins.tcp_proxy import Condition, Delayed, Resetting, Silenced

# Range of the times at which faults start, from the start of the load.
FIRST_FAULT_SECONDS, LAST_FAULT_SECONDS = 0.8, 6.5
# Range of the durations of faults.
MIN_DURATION_SECONDS, MAX_DURATION_SECONDS = 0.3, 3.0
FAULTS_PER_SCHEDULE = 5
ODD_ENTRIES_PER_SCHEDULE = 8
# Ranges of the time at which a failure domain is taken out of service, of its duration,
# and of the duration of an earlier time out of service and of the pause after it.
CORDON_AT_SECONDS = (0.8, 2.5)
CORDON_SECONDS = (4.0, 5.5)
EARLIER_CORDON_SECONDS = (0.2, 1.0)
CORDON_PAUSE_SECONDS = (0.1, 0.5)
# Probability that a failure domain is taken out of service twice.
EARLIER_CORDON_PROBABILITY = 0.5
# Probability that a fault starts at most 0.2 s after the fault drawn before it.
SIMULTANEOUS_PROBABILITY = 0.35


@dataclass(frozen=True, slots=True)
class KillProcess:
    """A process is killed and restarted."""

    machine: int
    seconds: float


@dataclass(frozen=True, slots=True)
class FreezeProcess:
    """A process is paused with SIGSTOP and continued with SIGCONT."""

    machine: int
    seconds: float


@dataclass(frozen=True, slots=True)
class StopProcess:
    """An entry is stopped gracefully and restarted."""

    machine: int


@dataclass(frozen=True, slots=True)
class ReloadProcess:
    """A process receives SIGHUP and reads its settings again."""

    machine: int


@dataclass(frozen=True, slots=True)
class RestartServer:
    """A backend server loses all flows."""

    machine: int


@dataclass(frozen=True, slots=True)
class DrainServer:
    """A backend server is listed as draining and later as ready again."""

    machine: int
    seconds: float


@dataclass(frozen=True, slots=True)
class DisturbStore:
    """Connections from some entries to the store are delayed, silenced or reset."""

    machines: tuple[int, ...]
    condition: Condition
    seconds: float


@dataclass(frozen=True, slots=True)
class RefuseCalls:
    """The store refuses all calls."""

    seconds: float


@dataclass(frozen=True, slots=True)
class DropHistory:
    """The store drops its history."""


@dataclass(frozen=True, slots=True)
class PublishRoutes:
    """New versions of the routes are published in quick succession."""

    versions: int


@dataclass(frozen=True, slots=True)
class CordonDomain:
    """The operator takes a failure domain out of service and back."""

    seconds: float


Fault = (
    KillProcess
    | FreezeProcess
    | StopProcess
    | ReloadProcess
    | RestartServer
    | DrainServer
    | DisturbStore
    | RefuseCalls
    | DropHistory
    | PublishRoutes
    | CordonDomain
)

PLANNED_KINDS = (StopProcess, ReloadProcess, DrainServer, DropHistory, PublishRoutes)
ALL_KINDS = (
    *PLANNED_KINDS,
    KillProcess,
    KillProcess,
    FreezeProcess,
    FreezeProcess,
    RestartServer,
    DisturbStore,
    DisturbStore,
    RefuseCalls,
)


@dataclass(frozen=True, slots=True)
class Machines:
    """Numbers of the machines of a fleet.

    Attributes:
        entries: Machines with an entry.
        agents: Machines with an agent and a backend server, by service.
    """

    entries: tuple[int, ...]
    agents: tuple[tuple[int, ...], ...]


def make_odd_entries(seed: int) -> tuple[Step[bytes], ...]:
    """Return the odd entries that another writer leaves at the store.

    They are drawn apart from the faults, so that the faults of a seed stay the same.
    """
    rng = random.Random(f"odd entries {seed}")
    others = ODD_ENTRIES_PER_SCHEDULE - len(HARMFUL_ENTRIES)
    entries = [*HARMFUL_ENTRIES, *rng.sample(sorted(odd_entries()), others)]
    rng.shuffle(entries)
    step = LAST_FAULT_SECONDS / ODD_ENTRIES_PER_SCHEDULE
    return tuple(Step(number * step, entry) for number, entry in enumerate(entries))


def make_cordons(seed: int) -> tuple[Step[Fault], ...]:
    """Return when the operator takes a failure domain out of service.

    They are drawn apart from the faults, so that the faults of a seed stay the same.
    """
    rng = random.Random(f"cordons {seed}")
    at = rng.uniform(*CORDON_AT_SECONDS)
    steps: list[Step[Fault]] = []
    if rng.random() < EARLIER_CORDON_PROBABILITY:
        seconds = rng.uniform(*EARLIER_CORDON_SECONDS)
        steps.append(Step(at, CordonDomain(seconds)))
        at += seconds + rng.uniform(*CORDON_PAUSE_SECONDS)
    steps.append(Step(at, CordonDomain(rng.uniform(*CORDON_SECONDS))))
    return tuple(steps)


def is_planned(seed: int) -> bool:
    """Return whether all faults of a seed are planned changes."""
    return seed % 3 == 0


def make_schedule(seed: int, machines: Machines) -> tuple[Step[Fault], ...]:
    """Return the faults of a seed in order of time."""
    rng = random.Random(seed)
    kinds = PLANNED_KINDS if is_planned(seed) else ALL_KINDS
    steps: list[Step[Fault]] = []
    for _ in range(FAULTS_PER_SCHEDULE):
        at = rng.uniform(FIRST_FAULT_SECONDS, LAST_FAULT_SECONDS)
        if steps and rng.random() < SIMULTANEOUS_PROBABILITY:
            at = steps[-1].at + rng.uniform(0, 0.2)
        steps.append(Step(at, _make_fault(rng.choice(kinds), rng, machines)))
    return tuple(sorted(steps, key=lambda step: step.at))


def _make_fault(kind: type[Fault], rng: random.Random, machines: Machines) -> Fault:
    seconds = rng.uniform(MIN_DURATION_SECONDS, MAX_DURATION_SECONDS)
    entry = rng.choice(machines.entries)
    agent = rng.choice([n for service in machines.agents for n in service])
    if kind in (KillProcess, FreezeProcess):
        return kind(rng.choice((entry, agent)), seconds)
    if kind is StopProcess:
        return StopProcess(entry)
    if kind is ReloadProcess:
        return ReloadProcess(rng.choice((entry, agent)))
    if kind is RestartServer:
        return RestartServer(agent)
    if kind is DrainServer:
        # The first host of each service never drains, so that every flow can open.
        drainable = [n for service in machines.agents for n in service[1:]]
        return DrainServer(rng.choice(drainable), 4.0 + seconds)
    if kind is DisturbStore:
        count = rng.randint(1, len(machines.entries))
        chosen = tuple(rng.sample(machines.entries, count))
        return DisturbStore(chosen, _random_condition(rng), seconds)
    if kind is RefuseCalls:
        return RefuseCalls(seconds)
    if kind is DropHistory:
        return DropHistory()
    return PublishRoutes(rng.randint(1, 3))


def _random_condition(rng: random.Random) -> Condition:
    return rng.choice(
        [
            Delayed(rng.uniform(0.1, 0.6)),
            Silenced(),
            Silenced(requests=False),
            Silenced(answers=False),
            Resetting(),
        ]
    )

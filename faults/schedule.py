"""Seeded schedules of faults for the HTTP/3 front end."""

import random
from dataclasses import dataclass

from faults.step import Step

# Range of the times at which faults start, from the start of the load.
FIRST_FAULT_SECONDS, LAST_FAULT_SECONDS = 0.8, 5.5
# Range of the durations of faults.
MIN_DURATION_SECONDS, MAX_DURATION_SECONDS = 0.3, 2.5


@dataclass(frozen=True, slots=True)
class KillEntry:
    """An entry is killed and restarted."""

    number: int
    seconds: float


@dataclass(frozen=True, slots=True)
class KillAgent:
    """An agent is killed and restarted."""

    number: int
    seconds: float


@dataclass(frozen=True, slots=True)
class FreezeEntry:
    """An entry is paused with SIGSTOP and continued with SIGCONT."""

    number: int
    seconds: float


@dataclass(frozen=True, slots=True)
class FreezeAgent:
    """An agent is paused with SIGSTOP and continued with SIGCONT."""

    number: int
    seconds: float


@dataclass(frozen=True, slots=True)
class StopEntry:
    """An entry is stopped gracefully and replaced."""

    number: int


@dataclass(frozen=True, slots=True)
class StopAgents:
    """Several agents are stopped gracefully at the same time and restarted."""

    numbers: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class CutInward:
    """Datagrams from callers do not reach an entry."""

    number: int
    seconds: float


@dataclass(frozen=True, slots=True)
class CutOutward:
    """Datagrams of an entry do not reach callers."""

    number: int
    seconds: float


@dataclass(frozen=True, slots=True)
class PoorFabric:
    """The fabric loses, duplicates and reorders a share of the datagrams."""

    share: float
    seconds: float


@dataclass(frozen=True, slots=True)
class PlatformDown:
    """The platform does not answer."""

    seconds: float


@dataclass(frozen=True, slots=True)
class PlatformRollback:
    """The platform returns to an older revision of the configuration for a while."""

    revisions: int
    seconds: float


@dataclass(frozen=True, slots=True)
class RaceTexts:
    """Operators publish several different texts at the same time."""

    queues: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class DrainHost:
    """The text lists a host as draining for a while."""

    number: int
    seconds: float


Fault = (
    KillEntry
    | KillAgent
    | FreezeEntry
    | FreezeAgent
    | StopEntry
    | StopAgents
    | CutInward
    | CutOutward
    | PoorFabric
    | PlatformDown
    | PlatformRollback
    | RaceTexts
    | DrainHost
)

PLANNED_KINDS = (StopEntry, StopAgents, RaceTexts, DrainHost)
ALL_KINDS = (
    KillEntry,
    KillAgent,
    KillAgent,
    FreezeEntry,
    FreezeAgent,
    FreezeAgent,
    StopEntry,
    StopAgents,
    CutInward,
    CutOutward,
    PoorFabric,
    PlatformDown,
    PlatformRollback,
    RaceTexts,
    DrainHost,
)


@dataclass(frozen=True, slots=True)
class Schedule:
    """The faults of one run.

    Attributes:
        seed: Seed of the run.
        planned: Whether all faults are planned changes.
        steps: The faults in order of time.
    """

    seed: int
    planned: bool
    steps: tuple[Step[Fault], ...]


def make_schedule(seed: int, entries: int, hosts: dict[str, list[int]]) -> Schedule:
    """Return the schedule of a seed; every third seed has only planned changes.

    Args:
        seed: The seed.
        entries: Number of entries.
        hosts: Numbers of the agents of each service.
    """
    rng = random.Random(seed)
    planned = seed % 3 == 0
    # Planned changes leave one host of each service in operation, so that every request
    # can be answered.
    removable = {name: _without_random_host(rng, hosts[name]) for name in hosts}
    steps = []
    for _ in range(4):
        at = rng.uniform(FIRST_FAULT_SECONDS, LAST_FAULT_SECONDS)
        # Two faults start at the same time.
        for kind in rng.sample(PLANNED_KINDS if planned else ALL_KINDS, 2):
            targets = removable if kind in PLANNED_KINDS else hosts
            steps.append(Step(at, _make_fault(kind, rng, entries, targets)))
    return Schedule(seed, planned, tuple(sorted(steps, key=lambda step: step.at)))


def _make_fault(
    kind: type[Fault], rng: random.Random, entries: int, hosts: dict[str, list[int]]
) -> Fault:
    seconds = rng.uniform(MIN_DURATION_SECONDS, MAX_DURATION_SECONDS)
    entry = rng.randrange(entries)
    agents = [number for numbers in hosts.values() for number in numbers]
    if kind in (KillEntry, FreezeEntry, CutInward, CutOutward):
        return kind(entry, seconds)
    if kind in (KillAgent, FreezeAgent, DrainHost):
        return kind(rng.choice(agents), seconds)
    if kind is StopEntry:
        return StopEntry(entry)
    if kind is StopAgents:
        return StopAgents(_sample_hosts(rng, hosts))
    if kind is PoorFabric:
        return PoorFabric(rng.uniform(0.02, 0.15), seconds)
    if kind is PlatformDown:
        return PlatformDown(seconds)
    if kind is PlatformRollback:
        return PlatformRollback(rng.randint(1, 3), seconds)
    return RaceTexts(tuple(rng.randint(32, 96) for _ in range(3)))


def _without_random_host(rng: random.Random, numbers: list[int]) -> list[int]:
    spared = rng.choice(numbers)
    return [number for number in numbers if number != spared]


def _sample_hosts(rng: random.Random, hosts: dict[str, list[int]]) -> tuple[int, ...]:
    chosen: list[int] = []
    for numbers in hosts.values():
        chosen += rng.sample(numbers, rng.randint(1, len(numbers)))
    return tuple(chosen)

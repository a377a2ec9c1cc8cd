"""Seeded schedules of faults."""

import random
from dataclasses import dataclass

from faults.step import Step

FIRST_AT, LAST_AT = 0.8, 5.5
SHORTEST, LONGEST = 0.3, 2.5


@dataclass(frozen=True, slots=True)
class KillEntry:
    """An entry is killed and started again."""

    number: int
    seconds: float


@dataclass(frozen=True, slots=True)
class KillAgent:
    """An agent is killed and started again."""

    number: int
    seconds: float


@dataclass(frozen=True, slots=True)
class FreezeEntry:
    """An entry is stopped and continued by signals."""

    number: int
    seconds: float


@dataclass(frozen=True, slots=True)
class FreezeAgent:
    """An agent is stopped and continued by signals."""

    number: int
    seconds: float


@dataclass(frozen=True, slots=True)
class StopEntry:
    """An entry ends as planned and is replaced."""

    number: int


@dataclass(frozen=True, slots=True)
class StopAgents:
    """Agents end as planned, all at once."""

    numbers: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class CutInward:
    """Datagrams do not reach an entry."""

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
class PlatformBack:
    """The platform goes back by some revisions for a while."""

    revisions: int
    seconds: float


@dataclass(frozen=True, slots=True)
class RaceTexts:
    """Operators publish different texts one right after the other."""

    queues: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class DrainHost:
    """The text drains a host for a while."""

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
    | PlatformBack
    | RaceTexts
    | DrainHost
)

PLANNED = (StopEntry, StopAgents, RaceTexts, DrainHost)
ALL = (
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
    PlatformBack,
    RaceTexts,
    DrainHost,
)


@dataclass(frozen=True, slots=True)
class Schedule:
    """Faults of one run.

    Attributes:
        seed: Seed of the run.
        planned: Whether all faults are planned changes.
        steps: The faults.
    """

    seed: int
    planned: bool
    steps: tuple[Step[Fault], ...]


def make_schedule(seed: int, entries: int, hosts: dict[str, list[int]]) -> Schedule:
    """Return the schedule of a seed; every third has only planned changes.

    Args:
        seed: The seed.
        entries: Number of entries.
        hosts: Numbers of the agents by service.
    """
    chance = random.Random(seed)
    planned = seed % 3 == 0
    # One host of each service stays, so that every request can be answered.
    leaving = {name: _without_one(chance, hosts[name]) for name in hosts}
    steps = []
    for _ in range(4):
        at = chance.uniform(FIRST_AT, LAST_AT)
        # Two faults at the same time.
        for kind in chance.sample(PLANNED if planned else ALL, 2):
            chosen = leaving if kind in PLANNED else hosts
            steps.append(Step(at, _make(kind, chance, entries, chosen)))
    return Schedule(seed, planned, tuple(sorted(steps, key=lambda step: step.at)))


def _make(
    kind: type[Fault], chance: random.Random, entries: int, hosts: dict[str, list[int]]
) -> Fault:
    seconds = chance.uniform(SHORTEST, LONGEST)
    entry = chance.randrange(entries)
    agents = [number for numbers in hosts.values() for number in numbers]
    if kind in (KillEntry, FreezeEntry, CutInward, CutOutward):
        return kind(entry, seconds)
    if kind in (KillAgent, FreezeAgent, DrainHost):
        return kind(chance.choice(agents), seconds)
    if kind is StopEntry:
        return StopEntry(entry)
    if kind is StopAgents:
        return StopAgents(_some(chance, hosts))
    if kind is PoorFabric:
        return PoorFabric(chance.uniform(0.02, 0.15), seconds)
    if kind is PlatformDown:
        return PlatformDown(seconds)
    if kind is PlatformBack:
        return PlatformBack(chance.randint(1, 3), seconds)
    return RaceTexts(tuple(chance.randint(32, 96) for _ in range(3)))


def _without_one(chance: random.Random, numbers: list[int]) -> list[int]:
    staying = chance.choice(numbers)
    return [number for number in numbers if number != staying]


def _some(chance: random.Random, hosts: dict[str, list[int]]) -> tuple[int, ...]:
    chosen: list[int] = []
    for numbers in hosts.values():
        chosen += chance.sample(numbers, chance.randint(1, len(numbers)))
    return tuple(chosen)

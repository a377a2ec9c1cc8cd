"""Seeded schedules of faults for the front end of opaque flows."""

import random
from dataclasses import dataclass

from faults.step import Step
from standins.tcp_proxy import Condition, Delayed, Resetting, Silenced

FIRST_AT, LAST_AT = 0.8, 6.5
SHORTEST, LONGEST = 0.3, 3.0
STEPS = 5
# A step begins together with the one before.
TOGETHER_SHARE = 0.35


@dataclass(frozen=True, slots=True)
class KillProcess:
    """A process is killed and starts again."""

    machine: int
    seconds: float


@dataclass(frozen=True, slots=True)
class FreezeProcess:
    """A process is stopped and continued by signals."""

    machine: int
    seconds: float


@dataclass(frozen=True, slots=True)
class StopProcess:
    """An entry ends as planned and starts again."""

    machine: int


@dataclass(frozen=True, slots=True)
class ReloadProcess:
    """A process is told to read its settings again."""

    machine: int


@dataclass(frozen=True, slots=True)
class RestartServer:
    """A backend server loses all flows."""

    machine: int


@dataclass(frozen=True, slots=True)
class DrainServer:
    """A backend server reports that it drains, and is ready again later."""

    machine: int
    seconds: float


@dataclass(frozen=True, slots=True)
class DisturbStore:
    """Some entries reach the store badly."""

    machines: tuple[int, ...]
    condition: Condition
    seconds: float


@dataclass(frozen=True, slots=True)
class RefuseCalls:
    """The store refuses all calls."""

    seconds: float


@dataclass(frozen=True, slots=True)
class DropHistory:
    """The store forgets its history."""


@dataclass(frozen=True, slots=True)
class PublishRoutes:
    """Other versions of the routes are published, one right after the other."""

    versions: int


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
)

PLANNED = (StopProcess, ReloadProcess, DrainServer, DropHistory, PublishRoutes)
ALL = (
    *PLANNED,
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


def is_planned(seed: int) -> bool:
    """Return whether all faults of a seed are planned changes."""
    return seed % 3 == 0


def make_schedule(seed: int, machines: Machines) -> tuple[Step[Fault], ...]:
    """Return the faults of a seed in order of time."""
    chance = random.Random(seed)
    kinds = PLANNED if is_planned(seed) else ALL
    steps: list[Step[Fault]] = []
    for _ in range(STEPS):
        at = chance.uniform(FIRST_AT, LAST_AT)
        if steps and chance.random() < TOGETHER_SHARE:
            at = steps[-1].at + chance.uniform(0, 0.2)
        steps.append(Step(at, _make(chance.choice(kinds), chance, machines)))
    return tuple(sorted(steps, key=lambda step: step.at))


def _make(kind: type[Fault], chance: random.Random, machines: Machines) -> Fault:
    seconds = chance.uniform(SHORTEST, LONGEST)
    entry = chance.choice(machines.entries)
    agent = chance.choice([n for service in machines.agents for n in service])
    if kind in (KillProcess, FreezeProcess):
        return kind(chance.choice((entry, agent)), seconds)
    if kind is StopProcess:
        return StopProcess(entry)
    if kind is ReloadProcess:
        return ReloadProcess(chance.choice((entry, agent)))
    if kind is RestartServer:
        return RestartServer(agent)
    if kind is DrainServer:
        # The first host of each service stays, so that every flow can open.
        leaving = [n for service in machines.agents for n in service[1:]]
        return DrainServer(chance.choice(leaving), 4.0 + seconds)
    if kind is DisturbStore:
        count = chance.randint(1, len(machines.entries))
        chosen = tuple(chance.sample(machines.entries, count))
        return DisturbStore(chosen, _condition(chance), seconds)
    if kind is RefuseCalls:
        return RefuseCalls(seconds)
    if kind is DropHistory:
        return DropHistory()
    return PublishRoutes(chance.randint(1, 3))


def _condition(chance: random.Random) -> Condition:
    return chance.choice(
        [
            Delayed(chance.uniform(0.1, 0.6)),
            Silenced(),
            Silenced(requests=False),
            Silenced(answers=False),
            Resetting(),
        ]
    )

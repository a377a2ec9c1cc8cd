"""Troubles of a run: faults and changes, drawn from a seed."""

import random
from collections.abc import Callable

from msgspec import Struct

from emulator.backend_server import Grey, Sluggish
from emulator.catalog_service import (
    Condition,
    CutWatches,
    GoneWatches,
    Losing,
    Refusing,
    Silent,
    Slow,
    WaitingWatches,
)

# Bounds of the age of a copy from which the catalog is restored, and of the time for
# which it is away before.
COPY_AGE_SECONDS = (0.5, 6.0)
AWAY_SECONDS = (0.1, 3.0)
# Longest pause between two restores that follow each other closely, and their share.
SECOND_RESTORE_SECONDS = 4.0
SECOND_RESTORE_SHARE = 0.3
# Bounds of the time for which a failure domain is out of service.
OUT_SECONDS = (4.0, 7.0)
# Bounds of an earlier time out of service and of the pause after it, and share of the
# failure domains that have one.
EARLIER_OUT_SECONDS = (0.2, 2.0)
PAUSE_SECONDS = (0.1, 1.5)
EARLIER_OUT_SHARE = 0.5
# Longest time after a restore until the next table, and share of the restores that lose
# a drain report.
NEXT_CHANGE_SECONDS = 1.5
DRAIN_SHARE = 0.5


class Trouble(Struct, frozen=True, kw_only=True):
    """Base class of all troubles.

    Attributes:
        at: Seconds after the start of traffic.
    """

    at: float


class KillEntry(Trouble, frozen=True):
    """An entry is killed and starts again."""


class KillAgent(Trouble, frozen=True):
    """An agent is killed and starts again."""


class KillAll(Trouble, frozen=True):
    """All processes are killed and start again."""


class PowerOff(Trouble, frozen=True):
    """All machines lose power; entries and backend servers start again afterwards.

    Attributes:
        seconds: Duration of the outage in seconds.
    """

    seconds: float


class RollingRestart(Trouble, frozen=True):
    """All entries are stopped in turn and start again.

    Attributes:
        gap: Seconds between the stops of two entries.
    """

    gap: float


class AddEntry(Trouble, frozen=True):
    """An additional entry starts."""


class CrashServer(Trouble, frozen=True):
    """A backend server stops without notice.

    Attributes:
        returns_after: Seconds until a new server starts at its address, None for never.
    """

    returns_after: float | None


class DrainServer(Trouble, frozen=True):
    """A backend server drains and stops."""


class ReplaceServer(Trouble, frozen=True):
    """A backend server drains, and one of another service starts at its address."""


class MisbehavingServer(Trouble, frozen=True):
    """A backend server fails requests or runs them more slowly.

    Attributes:
        condition: How it behaves during the trouble.
        seconds: Duration in seconds.
    """

    condition: Grey | Sluggish
    seconds: float


class CatalogTrouble(Trouble, frozen=True):
    """The service that publishes the catalog misbehaves.

    Attributes:
        condition: How it behaves during the trouble.
        seconds: Duration in seconds.
        share: Share of the entries whose reads are affected.
    """

    condition: Condition
    seconds: float
    share: float


class ForgetHistory(Trouble, frozen=True):
    """The service that publishes the catalog drops its history of changes."""


class RestoreCatalog(Trouble, frozen=True):
    """The service that publishes the catalog leaves and comes back from a copy.

    What was written since is gone. Backend servers and the operator write it again. One
    that begins while the service is away has no effect.

    Attributes:
        age: Age of the copy in seconds at the time at which the service leaves.
        away: Seconds for which the service answers nobody.
        watches: What happens to waiting watches if the service is not away.
    """

    age: float
    away: float
    watches: WaitingWatches = CutWatches()


class CutPath(Trouble, frozen=True):
    """Datagrams between an entry and a backend server are lost in one direction.

    Attributes:
        seconds: Duration in seconds.
        towards_server: Whether datagrams to the backend server are lost, instead of
            those from it.
    """

    seconds: float
    towards_server: bool


class DisconnectServer(Trouble, frozen=True):
    """The machine of a backend server is disconnected from the network.

    Attributes:
        seconds: Duration in seconds.
    """

    seconds: float


class ChangeRoutes(Trouble, frozen=True):
    """A route gets other targets."""


class CordonDomain(Trouble, frozen=True):
    """The operator takes a failure domain out of service and back.

    Attributes:
        position: Position of the failure domain in the list of all, from 0 to 1.
        seconds: Duration in seconds.
    """

    position: float
    seconds: float


class Burst(Trouble, frozen=True):
    """Callers send more requests than usual.

    Attributes:
        factor: Request rate relative to the usual rate.
        seconds: Duration in seconds.
    """

    factor: float
    seconds: float


def draw_troubles(
    rng: random.Random, count: int, begin: float, end: float
) -> list[Trouble]:
    """Draw troubles at random.

    Args:
        rng: Random number generator.
        count: Number of troubles.
        begin: Earliest time in seconds.
        end: Latest time in seconds.

    Returns:
        The troubles in order of time. Some begin at almost the same time.
    """
    times = [rng.uniform(begin, end) for _ in range(count)]
    for number in range(1, count):
        if rng.random() < 0.25:
            times[number] = times[number - 1] + rng.uniform(0, 0.3)
    return sorted((_draw_one(rng, at) for at in times), key=lambda t: t.at)


def _draw_one(rng: random.Random, at: float) -> Trouble:
    seconds = rng.uniform(1, 5)
    condition = rng.choice([Refusing(), Silent(), Slow(0.25), Losing(0.3)])
    makers: list[Callable[[], Trouble]] = [
        lambda: KillEntry(at=at),
        lambda: KillAgent(at=at),
        lambda: KillAll(at=at),
        lambda: PowerOff(at=at, seconds=rng.uniform(0.5, 2.0)),
        lambda: RollingRestart(at=at, gap=rng.uniform(0.3, 1.5)),
        lambda: AddEntry(at=at),
        lambda: CrashServer(at=at, returns_after=rng.choice([None, 0.5, 4.0])),
        lambda: DrainServer(at=at),
        lambda: ReplaceServer(at=at),
        lambda: MisbehavingServer(at=at, condition=Grey(0.4), seconds=seconds),
        lambda: MisbehavingServer(at=at, condition=Sluggish(4.0), seconds=seconds),
        lambda: CatalogTrouble(
            at=at, condition=condition, seconds=seconds, share=rng.choice([1.0, 0.4])
        ),
        lambda: ForgetHistory(at=at),
        lambda: CutPath(at=at, seconds=seconds, towards_server=rng.random() < 0.5),
        lambda: DisconnectServer(at=at, seconds=seconds),
        lambda: ChangeRoutes(at=at),
        lambda: Burst(at=at, factor=1.7, seconds=3.0),
    ]
    return rng.choice(makers)()


def draw_cordons(
    rng: random.Random, count: int, begin: float, end: float
) -> list[Trouble]:
    """Draw failure domains that the operator takes out of service.

    Args:
        rng: Random number generator.
        count: Number of them; some are out of service twice within a short time.
        begin: Earliest time in seconds.
        end: Latest time in seconds.
    """
    drawn: list[Trouble] = []
    for _ in range(count):
        at, position = rng.uniform(begin, end), rng.random()
        if rng.random() < EARLIER_OUT_SHARE:
            seconds = rng.uniform(*EARLIER_OUT_SECONDS)
            drawn.append(CordonDomain(at=at, position=position, seconds=seconds))
            at += seconds + rng.uniform(*PAUSE_SECONDS)
        seconds = rng.uniform(*OUT_SECONDS)
        drawn.append(CordonDomain(at=at, position=position, seconds=seconds))
    return drawn


def draw_restores(
    rng: random.Random, count: int, begin: float, end: float
) -> list[Trouble]:
    """Draw restores of the catalog at random, with changes in the lost seconds.

    Args:
        rng: Random number generator.
        count: Number of restores; some are followed closely by one more.
        begin: Earliest time of a restore in seconds.
        end: Latest time in seconds.
    """
    drawn: list[Trouble] = []
    for _ in range(count):
        first = _draw_restore(rng, rng.uniform(begin, end))
        drawn += [first, *_draw_changes(rng, first)]
        if rng.random() < SECOND_RESTORE_SHARE:
            pause = rng.uniform(0, SECOND_RESTORE_SECONDS)
            drawn.append(_draw_restore(rng, first.at + first.away + pause))
    return drawn


def _draw_restore(rng: random.Random, at: float) -> RestoreCatalog:
    return RestoreCatalog(
        at=at,
        age=rng.uniform(*COPY_AGE_SECONDS),
        away=rng.choice([0.0, rng.uniform(*AWAY_SECONDS)]),
        watches=rng.choice([CutWatches(), GoneWatches()]),
    )


def _draw_changes(rng: random.Random, restore: RestoreCatalog) -> list[Trouble]:
    """Draw changes that a restore loses, and changes that use their revisions again."""
    returned = restore.at + restore.away
    lost = [max(0.0, restore.at - rng.uniform(0.0, restore.age)) for _ in range(2)]
    drawn: list[Trouble] = [
        ChangeRoutes(at=lost[0]),
        ChangeRoutes(at=returned + rng.uniform(0.0, NEXT_CHANGE_SECONDS)),
    ]
    if rng.random() < DRAIN_SHARE:
        drawn.append(DrainServer(at=lost[1]))
    return drawn

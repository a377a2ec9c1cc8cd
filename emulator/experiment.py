"""Runs a fleet under traffic and troubles, and sums up what callers got."""

import asyncio
import random
from collections import Counter, defaultdict

from msgspec import Struct

from balsamspool.kernel.clock import now
from emulator.caller import Habit, RequestKind
from emulator.checks import Violation, check, unserved
from emulator.clock import PausedClockLoop
from emulator.fleet import Fleet, FleetPlan, ServicePlan
from emulator.history import History, Result
from emulator.traffic import Demand, Traffic, Wave
from emulator.troubles import Trouble, draw, play

# Reports of all agents have arrived, and lapsed entries would have returned.
SETTLE_SECONDS = 4.0
# No trouble begins in the last seconds of a run.
RECOVERY_SECONDS = 12.0
# All troubles have ended by then, and their effects too.
CALM_SECONDS = 4.0
FINISH_SECONDS = 5.0


class Workload(Struct, frozen=True):
    """A fleet and what is asked of it.

    Attributes:
        fleet: The fleet.
        scale: Times the demand of a small fleet.
        seconds: Length of the run in seconds.
        patience: Times the latency objectives and deadlines of a small fleet.
    """

    fleet: FleetPlan
    scale: float
    seconds: float
    patience: float = 1.0


class LoadSummary(Struct, frozen=True):
    """What callers got in a run.

    Attributes:
        worth: Value of the answers over the value of all requests.
        in_time: Share of requests that were answered within their objective.
        late: Share that were answered later.
        mean_wait: Mean seconds for a slot of a backend server.
        worst_wait: Seconds that one wait in a hundred exceeds.
        imbalance: Work of the busiest server of the largest service over the mean.
        bytes_across: Octets between failure domains.
        calls: Calls to the service that publishes the catalog.
    """

    worth: float
    in_time: float
    late: float
    mean_wait: float
    worst_wait: float
    imbalance: float
    bytes_across: int
    calls: int


class Trial(Struct, frozen=True):
    """Outcome of a run.

    Attributes:
        violations: Broken promises.
        summary: What callers got.
        history: All that was seen.
        counters: Counters of all processes, added up.
    """

    violations: list[Violation]
    summary: LoadSummary
    history: History
    counters: dict[str, int]


def small_workload(seconds: float, scale: float = 1.0) -> Workload:
    """Return a fleet of seven and four backend servers in four failure domains."""
    plan = FleetPlan(
        ("a", "b", "c", "d"),
        7,
        (
            ServicePlan("portal", 7, 2, (0.7, 0.7, 1.7)),
            ServicePlan("records", 4, 2),
        ),
    )
    return Workload(plan, scale, seconds)


def grown_workload(seconds: float, scale: float = 4.5) -> Workload:
    """Return a fleet of 43 and 11 backend servers before 20 entries."""
    plan = FleetPlan(
        ("a", "b", "c", "d"),
        20,
        (
            ServicePlan("portal", 43, 1, (0.7, 0.7, 1.7)),
            ServicePlan("records", 11, 1),
        ),
        links=(200.0, 200.0, 10.0, 10.0, 14.0),
    )
    return Workload(plan, scale, seconds, patience=1.8)


def run_trial(
    workload: Workload, seed: int, troubles: list[Trouble] | int = 0
) -> Trial:
    """Run a workload on a paused clock.

    Args:
        workload: The fleet and what is asked of it.
        seed: Seed of everything that is drawn.
        troubles: The troubles, or how many of them to draw.

    Returns:
        What happened.
    """
    with asyncio.Runner(loop_factory=PausedClockLoop) as runner:
        return runner.run(_run(workload, seed, troubles))


async def _run(workload: Workload, seed: int, troubles: list[Trouble] | int) -> Trial:
    rng = random.Random(seed)
    fleet = Fleet(workload.fleet, rng)
    await fleet.start()
    await asyncio.sleep(SETTLE_SECONDS)
    kinds = _kinds(fleet, workload.patience)
    traffic = Traffic(fleet, _demands(kinds, workload.scale), Wave(), rng)
    traffic.start()
    if isinstance(troubles, int):
        last = max(1.0, workload.seconds - RECOVERY_SECONDS)
        troubles = draw(rng, troubles, 1.0, last)
    begin = now()
    end = begin + workload.seconds
    await play(fleet, traffic, troubles)
    await asyncio.sleep(max(0.0, end - now()))
    await traffic.stop(FINISH_SECONDS)
    counters = _counters(fleet)
    summary = _summary(fleet, kinds)
    await fleet.stop()
    violations = check(fleet.history)
    if troubles:
        violations += unserved(fleet.history, end - CALM_SECONDS, end)
    return Trial(violations, summary, fleet.history, counters)


def _kinds(fleet: Fleet, patience: float) -> list[RequestKind]:
    portal = fleet.route_endpoint("portal")
    records = fleet.route_endpoint("records")
    feed = RequestKind(
        "feed",
        portal,
        Habit.KEPT,
        idempotent=True,
        work=0.026,
        size=2_000,
        goal=0.15 * patience,
        deadline=1.0 * patience,
    )
    ticket = RequestKind(
        "ticket",
        portal,
        Habit.FRESH,
        idempotent=False,
        work=0.033,
        size=600,
        goal=0.2 * patience,
        deadline=1.2 * patience,
        worth=2.0,
        late_worth=0.6,
    )
    download = RequestKind(
        "download",
        records,
        Habit.FRESH,
        idempotent=True,
        work=0.0042,
        size=40_000,
        goal=0.5 * patience,
        deadline=3.0 * patience,
    )
    return [feed, ticket, download]


def _demands(kinds: list[RequestKind], scale: float) -> list[Demand]:
    feed, ticket, download = kinds
    return [
        Demand(feed, 128 * scale, callers=int(300 * scale)),
        Demand(ticket, 36.7 * scale),
        Demand(download, 11 * scale),
    ]


def _counters(fleet: Fleet) -> dict[str, int]:
    total: Counter[str] = Counter()
    for process in (*fleet.entries, *fleet.agents.values()):
        if process.kernel is not None:
            total.update(process.kernel.counters.values())
    return dict(total)


def _summary(fleet: Fleet, kinds: list[RequestKind]) -> LoadSummary:
    history = fleet.history
    by_name = {kind.name: kind for kind in kinds}
    owed = earned = in_time = late = 0.0
    for outcome in history.outcomes:
        kind = by_name[outcome.kind]
        owed += kind.worth
        if outcome.result is not Result.ANSWERED:
            continue
        timely = outcome.seconds <= outcome.goal
        in_time += timely
        late += not timely
        earned += kind.worth if timely else kind.late_worth
    count = max(1, len(history.outcomes))
    waits = sorted(run.waited for run in history.runs) or [0.0]
    return LoadSummary(
        worth=earned / max(1.0, owed),
        in_time=in_time / count,
        late=late / count,
        mean_wait=sum(waits) / len(waits),
        worst_wait=waits[int(0.99 * len(waits))],
        imbalance=_imbalance(fleet),
        bytes_across=fleet.network.bytes_across,
        calls=fleet.catalog.calls,
    )


def _imbalance(fleet: Fleet) -> float:
    """Return the busy time of the busiest server over the mean of its service."""
    busy: defaultdict[str, list[float]] = defaultdict(list)
    for server in fleet.servers.values():
        busy[server.plan.service].append(server.busy_seconds)
    largest = max(busy.values(), key=len)
    mean = sum(largest) / len(largest)
    return max(largest) / mean if mean else 1.0

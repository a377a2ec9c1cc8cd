"""Runs a fleet under traffic and troubles, and summarizes what callers saw."""

import asyncio
import random
from collections import Counter, defaultdict

from msgspec import Struct

from balsamspool.kernel.clock import now
from emulator.caller import FlowUse, RequestKind
from emulator.catalog_checks import check_cordons, check_views
from emulator.checks import check, check_answered_share
from emulator.clock import PausedClockLoop
from emulator.fleet import Fleet, FleetPlan, ServicePlan
from emulator.history import History, Result
from emulator.traffic import Demand, Traffic, Wave
from emulator.trouble_runner import apply_troubles
from emulator.troubles import (
    Trouble,
    draw_cordons,
    draw_restores,
    draw_troubles,
)
from emulator.violation import Violation

# Time before the traffic starts, in which the reports of all agents arrive and catalog
# entries that have timed out are listed again.
SETTLE_SECONDS = 4.0
# Time at the end of a run in which no trouble begins.
RECOVERY_SECONDS = 12.0
# Length of the period at the end of a run in which all troubles and their effects have
# ended.
UNTROUBLED_SECONDS = 4.0
# Time for requests in progress to end after a run.
FINISH_SECONDS = 5.0


class Workload(Struct, frozen=True):
    """A fleet and the demand on it.

    Attributes:
        fleet: The fleet.
        scale: Demand relative to that of the small fleet.
        seconds: Length of the run in seconds.
        time_factor: Latency objectives and deadlines, relative to those of the small
            fleet.
    """

    fleet: FleetPlan
    scale: float
    seconds: float
    time_factor: float = 1.0


class LoadSummary(Struct, frozen=True):
    """What callers saw in a run.

    Attributes:
        worth: Value of the answers divided by the value of all requests if answered in
            time.
        in_time: Share of requests that were answered within their objective.
        late: Share of requests that were answered after their objective.
        mean_wait: Mean wait for a slot of a backend server in seconds.
        p99_wait: 99th percentile of these waits in seconds.
        imbalance: Busy time of the busiest server of the largest service divided by the
            mean of that service.
        cross_domain_bytes: Octets sent between failure domains.
        calls: Calls to the service that publishes the catalog.
    """

    worth: float
    in_time: float
    late: float
    mean_wait: float
    p99_wait: float
    imbalance: float
    cross_domain_bytes: int
    calls: int


class Trial(Struct, frozen=True):
    """Outcome of a run.

    Attributes:
        violations: Broken promises.
        summary: What callers saw.
        history: History of the run.
        counters: Sums of the counters of all processes.
    """

    violations: list[Violation]
    summary: LoadSummary
    history: History
    counters: dict[str, int]


def small_workload(seconds: float, scale: float = 1.0) -> Workload:
    """Return a workload for services of 7 and 4 backend servers behind 7 entries."""
    plan = FleetPlan(
        ("a", "b", "c", "d"),
        7,
        (
            ServicePlan("portal", 7, 2, (0.7, 0.7, 1.7)),
            ServicePlan("records", 4, 2),
        ),
    )
    return Workload(plan, scale, seconds)


def shared_workload(seconds: float, scale: float = 1.0) -> Workload:
    """Return a workload for 11 entries in two failure domains.

    In each failure domain, one entry reads the catalog and the others follow it.
    """
    plan = FleetPlan(
        ("a", "b"),
        11,
        (
            ServicePlan("portal", 7, 2, (0.7, 0.7, 1.7)),
            ServicePlan("records", 4, 2),
        ),
    )
    return Workload(plan, scale, seconds)


def grown_workload(seconds: float, scale: float = 4.5) -> Workload:
    """Return a workload for services of 43 and 11 backend servers behind 20 entries."""
    plan = FleetPlan(
        ("a", "b", "c", "d"),
        20,
        (
            ServicePlan("portal", 43, 1, (0.7, 0.7, 1.7)),
            ServicePlan("records", 11, 1),
        ),
        links=(200.0, 200.0, 10.0, 10.0, 14.0),
    )
    return Workload(plan, scale, seconds, time_factor=1.8)


def large_workload(seconds: float, scale: float = 3.7) -> Workload:
    """Return a workload for services of 109 and 27 servers behind 59 entries."""
    plan = FleetPlan(
        ("a", "b", "c", "d", "e", "f"),
        59,
        (
            ServicePlan("portal", 109, 1, (0.7, 0.7, 1.7)),
            ServicePlan("records", 27, 1),
        ),
        links=(200.0, 20.0, 20.0),
    )
    return Workload(plan, scale, seconds, time_factor=2.6)


def run_trial(
    workload: Workload,
    seed: int,
    troubles: list[Trouble] | int = 0,
    restores: int = 0,
    cordons: int = 0,
) -> Trial:
    """Run a workload on a paused clock.

    Args:
        workload: The fleet and the demand on it.
        seed: Seed of the random number generator.
        troubles: The troubles, or the number of troubles to draw.
        restores: Number of restores of the catalog to draw besides.
        cordons: Number of failure domains to take out of service besides. They are
            drawn apart, so that the other troubles of a seed stay the same.

    Returns:
        The outcome of the run.
    """
    with asyncio.Runner(loop_factory=PausedClockLoop) as runner:
        return runner.run(_run(workload, seed, troubles, restores, cordons))


async def _run(
    workload: Workload,
    seed: int,
    troubles: list[Trouble] | int,
    restores: int,
    cordons: int,
) -> Trial:
    rng = random.Random(seed)
    fleet = Fleet(workload.fleet, rng)
    await fleet.start()
    await asyncio.sleep(SETTLE_SECONDS)
    kinds = _kinds(fleet, workload.time_factor)
    traffic = Traffic(fleet, _demands(kinds, workload.scale), Wave(), rng)
    traffic.start()
    last = max(1.0, workload.seconds - RECOVERY_SECONDS)
    if isinstance(troubles, int):
        troubles = draw_troubles(rng, troubles, 1.0, last)
    if restores:
        drawn = draw_restores(rng, restores, 1.0, last)
        troubles = sorted((*troubles, *drawn), key=lambda trouble: trouble.at)
    if cordons:
        drawn = draw_cordons(random.Random(f"cordons {seed}"), cordons, 1.0, last)
        troubles = sorted((*troubles, *drawn), key=lambda trouble: trouble.at)
    begin = now()
    end = begin + workload.seconds
    await apply_troubles(fleet, traffic, troubles)
    await asyncio.sleep(max(0.0, end - now()))
    await traffic.stop(FINISH_SECONDS)
    counters = _counters(fleet)
    summary = _summary(fleet, kinds)
    views = fleet.views()
    differing = [
        *check_views(fleet.catalog.servers, views, now()),
        *check_cordons(fleet.catalog.cordons, views, now()),
    ]
    await fleet.stop()
    violations = check(fleet.history)
    if troubles:
        violations += check_answered_share(fleet.history, end - UNTROUBLED_SECONDS, end)
    violations += differing
    return Trial(violations, summary, fleet.history, counters)


def _kinds(fleet: Fleet, time_factor: float) -> list[RequestKind]:
    portal = fleet.route_endpoint("portal")
    records = fleet.route_endpoint("records")
    feed = RequestKind(
        "feed",
        portal,
        FlowUse.KEPT,
        idempotent=True,
        work=0.026,
        size=2_000,
        goal=0.15 * time_factor,
        deadline=1.0 * time_factor,
    )
    ticket = RequestKind(
        "ticket",
        portal,
        FlowUse.FRESH,
        idempotent=False,
        work=0.033,
        size=600,
        goal=0.2 * time_factor,
        deadline=1.2 * time_factor,
        worth=2.0,
        late_worth=0.6,
    )
    download = RequestKind(
        "download",
        records,
        FlowUse.FRESH,
        idempotent=True,
        work=0.0042,
        size=40_000,
        goal=0.5 * time_factor,
        deadline=3.0 * time_factor,
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
    offered_worth = earned_worth = in_time = late = 0.0
    for outcome in history.outcomes:
        kind = by_name[outcome.kind]
        offered_worth += kind.worth
        if outcome.result is not Result.ANSWERED:
            continue
        within_goal = outcome.seconds <= outcome.goal
        in_time += within_goal
        late += not within_goal
        earned_worth += kind.worth if within_goal else kind.late_worth
    count = max(1, len(history.outcomes))
    waits = sorted(run.waited for run in history.runs) or [0.0]
    return LoadSummary(
        worth=earned_worth / max(1.0, offered_worth),
        in_time=in_time / count,
        late=late / count,
        mean_wait=sum(waits) / len(waits),
        p99_wait=waits[int(0.99 * len(waits))],
        imbalance=_imbalance(fleet),
        cross_domain_bytes=fleet.network.cross_domain_bytes,
        calls=fleet.catalog.calls,
    )


def _imbalance(fleet: Fleet) -> float:
    """Return the imbalance of the largest service, 1 for equal busy times."""
    busy: defaultdict[str, list[float]] = defaultdict(list)
    for server in fleet.servers.values():
        busy[server.plan.service].append(server.busy_seconds)
    largest = max(busy.values(), key=len)
    mean = sum(largest) / len(largest)
    return max(largest) / mean if mean else 1.0

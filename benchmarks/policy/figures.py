"""Figures of one run."""

from collections import Counter
from dataclasses import dataclass
from math import nan
from statistics import fmean

from hdrh.histogram import HdrHistogram

from benchmarks.policy.fleet import Outcome, OutcomeKind, RunRecord
from benchmarks.policy.host import Host
from benchmarks.policy.workload import Phase, Workload

MAX_MICROSECONDS = 300_000_000
PERCENTILES = (50.0, 99.0, 99.9)


@dataclass(frozen=True, slots=True)
class Latency:
    """Time to the answer in milliseconds.

    Attributes:
        count: Number of answers.
        percentiles: p50, p99 and p99.9.
    """

    count: int
    percentiles: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Figures:
    """Reported figures of one run of a system.

    Attributes:
        requests: Number of requests.
        endings: Number of requests by kind of outcome.
        latencies: Latency by length of the request and phase, such as "short calm".
        of_best: Work of the answered requests of the crest, as a share of the work that
            the all-knowing scheduler answered.
        goodput: Work on answered requests during the crest, as a share of the capacity.
            The work of a host that turns slow counts at its initial speed; a host that
            drains does not count as capacity.
        imbalance: Slot time used during the crest, maximum over mean of the hosts that
            are present throughout.
        needless: Requests shed or refused that the all-knowing scheduler answered.
        wasted: Share of the used slot time spent on requests that were not answered.
        relays: Mean number of relays per request.
        refused_flows: New flows that no host accepted.
    """

    requests: int
    endings: dict[str, int]
    latencies: dict[str, Latency]
    of_best: float
    goodput: float
    imbalance: float
    needless: int
    wasted: float
    relays: float
    refused_flows: int


def measure(workload: Workload, record: RunRecord, best: dict[int, float]) -> Figures:
    """Return the figures of one run.

    Args:
        workload: Workload of the run.
        record: Outcomes and hosts of the run.
        best: Seconds to each answer of the all-knowing scheduler, by request number.
    """
    outcomes = record.outcomes
    endings = Counter(outcome.kind.value for outcome in outcomes)
    rejected = (OutcomeKind.SHED, OutcomeKind.REFUSED)
    needless = sum(o.kind in rejected and o.arrival.number in best for o in outcomes)
    answered = [o.arrival for o in outcomes if o.kind is OutcomeKind.ANSWERED]
    answered_work = sum(a.work for a in answered if a.phase is Phase.CREST)
    best_work = sum(
        a.work for a in workload.arrivals if a.phase is Phase.CREST and a.number in best
    )
    uses = [use for host in record.hosts for use in host.slot_uses]
    held_seconds = sum(use.end - use.begin for use in uses)
    wasted_seconds = sum(use.end - use.begin for use in uses if not use.useful)
    return Figures(
        requests=len(outcomes),
        endings=dict(endings),
        latencies=_latencies(outcomes),
        of_best=answered_work / best_work,
        goodput=_goodput(workload, record),
        imbalance=_imbalance(workload, record),
        needless=needless,
        wasted=wasted_seconds / held_seconds,
        relays=sum(o.relays for o in outcomes) / len(outcomes),
        refused_flows=record.refused_flows,
    )


def measure_best(workload: Workload, best: dict[int, float]) -> Figures:
    """Return the figures of the all-knowing scheduler, NaN for those it lacks."""
    outcomes = tuple(
        Outcome(
            arrival,
            OutcomeKind.ANSWERED if arrival.number in best else OutcomeKind.SHED,
            best.get(arrival.number, 0.0),
        )
        for arrival in workload.arrivals
    )
    endings = Counter(outcome.kind.value for outcome in outcomes)
    return Figures(
        requests=len(outcomes),
        endings=dict(endings),
        latencies=_latencies(outcomes),
        of_best=1.0,
        goodput=nan,
        imbalance=nan,
        needless=0,
        wasted=nan,
        relays=nan,
        refused_flows=0,
    )


def _latencies(outcomes: tuple[Outcome, ...]) -> dict[str, Latency]:
    histograms = {
        f"{length} {phase}": HdrHistogram(1, MAX_MICROSECONDS, 3)
        for length in ("short", "long")
        for phase in (phase.value for phase in Phase)
    }
    for outcome in outcomes:
        if outcome.kind is OutcomeKind.ANSWERED:
            # A straggler of a short route counts as a long request, because it runs 50
            # times as long as the other requests of the route.
            arrival = outcome.arrival
            short = (
                not arrival.route.long
                and arrival.work < 10 * arrival.route.median_seconds
            )
            length = "short" if short else "long"
            histogram = histograms[f"{length} {arrival.phase.value}"]
            histogram.record_value(int(outcome.seconds * 1e6))
    return {
        name: Latency(
            histogram.get_total_count(),
            tuple(histogram.get_value_at_percentile(p) / 1000 for p in PERCENTILES),
        )
        for name, histogram in histograms.items()
    }


def _held_seconds(host: Host, begin: float, end: float, useful: bool = False) -> float:
    return sum(
        max(0.0, min(use.end, end) - max(use.begin, begin))
        for use in host.slot_uses
        if use.useful or not useful
    )


def _goodput(workload: Workload, record: RunRecord) -> float:
    begin, end = (record.begin + time for time in workload.crest_interval)
    answered_work = sum(
        _held_seconds(host, begin, end, useful=True) * speed
        for host, speed in zip(record.hosts, workload.speeds, strict=True)
    )
    return answered_work / (workload.capacity * (end - begin))


def _imbalance(workload: Workload, record: RunRecord) -> float:
    begin, end = (record.begin + time for time in workload.crest_interval)
    hosts = record.hosts[3:] if workload.scenario.churn else record.hosts
    held_seconds = [_held_seconds(host, begin, end) for host in hosts]
    return max(held_seconds) / fmean(held_seconds) if held_seconds else 1.0

"""Figures of one run."""

from collections import Counter
from dataclasses import dataclass
from math import nan
from statistics import fmean

from hdrh.histogram import HdrHistogram

from benchmarks.policy.fleet import Ending, Outcome, Record
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
    """What is reported of one run.

    Attributes:
        requests: Number of requests.
        endings: Requests by ending.
        latencies: Latency by length and phase, as "short calm".
        of_best: Work answered of requests of the crest, as a share of what the
            all-knowing scheduler answered.
        goodput: Work on answers at the crest as a share of the capacity. A host that
            turns slow counts at its first speed, one that drains is no capacity.
        imbalance: Maximum over mean of the time that slots were held at the crest, of
            hosts that were there throughout.
        needless: Requests shed or refused that the all-knowing scheduler answered.
        wasted: Share of the time of slots spent on requests that were not answered.
        relays: Relays for each request.
        refused_flows: New flows that no host took.
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


def measure(workload: Workload, record: Record, best: dict[int, float]) -> Figures:
    """Return the figures of one run.

    Args:
        workload: What arrived.
        record: What the run left.
        best: Answers of the all-knowing scheduler.
    """
    outcomes = record.outcomes
    endings = Counter(outcome.ending.value for outcome in outcomes)
    failed = (Ending.SHED, Ending.REFUSED)
    needless = sum(o.ending in failed and o.arrival.number in best for o in outcomes)
    whole = [o.arrival for o in outcomes if o.ending is Ending.ANSWERED]
    done = sum(a.work for a in whole if a.phase is Phase.CREST)
    possible = sum(
        a.work for a in workload.arrivals if a.phase is Phase.CREST and a.number in best
    )
    runs = [run for host in record.hosts for run in host.runs]
    held = sum(run.end - run.begin for run in runs)
    lost = sum(run.end - run.begin for run in runs if not run.useful)
    return Figures(
        requests=len(outcomes),
        endings=dict(endings),
        latencies=_latencies(outcomes),
        of_best=done / possible,
        goodput=_goodput(workload, record),
        imbalance=_imbalance(workload, record),
        needless=needless,
        wasted=lost / held,
        relays=sum(o.relays for o in outcomes) / len(outcomes),
        refused_flows=record.refused_flows,
    )


def measure_best(workload: Workload, best: dict[int, float]) -> Figures:
    """Return the figures of the all-knowing scheduler, NaN where it has none."""
    outcomes = tuple(
        Outcome(
            arrival,
            Ending.ANSWERED if arrival.number in best else Ending.SHED,
            best.get(arrival.number, 0.0),
        )
        for arrival in workload.arrivals
    )
    endings = Counter(outcome.ending.value for outcome in outcomes)
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
        if outcome.ending is Ending.ANSWERED:
            # A straggler of a short route runs 50 times as long, so it counts as long.
            arrival = outcome.arrival
            short = not arrival.route.long and arrival.work < 10 * arrival.route.seconds
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


def _held(host: Host, begin: float, end: float, useful: bool = False) -> float:
    return sum(
        max(0.0, min(run.end, end) - max(run.begin, begin))
        for run in host.runs
        if run.useful or not useful
    )


def _goodput(workload: Workload, record: Record) -> float:
    begin, end = (record.begin + time for time in workload.crest)
    done = sum(
        _held(host, begin, end, useful=True) * speed
        for host, speed in zip(record.hosts, workload.speeds, strict=True)
    )
    return done / (workload.capacity * (end - begin))


def _imbalance(workload: Workload, record: Record) -> float:
    begin, end = (record.begin + time for time in workload.crest)
    hosts = record.hosts[3:] if workload.scenario.churn else record.hosts
    held = [_held(host, begin, end) for host in hosts]
    return max(held) / fmean(held) if held else 1.0

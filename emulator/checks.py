"""Checks the history of a run against the promises of the product."""

import math
from collections import Counter
from collections.abc import Iterator

from emulator.catalog_checks import (
    DISTURBED_CATALOG_EXTRA_SECONDS,
    DRAIN_GRACE_SECONDS,
    check_catalog,
    drain_reports,
)
from emulator.history import DomainOut, History, OpenFlow, Result
from emulator.violation import (
    DISTURBANCE_GRACE_SECONDS,
    Violation,
    catalog_disturbed,
    find_disturbance,
)

# Time within which every entry applies a published route table.
ROUTES_APPLY_SECONDS = 3.0
# Time within which no entry opens flows in a failure domain out of service any more.
CORDON_APPLY_SECONDS = 3.0
# An open flow is misdirected if during STRAY_SECONDS none of its packets reach its own
# backend server and at least MIN_STRAY_PACKETS reach other backend servers.
STRAY_SECONDS = 2.0
MIN_STRAY_PACKETS = 3
# Idle time of a flow after which the product may forget the flow.
IDLE_SECONDS = 12.0
# Share of requests that must be answered. Without troubles and with idle slots, only
# lost packets make requests fail.
MIN_ANSWERED_SHARE = 0.99


def check(history: History) -> list[Violation]:
    """Return all violations in order of time."""
    found = [
        *_forged_packets(history),
        *_repeated_runs(history),
        *_misrouted_openings(history),
        *_late_openings(history),
        *_cordoned_openings(history),
        *_false_resets(history),
        *_stray_packets(history),
        *check_catalog(history),
    ]
    return sorted(found, key=lambda violation: violation.time)


def _forged_packets(history: History) -> Iterator[Violation]:
    """Yield packets that did not arrive as their sender wrote them."""
    for detail in history.forged:
        yield Violation("genuine", 0.0, detail)


def _repeated_runs(history: History) -> Iterator[Violation]:
    """Yield the runs of each attempt that ran more than once."""
    counts = Counter(run.number for run in history.runs)
    for run in history.runs:
        if counts[run.number] > 1:
            yield Violation("once", run.time, f"attempt {run.number} at {run.server}")


def _misrouted_openings(history: History) -> Iterator[Violation]:
    """Yield openings at services to which no route table in force directs them."""
    for opening in history.openings:
        route = opening.flow[6:]
        apply_seconds = ROUTES_APPLY_SECONDS
        since = opening.sent - apply_seconds - DISTURBANCE_GRACE_SECONDS
        if catalog_disturbed(history, since) or any(
            restored.covers(since - DISTURBED_CATALOG_EXTRA_SECONDS, opening.sent)
            for restored in history.restores
        ):
            apply_seconds += DISTURBED_CATALOG_EXTRA_SECONDS
        allowed = _services_between(
            history, route, opening.sent - apply_seconds, opening.time
        )
        if opening.service not in allowed:
            detail = f"{opening.server} of {opening.service}, allowed {sorted(allowed)}"
            yield Violation("route", opening.time, detail)


def _services_between(
    history: History, route: bytes, begin: float, end: float
) -> set[str]:
    allowed: set[str] = set()
    changes = history.routes
    for number, change in enumerate(changes):
        last = number + 1 == len(changes)
        until = math.inf if last else changes[number + 1].time
        if change.time <= end and until >= begin:
            allowed |= change.services.get(route, frozenset())
    return allowed


def _late_openings(history: History) -> Iterator[Violation]:
    """Yield openings that reached a draining backend server too late."""
    drained = drain_reports(history)
    for opening in history.openings:
        report = drained.get(opening.server)
        if report is None or opening.time <= report.time + DRAIN_GRACE_SECONDS:
            continue
        if catalog_disturbed(history, report.time - DISTURBANCE_GRACE_SECONDS):
            continue
        entries = {entry for _, entry in history.sent_via[opening.flow]}
        if not find_disturbance(history, entries, report.time, opening.time):
            yield Violation("drain", opening.time, f"opening at {opening.server}")


def _cordoned_openings(history: History) -> Iterator[Violation]:
    """Yield openings in failure domains that were out of service long enough."""
    for out in history.domains_out:
        begin, end = _closed_span(history, out)
        for opening in history.openings:
            if opening.failure_domain != out.failure_domain:
                continue
            if not begin < opening.time <= end:
                continue
            entries = {entry for _, entry in history.sent_via[opening.flow]}
            since = max(out.time, opening.time - CORDON_APPLY_SECONDS)
            if not find_disturbance(history, entries, since, opening.time):
                detail = f"opening at {opening.server} in {out.failure_domain}"
                yield Violation("cordon", opening.time, detail)


def _closed_span(history: History, out: DomainOut) -> tuple[float, float]:
    """Return begin and end of the span in which every entry must know of a cordon.

    A disturbance of the catalog defers the begin until the entries are in touch again.
    A cordon that a restore loses counts up to the restore, and again from the time at
    which the operator writes it again.
    """
    begin, end = out.time + CORDON_APPLY_SECONDS, out.until
    for restored in history.restores:
        if restored.lost(out.time):
            end = min(end, restored.left)
        elif restored.covers(out.time, begin):
            begin = restored.returned + CORDON_APPLY_SECONDS
    for found in history.disturbances:
        known = found.end + DISTURBANCE_GRACE_SECONDS
        if found.name == "catalog" and found.start <= begin and known >= out.time:
            begin = max(begin, known + CORDON_APPLY_SECONDS)
    return begin, end


def _false_resets(history: History) -> Iterator[Violation]:
    """Yield resets of flows that are open at their backend server."""
    for reset in history.resets:
        flow = history.flows.get(reset.flow)
        if flow is None or not flow.opened < reset.time < flow.closed:
            continue
        if _was_idle(history, reset.flow, reset.time):
            continue
        machines = {flow.address, reset.sender}
        if not find_disturbance(history, machines, reset.time, reset.time):
            detail = f"flow at {flow.server}, reset by {reset.sender}"
            yield Violation("reset", reset.time, detail)


def _stray_packets(history: History) -> Iterator[Violation]:
    """Yield spans in which packets of an open flow only reached other servers."""
    for key, flow in history.flows.items():
        for start, count in _stray_spans(flow):
            entries = {
                entry
                for time, entry in history.sent_via[key]
                if start <= time <= start + STRAY_SECONDS
            }
            machines = {flow.address, *entries}
            if count < MIN_STRAY_PACKETS or _was_idle(history, key, start):
                continue
            if not find_disturbance(history, machines, start, start + STRAY_SECONDS):
                yield Violation("stray", start, f"{count} packets of {flow.server}")


def _stray_spans(flow: OpenFlow) -> Iterator[tuple[float, int]]:
    """Yield starts of spans without a packet at the flow's server.

    Each start comes with the number of packets that reached other servers in the span.
    """
    for start in flow.strays:
        end = start + STRAY_SECONDS
        if end > flow.closed or any(start <= t <= end for t in flow.arrivals):
            continue
        yield start, sum(start <= t <= end for t in flow.strays)


def _was_idle(history: History, flow: bytes, time: float) -> bool:
    before = [t for t, _ in history.sent_via[flow] if t < time - 0.01]
    return not before or time - before[-1] > IDLE_SECONDS


def answered_share(history: History, begin: float, end: float) -> float:
    """Return the share of answered requests in a span, 1 if there are none."""
    requests = [o for o in history.outcomes if begin <= o.started < end]
    answered = sum(o.result is Result.ANSWERED for o in requests)
    return answered / len(requests) if requests else 1.0


def check_answered_share(
    history: History, begin: float, end: float
) -> Iterator[Violation]:
    """Yield a violation if too few requests in a span without troubles were answered.

    Args:
        history: History of the run.
        begin: Start of the span in seconds.
        end: End of the span in seconds.
    """
    share = answered_share(history, begin, end)
    if share < MIN_ANSWERED_SHARE:
        yield Violation("served", begin, f"{share:.3f} of the requests were answered")

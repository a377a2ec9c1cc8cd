"""Checks a history against what the product promises."""

import math
from collections import Counter
from collections.abc import Iterator

from msgspec import Struct

from emulator.history import Disturbance, History, OpenFlow, Result

# Disturbed machines are excused for so long afterwards.
STABLE_SECONDS = 4.0
# A backend server that drains gets no opening later than this after its report.
DRAIN_SECONDS = 3.0
# A route table is in force after this time.
APPLY_SECONDS = 3.0
# Beyond that while the service that publishes the catalog misbehaves, at most.
STRETCH_SECONDS = 12.0
# Packets of an open flow that reach others and none its own, for so long.
STRAY_SECONDS = 2.0
STRAY_PACKETS = 3
# An idle flow may be forgotten.
IDLE_SECONDS = 12.0
# Without troubles and with idle slots, the rest fails by lost packets.
SERVED_SHARE = 0.99


class Violation(Struct, frozen=True):
    """A broken promise.

    Attributes:
        promise: Which one.
        time: Time in seconds.
        detail: What was seen.
    """

    promise: str
    time: float
    detail: str


def check(history: History) -> list[Violation]:
    """Return all violations in the order of time."""
    found = [
        *_forged(history),
        *_repeated(history),
        *_wrong_service(history),
        *_late_openings(history),
        *_false_resets(history),
        *_strays(history),
    ]
    return sorted(found, key=lambda violation: violation.time)


def _forged(history: History) -> Iterator[Violation]:
    """Packets arrive as their sender wrote them."""
    for detail in history.forged:
        yield Violation("genuine", 0.0, detail)


def _repeated(history: History) -> Iterator[Violation]:
    """An attempt runs once."""
    counts = Counter(run.number for run in history.runs)
    for run in history.runs:
        if counts[run.number] > 1:
            yield Violation("once", run.time, f"attempt {run.number} at {run.server}")


def _wrong_service(history: History) -> Iterator[Violation]:
    """A flow opens only where a table in force directs it."""
    for opening in history.openings:
        route = opening.flow[6:]
        bound = APPLY_SECONDS
        if _catalog_disturbed(history, opening.sent - bound - STABLE_SECONDS):
            bound += STRETCH_SECONDS
        allowed = _services_between(history, route, opening.sent - bound, opening.time)
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
    """A backend server that drains gets no opening after the bound."""
    drained = {d.server: d for d in history.drained if d.available}
    for opening in history.openings:
        report = drained.get(opening.server)
        if report is None or opening.time <= report.time + DRAIN_SECONDS:
            continue
        if _catalog_disturbed(history, report.time - STABLE_SECONDS):
            continue
        entries = {entry for _, entry in history.sent_via[opening.flow]}
        if not _disturbed(history, entries, report.time, opening.time):
            yield Violation("drain", opening.time, f"opening at {opening.server}")


def _false_resets(history: History) -> Iterator[Violation]:
    """A flow that its backend server holds is not reset."""
    for reset in history.resets:
        flow = history.flows.get(reset.flow)
        if flow is None or not flow.opened < reset.time < flow.closed:
            continue
        if _idle(history, reset.flow, reset.time):
            continue
        machines = {flow.address, reset.sender}
        if not _disturbed(history, machines, reset.time, reset.time):
            detail = f"flow at {flow.server}, reset by {reset.sender}"
            yield Violation("reset", reset.time, detail)


def _strays(history: History) -> Iterator[Violation]:
    """Packets of an open flow reach its backend server."""
    for key, flow in history.flows.items():
        for start, count in _stray_spans(flow):
            entries = {
                entry
                for time, entry in history.sent_via[key]
                if start <= time <= start + STRAY_SECONDS
            }
            machines = {flow.address, *entries}
            if count < STRAY_PACKETS or _idle(history, key, start):
                continue
            if not _disturbed(history, machines, start, start + STRAY_SECONDS):
                yield Violation("stray", start, f"{count} packets of {flow.server}")


def _stray_spans(flow: OpenFlow) -> Iterator[tuple[float, int]]:
    """Yield spans without a packet at the flow's own server, with their strays."""
    for start in flow.strays:
        end = start + STRAY_SECONDS
        if end > flow.closed or any(start <= t <= end for t in flow.arrivals):
            continue
        yield start, sum(start <= t <= end for t in flow.strays)


def _idle(history: History, flow: bytes, time: float) -> bool:
    before = [t for t, _ in history.sent_via[flow] if t < time - 0.01]
    return not before or time - before[-1] > IDLE_SECONDS


def _disturbed(
    history: History, machines: set[str], begin: float, end: float
) -> Disturbance | None:
    for found in history.disturbances:
        touched = found.machines & machines
        if touched and found.start <= end and found.end + STABLE_SECONDS >= begin:
            return found
    return None


def _catalog_disturbed(history: History, since: float) -> bool:
    return any(d.name == "catalog" and d.end >= since for d in history.disturbances)


def share_answered(history: History, begin: float, end: float) -> float:
    """Return the share of requests in a span that were answered, 1 without any."""
    asked = [o for o in history.outcomes if begin <= o.started < end]
    answered = sum(o.result is Result.ANSWERED for o in asked)
    return answered / len(asked) if asked else 1.0


def unserved(history: History, begin: float, end: float) -> Iterator[Violation]:
    """Requests are answered in a span without troubles.

    Args:
        history: What was seen.
        begin: Start of the span in seconds.
        end: End of the span in seconds.
    """
    share = share_answered(history, begin, end)
    if share < SERVED_SHARE:
        yield Violation("served", begin, f"{share:.3f} of the requests were answered")

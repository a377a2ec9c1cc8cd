"""Checks a run with opaque flows against what the product promises."""

from collections import Counter
from collections.abc import Iterator

from faults.packet_history import Broken, PacketHistory

# Disturbed machines are excused for so long afterwards.
STABLE_SECONDS = 4.0


def packet_violations(history: PacketHistory) -> list[str]:
    """Return one line for each broken promise."""
    return [
        *_requests(history),
        *_flows(history),
        *_late_openings(history),
        *(f"exit: {name} ended by itself" for name in history.exits),
        *(f"recovery: {route} does not answer" for route in history.unanswered_after),
    ]


def _requests(history: PacketHistory) -> Iterator[str]:
    for data, count in Counter(data for _, data in history.runs).items():
        if count > 1:
            yield f"once: {data!r} ran {count} times"
    for service, data in history.runs:
        if not data.startswith(service.encode() + b"/"):
            yield f"route: {data!r} ran at {service}"
    if history.forged:
        yield f"genuine: {history.forged} packets were changed on the way"


def _late_openings(history: PacketHistory) -> Iterator[str]:
    for opening in history.late_openings:
        yield f"drain: opening at {opening.machine} after {opening.seconds:.2f} s"


def _flows(history: PacketHistory) -> Iterator[str]:
    for broken in history.broken:
        if broken.holder is not None and broken.reason == "reset":
            if not _disturbed(history, broken):
                yield f"reset: {broken}"
        elif history.planned:
            yield f"planned: {broken}"


def _disturbed(history: PacketHistory, broken: Broken) -> bool:
    """Return whether an unplanned fault excuses the reset of an open flow.

    The caller does not see which process sent the reset, so a fault of any machine
    does.
    """
    return any(
        disturbance.machines
        and disturbance.start <= broken.time <= disturbance.end + STABLE_SECONDS
        for disturbance in history.disturbances
    )

"""Checks a run with opaque flows against the guarantees of the system."""

from collections import Counter
from collections.abc import Iterator

from faults.packet_history import BrokenFlow, Opening, PacketHistory

# Time after the end of an unplanned fault within which a reset is not a violation.
RESET_GRACE_SECONDS = 4.0

# Time after which a failure domain that is listed as out of service gets no new flow.
CORDON_SECONDS = 3.0
# Time after the end of an unplanned fault until all machines are in touch again.
IN_TOUCH_SECONDS = 4.0


def packet_violations(history: PacketHistory) -> list[str]:
    """Return one line for each violation of a guarantee."""
    return [
        *_check_requests(history),
        *_check_flows(history),
        *_check_late_openings(history),
        *_check_domains_out(history),
        *(f"exit: {name} exited unexpectedly" for name in history.exits),
        *(f"task: {name} failed" for name in sorted(set(history.restarted_tasks))),
        *(
            f"recovery: {service} does not answer"
            for service in history.unrecovered_services
        ),
    ]


def _check_requests(history: PacketHistory) -> Iterator[str]:
    for data, count in Counter(data for _, data in history.runs).items():
        if count > 1:
            yield f"once: {data!r} ran {count} times"
    for service, data in history.runs:
        if not data.startswith(service.encode() + b"/"):
            yield f"route: {data!r} ran at {service}"
    if history.forged:
        yield f"genuine: {history.forged} packets were altered in transit"


def _check_late_openings(history: PacketHistory) -> Iterator[str]:
    for opening in history.late_openings:
        yield f"drain: opening at {opening.machine} after {opening.seconds:.2f} s"


def _check_domains_out(history: PacketHistory) -> Iterator[str]:
    for out in history.domains_out:
        for opening in history.openings:
            if (
                opening.failure_domain == out.failure_domain
                and out.start + CORDON_SECONDS < opening.time <= out.end
                and not _precedes_recovery(history, opening)
            ):
                seconds = opening.time - out.start
                yield f"cordon: opening at {opening.machine} after {seconds:.2f} s"


def _precedes_recovery(history: PacketHistory, opening: Opening) -> bool:
    """Return whether a machine may not know of a cordon because of a fault.

    The history does not tell through which machine a flow was opened, so a fault of any
    machine or of the store can explain it.
    """
    return any(
        fault.start <= opening.time <= fault.end + IN_TOUCH_SECONDS + CORDON_SECONDS
        for fault in history.unplanned_faults
    )


def _check_flows(history: PacketHistory) -> Iterator[str]:
    for broken in history.broken_flows:
        if broken.holder is not None and broken.reason == "reset":
            if not _follows_unplanned_fault(history, broken):
                yield f"reset: {broken}"
        elif history.planned:
            yield f"planned: {broken}"


def _follows_unplanned_fault(history: PacketHistory, broken: BrokenFlow) -> bool:
    """Return whether a flow broke during or shortly after a fault of a machine.

    The caller does not see which process sent the reset, so a fault of any machine
    can explain it. A fault of the store cannot.
    """
    return any(
        fault.machines and fault.start <= broken.time <= fault.end + RESET_GRACE_SECONDS
        for fault in history.unplanned_faults
    )

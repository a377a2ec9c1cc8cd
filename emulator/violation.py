"""Broken promises, and the disturbances that excuse one."""

from msgspec import Struct

from emulator.history import Disturbance, History

# Time after the end of a disturbance of a machine during which violations at the
# machine are still ignored, as they are during the disturbance.
DISTURBANCE_GRACE_SECONDS = 4.0


class Violation(Struct, frozen=True):
    """A broken promise.

    Attributes:
        promise: Short name of the promise.
        time: Time in seconds.
        detail: What the history shows.
    """

    promise: str
    time: float
    detail: str


def find_disturbance(
    history: History, machines: set[str], begin: float, end: float
) -> Disturbance | None:
    """Return a disturbance of one of the machines in a span, None without one.

    Args:
        history: History of the run.
        machines: Addresses of the machines.
        begin: Start of the span in seconds.
        end: End of the span in seconds.
    """
    for found in history.disturbances:
        affected = found.machines & machines
        if (
            affected
            and found.start <= end
            and found.end + DISTURBANCE_GRACE_SECONDS >= begin
        ):
            return found
    return None


def catalog_disturbed(history: History, since: float) -> bool:
    """Return whether the catalog has been disturbed since a time in seconds."""
    return any(d.name == "catalog" and d.end >= since for d in history.disturbances)

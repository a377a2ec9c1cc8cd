"""Backend servers that are no longer listed, or are about to be removed."""

from collections.abc import Iterable

from msgspec import Struct

from balsamspool.plugins.catalog.model import BackendServer, BackendState
from balsamspool.plugins.catalog.revision import Revision

# A removed backend server is remembered for this long because it may still hold flows.
REMOVED_RETENTION_SECONDS = 20.0
# Delay before a backend server is removed whose catalog entry may have expired in an
# outage of the publishing service. Listing it again takes about 2 s after the outage.
RELISTING_SECONDS = 2.2
# Time after the end of an outage within which removals are attributed to the outage.
OUTAGE_EFFECT_SECONDS = 4.0
# If at least this share of the backend servers of a service is removed within
# RELISTING_SECONDS, their catalog entries are assumed to have expired in an outage.
MASS_REMOVAL_SHARE = 0.5


class DelayedRemoval(Struct):
    """Removal of a backend server that is no longer listed but still used.

    Attributes:
        removal_revision: Revision of the removal.
        until: Event loop time in seconds at which the removal takes effect.
    """

    removal_revision: Revision
    until: float


class RemovedServer(Struct, frozen=True):
    """A backend server that was removed a short time ago.

    Attributes:
        server: The backend server.
        removed: Event loop time of its removal in seconds.
        expired: Whether its catalog entry may have expired in an outage of the
            publishing service.
        succeeded: Whether a later backend server ran in its place.
    """

    server: BackendServer
    removed: float
    expired: bool = False
    succeeded: bool = False

    @property
    def planned(self) -> bool:
        """Whether it announced that it was leaving."""
        return self.server.state is BackendState.DRAINING

    @property
    def explained(self) -> bool:
        """Whether its removal is no sign of an outage."""
        return self.planned or self.succeeded

    @property
    def left(self) -> bool:
        """Whether it announced that it was leaving, and was removed when it had left.

        A backend server that is leaving still serves its flows for a while. Its entry
        expires in an outage like any other.
        """
        return self.planned and not self.expired

    @property
    def until(self) -> float:
        """Event loop time in seconds until which flows may still belong to it."""
        return self.removed + REMOVED_RETENTION_SECONDS


def may_have_expired(outage_end: float | None, time: float) -> bool:
    """Return whether a removal may be an effect of an outage of the service.

    Args:
        outage_end: Event loop time in seconds at which the last outage ended, None
            without an outage.
        time: Event loop time in seconds.
    """
    return outage_end is not None and time - outage_end < OUTAGE_EFFECT_SECONDS


def is_mass_removal(
    service: str,
    ready: int,
    delayed: int,
    removed: Iterable[RemovedServer],
    time: float,
) -> bool:
    """Return whether one more removal makes so many that entries may have expired.

    The removal of the last ready backend server of a service always does, because no
    other backend server could be used instead.

    Args:
        service: Name of the service.
        ready: Its backend servers that accept new flows.
        delayed: Those of them whose removal is delayed.
        removed: Backend servers that were removed a short time ago.
        time: Event loop time in seconds.
    """
    since = time - RELISTING_SECONDS
    unplanned = sum(
        1
        for found in removed
        if found.server.service == service
        and not found.explained
        and found.removed >= since
    )
    return delayed + 1 + unplanned >= max(1.0, MASS_REMOVAL_SHARE * (ready + unplanned))

"""Backend servers that are no longer listed, or are about to be removed."""

from msgspec import Struct

from balsamspool.plugins.catalog.model import BackendServer, BackendState
from balsamspool.plugins.catalog.revision import Revision

# A removed backend server is remembered for this long because it may still hold flows.
REMOVED_RETENTION_SECONDS = 20.0


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

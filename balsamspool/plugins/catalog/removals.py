"""Backend servers that are no longer listed, or are about to be removed."""

from collections.abc import Collection, Iterable

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


class RemovedServers:
    """Backend servers that were removed a short time ago, by name."""

    __slots__ = ("_by_address", "_servers")

    def __init__(self) -> None:
        self._servers: dict[str, RemovedServer] = {}
        self._by_address: dict[str, tuple[RemovedServer, ...]] | None = None

    @property
    def all(self) -> Collection[RemovedServer]:
        """All of them, in the order of their removal."""
        return self._servers.values()

    def get(self, name: str) -> RemovedServer | None:
        """Return the removed backend server of a name, or None."""
        return self._servers.get(name)

    def add(self, removed: RemovedServer) -> None:
        """Remember a backend server that is no longer listed."""
        self._servers[removed.server.name] = removed
        self._by_address = None

    def discard(self, name: str) -> None:
        """Forget a backend server that is listed again."""
        if self._servers.pop(name, None) is not None:
            self._by_address = None

    def of(self, service: str) -> tuple[RemovedServer, ...]:
        """Return the removed backend servers of a service.

        The entry of a backend server expires if the server cannot reach the publishing
        service. Such a server still holds its flows.
        """
        return tuple(r for r in self.all if r.server.service == service)

    def except_of(self, services: Collection[str]) -> tuple[RemovedServer, ...]:
        """Return the removed backend servers of all other services."""
        return tuple(r for r in self.all if r.server.service not in services)

    def at(self, address: str) -> tuple[RemovedServer, ...]:
        """Return the removed backend servers of an address, in order of removal."""
        if self._by_address is None:
            self._by_address = {}
            for removed in self.all:
                earlier = self._by_address.get(removed.server.address, ())
                self._by_address[removed.server.address] = (*earlier, removed)
        return self._by_address.get(address, ())

    def expire(self, time: float) -> bool:
        """Forget those whose flows have ended, and return whether there were any.

        Args:
            time: Event loop time in seconds.
        """
        due = [name for name, removed in self._servers.items() if time >= removed.until]
        for name in due:
            self.discard(name)
        return bool(due)


class DelayedRemovals:
    """Removals that wait, by name, because their entries may be listed again."""

    __slots__ = ("_delayed", "_outage_end")

    def __init__(self) -> None:
        self._delayed: dict[str, DelayedRemoval] = {}
        self._outage_end: float | None = None

    @property
    def names(self) -> Collection[str]:
        """Names of the backend servers whose removal waits."""
        return self._delayed.keys()

    def record_outage(self, time: float) -> None:
        """Record that the publishing service did not answer at a time in seconds."""
        if self._outage_end is None or time > self._outage_end:
            self._outage_end = time

    def may_have_expired(self, time: float) -> bool:
        """Return whether a removal at a time may be an effect of an outage."""
        return may_have_expired(self._outage_end, time)

    def may_be_relisted(
        self,
        service: str,
        ready: Collection[BackendServer],
        removed: Iterable[RemovedServer],
        time: float,
    ) -> bool:
        """Return whether a removed entry may have expired and may be listed again.

        Args:
            service: Service of its backend server.
            ready: The backend servers of the service that accept new flows.
            removed: Backend servers that were removed a short time ago.
            time: Event loop time in seconds.
        """
        if self.may_have_expired(time):
            return True
        delayed = sum(1 for server in ready if server.name in self._delayed)
        return is_mass_removal(service, len(ready), delayed, removed, time)

    def add(self, name: str, revision: Revision, time: float) -> None:
        """Delay a removal.

        Args:
            name: Name of the backend server.
            revision: Revision of the removal.
            time: Event loop time in seconds.
        """
        self._delayed[name] = DelayedRemoval(revision, time + RELISTING_SECONDS)

    def discard(self, name: str) -> None:
        """Forget a removal that has taken effect or was reversed."""
        self._delayed.pop(name, None)

    def get(self, name: str) -> DelayedRemoval | None:
        """Return the removal of a backend server that waits, or None."""
        return self._delayed.get(name)

    def due(self, time: float) -> list[tuple[str, Revision]]:
        """Return the names and revisions of the removals that wait no longer."""
        return [
            (name, delayed.removal_revision)
            for name, delayed in self._delayed.items()
            if time >= delayed.until
        ]

    def seconds_left(self, time: float) -> float:
        """Return the seconds until all of them have taken effect."""
        ends = [delayed.until for delayed in self._delayed.values()]
        return max(0.0, max(ends, default=time) - time)


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

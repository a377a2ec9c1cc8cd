"""Decides whether the catalog lists every backend server that is alive.

A catalog entry that expired during an outage of the publishing service is listed again
a short time after the outage. Until then, a flow that no listed host holds may still
be open.
"""

import math

from balsamspool.plugins.catalog.model import (
    BackendState,
    Changes,
    ServerPublished,
    ServerRemoved,
)
from balsamspool.plugins.catalog.removals import RELISTING_SECONDS


class Completeness:
    """Tracks outages during which catalog entries may have expired."""

    __slots__ = ("_removals_explained", "_first_answer", "_outage_end")

    def __init__(self) -> None:
        self._first_answer: float | None = None
        self._outage_end: float | None = None
        self._removals_explained = False

    def record_answer(self, time: float) -> None:
        """Record an answer of the publishing service.

        Args:
            time: Event loop time in seconds.
        """
        if self._first_answer is None:
            self._first_answer = time

    def record_outage(self, time: float) -> None:
        """Record that the service did not answer or that this process was paused.

        Args:
            time: Event loop time in seconds.
        """
        if self._outage_end is None or time > self._outage_end:
            self._outage_end = time

    @property
    def removals_explained(self) -> bool:
        """Whether no removal before the first answer hints at an outage."""
        return self._removals_explained

    def record_history(self, changes: Changes | None) -> None:
        """Record the changes before the first answer, None if they are not known.

        Catalog entries that were removed without draining first may have expired in an
        outage before this process started.
        """
        self._removals_explained = changes is not None and explains_removals(changes)

    def record_restart(self) -> None:
        """Record that all backend servers have started anew since any earlier outage.

        None that is about to be listed again holds a flow then.
        """
        self._removals_explained = True

    def awaits_relisting(self, time: float) -> bool:
        """Return whether entries that expired before the first answer may come back.

        Args:
            time: Event loop time in seconds.
        """
        first = self._first_answer
        recent = first is None or time < first + RELISTING_SECONDS
        return recent and not self._removals_explained

    def seconds_until_complete(self, time: float) -> float:
        """Return the seconds until the catalog lists every live backend server.

        Args:
            time: Event loop time in seconds.
        """
        if self._first_answer is None:
            return RELISTING_SECONDS
        since = self._outage_end if self._outage_end is not None else -math.inf
        if not self._removals_explained:
            since = max(since, self._first_answer)
        return max(0.0, since + RELISTING_SECONDS - time)

    def is_complete(self, time: float) -> bool:
        """Return whether the catalog lists every live backend server.

        Args:
            time: Event loop time in seconds.
        """
        return (
            self._first_answer is not None and self.seconds_until_complete(time) == 0.0
        )


def explains_removals(changes: Changes) -> bool:
    """Return whether no removal of a backend server hints at an outage.

    If the backend servers failed, as many others started in their place, under new
    names and at the same addresses and ports. If their entries expired in an outage,
    they are listed again under their own names, so one that has been listed again
    already is a sign of an outage.
    """
    unplanned = unplanned_removals(changes)
    if not unplanned:
        return True
    started: set[str] = set()
    removed: set[str] = set()
    endpoints: dict[str, tuple[str, int]] = {}
    relisted = False
    for record in changes.records:
        match record:
            case ServerPublished(revision, server, created):
                relisted = relisted or server.name in removed
                endpoints[server.name] = (server.address, server.port)
                if created == revision:
                    started.add(server.name)
            case ServerRemoved(_, name):
                removed.add(name)
    # A server that started and was then removed itself replaces no other.
    started -= unplanned
    vacant = {endpoints[name] for name in unplanned if name in endpoints}
    taken = {endpoints[name] for name in started}
    replaced = len(started) - len(removed - unplanned)
    return not relisted and vacant <= taken and replaced >= len(unplanned)


def unplanned_removals(changes: Changes) -> set[str]:
    """Return the names of backend servers that were removed without draining first."""
    draining: set[str] = set()
    removed: set[str] = set()
    for record in changes.records:
        match record:
            case ServerPublished(_, server):
                removed.discard(server.name)
                if server.state is BackendState.DRAINING:
                    draining.add(server.name)
            case ServerRemoved(_, name):
                if name not in draining:
                    removed.add(name)
    return removed

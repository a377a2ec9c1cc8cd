"""Judges whether the list of backend servers names every one that is alive.

An entry that lapsed during an outage of the service returns within a short time after
it. Before that, a flow that no listed host holds may still be open.
"""

import math

from balsamspool.plugins.catalog.model import (
    BackendState,
    Changes,
    ServerPublished,
    ServerRemoved,
)
from balsamspool.plugins.catalog.view import RETURN_SECONDS


class Completeness:
    """What is known of outages that could have made entries lapse."""

    __slots__ = ("_explained", "_first_answer", "_outage_end")

    def __init__(self) -> None:
        self._first_answer: float | None = None
        self._outage_end: float | None = None
        self._explained = False

    def note_answer(self, time: float) -> None:
        """Record an answer of the service that publishes the catalog.

        Args:
            time: Event loop time in seconds.
        """
        if self._first_answer is None:
            self._first_answer = time

    def note_outage(self, time: float) -> None:
        """Record that the service did not answer, or that this process was paused.

        Args:
            time: Event loop time in seconds.
        """
        self._outage_end = time

    @property
    def explained(self) -> bool:
        """Whether the history explains all removals before the first answer."""
        return self._explained

    def note_history(self, changes: Changes | None) -> None:
        """Record the changes before the first answer, None if they are not known.

        Entries that were removed without having been draining may have lapsed in an
        outage that this process has not seen.
        """
        self._explained = changes is not None and not unexplained_removals(changes)

    def delay(self, time: float) -> float:
        """Return the seconds until the list names every backend server that is alive.

        Args:
            time: Event loop time in seconds.
        """
        if self._first_answer is None:
            return RETURN_SECONDS
        begin = self._outage_end if self._outage_end is not None else -math.inf
        if not self._explained:
            begin = max(begin, self._first_answer)
        return max(0.0, begin + RETURN_SECONDS - time)

    def holds(self, time: float) -> bool:
        """Return whether the list names every backend server that is alive.

        Args:
            time: Event loop time in seconds.
        """
        return self._first_answer is not None and self.delay(time) == 0.0


def unexplained_removals(changes: Changes) -> set[str]:
    """Return the names that were removed without having been draining before."""
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

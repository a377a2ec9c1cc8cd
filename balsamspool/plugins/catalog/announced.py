"""Newest revisions that other entries have announced."""

from collections import deque

from msgspec import Struct

from balsamspool.plugins.catalog.revision import Revision

# Maximum number of announcements that are kept. Later ones say nothing more: a process
# that has not reached the first of them is behind.
MAX_ANNOUNCEMENTS = 64


class _Announcement(Struct, frozen=True):
    """A revision and the event loop time in seconds at which it was first heard of."""

    revision: Revision
    heard: float


class AnnouncedRevisions:
    """Tells for how long other entries have known changes that this process lacks."""

    __slots__ = ("_announcements",)

    def __init__(self) -> None:
        # Ordered by revision, and therefore by time.
        self._announcements: deque[_Announcement] = deque()

    def record(self, revision: Revision, time: float) -> None:
        """Record that another entry knows all changes up to a revision.

        Args:
            revision: The revision.
            time: Event loop time in seconds.
        """
        known = self._announcements
        if len(known) < MAX_ANNOUNCEMENTS and (
            not known or revision > known[-1].revision
        ):
            known.append(_Announcement(revision, time))

    def retract_above(self, revision: Revision) -> None:
        """Forget revisions that no entry announces any more."""
        while self._announcements and self._announcements[-1].revision > revision:
            self._announcements.pop()

    def confirm(self, time: float) -> None:
        """Forget what was heard before a call that the publishing service answered.

        Args:
            time: Event loop time in seconds at which the call began.
        """
        while self._announcements and self._announcements[0].heard <= time:
            self._announcements.popleft()

    def seconds_behind(self, revision: Revision, time: float) -> float:
        """Return for how long a revision later than the own one has been known.

        Args:
            revision: Revision up to which this process knows all changes.
            time: Event loop time in seconds.
        """
        while self._announcements and self._announcements[0].revision <= revision:
            self._announcements.popleft()
        return time - self._announcements[0].heard if self._announcements else 0.0

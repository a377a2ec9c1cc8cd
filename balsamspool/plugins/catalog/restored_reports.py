"""Reports in a restored catalog that are not newer than what is known.

The entry of a backend server that was removed before the restore may stand in the copy.
The report in it does not show whether the server is alive: its entry may have expired
although it is, and a live server writes no further report while nothing changes. If it
has stopped, its entry expires again, as it sends no heartbeats.
"""

import logging
from collections.abc import Collection, Mapping

from msgspec import Struct

from balsamspool.plugins.catalog.events import (
    SERVER_REPORT_CONFIRMED,
    SERVER_REPORT_OUTDATED,
)
from balsamspool.plugins.catalog.model import BackendServer, ServerPublished
from balsamspool.plugins.catalog.removals import DelayedRemovals, RemovedServers
from balsamspool.plugins.catalog.report_order import is_newer_report, is_older_report
from balsamspool.plugins.catalog.revision import NO_REVISION, Revision

_logger = logging.getLogger(__name__)

# Time within which the entry of a stopped backend server expires again after a restore,
# which takes three heartbeats, and its removal is known.
CONFIRMATION_SECONDS = 6.0


class HeldReport(Struct, frozen=True):
    """A report of a backend server that may be alive.

    Attributes:
        server: The backend server, as its latest known report describes it.
        revision: Revision of the entry in the restored catalog.
        created: Revision at which the entry was created, 0 if unknown.
        until: Event loop time in seconds at which the server counts as alive if its
            entry still stands.
    """

    server: BackendServer
    revision: Revision
    created: Revision
    until: float


class RestoredReports:
    """Tells outdated reports from new ones, and holds those that may be right.

    Args:
        servers: Listed backend servers by name.
        revisions: Newest revision of each name.
        removed: Backend servers that were removed a short time ago.
        delayed: Removals that wait because the entries may be listed again.
    """

    __slots__ = ("_delayed", "_held", "_removed", "_revisions", "_servers")

    def __init__(
        self,
        servers: Mapping[str, BackendServer],
        revisions: Mapping[str, Revision],
        removed: RemovedServers,
        delayed: DelayedRemovals,
    ) -> None:
        self._servers = servers
        self._revisions = revisions
        self._removed = removed
        self._delayed = delayed
        self._held: dict[str, HeldReport] = {}

    @property
    def servers(self) -> list[BackendServer]:
        """The backend servers whose reports are held."""
        return [report.server for report in self._held.values()]

    def hold_outdated(self, record: ServerPublished, time: float) -> bool:
        """Hold a report if a later one is known, and return whether it is so.

        Args:
            record: The record with the report.
            time: Event loop time in seconds.
        """
        name = record.server.name
        if not self._is_outdated(record.server, record.revision):
            return False
        SERVER_REPORT_OUTDATED.log(_logger, server=name, revision=record.revision)
        # The known report stays, but the server is listed, so it is not removed.
        self._delayed.discard(name)
        removed = self._removed.get(name)
        if removed is not None:
            # A server that drains does not become ready again, whatever the copy says.
            self._held[name] = HeldReport(
                removed.server, record.revision, record.created, self._end(record, time)
            )
        return True

    def discard(self, name: str) -> None:
        """Forget the report of a name, because a later record is known."""
        self._held.pop(name, None)

    def retain(self, listed: Collection[str], revision: Revision) -> None:
        """Forget the reports of entries that a full read does not list.

        Args:
            listed: Names of the listed backend servers.
            revision: Revision of the full read.
        """
        for name, report in list(self._held.items()):
            if name not in listed and report.revision <= revision:
                del self._held[name]

    def take_due(self, time: float) -> list[HeldReport]:
        """Remove and return the reports whose entries have stood for long enough.

        Args:
            time: Event loop time in seconds.
        """
        due = [report for report in self._held.values() if time >= report.until]
        for report in due:
            del self._held[report.server.name]
            SERVER_REPORT_CONFIRMED.log(
                _logger, server=report.server.name, revision=report.revision
            )
        return due

    def _end(self, record: ServerPublished, time: float) -> float:
        """Return the end of the wait, which another read of the catalog keeps."""
        held = self._held.get(record.server.name)
        era = Revision(record.revision).era
        if held is not None and Revision(held.revision).era == era:
            return held.until
        return time + CONFIRMATION_SECONDS

    def _is_outdated(self, server: BackendServer, revision: Revision) -> bool:
        """Return whether a restored catalog contains an older report than is known."""
        known = Revision(self._revisions.get(server.name, NO_REVISION))
        if known.era == Revision(revision).era:
            return False
        listed = self._servers.get(server.name)
        if listed is not None:
            return is_older_report(server, listed)
        removed = self._removed.get(server.name)
        return removed is not None and not is_newer_report(server, removed.server)

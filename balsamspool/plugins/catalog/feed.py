"""Passes the records that this process has read on to its peers."""

import asyncio

from balsamspool.kernel.clock import now
from balsamspool.plugins.catalog.delta import CatalogDelta
from balsamspool.plugins.catalog.model import Changes, Record, Snapshot
from balsamspool.plugins.catalog.record_log import RecordLog
from balsamspool.plugins.catalog.revision import Revision


class CatalogFeed:
    """Keeps the records and answers requests of peers for changes."""

    __slots__ = ("_changed", "_log", "_outage_end", "_revision", "_service_answer")

    def __init__(self) -> None:
        self._log = RecordLog()
        self._revision: Revision | None = None
        self._service_answer: float | None = None
        self._outage_end: float | None = None
        self._changed = asyncio.Event()

    def record_answer(self, time: float | None) -> None:
        """Record when the publishing service last answered, None if it is unknown."""
        self._service_answer = time

    def record_outage(self, time: float) -> None:
        """Record that the service did not answer at an event loop time in seconds."""
        if self._outage_end is None or time > self._outage_end:
            self._outage_end = time

    def record_changes(self, changes: Changes) -> None:
        """Keep changes that this process has read."""
        for record in changes.records:
            self._log.apply(record, changes.all_tables)
        self._advance(changes.revision)

    def record_snapshot(self, snapshot: Snapshot) -> None:
        """Keep a snapshot that this process has read."""
        self._log.replace(snapshot)
        self._advance(snapshot.revision)

    async def changes_after(
        self, revision: Revision, wait: float
    ) -> CatalogDelta | None:
        """Return what a peer does not know yet.

        Args:
            revision: Revision up to which the peer knows all changes.
            wait: Time in seconds to wait for a change.

        Returns:
            The changes, which may be empty, or None before the first snapshot.
        """
        if wait > 0 and self._revision is not None and revision >= self._revision:
            try:
                async with asyncio.timeout(wait):
                    await self._changed.wait()
            except TimeoutError:
                pass
        return self._delta(revision)

    def _delta(self, revision: Revision) -> CatalogDelta | None:
        if self._revision is None:
            return None
        changed = self._log.changes_after(revision)
        records: tuple[Record, ...] = changed if changed is not None else ()
        if changed is None and revision < self._revision:
            records = self._log.listed()
        time = now()
        return CatalogDelta(
            revision=self._revision,
            complete=changed is None and revision < self._revision,
            records=records,
            age=_seconds_since(self._service_answer, time),
            outage_age=_seconds_since(self._outage_end, time),
            all_tables=self._log.has_all_tables_after(revision),
        )

    def _advance(self, revision: Revision) -> None:
        if self._revision is not None and revision <= self._revision:
            return
        self._revision = revision
        # A new event, so that a waiter of the next change does not see this one.
        self._changed.set()
        self._changed = asyncio.Event()


def _seconds_since(moment: float | None, time: float) -> float | None:
    return None if moment is None else max(0.0, time - moment)

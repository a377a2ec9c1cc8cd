"""Brings the view of the catalog up to date on demand."""

import asyncio
import logging
from collections.abc import Callable

from balsamspool.kernel.clock import now
from balsamspool.kernel.counters import CounterSet
from balsamspool.kernel.errors import ResultError
from balsamspool.plugins.catalog.codes import CATALOG_HISTORY_LOST
from balsamspool.plugins.catalog.completeness import (
    Completeness,
    unplanned_removals,
)
from balsamspool.plugins.catalog.events import (
    CATALOG_READ,
    CATALOG_UPDATED,
    HISTORY_READ,
    REFRESH_FAILED,
)
from balsamspool.plugins.catalog.follower import CatalogFollower
from balsamspool.plugins.catalog.model import Changes
from balsamspool.plugins.catalog.restart_watch import FleetRestartWatch
from balsamspool.plugins.catalog.revision import Revision
from balsamspool.plugins.catalog.source import CatalogSource
from balsamspool.plugins.catalog.view import CatalogView

_logger = logging.getLogger(__name__)

# Shortest pause between two reads. Calls to the service are costly, and the result of
# one read is used for many unknown flows.
MIN_PAUSE_SECONDS = 0.15


class CatalogRefresher:
    """Reads the latest changes when a decision needs an up-to-date catalog.

    The whole catalog is read only if the service no longer has the changes: with many
    routes the catalog is large for the network link of a small instance.

    Args:
        source: Reads the catalog from the publishing service.
        view: View of the catalog; it is changed in place.
        completeness: Records which removals in the history were planned.
        follower: Provides the revision up to which the view is known.
        counters: Counters of the process, None to count for nobody.
    """

    __slots__ = (
        "_callbacks",
        "_completeness",
        "_finished",
        "_follower",
        "_history_read",
        "_source",
        "_started",
        "_view",
        "_requested",
        "_restart_watch",
        "_view_changed",
    )

    def __init__(
        self,
        source: CatalogSource,
        view: CatalogView,
        completeness: Completeness,
        follower: CatalogFollower,
        counters: CounterSet | None = None,
    ) -> None:
        self._source = source
        self._follower = follower
        self._view = view
        self._completeness = completeness
        self._restart_watch = FleetRestartWatch(view, completeness, counters)
        self._requested = asyncio.Event()
        self._view_changed = asyncio.Event()
        view.subscribe(self._view_changed.set)
        self._started = 0.0
        self._finished = 0.0
        self._callbacks: list[Callable[[], None]] = []
        self._history_read = False

    @property
    def history_read(self) -> bool:
        """Whether the changes before the start of this process have been read."""
        return self._history_read

    @property
    def started(self) -> float:
        """Event loop time in seconds at which the last successful read started."""
        return self._started

    @property
    def finished(self) -> float:
        """Event loop time in seconds at which the last successful read finished."""
        return self._finished

    def request(self) -> None:
        """Request a read that starts after this call."""
        self._requested.set()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call a function after each successful read."""
        self._callbacks.append(callback)

    async def run(self) -> None:
        """Read on each request until cancelled."""
        while True:
            await self._requested.wait()
            self._requested.clear()
            await self._read()
            await self._pause()

    async def _pause(self) -> None:
        """Wait until another read can show where an unknown flow belongs.

        Until the catalog lists every live backend server, a read would be of no use.
        That it does may be shown earlier by what it lists meanwhile.
        """
        end = now() + self._seconds_until_useful()
        await asyncio.sleep(MIN_PAUSE_SECONDS)
        self._restart_watch.judge()
        try:
            async with asyncio.timeout_at(end):
                while self._seconds_until_useful() > 0.0:
                    self._view_changed.clear()
                    await self._view_changed.wait()
                    self._restart_watch.judge()
        except TimeoutError:
            return

    def _seconds_until_useful(self) -> float:
        time = now()
        return max(
            self._completeness.seconds_until_complete(time),
            self._view.seconds_until_removals(time),
        )

    async def _read(self) -> None:
        started = now()
        try:
            revision = await self._update()
            if not self._history_read or not self._completeness.is_complete(now()):
                await self._check_history(revision)
        except ResultError as error:
            REFRESH_FAILED.log(_logger, error=str(error))
            return
        self._started = started
        self._finished = now()
        for callback in self._callbacks:
            callback()

    async def _update(self) -> Revision:
        """Bring the view up to date and return its revision."""
        known = self._follower.revision
        if known is not None:
            try:
                changes = await self._source.changes(known)
            except ResultError as error:
                if error.code is not CATALOG_HISTORY_LOST:
                    raise
            else:
                if changes.continues(known):
                    self._apply(changes)
                    return changes.revision
        snapshot = await self._source.read()
        self._follower.enter_era(snapshot.revision)
        self._view.replace(snapshot, now())
        CATALOG_READ.log(
            _logger, revision=snapshot.revision, records=len(snapshot.records)
        )
        return snapshot.revision

    def _apply(self, changes: Changes) -> None:
        for record in changes.records:
            self._view.apply(record, now())
        CATALOG_UPDATED.log(
            _logger, revision=changes.revision, records=len(changes.records)
        )

    async def _check_history(self, revision: Revision) -> None:
        """Read the history from before the start of this process.

        It shows which catalog entries may have expired, and earlier route tables.
        """
        history = await self._source.history(revision)
        self._history_read = True
        self._completeness.record_history(history)
        self._restart_watch.record_history(history)
        if history is not None:
            self._view.learn_history(history.records)
        HISTORY_READ.log(
            _logger,
            records=len(history.records) if history else None,
            unexplained=sorted(unplanned_removals(history)) if history else None,
        )

"""Brings the view of the catalog up to date on demand."""

import asyncio
import logging
from collections.abc import Callable

from balsamspool.kernel.clock import now
from balsamspool.kernel.errors import ResultError
from balsamspool.plugins.catalog.codes import CATALOG_HISTORY_LOST
from balsamspool.plugins.catalog.completeness import (
    Completeness,
    unexplained_removals,
)
from balsamspool.plugins.catalog.events import (
    CATALOG_READ,
    CATALOG_UPDATED,
    HISTORY_READ,
    REFRESH_FAILED,
)
from balsamspool.plugins.catalog.follower import CatalogFollower
from balsamspool.plugins.catalog.source import CatalogSource
from balsamspool.plugins.catalog.view import CatalogView

_logger = logging.getLogger(__name__)

# Calls have a price. Many flows can be decided after one reading.
PAUSE_SECONDS = 0.15


class CatalogRefresher:
    """Reads what changed when somebody needs the catalog as of now.

    The whole catalog is read only if the history is not kept: with many routes it is
    large for the link of a small instance.

    Args:
        source: Reads the catalog where it is published.
        view: What the process knows; it is changed in place.
        completeness: Learns what the history explains.
        follower: Tells up to which revision the view is known.
    """

    __slots__ = (
        "_callbacks",
        "_completeness",
        "_finished",
        "_follower",
        "_source",
        "_started",
        "_view",
        "_wanted",
    )

    def __init__(
        self,
        source: CatalogSource,
        view: CatalogView,
        completeness: Completeness,
        follower: CatalogFollower,
    ) -> None:
        self._source = source
        self._follower = follower
        self._view = view
        self._completeness = completeness
        self._wanted = asyncio.Event()
        self._started = 0.0
        self._finished = 0.0
        self._callbacks: list[Callable[[], None]] = []

    @property
    def started(self) -> float:
        """Event loop time in seconds at which the last complete reading began."""
        return self._started

    @property
    def finished(self) -> float:
        """Event loop time in seconds at which the last complete reading ended."""
        return self._finished

    def request(self) -> None:
        """Ask for a reading that begins after this call."""
        self._wanted.set()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call a function after each reading."""
        self._callbacks.append(callback)

    async def run(self) -> None:
        """Read whenever it is asked for, until cancelled."""
        while True:
            await self._wanted.wait()
            self._wanted.clear()
            await self._read()
            # Before the list is complete another reading would decide nothing.
            delay = self._completeness.delay(now())
            missing = self._view.missing_delay(now())
            await asyncio.sleep(max(PAUSE_SECONDS, delay, missing))

    async def _read(self) -> None:
        started = now()
        try:
            revision = await self._update()
            if not self._completeness.holds(now()):
                await self._explain(revision)
        except ResultError as error:
            REFRESH_FAILED.log(_logger, error=str(error))
            return
        self._started = started
        self._finished = now()
        for callback in self._callbacks:
            callback()

    async def _update(self) -> int:
        """Bring the view up to date and return its revision."""
        known = self._follower.revision
        if known is not None:
            try:
                changes = await self._source.changes(known)
            except ResultError as error:
                if error.code is not CATALOG_HISTORY_LOST:
                    raise
            else:
                for record in changes.records:
                    self._view.apply(record, now())
                CATALOG_UPDATED.log(
                    _logger, revision=changes.revision, records=len(changes.records)
                )
                return changes.revision
        snapshot = await self._source.read()
        self._view.replace(snapshot, now())
        CATALOG_READ.log(
            _logger, revision=snapshot.revision, records=len(snapshot.records)
        )
        return snapshot.revision

    async def _explain(self, revision: int) -> None:
        """Look in the history for entries that may have lapsed before the start."""
        history = await self._source.history(revision)
        self._completeness.note_history(history)
        HISTORY_READ.log(
            _logger,
            records=len(history.records) if history else None,
            unexplained=sorted(unexplained_removals(history)) if history else None,
        )

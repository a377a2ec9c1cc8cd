"""Reads the whole catalog again on demand."""

import asyncio
import logging
from collections.abc import Callable

from balsamspool.kernel.clock import now
from balsamspool.kernel.errors import ResultError
from balsamspool.plugins.catalog.completeness import (
    Completeness,
    unexplained_removals,
)
from balsamspool.plugins.catalog.events import (
    CATALOG_READ,
    HISTORY_READ,
    REFRESH_FAILED,
)
from balsamspool.plugins.catalog.source import CatalogSource
from balsamspool.plugins.catalog.view import CatalogView

_logger = logging.getLogger(__name__)

# Calls have a price. Many flows can be decided after one reading.
PAUSE_SECONDS = 0.15


class CatalogRefresher:
    """Reads the catalog again when somebody needs it as of now.

    Args:
        source: Reads the catalog where it is published.
        view: What the process knows; it is changed in place.
        completeness: Learns what the history explains.
    """

    __slots__ = (
        "_callbacks",
        "_completeness",
        "_finished",
        "_source",
        "_started",
        "_view",
        "_wanted",
    )

    def __init__(
        self, source: CatalogSource, view: CatalogView, completeness: Completeness
    ) -> None:
        self._source = source
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
            snapshot = await self._source.read()
            if not self._completeness.holds(now()):
                await self._explain(snapshot.revision)
        except ResultError as error:
            REFRESH_FAILED.log(_logger, error=str(error))
            return
        self._view.replace(snapshot, now())
        self._started = started
        self._finished = now()
        CATALOG_READ.log(
            _logger, revision=snapshot.revision, records=len(snapshot.records)
        )
        for callback in self._callbacks:
            callback()

    async def _explain(self, revision: int) -> None:
        """Look in the history for entries that may have lapsed before the start."""
        history = await self._source.history(revision)
        self._completeness.note_history(history)
        HISTORY_READ.log(
            _logger,
            records=len(history.records) if history else None,
            unexplained=sorted(unexplained_removals(history)) if history else None,
        )

"""Keeps the view of the catalog up to date by watching the publishing service."""

import asyncio
import logging
import random

from balsamspool.kernel.backoff import Backoff
from balsamspool.kernel.clock import now
from balsamspool.kernel.errors import ResultError
from balsamspool.plugins.catalog.codes import CATALOG_HISTORY_LOST
from balsamspool.plugins.catalog.completeness import Completeness
from balsamspool.plugins.catalog.events import (
    CATALOG_LOST,
    CATALOG_READ,
    CATALOG_REGAINED,
    HISTORY_LOST,
)
from balsamspool.plugins.catalog.model import Snapshot
from balsamspool.plugins.catalog.source import CatalogSource
from balsamspool.plugins.catalog.view import CatalogView

_logger = logging.getLogger(__name__)

FIRST_RETRY_SECONDS = 0.2
RETRY_LIMIT_SECONDS = 1.0
# Longest retry delay of a process that has no route table yet.
EMPTY_RETRY_SECONDS = 0.15
# Longest time that a watch waits for changes while the service is unreachable. It is
# shorter than the usual wait, so that an answer soon shows that the service is
# reachable again.
PROBE_WAIT_SECONDS = 0.05
# Pause after a watch that returned changes, so that the next watch reads all changes
# that follow closely in one call. With this pause, 640 entry processes that follow
# steady changes stay below the service's limit of 2,000 calls per second. The pause is
# short enough, because every time limit for applying a change is at least 3 s.
CHANGE_BATCH_SECONDS = 0.5
# Longest random delay before a full read. It spreads the full reads that all processes
# start at the same moment after the service has lost its history.
REREAD_SPREAD_SECONDS = 0.2


class CatalogFollower:
    """Reads the catalog once and then follows its changes.

    Args:
        source: Reads the catalog from the publishing service.
        view: View of the catalog; it is changed in place.
        completeness: Records answers and outages.
        wait: Longest wait of one call in seconds, which bounds the time until a lost
            answer is detected.
        rng: Random number generator.
    """

    __slots__ = (
        "_last_answer",
        "_completeness",
        "_calls",
        "_reachable",
        "_revision",
        "_rng",
        "_source",
        "_view",
        "_watch_seconds",
    )

    def __init__(
        self,
        source: CatalogSource,
        view: CatalogView,
        completeness: Completeness,
        wait: float,
        rng: random.Random,
    ) -> None:
        self._source = source
        self._view = view
        self._completeness = completeness
        self._watch_seconds = wait
        self._rng = rng
        self._revision: int | None = None
        self._last_answer: float | None = None
        self._reachable = True
        self._calls = 0

    @property
    def last_answer(self) -> float | None:
        """Event loop time of the last answer in seconds, None before the first."""
        return self._last_answer

    @property
    def reachable(self) -> bool:
        """Whether the last call was answered."""
        return self._reachable

    @property
    def revision(self) -> int | None:
        """Revision up to which changes are known, None before the first snapshot."""
        return self._revision

    @property
    def calls(self) -> int:
        """Number of calls so far."""
        return self._calls

    def apply_peer_snapshot(self, snapshot: Snapshot) -> bool:
        """Apply the records of a peer if they are newer than the view.

        Args:
            snapshot: All records that the peer has.

        Returns:
            Whether the snapshot was newer.
        """
        if self._revision is not None and snapshot.revision <= self._revision:
            return False
        self._view.replace(snapshot, now())
        self._revision = snapshot.revision
        return True

    async def run(self) -> None:
        """Follow the catalog until cancelled."""
        backoff = Backoff(FIRST_RETRY_SECONDS, RETRY_LIMIT_SECONDS, self._rng)
        while True:
            try:
                await self._read_or_watch()
            except ResultError as error:
                if error.code is CATALOG_HISTORY_LOST:
                    HISTORY_LOST.log(_logger, revision=self._revision)
                    self._revision = None
                    await asyncio.sleep(self._rng.uniform(0, REREAD_SPREAD_SECONDS))
                    continue
                self._record_failure(error)
                await asyncio.sleep(self._retry_delay(backoff))
            else:
                backoff.reset()

    def _retry_delay(self, backoff: Backoff) -> float:
        delay = backoff.next_delay()
        if self._view.table is None:
            # This process cannot accept flows until it has a route table.
            return min(delay, EMPTY_RETRY_SECONDS)
        return delay

    async def _read_or_watch(self) -> None:
        self._calls += 1
        if self._revision is None:
            snapshot = await self._source.read()
            self._record_answer()
            self._view.replace(snapshot, now())
            self._revision = snapshot.revision
            CATALOG_READ.log(
                _logger, revision=snapshot.revision, records=len(snapshot.records)
            )
            return
        # A watch that waits for changes does not show whether the service answers, so
        # the wait is short until the service is known to be reachable.
        wait = self._watch_seconds if self._reachable else PROBE_WAIT_SECONDS
        changes = await self._source.watch(self._revision, wait)
        self._record_answer()
        for record in changes.records:
            self._view.apply(record, now())
        self._revision = max(self._revision, changes.revision)
        if changes.records:
            await asyncio.sleep(CHANGE_BATCH_SECONDS)

    def _record_answer(self) -> None:
        if not self._reachable:
            self._reachable = True
            # The outage may have lasted until this answer, so the time of the answer is
            # recorded as the end of the outage.
            self._record_outage()
            CATALOG_REGAINED.log(_logger, revision=self._revision)
        self._last_answer = now()
        self._completeness.record_answer(now())

    def _record_failure(self, error: ResultError) -> None:
        self._record_outage()
        if self._reachable:
            self._reachable = False
            CATALOG_LOST.log(_logger, revision=self._revision, error=str(error))

    def _record_outage(self) -> None:
        self._view.record_outage(now())
        self._completeness.record_outage(now())

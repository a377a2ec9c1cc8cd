"""Keeps a view of the catalog up to date."""

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
# Longest delay while a process has no catalog at all.
EMPTY_RETRY_SECONDS = 0.15
# Longest wait of the first call after a failure.
PROBE_SECONDS = 0.05
# Changes come in groups. 640 entries that follow steady changes stay below the 2,000
# calls a second of the service, and 0.5 s is short against every bound (3 s at least).
GATHER_SECONDS = 0.5
# After the loss of history all processes read everything at the same moment.
REREAD_SPREAD_SECONDS = 0.2


class CatalogFollower:
    """Reads the catalog once and then follows its changes.

    Args:
        source: Reads the catalog where it is published.
        view: What the process knows; it is changed in place.
        completeness: Learns of answers and outages.
        wait: Longest wait of one call in seconds. A connection that went silent is
            noticed after it.
        rng: Source of randomness.
    """

    __slots__ = (
        "_answered",
        "_completeness",
        "_calls",
        "_reachable",
        "_revision",
        "_rng",
        "_source",
        "_view",
        "_wait",
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
        self._wait = wait
        self._rng = rng
        self._revision: int | None = None
        self._answered: float | None = None
        self._reachable = True
        self._calls = 0

    @property
    def answered(self) -> float | None:
        """Event loop time of the last answer in seconds, None before the first."""
        return self._answered

    @property
    def reachable(self) -> bool:
        """Whether the last call was answered."""
        return self._reachable

    @property
    def revision(self) -> int | None:
        """Revision up to which changes are known, None before the first answer."""
        return self._revision

    @property
    def calls(self) -> int:
        """Number of calls so far."""
        return self._calls

    def adopt(self, snapshot: Snapshot) -> bool:
        """Take over what a peer knows if it is newer.

        Args:
            snapshot: All records that the peer has.

        Returns:
            Whether it was newer.
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
                await self._step()
            except ResultError as error:
                if error.code is CATALOG_HISTORY_LOST:
                    HISTORY_LOST.log(_logger, revision=self._revision)
                    self._revision = None
                    await asyncio.sleep(self._rng.uniform(0, REREAD_SPREAD_SECONDS))
                    continue
                self._note_failure(error)
                await asyncio.sleep(self._retry_delay(backoff))
            else:
                backoff.reset()

    def _retry_delay(self, backoff: Backoff) -> float:
        delay = backoff.next_delay()
        if self._view.table is None:
            # This process serves nobody until it has a catalog.
            return min(delay, EMPTY_RETRY_SECONDS)
        return delay

    async def _step(self) -> None:
        self._calls += 1
        if self._revision is None:
            snapshot = await self._source.read()
            self._note_answer()
            self._view.replace(snapshot, now())
            self._revision = snapshot.revision
            CATALOG_READ.log(
                _logger, revision=snapshot.revision, records=len(snapshot.records)
            )
            return
        # A waiting call does not show whether the service is back.
        wait = self._wait if self._reachable else PROBE_SECONDS
        changes = await self._source.watch(self._revision, wait)
        self._note_answer()
        for record in changes.records:
            self._view.apply(record, now())
        self._revision = max(self._revision, changes.revision)
        if changes.records:
            await asyncio.sleep(GATHER_SECONDS)

    def _note_answer(self) -> None:
        if not self._reachable:
            self._reachable = True
            # The service may have come back at any time since the last failure.
            self._note_outage()
            CATALOG_REGAINED.log(_logger, revision=self._revision)
        self._answered = now()
        self._completeness.note_answer(now())

    def _note_failure(self, error: ResultError) -> None:
        self._note_outage()
        if self._reachable:
            self._reachable = False
            CATALOG_LOST.log(_logger, revision=self._revision, error=str(error))

    def _note_outage(self) -> None:
        self._view.note_outage(now())
        self._completeness.note_outage(now())

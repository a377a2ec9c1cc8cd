"""Keeps the view of the catalog up to date."""

import asyncio
import logging
import random

from balsamspool.kernel.backoff import Backoff
from balsamspool.kernel.clock import now
from balsamspool.kernel.errors import ResultError
from balsamspool.plugins.catalog.calls import CallMetrics
from balsamspool.plugins.catalog.codes import (
    CATALOG_HISTORY_LOST,
    CATALOG_OUTDATED,
    CATALOG_UNAVAILABLE,
)
from balsamspool.plugins.catalog.completeness import Completeness
from balsamspool.plugins.catalog.delta import CatalogDelta
from balsamspool.plugins.catalog.events import (
    CATALOG_LOST,
    CATALOG_READ,
    CATALOG_REGAINED,
    CATALOG_RESTORED,
    HISTORY_LOST,
    UPSTREAM_CHANGED,
)
from balsamspool.plugins.catalog.feed import CatalogFeed
from balsamspool.plugins.catalog.model import Changes, Snapshot
from balsamspool.plugins.catalog.peers import CatalogPeers
from balsamspool.plugins.catalog.revision import NO_REVISION, Revision
from balsamspool.plugins.catalog.source import CatalogSource
from balsamspool.plugins.catalog.upstream import (
    CHANGE_BATCH_SECONDS,
    PROBE_WAIT_SECONDS,
    FollowPeer,
    ReadService,
    Upstream,
    UpstreamSelector,
)
from balsamspool.plugins.catalog.view import CatalogView

_logger = logging.getLogger(__name__)

FIRST_RETRY_SECONDS = 0.2
RETRY_LIMIT_SECONDS = 1.0
# Longest retry delay of a process that has no route table yet.
EMPTY_RETRY_SECONDS = 0.15
# Interval at which a watch in progress is compared with what other entries know.
BEHIND_CHECK_SECONDS = 0.5
# Longest random delay before a full read. It spreads the full reads that all processes
# start at the same moment after the service has lost its history.
REREAD_SPREAD_SECONDS = 0.2


class CatalogFollower:
    """Reads the catalog once and then follows its changes.

    Args:
        source: Reads the catalog from the publishing service.
        peers: Requests changes from peers.
        peer_port: Port at which all peers answer, None if peers are not followed.
        view: View of the catalog; it is changed in place.
        feed: Passes the records on to peers.
        completeness: Records answers and outages.
        selector: Selects the service or a peer for each call.
        wait: Longest wait of one call in seconds, which bounds the time until a lost
            answer is detected if no other entry knows of newer changes.
        rng: Random number generator.
        metrics: Metrics of the calls to the service.
    """

    __slots__ = (
        "_calls",
        "_completeness",
        "_era",
        "_feed",
        "_last_answer",
        "_metrics",
        "_peer_port",
        "_peers",
        "_reachable",
        "_revision",
        "_rng",
        "_selector",
        "_source",
        "_upstream",
        "_view",
        "_watch_seconds",
    )

    def __init__(
        self,
        source: CatalogSource,
        peers: CatalogPeers,
        peer_port: int | None,
        view: CatalogView,
        feed: CatalogFeed,
        completeness: Completeness,
        selector: UpstreamSelector,
        wait: float,
        rng: random.Random,
        metrics: CallMetrics,
    ) -> None:
        self._source = source
        self._peers = peers
        self._peer_port = peer_port
        self._view = view
        self._feed = feed
        self._completeness = completeness
        self._selector = selector
        self._watch_seconds = wait
        self._rng = rng
        self._metrics = metrics
        self._revision: Revision | None = None
        # Newest era that any answer was from, None before the first answer.
        self._era: int | None = None
        self._last_answer: float | None = None
        self._reachable = True
        self._calls = 0
        self._upstream: Upstream = ReadService()

    @property
    def last_answer(self) -> float | None:
        """Event loop time in seconds of the last answer of the service, None before it.

        A process that follows a peer takes over the time of the peer's last answer.
        """
        return self._last_answer

    @property
    def reachable(self) -> bool:
        """Whether the service answered this process, or a followed peer, recently."""
        return self._reachable

    @property
    def revision(self) -> Revision | None:
        """Revision up to which changes are known, None before the first snapshot."""
        return self._revision

    @property
    def calls(self) -> int:
        """Number of calls to the service so far."""
        return self._calls

    @property
    def upstream(self) -> Upstream:
        """From where the last call read."""
        return self._upstream

    def record_pause(self) -> None:
        """Record that the process was paused, so its last answer may be old."""
        self._last_answer = None
        self._feed.record_answer(None)
        self._record_outage(now())

    def apply_delta(self, delta: CatalogDelta) -> bool:
        """Apply what a peer sent unless this process knows newer changes.

        A peer of an earlier version does not know which failure domains are out of
        service. Its records are better than none, but the position that they reach is
        not taken over, so that the next answer of the service is a full read.

        Returns:
            Whether the peer knew newer changes.
        """
        known = self._revision
        if not delta.cordons:
            if known is not None or not delta.complete or self._view.table is not None:
                return False
            self._view.replace(Snapshot(delta.revision, delta.records), now())
            return True
        if self._is_outdated(delta.revision):
            return False
        if known is not None and delta.revision < known:
            return False
        if delta.outage_age is not None:
            self._record_outage(now() - delta.outage_age)
        if delta.complete or known is None:
            if not delta.complete:
                return False
            self._apply_snapshot(Snapshot(delta.revision, delta.records))
        else:
            self._apply_changes(
                Changes(delta.revision, delta.records, delta.all_tables)
            )
        if delta.age is not None and delta.age < self._selector.times.stale:
            self._record_answer(now() - delta.age)
        return known is None or delta.revision > known

    def enter_era(self, revision: Revision) -> None:
        """Record the era of an answer, before the answer is applied.

        A catalog that was restored lacks the latest reports of backend servers for a
        while, as after an outage.

        Raises:
            ResultError: With code 2305 if the answer is from an earlier era.
        """
        if self._is_outdated(revision):
            detail = f"revision {revision}, in era {self._era}"
            raise ResultError(CATALOG_OUTDATED, detail)
        era = Revision(revision).era
        if self._era is not None and era > self._era:
            CATALOG_RESTORED.log(_logger, restored=revision, **self._state())
            self._record_outage(now())
        self._era = era

    async def run(self) -> None:
        """Follow the catalog until cancelled."""
        backoff = Backoff(FIRST_RETRY_SECONDS, RETRY_LIMIT_SECONDS, self._rng)
        while True:
            match self._choose_upstream():
                case ReadService():
                    await self._read_service(backoff)
                case FollowPeer(address):
                    await self._follow(address)

    def _choose_upstream(self) -> Upstream:
        if self._peer_port is None:
            return ReadService()
        chosen = self._selector.choose(self._revision, self._last_answer, now())
        if type(chosen) is not type(self._upstream):
            match chosen:
                case ReadService():
                    UPSTREAM_CHANGED.log(_logger, upstream="service", **self._state())
                case FollowPeer(address):
                    UPSTREAM_CHANGED.log(_logger, upstream=address, **self._state())
        self._upstream = chosen
        return chosen

    def _state(self) -> dict[str, object]:
        answered = self._last_answer
        age = None if answered is None else round(now() - answered, 3)
        return {"revision": self._revision, "age": age}

    async def _follow(self, address: str) -> None:
        """Request changes from a peer, which waits until there are any."""
        assert self._revision is not None
        peer = f"{address}:{self._peer_port}"
        try:
            wait = self._selector.times.peer_wait
            delta = await self._peers.fetch(peer, self._revision, wait)
        except ResultError:
            # The plug-in for peers has logged the failure.
            self._selector.record_peer_failure(address, now())
            return
        if delta is None:
            self._selector.record_peer_failure(address, now())
            return
        if self._is_outdated(delta.revision) or not delta.cordons:
            # The peer has not noticed the restore, or is of an earlier version, and
            # would answer at once again.
            self._selector.record_peer_failure(address, now())
            return
        self.apply_delta(delta)

    async def _read_service(self, backoff: Backoff) -> None:
        try:
            await self._read_or_watch()
        except ResultError as error:
            self._metrics.record_failure(error)
            if error.code is CATALOG_HISTORY_LOST:
                HISTORY_LOST.log(_logger, revision=self._revision)
                self._revision = None
                await asyncio.sleep(self._rng.uniform(0, REREAD_SPREAD_SECONDS))
                return
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
        started = now()
        if self._revision is None:
            snapshot = await self._source.read()
            self.enter_era(snapshot.revision)
            self._record_service_answer(started)
            self._apply_snapshot(snapshot)
            CATALOG_READ.log(
                _logger, revision=snapshot.revision, records=len(snapshot.records)
            )
            # Agents tell this process meanwhile whether it has to go on reading.
            await asyncio.sleep(CHANGE_BATCH_SECONDS)
            return
        after = self._revision
        changes = await self._watch(after)
        if not changes.continues(after):
            detail = f"revision {after}, answered at {changes.revision}"
            raise ResultError(CATALOG_HISTORY_LOST, detail)
        self._record_service_answer(started)
        self._apply_changes(changes)
        if changes.records:
            await asyncio.sleep(CHANGE_BATCH_SECONDS)

    async def _watch(self, after: Revision) -> Changes:
        """Wait for changes of the service.

        The service may never answer a watch although it answers later calls. A watch is
        given up if other entries have known newer changes for a while.

        Raises:
            ResultError: With the codes of `CatalogSource.watch`.
        """
        wait = self._watch_wait()
        watch = asyncio.ensure_future(self._source.watch(after, wait))
        try:
            while not watch.done():
                await asyncio.wait((watch,), timeout=BEHIND_CHECK_SECONDS)
                if not watch.done() and self._selector.is_behind(after, now()):
                    detail = f"no answer, but other entries know more than {after}"
                    raise ResultError(CATALOG_UNAVAILABLE, detail)
            return watch.result()
        finally:
            if not watch.done():
                # The connection is closed, so that a late answer reaches nobody.
                watch.cancel()
                await asyncio.wait((watch,))

    def _watch_wait(self) -> float:
        if not self._reachable:
            return PROBE_WAIT_SECONDS
        if self._peer_port is None:
            return self._watch_seconds
        return min(self._watch_seconds, self._selector.longest_wait(now()))

    def _is_outdated(self, revision: Revision) -> bool:
        """Return whether a position is from before the catalog was restored."""
        return self._era is not None and Revision(revision).era < self._era

    def _apply_snapshot(self, snapshot: Snapshot) -> None:
        self.enter_era(snapshot.revision)
        self._view.replace(snapshot, now())
        self._feed.record_snapshot(snapshot)
        self._revision = snapshot.revision

    def _apply_changes(self, changes: Changes) -> None:
        for record in changes.records:
            self._view.apply(record, now(), changes.all_tables)
        self._revision = max(self._revision or NO_REVISION, changes.revision)
        self._feed.record_changes(
            Changes(self._revision, changes.records, changes.all_tables)
        )

    def _record_service_answer(self, started: float) -> None:
        self._metrics.record_answer()
        self._selector.record_service_answer(now(), started)
        self._record_answer(now())

    def _record_answer(self, time: float) -> None:
        """Record an answer of the service to this process or to a followed peer."""
        if not self._reachable:
            self._reachable = True
            # The outage may have lasted until this answer, so the time of the answer is
            # recorded as the end of the outage.
            self._record_outage(time)
            CATALOG_REGAINED.log(_logger, revision=self._revision)
        if self._last_answer is None or time > self._last_answer:
            if self._last_answer is not None:
                self._metrics.record_silence(time - self._last_answer)
            self._last_answer = time
            self._feed.record_answer(time)
        self._completeness.record_answer(time)

    def _record_failure(self, error: ResultError) -> None:
        self._selector.record_service_failure(now())
        self._record_outage(now())
        if self._reachable:
            self._reachable = False
            CATALOG_LOST.log(_logger, **self._state(), error=str(error))

    def _record_outage(self, time: float) -> None:
        self._feed.record_outage(time)
        self._view.record_outage(time)
        self._completeness.record_outage(time)

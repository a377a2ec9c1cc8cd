"""Grants the slots of one backend server to requests."""

import asyncio
import heapq
from asyncio import TimerHandle
from collections.abc import Callable, Sequence

from balsamspool.kernel.clock import now
from balsamspool.kernel.errors import ResultCode
from balsamspool.plugins.admission.codes import (
    DEADLINE_UNREACHABLE,
    FEEDS_FULL,
    NO_HOST,
    QUEUE_FULL,
)
from balsamspool.plugins.admission.decision import Admit, Decision, Refuse, Relay, Shed
from balsamspool.plugins.admission.policy import RelayPolicy
from balsamspool.plugins.admission.queue import AdmissionQueue, Job, Waiter, queue_order
from balsamspool.plugins.admission.slots import Slot, Slots
from balsamspool.requests.relay import PeerLoad

# The reported load is the share of busy slots scaled to 0 to 128, plus the filled share
# of the queue scaled to the remaining range, up to 255.
LOAD_ALL_BUSY = 128
LOAD_MAX = 255
MIN_WAIT_SECONDS = 0.001
# A queued request looks for a peer again after its predicted wait. The minimum time
# between two such checks limits the CPU time that a full queue takes.
MIN_RECHECK_SECONDS = 0.1

Peers = Callable[[], Sequence[PeerLoad]]


def no_peers() -> Sequence[PeerLoad]:
    """Return no peers, for requests that must not be relayed."""
    return ()


class AdmissionController:
    """Admits requests to one backend server; only this class grants the slots.

    Args:
        slots: Slots of the backend server.
        queue_limit: Requests that may wait.
        feed_limit: Feeds that may be open.
        policy: Chooses the peer to which a request is relayed.
    """

    __slots__ = (
        "_feeds",
        "_growth_timer",
        "_policy",
        "_queue",
        "_slots",
        "feed_limit",
        "queue_limit",
    )

    def __init__(
        self, slots: Slots, queue_limit: int, feed_limit: int, policy: RelayPolicy
    ) -> None:
        self.queue_limit = queue_limit
        self.feed_limit = feed_limit
        self._slots = slots
        self._policy = policy
        self._queue = AdmissionQueue()
        self._feeds: set[Slot] = set()
        self._growth_timer: TimerHandle | None = None

    @property
    def slots(self) -> Slots:
        """Slots of the backend server."""
        return self._slots

    @property
    def queued(self) -> int:
        """Number of requests that wait."""
        return len(self._queue)

    @property
    def feeds(self) -> int:
        """Number of open feeds."""
        return len(self._feeds)

    @property
    def load(self) -> int:
        """Use of slots and queue, 0 to 255; 128 means that all slots are busy."""
        used = min(1.0, self._slots.busy / self._slots.usable)
        waiting = min(1.0, len(self._queue) / max(1, self.queue_limit))
        return int(LOAD_ALL_BUSY * used + (LOAD_MAX - LOAD_ALL_BUSY) * waiting)

    @property
    def expected_wait(self) -> float:
        """Predicted wait in seconds of a short request at the end of the queue."""
        return self._predict_wait(float("inf"), long=False)

    def admit_feed(self) -> Decision:
        """Decide on a feed, which takes no slot."""
        if len(self._feeds) >= self.feed_limit:
            return Shed(1.0, FEEDS_FULL)
        feed = Slot(0.0, False, self._feeds.discard)
        self._feeds.add(feed)
        return Admit(feed)

    async def admit(self, job: Job, peers: Peers = no_peers) -> Decision:
        """Decide on a request, which may wait for a slot.

        Args:
            job: The request.
            peers: Returns the peers to which the request may be relayed now.

        Returns:
            The decision. A slot of ``Admit`` belongs to the caller of this method.
        """
        order = queue_order(job)
        wait = self._predict_wait(order, job.long)
        if wait == 0.0 and self._slots.fits(job.long):
            return Admit(self._occupy_slot(job))
        peer = self._less_loaded_peer(job, wait, peers)
        if peer is not None:
            return Relay(peer)
        if now() + wait > job.latest_start:
            return Shed(wait, DEADLINE_UNREACHABLE)
        if not self._make_room():
            return Shed(self.expected_wait, QUEUE_FULL)
        return await self._wait_in_queue(job, order, wait, peers)

    def relay_or_refuse(self, peers: Sequence[PeerLoad]) -> Relay | Refuse:
        """Choose a peer for a request that must not run here.

        Args:
            peers: Peers to which the request may be relayed.

        Returns:
            A relay to a peer, or a refusal if no peer accepts requests.
        """
        peer = self._policy.choose(peers)
        return Refuse(NO_HOST) if peer is None else Relay(peer)

    def begin_slow_start(self) -> None:
        """Start to raise the number of usable slots slowly from 1 to the limit."""
        self._slots.begin_slow_start()
        self._schedule_growth()

    def resize(self, limit: int, share: int, queue_limit: int, feed_limit: int) -> None:
        """Apply new limits."""
        self._slots.limit = limit
        self._slots.share = share
        self.queue_limit = queue_limit
        self.feed_limit = feed_limit
        self._grant_slots()

    def _less_loaded_peer(self, job: Job, wait: float, peers: Peers) -> PeerLoad | None:
        return None if job.relayed else self._policy.choose_less_loaded(wait, peers())

    async def _wait_in_queue(
        self, job: Job, order: float, wait: float, peers: Peers
    ) -> Decision:
        loop = asyncio.get_running_loop()
        waiter = Waiter(job, order, loop.create_future())
        self._queue.add(waiter)
        try:
            while not waiter.outcome.done():
                limit = now() + max(wait, MIN_RECHECK_SECONDS)
                await self._wait_until(waiter, min(limit, job.deadline))
                if waiter.outcome.done():
                    break
                if now() >= job.deadline:
                    self._remove_waiter(waiter)
                    return Shed(self.expected_wait, DEADLINE_UNREACHABLE)
                wait = self._predict_wait(order, job.long)
                peer = self._less_loaded_peer(job, wait, peers)
                if peer is not None:
                    self._remove_waiter(waiter)
                    return Relay(peer)
        except asyncio.CancelledError:
            self._remove_waiter(waiter)
            raise
        match waiter.outcome.result():
            case Slot() as slot:
                return Admit(slot)
            case ResultCode() as reason:
                return Shed(self.expected_wait, reason)

    async def _wait_until(self, waiter: Waiter, time: float) -> None:
        try:
            # Without the shield, the timeout would cancel the future, and a slot that
            # is granted at the same moment would be lost.
            async with asyncio.timeout_at(time):
                await asyncio.shield(waiter.outcome)
        except TimeoutError:
            pass

    def _remove_waiter(self, waiter: Waiter) -> None:
        self._queue.discard(waiter)
        if not waiter.outcome.done():
            waiter.outcome.cancel()
        elif isinstance(slot := waiter.outcome.result(), Slot):
            slot.release()

    def _make_room(self) -> bool:
        # If dependencies reduce the usable slots, the queue limit is reduced in the
        # same proportion, so that requests are shed early and do not wait in vain.
        share = min(1.0, self._slots.share / self._slots.limit)
        if len(self._queue) < int(self.queue_limit * share):
            return True
        waiter = self._queue.first_too_late()
        if waiter is None:
            return False
        self._shed(waiter)
        return True

    def _shed(self, waiter: Waiter) -> None:
        self._queue.discard(waiter)
        waiter.outcome.set_result(DEADLINE_UNREACHABLE)

    def _occupy_slot(self, job: Job) -> Slot:
        slot = Slot(job.expected, job.long, self._release)
        self._slots.held.add(slot)
        return slot

    def _release(self, slot: Slot) -> None:
        self._slots.held.discard(slot)
        self._grant_slots()

    def _grant_slots(self) -> None:
        for waiter in list(self._queue):
            if self._slots.busy >= self._slots.usable:
                return
            if waiter.job.deadline <= now():
                self._shed(waiter)
            elif self._slots.fits(waiter.job.long):
                self._queue.discard(waiter)
                waiter.outcome.set_result(self._occupy_slot(waiter.job))

    def _predict_wait(self, order: float, long: bool) -> float:
        """Return the predicted wait in seconds, found by simulating the queue."""
        if self._slots.fits(long) and not self._blocked_by_queue(order, long):
            return 0.0
        wait = self._earliest_free(order, self._slots.usable, only_long=False)
        if long:
            slot_count = self._slots.usable_for_long
            wait = max(wait, self._earliest_free(order, slot_count, only_long=True))
        # A wait of 0 is reserved for requests that can start immediately.
        return max(wait, MIN_WAIT_SECONDS)

    def _earliest_free(self, order: float, slot_count: int, only_long: bool) -> float:
        held = [s for s in self._slots.held if s.long or not only_long]
        free = sorted(slot.remaining for slot in held)[-slot_count:]
        free = [0.0] * (slot_count - len(free)) + free
        for waiter in self._queue.ahead_of(order):
            if waiter.job.long or not only_long:
                heapq.heapreplace(free, free[0] + waiter.job.expected)
        return free[0]

    def _blocked_by_queue(self, order: float, long: bool) -> bool:
        ahead = self._queue.ahead_of(order)
        return any(self._slots.fits(waiter.job.long) for waiter in ahead)

    def _schedule_growth(self) -> None:
        if self._growth_timer is not None:
            self._growth_timer.cancel()
        delay = self._slots.next_growth
        loop = asyncio.get_running_loop()
        self._growth_timer = (
            loop.call_later(delay, self._grant_grown_slots) if delay else None
        )

    def _grant_grown_slots(self) -> None:
        self._growth_timer = None
        self._grant_slots()
        self._schedule_growth()

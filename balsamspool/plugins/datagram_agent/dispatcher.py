"""Keeps requests until the backend server can run them, and sends the next one."""

import asyncio
import logging
import math
from collections.abc import Callable

from balsamspool.datagram.events import REQUEST_EXPIRED, REQUESTS_WAIT
from balsamspool.datagram.messages import Forward
from balsamspool.datagram.packet import Packet, flow_id
from balsamspool.kernel.clock import now
from balsamspool.kernel.counters import CounterFamily, CounterSet
from balsamspool.plugins.datagram_agent.flows import MAX_REQUEST_SECONDS
from balsamspool.plugins.datagram_agent.terms import TermsTable
from balsamspool.scheduling.request_queue import RequestQueue, WaitingRequest
from balsamspool.scheduling.terms import RequestTerms
from balsamspool.scheduling.work_left import WorkLeft

_logger = logging.getLogger(__name__)

# Number of requests beyond its slots that are sent to the backend server, so that a
# slot that becomes free is not idle until the agent has sent the next one.
AHEAD = 1
# Maximum number of requests that wait. Further ones are sent to the backend server,
# which refuses what it cannot take.
MAX_WAITING = 256
# Maximum number of packets that are kept of one request.
MAX_PACKETS = 32
# Interval at which waiting requests are checked while nothing else happens.
CHECK_SECONDS = 0.02
# Shortest time between two lines on requests that wait.
LINE_SECONDS = 1.0

REQUESTS = "balsamspool_datagram_requests"
REQUESTS_HELP = "Requests by how they went to the backend server"
DIRECT, IN_TIME, LATE, EXPIRED, OVERFLOWED, RELEASED = (
    "direct",
    "waited-in-time",
    "waited-late",
    "expired",
    "overflowed",
    "released",
)

Send = Callable[[Forward, Packet], None]
GiveUp = Callable[[bytes], None]


class RequestDispatcher:
    """Sends requests to the backend server as it can run them.

    Requests wait only if an entry has told how many slots the backend server has, and
    how long the callers of their route wait.

    Args:
        terms: Terms of routes and of the backend server.
        send: Sends a packet to the backend server.
        give_up: Ends the request of a flow that was not sent to the backend server.
        counters: Counters of the process.
    """

    __slots__ = (
        "_counts",
        "_give_up",
        "_kept",
        "_line_time",
        "_queue",
        "_send",
        "_stopping",
        "_terms",
        "_wait_time",
        "_waiting",
        "_work",
    )

    def __init__(
        self, terms: TermsTable, send: Send, give_up: GiveUp, counters: CounterSet
    ) -> None:
        self._terms = terms
        self._send = send
        self._give_up = give_up
        self._work = WorkLeft()
        self._queue = RequestQueue()
        # Packets of the requests that wait, by key of the flow and sequence number.
        self._kept: dict[bytes, dict[int, tuple[Forward, Packet]]] = {}
        self._waiting = asyncio.Event()
        self._stopping = False
        self._line_time = -math.inf
        kinds = (DIRECT, IN_TIME, LATE, EXPIRED, OVERFLOWED, RELEASED)
        self._counts = CounterFamily(counters, REQUESTS, REQUESTS_HELP, kinds)
        self._wait_time = counters.histogram(
            "balsamspool_datagram_wait_seconds",
            "Time for which a request waited until the backend server could run it",
        )

    @property
    def work(self) -> WorkLeft:
        """Requests that the backend server has not answered yet."""
        return self._work

    @property
    def work_seconds(self) -> float:
        """Work left for each slot in seconds, with the requests that wait."""
        waiting = self._queue.expected_seconds / self._work.slots
        return self._work.seconds(now()) + waiting

    def status(self) -> dict[str, object]:
        """Return the number of waiting requests, the work left and learned times."""
        work = self._work.status(now())
        work["work_left"] = round(self.work_seconds, 4)
        return {"waiting": len(self._queue), **work}

    def holds(self, key: bytes) -> bool:
        """Return whether a request of a flow waits."""
        return key in self._kept

    def begin(self, forward: Forward, packet: Packet, may_wait: bool) -> bool:
        """Decide on the first packet of a request.

        Args:
            forward: How the packet arrived.
            packet: The packet.
            may_wait: Whether the backend server surely holds the flow.

        Returns:
            Whether the request has to wait. Otherwise its packets are to be sent.
        """
        key, endpoint, time = packet.flow_from_caller, packet.destination, now()
        terms = self._terms.request(endpoint)
        # Without a known limit, a request could wait for longer than its caller.
        if not may_wait or terms.limit <= 0 or self._sends_directly(time):
            self._counts.add(DIRECT)
            self._work.begin(key, endpoint, time)
            return False
        if len(self._queue) >= MAX_WAITING:
            self._counts.add(OVERFLOWED)
            self._work.begin(key, endpoint, time)
            return False
        self._queue.add(self._request(key, endpoint, terms, time))
        self._kept[key] = {packet.sequence: (forward, packet)}
        self._waiting.set()
        return True

    def keep(self, forward: Forward, packet: Packet) -> None:
        """Keep a further packet of a request that waits, unless it is a copy."""
        packets = self._kept[packet.flow_from_caller]
        if packet.sequence not in packets and len(packets) < MAX_PACKETS:
            packets[packet.sequence] = (forward, packet)

    def release(self, key: bytes) -> None:
        """Send the request of a flow that waits, out of turn."""
        request = self._queue.remove(key)
        if request is not None:
            self._counts.add(RELEASED)
            self._release(request, now())

    def end(self, key: bytes, answered: bool) -> None:
        """Record that a request has ended, and send the next one.

        Args:
            key: Key of its flow.
            answered: Whether the backend server answered it.
        """
        self._queue.remove(key)
        self._kept.pop(key, None)
        self._work.end(key, now(), answered)
        self.dispatch()

    def dispatch(self) -> None:
        """Send the requests that the backend server can run now."""
        if not self._queue:
            return
        time = now()
        for expired in self._queue.expire(time):
            self._expire(expired, time)
        while self._work.occupied(time) < self._work.slots + AHEAD:
            request = self._queue.take(time)
            if request is None:
                return
            self._counts.add(IN_TIME if request.in_time(time) else LATE)
            self._release(request, time)

    def release_all(self) -> None:
        """Send all requests, and let no further one wait, because the process stops."""
        self._stopping = True
        time = now()
        while (request := self._queue.take(time)) is not None:
            self._counts.add(RELEASED)
            self._release(request, time)

    async def run(self) -> None:
        """Check waiting requests until cancelled.

        A request may expire, or an unanswered one may stop counting, while no packet
        arrives.
        """
        while True:
            await self._waiting.wait()
            self._waiting.clear()
            while self._queue:
                self._log_waiting()
                await asyncio.sleep(CHECK_SECONDS)
                self.dispatch()

    def _sends_directly(self, time: float) -> bool:
        if self._stopping or self._terms.server is None:
            return True
        limit = self._work.slots + AHEAD
        return not self._queue and self._work.occupied(time) < limit

    def _request(
        self, key: bytes, endpoint: bytes, terms: RequestTerms, time: float
    ) -> WaitingRequest:
        # The agent gives up any request after this time, so it is the last chance too.
        limit = min(terms.limit, MAX_REQUEST_SECONDS)
        return WaitingRequest(
            key=key,
            endpoint=endpoint,
            priority=terms.priority,
            arrived=time,
            due=time + terms.goal,
            until=time + limit,
            expected=self._work.times.expected(endpoint),
        )

    def _release(self, request: WaitingRequest, time: float) -> None:
        self._wait_time.observe(time - request.arrived)
        self._work.begin(request.key, request.endpoint, time)
        for forward, packet in self._kept.pop(request.key).values():
            self._send(forward, packet)

    def _expire(self, request: WaitingRequest, time: float) -> None:
        self._counts.add(EXPIRED)
        self._kept.pop(request.key, None)
        REQUEST_EXPIRED.log(
            _logger,
            flow=flow_id(request.key),
            seconds=round(time - request.arrived, 3),
            waiting=len(self._queue),
            slots=self._work.slots,
        )
        self._give_up(request.key)

    def _log_waiting(self) -> None:
        time = now()
        if time - self._line_time < LINE_SECONDS:
            return
        self._line_time = time
        oldest = min(request.arrived for request in self._queue.requests)
        REQUESTS_WAIT.log(
            _logger,
            requests=len(self._queue),
            oldest_seconds=round(time - oldest, 3),
            occupied=self._work.occupied(time),
            slots=self._work.slots,
            work_left=round(self.work_seconds, 3),
        )

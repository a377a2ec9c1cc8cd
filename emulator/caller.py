"""Emulated callers: open flows, send requests, retransmit and retry."""

import asyncio
import itertools
import random
from collections.abc import Callable
from enum import Enum

from msgspec import Struct

from balsamspool.datagram.sockets import Address
from balsamspool.kernel.clock import now
from emulator.backend_server import opening_stamp
from emulator.exchange import Request, decode_reply
from emulator.exchange import encode as encode_message
from emulator.history import History, Outcome, Result, SystemReset
from emulator.network import EmulatedSocket, Network
from emulator.segment import (
    Flag,
    Segment,
    decode,
    encode,
    endpoint,
    is_system_reset,
)

CALLER_PORT = 8172
# Time to wait for an answer after each copy of an opening packet. The opening fails if
# the last wait ends without an answer.
OPENING_WAIT_SECONDS = (0.2, 0.4, 0.8)
RETRANSMIT_SECONDS = 0.2
MAX_RETRANSMIT_SECONDS = 1.6
# A caller acknowledges every second segment of an answer.
SEGMENTS_PER_ACKNOWLEDGEMENT = 2


class FlowUse(Enum):
    """How a caller uses flows."""

    KEPT = "kept"
    FRESH = "fresh"


class RequestKind(Struct, frozen=True):
    """A kind of request.

    Attributes:
        name: Its name.
        route: Endpoint of its route.
        flow_use: Whether a flow is kept for further requests.
        idempotent: Whether it may be run more than once.
        work: Mean work in seconds.
        long_share: Share of requests with seven times as much work.
        size: Octets of an answer.
        goal: Latency objective in seconds.
        deadline: Time in seconds after which the caller gives up.
        retries: Attempts after the first one.
        worth: Value of an answer within the latency objective.
        late_worth: Value of a late answer.
    """

    name: str
    route: bytes
    flow_use: FlowUse
    idempotent: bool
    work: float
    size: int
    goal: float
    deadline: float
    retries: int = 2
    long_share: float = 0.03
    worth: float = 1.0
    late_worth: float = 0.3


class FlowFailed(Exception):
    """An attempt ended without an answer.

    Args:
        result: How the attempt ended.
    """

    def __init__(self, result: Result) -> None:
        super().__init__(result.value)
        self.result = result


Fabric = Callable[[bytes], str]


class CallerHost:
    """Machine from which callers open flows.

    Args:
        address: IPv4 address.
        network: The network.
        fabric: Returns the address of the entry for the key of a flow.
        history: Records what the callers observe.
        rng: Random number generator.
    """

    def __init__(
        self,
        address: str,
        network: Network,
        fabric: Fabric,
        history: History,
        rng: random.Random,
    ) -> None:
        self._address = address
        self._fabric = fabric
        self._history = history
        self._rng = rng
        self._flows: dict[bytes, CallerFlow] = {}
        self._ports = itertools.count(1_025)
        self._socket = EmulatedSocket(network, (address, CALLER_PORT), self._receive)
        self._socket.start()

    def open_flow(self, route: bytes) -> "CallerFlow":
        """Create a flow to a route without opening it."""
        port = 1_025 + next(self._ports) % 64_000
        flow = CallerFlow(self, endpoint((self._address, port)), route)
        self._flows[flow.key] = flow
        return flow

    def remove_flow(self, flow: "CallerFlow") -> None:
        """Stop delivering packets to a flow."""
        self._flows.pop(flow.key, None)

    def send(self, segment: Segment) -> None:
        """Send a segment to the entry that the fabric chooses now."""
        key = segment.source + segment.destination
        entry = self._fabric(key)
        self._history.sent_via[key].append((now(), entry))
        self._socket.send((encode(segment),), (entry, CALLER_PORT))

    def record_reset(self, flow: "CallerFlow", sender: str) -> None:
        """Record a reset that no backend server sent."""
        self._history.resets.append(SystemReset(flow.key, sender, now()))

    def number(self) -> int:
        """Return a random number for a flow."""
        return self._rng.getrandbits(31) + 1

    def _receive(self, data: bytes, sender: Address) -> None:
        segment = decode(data)
        flow = self._flows.get(segment.destination + segment.source)
        if flow is None:
            return
        if is_system_reset(data):
            self.record_reset(flow, sender[0])
        elif not segment.genuine:
            self._history.forged.append(f"caller: {segment.flags!r}")
            return
        flow.received.put_nowait(segment)


class CallerFlow:
    """One flow of a caller.

    Args:
        host: Machine that opens the flow.
        source: Endpoint of the caller.
        route: Endpoint of the route.
    """

    def __init__(self, host: CallerHost, source: bytes, route: bytes) -> None:
        self.key = source + route
        self.received: asyncio.Queue[Segment] = asyncio.Queue()
        self.usable = False
        self._opened = False
        self._host = host
        self._source = source
        self._route = route
        self._acknowledged = 0
        # Sequence numbers of the data of the latest request, and of what follows it.
        self._sequence = self._next_sequence = 0

    async def open(self) -> None:
        """Open the flow.

        Raises:
            FlowFailed: If no backend server accepts the flow in time, or it is reset.
        """
        for attempt, seconds in enumerate(OPENING_WAIT_SECONDS):
            sent = opening_stamp(now())
            self._send(Segment(Flag.OPENS, self._source, self._route, attempt, sent))
            accepted = await self._next_segment(seconds, Flag.ACCEPTS)
            if accepted is not None:
                self._acknowledged = accepted.sequence
                self.usable = self._opened = True
                self._acknowledge()
                return
        raise FlowFailed(Result.NOT_OPENED)

    async def request(self, request: Request, seconds: float) -> None:
        """Send a request and wait for its whole answer.

        Raises:
            FlowFailed: If no whole answer arrives in time, or the request fails.
        """
        end = now() + seconds
        data = encode_message(request)
        self._sequence = self._next_sequence
        self._next_sequence += len(data)
        delay = RETRANSMIT_SECONDS
        parts: set[int] = set()
        while now() < end:
            self._send(self._segment(Flag(0), data))
            if await self._collect_answer(
                request.number, parts, min(delay, end - now())
            ):
                return
            delay = min(2 * delay, MAX_RETRANSMIT_SECONDS)
        raise FlowFailed(Result.UNANSWERED)

    def close(self) -> None:
        """Close the flow."""
        if self._opened:
            self._send(self._segment(Flag.ENDS, b""))
        self._host.remove_flow(self)

    async def _collect_answer(
        self, number: int, parts: set[int], seconds: float
    ) -> bool:
        """Collect parts of the answer, and return whether it is complete in time."""
        end = now() + seconds
        while (segment := await self._next_segment(end - now(), Flag(0))) is not None:
            if segment.flags & Flag.ENDS:
                self.usable = False
                continue
            if not segment.data:
                continue
            reply = decode_reply(segment.data)
            if reply.number != number:
                continue
            if not reply.executed:
                raise FlowFailed(Result.REFUSED)
            if not reply.succeeded:
                raise FlowFailed(Result.FAILED)
            parts.add(reply.part)
            if len(parts) % SEGMENTS_PER_ACKNOWLEDGEMENT == 0:
                self._acknowledge()
            if len(parts) == reply.parts:
                return True
        return False

    async def _next_segment(self, seconds: float, flags: Flag) -> Segment | None:
        """Return the next segment with one of the flags, None if none arrives in time.

        Without flags, any segment counts.
        """
        try:
            async with asyncio.timeout(seconds):
                while True:
                    segment = await self.received.get()
                    if segment.flags & Flag.RESETS:
                        self.usable = self._opened = False
                        raise FlowFailed(Result.RESET)
                    if segment.flags & flags or not flags:
                        return segment
        except TimeoutError:
            return None

    def _acknowledge(self) -> None:
        self._send(self._segment(Flag(0), b""))

    def _segment(self, flags: Flag, data: bytes) -> Segment:
        return Segment(
            flags,
            self._source,
            self._route,
            sequence=self._sequence if data else self._next_sequence,
            acknowledged=self._acknowledged,
            data=data,
        )

    def _send(self, segment: Segment) -> None:
        self._host.send(segment)


class Caller:
    """Sends requests of one kind and records how they end.

    Args:
        host: Machine from which the caller opens flows.
        kind: Kind of its requests.
        attempt_numbers: Numbers the attempts of all callers.
        history: Records how the requests end.
        rng: Random number generator.
    """

    def __init__(
        self,
        host: CallerHost,
        kind: RequestKind,
        attempt_numbers: "itertools.count[int]",
        history: History,
        rng: random.Random,
    ) -> None:
        self._host = host
        self._kind = kind
        self._attempt_numbers = attempt_numbers
        self._history = history
        self._rng = rng
        self._flow: CallerFlow | None = None

    async def request(self) -> None:
        """Send one request, with retries where they are allowed."""
        kind = self._kind
        started = now()
        work = kind.work * self._rng.lognormvariate(-0.11, 0.47)
        if self._rng.random() < kind.long_share:
            work *= 7
        result = Result.UNANSWERED
        attempts = 0
        while attempts <= kind.retries and now() - started < kind.deadline:
            attempts += 1
            request = Request(next(self._attempt_numbers), work, kind.size)
            try:
                await self._attempt(request, kind.deadline - (now() - started))
                result = Result.ANSWERED
                break
            except FlowFailed as failure:
                result = failure.result
                self._close_flow()
                if not (kind.idempotent or _certainly_not_run(result)):
                    break
        self._history.outcomes.append(
            Outcome(kind.name, started, now() - started, result, attempts, kind.goal)
        )

    async def _attempt(self, request: Request, seconds: float) -> None:
        flow = self._flow
        if flow is None or not flow.usable:
            self._close_flow()
            flow = self._flow = self._host.open_flow(self._kind.route)
            await flow.open()
        await flow.request(request, seconds)
        if self._kind.flow_use is FlowUse.FRESH or not flow.usable:
            self._close_flow()

    def _close_flow(self) -> None:
        if self._flow is not None:
            self._flow.close()
            self._flow = None


def _certainly_not_run(result: Result) -> bool:
    return result in (Result.NOT_OPENED, Result.REFUSED)

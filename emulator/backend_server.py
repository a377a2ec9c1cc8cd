"""Emulated backend server: slots, a short queue, flows, drains and failures."""

import asyncio
import random
from collections import Counter

from msgspec import Struct

from balsamspool.datagram.sockets import Address
from balsamspool.kernel.clock import now
from emulator.exchange import Request, decode_request, reply_parts
from emulator.history import History, OpenFlow, Opening, Run
from emulator.network import EmulatedSocket, Network
from emulator.segment import Flag, Segment, decode, encode

APP_PORT = 8165
OUTBOUND_PORT = 8162
COLD_SECONDS = 2.0
COLD_FACTOR = 1.6


class Healthy(Struct, frozen=True):
    """It works as it should."""


class Grey(Struct, frozen=True):
    """It fails a part of its requests.

    Attributes:
        share: Share of the requests.
        mute: Whether it gives no answer to them in place of a failure.
    """

    share: float
    mute: bool = False


class Sluggish(Struct, frozen=True):
    """Its requests take longer.

    Attributes:
        factor: How many times as long.
    """

    factor: float


Condition = Healthy | Grey | Sluggish


class ServerPlan(Struct, frozen=True):
    """A backend server as it is set up.

    Attributes:
        name: Its name.
        service: Its service.
        address: Address of its instance.
        failure_domain: Failure domain of its instance.
        slots: Requests that it runs at a time.
        queue: Requests that wait for a slot at the most.
        speed: Work that it does in a second, 1 for an ordinary one.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    slots: int = 2
    queue: int = 8
    speed: float = 1.0


class _Flow(Struct):
    """A flow at the backend server.

    Attributes:
        sequence: Number that the backend server chose.
        open: Whether the caller has acknowledged it.
        answers: Parts of each answer; empty while the request is in work.
    """

    sequence: int
    answers: dict[int, list[bytes]]
    open: bool = False


class EmulatedServer:
    """A backend server on the emulated network.

    Args:
        plan: How it is set up.
        network: The network.
        history: What is seen is recorded here.
        rng: Source of randomness.
    """

    def __init__(
        self, plan: ServerPlan, network: Network, history: History, rng: random.Random
    ) -> None:
        self.plan = plan
        self.condition: Condition = Healthy()
        self.draining = False
        self.busy_seconds = 0.0
        self._history = history
        self._rng = rng
        self._outbound: Address = (plan.address, OUTBOUND_PORT)
        self._socket = EmulatedSocket(network, (plan.address, APP_PORT), self._receive)
        self._flows: dict[bytes, _Flow] = {}
        self._ended: set[bytes] = set()
        self._slots = asyncio.Semaphore(plan.slots)
        self._in_work = 0
        self._started = now()
        self._tasks: set[asyncio.Task[None]] = set()
        self.refused: Counter[str] = Counter()

    @property
    def started(self) -> float:
        """Event loop time of its start in seconds."""
        return self._started

    def start(self) -> None:
        """Begin to serve."""
        self._socket.start()

    def stop(self) -> None:
        """End at once; all flows are lost."""
        self._socket.close()
        for task in self._tasks:
            task.cancel()
        for key in self._flows:
            self._history.note_closed(key, now())
        self._flows.clear()

    def _receive(self, data: bytes, sender: Address) -> None:
        segment = decode(data)
        unwanted = Flag.RETURNED | Flag.ACCEPTS
        if not segment.genuine or segment.flags & unwanted:
            self._history.forged.append(f"{self.plan.name}: {segment.flags!r}")
            return
        key = segment.source + segment.destination
        self._history.note_arrival(key, self.plan.name, now())
        flow = self._flows.get(key)
        if segment.flags & Flag.OPENS:
            self._on_opening(segment, key, flow)
        elif flow is None:
            self._on_unknown(segment, key, data)
        elif not flow.open and segment.acknowledged != flow.sequence:
            # The caller opened the flow at another backend server.
            del self._flows[key]
            self._give_back(data)
        else:
            self._on_known(segment, key, flow)

    def _on_opening(self, segment: Segment, key: bytes, flow: _Flow | None) -> None:
        if flow is None:
            flow = self._flows[key] = _Flow(self._rng.getrandbits(31) + 1, {})
            opening = Opening(
                key, self.plan.name, self.plan.service, _sent(segment), now()
            )
            self._history.openings.append(opening)
        self._send(segment, flow, Flag.ACCEPTS)

    def _on_unknown(self, segment: Segment, key: bytes, data: bytes) -> None:
        if key not in self._ended:
            self._give_back(data)
        elif segment.data:
            self._put(Segment(Flag.RESETS, segment.destination, segment.source))

    def _on_known(self, segment: Segment, key: bytes, flow: _Flow) -> None:
        if not flow.open:
            flow.open = True
            opened = OpenFlow(self.plan.name, self.plan.address, now())
            self._history.flows[key] = opened
        if segment.flags & (Flag.RESETS | Flag.ENDS):
            del self._flows[key]
            self._ended.add(key)
            self._history.note_closed(key, now())
        elif segment.data:
            self._on_request(segment, key, flow)

    def _on_request(self, segment: Segment, key: bytes, flow: _Flow) -> None:
        request = decode_request(segment.data)
        known = flow.answers.get(request.number)
        if known is not None:
            self._send_all(segment, flow, known)
            return
        if self._in_work >= self.plan.slots + self.plan.queue:
            self.refused["queue-full"] += 1
            self._answer(segment, flow, request, executed=False, succeeded=False)
            return
        flow.answers[request.number] = []
        task = asyncio.create_task(self._work(segment, key, flow, request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _work(
        self, segment: Segment, key: bytes, flow: _Flow, request: Request
    ) -> None:
        self._in_work += 1
        arrived = now()
        try:
            async with self._slots:
                self._history.runs.append(
                    Run(
                        request.number,
                        self.plan.name,
                        self.plan.service,
                        segment.destination,
                        now(),
                        now() - arrived,
                    )
                )
                seconds = request.work * self._factor()
                self.busy_seconds += seconds
                await asyncio.sleep(seconds)
        finally:
            self._in_work -= 1
        match self.condition:
            case Grey(share, mute) if self._rng.random() < share:
                if not mute:
                    self._answer(segment, flow, request, executed=True, succeeded=False)
            case _:
                self._answer(segment, flow, request, executed=True, succeeded=True)

    def _factor(self) -> float:
        cold = COLD_FACTOR if now() - self._started < COLD_SECONDS else 1.0
        match self.condition:
            case Sluggish(factor):
                return factor * cold / self.plan.speed
            case _:
                return cold / self.plan.speed

    def _answer(
        self,
        segment: Segment,
        flow: _Flow,
        request: Request,
        executed: bool,
        succeeded: bool,
    ) -> None:
        parts = reply_parts(request, executed, succeeded)
        flow.answers[request.number] = parts
        self._send_all(segment, flow, parts)

    def _send_all(self, segment: Segment, flow: _Flow, parts: list[bytes]) -> None:
        for part in parts:
            self._send(segment, flow, Flag(0), part)
        if self.draining and parts:
            self._send(segment, flow, Flag.ENDS)

    def _send(
        self, received: Segment, flow: _Flow, flags: Flag, data: bytes = b""
    ) -> None:
        self._put(
            Segment(
                flags,
                received.destination,
                received.source,
                sequence=flow.sequence,
                data=data,
            )
        )

    def _put(self, segment: Segment) -> None:
        self._socket.send((encode(segment),), self._outbound)

    def _give_back(self, data: bytes) -> None:
        self._socket.send((bytes((data[0] | Flag.RETURNED,)), data[1:]), self._outbound)


def opening_stamp(time: float) -> int:
    """Return a time as openings carry it, in microseconds."""
    return int(time * 1e6) & 0xFFFFFFFF


def _sent(segment: Segment) -> float:
    """Return the time in seconds at which an opening was sent."""
    passed = (opening_stamp(now()) - segment.sequence) & 0xFFFFFFFF
    return now() - passed / 1e6

"""Emulated backend server: slots, a short queue, flows, draining and failures."""

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
HEARTBEAT_SECONDS = 1.2


class Healthy(Struct, frozen=True):
    """The backend server works normally."""


class Grey(Struct, frozen=True):
    """The backend server fails a share of its requests.

    Attributes:
        share: Share of the requests.
        mute: Whether these requests get no answer at all instead of a failure.
    """

    share: float
    mute: bool = False


class Sluggish(Struct, frozen=True):
    """The backend server runs its requests more slowly.

    Attributes:
        factor: Duration of a request relative to the usual duration.
    """

    factor: float


Condition = Healthy | Grey | Sluggish


class ServerPlan(Struct, frozen=True):
    """Configuration of a backend server.

    Attributes:
        name: Its name.
        service: Its service.
        address: Address of its instance.
        failure_domain: Failure domain of its instance.
        slots: Concurrent requests.
        queue: Maximum number of requests that wait for a slot.
        speed: Seconds of work that it does in a second, 1 for an ordinary server.
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
        sequence: Number that the backend server chose for the flow.
        answers: Parts of each answer by number of the request, empty while the request
            is in progress.
        open: Whether the caller has acknowledged `sequence`.
    """

    sequence: int
    answers: dict[int, list[bytes]]
    open: bool = False


class EmulatedServer:
    """A backend server on the emulated network.

    Args:
        plan: Configuration of the backend server.
        network: The network.
        history: Records what the backend server observes.
        rng: Random number generator.
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
        self._closed_flows: set[bytes] = set()
        self._slots = asyncio.Semaphore(plan.slots)
        self._in_progress = 0
        self._started = now()
        self._changed_reports = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self.refused: Counter[str] = Counter()

    @property
    def started(self) -> float:
        """Event loop time in seconds at which the backend server was created."""
        return self._started

    def next_report(self) -> int:
        """Return the number of the report that changes the entry now.

        Heartbeats are reports too, even if they do not change the entry.
        """
        self._changed_reports += 1
        return self._changed_reports + int((now() - self._started) / HEARTBEAT_SECONDS)

    def start(self) -> None:
        """Start serving."""
        self._socket.start()

    def stop(self) -> None:
        """Stop immediately and lose all flows."""
        self._socket.close()
        for task in self._tasks:
            task.cancel()
        for key in self._flows:
            self._history.record_closed(key, now())
        self._flows.clear()

    def _receive(self, data: bytes, sender: Address) -> None:
        segment = decode(data)
        unexpected = Flag.RETURNED | Flag.ACCEPTS
        if not segment.genuine or segment.flags & unexpected:
            self._history.forged.append(f"{self.plan.name}: {segment.flags!r}")
            return
        key = segment.source + segment.destination
        self._history.record_arrival(key, self.plan.name, now())
        flow = self._flows.get(key)
        if segment.flags & Flag.OPENS:
            self._on_opening(segment, key, flow)
        elif flow is None:
            self._on_unknown(segment, key, data)
        elif not flow.open and segment.acknowledged != flow.sequence:
            # The caller acknowledges a number that this backend server did not choose,
            # so the caller opened the flow at another backend server.
            del self._flows[key]
            self._return_packet(data)
        else:
            self._on_known(segment, key, flow)

    def _on_opening(self, segment: Segment, key: bytes, flow: _Flow | None) -> None:
        if flow is None:
            flow = self._flows[key] = _Flow(self._rng.getrandbits(31) + 1, {})
            plan = self.plan
            opening = Opening(
                key,
                plan.name,
                plan.service,
                plan.failure_domain,
                _sent_time(segment),
                now(),
            )
            self._history.openings.append(opening)
        self._send_reply(segment, flow, Flag.ACCEPTS)

    def _on_unknown(self, segment: Segment, key: bytes, data: bytes) -> None:
        if key not in self._closed_flows:
            self._return_packet(data)
        elif segment.data:
            self._send_segment(
                Segment(Flag.RESETS, segment.destination, segment.source)
            )

    def _on_known(self, segment: Segment, key: bytes, flow: _Flow) -> None:
        if not flow.open:
            flow.open = True
            opened = OpenFlow(self.plan.name, self.plan.address, now())
            self._history.flows[key] = opened
        if segment.flags & (Flag.RESETS | Flag.ENDS):
            del self._flows[key]
            self._closed_flows.add(key)
            self._history.record_closed(key, now())
        elif segment.data:
            self._on_request(segment, key, flow)

    def _on_request(self, segment: Segment, key: bytes, flow: _Flow) -> None:
        request = decode_request(segment.data)
        known = flow.answers.get(request.number)
        if known is not None:
            self._send_answer(segment, flow, known)
            return
        if self._in_progress >= self.plan.slots + self.plan.queue:
            self.refused["queue-full"] += 1
            self._answer(segment, flow, request, executed=False, succeeded=False)
            return
        flow.answers[request.number] = []
        task = asyncio.create_task(self._run_request(segment, key, flow, request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_request(
        self, segment: Segment, key: bytes, flow: _Flow, request: Request
    ) -> None:
        self._in_progress += 1
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
                seconds = request.work * self._work_factor()
                self.busy_seconds += seconds
                await asyncio.sleep(seconds)
        finally:
            self._in_progress -= 1
        match self.condition:
            case Grey(share, mute) if self._rng.random() < share:
                if not mute:
                    self._answer(segment, flow, request, executed=True, succeeded=False)
            case _:
                self._answer(segment, flow, request, executed=True, succeeded=True)

    def _work_factor(self) -> float:
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
        self._send_answer(segment, flow, parts)

    def _send_answer(self, segment: Segment, flow: _Flow, parts: list[bytes]) -> None:
        for part in parts:
            self._send_reply(segment, flow, Flag(0), part)
        if self.draining and parts:
            self._send_reply(segment, flow, Flag.ENDS)

    def _send_reply(
        self, received: Segment, flow: _Flow, flags: Flag, data: bytes = b""
    ) -> None:
        self._send_segment(
            Segment(
                flags,
                received.destination,
                received.source,
                sequence=flow.sequence,
                data=data,
            )
        )

    def _send_segment(self, segment: Segment) -> None:
        self._socket.send((encode(segment),), self._outbound)

    def _return_packet(self, data: bytes) -> None:
        self._socket.send((bytes((data[0] | Flag.RETURNED,)), data[1:]), self._outbound)


def opening_stamp(time: float) -> int:
    """Return a time in microseconds, modulo 2**32, as openings carry it."""
    return int(time * 1e6) & 0xFFFFFFFF


def _sent_time(segment: Segment) -> float:
    """Return the time in seconds at which an opening was sent."""
    elapsed_microseconds = (opening_stamp(now()) - segment.sequence) & 0xFFFFFFFF
    return now() - elapsed_microseconds / 1e6

"""Stand-in for a backend server with slots, cold start, drain, shed and false reports.

Query fields of a request control its execution: ``id`` identifies the request in the
list of executions, ``seconds`` is its duration on a server of speed 1, ``bytes`` the
size of its answer, ``content`` a word that the answer repeats, and ``cut`` the number
of bytes after which the connection is closed.
"""

import asyncio
import dataclasses
from collections import deque
from dataclasses import dataclass
from enum import Enum
from time import monotonic
from typing import Any

from aiohttp import web

MAX_RECORDED_EXECUTIONS = 100_000


class ExecutionOutcome(Enum):
    """State of an execution, or how it ended."""

    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    DEADLINE = "deadline"
    CUT = "cut"


@dataclass(slots=True)
class Execution:
    """One execution of a request.

    Attributes:
        request_id: Query field ``id`` of the request, or its path without that field.
        start: Monotonic time in seconds at which the request took a slot.
        end: Monotonic time in seconds at which it released the slot, 0 until then.
        outcome: How the execution ended.
    """

    request_id: str
    start: float
    end: float = 0.0
    outcome: ExecutionOutcome = ExecutionOutcome.RUNNING


@dataclass(slots=True)
class Behaviour:
    """Behaviour that tests may change while the stand-in runs.

    Attributes:
        slots: Maximum number of requests that run at the same time.
        queue: Maximum number of waiting requests; further ones are shed with 503.
        speed: Factor by which requests run faster than on a server of speed 1.
        cold_seconds: Time after the start during which requests run slower.
        cold_factor: Factor by which requests run slower during that time.
        service_seconds: Duration of a request without the query field ``seconds``.
        feed_interval: Time between two events of a feed in seconds.
        draining: Whether the health page asks for no new requests.
        healthy: Whether the health page reports a healthy server.
        load_lag_seconds: Age of the load on the load page in seconds.
        reported_busy: Number of busy slots on the load page, None for the real one.
    """

    slots: int = 2
    queue: int = 1000
    speed: float = 1.0
    cold_seconds: float = 0.0
    cold_factor: float = 5.0
    service_seconds: float = 0.005
    feed_interval: float = 0.1
    draining: bool = False
    healthy: bool = True
    load_lag_seconds: float = 0.0
    reported_busy: int | None = None


class BackendServerStandIn:
    """Serves test routes over HTTP and records all executions.

    Args:
        name: Name of the server, which its answers contain.
        slots: Maximum number of requests that run at the same time.
    """

    def __init__(self, name: str, slots: int = 2) -> None:
        self.name = name
        self.behaviour = Behaviour(slots=slots)
        self.busy = 0
        self.peak_busy = 0
        self.waiting = 0
        self.shed = 0
        self.executions: deque[Execution] = deque(maxlen=MAX_RECORDED_EXECUTIONS)
        self._changed = asyncio.Condition()
        self._started = monotonic()
        self._loads: deque[tuple[float, int]] = deque(maxlen=10_000)

    @property
    def executed(self) -> list[str]:
        """IDs of all executions in the order in which they started."""
        return [execution.request_id for execution in self.executions]

    @property
    def cancelled(self) -> int:
        """Number of executions that were cancelled."""
        return sum(e.outcome is ExecutionOutcome.CANCELLED for e in self.executions)

    def application(self) -> web.Application:
        """Return the HTTP application."""
        # A handler must be cancelled when the agent closes the connection.
        application = web.Application(
            client_max_size=1 << 30, handler_args={"handler_cancellation": True}
        )
        router = application.router
        router.add_get("/feed", self._feed)
        router.add_get("/feeds/{name}", self._feed)
        router.add_get("/health", self._health)
        router.add_get("/load", self._load)
        router.add_get("/executed", self._executed)
        router.add_get("/_control/executions", self._executions)
        router.add_get("/_control/behaviour", self._get_behaviour)
        router.add_post("/_control/behaviour", self._set_behaviour)
        router.add_post("/_control/restart", self._restart)
        router.add_route("*", "/{path:.*}", self._answer)
        return application

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        if self._full and self.waiting >= self.behaviour.queue:
            self.shed += 1
            return web.Response(status=503, headers={"retry-after": "1"})
        await self._take_slot()
        execution = Execution(request.query.get("id", request.path), monotonic())
        self.executions.append(execution)
        try:
            response = await self._run(request, body, execution)
        except asyncio.CancelledError:
            execution.outcome = ExecutionOutcome.CANCELLED
            raise
        finally:
            execution.end = monotonic()
            await asyncio.shield(self._release_slot())
        return response

    async def _run(
        self, request: web.Request, body: bytes, execution: Execution
    ) -> web.StreamResponse:
        limit = request.headers.get("request-timeout-ms")
        try:
            async with asyncio.timeout(int(limit) / 1000 if limit else None):
                await asyncio.sleep(self._duration(request))
                response = await self._respond(request, body, execution)
        except TimeoutError:
            execution.outcome = ExecutionOutcome.DEADLINE
            return web.Response(status=504)
        if execution.outcome is ExecutionOutcome.RUNNING:
            execution.outcome = ExecutionOutcome.FINISHED
        return response

    async def _respond(
        self, request: web.Request, body: bytes, execution: Execution
    ) -> web.StreamResponse:
        size = int(request.query.get("bytes", "0"))
        if size:
            return await self._download(request, size, execution)
        return web.json_response(
            {
                "server": self.name,
                "method": request.method,
                "path": request.path_qs,
                "body_bytes": len(body),
                "traceparent": request.headers.get("traceparent", ""),
                "timeout_ms": request.headers.get("request-timeout-ms", ""),
            }
        )

    async def _download(
        self, request: web.Request, size: int, execution: Execution
    ) -> web.StreamResponse:
        cut = int(request.query.get("cut", size))
        response = web.StreamResponse(headers={"content-length": str(size)})
        await response.prepare(request)
        block = _block(request.query.get("content", ""))
        for offset in range(0, cut, len(block)):
            await response.write(block[: cut - offset])
        if cut < size and request.transport is not None:
            execution.outcome = ExecutionOutcome.CUT
            request.transport.close()
        return response

    def _duration(self, request: web.Request) -> float:
        behaviour = self.behaviour
        requested = request.query.get("seconds")
        seconds = behaviour.service_seconds if requested is None else float(requested)
        if monotonic() - self._started < behaviour.cold_seconds:
            seconds *= behaviour.cold_factor
        return seconds / behaviour.speed

    @property
    def _full(self) -> bool:
        return self.busy >= self.behaviour.slots

    async def _take_slot(self) -> None:
        self.waiting += 1
        try:
            async with self._changed:
                await self._changed.wait_for(lambda: not self._full)
                self._set_busy(self.busy + 1)
        finally:
            self.waiting -= 1

    async def _release_slot(self) -> None:
        async with self._changed:
            self._set_busy(self.busy - 1)
            self._changed.notify_all()

    def _set_busy(self, busy: int) -> None:
        self.busy = busy
        self.peak_busy = max(self.peak_busy, busy)
        self._loads.append((monotonic(), busy))

    async def _feed(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        response.content_type = "text/event-stream"
        await response.prepare(request)
        number = 0
        while True:
            await response.write(f"data: {self.name} {number}\n\n".encode())
            number += 1
            await asyncio.sleep(self.behaviour.feed_interval)

    async def _health(self, request: web.Request) -> web.Response:
        if not self.behaviour.healthy:
            return web.json_response({"state": "failing"}, status=503)
        state = "draining" if self.behaviour.draining else "accepting"
        return web.json_response({"state": state})

    async def _load(self, request: web.Request) -> web.Response:
        busy = self.behaviour.reported_busy
        if busy is None:
            sampled_at = monotonic() - self.behaviour.load_lag_seconds
            known = [number for time, number in self._loads if time <= sampled_at]
            busy = known[-1] if known else 0
        return web.json_response({"busy": busy, "slots": self.behaviour.slots})

    async def _executed(self, request: web.Request) -> web.Response:
        return web.json_response(self.executed)

    async def _executions(self, request: web.Request) -> web.Response:
        records = [dataclasses.asdict(execution) for execution in self.executions]
        return web.json_response(
            [record | {"outcome": record["outcome"].value} for record in records]
        )

    async def _get_behaviour(self, request: web.Request) -> web.Response:
        return web.json_response(dataclasses.asdict(self.behaviour))

    async def _set_behaviour(self, request: web.Request) -> web.Response:
        changes: dict[str, Any] = await request.json()
        self.behaviour = dataclasses.replace(self.behaviour, **changes)
        async with self._changed:
            self._changed.notify_all()
        return await self._get_behaviour(request)

    async def _restart(self, request: web.Request) -> web.Response:
        self._started = monotonic()
        return web.Response(status=204)


def _block(word: str) -> bytes:
    if not word:
        return bytes(range(256)) * 256
    return word.encode() * (65_536 // len(word))

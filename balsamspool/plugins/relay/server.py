"""Peer's side of the relay: runs requests that other agents issued."""

import asyncio
import contextlib
import logging
from collections import OrderedDict
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from opentelemetry.trace import SpanKind

from balsamspool.kernel.clock import Deadline, now
from balsamspool.kernel.errors import Outcome, ResultCode, ResultError
from balsamspool.plugins.mesh.message import Message, NotSent, PeerAddress, Sent
from balsamspool.plugins.relay.codes import (
    RELAY_PEER_FAILED,
    RELAY_PEER_FULL,
    RELAY_PEER_LEAVING,
    RELAY_SILENT,
    RELAY_TOO_LATE,
)
from balsamspool.plugins.relay.events import RELAY_PEER_SILENT, RELAY_TASK_FAILED
from balsamspool.plugins.relay.link import (
    MeshLink,
    context_of,
    current_traceparent,
    tracer,
)
from balsamspool.plugins.relay.messages import (
    RelayBody,
    RelayCancel,
    RelayCredit,
    RelayData,
    RelayEnd,
    RelayFailed,
    RelayHead,
    RelayHeartbeat,
    RelayId,
    RelayNotRun,
    RelayRequest,
)
from balsamspool.plugins.relay.stream import (
    WINDOW_COST,
    CreditGate,
    PartReader,
    split_into_parts,
)
from balsamspool.requests.answer import ResponseWriter
from balsamspool.requests.request import Headers, Request

_logger = logging.getLogger(__name__)

SESSION_LIMIT = 1024
# Time for which the ID of a request is kept to detect copies of the request. Relay
# messages expire after 5 s, so no copy arrives after the retention time.
ID_RETENTION_SECONDS = 60.0
ID_LIMIT = 65_536
CREDIT_STEP_COST = WINDOW_COST // 4
TIMEOUT_HEADER = "request-timeout-ms"

RequestHandler = Callable[[Request, ResponseWriter], Awaitable[None]]
Spawn = Callable[[Coroutine[Any, Any, None], str], "asyncio.Task[None]"]


@dataclass(slots=True)
class _Session:
    """A request of a peer that runs here."""

    relay: RelayId
    issuer: PeerAddress
    reader: PartReader[bytes] = field(default_factory=PartReader)
    gate: CreditGate = field(default_factory=CreditGate)
    sent_credit: int = WINDOW_COST
    sent_parts: int = 0
    task: "asyncio.Task[None] | None" = None


class RelayWriter(ResponseWriter):
    """Sends an answer to the process that issued the request.

    Args:
        mesh: Mesh that carries the messages.
        session: The request.
    """

    __slots__ = ("_sent_bytes", "_closed", "_mesh", "_session")

    def __init__(self, mesh: MeshLink, session: _Session) -> None:
        self._mesh = mesh
        self._session = session
        self._sent_bytes = 0
        self._closed = False

    @property
    def started(self) -> bool:
        """Whether the status has been sent."""
        return self._session.sent_parts > 0

    @property
    def closed(self) -> bool:
        """Whether the answer was finished or aborted."""
        return self._closed

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and header fields."""
        await self._session.gate.acquire(0)
        self._session.sent_parts = 1
        await self._deliver(RelayHead(self._session.relay, status, headers))

    async def write(self, data: bytes) -> None:
        """Send a part of the body; waits until the issuer has given credit."""
        for part in split_into_parts(data):
            await self._session.gate.acquire(len(part))
            message = RelayData(self._session.relay, self._session.sent_parts, part)
            self._session.sent_parts += 1
            self._sent_bytes += len(part)
            await self._deliver(message)

    async def finish(self) -> None:
        """Mark the answer as complete."""
        self._closed = True
        session = self._session
        await self._deliver(
            RelayEnd(session.relay, session.sent_parts, self._sent_bytes)
        )

    async def abort(self, error: ResultError) -> None:
        """Notify the issuer that the answer will stay incomplete."""
        self._closed = True
        code = error.code
        await self._deliver(
            RelayFailed(
                self._session.relay, code.number, error.detail, code.outcome.value
            )
        )

    async def _deliver(self, body: Any) -> None:
        session = self._session
        match await self._mesh.deliver(session.issuer, body, session.relay.issuer):
            case NotSent(reason):
                raise ResultError(
                    RELAY_SILENT, f"the mesh dropped a part of the answer: {reason}"
                )
            case Sent():
                pass


class RelayServer:
    """Runs requests of peers, each request ID at most once.

    Args:
        mesh: Mesh that carries the messages.
        handle: Runs a request and writes its answer; the issuer receives a failure if
            the answer is not finished.
        spawn: Starts a task with a name.
        leaving: Returns whether this process is leaving and refuses new requests.
    """

    __slots__ = ("_handle", "_leaving", "_mesh", "_seen_ids", "_sessions", "_spawn")

    def __init__(
        self,
        mesh: MeshLink,
        handle: RequestHandler,
        spawn: Spawn,
        leaving: Callable[[], bool],
    ) -> None:
        self._mesh = mesh
        self._handle = handle
        self._spawn = spawn
        self._leaving = leaving
        self._sessions: dict[RelayId, _Session] = {}
        self._seen_ids: OrderedDict[RelayId, float] = OrderedDict()

    @property
    def in_progress(self) -> int:
        """Number of peers' requests that run here."""
        return len(self._sessions)

    def receive(self, message: Message) -> None:
        """Process a message about a request that a peer issued."""
        body = message.body
        if body.relay.issuer != message.incarnation:
            return
        if isinstance(body, RelayRequest):
            self._open_session(message, body)
            return
        session = self._sessions.get(body.relay)
        if session is not None:
            self._apply(session, body)
        elif isinstance(body, RelayCancel):
            # A cancellation may arrive before its request. Recording the ID prevents
            # the request from running when it arrives.
            self._record_id(body.relay)

    def send_heartbeats(self) -> None:
        """Send heartbeats to the issuers; cancel the requests of silent issuers."""
        for session in list(self._sessions.values()):
            if session.reader.silent and session.task is not None:
                RELAY_PEER_SILENT.log(_logger, relay=session.relay.number)
                session.task.cancel()
                continue
            heartbeat = RelayHeartbeat(
                session.relay, session.reader.credit, session.sent_parts
            )
            self._mesh.send(session.issuer, heartbeat, session.relay.issuer)

    async def wait_idle(self) -> None:
        """Wait until no request of a peer runs here."""
        while self._sessions:
            tasks = [s.task for s in self._sessions.values() if s.task is not None]
            await asyncio.wait(tasks)

    def _open_session(self, message: Message, relay_request: RelayRequest) -> None:
        relay = relay_request.relay
        if relay in self._seen_ids:
            return
        remaining = None
        if relay_request.remaining_ms is not None:
            remaining = relay_request.remaining_ms / 1000 - message.age
        refusal = self._refusal_code(relay, remaining)
        if refusal is not None:
            answer = RelayNotRun(relay, refusal.number, refusal.summary)
            self._mesh.send(message.sender, answer, relay.issuer)
            return
        session = self._sessions[relay] = _Session(relay, message.sender)
        if not relay_request.has_body:
            session.reader.record_end(0)
        request = self._build_request(session, relay_request, remaining)
        session.task = self._spawn(
            self._run(session, request), f"relayed request {relay.number}"
        )
        session.task.add_done_callback(lambda _: self._sessions.pop(relay, None))

    def _refusal_code(
        self, relay: RelayId, remaining: float | None
    ) -> ResultCode | None:
        if not self._record_id(relay) or len(self._sessions) >= SESSION_LIMIT:
            return RELAY_PEER_FULL
        if self._leaving():
            return RELAY_PEER_LEAVING
        if remaining is not None and remaining <= 0:
            return RELAY_TOO_LATE
        return None

    def _record_id(self, relay: RelayId) -> bool:
        """Record an ID; return False if too many IDs are recorded."""
        time = now()
        while (
            self._seen_ids
            and time - next(iter(self._seen_ids.values())) > ID_RETENTION_SECONDS
        ):
            self._seen_ids.popitem(last=False)
        if len(self._seen_ids) >= ID_LIMIT:
            return False
        self._seen_ids[relay] = time
        return True

    def _build_request(
        self, session: _Session, relay_request: RelayRequest, remaining: float | None
    ) -> Request:
        headers = list(relay_request.headers)
        deadline = None
        if remaining is not None:
            headers = [pair for pair in headers if pair[0] != TIMEOUT_HEADER]
            headers.append((TIMEOUT_HEADER, str(max(1, int(remaining * 1000)))))
            deadline = Deadline.after(remaining)
        return Request(
            method=relay_request.method,
            path=relay_request.path,
            headers=headers,
            body=self._read_body(session),
            deadline=deadline,
            trace_context=relay_request.trace_context,
            relayed=True,
        )

    async def _read_body(self, session: _Session) -> AsyncIterator[bytes]:
        while (data := await session.reader.read()) is not None:
            credit = session.reader.credit
            if credit - session.sent_credit >= CREDIT_STEP_COST:
                session.sent_credit = credit
                message = RelayCredit(session.relay, credit)
                self._mesh.send(session.issuer, message, session.relay.issuer)
            if data:
                yield data

    async def _run(self, session: _Session, request: Request) -> None:
        writer = RelayWriter(self._mesh, session)
        context = context_of(request.trace_context)
        with tracer.start_as_current_span(
            "relay from peer", context=context, kind=SpanKind.SERVER
        ):
            request.trace_context = current_traceparent(request.trace_context)
            failure = ResultError(RELAY_PEER_FAILED, "the answer was not finished")
            try:
                await self._handle(request, writer)
            except ResultError as error:
                failure = error
            except Exception as error:
                RELAY_TASK_FAILED.log(_logger, path=request.path, error=repr(error))
                failure = ResultError(RELAY_PEER_FAILED, repr(error))
            if not writer.closed:
                # Without this report, the issuer would wait until its silence timeout.
                with contextlib.suppress(ResultError):
                    await self._report_failure(session, writer, failure)

    async def _report_failure(
        self, session: _Session, writer: RelayWriter, failure: ResultError
    ) -> None:
        code = failure.code
        if writer.started or code.outcome is not Outcome.NOT_RUN:
            await writer.abort(failure)
            return
        answer = RelayNotRun(
            session.relay, code.number, failure.detail, failure.retry_after
        )
        self._mesh.send(session.issuer, answer, session.relay.issuer)

    def _apply(self, session: _Session, body: object) -> None:
        match body:
            case RelayBody(sequence=sequence, data=data, last=last):
                session.reader.accept(sequence, data, len(data))
                if last:
                    session.reader.record_end(sequence + 1)
            case RelayCredit(bytes=total):
                session.reader.restart_silence_timer()
                session.gate.grant(total)
            case RelayHeartbeat(bytes=total, sent=sent):
                session.reader.record_sent_parts(sent)
                session.gate.grant(total)
            case RelayCancel():
                if session.task is not None:
                    session.task.cancel()

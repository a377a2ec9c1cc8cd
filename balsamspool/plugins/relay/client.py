"""Issuer's side of the relay: has a request run by a peer."""

import asyncio
from dataclasses import dataclass, field

from opentelemetry.trace import SpanKind

from balsamspool.kernel.errors import Outcome, ResultCode, ResultError, find_code
from balsamspool.plugins.mesh.message import Message, NotSent, PeerAddress, Sent
from balsamspool.plugins.relay.codes import (
    RELAY_BODY_FAILED,
    RELAY_MISMATCH,
    RELAY_NOT_SENT,
    RELAY_PEER_FAILED,
    RELAY_REFUSED,
    RELAY_TIMEOUT,
)
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
    split,
)
from balsamspool.requests.answer import ResponseWriter
from balsamspool.requests.relay import Answered, NotRun, RelayResult, Unknown
from balsamspool.requests.request import Request

# The peer ends its own work at the deadline; its word arrives a little later.
DEADLINE_GRACE_SECONDS = 0.25
CREDIT_STEP = WINDOW_COST // 4

_BODYLESS_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "TRACE"))


class PeerRefusedError(ResultError):
    """The peer states that it did not run the request and will not."""


@dataclass(slots=True)
class _Session:
    """A request at a peer."""

    relay: RelayId
    peer: PeerAddress
    incarnation: bytes | None
    reader: PartReader[RelayHead | bytes] = field(default_factory=PartReader)
    gate: CreditGate = field(default_factory=CreditGate)
    credited: int = WINDOW_COST
    sent: int = 0


class RelayClient:
    """Has requests run by peers.

    Args:
        mesh: Mesh that carries the messages.
        issuer: Incarnation of this process.
    """

    __slots__ = ("_issuer", "_mesh", "_next_number", "_sessions")

    def __init__(self, mesh: MeshLink, issuer: bytes) -> None:
        self._mesh = mesh
        self._issuer = issuer
        self._next_number = 0
        self._sessions: dict[RelayId, _Session] = {}

    @property
    def in_progress(self) -> int:
        """Number of requests at peers."""
        return len(self._sessions)

    def receive(self, message: Message) -> None:
        """Take a message about a request that this process issued."""
        session = self._sessions.get(message.body.relay)
        if session is None:
            return
        if session.incarnation is None:
            session.incarnation = message.incarnation
        if session.incarnation != message.incarnation:
            return
        self._apply(session, message.body)

    def beat(self) -> None:
        """Tell the peers that the answers are still wanted."""
        for session in self._sessions.values():
            beat = RelayHeartbeat(session.relay, session.reader.credit, session.sent)
            self._mesh.send(session.peer, beat, session.incarnation)

    async def run(
        self,
        peer: PeerAddress,
        request: Request,
        writer: ResponseWriter,
        incarnation: bytes | None,
    ) -> RelayResult:
        """Have a peer run a request; see ``Relay.run_at``."""
        self._next_number += 1
        relay = RelayId(self._issuer, self._next_number)
        session = self._sessions[relay] = _Session(relay, peer, incarnation)
        upload: asyncio.Task[None] | None = None
        settled = False
        context = context_of(request.trace_context)
        try:
            with tracer.start_as_current_span(
                "relay to peer", context=context, kind=SpanKind.CLIENT
            ) as span:
                opening = _opening(relay, request)
                match await self._mesh.deliver(peer, opening, incarnation):
                    case NotSent(reason):
                        settled = True
                        return NotRun(RELAY_NOT_SENT, f"mesh: {reason}")
                    case Sent():
                        session.reader.heard()
                if opening.has_body:
                    upload = asyncio.create_task(self._upload(session, request))
                result = await self._answer(session, request, writer)
                settled = not isinstance(result, Unknown)
                span.set_attribute("balsamspool.result", type(result).__name__)
                return result
        finally:
            del self._sessions[relay]
            if upload is not None:
                upload.cancel()
            if not settled:
                self._mesh.send(peer, RelayCancel(relay), session.incarnation)

    async def _answer(
        self, session: _Session, request: Request, writer: ResponseWriter
    ) -> RelayResult:
        limit = None
        if request.deadline is not None:
            limit = request.deadline.at + DEADLINE_GRACE_SECONDS
        try:
            async with asyncio.timeout_at(limit):
                await self._copy(session, writer)
            await writer.finish()
            return Answered()
        except PeerRefusedError as error:
            if not writer.started:
                return NotRun(error.code, error.detail, error.retry_after)
            failure: ResultError = ResultError(RELAY_MISMATCH, error.detail)
        except TimeoutError:
            failure = ResultError(RELAY_TIMEOUT, f"{request.method} {request.path}")
        except ResultError as error:
            failure = error
        if writer.started:
            await writer.abort(failure)
        return Unknown(failure.code, failure.detail)

    async def _copy(self, session: _Session, writer: ResponseWriter) -> None:
        while (part := await session.reader.read()) is not None:
            match part:
                case RelayHead(status=status, headers=headers):
                    await writer.start(status, headers)
                case bytes():
                    await writer.write(part)
            credit = session.reader.credit
            if credit - session.credited >= CREDIT_STEP:
                session.credited = credit
                message = RelayCredit(session.relay, credit)
                self._mesh.send(session.peer, message, session.incarnation)
        if not writer.started:
            raise ResultError(RELAY_MISMATCH, "the answer has no head")

    async def _upload(self, session: _Session, request: Request) -> None:
        try:
            async for chunk in request.body:
                for data in split(chunk):
                    await self._send_part(session, data, last=False)
            await self._send_part(session, b"", last=True)
        except ResultError as error:
            session.reader.fail(error)
        except Exception as error:
            # The caller's side of the body may fail in any way its protocol has.
            session.reader.fail(ResultError(RELAY_BODY_FAILED, repr(error)))

    async def _send_part(self, session: _Session, data: bytes, last: bool) -> None:
        await session.gate.take(len(data))
        part = RelayBody(session.relay, session.sent, data, last)
        session.sent += 1
        match await self._mesh.deliver(session.peer, part, session.incarnation):
            case NotSent(reason):
                raise ResultError(RELAY_BODY_FAILED, f"mesh: {reason}")
            case Sent():
                pass

    def _apply(self, session: _Session, body: object) -> None:
        reader = session.reader
        match body:
            case RelayHead():
                reader.accept(0, body, 0)
            case RelayData(sequence=sequence, data=data) if sequence > 0:
                reader.accept(sequence, data, len(data))
            case RelayEnd(count=count, bytes=size):
                reader.end(count, size)
            case RelayCredit(bytes=total):
                reader.heard()
                session.gate.grant(total)
            case RelayHeartbeat(bytes=total, sent=sent):
                reader.announce(sent)
                session.gate.grant(total)
            case RelayFailed(code=number, detail=detail):
                code = _known(number, Outcome.UNKNOWN, RELAY_PEER_FAILED)
                reader.fail(ResultError(code, f"peer: {number}: {detail}"))
            case RelayNotRun(code=number, detail=detail) if not reader.started:
                code = _known(number, Outcome.NOT_RUN, RELAY_REFUSED)
                detail = f"peer: {number}: {detail}"
                reader.fail(PeerRefusedError(code, detail, body.retry_after))
            case _:
                reader.fail(ResultError(RELAY_MISMATCH, type(body).__name__))


def _opening(relay: RelayId, request: Request) -> RelayRequest:
    remaining = None
    if request.deadline is not None:
        remaining = int(request.deadline.remaining * 1000)
    return RelayRequest(
        relay=relay,
        method=request.method,
        path=request.path,
        headers=request.headers,
        remaining_ms=remaining,
        trace_context=current_traceparent(request.trace_context),
        has_body=request.method not in _BODYLESS_METHODS,
    )


def _known(number: int, outcome: Outcome, default: ResultCode) -> ResultCode:
    """Return the code of a number if it has the outcome, or a default."""
    code = find_code(number)
    return code if code is not None and code.outcome is outcome else default

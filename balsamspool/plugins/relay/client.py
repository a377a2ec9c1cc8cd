"""Issuer's side of the relay: sends requests to peers, which run them."""

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
    split_into_parts,
)
from balsamspool.requests.answer import ResponseWriter
from balsamspool.requests.relay import Answered, NotRun, RelayResult, Unknown
from balsamspool.requests.request import Request

# Time that the issuer waits for the result of a request after the request's deadline.
# The peer ends the request at the deadline, and the result arrives a little later.
DEADLINE_GRACE_SECONDS = 0.25
CREDIT_STEP_COST = WINDOW_COST // 4

_BODYLESS_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "TRACE"))


class PeerRefusedError(ResultError):
    """The peer states that it did not run the request and will not."""


@dataclass(slots=True)
class _Session:
    """A request that a peer runs."""

    relay: RelayId
    peer: PeerAddress
    incarnation: bytes | None
    reader: PartReader[RelayHead | bytes] = field(default_factory=PartReader)
    gate: CreditGate = field(default_factory=CreditGate)
    sent_credit: int = WINDOW_COST
    sent_parts: int = 0


class RelayClient:
    """Sends requests to peers, which run them.

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
        """Number of requests that peers run for this process."""
        return len(self._sessions)

    def receive(self, message: Message) -> None:
        """Process a message about a request that this process issued."""
        session = self._sessions.get(message.body.relay)
        if session is None:
            return
        if session.incarnation is None:
            session.incarnation = message.incarnation
        if session.incarnation != message.incarnation:
            return
        self._apply(session, message.body)

    def send_heartbeats(self) -> None:
        """Notify the peers that this process still waits for the answers."""
        for session in self._sessions.values():
            heartbeat = RelayHeartbeat(
                session.relay, session.reader.credit, session.sent_parts
            )
            self._mesh.send(session.peer, heartbeat, session.incarnation)

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
        outcome_known = False
        context = context_of(request.trace_context)
        try:
            with tracer.start_as_current_span(
                "relay to peer", context=context, kind=SpanKind.CLIENT
            ) as span:
                relay_request = _build_relay_request(relay, request)
                match await self._mesh.deliver(peer, relay_request, incarnation):
                    case NotSent(reason):
                        outcome_known = True
                        return NotRun(
                            RELAY_NOT_SENT, f"the mesh dropped the message: {reason}"
                        )
                    case Sent():
                        session.reader.restart_silence_timer()
                if relay_request.has_body:
                    upload = asyncio.create_task(self._upload(session, request))
                result = await self._receive_answer(session, request, writer)
                outcome_known = not isinstance(result, Unknown)
                span.set_attribute("balsamspool.result", type(result).__name__)
                return result
        finally:
            del self._sessions[relay]
            if upload is not None:
                upload.cancel()
            if not outcome_known:
                self._mesh.send(peer, RelayCancel(relay), session.incarnation)

    async def _receive_answer(
        self, session: _Session, request: Request, writer: ResponseWriter
    ) -> RelayResult:
        time_limit = None
        if request.deadline is not None:
            time_limit = request.deadline.at + DEADLINE_GRACE_SECONDS
        try:
            async with asyncio.timeout_at(time_limit):
                await self._copy_answer(session, writer)
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

    async def _copy_answer(self, session: _Session, writer: ResponseWriter) -> None:
        while (part := await session.reader.read()) is not None:
            match part:
                case RelayHead(status=status, headers=headers):
                    await writer.start(status, headers)
                case bytes():
                    await writer.write(part)
            credit = session.reader.credit
            if credit - session.sent_credit >= CREDIT_STEP_COST:
                session.sent_credit = credit
                message = RelayCredit(session.relay, credit)
                self._mesh.send(session.peer, message, session.incarnation)
        if not writer.started:
            raise ResultError(RELAY_MISMATCH, "the answer has no head")

    async def _upload(self, session: _Session, request: Request) -> None:
        try:
            async for chunk in request.body:
                for data in split_into_parts(chunk):
                    await self._send_part(session, data, last=False)
            await self._send_part(session, b"", last=True)
        except ResultError as error:
            session.reader.fail(error)
        except Exception as error:
            # Reading the body may raise any exception of the caller's protocol.
            session.reader.fail(ResultError(RELAY_BODY_FAILED, repr(error)))

    async def _send_part(self, session: _Session, data: bytes, last: bool) -> None:
        await session.gate.acquire(len(data))
        part = RelayBody(session.relay, session.sent_parts, data, last)
        session.sent_parts += 1
        match await self._mesh.deliver(session.peer, part, session.incarnation):
            case NotSent(reason):
                raise ResultError(
                    RELAY_BODY_FAILED, f"the mesh dropped the message: {reason}"
                )
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
                reader.record_end(count, size)
            case RelayCredit(bytes=total):
                reader.restart_silence_timer()
                session.gate.grant(total)
            case RelayHeartbeat(bytes=total, sent=sent):
                reader.record_sent_parts(sent)
                session.gate.grant(total)
            case RelayFailed(code=number, detail=detail):
                code = _code_or_default(number, Outcome.UNKNOWN, RELAY_PEER_FAILED)
                reader.fail(ResultError(code, f"peer: {number}: {detail}"))
            case RelayNotRun(code=number, detail=detail) if not reader.started:
                code = _code_or_default(number, Outcome.NOT_RUN, RELAY_REFUSED)
                detail = f"peer: {number}: {detail}"
                reader.fail(PeerRefusedError(code, detail, body.retry_after))
            case _:
                reader.fail(
                    ResultError(
                        RELAY_MISMATCH, f"unexpected message {type(body).__name__}"
                    )
                )


def _build_relay_request(relay: RelayId, request: Request) -> RelayRequest:
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


def _code_or_default(number: int, outcome: Outcome, default: ResultCode) -> ResultCode:
    """Return the code with a number if its outcome is the given one, or a default."""
    code = find_code(number)
    return code if code is not None and code.outcome is outcome else default

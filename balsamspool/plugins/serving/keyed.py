"""Runs requests with request keys at most once."""

import asyncio
from asyncio import CancelledError, Task
from collections.abc import Awaitable, Callable
from typing import assert_never

import msgspec

from balsamspool.kernel.clock import now
from balsamspool.kernel.errors import Outcome, ResultError
from balsamspool.kernel.identity import Identity
from balsamspool.plugins.admission.codes import (
    KEY_ALREADY_RUN,
    KEY_INVALID,
    KEY_MISSING,
    KEY_OUTCOME_UNKNOWN,
)
from balsamspool.plugins.admission.key_codec import KeyCodec, RequestKey
from balsamspool.plugins.admission.keys import (
    Delegated,
    Done,
    Duplicate,
    First,
    KeyRecord,
    KeyState,
    KeyTable,
    NotRun,
    OutcomeUnknown,
    Ran,
    Running,
    request_digest,
)
from balsamspool.plugins.configuration import RequestRoute, Service
from balsamspool.plugins.mesh.message import PeerAddress
from balsamspool.plugins.serving.answer_pipe import AnswerPipe
from balsamspool.plugins.serving.body import MAX_KEYED_BODY_BYTES, read_body
from balsamspool.plugins.serving.codes import (
    CANCELLED,
    DUPLICATE_TIMEOUT,
    INTERRUPTED,
    METHOD_NOT_ALLOWED,
)
from balsamspool.plugins.serving.work import Work
from balsamspool.requests import relay
from balsamspool.requests.answer import ResponseWriter
from balsamspool.requests.relay import Relay
from balsamspool.requests.request import Request

KEY_PATH = "/.well-known/balsamspool/request-key"
KEY_FIELD = "idempotency-key"
DELEGATION_FIELD = "balsamspool-delegation"
# Numbers of the result codes of mesh and relay. An issuer that refuses a request with
# such a code has not looked up the request's key, so an earlier request with the same
# key may have run.
_RELAY_CODE_NUMBERS = range(1800, 1900)


class KeyedRequests:
    """Runs requests that must not repeat.

    Args:
        identity: Identity of this process.
        codec: Encodes and authenticates keys.
        table: Records of the keys that this process issued.
        serve: Admits and dispatches a request.
    """

    __slots__ = ("_address", "_codec", "_identity", "_serve", "_table", "_tasks")

    def __init__(
        self,
        identity: Identity,
        codec: KeyCodec,
        table: KeyTable,
        serve: Callable[[Work, ResponseWriter], Awaitable[None]],
    ) -> None:
        self._identity = identity
        self._address = PeerAddress(identity.address, identity.peer_port)
        self._codec = codec
        self._table = table
        self._serve = serve
        self._tasks: set[Task[None]] = set()

    async def issue(
        self, request: Request, service: Service, writer: ResponseWriter
    ) -> None:
        """Answer a request for a request key."""
        if request.method != "POST":
            raise ResultError(METHOD_NOT_ALLOWED, f"method {request.method}")
        lifetime = service.limits.key_seconds
        key = RequestKey(
            issuer=self._address,
            incarnation=self._identity.incarnation,
            service=service.number,
            serial=self._table.next_serial(),
            expires_ms=int((now() + lifetime) * 1000),
        )
        answer = {"key": self._codec.seal(key), "expires_in": lifetime}
        body = msgspec.json.encode(answer)
        fields = [
            ("content-type", "application/json"),
            ("content-length", str(len(body))),
            ("cache-control", "no-store"),
        ]
        await writer.start(201, fields)
        await writer.write(body)
        await writer.finish()

    async def run(
        self,
        work: Work,
        route: RequestRoute,
        writer: ResponseWriter,
        relay_to_issuer: Relay | None,
    ) -> None:
        """Run a request of a route that must not repeat.

        Args:
            work: The request.
            route: Its route.
            writer: Where the answer goes.
            relay_to_issuer: Relays to the agent that issued a key, None for no relay.

        Raises:
            ResultError: If there is no complete answer.
        """
        request = work.request
        text = request.header(KEY_FIELD)
        if text is None:
            if route.require_key:
                raise ResultError(KEY_MISSING, f"{request.method} {request.path}")
            await self._serve(work, writer)
            return
        key = self._codec.open(text)
        if key.service != work.service.number:
            detail = f"the key is for service number {key.service}"
            raise ResultError(KEY_INVALID, detail)
        limit = min(MAX_KEYED_BODY_BYTES, work.service.limits.request_body_bytes)
        try:
            await read_body(request, MAX_KEYED_BODY_BYTES, limit)
        except ResultError as error:
            # The code of this error states that the request has not run, which would
            # be wrong if an earlier request with the same key has run.
            if self._is_own_key(key) and self._table.is_unused(key):
                raise
            raise ResultError(KEY_OUTCOME_UNKNOWN, error.detail) from error
        if key.issuer == self._address:
            await self._run_own(work, text, key, writer)
        elif self._is_delegated(request, text):
            await self._serve(work, writer)
        else:
            await self._run_at_issuer(request, key, writer, relay_to_issuer)

    async def drain(self) -> None:
        """Wait for requests that continue without their callers."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def stop(self) -> None:
        """Cancel the requests that are still in progress."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def delegate(self, work: Work, peer: PeerAddress) -> None:
        """Permit a peer to run a request, in the record and in a header field."""
        if work.key is not None and work.record is not None:
            self._table.set_state(work.record, Delegated(peer))
            permission = self._codec.delegation(work.key, peer)
            work.request.replace_header(DELEGATION_FIELD, permission)

    def revoke(self, work: Work) -> None:
        """Revoke the permission of a peer that stated that it did not run a request."""
        if work.record is not None:
            self._table.set_state(work.record, Running())
        work.request.replace_header(DELEGATION_FIELD, None)

    def _is_own_key(self, key: RequestKey) -> bool:
        same_process = key.incarnation == self._identity.incarnation
        return key.issuer == self._address and same_process

    def _is_delegated(self, request: Request, text: str) -> bool:
        permission = request.header(DELEGATION_FIELD)
        if not request.relayed or permission is None:
            return False
        return permission == self._codec.delegation(text, self._address)

    async def _run_at_issuer(
        self,
        request: Request,
        key: RequestKey,
        writer: ResponseWriter,
        relay_to_issuer: Relay | None,
    ) -> None:
        issuer = f"{key.issuer.address}:{key.issuer.peer_port}"
        if relay_to_issuer is None or request.relayed:
            raise ResultError(KEY_OUTCOME_UNKNOWN, f"issuer {issuer} cannot be reached")
        request.set_timeout_header()
        # No incarnation is passed. With an incarnation, the relay would report "not
        # run" after a restart of the issuer. The issuer itself compares the incarnation
        # in the key.
        match await relay_to_issuer.run_at(key.issuer, request, writer, None):
            case relay.Answered():
                return
            case relay.NotRun(code, detail, retry_after) if (
                code.number not in _RELAY_CODE_NUMBERS
            ):
                raise ResultError(code, detail, retry_after)
            case relay.NotRun(code, detail) | relay.Unknown(code, detail):
                reason = f"issuer {issuer}: {code.name}, {detail}"
                raise ResultError(KEY_OUTCOME_UNKNOWN, reason)

    async def _run_own(
        self, work: Work, text: str, key: RequestKey, writer: ResponseWriter
    ) -> None:
        if not self._is_own_key(key):
            detail = "the key was issued before this agent was started"
            raise ResultError(KEY_OUTCOME_UNKNOWN, detail)
        request = work.request
        digest = request_digest(request.method, request.path, request.content or b"")
        match self._table.claim(key, digest):
            case First(record):
                work.key, work.record = text, record
                await self._run_first(work, key, record, writer)
            case Duplicate(record):
                await self._answer_duplicate(request, record, writer)

    async def _run_first(
        self, work: Work, key: RequestKey, record: KeyRecord, writer: ResponseWriter
    ) -> None:
        pipe = AnswerPipe()
        # The request runs in a separate task, so that it can continue after its caller
        # has cancelled it.
        coroutine = self._run_to_end(work, key, record, pipe)
        task = asyncio.create_task(coroutine, name=f"keyed request {key.serial}")
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            await pipe.copy_to(writer)
        finally:
            pipe.detach()
            if not work.dispatched:
                task.cancel()

    async def _run_to_end(
        self, work: Work, key: RequestKey, record: KeyRecord, pipe: AnswerPipe
    ) -> None:
        state: KeyState = OutcomeUnknown(INTERRUPTED, "the request was interrupted")
        failure: ResultError | None = None
        try:
            await self._serve(work, pipe)
            state = pipe.result
        except ResultError as error:
            failure = error
            if error.code.outcome is Outcome.NOT_RUN:
                state = NotRun(error)
            else:
                state = OutcomeUnknown(error.code, error.detail)
        except CancelledError:
            if not work.dispatched:
                state = NotRun(
                    ResultError(CANCELLED, "the first caller cancelled the request")
                )
            raise
        finally:
            self._table.settle(key, record, state)
        await pipe.end(failure)

    async def _answer_duplicate(
        self, request: Request, record: KeyRecord, writer: ResponseWriter
    ) -> None:
        try:
            async with asyncio.timeout_at(request.deadline and request.deadline.at):
                await record.settled.wait()
        except TimeoutError as error:
            detail = f"{request.method} {request.path}"
            raise ResultError(DUPLICATE_TIMEOUT, detail) from error
        match record.state:
            case Done(answer):
                await writer.start(answer.status, answer.headers)
                await writer.write(answer.body)
                await writer.finish()
            case Ran(status):
                raise ResultError(KEY_ALREADY_RUN, f"the answer had status {status}")
            case NotRun(error):
                raise ResultError(error.code, error.detail, error.retry_after)
            case OutcomeUnknown(code, detail):
                raise ResultError(KEY_OUTCOME_UNKNOWN, f"{code.name}: {detail}")
            case Running() | Delegated():
                raise ResultError(KEY_OUTCOME_UNKNOWN, "the request has not ended")
            case _:
                assert_never(record.state)

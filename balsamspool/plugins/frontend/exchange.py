"""Request on an HTTP/3 stream and its answer."""

import asyncio
import logging
from collections import deque
from collections.abc import AsyncIterator
from typing import TYPE_CHECKING

from opentelemetry.trace import Span

from balsamspool.kernel.clock import now
from balsamspool.kernel.errors import ResultError
from balsamspool.plugins.frontend._fields import InvalidFields, ValidFields
from balsamspool.plugins.frontend._metrics import FrontendMetrics
from balsamspool.plugins.frontend._spans import request_span, trace_context
from balsamspool.plugins.frontend.codes import (
    BODY_EXCEEDED,
    BODY_TOO_LARGE,
    REQUEST_FAILED,
)
from balsamspool.plugins.frontend.events import REQUEST_TASK_FAILED
from balsamspool.plugins.serving import ServingPlugin
from balsamspool.requests import Request, ResponseWriter, write_error
from balsamspool.requests.answer import RESULT_HEADER
from balsamspool.requests.request import Headers

if TYPE_CHECKING:
    from balsamspool.plugins.frontend.connection import Connection

_logger = logging.getLogger(__name__)

# Writing an answer waits while this many bytes of the stream are unacknowledged.
SEND_BUFFER_BYTES = 256 * 1024

H3_NO_ERROR = 0x100
H3_INTERNAL_ERROR = 0x102
H3_REQUEST_CANCELLED = 0x10C

_NO_BODY_STATUS = frozenset((204, 304))
# Fields that HTTP/3 forbids (RFC 9114, 4.2).
_FORBIDDEN_FIELDS = frozenset(
    ("connection", "keep-alive", "proxy-connection", "transfer-encoding", "upgrade")
)


class StreamWriter(ResponseWriter):
    """Writes an answer to an HTTP/3 stream.

    Args:
        connection: Connection of the stream.
        stream_id: ID of the stream.
        method: HTTP method of the request.
    """

    __slots__ = (
        "_connection",
        "_content_length",
        "_ending",
        "_first_byte_at",
        "_omits_body",
        "_result_code",
        "_status",
        "_stream_id",
        "_written_bytes",
    )

    def __init__(self, connection: "Connection", stream_id: int, method: str) -> None:
        self._connection = connection
        self._stream_id = stream_id
        self._omits_body = method == "HEAD"
        self._content_length: int | None = None
        self._written_bytes = 0
        self._status = 0
        self._first_byte_at: float | None = None
        self._result_code = ""
        self._ending = "cancelled"

    @property
    def started(self) -> bool:
        """Whether the status has been sent."""
        return self._status != 0

    @property
    def status(self) -> int:
        """Status that has been sent, 0 if none has been sent."""
        return self._status

    @property
    def first_byte_at(self) -> float | None:
        """Event loop time in seconds at which the status was sent, None before that."""
        return self._first_byte_at

    @property
    def result_code(self) -> str:
        """Result code of an answer that an agent generated, empty for other answers."""
        return self._result_code

    @property
    def ending(self) -> str:
        """How the answer ended: ``whole``, ``reset`` or ``cancelled``."""
        return self._ending

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and header fields."""
        self._status = status
        self._first_byte_at = now()
        self._omits_body = self._omits_body or status in _NO_BODY_STATUS
        kept = [pair for pair in headers if pair[0] not in _FORBIDDEN_FIELDS]
        for name, value in kept:
            if name == "content-length" and value.isdigit():
                self._content_length = int(value)
            elif name == RESULT_HEADER:
                self._result_code = value
        self._connection.send_headers(self._stream_id, status, kept)

    async def write(self, data: bytes) -> None:
        """Send a part of the body; waits while the caller reads slowly."""
        if self._omits_body or not data:
            return
        self._written_bytes += len(data)
        self._connection.send_data(self._stream_id, data, end=False)
        await self._connection.wait_sendable(self._stream_id, SEND_BUFFER_BYTES)

    async def finish(self) -> None:
        """Mark the answer as complete, or reset it if its length is wrong."""
        if (
            self._content_length is not None
            and not self._omits_body
            and self._content_length != self._written_bytes
        ):
            self._reset_stream()
            return
        self._ending = "whole"
        self._connection.send_data(self._stream_id, b"", end=True)

    async def abort(self, error: ResultError) -> None:
        """Reset the stream, so that the caller detects a truncated answer."""
        self._result_code = str(error.code.number)
        self._reset_stream()

    def _reset_stream(self) -> None:
        self._ending = "reset"
        self._connection.reset_stream(self._stream_id, H3_INTERNAL_ERROR)


class RequestBody:
    """Body of a request; it buffers at most the flow control credit of the stream.

    Args:
        connection: Connection of the stream.
        stream_id: ID of the stream.
        expects_continue: Whether the caller waits for the status 100.
    """

    __slots__ = (
        "_arrived",
        "_chunks",
        "_complete",
        "_connection",
        "_expects_continue",
        "_received_bytes",
        "_stream_id",
        "_withheld",
    )

    def __init__(
        self, connection: "Connection", stream_id: int, expects_continue: bool
    ) -> None:
        self._connection = connection
        self._stream_id = stream_id
        self._expects_continue = expects_continue
        self._chunks: deque[bytes] = deque()
        self._arrived = asyncio.Event()
        self._complete = False
        self._received_bytes = 0
        self._withheld = 0

    @property
    def received_bytes(self) -> int:
        """Number of bytes that have arrived."""
        return self._received_bytes

    @property
    def complete(self) -> bool:
        """Whether the whole body has arrived."""
        return self._complete

    def add_chunk(self, data: bytes, ended: bool) -> None:
        """Add a chunk, whose credit is withheld until it is consumed."""
        if data:
            self._received_bytes += len(data)
            self._withheld += len(data)
            self._connection.hold_credit(self._stream_id, len(data))
            self._chunks.append(data)
        self._complete = self._complete or ended
        self._arrived.set()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield chunks until the end of the body."""
        if self._expects_continue and not self._received_bytes and not self._complete:
            self._connection.send_headers(self._stream_id, 100, [])
        while True:
            while self._chunks:
                chunk = self._chunks.popleft()
                yield chunk
                self._release(len(chunk))
            if self._complete:
                return
            self._arrived.clear()
            await self._arrived.wait()

    def discard(self) -> None:
        """Drop the chunks that are not consumed and grant their credit."""
        self._chunks.clear()
        self._release(self._withheld)

    def _release(self, size: int) -> None:
        size = min(size, self._withheld)
        if size:
            self._withheld -= size
            self._connection.release_credit(self._stream_id, size)


class Exchange:
    """A request and its answer.

    Args:
        connection: Connection of the stream.
        stream_id: ID of the stream.
        fields: Header fields of the request.
        body_limit: Largest allowed body in bytes.
        is_feed: Whether the answer is a feed, which stays open.
        span: Span of the connection.
    """

    __slots__ = (
        "_body",
        "_body_limit",
        "_cancelled",
        "_connection",
        "_failure",
        "_fields",
        "_is_feed",
        "_running",
        "_span",
        "_stream_id",
        "_task",
        "_writer",
    )

    def __init__(
        self,
        connection: "Connection",
        stream_id: int,
        fields: ValidFields | InvalidFields,
        body_limit: int,
        is_feed: bool,
        span: Span,
    ) -> None:
        match fields:
            case ValidFields(method=method, expects_continue=expects):
                pass
            case InvalidFields():
                method, expects = "", False
        self._connection = connection
        self._stream_id = stream_id
        self._fields = fields
        self._body_limit = body_limit
        self._is_feed = is_feed
        self._span = span
        self._body = RequestBody(connection, stream_id, expects)
        self._writer = StreamWriter(connection, stream_id, method)
        self._failure: ResultError | None = None
        self._cancelled = False
        self._running = False
        self._task: asyncio.Task[None] | None = None

    @property
    def is_feed(self) -> bool:
        """Whether the answer is a feed, which stays open."""
        return self._is_feed

    @property
    def task(self) -> asyncio.Task[None] | None:
        """Task that runs the request."""
        return self._task

    def start(self, serving: ServingPlugin, metrics: FrontendMetrics) -> None:
        """Start the task that runs the request."""
        coroutine = self._run(serving, metrics)
        name = f"request stream {self._stream_id}"
        self._task = asyncio.get_running_loop().create_task(coroutine, name=name)

    def receive_body(self, data: bytes, ended: bool) -> None:
        """Receive a part of the body."""
        self._body.add_chunk(data, ended)
        if self._body.received_bytes > self._body_limit:
            detail = f"request body exceeds the limit of {self._body_limit} bytes"
            code = BODY_EXCEEDED if self._running else BODY_TOO_LARGE
            self.fail(ResultError(code, detail))

    def fail(self, error: ResultError) -> None:
        """End the request and answer with an error, or reset the stream."""
        if self._failure is None:
            self._failure = error
            self.cancel()

    def cancel(self) -> None:
        """End the request without an answer."""
        self._cancelled = True
        # A task that has not started yet is not cancelled, because its cleanup would
        # not run.
        if self._task is not None and self._running:
            self._task.cancel()

    async def _run(self, serving: ServingPlugin, metrics: FrontendMetrics) -> None:
        metrics.requests_open.inc()
        started_at = now()
        self._running = True
        try:
            if self._cancelled:
                raise asyncio.CancelledError
            await self._answer(serving)
        except asyncio.CancelledError:
            if self._failure is None:
                self._connection.reset_stream(self._stream_id, H3_REQUEST_CANCELLED)
                raise
            await write_error(self._writer, self._failure)
        except Exception as error:
            REQUEST_TASK_FAILED.log(_logger, error=repr(error))
            failure = ResultError(REQUEST_FAILED, type(error).__name__)
            await write_error(self._writer, failure)
        finally:
            self._body.discard()
            if not self._body.complete:
                self._connection.stop_receiving(self._stream_id, H3_NO_ERROR)
            writer = self._writer
            metrics.requests_open.dec()
            if writer.first_byte_at is not None:
                metrics.first_byte_seconds.observe(writer.first_byte_at - started_at)
            metrics.requests.labels(
                str(writer.status), writer.result_code, writer.ending
            ).inc()

    async def _answer(self, serving: ServingPlugin) -> None:
        match self._fields:
            case InvalidFields(error):
                await write_error(self._writer, error)
            case ValidFields(content_length=length) if (
                length is not None and length > self._body_limit
            ):
                detail = (
                    f"body has {length} bytes, the limit is {self._body_limit} bytes"
                )
                error = ResultError(BODY_TOO_LARGE, detail)
                await write_error(self._writer, error)
            case ValidFields():
                await self._serve(serving, self._fields)

    async def _serve(self, serving: ServingPlugin, fields: ValidFields) -> None:
        span = request_span(fields.method, fields.header("traceparent"), self._span)
        request = Request(
            method=fields.method,
            path=fields.path,
            headers=fields.headers,
            body=self._body.chunks(),
            trace_context=trace_context(span),
        )
        try:
            await serving.handle(request, self._writer)
        finally:
            span.set_attribute("http.response.status_code", self._writer.status)
            span.end()

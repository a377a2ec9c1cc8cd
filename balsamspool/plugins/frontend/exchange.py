"""One request stream and its answer."""

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

# Answers wait while the caller has not acknowledged this many bytes of the stream.
SEND_BUFFER_BYTES = 256 * 1024

H3_NO_ERROR = 0x100
H3_INTERNAL_ERROR = 0x102
H3_REQUEST_CANCELLED = 0x10C

_NO_BODY_STATUS = frozenset((204, 304))
# Fields that HTTP/3 forbids (RFC 9114, 4.2).
_FORBIDDEN = frozenset(
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
        "_bodyless",
        "_connection",
        "_ending",
        "_expected",
        "_first_byte_at",
        "_result",
        "_status",
        "_stream_id",
        "_written",
    )

    def __init__(self, connection: "Connection", stream_id: int, method: str) -> None:
        self._connection = connection
        self._stream_id = stream_id
        self._bodyless = method == "HEAD"
        self._expected: int | None = None
        self._written = 0
        self._status = 0
        self._first_byte_at: float | None = None
        self._result = ""
        self._ending = "cancelled"

    @property
    def started(self) -> bool:
        """Whether the status has been sent."""
        return self._status != 0

    @property
    def status(self) -> int:
        """Status that has been sent, 0 for none."""
        return self._status

    @property
    def first_byte_at(self) -> float | None:
        """Event loop time in seconds at which the status was sent, None for never."""
        return self._first_byte_at

    @property
    def result(self) -> str:
        """Result code of an answer that the system made, empty for none."""
        return self._result

    @property
    def ending(self) -> str:
        """How the answer ended: ``whole``, ``reset`` or ``cancelled``."""
        return self._ending

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and header fields."""
        self._status = status
        self._first_byte_at = now()
        self._bodyless = self._bodyless or status in _NO_BODY_STATUS
        kept = [pair for pair in headers if pair[0] not in _FORBIDDEN]
        for name, value in kept:
            if name == "content-length" and value.isdigit():
                self._expected = int(value)
            elif name == RESULT_HEADER:
                self._result = value
        self._connection.send_headers(self._stream_id, status, kept)

    async def write(self, data: bytes) -> None:
        """Send a part of the body; waits while the caller reads slowly."""
        if self._bodyless or not data:
            return
        self._written += len(data)
        self._connection.send_data(self._stream_id, data, end=False)
        await self._connection.wait_sendable(self._stream_id, SEND_BUFFER_BYTES)

    async def finish(self) -> None:
        """Mark the answer as whole, unless it differs from the length it announced."""
        if (
            self._expected is not None
            and not self._bodyless
            and self._expected != self._written
        ):
            self._reset()
            return
        self._ending = "whole"
        self._connection.send_data(self._stream_id, b"", end=True)

    async def abort(self, error: ResultError) -> None:
        """Reset the stream, so that a cut answer never looks whole."""
        self._result = str(error.code.number)
        self._reset()

    def _reset(self) -> None:
        self._ending = "reset"
        self._connection.reset_stream(self._stream_id, H3_INTERNAL_ERROR)


class RequestBody:
    """Body of a request as it arrives; it holds no more than the stream's credit.

    Args:
        connection: Connection of the stream.
        stream_id: ID of the stream.
        expects_continue: Whether the caller waits for the status 100.
    """

    __slots__ = (
        "_arrived",
        "_chunks",
        "_connection",
        "_ended",
        "_expects_continue",
        "_held",
        "_received",
        "_stream_id",
    )

    def __init__(
        self, connection: "Connection", stream_id: int, expects_continue: bool
    ) -> None:
        self._connection = connection
        self._stream_id = stream_id
        self._expects_continue = expects_continue
        self._chunks: deque[bytes] = deque()
        self._arrived = asyncio.Event()
        self._ended = False
        self._received = 0
        self._held = 0

    @property
    def received(self) -> int:
        """Bytes that have arrived."""
        return self._received

    @property
    def ended(self) -> bool:
        """Whether the whole body has arrived."""
        return self._ended

    def feed(self, data: bytes, ended: bool) -> None:
        """Add a chunk, whose credit is withheld until it is consumed."""
        if data:
            self._received += len(data)
            self._held += len(data)
            self._connection.hold_credit(self._stream_id, len(data))
            self._chunks.append(data)
        self._ended = self._ended or ended
        self._arrived.set()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield chunks until the body has ended."""
        if self._expects_continue and not self._received and not self._ended:
            self._connection.send_headers(self._stream_id, 100, [])
        while True:
            while self._chunks:
                chunk = self._chunks.popleft()
                yield chunk
                self._release(len(chunk))
            if self._ended:
                return
            self._arrived.clear()
            await self._arrived.wait()

    def discard(self) -> None:
        """Drop what nobody will read and grant its credit."""
        self._chunks.clear()
        self._release(self._held)

    def _release(self, size: int) -> None:
        size = min(size, self._held)
        if size:
            self._held -= size
            self._connection.release_credit(self._stream_id, size)


class Exchange:
    """One request and its answer.

    Args:
        connection: Connection of the stream.
        stream_id: ID of the stream.
        fields: Header fields of the request.
        body_limit: Largest body in bytes.
        is_feed: Whether the answer stays open.
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
        """Whether the answer stays open."""
        return self._is_feed

    @property
    def task(self) -> asyncio.Task[None] | None:
        """Task that runs the request."""
        return self._task

    def start(self, serving: ServingPlugin, metrics: FrontendMetrics) -> None:
        """Start the task that runs the request."""
        work = self._run(serving, metrics)
        name = f"request stream {self._stream_id}"
        self._task = asyncio.get_running_loop().create_task(work, name=name)

    def feed(self, data: bytes, ended: bool) -> None:
        """Take a part of the body."""
        self._body.feed(data, ended)
        if self._body.received > self._body_limit:
            detail = f"more than {self._body_limit} bytes arrived"
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
        # A task that is cancelled before its first step would never clean up.
        if self._task is not None and self._running:
            self._task.cancel()

    async def _run(self, serving: ServingPlugin, metrics: FrontendMetrics) -> None:
        metrics.requests_open.inc()
        began = now()
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
            if not self._body.ended:
                self._connection.stop_receiving(self._stream_id, H3_NO_ERROR)
            writer = self._writer
            metrics.requests_open.dec()
            if writer.first_byte_at is not None:
                metrics.first_byte_seconds.observe(writer.first_byte_at - began)
            metrics.requests.labels(
                str(writer.status), writer.result, writer.ending
            ).inc()

    async def _answer(self, serving: ServingPlugin) -> None:
        match self._fields:
            case InvalidFields(error):
                await write_error(self._writer, error)
            case ValidFields(content_length=length) if (
                length is not None and length > self._body_limit
            ):
                detail = f"{length} bytes, of which {self._body_limit} are allowed"
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

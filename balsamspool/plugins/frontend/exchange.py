"""One request stream and its answer."""

import asyncio
from collections.abc import AsyncIterator
from typing import TYPE_CHECKING

from balsamspool.kernel.errors import ResultError
from balsamspool.requests import Request, ResponseWriter
from balsamspool.requests.request import Headers

if TYPE_CHECKING:
    from balsamspool.plugins.frontend.connection import Connection

# Answers wait while the caller has not acknowledged this many bytes of the stream.
SEND_BUFFER_BYTES = 256 * 1024

_PSEUDO_METHOD = ":method"
_PSEUDO_PATH = ":path"
_PSEUDO_AUTHORITY = ":authority"


class StreamWriter(ResponseWriter):
    """Writes an answer to an HTTP/3 stream.

    Args:
        connection: Connection of the stream.
        stream_id: ID of the stream.
    """

    __slots__ = ("_connection", "_started", "_stream_id")

    def __init__(self, connection: "Connection", stream_id: int) -> None:
        self._connection = connection
        self._stream_id = stream_id
        self._started = False

    @property
    def started(self) -> bool:
        """Whether the status has been sent."""
        return self._started

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and header fields."""
        self._started = True
        self._connection.send_headers(self._stream_id, status, headers)

    async def write(self, data: bytes) -> None:
        """Send a part of the body; waits while the caller reads slowly."""
        self._connection.send_data(self._stream_id, data, end=False)
        await self._connection.wait_sendable(self._stream_id, SEND_BUFFER_BYTES)

    async def finish(self) -> None:
        """Mark the answer as whole."""
        self._connection.send_data(self._stream_id, b"", end=True)

    async def abort(self, error: ResultError) -> None:
        """Reset the stream, so that a cut answer never looks whole."""
        self._connection.reset_stream(self._stream_id)


class RequestBody:
    """Body of a request as it arrives."""

    __slots__ = ("_chunks",)

    def __init__(self) -> None:
        self._chunks: asyncio.Queue[bytes | None] = asyncio.Queue()

    def feed(self, data: bytes, ended: bool) -> None:
        """Add a chunk."""
        if data:
            self._chunks.put_nowait(data)
        if ended:
            self._chunks.put_nowait(None)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield chunks until the body has ended."""
        while (chunk := await self._chunks.get()) is not None:
            yield chunk


def make_request(fields: list[tuple[bytes, bytes]], body: RequestBody) -> Request:
    """Build a request from HTTP/3 header fields.

    Args:
        fields: Header fields with pseudo fields.
        body: Body of the request.

    Returns:
        The request.
    """
    decoded = [
        (name.decode("latin-1"), value.decode("latin-1")) for name, value in fields
    ]
    pseudo = {name: value for name, value in decoded if name.startswith(":")}
    headers = [pair for pair in decoded if not pair[0].startswith(":")]
    if _PSEUDO_AUTHORITY in pseudo:
        headers.append(("host", pseudo[_PSEUDO_AUTHORITY]))
    return Request(
        method=pseudo.get(_PSEUDO_METHOD, ""),
        path=pseudo.get(_PSEUDO_PATH, ""),
        headers=headers,
        body=body.chunks(),
    )

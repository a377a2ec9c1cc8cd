"""HTTP client for GET requests, over one connection or one for each request."""

import asyncio
import socket
from typing import cast

import msgspec
from httptools import HttpParserError, HttpResponseParser
from msgspec import Struct

CONNECT_SECONDS = 1.0
# Idle time before the first TCP keep-alive probe, and interval between probes.
PROBE_SECONDS = 1
# Number of unanswered keep-alive probes after which a connection is closed. This closes
# a connection after 3 s without replies, because processes are expected to receive
# changes again 4 s after their connections have stopped responding.
LOST_PROBES = 2
# Largest accepted body, well above a page of the store and a catalog for a peer.
MAX_BODY_BYTES = 16 << 20


class Response(Struct):
    """An HTTP response.

    Attributes:
        status: HTTP status.
        headers: Values by the name of the header in lower case.
        body: Body.
    """

    status: int = 0
    headers: dict[str, str] = msgspec.field(default_factory=dict)
    body: bytearray = msgspec.field(default_factory=bytearray)


class _ResponseReader:
    """Reads one response from the octets of a connection."""

    __slots__ = ("complete", "keep_alive", "parser", "response", "surplus")

    def __init__(self) -> None:
        self.parser = HttpResponseParser(self)
        self.response = Response()
        self.complete = False
        self.keep_alive = False
        # Whether octets of a further response have arrived, which nobody requested.
        self.surplus = False

    def on_message_begin(self) -> None:
        """Record the start of a response."""
        self.surplus = self.complete

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        if not self.surplus:
            key = name.decode("latin-1").lower()
            self.response.headers[key] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Record the status."""
        if not self.surplus:
            self.response.status = self.parser.get_status_code()
            self.keep_alive = self.parser.should_keep_alive()

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        if not self.surplus:
            self.response.body += data

    def on_message_complete(self) -> None:
        """Record that the response is complete."""
        self.complete = True


class _Stream(asyncio.Protocol):
    """One TCP connection, which expects a response only while a request waits."""

    __slots__ = ("_arrived", "_reader", "_transport")

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._reader: _ResponseReader | None = None
        self._arrived: asyncio.Future[None] | None = None

    @property
    def usable(self) -> bool:
        """Whether another request can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse a part of the response."""
        reader, arrived = self._reader, self._arrived
        if reader is None or arrived is None or arrived.done():
            # Nobody waits for these octets. They may be a second copy of an earlier
            # response, which would be taken for the response to the next request.
            self.abort()
            return
        try:
            reader.parser.feed_data(data)
        except HttpParserError as error:
            arrived.set_exception(OSError(f"response is not HTTP: {error}"))
            return
        if len(reader.response.body) > MAX_BODY_BYTES:
            arrived.set_exception(OSError("the response is too large"))
            self.abort()
            return
        if reader.complete:
            arrived.set_result(None)
            if reader.surplus or not reader.keep_alive:
                self.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the request that waits."""
        self._transport = None
        if self._arrived is not None and not self._arrived.done():
            reason = ConnectionResetError("the server closed the connection")
            self._arrived.set_exception(reason)

    def abort(self) -> None:
        """Close the connection and discard the data in transit."""
        if self._transport is not None:
            self._transport.abort()
            self._transport = None

    async def exchange(self, request: bytes) -> Response:
        """Send a request and wait for the whole response.

        Raises:
            OSError: If another request waits, or the connection fails.
        """
        assert self._transport is not None
        if self._arrived is not None:
            raise OSError("another request waits for its response")
        reader = self._reader = _ResponseReader()
        self._arrived = asyncio.get_running_loop().create_future()
        self._transport.write(request)
        try:
            await self._arrived
        finally:
            self._reader = self._arrived = None
        return reader.response


class HttpConnection:
    """Sends one GET request at a time over a connection that is opened when needed.

    Args:
        address: IPv4 address of the server.
        port: Port of the server.
    """

    __slots__ = ("_address", "_port", "_stream")

    def __init__(self, address: str, port: int) -> None:
        self._address = address
        self._port = port
        self._stream: _Stream | None = None

    async def get(self, target: str, seconds: float) -> Response:
        """Send a GET request.

        Args:
            target: Path and query.
            seconds: Longest time until the whole response has arrived.

        Raises:
            OSError: If the connection fails or the response is not HTTP.
            TimeoutError: If the response does not arrive in time.
        """
        host = f"{self._address}:{self._port}"
        request = f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode("ascii")
        try:
            async with asyncio.timeout(seconds):
                stream = await self._open()
                return await stream.exchange(request)
        except BaseException:
            # A late response must not be taken for the response to the next request.
            self.close()
            raise

    def close(self) -> None:
        """Abort the connection and discard the data in transit."""
        if self._stream is not None:
            self._stream.abort()
        self._stream = None

    async def _open(self) -> _Stream:
        """Return the open connection, or open one."""
        if self._stream is None or not self._stream.usable:
            loop = asyncio.get_running_loop()
            async with asyncio.timeout(CONNECT_SECONDS):
                transport, stream = await loop.create_connection(
                    _Stream, self._address, self._port
                )
            _enable_keepalive(transport.get_extra_info("socket"))
            self._stream = stream
        return self._stream


class HttpClient:
    """Sends GET requests that may overlap, each over a connection of its own.

    No request delays or ends another one, and a new connection reaches a server to
    which an open one went silent.

    Args:
        address: IPv4 address of the server.
        port: Port of the server.
    """

    __slots__ = ("_address", "_connections", "_port")

    def __init__(self, address: str, port: int) -> None:
        self._address = address
        self._port = port
        self._connections: set[HttpConnection] = set()

    async def get(self, target: str, seconds: float) -> Response:
        """Send a GET request over a new connection, as `HttpConnection.get` does."""
        connection = HttpConnection(self._address, self._port)
        self._connections.add(connection)
        try:
            return await connection.get(target, seconds)
        finally:
            self._connections.discard(connection)
            connection.close()

    def close(self) -> None:
        """Abort all connections and discard the data in transit."""
        while self._connections:
            self._connections.pop().close()


def _enable_keepalive(connection: socket.socket) -> None:
    """Let the system detect a lost connection while a request waits for a response."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_SECONDS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_SECONDS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, LOST_PROBES)

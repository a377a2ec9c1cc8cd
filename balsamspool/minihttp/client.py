"""HTTP client that sends one request at a time."""

import asyncio
import socket
from asyncio import StreamReader, StreamWriter

import msgspec
from httptools import HttpParserError, HttpResponseParser
from msgspec import Struct

CONNECT_SECONDS = 1.0
READ_BYTES = 65_536
# Idle time before the first TCP keep-alive probe, and interval between probes.
PROBE_SECONDS = 1
# Number of unanswered keep-alive probes after which a connection is closed. This closes
# a connection after 3 s without replies, because processes are expected to receive
# changes again 4 s after their connections have stopped responding.
LOST_PROBES = 2


class Response(Struct):
    """An HTTP response, filled in by the parser.

    Attributes:
        status: HTTP status.
        body: Body.
        complete: Whether the whole response has arrived.
    """

    status: int = 0
    body: bytearray = msgspec.field(default_factory=bytearray)
    complete: bool = False

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """Record that the response is complete."""
        self.complete = True


class HttpConnection:
    """Sends one GET request at a time over a connection that is opened when needed.

    Args:
        address: IPv4 address of the server.
        port: Port of the server.
    """

    __slots__ = ("_address", "_port", "_reader", "_writer")

    def __init__(self, address: str, port: int) -> None:
        self._address = address
        self._port = port
        self._reader: StreamReader | None = None
        self._writer: StreamWriter | None = None

    async def get(self, target: str, seconds: float) -> Response:
        """Send a GET request.

        Args:
            target: Path and query.
            seconds: Longest time until the whole response has arrived.

        Raises:
            OSError: If the connection fails or the response is not HTTP.
            TimeoutError: If the response does not arrive in time.
        """
        try:
            async with asyncio.timeout(seconds):
                return await self._exchange(target)
        except HttpParserError as error:
            self.close()
            raise OSError(f"response is not HTTP: {error}") from error
        except BaseException:
            # A late response must not be taken for the response to the next request.
            self.close()
            raise

    def close(self) -> None:
        """Abort the connection and discard the data in transit."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None

    async def _exchange(self, target: str) -> Response:
        if self._reader is None or self._writer is None:
            async with asyncio.timeout(CONNECT_SECONDS):
                streams = await asyncio.open_connection(self._address, self._port)
            self._reader, self._writer = streams
            _enable_keepalive(self._writer.get_extra_info("socket"))
        host = f"{self._address}:{self._port}"
        head = f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n"
        self._writer.write(head.encode("ascii"))
        response = Response()
        parser = HttpResponseParser(response)
        while not response.complete:
            data = await self._reader.read(READ_BYTES)
            if not data:
                raise ConnectionResetError("the server closed the connection")
            parser.feed_data(data)
        response.status = parser.get_status_code()
        if not parser.should_keep_alive():
            self.close()
        return response


def _enable_keepalive(connection: socket.socket) -> None:
    """Let the system detect a lost connection while a request waits for a response."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_SECONDS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_SECONDS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, LOST_PROBES)

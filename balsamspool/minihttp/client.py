"""HTTP client that sends one request at a time."""

import asyncio
import socket
from asyncio import StreamReader, StreamWriter

import msgspec
from httptools import HttpParserError, HttpResponseParser
from msgspec import Struct

CONNECT_SECONDS = 1.0
READ_BYTES = 65_536
# A connection that answers no probe is given up after 3 s. Processes are expected to
# know of changes again 4 s after connections went silent.
PROBE_SECONDS = 1
LOST_PROBES = 2


class Response(Struct):
    """An answer, filled in by the parser.

    Attributes:
        status: HTTP status.
        body: Body.
        complete: Whether the whole answer has arrived.
    """

    status: int = 0
    body: bytearray = msgspec.field(default_factory=bytearray)
    complete: bool = False

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """Note that the answer has ended."""
        self.complete = True


class HttpConnection:
    """Sends one GET at a time over a connection that is opened when needed.

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
            seconds: Longest time until the whole answer has arrived.

        Raises:
            OSError: If the connection fails, or TimeoutError if time is up.
        """
        try:
            async with asyncio.timeout(seconds):
                return await self._exchange(target)
        except HttpParserError as error:
            self.close()
            raise OSError(f"answer is not HTTP: {error}") from error
        except BaseException:
            # An answer that comes later must not be taken for the next one.
            self.close()
            raise

    def close(self) -> None:
        """Give up the connection, and what is on its way."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None

    async def _exchange(self, target: str) -> Response:
        if self._reader is None or self._writer is None:
            async with asyncio.timeout(CONNECT_SECONDS):
                opened = await asyncio.open_connection(self._address, self._port)
            self._reader, self._writer = opened
            _probe_when_idle(self._writer.get_extra_info("socket"))
        host = f"{self._address}:{self._port}"
        head = f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n"
        self._writer.write(head.encode("ascii"))
        response = Response()
        parser = HttpResponseParser(response)
        while not response.complete:
            data = await self._reader.read(READ_BYTES)
            if not data:
                raise ConnectionResetError("the connection was closed")
            parser.feed_data(data)
        response.status = parser.get_status_code()
        if not parser.should_keep_alive():
            self.close()
        return response


def _probe_when_idle(opened: socket.socket) -> None:
    """Let the system notice a connection that went silent while a watch waits."""
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_SECONDS)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_SECONDS)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, LOST_PROBES)

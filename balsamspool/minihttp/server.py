"""Small HTTP server, one task for each connection."""

import asyncio
import logging
from asyncio import StreamReader, StreamWriter
from collections.abc import Awaitable, Callable

from httptools import HttpParserError, HttpRequestParser, parse_url
from msgspec import Struct

from balsamspool.kernel.events import PAGE_FAILED

_logger = logging.getLogger(__name__)

READ_BYTES = 4_096
# Time after which a connection that sends nothing is closed.
IDLE_SECONDS = 30.0
MAX_URL_BYTES = 2_048

_REASONS = {
    200: "OK",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


class Page(Struct, frozen=True):
    """An HTTP response.

    Attributes:
        status: HTTP status.
        body: Body.
        content_type: Type of the body.
    """

    status: int
    body: bytes
    content_type: str = "text/plain"


# Returns the page for a path and a query.
Handler = Callable[[str, str], Awaitable[Page]]


class _Request:
    """Collects the parts of one request for the parser."""

    __slots__ = ("complete", "url")

    def __init__(self) -> None:
        self.url = b""
        self.complete = False

    def on_message_begin(self) -> None:
        """Start a new request."""
        self.url = b""
        self.complete = False

    def on_url(self, url: bytes) -> None:
        """Append a part of the URL."""
        self.url = (self.url + url)[:MAX_URL_BYTES]

    def on_message_complete(self) -> None:
        """Record that the request is complete."""
        self.complete = True


class PageServer:
    """Answers GET requests at one address.

    Args:
        handler: Returns the page for a path and a query.
    """

    __slots__ = ("_handler", "_server")

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None

    async def start(self, address: str, port: int) -> None:
        """Listen at an address."""
        self._server = await asyncio.start_server(self._serve, address, port)

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        request = _Request()
        parser = HttpRequestParser(request)
        try:
            while data := await asyncio.wait_for(reader.read(READ_BYTES), IDLE_SECONDS):
                parser.feed_data(data)
                if request.complete:
                    await self._respond(request, writer)
                    request.complete = False
                    await asyncio.wait_for(writer.drain(), IDLE_SECONDS)
        except (HttpParserError, TimeoutError, OSError):
            # A malformed request or a lost or idle connection gets no response.
            pass
        finally:
            writer.close()

    async def _respond(self, request: _Request, writer: StreamWriter) -> None:
        url = parse_url(request.url)
        path, query = url.path or b"/", url.query or b""
        page = await self._page(path.decode("latin-1"), query.decode("latin-1"))
        head = (
            f"HTTP/1.1 {page.status} {_REASONS.get(page.status, 'Unknown')}\r\n"
            f"Content-Type: {page.content_type}\r\n"
            f"Content-Length: {len(page.body)}\r\n\r\n"
        )
        writer.write(head.encode("latin-1") + page.body)

    async def _page(self, path: str, query: str) -> Page:
        try:
            return await self._handler(path, query)
        except Exception as error:  # one request must not end the connection's task
            PAGE_FAILED.log(_logger, path=path, error=repr(error))
            return Page(500, b"internal error\n")

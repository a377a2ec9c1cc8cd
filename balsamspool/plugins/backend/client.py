"""HTTP client of one backend server."""

import asyncio
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
    TCPConnector,
)
from yarl import URL

from balsamspool.kernel.clock import Deadline
from balsamspool.kernel.errors import ResultError
from balsamspool.plugins.backend.codes import (
    BACKEND_FAILED,
    BACKEND_TIMEOUT,
    BACKEND_UNREACHABLE,
)
from balsamspool.requests.answer import RESULT_HEADER
from balsamspool.requests.request import Headers

CHUNK_BYTES = 64 * 1024
CONNECT_TIMEOUT_SECONDS = 2.0
_BODYLESS_STATUS = frozenset((204, 304))

# Header fields that belong to one connection, not to the message (RFC 9110, 7.6.1).
_CONNECTION_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


@dataclass(slots=True)
class BackendAnswer:
    """The answer of a backend server, whose body is read as it arrives.

    Attributes:
        status: HTTP status.
        headers: Header fields in lower case.
        response: Response of the HTTP client.
    """

    status: int
    headers: list[tuple[str, str]]
    response: ClientResponse

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives."""
        async for chunk in self.response.content.iter_chunked(CHUNK_BYTES):
            yield chunk


class BackendClient:
    """Sends each request to one backend server at most once.

    Args:
        address: Base URL of the backend server.
    """

    __slots__ = ("_address", "_session")

    def __init__(self, address: str) -> None:
        self._address = address
        # aiohttp resends a request with an idempotent method if a reused connection
        # fails. Connections are therefore never reused.
        connector = TCPConnector(limit=0, force_close=True)
        self._session = ClientSession(
            connector=connector, auto_decompress=False, skip_auto_headers=["User-Agent"]
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    @asynccontextmanager
    async def send(
        self,
        method: str,
        path: str,
        headers: list[tuple[str, str]],
        body: AsyncIterator[bytes] | bytes | None,
        deadline: Deadline | None,
    ) -> AsyncIterator[BackendAnswer]:
        """Send a request and yield its answer.

        Leaving the context before the answer is complete cancels the request.

        Args:
            method: HTTP method.
            path: Path with query.
            headers: Header fields.
            body: The body or an iterator of its chunks, None for no body.
            deadline: Time by which the answer must be complete, None for no limit.

        Yields:
            The answer.

        Raises:
            ResultError: With code 1701 if no connection was opened, 1702 or 1703 if
                the outcome is unknown. An answer whose end cannot be recognized fails
                with 1702.
        """
        timeout = ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_SECONDS)
        try:
            async with (
                asyncio.timeout_at(deadline.at if deadline else None),
                self._session.request(
                    method,
                    # Without `encoded`, yarl resolves dot segments and decodes escapes.
                    URL(self._address + path, encoded=True),
                    headers=headers,
                    data=body,
                    timeout=timeout,
                    allow_redirects=False,
                ) as response,
            ):
                if not _shows_its_end(method, response):
                    detail = f"{method} {path}: the answer has no length"
                    raise ResultError(BACKEND_FAILED, detail)
                fields = without_connection_headers(response.headers.items())
                # Only balsamspool itself may send this header field to callers.
                fields = [pair for pair in fields if pair[0] != RESULT_HEADER]
                yield BackendAnswer(response.status, fields, response)
        except (ClientConnectorError, ConnectionTimeoutError) as error:
            raise ResultError(BACKEND_UNREACHABLE, str(error)) from error
        except TimeoutError as error:
            raise ResultError(BACKEND_TIMEOUT, f"{method} {path}") from error
        except (ClientError, OSError) as error:
            # aiohttp wraps an exception that the iterator of the request body raised.
            if isinstance(error.__cause__, ResultError):
                raise error.__cause__ from error
            raise ResultError(BACKEND_FAILED, repr(error)) from error


def _shows_its_end(method: str, response: ClientResponse) -> bool:
    """Return whether a complete body can be told from one that broke off.

    A body without a length and without chunks ends when the connection closes, which
    also happens when the backend server crashes.
    """
    if method == "HEAD" or response.status in _BODYLESS_STATUS:
        return True
    encoding = response.headers.get("Transfer-Encoding", "").lower()
    return "Content-Length" in response.headers or encoding.endswith("chunked")


def without_connection_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return header fields in lower case without connection headers.

    Args:
        headers: Header fields. Fields that ``Connection`` lists are left out too.
    """
    fields = [(name.lower(), value) for name, value in headers]
    listed = {
        option.strip().lower()
        for name, value in fields
        if name == "connection"
        for option in value.split(",")
    }
    dropped = _CONNECTION_HEADERS | listed
    return [pair for pair in fields if pair[0] not in dropped]

"""HTTP client of one backend server."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    TCPConnector,
)

from balsamspool.kernel.clock import Deadline
from balsamspool.kernel.errors import ResultError
from balsamspool.plugins.backend.codes import (
    BACKEND_FAILED,
    BACKEND_TIMEOUT,
    BACKEND_UNREACHABLE,
)

CHUNK_BYTES = 64 * 1024
CONNECT_SECONDS = 2.0

# Header fields that belong to one connection, not to the message (RFC 9110, 7.6.1).
_CONNECTION_HEADERS = frozenset(
    ("connection", "keep-alive", "transfer-encoding", "upgrade", "te", "trailer")
)


@dataclass(slots=True)
class BackendAnswer:
    """The answer of a backend server while it is read.

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
    """Sends requests to one backend server, each once.

    Args:
        address: Base URL of the backend server.
    """

    __slots__ = ("_address", "_session")

    def __init__(self, address: str) -> None:
        self._address = address
        # The HTTP client resends idempotent methods when a reused connection drops.
        # A connection that is never reused makes that impossible.
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
        body: AsyncIterator[bytes] | None,
        deadline: Deadline | None,
    ) -> AsyncIterator[BackendAnswer]:
        """Send a request and yield its answer; leaving the context cancels it.

        Args:
            method: HTTP method.
            path: Path with query.
            headers: Header fields.
            body: Chunks of the body, None for no body.
            deadline: Time by which the answer must be whole, None for no limit.

        Yields:
            The answer.

        Raises:
            ResultError: With code 1701 if no connection was opened, 1702 or 1703 if
                the outcome is unknown.
        """
        timeout = ClientTimeout(total=None, sock_connect=CONNECT_SECONDS)
        try:
            async with (
                asyncio.timeout_at(deadline.at if deadline else None),
                self._session.request(
                    method,
                    self._address + path,
                    headers=headers,
                    data=body,
                    timeout=timeout,
                    allow_redirects=False,
                ) as response,
            ):
                yield BackendAnswer(
                    response.status, _answer_headers(response), response
                )
        except ClientConnectorError as error:
            raise ResultError(BACKEND_UNREACHABLE, str(error)) from error
        except TimeoutError as error:
            raise ResultError(BACKEND_TIMEOUT, f"{method} {path}") from error
        except (ClientError, OSError) as error:
            raise ResultError(BACKEND_FAILED, repr(error)) from error


def _answer_headers(response: ClientResponse) -> list[tuple[str, str]]:
    return [
        (name.lower(), value)
        for name, value in response.headers.items()
        if name.lower() not in _CONNECTION_HEADERS
    ]

"""Reads one page of the admin servers of several processes."""

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from aiohttp import ClientError, ClientSession, ClientTimeout

from balsamspool.commands.codes import ARGUMENT_INVALID
from balsamspool.commands.fleet import CONCURRENT_READS, STATUS_SECONDS
from balsamspool.kernel.errors import ResultError
from balsamspool.kernel.settings import split_endpoint


@dataclass(frozen=True, slots=True)
class AdminAnswer:
    """Answer of one process.

    Attributes:
        endpoint: Address and admin port of the process.
        status: HTTP status, None if there was no answer.
        body: Body of the answer.
    """

    endpoint: str
    status: int | None = None
    body: bytes = b""


def check_endpoints(endpoints: Sequence[str]) -> None:
    """Check the admin endpoints that are given to a command.

    Raises:
        ResultError: With code 2002 if there are none, or if one is not valid.
    """
    if not endpoints:
        raise ResultError(
            ARGUMENT_INVALID, "no endpoints given; name addresses with admin ports"
        )
    for endpoint in endpoints:
        check_endpoint(endpoint)


def check_endpoint(endpoint: str, name: str = "endpoint") -> None:
    """Check an argument that is an IPv4 address with a port.

    Args:
        endpoint: The argument.
        name: Name of the argument.

    Raises:
        ResultError: With code 2002 if the argument is not valid.
    """
    try:
        split_endpoint(str(endpoint))
    except ValueError as error:
        raise ResultError(
            ARGUMENT_INVALID, f"{name} {str(endpoint)[:60]!r}: {error}"
        ) from error


async def read_pages(
    endpoints: Sequence[str], path: str, query: Mapping[str, str] | None = None
) -> list[AdminAnswer]:
    """Read a page of several processes.

    Args:
        endpoints: Address and admin port of each process.
        path: Path of the page.
        query: Arguments of the query.
    """
    limit = asyncio.Semaphore(CONCURRENT_READS)
    timeout = ClientTimeout(total=STATUS_SECONDS)
    async with ClientSession(timeout=timeout) as session:

        async def read(endpoint: str) -> AdminAnswer:
            url = f"http://{endpoint}{path}"
            try:
                async with limit, session.get(url, params=query) as answer:
                    return AdminAnswer(endpoint, answer.status, await answer.read())
            except (ClientError, TimeoutError, OSError):
                return AdminAnswer(endpoint)

        return list(await asyncio.gather(*(read(e) for e in endpoints)))

"""Command ``inspect``: state of the processes that serve opaque flows."""

import asyncio
from dataclasses import dataclass
from typing import Any

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout

from balsamspool.commands.codes import ARGUMENT_INVALID, ExitCode
from balsamspool.commands.fleet import CONCURRENT_READS, STATUS_SECONDS
from balsamspool.commands.output import print_json, print_table
from balsamspool.commands.registry import command
from balsamspool.kernel.errors import ResultError
from balsamspool.kernel.settings import split_endpoint

_HEADER = (
    "instance",
    "role",
    "failure domain",
    "state",
    "routes",
    "revision",
    "catalog age s",
    "flows",
    "in work",
    "avoided",
)


@dataclass(frozen=True, slots=True)
class ProcessStatus:
    """Status page of one process.

    Attributes:
        endpoint: Address and admin port of the process.
        page: The page, None if there was no answer.
    """

    endpoint: str
    page: dict[str, Any] | None

    def value(self, plugin: str, name: str) -> Any:
        """Return a value of a plug-in's status, or None."""
        if self.page is None:
            return None
        return self.page["plugins"].get(plugin, {}).get(name)


@command("inspect")
async def inspect(*endpoints: str, json: bool = False) -> int:
    """Show entries and agents for opaque flows, which no instance list contains.

    Exits with 0, or with 1 if a process did not answer, or if entries have different
    route tables in force.

    Args:
        *endpoints: Address and admin port of each process, such as 10.1.0.10:9464.
        json: Print the status pages as JSON in place of a table.
    """
    if not endpoints:
        raise ResultError(
            ARGUMENT_INVALID, "no endpoints given; name addresses with admin ports"
        )
    _check_endpoints(endpoints)
    found = await _read_all(endpoints)
    if json:
        print_json({status.endpoint: status.page for status in found})
    else:
        print_table(_HEADER, [_row(status) for status in found])
    tables = {status.value("catalog", "routes_version") for status in found}
    complete = all(status.page is not None for status in found)
    met = complete and len(tables - {None}) <= 1
    return ExitCode.OK if met else ExitCode.NOT_MET


def _check_endpoints(endpoints: tuple[str, ...]) -> None:
    for endpoint in endpoints:
        try:
            split_endpoint(endpoint)
        except ValueError as error:
            raise ResultError(ARGUMENT_INVALID, str(error)) from error


async def _read_all(endpoints: tuple[str, ...]) -> list[ProcessStatus]:
    limit = asyncio.Semaphore(CONCURRENT_READS)
    timeout = ClientTimeout(total=STATUS_SECONDS)
    async with ClientSession(timeout=timeout) as session:
        reads = [_read(session, limit, endpoint) for endpoint in endpoints]
        return list(await asyncio.gather(*reads))


async def _read(
    session: ClientSession, limit: asyncio.Semaphore, endpoint: str
) -> ProcessStatus:
    try:
        async with limit, session.get(f"http://{endpoint}/status") as answer:
            page = msgspec.json.decode(await answer.read())
    except (ClientError, TimeoutError, OSError, msgspec.DecodeError):
        return ProcessStatus(endpoint, None)
    return ProcessStatus(endpoint, page)


def _row(status: ProcessStatus) -> tuple[Any, ...]:
    page = status.page
    if page is None:
        return (status.endpoint, None, None, "unreachable", *[None] * 6)
    age = status.value("catalog", "age_seconds")
    flows = status.value("datagram-entry", "flows")
    avoided = status.value("datagram-entry", "avoided")
    if flows is None:
        flows = status.value("datagram-agent", "flows")
    return (
        page["instance"],
        page["role"],
        page["failure_domain"],
        page["state"],
        status.value("catalog", "routes_version"),
        status.value("catalog", "revision"),
        None if age is None else round(age, 1),
        flows,
        status.value("datagram-agent", "in_work"),
        None if avoided is None else len(avoided),
    )

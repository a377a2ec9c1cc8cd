"""Command ``inspect``: state of the processes that serve opaque flows."""

from dataclasses import dataclass
from typing import Any

import msgspec

from balsamspool.commands.admin_pages import (
    AdminAnswer,
    check_endpoints,
    read_pages,
)
from balsamspool.commands.codes import ExitCode
from balsamspool.commands.output import print_json, print_table
from balsamspool.commands.registry import command

_HEADER = (
    "instance",
    "role",
    "failure domain",
    "state",
    "routes",
    "revision",
    "catalog age s",
    "out of service",
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
    check_endpoints(endpoints)
    found = [_decode(answer) for answer in await read_pages(endpoints, "/status")]
    if json:
        print_json({status.endpoint: status.page for status in found})
    else:
        print_table(_HEADER, [_row(status) for status in found])
    tables = {status.value("catalog", "routes_version") for status in found}
    complete = all(status.page is not None for status in found)
    met = complete and len(tables - {None}) <= 1
    return ExitCode.OK if met else ExitCode.NOT_MET


def _decode(answer: AdminAnswer) -> ProcessStatus:
    try:
        return ProcessStatus(answer.endpoint, msgspec.json.decode(answer.body))
    except msgspec.DecodeError:
        return ProcessStatus(answer.endpoint, None)


def _row(status: ProcessStatus) -> tuple[Any, ...]:
    page = status.page
    if page is None:
        return (status.endpoint, None, None, "unreachable", *[None] * 7)
    age = status.value("catalog", "age_seconds")
    cordons = status.value("catalog", "cordons")
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
        ",".join(sorted(cordons)) if cordons else None,
        flows,
        status.value("datagram-agent", "in_work"),
        None if avoided is None else len(avoided),
    )

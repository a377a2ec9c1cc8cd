"""Command ``status``: status of every listed process."""

from typing import Any

from balsamspool.commands.fleet import Report, open_fleet
from balsamspool.commands.output import print_json, print_table
from balsamspool.commands.registry import command

_HEADER = (
    "instance",
    "role",
    "service",
    "failure domain",
    "listed",
    "state",
    "revision",
    "digest",
    "load",
    "rejected",
)


@command("status")
async def status(platform: str, json: bool = False) -> int:
    """Show every listed process: revision, digest, state and load.

    Exits with 0, or with 1 if a process did not answer or runs another digest than
    the others.

    Args:
        platform: Base URL of the platform, such as http://127.0.0.1:9000.
        json: Print JSON in place of a table.
    """
    async with open_fleet(platform) as fleet:
        reports = await fleet.reports()
    if json:
        print_json([_as_object(report) for report in reports])
    else:
        print_table(_HEADER, [_as_row(report) for report in reports])
    digests = {report.value("configuration", "digest") for report in reports}
    complete = all(report.status is not None for report in reports)
    return 0 if complete and len(digests) <= 1 else 1


def _as_object(report: Report) -> dict[str, Any]:
    return dict(zip(_HEADER, _as_row(report), strict=True)) | {"status": report.status}


def _as_row(report: Report) -> tuple[Any, ...]:
    instance = report.instance
    return (
        instance.instance,
        instance.role.value,
        instance.service,
        instance.failure_domain,
        instance.state.value,
        report.state,
        report.value("configuration", "revision"),
        report.value("configuration", "digest"),
        report.value("admission", "load"),
        report.value("configuration", "rejected_revision"),
    )

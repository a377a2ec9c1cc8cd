"""Command ``drain``: what leaving processes still have open."""

from balsamspool.commands.fleet import Report, open_fleet
from balsamspool.commands.output import print_json, print_line, print_table
from balsamspool.commands.registry import command
from balsamspool.plugins.membership import ListedState

_HEADER = ("instance", "state", "connections", "requests", "feeds")


@command("drain")
async def drain(platform: str, json: bool = False) -> int:
    """Show the processes that are leaving and what they still have open.

    Exits with 0 if none has anything open, otherwise with 1.

    Args:
        platform: Base URL of the platform, such as http://127.0.0.1:9000.
        json: Print JSON in place of a table.
    """
    async with open_fleet(platform) as fleet:
        draining = (await fleet.published()).document.draining_hosts
        reports = await fleet.reports()
    leaving = [report for report in reports if _is_leaving(report, draining)]
    rows = [_as_row(report) for report in leaving]
    if json:
        print_json([dict(zip(_HEADER, row, strict=True)) for row in rows])
    elif rows:
        print_table(_HEADER, rows)
    else:
        print_line("no process is leaving")
    return 1 if any(any(count or 0 for count in row[2:]) for row in rows) else 0


def _is_leaving(report: Report, draining: list[str]) -> bool:
    instance = report.instance
    return (
        instance.state is ListedState.LEAVING
        or instance.instance in draining
        or report.state == "leaving"
    )


def _as_row(report: Report) -> tuple[str, str, int | None, int | None, int | None]:
    return (
        report.instance.instance,
        report.state,
        report.value("frontend", "connections"),
        report.value("frontend", "requests"),
        report.value("admission", "feeds"),
    )

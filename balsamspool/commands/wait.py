"""Command ``wait``: waits until a configuration is in force everywhere."""

import asyncio

from fire.decorators import SetParseFns

from balsamspool.commands.codes import ExitCode
from balsamspool.commands.fleet import FleetReader, Report, open_fleet
from balsamspool.commands.output import print_line
from balsamspool.commands.registry import command
from balsamspool.plugins.membership import ListedState

POLL_SECONDS = 0.3


# Without a parse function, fire converts a digest of decimal digits to a number.
@command("wait")
@SetParseFns(digest=str)
async def wait(platform: str, digest: str, timeout: float = 30.0) -> int:
    """Wait until a digest is in force on every listed process that is not leaving.

    Exits with 0 when the digest is in force, 1 if it was refused as invalid or
    replaced by a newer one, 3 after the timeout.

    Args:
        platform: Base URL of the platform, such as http://127.0.0.1:9000.
        digest: Digest that ``check`` printed.
        timeout: Longest wait in seconds.
    """
    try:
        async with asyncio.timeout(timeout), open_fleet(platform) as fleet:
            while True:
                missing = await _instances_without(fleet, digest)
                if not missing:
                    print_line(f"digest {digest} is in force everywhere")
                    return ExitCode.OK
                published = await fleet.published()
                if published.digest != digest:
                    print_line(f"the platform publishes digest {published.digest}")
                    return ExitCode.NOT_MET
                await asyncio.sleep(POLL_SECONDS)
    except TimeoutError:
        print_line(f"digest {digest} is not in force on: {', '.join(missing)}")
        return ExitCode.TIMED_OUT


async def _instances_without(fleet: FleetReader, digest: str) -> list[str]:
    reports = await fleet.reports()
    return [report.instance.instance for report in reports if _lacks(report, digest)]


def _lacks(report: Report, digest: str) -> bool:
    if report.instance.state is ListedState.LEAVING and report.status is None:
        return False
    return report.value("configuration", "digest") != digest

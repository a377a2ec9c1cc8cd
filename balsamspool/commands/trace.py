"""Command ``trace``: history of one flow from the logs of several processes."""

from datetime import timedelta

from balsamspool.commands.codes import ARGUMENT_INVALID, ExitCode
from balsamspool.commands.log_lines import LogLine, read_lines
from balsamspool.commands.output import print_table
from balsamspool.commands.registry import command
from balsamspool.kernel.errors import ResultError


@command("trace")
async def trace(flow: str, *logs: str, around: float = 2.0) -> int:
    """Print what entries and agents decided for a flow, in order of time.

    Lines without a flow show what else the same processes logged in this period:
    changes of the catalog, silent backend servers, starts and stops.

    Args:
        flow: The flow as logs name it, caller:port>address:port, or its beginning,
            such as the caller's address and port.
        *logs: Log files, or directories with files that end in .log.
        around: Seconds before the first line of the flow and after its last one for
            which lines without a flow are shown.
    """
    if not logs:
        raise ResultError(
            ARGUMENT_INVALID, "no logs given; name log files or directories"
        )
    lines = read_lines(logs)
    flow_lines = [line for line in lines if (line.flow or "").startswith(flow)]
    if not flow_lines:
        print_table(("time", "instance", "event", "details"), [])
        return ExitCode.NOT_MET
    rows = [_row(line) for line in lines if _is_shown(line, flow_lines, flow, around)]
    print_table(("time", "instance", "event", "details"), rows)
    return ExitCode.OK


def _is_shown(
    line: LogLine, flow_lines: list[LogLine], flow: str, around: float
) -> bool:
    if line.flow is not None:
        return line.flow.startswith(flow)
    margin = timedelta(seconds=around)
    if not flow_lines[0].time - margin <= line.time <= flow_lines[-1].time + margin:
        return False
    return line.instance in {found.instance for found in flow_lines}


def _row(line: LogLine) -> tuple[str, str, str, str]:
    time = line.time.strftime("%H:%M:%S.%f")[:-3]
    return time, line.instance, line.name, line.details()

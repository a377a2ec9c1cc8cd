"""Command ``report``: tables and plots of a run of the front end for opaque flows."""

from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from balsamspool.commands.codes import ARGUMENT_INVALID, ExitCode
from balsamspool.commands.flow_faults import FlowFaults, find_flow_faults
from balsamspool.commands.log_lines import LogLine, read_lines
from balsamspool.commands.output import print_line, print_table
from balsamspool.commands.registry import command
from balsamspool.commands.run_summary import (
    METRICS_SUFFIX,
    RunSummary,
    Spread,
    add_metrics,
    summarize,
)
from balsamspool.kernel.errors import ResultError

# Maximum number of rows in a table of changes. The table shows the slowest changes.
MAX_ROWS = 5
# Maximum number of rows in a table of flows.
MAX_FLOWS = 20


@command("report")
async def report(*logs: str, plots: str = "") -> int:
    """Summarize a run: flows, openings passed on, resets, spread of changes, counters.

    Resets of flows whose backend server seems to have been sound, and searches that
    lasted over 2 s, are listed with what the logs show about their cause, and so are
    flows that several backend servers accepted.

    Args:
        *logs: Log files, or directories with files that end in .log. The counters of
            metrics pages, whose files end in .prom, are summed.
        plots: Directory for plots as PNG files, empty for no plots. Plots need
            matplotlib.
    """
    if not logs:
        raise ResultError(
            ARGUMENT_INVALID, "no logs given; name log files or directories"
        )
    pages = _metrics_pages(logs)
    log_paths = [name for name in logs if not name.endswith(METRICS_SUFFIX)]
    lines = read_lines(log_paths)
    summary = summarize(lines)
    add_metrics(summary, pages)
    if summary.started is None and not summary.counters:
        return ExitCode.NOT_MET
    _print(summary)
    _print_faults(find_flow_faults(lines))
    if plots:
        _draw(summary, Path(plots))
    return ExitCode.OK


def _metrics_pages(names: Sequence[str]) -> list[Path]:
    pages = []
    for path in map(Path, names):
        if path.is_dir():
            pages.extend(sorted(path.glob(f"*{METRICS_SUFFIX}")))
        elif path.suffix == METRICS_SUFFIX:
            pages.append(path)
    return pages


def _print(summary: RunSummary) -> None:
    _print_counts("flows placed", summary.placed)
    _print_counts("flows accepted", summary.accepted)
    _print_balance(summary)
    _print_counts("openings passed on", summary.passed_on)
    _print_counts("hops of openings", summary.hops)
    _print_counts("resets", summary.resets)
    _print_spread("routes", summary.routes)
    _print_spread("backend servers", summary.servers)
    _print_counts("events", summary.events)
    _print_counts("counters", summary.counters)


def _print_counts(title: str, counts: Counter[Any]) -> None:
    if counts:
        print_line("")
        rows = [(name, f"{count:g}") for name, count in counts.most_common()]
        print_table((title, "count"), rows)


def _print_balance(summary: RunSummary) -> None:
    costs = sorted(cost for second in summary.costs.values() for cost in second)
    if not costs:
        return
    placed = list(summary.placed.values())
    mean = sum(placed) / len(placed)
    print_line("")
    print_table(
        ("placement", "value"),
        [
            ("flows of the busiest host over the mean", f"{max(placed) / mean:.2f}"),
            ("cost of the chosen host, median", f"{costs[len(costs) // 2]:.2f}"),
            ("cost, 99 in 100 below", f"{costs[int(0.99 * len(costs))]:.2f}"),
        ],
    )


def _print_spread(title: str, spreads: dict[object, Spread]) -> None:
    if not spreads:
        return
    slowest = sorted(spreads.items(), key=lambda item: -item[1].seconds)[:MAX_ROWS]
    rows = [
        (_format_key(key), spread.processes, f"{spread.seconds:.3f}")
        for key, spread in slowest
    ]
    print_line("")
    print_table((f"{title}, slowest of {len(spreads)}", "lines", "seconds"), rows)


def _print_faults(faults: FlowFaults) -> None:
    if faults.resets:
        rows = [
            (
                _format_time(found.line),
                found.line.flow,
                found.line.instance,
                found.cause,
                found.evidence,
            )
            for found in faults.resets[:MAX_FLOWS]
        ]
        title = f"suspected wrong resets, first of {len(faults.resets)}"
        print_line("")
        print_table((title, "flow", "entry", "cause", "evidence"), rows)
    if faults.searches:
        rows = [
            (
                _format_time(found.line),
                found.line.flow,
                found.line.instance,
                f"{found.seconds:.3f}",
                found.evidence,
            )
            for found in faults.searches[:MAX_FLOWS]
        ]
        title = f"long searches, longest of {len(faults.searches)}"
        print_line("")
        print_table((title, "flow", "entry", "seconds", "evidence"), rows)

    if faults.shared:
        rows = [
            (_format_time(found.line), found.line.flow, found.evidence)
            for found in faults.shared[:MAX_FLOWS]
        ]
        title = f"flows accepted by several hosts, first of {len(faults.shared)}"
        print_line("")
        print_table((title, "flow", "accepted by"), rows)


def _format_time(line: LogLine) -> str:
    return line.time.strftime("%H:%M:%S.%f")[:-3]


def _format_key(key: object) -> str:
    return " ".join(map(str, key)) if isinstance(key, tuple) else str(key)


def _draw(summary: RunSummary, directory: Path) -> None:
    try:
        # Imported here because only plots need the library.
        from balsamspool.commands.run_plots import draw
    except ImportError as error:
        raise ResultError(
            ARGUMENT_INVALID, f"--plots needs the missing module {error.name}"
        ) from error
    directory.mkdir(parents=True, exist_ok=True)
    for path in draw(summary, directory):
        print_line(f"wrote {path}")

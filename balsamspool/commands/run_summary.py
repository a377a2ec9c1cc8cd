"""Summarizes the logs and metrics of a run of the front end for opaque flows."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path
from typing import TypeVar

from balsamspool.commands.codes import FILE_UNREADABLE
from balsamspool.commands.log_lines import LogLine
from balsamspool.kernel.errors import ResultError

METRICS_SUFFIX = ".prom"
K = TypeVar("K")


@dataclass(slots=True)
class Spread:
    """How long a change took to reach the processes.

    Attributes:
        first: Time at which the first process logged the change.
        last: Time at which the last process logged the change.
        processes: Number of processes that logged the change.
    """

    first: datetime
    last: datetime
    processes: int = 1

    @property
    def seconds(self) -> float:
        """Seconds from the first to the last process."""
        return (self.last - self.first).total_seconds()


@dataclass(slots=True)
class RunSummary:
    """Figures of a run.

    Attributes:
        started: Time of the first line, None without lines.
        placed: Flows placed, by backend server.
        accepted: Flows accepted, by agent.
        costs: Cost of the chosen backend server of each placement, by second.
        events: Lines by name of the event.
        events_by_second: Lines by name of the event for each second of the run.
        passed_on: Openings that were passed on or dropped, by reason.
        hops: Openings that were passed on, by number of hops so far.
        resets: Resets by sender and reason.
        routes: How each route table spread over the entries, by its version.
        servers: How each state of a backend server spread over the entries.
        counters: Counters by metric name and kind, summed over the processes.
    """

    started: datetime | None = None
    placed: Counter[str] = field(default_factory=Counter)
    accepted: Counter[str] = field(default_factory=Counter)
    costs: defaultdict[int, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    events: Counter[str] = field(default_factory=Counter)
    events_by_second: defaultdict[str, Counter[int]] = field(
        default_factory=lambda: defaultdict(Counter)
    )
    passed_on: Counter[str] = field(default_factory=Counter)
    hops: Counter[int] = field(default_factory=Counter)
    resets: Counter[str] = field(default_factory=Counter)
    routes: dict[int, Spread] = field(default_factory=dict)
    servers: dict[tuple[str, str], Spread] = field(default_factory=dict)
    counters: Counter[str] = field(default_factory=Counter)


def summarize(lines: Iterable[LogLine]) -> RunSummary:
    """Return the figures of a run.

    Args:
        lines: Log lines of all processes in order of time.
    """
    summary = RunSummary()
    for line in lines:
        if summary.started is None:
            summary.started = line.time
        second = int((line.time - summary.started).total_seconds())
        summary.events[line.name] += 1
        summary.events_by_second[line.name][second] += 1
        _add_line(summary, line, second)
    return summary


def add_metrics(summary: RunSummary, paths: Iterable[Path]) -> None:
    """Add the counters on the metrics pages of processes to a summary.

    Args:
        summary: Summary to which the counters are added.
        paths: Files with one page each.

    Raises:
        ResultError: With code 2001 if a file cannot be read.
    """
    # Imported here so that the other commands start faster.
    from prometheus_client.parser import text_string_to_metric_families

    for path in paths:
        try:
            text = path.read_text(encoding="utf-8")
            families = list(text_string_to_metric_families(text))
        except (OSError, ValueError) as error:
            raise ResultError(FILE_UNREADABLE, f"{path}: {error}") from error
        for family in families:
            for sample in family.samples:
                if not sample.name.endswith(("_total", "_sum", "_count")):
                    continue
                kind = sample.labels.get("kind")
                name = f"{sample.name}.{kind}" if kind else sample.name
                summary.counters[name] += sample.value


def _add_line(summary: RunSummary, line: LogLine, second: int) -> None:
    fields = line.fields
    match line.name:
        case "flow-placed":
            summary.placed[str(fields.get("server"))] += 1
            summary.costs[second].append(float(fields.get("cost") or 0.0))
        case "flow-accepted":
            summary.accepted[line.instance] += 1
        case "opening-passed-on":
            summary.passed_on[str(fields.get("reason"))] += 1
            summary.hops[int(fields.get("hops") or 0)] += 1
        case "opening-dropped":
            summary.passed_on[f"dropped, {fields.get('reason')}"] += 1
        case "flow-reset":
            summary.resets[f"entry, {fields.get('reason')}"] += 1
        case "flow-lost":
            summary.resets["agent, not held any more"] += 1
        case "flow-rejected":
            summary.resets[f"opening, {fields.get('reason')}"] += 1
        case "routes-in-force":
            _add_to_spread(summary.routes, int(fields.get("version") or 0), line)
        case "backend-server-changed":
            key = (str(fields.get("server")), str(fields.get("state")))
            _add_to_spread(summary.servers, key, line)
        case "backend-server-removed":
            _add_to_spread(
                summary.servers, (str(fields.get("server")), "removed"), line
            )


def _add_to_spread(spreads: dict[K, Spread], key: K, line: LogLine) -> None:
    spread = spreads.get(key)
    if spread is None:
        spreads[key] = Spread(line.time, line.time)
    else:
        spread.last = line.time
        spread.processes += 1

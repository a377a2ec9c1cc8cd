"""Writes the results as tables, ratios, JSON and plots."""

import json
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from math import isnan
from pathlib import Path
from statistics import fmean

import matplotlib

from benchmarks.policy.figures import Figures

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402


@dataclass(frozen=True, slots=True)
class Result:
    """Figures of one system for one workload.

    Attributes:
        service: Name of the service.
        scenario: Name of the scenario.
        system: Name of the system.
        seed: Seed of the workload.
        figures: Figures of the run.
    """

    service: str
    scenario: str
    system: str
    seed: int
    figures: Figures


@dataclass(frozen=True, slots=True)
class Row:
    """One table row: means over the seeds.

    Attributes:
        system: Name of the system.
        values: Value by column.
    """

    system: str
    values: dict[str, float]


COLUMNS = (
    "calm p99", "crest p50", "crest p99", "crest p99.9", "crest/calm",
    "long p50", "long p99", "goodput", "of best", "imbalance", "shed", "needless",
    "late", "wasted", "relays",
)  # fmt: skip


def rows(results: Iterable[Result]) -> list[Row]:
    """Return one row for each system, averaged over the seeds."""
    by_system: dict[str, list[Figures]] = {}
    for result in results:
        by_system.setdefault(result.system, []).append(result.figures)
    return [
        Row(system, {column: fmean(_value(f, column) for f in figures)
                     for column in COLUMNS})
        for system, figures in by_system.items()
    ]  # fmt: skip


def _value(figures: Figures, column: str) -> float:
    calm, crest = (figures.latencies[f"short {p}"] for p in ("calm", "crest"))
    long = figures.latencies["long crest"]
    match column:
        case "calm p99":
            return calm.percentiles[1]
        case "crest p50" | "crest p99" | "crest p99.9":
            names = ("crest p50", "crest p99", "crest p99.9")
            return crest.percentiles[names.index(column)]
        case "crest/calm":
            return crest.percentiles[1] / calm.percentiles[1]
        case "long p50":
            return long.percentiles[0]
        case "long p99":
            return long.percentiles[1]
        case "goodput":
            return figures.goodput
        case "of best":
            return figures.of_best
        case "imbalance":
            return figures.imbalance
        case "shed":
            sheds = (figures.endings.get(name, 0) for name in ("shed", "refused"))
            return sum(sheds) / figures.requests
        case "needless":
            return figures.needless / figures.requests
        case "late":
            return figures.endings.get("late", 0) / figures.requests
        case "wasted":
            return figures.wasted
        case _:
            return figures.relays


def table(results: list[Result]) -> str:
    """Return Markdown tables, one for each service and scenario."""
    lines: list[str] = []
    for group in dict.fromkeys((r.service, r.scenario) for r in results):
        chosen = [r for r in results if (r.service, r.scenario) == group]
        lines += ["", f"{group[0]}, {group[1]}", ""]
        lines += ["| system | " + " | ".join(COLUMNS) + " |"]
        lines += ["|---" * (len(COLUMNS) + 1) + "|"]
        for row in rows(chosen):
            cells = " | ".join(_cell(row.values[column]) for column in COLUMNS)
            lines.append(f"| {row.system} | {cells} |")
    return "\n".join(lines)


def ratios(results: list[Result]) -> dict[str, dict[str, float]]:
    """Return each system's crest p99 of short requests, relative to the product's."""
    ratios_by_group: dict[str, dict[str, float]] = {}
    for group in dict.fromkeys((r.service, r.scenario) for r in results):
        chosen = rows(r for r in results if (r.service, r.scenario) == group)
        product = chosen[0].values["crest p99"]
        ratios_by_group[" ".join(group)] = {
            row.system: row.values["crest p99"] / product for row in chosen
        }
    return ratios_by_group


def write_json(path: Path, results: list[Result]) -> None:
    """Write all figures of all runs."""
    content = {"results": [asdict(r) for r in results], "ratios": ratios(results)}
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(content, indent=1))


def write_plots(folder: Path, results: list[Result]) -> None:
    """Write a bar chart of crest p99 and goodput for each service and scenario."""
    folder.mkdir(parents=True, exist_ok=True)
    for group in dict.fromkeys((r.service, r.scenario) for r in results):
        chosen = rows(r for r in results if (r.service, r.scenario) == group)
        figure, axes = pyplot.subplots(1, 2, figsize=(11, 4), sharey=True)
        names = [row.system for row in chosen]
        for axis, column in zip(axes, ("crest p99", "goodput"), strict=True):
            axis.barh(names, [row.values[column] for row in chosen])
            axis.set_xlabel(column)
        axes[0].set_xscale("log")
        figure.suptitle(" ".join(group))
        figure.tight_layout()
        figure.savefig(folder / f"{group[0]}-{group[1]}.png")
        pyplot.close(figure)


def _cell(value: float) -> str:
    if isnan(value):
        return "-"
    return f"{value:.0f}" if value >= 100 else f"{value:.3g}"

"""Plots of a run. Needs matplotlib, which the product itself does not require."""

from pathlib import Path
from typing import TYPE_CHECKING

from balsamspool.commands.run_summary import RunSummary

if TYPE_CHECKING:
    from matplotlib.axes import Axes

# Events of placements and failures that the plot shows, in the order of its legend.
SHOWN_EVENTS = (
    "flow-placed",
    "flow-searched",
    "opening-passed-on",
    "flow-moved",
    "flow-rejected",
    "flow-ignored",
    "flow-reset",
    "flow-lost",
)
DOTS_PER_INCH = 110


def draw(summary: RunSummary, directory: Path) -> list[Path]:
    """Draw all plots.

    Args:
        summary: Figures of the run.
        directory: Directory for the files.

    Returns:
        The files that were written.

    Raises:
        ImportError: If matplotlib is not installed.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    drawings = {
        "events.png": _events,
        "placement.png": _placement,
        "flows-by-host.png": _flows_by_host,
        "convergence.png": _convergence,
    }
    written = []
    for name, drawing in drawings.items():
        figure, axes = pyplot.subplots(figsize=(9, 4), layout="constrained")
        drawing(axes, summary)
        path = directory / name
        figure.savefig(path, dpi=DOTS_PER_INCH)
        pyplot.close(figure)
        written.append(path)
    return written


def _events(axes: "Axes", summary: RunSummary) -> None:
    for name in SHOWN_EVENTS:
        counts = summary.events_by_second.get(name)
        if counts:
            seconds = range(max(counts) + 1)
            axes.plot(seconds, [counts[second] for second in seconds], label=name)
    axes.set(xlabel="seconds", ylabel="lines a second", yscale="symlog")
    if axes.lines:
        axes.legend(fontsize="small")


def _placement(axes: "Axes", summary: RunSummary) -> None:
    seconds = sorted(summary.costs)
    medians, percentiles = [], []
    for second in seconds:
        costs = sorted(summary.costs[second])
        medians.append(costs[len(costs) // 2])
        percentiles.append(costs[int(0.95 * len(costs))])
    axes.plot(seconds, medians, label="median")
    axes.plot(seconds, percentiles, label="95th percentile")
    axes.set(xlabel="seconds", ylabel="cost of the chosen host (requests for a slot)")
    axes.legend(fontsize="small")


def _flows_by_host(axes: "Axes", summary: RunSummary) -> None:
    counts = sorted(summary.placed.values(), reverse=True)
    axes.bar(range(len(counts)), counts)
    axes.set(xlabel="backend servers, by flows", ylabel="flows placed")


def _convergence(axes: "Axes", summary: RunSummary) -> None:
    for label, spreads in (
        ("route tables", summary.routes),
        ("backend servers", summary.servers),
    ):
        seconds = sorted(spread.seconds for spread in spreads.values())
        if seconds:
            shares = [(number + 1) / len(seconds) for number in range(len(seconds))]
            axes.plot(seconds, shares, drawstyle="steps-post", label=label)
    axes.set(xlabel="seconds from the first process to the last", ylabel="share")
    if axes.lines:
        axes.legend(fontsize="small")

"""Command line of the benchmark.

Run from the root: ``.venv/bin/python -m benchmarks.policy --seeds=5``
"""

from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from fire import Fire

from benchmarks.policy import best, fleet
from benchmarks.policy.figures import measure, measure_best
from benchmarks.policy.parts import PRODUCT, SYSTEMS, System
from benchmarks.policy.report import Result, ratios, table, write_json, write_plots
from benchmarks.policy.workload import (
    SCENARIOS,
    SERVICES,
    Scenario,
    ServiceLoad,
    build,
)


def run_workload(
    service: ServiceLoad, scenario: Scenario, seed: int, systems: tuple[System, ...]
) -> list[Result]:
    """Run each system through one workload and return its figures."""
    workload = build(service, scenario, seed)
    best_times = best.answer_times(workload)
    figures_by_system = {
        system.name: measure(workload, fleet.run(workload, system), best_times)
        for system in systems
    }
    figures_by_system["all-knowing"] = measure_best(workload, best_times)
    return [
        Result(service.name, scenario.name, name, seed, figures)
        for name, figures in figures_by_system.items()
    ]


def main(
    seeds: int = 5,
    json: str = "",
    plots: str = "",
    jobs: int = 3,
    only_product: bool = False,
) -> None:
    """Run the benchmark and print its tables.

    Args:
        seeds: Number of seeds; the seeds count from 1.
        json: File to write all figures to; none is written if empty.
        plots: Folder to write plots to; none are written if empty.
        jobs: Number of parallel processes.
        only_product: Whether to run only the complete product.
    """
    systems = (PRODUCT,) if only_product else SYSTEMS
    workloads = [
        (service, scenario, seed, systems)
        for service in SERVICES
        for scenario in SCENARIOS
        for seed in range(1, seeds + 1)
    ]
    with ProcessPoolExecutor(jobs) as pool:
        groups = pool.map(run_workload, *zip(*workloads, strict=True))
        results = [result for group in groups for result in group]
    print(table(results))
    print("\np99 of short requests at the crest, over the product's:")
    for name, values in ratios(results).items():
        print(f"{name}: " + ", ".join(f"{s} {v:.3g}" for s, v in values.items()))
    if json:
        write_json(Path(json), results)
    if plots:
        write_plots(Path(plots), results)


if __name__ == "__main__":
    Fire(main)

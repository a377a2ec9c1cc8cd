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
    """Run all systems through one workload."""
    workload = build(service, scenario, seed)
    possible = best.answered(workload)
    found = {
        system.name: measure(workload, fleet.run(workload, system), possible)
        for system in systems
    }
    found["all-knowing"] = measure_best(workload, possible)
    return [
        Result(service.name, scenario.name, name, seed, figures)
        for name, figures in found.items()
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
        seeds: Number of seeds, from 1 on.
        json: File for all figures, empty for none.
        plots: Folder for plots, empty for none.
        jobs: Number of processes.
        only_product: Whether only the whole product is run.
    """
    systems = (PRODUCT,) if only_product else SYSTEMS
    work = [
        (service, scenario, seed, systems)
        for service in SERVICES
        for scenario in SCENARIOS
        for seed in range(1, seeds + 1)
    ]
    with ProcessPoolExecutor(jobs) as pool:
        found = pool.map(run_workload, *zip(*work, strict=True))
        results = [result for group in found for result in group]
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

"""Command line of the emulator: ``python -m emulator check`` and ``load``."""

import logging
import sys
from time import perf_counter

from fire import Fire

from balsamspool.commands.output import print_table
from emulator.experiment import (
    Trial,
    Workload,
    grown_workload,
    large_workload,
    run_trial,
    shared_workload,
    small_workload,
)
from emulator.troubles import PowerOff, Trouble

# Demand of the runs of "check", relative to the small fleet. It is low, so that no
# request fails for lack of capacity.
CHECK_SCALE = 0.3
CHECK_SECONDS = 30.0
CHECK_TROUBLES = 8
CHECK_CORDONS = 1


class Commands:
    """Emulates fleets of the front end for opaque flows."""

    def check(
        self,
        first: int = 1,
        seeds: int = 20,
        troubles: int = CHECK_TROUBLES,
        seconds: float = CHECK_SECONDS,
        log: bool = False,
        fleet: str = "small",
        restores: int = 0,
        cordons: int = CHECK_CORDONS,
    ) -> None:
        """Run seeds with random troubles and print the broken promises.

        Args:
            first: First seed.
            seeds: Number of seeds.
            troubles: Troubles in each run.
            seconds: Length of each run. No trouble begins in the last 12 seconds.
            log: Print the log lines of all processes.
            fleet: ``small``, ``shared``, ``grown`` or ``large``, as for ``load``.
            restores: Restores of the catalog in each run besides.
            cordons: Failure domains out of service in each run besides.
        """
        _set_logging(log)
        failed = 0
        for seed in range(first, first + seeds):
            workload = _workload(fleet, CHECK_SCALE, seconds)
            trial = run_trial(workload, seed, troubles, restores, cordons)
            failed += bool(trial.violations)
            for violation in trial.violations[:5]:
                sys.stdout.write(
                    f"seed {seed}: {violation.promise} at {violation.time:.3f} s: "
                    f"{violation.detail}\n"
                )
        sys.stdout.write(f"{seeds - failed} passed, {failed} failed\n")
        sys.exit(1 if failed else 0)

    def load(
        self,
        fleet: str = "small",
        scale: float | None = None,
        seconds: float = 34.0,
        seeds: int = 1,
        troubles: int = 0,
        power_off: float = 0.0,
    ) -> None:
        """Run a fleet under load and print the results that callers saw.

        Args:
            fleet: ``small`` (11 backend servers), ``shared`` (the same behind entries
                of which most follow another one), ``grown`` (54) or ``large`` (136).
            scale: Demand relative to that of the small fleet.
            seconds: Length of each run.
            seeds: Number of runs, with the seeds from 1 on.
            troubles: Troubles in each run.
            power_off: Length of a power outage in the middle of each run, in seconds.
                It replaces the random troubles.
        """
        _set_logging(False)
        planned: int | list[Trouble] = troubles
        if power_off:
            planned = [PowerOff(at=seconds / 2, seconds=power_off)]
        rows = []
        for seed in range(1, seeds + 1):
            started = perf_counter()
            trial = run_trial(_workload(fleet, scale, seconds), seed, planned)
            rows.append(_row(seed, trial, perf_counter() - started))
        print_table(_HEADER, rows)


_HEADER = (
    "seed",
    "worth",
    "in time",
    "late",
    "mean wait ms",
    "p99 wait ms",
    "imbalance",
    "MB across",
    "calls",
    "broken promises",
    "seconds",
)


def _row(seed: int, trial: Trial, seconds: float) -> tuple[str, ...]:
    summary = trial.summary
    return (
        str(seed),
        f"{summary.worth:.3f}",
        f"{summary.in_time:.3f}",
        f"{summary.late:.3f}",
        f"{1000 * summary.mean_wait:.1f}",
        f"{1000 * summary.p99_wait:.0f}",
        f"{summary.imbalance:.2f}",
        f"{summary.cross_domain_bytes / 1e6:.2f}",
        str(summary.calls),
        str(len(trial.violations)),
        f"{seconds:.0f}",
    )


def _workload(fleet: str, scale: float | None, seconds: float) -> Workload:
    match fleet:
        case "small":
            return small_workload(seconds, scale or 1.0)
        case "shared":
            return shared_workload(seconds, scale or 1.0)
        case "grown":
            return grown_workload(seconds, scale or 4.5)
        case "large":
            return large_workload(seconds, scale or 3.7)
        case _:
            raise ValueError(f"fleet {fleet!r} is not small, shared, grown or large")


def _set_logging(shown: bool) -> None:
    if not shown:
        logging.disable(logging.CRITICAL)
        return
    logging.basicConfig(level=logging.INFO, stream=sys.stdout)


if __name__ == "__main__":
    Fire(Commands)

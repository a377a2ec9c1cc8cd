"""Runs seeds of the fault suite and prints what was found."""

import asyncio
import sys

from fire import Fire

from faults.checks import violations
from faults.history import History
from faults.runner import run_seed


def main(seeds: int = 10, first: int = 1, verbose: bool = False) -> None:
    """Run some seeds; the exit code is 1 if a promise was broken.

    Args:
        seeds: Number of seeds.
        first: First seed.
        verbose: Whether to print the faults of every seed.
    """
    requests = faults = broken = 0
    for seed in range(first, first + seeds):
        history = asyncio.run(run_seed(seed))
        found = violations(history)
        requests += len(history.attempts)
        faults += len(history.faults)
        broken += len(found)
        answered = sum(attempt.succeeded for attempt in history.attempts)
        _print(
            f"seed {seed}: {len(history.attempts)} requests, {answered} answered, "
            f"{len(history.faults)} faults, {len(found)} violations"
        )
        for line in [*(history.faults if verbose or found else []), *found]:
            _print(f"  {line}")
        for line in found:
            # A violation reads "checker: request ID: what was seen".
            _print_evidence(history, request_id=line.split(": ")[1])
    _print(
        f"total: {seeds} seeds, {requests} requests, {faults} faults, "
        f"{broken} violations"
    )
    sys.exit(1 if broken else 0)


def _print_evidence(history: History, request_id: str) -> None:
    """Print what callers and backend servers recorded of a request."""
    for event in [*history.attempts, *history.runs]:
        if event.request_id == request_id:
            _print(f"    {event}")


def _print(line: str) -> None:
    sys.stdout.write(line + "\n")
    sys.stdout.flush()


if __name__ == "__main__":
    Fire(main)

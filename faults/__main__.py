"""Runs seeds of the fault suite and prints the violations that were found."""

import asyncio
import sys
from pathlib import Path

from fire import Fire

from faults.checks import violations
from faults.history import History
from faults.packet_checks import packet_violations
from faults.packet_runner import FleetSize, run_packet_seed
from faults.runner import run_seed


def requests(seeds: int = 10, first: int = 1, verbose: bool = False) -> None:
    """Run seeds with HTTP/3 requests; the exit code is 1 if there was a violation.

    Args:
        seeds: Number of seeds.
        first: First seed.
        verbose: Whether to print the faults of every seed.
    """
    sent = faults = broken = 0
    for seed in range(first, first + seeds):
        history = asyncio.run(run_seed(seed))
        found = violations(history)
        sent += len(history.attempts)
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
            # A violation has the format "check: request ID: what was observed".
            _print_evidence(history, request_id=line.split(": ")[1])
    _print(
        f"total: {seeds} seeds, {sent} requests, {faults} faults, {broken} violations"
    )
    sys.exit(1 if broken else 0)


def packets(
    seeds: int = 10,
    first: int = 1,
    entries: int = 2,
    hosts: int = 3,
    callers: int = 8,
    logs: str = "",
) -> None:
    """Run seeds with opaque flows; the exit code is 1 if there was a violation.

    Args:
        seeds: Number of seeds.
        first: First seed.
        entries: Number of entries.
        hosts: Backend servers of each service.
        callers: Callers of each service.
        logs: Directory in which to keep the logs of each seed, empty to delete them.
    """
    size = FleetSize(entries, hosts, callers)
    sent = faults = broken = 0
    for seed in range(first, first + seeds):
        log_directory = f"{logs}/{seed}" if logs else ""
        if log_directory:
            Path(log_directory).mkdir(parents=True, exist_ok=True)
        history = asyncio.run(run_packet_seed(seed, size, log_directory))
        found = packet_violations(history)
        sent += history.requests
        faults += len(history.faults)
        broken += len(found)
        _print(
            f"seed {seed}: {history.requests} requests, {history.answered} answered, "
            f"{len(history.broken_flows)} flows broken, {len(history.faults)} faults, "
            f"{len(found)} violations"
        )
        for line in [*(history.faults if found else []), *found]:
            _print(f"  {line}")
    _print(
        f"total: {seeds} seeds, {sent} requests, {faults} faults, {broken} violations"
    )
    sys.exit(1 if broken else 0)


def _print_evidence(history: History, request_id: str) -> None:
    """Print the attempts and the executions that were recorded for a request."""
    for event in [*history.attempts, *history.runs]:
        if event.request_id == request_id:
            _print(f"    {event}")


def _print(line: str) -> None:
    sys.stdout.write(line + "\n")
    sys.stdout.flush()


if __name__ == "__main__":
    Fire({"requests": requests, "packets": packets})

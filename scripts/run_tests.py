"""Runs the test modules in parallel processes and prints a summary.

Tests that ``KNOWN-RED.txt`` lists are not run; their entries are printed. Each entry is
one line: ``test ID | command and seed | what was seen | issue``.
"""

import subprocess
import sys
import unittest
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from time import perf_counter

from fire import Fire

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
MODULE_TIMEOUT_SECONDS = 900
# Output lines with this prefix are printed even if the test passed.
FIGURE_PREFIX = "figure: "


@dataclass(frozen=True, slots=True)
class ModuleResult:
    """Result of one test module.

    Attributes:
        module: Name of the module.
        tests: Number of tests that ran.
        failed: Number of tests that failed.
        seconds: Duration in seconds.
        output: Output of the tests.
    """

    module: str
    tests: int
    failed: int
    seconds: float
    output: str


def known_red() -> dict[str, str]:
    """Return the entries of ``KNOWN-RED.txt`` by test ID."""
    if not KNOWN_RED.exists():
        return {}
    lines = [line.strip() for line in KNOWN_RED.read_text().splitlines()]
    entries = [line for line in lines if line and not line.startswith("#")]
    return {entry.split("|")[0].strip(): entry for entry in entries}


def tests_of(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """Yield the tests of a suite and of all suites in it."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from tests_of(item)
        else:
            yield item


def run_module(name: str, left_out: frozenset[str]) -> ModuleResult:
    """Run one test module in a separate process.

    Args:
        name: Name of the module.
        left_out: IDs of tests that are not run.
    """
    started = perf_counter()
    command = [sys.executable, __file__, "module", name, *sorted(left_out)]
    try:
        completed = subprocess.run(
            command,
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=MODULE_TIMEOUT_SECONDS,
            check=False,
        )
        output, last = completed.stderr, completed.stdout.strip().splitlines()[-1:]
        counts = last[0].split() if last else []
    except subprocess.TimeoutExpired as error:
        output, counts = (
            f"{name}: did not end within {MODULE_TIMEOUT_SECONDS} s: {error}",
            [],
        )
    seconds = perf_counter() - started
    if len(counts) != 2 or not all(count.isdigit() for count in counts):
        return ModuleResult(name, 1, 1, seconds, output)
    return ModuleResult(name, int(counts[0]), int(counts[1]), seconds, output)


class Commands:
    """Runs tests."""

    def module(self, name: str, *left_out: str) -> None:
        """Run one module and print the number of tests and of failures."""
        sys.path.insert(0, str(ROOT))
        suite = unittest.defaultTestLoader.loadTestsFromName(name)
        chosen = [test for test in tests_of(suite) if test.id() not in left_out]
        result = unittest.TextTestRunner(verbosity=2).run(unittest.TestSuite(chosen))
        failed = len(result.failures) + len(result.errors)
        sys.stdout.write(f"\n{result.testsRun} {failed}\n")

    def all(self, jobs: int = 3) -> None:
        """Run all modules.

        Args:
            jobs: Number of modules that run at the same time.
        """
        red = known_red()
        names = sorted(f"tests.{p.stem}" for p in (ROOT / "tests").glob("test_*.py"))
        with ThreadPoolExecutor(jobs) as pool:
            results = list(pool.map(lambda n: run_module(n, frozenset(red)), names))
        for result in results:
            status = "FAILED" if result.failed else "ok"
            line = (
                f"{status:6} {result.seconds:7.1f} s {result.tests:4} {result.module}"
            )
            sys.stdout.write(line + "\n")
        for result in results:
            for line in result.output.splitlines():
                if line.startswith(FIGURE_PREFIX):
                    sys.stdout.write(f"{line}\n")
        for result in results:
            if result.failed:
                sys.stdout.write(f"\n--- {result.module}\n{result.output[-12000:]}\n")
        for entry in red.values():
            sys.stdout.write(f"known red: {entry}\n")
        failed = sum(result.failed for result in results)
        passed = sum(result.tests for result in results) - failed
        sys.stdout.write(f"{passed} passed, {failed} failed\n")
        sys.exit(1 if failed or not passed else 0)


if __name__ == "__main__":
    Fire(Commands)

"""Output of commands: tables, JSON, errors."""

import sys
from collections.abc import Sequence
from typing import Any, NoReturn

import msgspec

from balsamspool.commands.codes import ExitCode
from balsamspool.kernel.errors import ResultError


def print_line(text: str) -> None:
    """Print one line."""
    sys.stdout.write(text + "\n")


def print_json(value: Any) -> None:
    """Print a value as JSON."""
    print_line(msgspec.json.format(msgspec.json.encode(value)).decode())


def print_table(header: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Print rows as a table with aligned columns."""
    cells = [list(header)]
    cells += [["-" if v is None else str(v) for v in row] for row in rows]
    widths = [max(len(row[i]) for row in cells) for i in range(len(header))]
    for row in cells:
        padded = [text.ljust(width) for text, width in zip(row, widths, strict=True)]
        print_line("  ".join(padded).rstrip())


def fail(error: ResultError, code: ExitCode) -> NoReturn:
    """Print an error and exit."""
    sys.stderr.write(f"{error}\n")
    sys.exit(code)

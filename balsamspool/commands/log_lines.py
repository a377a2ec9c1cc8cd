"""Reads structured log lines of several processes."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Any

import msgspec

from balsamspool.commands.codes import FILE_UNREADABLE
from balsamspool.kernel.errors import ResultError

# Fields of a line that are not details of its event.
_COMMON_FIELDS = frozenset(
    {"time", "level", "instance", "logger", "event", "name", "message"}
)


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log.

    Attributes:
        time: Time at which it was written.
        instance: Name of the instance that wrote it.
        name: Name of the event.
        fields: Values that belong to this occurrence of the event.
    """

    time: datetime
    instance: str
    name: str
    fields: dict[str, Any]

    @property
    def flow(self) -> str | None:
        """Flow that the line concerns, None if it concerns no single flow."""
        return self.fields.get("flow")

    def details(self) -> str:
        """Return the fields in one line of text."""
        shown = {key: value for key, value in self.fields.items() if key != "flow"}
        return " ".join(f"{key}={_format_value(value)}" for key, value in shown.items())


def read_lines(paths: Iterable[str]) -> list[LogLine]:
    """Read log files and return their lines in order of time.

    Text before the JSON object of a line, such as the prefix of a log collector, is
    skipped.

    Args:
        paths: Files, or directories whose files end in ``.log``.

    Raises:
        ResultError: With code 2001 if a file cannot be read.
    """
    lines: list[LogLine] = []
    for path in _files(paths):
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                lines.extend(parse_lines(file))
        except OSError as error:
            raise ResultError(FILE_UNREADABLE, f"{path}: {error}") from error
    return sorted(lines, key=lambda line: line.time)


def _files(paths: Iterable[str]) -> Iterator[Path]:
    for name in paths:
        path = Path(name)
        if path.is_dir():
            yield from sorted(path.glob("*.log"))
        else:
            yield path


def parse_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the structured lines among lines of text.

    Args:
        texts: Lines, which may come from other programs or may be cut off.
    """
    for text in texts:
        line = _parse(text)
        if line is not None:
            yield line


def _parse(text: str) -> LogLine | None:
    start, end = text.find("{"), text.rstrip()
    if start < 0 or not end.endswith("}"):
        return None
    try:
        entry = msgspec.json.decode(end[start:])
        return LogLine(
            datetime.fromisoformat(entry["time"]),
            entry["instance"],
            entry.get("name", entry.get("message", "")),
            {k: v for k, v in entry.items() if k not in _COMMON_FIELDS},
        )
    except (msgspec.DecodeError, KeyError, TypeError, ValueError, RecursionError):
        # The line comes from another program or was truncated.
        return None


def _format_value(value: Any) -> str:
    if isinstance(value, list):
        return ",".join(map(str, value))
    return str(value)

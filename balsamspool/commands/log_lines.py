"""Reads structured log lines of several processes."""

import re
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
_JSON_OBJECT = re.compile(r"\{.*\}\s*$")


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
                lines.extend(_parse(file))
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


def _parse(file: Iterable[str]) -> Iterator[LogLine]:
    for text in file:
        found = _JSON_OBJECT.search(text)
        if found is None:
            continue
        try:
            entry = msgspec.json.decode(found.group())
            yield LogLine(
                datetime.fromisoformat(entry["time"]),
                entry["instance"],
                entry.get("name", entry.get("message", "")),
                {k: v for k, v in entry.items() if k not in _COMMON_FIELDS},
            )
        except (msgspec.DecodeError, KeyError, TypeError, ValueError):
            # The line comes from another program or was truncated.
            continue


def _format_value(value: Any) -> str:
    if isinstance(value, list):
        return ",".join(map(str, value))
    return str(value)

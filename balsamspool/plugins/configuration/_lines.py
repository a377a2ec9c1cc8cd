"""Finds the line of a path in a JSON text, and duplicate keys of objects."""

import re
from collections.abc import Iterator
from dataclasses import dataclass
from json import JSONDecodeError, loads
from typing import Any

Path = tuple[str | int, ...]

_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[{}\[\]:,]|[^\s{}\[\]:,"]+')


@dataclass(frozen=True, slots=True)
class Place:
    """Where a value starts.

    Attributes:
        path: Keys and indices that lead to the value.
        line: Line of the value's key, or of the value itself; the first line is 1.
        repeated: Whether an earlier key of the same object is the same.
    """

    path: Path
    line: int
    repeated: bool


class DuplicateKeyError(ValueError):
    """An object of a JSON text has the same key twice."""


class _ConstantError(ValueError):
    """A text contains ``NaN`` or an infinity, which are not valid in JSON."""


def decode(text: str) -> Any:
    """Decode a JSON text strictly.

    Args:
        text: JSON text.

    Returns:
        The decoded document.

    Raises:
        JSONDecodeError: If the text is not JSON.
        DuplicateKeyError: If an object has the same key twice.
        RecursionError: If the text is nested too deeply.
    """
    try:
        return loads(
            text, object_pairs_hook=_unique_members, parse_constant=_reject_constant
        )
    except _ConstantError as error:
        tokens = _TOKEN.finditer(text)
        start = next(t.start() for t in tokens if t.group() == error.args[0])
        reason = f"{error.args[0]} is not a JSON value"
        raise JSONDecodeError(reason, text, start) from error


def line_of(text: str, path: Path) -> int:
    """Return the line of a value, or of the closest enclosing value if it is absent.

    Args:
        text: Valid JSON text.
        path: Keys and indices that lead to the value.

    Returns:
        Line number; the first line is 1.
    """
    lines = {place.path: place.line for place in places(text)}
    while path not in lines and path:
        path = path[:-1]
    return lines.get(path, 1)


def first_repeated_key(text: str) -> Place | None:
    """Return the place of the first repeated key, or None."""
    return next((place for place in places(text) if place.repeated), None)


def places(text: str) -> Iterator[Place]:
    """Yield the place of every value of a valid JSON text, outer values first."""
    line, position = 1, 0
    path: list[str | int] = []
    # One element for each open object or array, the innermost last: the keys seen so
    # far in an object, None for an array.
    open_keys: list[set[str] | None] = []
    in_key = False
    yield Place((), 1, False)
    for match in _TOKEN.finditer(text):
        line += text.count("\n", position, match.start())
        position = match.start()
        token = match.group()
        match token[0]:
            case "{" | "[":
                if open_keys and open_keys[-1] is None:
                    yield Place(tuple(path), line, False)
                open_keys.append(set() if token == "{" else None)
                in_key = token == "{"
                path.append("" if in_key else 0)
            case "}" | "]":
                open_keys.pop()
                path.pop()
                in_key = False
            case ",":
                last = path[-1]
                in_key = not isinstance(last, int)
                path[-1] = last + 1 if isinstance(last, int) else ""
            case ":":
                in_key = False
            case _ if in_key:
                key = loads(token)
                path[-1] = key
                keys = open_keys[-1]
                assert keys is not None
                yield Place(tuple(path), line, key in keys)
                keys.add(key)
            case _ if open_keys and open_keys[-1] is None:
                yield Place(tuple(path), line, False)


def _unique_members(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    members = dict(pairs)
    if len(members) != len(pairs):
        raise DuplicateKeyError
    return members


def _reject_constant(name: str) -> Any:
    raise _ConstantError(name)

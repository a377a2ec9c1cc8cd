"""Checks a configuration text."""

import ipaddress
import json
import re
from collections.abc import Iterator
from dataclasses import dataclass
from graphlib import CycleError, TopologicalSorter
from json import JSONDecodeError
from typing import Any

import msgspec

from balsamspool.kernel.errors import ResultCode, ResultError
from balsamspool.kernel.keyring import keys_problem
from balsamspool.plugins.configuration._lines import (
    DuplicateKeyError,
    Path,
    decode,
    first_repeated_key,
    line_of,
)
from balsamspool.plugins.configuration.codes import (
    TEXT_INVALID,
    TEXT_MALFORMED,
    TEXT_TOO_LARGE,
)
from balsamspool.plugins.configuration.text import FORMAT, Text

MAX_TEXT_BYTES = 1_000_000  # the platform stores values of at most one megabyte

_MAX_VALUE_CHARACTERS = 60
# msgspec ends a message with "at `$.a[0]`", or "at `key` in `$.a`" for a wrong key.
_LOCATION = re.compile(r" - at (`key` in )?`\$?([^`]*)`$")
_PATH_STEP = re.compile(r"\.([^.\[]+)|\[(\d+)\]|(\[\.\.\.\])")
_LONG_HEX = re.compile(r"[0-9a-fA-F]{16,}")
_UNKNOWN_FIELD = re.compile(r"unknown field `(.+)`")


@dataclass(frozen=True, slots=True)
class Problem:
    """What is wrong with one field.

    Attributes:
        path: Keys and indices that lead to the field.
        reason: What is wrong.
    """

    path: Path
    reason: str


class TextError(ResultError):
    """A configuration text is wrong.

    Args:
        code: The result code.
        line: Line of the field; the first line is 1.
        field: Path of the field with dots, empty for the whole text.
        value: The wrong value as JSON, shortened.
        reason: What is wrong.
    """

    def __init__(
        self, code: ResultCode, line: int, field: str, value: str, reason: str
    ) -> None:
        parts = [f"line {line}"]
        if field:
            parts.append(f"field {field!r}")
        if value:
            parts.append(f"value {value}")
        super().__init__(code, f"{', '.join(parts)}: {reason}")
        self.line = line
        self.field = field
        self.value = value
        self.reason = reason


def check_text(text: str) -> Text:
    """Parse and check a configuration text.

    Args:
        text: JSON text.

    Returns:
        The parsed text.

    Raises:
        TextError: With code 1101 if the text is not JSON, 1102 if a field is wrong,
            1104 if the text is too large.
    """
    # Lone surrogates have no UTF-8 form. Each is replaced by one byte, which is precise
    # enough for the size limit.
    size = len(text.encode(errors="replace"))
    if size > MAX_TEXT_BYTES:
        reason = f"the text has {size} bytes, which is more than {MAX_TEXT_BYTES}"
        raise TextError(TEXT_TOO_LARGE, 1, "", "", reason)
    raw = _decode(text)
    try:
        document = msgspec.convert(raw, Text)
    except msgspec.ValidationError as error:
        problem = _type_problem(raw, str(error))
        raise located_error(text, raw, problem) from error
    for problem in _problems(document):
        raise located_error(text, raw, problem)
    return document


def located_error(
    text: str, raw: Any, problem: Problem, code: ResultCode = TEXT_INVALID
) -> TextError:
    """Return the error for a problem, with line and value.

    Args:
        text: Valid JSON text.
        raw: The decoded text, as plain values.
        problem: What is wrong.
        code: Result code of the error.
    """
    value = raw
    for step in problem.path:
        try:
            value = value[step]
        except (KeyError, IndexError, TypeError):
            value = None
            break
    shown = "" if _is_secret(problem.path) else _format_value(value)
    line = line_of(text, problem.path)
    return TextError(code, line, dotted(problem.path), shown, problem.reason)


def split_address(address: str) -> tuple[str, int]:
    """Split ``IPv4:port``.

    Args:
        address: Address with a port.

    Returns:
        The IPv4 address and the port.

    Raises:
        ValueError: If the address has another form.
    """
    host, colon, port = address.rpartition(":")
    if not colon or not port.isascii() or not port.isdigit():
        raise ValueError("the address does not have the form IPv4:port")
    number = int(port)
    if not 0 < number < 65_536:
        raise ValueError(f"port {number} is not in the range 1 to 65535")
    return str(ipaddress.IPv4Address(host)), number


def dotted(path: Path) -> str:
    """Return a path as operators read it, such as ``services.a.routes[0].path``."""
    steps = (f"[{step}]" if isinstance(step, int) else f".{step}" for step in path)
    return "".join(steps).removeprefix(".")


def _decode(text: str) -> Any:
    try:
        raw = decode(text)
        if "\\u" in text or not text.isascii():
            # Half of a surrogate pair has no UTF-8 form, so that the text could be
            # neither passed on nor logged.
            json.dumps(raw, ensure_ascii=False).encode()
        return raw
    except DuplicateKeyError as error:
        place = first_repeated_key(text)
        assert place is not None
        reason = "the key appears twice in its object"
        raise TextError(
            TEXT_MALFORMED, place.line, dotted(place.path), "", reason
        ) from error
    except JSONDecodeError as error:
        lines = text.splitlines() or [""]
        found = lines[min(error.lineno, len(lines)) - 1].strip()
        raise TextError(
            TEXT_MALFORMED, error.lineno, "", _format_value(found), error.msg
        ) from error
    except UnicodeEncodeError as error:
        reason = "a string holds half of a surrogate pair"
        raise TextError(TEXT_MALFORMED, 1, "", "", reason) from error
    except (RecursionError, ValueError) as error:
        raise TextError(TEXT_MALFORMED, 1, "", "", str(error)) from error


def _is_secret(path: Path) -> bool:
    # Errors are logged and shown on the status page, where secrets must not appear.
    return path[:2] == ("keys", "secrets") or path == ("keys",)


def _format_value(value: Any) -> str:
    if value is None or isinstance(value, dict):
        return ""
    # A line with a syntax error, or a value in the wrong field, may contain a secret,
    # so long hexadecimal strings are masked.
    encoded = _LONG_HEX.sub("<hex>", json.dumps(value))
    if len(encoded) > _MAX_VALUE_CHARACTERS:
        return encoded[: _MAX_VALUE_CHARACTERS - 3] + "..."
    return encoded


def _type_problem(raw: Any, message: str) -> Problem:
    """Find the path that a message of msgspec refers to.

    msgspec writes ``[...]`` for the key of a mapping. The key is found by checking the
    document again with each member of the mapping alone.
    """
    found = _LOCATION.search(message)
    if found is None:
        return Problem(_unknown_field(message), message)
    reason = message[: found.start()]
    path: Path = ()
    for name, index, unnamed in _PATH_STEP.findall(found.group(2)):
        if unnamed:
            path += (_failing_key(raw, path, message),)
        else:
            path += (int(index) if index else name,)
    if found.group(1):
        path += (_failing_key(raw, path, message),)
    return Problem(path + _unknown_field(reason), reason)


def _unknown_field(reason: str) -> Path:
    named = _UNKNOWN_FIELD.search(reason)
    return (named.group(1),) if named else ()


def _failing_key(raw: Any, path: Path, message: str) -> str:
    mapping = raw
    for step in path:
        mapping = mapping[step]
    for key, value in mapping.items():
        try:
            msgspec.convert(_with_value(raw, path, {key: value}), Text)
        except msgspec.ValidationError as error:
            if str(error) == message:
                return key
    return ""


def _with_value(raw: Any, path: Path, value: Any) -> Any:
    if not path:
        return value
    first, rest = path[0], path[1:]
    if isinstance(raw, list):
        return [
            _with_value(item, rest, value) if index == first else item
            for index, item in enumerate(raw)
        ]
    return raw | {first: _with_value(raw[first], rest, value)}


def _problems(document: Text) -> Iterator[Problem]:
    if document.format != FORMAT:
        yield Problem(("format",), f"the format version is not {FORMAT}")
    found = keys_problem(document.keys)
    if found is not None:
        yield Problem(("keys", *found[0].split(".", 1)), found[1])
    yield from _network_problems(document)
    yield from _identity_problems(document)
    yield from _route_problems(document)
    yield from _dependency_problems(document)
    drained: set[str] = set()
    for index, host in enumerate(document.draining_hosts):
        if host in drained:
            yield Problem(("draining_hosts", index), "the host is listed twice")
        drained.add(host)


def _network_problems(document: Text) -> Iterator[Problem]:
    for index, network in enumerate(document.host_networks):
        try:
            ipaddress.IPv4Network(network)
        except ValueError as error:
            yield Problem(("host_networks", index), str(error))


def _identity_problems(document: Text) -> Iterator[Problem]:
    numbers: dict[int, str] = {}
    addresses: dict[tuple[str, int], str] = {}
    for name, service in document.services.items():
        other = numbers.setdefault(service.number, name)
        if other != name:
            reason = f"the number is already taken by service {other!r}"
            yield Problem(("services", name, "number"), reason)
        path: Path = ("services", name, "address")
        try:
            address = split_address(service.address)
        except ValueError as error:
            yield Problem(path, str(error))
            continue
        other = addresses.setdefault(address, name)
        if other != name:
            yield Problem(path, f"the address is already taken by service {other!r}")


def _route_problems(document: Text) -> Iterator[Problem]:
    for name, service in document.services.items():
        paths: set[str] = set()
        for index, route in enumerate(service.routes):
            if route.path in paths:
                path = ("services", name, "routes", index, "path")
                yield Problem(path, "another route of the service has this path")
            paths.add(route.path)


def _dependency_problems(document: Text) -> Iterator[Problem]:
    for name in document.dependencies:
        if name in document.services:
            reason = "a service has the same name"
            yield Problem(("dependencies", name), reason)
    for name, service in document.services.items():
        for index, needed in enumerate(service.depends_on):
            if needed not in document.services and needed not in document.dependencies:
                path = ("services", name, "depends_on", index)
                yield Problem(path, "the name is neither a service nor a dependency")
    graph = {name: service.depends_on for name, service in document.services.items()}
    try:
        TopologicalSorter(graph).prepare()
    except CycleError as error:
        # graphlib lists each name of the cycle before the service that depends on it.
        # The reversed list has each service before its dependency.
        cycle = list(reversed(error.args[1]))
        name, needed = cycle[0], cycle[1]
        index = document.services[name].depends_on.index(needed)
        reason = f"the dependencies form a cycle: {' -> '.join(cycle)}"
        yield Problem(("services", name, "depends_on", index), reason)

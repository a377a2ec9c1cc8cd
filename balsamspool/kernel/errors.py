"""Numbered result codes and the exception that carries one.

Each plug-in defines its codes in a module ``codes.py``. ``docs/errors.md`` lists all
of them; a test compares the page with the registered codes.
"""

from enum import Enum

from msgspec import Struct


class Outcome(Enum):
    """What is known about the execution of a request that was not answered in full."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"
    NONE = "none"  # the code does not concern a request


class ResultCode(Struct, frozen=True):
    """One numbered result code.

    Attributes:
        number: Unique number.
        name: Short name in kebab case.
        summary: One sentence for operators.
        outcome: What a caller may conclude about its request.
        status: HTTP status sent to a caller, 0 if the code never reaches one.
    """

    number: int
    name: str
    summary: str
    outcome: Outcome = Outcome.NONE
    status: int = 0


_codes: dict[int, ResultCode] = {}


def result_code(
    number: int,
    name: str,
    summary: str,
    outcome: Outcome = Outcome.NONE,
    status: int = 0,
) -> ResultCode:
    """Define and register a result code.

    Args:
        number: Unique number within the range of the plug-in.
        name: Short name in kebab case.
        summary: One sentence for operators.
        outcome: What a caller may conclude about its request.
        status: HTTP status sent to a caller, 0 if the code never reaches one.

    Returns:
        The registered code.

    Raises:
        ValueError: If the number is already taken by another code.
    """
    code = ResultCode(number, name, summary, outcome, status)
    if _codes.setdefault(number, code) != code:
        raise ValueError(f"result code {number} is already {_codes[number].name!r}")
    return code


def registered_codes() -> list[ResultCode]:
    """Return all registered codes in order of their number."""
    return [_codes[number] for number in sorted(_codes)]


def find_code(number: int) -> ResultCode | None:
    """Return the code with this number, or None if none is registered."""
    return _codes.get(number)


class ResultError(Exception):
    """A failure with a numbered result code.

    Args:
        code: The result code.
        detail: What happened, with the names and values involved.
        retry_after: Seconds after which a caller may try again, if known.
    """

    def __init__(
        self, code: ResultCode, detail: str, retry_after: float | None = None
    ) -> None:
        super().__init__(f"{code.number} {code.name}: {detail}")
        self.code = code
        self.detail = detail
        self.retry_after = retry_after


SETTINGS_UNREADABLE = result_code(
    1001, "settings-unreadable", "The settings file cannot be read or is not JSON."
)
SETTINGS_INVALID = result_code(
    1002, "settings-invalid", "A field of the settings is unknown, missing or wrong."
)
PLUGIN_MISSING = result_code(
    1003, "plugin-missing", "A plug-in requires another that is not registered."
)
KEY_UNKNOWN = result_code(
    1004, "key-unknown", "A message or token names a key number that is not in force."
)
START_FAILED = result_code(1005, "start-failed", "The process could not start.")

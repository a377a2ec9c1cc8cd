"""Exit codes and result codes of ``balsamspool-ctl``."""

from enum import IntEnum

from balsamspool.kernel.errors import result_code


class ExitCode(IntEnum):
    """How a command ended."""

    OK = 0
    NOT_MET = 1
    INVALID = 2
    TIMED_OUT = 3
    UNREACHABLE = 4


FILE_UNREADABLE = result_code(2001, "file-unreadable", "A file cannot be read.")
ARGUMENT_INVALID = result_code(
    2002, "argument-invalid", "An argument of a command is missing or not valid."
)
NOTHING_PUBLISHED = result_code(
    2003, "nothing-published", "The platform has not published the value."
)

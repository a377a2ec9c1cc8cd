"""Program ``balsamspool-ctl``: operators' commands, which only read."""

import asyncio
import functools
import sys
from collections.abc import Callable, Coroutine
from typing import Any

from fire import Fire

from balsamspool.commands.codes import ExitCode
from balsamspool.commands.output import fail
from balsamspool.commands.registry import load_commands
from balsamspool.kernel.errors import ResultError
from balsamspool.plugins.platform.codes import (
    PLATFORM_MALFORMED,
    PLATFORM_UNAVAILABLE,
)

_UNREACHABLE = (PLATFORM_UNAVAILABLE, PLATFORM_MALFORMED)


def main() -> None:
    """Read the command line, run one command and exit with its code."""
    commands = {name: _runner(function) for name, function in load_commands().items()}
    Fire(commands, name="balsamspool-ctl")


def _runner(function: Callable[..., Coroutine[Any, Any, int]]) -> Callable[..., None]:
    @functools.wraps(function)
    def run(*args: Any, **kwargs: Any) -> None:
        try:
            code = asyncio.run(function(*args, **kwargs))
        except ResultError as error:
            unreachable = error.code in _UNREACHABLE
            fail(error, ExitCode.UNREACHABLE if unreachable else ExitCode.INVALID)
        sys.exit(code)

    return run


if __name__ == "__main__":
    main()

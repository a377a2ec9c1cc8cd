"""Common start of the long-running programs."""

import asyncio
import logging
import os
import sys
from collections.abc import Coroutine
from pathlib import Path
from typing import Any, TypeVar

# uvloop bundles a libuv with io_uring code, which the platform does not permit. libuv
# 1.48 reads this variable when the loop is made. libuv 1.52, in uvloop 0.23, opens a
# ring whatever the variable says, so uvloop is pinned.
os.environ["UV_USE_IO_URING"] = "0"

import uvloop  # noqa: E402

from balsamspool.kernel.errors import START_FAILED, ResultError  # noqa: E402
from balsamspool.kernel.identity import Role  # noqa: E402
from balsamspool.kernel.lifecycle import Kernel  # noqa: E402
from balsamspool.kernel.logs import configure_logging  # noqa: E402
from balsamspool.kernel.registry import load_plugins, plugins_of  # noqa: E402
from balsamspool.kernel.settings import Settings, read_settings  # noqa: E402

EXIT_INVALID = 2
EXIT_FAILED = 1

R = TypeVar("R")

_logger = logging.getLogger(__name__)


def run_on_uvloop(work: Coroutine[Any, Any, R]) -> R:
    """Run a coroutine on a new uvloop event loop and return its result."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(work)


def load_settings(role: Role, path: str) -> Settings:
    """Read and check the settings of a role.

    Args:
        role: Role of the process.
        path: Path of the settings file.

    Returns:
        The checked settings.

    Raises:
        ResultError: With code 1001 or 1002 if the settings are not valid.
    """
    load_plugins()
    types = {entry.name: entry.plugin.settings_type for entry in plugins_of(role)}
    return read_settings(Path(path), types)


def run_role(role: Role, settings: str, check: bool) -> None:
    """Run a process of a role until it is asked to stop, then exit.

    Args:
        role: Role of the process.
        settings: Path of the settings file.
        check: Only check the settings.
    """
    try:
        checked = load_settings(role, settings)
    except ResultError as error:
        sys.stderr.write(f"{error}\n")
        sys.exit(EXIT_INVALID)
    if check:
        sys.stdout.write(f"{settings}: valid settings of role {role.value}\n")
        return
    process = checked.process
    configure_logging(process.instance, process.log_level)
    sys.exit(run_on_uvloop(_serve(role, checked)))


async def _serve(role: Role, settings: Settings) -> int:
    try:
        return await Kernel(role, settings).run()
    except (ResultError, OSError) as error:
        _logger.exception("%d %s", START_FAILED.number, error)
        return EXIT_FAILED

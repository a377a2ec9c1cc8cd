"""Common startup of the long-running programs."""

import asyncio
import logging
import os
import sys
from collections.abc import Coroutine
from typing import Any, TypeVar

from msgspec import Struct

# uvloop bundles a libuv with io_uring code, which the platform does not permit. libuv
# 1.48 reads this variable when the loop is created. libuv 1.52, in uvloop 0.23, uses
# io_uring whatever the value of the variable is, so uvloop is pinned.
os.environ["UV_USE_IO_URING"] = "0"

import uvloop  # noqa: E402

from balsamspool.kernel.errors import START_FAILED, ResultError  # noqa: E402
from balsamspool.kernel.identity import Role  # noqa: E402
from balsamspool.kernel.lifecycle import Kernel  # noqa: E402
from balsamspool.kernel.logs import configure_logging  # noqa: E402
from balsamspool.kernel.registry import load_plugins, plugins_of  # noqa: E402
from balsamspool.kernel.settings import (  # noqa: E402
    BaseProcessSettings,
    ProcessSettings,
    Settings,
    read_settings,
)
from balsamspool.kernel.settings_file import SettingsFile  # noqa: E402

EXIT_INVALID = 2
EXIT_FAILED = 1

R = TypeVar("R")

_logger = logging.getLogger(__name__)


def run_on_uvloop(work: Coroutine[Any, Any, R]) -> R:
    """Run a coroutine on a new uvloop event loop and return its result."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(work)


class Program(Struct, frozen=True):
    """Role, plug-ins and settings type of a program.

    Attributes:
        role: Role of the process.
        packages: Packages of plug-ins that the program loads, None for all.
        process_type: Type of the settings of the process itself.
    """

    role: Role
    packages: tuple[str, ...] | None = None
    process_type: type[BaseProcessSettings] = ProcessSettings


def load_settings(program: Program, path: str) -> Settings:
    """Read and check the settings of a program.

    Args:
        program: The program.
        path: Path of the settings file.

    Returns:
        The checked settings.

    Raises:
        ResultError: With code 1001 or 1002 if the settings are not valid.
    """
    load_plugins(program.packages)
    registrations = plugins_of(program.role)
    types = {r.name: r.plugin.settings_type for r in registrations}
    return read_settings(path, types, program.process_type)


def run_program(program: Program, settings: str, check: bool) -> None:
    """Run a program until a stop is requested, then exit.

    Args:
        program: The program.
        settings: Path of the settings file.
        check: Whether to only check the settings.
    """
    try:
        checked = load_settings(program, settings)
    except ResultError as error:
        sys.stderr.write(f"{error}\n")
        sys.exit(EXIT_INVALID)
    if check:
        role = program.role.value
        sys.stdout.write(f"{settings}: valid settings of role {role}\n")
        return
    process = checked.process
    configure_logging(process.instance, process.log_level)
    sys.exit(run_on_uvloop(_serve(program, settings, checked)))


async def _serve(program: Program, path: str, settings: Settings) -> int:
    settings_file = SettingsFile(
        path, lambda file_path: load_settings(program, file_path)
    )
    try:
        return await Kernel(program.role, settings, settings_file).run()
    except (ResultError, OSError) as error:
        _logger.exception("%d %s", START_FAILED.number, error)
        return EXIT_FAILED

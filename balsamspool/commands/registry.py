"""Registry of commands."""

import importlib
import pkgutil
from collections.abc import Callable
from typing import Any

import balsamspool.commands

_commands: dict[str, Callable[..., Any]] = {}


def command(name: str) -> Callable[[Callable[..., Any]], Callable[..., Any]]:
    """Register a function as a command.

    Args:
        name: Name on the command line.

    Returns:
        A decorator that returns the function unchanged.
    """

    def decorate(function: Callable[..., Any]) -> Callable[..., Any]:
        if _commands.setdefault(name, function) is not function:
            raise ValueError(f"command {name!r} is already registered")
        return function

    return decorate


def load_commands() -> dict[str, Callable[..., Any]]:
    """Import all modules of commands and return the commands by name."""
    package = balsamspool.commands
    for module in pkgutil.iter_modules(package.__path__, f"{package.__name__}."):
        importlib.import_module(module.name)
    return dict(sorted(_commands.items()))

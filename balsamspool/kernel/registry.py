"""Registry of plug-ins.

Every package below ``balsamspool.plugins`` registers its plug-in class when it is
imported. The kernel does not refer to any plug-in by name.
"""

import importlib
import pkgutil
from collections.abc import Callable, Iterable, Mapping
from typing import TYPE_CHECKING, Any, TypeVar

from msgspec import Struct

import balsamspool.plugins
from balsamspool.kernel.errors import PLUGIN_MISSING, ResultError
from balsamspool.kernel.identity import Role
from balsamspool.kernel.settings import Section

if TYPE_CHECKING:
    from balsamspool.kernel.lifecycle import Kernel

# Returns a value that can be encoded as JSON, for the arguments of a query. It only
# reads, and raises a `ResultError` for arguments that are not valid.
JsonPage = Callable[[Mapping[str, str]], Any]


class Plugin:
    """Base of all plug-ins.

    Args:
        kernel: Kernel that runs the plug-in.
    """

    settings_type: type[Section] = Section

    def __init__(self, kernel: "Kernel") -> None:
        self._kernel = kernel

    @property
    def ready(self) -> bool:
        """Whether the plug-in has what it needs to do its work."""
        return True

    @property
    def leaving(self) -> bool:
        """Whether the plug-in requires that this process accepts no new work."""
        return False

    async def start(self) -> None:
        """Open sockets and start tasks. Plug-ins in ``requires`` have started."""

    def reload(self) -> None:
        """Apply changed settings. ``kernel.settings`` already returns them."""

    async def drain(self) -> None:
        """Accept no new work and return when the work in progress has ended."""

    async def stop(self) -> None:
        """Release everything. Plug-ins that require this one have stopped."""

    def status(self) -> dict[str, object]:
        """Return values for the status page of the process by name."""
        return {}

    def json_pages(self) -> dict[str, JsonPage]:
        """Return pages that the admin plug-in serves, by path."""
        return {}


P = TypeVar("P", bound=Plugin)


class Registration(Struct, frozen=True):
    """A registered plug-in.

    Attributes:
        name: Name of the plug-in and of its section in the settings.
        plugin: The plug-in class.
        roles: Roles of the processes that run it.
        requires: Names of plug-ins that start before it and stop after it.
    """

    name: str
    plugin: type[Plugin]
    roles: frozenset[Role]
    requires: tuple[str, ...]


_registrations: dict[str, Registration] = {}


def register(
    name: str, roles: Iterable[Role], requires: Iterable[str] = ()
) -> Callable[[type[P]], type[P]]:
    """Register a plug-in class.

    Args:
        name: Name of the plug-in and of its section in the settings.
        roles: Roles of the processes that run it.
        requires: Names of plug-ins that start before it.

    Returns:
        A class decorator.
    """

    def decorate(plugin: type[P]) -> type[P]:
        registration = Registration(name, plugin, frozenset(roles), tuple(requires))
        if _registrations.setdefault(name, registration).plugin is not plugin:
            raise ValueError(f"plug-in {name!r} is already registered")
        return plugin

    return decorate


def load_plugins(names: Iterable[str] | None = None) -> None:
    """Import packages below ``balsamspool.plugins``.

    Args:
        names: Names of the packages, None for all. A process that needs only a few
            starts faster and uses less memory without the libraries of the other
            packages.
    """
    package = balsamspool.plugins
    if names is None:
        names = [module.name for module in pkgutil.iter_modules(package.__path__)]
    for name in names:
        importlib.import_module(f"{package.__name__}.{name}")


def plugins_of(role: Role) -> list[Registration]:
    """Return the plug-ins of a role in the order in which they start.

    Args:
        role: Role of the process.

    Returns:
        Registrations, each after those that it requires.

    Raises:
        ResultError: With code 1003 if a required plug-in is not registered.
    """
    ordered: dict[str, Registration] = {}
    for name in sorted(_registrations):
        if role in _registrations[name].roles:
            _append_with_requirements(name, role, ordered, ())
    return list(ordered.values())


def _append_with_requirements(
    name: str, role: Role, ordered: dict[str, Registration], path: tuple[str, ...]
) -> None:
    if name in ordered:
        return
    registration = _registrations.get(name)
    if registration is None or role not in registration.roles or name in path:
        raise ResultError(
            PLUGIN_MISSING,
            f"plug-in {name!r}, required by {path!r}, is not registered for this role "
            "or requires itself",
        )
    for required in registration.requires:
        _append_with_requirements(required, role, ordered, (*path, name))
    ordered[name] = registration

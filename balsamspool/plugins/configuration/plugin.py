"""Plug-in that keeps the configuration in force."""

import asyncio
import logging
from collections.abc import Callable

from balsamspool.kernel.errors import ResultError
from balsamspool.kernel.identity import Role
from balsamspool.kernel.lifecycle import Kernel
from balsamspool.kernel.registry import Plugin, register
from balsamspool.plugins.configuration.codes import NO_CONFIGURATION
from balsamspool.plugins.configuration.events import (
    CONFIGURATION_IN_FORCE,
    CONFIGURATION_INVALID,
    CONFIGURATION_STALE,
)
from balsamspool.plugins.configuration.store import (
    Accepted,
    Configuration,
    ConfigurationStore,
    Invalid,
    Known,
    Stale,
)
from balsamspool.plugins.configuration.text import Service
from balsamspool.plugins.platform import PlatformPlugin, PlatformValue

_logger = logging.getLogger(__name__)

VALUE_NAME = "configuration"

OnConfiguration = Callable[[Configuration], None]


@register("configuration", roles=[Role.ENTRY, Role.AGENT], requires=["platform"])
class ConfigurationPlugin(Plugin):
    """Keeps the configuration in force and tells subscribers of each change.

    Args:
        kernel: Kernel that runs the plug-in.
    """

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._store = ConfigurationStore()
        self._subscribers: list[OnConfiguration] = []
        self._ready = asyncio.Event()
        self._stale_offers = 0

    @property
    def current(self) -> Configuration:
        """Configuration in force.

        Raises:
            ResultError: With code 1103 before the first configuration.
        """
        if self._store.current is None:
            raise ResultError(NO_CONFIGURATION, "no revision has been received")
        return self._store.current

    @property
    def ready(self) -> bool:
        """Whether a configuration is in force."""
        return self._ready.is_set()

    async def start(self) -> None:
        """Watch the platform."""
        platform = self._kernel.plugin(PlatformPlugin)
        platform.watch(VALUE_NAME, lambda: self._store.seen_revision, self._on_value)

    def status(self) -> dict[str, object]:
        """Return revision and digest in force and the newest refused text."""
        current, rejected = self._store.current, self._store.rejected
        return {
            "revision": self._store.revision,
            "digest": current.digest if current else None,
            "rejected_revision": rejected.revision if rejected else None,
            "rejected_detail": rejected.detail if rejected else None,
            "stale_offers": self._stale_offers,
        }

    async def wait_ready(self) -> Configuration:
        """Wait for the first configuration and return the one in force."""
        await self._ready.wait()
        return self.current

    def service(self, name: str) -> Service | None:
        """Return a service of the configuration in force, or None."""
        if not self.ready:
            return None
        return self.current.document.services.get(name)

    def subscribe(self, callback: OnConfiguration) -> None:
        """Call a function with the configuration in force and each later one."""
        self._subscribers.append(callback)
        if self._store.current is not None:
            callback(self._store.current)

    def offer(self, revision: int, text: str) -> None:
        """Put a text in force if it is newer and valid.

        Args:
            revision: Revision given by the platform.
            text: Configuration text.
        """
        match self._store.offer(revision, text):
            case Accepted(configuration):
                self._put_in_force(configuration)
            case Stale(revision):
                self._stale_offers += 1
                CONFIGURATION_STALE.log(
                    _logger, offered=revision, in_force=self._store.revision
                )
            case Invalid(revision, detail):
                CONFIGURATION_INVALID.log(_logger, revision=revision, detail=detail)
            case Known():
                pass

    def _on_value(self, value: PlatformValue) -> None:
        self.offer(value.revision, value.value)

    def _put_in_force(self, configuration: Configuration) -> None:
        self._kernel.keyring.replace(configuration.document.keys)
        for callback in self._subscribers:
            callback(configuration)
        CONFIGURATION_IN_FORCE.log(
            _logger, revision=configuration.revision, digest=configuration.digest
        )
        self._ready.set()

"""Plug-in that keeps the view of the fleet."""

import asyncio
import logging
from collections.abc import Callable

import msgspec

from balsamspool.kernel.identity import Role
from balsamspool.kernel.lifecycle import Kernel
from balsamspool.kernel.registry import Plugin, register
from balsamspool.plugins.configuration import ConfigurationPlugin
from balsamspool.plugins.membership.events import LIST_INVALID, LIST_STALE
from balsamspool.plugins.membership.instance import Instance, ListedState
from balsamspool.plugins.membership.signals import Signal, SignalBoard, SignalState
from balsamspool.plugins.platform import PlatformPlugin, PlatformValue

_logger = logging.getLogger(__name__)

VALUE_NAME = "instances"


@register(
    "membership",
    roles=[Role.ENTRY, Role.AGENT],
    requires=["platform", "configuration"],
)
class MembershipPlugin(Plugin):
    """Combines the platform's list with direct signals.

    Args:
        kernel: Kernel that runs the plug-in.
    """

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._revision = 0
        self._instances: dict[str, Instance] = {}
        self._board = SignalBoard()
        self._subscribers: list[Callable[[], None]] = []
        self._ready = asyncio.Event()

    @property
    def ready(self) -> bool:
        """Whether a list has been received."""
        return self._ready.is_set()

    @property
    def instances(self) -> list[Instance]:
        """All listed instances."""
        return list(self._instances.values())

    async def start(self) -> None:
        """Watch the platform."""
        platform = self._kernel.plugin(PlatformPlugin)
        platform.watch(VALUE_NAME, lambda: self._revision, self._on_value)

    def status(self) -> dict[str, object]:
        """Return the revision of the list and the number of instances."""
        return {"revision": self._revision, "instances": len(self._instances)}

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call a function after each change of the list."""
        self._subscribers.append(callback)

    def note(self, address: str, data_port: int, signal: Signal) -> None:
        """Record what the instance at an address said of itself."""
        self._board.note(address, data_port, signal)

    def hosts(self, service: str) -> list[Instance]:
        """Return the agents of a service that may take new work."""
        return [
            instance
            for instance in self._instances.values()
            if instance.role is Role.AGENT
            and instance.service == service
            and self.accepts(instance)
        ]

    def entries(self) -> list[Instance]:
        """Return the entries that may carry return datagrams."""
        return [
            instance
            for instance in self._instances.values()
            if instance.role is Role.ENTRY and self.accepts(instance)
        ]

    def accepts(self, instance: Instance) -> bool:
        """Return whether an instance takes new work, as far as is known."""
        configuration = self._kernel.plugin(ConfigurationPlugin)
        if configuration.ready:
            draining = configuration.current.document.draining_hosts
            if instance.instance in draining:
                return False
        if instance.state is ListedState.LEAVING:
            return False
        signal = self._board.latest(instance.address, instance.data_port)
        return signal is None or signal.state is SignalState.ACCEPTING

    def signal(self, instance: Instance) -> Signal | None:
        """Return the latest signal of an instance, or None."""
        return self._board.latest(instance.address, instance.data_port)

    def _on_value(self, value: PlatformValue) -> None:
        if value.revision < self._revision:
            LIST_STALE.log(_logger, offered=value.revision, known=self._revision)
            return
        try:
            instances = msgspec.json.decode(value.value, type=list[Instance])
        except msgspec.DecodeError as error:
            LIST_INVALID.log(_logger, revision=value.revision, detail=str(error))
            return
        self._revision = value.revision
        self._instances = {instance.instance: instance for instance in instances}
        self._ready.set()
        for callback in self._subscribers:
            callback()

"""Plug-in that keeps the view of the fleet."""

import asyncio
import logging
import random
from collections.abc import Callable

from prometheus_client import Counter

from balsamspool.kernel.clock import now
from balsamspool.kernel.identity import Role
from balsamspool.kernel.lifecycle import Kernel
from balsamspool.kernel.registry import Plugin, register
from balsamspool.plugins.configuration import Configuration, ConfigurationPlugin
from balsamspool.plugins.configuration.digest import text_digest
from balsamspool.plugins.configuration.exchange import Exchange, MessageTypes, TextState
from balsamspool.plugins.configuration.peers import ListedPeer
from balsamspool.plugins.membership.events import (
    LIST_CONFLICT,
    LIST_INVALID,
    LIST_STALE,
    RECORDS_LEFT_OUT,
)
from balsamspool.plugins.membership.instance import Instance
from balsamspool.plugins.membership.listing import Listing, UnreadableList, read_list
from balsamspool.plugins.membership.messages import (
    InstanceListOffer,
    InstanceListReply,
    InstanceListRequest,
)
from balsamspool.plugins.membership.signals import Signal
from balsamspool.plugins.membership.view import View
from balsamspool.plugins.mesh import MeshPlugin, PeerAddress
from balsamspool.plugins.platform import PlatformPlugin, PlatformValue

_logger = logging.getLogger(__name__)

VALUE_NAME = "instances"


@register(
    "membership",
    roles=[Role.ENTRY, Role.AGENT],
    requires=["platform", "configuration", "mesh"],
)
class MembershipPlugin(Plugin):
    """Combines the platform's list with direct signals.

    Args:
        kernel: Kernel that runs the plug-in.
    """

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._view = View()
        self._text_state = TextState(0, "")
        self._text = ""
        self._applied_at = 0.0
        self._faults: tuple[str, ...] = ()
        self._last_conflict: tuple[int, str] | None = None
        self._subscribers: list[Callable[[], None]] = []
        self._ready = asyncio.Event()
        self._platform = kernel.plugin(PlatformPlugin)
        self._configuration = kernel.plugin(ConfigurationPlugin)
        self._exchange = Exchange(
            kernel.plugin(MeshPlugin),
            MessageTypes(InstanceListOffer, InstanceListRequest, InstanceListReply),
            self._configuration.peers,
            self,
            random.Random(),
        )
        self._configuration.subscribe(self._on_configuration)
        self._ignored = Counter(
            "balsamspool_membership_ignored_lists",
            "Instance lists that were not taken over",
            ["reason"],
            registry=kernel.metrics,
        )

    @property
    def ready(self) -> bool:
        """Whether a list has been received."""
        return self._ready.is_set()

    @property
    def instances(self) -> list[Instance]:
        """All listed instances."""
        return self._view.instances

    @property
    def asked_to_leave(self) -> bool:
        """Whether the text or the list asks this process to leave."""
        return self._view.is_asked_to_leave(self._kernel.identity.instance)

    async def start(self) -> None:
        """Request the list from peers, then watch the platform."""
        self._kernel.spawn(self._run(), "instance list exchange")

    def status(self) -> dict[str, object]:
        """Return the revision, the age and the faults of the list."""
        return {
            "revision": self._text_state.revision,
            "digest": self._text_state.digest,
            "revision_age_seconds": round(now() - self._applied_at, 1)
            if self._text_state.revision
            else None,
            "instances": len(self._view.instances),
            "faults": list(self._faults[:5]),
            "refused_revision": self._text_state.refused[0] or None,
        }

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call a function after each change of the list or of the draining hosts."""
        self._subscribers.append(callback)

    def record_signal(
        self, address: str, data_port: int, signal: Signal, incarnation: bytes = b""
    ) -> None:
        """Record a direct signal of the instance at an address.

        Args:
            address: IPv4 address of the instance.
            data_port: UDP port of the instance.
            signal: State and load that the instance reports.
            incarnation: Its incarnation, empty if the message did not carry one.
        """
        self._view.record_signal(address, data_port, signal, incarnation)

    def hosts(self, service: str) -> list[Instance]:
        """Return the agents of a service that may take new work."""
        return self._view.accepting(Role.AGENT, service)

    def entries(self) -> list[Instance]:
        """Return the entries that may carry return datagrams."""
        return self._view.accepting(Role.ENTRY)

    def accepts(self, instance: Instance) -> bool:
        """Return whether an instance accepts new work, as far as is known."""
        return self._view.accepts(instance)

    def held_as_leaving(self) -> list[Instance]:
        """Return instances to probe: listed as live, silent since a leaving signal."""
        return self._view.held_as_leaving()

    def version(self, service: str) -> int:
        """Return how often direct signals have changed the hosts of a service."""
        return self._view.version(service)

    def signal(self, instance: Instance) -> Signal | None:
        """Return the latest signal of an instance, or None."""
        return self._view.signal(instance)

    def text_state(self) -> TextState:
        """Return the revision and digest of the list in use."""
        return self._text_state

    def current_text(self) -> str:
        """Return the list as the platform published it."""
        return self._text

    def wants_text(self) -> bool:
        """Return whether the platform is unreachable, so that peers must send the list.

        The list of 4,740 instances is about a megabyte and changes 700 times a day.
        Receiving it from peers as well would double the traffic that the list causes.
        """
        return not self._platform.reachable(VALUE_NAME)

    def receive(self, revision: int, text: str) -> None:
        """Apply a list if it is newer and can be read.

        Args:
            revision: Revision given by the platform.
            text: The list.
        """
        state = self._text_state
        digest = text_digest(text)
        if revision < max(1, state.revision):
            self._ignored.labels("stale").inc()
            LIST_STALE.log(_logger, offered=revision, known=state.revision)
            return
        if revision == state.revision:
            if digest != state.digest:
                self.record_conflict(revision, digest)
            return
        if (revision, digest) == state.refused:
            return
        match read_list(text):
            case UnreadableList(detail):
                self._ignored.labels("invalid").inc()
                LIST_INVALID.log(_logger, revision=revision, detail=detail)
                refused = max(state.refused, (revision, digest))
                self._text_state = TextState(state.revision, state.digest, refused)
            case Listing(instances, faults):
                self._text = text
                self._text_state = TextState(revision, digest)
                self._apply(instances, faults)

    def record_conflict(self, revision: int, digest: str) -> None:
        """Count another list with the known revision, and log it the first time."""
        self._ignored.labels("conflict").inc()
        if self._last_conflict != (revision, digest):
            self._last_conflict = (revision, digest)
            LIST_CONFLICT.log(_logger, revision=revision, digest=digest)

    async def _run(self) -> None:
        await self._exchange.fetch_newest()
        self._platform.watch(VALUE_NAME, self._seen_revision, self._on_value)
        await self._exchange.run(lambda: self._kernel.pauses)

    def _seen_revision(self) -> int:
        return max(self._text_state.revision, self._text_state.refused[0])

    def _on_value(self, value: PlatformValue) -> None:
        self.receive(value.revision, value.value)

    def _apply(self, instances: dict[str, Instance], faults: tuple[str, ...]) -> None:
        self._applied_at = now()
        self._faults = faults
        if faults:
            RECORDS_LEFT_OUT.log(_logger, count=len(faults), first=faults[0])
        self._view.replace(instances)
        self._platform.learn_readers(len(instances))
        self._configuration.learn_peers(
            ListedPeer(PeerAddress(i.address, i.peer_port), i.failure_domain)
            for i in instances.values()
        )
        self._ready.set()
        self._notify()
        if self.wants_text():
            self._exchange.announce()

    def _on_configuration(self, configuration: Configuration) -> None:
        self._view.set_draining_hosts(configuration.document.draining_hosts)
        self._notify()

    def _notify(self) -> None:
        for callback in self._subscribers:
            callback()

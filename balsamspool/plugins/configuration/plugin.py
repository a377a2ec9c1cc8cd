"""Plug-in that keeps the configuration in force."""

import asyncio
import logging
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from prometheus_client import Counter

from balsamspool.kernel.errors import ResultError
from balsamspool.kernel.identity import Role
from balsamspool.kernel.lifecycle import Kernel
from balsamspool.kernel.registry import Plugin, register
from balsamspool.plugins.configuration.checker import split_address
from balsamspool.plugins.configuration.codes import NO_CONFIGURATION, SUBSCRIBER_FAILED
from balsamspool.plugins.configuration.events import (
    CONFIGURATION_CONFLICT,
    CONFIGURATION_IN_FORCE,
    CONFIGURATION_INVALID,
    CONFIGURATION_REVERTED,
    CONFIGURATION_STALE,
    RESTORE_FAILED,
)
from balsamspool.plugins.configuration.exchange import Exchange, MessageTypes, TextState
from balsamspool.plugins.configuration.messages import (
    ConfigurationOffer,
    ConfigurationReply,
    ConfigurationRequest,
)
from balsamspool.plugins.configuration.peers import ListedPeer, PeerSample
from balsamspool.plugins.configuration.settings import ConfigurationSettings
from balsamspool.plugins.configuration.store import (
    Accepted,
    Configuration,
    ConfigurationStore,
    Conflict,
    Invalid,
    Known,
    Stale,
)
from balsamspool.plugins.configuration.text import Service
from balsamspool.plugins.mesh import MeshPlugin, PeerAddress
from balsamspool.plugins.platform import PlatformPlugin, PlatformValue

_logger = logging.getLogger(__name__)

VALUE_NAME = "configuration"
# Time for which a process that starts waits for the first answer of a peer before it
# trusts the platform alone. Peers that are merely paused answer within it.
SILENT_PEERS_SECONDS = 5.0

OnConfiguration = Callable[[Configuration], None]


@dataclass(frozen=True, slots=True)
class _Subscriber:
    apply: OnConfiguration
    check: OnConfiguration | None


@register(
    "configuration", roles=[Role.ENTRY, Role.AGENT], requires=["platform", "mesh"]
)
class ConfigurationPlugin(Plugin):
    """Keeps the configuration in force and notifies subscribers of each change.

    Args:
        kernel: Kernel that runs the plug-in.
    """

    settings_type = ConfigurationSettings

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._store = ConfigurationStore()
        self._subscribers: list[_Subscriber] = []
        self._ready = asyncio.Event()
        self._last_conflict: tuple[int, str] | None = None
        identity = kernel.identity
        settings: ConfigurationSettings = kernel.settings.section("configuration")
        self._peers = PeerSample(
            PeerAddress(identity.address, identity.peer_port),
            identity.failure_domain,
            [PeerAddress(*split_address(peer)) for peer in settings.peers],
            random.Random(),
        )
        self._exchange = Exchange(
            kernel.plugin(MeshPlugin),
            MessageTypes(ConfigurationOffer, ConfigurationRequest, ConfigurationReply),
            self._peers,
            self,
            random.Random(),
        )
        self._ignored = Counter(
            "balsamspool_configuration_ignored_texts",
            "Texts or offers that were not put in force",
            ["reason"],
            registry=kernel.metrics,
        )

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

    @property
    def fresh(self) -> bool:
        """Whether peers were queried since the last pause of the process."""
        return self._exchange.is_fresh(self._kernel.pauses)

    @property
    def peers(self) -> PeerSample:
        """Peers with which this process exchanges text and instance list."""
        return self._peers

    async def start(self) -> None:
        """Request the text from peers, then watch the platform."""
        self._kernel.spawn(self._run(), "configuration exchange")

    def status(self) -> dict[str, object]:
        """Return revision and digest in force and the newest refused text."""
        current, rejected = self._store.current, self._store.rejected
        conflict = self._last_conflict
        return {
            "revision": self._store.revision,
            "digest": current.digest if current else None,
            "rejected_revision": rejected.revision if rejected else None,
            "rejected_detail": rejected.detail if rejected else None,
            "conflict_revision": conflict[0] if conflict else None,
            "conflict_digest": conflict[1] if conflict else None,
            "peers": len(self._peers.members),
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

    def subscribe(
        self, callback: OnConfiguration, check: OnConfiguration | None = None
    ) -> None:
        """Call a function with the configuration in force and each later one.

        If the function raises, the text is refused and every subscriber is called with
        the previous configuration again.

        Args:
            callback: Applies a configuration.
            check: Raises if a configuration could not be applied. All checks run before
                anything is applied.
        """
        self._subscribers.append(_Subscriber(callback, check))
        if self._store.current is not None:
            callback(self._store.current)

    def learn_peers(self, peers: Iterable[ListedPeer]) -> None:
        """Replace the known processes by those of the instance list."""
        self._peers.learn(peers)

    def offer(self, revision: int, text: str) -> None:
        """Put a text in force if it is newer and valid.

        Args:
            revision: Revision given by the platform.
            text: Configuration text.
        """
        match self._store.offer(revision, text):
            case Accepted() as accepted:
                self._put_in_force(accepted)
            case Stale(revision):
                self._ignored.labels("stale").inc()
                CONFIGURATION_STALE.log(
                    _logger, offered=revision, in_force=self._store.revision
                )
            case Conflict(revision, digest):
                self.record_conflict(revision, digest)
            case Invalid(revision, _, detail):
                self._ignored.labels("invalid").inc()
                CONFIGURATION_INVALID.log(_logger, revision=revision, detail=detail)
            case Known():
                pass

    def text_state(self) -> TextState:
        """Return the revision in force and the newest refused text."""
        current, rejected = self._store.current, self._store.rejected
        refused = (rejected.revision, rejected.digest) if rejected else (0, "")
        if current is None:
            return TextState(0, "", refused)
        return TextState(current.revision, current.digest, refused)

    def current_text(self) -> str:
        """Return the text in force."""
        return self.current.text

    def wants_text(self) -> bool:
        """Return True: peers may have a newer text than a reachable platform."""
        return True

    def receive(self, revision: int, text: str) -> None:
        """Process a text from a peer."""
        self.offer(revision, text)

    def record_conflict(self, revision: int, digest: str) -> None:
        """Count another text with the revision in force, and log it the first time."""
        self._ignored.labels("conflict").inc()
        if self._last_conflict != (revision, digest):
            self._last_conflict = (revision, digest)
            in_force = self.current.digest
            CONFIGURATION_CONFLICT.log(
                _logger, revision=revision, digest=digest, in_force=in_force
            )

    async def _run(self) -> None:
        # The platform may hold an outdated text, so peers are queried before the
        # platform is watched.
        await self._exchange.fetch_newest(SILENT_PEERS_SECONDS)
        platform = self._kernel.plugin(PlatformPlugin)
        platform.watch(VALUE_NAME, lambda: self._store.seen_revision, self._on_value)
        await self._exchange.run(lambda: self._kernel.pauses)

    def _on_value(self, value: PlatformValue) -> None:
        self.offer(value.revision, value.value)

    def _put_in_force(self, accepted: Accepted) -> None:
        configuration = accepted.configuration
        called: list[_Subscriber] = []
        try:
            for subscriber in self._subscribers:
                if subscriber.check is not None:
                    subscriber.check(configuration)
            self._kernel.keyring.replace(configuration.document.keys)
            for subscriber in self._subscribers:
                called.append(subscriber)
                subscriber.apply(configuration)
        except Exception as error:  # a failure must not leave the text partly applied
            self._revert(accepted, called, error)
            return
        self._store.confirm(configuration)
        CONFIGURATION_IN_FORCE.log(
            _logger, revision=configuration.revision, digest=configuration.digest
        )
        self._ready.set()
        self._exchange.announce()

    def _revert(
        self, accepted: Accepted, called: list[_Subscriber], error: Exception
    ) -> None:
        revision, previous = accepted.configuration.revision, accepted.previous
        code = SUBSCRIBER_FAILED
        self._store.revert(accepted, f"{code.number} {code.name}: {error!r}")
        self._ignored.labels("not-applied").inc()
        CONFIGURATION_REVERTED.log(_logger, revision=revision, error=repr(error))
        startup_keys = self._kernel.settings.process.keys
        self._kernel.keyring.replace(
            previous.document.keys if previous else startup_keys
        )
        if previous is None:
            return
        for subscriber in called:
            try:
                subscriber.apply(previous)
            except Exception as failure:  # the other subscribers must still be restored
                RESTORE_FAILED.log(_logger, error=repr(failure))

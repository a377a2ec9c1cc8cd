"""Plug-in that keeps the view of the catalog up to date."""

import asyncio
from typing import Annotated

from msgspec import Meta

from balsamspool.datagram.settings import FLOW_LIFE_SECONDS
from balsamspool.kernel.clock import now
from balsamspool.kernel.identity import Role
from balsamspool.kernel.lifecycle import Kernel
from balsamspool.kernel.registry import Plugin, register
from balsamspool.kernel.settings import Section, split_endpoint
from balsamspool.plugins.catalog.calls import CallMetrics
from balsamspool.plugins.catalog.completeness import Completeness
from balsamspool.plugins.catalog.exchange import CatalogExchange
from balsamspool.plugins.catalog.feed import CatalogFeed
from balsamspool.plugins.catalog.follower import (
    FIRST_RETRY_SECONDS,
    REREAD_SPREAD_SECONDS,
    CatalogFollower,
)
from balsamspool.plugins.catalog.peers import CatalogPeers
from balsamspool.plugins.catalog.refresher import CatalogRefresher
from balsamspool.plugins.catalog.revision import NO_REVISION, Revision
from balsamspool.plugins.catalog.source import ANSWER_SECONDS, CatalogSource
from balsamspool.plugins.catalog.upstream import (
    FollowPeer,
    ReadService,
    UpstreamSelector,
    UpstreamTimes,
)
from balsamspool.plugins.catalog.view import CatalogView

EXPIRY_INTERVAL_SECONDS = 0.5
# Time for one call that is answered as usual, and to apply its answer.
USUAL_CALL_SECONDS = 0.15
# Part of the recovery time that remains after a watch without an answer. The next call
# may find that the history is lost, so that a full read has to follow.
NEXT_CALLS_SECONDS = (
    FIRST_RETRY_SECONDS + REREAD_SPREAD_SECONDS + 2 * USUAL_CALL_SECONDS
)


class CatalogSettings(Section, frozen=True):
    """Settings of the catalog plug-in.

    Attributes:
        watch_seconds: Longest wait for changes in one call in seconds.
        apply_milliseconds: Time in milliseconds within which a published change must be
            in force.
        recovery_milliseconds: Time in milliseconds after the end of a disturbance from
            which on changes must be in force as usual. It bounds the wait for changes,
            because the answer may have been lost in the disturbance.
        flow_seconds: Longest life of a flow in seconds.
        listen: IPv4 address and port at which this process answers peers, None if it
            answers none.
        peers: Addresses and ports of processes that may know the catalog. Some of them
            may be down.
    """

    watch_seconds: Annotated[float, Meta(gt=0, le=30)] = 6.0
    apply_milliseconds: Annotated[int, Meta(ge=1_000)] = 6_000
    recovery_milliseconds: Annotated[int, Meta(ge=2_000)] = 4_000
    flow_seconds: Annotated[float, Meta(gt=0, le=86_400)] = FLOW_LIFE_SECONDS
    listen: str | None = None
    peers: list[str] = []

    @property
    def longest_watch(self) -> float:
        """Longest wait in seconds that leaves time for calls after a lost answer."""
        recovery = self.recovery_milliseconds / 1000
        return min(self.watch_seconds, recovery - ANSWER_SECONDS - NEXT_CALLS_SECONDS)

    def problem(self) -> tuple[str, str] | None:
        """Return the field and what is wrong with it, or None if all is valid."""
        listen = [("listen", self.listen)] if self.listen is not None else []
        for field, endpoint in [*listen, *(("peers", peer) for peer in self.peers)]:
            try:
                split_endpoint(endpoint)
            except ValueError as error:
                return field, str(error)
        return None


@register(
    "catalog",
    roles=[Role.DATAGRAM_ENTRY],
    requires=["catalog-source", "catalog-peers"],
)
class CatalogPlugin(Plugin):
    """Follows the published catalog.

    Args:
        kernel: Kernel that runs the plug-in.
    """

    settings_type = CatalogSettings

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        settings: CatalogSettings = kernel.settings.section("catalog")
        self._watch_seconds = settings.longest_watch
        source = kernel.plugin(CatalogSource)
        self._peers = kernel.plugin(CatalogPeers)
        self._listen = settings.listen
        self._view = CatalogView(settings.flow_seconds, kernel.counters)
        self._feed = CatalogFeed()
        self._completeness = Completeness()
        self._selector = UpstreamSelector(
            kernel.identity.address,
            UpstreamTimes.from_limit(settings.apply_milliseconds / 1000),
            kernel.new_random(),
        )
        self._follower = CatalogFollower(
            source,
            self._peers,
            split_endpoint(settings.listen)[1] if settings.listen else None,
            self._view,
            self._feed,
            self._completeness,
            self._selector,
            self._watch_seconds,
            kernel.new_random(),
            CallMetrics(kernel.counters),
        )
        self._refresher = CatalogRefresher(
            source,
            self._view,
            self._completeness,
            self._follower,
            kernel.counters,
        )
        self._pauses = 0
        self._exchange = CatalogExchange(
            self._follower,
            self._peers,
            self._view,
            settings.listen or "",
            kernel.new_random(),
        )
        self._exchange.set_peers(settings.peers)

    @property
    def ready(self) -> bool:
        """Whether a route table is in force."""
        return self._view.table is not None

    @property
    def view(self) -> CatalogView:
        """Catalog as this process knows it."""
        return self._view

    @property
    def age(self) -> float | None:
        """Seconds since the last answer of the service, None before the first."""
        answered = self._follower.last_answer
        return None if answered is None else now() - answered

    @property
    def fresh(self) -> bool:
        """Whether the view is recent enough to conclude that a route does not exist.

        A watch without changes is answered only at the end of its wait.
        """
        age = self.age
        return (
            self._follower.reachable
            and age is not None
            and age < self._watch_seconds + ANSWER_SECONDS
        )

    @property
    def selector(self) -> UpstreamSelector:
        """Selects from where this process reads the catalog."""
        return self._selector

    @property
    def revision(self) -> Revision:
        """Revision up to which changes are known, 0 before the first read."""
        return self._follower.revision or NO_REVISION

    @property
    def refresher(self) -> CatalogRefresher:
        """Reads the catalog again on demand."""
        return self._refresher

    @property
    def complete(self) -> bool:
        """Whether the catalog lists every backend server that is alive."""
        return (
            self._follower.reachable
            and not self._view.has_delayed_removals
            and self._completeness.is_complete(now())
        )

    async def start(self) -> None:
        """Start following the catalog and answering peers."""
        if self._listen is not None:
            await self._peers.serve(self._listen, self._feed.changes_after)
        self._kernel.supervise(self._exchange.run, "catalog exchange")
        self._kernel.supervise(self._refresher.run, "catalog refresher")
        self._kernel.supervise(self._follower.run, "catalog follower")
        self._kernel.supervise(self._expire, "catalog expiry")

    def reload(self) -> None:
        """Apply a changed list of peers."""
        self._exchange.set_peers(self._kernel.settings.section("catalog").peers)

    def status(self) -> dict[str, object]:
        """Return versions, age and size of the view."""
        table = self._view.table
        return {
            "routes_version": table.version if table else None,
            "routes": len(table.routes) if table else 0,
            "era": self.revision.era,
            "revision": self.revision.number,
            "reachable": self._follower.reachable,
            "age_seconds": self.age,
            "calls": self._follower.calls,
            "upstream": self._upstream_name(),
            "servers": {s.name: s.state.value for s in self._view.servers},
            "cordons": {
                domain: {
                    "revision": str(cordon.revision),
                    "since_seconds": round(now() - cordon.since, 3),
                }
                for domain, cordon in self._view.cordons.domains.items()
            },
        }

    def _upstream_name(self) -> str:
        match self._follower.upstream:
            case ReadService():
                return "service"
            case FollowPeer(address):
                return address

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_SECONDS)
            self._record_pauses()
            self._view.expire(now())

    def _record_pauses(self) -> None:
        """Record each pause as an outage, because the pause may have hidden one."""
        if self._kernel.pauses != self._pauses:
            self._pauses = self._kernel.pauses
            self._follower.record_pause()

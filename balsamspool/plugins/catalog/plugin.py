"""Plug-in that keeps the view of the catalog up to date."""

import asyncio
import random
from typing import Annotated

from msgspec import Meta

from balsamspool.kernel.clock import now
from balsamspool.kernel.identity import Role
from balsamspool.kernel.lifecycle import Kernel
from balsamspool.kernel.registry import Plugin, register
from balsamspool.kernel.settings import Section, split_endpoint
from balsamspool.minihttp.server import Page, PageServer
from balsamspool.plugins.catalog.completeness import Completeness
from balsamspool.plugins.catalog.exchange import CATALOG_PATH, CatalogExchange
from balsamspool.plugins.catalog.follower import CatalogFollower
from balsamspool.plugins.catalog.refresher import CatalogRefresher
from balsamspool.plugins.catalog.source import CatalogSource
from balsamspool.plugins.catalog.view import CatalogView

EXPIRY_INTERVAL_SECONDS = 0.5
# Time added to the longest wait of a watch to get the age at which the view no longer
# counts as fresh. A watch without changes is answered only at the end of its wait.
FRESH_MARGIN_SECONDS = 1.0


class CatalogSettings(Section, frozen=True):
    """Settings of the catalog plug-in.

    Attributes:
        watch_seconds: Longest wait for changes in one call in seconds. It bounds the
            time until a lost answer is detected; the source detects a silent
            connection sooner.
        listen: IPv4 address and port at which this process answers peers, None if it
            answers none.
        peers: Addresses and ports of processes that may know the catalog. Some of them
            may be down.
    """

    watch_seconds: Annotated[float, Meta(gt=0, le=30)] = 6.0
    listen: str | None = None
    peers: list[str] = []

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
    requires=["catalog-source"],
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
        self._watch_seconds = settings.watch_seconds
        source = kernel.plugin(CatalogSource)
        self._view = CatalogView()
        self._completeness = Completeness()
        self._follower = CatalogFollower(
            source, self._view, self._completeness, self._watch_seconds, random.Random()
        )
        self._refresher = CatalogRefresher(
            source, self._view, self._completeness, self._follower
        )
        self._pauses = 0
        self._listen = settings.listen
        self._exchange = CatalogExchange(
            self._follower, self._view, settings.listen or "", random.Random()
        )
        self._exchange.set_peers(settings.peers)
        self._server = PageServer(self._page)

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
        """Whether the view is recent enough to conclude that a route does not exist."""
        age = self.age
        return (
            self._follower.reachable
            and age is not None
            and age < self._watch_seconds + FRESH_MARGIN_SECONDS
        )

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
            await self._server.start(*split_endpoint(self._listen))
        self._kernel.spawn(self._exchange.run(), "catalog exchange")
        self._kernel.spawn(self._refresher.run(), "catalog refresher")
        self._kernel.spawn(self._follower.run(), "catalog follower")
        self._kernel.spawn(self._expire(), "catalog expiry")

    async def stop(self) -> None:
        """Stop answering peers."""
        self._server.close()

    def reload(self) -> None:
        """Apply a changed list of peers."""
        self._exchange.set_peers(self._kernel.settings.section("catalog").peers)

    def status(self) -> dict[str, object]:
        """Return versions, age and size of the view."""
        table = self._view.table
        return {
            "routes_version": table.version if table else None,
            "routes": len(table.routes) if table else 0,
            "revision": self._follower.revision,
            "reachable": self._follower.reachable,
            "age_seconds": self.age,
            "calls": self._follower.calls,
            "servers": {s.name: s.state.value for s in self._view.servers},
        }

    def _page(self, path: str, query: str) -> Page:
        return self._exchange.page(query) if path == CATALOG_PATH else Page(404, b"")

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_SECONDS)
            self._record_pauses()
            self._view.expire(now())

    def _record_pauses(self) -> None:
        """Record each pause as an outage, because the pause may have hidden one."""
        if self._kernel.pauses != self._pauses:
            self._pauses = self._kernel.pauses
            self._view.record_outage(now())
            self._completeness.record_outage(now())

"""Plug-in that keeps the view of the catalog."""

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
from balsamspool.plugins.catalog.exchange import PATH, CatalogExchange
from balsamspool.plugins.catalog.follower import CatalogFollower
from balsamspool.plugins.catalog.refresher import CatalogRefresher
from balsamspool.plugins.catalog.source import CatalogSource
from balsamspool.plugins.catalog.view import CatalogView

EXPIRY_SECONDS = 0.5
# A watch that waits proves nothing, so an answer stays fresh for one wait and its
# margin.
FRESH_MARGIN_SECONDS = 1.0


class CatalogSettings(Section, frozen=True):
    """Settings of the catalog plug-in.

    Attributes:
        watch_seconds: Longest wait for changes in one call in seconds. It bounds the
            time after which an answer that was lost is noticed; the source notices a
            silent connection sooner.
        listen: IPv4 address and port at which peers are answered, None for no answers.
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
        self._wait = settings.watch_seconds
        source = kernel.plugin(CatalogSource)
        self._view = CatalogView()
        self._completeness = Completeness()
        self._follower = CatalogFollower(
            source, self._view, self._completeness, self._wait, random.Random()
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
        """What this process knows of the catalog."""
        return self._view

    @property
    def age(self) -> float | None:
        """Seconds since the last answer of the service, None before the first."""
        answered = self._follower.answered
        return None if answered is None else now() - answered

    @property
    def fresh(self) -> bool:
        """Whether the view is recent enough to rule out that a route exists."""
        age = self.age
        return (
            self._follower.reachable
            and age is not None
            and age < self._wait + FRESH_MARGIN_SECONDS
        )

    @property
    def refresher(self) -> CatalogRefresher:
        """Reads the catalog again on demand."""
        return self._refresher

    @property
    def complete(self) -> bool:
        """Whether every backend server that is alive is listed."""
        return (
            self._follower.reachable
            and not self._view.missing
            and self._completeness.holds(now())
        )

    async def start(self) -> None:
        """Start to follow the catalog and to answer peers."""
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
        """Take over changed peers."""
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
        return self._exchange.page(query) if path == PATH else Page(404, b"")

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_SECONDS)
            self._note_pauses()
            self._view.expire(now())

    def _note_pauses(self) -> None:
        """Treat a pause of this process like an outage, which it may have hidden."""
        if self._kernel.pauses != self._pauses:
            self._pauses = self._kernel.pauses
            self._view.note_outage(now())
            self._completeness.note_outage(now())

"""Exchange of the catalog between peers while the publishing service is unavailable."""

import asyncio
import logging
import random
from collections.abc import Sequence

from balsamspool.kernel.clock import now
from balsamspool.kernel.errors import ResultError
from balsamspool.plugins.catalog.events import SNAPSHOT_TAKEN
from balsamspool.plugins.catalog.follower import CatalogFollower
from balsamspool.plugins.catalog.peers import CatalogPeers
from balsamspool.plugins.catalog.revision import NO_REVISION
from balsamspool.plugins.catalog.view import CatalogView

_logger = logging.getLogger(__name__)

# Interval at which a process checks whether to query a peer. After a start, the first
# interval also gives the publishing service a short time to answer before a peer is
# queried.
CHECK_INTERVAL_SECONDS = 0.15
# Interval between requests to peers if this process has a catalog. It is well below
# the 8 s within which a change must be in force everywhere.
REQUEST_INTERVAL_SECONDS = 1.0


class CatalogExchange:
    """Queries the configured peers while the service does not answer.

    Args:
        follower: Follows the catalog.
        peers: Requests changes from peers.
        view: Catalog as this process knows it.
        own_endpoint: Address and port at which this process answers peers.
        rng: Random number generator.
    """

    __slots__ = (
        "_follower",
        "_endpoints",
        "_own_endpoint",
        "_peers",
        "_rng",
        "_view",
    )

    def __init__(
        self,
        follower: CatalogFollower,
        peers: CatalogPeers,
        view: CatalogView,
        own_endpoint: str,
        rng: random.Random,
    ) -> None:
        self._follower = follower
        self._peers = peers
        self._view = view
        self._own_endpoint = own_endpoint
        self._rng = rng
        self._endpoints: list[str] = []

    def set_peers(self, endpoints: Sequence[str]) -> None:
        """Set the addresses and ports of peers; some may be down."""
        self._endpoints = [e for e in endpoints if e != self._own_endpoint]
        self._rng.shuffle(self._endpoints)

    async def run(self) -> None:
        """Query peers while the service does not answer, until cancelled."""
        request_count = 0
        requested_at = float("-inf")
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            empty = self._view.table is None
            due = empty or now() - requested_at >= REQUEST_INTERVAL_SECONDS
            if (
                not self._endpoints
                or not due
                or (self._follower.reachable and not empty)
            ):
                continue
            requested_at = now()
            endpoint = self._endpoints[request_count % len(self._endpoints)]
            await self._request_from(endpoint)
            request_count += 1

    async def _request_from(self, peer: str) -> None:
        known = self._follower.revision or NO_REVISION
        try:
            delta = await self._peers.fetch(peer, known, 0.0)
        except ResultError:
            # The plug-in for peers has logged the failure.
            return
        if delta is not None and self._follower.apply_delta(delta):
            SNAPSHOT_TAKEN.log(_logger, peer=peer, revision=delta.revision)

"""Exchange of the catalog between peers while the publishing service is unavailable."""

import asyncio
import logging
import random
from collections.abc import Sequence

import msgspec
from msgspec import Struct

from balsamspool.kernel.clock import now
from balsamspool.kernel.settings import split_endpoint
from balsamspool.minihttp.client import HttpConnection
from balsamspool.minihttp.server import Page
from balsamspool.plugins.catalog.events import PEER_UNREACHABLE, SNAPSHOT_TAKEN
from balsamspool.plugins.catalog.follower import CatalogFollower
from balsamspool.plugins.catalog.model import (
    RoutesPublished,
    ServerPublished,
    Snapshot,
)
from balsamspool.plugins.catalog.view import CatalogView

_logger = logging.getLogger(__name__)

CATALOG_PATH = "/catalog"
# Interval at which a process checks whether to query a peer. After a start, the first
# interval also gives the publishing service a short time to answer before a peer is
# queried.
CHECK_INTERVAL_SECONDS = 0.15
# Interval between requests to peers if this process has a catalog. It is well below
# the 8 s within which a change must be in force everywhere.
REQUEST_INTERVAL_SECONDS = 1.0
ANSWER_TIMEOUT_SECONDS = 0.5


class CatalogState(Struct, frozen=True):
    """Catalog of a process as it is sent to a peer.

    Attributes:
        revision: Revision up to which the process knows all changes.
        routes: Record of the route table, None if the process has none.
        servers: Records of the backend servers.
    """

    revision: int
    routes: RoutesPublished | None
    servers: tuple[ServerPublished, ...]


class CatalogExchange:
    """Answers requests of peers, and queries peers while the service does not answer.

    Args:
        follower: Follows the catalog.
        view: Catalog as this process knows it.
        own_endpoint: Address and port at which this process answers peers.
        rng: Random number generator.
    """

    __slots__ = (
        "_follower",
        "_own_endpoint",
        "_peers",
        "_rng",
        "_unreachable_peers",
        "_view",
    )

    def __init__(
        self,
        follower: CatalogFollower,
        view: CatalogView,
        own_endpoint: str,
        rng: random.Random,
    ) -> None:
        self._follower = follower
        self._view = view
        self._own_endpoint = own_endpoint
        self._rng = rng
        self._peers: list[str] = []
        self._unreachable_peers: set[str] = set()

    def set_peers(self, peers: Sequence[str]) -> None:
        """Set the addresses and ports of peers; some may be down."""
        self._peers = [peer for peer in peers if peer != self._own_endpoint]
        self._rng.shuffle(self._peers)

    def page(self, query: str) -> Page:
        """Return the catalog of this process if it is newer than that of the peer.

        Args:
            query: ``after=<revision>``.
        """
        revision = self._follower.revision
        after = query.removeprefix("after=")
        if revision is None or not after.isdigit() or revision <= int(after):
            return Page(204, b"")
        routes: RoutesPublished | None = None
        servers: list[ServerPublished] = []
        for record in self._view.records():
            match record:
                case RoutesPublished():
                    routes = record
                case ServerPublished():
                    servers.append(record)
        state = CatalogState(revision, routes, tuple(servers))
        return Page(200, msgspec.msgpack.encode(state), "application/msgpack")

    async def run(self) -> None:
        """Query peers while the service does not answer, until cancelled."""
        request_count = 0
        requested_at = float("-inf")
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            empty = self._view.table is None
            due = empty or now() - requested_at >= REQUEST_INTERVAL_SECONDS
            if not self._peers or not due or (self._follower.reachable and not empty):
                continue
            requested_at = now()
            await self._request_from(self._peers[request_count % len(self._peers)])
            request_count += 1

    async def _request_from(self, peer: str) -> None:
        connection = HttpConnection(*split_endpoint(peer))
        known = self._follower.revision or 0
        try:
            answer = await connection.get(
                f"{CATALOG_PATH}?after={known}", ANSWER_TIMEOUT_SECONDS
            )
            if answer.status != 200:
                return
            state = msgspec.msgpack.decode(bytes(answer.body), type=CatalogState)
        except (OSError, msgspec.DecodeError) as error:
            self._record_unreachable(peer, error)
            return
        finally:
            connection.close()
        self._unreachable_peers.discard(peer)
        self._apply_state(peer, state)

    def _apply_state(self, peer: str, state: CatalogState) -> None:
        routes = (state.routes,) if state.routes else ()
        if self._follower.apply_peer_snapshot(
            Snapshot(state.revision, (*routes, *state.servers))
        ):
            SNAPSHOT_TAKEN.log(_logger, peer=peer, revision=state.revision)

    def _record_unreachable(self, peer: str, error: Exception) -> None:
        if peer not in self._unreachable_peers:
            self._unreachable_peers.add(peer)
            PEER_UNREACHABLE.log(_logger, peer=peer, error=repr(error))

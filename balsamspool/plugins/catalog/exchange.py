"""Catalog exchange between entries while the service that publishes it is away."""

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

PATH = "/catalog"
# A process that starts gives the service a little time before it asks a peer.
CHECK_SECONDS = 0.15
# Between two questions of a process that has a catalog; below the 8 s in which a
# change has to be in force everywhere.
ASK_SECONDS = 1.0
ANSWER_SECONDS = 0.5


class CatalogState(Struct, frozen=True):
    """What a process knows, as it is sent to a peer.

    Attributes:
        revision: Revision up to which its changes are known.
        routes: Record of the route table, None if it has none.
        servers: Records of the backend servers.
    """

    revision: int
    routes: RoutesPublished | None
    servers: tuple[ServerPublished, ...]


class CatalogExchange:
    """Answers peers, and asks them while the service does not answer.

    Args:
        follower: Follows the catalog.
        view: What the process knows.
        own: Address and port at which this process answers peers.
        rng: Source of randomness.
    """

    __slots__ = ("_follower", "_own", "_peers", "_rng", "_silent", "_view")

    def __init__(
        self,
        follower: CatalogFollower,
        view: CatalogView,
        own: str,
        rng: random.Random,
    ) -> None:
        self._follower = follower
        self._view = view
        self._own = own
        self._rng = rng
        self._peers: list[str] = []
        self._silent: set[str] = set()

    def set_peers(self, peers: Sequence[str]) -> None:
        """Set the addresses and ports of peers; some may be down."""
        self._peers = [peer for peer in peers if peer != self._own]
        self._rng.shuffle(self._peers)

    def page(self, query: str) -> Page:
        """Return what this process knows if it is newer than what the peer has.

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
        """Ask peers whenever the service does not answer, until cancelled."""
        turn = 0
        asked = float("-inf")
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            empty = self._view.table is None
            due = empty or now() - asked >= ASK_SECONDS
            if not self._peers or not due or (self._follower.reachable and not empty):
                continue
            asked = now()
            await self._ask(self._peers[turn % len(self._peers)])
            turn += 1

    async def _ask(self, peer: str) -> None:
        connection = HttpConnection(*split_endpoint(peer))
        known = self._follower.revision or 0
        try:
            answer = await connection.get(f"{PATH}?after={known}", ANSWER_SECONDS)
            if answer.status != 200:
                return
            state = msgspec.msgpack.decode(bytes(answer.body), type=CatalogState)
        except (OSError, msgspec.DecodeError) as error:
            self._note_silent(peer, error)
            return
        finally:
            connection.close()
        self._silent.discard(peer)
        self._take(peer, state)

    def _take(self, peer: str, state: CatalogState) -> None:
        routes = (state.routes,) if state.routes else ()
        if self._follower.adopt(Snapshot(state.revision, (*routes, *state.servers))):
            SNAPSHOT_TAKEN.log(_logger, peer=peer, revision=state.revision)

    def _note_silent(self, peer: str, error: Exception) -> None:
        if peer not in self._silent:
            self._silent.add(peer)
            PEER_UNREACHABLE.log(_logger, peer=peer, error=repr(error))

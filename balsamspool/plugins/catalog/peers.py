"""Plug-in that passes the catalog between processes over HTTP."""

import logging
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs

from balsamspool.kernel.errors import ResultError
from balsamspool.kernel.identity import Role
from balsamspool.kernel.lifecycle import Kernel
from balsamspool.kernel.registry import Plugin, register
from balsamspool.kernel.settings import split_endpoint
from balsamspool.minihttp.client import HttpConnection
from balsamspool.minihttp.server import Page, PageServer
from balsamspool.plugins.catalog.codes import CATALOG_PEER_UNAVAILABLE
from balsamspool.plugins.catalog.delta import (
    CatalogDelta,
    decode_delta,
    encode_delta,
    encode_records,
)
from balsamspool.plugins.catalog.events import PEER_LOST, PEER_REGAINED
from balsamspool.plugins.catalog.revision import Revision, decode_revision

_logger = logging.getLogger(__name__)

# The version counts the layouts of requests and answers, so that processes of different
# versions do not misread each other.
CHANGES_PATH = "/catalog/v2/changes"
# Time for the answer of a peer, beyond the wait that the request asks for.
ANSWER_SECONDS = 0.5
# Longest wait that a peer may ask for.
MAX_WAIT_SECONDS = 5.0
# Maximum number of connections that are kept open to peers.
MAX_CONNECTIONS = 8
# Enough for any revision.
MAX_DIGITS = 20

# Returns what changed after a revision, or None if nothing did within a time in
# seconds.
AnswerChanges = Callable[[Revision, float], Awaitable[CatalogDelta | None]]


@register("catalog-peers", roles=[Role.DATAGRAM_ENTRY])
class CatalogPeers(Plugin):
    """Requests changes of the catalog from peers, and answers theirs.

    The emulator replaces this plug-in by one of its own.

    Args:
        kernel: Kernel that runs the plug-in.
    """

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        # Connections by peer, and whether their requests wait for changes.
        self._connections: dict[tuple[str, bool], HttpConnection] = {}
        self._lost_peers: set[str] = set()
        self._answer: AnswerChanges | None = None
        # The records that were encoded last, by the revisions that they lead to and
        # from.
        self._encoded: tuple[tuple[Revision, Revision], bytes] | None = None
        self._server = PageServer(self._page)

    async def stop(self) -> None:
        """Stop answering peers and close the connections to them."""
        self._server.close()
        while self._connections:
            self._connections.popitem()[1].close()

    async def serve(self, endpoint: str, answer: AnswerChanges) -> None:
        """Answer requests of peers.

        Args:
            endpoint: IPv4 address and port to listen at.
            answer: Returns the changes.
        """
        self._answer = answer
        await self._server.start(*split_endpoint(endpoint))

    async def fetch(
        self, peer: str, after: Revision, wait: float
    ) -> CatalogDelta | None:
        """Request the changes after a revision from a peer.

        Args:
            peer: IPv4 address and port of the peer.
            after: Revision up to which this process knows all changes.
            wait: Time in seconds for which the peer waits for a change.

        Returns:
            The changes, None if there are none.

        Raises:
            ResultError: With code 2304 if the peer gives no usable answer in time.
        """
        # A request that waits for changes must not delay or disturb one that does not.
        key = (peer, wait > 0)
        connection = self._connection(key)
        target = f"{CHANGES_PATH}?after={int(after)}&wait-ms={int(wait * 1000)}"
        try:
            response = await connection.get(target, wait + ANSWER_SECONDS)
            if response.status not in (200, 204):
                raise OSError(f"answered with status {response.status}")
            body = bytes(response.body)
            delta = decode_delta(body) if response.status == 200 else None
        except (OSError, ValueError) as error:
            self._connections.pop(key, None)
            connection.close()
            self._record_lost(peer, error)
            raise ResultError(CATALOG_PEER_UNAVAILABLE, f"{peer}: {error!r}") from error
        if peer in self._lost_peers:
            self._lost_peers.discard(peer)
            PEER_REGAINED.log(_logger, peer=peer)
        return delta

    def _connection(self, key: tuple[str, bool]) -> HttpConnection:
        connection = self._connections.pop(key, None)
        if connection is None:
            connection = HttpConnection(*split_endpoint(key[0]))
        # The connection that was used last is at the end.
        self._connections[key] = connection
        if len(self._connections) > MAX_CONNECTIONS:
            self._connections.pop(next(iter(self._connections))).close()
        return connection

    def _record_lost(self, peer: str, error: Exception) -> None:
        if peer not in self._lost_peers:
            self._lost_peers.add(peer)
            PEER_LOST.log(_logger, peer=peer, error=repr(error))

    async def _page(self, path: str, query: str) -> Page:
        if path != CHANGES_PATH or self._answer is None:
            return Page(404, b"")
        fields = parse_qs(query)
        try:
            after = decode_revision(Revision, max(0, _whole_number(fields["after"][0])))
            wait = _whole_number(fields.get("wait-ms", ["0"])[0]) / 1000
        except (KeyError, ValueError):
            return Page(400, b"after and wait-ms are whole numbers\n")
        delta = await self._answer(after, min(max(0.0, wait), MAX_WAIT_SECONDS))
        if delta is None:
            return Page(204, b"")
        body = encode_delta(delta, self._encode_records(delta, after))
        return Page(200, body, "application/octet-stream")

    def _encode_records(self, delta: CatalogDelta, after: Revision) -> bytes:
        """Return the encoded records, which many peers request at the same moment."""
        key = (delta.revision, after)
        if self._encoded is None or self._encoded[0] != key:
            self._encoded = (key, encode_records(delta.records))
        return self._encoded[1]


def _whole_number(text: str) -> int:
    """Return the whole number that a text holds in decimal digits.

    Raises:
        ValueError: If the text has another form or is too long.
    """
    digits = text.removeprefix("-")
    if not digits.isascii() or not digits.isdigit() or len(digits) > MAX_DIGITS:
        raise ValueError("not a whole number")
    return int(text)

"""Requests for catalog changes between emulated entries."""

import asyncio

from balsamspool.kernel.errors import ResultError
from balsamspool.plugins.catalog.codes import CATALOG_PEER_UNAVAILABLE
from balsamspool.plugins.catalog.delta import CatalogDelta, decode_delta, encode_delta
from balsamspool.plugins.catalog.peers import (
    ANSWER_SECONDS,
    AnswerChanges,
    CatalogPeers,
)
from balsamspool.plugins.catalog.revision import Revision
from emulator.network import Network

CONTROL_PORT = 8166


class EmulatedPeers(CatalogPeers):
    """Requests changes over the emulated network.

    Args:
        kernel: Kernel that runs the plug-in.
        network: The network.
        address: Address of the process.
    """

    def __init__(self, kernel: object, network: Network, address: str) -> None:
        super().__init__(kernel)
        self._network = network
        self._address = address
        self._endpoint = ""

    async def stop(self) -> None:
        """Stop answering peers."""
        self._network.close_requests(self._endpoint)

    async def serve(self, endpoint: str, answer: AnswerChanges) -> None:
        """Answer requests of peers."""

        async def handle(request: bytes) -> bytes:
            after, wait = request.split()
            delta = await answer(Revision(int(after)), float(wait))
            return encode_delta(delta) if delta is not None else b""

        self._endpoint = endpoint
        self._network.serve_requests(endpoint, handle)

    async def fetch(
        self, peer: str, after: Revision, wait: float
    ) -> CatalogDelta | None:
        """Request the changes after a revision from a peer."""
        request = f"{int(after)} {wait}".encode()
        try:
            async with asyncio.timeout(wait + ANSWER_SECONDS):
                answer = await self._network.request(request, self._address, peer)
        except OSError as error:
            raise ResultError(CATALOG_PEER_UNAVAILABLE, repr(error)) from error
        return decode_delta(answer) if answer else None

"""Plug-in that carries messages between processes over pynng."""

import logging
from collections.abc import Callable
from typing import Any

from prometheus_client import Counter
from pynng import Closed, NNGException, Pull0

from balsamspool.kernel.identity import Role
from balsamspool.kernel.lifecycle import Kernel
from balsamspool.kernel.registry import Plugin, register
from balsamspool.plugins.mesh._codec import MeshCodec
from balsamspool.plugins.mesh.message import Message, PeerAddress
from balsamspool.plugins.mesh.peer import Peer

_logger = logging.getLogger(__name__)

MAX_FRAME_BYTES = 2 * 1024 * 1024

OnMessage = Callable[[Message], None]


@register("mesh", roles=[Role.ENTRY, Role.AGENT])
class MeshPlugin(Plugin):
    """Sends messages to peers and hands received ones to subscribers.

    Args:
        kernel: Kernel that runs the plug-in.
    """

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._codec = MeshCodec(kernel.keyring, kernel.identity)
        self._socket: Pull0 | None = None
        self._peers: dict[PeerAddress, Peer] = {}
        self._subscribers: dict[type, OnMessage] = {}
        self._received = Counter(
            "balsamspool_mesh_received_messages",
            "Messages received",
            ["result"],
            registry=kernel.metrics,
        )

    async def start(self) -> None:
        """Listen for messages."""
        identity = self._kernel.identity
        url = f"tcp://{identity.address}:{identity.peer_port}"
        self._socket = Pull0(recv_max_size=MAX_FRAME_BYTES)
        self._socket.listen(url)
        self._kernel.spawn(self._receive(self._socket), "mesh receive")

    async def stop(self) -> None:
        """Close the listening socket."""
        if self._socket is not None:
            self._socket.close()

    def subscribe(self, body_type: type, callback: OnMessage) -> None:
        """Call a function with each message of a class."""
        self._subscribers[body_type] = callback

    def send(self, peer: PeerAddress, body: Any) -> bool:
        """Queue a message for a peer. Nothing is ever sent twice.

        Args:
            peer: Where the peer's mesh socket listens.
            body: Instance of a registered message class.

        Returns:
            False if the message was dropped at once; True says nothing about delivery.
        """
        link = self._peers.get(peer)
        if link is None:
            link = self._peers[peer] = Peer(peer)
            self._kernel.spawn(link.run(), f"peer {peer.address}:{peer.peer_port}")
        return link.send(self._codec.seal(body))

    async def _receive(self, socket: Pull0) -> None:
        while True:
            try:
                frame = await socket.arecv()
            except Closed:
                return
            except NNGException:
                self._received.labels("failed").inc()
                continue
            self._dispatch(frame)

    def _dispatch(self, frame: bytes) -> None:
        message = self._codec.open(frame)
        if message is None:
            self._received.labels("not-authentic").inc()
            return
        callback = self._subscribers.get(type(message.body))
        if callback is None:
            self._received.labels("not-expected").inc()
            return
        self._received.labels("accepted").inc()
        callback(message)

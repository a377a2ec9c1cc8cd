"""Plug-in that carries messages between processes over pynng."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from prometheus_client import Counter, Gauge
from pynng import Closed, NNGException, Pipe, Pull0

from balsamspool.kernel.clock import now
from balsamspool.kernel.errors import ResultError
from balsamspool.kernel.identity import Role
from balsamspool.kernel.lifecycle import Kernel
from balsamspool.kernel.registry import Plugin, register
from balsamspool.plugins.mesh._codec import MeshCodec
from balsamspool.plugins.mesh.codes import PEER_PORT_UNAVAILABLE
from balsamspool.plugins.mesh.connections import Connections
from balsamspool.plugins.mesh.events import PEERS_EXHAUSTED, SUBSCRIBER_FAILED
from balsamspool.plugins.mesh.guard import FrameGuard, Fresh, Rejected
from balsamspool.plugins.mesh.message import (
    Message,
    NotSent,
    PeerAddress,
    SendResult,
    Sent,
    lifetime_of,
)
from balsamspool.plugins.mesh.peer import PeerLink

_logger = logging.getLogger(__name__)

MAX_FRAME_BYTES = 2 * 1024 * 1024
PEER_LIMIT = 256
# Pause after a failed receive. NNG reports a failed receive immediately, so a lasting
# failure would keep the receive task busy without a pause.
RECEIVE_RETRY_SECONDS = 0.1

MessageHandler = Callable[[Message], None]


@register("mesh", roles=[Role.ENTRY, Role.AGENT])
class MeshPlugin(Plugin):
    """Sends messages to peers and passes received messages to subscribers.

    Args:
        kernel: Kernel that runs the plug-in.
    """

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._codec = MeshCodec(kernel.keyring, kernel.identity)
        self._guard = FrameGuard(kernel.identity.incarnation)
        self._socket: Pull0 | None = None
        self._links: dict[PeerAddress, PeerLink] = {}
        self._subscribers: dict[type, MessageHandler] = {}
        self._received = Counter(
            "balsamspool_mesh_received_messages",
            "Messages received",
            ["result"],
            registry=kernel.metrics,
        )
        self._sent = Counter(
            "balsamspool_mesh_sent_messages",
            "Messages to peers by what became of them",
            ["result"],
            registry=kernel.metrics,
        )
        self._received_bytes = Counter(
            "balsamspool_mesh_received_bytes",
            "Bytes of frames received, without TCP and IP headers",
            registry=kernel.metrics,
        )
        self._sent_bytes = Counter(
            "balsamspool_mesh_sent_bytes",
            "Bytes of frames that a socket took, without TCP and IP headers",
            registry=kernel.metrics,
        )
        self._dropped = Counter(
            "balsamspool_mesh_dropped_connections",
            "Connections closed because they are not those of a peer",
            ["reason"],
            registry=kernel.metrics,
        )
        links = Gauge(
            "balsamspool_mesh_links_peers",
            "Peers with an open link",
            registry=kernel.metrics,
        )
        links.set_function(lambda: len(self._links))
        self._connections = Connections(lambda r: self._dropped.labels(r).inc())

    async def start(self) -> None:
        """Listen for messages.

        Raises:
            ResultError: With code 1801 if the port cannot be opened.
        """
        identity = self._kernel.identity
        url = f"tcp://{identity.address}:{identity.peer_port}"
        self._socket = Pull0(recv_max_size=MAX_FRAME_BYTES)
        self._connections.track(self._socket)
        try:
            self._socket.listen(url)
        except NNGException as error:
            raise ResultError(PEER_PORT_UNAVAILABLE, f"{url}: {error}") from error
        self._kernel.spawn(self._receive(self._socket), "mesh receive")
        self._kernel.spawn(self._connections.close_unverified(), "mesh connections")

    async def stop(self) -> None:
        """Close the listening socket."""
        if self._socket is not None:
            self._socket.close()

    def status(self) -> dict[str, object]:
        """Return the number of peers and of connections."""
        return {"peers": len(self._links), "connections": len(self._connections)}

    def subscribe(self, body_type: type, callback: MessageHandler) -> None:
        """Call a function with each message of a class."""
        self._subscribers[body_type] = callback

    def send(
        self, peer: PeerAddress, body: Any, incarnation: bytes | None = None
    ) -> bool:
        """Queue a message for a peer. No message is sent twice.

        Args:
            peer: Address at which the peer's mesh socket listens.
            body: Instance of a registered message class.
            incarnation: The only incarnation that may read the message, None for any.

        Returns:
            False if the message was dropped immediately. True does not confirm
            delivery.
        """
        return not self._enqueue(peer, body, incarnation).done()

    async def deliver(
        self, peer: PeerAddress, body: Any, incarnation: bytes | None = None
    ) -> SendResult:
        """Queue a message and wait until the socket accepts it or it is dropped.

        Args:
            peer: Address at which the peer's mesh socket listens.
            body: Instance of a registered message class.
            incarnation: The only incarnation that may read the message, None for any.

        Returns:
            ``NotSent`` only if it is certain that the peer never receives the message.
        """
        # The shield keeps the frame queued when the waiting task is cancelled.
        return await asyncio.shield(self._enqueue(peer, body, incarnation))

    def _enqueue(
        self, peer: PeerAddress, body: Any, incarnation: bytes | None
    ) -> asyncio.Future[SendResult]:
        frame = self._codec.seal(body, now(), incarnation or b"")
        link = self._links.get(peer)
        if link is None and len(self._links) >= PEER_LIMIT:
            PEERS_EXHAUSTED.log(_logger, peer=f"{peer.address}:{peer.peer_port}")
            result = asyncio.get_running_loop().create_future()
            result.set_result(NotSent("too-many-peers"))
        elif len(frame) > MAX_FRAME_BYTES:
            result = asyncio.get_running_loop().create_future()
            result.set_result(NotSent("too-large"))
        else:
            link = link or self._open_link(peer)
            result = link.send(frame, lifetime_of(type(body)))
        size = len(frame)
        result.add_done_callback(lambda future: self._count_sent(future, size))
        return result

    def _open_link(self, peer: PeerAddress) -> PeerLink:
        link = self._links[peer] = PeerLink(peer)
        self._kernel.spawn(
            self._run_link(peer, link), f"peer {peer.address}:{peer.peer_port}"
        )
        return link

    async def _run_link(self, peer: PeerAddress, link: PeerLink) -> None:
        try:
            await link.run()
        finally:
            del self._links[peer]

    def _count_sent(self, result: asyncio.Future[SendResult], size: int) -> None:
        if result.cancelled():
            return
        match result.result():
            case Sent():
                self._sent.labels("sent").inc()
                self._sent_bytes.inc(size)
            case NotSent(reason):
                self._sent.labels(reason).inc()

    async def _receive(self, socket: Pull0) -> None:
        while True:
            try:
                received = await socket.arecv_msg()
            except Closed:
                return
            except NNGException:
                self._received.labels("failed").inc()
                await asyncio.sleep(RECEIVE_RETRY_SECONDS)
                continue
            self._dispatch(received.bytes, received.pipe)

    def _dispatch(self, data: bytes, pipe: Pipe | None) -> None:
        self._received_bytes.inc(len(data))
        frame = self._codec.open(data)
        if frame is None:
            self._received.labels("not-authentic").inc()
            self._connections.drop(pipe, "not-authentic")
            return
        match self._guard.check(frame, now()):
            case Rejected(reason):
                self._received.labels(reason).inc()
            case Fresh(age):
                self._connections.mark_verified(pipe)
                self._notify_subscriber(replace(frame.message, age=age))

    def _notify_subscriber(self, message: Message) -> None:
        callback = self._subscribers.get(type(message.body))
        if callback is None:
            self._received.labels("not-expected").inc()
            return
        try:
            callback(message)
        except Exception as error:
            self._received.labels("subscriber-failed").inc()
            SUBSCRIBER_FAILED.log(
                _logger, message=type(message.body).__name__, error=repr(error)
            )
            return
        self._received.labels("accepted").inc()

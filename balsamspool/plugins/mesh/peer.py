"""The link to one peer: one task sends its messages in order."""

import asyncio
import contextlib

from pynng import NNGException, Push0

from balsamspool.plugins.mesh.message import PeerAddress

QUEUE_LIMIT = 1024
SEND_SECONDS = 2.0


class Peer:
    """Sends frames to one peer.

    Args:
        address: Where the peer's mesh socket listens.
    """

    __slots__ = ("_address", "_dropped", "_queue")

    def __init__(self, address: PeerAddress) -> None:
        self._address = address
        self._queue: asyncio.Queue[bytes] = asyncio.Queue(QUEUE_LIMIT)
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Number of frames that were not sent."""
        return self._dropped

    def send(self, frame: bytes) -> bool:
        """Queue a frame.

        Returns:
            False if the queue is full and the frame was dropped.
        """
        try:
            self._queue.put_nowait(frame)
        except asyncio.QueueFull:
            self._dropped += 1
            return False
        return True

    async def run(self) -> None:
        """Send queued frames until cancelled."""
        url = f"tcp://{self._address.address}:{self._address.peer_port}"
        with Push0(send_buffer_size=1) as socket:
            socket.dial(url, block=False)
            while True:
                frame = await self._queue.get()
                try:
                    async with asyncio.timeout(SEND_SECONDS):
                        await socket.asend(frame)
                except (TimeoutError, NNGException):
                    self._dropped += 1
                    self._drop_waiting()

    def _drop_waiting(self) -> None:
        """Drop what waits behind a frame that could not be sent; it is as old."""
        with contextlib.suppress(asyncio.QueueEmpty):
            while True:
                self._queue.get_nowait()
                self._dropped += 1

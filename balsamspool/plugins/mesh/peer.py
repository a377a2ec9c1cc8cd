"""Link to one peer: one task sends the queued frames in order."""

import asyncio
import contextlib
from dataclasses import dataclass

from pynng import NNGException, Push0, TryAgain

from balsamspool.kernel.clock import now
from balsamspool.plugins.mesh.message import NotSent, PeerAddress, SendResult, Sent

QUEUE_LIMIT_FRAMES = 1024
QUEUE_LIMIT_BYTES = 4 * 1024 * 1024
SEND_TIMEOUT_SECONDS = 2.0
IDLE_SECONDS = 60.0
REDIAL_MIN_MS = 100
REDIAL_MAX_MS = 1000


@dataclass(slots=True)
class _QueuedFrame:
    frame: bytes
    expires_at: float
    result: asyncio.Future[SendResult]


class PeerLink:
    """Sends frames to one peer.

    Args:
        address: Address at which the peer's mesh socket listens.
        idle_seconds: Time without frames after which ``run`` returns.
    """

    __slots__ = ("_address", "_queued_bytes", "_idle_seconds", "_queue")

    def __init__(
        self, address: PeerAddress, idle_seconds: float = IDLE_SECONDS
    ) -> None:
        self._address = address
        self._idle_seconds = idle_seconds
        self._queue: asyncio.Queue[_QueuedFrame] = asyncio.Queue(QUEUE_LIMIT_FRAMES)
        self._queued_bytes = 0

    def send(self, frame: bytes, lifetime: float) -> asyncio.Future[SendResult]:
        """Queue a frame.

        Args:
            frame: The frame.
            lifetime: Seconds after which the frame is dropped instead of sent.

        Returns:
            Future that states whether the socket accepted the frame.
        """
        result: asyncio.Future[SendResult] = asyncio.get_running_loop().create_future()
        if self._queue.full() or self._queued_bytes + len(frame) > QUEUE_LIMIT_BYTES:
            result.set_result(NotSent("queue-full"))
            return result
        expires_at = now() + min(lifetime, SEND_TIMEOUT_SECONDS)
        self._queue.put_nowait(_QueuedFrame(frame, expires_at, result))
        self._queued_bytes += len(frame)
        return result

    async def run(self) -> None:
        """Send queued frames; return when no frame was queued for the idle time."""
        socket = self._dial()
        try:
            while True:
                try:
                    async with asyncio.timeout(self._idle_seconds):
                        queued = await self._queue.get()
                except TimeoutError:
                    if self._queue.empty():
                        return
                    continue
                self._queued_bytes -= len(queued.frame)
                if await self._send_in_time(socket, queued):
                    _set_result(queued, Sent())
                    continue
                _set_result(queued, NotSent("timeout"))
                # The socket may still hold frames that are as old as the frame that was
                # not sent in time. Replacing the socket discards them.
                socket.close()
                socket = self._dial()
        finally:
            socket.close()
            self._drop_queued()

    def _dial(self) -> Push0:
        # Without a send buffer, the socket accepts a frame only when a connection can
        # carry it, so a frame that was not accepted is certainly not sent.
        socket = Push0(
            send_buffer_size=0,
            reconnect_time_min=REDIAL_MIN_MS,
            reconnect_time_max=REDIAL_MAX_MS,
        )
        url = f"tcp://{self._address.address}:{self._address.peer_port}"
        socket.dial(url, block=False)
        return socket

    async def _send_in_time(self, socket: Push0, queued: _QueuedFrame) -> bool:
        # pynng's asend does not free the message when the send is cancelled; a
        # non-blocking send does.
        while now() < queued.expires_at:
            try:
                socket.send(queued.frame, block=False)
            except TryAgain:
                if not await _wait_writable(socket, queued.expires_at):
                    return False
            except NNGException:
                return False
            else:
                return True
        return False

    def _drop_queued(self) -> None:
        with contextlib.suppress(asyncio.QueueEmpty):
            while True:
                queued = self._queue.get_nowait()
                self._queued_bytes -= len(queued.frame)
                _set_result(queued, NotSent("closed"))


async def _wait_writable(socket: Push0, deadline: float) -> bool:
    """Wait until a socket may accept a frame; return False after the deadline."""
    loop = asyncio.get_running_loop()
    writable = asyncio.Event()
    descriptor = socket.send_fd
    loop.add_reader(descriptor, writable.set)
    try:
        async with asyncio.timeout_at(deadline):
            await writable.wait()
    except TimeoutError:
        return False
    finally:
        loop.remove_reader(descriptor)
    return True


def _set_result(queued: _QueuedFrame, result: SendResult) -> None:
    if not queued.result.done():
        queued.result.set_result(result)

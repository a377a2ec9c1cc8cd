"""Connections at the listening socket, of peers and of strangers."""

import asyncio
import contextlib
from collections.abc import Callable

from pynng import NNGException, Pipe, Pull0

from balsamspool.kernel.clock import now

# Each connection may hold one frame of the largest size in memory.
CONNECTION_LIMIT = 512
VERIFY_SECONDS = 5.0
CHECK_SECONDS = 1.0


class Connections:
    """Closes connections that do not prove to come from a peer.

    A peer dials only to send a frame, so a connection without an authentic frame soon
    after its start is a stranger's.

    Args:
        on_dropped: Called with a reason for each connection that is closed.
    """

    __slots__ = ("_on_dropped", "_unverified", "_verified")

    def __init__(self, on_dropped: Callable[[str], None]) -> None:
        self._on_dropped = on_dropped
        self._unverified: dict[int, tuple[Pipe, float]] = {}
        self._verified: dict[int, Pipe] = {}

    def __len__(self) -> int:
        return len(self._unverified) + len(self._verified)

    def attach(self, socket: Pull0) -> None:
        """Follow the connections of a socket. NNG calls back on its own threads."""
        loop = asyncio.get_running_loop()

        def post(callback: Callable[[Pipe], None], pipe: Pipe) -> None:
            if not loop.is_closed():
                loop.call_soon_threadsafe(callback, pipe)

        socket.add_post_pipe_connect_cb(lambda pipe: post(self._opened, pipe))
        socket.add_post_pipe_remove_cb(lambda pipe: post(self._closed, pipe))

    def verify(self, pipe: Pipe | None) -> None:
        """Note that an authentic frame came over a connection."""
        if pipe is not None and self._unverified.pop(pipe.id, None) is not None:
            self._verified[pipe.id] = pipe

    def drop(self, pipe: Pipe | None, reason: str) -> None:
        """Close a connection and count it."""
        if pipe is None:
            return
        self._unverified.pop(pipe.id, None)
        self._verified.pop(pipe.id, None)
        self._on_dropped(reason)
        # The stranger may have closed the connection first.
        with contextlib.suppress(NNGException):
            pipe.close()

    async def watch(self) -> None:
        """Close connections that stay unverified, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            limit = now() - VERIFY_SECONDS
            late = [p for p, opened in self._unverified.values() if opened < limit]
            for pipe in late:
                self.drop(pipe, "not-verified")

    def _opened(self, pipe: Pipe) -> None:
        if pipe.id in self._verified:
            return
        self._unverified[pipe.id] = (pipe, now())
        if len(self) > CONNECTION_LIMIT:
            # The oldest unverified one goes, so that strangers cannot keep peers out.
            oldest, _ = next(iter(self._unverified.values()))
            self.drop(oldest, "too-many")

    def _closed(self, pipe: Pipe) -> None:
        self._unverified.pop(pipe.id, None)
        self._verified.pop(pipe.id, None)

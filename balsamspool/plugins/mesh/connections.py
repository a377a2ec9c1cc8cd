"""Tracks the connections to the listening socket and closes unauthenticated ones."""

import asyncio
import contextlib
from collections.abc import Callable

from pynng import NNGException, Pipe, Pull0

from balsamspool.kernel.clock import now

# Maximum number of open connections. It limits the memory in use, because each
# connection may hold one frame of the largest size.
CONNECTION_LIMIT = 512
VERIFY_TIMEOUT_SECONDS = 5.0
CHECK_INTERVAL_SECONDS = 1.0


class Connections:
    """Closes connections over which no authentic frame arrives.

    A peer connects only to send a frame, so a connection that carries no authentic
    frame soon after it is opened does not come from a peer.

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

    def track(self, socket: Pull0) -> None:
        """Track the connections of a socket."""
        # NNG runs the callbacks on its own threads, so they pass each event to the
        # event loop.
        loop = asyncio.get_running_loop()

        def post(callback: Callable[[Pipe], None], pipe: Pipe) -> None:
            if not loop.is_closed():
                loop.call_soon_threadsafe(callback, pipe)

        socket.add_post_pipe_connect_cb(lambda pipe: post(self._on_opened, pipe))
        socket.add_post_pipe_remove_cb(lambda pipe: post(self._on_closed, pipe))

    def mark_verified(self, pipe: Pipe | None) -> None:
        """Record that an authentic frame arrived over a connection."""
        if pipe is not None and self._unverified.pop(pipe.id, None) is not None:
            self._verified[pipe.id] = pipe

    def drop(self, pipe: Pipe | None, reason: str) -> None:
        """Close a connection and count it."""
        if pipe is None:
            return
        self._unverified.pop(pipe.id, None)
        self._verified.pop(pipe.id, None)
        self._on_dropped(reason)
        # The remote side may have closed the connection already.
        with contextlib.suppress(NNGException):
            pipe.close()

    async def close_unverified(self) -> None:
        """Close connections that stay unverified, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            limit = now() - VERIFY_TIMEOUT_SECONDS
            expired = [p for p, opened in self._unverified.values() if opened < limit]
            for pipe in expired:
                self.drop(pipe, "not-verified")

    def _on_opened(self, pipe: Pipe) -> None:
        if pipe.id in self._verified:
            return
        self._unverified[pipe.id] = (pipe, now())
        if len(self) > CONNECTION_LIMIT:
            # The oldest unverified connection is closed, so that unauthenticated
            # clients cannot use up the limit and block peers.
            oldest, _ = next(iter(self._unverified.values()))
            self.drop(oldest, "too-many")

    def _on_closed(self, pipe: Pipe) -> None:
        self._unverified.pop(pipe.id, None)
        self._verified.pop(pipe.id, None)

"""Callers that send requests continuously and record what they observe."""

import asyncio
import json
import random
import re
from contextlib import AsyncExitStack
from time import monotonic

from faults.history import (
    Attempt,
    CompleteAnswer,
    Feed,
    FinalState,
    History,
    Interrupted,
    NotConnected,
    Rejected,
    TimedOut,
)
from standins.caller import H3_REQUEST_REJECTED, Answer, CallerConnection, open_caller

Address = tuple[str, int]

KEY_PATH = "/.well-known/balsamspool/request-key"
RESULT_HEADER = "balsamspool-result"
CONNECT_TIMEOUT_SECONDS = 5.0
# Time limit for an answer. It is longer than the deadline of the service, so that it
# expires only if the answer is lost.
REQUEST_TIMEOUT_SECONDS = 12.0
# Shorter time limit for an answer, used for some requests with a request key. The
# caller then retries with the key without waiting for the deadline.
RETRY_TIMEOUT_SECONDS = 1.5
MAX_ATTEMPTS = 4
DOWNLOAD_SIZE_RANGE_BYTES = (20_000, 400_000)
_MESSAGE = re.compile(rb"data: (\S+) (\d+)\n\n")


class Caller:
    """One caller of a service with one connection at a time.

    Args:
        name: Prefix of the IDs of its requests.
        address: Address of the service.
        history: Where the attempts are recorded.
        seed: Seed of the random choices.
    """

    __slots__ = (
        "_address",
        "_rng",
        "_connection",
        "_count",
        "_history",
        "_name",
        "_stack",
    )

    def __init__(
        self, name: str, address: Address, history: History, seed: int
    ) -> None:
        self._name = name
        self._address = address
        self._history = history
        self._rng = random.Random(f"{seed} {name}")
        self._count = 0
        self._connection: CallerConnection | None = None
        self._stack = AsyncExitStack()

    async def run(self, until: float) -> None:
        """Send requests until the given time, then close the connection.

        Args:
            until: Time by ``monotonic()`` in seconds.
        """
        while monotonic() < until:
            match self._rng.choice(("plain", "keyed", "keyed", "download")):
                case "plain":
                    await self.send_plain()
                case "keyed":
                    await self._send_keyed()
                case "download":
                    await self._download()
            await asyncio.sleep(self._rng.uniform(0, 0.05))
        await self.disconnect()

    async def send_plain(self) -> bool:
        """Send a request without a request key and return whether it was answered."""
        request_id = self._next_id()
        path = f"/plain?id={request_id}&seconds={self._duration():.3f}"
        return (await self._attempt(request_id, "GET", path)).succeeded

    async def disconnect(self) -> None:
        """Close the connection."""
        self._connection = None
        await self._stack.aclose()

    async def _download(self) -> None:
        request_id = self._next_id()
        size = self._rng.randint(*DOWNLOAD_SIZE_RANGE_BYTES)
        path = f"/files?id={request_id}&bytes={size}&content={request_id}."
        word = f"{request_id}.".encode()
        # The backend server sends the word repeated in blocks of at most 64 KiB.
        block = word * (65_536 // len(word))
        expected = (block * (size // len(block) + 1))[:size]
        await self._attempt(request_id, "GET", path, expected=expected)

    async def _send_keyed(self) -> None:
        key_id = self._next_id()
        issued = await self._attempt(key_id, "POST", KEY_PATH, expected=b"")
        if (
            not isinstance(issued.final_state, CompleteAnswer)
            or issued.final_state.status != 201
        ):
            return
        key = json.loads(issued.final_state.body)["key"]
        request_id = self._next_id()
        path = f"/tickets?id={request_id}&seconds={self._duration():.3f}"
        timeout_seconds = self._rng.choice(
            (RETRY_TIMEOUT_SECONDS, REQUEST_TIMEOUT_SECONDS)
        )
        if self._history.planned:
            timeout_seconds = REQUEST_TIMEOUT_SECONDS
        for _ in range(MAX_ATTEMPTS):
            attempt = await self._attempt(
                request_id, "POST", path, key, timeout_seconds
            )
            if attempt.succeeded:
                break
            await self.disconnect()
            await asyncio.sleep(0.1)
        if attempt.succeeded and self._rng.random() < 0.2:
            await self.disconnect()
            await self._attempt(request_id, "POST", path, key, timeout_seconds)

    async def _attempt(
        self,
        request_id: str,
        method: str,
        path: str,
        key: str = "",
        timeout_seconds: float = REQUEST_TIMEOUT_SECONDS,
        expected: bytes | None = None,
    ) -> Attempt:
        sent_at = monotonic()
        final_state: FinalState
        try:
            connection = await self._ensure_connected()
        except (OSError, TimeoutError):
            final_state = NotConnected()
        else:
            final_state = await self._send(
                connection, method, path, key, timeout_seconds, expected
            )
        attempt = Attempt(request_id, bool(key), sent_at, monotonic(), final_state)
        self._history.attempts.append(attempt)
        if isinstance(final_state, Interrupted | TimedOut | Rejected):
            await self.disconnect()
        return attempt

    async def _send(
        self,
        connection: CallerConnection,
        method: str,
        path: str,
        key: str,
        timeout_seconds: float,
        expected: bytes | None,
    ) -> FinalState:
        headers = {"idempotency-key": key} if key else {}
        stream_id, answer = connection.start(method, path, headers)
        try:
            async with asyncio.timeout(timeout_seconds):
                await _wait_for_end(answer)
        except TimeoutError:
            # The answer may have become complete in the moment of the timeout.
            if not answer.whole:
                connection.cancel(stream_id)
                return TimedOut()
        if answer.cut:
            rejected = answer.reset_code == H3_REQUEST_REJECTED
            return Rejected() if rejected else Interrupted(answer.reset_code)
        return _complete_answer(answer, expected)

    async def _ensure_connected(self) -> CallerConnection:
        current = self._connection
        if current is not None and not current.lost and not current.goaway:
            return current
        await self.disconnect()
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            opened = open_caller(*self._address)
            self._connection = await self._stack.enter_async_context(opened)
        return self._connection

    def _next_id(self) -> str:
        self._count += 1
        return f"{self._name}-{self._count}"

    def _duration(self) -> float:
        return self._rng.choice((0.005, 0.02, 0.1, 0.3))


async def follow_feed(feed: Feed, address: Address, stop_event: asyncio.Event) -> None:
    """Receive the messages of a feed until an event is set.

    Args:
        feed: Where the messages are recorded.
        address: Address of the service.
        stop_event: Set when the feed may be closed.
    """
    async with open_caller(*address) as caller:
        _, answer = caller.start("GET", f"/feeds/{feed.name}")
        while not stop_event.is_set() and not answer.cut and not answer.whole:
            feed.messages = [
                (server.decode(), int(number))
                for server, number in _MESSAGE.findall(bytes(answer.body))
            ]
            await asyncio.sleep(0.1)
        feed.interrupted = answer.cut or answer.whole


async def _wait_for_end(answer: Answer) -> None:
    while not answer.whole and not answer.cut:
        answer.changed.clear()
        await answer.changed.wait()


def _complete_answer(answer: Answer, expected: bytes | None) -> CompleteAnswer:
    body, result = bytes(answer.body), answer.headers.get(RESULT_HEADER, "")
    outcome = json.loads(body)["outcome"] if result else ""
    return CompleteAnswer(answer.status, result, outcome, body, expected)

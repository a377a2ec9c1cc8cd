"""Callers that send requests without a pause and record what they see."""

import asyncio
import json
import random
import re
from contextlib import AsyncExitStack
from time import monotonic

from faults.history import (
    Attempt,
    Cut,
    Ending,
    Feed,
    GaveUp,
    History,
    NotConnected,
    Rejected,
    Whole,
)
from standins.caller import H3_REQUEST_REJECTED, Answer, CallerConnection, open_caller

Address = tuple[str, int]

KEY_PATH = "/.well-known/balsamspool/request-key"
RESULT_HEADER = "balsamspool-result"
CONNECT_SECONDS = 5.0
# Above the deadline of the service, so that only a lost answer runs into it.
PATIENCE_SECONDS = 12.0
# A caller that retries with its key does not wait for the deadline.
RETRY_SECONDS = 1.5
MAX_ATTEMPTS = 4
DOWNLOAD_BYTES = (20_000, 400_000)
_MESSAGE = re.compile(rb"data: (\S+) (\d+)\n\n")


class Caller:
    """One caller of a service with one connection at a time.

    Args:
        name: Name that starts the IDs of its requests.
        address: Address of the service.
        history: Where it records its requests.
        seed: Seed of its choices.
    """

    __slots__ = (
        "_address",
        "_chance",
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
        self._chance = random.Random(f"{seed} {name}")
        self._count = 0
        self._connection: CallerConnection | None = None
        self._stack = AsyncExitStack()

    async def run(self, until: float) -> None:
        """Send requests until a time, then close the connection.

        Args:
            until: Time by ``monotonic()`` in seconds.
        """
        while monotonic() < until:
            match self._chance.choice(("plain", "keyed", "keyed", "download")):
                case "plain":
                    await self.ask_plain()
                case "keyed":
                    await self._ask_keyed()
                case "download":
                    await self._download()
            await asyncio.sleep(self._chance.uniform(0, 0.05))
        await self.hang_up()

    async def ask_plain(self) -> bool:
        """Send a request without a key and return whether it was answered."""
        request_id = self._next_id()
        path = f"/plain?id={request_id}&seconds={self._duration():.3f}"
        return (await self._attempt(request_id, "GET", path)).succeeded

    async def hang_up(self) -> None:
        """Close the connection."""
        self._connection = None
        await self._stack.aclose()

    async def _download(self) -> None:
        request_id = self._next_id()
        size = self._chance.randint(*DOWNLOAD_BYTES)
        path = f"/files?id={request_id}&bytes={size}&content={request_id}."
        word = f"{request_id}.".encode()
        # The server repeats the word in blocks of 64 KiB at most.
        block = word * (65_536 // len(word))
        expected = (block * (size // len(block) + 1))[:size]
        await self._attempt(request_id, "GET", path, expected=expected)

    async def _ask_keyed(self) -> None:
        key_id = self._next_id()
        issued = await self._attempt(key_id, "POST", KEY_PATH, expected=b"")
        if not isinstance(issued.ending, Whole) or issued.ending.status != 201:
            return
        key = json.loads(issued.ending.body)["key"]
        request_id = self._next_id()
        path = f"/tickets?id={request_id}&seconds={self._duration():.3f}"
        patience = self._chance.choice((RETRY_SECONDS, PATIENCE_SECONDS))
        if self._history.planned:
            patience = PATIENCE_SECONDS
        for _ in range(MAX_ATTEMPTS):
            attempt = await self._attempt(request_id, "POST", path, key, patience)
            if attempt.succeeded:
                break
            await self.hang_up()
            await asyncio.sleep(0.1)
        if attempt.succeeded and self._chance.random() < 0.2:
            await self.hang_up()
            await self._attempt(request_id, "POST", path, key, patience)

    async def _attempt(
        self,
        request_id: str,
        method: str,
        path: str,
        key: str = "",
        patience: float = PATIENCE_SECONDS,
        expected: bytes | None = None,
    ) -> Attempt:
        sent = monotonic()
        ending: Ending
        try:
            connection = await self._connected()
        except (OSError, TimeoutError):
            ending = NotConnected()
        else:
            ending = await self._send(connection, method, path, key, patience, expected)
        attempt = Attempt(request_id, bool(key), sent, monotonic(), ending)
        self._history.attempts.append(attempt)
        if isinstance(ending, Cut | GaveUp | Rejected):
            await self.hang_up()
        return attempt

    async def _send(
        self,
        connection: CallerConnection,
        method: str,
        path: str,
        key: str,
        patience: float,
        expected: bytes | None,
    ) -> Ending:
        headers = {"idempotency-key": key} if key else {}
        stream_id, answer = connection.start(method, path, headers)
        try:
            async with asyncio.timeout(patience):
                await _ended(answer)
        except TimeoutError:
            connection.cancel(stream_id)
            return GaveUp()
        if answer.cut:
            rejected = answer.reset_code == H3_REQUEST_REJECTED
            return Rejected() if rejected else Cut(answer.reset_code)
        return _whole(answer, expected)

    async def _connected(self) -> CallerConnection:
        known = self._connection
        if known is not None and not known.lost and not known.goaway:
            return known
        await self.hang_up()
        async with asyncio.timeout(CONNECT_SECONDS):
            opened = open_caller(*self._address)
            self._connection = await self._stack.enter_async_context(opened)
        return self._connection

    def _next_id(self) -> str:
        self._count += 1
        return f"{self._name}-{self._count}"

    def _duration(self) -> float:
        return self._chance.choice((0.005, 0.02, 0.1, 0.3))


async def follow_feed(feed: Feed, address: Address, ending: asyncio.Event) -> None:
    """Follow a feed until an event is set.

    Args:
        feed: Where messages are recorded.
        address: Address of the service.
        ending: Set when the feed may be closed.
    """
    async with open_caller(*address) as caller:
        _, answer = caller.start("GET", f"/feeds/{feed.name}")
        while not ending.is_set() and not answer.cut and not answer.whole:
            feed.messages = [
                (server.decode(), int(number))
                for server, number in _MESSAGE.findall(bytes(answer.body))
            ]
            await asyncio.sleep(0.1)
        feed.cut = answer.cut or answer.whole


async def _ended(answer: Answer) -> None:
    while not answer.whole and not answer.cut:
        answer.changed.clear()
        await answer.changed.wait()


def _whole(answer: Answer, expected: bytes | None) -> Whole:
    body, result = bytes(answer.body), answer.headers.get(RESULT_HEADER, "")
    outcome = json.loads(body)["outcome"] if result else ""
    return Whole(answer.status, result, outcome, body, expected)

"""Callers of the demonstration and their results."""

import asyncio
import json
import re
from dataclasses import dataclass, field

from standins.caller import Answer, CallerConnection, ConnectionLost, open_caller

_FEED_LINE = re.compile(rb"data: (\S+) (\d+)\n\n")
REQUEST_PAUSE_SECONDS = 0.05


@dataclass(slots=True)
class CallerResults:
    """Results of the callers of one service.

    Attributes:
        requests: Requests sent.
        answered: Requests answered completely and by the right service.
        wrong: Descriptions of all wrong results.
        feeds: Feeds opened.
        broken_feeds: Feeds that ended or lost a message.
        feed_messages: Messages received on feeds.
        submitted: IDs of answered requests that must have run exactly once.
    """

    requests: int = 0
    answered: int = 0
    wrong: list[str] = field(default_factory=list)
    feeds: int = 0
    broken_feeds: int = 0
    feed_messages: int = 0
    submitted: list[str] = field(default_factory=list)


class Callers:
    """Callers of one service.

    Args:
        service: Name of the service.
        address: Public address of the service.
        paths: Paths that are requested in turn.
        feed: Path of the feed, empty for none.
        submit: Path of requests that must run at most once, empty for none.
    """

    def __init__(
        self,
        service: str,
        address: tuple[str, int],
        paths: list[str],
        feed: str = "",
        submit: str = "",
    ) -> None:
        self._service = service
        self._address = address
        self._paths = paths
        self._feed = feed
        self._submit = submit
        self._stopped = asyncio.Event()
        self.results = CallerResults()

    def stop(self) -> None:
        """Stop all callers after their requests in progress."""
        self._stopped.set()

    async def run(self, connections: int) -> None:
        """Run callers until ``stop`` is called.

        Args:
            connections: Number of connections for requests, and the same number for
                feeds if the service has a feed.
        """
        async with asyncio.TaskGroup() as group:
            for number in range(connections):
                if self._feed:
                    group.create_task(self._run_feed())
                group.create_task(self._run_requests(number))

    async def _run_feed(self) -> None:
        self.results.feeds += 1
        async with open_caller(*self._address) as caller:
            stream_id, answer = caller.start("GET", self._feed)
            await self._wait_for_feed_end(answer)
            if answer.cut or answer.whole or answer.status != 200:
                self.results.broken_feeds += 1
                self.results.wrong.append(f"feed ended, status {answer.status}")
            caller.cancel(stream_id)
        messages = _FEED_LINE.findall(bytes(answer.body))
        self.results.feed_messages += len(messages)
        numbers = [int(number) for _, number in messages]
        if numbers != list(range(len(numbers))) or not numbers:
            self.results.broken_feeds += 1
            self.results.wrong.append("feed lost a message")
        if any(not name.decode().startswith(self._service) for name, _ in messages):
            self.results.wrong.append("feed of another service")

    async def _wait_for_feed_end(self, answer: Answer) -> None:
        """Wait until the callers are stopped or the feed has ended."""
        stopped = asyncio.create_task(self._stopped.wait())
        while not (stopped.done() or answer.cut or answer.whole):
            answer.changed.clear()
            changed = asyncio.create_task(answer.changed.wait())
            await asyncio.wait((stopped, changed), return_when=asyncio.FIRST_COMPLETED)
            changed.cancel()
        stopped.cancel()

    async def _run_requests(self, caller_number: int) -> None:
        turn = 0
        while not self._stopped.is_set():
            # Opens a new connection from time to time, as real callers do.
            async with open_caller(*self._address) as caller:
                while (
                    not self._stopped.is_set() and not caller.goaway and turn % 20 < 19
                ):
                    await self._request(caller, self._paths[turn % len(self._paths)])
                    if self._submit and turn % 5 == 0:
                        await self._submit_once(caller, f"{caller_number}-{turn}")
                    turn += 1
                    await asyncio.sleep(REQUEST_PAUSE_SECONDS)
            turn += 1

    async def _request(self, caller: CallerConnection, path: str) -> None:
        self.results.requests += 1
        try:
            answer = await caller.request("GET", path)
        except (ConnectionLost, TimeoutError) as error:
            self.results.wrong.append(f"GET {path}: {error!r}")
            return
        size = re.search(r"bytes=(\d+)", path)
        if answer.status != 200:
            self.results.wrong.append(f"GET {path}: {answer.status} {answer.body!r}")
        elif size and len(answer.body) != int(size[1]):
            self.results.wrong.append(f"GET {path}: {len(answer.body)} bytes")
        elif not size and not self._is_own(bytes(answer.body)):
            self.results.wrong.append(f"GET {path}: answered by another service")
        else:
            self.results.answered += 1

    async def _submit_once(self, caller: CallerConnection, request_id: str) -> None:
        self.results.requests += 1
        path = f"{self._submit}?id={request_id}"
        try:
            issued = await caller.request(
                "POST", "/.well-known/balsamspool/request-key"
            )
            key = json.loads(bytes(issued.body))["key"]
            headers = {"idempotency-key": key}
            answer = await caller.request("POST", path, headers, b"{}")
        except (ConnectionLost, TimeoutError, KeyError, ValueError) as error:
            self.results.wrong.append(f"POST {path}: {error!r}")
            return
        if answer.status != 200:
            self.results.wrong.append(f"POST {path}: {answer.status} {answer.body!r}")
            return
        self.results.answered += 1
        self.results.submitted.append(request_id)

    def _is_own(self, body: bytes) -> bool:
        return json.loads(body)["server"].startswith(self._service)

"""Stand-in for the platform's configuration service and instance list."""

import asyncio
import gzip
from collections import deque

import msgspec
from aiohttp import web

# Calls within this window are counted for the rate that the platform permits.
RATE_WINDOW_SECONDS = 1.0


class PlatformStandIn:
    """Publishes values over HTTP with long polls.

    A test changes ``down`` and ``served`` to bring about outages and stale answers.
    """

    def __init__(self) -> None:
        self._values: dict[str, list[tuple[int, str]]] = {}
        self._changed = asyncio.Condition()
        self._calls: deque[float] = deque()
        self._last_compressed = (b"", b"")
        # Whether answers are compressed for readers that accept it.
        self.compress = False
        self.down = False
        # Number of newest revisions that are hidden, by name of the value.
        self.hidden_revisions: dict[str, int] = {}
        self.calls = 0
        self.peak_rate = 0

    async def publish(self, name: str, value: str) -> int:
        """Publish a new revision of a value and return its number."""
        async with self._changed:
            revisions = self._values.setdefault(name, [])
            revision = revisions[-1][0] + 1 if revisions else 1
            revisions.append((revision, value))
            self._changed.notify_all()
        return revision

    async def wake(self) -> None:
        """Let waiting watches see a change of ``hidden_revisions`` or ``down``."""
        async with self._changed:
            self._changed.notify_all()

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application()
        application.router.add_get("/values/{name}", self._get)
        application.router.add_put("/values/{name}", self._put)
        application.router.add_get("/calls", self._get_calls)
        application.router.add_post("/down/{state}", self._set_down)
        application.router.add_post("/hide/{name}/{count}", self._set_hidden)
        return application

    async def read(self, name: str, after: int, wait: float) -> tuple[int, str] | None:
        """Answer one call, as the HTTP interface does.

        Args:
            name: Name of the value.
            after: Revision that the reader has.
            wait: Longest wait in seconds.

        Returns:
            Revision and value, or None if the value did not change.

        Raises:
            ConnectionError: If the platform is down.
        """
        self._count_call()
        try:
            async with asyncio.timeout(wait):
                async with self._changed:
                    await self._changed.wait_for(lambda: self._is_news(name, after))
        except TimeoutError:
            pass
        if self.down:
            raise ConnectionError("the platform is down")
        served = self._served(name)
        return None if served is None or served[0] == after else served

    async def _get(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        after = int(request.query.get("after", "0"))
        wait = float(request.query.get("wait", "0"))
        try:
            served = await self.read(name, after, wait)
        except ConnectionError:
            return web.Response(status=503)
        if served is None:
            return web.Response(status=204)
        body = msgspec.json.encode({"revision": served[0], "value": served[1]})
        response = web.Response(body=body, content_type="application/json")
        if self.compress and "gzip" in request.headers.get("Accept-Encoding", ""):
            response.body = self._compressed(body)
            response.headers["Content-Encoding"] = "gzip"
        return response

    async def _put(self, request: web.Request) -> web.Response:
        revision = await self.publish(request.match_info["name"], await request.text())
        return web.json_response({"revision": revision})

    async def _get_calls(self, request: web.Request) -> web.Response:
        return web.json_response({"calls": self.calls, "peak": self.peak_rate})

    async def _set_down(self, request: web.Request) -> web.Response:
        self.down = request.match_info["state"] == "on"
        await self.wake()
        return web.Response()

    async def _set_hidden(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        self.hidden_revisions[name] = int(request.match_info["count"])
        await self.wake()
        return web.Response()

    def _is_news(self, name: str, after: int) -> bool:
        served = self._served(name)
        return self.down or (served is not None and served[0] != after)

    def _compressed(self, body: bytes) -> bytes:
        if self._last_compressed[0] != body:
            self._last_compressed = (body, gzip.compress(body, 6))
        return self._last_compressed[1]

    def _served(self, name: str) -> tuple[int, str] | None:
        revisions = self._values.get(name, [])
        shown = revisions[: len(revisions) - self.hidden_revisions.get(name, 0)]
        return shown[-1] if shown else None

    def _count_call(self) -> None:
        time = asyncio.get_running_loop().time()
        self.calls += 1
        self._calls.append(time)
        while time - self._calls[0] > RATE_WINDOW_SECONDS:
            self._calls.popleft()
        self.peak_rate = max(self.peak_rate, len(self._calls))

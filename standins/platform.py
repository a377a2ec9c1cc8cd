"""Stand-in for the platform's configuration service and instance list."""

import asyncio
import gzip
from collections import deque

import msgspec
from aiohttp import web

# Window over which calls are counted to compare them with the permitted rate.
RATE_WINDOW_SECONDS = 1.0


class PlatformStandIn:
    """Publishes values over HTTP with long polls.

    A test sets ``down`` and ``hidden_revisions`` to simulate outages and stale answers.
    """

    def __init__(self) -> None:
        self._values: dict[str, list[tuple[int, str]]] = {}
        self._changed = asyncio.Condition()
        self._call_times: deque[float] = deque()
        self._last_compressed = (b"", b"")
        # Whether answers are compressed for clients that accept gzip.
        self.compress = False
        self.down = False
        # How many of a value's newest revisions are hidden, by the name of the value.
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
        """Wake waiting watches after a change of ``hidden_revisions`` or ``down``."""
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
            after: Revision that the client already has.
            wait: Maximum wait for another revision, in seconds.

        Returns:
            Revision and value, or None if there is no other revision.

        Raises:
            ConnectionError: If the platform is down.
        """
        self._count_call()
        try:
            async with asyncio.timeout(wait):
                async with self._changed:
                    await self._changed.wait_for(lambda: self._has_changed(name, after))
        except TimeoutError:
            pass
        if self.down:
            raise ConnectionError("the platform is down")
        newest = self._newest_visible(name)
        return None if newest is None or newest[0] == after else newest

    async def _get(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        after = int(request.query.get("after", "0"))
        wait = float(request.query.get("wait", "0"))
        try:
            newest = await self.read(name, after, wait)
        except ConnectionError:
            return web.Response(status=503)
        if newest is None:
            return web.Response(status=204)
        body = msgspec.json.encode({"revision": newest[0], "value": newest[1]})
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

    def _has_changed(self, name: str, after: int) -> bool:
        newest = self._newest_visible(name)
        return self.down or (newest is not None and newest[0] != after)

    def _compressed(self, body: bytes) -> bytes:
        if self._last_compressed[0] != body:
            self._last_compressed = (body, gzip.compress(body, 6))
        return self._last_compressed[1]

    def _newest_visible(self, name: str) -> tuple[int, str] | None:
        revisions = self._values.get(name, [])
        visible = revisions[: len(revisions) - self.hidden_revisions.get(name, 0)]
        return visible[-1] if visible else None

    def _count_call(self) -> None:
        time = asyncio.get_running_loop().time()
        self.calls += 1
        self._call_times.append(time)
        while time - self._call_times[0] > RATE_WINDOW_SECONDS:
            self._call_times.popleft()
        self.peak_rate = max(self.peak_rate, len(self._call_times))

"""Stand-in for a backend server: slots, feeds, slow answers."""

import asyncio

from aiohttp import web


class BackendServerStandIn:
    """Serves test routes over HTTP and records what it ran.

    Args:
        name: Name that its answers carry.
        slots: Requests that it runs at the same time.
    """

    def __init__(self, name: str, slots: int = 2) -> None:
        self.name = name
        self.slots = slots
        self.busy = 0
        self.peak_busy = 0
        self.executed: list[str] = []
        self.cancelled = 0
        self.feed_interval = 0.1
        self.service_seconds = 0.005

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(client_max_size=1 << 30)
        application.router.add_get("/feed", self._feed)
        application.router.add_get("/feeds/{name}", self._feed)
        application.router.add_get("/health", self._health)
        application.router.add_get("/load", self._load)
        application.router.add_get("/executed", self._executed)
        application.router.add_route("*", "/{path:.*}", self._answer)
        return application

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        seconds = float(request.query.get("seconds", self.service_seconds))
        size = int(request.query.get("bytes", "0"))
        self.busy += 1
        self.peak_busy = max(self.peak_busy, self.busy)
        try:
            self.executed.append(request.query.get("id", request.path))
            await asyncio.sleep(seconds)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self.busy -= 1
        if size:
            return await self._download(request, size)
        return web.json_response(
            {
                "server": self.name,
                "method": request.method,
                "path": request.path_qs,
                "body_bytes": len(body),
                "traceparent": request.headers.get("traceparent", ""),
                "timeout_ms": request.headers.get("request-timeout-ms", ""),
            }
        )

    async def _download(self, request: web.Request, size: int) -> web.StreamResponse:
        response = web.StreamResponse(headers={"content-length": str(size)})
        await response.prepare(request)
        block = bytes(range(256)) * 256
        for offset in range(0, size, len(block)):
            await response.write(block[: size - offset])
        return response

    async def _feed(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        response.content_type = "text/event-stream"
        await response.prepare(request)
        number = 0
        while True:
            await response.write(f"data: {self.name} {number}\n\n".encode())
            number += 1
            await asyncio.sleep(self.feed_interval)

    async def _health(self, request: web.Request) -> web.Response:
        return web.json_response({"state": "accepting"})

    async def _load(self, request: web.Request) -> web.Response:
        return web.json_response({"busy": self.busy, "slots": self.slots})

    async def _executed(self, request: web.Request) -> web.Response:
        return web.json_response(self.executed)

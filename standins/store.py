"""Stand-in for the platform's store: items, pages and watches over HTTP."""

import asyncio
from base64 import b64encode
from dataclasses import dataclass

import msgspec
from aiohttp import web

PAGE_ITEMS = 50


@dataclass(slots=True)
class StoredItem:
    """An item, or the tombstone of a removed item.

    Attributes:
        key: Key of the item.
        revision: Revision of its last change.
        value: Value of the item, None if the item was removed.
    """

    key: str
    revision: int
    value: bytes | None

    def document(self) -> dict[str, object]:
        """Return the JSON object in which the item is sent."""
        if self.value is None:
            return {"key": self.key, "revision": self.revision, "deleted": True}
        return {
            "key": self.key,
            "revision": self.revision,
            "created-at": self.revision,
            "lease": 0,
            "value": b64encode(self.value).decode(),
        }


class StoreStandIn:
    """Stores items in memory.

    Attributes:
        refusing: Whether every call is answered with status 503.
        calls: Number of calls received.
    """

    def __init__(self) -> None:
        self._items: dict[str, StoredItem] = {}
        self._history: list[StoredItem] = []
        self._revision = 100
        self._oldest_revision = 100
        self._changed = asyncio.Condition()
        self.refusing = False
        self.calls = 0

    async def put(self, key: str, value: object) -> None:
        """Write an item as JSON, or remove it if the value is None."""
        async with self._changed:
            self._revision += 1
            body = None if value is None else msgspec.json.encode(value)
            item = StoredItem(key, self._revision, body)
            self._history.append(item)
            if body is None:
                self._items.pop(key, None)
            else:
                self._items[key] = item
            self._changed.notify_all()

    async def drop_history(self) -> None:
        """Clear the history; watches from an earlier revision fail with status 410."""
        async with self._changed:
            self._history.clear()
            self._oldest_revision = self._revision
            self._changed.notify_all()

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application()
        application.router.add_get("/-/kv-key", self._get_key)
        application.router.add_get("/-/kv-range", self._get_range)
        application.router.add_get("/-/kv-watch", self._watch)
        return application

    async def _get_key(self, request: web.Request) -> web.Response:
        self._count_call()
        item = self._items.get(request.query["key"])
        if item is None:
            raise web.HTTPNotFound
        return self._answer(item.document())

    async def _get_range(self, request: web.Request) -> web.Response:
        self._count_call()
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        page = [self._items[key].document() for key in keys[:PAGE_ITEMS]]
        return self._answer({"items": page, "has-more": len(keys) > PAGE_ITEMS})

    async def _watch(self, request: web.Request) -> web.Response:
        self._count_call()
        prefix, after = request.query["prefix"], int(request.query["after"])
        wait = int(request.query["wait-ms"]) / 1000
        events = self._events(prefix, after)
        if not events and wait:
            try:
                async with asyncio.timeout(wait), self._changed:
                    while not (events := self._events(prefix, after)):
                        await self._changed.wait()
            except TimeoutError:
                events = []
        return self._answer({"events": events})

    def _events(self, prefix: str, after: int) -> list[dict[str, object]]:
        if after < self._oldest_revision:
            raise web.HTTPGone
        return [
            item.document()
            for item in self._history
            if item.revision > after and item.key.startswith(prefix)
        ]

    def _count_call(self) -> None:
        self.calls += 1
        if self.refusing:
            raise web.HTTPServiceUnavailable

    def _answer(self, document: dict[str, object]) -> web.Response:
        body = msgspec.json.encode(document | {"store-revision": self._revision})
        return web.Response(body=body, content_type="application/json")

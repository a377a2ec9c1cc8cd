"""Stand-in for the platform's store: items, pages and watches over HTTP."""

import asyncio
import random
from base64 import b64encode
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec
from aiohttp import web

PAGE_ITEMS = 50
ERA_HEADER = "Store-Era"

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@dataclass(slots=True)
class StoredItem:
    """An item, or the tombstone of a removed item.

    Attributes:
        key: Key of the item.
        revision: Revision of its last change.
        created: Revision of its creation.
        value: Value of the item, None if the item was removed.
    """

    key: str
    revision: int
    created: int
    value: bytes | None

    def document(self) -> dict[str, object]:
        """Return the JSON object in which the item is sent."""
        if self.value is None:
            return {"key": self.key, "revision": self.revision, "deleted": True}
        return {
            "key": self.key,
            "revision": self.revision,
            "created-at": self.created,
            "lease": 0,
            "value": b64encode(self.value).decode(),
        }


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """State of the store at one moment.

    Attributes:
        items: Items by key.
        history: All kept changes, the oldest first.
        revision: Revision of the last change.
        oldest_revision: Oldest revision from which a watch can start.
    """

    items: dict[str, StoredItem]
    history: tuple[StoredItem, ...]
    revision: int
    oldest_revision: int


@dataclass(frozen=True, slots=True)
class CutWatches:
    """The connections of waiting watches are closed without an answer."""


@dataclass(frozen=True, slots=True)
class GoneWatches:
    """Waiting watches are answered with status 410."""


WaitingWatches = CutWatches | GoneWatches


class StoreStandIn:
    """Stores items in memory.

    Attributes:
        refusing: Whether every call is answered with status 503.
        calls: Number of calls received.
        page_items: Maximum number of items of a page.
        era: Number that every answer carries; it rises by one with each restore.
        answer_seconds: Time that each answer takes in seconds, beyond a watch's wait.
    """

    def __init__(self) -> None:
        self._items: dict[str, StoredItem] = {}
        self._history: list[StoredItem] = []
        self._revision = 100
        self._oldest_revision = 100
        self._changed = asyncio.Condition()
        self._on_restore: WaitingWatches = CutWatches()
        self._hold_next = False
        self._released = asyncio.Event()
        self.refusing = False
        self.calls = 0
        self.page_items = PAGE_ITEMS
        self.era = 1
        self.answer_seconds = 0.0

    async def put(self, key: str, value: object) -> None:
        """Write an item as JSON, or remove it if the value is None."""
        await self._write(key, None if value is None else msgspec.json.encode(value))

    def copy(self) -> StoreCopy:
        """Return a copy of the state."""
        return StoreCopy(
            dict(self._items),
            tuple(self._history),
            self._revision,
            self._oldest_revision,
        )

    async def restore(
        self, copy: StoreCopy, watches: WaitingWatches | None = None
    ) -> dict[str, bytes | None]:
        """Go back to a copy and begin the next era.

        Args:
            copy: Copy to go back to.
            watches: What happens to waiting watches, None to cut them.

        Returns:
            The lost changes: the last value by key, None for a removal.
        """
        async with self._changed:
            lost = _difference(copy.items, self._items)
            self.era += 1
            self._items = dict(copy.items)
            self._history = list(copy.history)
            self._revision = copy.revision
            self._oldest_revision = copy.oldest_revision
            self._on_restore = watches or CutWatches()
            self._changed.notify_all()
        return lost

    async def write_again(
        self, lost: dict[str, bytes | None], rng: random.Random
    ) -> None:
        """Write lost changes again in a random order, unless they stand already."""
        keys = sorted(lost)
        rng.shuffle(keys)
        for key in keys:
            item = self._items.get(key)
            if lost[key] != (None if item is None else item.value):
                await self._write(key, lost[key])

    def hold_next_answer(self) -> None:
        """Keep the next answer back until `release_answers` is called."""
        self._hold_next = True
        self._released.clear()

    def release_answers(self) -> None:
        """Deliver the answer that is kept back."""
        self._released.set()

    async def drop_history(self) -> None:
        """Clear the history; watches from an earlier revision fail with status 410."""
        async with self._changed:
            self._history.clear()
            self._oldest_revision = self._revision
            self._changed.notify_all()

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(middlewares=[self._add_era])
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
        page = [self._items[key].document() for key in keys[: self.page_items]]
        return self._answer({"items": page, "has-more": len(keys) > self.page_items})

    async def _watch(self, request: web.Request) -> web.Response:
        self._count_call()
        prefix, after = request.query["prefix"], int(request.query["after"])
        wait = int(request.query["wait-ms"]) / 1000
        era = self.era
        events = self._events(prefix, after)
        if not events and wait:
            try:
                async with asyncio.timeout(wait), self._changed:
                    while not events:
                        await self._changed.wait()
                        if self.era != era:
                            self._end_watch(request)
                        events = self._events(prefix, after)
            except TimeoutError:
                events = []
        return self._answer({"events": events})

    def _end_watch(self, request: web.Request) -> None:
        """End a watch that waited while the store was restored.

        Raises:
            HTTPGone: In each case; a watch whose connection is closed does not get it.
        """
        match self._on_restore:
            case CutWatches():
                if request.transport is not None:
                    request.transport.abort()
            case GoneWatches():
                pass
        raise web.HTTPGone

    def _events(self, prefix: str, after: int) -> list[dict[str, object]]:
        if not self._oldest_revision <= after <= self._revision:
            raise web.HTTPGone
        return [
            item.document()
            for item in self._history
            if item.revision > after and item.key.startswith(prefix)
        ]

    async def _write(self, key: str, body: bytes | None) -> None:
        async with self._changed:
            self._revision += 1
            before = self._items.get(key)
            created = before.created if before is not None else self._revision
            item = StoredItem(key, self._revision, created, body)
            self._history.append(item)
            if body is None:
                self._items.pop(key, None)
            else:
                self._items[key] = item
            self._changed.notify_all()

    @web.middleware
    async def _add_era(
        self, request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        """Add the era in which an answer was made, and keep the answer back if asked.

        A failure is an answer too.
        """
        try:
            answer = await handler(request)
        except web.HTTPException as failure:
            answer = failure
        answer.headers[ERA_HEADER] = str(self.era)
        await asyncio.sleep(self.answer_seconds)
        if self._hold_next:
            self._hold_next = False
            await self._released.wait()
        if isinstance(answer, web.HTTPException):
            raise answer
        return answer

    def _count_call(self) -> None:
        self.calls += 1
        if self.refusing:
            raise web.HTTPServiceUnavailable

    def _answer(self, document: dict[str, object]) -> web.Response:
        body = msgspec.json.encode(document | {"store-revision": self._revision})
        return web.Response(body=body, content_type="application/json")


def _difference(
    before: dict[str, StoredItem], after: dict[str, StoredItem]
) -> dict[str, bytes | None]:
    """Return the values that differ, None for an item that was removed."""
    found: dict[str, bytes | None] = {}
    for key in before.keys() | after.keys():
        old, new = before.get(key), after.get(key)
        if old is None or new is None or old.value != new.value:
            found[key] = None if new is None else new.value
    return found

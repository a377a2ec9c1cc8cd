"""Emulated service that publishes the catalog, and its troubles."""

import asyncio
import random

from msgspec import Struct

from balsamspool.kernel.errors import ResultError
from balsamspool.plugins.catalog.codes import CATALOG_HISTORY_LOST, CATALOG_UNAVAILABLE
from balsamspool.plugins.catalog.model import (
    BackendServer,
    Changes,
    RoutesPublished,
    RouteTable,
    ServerPublished,
    ServerRemoved,
    Snapshot,
)
from balsamspool.plugins.catalog.source import CatalogSource

ANSWER_SECONDS = 0.004
TIMEOUT_SECONDS = 1.0

Record = RoutesPublished | ServerPublished | ServerRemoved


class Serving(Struct, frozen=True):
    """The service answers."""


class Refusing(Struct, frozen=True):
    """The service answers that it is unavailable."""


class Silent(Struct, frozen=True):
    """The service does not answer."""


class Slow(Struct, frozen=True):
    """The service answers late.

    Attributes:
        seconds: Time of an answer.
    """

    seconds: float


class Losing(Struct, frozen=True):
    """The service loses answers.

    Attributes:
        share: Share of answers that are lost.
    """

    share: float


Condition = Serving | Refusing | Silent | Slow | Losing


class CatalogService:
    """Holds the records, numbers their changes and keeps their history.

    Args:
        rng: Source of randomness.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._items: dict[str, Record] = {}
        self._log: list[Record] = []
        self._created: dict[str, int] = {}
        self._floor = 0
        self._changed = asyncio.Event()
        self.revision = 1
        self.condition: Condition = Serving()
        # Readers that meet another condition than the others.
        self.conditions: dict[str, Condition] = {}
        self.calls = 0

    @property
    def available(self) -> bool:
        """Whether every reader is served as usual."""
        serving = Serving()
        return self.condition == serving and not self.conditions

    @property
    def servers(self) -> dict[str, BackendServer]:
        """Listed backend servers by name."""
        found = (r for r in self._items.values() if isinstance(r, ServerPublished))
        return {record.server.name: record.server for record in found}

    def publish_routes(self, table: RouteTable) -> int:
        """Publish a route table and return its revision."""
        return self._put("routes", RoutesPublished(self.revision + 1, table))

    def publish_server(self, server: BackendServer) -> int:
        """Publish a backend server and return the revision."""
        revision = self.revision + 1
        created = self._created.setdefault(server.name, revision)
        return self._put(server.name, ServerPublished(revision, server, created))

    def remove_server(self, name: str) -> None:
        """Remove a backend server if it is listed."""
        if self._items.pop(name, None) is not None:
            del self._created[name]
            self._append(ServerRemoved(self.revision + 1, name))

    def forget_history(self) -> None:
        """Drop all changes so far."""
        self._floor = self.revision
        self._wake()

    async def read(self, reader: str) -> Snapshot:
        """Answer a reading of all records."""
        await self._answer(reader)
        return Snapshot(self.revision, tuple(self._items.values()))

    async def watch(self, reader: str, after: int, wait: float) -> Changes:
        """Answer a call that waits for changes."""
        await self._answer(reader)
        end = asyncio.get_running_loop().time() + wait
        while True:
            if after < self._floor:
                raise ResultError(CATALOG_HISTORY_LOST, f"before {self._floor}")
            found = tuple(r for r in self._log if r.revision > after)
            left = end - asyncio.get_running_loop().time()
            if found or left <= 0:
                await self._check(reader)
                return Changes(self.revision, found)
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _put(self, name: str, record: Record) -> int:
        self._items[name] = record
        return self._append(record)

    def _append(self, record: Record) -> int:
        self.revision = record.revision
        self._log.append(record)
        self._wake()
        return self.revision

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(self, reader: str) -> None:
        self.calls += 1
        await asyncio.sleep(ANSWER_SECONDS)
        await self._check(reader)

    async def _check(self, reader: str) -> None:
        """Fail or delay an answer as the condition of a reader says."""
        match self.conditions.get(reader, self.condition):
            case Refusing():
                raise ResultError(CATALOG_UNAVAILABLE, "refused")
            case Silent():
                await self._time_out()
            case Slow(seconds):
                await asyncio.sleep(min(seconds, TIMEOUT_SECONDS))
                if seconds >= TIMEOUT_SECONDS:
                    raise ResultError(CATALOG_UNAVAILABLE, "too slow")
            case Losing(share):
                if self._rng.random() < share:
                    await self._time_out()

    async def _time_out(self) -> None:
        await asyncio.sleep(TIMEOUT_SECONDS)
        raise ResultError(CATALOG_UNAVAILABLE, "no answer")


class EmulatedSource(CatalogSource):
    """The service as one process reads it.

    Args:
        kernel: Kernel that runs the plug-in.
        service: The service.
        reader: Name of the process.
    """

    def __init__(self, kernel: object, service: CatalogService, reader: str) -> None:
        super().__init__(kernel)
        self._service = service
        self._reader = reader

    async def read(self) -> Snapshot:
        """Read all records."""
        return await self._service.read(self._reader)

    async def watch(self, after: int, wait: float) -> Changes:
        """Wait for changes."""
        return await self._service.watch(self._reader, after, wait)

    async def changes(self, after: int) -> Changes:
        """Return the changes after a revision, up to this call."""
        return await self._service.watch(self._reader, after, 0.0)

    async def history(self, revision: int) -> Changes | None:
        """Return the latest changes up to a revision, None if they are not kept."""
        try:
            return await self._service.watch(self._reader, 0, 0.0)
        except ResultError as error:
            if error.code is CATALOG_HISTORY_LOST:
                return None
            raise

"""Emulated service that publishes the catalog, and the ways in which it can fail."""

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
    """The service answers normally."""


class Refusing(Struct, frozen=True):
    """The service answers that it is unavailable."""


class Silent(Struct, frozen=True):
    """The service does not answer."""


class Slow(Struct, frozen=True):
    """The service answers late.

    Attributes:
        seconds: Delay of an answer in seconds.
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
    """Stores the records, numbers their changes and keeps a history of the changes.

    Args:
        rng: Random number generator.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._records: dict[str, Record] = {}
        self._change_log: list[Record] = []
        self._created: dict[str, int] = {}
        self._history_start = 0
        self._changed = asyncio.Event()
        self.revision = 1
        self.condition: Condition = Serving()
        # Conditions by reader, for readers that observe another condition than
        # `self.condition`.
        self.conditions: dict[str, Condition] = {}
        self.calls = 0

    @property
    def available(self) -> bool:
        """Whether the service answers all readers normally."""
        serving = Serving()
        return self.condition == serving and not self.conditions

    @property
    def servers(self) -> dict[str, BackendServer]:
        """Listed backend servers by name."""
        found = (r for r in self._records.values() if isinstance(r, ServerPublished))
        return {record.server.name: record.server for record in found}

    def publish_routes(self, table: RouteTable) -> int:
        """Publish a route table and return its revision."""
        return self._store("routes", RoutesPublished(self.revision + 1, table))

    def publish_server(self, server: BackendServer) -> int:
        """Publish a backend server and return the revision."""
        revision = self.revision + 1
        created = self._created.setdefault(server.name, revision)
        return self._store(server.name, ServerPublished(revision, server, created))

    def remove_server(self, name: str) -> None:
        """Remove a backend server if it is listed."""
        if self._records.pop(name, None) is not None:
            del self._created[name]
            self._append(ServerRemoved(self.revision + 1, name))

    def forget_history(self) -> None:
        """Drop the history of changes."""
        self._history_start = self.revision
        self._notify_watchers()

    async def read(self, reader: str) -> Snapshot:
        """Answer a request for all records."""
        await self._start_answer(reader)
        return Snapshot(self.revision, tuple(self._records.values()))

    async def watch(self, reader: str, after: int, wait: float) -> Changes:
        """Answer a request that waits for changes.

        Raises:
            ResultError: If the history does not reach back to the revision, or the
                service does not answer.
        """
        await self._start_answer(reader)
        end = asyncio.get_running_loop().time() + wait
        while True:
            if after < self._history_start:
                raise ResultError(CATALOG_HISTORY_LOST, f"before {self._history_start}")
            found = tuple(r for r in self._change_log if r.revision > after)
            remaining = end - asyncio.get_running_loop().time()
            if found or remaining <= 0:
                await self._apply_condition(reader)
                return Changes(self.revision, found)
            try:
                async with asyncio.timeout(remaining):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _store(self, name: str, record: Record) -> int:
        self._records[name] = record
        return self._append(record)

    def _append(self, record: Record) -> int:
        self.revision = record.revision
        self._change_log.append(record)
        self._notify_watchers()
        return self.revision

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _start_answer(self, reader: str) -> None:
        self.calls += 1
        await asyncio.sleep(ANSWER_SECONDS)
        await self._apply_condition(reader)

    async def _apply_condition(self, reader: str) -> None:
        """Fail or delay an answer according to the condition for a reader."""
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
    """Reads the catalog of the emulated service for one process.

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

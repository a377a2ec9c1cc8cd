"""Emulated service that publishes the catalog, and the ways in which it can fail."""

import asyncio
import math
import random
from bisect import bisect_right
from collections.abc import Collection, Iterable

from msgspec import Struct
from msgspec.structs import replace

from balsamspool.kernel.clock import now
from balsamspool.kernel.errors import ResultError
from balsamspool.plugins.catalog.codes import CATALOG_HISTORY_LOST, CATALOG_UNAVAILABLE
from balsamspool.plugins.catalog.model import (
    BackendServer,
    Changes,
    DomainCordoned,
    DomainUncordoned,
    RoutesPublished,
    RouteTable,
    ServerPublished,
    ServerRemoved,
    Snapshot,
)
from balsamspool.plugins.catalog.revision import Revision
from balsamspool.plugins.catalog.source import CatalogSource

ANSWER_SECONDS = 0.004
TIMEOUT_SECONDS = 1.0
FIRST_NUMBER = 1
_ROUTES_NAME = "routes"
_DOMAIN_PREFIX = "domain/"

Record = (
    RoutesPublished
    | ServerPublished
    | ServerRemoved
    | DomainCordoned
    | DomainUncordoned
)


class Serving(Struct, frozen=True):
    """The service answers normally."""


class Refusing(Struct, frozen=True):
    """The service answers that it is unavailable."""


class Silent(Struct, frozen=True):
    """The service does not answer, and never answers the calls that wait for it."""


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


class CutWatches(Struct, frozen=True):
    """Waiting watches end without an answer when the service is restored."""


class GoneWatches(Struct, frozen=True):
    """Waiting watches learn that the history is lost when the service is restored."""


WaitingWatches = CutWatches | GoneWatches


class _State(Struct):
    """What the service stores and loses when it goes back to a copy.

    The revisions in it are plain numbers. The service adds its era to those that it
    sends.

    Attributes:
        records: Newest record of each name, without removals.
        created: Number of the revision at which each listed server was first listed.
        changes: All changes, the oldest first.
        times: Time of each change in seconds.
        number: Number of the newest revision.
    """

    records: dict[str, Record] = {}
    created: dict[str, int] = {}
    changes: list[Record] = []
    times: list[float] = []
    number: int = FIRST_NUMBER

    def append(self, name: str, record: Record, time: float) -> None:
        """Apply and keep a change.

        Args:
            name: Name of the record.
            record: The record, with a plain number as its revision.
            time: Time in seconds.
        """
        match record:
            case ServerRemoved():
                self.records.pop(name, None)
                self.created.pop(name, None)
            case ServerPublished(_, _, created):
                self.records[name] = record
                self.created[name] = created
            case DomainUncordoned():
                self.records.pop(name, None)
            case RoutesPublished() | DomainCordoned():
                self.records[name] = record
        self.changes.append(record)
        self.times.append(time)
        self.number = record.revision

    def copy_at(self, time: float) -> "_State":
        """Return the state as it was at a time in seconds."""
        copy = _State()
        kept = bisect_right(self.times, time)
        for record, changed in zip(self.changes[:kept], self.times[:kept], strict=True):
            copy.append(_name_of(record), record, changed)
        return copy


class CatalogService:
    """Stores the records, numbers their changes and keeps a history of the changes.

    Args:
        rng: Random number generator.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._state = _State()
        self._history_start = 0
        self._changed = asyncio.Event()
        # By reader: what all its answers, or only the next one, wait for.
        self._held: dict[str, asyncio.Event] = {}
        self._held_next: dict[str, asyncio.Event] = {}
        # Number that rises with each restore; 0 before the first.
        self.era = 0
        # Whether nobody can call the service because it is about to be restored.
        self.away = False
        self.waiting_watches: WaitingWatches = CutWatches()
        self.condition: Condition = Serving()
        # Conditions by reader, for readers that observe another condition than
        # `self.condition`.
        self.conditions: dict[str, Condition] = {}
        self.calls = 0
        # Time in seconds at which the calls of each reader, and of all readers, were
        # last lost.
        self._lost_at: dict[str, float] = {}
        self._all_lost_at = -math.inf

    @property
    def available(self) -> bool:
        """Whether the service answers all readers normally."""
        serving = Serving()
        return self.condition == serving and not self.conditions and not self.away

    @property
    def revision(self) -> int:
        """Number of the newest revision, without the era."""
        return self._state.number

    @property
    def table(self) -> RouteTable | None:
        """Newest route table, None before the first."""
        match self._state.records.get(_ROUTES_NAME):
            case RoutesPublished(_, table):
                return table
            case _:
                return None

    @property
    def servers(self) -> dict[str, BackendServer]:
        """Listed backend servers by name."""
        found = (
            r for r in self._state.records.values() if isinstance(r, ServerPublished)
        )
        return {record.server.name: record.server for record in found}

    @property
    def cordons(self) -> set[str]:
        """Failure domains that are listed as out of service."""
        records = self._state.records.values()
        return {r.failure_domain for r in records if isinstance(r, DomainCordoned)}

    def publish_routes(self, table: RouteTable) -> None:
        """Publish a route table."""
        self._append(_ROUTES_NAME, RoutesPublished(self._next_revision(), table))

    def publish_server(self, server: BackendServer) -> None:
        """Publish a backend server."""
        revision = self._next_revision()
        created = Revision(self._state.created.get(server.name, revision))
        self._append(server.name, ServerPublished(revision, server, created))

    def remove_server(self, name: str) -> None:
        """Remove a backend server if it is listed."""
        if name in self._state.records:
            self._append(name, ServerRemoved(self._next_revision(), name))

    def cordon_domain(self, domain: str) -> None:
        """List a failure domain as out of service."""
        record = DomainCordoned(self._next_revision(), domain)
        self._append(_name_of(record), record)

    def uncordon_domain(self, domain: str) -> None:
        """List a failure domain as in service again."""
        if domain in self.cordons:
            record = DomainUncordoned(self._next_revision(), domain)
            self._append(_name_of(record), record)

    def leave(self) -> None:
        """Answer nobody until `restore` is called."""
        self.away = True
        self._notify_watchers()

    def restore(self, seconds: float) -> None:
        """Go back to a copy, answer again and begin the next era.

        Args:
            seconds: Age of the copy.
        """
        self._state = self._state.copy_at(now() - seconds)
        self._history_start = min(self._history_start, self.revision)
        self.era += 1
        self.away = False
        self._notify_watchers()

    def hold(self, reader: str) -> None:
        """Keep answers for a reader back until `release` is called."""
        self._held[reader] = asyncio.Event()

    def hold_next(self, reader: str) -> asyncio.Event:
        """Keep the next answer for a reader back until the returned event is set."""
        return self._held_next.setdefault(reader, asyncio.Event())

    def release(self, reader: str) -> None:
        """Deliver the answers that were kept back for a reader since `hold`."""
        self._held.pop(reader).set()

    def lose_calls(self, readers: Collection[str] | None = None) -> None:
        """Never answer the calls in progress, although later ones are answered.

        Args:
            readers: Readers whose calls are lost, None for all.
        """
        if readers is None:
            self._all_lost_at = now()
        else:
            self._lost_at.update(dict.fromkeys(readers, now()))

    def forget_history(self) -> None:
        """Drop the history of changes."""
        self._history_start = self.revision
        self._notify_watchers()

    async def read(self, reader: str) -> Snapshot:
        """Answer a request for all records."""
        await self._start_answer(reader)
        answer = Snapshot(
            Revision.of(self.era, self.revision),
            self._in_era(self._state.records.values()),
        )
        await self._wait_until_released(reader)
        return answer

    async def watch(self, reader: str, after: int, wait: float) -> Changes:
        """Answer a request that waits for changes.

        Args:
            reader: Name of the process.
            after: Number of a revision; the service does not learn its era.
            wait: Longest wait in seconds.

        Raises:
            ResultError: If the service does not have the history since the revision, or
                does not answer.
        """
        begun = now()
        await self._start_answer(reader, wait)
        end = now() + wait
        era = self.era
        while True:
            if self.away or self.era != era:
                raise self._watch_failure()
            if not self._history_start <= after <= self.revision:
                span = f"from {self._history_start} to {self.revision}"
                raise ResultError(CATALOG_HISTORY_LOST, f"{after} is not {span}")
            found = [r for r in self._state.changes if r.revision > after]
            remaining = end - now()
            if found or remaining <= 0:
                await self._lose_if_lost(reader, begun, end)
                await self._apply_condition(reader)
                if self.era != era:
                    raise self._watch_failure()
                revision = Revision.of(era, self.revision)
                answer = Changes(revision, self._in_era(found))
                await self._wait_until_released(reader)
                return answer
            try:
                async with asyncio.timeout(remaining):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _watch_failure(self) -> ResultError:
        if self.away:
            return ResultError(CATALOG_UNAVAILABLE, "away")
        match self.waiting_watches:
            case CutWatches():
                return ResultError(CATALOG_UNAVAILABLE, "cut")
            case GoneWatches():
                return ResultError(CATALOG_HISTORY_LOST, f"era {self.era}")

    def _in_era(self, records: Iterable[Record]) -> tuple[Record, ...]:
        """Return records as an answer carries them."""
        if not self.era:
            return tuple(records)
        return tuple(_in_era(record, self.era) for record in records)

    def _next_revision(self) -> Revision:
        return Revision(self._state.number + 1)

    def _append(self, name: str, record: Record) -> None:
        self._state.append(name, record, now())
        self._notify_watchers()

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _start_answer(self, reader: str, wait: float = 0.0) -> None:
        self.calls += 1
        await asyncio.sleep(ANSWER_SECONDS)
        await self._apply_condition(reader, wait)
        if self.away:
            raise ResultError(CATALOG_UNAVAILABLE, "away")

    async def _wait_until_released(self, reader: str) -> None:
        held = self._held_next.pop(reader, None) or self._held.get(reader)
        if held is not None:
            await held.wait()

    async def _apply_condition(self, reader: str, wait: float = 0.0) -> None:
        """Fail or delay an answer according to the condition for a reader.

        Args:
            reader: Name of the process.
            wait: Seconds for which the call still waits for changes; the reader gives
                an unanswered call up only after them.
        """
        match self.conditions.get(reader, self.condition):
            case Refusing():
                raise ResultError(CATALOG_UNAVAILABLE, "refused")
            case Silent():
                await self._time_out(wait)
            case Slow(seconds):
                await asyncio.sleep(min(seconds, TIMEOUT_SECONDS))
                if seconds >= TIMEOUT_SECONDS:
                    raise ResultError(CATALOG_UNAVAILABLE, "too slow")
            case Losing(share):
                if self._rng.random() < share:
                    await self._time_out(wait)

    async def _lose_if_lost(self, reader: str, begun: float, end: float) -> None:
        """Give no answer to a call that was lost while it waited.

        Args:
            reader: Name of the process.
            begun: Time at which the call began in seconds.
            end: Time at which it was to end in seconds.
        """
        lost_at = max(self._all_lost_at, self._lost_at.get(reader, -math.inf))
        if lost_at >= begun:
            await self._time_out(max(0.0, end - now()))

    async def _time_out(self, wait: float) -> None:
        await asyncio.sleep(wait + TIMEOUT_SECONDS)
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

    async def watch(self, after: Revision, wait: float) -> Changes:
        """Wait for changes."""
        return await self._service.watch(self._reader, after.number, wait)

    async def changes(self, after: Revision) -> Changes:
        """Return the changes after a revision, up to this call."""
        return await self._service.watch(self._reader, after.number, 0.0)

    async def history(self, revision: Revision) -> Changes | None:
        """Return the latest changes up to a revision, None if they are not kept."""
        try:
            return await self._service.watch(self._reader, 0, 0.0)
        except ResultError as error:
            if error.code is CATALOG_HISTORY_LOST:
                return None
            raise


def _name_of(record: Record) -> str:
    match record:
        case RoutesPublished():
            return _ROUTES_NAME
        case ServerPublished(_, server):
            return server.name
        case ServerRemoved(_, name):
            return name
        case DomainCordoned(_, domain) | DomainUncordoned(_, domain):
            return _DOMAIN_PREFIX + domain


def _in_era(record: Record, era: int) -> Record:
    revision = Revision.of(era, record.revision)
    match record:
        case ServerPublished(_, _, created):
            return replace(record, revision=revision, created=Revision.of(era, created))
        case _:
            return replace(record, revision=revision)

"""The two ends of a relayed stream: bounded reassembly and credit."""

import asyncio
from dataclasses import dataclass
from typing import Generic, TypeVar

from balsamspool.kernel.clock import now
from balsamspool.kernel.errors import ResultError
from balsamspool.plugins.relay.codes import (
    RELAY_INCOMPLETE,
    RELAY_MISMATCH,
    RELAY_SILENT,
)

CHUNK_BYTES = 32 * 1024
WINDOW_COST = 256 * 1024
# Each part costs something beyond its bytes, so that tiny parts are bounded too.
PART_COST = 256
GAP_SECONDS = 2.0
SILENCE_SECONDS = 4.0

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Part(Generic[T]):
    """A received part of a stream.

    Attributes:
        value: The part.
        size: Its length in bytes.
    """

    value: T
    size: int


def part_cost(size: int) -> int:
    """Return what a part takes from the credit."""
    return size + PART_COST


class PartReader(Generic[T]):
    """Puts the parts of a stream in order.

    A part that stays missing, a missing end and a wrong count are errors.
    """

    __slots__ = (
        "_announced",
        "_buffered",
        "_changed",
        "_count",
        "_error",
        "_gap_since",
        "_heard_at",
        "_next",
        "_parts",
        "_size",
        "_taken",
        "_total",
    )

    def __init__(self) -> None:
        self._parts: dict[int, Part[T]] = {}
        self._next = 0
        self._announced = 0
        self._buffered = 0
        self._taken = 0
        self._total = 0
        self._count: int | None = None
        self._size: int | None = None
        self._error: ResultError | None = None
        self._changed = asyncio.Event()
        self._heard_at = now()
        self._gap_since: float | None = None

    @property
    def started(self) -> bool:
        """Whether any part or the end has arrived."""
        return bool(self._next or self._parts or self._count is not None)

    @property
    def credit(self) -> int:
        """Total cost that the sender may have sent."""
        return self._taken + WINDOW_COST

    @property
    def silent(self) -> bool:
        """Whether nothing was heard from the sender for too long."""
        return now() - self._heard_at > SILENCE_SECONDS

    def heard(self) -> None:
        """Note a sign of life of the sender."""
        self._heard_at = now()

    def announce(self, count: int) -> None:
        """Note how many parts the sender has sent, so that a lost last one shows."""
        self.heard()
        if count > self._announced:
            self._announced = count
            self._note_gap()

    def accept(self, sequence: int, value: T, size: int) -> None:
        """Take a part; a repeated one is dropped."""
        self.heard()
        if sequence < self._next or sequence in self._parts:
            return
        if self._buffered + part_cost(size) > WINDOW_COST:
            self.fail(ResultError(RELAY_MISMATCH, "parts exceed the credit"))
            return
        self._parts[sequence] = Part(value, size)
        self._buffered += part_cost(size)
        self._note_gap()

    def end(self, count: int, size: int | None = None) -> None:
        """Note how many parts and bytes make the whole stream."""
        self.heard()
        if self._count is None:
            self._count, self._size = count, size
        elif (self._count, self._size) != (count, size):
            self.fail(ResultError(RELAY_MISMATCH, "two different ends"))
        self._note_gap()

    def fail(self, error: ResultError) -> None:
        """End the stream with an error; the first one counts."""
        self._error = self._error or error
        self._changed.set()

    async def read(self) -> T | None:
        """Return the next part, None after the last one.

        Raises:
            ResultError: If the stream cannot become whole.
        """
        while True:
            if self._error is not None:
                raise self._error
            part = self._parts.pop(self._next, None)
            if part is not None:
                return self._take(part)
            if self._count is not None and self._next >= self._count:
                self._check_whole()
                return None
            self._changed.clear()
            await self._wait()

    def _take(self, part: Part[T]) -> T:
        self._next += 1
        self._buffered -= part_cost(part.size)
        self._taken += part_cost(part.size)
        self._total += part.size
        self._gap_since = None
        self._note_gap()
        return part.value

    def _check_whole(self) -> None:
        if self._next != self._count or self._parts:
            raise ResultError(RELAY_MISMATCH, f"end after {self._count} parts")
        if self._size is not None and self._total != self._size:
            detail = f"{self._total} bytes arrived, the end says {self._size}"
            raise ResultError(RELAY_MISMATCH, detail)

    def _note_gap(self) -> None:
        unfinished = self._next < max(self._announced, self._count or 0)
        if self._next in self._parts or not (self._parts or unfinished):
            self._gap_since = None
        elif self._gap_since is None:
            self._gap_since = now()
        self._changed.set()

    async def _wait(self) -> None:
        heard_at = self._heard_at
        silent_due = heard_at + SILENCE_SECONDS
        gap_due = silent_due
        if self._gap_since is not None:
            gap_due = self._gap_since + GAP_SECONDS
        try:
            async with asyncio.timeout_at(min(silent_due, gap_due)):
                await self._changed.wait()
        except TimeoutError:
            # A part that closes the gap would have ended the wait.
            if gap_due < silent_due:
                detail = f"part {self._next} is missing"
                raise ResultError(RELAY_INCOMPLETE, detail) from None
            if self._heard_at == heard_at:
                detail = f"nothing for {SILENCE_SECONDS:g} s"
                raise ResultError(RELAY_SILENT, detail) from None


class CreditGate:
    """Holds back parts until the receiver has given credit for them."""

    __slots__ = ("_changed", "_limit", "_used")

    def __init__(self) -> None:
        self._limit = WINDOW_COST
        self._used = 0
        self._changed = asyncio.Event()

    def grant(self, total: int) -> None:
        """Raise the total cost that may be sent; a lower total is an old one."""
        if total > self._limit:
            self._limit = total
            self._changed.set()

    async def take(self, size: int) -> None:
        """Wait until a part of this size may be sent."""
        while self._used + part_cost(size) > self._limit:
            self._changed.clear()
            await self._changed.wait()
        self._used += part_cost(size)


def split(data: bytes) -> list[bytes]:
    """Return data in parts that fit into one message."""
    return [data[i : i + CHUNK_BYTES] for i in range(0, len(data), CHUNK_BYTES)]

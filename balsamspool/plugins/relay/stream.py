"""Receiver and sender of a relayed stream: bounded reassembly and credit."""

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
# Cost of each part in addition to its bytes. This fixed cost bounds the number of tiny
# parts.
PART_COST = 256
GAP_TIMEOUT_SECONDS = 2.0
SILENCE_TIMEOUT_SECONDS = 4.0

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Part(Generic[T]):
    """A received part of a stream.

    Attributes:
        value: Content of the part.
        size: Length of the part in bytes.
    """

    value: T
    size: int


def part_cost(size: int) -> int:
    """Return the credit that a part of this size uses."""
    return size + PART_COST


class PartReader(Generic[T]):
    """Puts the parts of a stream in order.

    A part that stays missing, a missing end and a wrong count of parts or bytes are
    errors.
    """

    __slots__ = (
        "_announced_parts",
        "_buffered_cost",
        "_changed",
        "_expected_parts",
        "_error",
        "_gap_since",
        "_silent_since",
        "_next_sequence",
        "_parts",
        "_expected_bytes",
        "_read_cost",
        "_read_bytes",
    )

    def __init__(self) -> None:
        self._parts: dict[int, Part[T]] = {}
        self._next_sequence = 0
        self._announced_parts = 0
        self._buffered_cost = 0
        self._read_cost = 0
        self._read_bytes = 0
        self._expected_parts: int | None = None
        self._expected_bytes: int | None = None
        self._error: ResultError | None = None
        self._changed = asyncio.Event()
        self._silent_since = now()
        self._gap_since: float | None = None

    @property
    def started(self) -> bool:
        """Whether any part or the end has arrived."""
        return bool(
            self._next_sequence or self._parts or self._expected_parts is not None
        )

    @property
    def credit(self) -> int:
        """Total cost that the sender may send, counted from the start."""
        return self._read_cost + WINDOW_COST

    @property
    def silent(self) -> bool:
        """Whether no message arrived from the sender for too long."""
        return now() - self._silent_since > SILENCE_TIMEOUT_SECONDS

    def restart_silence_timer(self) -> None:
        """Restart the time after which the sender counts as silent."""
        self._silent_since = now()

    def record_sent_parts(self, count: int) -> None:
        """Record how many parts the sender has sent, to detect a lost last part."""
        self.restart_silence_timer()
        if count > self._announced_parts:
            self._announced_parts = count
            self._update_gap()

    def accept(self, sequence: int, value: T, size: int) -> None:
        """Store a part; a repeated part is dropped."""
        self.restart_silence_timer()
        if sequence < self._next_sequence or sequence in self._parts:
            return
        if self._buffered_cost + part_cost(size) > WINDOW_COST:
            self.fail(ResultError(RELAY_MISMATCH, "the parts exceed the credit"))
            return
        self._parts[sequence] = Part(value, size)
        self._buffered_cost += part_cost(size)
        self._update_gap()

    def record_end(self, count: int, size: int | None = None) -> None:
        """Record how many parts and bytes the complete stream has."""
        self.restart_silence_timer()
        if self._expected_parts is None:
            self._expected_parts, self._expected_bytes = count, size
        elif (self._expected_parts, self._expected_bytes) != (count, size):
            self.fail(ResultError(RELAY_MISMATCH, "the stream has two different ends"))
        self._update_gap()

    def fail(self, error: ResultError) -> None:
        """End the stream with an error; errors after the first are ignored."""
        self._error = self._error or error
        self._changed.set()

    async def read(self) -> T | None:
        """Return the next part, or None after the last part.

        Raises:
            ResultError: If the stream cannot be completed.
        """
        while True:
            if self._error is not None:
                raise self._error
            part = self._parts.pop(self._next_sequence, None)
            if part is not None:
                return self._consume(part)
            if (
                self._expected_parts is not None
                and self._next_sequence >= self._expected_parts
            ):
                self._check_complete()
                return None
            self._changed.clear()
            await self._wait_for_change()

    def _consume(self, part: Part[T]) -> T:
        self._next_sequence += 1
        self._buffered_cost -= part_cost(part.size)
        self._read_cost += part_cost(part.size)
        self._read_bytes += part.size
        self._gap_since = None
        self._update_gap()
        return part.value

    def _check_complete(self) -> None:
        if self._next_sequence != self._expected_parts or self._parts:
            raise ResultError(
                RELAY_MISMATCH,
                f"parts beyond the end after {self._expected_parts} parts",
            )
        if (
            self._expected_bytes is not None
            and self._read_bytes != self._expected_bytes
        ):
            detail = f"{self._read_bytes} bytes arrived, not {self._expected_bytes}"
            raise ResultError(RELAY_MISMATCH, detail)

    def _update_gap(self) -> None:
        unfinished = self._next_sequence < max(
            self._announced_parts, self._expected_parts or 0
        )
        if self._next_sequence in self._parts or not (self._parts or unfinished):
            self._gap_since = None
        elif self._gap_since is None:
            self._gap_since = now()
        self._changed.set()

    async def _wait_for_change(self) -> None:
        silent_since = self._silent_since
        silence_deadline = silent_since + SILENCE_TIMEOUT_SECONDS
        gap_deadline = silence_deadline
        if self._gap_since is not None:
            gap_deadline = self._gap_since + GAP_TIMEOUT_SECONDS
        try:
            async with asyncio.timeout_at(min(silence_deadline, gap_deadline)):
                await self._changed.wait()
        except TimeoutError:
            # The arrival of the missing part would have ended the wait. So if the gap
            # deadline passed first, the part is still missing.
            if gap_deadline < silence_deadline:
                detail = f"part {self._next_sequence} is missing"
                raise ResultError(RELAY_INCOMPLETE, detail) from None
            if self._silent_since == silent_since:
                detail = f"no message for {SILENCE_TIMEOUT_SECONDS:g} s"
                raise ResultError(RELAY_SILENT, detail) from None


class CreditGate:
    """Delays parts until the receiver has given credit for them."""

    __slots__ = ("_changed", "_limit", "_used")

    def __init__(self) -> None:
        self._limit = WINDOW_COST
        self._used = 0
        self._changed = asyncio.Event()

    def grant(self, total: int) -> None:
        """Raise the total cost that may be sent; ignore a lower, outdated total."""
        if total > self._limit:
            self._limit = total
            self._changed.set()

    async def acquire(self, size: int) -> None:
        """Wait until a part of this size may be sent, and use credit for it."""
        while self._used + part_cost(size) > self._limit:
            self._changed.clear()
            await self._changed.wait()
        self._used += part_cost(size)


def split_into_parts(data: bytes) -> list[bytes]:
    """Return data as parts that each fit into one message."""
    return [data[i : i + CHUNK_BYTES] for i in range(0, len(data), CHUNK_BYTES)]

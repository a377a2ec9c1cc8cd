"""Request keys: a request that must not repeat runs at most once.

Only the process that issued a key may run its request or delegate it to another
process. A record is kept until its key expires. If a key is valid, has not expired and
has no record, its request has therefore never been dispatched.
"""

import hashlib
import heapq
import hmac
from asyncio import Event
from collections import Counter
from dataclasses import dataclass, field

from balsamspool.kernel.clock import now
from balsamspool.kernel.errors import ResultCode, ResultError
from balsamspool.plugins.admission.codes import (
    KEY_OUTCOME_UNKNOWN,
    KEY_REUSED,
    KEYS_FULL,
)
from balsamspool.plugins.admission.key_codec import RequestKey
from balsamspool.plugins.mesh.message import PeerAddress
from balsamspool.requests.request import Headers

MAX_KEYS = 65_536
MAX_ANSWER_BYTES = 16 * 1024
MAX_KEPT_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """A complete answer, kept for duplicates of its request.

    Attributes:
        status: HTTP status.
        headers: Header fields in lower case.
        body: The body.
    """

    status: int
    headers: Headers
    body: bytes

    @property
    def size(self) -> int:
        """Bytes of the body and the header fields."""
        fields = sum(len(name) + len(value) for name, value in self.headers)
        return len(self.body) + fields


@dataclass(frozen=True, slots=True)
class Running:
    """The request runs here or waits for a slot."""


@dataclass(frozen=True, slots=True)
class Delegated:
    """The issuer has delegated the request to a peer.

    Attributes:
        peer: Where the peer's mesh socket listens.
    """

    peer: PeerAddress


@dataclass(frozen=True, slots=True)
class Done:
    """The request has run.

    Attributes:
        answer: Its complete answer.
    """

    answer: KeptAnswer


@dataclass(frozen=True, slots=True)
class Ran:
    """The request has run and its answer was too large to keep.

    Attributes:
        status: HTTP status of the answer.
    """

    status: int


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request was not dispatched and may be tried again.

    Attributes:
        error: Why it was not dispatched.
    """

    error: ResultError


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The request was dispatched, and whether it has run is not known.

    Attributes:
        code: What went wrong.
        detail: What happened.
    """

    code: ResultCode
    detail: str


KeyState = Running | Delegated | Done | Ran | NotRun | OutcomeUnknown


@dataclass(slots=True, eq=False)
class KeyRecord:
    """State of the request with one key, kept by the issuer.

    Attributes:
        digest: Digest of method, path and body.
        expires_ms: Event loop time in milliseconds at which the key expires.
        state: What is known about the request.
        settled: Set when the state is final.
    """

    digest: bytes
    expires_ms: int
    state: KeyState = field(default_factory=Running)
    settled: Event = field(default_factory=Event)


@dataclass(frozen=True, slots=True)
class First:
    """The request has not been dispatched; the caller of ``claim`` must run it.

    Attributes:
        record: Record that the caller of ``claim`` must settle.
    """

    record: KeyRecord


@dataclass(frozen=True, slots=True)
class Duplicate:
    """The key was claimed before.

    Attributes:
        record: Record of the first claim.
    """

    record: KeyRecord


class KeyTable:
    """Records of the requests whose keys this process issued.

    Args:
        max_keys: Maximum number of records.
        max_kept_bytes: Maximum size of all kept answers in bytes.
    """

    __slots__ = (
        "_expiry",
        "_kept_bytes",
        "_max_kept_bytes",
        "_max_keys",
        "_not_run",
        "_records",
        "_serial",
        "_state_counts",
    )

    def __init__(
        self, max_keys: int = MAX_KEYS, max_kept_bytes: int = MAX_KEPT_BYTES
    ) -> None:
        self._max_keys = max_keys
        self._max_kept_bytes = max_kept_bytes
        self._records: dict[int, KeyRecord] = {}
        self._expiry: list[tuple[int, int]] = []
        self._not_run: dict[int, None] = {}
        self._kept_bytes = 0
        self._serial = 0
        self._state_counts: Counter[type] = Counter()

    def __len__(self) -> int:
        return len(self._records)

    @property
    def kept_bytes(self) -> int:
        """Size of all kept answers in bytes."""
        return self._kept_bytes

    def count(self, state: type[KeyState]) -> int:
        """Return the number of records in a state."""
        return self._state_counts[state]

    def next_serial(self) -> int:
        """Return a serial number that has not been used before."""
        self._serial += 1
        return self._serial

    def claim(self, key: RequestKey, digest: bytes) -> First | Duplicate:
        """Decide whether a request may run, and create its record if so.

        Args:
            key: Key of the request, issued by this process.
            digest: Digest of method, path and body.

        Returns:
            ``First`` for the first claim and after ``NotRun``, ``Duplicate`` while the
            request may have been dispatched.

        Raises:
            ResultError: With code 1611 if the key belongs to another request, 1613 if
                the table is full, 1614 if the key has expired.
        """
        self._drop_expired()
        record = self._records.get(key.serial)
        if record is not None:
            if not hmac.compare_digest(record.digest, digest):
                raise ResultError(KEY_REUSED, "method, path or body differ")
            if not isinstance(record.state, NotRun):
                return Duplicate(record)
        # The record of an expired key may have been dropped, so it is unknown whether a
        # request with the key has run.
        if key.expires_ms <= _now_ms():
            raise ResultError(KEY_OUTCOME_UNKNOWN, "the key has expired")
        if record is None:
            self._make_room()
            heapq.heappush(self._expiry, (key.expires_ms, key.serial))
        else:
            self._state_counts[type(record.state)] -= 1
        self._not_run.pop(key.serial, None)
        # A record in state NotRun is replaced, not reused, since duplicates of the
        # earlier attempt still read the state of the old record.
        record = KeyRecord(digest, key.expires_ms)
        self._records[key.serial] = record
        self._state_counts[Running] += 1
        return First(record)

    def is_unused(self, key: RequestKey) -> bool:
        """Return whether it is certain that no request with the key has run."""
        record = self._records.get(key.serial)
        if record is not None:
            return isinstance(record.state, NotRun)
        return key.expires_ms > _now_ms()

    def set_state(self, record: KeyRecord, state: KeyState) -> None:
        """Set the state of a record that is not settled."""
        self._state_counts[type(record.state)] -= 1
        self._state_counts[type(state)] += 1
        record.state = state

    def settle(self, key: RequestKey, record: KeyRecord, state: KeyState) -> None:
        """Set the final state of a record and wake the duplicates that wait for it.

        Further calls for the same record have no effect.

        Args:
            key: Key of the request.
            record: Record that ``claim`` returned in ``First``.
            state: The final state.
        """
        if record.settled.is_set():
            return
        match state:
            case Done(answer) if not self._may_keep(answer):
                state = Ran(answer.status)
            case Done(answer):
                self._kept_bytes += answer.size
            case NotRun():
                self._not_run[key.serial] = None
        self.set_state(record, state)
        record.settled.set()

    def _may_keep(self, answer: KeptAnswer) -> bool:
        if answer.size > MAX_ANSWER_BYTES:
            return False
        return self._kept_bytes + answer.size <= self._max_kept_bytes

    def _make_room(self) -> None:
        if len(self._records) < self._max_keys:
            return
        if not self._not_run:
            detail = f"{len(self._records)} keys are in use"
            raise ResultError(KEYS_FULL, detail, retry_after=1.0)
        # The record of a request that was not dispatched is not needed, because the
        # request may still run under a new record.
        serial = next(iter(self._not_run))
        self._drop(serial, self._records[serial])
        # The heap keeps the entries of dropped records until these entries expire. The
        # heap is therefore rebuilt when it is much larger than the table.
        if len(self._expiry) > 2 * self._max_keys:
            self._expiry = [(r.expires_ms, s) for s, r in self._records.items()]
            heapq.heapify(self._expiry)

    def _drop_expired(self) -> None:
        time = _now_ms()
        running: list[tuple[int, int]] = []
        while self._expiry and self._expiry[0][0] <= time:
            expires_ms, serial = heapq.heappop(self._expiry)
            record = self._records.get(serial)
            if record is not None and not record.settled.is_set():
                running.append((time + 1000, serial))
            elif record is not None:
                self._drop(serial, record)
        for entry in running:
            heapq.heappush(self._expiry, entry)

    def _drop(self, serial: int, record: KeyRecord) -> None:
        del self._records[serial]
        self._not_run.pop(serial, None)
        self._state_counts[type(record.state)] -= 1
        if isinstance(record.state, Done):
            self._kept_bytes -= record.state.answer.size


def request_digest(method: str, path: str, body: bytes) -> bytes:
    """Return the digest of the parts of a request to which its key is bound."""
    digest = hashlib.blake2s()
    for part in (method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def _now_ms() -> int:
    return int(now() * 1000)

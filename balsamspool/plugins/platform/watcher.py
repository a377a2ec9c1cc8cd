"""Watches one value of the platform."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from balsamspool.kernel.backoff import Backoff
from balsamspool.kernel.clock import now
from balsamspool.kernel.errors import ResultError
from balsamspool.plugins.platform.client import PlatformValue, Unchanged
from balsamspool.plugins.platform.pace import Pace

FIRST_RETRY_SECONDS = 0.5
RETRY_LIMIT_SECONDS = 5.0

OnValue = Callable[[PlatformValue], None]
KnownRevision = Callable[[], int]


@dataclass(frozen=True, slots=True)
class Reached:
    """The platform answered.

    Attributes:
        changed: Whether it sent a new value.
    """

    changed: bool


@dataclass(frozen=True, slots=True)
class Unusable:
    """The platform answered with a revision that the process did not accept.

    Attributes:
        revision: Revision of the answer.
        known: Revision that the process has.
    """

    revision: int
    known: int


@dataclass(frozen=True, slots=True)
class Failed:
    """The platform did not answer.

    Attributes:
        detail: What happened.
    """

    detail: str


WatchReport = Reached | Unusable | Failed


class Client(Protocol):
    """Reads values from one address of the platform."""

    async def watch(
        self, name: str, after: int, wait: float
    ) -> PlatformValue | Unchanged:
        """Wait for a value whose revision differs from a known one."""


class Watcher:
    """Watches one value, at the same address until a watch there fails.

    Args:
        clients: Clients of the platform's addresses, in order of preference.
        pace: Spreads calls over time.
        watch_seconds: Longest wait of one watch in seconds.
        on_report: Called after each watch.
    """

    __slots__ = ("_clients", "_on_report", "_pace", "_watch_seconds")

    def __init__(
        self,
        clients: Sequence[Client],
        pace: Pace,
        watch_seconds: float,
        on_report: Callable[[WatchReport], None],
    ) -> None:
        self._clients = clients
        self._pace = pace
        self._watch_seconds = watch_seconds
        self._on_report = on_report

    async def run(
        self, name: str, known_revision: KnownRevision, on_value: OnValue
    ) -> None:
        """Watch until cancelled.

        Args:
            name: Name of the value.
            known_revision: Returns the revision that this process already has.
            on_value: Called with each value that differs from the known revision.
        """
        backoff = Backoff(FIRST_RETRY_SECONDS, RETRY_LIMIT_SECONDS)
        client_index = 0
        await asyncio.sleep(self._pace.spread_delay())
        while True:
            client = self._clients[client_index % len(self._clients)]
            wait = self._pace.watch_wait(self._watch_seconds)
            called_at = now()
            report = await self._watch(client, name, wait, known_revision, on_value)
            self._on_report(report)
            match report:
                case Reached(changed):
                    backoff.reset()
                    if changed:
                        # A change ends the watches of all processes at the same time,
                        # so each process delays its next call.
                        await asyncio.sleep(self._pace.next_call_delay(called_at))
                case Unusable() | Failed():
                    # Another address may be reachable or hold a newer revision. The
                    # delay prevents a tight loop if the next watch also ends
                    # immediately.
                    client_index += 1
                    delay = max(
                        backoff.next_delay(), self._pace.next_call_delay(called_at)
                    )
                    await asyncio.sleep(delay)

    async def _watch(
        self,
        client: Client,
        name: str,
        wait: float,
        known_revision: KnownRevision,
        on_value: OnValue,
    ) -> WatchReport:
        try:
            answer = await client.watch(name, known_revision(), wait)
        except ResultError as error:
            return Failed(error.detail)
        match answer:
            case Unchanged():
                return Reached(changed=False)
            case PlatformValue(revision):
                on_value(answer)
                if known_revision() != revision:
                    return Unusable(revision, known_revision())
                return Reached(changed=True)

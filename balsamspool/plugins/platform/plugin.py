"""Plug-in that watches published values, one task for each value."""

import asyncio
import logging
import random
from asyncio import Task
from typing import Annotated

from aiohttp import ClientSession
from msgspec import Meta
from prometheus_client import Counter

from balsamspool.kernel.identity import Role
from balsamspool.kernel.lifecycle import Kernel
from balsamspool.kernel.registry import Plugin, register
from balsamspool.kernel.settings import Section
from balsamspool.plugins.platform.client import PlatformClient, PlatformValue
from balsamspool.plugins.platform.events import (
    PLATFORM_STALE,
    WATCH_FAILED,
    WATCH_RESTORED,
)
from balsamspool.plugins.platform.pace import Pace
from balsamspool.plugins.platform.watcher import (
    Failed,
    KnownRevision,
    OnValue,
    Reached,
    Unusable,
    Watcher,
    WatchReport,
)

_logger = logging.getLogger(__name__)


class PlatformSettings(Section, frozen=True):
    """Settings of the platform plug-in.

    Attributes:
        addresses: Base URLs of the platform's configuration service.
        watch_seconds: Longest wait of one watch in seconds. The wait is shorter as far
            as the number of readers permits.
        readers: Least number of processes assumed to read the platform. The instance
            list may raise it. Calls are spread over time so that this many processes
            stay below the platform's call limit.
    """

    addresses: Annotated[list[str], Meta(min_length=1)]
    watch_seconds: Annotated[float, Meta(gt=0, le=300)] = 25.0
    readers: Annotated[int, Meta(ge=1, le=100_000)] = 200


@register("platform", roles=[Role.ENTRY, Role.AGENT])
class PlatformPlugin(Plugin):
    """Watches values of the platform.

    Args:
        kernel: Kernel that runs the plug-in.
    """

    settings_type = PlatformSettings

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._settings: PlatformSettings = kernel.settings.section("platform")
        self._session: ClientSession | None = None
        self._tasks: list[Task[None]] = []
        self._pace = Pace(self._settings.readers, random.Random())
        self._reachable: dict[str, bool] = {}
        self._watches = Counter(
            "balsamspool_platform_watches",
            "Watches that ended",
            ["value", "result"],
            registry=kernel.metrics,
        )

        self._received = Counter(
            "balsamspool_platform_received_bytes",
            "Bytes of values received, without HTTP, TCP and IP headers",
            ["value"],
            registry=kernel.metrics,
        )

    async def start(self) -> None:
        """Open the HTTP session."""
        self._session = ClientSession()

    async def stop(self) -> None:
        """Cancel the watches, then close the HTTP session."""
        # The watches end before the session is closed. A watch that used the closed
        # session would fail, which would stop the process.
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._session is not None:
            await self._session.close()

    def status(self) -> dict[str, object]:
        """Return the result of the last watch of each value and the readers."""
        return {"reachable": dict(self._reachable), "readers": self._pace.readers}

    def reachable(self, name: str) -> bool:
        """Return whether the last watch of a value succeeded."""
        return self._reachable.get(name, False)

    def learn_readers(self, count: int) -> None:
        """Set the number of readers, but not below that of the settings.

        Args:
            count: Number of listed instances.
        """
        self._pace.readers = max(count, self._settings.readers)

    def watch(
        self, name: str, known_revision: KnownRevision, on_value: OnValue
    ) -> None:
        """Start the task that watches a value.

        Args:
            name: Name of the value.
            known_revision: Returns the revision that this process already has.
            on_value: Called with each value that differs from the known revision.
        """
        assert self._session is not None
        addresses = list(self._settings.addresses)
        random.shuffle(addresses)
        watcher = Watcher(
            [PlatformClient(self._session, address) for address in addresses],
            self._pace,
            self._settings.watch_seconds,
            lambda report: self._record_report(name, report),
        )
        received = self._received.labels(name)

        def count_and_handle(value: PlatformValue) -> None:
            received.inc(value.size)
            on_value(value)

        work = watcher.run(name, known_revision, count_and_handle)
        self._tasks.append(self._kernel.spawn(work, f"platform watch {name}"))

    def _record_report(self, name: str, report: WatchReport) -> None:
        before = self._reachable.get(name)
        match report:
            case Reached():
                result, self._reachable[name] = "answered", True
            case Unusable(revision, known):
                result, self._reachable[name] = "unusable", True
                PLATFORM_STALE.log(_logger, value=name, offered=revision, known=known)
            case Failed(detail):
                result, self._reachable[name] = "failed", False
                if before is not False:
                    WATCH_FAILED.log(_logger, value=name, detail=detail)
        self._watches.labels(name, result).inc()
        if before is False and self._reachable[name]:
            WATCH_RESTORED.log(_logger, value=name)

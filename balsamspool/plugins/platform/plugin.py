"""Plug-in that watches published values, one task for each value."""

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Annotated

from aiohttp import ClientSession
from msgspec import Meta

from balsamspool.kernel.backoff import Backoff
from balsamspool.kernel.errors import ResultError
from balsamspool.kernel.identity import Role
from balsamspool.kernel.lifecycle import Kernel
from balsamspool.kernel.registry import Plugin, register
from balsamspool.kernel.settings import Section
from balsamspool.plugins.platform.client import (
    PlatformClient,
    PlatformValue,
    Unchanged,
)
from balsamspool.plugins.platform.events import WATCH_FAILED, WATCH_RESTORED

_logger = logging.getLogger(__name__)

FIRST_RETRY_SECONDS = 0.5
RETRY_LIMIT_SECONDS = 5.0

OnValue = Callable[[PlatformValue], None]


class PlatformSettings(Section, frozen=True):
    """Settings of the platform plug-in.

    Attributes:
        addresses: Base URLs of the platform's configuration service.
        watch_seconds: Longest wait of one watch in seconds.
    """

    addresses: Annotated[list[str], Meta(min_length=1)]
    watch_seconds: Annotated[float, Meta(gt=0, le=300)] = 25.0


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
        self._reachable: dict[str, bool] = {}

    async def start(self) -> None:
        """Open the HTTP session."""
        self._session = ClientSession()

    async def stop(self) -> None:
        """Close the HTTP session."""
        if self._session is not None:
            await self._session.close()

    def status(self) -> dict[str, object]:
        """Return whether the last watch of each value succeeded."""
        return {"reachable": dict(self._reachable)}

    def watch(
        self, name: str, known_revision: Callable[[], int], on_value: OnValue
    ) -> None:
        """Start the task that watches a value.

        Args:
            name: Name of the value.
            known_revision: Returns the revision that this process already has.
            on_value: Called with each value that differs from the known revision.
        """
        work = self._watch(name, known_revision, on_value)
        self._kernel.spawn(work, f"platform watch {name}")

    async def _watch(
        self, name: str, known_revision: Callable[[], int], on_value: OnValue
    ) -> None:
        assert self._session is not None
        addresses = list(self._settings.addresses)
        random.shuffle(addresses)
        clients = [PlatformClient(self._session, address) for address in addresses]
        backoff = Backoff(FIRST_RETRY_SECONDS, RETRY_LIMIT_SECONDS)
        attempt = 0
        while True:
            client = clients[attempt % len(clients)]
            # Jitter keeps the watches of a fleet from ending at the same moment.
            wait = self._settings.watch_seconds * random.uniform(0.7, 1.0)
            try:
                answer = await client.watch(name, known_revision(), wait)
            except ResultError as error:
                self._note(name, reachable=False, detail=error.detail)
                attempt += 1
                await asyncio.sleep(backoff.next_delay())
                continue
            self._note(name, reachable=True)
            backoff.reset()
            match answer:
                case PlatformValue():
                    on_value(answer)
                    if answer.revision < known_revision():
                        # A stale platform would answer the next watch at once.
                        await asyncio.sleep(backoff.next_delay())
                case Unchanged():
                    pass

    def _note(self, name: str, *, reachable: bool, detail: str = "") -> None:
        before = self._reachable.get(name)
        self._reachable[name] = reachable
        if not reachable and before is not False:
            WATCH_FAILED.log(_logger, value=name, detail=detail)
        elif reachable and before is False:
            WATCH_RESTORED.log(_logger, value=name)

"""Reads the platform and the status pages of all processes; it writes nothing."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout

from balsamspool.commands.codes import NOTHING_PUBLISHED
from balsamspool.kernel.errors import ResultError
from balsamspool.plugins.configuration.checker import check_text
from balsamspool.plugins.configuration.digest import text_digest
from balsamspool.plugins.configuration.text import Text
from balsamspool.plugins.membership import Instance
from balsamspool.plugins.platform import PlatformValue
from balsamspool.plugins.platform.client import PlatformClient

STATUS_SECONDS = 2.0
# Maximum number of processes that a command reads concurrently, so that it does not
# open several thousand connections at the same time.
CONCURRENT_READS = 64


@dataclass(frozen=True, slots=True)
class Published:
    """The configuration text that the platform publishes.

    Attributes:
        revision: Revision of the text.
        digest: Digest of the text.
        document: The parsed text.
    """

    revision: int
    digest: str
    document: Text


@dataclass(frozen=True, slots=True)
class Report:
    """Status of one listed process.

    Attributes:
        instance: The process as the platform lists it.
        status: Status page of the process, None if the process did not answer.
    """

    instance: Instance
    status: dict[str, Any] | None

    @property
    def state(self) -> str:
        """State of the process, ``unreachable`` if it did not answer."""
        return self.status["state"] if self.status else "unreachable"

    def value(self, plugin: str, name: str) -> Any:
        """Return a value of a plug-in's status, or None."""
        if self.status is None:
            return None
        return self.status["plugins"].get(plugin, {}).get(name)


class FleetReader:
    """Reads what the platform publishes and the status pages of the processes.

    Args:
        session: HTTP session.
        platform: Base URL of the platform.
    """

    __slots__ = ("_client", "_limit", "_session")

    def __init__(self, session: ClientSession, platform: str) -> None:
        self._session = session
        self._client = PlatformClient(session, platform)
        self._limit = asyncio.Semaphore(CONCURRENT_READS)

    async def published(self) -> Published:
        """Return the published configuration.

        Raises:
            ResultError: If the platform does not answer or the text is not valid.
        """
        value = await self._read("configuration")
        digest = text_digest(value.value)
        return Published(value.revision, digest, check_text(value.value))

    async def instances(self) -> list[Instance]:
        """Return the instance list.

        Raises:
            ResultError: If the platform does not answer.
        """
        value = await self._read("instances")
        found = msgspec.json.decode(value.value, type=list[Instance])
        return sorted(found, key=lambda i: (i.role.value, i.service or "", i.instance))

    async def reports(self) -> list[Report]:
        """Return the status of every listed process."""
        reads = [self._report(instance) for instance in await self.instances()]
        return list(await asyncio.gather(*reads))

    async def _read(self, name: str) -> PlatformValue:
        match await self._client.watch(name, after=0, wait=0):
            case PlatformValue() as value:
                return value
            case _:
                raise ResultError(
                    NOTHING_PUBLISHED, f"the platform has no value {name!r}"
                )

    async def _report(self, instance: Instance) -> Report:
        url = f"http://{instance.address}:{instance.admin_port}/status"
        try:
            async with self._limit, self._session.get(url) as answer:
                status = msgspec.json.decode(await answer.read())
        except (ClientError, TimeoutError, OSError, msgspec.DecodeError):
            return Report(instance, None)
        return Report(instance, status)


@asynccontextmanager
async def open_fleet(platform: str) -> AsyncIterator[FleetReader]:
    """Open a reader for the fleet that a platform describes."""
    timeout = ClientTimeout(total=STATUS_SECONDS)
    async with ClientSession(timeout=timeout) as session:
        yield FleetReader(session, platform)

"""Polls the health and the load that a backend server reports."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from aiohttp import ClientConnectorError, ClientError, ClientSession, ClientTimeout
from msgspec import Struct

from balsamspool.kernel.decoding import decode_json

POLL_TIMEOUT_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Healthy:
    """The backend server reports that it is healthy.

    Attributes:
        draining: Whether it is draining and wants no new requests.
    """

    draining: bool


@dataclass(frozen=True, slots=True)
class Unhealthy:
    """The backend server reports a failure, or its answer failed or timed out."""


@dataclass(frozen=True, slots=True)
class ConnectFailed:
    """No connection could be opened."""


HealthReport = Healthy | Unhealthy | ConnectFailed


class ReportedLoad(Struct, frozen=True):
    """Slots that a backend server reports; the numbers may be outdated or wrong.

    Attributes:
        busy: Number of slots in use.
        slots: Number of all slots.
    """

    busy: int
    slots: int


class _HealthBody(Struct, frozen=True):
    state: str


_health_decoder = msgspec.json.Decoder(_HealthBody)
_load_decoder = msgspec.json.Decoder(ReportedLoad)


class HealthPoller:
    """Polls the health and the load of one backend server.

    Args:
        address: Base URL of the backend server.
        interval: Average time between two polls in seconds.

    Attributes:
        load: Load of the latest poll, None if that poll returned no load.
    """

    __slots__ = ("_address", "_interval", "load")

    def __init__(self, address: str, interval: float) -> None:
        self._address = address
        self._interval = interval
        self.load: ReportedLoad | None = None

    async def run(self, on_report: Callable[[HealthReport], None]) -> None:
        """Poll until cancelled.

        Args:
            on_report: Called with each health report.
        """
        timeout = ClientTimeout(total=POLL_TIMEOUT_SECONDS)
        async with ClientSession(timeout=timeout) as session:
            while True:
                on_report(await self.poll(session))
                self.load = await self._poll_load(session)
                await asyncio.sleep(self._interval * random.uniform(0.8, 1.2))

    async def poll(self, session: ClientSession) -> HealthReport:
        """Request the health once."""
        try:
            async with session.get(f"{self._address}/health") as answer:
                if answer.status != 200:
                    return Unhealthy()
                body = decode_json(_health_decoder, await answer.read())
        except ClientConnectorError:
            return ConnectFailed()
        except (ClientError, OSError, TimeoutError, ValueError):
            return Unhealthy()
        return Healthy(draining=body.state == "draining")

    async def _poll_load(self, session: ClientSession) -> ReportedLoad | None:
        try:
            async with session.get(f"{self._address}/load") as answer:
                return decode_json(_load_decoder, await answer.read())
        except (ClientError, OSError, TimeoutError, ValueError):
            return None

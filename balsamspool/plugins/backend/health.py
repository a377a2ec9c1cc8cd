"""Polls what a backend server reports of itself."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from aiohttp import ClientConnectorError, ClientError, ClientSession, ClientTimeout
from msgspec import Struct

POLL_TIMEOUT_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Healthy:
    """The backend server says that it is well.

    Attributes:
        draining: Whether it asks for no new requests.
    """

    draining: bool


@dataclass(frozen=True, slots=True)
class Unwell:
    """The backend server says that it is not well, or says nothing."""


@dataclass(frozen=True, slots=True)
class Refused:
    """No connection could be opened."""


HealthReport = Healthy | Unwell | Refused


class ReportedLoad(Struct, frozen=True):
    """What a backend server says of its slots. It may lag or mislead.

    Attributes:
        busy: Slots in use.
        slots: All slots.
    """

    busy: int
    slots: int


class _State(Struct, frozen=True):
    state: str


class HealthPoller:
    """Asks one backend server for its health and its load.

    Args:
        address: Base URL of the backend server.
        interval: Time between two polls in seconds.
    """

    __slots__ = ("_address", "_interval", "load")

    def __init__(self, address: str, interval: float) -> None:
        self._address = address
        self._interval = interval
        self.load: ReportedLoad | None = None

    async def run(self, on_report: Callable[[HealthReport], None]) -> None:
        """Poll until cancelled.

        Args:
            on_report: Called with each report.
        """
        timeout = ClientTimeout(total=POLL_TIMEOUT_SECONDS)
        async with ClientSession(timeout=timeout) as session:
            while True:
                on_report(await self.poll(session))
                self.load = await self._poll_load(session)
                await asyncio.sleep(self._interval * random.uniform(0.8, 1.2))

    async def poll(self, session: ClientSession) -> HealthReport:
        """Ask once for the health."""
        try:
            async with session.get(f"{self._address}/health") as answer:
                if answer.status != 200:
                    return Unwell()
                state = msgspec.json.decode(await answer.read(), type=_State)
        except ClientConnectorError:
            return Refused()
        except (ClientError, OSError, TimeoutError, msgspec.DecodeError):
            return Unwell()
        return Healthy(draining=state.state == "draining")

    async def _poll_load(self, session: ClientSession) -> ReportedLoad | None:
        try:
            async with session.get(f"{self._address}/load") as answer:
                return msgspec.json.decode(await answer.read(), type=ReportedLoad)
        except (ClientError, OSError, TimeoutError, msgspec.DecodeError):
            return None

"""Emulated demand: kept and fresh flows whose rate follows a wave."""

import asyncio
import itertools
import math
import random

from msgspec import Struct

from balsamspool.kernel.clock import now
from emulator.caller import Caller, CallerHost, Habit, RequestKind
from emulator.fleet import Fleet


class Demand(Struct, frozen=True):
    """Requests of one kind, from all failure domains together.

    Attributes:
        kind: Kind of the requests.
        rate: Mean requests a second.
        callers: Callers that keep a flow, for kinds that keep flows.
    """

    kind: RequestKind
    rate: float
    callers: int = 0


class Wave(Struct, frozen=True):
    """How the rate changes over time.

    Attributes:
        swing: Share of the mean by which the rate rises and falls.
        period: Seconds from crest to crest.
    """

    swing: float = 0.55
    period: float = 17.0

    def factor(self, time: float, phase: float) -> float:
        """Return the rate at a time relative to its mean."""
        return 1 + self.swing * math.sin(2 * math.pi * (time / self.period + phase))


class Traffic:
    """Lets callers send requests.

    Args:
        fleet: The fleet.
        demands: What is asked for.
        wave: How the rate changes.
        rng: Source of randomness.
    """

    def __init__(
        self, fleet: Fleet, demands: list[Demand], wave: Wave, rng: random.Random
    ) -> None:
        self._fleet = fleet
        self._demands = demands
        self._wave = wave
        self._rng = rng
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self._begin = 0.0
        self._stopping = False
        self._addresses = itertools.count(1)
        # Times the usual rate, while many callers come at once.
        self.burst = 1.0

    def start(self) -> None:
        """Begin to send requests."""
        self._begin = now()
        domains = self._fleet.plan.failure_domains
        for number, domain in enumerate(domains):
            phase = 0.08 * number
            for demand in self._demands:
                share = demand.rate / len(domains)
                match demand.kind.habit:
                    case Habit.KEPT:
                        callers = max(1, demand.callers // len(domains))
                        self._start_kept(domain, demand.kind, share, callers, phase)
                    case Habit.FRESH:
                        work = self._fresh(domain, demand.kind, share, phase)
                        self._spawn(work)

    async def stop(self, seconds: float) -> None:
        """End all requests that do not end by themselves within some seconds."""
        self._stopping = True
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=seconds)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _start_kept(
        self, domain: str, kind: RequestKind, rate: float, callers: int, phase: float
    ) -> None:
        for _ in range(callers):
            caller = self._caller(domain, kind)
            self._spawn(self._kept(caller, rate / callers, phase))

    async def _kept(self, caller: Caller, rate: float, phase: float) -> None:
        while not self._stopping:
            await asyncio.sleep(self._pause(rate, phase))
            await caller.request()

    async def _fresh(
        self, domain: str, kind: RequestKind, rate: float, phase: float
    ) -> None:
        host = self._host(domain)
        while not self._stopping:
            await asyncio.sleep(self._pause(rate, phase))
            self._spawn(self._caller(domain, kind, host).request())

    def _pause(self, rate: float, phase: float) -> float:
        factor = self._wave.factor(now() - self._begin, phase) * self.burst
        return self._rng.expovariate(rate * factor)

    def _caller(
        self, domain: str, kind: RequestKind, host: CallerHost | None = None
    ) -> Caller:
        return Caller(
            host or self._host(domain),
            kind,
            self._numbers,
            self._fleet.history,
            self._rng,
        )

    def _host(self, domain: str) -> CallerHost:
        number = next(self._addresses)
        return CallerHost(
            f"100.64.{number // 250}.{number % 250 + 1}",
            self._fleet.network,
            lambda key: self._fleet.entry_for(domain, key),
            self._fleet.history,
            self._rng,
        )

    def _spawn(self, work: "asyncio._CoroutineLike[None]") -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

"""Emulated demand: requests on kept and fresh flows, at a rate that varies in time."""

import asyncio
import itertools
import math
import random

from msgspec import Struct

from balsamspool.kernel.clock import now
from emulator.caller import Caller, CallerHost, FlowUse, RequestKind
from emulator.fleet import Fleet


class Demand(Struct, frozen=True):
    """Demand for one kind of request, from all failure domains together.

    Attributes:
        kind: Kind of the requests.
        rate: Mean number of requests per second.
        callers: Number of callers, for kinds of requests whose callers keep a flow.
    """

    kind: RequestKind
    rate: float
    callers: int = 0


class Wave(Struct, frozen=True):
    """Sine wave that the request rate follows.

    Attributes:
        amplitude: Amplitude, as a share of the mean rate.
        period: Period in seconds.
    """

    amplitude: float = 0.55
    period: float = 17.0

    def factor(self, time: float, phase: float) -> float:
        """Return the rate at a time in seconds, relative to the mean rate."""
        return 1 + self.amplitude * math.sin(2 * math.pi * (time / self.period + phase))


class Traffic:
    """Runs the callers of a fleet.

    Args:
        fleet: The fleet.
        demands: Demand for each kind of request.
        wave: How the request rate changes over time.
        rng: Random number generator.
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
        self._started = 0.0
        self._stopping = False
        self._addresses = itertools.count(1)
        # Request rate relative to the usual rate; a burst raises it.
        self.rate_factor = 1.0

    def start(self) -> None:
        """Start sending requests."""
        self._started = now()
        domains = self._fleet.plan.failure_domains
        for number, domain in enumerate(domains):
            phase = 0.08 * number
            for demand in self._demands:
                share = demand.rate / len(domains)
                match demand.kind.flow_use:
                    case FlowUse.KEPT:
                        callers = max(1, demand.callers // len(domains))
                        self._start_kept(domain, demand.kind, share, callers, phase)
                    case FlowUse.FRESH:
                        coroutine = self._send_on_fresh_flows(
                            domain, demand.kind, share, phase
                        )
                        self._spawn(coroutine)

    async def stop(self, seconds: float) -> None:
        """Stop sending requests.

        Args:
            seconds: Time after which requests in progress are cancelled.
        """
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
            caller = self._new_caller(domain, kind)
            self._spawn(self._send_on_kept_flow(caller, rate / callers, phase))

    async def _send_on_kept_flow(
        self, caller: Caller, rate: float, phase: float
    ) -> None:
        while not self._stopping:
            await asyncio.sleep(self._next_pause(rate, phase))
            await caller.request()

    async def _send_on_fresh_flows(
        self, domain: str, kind: RequestKind, rate: float, phase: float
    ) -> None:
        host = self._new_host(domain)
        while not self._stopping:
            await asyncio.sleep(self._next_pause(rate, phase))
            self._spawn(self._new_caller(domain, kind, host).request())

    def _next_pause(self, rate: float, phase: float) -> float:
        factor = self._wave.factor(now() - self._started, phase) * self.rate_factor
        return self._rng.expovariate(rate * factor)

    def _new_caller(
        self, domain: str, kind: RequestKind, host: CallerHost | None = None
    ) -> Caller:
        return Caller(
            host or self._new_host(domain),
            kind,
            self._numbers,
            self._fleet.history,
            self._rng,
        )

    def _new_host(self, domain: str) -> CallerHost:
        number = next(self._addresses)
        return CallerHost(
            f"100.64.{number // 250}.{number % 250 + 1}",
            self._fleet.network,
            lambda key: self._fleet.entry_for(domain, key),
            self._fleet.history,
            self._rng,
        )

    def _spawn(self, coroutine: "asyncio._CoroutineLike[None]") -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

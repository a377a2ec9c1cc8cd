"""A simulated host: the product's decision classes with a fake backend server."""

import asyncio
import random
from dataclasses import dataclass

from balsamspool.kernel.clock import now
from balsamspool.placement.rendezvous import Candidate
from balsamspool.plugins.admission.controller import AdmissionController
from balsamspool.plugins.admission.estimate import Estimator
from balsamspool.plugins.admission.policy import RelayPolicy
from balsamspool.plugins.admission.queue import Job
from balsamspool.plugins.admission.slots import Slots
from balsamspool.plugins.backend.outlier import HealthState, OutlierDetector
from balsamspool.plugins.mesh.message import PeerAddress
from balsamspool.plugins.routing.handover import Handover, OwnHost, OwnState
from balsamspool.requests.relay import PeerLoad
from benchmarks.policy.parts import System
from benchmarks.policy.workload import (
    COLD_FACTOR,
    COLD_SECONDS,
    QUEUE_PER_HOST,
    SLOTS_PER_HOST,
    Arrival,
)

CONNECTIONS_PER_HOST = 2_000
SLOW_START_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class SlotUse:
    """Use of a slot by one request, in event loop time.

    Attributes:
        begin: Start in seconds.
        end: End in seconds.
        useful: Whether the request got a complete answer.
    """

    begin: float
    end: float
    useful: bool


class Host:
    """An agent with its backend server.

    Args:
        number: Position of the host.
        speed: Speed of its backend server, 1 for the reference speed.
        system: Parts of the policy in use.
        rng: Random number generator.
    """

    __slots__ = (
        "_cold_until",
        "address",
        "candidate",
        "connections",
        "controller",
        "estimator",
        "handover",
        "detector",
        "leaving",
        "reports_zero_load",
        "reported_connections",
        "slot_uses",
        "speed",
    )

    def __init__(
        self, number: int, speed: float, system: System, rng: random.Random
    ) -> None:
        slots = Slots(
            SLOTS_PER_HOST,
            SLOTS_PER_HOST,
            SLOW_START_SECONDS if system.slow_start else 0.0,
        )
        self.controller = AdmissionController(
            slots, QUEUE_PER_HOST, CONNECTIONS_PER_HOST, RelayPolicy(rng)
        )
        self.candidate = Candidate(f"host-{number}", f"127.0.1.{number}", 4433)
        self.address = PeerAddress(self.candidate.address, 4434)
        self.estimator = Estimator()
        self.handover = Handover()
        self.detector = OutlierDetector()
        self.speed = speed
        self.connections = self.reported_connections = 0
        self.leaving = self.reports_zero_load = False
        self.slot_uses: list[SlotUse] = []
        self._cold_until = 0.0

    @property
    def name(self) -> str:
        """Name of the agent instance."""
        return self.candidate.name

    @property
    def load(self) -> int:
        """Load that the host reports."""
        return 0 if self.reports_zero_load else self.controller.load

    @property
    def accepting(self) -> bool:
        """Whether the host accepts new requests."""
        return not self.leaving and self.detector.state is not HealthState.SUSPENDED

    @property
    def own_host(self) -> OwnHost:
        """State of the host for hand-over decisions."""
        state = OwnState.ACCEPTING
        if self.leaving:
            state = OwnState.LEAVING
        elif self.connections >= CONNECTIONS_PER_HOST:
            state = OwnState.FULL
        return OwnHost(self.name, state, self.controller.load)

    def report(self) -> PeerLoad:
        """Return the load report that the host sends to its peers."""
        wait = 0.0 if self.reports_zero_load else self.controller.expected_wait
        return PeerLoad(self.name, self.address, self.accepting, self.load, wait)

    def start_cold(self) -> None:
        """Start with a cold backend server."""
        self._cold_until = now() + COLD_SECONDS
        self.controller.begin_slow_start()

    def make_job(self, arrival: Arrival, deadline: float, system: System) -> Job:
        """Return the admission job of a request."""
        route = arrival.route
        if not system.estimates:
            return Job(route.name, deadline, 0.0, system.protection and route.long)
        long = route.long or self.estimator.is_long(route.name)
        expected = self.estimator.expected(route.name)
        return Job(route.name, deadline, expected, system.protection and long)

    async def run(self, arrival: Arrival, deadline: float | None) -> bool:
        """Run a request in a slot and return whether it got a complete answer."""
        begin = now()
        speed = self.speed / (COLD_FACTOR if begin < self._cold_until else 1.0)
        complete = False
        try:
            async with asyncio.timeout_at(deadline):
                await asyncio.sleep(arrival.work / speed)
            complete = True
        except TimeoutError:
            if now() - begin >= 1.0:
                self.detector.record_failure()
        finally:
            seconds = now() - begin
            self.slot_uses.append(SlotUse(begin, begin + seconds, complete))
            if complete:
                self.detector.record_first_byte(seconds)
                self.detector.record_success()
                self.estimator.observe(arrival.route.name, seconds)
            else:
                self.estimator.observe_interrupted(arrival.route.name, seconds)
        return complete

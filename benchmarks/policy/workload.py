"""Workloads: which requests arrive when, the same for every system compared."""

import random
from dataclasses import dataclass
from enum import Enum

SLOTS = 2
QUEUE = 64
FLOWS_PER_HOST = 1_500
# The fastest host is four times as fast as the slowest.
SPEEDS = (0.5, 2.0, 1.0, 1.3, 0.7, 1.6, 1.0)
NEW_FLOW_SHARE = 0.1
# Share of callers who leave within half of their deadline.
LEAVING_SHARE = 0.01
STRAGGLER_RATIO = 50.0
RAMP_SECONDS = 2.0
SLOW_FACTOR = 8.0
COLD_FACTOR = 3.0
COLD_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class RouteLoad:
    """Requests of one route.

    Attributes:
        name: Name of the route.
        share: Share of the requests of the service.
        seconds: Median duration at speed 1.
        deadline: Seconds that a caller waits.
        long: Whether the configuration calls it a download.
        stragglers: Share of requests that run 50 times as long.
    """

    name: str
    share: float
    seconds: float
    deadline: float
    long: bool = False
    stragglers: float = 0.0


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """One service of one user.

    Attributes:
        name: Name of the service.
        hosts: Number of hosts.
        caller_delay: Seconds one way between callers and the service.
        calm: Seconds of calm load; a crest takes half as long.
        routes: Its routes.
    """

    name: str
    hosts: int
    caller_delay: float
    calm: float
    routes: tuple[RouteLoad, ...]


@dataclass(frozen=True, slots=True)
class Scenario:
    """How demand and hosts change.

    Attributes:
        name: Name of the scenario.
        calm: Calm load as a share of capacity.
        crest: Load at the crest as a share of capacity.
        churn: Whether at the crest one host starts cold and one drains. With more than
            4 hosts, one also turns slow without errors and one reports no load at all.
    """

    name: str
    calm: float
    crest: float
    churn: bool = False


class Phase(Enum):
    """Part of a scenario; the figures leave out rise and fall of demand."""

    CALM = "calm"
    RISE = "rise"
    CREST = "crest"
    FALL = "fall"


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a caller.

    Attributes:
        number: Position in the workload.
        time: Seconds after the start at which the caller sends it.
        route: Its route.
        work: Seconds that it runs at speed 1.
        flow: Number that picks one of the open flows.
        opens: Whether it comes on a new flow.
        leaves: Seconds after which the caller leaves, None if the caller waits.
        phase: When it arrives.
    """

    number: int
    time: float
    route: RouteLoad
    work: float
    flow: int
    opens: bool
    leaves: float | None
    phase: Phase


@dataclass(frozen=True, slots=True)
class Workload:
    """What one run consists of.

    Attributes:
        service: The service.
        scenario: The scenario.
        seed: Seed of everything random.
        speeds: Speed of each host.
        arrivals: Requests in order of time.
    """

    service: ServiceLoad
    scenario: Scenario
    seed: int
    speeds: tuple[float, ...]
    arrivals: tuple[Arrival, ...]

    @property
    def crest(self) -> tuple[float, float]:
        """Begin and end of the full crest in seconds after the start."""
        begin = self.service.calm
        return begin + RAMP_SECONDS, begin + RAMP_SECONDS + self.service.calm / 2

    @property
    def end(self) -> float:
        """Time of the last possible arrival in seconds."""
        return self.crest[1] + self.service.calm / 2

    @property
    def capacity(self) -> float:
        """Work that all hosts do in a second, after all changes of hosts."""
        return SLOTS * sum(self.final_speeds)

    @property
    def slows(self) -> bool:
        """Whether a host turns slow; with 4 hosts or fewer too little would be left."""
        return self.scenario.churn and len(self.speeds) > 4

    @property
    def final_speeds(self) -> tuple[float, ...]:
        """Speeds of the hosts that are left after all changes."""
        if not self.scenario.churn:
            return self.speeds
        cold, _, slow, *steady = self.speeds
        return (cold, slow / SLOW_FACTOR if self.slows else slow, *steady)


def _typical(service: str) -> tuple[RouteLoad, ...]:
    match service:
        case "portal":
            return (
                RouteLoad("tickets", 0.3, 0.06, 8.0),
                RouteLoad("pages", 0.7, 0.03, 3.0, stragglers=0.004),
            )
        case "records":
            return (
                RouteLoad("index", 0.8, 0.05, 5.0, stragglers=0.002),
                RouteLoad("invoices", 0.15, 1.0, 60.0, long=True),
                RouteLoad("statements", 0.05, 3.0, 120.0, long=True),
            )
        case "booking":
            return (
                RouteLoad("reservations", 0.2, 0.06, 5.0),
                RouteLoad("availability", 0.8, 0.03, 1.5, stragglers=0.004),
            )
        case _:
            return (
                RouteLoad("index", 0.8, 0.04, 3.0, stragglers=0.002),
                RouteLoad("gear-lists", 0.12, 0.8, 30.0, long=True),
                RouteLoad("floor-plans", 0.08, 2.5, 60.0, long=True),
            )


# Kloofrand: portal and records. Kitakyushu: booking and studio.
SERVICES = (
    ServiceLoad("portal", 7, 0.003, 16.0, _typical("portal")),
    ServiceLoad("records", 4, 0.003, 90.0, _typical("records")),
    ServiceLoad("booking", 7, 0.001, 16.0, _typical("booking")),
    ServiceLoad("studio", 3, 0.001, 90.0, _typical("studio")),
)
SCENARIOS = (
    Scenario("swing", 0.25, 0.9),
    Scenario("churn", 0.25, 0.8, churn=True),
    Scenario("overload", 0.25, 2.0),
)


def build(service: ServiceLoad, scenario: Scenario, seed: int) -> Workload:
    """Return a workload that depends only on its arguments."""
    speeds = SPEEDS[: service.hosts]
    workload = Workload(service, scenario, seed, speeds, ())
    rng = random.Random(f"{service.name} {scenario.name} {seed}")
    mean = sum(r.share * r.seconds * _mean_factor(r) for r in service.routes)
    # Drawn at the highest rate and thinned to the rate of the moment.
    highest = max(scenario.calm, scenario.crest) * workload.capacity / mean
    arrivals: list[Arrival] = []
    time = 0.0
    while (time := time + rng.expovariate(highest)) < workload.end:
        level = _level(workload, time)
        if rng.random() < level * workload.capacity / mean / highest:
            arrivals.append(_arrival(rng, workload, len(arrivals), time))
    return Workload(service, scenario, seed, speeds, tuple(arrivals))


def _level(workload: Workload, time: float) -> float:
    begin, end = workload.crest
    scenario = workload.scenario
    if begin <= time < end:
        return scenario.crest
    if begin - RAMP_SECONDS < time < begin:
        share = 1 - (begin - time) / RAMP_SECONDS
        return scenario.calm + share * (scenario.crest - scenario.calm)
    return scenario.calm


def _mean_factor(route: RouteLoad) -> float:
    spread = 1.046  # Mean of a log-normal distribution with sigma 0.3 and median 1.
    return spread * (1 + route.stragglers * (STRAGGLER_RATIO - 1))


def _arrival(
    rng: random.Random, workload: Workload, number: int, time: float
) -> Arrival:
    routes = workload.service.routes
    route = rng.choices(routes, [r.share for r in routes])[0]
    work = route.seconds * rng.lognormvariate(0.0, 0.3)
    if rng.random() < route.stragglers:
        work *= STRAGGLER_RATIO
    leaves = None
    if rng.random() < LEAVING_SHARE:
        leaves = rng.uniform(0.0, route.deadline / 2)
    flow, opens = rng.getrandbits(32), rng.random() < NEW_FLOW_SHARE
    phase = _phase(workload, time)
    return Arrival(number, time, route, work, flow, opens, leaves, phase)


def _phase(workload: Workload, time: float) -> Phase:
    begin, end = workload.crest
    if time < begin - RAMP_SECONDS:
        return Phase.CALM
    if time < begin:
        return Phase.RISE
    return Phase.CREST if time < end else Phase.FALL

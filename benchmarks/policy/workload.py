"""Workloads: the requests and their arrival times, the same for every system."""

import random
from dataclasses import dataclass
from enum import Enum

SLOTS_PER_HOST = 2
QUEUE_PER_HOST = 64
FLOWS_PER_HOST = 1_500
# Speeds of the hosts; the fastest is four times as fast as the slowest.
SPEEDS = (0.5, 2.0, 1.0, 1.3, 0.7, 1.6, 1.0)
NEW_FLOW_SHARE = 0.1
# Share of requests whose caller leaves within the first half of the deadline.
LEAVING_CALLER_SHARE = 0.01
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
        median_seconds: Median duration at speed 1.
        deadline: Seconds until the caller stops waiting.
        long: Whether the configuration declares the route as a download.
        stragglers: Share of requests that run 50 times as long.
    """

    name: str
    share: float
    median_seconds: float
    deadline: float
    long: bool = False
    stragglers: float = 0.0


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """One service of one user.

    Attributes:
        name: Name of the service.
        hosts: Number of hosts.
        caller_delay: One-way delay between callers and the service, in seconds.
        calm_seconds: Duration of the calm load; the crest lasts half as long.
        routes: Its routes.
    """

    name: str
    hosts: int
    caller_delay: float
    calm_seconds: float
    routes: tuple[RouteLoad, ...]


@dataclass(frozen=True, slots=True)
class Scenario:
    """How demand and hosts change during a run.

    Attributes:
        name: Name of the scenario.
        calm: Calm load as a share of capacity.
        crest: Load at the crest, the phase of highest load, as a share of capacity.
        churn: Whether one host starts cold and one drains during the crest. With more
            than 4 hosts, one also turns slow without errors and one always reports a
            load of zero.
    """

    name: str
    calm: float
    crest: float
    churn: bool = False


class Phase(Enum):
    """Part of a scenario; the figures leave out the rise and fall of demand."""

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
        flow: Random number that selects one of the open flows.
        opens_flow: Whether it arrives on a new flow.
        leaves_after: Seconds after which the caller leaves, None if the caller waits.
        phase: Phase of the scenario in which it arrives.
    """

    number: int
    time: float
    route: RouteLoad
    work: float
    flow: int
    opens_flow: bool
    leaves_after: float | None
    phase: Phase


@dataclass(frozen=True, slots=True)
class Workload:
    """Input of one run.

    Attributes:
        service: The service.
        scenario: The scenario.
        seed: Seed of the random number generators.
        speeds: Initial speed of each host.
        arrivals: Requests in order of time.
    """

    service: ServiceLoad
    scenario: Scenario
    seed: int
    speeds: tuple[float, ...]
    arrivals: tuple[Arrival, ...]

    @property
    def crest_interval(self) -> tuple[float, float]:
        """Start and end of the crest, without ramps, in seconds after the start."""
        begin = self.service.calm_seconds
        return (
            begin + RAMP_SECONDS,
            begin + RAMP_SECONDS + self.service.calm_seconds / 2,
        )

    @property
    def end(self) -> float:
        """Time of the last possible arrival, in seconds after the start."""
        return self.crest_interval[1] + self.service.calm_seconds / 2

    @property
    def capacity(self) -> float:
        """Work that all hosts can do per second, after all changes of hosts."""
        return SLOTS_PER_HOST * sum(self.final_speeds)

    @property
    def has_slowing_host(self) -> bool:
        """Whether a host turns slow.

        With 4 hosts or fewer, too little capacity would be left.
        """
        return self.scenario.churn and len(self.speeds) > 4

    @property
    def final_speeds(self) -> tuple[float, ...]:
        """Speeds of the hosts that remain after all changes."""
        if not self.scenario.churn:
            return self.speeds
        cold, _, slow, *steady = self.speeds
        return (cold, slow / SLOW_FACTOR if self.has_slowing_host else slow, *steady)


def _routes(service: str) -> tuple[RouteLoad, ...]:
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


# The services "portal" and "records" model the operator Kloofrand. The services
# "booking" and "studio" model the operator Kitakyushu.
SERVICES = (
    ServiceLoad("portal", 7, 0.003, 16.0, _routes("portal")),
    ServiceLoad("records", 4, 0.003, 90.0, _routes("records")),
    ServiceLoad("booking", 7, 0.001, 16.0, _routes("booking")),
    ServiceLoad("studio", 3, 0.001, 90.0, _routes("studio")),
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
    mean_seconds = sum(
        r.share * r.median_seconds * _mean_factor(r) for r in service.routes
    )
    # Arrivals are drawn at the peak rate, then dropped at random (thinning) to get the
    # rate at each time.
    peak_rate = max(scenario.calm, scenario.crest) * workload.capacity / mean_seconds
    arrivals: list[Arrival] = []
    time = 0.0
    while (time := time + rng.expovariate(peak_rate)) < workload.end:
        load = _load_at(workload, time)
        if rng.random() < load * workload.capacity / mean_seconds / peak_rate:
            arrivals.append(_arrival(rng, workload, len(arrivals), time))
    return Workload(service, scenario, seed, speeds, tuple(arrivals))


def _load_at(workload: Workload, time: float) -> float:
    begin, end = workload.crest_interval
    scenario = workload.scenario
    if begin <= time < end:
        return scenario.crest
    if begin - RAMP_SECONDS < time < begin:
        share = 1 - (begin - time) / RAMP_SECONDS
        return scenario.calm + share * (scenario.crest - scenario.calm)
    return scenario.calm


def _mean_factor(route: RouteLoad) -> float:
    # Mean of a log-normal distribution with sigma 0.3 and median 1.
    lognormal_mean = 1.046
    return lognormal_mean * (1 + route.stragglers * (STRAGGLER_RATIO - 1))


def _arrival(
    rng: random.Random, workload: Workload, number: int, time: float
) -> Arrival:
    routes = workload.service.routes
    route = rng.choices(routes, [r.share for r in routes])[0]
    work = route.median_seconds * rng.lognormvariate(0.0, 0.3)
    if rng.random() < route.stragglers:
        work *= STRAGGLER_RATIO
    leaves_after = None
    if rng.random() < LEAVING_CALLER_SHARE:
        leaves_after = rng.uniform(0.0, route.deadline / 2)
    flow, opens_flow = rng.getrandbits(32), rng.random() < NEW_FLOW_SHARE
    phase = _phase(workload, time)
    return Arrival(number, time, route, work, flow, opens_flow, leaves_after, phase)


def _phase(workload: Workload, time: float) -> Phase:
    begin, end = workload.crest_interval
    if time < begin - RAMP_SECONDS:
        return Phase.CALM
    if time < begin:
        return Phase.RISE
    return Phase.CREST if time < end else Phase.FALL

"""Runs a workload against the simulated hosts of one service."""

import asyncio
import random
from dataclasses import dataclass
from enum import Enum
from functools import partial

from balsamspool.kernel.backoff import RetryBudget
from balsamspool.kernel.clock import now
from balsamspool.placement.rendezvous import Candidate, choose
from balsamspool.plugins.admission.controller import no_peers
from balsamspool.plugins.admission.decision import Admit, Refuse, Relay, Shed
from balsamspool.plugins.backend.outlier import HealthState
from balsamspool.plugins.relay.load import REPORT_SECONDS
from balsamspool.plugins.routing.flow import FlowKey
from balsamspool.plugins.routing.handover import Accept, HandOver, Peer
from balsamspool.plugins.routing.handover import Refuse as RefuseFlow
from balsamspool.plugins.routing.weights import HostAges, HostReport, weight_of
from balsamspool.plugins.serving.handler import MAX_PEERS
from balsamspool.requests.relay import PeerLoad
from benchmarks.policy.host import Host
from benchmarks.policy.parts import (
    LeastConnections,
    RandomHost,
    Rendezvous,
    System,
)
from benchmarks.policy.workload import (
    FLOWS_PER_HOST,
    SLOW_FACTOR,
    Arrival,
    Workload,
)
from tests._clock import PausedClockLoop

# One-way delay between failure domains.
DOMAIN_DELAY_SECONDS = 0.001
TABLE_SECONDS = 0.5
POLL_SECONDS = 1.0


class OutcomeKind(Enum):
    """How a request ended."""

    ANSWERED = "answered"
    SHED = "shed"
    REFUSED = "refused"
    LATE = "late"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of one request.

    Attributes:
        arrival: The request.
        kind: How the request ended.
        seconds: Time from sending to the end, as the caller measures it.
        relays: Number of times the request was relayed.
    """

    arrival: Arrival
    kind: OutcomeKind
    seconds: float
    relays: int = 0


@dataclass(frozen=True, slots=True)
class RunRecord:
    """Record of one run of a system.

    Attributes:
        outcomes: Outcome of each request, in order of arrival.
        hosts: The hosts with the uses of their slots.
        begin: Event loop time of the start, in seconds.
        refused_flows: Number of new flows that no host accepted.
    """

    outcomes: tuple[Outcome, ...]
    hosts: tuple[Host, ...]
    begin: float
    refused_flows: int


class Fleet:
    """The hosts of one service and the flows open on them.

    Args:
        workload: Workload to run.
        system: Parts of the policy in use.
    """

    __slots__ = (
        "_ages",
        "_begin",
        "_budgets",
        "_flows",
        "_hosts",
        "_listed",
        "_outcomes",
        "_peers",
        "_refused_flows",
        "_reports",
        "_rng",
        "_flows_opened",
        "_system",
        "_table",
        "_workload",
    )

    def __init__(self, workload: Workload, system: System) -> None:
        self._workload, self._system = workload, system
        self._rng = random.Random(workload.seed)
        self._hosts = [
            Host(number, speed, system, self._rng)
            for number, speed in enumerate(workload.speeds)
        ]
        self._budgets = {host.name: RetryBudget() for host in self._hosts}
        churn = workload.scenario.churn
        # With churn, the first host joins at the beginning of the load peak
        # (`Phase.CREST`).
        self._listed = self._hosts[1:] if churn else list(self._hosts)
        self._ages = HostAges()
        self._table: list[Candidate] = []
        self._reports: dict[str, PeerLoad] = {}
        self._peers: list[Peer] = []
        self._flows: list[Host] = []
        self._outcomes: list[Outcome | None] = [None] * len(workload.arrivals)
        self._refused_flows = self._flows_opened = 0
        self._begin = 0.0

    async def run(self) -> RunRecord:
        """Run the workload to its end."""
        self._begin = now()
        self._rebuild_table()
        self._exchange_reports()
        for _ in range(FLOWS_PER_HOST * len(self._listed)):
            self._flows.append(self._open_flow())
        async with asyncio.TaskGroup() as group:
            background = [
                group.create_task(self._repeat(TABLE_SECONDS, self._rebuild_table)),
                group.create_task(self._repeat(REPORT_SECONDS, self._exchange_reports)),
                group.create_task(self._repeat(POLL_SECONDS, self._poll_health)),
                group.create_task(self._churn()),
            ]
            requests = []
            for arrival in self._workload.arrivals:
                await asyncio.sleep(self._begin + arrival.time - now())
                requests.append(group.create_task(self._call(arrival)))
            await asyncio.gather(*requests)
            for task in background:
                task.cancel()
        return RunRecord(
            tuple(outcome for outcome in self._outcomes if outcome is not None),
            tuple(self._hosts),
            self._begin,
            self._refused_flows,
        )

    async def _repeat(self, seconds: float, action: object) -> None:
        while True:
            await asyncio.sleep(seconds)
            action()

    async def _churn(self) -> None:
        if not self._workload.scenario.churn:
            return
        cold, draining, slow, misreporting = self._hosts[0:3] + self._hosts[-1:]
        misreporting.reports_zero_load = self._workload.has_slowing_host
        begin, end = self._workload.crest_interval
        await asyncio.sleep(begin)
        cold.start_cold()
        self._listed.append(cold)
        self._exchange_reports()
        await asyncio.sleep((end - begin) / 4)
        draining.leaving = True
        await asyncio.sleep((end - begin) / 4)
        if self._workload.has_slowing_host:
            slow.speed /= SLOW_FACTOR

    def _rebuild_table(self) -> None:
        hosts = [host for host in self._listed if host.accepting] or self._listed
        self._ages.update([host.name for host in hosts], now())
        self._table = [self._candidate(host) for host in hosts]

    def _candidate(self, host: Host) -> Candidate:
        unweighted = host.candidate
        match self._system.choice:
            case Rendezvous(weighted=True):
                age = self._ages.age(host.name, now())
                weight = weight_of(HostReport(load=host.load, age=age))
                return Candidate(
                    unweighted.name, unweighted.address, unweighted.data_port, weight
                )
            case _:
                return unweighted

    def _exchange_reports(self) -> None:
        for host in self._listed:
            self._reports[host.name] = host.report()
            host.reported_connections = (
                0 if host.reports_zero_load else host.connections
            )
        self._peers = [
            Peer(host.candidate, self._reports[host.name].load)
            for host in self._listed
            if self._reports[host.name].accepting
        ]

    def _poll_health(self) -> None:
        for host in self._listed:
            if host.detector.record_report(healthy=True) and self._system.slow_start:
                host.controller.begin_slow_start()

    def _open_flow(self) -> Host:
        self._flows_opened += 1
        number = self._flows_opened
        key = FlowKey(
            1, f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}", 9
        )
        host = self._hand_over_flow(key.encode(), self._choose_host(key.encode()))
        host.connections += 1
        return host

    def _choose_host(self, key: bytes) -> Host:
        accepting_hosts = [host for host in self._listed if not host.leaving]
        match self._system.choice:
            case Rendezvous():
                chosen = choose(key, self._table)
                return next(h for h in self._hosts if h.name == chosen.name)
            case RandomHost():
                return self._rng.choice(accepting_hosts)
            case LeastConnections():
                return min(accepting_hosts, key=lambda host: host.reported_connections)

    def _hand_over_flow(self, key: bytes, host: Host) -> Host:
        if not self._system.handover:
            return host
        for hops in range(3):
            match host.handover.decide(key, host.own_host, self._peers, hops, now()):
                case Accept():
                    return host
                case HandOver(peer):
                    host = next(h for h in self._hosts if h.name == peer.name)
                case RefuseFlow():
                    self._refused_flows += 1
                    return host
        return host

    async def _call(self, arrival: Arrival) -> None:
        started = now()
        try:
            async with asyncio.timeout(arrival.leaves_after):
                kind, relays = await self._round_trip(arrival, started)
        except TimeoutError:
            kind, relays = OutcomeKind.LEFT, 0
        self._outcomes[arrival.number] = Outcome(arrival, kind, now() - started, relays)

    async def _round_trip(
        self, arrival: Arrival, started: float
    ) -> tuple[OutcomeKind, int]:
        deadline = started + arrival.route.deadline
        flow_index = arrival.flow % len(self._flows)
        if arrival.opens_flow:
            self._flows[flow_index].connections -= 1
            self._flows[flow_index] = self._open_flow()
        host = self._flows[flow_index]
        delay = self._workload.service.caller_delay + DOMAIN_DELAY_SECONDS
        await asyncio.sleep(delay)
        kind, relays = await self._serve(host, arrival, deadline)
        await asyncio.sleep(delay)
        if kind is OutcomeKind.ANSWERED and now() > deadline:
            kind = OutcomeKind.LATE
        return kind, relays

    async def _serve(
        self, host: Host, arrival: Arrival, deadline: float
    ) -> tuple[OutcomeKind, int]:
        """Serve a request in the same steps as the serving plug-in."""
        self._budgets[host.name].record_attempt()
        tried: set[str] = set()
        relays = 0
        while True:
            may_relay = self._may_relay(host, tried)
            peers = (
                partial(self._untried_reports, host, tried) if may_relay else no_peers
            )
            accepting = (
                host.accepting if self._system.outlier_detection else not host.leaving
            )
            if accepting:
                job = host.make_job(arrival, deadline, self._system)
                decision = await host.controller.admit(job, peers)
            else:
                decision = host.controller.relay_or_refuse(peers())
            match decision:
                case Admit(slot):
                    with slot:
                        limit = deadline if self._system.deadlines else None
                        complete = await self._dispatch(host, arrival, limit)
                    return (
                        OutcomeKind.ANSWERED if complete else OutcomeKind.LATE,
                        relays,
                    )
                case Relay(peer):
                    relays += 1
                    await asyncio.sleep(DOMAIN_DELAY_SECONDS)
                    peer_host = next(h for h in self._hosts if h.name == peer.instance)
                    kind = await self._serve_relayed(peer_host, arrival, deadline)
                    await asyncio.sleep(DOMAIN_DELAY_SECONDS)
                    if kind not in (OutcomeKind.SHED, OutcomeKind.REFUSED):
                        return kind, relays
                    tried.add(peer.instance)
                case Shed():
                    return OutcomeKind.SHED, relays
                case Refuse():
                    return OutcomeKind.REFUSED, relays

    async def _serve_relayed(
        self, host: Host, arrival: Arrival, deadline: float
    ) -> OutcomeKind:
        if not host.accepting:
            return OutcomeKind.REFUSED
        job = host.make_job(arrival, deadline, self._system)
        job = type(job)(job.route, deadline, job.expected, job.long, relayed=True)
        match await host.controller.admit(job):
            case Admit(slot):
                with slot:
                    complete = await self._dispatch(host, arrival, deadline)
                return OutcomeKind.ANSWERED if complete else OutcomeKind.LATE
            case _:
                return OutcomeKind.SHED

    async def _dispatch(
        self, host: Host, arrival: Arrival, deadline: float | None
    ) -> bool:
        if self._system.deadlines:
            return await host.run(arrival, deadline)
        # Without deadlines, the backend server runs a request even if its caller left.
        return await asyncio.shield(host.run(arrival, None))

    def _may_relay(self, host: Host, tried: set[str]) -> bool:
        # A leaving or suspended host relays requests even in a system without relay.
        suspended = host.detector.state is HealthState.SUSPENDED
        if not (self._system.relay or host.leaving or suspended):
            return False
        if not tried:
            return True
        return len(tried) < MAX_PEERS and self._budgets[host.name].try_spend()

    def _untried_reports(self, host: Host, tried: set[str]) -> list[PeerLoad]:
        return [
            report
            for name, report in self._reports.items()
            if name != host.name and name not in tried
        ]


def run(workload: Workload, system: System) -> RunRecord:
    """Run a system through a workload on a paused clock."""
    loop = PausedClockLoop()
    try:
        return loop.run_until_complete(Fleet(workload, system).run())
    finally:
        loop.close()

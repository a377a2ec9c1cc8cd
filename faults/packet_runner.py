"""Runs one seed with opaque flows: injects faults into a fleet of real processes."""

import asyncio
import random
import tempfile
from asyncio import Task
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from signal import SIGCONT, SIGHUP, SIGKILL, SIGSTOP
from time import monotonic

import msgspec

from balsamspool.kernel.events import TASK_RESTARTED
from faults.packet_history import (
    BrokenFlow,
    DomainOut,
    LateOpening,
    Opening,
    PacketHistory,
    UnplannedFault,
)
from faults.packet_schedule import (
    CordonDomain,
    DisturbStore,
    DrainServer,
    DropHistory,
    Fault,
    FreezeProcess,
    KillProcess,
    Machines,
    PublishRoutes,
    RefuseCalls,
    ReloadProcess,
    RestartServer,
    StopProcess,
    is_planned,
    make_cordons,
    make_odd_entries,
    make_schedule,
)
from faults.step import Step
from standins.packet_caller import CallerFlow, CallerSocket, FlowBroken
from standins.packet_fleet import Machine, PacketFleet, run_packet_fleet
from standins.packet_server import PacketServer
from standins.tcp_proxy import PassThrough

SERVICES = {1: "portal", 2: "records"}
# The first host of each service is in the first failure domain, which stays in service,
# so that every flow can open.
FAILURE_DOMAINS = ("hall-a", "hall-b")
CORDONED_DOMAIN = FAILURE_DOMAINS[1]
LOAD_SECONDS = 10.0
# Time after which a caller stops waiting for an answer.
DEADLINE_SECONDS = 3.0
# Longest time after the last fault until all routes answer.
RECOVERY_TIMEOUT_SECONDS = 12.0
# Time after which a backend server that is listed as draining must get no new flow.
DRAIN_SECONDS = 3.0
# Mean time between two requests of a flow.
MEAN_PAUSE_SECONDS = 0.08
# Callers of each service that open a flow for each request.
OPENING_CALLERS = 2
# Number of names under which odd entries are written; later ones replace earlier ones.
ODD_NAMES = 4


@dataclass(frozen=True, slots=True)
class FleetSize:
    """Numbers of processes and callers of a run.

    Attributes:
        entries: Number of entries.
        hosts: Number of backend servers of each service.
        callers: Number of callers of each service.
    """

    entries: int = 2
    hosts: int = 3
    callers: int = 8


async def run_packet_seed(
    seed: int, size: FleetSize, log_directory: str = ""
) -> PacketHistory:
    """Run the schedule of a seed and return what was observed.

    Args:
        seed: The seed.
        size: Size of the fleet.
        log_directory: Existing directory in which to keep the logs, empty to delete the
            logs.
    """
    with tempfile.TemporaryDirectory() as temporary:
        directory = Path(log_directory or temporary)
        async with run_packet_fleet(
            directory,
            SERVICES,
            size.hosts,
            size.entries,
            proxies=True,
            failure_domains=FAILURE_DOMAINS,
        ) as fleet:
            return await _Runner(fleet, seed, size).run()


class _Runner:
    """Generates the load, injects the faults and records the history of one run."""

    __slots__ = (
        "_callers",
        "_fleet",
        "_stopped",
        "_history",
        "_machines",
        "_request_count",
        "_rng",
        "_seed",
        "_size",
    )

    def __init__(self, fleet: PacketFleet, seed: int, size: FleetSize) -> None:
        self._fleet = fleet
        self._seed = seed
        self._size = size
        self._rng = random.Random(seed)
        self._history = PacketHistory(is_planned(seed))
        self._machines = [*fleet.entries, *fleet.agents]
        self._callers: list[CallerSocket] = []
        self._request_count = 0
        # Numbers of machines whose process is currently stopped, frozen or killed.
        self._stopped: set[int] = set()

    async def run(self) -> PacketHistory:
        """Run the load and the faults, and return what was observed."""
        until = monotonic() + LOAD_SECONDS
        load = []
        for route, service in SERVICES.items():
            for number in range(self._size.callers + OPENING_CALLERS):
                caller = self._fleet.caller(len(SERVICES) * number + route)
                await caller.start()
                self._callers.append(caller)
                kept = number < self._size.callers
                work = self._run_caller(caller, route, service, until, kept)
                load.append(asyncio.create_task(work))
        steps = make_schedule(self._seed, self._machine_numbers())
        odd = asyncio.create_task(self._write_odd_entries())
        cordons = make_cordons(self._seed)
        await self._inject(sorted((*steps, *cordons), key=lambda step: step.at))
        await asyncio.gather(odd, *load)
        await self._recover()
        self._record_results()
        return self._history

    def _machine_numbers(self) -> Machines:
        entries = len(self._fleet.entries)
        hosts = self._size.hosts
        agents = tuple(
            tuple(range(entries + hosts * n, entries + hosts * (n + 1)))
            for n in range(len(SERVICES))
        )
        return Machines(tuple(range(entries)), agents)

    async def _run_caller(
        self, caller: CallerSocket, route: int, service: str, until: float, kept: bool
    ) -> None:
        """Send requests over a flow, or over a new flow each.

        Args:
            caller: Socket of the caller.
            route: Number of the route.
            service: Name of its service.
            until: Time at which to end in seconds.
            kept: Whether a flow is kept until it breaks.
        """
        while monotonic() < until:
            flow = caller.flow(self._fleet.service_address(route))
            answered = 0
            try:
                await flow.open()
                while monotonic() < until:
                    await self._send_request(flow, service)
                    answered += 1
                    if not kept:
                        break
                    await self._pause()
                flow.close()
                await self._pause()
            except FlowBroken as error:
                self._record_broken_flow(flow, str(error), answered > 0)

    async def _pause(self) -> None:
        await asyncio.sleep(self._rng.expovariate(1 / MEAN_PAUSE_SECONDS))

    async def _send_request(self, flow: CallerFlow, service: str) -> None:
        self._request_count += 1
        data = f"{service}/{self._request_count}".encode()
        self._history.requests += 1
        await flow.request(data, DEADLINE_SECONDS)
        self._history.answered += 1

    def _record_broken_flow(
        self, flow: CallerFlow, reason: str, had_answer: bool
    ) -> None:
        holder = None
        for number, machine in enumerate(self._machines):
            server = machine.server
            if server is not None and server.holds(flow.source, flow.service):
                holder = number
        broken = BrokenFlow(flow.source, monotonic(), reason, had_answer, holder)
        self._history.broken_flows.append(broken)

    async def _inject(self, steps: Sequence[Step[Fault]]) -> None:
        started = monotonic()
        running: list[Task[None]] = []
        for step in steps:
            await asyncio.sleep(max(0.0, started + step.at - monotonic()))
            self._history.faults.append(f"{step.at:.2f} s: {step.fault}")
            running.append(asyncio.create_task(self._apply(step.fault)))
        await asyncio.gather(*running)

    async def _write_odd_entries(self) -> None:
        """Leave entries that name no host, which must disturb no flow."""
        started = monotonic()
        for number, step in enumerate(make_odd_entries(self._seed)):
            await asyncio.sleep(max(0.0, started + step.at - monotonic()))
            key = f"servers/odd-{number % ODD_NAMES}"
            await self._fleet.store.put(key, msgspec.Raw(step.fault))

    async def _apply(self, fault: Fault) -> None:
        match fault:
            case KillProcess(number, seconds):
                await self._kill(number, seconds)
            case FreezeProcess(number, seconds):
                await self._freeze(number, seconds)
            case StopProcess(number):
                await self._stop(number)
            case ReloadProcess(number):
                self._signal(self._machines[number], SIGHUP)
            case RestartServer(number):
                self._record_unplanned_fault({number}, 0.0)
                self._server(number).forget_flows()
            case DrainServer(number, seconds):
                await self._drain(number, seconds)
            case DisturbStore(numbers, condition, seconds):
                self._record_unplanned_fault(set(), seconds)
                proxies = [self._machines[number].proxy for number in numbers]
                for proxy in proxies:
                    proxy.set_condition(condition)
                await asyncio.sleep(seconds)
                for proxy in proxies:
                    proxy.set_condition(PassThrough())
            case RefuseCalls(seconds):
                self._record_unplanned_fault(set(), seconds)
                self._fleet.store.refusing = True
                await asyncio.sleep(seconds)
                self._fleet.store.refusing = False
            case DropHistory():
                await self._fleet.store.drop_history()
            case PublishRoutes(versions):
                for _ in range(versions):
                    await self._fleet.publish_routes(SERVICES)
            case CordonDomain(seconds):
                await self._cordon(seconds)

    async def _kill(self, number: int, seconds: float) -> None:
        if number in self._stopped:
            return
        machine = self._machines[number]
        self._stopped.add(number)
        self._record_unplanned_fault({number}, seconds + 1.0)
        await self._fleet.stop(machine, SIGKILL)
        await asyncio.sleep(seconds)
        await self._fleet.start(machine)
        await self._fleet.wait_ready(machine)
        self._stopped.discard(number)

    async def _freeze(self, number: int, seconds: float) -> None:
        if number in self._stopped:
            return
        machine = self._machines[number]
        self._stopped.add(number)
        self._record_unplanned_fault({number}, seconds)
        self._signal(machine, SIGSTOP)
        await asyncio.sleep(seconds)
        self._signal(machine, SIGCONT)
        self._stopped.discard(number)

    async def _stop(self, number: int) -> None:
        if number in self._stopped:
            return
        machine = self._machines[number]
        self._stopped.add(number)
        await self._fleet.stop(machine)
        await self._fleet.start(machine)
        await self._fleet.wait_ready(machine)
        self._stopped.discard(number)

    async def _drain(self, number: int, seconds: float) -> None:
        machine = self._machines[number]
        reported_at = monotonic()
        await self._fleet.list_server(machine, "draining")
        faults_before = len(self._history.unplanned_faults)
        await asyncio.sleep(seconds)
        opened_at = self._server(number).last_opening
        # DRAIN_SECONDS is not checked during or shortly after an unplanned fault,
        # because some machines may then exceed this limit.
        no_recent_fault = not any(
            d.end + DRAIN_SECONDS >= reported_at for d in self._history.unplanned_faults
        )
        no_new_fault = faults_before == len(self._history.unplanned_faults)
        if no_recent_fault and no_new_fault and opened_at > reported_at + DRAIN_SECONDS:
            late = LateOpening(number, opened_at - reported_at)
            self._history.late_openings.append(late)
        await self._fleet.list_server(machine, "ready")

    async def _cordon(self, seconds: float) -> None:
        await self._fleet.set_cordon(CORDONED_DOMAIN, listed=True)
        start = monotonic()
        await asyncio.sleep(seconds)
        out = DomainOut(CORDONED_DOMAIN, start, monotonic())
        self._history.domains_out.append(out)
        await self._fleet.set_cordon(CORDONED_DOMAIN, listed=False)

    async def _recover(self) -> None:
        """Send requests over each route until it answers or the time limit passes."""
        end = monotonic() + RECOVERY_TIMEOUT_SECONDS
        for route, service in SERVICES.items():
            caller = self._callers[0]
            while True:
                flow = caller.flow(self._fleet.service_address(route))
                try:
                    await flow.open()
                    await self._send_request(flow, service)
                    flow.close()
                    break
                except FlowBroken:
                    if monotonic() > end:
                        self._history.unrecovered_services.append(service)
                        break
                    await asyncio.sleep(0.1)

    def _record_results(self) -> None:
        self._history.runs = [(s, data) for s, _, data in self._fleet.runs]
        self._history.forged = sum(c.forged for c in self._callers)
        for number, machine in enumerate(self._machines):
            if machine.server is not None:
                self._history.forged += machine.server.forged
                domain = machine.failure_domain
                self._history.openings += [
                    Opening(number, domain, time) for time in machine.server.openings
                ]
            process = machine.process
            if process is not None and process.returncode is not None:
                self._history.exits.append(f"{number} {machine.name}")
            self._history.restarted_tasks += self._restarted_tasks(machine)
        for caller in self._callers:
            caller.close()

    def _restarted_tasks(self, machine: Machine) -> list[str]:
        log = self._fleet.directory / f"{machine.name}.log"
        lines = log.read_bytes().splitlines() if log.exists() else []
        found = [
            line for line in lines if b'"event":%d,' % TASK_RESTARTED.number in line
        ]
        return [f"{machine.name} {msgspec.json.decode(line)['task']}" for line in found]

    def _record_unplanned_fault(self, machines: set[int], seconds: float) -> None:
        start = monotonic()
        unplanned = UnplannedFault(frozenset(machines), start, start + seconds)
        self._history.unplanned_faults.append(unplanned)

    def _server(self, number: int) -> PacketServer:
        server = self._machines[number].server
        assert server is not None
        return server

    def _signal(self, machine: Machine, signal_number: int) -> None:
        process = machine.process
        if process is not None and process.returncode is None:
            process.send_signal(signal_number)

"""Demonstrates the front end for opaque flows during restarts and a drain."""

import asyncio
from dataclasses import dataclass, field
from pathlib import Path

from balsamspool.commands.output import print_line, print_table
from standins.packet_caller import CallerFlow, CallerSocket, FlowBroken
from standins.packet_fleet import PacketFleet, run_packet_fleet

SERVICES = {1: "member-portal", 2: "records"}
HOSTS = 3
ENTRIES = 2
FEEDS = 6
PAUSE_SECONDS = 0.05
DEADLINE_SECONDS = 2.0


@dataclass(slots=True)
class FlowResults:
    """Results of the callers of one service.

    Attributes:
        flows: Flows that were opened.
        answered: Requests that were answered.
        broken: Flows that were not accepted, were reset or gave no answer in time.
        wrong: Descriptions of answers that do not belong to their request.
    """

    flows: int = 0
    answered: int = 0
    broken: int = 0
    wrong: list[str] = field(default_factory=list)


class OpaqueCallers:
    """Sends requests on long-lived flows and on flows with a single request.

    Args:
        fleet: The fleet.
        socket: Socket of the callers.
        number: Number of the service's address.
    """

    def __init__(self, fleet: PacketFleet, socket: CallerSocket, number: int) -> None:
        self._fleet = fleet
        self._socket = socket
        self._number = number
        self._requests = 0
        self._stopping = False
        self.results = FlowResults()

    def stop(self) -> None:
        """Stop after the requests in progress."""
        self._stopping = True

    async def run(self) -> None:
        """Run feeds and single requests until ``stop`` is called."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._single_requests())
            for _ in range(FEEDS):
                group.create_task(self._feed())

    async def _feed(self) -> None:
        while not self._stopping:
            await self._flow(requests=None)

    async def _single_requests(self) -> None:
        while not self._stopping:
            await self._flow(requests=1)
            await asyncio.sleep(PAUSE_SECONDS)

    async def _flow(self, requests: int | None) -> None:
        flow = self._socket.flow(self._fleet.service_address(self._number))
        try:
            await flow.open()
            self.results.flows += 1
            request_count = 0
            while request_count != requests and not self._stopping:
                await self._send_request(flow)
                request_count += 1
                await asyncio.sleep(PAUSE_SECONDS)
        except FlowBroken:
            self.results.broken += 1
        else:
            flow.close()

    async def _send_request(self, flow: CallerFlow) -> None:
        self._requests += 1
        data = f"{self._number}-{self._requests}".encode()
        answer = await flow.request(data, DEADLINE_SECONDS)
        expected = SERVICES[self._number].encode() + b":" + data
        if answer != expected:
            self.results.wrong.append(f"{data!r} was answered by {answer!r}")
        self.results.answered += 1


async def run_opaque_flows(directory: Path) -> list[str]:
    """Run the demonstration and return all problems that were found.

    Args:
        directory: Directory for settings and logs.
    """
    print_line("\n== Opaque flows over the platform's store and packets ==")
    context = run_packet_fleet(directory, SERVICES, HOSTS, ENTRIES)
    async with context as fleet:
        socket = fleet.caller(1)
        await socket.start()
        groups = {n: OpaqueCallers(fleet, socket, n) for n in SERVICES}
        running = [asyncio.create_task(g.run()) for g in groups.values()]
        await _apply_changes(fleet)
        for group in groups.values():
            group.stop()
        await asyncio.gather(*running)
        socket.close()
        _print_flows(groups)
        return _problems(fleet, socket, groups)


async def _apply_changes(fleet: PacketFleet) -> None:
    await asyncio.sleep(1.0)
    entry, host = fleet.entries[0], fleet.agents[0]
    print_line(f"restarting {entry.name}")
    await fleet.stop(entry)
    await fleet.start(entry)
    await fleet.wait_ready(entry)
    print_line(f"draining {host.name}")
    await fleet.list_server(host, "draining")
    await asyncio.sleep(1.0)
    print_line("stopping all entries and agents at once and starting them again")
    machines = [*fleet.entries, *fleet.agents]
    await asyncio.gather(*(fleet.stop(machine) for machine in machines))
    for machine in machines:
        await fleet.start(machine)
    await fleet.wait_ready(*machines)
    await asyncio.sleep(1.0)


def _print_flows(groups: dict[int, OpaqueCallers]) -> None:
    rows = []
    for number, group in groups.items():
        t = group.results
        name = SERVICES[number]
        rows.append((name, t.flows, t.answered, t.broken, len(t.wrong)))
    print_table(("service", "flows", "answered", "broken", "wrong"), rows)


def _problems(
    fleet: PacketFleet, socket: CallerSocket, groups: dict[int, OpaqueCallers]
) -> list[str]:
    problems = [wrong for group in groups.values() for wrong in group.results.wrong]
    requests = [data for _, _, data in fleet.runs]
    repeated = len(requests) - len(set(requests))
    if repeated:
        problems.append(f"{repeated} requests ran more than once")
    forged = sum(a.server.forged for a in fleet.agents if a.server) + socket.forged
    if forged:
        problems.append(f"{forged} packets were changed in transit")
    return problems

"""Emulated fleet: machines, fabric, catalog service and backend servers."""

import asyncio
import random
import zlib
from collections import Counter

from msgspec import Struct

from balsamspool.kernel.clock import now
from balsamspool.kernel.identity import Role
from balsamspool.plugins.catalog import CatalogPlugin
from balsamspool.plugins.catalog.model import (
    Route,
    RouteTable,
    Target,
)
from balsamspool.plugins.catalog.view import CatalogView
from emulator.backend_server import EmulatedServer, ServerPlan
from emulator.catalog_history import CatalogRestored
from emulator.catalog_service import CatalogService
from emulator.history import History
from emulator.network import Network
from emulator.process import EmulatedProcess
from emulator.registration import Registration
from emulator.segment import endpoint

PROBE_SECONDS = 0.5
FAILED_PROBES_LIMIT = 2
RESTART_SECONDS = 0.5
# Time from the start of a process until it serves.
START_SECONDS = 0.4
IDLE_SECONDS = 15.0
ROUTE_PORT = 443


class ServicePlan(Struct, frozen=True):
    """A service of the fleet.

    Attributes:
        name: Its name.
        servers: Number of backend servers.
        slots: Concurrent requests of each backend server.
        speeds: Speeds of the backend servers, assigned in rotation.
    """

    name: str
    servers: int
    slots: int = 2
    speeds: tuple[float, ...] = (1.0,)


class FleetPlan(Struct, frozen=True):
    """Configuration of a fleet.

    Attributes:
        failure_domains: Names of the failure domains.
        entries: Number of entries, spread over the failure domains.
        services: The services.
        loss: Share of datagrams that are lost.
        links: Rates of the entries' links in megabits per second, assigned in rotation
            to groups of four entries; empty for no limit.
    """

    failure_domains: tuple[str, ...]
    entries: int
    services: tuple[ServicePlan, ...]
    loss: float = 0.000_1
    links: tuple[float, ...] = ()


class ProbeState(Struct):
    """State of an entry as the fabric sees it.

    Attributes:
        ready: Whether the fabric sends packets to the entry.
        failed_probes: Number of consecutive failed probes.
    """

    ready: bool = True
    failed_probes: int = 0


class Fleet:
    """Runs a fleet.

    Args:
        plan: Configuration of the fleet.
        rng: Random number generator.
    """

    def __init__(self, plan: FleetPlan, rng: random.Random) -> None:
        self.plan = plan
        self.rng = rng
        self.history = History()
        self.network = Network(rng, plan.loss)
        self.catalog = CatalogService(rng)
        self.entries: list[EmulatedProcess] = []
        self.agents: dict[str, EmulatedProcess] = {}
        self.servers: dict[str, EmulatedServer] = {}
        self.version = 0
        self.routes: dict[str, tuple[Target, ...]] = {}
        self._address_counts: Counter[int] = Counter()
        self._server_count = 0
        self._probe_states: dict[str, ProbeState] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._unreachable: set[str] = set()
        self._registration = Registration(
            self.catalog, self.history, self.servers, self.spawn, rng
        )

    async def start(self) -> None:
        """Start all processes and backend servers, and publish the routes."""
        domains = self.plan.failure_domains
        for number in range(self.plan.entries):
            await self.add_entry(domains[number % len(domains)])
        for service in self.plan.services:
            self.routes[service.name] = (Target(service.name),)
            for number in range(service.servers):
                domain = domains[number % len(domains)]
                speed = service.speeds[number % len(service.speeds)]
                await self.add_server(service.name, domain, service.slots, speed)
        self.publish_routes()
        self.spawn(self._probe())

    async def stop(self) -> None:
        """Stop all tasks, processes and backend servers."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for process in (*self.entries, *self.agents.values()):
            await process.kill()
        for server in self.servers.values():
            server.stop()

    def spawn(self, work: "asyncio._CoroutineLike[None]") -> asyncio.Task[None]:
        """Start a task, which is cancelled when the fleet stops."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def route_endpoint(self, service: str) -> bytes:
        """Return the endpoint of the route that is named after a service."""
        number = list(self.routes).index(service) + 1
        return endpoint((f"198.18.0.{number}", ROUTE_PORT))

    def publish_routes(self) -> None:
        """Publish the routes as a new version of the route table."""
        self.version += self.rng.randint(1, 5)
        table = RouteTable(
            self.version,
            tuple(
                Route(f"r-{name}", f"198.18.0.{number}", ROUTE_PORT, targets)
                for number, (name, targets) in enumerate(self.routes.items(), 1)
                if targets
            ),
            IDLE_SECONDS,
        )
        self._registration.publish_table(table)

    async def add_entry(self, failure_domain: str) -> EmulatedProcess:
        """Start an entry."""
        number = len(self.entries) + 1
        process = self._new_process(
            Role.DATAGRAM_ENTRY,
            f"entry-{number}",
            self._new_address(failure_domain),
            "",
        )
        self.entries.append(process)
        if self.plan.links:
            link = self.plan.links[(number - 1) // 4 % len(self.plan.links)]
            self.network.limit_link(process.address, link)
        self._probe_states[process.address] = ProbeState()
        await process.start()
        return process

    async def add_server(
        self,
        service: str,
        failure_domain: str,
        slots: int,
        speed: float,
        address: str | None = None,
    ) -> EmulatedServer:
        """Start a backend server with its agent, and list it.

        Args:
            service: Its service.
            failure_domain: Its failure domain.
            slots: Concurrent requests.
            speed: Seconds of work that it does in a second.
            address: Address of a stopped instance to reuse, None for a new address.
        """
        self._server_count += 1
        name = f"i-{self._server_count}"
        instance_address = address or self._new_address(failure_domain)
        plan = ServerPlan(
            name, service, instance_address, failure_domain, slots, speed=speed
        )
        server = EmulatedServer(plan, self.network, self.history, self.rng)
        self.servers[name] = server
        agent = self._new_process(
            Role.DATAGRAM_AGENT, f"agent-{name}", instance_address, service
        )
        self.agents[name] = agent
        server.start()
        await agent.start()
        self._registration.register(server)
        return server

    async def drain_server(self, name: str, seconds: float) -> None:
        """Drain a backend server, then stop it and its agent.

        Args:
            name: Name of the backend server.
            seconds: Time for which it keeps serving after its report.
        """
        server = self.servers[name]
        server.draining = True
        self._registration.report_draining(server)
        await asyncio.sleep(seconds)
        await self.remove_server(name)

    async def remove_server(self, name: str) -> None:
        """Stop a backend server and its agent, and remove it from the catalog."""
        server = self.servers.pop(name, None)
        if server is None:
            return
        server.stop()
        self._registration.remove(name)
        self.spawn(self._stop_agent(self.agents.pop(name)))

    async def crash_server(self, name: str, returns_after: float | None) -> None:
        """Stop a backend server without notice.

        Args:
            name: Name of the backend server.
            returns_after: Seconds until a new backend server starts at its address,
                None for never.
        """
        server = self.servers.pop(name, None)
        if server is None:
            return
        server.stop()
        agent = self.agents.pop(name)
        if returns_after is None:
            await agent.kill()
        self.spawn(self._registration.remove_silent(name))
        if returns_after is not None:
            await asyncio.sleep(returns_after)
            await agent.kill()
            plan = server.plan
            if self.in_use(plan.address):
                return
            await self.add_server(
                plan.service, plan.failure_domain, plan.slots, plan.speed, plan.address
            )

    async def power_off(self, seconds: float) -> None:
        """Cut the power of all machines, and start everything again afterwards.

        Args:
            seconds: Duration of the outage in seconds.
        """
        entries = [entry for entry in self.entries if entry.running]
        for entry in entries:
            await entry.kill()
        crashes = [self.crash_server(name, seconds) for name in list(self.servers)]
        await asyncio.gather(
            *crashes, *(self._start_later(e, seconds) for e in entries)
        )

    async def restart(self, process: EmulatedProcess) -> None:
        """Kill a process and start it again."""
        await process.kill()
        await asyncio.sleep(RESTART_SECONDS)
        if not process.running:
            await process.start()

    async def restore_catalog(self, age: float, away: float) -> None:
        """Let the catalog leave for a while and come back from a copy.

        Args:
            age: Age of the copy in seconds at the time at which the catalog leaves.
            away: Seconds for which it answers nobody, 0 to answer on in the next era.
        """
        if self.catalog.away:
            return
        time = now()
        restored = CatalogRestored(time - age, time, time + away)
        self.history.restores.append(restored)
        if away:
            self.catalog.leave()
            await asyncio.sleep(away)
        self.catalog.restore(age + away)
        self._registration.write_again()

    async def cordon_domain(self, domain: str, seconds: float) -> None:
        """Take a failure domain out of service for a while.

        Nothing happens if it is out of service, or the last one in service.

        Args:
            domain: Name of the failure domain.
            seconds: Duration in seconds.
        """
        out = self._registration.cordons
        if domain in out or len(out) + 1 >= len(self.plan.failure_domains):
            return
        self._registration.cordon(domain)
        await asyncio.sleep(seconds)
        self._registration.uncordon(domain)

    async def freeze(self, process: EmulatedProcess, seconds: float) -> None:
        """Suspend a process, which then gets the answers of the catalog that it missed.

        Args:
            process: An entry.
            seconds: Duration in seconds.
        """
        kernel = process.kernel
        self.catalog.hold(process.instance)
        self.network.disconnected.add(process.address)
        await asyncio.sleep(seconds)
        self.network.disconnected.discard(process.address)
        if kernel is not None:
            kernel.pauses += 1
        self.catalog.release(process.instance)

    def views(self) -> dict[str, CatalogView]:
        """Return the catalog as each running entry knows it, by its instance."""
        return {
            entry.instance: entry.kernel.plugin(CatalogPlugin).view
            for entry in self.entries
            if entry.kernel is not None
        }

    def in_use(self, address: str) -> bool:
        """Return whether a backend server runs at an address."""
        return any(s.plan.address == address for s in self.servers.values())

    def entry_for(self, failure_domain: str, key: bytes) -> str:
        """Return the address of the entry to which the fabric sends a packet now.

        Args:
            failure_domain: Failure domain in which the packet enters the fabric.
            key: Key of the flow.
        """
        local = [e for e in self.entries if e.failure_domain == failure_domain]
        ready = [e for e in local if self._probe_states[e.address].ready]
        if not ready:
            others = [e for e in self.entries if self._probe_states[e.address].ready]
            ready = others or self.entries
        elif 2 * len(ready) < len(local):
            ready = local
        return ready[zlib.crc32(key) % len(ready)].address

    def _new_address(self, failure_domain: str) -> str:
        domain = self.plan.failure_domains.index(failure_domain) + 1
        self._address_counts[domain] += 1
        address = f"10.{domain}.0.{self._address_counts[domain]}"
        self.network.add_machine(address, failure_domain)
        return address

    def _new_process(
        self, role: Role, instance: str, address: str, service: str
    ) -> EmulatedProcess:
        domain = self.plan.failure_domains[int(address.split(".")[1]) - 1]
        return EmulatedProcess(
            role,
            instance,
            address,
            domain,
            service,
            self.network,
            self.catalog,
            self.history,
            self.rng,
        )

    async def _start_later(self, process: EmulatedProcess, seconds: float) -> None:
        await asyncio.sleep(seconds + START_SECONDS)
        if not process.running:
            await process.start()

    async def _stop_agent(self, agent: EmulatedProcess) -> None:
        await agent.terminate()

    async def _probe(self) -> None:
        while True:
            for entry in self.entries:
                probe_state = self._probe_states[entry.address]
                if entry.ready and entry.address not in self.network.disconnected:
                    probe_state.ready, probe_state.failed_probes = True, 0
                else:
                    probe_state.failed_probes += 1
                    probe_state.ready = (
                        probe_state.ready
                        and probe_state.failed_probes < FAILED_PROBES_LIMIT
                    )
            await asyncio.sleep(PROBE_SECONDS)

"""A whole emulated fleet: machines, fabric, catalog service, backend servers."""

import asyncio
import random
import zlib
from collections import Counter

from msgspec import Struct

from balsamspool.kernel.clock import now
from balsamspool.kernel.identity import Role
from balsamspool.plugins.catalog.model import (
    BackendServer,
    BackendState,
    Route,
    RouteTable,
    Target,
)
from emulator.backend_server import (
    APP_PORT,
    COLD_SECONDS,
    EmulatedServer,
    ServerPlan,
)
from emulator.catalog_service import CatalogService
from emulator.history import Drained, History, RoutesChanged
from emulator.network import Network
from emulator.process import EmulatedProcess
from emulator.segment import endpoint

PROBE_SECONDS = 0.5
MISSED_PROBES = 2
RESTART_SECONDS = 0.5
# A process needs so long from its start until it serves.
START_SECONDS = 0.4
HEARTBEAT_SECONDS = 1.2
# A listed backend server that is silent is removed after so many heartbeats.
LAPSE_HEARTBEATS = 3
IDLE_SECONDS = 15.0
ROUTE_PORT = 443


class ServicePlan(Struct, frozen=True):
    """A service of the fleet.

    Attributes:
        name: Its name.
        servers: Number of backend servers.
        slots: Requests that each runs at a time.
        speeds: Speeds of the backend servers, by turns.
    """

    name: str
    servers: int
    slots: int = 2
    speeds: tuple[float, ...] = (1.0,)


class FleetPlan(Struct, frozen=True):
    """A fleet as it is set up.

    Attributes:
        failure_domains: Names of the failure domains.
        entries: Number of entries, spread over the failure domains.
        services: The services.
        loss: Share of datagrams that are lost.
        links: Megabits a second of the links of entries, by turns; none for no limit.
    """

    failure_domains: tuple[str, ...]
    entries: int
    services: tuple[ServicePlan, ...]
    loss: float = 0.000_1
    links: tuple[float, ...] = ()


class Rotation(Struct):
    """What the fabric knows of an entry.

    Attributes:
        ready: Whether it gets packets.
        misses: Probes that were missed in a row.
    """

    ready: bool = True
    misses: int = 0


class Fleet:
    """Runs a fleet.

    Args:
        plan: How it is set up.
        rng: Source of randomness.
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
        self._addresses: Counter[int] = Counter()
        self._names = 0
        self._rotation: dict[str, Rotation] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._unreachable: set[str] = set()

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
        """Stop everything."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for process in (*self.entries, *self.agents.values()):
            await process.kill()
        for server in self.servers.values():
            server.stop()

    def spawn(self, work: "asyncio._CoroutineLike[None]") -> asyncio.Task[None]:
        """Run a task until the fleet stops."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def route_endpoint(self, service: str) -> bytes:
        """Return the endpoint of the route that is named after a service."""
        number = list(self.routes).index(service) + 1
        return endpoint((f"198.18.0.{number}", ROUTE_PORT))

    def publish_routes(self) -> None:
        """Publish the routes as another version."""
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
        self.catalog.publish_routes(table)
        services = {
            endpoint((route.address, route.port)): frozenset(
                target.service for target in route.targets
            )
            for route in table.routes
        }
        self.history.routes.append(RoutesChanged(self.version, now(), services))

    async def add_entry(self, failure_domain: str) -> EmulatedProcess:
        """Start an entry."""
        number = len(self.entries) + 1
        process = self._process(
            Role.DATAGRAM_ENTRY, f"entry-{number}", self._address(failure_domain), ""
        )
        self.entries.append(process)
        if self.plan.links:
            link = self.plan.links[(number - 1) // 4 % len(self.plan.links)]
            self.network.limit(process.address, link)
        self._rotation[process.address] = Rotation()
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
            slots: Requests that it runs at a time.
            speed: Work that it does in a second.
            address: Address of an instance that is free again, None for another one.
        """
        self._names += 1
        name = f"i-{self._names}"
        where = address or self._address(failure_domain)
        plan = ServerPlan(name, service, where, failure_domain, slots, speed=speed)
        server = EmulatedServer(plan, self.network, self.history, self.rng)
        self.servers[name] = server
        agent = self._process(Role.DATAGRAM_AGENT, f"agent-{name}", where, service)
        self.agents[name] = agent
        server.start()
        await agent.start()
        self.list_server(server)
        return server

    def list_server(self, server: EmulatedServer) -> None:
        """Publish a backend server as it is now."""
        plan = server.plan
        state = BackendState.DRAINING if server.draining else BackendState.READY
        self.catalog.publish_server(
            BackendServer(
                name=plan.name,
                service=plan.service,
                address=plan.address,
                port=APP_PORT,
                failure_domain=plan.failure_domain,
                slots=plan.slots,
                state=state,
                warmup=0.0 if server.draining else COLD_SECONDS,
                started_ms=int(server.started * 1000),
            )
        )
        if not server.draining:
            self.spawn(self._list_warm(server))

    async def drain_server(self, name: str, seconds: float) -> None:
        """Drain a backend server, then end it and its agent.

        Args:
            name: Name of the backend server.
            seconds: Time for which it serves after its report.
        """
        server = self.servers[name]
        server.draining = True
        self.list_server(server)
        available = self.catalog.available
        self.history.drained.append(Drained(name, now(), available))
        await asyncio.sleep(seconds)
        await self.remove_server(name)

    async def remove_server(self, name: str) -> None:
        """End a backend server and its agent, and take it off the list."""
        server = self.servers.pop(name, None)
        if server is None:
            return
        server.stop()
        self.catalog.remove_server(name)
        self.spawn(self._end_agent(self.agents.pop(name)))

    async def crash_server(self, name: str, returns_after: float | None) -> None:
        """End a backend server without a word.

        Args:
            name: Name of the backend server.
            returns_after: Seconds until another one starts there, None for never.
        """
        server = self.servers.pop(name, None)
        if server is None:
            return
        server.stop()
        agent = self.agents.pop(name)
        if returns_after is None:
            await agent.kill()
        self.spawn(self._lapse(name))
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
        """Cut the power of all machines; everything starts anew afterwards.

        Args:
            seconds: How long.
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

    def in_use(self, address: str) -> bool:
        """Return whether a backend server runs at an address."""
        return any(s.plan.address == address for s in self.servers.values())

    def entry_for(self, failure_domain: str, key: bytes) -> str:
        """Return the entry to which the fabric sends a packet now."""
        local = [e for e in self.entries if e.failure_domain == failure_domain]
        ready = [e for e in local if self._rotation[e.address].ready]
        if not ready:
            others = [e for e in self.entries if self._rotation[e.address].ready]
            ready = others or self.entries
        elif 2 * len(ready) < len(local):
            ready = local
        return ready[zlib.crc32(key) % len(ready)].address

    def _address(self, failure_domain: str) -> str:
        domain = self.plan.failure_domains.index(failure_domain) + 1
        self._addresses[domain] += 1
        address = f"10.{domain}.0.{self._addresses[domain]}"
        self.network.place(address, failure_domain)
        return address

    def _process(
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
            self.rng,
        )

    async def _list_warm(self, server: EmulatedServer) -> None:
        """Publish that a backend server is warm."""
        await asyncio.sleep(COLD_SECONDS)
        name = server.plan.name
        listed = self.catalog.servers.get(name)
        if listed is None or listed.state is BackendState.DRAINING:
            return
        fields = {f: getattr(listed, f) for f in listed.__struct_fields__}
        self.catalog.publish_server(BackendServer(**(fields | {"warmup": 0.0})))

    async def _start_later(self, process: EmulatedProcess, seconds: float) -> None:
        await asyncio.sleep(seconds + START_SECONDS)
        if not process.running:
            await process.start()

    async def _lapse(self, name: str) -> None:
        await asyncio.sleep(LAPSE_HEARTBEATS * HEARTBEAT_SECONDS)
        self.catalog.remove_server(name)

    async def _end_agent(self, agent: EmulatedProcess) -> None:
        await agent.terminate()

    async def _probe(self) -> None:
        while True:
            for entry in self.entries:
                rotation = self._rotation[entry.address]
                if entry.ready and entry.address not in self.network.dark:
                    rotation.ready, rotation.misses = True, 0
                else:
                    rotation.misses += 1
                    rotation.ready = rotation.ready and rotation.misses < MISSED_PROBES
            await asyncio.sleep(PROBE_SECONDS)

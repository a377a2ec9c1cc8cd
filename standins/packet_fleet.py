"""Runs entries and agents for opaque flows as processes, connected to stand-ins.

Each machine of the platform has its own loopback address, so that all machines can use
the same ports.
"""

import asyncio
import os
import sys
from asyncio.subprocess import Process
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from itertools import count, cycle
from pathlib import Path
from signal import SIGKILL, SIGTERM

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout, web

from standins.packet_caller import CallerSocket
from standins.packet_server import PacketServer
from standins.packets import Endpoint
from standins.store import StoreStandIn
from standins.tcp_proxy import TcpProxy

ROOT = Path(__file__).resolve().parent.parent
PROGRAM = ROOT / "platform" / "main.py"
DATAGRAM_PORT, READY_PORT, OUTBOUND_PORT, APP_PORT, STORE_PORT = (
    8172,
    8167,
    8162,
    8165,
    8169,
)
# Ports for traffic between programs of the fleet: data port and peer port.
INTERNAL_PORTS = (7720, 7735)
ADMIN_PORT = 9464
CONTROL_PORT = 8166
DEFAULT_DOMAIN = "hall-a"
READY_PATH = "/-/ready"
PROBE_INTERVAL_SECONDS = 0.5
# Consecutive missed probes after which the fabric stops using an entry.
MISSED_PROBES_LIMIT = 2
START_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 8.0


@dataclass(slots=True)
class Machine:
    """A loopback address at which one of the product's processes runs.

    Attributes:
        name: Name of the instance.
        role: ``entry`` or ``agent``.
        address: IPv4 address of the machine.
        failure_domain: Its failure domain.
        service: Name of the service, agents only.
        server: The backend server, agents only.
        server_name: Name under which the backend server is listed.
        process: The running process.
        ready: Whether the process is ready; the fabric prefers entries that are.
        misses: Number of consecutive probes that failed.
        proxy: Proxy through which an entry reaches the store, None for none.
    """

    name: str
    role: str
    address: str
    failure_domain: str = DEFAULT_DOMAIN
    service: str = ""
    server: PacketServer | None = None
    server_name: str = ""
    process: Process | None = None
    ready: bool = False
    misses: int = 0
    proxy: TcpProxy | None = None


@dataclass(slots=True)
class PacketFleet:
    """Store, fabric, callers, backend servers and the product's processes.

    Attributes:
        directory: Directory for settings and logs.
        store: The store.
        entries: Machines with an entry.
        agents: Machines with an agent and a backend server.
        runs: Service, caller's endpoint and data of each request that was run.
    """

    directory: Path
    store: StoreStandIn = field(default_factory=StoreStandIn)
    entries: list[Machine] = field(default_factory=list)
    agents: list[Machine] = field(default_factory=list)
    runs: list[tuple[str, Endpoint, bytes]] = field(default_factory=list)
    _next_number: Callable[[], int] = field(default=count(1).__next__)
    _version: int = 1

    @property
    def network(self) -> str:
        """First two octets of all addresses, different in each process."""
        return f"127.{64 + os.getpid() % 128}"

    @property
    def store_address(self) -> Endpoint:
        """Address and port of the store."""
        return f"{self.network}.0.1", STORE_PORT

    def service_address(self, number: int) -> Endpoint:
        """Return the address of a route."""
        return f"198.18.0.{number}", 443

    def entry_for(self, source: Endpoint, destination: Endpoint) -> Endpoint:
        """Return the entry to which the fabric currently sends a flow's packets."""
        candidates = [entry for entry in self.entries if entry.ready] or self.entries
        chosen = candidates[hash((source, destination)) % len(candidates)]
        return chosen.address, DATAGRAM_PORT

    def caller(self, number: int) -> CallerSocket:
        """Return the socket of a caller."""
        address = (f"{self.network}.9.{number}", DATAGRAM_PORT)
        return CallerSocket(address, self.entry_for)

    async def publish_routes(self, services: dict[int, str]) -> int:
        """Publish a configuration with a route for each service.

        Args:
            services: Names of services by the number of their route's address.

        Returns:
            The version.
        """
        self._version += 3
        routes = [
            {
                "name": f"r-{number}",
                "host": self.service_address(number)[0],
                "prefix": f"/{self.service_address(number)[1]}/",
                "kind": "unsafe",
                "timeout-ms": 1200,
                "goal-ms": 200,
                "priority": 1,
                "service": service,
                "attempts": 2,
            }
            for number, service in services.items()
        ]
        limits = {"idle-timeout-ms": 15_000}
        document = {"version": self._version, "routes": routes, "limits": limits}
        await self.store.put("op/config", document | {"services": []})
        return self._version

    async def set_cordon(self, domain: str, listed: bool) -> None:
        """Write or remove the store item that takes a failure domain out of service."""
        await self.store.put(f"op/evacuate/{domain}", {} if listed else None)

    async def add_entry(
        self, proxied: bool = False, failure_domain: str = DEFAULT_DOMAIN
    ) -> Machine:
        """Start an entry.

        Args:
            proxied: Whether the entry reaches the store through its own proxy.
            failure_domain: Its failure domain.
        """
        number = self._next_number()
        address = f"{self.network}.0.{10 + number}"
        machine = Machine(f"entry-{number}", "entry", address, failure_domain)
        if proxied:
            listen = (f"{self.network}.2.{10 + number}", STORE_PORT)
            machine.proxy = TcpProxy(listen, self.store_address)
            await machine.proxy.start()
        await self.start(machine)
        self.entries.append(machine)
        return machine

    async def add_host(
        self,
        service: str,
        request_seconds: float = 0.01,
        failure_domain: str = DEFAULT_DOMAIN,
    ) -> Machine:
        """Start a backend server and its agent, and list the backend server.

        Args:
            service: Name of the service.
            request_seconds: Duration of each request in seconds.
            failure_domain: Its failure domain.
        """
        number = self._next_number()
        address = f"{self.network}.1.{10 + number}"
        machine = Machine(
            f"{service}-{number}", "agent", address, failure_domain, service
        )
        machine.server = PacketServer(
            service,
            (address, APP_PORT),
            (address, OUTBOUND_PORT),
            request_seconds,
            lambda *run: self.runs.append(run),
        )
        machine.server_name = f"i-{number}"
        await machine.server.start()
        await self.start(machine)
        self.agents.append(machine)
        await self.list_server(machine, "ready")
        return machine

    async def list_server(self, machine: Machine, state: str | None) -> None:
        """Write the store item of a backend server.

        Args:
            machine: Machine of the backend server.
            state: State of the backend server, None to remove the item.
        """
        item = {
            "service": machine.service,
            "addr": f"{machine.address}:{APP_PORT}",
            "zone": machine.failure_domain,
            "version": "v1",
            "concurrency": 2,
            "state": state,
            "warmup-left-ms": 0,
            "seq": 1,
            "born": 1_700_000_000_000,
        }
        key = f"servers/{machine.server_name}"
        await self.store.put(key, item if state else None)

    async def start(self, machine: Machine) -> None:
        """Start the product's process on a machine."""
        settings = self.directory / f"{machine.name}.json"
        settings.write_bytes(msgspec.json.encode(self._settings(machine)))
        path = self.directory / f"{machine.name}.log"
        log = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT)
        try:
            machine.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(PROGRAM),
                machine.role,
                stdout=log,
                stderr=log,
                env={**os.environ, "BALSAMSPOOL_CONFIG": str(settings)},
            )
        finally:
            os.close(log)

    async def stop(self, machine: Machine, signal_number: int = SIGTERM) -> None:
        """Stop the product's process on a machine.

        Args:
            machine: The machine.
            signal_number: Signal to send; SIGKILL follows after STOP_TIMEOUT_SECONDS.
        """
        process = machine.process
        if process is None or process.returncode is not None:
            return
        process.send_signal(signal_number)
        try:
            await asyncio.wait_for(process.wait(), STOP_TIMEOUT_SECONDS)
        except TimeoutError:
            process.send_signal(SIGKILL)
            await process.wait()

    async def wait_ready(self, *machines: Machine) -> None:
        """Wait until processes answer their readiness probe with 200.

        Raises:
            TimeoutError: If a process is not ready in time.
        """
        async with asyncio.timeout(START_TIMEOUT_SECONDS), ClientSession() as session:
            for machine in machines:
                await self._wait_for_answer(session, machine)
                machine.ready = True

    async def probe_entries(self) -> None:
        """Probe the entries and set which of them the fabric uses."""
        async with ClientSession() as session:
            while True:
                for entry in self.entries:
                    answered = await self._probe(session, entry)
                    entry.misses = 0 if answered else entry.misses + 1
                    entry.ready = entry.misses < MISSED_PROBES_LIMIT
                await asyncio.sleep(PROBE_INTERVAL_SECONDS)

    async def _wait_for_answer(self, session: ClientSession, machine: Machine) -> None:
        while True:
            if await self._probe(session, machine):
                return
            await asyncio.sleep(0.02)

    async def _probe(self, session: ClientSession, machine: Machine) -> bool:
        url = f"http://{machine.address}:{READY_PORT}{READY_PATH}"
        try:
            async with session.get(url, timeout=ClientTimeout(total=0.4)) as answer:
                return answer.status == 200
        except (ClientError, TimeoutError, OSError):
            return False

    def _settings(self, machine: Machine) -> dict[str, object]:
        sections: dict[str, object] = {
            "process": {
                "instance": machine.name,
                "failure_domain": machine.failure_domain,
                "address": machine.address,
                "data_port": INTERNAL_PORTS[0],
                "peer_port": INTERNAL_PORTS[1],
                "admin_port": ADMIN_PORT,
            },
            "admin": {
                "ready_address": f"{machine.address}:{READY_PORT}",
                "ready_path": READY_PATH,
            },
        }
        datagrams = f"{machine.address}:{DATAGRAM_PORT}"
        if machine.role == "entry":
            store = machine.proxy.address if machine.proxy else self.store_address
            sections["catalog-source"] = {"address": f"{store[0]}:{store[1]}"}
            sections["catalog"] = {
                "listen": f"{machine.address}:{CONTROL_PORT}",
                "peers": [f"{e.address}:{CONTROL_PORT}" for e in self.entries],
            }
            sections["datagram-entry"] = {"address": datagrams}
        else:
            sections["datagram-agent"] = {
                "address": datagrams,
                "service": machine.service,
                "backend": f"{machine.address}:{APP_PORT}",
                "outbound": f"{machine.address}:{OUTBOUND_PORT}",
            }
        return sections


@asynccontextmanager
async def run_packet_fleet(
    directory: Path,
    services: dict[int, str],
    hosts: int,
    entries: int,
    proxies: bool = False,
    failure_domains: tuple[str, ...] = (DEFAULT_DOMAIN,),
) -> AsyncIterator[PacketFleet]:
    """Run a fleet until the block ends; stop all its processes.

    Args:
        directory: Directory for settings and logs.
        services: Names of services by the number of their route's address.
        hosts: Hosts of each service.
        entries: Number of entries.
        proxies: Whether each entry reaches the store through a proxy.
        failure_domains: Failure domains of the entries, and of the hosts of each
            service, assigned in rotation.
    """
    fleet = PacketFleet(directory)
    runner = web.AppRunner(fleet.store.application(), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, *fleet.store_address).start()
    await fleet.publish_routes(services)
    probes: asyncio.Task[None] | None = None
    try:
        for service in services.values():
            for _, domain in zip(range(hosts), cycle(failure_domains), strict=False):
                await fleet.add_host(service, failure_domain=domain)
        for _, domain in zip(range(entries), cycle(failure_domains), strict=False):
            await fleet.add_entry(proxies, domain)
        await fleet.wait_ready(*fleet.agents, *fleet.entries)
        probes = asyncio.create_task(fleet.probe_entries())
        yield fleet
    finally:
        if probes is not None:
            probes.cancel()
        machines = [*fleet.entries, *fleet.agents]
        await asyncio.gather(*(fleet.stop(machine) for machine in machines))
        for machine in machines:
            if machine.server is not None:
                machine.server.close()
            if machine.proxy is not None:
                await machine.proxy.close()
        await runner.cleanup()

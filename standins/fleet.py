"""Runs a complete small fleet on loopback.

The stand-ins run in this process, each program in a separate process. Only tests, the
demonstration and benchmarks use this module; the programs themselves start no process.
"""

import asyncio
import json
import signal
import socket
import sys
import tempfile
from asyncio.subprocess import Process
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout, web

from standins.backend_server import BackendServerStandIn
from standins.certificate import write_certificate
from standins.fabric import Fabric
from standins.platform import PlatformStandIn
from standins.ports import ADDRESS, free_port

ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 20.0
SECRET = "5a" * 32


@dataclass(slots=True)
class ServicePlan:
    """One service of the fleet.

    Attributes:
        name: Name of the service.
        number: Number of the service.
        hosts: Number of hosts.
        routes: Routes as written in the configuration text.
        options: Further fields of the service in the configuration text, such as
            ``limits``.
    """

    name: str
    number: int
    hosts: int
    routes: list[dict[str, Any]]
    options: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True)
class Host:
    """An agent with its backend server, or an entry without one.

    Attributes:
        instance: Name of the instance.
        listed: Record of the instance in the platform's instance list.
        settings_path: Settings file of the program.
        process: The running program, None while it is stopped.
        backend_server: The backend server stand-in, None for an entry.
        backend_port: TCP port of the backend server, 0 for an entry.
        log_path: Log file of the program.
    """

    instance: str
    listed: dict[str, Any]
    settings_path: Path
    log_path: Path
    process: Process | None = None
    backend_server: BackendServerStandIn | None = None
    backend_port: int = 0

    @property
    def admin_url(self) -> str:
        """Base URL of the program's admin pages."""
        return f"http://{self.listed['address']}:{self.listed['admin_port']}"

    def send_signal(self, number: int) -> None:
        """Send a signal to the program."""
        assert self.process is not None
        self.process.send_signal(number)

    async def stop(self) -> int:
        """Stop the program gracefully and return its exit code."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
            return await self.process.wait()

    async def kill(self) -> None:
        """Kill the program."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        await self.process.wait()


class Fleet:
    """A fleet of programs and stand-ins.

    Args:
        folder: Folder for settings and logs.
        services: Services to run.
        failure_domains: Failure domains across which instances are spread.
    """

    def __init__(
        self, folder: Path, services: list[ServicePlan], failure_domains: list[str]
    ) -> None:
        self.folder = folder
        self.services = {plan.name: plan for plan in services}
        self.failure_domains = failure_domains
        self.platform = PlatformStandIn()
        self.entries: dict[str, Host] = {}
        self.agents: dict[str, Host] = {}
        self.fabrics: dict[str, Fabric] = {}
        self.addresses: dict[str, tuple[str, int]] = {}
        self.text: dict[str, Any] = {}
        # Sections that are added to the settings of every program.
        self.extra_settings: dict[str, Any] = {}
        self._runners: list[web.AppRunner] = []
        self._platform_port = 0
        self._counter = 0
        self._certificate, self._key = write_certificate(folder)

    @property
    def platform_url(self) -> str:
        """Base URL of the platform stand-in."""
        return f"http://{ADDRESS}:{self._platform_port}"

    async def start(self, entries: int) -> None:
        """Start the stand-ins, then all programs, and wait until they are ready."""
        self._platform_port = free_port()
        await self._start_platform(self._platform_port)
        for name in self.services:
            self.addresses[name] = (ADDRESS, free_port(socket.SOCK_DGRAM))
        self.text = self._initial_text()
        await self.publish_text()
        for _ in range(entries):
            await self.add_entry(publish=False)
        for plan in self.services.values():
            for _ in range(plan.hosts):
                await self.add_agent(plan.name, publish=False)
        await self.publish_list()
        for name, address in self.addresses.items():
            await self._start_fabric(name, address)
        for host in [*self.entries.values(), *self.agents.values()]:
            await self.wait_ready(host)

    async def close(self) -> None:
        """Stop all programs and stand-ins."""
        for host in [*self.entries.values(), *self.agents.values()]:
            if host.process is not None:
                await host.kill()
        for fabric in self.fabrics.values():
            fabric.close()
        for runner in self._runners:
            await runner.cleanup()

    def entry_addresses(self, service: str) -> list[tuple[str, int]]:
        """Return the local addresses of the running entries for a service."""
        local_addresses = []
        for entry in self.entries.values():
            settings = json.loads(entry.settings_path.read_text())
            host, port = settings["forwarding"]["listen"][service].split(":")
            local_addresses.append((host, int(port)))
        return local_addresses

    async def refresh_fabrics(self) -> None:
        """Make the fabrics spray datagrams across the current entries."""
        for name, fabric in self.fabrics.items():
            fabric.entries = self.entry_addresses(name)

    async def publish_text(self) -> int:
        """Publish the configuration text and return its revision."""
        return await self.publish("configuration", self.published_text())

    def published_text(self) -> str:
        """Return the configuration text as it is published."""
        return json.dumps(self.text, indent=2)

    async def publish_list(self) -> int:
        """Publish the instance list and return its revision."""
        hosts = [*self.entries.values(), *self.agents.values()]
        return await self.publish(
            "instances", json.dumps([host.listed for host in hosts])
        )

    async def publish(self, name: str, value: str) -> int:
        """Publish a value on the platform and return its revision."""
        return await self.platform.publish(name, value)

    async def add_entry(self, publish: bool = True) -> Host:
        """Start another entry."""
        listed = self._new_record("entry", None)
        listen = {
            name: f"{ADDRESS}:{free_port(socket.SOCK_DGRAM)}" for name in self.services
        }
        settings = self._settings(listed) | {
            "forwarding": {"listen": listen, "linger_seconds": 1.0}
        }
        host = await self._launch(listed, settings)
        self.entries[host.instance] = host
        if publish:
            await self.publish_list()
            await self.wait_ready(host)
            await self.refresh_fabrics()
        return host

    async def add_agent(self, service: str, publish: bool = True) -> Host:
        """Start another host of a service: a backend server and its agent."""
        listed = self._new_record("agent", service)
        port = free_port()
        server = await self._start_backend_server(listed["instance"], port)
        settings = self._settings(listed) | {
            "serving": {"service": service},
            "backend": {"host": ADDRESS, "port": port},
            "frontend": {
                "certificate": str(self._certificate),
                "private_key": str(self._key),
            }
            | self.extra_settings.get("frontend", {}),
        }
        host = await self._launch(listed, settings)
        host.backend_server, host.backend_port = server, port
        self.agents[host.instance] = host
        if publish:
            await self.publish_list()
            await self.wait_ready(host)
        return host

    async def restart(self, host: Host) -> None:
        """Start the program of a stopped host again, with the same settings."""
        host.process = await self._start_program(host)
        await self.wait_ready(host)

    async def wait_ready(self, host: Host) -> None:
        """Wait until a program reports that it is ready."""
        timeout = ClientTimeout(total=2)
        async with (
            asyncio.timeout(START_TIMEOUT_SECONDS),
            ClientSession(timeout=timeout) as session,
        ):
            while True:
                try:
                    async with session.get(host.admin_url + "/readyz") as answer:
                        if answer.status == 200:
                            return
                except (ClientError, TimeoutError):
                    pass
                if host.process is not None and host.process.returncode is not None:
                    log = host.log_path.read_text()[-2000:]
                    raise RuntimeError(f"{host.instance} exited: {log}")
                await asyncio.sleep(0.05)

    async def status(self, host: Host) -> dict[str, Any]:
        """Return the status of a program."""
        async with (
            ClientSession(timeout=ClientTimeout(total=5)) as session,
            session.get(host.admin_url + "/status") as answer,
        ):
            return msgspec.json.decode(await answer.read())

    async def _start_platform(self, port: int) -> None:
        self._runners.append(await serve(self.platform.application(), port))

    async def _start_fabric(self, service: str, address: tuple[str, int]) -> None:
        fabric = Fabric(self.entry_addresses(service))
        await fabric.open(address)
        self.fabrics[service] = fabric

    async def _start_backend_server(
        self, name: str, port: int
    ) -> BackendServerStandIn | None:
        server = BackendServerStandIn(name)
        self._runners.append(await serve(server.application(), port))
        return server

    def _initial_text(self) -> dict[str, Any]:
        services = {}
        for plan in self.services.values():
            host, port = self.addresses[plan.name]
            services[plan.name] = {
                "number": plan.number,
                "address": f"{host}:{port}",
                "routes": plan.routes,
            } | plan.options
        return {
            "format": 1,
            "operator": "stand-in",
            "services": services,
            "keys": {"active": 1, "secrets": {"1": SECRET}},
            "host_networks": ["127.0.0.0/8"],
        }

    def _new_record(self, role: str, service: str | None) -> dict[str, Any]:
        self._counter += 1
        domain = self.failure_domains[self._counter % len(self.failure_domains)]
        listed = {
            "instance": f"{service or role}-{self._counter}",
            "role": role,
            "state": "live",
            "failure_domain": domain,
            "address": ADDRESS,
            "data_port": free_port(socket.SOCK_DGRAM),
            "peer_port": free_port(),
            "admin_port": free_port(),
        }
        return listed | ({"service": service} if service else {})

    def _settings(self, listed: dict[str, Any]) -> dict[str, Any]:
        process = {
            key: listed[key]
            for key in (
                "instance",
                "failure_domain",
                "address",
                "data_port",
                "peer_port",
                "admin_port",
            )
        }
        process |= {"keys": {"active": 1, "secrets": {"1": SECRET}}}
        return {
            "process": process,
            "platform": {"addresses": [self.platform_url], "watch_seconds": 5.0},
        } | {k: v for k, v in self.extra_settings.items() if k != "frontend"}

    async def _launch(self, listed: dict[str, Any], settings: dict[str, Any]) -> Host:
        instance = listed["instance"]
        path = self.folder / f"{instance}.json"
        path.write_text(json.dumps(settings, indent=2))
        host = Host(instance, listed, path, self.folder / f"{instance}.log")
        host.process = await self._start_program(host)
        return host

    async def _start_program(self, host: Host) -> Process:
        module = f"balsamspool.programs.{host.listed['role']}"
        return await start_module(
            host.log_path, module, f"--settings={host.settings_path}"
        )


async def start_module(log_path: Path, module: str, *arguments: str) -> Process:
    """Start a Python module of this work tree as a process with a log file."""
    with log_path.open("ab") as log:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *arguments,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            cwd=ROOT,
        )


async def serve(application: web.Application, port: int) -> web.AppRunner:
    """Serve an HTTP application on a port of the loopback address."""
    runner = web.AppRunner(application, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, ADDRESS, port).start()
    return runner


@asynccontextmanager
async def run_fleet(
    services: list[ServicePlan],
    entries: int = 2,
    failure_domains: tuple[str, ...] = ("hall-a", "hall-b"),
    extra_settings: dict[str, Any] | None = None,
) -> AsyncIterator[Fleet]:
    """Run a fleet and stop it when the block ends.

    Args:
        services: Services to run.
        entries: Number of entries.
        failure_domains: Failure domains across which instances are spread.
        extra_settings: Sections that are added to the settings of every program.

    Yields:
        The running fleet.
    """
    with tempfile.TemporaryDirectory(prefix="balsamspool-") as folder:
        fleet = Fleet(Path(folder), services, list(failure_domains))
        fleet.extra_settings = extra_settings or {}
        try:
            await fleet.start(entries)
            yield fleet
        finally:
            await fleet.close()

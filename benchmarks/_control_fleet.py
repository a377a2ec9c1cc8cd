"""A test fleet whose text and instance list can exceed its running processes."""

import asyncio
import json
import socket
from pathlib import Path
from typing import Any

from standins.fleet import Fleet, Host, ServicePlan
from standins.ports import ADDRESS, free_port

# Number of processes that start at the same time. Each start takes most of a second of
# CPU time.
START_BATCH = 8
HOSTS_PER_SERVICE = 7
DOMAINS = tuple(f"region-{r}-domain-{d}" for r in "ab" for d in "1234")
MAX_SERVICES = 590
# Lowest port of the services. Each entry has its own loopback address and listens there
# on one port for each service.
FIRST_SERVICE_PORT = 12_000
# Lowest data port of the instances that are listed but not started. These ports are
# below the operating system's ephemeral ports.
FIRST_UNUSED_PORT = 14_000

ROUTES = [
    {"kind": "request", "path": "/"},
    {"kind": "request", "path": "/tickets", "repeatable": False},
    {"kind": "download", "path": "/statements", "deadline_ms": 60_000},
    {"kind": "feed", "path": "/readings"},
]


def running_plans(services: int) -> list[ServicePlan]:
    """Return the plans of services that have running hosts."""
    return [
        ServicePlan(f"service-{n}", n, HOSTS_PER_SERVICE, ROUTES)
        for n in range(1, services + 1)
    ]


def service_fields(number: int) -> dict[str, Any]:
    """Return a service of the configuration text, with explicit limits."""
    return {
        "number": number,
        "address": f"10.1.{number // 250}.{number % 250 + 1}:443",
        "routes": ROUTES,
        "limits": {"slots_per_host": 2, "deadline_ms": 10_000},
    }


class ControlFleet(Fleet):
    """A fleet that lists more instances and services than it runs."""

    def __init__(self, folder: Path, services: int) -> None:
        super().__init__(folder, running_plans(services), list(DOMAINS))
        self._unstarted: list[dict[str, Any]] = []
        self._changes = 0

    @property
    def hosts(self) -> list[Host]:
        """All started entries and agents."""
        return [*self.entries.values(), *self.agents.values()]

    @property
    def platform_port(self) -> int:
        """Port of the platform stand-in."""
        return self._platform_port

    async def start(self, entries: int) -> None:
        """Start the platform, then entries and agents in batches, without a fabric."""
        self._platform_port = free_port()
        await self._start_platform(self._platform_port)
        for name in self.services:
            self.addresses[name] = (ADDRESS, free_port(socket.SOCK_DGRAM))
        self.text = self._initial_text()
        await self.publish_text()
        await self.publish_list()
        to_start = [*[None] * entries]
        to_start += [p.name for p in self.services.values() for _ in range(p.hosts)]
        for first in range(0, len(to_start), START_BATCH):
            batch = [
                await self.add_agent(name, publish=False)
                if name
                else await self.add_entry(publish=False)
                for name in to_start[first : first + START_BATCH]
            ]
            await self.publish_list()
            for host in batch:
                await self.wait_ready(host)

    def pad(self, services: int, instances: int) -> None:
        """Extend the text and the list beyond the running processes.

        An unstarted instance has the mesh address of a running process. Otherwise peers
        would sample addresses at which nothing listens, and their messages would be
        missing from the measurement. One unstarted instance in seven is a leaving
        entry, which no agent probes.

        Args:
            services: Number of services in the text; the running services always stay.
            instances: Number of instances in the list; the running ones always stay.
        """
        running = len(self.services)
        for number in range(running + 1, services + 1):
            self.text["services"][f"service-{number}"] = service_fields(number)
        for number in list(self.text["services"])[max(services, running) :]:
            del self.text["services"][number]
        names = list(self.text["services"])[running:] or ["service-unstarted"]
        hosts = self.hosts
        self._unstarted = [
            self._unstarted_record(number, hosts[number % len(hosts)], names)
            for number in range(max(0, instances - len(hosts)))
        ]

    def published_list(self) -> str:
        """Return the instance list as it is published."""
        listed = [host.listed for host in self.hosts]
        return json.dumps(listed + self._unstarted)

    async def publish_list(self) -> int:
        """Publish the instance list and return its revision."""
        return await self.publish("instances", self.published_list())

    async def change_text(self) -> int:
        """Publish a text with one changed limit and return its revision."""
        self._changes += 1
        service = next(iter(self.text["services"].values()))
        service["limits"] = {"deadline_ms": 10_000 + self._changes}
        return await self.publish_text()

    async def change_list(self) -> int:
        """Publish a list with one changed record and return its revision."""
        self._changes += 1
        host = next(iter(self.agents.values()))
        domains = self.failure_domains
        host.listed["failure_domain"] = domains[self._changes % len(domains)]
        return await self.publish_list()

    async def add_entry(self, publish: bool = True) -> Host:
        """Start another entry, with an address for each service."""
        number = len(self.entries) + 1
        listed = self._new_record("entry", None)
        listen = {
            f"service-{n}": f"127.0.1.{number}:{FIRST_SERVICE_PORT + n}"
            for n in range(1, MAX_SERVICES + 1)
        }
        settings = self._settings(listed) | {
            "forwarding": {"listen": listen, "linger_seconds": 1.0}
        }
        host = await self._launch(listed, settings)
        self.entries[host.instance] = host
        return host

    async def close(self) -> None:
        """Stop everything that was started."""
        await asyncio.gather(*(host.kill() for host in self.hosts if host.process))
        await super().close()

    def _settings(self, listed: dict[str, Any]) -> dict[str, Any]:
        settings = super()._settings(listed)
        settings["platform"] = {"addresses": [self.platform_url]}
        return settings

    def _unstarted_record(
        self, number: int, host: Host, services: list[str]
    ) -> dict[str, Any]:
        record = host.listed | {
            "instance": f"unstarted-{number}",
            "data_port": FIRST_UNUSED_PORT + number,
        }
        if number % HOSTS_PER_SERVICE == 0:
            record.pop("service", None)
            return record | {"role": "entry", "state": "leaving"}
        service = services[number // HOSTS_PER_SERVICE % len(services)]
        return record | {"role": "agent", "service": service}

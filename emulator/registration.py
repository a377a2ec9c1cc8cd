"""What backend servers and the operator write to the catalog."""

import asyncio
import random
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

from msgspec.structs import replace

from balsamspool.kernel.clock import now
from balsamspool.plugins.catalog.model import (
    BackendServer,
    BackendState,
    RouteTable,
)
from emulator.backend_server import (
    APP_PORT,
    COLD_SECONDS,
    HEARTBEAT_SECONDS,
    EmulatedServer,
)
from emulator.catalog_history import ServerGone
from emulator.catalog_service import CatalogService
from emulator.history import DomainOut, Drained, History, RoutesChanged
from emulator.segment import endpoint

# The catalog drops a crashed backend server after it has missed this many heartbeats.
MISSED_HEARTBEATS_LIMIT = 3
# Longest time after a restore of the catalog until a backend server has written its
# entry again, and bounds of the time until the operator has written the route table.
REGISTRATION_SECONDS = 2.0
OPERATOR_SECONDS = (0.5, 4.0)

Spawn = Callable[[Coroutine[Any, Any, None]], object]


class Registration:
    """Writes entries and route tables, and writes them again after a restore.

    Args:
        catalog: Service that publishes the catalog.
        history: Records what the service accepted.
        servers: The running backend servers by name.
        spawn: Starts a task.
        rng: Random number generator.
    """

    def __init__(
        self,
        catalog: CatalogService,
        history: History,
        servers: Mapping[str, EmulatedServer],
        spawn: Spawn,
        rng: random.Random,
    ) -> None:
        self._catalog = catalog
        self._history = history
        self._servers = servers
        self._spawn = spawn
        self._rng = rng
        self._table: RouteTable | None = None
        # Failure domains that the operator wants out of service, by name.
        self._cordons: dict[str, DomainOut] = {}

    @property
    def cordons(self) -> set[str]:
        """Failure domains that the operator wants out of service."""
        return set(self._cordons)

    def publish_table(self, table: RouteTable) -> None:
        """Publish a route table."""
        self._table = table
        self._catalog.publish_routes(table)
        services = {
            endpoint((route.address, route.port)): frozenset(
                target.service for target in route.targets
            )
            for route in table.routes
        }
        self._history.routes.append(RoutesChanged(table.version, now(), services))

    def cordon(self, domain: str) -> None:
        """Take a failure domain out of service."""
        self._catalog.cordon_domain(domain)
        out = self._cordons[domain] = DomainOut(domain, now())
        self._history.domains_out.append(out)

    def uncordon(self, domain: str) -> None:
        """Take a failure domain back into service."""
        self._catalog.uncordon_domain(domain)
        self._cordons.pop(domain).until = now()

    def register(self, server: EmulatedServer) -> None:
        """Publish a backend server that has just started."""
        self._catalog.publish_server(_entry(server, COLD_SECONDS))
        self._spawn(self._register_as_warm(server))

    def report_draining(self, server: EmulatedServer) -> None:
        """Publish that a backend server drains."""
        self._catalog.publish_server(_entry(server, 0.0))
        available = self._catalog.available
        self._history.drained.append(Drained(server.plan.name, now(), available))

    def remove(self, name: str) -> None:
        """Remove a backend server from the catalog."""
        if name in self._catalog.servers:
            self._history.gone.append(ServerGone(name, now()))
        self._catalog.remove_server(name)

    async def remove_silent(self, name: str) -> None:
        """Remove a backend server that sends no heartbeats any more."""
        await asyncio.sleep(MISSED_HEARTBEATS_LIMIT * HEARTBEAT_SECONDS)
        self.remove(name)

    def write_again(self) -> None:
        """Start to write what the catalog has lost, each writer at its own time."""
        for server in list(self._servers.values()):
            delay = self._rng.uniform(0.0, REGISTRATION_SECONDS)
            self._spawn(self._register_again(server, delay))
        for name in self._catalog.servers:
            if name not in self._servers:
                self._spawn(self.remove_silent(name))
        delay = self._rng.uniform(*OPERATOR_SECONDS)
        self._spawn(self._publish_again(delay))

    async def _register_again(self, server: EmulatedServer, delay: float) -> None:
        await asyncio.sleep(delay)
        name = server.plan.name
        if self._catalog.away or self._servers.get(name) is not server:
            return
        listed = self._catalog.servers.get(name)
        current = _entry(server, max(0.0, COLD_SECONDS - (now() - server.started)))
        # An entry in which only the number of the report differs does not change.
        if listed is not None and _is_same(listed, current):
            return
        if server.draining:
            self.report_draining(server)
        else:
            self._catalog.publish_server(current)

    async def _publish_again(self, delay: float) -> None:
        await asyncio.sleep(delay)
        if self._catalog.away:
            return
        self._write_cordons_again()
        listed, newest = self._catalog.table, self._table
        if newest is None:
            return
        if listed is None or listed.version < newest.version:
            self.publish_table(newest)

    def _write_cordons_again(self) -> None:
        listed = self._catalog.cordons
        for domain in sorted(self._cordons.keys() - listed):
            self.uncordon(domain)
            self.cordon(domain)
        for domain in sorted(listed - self._cordons.keys()):
            self._catalog.uncordon_domain(domain)

    async def _register_as_warm(self, server: EmulatedServer) -> None:
        """Publish that a backend server is warm, once its cold phase has passed."""
        await asyncio.sleep(COLD_SECONDS)
        listed = self._catalog.servers.get(server.plan.name)
        if listed is None or listed.state is BackendState.DRAINING:
            return
        self._catalog.publish_server(
            replace(listed, warmup=0.0, sequence=server.next_report())
        )


def _entry(server: EmulatedServer, warmup: float) -> BackendServer:
    """Return what a backend server reports now.

    Args:
        server: The backend server.
        warmup: Seconds for which it stays slow, if it is not draining.
    """
    plan = server.plan
    return BackendServer(
        name=plan.name,
        service=plan.service,
        address=plan.address,
        port=APP_PORT,
        failure_domain=plan.failure_domain,
        slots=plan.slots,
        state=BackendState.DRAINING if server.draining else BackendState.READY,
        warmup=0.0 if server.draining else warmup,
        started_ms=int(server.started * 1000),
        sequence=server.next_report(),
    )


def _is_same(listed: BackendServer, current: BackendServer) -> bool:
    return (
        listed.state is current.state
        and (listed.warmup > 0.0) is (current.warmup > 0.0)
        and listed.started_ms == current.started_ms
    )

"""Applies the troubles of a run to a fleet."""

import asyncio

from balsamspool.kernel.clock import now
from balsamspool.plugins.catalog.model import Target
from emulator.backend_server import EmulatedServer, Grey, Healthy, Sluggish
from emulator.catalog_service import Condition, Serving, Silent
from emulator.fleet import Fleet
from emulator.network import Cut
from emulator.process import EmulatedProcess
from emulator.traffic import Traffic
from emulator.troubles import (
    AddEntry,
    Burst,
    CatalogTrouble,
    ChangeRoutes,
    CordonDomain,
    CrashServer,
    CutPath,
    DisconnectServer,
    DrainServer,
    ForgetHistory,
    KillAgent,
    KillAll,
    KillEntry,
    MisbehavingServer,
    PowerOff,
    ReplaceServer,
    RestoreCatalog,
    RollingRestart,
    Trouble,
)

# A draining backend server keeps serving for this long after its report.
DRAIN_SERVING_SECONDS = 3.5


async def apply_troubles(
    fleet: Fleet, traffic: Traffic, troubles: list[Trouble]
) -> None:
    """Apply each trouble at its time, while earlier troubles may still last."""
    begin = now()
    for trouble in troubles:
        await asyncio.sleep(max(0.0, begin + trouble.at - now()))
        fleet.spawn(_TroubleRunner(fleet, traffic).apply(trouble))


class _TroubleRunner:
    """Applies one trouble."""

    def __init__(self, fleet: Fleet, traffic: Traffic) -> None:
        self._fleet = fleet
        self._traffic = traffic
        self._rng = fleet.rng

    async def apply(self, trouble: Trouble) -> None:
        """Apply a trouble, and end it after its duration."""
        fleet = self._fleet
        match trouble:
            case KillEntry():
                await self._kill([self._rng.choice(fleet.entries)])
            case KillAgent():
                await self._kill([self._rng.choice(list(fleet.agents.values()))])
            case KillAll():
                await self._kill([*fleet.entries, *fleet.agents.values()])
            case PowerOff(seconds=seconds):
                await self._power_off(seconds)
            case RollingRestart(gap=gap):
                await self._restart_in_turn(gap)
            case AddEntry():
                await fleet.add_entry(self._rng.choice(fleet.plan.failure_domains))
            case CrashServer(returns_after=seconds):
                await self._crash(seconds)
            case DrainServer():
                await self._drain()
            case ReplaceServer():
                await self._replace()
            case MisbehavingServer(condition=condition, seconds=seconds):
                await self._misbehave(condition, seconds)
            case CatalogTrouble(condition=condition, seconds=seconds, share=share):
                await self._disturb_catalog(condition, seconds, share)
            case RestoreCatalog(age=age, away=away, watches=watches):
                fleet.catalog.waiting_watches = watches
                await fleet.restore_catalog(age, away)
            case ForgetHistory():
                fleet.catalog.forget_history()
            case CutPath(seconds=seconds, towards_server=towards_server):
                await self._cut(seconds, towards_server)
            case DisconnectServer(seconds=seconds):
                await self._disconnect(seconds)
            case ChangeRoutes():
                self._change_routes()
            case CordonDomain(position=position, seconds=seconds):
                domains = fleet.plan.failure_domains
                domain = domains[int(position * len(domains))]
                await fleet.cordon_domain(domain, seconds)
            case Burst(factor=factor, seconds=seconds):
                self._traffic.rate_factor = factor
                await asyncio.sleep(seconds)
                self._traffic.rate_factor = 1.0

    def _choose_server(self) -> EmulatedServer | None:
        """Return a random usable server of a service with more than two usable servers.

        Returns:
            The backend server, None if no service has more than two usable servers.
        """
        fleet = self._fleet
        usable = [s for s in fleet.servers.values() if not s.draining]
        spare = [
            s
            for s in usable
            if sum(o.plan.service == s.plan.service for o in usable) > 2
        ]
        return self._rng.choice(spare) if spare else None

    async def _kill(self, processes: list[EmulatedProcess]) -> None:
        machines = {process.address for process in processes}
        self._fleet.history.record_disturbance(machines, 1.0, now(), "kill")
        await asyncio.gather(*(self._fleet.restart(p) for p in processes))

    async def _power_off(self, seconds: float) -> None:
        fleet = self._fleet
        machines = {p.address for p in (*fleet.entries, *fleet.agents.values())}
        fleet.history.record_disturbance(machines, seconds, now(), "power")
        await fleet.power_off(seconds)

    async def _restart_in_turn(self, gap: float) -> None:
        for entry in list(self._fleet.entries):
            self._fleet.spawn(self._stop_and_start(entry))
            await asyncio.sleep(gap)

    async def _stop_and_start(self, entry: EmulatedProcess) -> None:
        await entry.terminate()
        await asyncio.sleep(0.5)
        if not entry.running:
            await entry.start()

    async def _crash(self, seconds: float | None) -> None:
        server = self._choose_server()
        if server is not None:
            machine = {server.plan.address}
            self._fleet.history.record_disturbance(
                machine, seconds or 4.0, now(), "crash"
            )
            await self._fleet.crash_server(server.plan.name, seconds)

    async def _drain(self) -> None:
        server = self._choose_server()
        if server is not None:
            await self._fleet.drain_server(server.plan.name, DRAIN_SERVING_SECONDS)

    async def _replace(self) -> None:
        server = self._choose_server()
        if server is None:
            return
        await self._fleet.drain_server(server.plan.name, DRAIN_SERVING_SECONDS)
        plan = server.plan
        other = [s for s in self._fleet.plan.services if s.name != plan.service]
        await asyncio.sleep(4.5)
        if other and not self._fleet.in_use(plan.address):
            await self._fleet.add_server(
                other[0].name, plan.failure_domain, plan.slots, plan.speed, plan.address
            )

    async def _misbehave(self, condition: Grey | Sluggish, seconds: float) -> None:
        server = self._choose_server()
        if server is not None:
            machine = {server.plan.address}
            self._fleet.history.record_disturbance(
                machine, seconds, now(), "misbehaviour"
            )
            server.condition = condition
            await asyncio.sleep(seconds)
            server.condition = Healthy()

    async def _disturb_catalog(
        self, condition: Condition, seconds: float, share: float
    ) -> None:
        catalog = self._fleet.catalog
        self._fleet.history.record_disturbance(set(), seconds, now(), "catalog")
        readers = [
            e.instance for e in self._fleet.entries if self._rng.random() < share
        ]
        if share < 1.0:
            catalog.conditions.update(dict.fromkeys(readers, condition))
        else:
            catalog.condition = condition
        if isinstance(condition, Silent):
            catalog.lose_calls(readers if share < 1.0 else None)
        await asyncio.sleep(seconds)
        for reader in readers:
            catalog.conditions.pop(reader, None)
        if share >= 1.0:
            catalog.condition = Serving()

    async def _cut(self, seconds: float, towards_server: bool) -> None:
        server = self._choose_server()
        if server is None:
            return
        entry = self._rng.choice(self._fleet.entries).address
        server_address = server.plan.address
        cut = (
            Cut(entry, server_address) if towards_server else Cut(server_address, entry)
        )
        self._fleet.history.record_disturbance(
            {entry, server_address}, seconds, now(), "cut"
        )
        self._fleet.network.cuts.add(cut)
        await asyncio.sleep(seconds)
        self._fleet.network.cuts.discard(cut)

    async def _disconnect(self, seconds: float) -> None:
        server = self._choose_server()
        if server is None:
            return
        address = server.plan.address
        self._fleet.history.record_disturbance({address}, seconds, now(), "dark")
        self._fleet.network.disconnected.add(address)
        await asyncio.sleep(seconds)
        self._fleet.network.disconnected.discard(address)

    def _change_routes(self) -> None:
        fleet = self._fleet
        names = list(fleet.routes)
        name = self._rng.choice(names)
        other = self._rng.choice(names)
        weights = (self._rng.randint(1, 9), self._rng.randint(1, 9))
        if fleet.routes[name] == (Target(name),) and other != name:
            fleet.routes[name] = (Target(name, weights[0]), Target(other, weights[1]))
        else:
            fleet.routes[name] = (Target(name),)
        fleet.publish_routes()

"""Applies the faults of a schedule to a running fleet."""

import asyncio
import contextlib
import signal
from asyncio import Lock, Task
from collections import defaultdict
from collections.abc import Iterable
from time import monotonic
from typing import assert_never

from faults.history import History, Stop
from faults.schedule import (
    CutInward,
    CutOutward,
    DrainHost,
    Fault,
    FreezeAgent,
    FreezeEntry,
    KillAgent,
    KillEntry,
    PlatformDown,
    PlatformRollback,
    PoorFabric,
    RaceTexts,
    StopAgents,
    StopEntry,
)
from faults.step import Step
from standins.fabric import Fabric, Faults
from standins.fleet import Fleet, Host

# Time for which the fabric still sends datagrams to an entry that is killed or stopped.
FABRIC_LAG_SECONDS = 0.5
# Idle timeout of connections. A leaving agent whose caller disappeared without closing
# its connection waits for this timeout before it stops.
IDLE_SECONDS = 10.0
# Length of the log excerpt that is recorded for a planned stop that failed.
LOG_TAIL_BYTES = 4000
# Time limit for the planned stop of an agent, counted from the end of the agent's
# feeds.
STOP_TIMEOUT_SECONDS = 2 * IDLE_SECONDS


class Injector:
    """Applies faults. Kills, freezes and starts of the same host run one at a time.

    Args:
        fleet: The running fleet.
        history: Where planned stops and kills are recorded.
    """

    __slots__ = ("_entries", "_fleet", "_history", "_leaving", "_locks", "_stopping")

    def __init__(self, fleet: Fleet, history: History) -> None:
        self._fleet = fleet
        self._history = history
        self._entries = list(fleet.entries.values())
        self._locks: dict[str, Lock] = defaultdict(Lock)
        self._leaving: set[str] = set()
        # A stopping agent waits for its feeds to end, so its stop takes longer than the
        # other faults.
        self._stopping: list[Task[None]] = []

    async def run(self, steps: Iterable[Step]) -> None:
        """Apply all faults and wait until all have ended except for stops of agents."""
        started_at = monotonic()
        async with asyncio.TaskGroup() as group:
            for step in steps:
                await asyncio.sleep(max(0.0, started_at + step.at - monotonic()))
                self._history.faults.append(f"{monotonic():.2f} {step.fault}")
                group.create_task(self._apply(step.fault))

    async def finish(self) -> None:
        """Wait until all stopped agents, whose feeds must have ended, run again."""
        if self._stopping:
            _, unfinished = await asyncio.wait(
                self._stopping, timeout=STOP_TIMEOUT_SECONDS
            )
            for task in unfinished:
                task.cancel()
            await asyncio.gather(*self._stopping)

    async def _apply(self, fault: Fault) -> None:
        match fault:
            case KillEntry(number, seconds):
                await self._kill_entry(self._entries[number], seconds)
            case KillAgent(number, seconds):
                await self._kill_agent(self._agent(number), seconds)
            case FreezeEntry(number, seconds):
                await self._freeze(self._entries[number], seconds)
            case FreezeAgent(number, seconds):
                await self._freeze(self._agent(number), seconds)
            case StopEntry(number):
                await self._replace_entry(self._entries[number])
            case StopAgents(numbers):
                for number in numbers:
                    work = self._stop_agent(self._agent(number))
                    self._stopping.append(asyncio.create_task(work))
            case CutInward(number, seconds):
                await self._block_datagrams(number, seconds, inward=True)
            case CutOutward(number, seconds):
                await self._block_datagrams(number, seconds, inward=False)
            case PoorFabric(share, seconds):
                await self._degrade_fabric(share, seconds)
            case PlatformDown(seconds):
                await self._take_platform_down(seconds)
            case PlatformRollback(revisions, seconds):
                await self._roll_back_platform(revisions, seconds)
            case RaceTexts(queues):
                await asyncio.gather(*(self._publish_queue(queue) for queue in queues))
            case DrainHost(number, seconds):
                await self._drain(self._agent(number), seconds)
            case _:
                assert_never(fault)

    def _agent(self, number: int) -> Host:
        return list(self._fleet.agents.values())[number]

    async def _kill_entry(self, entry: Host, seconds: float) -> None:
        async with self._locks[entry.instance]:
            await entry.kill()
            await asyncio.sleep(FABRIC_LAG_SECONDS)
            self._set_entry_used(entry, False)
            await asyncio.sleep(seconds)
            await self._fleet.restart(entry)
            self._set_entry_used(entry, True)

    async def _kill_agent(self, agent: Host, seconds: float) -> None:
        async with self._locks[agent.instance]:
            # A leaving agent is not killed, because the kill would hide a failure of
            # its planned stop.
            if agent.instance in self._leaving:
                return
            self._history.killed.add(agent.instance)
            await agent.kill()
            await asyncio.sleep(seconds)
            await self._fleet.restart(agent)

    async def _freeze(self, host: Host, seconds: float) -> None:
        async with self._locks[host.instance]:
            # A leaving process may have exited already.
            with contextlib.suppress(ProcessLookupError):
                host.send_signal(signal.SIGSTOP)
                await asyncio.sleep(seconds)
                host.send_signal(signal.SIGCONT)

    async def _replace_entry(self, entry: Host) -> None:
        # Entries are replaced one at a time, as operators do it.
        async with self._locks["replacement"], self._locks[entry.instance]:
            stopping = asyncio.create_task(self._stop(entry))
            await asyncio.sleep(FABRIC_LAG_SECONDS)
            self._set_entry_used(entry, False)
            await stopping
            await self._fleet.restart(entry)
            self._set_entry_used(entry, True)

    async def _stop_agent(self, agent: Host) -> None:
        async with self._locks[agent.instance]:
            if agent.instance in self._leaving:
                return
            self._leaving.add(agent.instance)
        await self._stop(agent)
        async with self._locks[agent.instance]:
            await self._fleet.restart(agent)
            self._leaving.discard(agent.instance)

    async def _stop(self, host: Host) -> None:
        assert host.process is not None
        host.send_signal(signal.SIGTERM)
        code = None
        try:
            code = await host.process.wait()
        except asyncio.CancelledError:
            await host.kill()
        self._history.stops.append(Stop(host.instance, code))
        if code != 0:
            self._history.faults.append(host.log_path.read_text()[-LOG_TAIL_BYTES:])

    async def _block_datagrams(
        self, number: int, seconds: float, *, inward: bool
    ) -> None:
        for fabric in self._fabrics():
            self._blocked_addresses(fabric, inward).add(self._address(number, fabric))
        await asyncio.sleep(seconds)
        for fabric in self._fabrics():
            self._blocked_addresses(fabric, inward).discard(
                self._address(number, fabric)
            )

    async def _degrade_fabric(self, share: float, seconds: float) -> None:
        self._set_fault_share(share)
        await asyncio.sleep(seconds)
        self._set_fault_share(0.0)

    async def _take_platform_down(self, seconds: float) -> None:
        platform = self._fleet.platform
        platform.down = True
        await platform.wake()
        await asyncio.sleep(seconds)
        platform.down = False
        await platform.wake()

    async def _roll_back_platform(self, revisions: int, seconds: float) -> None:
        platform = self._fleet.platform
        for number in range(revisions):
            # The number of revisions published here equals the number hidden below, so
            # that the revision before them stays visible.
            await self._publish_queue(40 + number)
        platform.hidden_revisions = {"configuration": revisions, "instances": 0}
        await platform.wake()
        await asyncio.sleep(seconds)
        platform.hidden_revisions = {}
        await platform.wake()

    async def _publish_queue(self, queue: int) -> None:
        for service in self._fleet.text["services"].values():
            limits = service.get("limits", {})
            service["limits"] = limits | {"queue_per_host": queue}
        await self._fleet.publish_text()

    async def _drain(self, agent: Host, seconds: float) -> None:
        text, name = self._fleet.text, agent.instance
        text["draining_hosts"] = [*text.get("draining_hosts", []), name]
        await self._fleet.publish_text()
        await asyncio.sleep(seconds)
        text["draining_hosts"].remove(name)
        await self._fleet.publish_text()

    def _fabrics(self) -> list[Fabric]:
        return list(self._fleet.fabrics.values())

    def _address(self, number: int, fabric: Fabric) -> tuple[str, int]:
        name = next(n for n, f in self._fleet.fabrics.items() if f is fabric)
        return self._fleet.entry_addresses(name)[number]

    def _blocked_addresses(self, fabric: Fabric, inward: bool) -> set[tuple[str, int]]:
        return fabric.unreachable if inward else fabric.blocked_senders

    def _set_fault_share(self, share: float) -> None:
        for fabric in self._fabrics():
            for faults in (fabric.inward_faults, fabric.outward_faults):
                _set_share(faults, share)

    def _set_entry_used(self, entry: Host, used: bool) -> None:
        number = self._entries.index(entry)
        for fabric in self._fabrics():
            address = self._address(number, fabric)
            others = [known for known in fabric.entries if known != address]
            fabric.entries = [*others, address] if used else others


def _set_share(faults: Faults, share: float) -> None:
    faults.loss = faults.duplication = faults.reordering = share

"""Runs one seed: puts a fleet under load and injects the faults of the schedule."""

import asyncio
from asyncio import Task
from time import monotonic

from faults.apply import IDLE_SECONDS, Injector
from faults.callers import Caller, follow_feed
from faults.history import Feed, History, HostState, Run
from faults.schedule import Schedule, make_schedule
from standins.fleet import Fleet, Host, ServicePlan, run_fleet

SLOTS_PER_HOST = 2
ENTRIES = 2
CALLERS_PER_SERVICE = 6
LOAD_SECONDS = 7.0
# Time after which the runner stops waiting for the recovery of the services.
RECOVERY_TIMEOUT_SECONDS = 20.0
# Time between the end of the load and the recording of the executions. A request that
# was reported as "not run" and still runs in this time is a violation.
SETTLE_SECONDS = 2.0
ROUTES = [
    {"kind": "feed", "path": "/feeds"},
    {"kind": "download", "path": "/files"},
    {"kind": "request", "path": "/tickets", "repeatable": False},
    {"kind": "request", "path": "/"},
]
OPTIONS = {"limits": {"slots_per_host": SLOTS_PER_HOST, "deadline_ms": 8000}}


async def run_seed(seed: int) -> History:
    """Run the schedule of a seed and return what was observed."""
    plans = [
        ServicePlan("portal", 1, 3, ROUTES, OPTIONS),
        ServicePlan("records", 2, 2, ROUTES, OPTIONS),
    ]
    settings = {"frontend": {"idle_seconds": IDLE_SECONDS}}
    async with run_fleet(plans, ENTRIES, extra_settings=settings) as fleet:
        schedule = make_schedule(seed, ENTRIES, _agents_by_service(fleet))
        return await _Runner(fleet, schedule).run()


class _Runner:
    __slots__ = ("_feed_stop_event", "_fleet", "_history", "_schedule")

    def __init__(self, fleet: Fleet, schedule: Schedule) -> None:
        self._fleet = fleet
        self._schedule = schedule
        self._history = History(schedule.planned)
        self._feed_stop_event = asyncio.Event()

    async def run(self) -> History:
        for host in self._fleet.agents.values():
            assert host.backend_server is not None
            # The stand-in has far more slots than the agent may use. With only as many
            # slots, the stand-in would hide an agent that exceeds its limit.
            host.backend_server.behaviour.slots = 1000
        feeds = self._open_feeds()
        await asyncio.sleep(0.5)
        injector = Injector(self._fleet, self._history)
        until = monotonic() + LOAD_SECONDS
        load = [asyncio.create_task(c.run(until)) for c in self._callers()]
        await injector.run(self._schedule.steps)
        faults_ended_at = monotonic()
        for feed in self._history.feeds:
            feed.count_at_fault_end = len(feed.messages)
        await self._recover(faults_ended_at)
        await asyncio.gather(*load)
        self._feed_stop_event.set()
        await asyncio.gather(*feeds, return_exceptions=True)
        await injector.finish()
        await asyncio.sleep(SETTLE_SECONDS)
        await self._record_hosts()
        return self._history

    def _callers(self) -> list[Caller]:
        return [
            Caller(f"{service}-{number}", address, self._history, self._schedule.seed)
            for service, address in self._fleet.addresses.items()
            for number in range(CALLERS_PER_SERVICE)
        ]

    def _open_feeds(self) -> list[Task[None]]:
        tasks = []
        for service, address in self._fleet.addresses.items():
            for number in range(4):
                feed = Feed(f"{service}-{number}")
                self._history.feeds.append(feed)
                work = follow_feed(feed, address, self._feed_stop_event)
                tasks.append(asyncio.create_task(work))
        return tasks

    async def _recover(self, faults_ended_at: float) -> None:
        for service, address in self._fleet.addresses.items():
            probe = Caller(f"{service}-probe", address, History(planned=False), 0)
            while not await probe.send_plain():
                await probe.disconnect()
                if monotonic() - faults_ended_at > RECOVERY_TIMEOUT_SECONDS:
                    return
                await asyncio.sleep(0.1)
            await probe.disconnect()
        self._history.recovery_seconds = monotonic() - faults_ended_at

    async def _record_hosts(self) -> None:
        for host in self._fleet.agents.values():
            server = host.backend_server
            assert server is not None
            usable_slots = await self._usable_slots(host)
            self._history.hosts.append(
                HostState(host.instance, SLOTS_PER_HOST, usable_slots, server.peak_busy)
            )
            self._history.runs += [
                Run(run.request_id, server.name, run.start) for run in server.executions
            ]

    async def _usable_slots(self, host: Host) -> int:
        status = await self._fleet.status(host)
        admission = status["plugins"]["admission"]
        return admission["usable"] - admission["busy"] - admission["queued"]


def _agents_by_service(fleet: Fleet) -> dict[str, list[int]]:
    agents = list(fleet.agents.values())
    return {
        name: [n for n, agent in enumerate(agents) if agent.listed["service"] == name]
        for name in fleet.services
    }

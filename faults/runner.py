"""Runs one seed: a fleet under load, the faults of its schedule, then the checks."""

import asyncio
from asyncio import Task
from time import monotonic

from faults.apply import IDLE_SECONDS, Injector
from faults.callers import Caller, follow_feed
from faults.history import Feed, History, HostEnd, Run
from faults.schedule import Schedule, make_schedule
from standins.fleet import Fleet, Host, ServicePlan, run_fleet

SLOTS = 2
ENTRIES = 2
CALLERS_PER_SERVICE = 6
LOAD_SECONDS = 7.0
# The longest time that is granted before an answer is missing for good.
RECOVERY_LIMIT = 20.0
# Requests that were told "not run" must not run after this time either.
SETTLE_SECONDS = 2.0
ROUTES = [
    {"kind": "feed", "path": "/feeds"},
    {"kind": "download", "path": "/files"},
    {"kind": "request", "path": "/tickets", "repeatable": False},
    {"kind": "request", "path": "/"},
]
OPTIONS = {"limits": {"slots_per_host": SLOTS, "deadline_ms": 8000}}


async def run_seed(seed: int) -> History:
    """Run the schedule of a seed and return what was seen."""
    plans = [
        ServicePlan("portal", 1, 3, ROUTES, OPTIONS),
        ServicePlan("records", 2, 2, ROUTES, OPTIONS),
    ]
    settings = {"frontend": {"idle_seconds": IDLE_SECONDS}}
    async with run_fleet(plans, ENTRIES, extra_settings=settings) as fleet:
        schedule = make_schedule(seed, ENTRIES, _hosts(fleet))
        return await _Runner(fleet, schedule).run()


class _Runner:
    __slots__ = ("_feeds_end", "_fleet", "_history", "_schedule")

    def __init__(self, fleet: Fleet, schedule: Schedule) -> None:
        self._fleet = fleet
        self._schedule = schedule
        self._history = History(schedule.planned)
        self._feeds_end = asyncio.Event()

    async def run(self) -> History:
        for host in self._fleet.agents.values():
            assert host.backend_server is not None
            # The stand-in must not hide an agent that passes the limit.
            host.backend_server.behaviour.slots = 1000
        feeds = self._open_feeds()
        await asyncio.sleep(0.5)
        injector = Injector(self._fleet, self._history)
        until = monotonic() + LOAD_SECONDS
        load = [asyncio.create_task(c.run(until)) for c in self._callers()]
        await injector.run(self._schedule.steps)
        ended = monotonic()
        for feed in self._history.feeds:
            feed.before_end = len(feed.messages)
        await self._recover(ended)
        await asyncio.gather(*load)
        self._feeds_end.set()
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
                work = follow_feed(feed, address, self._feeds_end)
                tasks.append(asyncio.create_task(work))
        return tasks

    async def _recover(self, ended: float) -> None:
        for service, address in self._fleet.addresses.items():
            probe = Caller(f"{service}-probe", address, History(planned=False), 0)
            while not await probe.ask_plain():
                await probe.hang_up()
                if monotonic() - ended > RECOVERY_LIMIT:
                    return
                await asyncio.sleep(0.1)
            await probe.hang_up()
        self._history.recovered_after = monotonic() - ended

    async def _record_hosts(self) -> None:
        for host in self._fleet.agents.values():
            server = host.backend_server
            assert server is not None
            usable = await self._usable(host)
            self._history.hosts.append(
                HostEnd(host.instance, SLOTS, usable, server.peak_busy)
            )
            self._history.runs += [
                Run(run.request_id, server.name, run.start) for run in server.executions
            ]

    async def _usable(self, host: Host) -> int:
        status = await self._fleet.status(host)
        admission = status["plugins"]["admission"]
        return admission["usable"] - admission["busy"] - admission["queued"]


def _hosts(fleet: Fleet) -> dict[str, list[int]]:
    agents = list(fleet.agents.values())
    return {
        name: [n for n, agent in enumerate(agents) if agent.listed["service"] == name]
        for name in fleet.services
    }

"""A leaving backend server gets no new work after a few seconds.

The bound is 3 s after the agent knows that it leaves: the agent itself refuses new work
at once, and a request that was queued before is dispatched for at most 2 s more
(`LEAVING_GRACE_SECONDS`). The rest is room for the poll of a busy machine.
"""

import asyncio
import json
import signal
import time
from unittest import IsolatedAsyncioTestCase

from aiohttp import ClientError

from balsamspool.plugins.admission.policy import RelayPolicy
from balsamspool.plugins.membership import MembershipPlugin
from balsamspool.plugins.relay import RelayPlugin
from balsamspool.requests.relay import PeerLoad
from standins.caller import H3_REQUEST_REJECTED, ConnectionLost, open_caller
from standins.fleet import ServicePlan, run_fleet
from tests.fleet_tools import agents_of, ask, eventually
from tests.frontend_case import FrontendCase

ROUTES = [{"kind": "feed", "path": "/feed"}, {"kind": "request", "path": "/"}]
BOUND_SECONDS = 3.0
WAYS = ("text", "list", "signal", "backend")


async def ended(answer):
    return answer.whole or answer.cut


class LeavingTest(IsolatedAsyncioTestCase):
    """Four hosts of a fleet leave, each in another way, and the fifth one stays."""

    async def asyncSetUp(self):
        plan = ServicePlan("portal", 1, len(WAYS) + 1, ROUTES)
        self.fleet = await self.enterAsyncContext(run_fleet([plan]))
        *leavers, self.peer = agents_of(self.fleet, "portal")
        self.leavers = dict(zip(WAYS, leavers, strict=True))
        self.callers = {}

    async def open_at_each(self):
        """Open a connection with a feed at every leaver."""
        for _ in range(80):
            if len(self.callers) == len(WAYS):
                return
            context = open_caller(*self.fleet.addresses["portal"])
            caller = await context.__aenter__()
            self.addAsyncCleanup(context.__aexit__, None, None, None)
            answer = await caller.request("GET", "/any?id=where")
            server = json.loads(bytes(answer.body))["server"]
            for way, host in self.leavers.items():
                if server == host.instance and way not in self.callers:
                    _, feed = caller.start("GET", "/feed")
                    self.callers[way] = (caller, feed)
                    await eventually(lambda f=feed: self.is_open(f))
        self.fail(f"flows opened only at {self.callers.keys()}")

    async def is_open(self, feed):
        self.assertIn(feed.status, (0, 200))
        return feed.status == 200

    async def leave(self):
        """Let each host leave in its way and wait until all agents know."""
        self.fleet.text["draining_hosts"] = [self.leavers["text"].instance]
        await self.fleet.publish_text()
        # The record of the host that is stopped by a signal stays live in the list.
        self.leavers["list"].listed["state"] = "leaving"
        await self.fleet.publish_list()
        self.leavers["signal"].send_signal(signal.SIGTERM)
        self.leavers["backend"].backend_server.behaviour.draining = True
        for way, host in self.leavers.items():
            await eventually(lambda w=way, h=host: self.knows(w, h))
        return time.monotonic()

    async def knows(self, way, host):
        try:
            status = await self.fleet.status(host)
        except ClientError:
            return way == "signal"  # it had no connection and has ended
        if way == "backend":
            return status["plugins"]["backend"]["draining"]
        return status["plugins"]["frontend"]["leaving"]

    async def check_work(self, known_at):
        """Send work until the bound has passed and see where it runs."""
        while time.monotonic() < known_at + BOUND_SECONDS + 0.7:
            found = await asyncio.gather(
                ask(self.fleet, "portal", "/any?id=new-flow"),
                *(self.ask_open(caller) for caller, _ in self.callers.values()),
            )
            self.assertEqual(found[0], (200, self.peer.instance))
            self.assertLessEqual(set(found[1:]), {200, "rejected"})
            await asyncio.sleep(0.1)
        for way, host in self.leavers.items():
            starts = [e.start for e in host.backend_server.executions]
            late = [s for s in starts if s > known_at + BOUND_SECONDS]
            self.assertEqual(late, [], way)

    async def ask_open(self, caller):
        """Send a request over a connection whose caller ignores GOAWAY."""
        try:
            answer = await caller.request("GET", "/any?id=open-flow", timeout=5)
        except ConnectionLost:
            return "rejected"  # after the second GOAWAY, so it was not run
        return answer.status

    async def check_feeds(self):
        sizes = {way: len(feed.body) for way, (_, feed) in self.callers.items()}
        await asyncio.sleep(0.5)
        for way, (_, feed) in self.callers.items():
            self.assertFalse(feed.cut, way)
            self.assertGreater(len(feed.body), sizes[way], way)

    async def test_open_connections_and_load_that_misleads(self):
        """Guards against work at a leaving host for callers that ignore GOAWAY."""
        await self.open_at_each()
        for host in self.leavers.values():
            host.backend_server.behaviour.reported_busy = 0
        self.peer.backend_server.behaviour.reported_busy = 2
        await self.check_work(await self.leave())
        await self.check_feeds()

    async def test_entry_resumes_with_an_old_view_while_the_platform_is_down(self):
        """Guards against an outdated entry that brings work to a leaving host."""
        frozen = next(iter(self.fleet.entries.values()))
        fabric = self.fleet.fabrics["portal"]
        old, *live = fabric.entries
        frozen.send_signal(signal.SIGSTOP)
        fabric.entries = live
        known_at = await self.leave()
        self.fleet.platform.down = True
        await self.fleet.platform.wake()
        await asyncio.sleep(1.5)
        frozen.send_signal(signal.SIGCONT)
        fabric.entries = [old]
        await self.check_work(known_at)

    def check_told_not_run(self, answer):
        # Before the second GOAWAY the host answers; after it, it resets the stream with
        # the code by which HTTP/3 states that nothing was processed (RFC 9114, 4.1.1).
        if answer.cut:
            self.assertEqual(answer.reset_code, H3_REQUEST_REJECTED)
            return
        self.assertEqual(answer.status, 503)
        self.assertEqual(json.loads(bytes(answer.body))["outcome"], "not-run")

    async def test_last_host_answers_not_run(self):
        """Guards against a last host that runs work or leaves callers in doubt."""
        await self.open_at_each()
        caller, _ = self.callers["backend"]
        self.peer.backend_server.behaviour.draining = True
        await eventually(lambda: self.knows("backend", self.peer))
        known_at = await self.leave()
        await asyncio.sleep(max(0.0, known_at + BOUND_SECONDS - time.monotonic()))
        _, answer = caller.start("GET", "/any?id=late")
        await eventually(lambda: ended(answer))
        self.check_told_not_run(answer)
        await self.check_feeds()
        for host in self.fleet.agents.values():
            self.assertNotIn("late", host.backend_server.executed)


class RelayPeersTest(FrontendCase):
    async def test_peers_without_a_report_take_requests(self):
        """Guards against "no host" before the first load reports, or after a pause."""
        agent = await self.open_agent()
        relay = agent.kernel.plugin(RelayPlugin)
        record = {
            "instance": "agent-2",
            "role": "agent",
            "state": "live",
            "failure_domain": "hall-a",
            "address": "127.0.0.1",
            "data_port": 4011,
            "peer_port": 4012,
            "admin_port": 4013,
            "service": "portal",
        }
        await relay.start()
        membership = agent.kernel.plugin(MembershipPlugin)
        membership.receive(1, json.dumps([record]))
        match RelayPolicy().choose(relay.peers()):
            case PeerLoad(instance="agent-2"):
                pass
            case other:
                self.fail(f"no peer was found: {other}")
        self.assertIsNone(RelayPolicy().choose_less_loaded(100.0, relay.peers()))

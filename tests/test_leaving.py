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

from balsamspool.plugins.admission.policy import RelayPolicy
from balsamspool.plugins.membership import MembershipPlugin
from balsamspool.plugins.relay import RelayPlugin
from balsamspool.requests.relay import PeerLoad
from standins.caller import ConnectionLost, open_caller
from standins.fleet import ServicePlan, run_fleet
from tests.fleet_tools import agents_of, ask, eventually
from tests.frontend_case import FrontendCase

PORTAL = ServicePlan(
    "portal",
    1,
    2,
    [{"kind": "feed", "path": "/feed"}, {"kind": "request", "path": "/"}],
)
BOUND_SECONDS = 3.0
WAYS = ("text", "list", "signal", "backend")


class LeavingCase(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = await self.enterAsyncContext(run_fleet([PORTAL]))
        self.leaver, self.peer = agents_of(self.fleet, "portal")
        self.stopping = None

    async def asyncTearDown(self):
        if self.stopping is not None:
            self.stopping.cancel()

    async def leave(self, way, host=None):
        """Make a host leave in one of the ways and wait until its agent knows."""
        host = host or self.leaver
        match way:
            case "text":
                names = self.fleet.text.setdefault("draining_hosts", [])
                names.append(host.instance)
                await self.fleet.publish_text()
            case "list":
                host.listed["state"] = "leaving"
                await self.fleet.publish_list()
            case "signal":
                host.send_signal(signal.SIGTERM)
            case "backend":
                host.backend_server.behaviour.draining = True
        await eventually(lambda: self.knows(way, host))
        return time.monotonic()

    async def knows(self, way, host):
        status = await self.fleet.status(host)
        if way == "backend":
            return status["plugins"]["backend"]["draining"]
        return status["plugins"]["frontend"]["leaving"]

    async def open_at(self, host, stack=None):
        """Open connections until one ends at a host, and return that one."""
        for _ in range(40):
            context = open_caller(*self.fleet.addresses["portal"])
            caller = await context.__aenter__()
            answer = await caller.request("GET", "/any?id=where")
            if host.instance.encode() in answer.body:
                self.addAsyncCleanup(context.__aexit__, None, None, None)
                return caller
            await context.__aexit__(None, None, None)
        raise AssertionError(f"no flow opened at {host.instance}")

    def started_after(self, host, at):
        return [e.request_id for e in host.backend_server.executions if e.start > at]

    async def check_no_new_work(self, known_at, caller=None):
        """Send work past the bound and see where it runs."""
        while time.monotonic() < known_at + BOUND_SECONDS + 1:
            status, server = await ask(self.fleet, "portal", "/any?id=new-flow")
            self.assertEqual((status, server), (200, self.peer.instance))
            if caller is not None and not caller.lost:
                answer = await caller.request("GET", "/any?id=open-flow")
                self.assertEqual(answer.status, 200)
            await asyncio.sleep(0.1)
        late = self.started_after(self.leaver, known_at + BOUND_SECONDS)
        self.assertEqual(late, [])


class WaysTest(LeavingCase):
    async def check_way(self, way):
        caller = await self.open_at(self.leaver)
        _, feed = caller.start("GET", "/feed")
        await asyncio.sleep(0.3)
        self.leaver.backend_server.behaviour.reported_busy = 0
        self.peer.backend_server.behaviour.reported_busy = 2
        known_at = await self.leave(way)
        # The caller keeps its connection because of the feed and ignores GOAWAY.
        while time.monotonic() < known_at + BOUND_SECONDS + 1:
            status, server = await ask(self.fleet, "portal", "/any?id=new-flow")
            self.assertEqual((status, server), (200, self.peer.instance))
            try:
                answer = await caller.request("GET", "/any?id=open-flow", timeout=3)
                self.assertEqual(answer.status, 200, answer.body)
            except ConnectionLost:
                pass  # rejected after the second GOAWAY, so it was not run
            await asyncio.sleep(0.1)
        late = self.started_after(self.leaver, known_at + BOUND_SECONDS)
        self.assertEqual(late, [])
        size = len(feed.body)
        await asyncio.sleep(0.5)
        self.assertGreater(len(feed.body), size)
        self.assertFalse(feed.cut)

    async def test_text(self):
        """Guards against work at a host that the text drains; its load report lies."""
        await self.check_way("text")

    async def test_list(self):
        """Guards against work at a host that the platform is about to stop."""
        await self.check_way("list")

    async def test_signal_with_a_lagging_list(self):
        """Guards against work at a stopping host that is still listed as live."""
        await self.check_way("signal")

    async def test_backend_server(self):
        """Guards against work at a backend server that says it is draining."""
        await self.check_way("backend")


class FaultsTest(LeavingCase):
    async def test_entry_resumes_with_an_old_view_and_platform_down(self):
        """Guards against an outdated entry that brings work to a leaving host."""
        for way in ("text", "backend"):
            frozen = next(iter(self.fleet.entries.values()))
            frozen.send_signal(signal.SIGSTOP)
            fabric = self.fleet.fabrics["portal"]
            every = list(fabric.entries)
            fabric.entries = every[1:]
            known_at = await self.leave(way)
            self.fleet.platform.down = True
            await self.fleet.platform.wake()
            await asyncio.sleep(1.5)
            frozen.send_signal(signal.SIGCONT)
            fabric.entries = every[:1]
            await self.check_no_new_work(known_at)
            fabric.entries = every
            self.fleet.platform.down = False
            await self.fleet.platform.wake()
            if way == "text":
                self.fleet.text["draining_hosts"] = []
                await self.fleet.publish_text()

                async def back():
                    return not await self.knows("text", self.leaver)

                await eventually(back)

    async def test_last_host_answers_not_run(self):
        """Guards against a last host that runs work or leaves callers in doubt."""
        caller = await self.open_at(self.leaver)
        _, feed = caller.start("GET", "/feed")
        await self.leave("backend", self.peer)
        known_at = await self.leave("backend")
        await asyncio.sleep(max(0.0, known_at + BOUND_SECONDS - time.monotonic()))
        answer = await caller.request("GET", "/any?id=late")
        self.assertEqual(answer.status, 503)
        self.assertIn(b'"not-run"', answer.body.replace(b" ", b""))
        size = len(feed.body)
        await asyncio.sleep(0.5)
        self.assertGreater(len(feed.body), size)
        for host in (self.leaver, self.peer):
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
        match RelayPolicy().any(relay.peers()):
            case PeerLoad(instance="agent-2"):
                pass
            case other:
                self.fail(f"no peer was found: {other}")
        self.assertIsNone(RelayPolicy().lighter(100.0, relay.peers()))

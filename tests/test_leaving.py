"""A leaving backend server gets no new requests after a few seconds.

The limit is 3 s after the agent knows that it is leaving. The agent refuses new
requests immediately and dispatches requests that are already queued for at most 2 s
(`LEAVING_GRACE_SECONDS`). The remaining time allows for delayed polls on a
busy machine.
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
from tests.fleet_tools import agents_of, eventually, send_request
from tests.frontend_case import FrontendCase

ROUTES = [{"kind": "feed", "path": "/feed"}, {"kind": "request", "path": "/"}]
LIMIT_SECONDS = 3.0
CAUSES = ("text", "list", "signal", "backend")


async def is_finished(answer):
    return answer.whole or answer.cut


class LeavingTest(IsolatedAsyncioTestCase):
    """Four hosts of a fleet leave, each for a different cause, and a fifth stays."""

    async def asyncSetUp(self):
        plan = ServicePlan("portal", 1, len(CAUSES) + 1, ROUTES)
        self.fleet = await self.enterAsyncContext(run_fleet([plan]))
        *leavers, self.peer = agents_of(self.fleet, "portal")
        self.leavers = dict(zip(CAUSES, leavers, strict=True))
        self.callers = {}

    async def open_feeds(self):
        """Open a connection with a feed at every leaver."""
        for _ in range(80):
            if len(self.callers) == len(CAUSES):
                return
            context = open_caller(*self.fleet.addresses["portal"])
            caller = await context.__aenter__()
            self.addAsyncCleanup(context.__aexit__, None, None, None)
            answer = await caller.request("GET", "/any?id=where")
            server = json.loads(bytes(answer.body))["server"]
            for cause, host in self.leavers.items():
                if server == host.instance and cause not in self.callers:
                    _, feed = caller.start("GET", "/feed")
                    self.callers[cause] = (caller, feed)
                    await eventually(lambda f=feed: self.is_feed_open(f))
        self.fail(f"flows opened only at {self.callers.keys()}")

    async def is_feed_open(self, feed):
        self.assertIn(feed.status, (0, 200))
        return feed.status == 200

    async def leave(self):
        """Make each host leave for its cause and wait until all of them know."""
        self.fleet.text["draining_hosts"] = [self.leavers["text"].instance]
        await self.fleet.publish_text()
        # Only the host "list" is listed as leaving. The list still shows the host that
        # is stopped by a signal as "live".
        self.leavers["list"].listed["state"] = "leaving"
        await self.fleet.publish_list()
        self.leavers["signal"].send_signal(signal.SIGTERM)
        self.leavers["backend"].backend_server.behaviour.draining = True
        for cause, host in self.leavers.items():
            await eventually(lambda c=cause, h=host: self.knows_it_leaves(c, h))
        return time.monotonic()

    async def knows_it_leaves(self, cause, host):
        try:
            status = await self.fleet.status(host)
        except ClientError:
            return cause == "signal"  # the host had no open connection and stopped
        if cause == "backend":
            return status["plugins"]["backend"]["draining"]
        return status["plugins"]["frontend"]["leaving"]

    async def check_requests(self, known_at):
        """Send requests until the limit has passed and check where they run."""
        while time.monotonic() < known_at + LIMIT_SECONDS + 0.7:
            found = await asyncio.gather(
                send_request(self.fleet, "portal", "/any?id=new-flow"),
                *(self.request_on_open(caller) for caller, _ in self.callers.values()),
            )
            self.assertEqual(found[0], (200, self.peer.instance))
            self.assertLessEqual(set(found[1:]), {200, "rejected"})
            await asyncio.sleep(0.1)
        for cause, host in self.leavers.items():
            starts = [e.start for e in host.backend_server.executions]
            late = [s for s in starts if s > known_at + LIMIT_SECONDS]
            self.assertEqual(late, [], cause)

    async def request_on_open(self, caller):
        """Send a request over a connection whose caller ignores GOAWAY."""
        try:
            answer = await caller.request("GET", "/any?id=open-flow", timeout=5)
        except ConnectionLost:
            return "rejected"  # sent after the second GOAWAY, so not run
        # An error answer names its cause, which the failed assertion then shows.
        return answer.status if answer.status == 200 else bytes(answer.body)

    async def check_feeds(self):
        sizes = {cause: len(feed.body) for cause, (_, feed) in self.callers.items()}
        await asyncio.sleep(0.5)
        for cause, (_, feed) in self.callers.items():
            self.assertFalse(feed.cut, cause)
            self.assertGreater(len(feed.body), sizes[cause], cause)

    async def test_open_connections_and_load_that_misleads(self):
        """Guards against new requests at a leaving host if callers ignore GOAWAY."""
        await self.open_feeds()
        for host in self.leavers.values():
            host.backend_server.behaviour.reported_busy = 0
        self.peer.backend_server.behaviour.reported_busy = 2
        await self.check_requests(await self.leave())
        await self.check_feeds()

    async def test_entry_resumes_with_an_old_view_while_the_platform_is_down(self):
        """Guards against an outdated entry that makes a leaving host run requests."""
        paused_entry = next(iter(self.fleet.entries.values()))
        fabric = self.fleet.fabrics["portal"]
        old, *live = fabric.entries
        paused_entry.send_signal(signal.SIGSTOP)
        fabric.entries = live
        known_at = await self.leave()
        self.fleet.platform.down = True
        await self.fleet.platform.wake()
        await asyncio.sleep(1.5)
        paused_entry.send_signal(signal.SIGCONT)
        fabric.entries = [old]
        await self.check_requests(known_at)

    def check_not_run(self, answer):
        # Before the second GOAWAY the host answers 503. After that it resets the stream
        # with the HTTP/3 code for a request that was not processed (RFC 9114, 4.1.1).
        if answer.cut:
            self.assertEqual(answer.reset_code, H3_REQUEST_REJECTED)
            return
        self.assertEqual(answer.status, 503)
        self.assertEqual(json.loads(bytes(answer.body))["outcome"], "not-run")

    async def test_last_host_answers_not_run(self):
        """Guards against a last host that runs requests or gives no clear outcome."""
        await self.open_feeds()
        caller, _ = self.callers["backend"]
        self.peer.backend_server.behaviour.draining = True
        await eventually(lambda: self.knows_it_leaves("backend", self.peer))
        known_at = await self.leave()
        await asyncio.sleep(max(0.0, known_at + LIMIT_SECONDS - time.monotonic()))
        _, answer = caller.start("GET", "/any?id=late")
        await eventually(lambda: is_finished(answer))
        self.check_not_run(answer)
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
                self.fail(f"agent-2 was not chosen: {other}")
        self.assertIsNone(RelayPolicy().choose_less_loaded(100.0, relay.peers()))

"""Drain of the front end."""

import asyncio
import json
from unittest import mock

from aioquic.buffer import Buffer
from aioquic.h3.connection import FrameType, H3Connection
from aioquic.quic.events import StreamDataReceived

from balsamspool.kernel.clock import now
from balsamspool.plugins.frontend.connection import Connection
from balsamspool.plugins.membership import MembershipPlugin
from balsamspool.plugins.platform import PlatformValue
from tests.frontend_case import FrontendCase
from tests.frontend_harness import MemoryCaller

H3_NO_ERROR = 0x100
H3_REQUEST_REJECTED = 0x10B
CONTROL_STREAM = 3


class RecordingHttp(H3Connection):
    """Records the GOAWAY frames, which the caller's library ignores."""

    def handle_event(self, event):
        if isinstance(event, StreamDataReceived) and event.stream_id == CONTROL_STREAM:
            frame = Buffer(data=event.data)
            if frame.pull_uint_var() == FrameType.GOAWAY:
                frame.pull_uint_var()
                self.goaways.append(frame.pull_uint_var())
        return super().handle_event(event)


class DrainTest(FrontendCase):
    async def open_recorded(self, service=None):
        agent, caller = await self.open_pair(service)
        caller.http.__class__ = RecordingHttp
        caller.http.goaways = []
        return agent, caller

    def set_draining(self, agent, names):
        agent.text["draining_hosts"] = names
        agent.publish()

    async def test_requests_in_progress_finish_and_later_ones_are_rejected(self):
        """Guards against a graceful stop that truncates or loses requests."""
        agent, caller = await self.open_recorded()
        release, ran = asyncio.Event(), []

        async def handler(request, writer):
            ran.append(request.path)
            await release.wait()
            await writer.start(200, [])
            await writer.write(b"whole")
            await writer.finish()

        agent.handler = handler
        first = caller.request(path="/first")
        await self.until(lambda: ran)
        agent.kernel.request_stop()
        drain = asyncio.create_task(agent.frontend.drain())
        await caller.until(lambda: len(caller.http.goaways) == 1)
        early = caller.request(path="/early")
        await caller.until(lambda: len(caller.http.goaways) == 2)
        self.assertEqual(caller.http.goaways, [(1 << 62) - 4, early + 4])
        late = caller.request(path="/late")
        await caller.until(lambda: late in caller.resets)
        self.assertEqual(caller.resets[late], H3_REQUEST_REJECTED)
        release.set()
        self.assertEqual(await caller.answer(first), (200, b"whole"))
        self.assertEqual(await caller.answer(early), (200, b"whole"))
        await caller.until(lambda: caller.terminated is not None)
        self.assertEqual(caller.terminated.error_code, H3_NO_ERROR)
        await asyncio.wait_for(drain, 5)
        self.assertEqual(ran, ["/first", "/early"])

    async def test_request_below_goaway_that_arrives_last_is_answered(self):
        """Guards against a close before a lost packet of a request is retransmitted."""
        agent, caller = await self.open_recorded()
        agent.kernel.request_stop()
        drain = asyncio.create_task(agent.frontend.drain())
        await caller.until(lambda: len(caller.http.goaways) == 1)
        with mock.patch.object(agent, "deliver"):
            lost = caller.request(path="/lost")
        later = caller.request(path="/later")
        self.assertEqual((await caller.answer(later))[0], 200)
        caller.paused = True
        await asyncio.sleep(0.6)
        self.assertIsNone(caller.terminated)
        self.assertEqual(len(agent.frontend.table.connections), 1)
        caller.paused = False
        self.assertEqual((await caller.answer(lost))[0], 200)
        await asyncio.wait_for(drain, 5)

    async def test_request_cancelled_before_it_arrived_does_not_delay_the_close(self):
        """Guards against a close that waits for a request that never arrives."""
        agent, caller = await self.open_recorded()
        with mock.patch.object(agent, "deliver"):
            lost = caller.request(path="/lost")
        caller.quic.reset_stream(lost, 0x10C)
        caller.flush()
        self.assertEqual((await caller.answer(caller.request()))[0], 200)
        agent.kernel.request_stop()
        await asyncio.wait_for(agent.frontend.drain(), 2)

    async def test_close_waits_until_the_caller_has_read_goaway(self):
        """Guards against a caller that never learns that a request was not run."""
        agent, caller = await self.open_recorded()
        agent.kernel.request_stop()
        drain = asyncio.create_task(agent.frontend.drain())
        await caller.until(lambda: len(caller.http.goaways) == 1)
        caller.paused = True
        await asyncio.sleep(0.7)
        self.assertEqual(len(agent.frontend.table.connections), 1)
        caller.paused = False
        late = caller.request(path="/late")
        await caller.until(lambda: late in caller.resets)
        self.assertEqual(caller.resets[late], H3_REQUEST_REJECTED)
        await asyncio.wait_for(drain, 5)

    async def test_draining_host_refuses_and_later_accepts_connections(self):
        """Guards against new connections on a host that the text lists as draining."""
        agent, caller = await self.open_recorded()
        self.set_draining(agent, ["agent-1"])
        MemoryCaller(agent, ("192.0.2.2", 1)).start()
        self.assertEqual(self.dropped(agent, "leaving"), 1)
        await caller.until(lambda: caller.terminated is not None)
        self.set_draining(agent, [])
        again = MemoryCaller(agent, ("192.0.2.3", 1))
        await again.connect()
        self.assertEqual((await again.answer(again.request()))[0], 200)

    async def test_handshake_in_progress_completes_and_ends(self):
        """Guards against a drain that loops or hangs during an unfinished handshake."""
        agent = await self.open_agent()
        caller = MemoryCaller(agent)
        caller.paused = True
        caller.start()
        await asyncio.sleep(0.02)
        self.set_draining(agent, ["agent-1"])
        with mock.patch.object(
            Connection, "_wait", autospec=True, side_effect=Connection._wait
        ) as wait:
            await asyncio.sleep(0.7)
        self.assertLess(wait.await_count, 20)
        caller.paused = False
        await caller.until(lambda: caller.terminated is not None)
        self.assertEqual(caller.terminated.error_code, H3_NO_ERROR)

    async def test_host_that_the_platform_lists_as_leaving_refuses(self):
        """Guards against new connections on a host that the platform will stop."""
        agent, _ = await self.open_recorded()
        listed = {
            "instance": "agent-1",
            "role": "agent",
            "state": "leaving",
            "failure_domain": "hall-a",
            "address": "127.0.0.1",
            "data_port": 4001,
            "peer_port": 1,
            "admin_port": 2,
            "service": "portal",
        }
        membership = agent.kernel.plugin(MembershipPlugin)
        membership._on_value(PlatformValue(1, json.dumps([listed])))
        MemoryCaller(agent, ("192.0.2.2", 1)).start()
        self.assertEqual(self.dropped(agent, "leaving"), 1)

    async def endless_feed(self, request, writer):
        await writer.start(200, [])
        while True:
            await writer.write(b"x")
            await asyncio.sleep(0.05)

    async def test_feeds_without_a_limit_survive_a_drain(self):
        """Guards against a planned change that interrupts feeds."""
        agent, caller = await self.open_recorded()
        agent.handler = self.endless_feed
        stream_id = caller.request(path="/feed")
        self.set_draining(agent, ["agent-1"])
        end = now() + 1.5
        await caller.until(lambda: now() >= end)
        self.assertNotIn(stream_id, caller.resets)
        self.assertGreater(len(caller.bodies[stream_id]), 20)
        self.assertIsNone(caller.terminated)

    async def test_feeds_end_at_the_limit_that_the_operator_set(self):
        """Guards against a drain that never ends although a limit is set."""
        agent, caller = await self.open_recorded({"drain": {"feed_seconds": 1.0}})
        agent.handler = self.endless_feed
        stream_id = caller.request(path="/feed")
        await caller.until(lambda: stream_id in caller.heads)
        started_at = now()
        self.set_draining(agent, ["agent-1"])
        await caller.until(lambda: stream_id in caller.resets)
        self.assertGreaterEqual(now() - started_at, 0.9)
        await caller.until(lambda: caller.terminated is not None)
        self.assertEqual(caller.terminated.error_code, H3_NO_ERROR)

    async def test_stop_closes_the_remaining_connections(self):
        """Guards against callers that wait for a stopped process."""
        agent, caller = await self.open_recorded()
        agent.handler = self.endless_feed
        caller.request(path="/feed")
        await asyncio.sleep(0.05)
        await agent.frontend.stop()
        self.assertEqual(len(agent.frontend.table), 0)
        await caller.until(lambda: caller.terminated is not None)
        self.assertEqual(caller.terminated.error_code, H3_NO_ERROR)

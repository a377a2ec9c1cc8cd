"""Caller addresses, return entries, idle timeouts and faults of connections."""

import asyncio
import json
from unittest import mock

from aioquic.h3.connection import H3_ALPN
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection

from balsamspool.kernel.clock import now
from balsamspool.plugins.frontend.connection import INBOX_DATAGRAMS
from balsamspool.plugins.frontend.opening_policy import OpeningPolicy
from balsamspool.plugins.membership import MembershipPlugin
from balsamspool.plugins.platform import PlatformValue
from tests.frontend_case import FrontendCase
from tests.frontend_harness import CALLER, ENTRY, SERVER, MemoryCaller

SECOND_ENTRY = ("127.0.0.3", 4100)


def list_entries(agent, states):
    record = {"failure_domain": "hall-a", "peer_port": 1, "admin_port": 2}
    entry_records = [
        record
        | {"instance": f"entry-{n}", "role": "entry", "state": state}
        | {"address": address, "data_port": port}
        for n, ((address, port), state) in enumerate(states.items())
    ]
    membership = agent.kernel.plugin(MembershipPlugin)
    revision = membership.text_state().revision + 1
    membership._on_value(PlatformValue(revision, json.dumps(entry_records)))
    agent.return_path._choose_entries()


async def silent_feed(request, writer):
    await writer.start(200, [])
    await writer.write(b"first")
    await asyncio.Event().wait()


class AddressTest(FrontendCase):
    async def test_replies_follow_the_caller_to_a_new_address(self):
        """Guards against flows that break when a NAT changes the caller's port."""
        agent, caller = await self.open_pair()
        await caller.answer(caller.request())
        caller.move(("192.0.2.50", 6000))
        status, _ = await caller.answer(caller.request())
        self.assertEqual(status, 200)
        self.assertEqual(agent.sent[-1][0], ("192.0.2.50", 6000))

    async def test_last_entry_is_used_and_changed_on_the_loss_timer(self):
        """Guards against answers that are lost because the return entry has failed."""
        agent, caller = await self.open_pair()
        list_entries(agent, {ENTRY: "live", SECOND_ENTRY: "live"})
        agent.handler = silent_feed
        stream_id = caller.request(path="/feed")
        agent.lost_entries.add(ENTRY)
        await caller.until(lambda: caller.bodies.get(stream_id) == b"first")
        self.assertEqual(agent.sent[-1][2], SECOND_ENTRY)

    async def test_entry_that_leaves_is_not_used(self):
        """Guards against answers through an entry that is about to stop."""
        agent, caller = await self.open_pair()
        list_entries(agent, {ENTRY: "leaving", SECOND_ENTRY: "live"})
        await asyncio.sleep(0.3)
        await caller.answer(caller.request())
        self.assertEqual(agent.sent[-1][2], SECOND_ENTRY)


class IdleTimeoutTest(FrontendCase):
    async def test_silent_feed_outlives_the_idle_limit(self):
        """Guards against feeds without data that are closed by the idle timeout."""
        agent = await self.open_agent(idle_seconds=0.6)
        agent.handler = silent_feed
        caller = MemoryCaller(agent, idle_timeout=0.6)
        await caller.connect()
        stream_id = caller.request(path="/feed")
        end = now() + 2.0
        await caller.until(lambda: now() >= end)
        self.assertIsNone(caller.terminated)
        self.assertNotIn(stream_id, caller.resets)
        self.assertEqual(len(agent.frontend.table), 1)

    async def test_request_of_a_failed_caller_is_cancelled(self):
        """Guards against requests that keep running after the caller has stopped."""
        agent = await self.open_agent(idle_seconds=0.6)
        ended = asyncio.Event()

        async def handler(request, writer):
            try:
                await silent_feed(request, writer)
            finally:
                ended.set()

        agent.handler = handler
        caller = MemoryCaller(agent)
        await caller.connect()
        caller.request(path="/feed")
        await asyncio.sleep(0.05)
        caller.paused = True
        await asyncio.wait_for(ended.wait(), 6)
        await self.until(lambda: len(agent.frontend.table) == 0)


class FaultTest(FrontendCase):
    async def test_fault_in_one_connection_ends_only_that_one(self):
        """Guards against a packet of one caller that stops the process."""
        agent, caller = await self.open_pair()
        other = MemoryCaller(agent, ("192.0.2.8", 8))
        await other.connect()
        failing_connection = agent.frontend.table.find(
            caller.quic._peer_cid.cid, CALLER
        )
        failing = mock.Mock(side_effect=RuntimeError("fault"))
        with (
            mock.patch.object(failing_connection._quic, "receive_datagram", failing),
            self.assertLogs("balsamspool", "ERROR") as logs,
        ):
            caller.request()
            await self.until(lambda: len(agent.frontend.table) == 1)
        self.assertEqual(logs.records[0].event.number, 1503)
        self.assertEqual((await other.answer(other.request()))[0], 200)
        failures = "balsamspool_frontend_connection_failures_total"
        self.assertEqual(agent.metric(failures), 1)
        self.assertFalse(agent.kernel._failed)

    async def test_fault_before_a_connection_owns_the_datagram(self):
        """Guards against an exception that reaches the socket's callback."""
        agent = await self.open_agent()
        failing = mock.Mock(side_effect=RuntimeError("fault"))
        with (
            mock.patch.object(OpeningPolicy, "decide", failing),
            self.assertLogs("balsamspool", "ERROR") as logs,
        ):
            MemoryCaller(agent).start()
        self.assertEqual(logs.records[0].event.number, 1507)
        self.assertEqual(self.dropped(agent, "internal-error"), 1)

    async def test_fault_in_a_request_is_answered(self):
        """Guards against requests that hang after an internal error."""
        agent, caller = await self.open_pair()

        async def handler(request, writer):
            raise RuntimeError("fault")

        agent.handler = handler
        with self.assertLogs("balsamspool", "ERROR"):
            status, body = await caller.answer(caller.request())
        self.assertEqual((status, json.loads(body)["code"]), (500, 1506))
        self.assertEqual(json.loads(body)["outcome"], "unknown")

    async def test_inbox_is_bounded(self):
        """Guards against unbounded memory use by a fast sender."""
        agent, caller = await self.open_pair()
        packet = b"\x40" + caller.quic._peer_cid.cid + bytes(40)
        connection = agent.frontend.table.find(caller.quic._peer_cid.cid, CALLER)
        # The inbox may still contain the last datagram of the handshake.
        room = INBOX_DATAGRAMS - len(connection._inbox)
        for _ in range(room + 5):
            agent.deliver(packet)
        self.assertEqual(self.dropped(agent, "inbox-full"), 5)
        self.assertEqual(len(connection._inbox), INBOX_DATAGRAMS)


class EarlyDataTest(FrontendCase):
    async def test_no_session_ticket_is_issued(self):
        """Guards against early data, which an attacker can replay."""
        _, caller = await self.open_pair()
        await caller.answer(caller.request())
        self.assertEqual(caller.tickets, [])

    async def test_early_data_is_not_accepted(self):
        """Guards against early data with a session ticket of another server."""
        agent, caller = await self.open_pair()
        other = QuicConfiguration(is_client=False, alpn_protocols=H3_ALPN)
        other.load_cert_chain(self.folder / "certificate.pem", self.folder / "key.pem")
        tickets = []
        client = MemoryCaller(agent, ("192.0.2.60", 1)).quic
        client._session_ticket_handler = tickets.append
        client.connect(SERVER, now())
        server = QuicConnection(
            configuration=other,
            original_destination_connection_id=client.original_destination_connection_id,
            session_ticket_fetcher=lambda label: None,
            session_ticket_handler=lambda ticket: None,
        )
        for _ in range(4):
            for data, _ in client.datagrams_to_send(now()):
                server.receive_datagram(data, CALLER, now())
            for data, _ in server.datagrams_to_send(now()):
                client.receive_datagram(data, SERVER, now())
        self.assertTrue(tickets)
        early = MemoryCaller(agent, ("192.0.2.61", 1), session_ticket=tickets[0])
        ran = []

        async def handler(request, writer):
            ran.append(request.path)

        agent.handler = handler
        early.quic.connect(SERVER, now())
        early.quic.send_stream_data(0, b"\x01\x00")
        early.flush()
        await early.until(lambda: early.connected)
        self.assertFalse(early.early_data_accepted)
        self.assertEqual(ran, [])

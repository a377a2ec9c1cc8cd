"""Connection IDs as routing tokens."""

import os

from aioquic.quic.packet import QuicPacketType, encode_quic_version_negotiation

from balsamspool.plugins.routing.token import MAX_SERIAL
from balsamspool.plugins.routing.token_check import OwnToken
from tests.frontend_case import FrontendCase
from tests.frontend_harness import CALLER, SERVICE, MemoryCaller


class ConnectionIdTest(FrontendCase):
    async def test_every_issued_id_is_a_token_and_retired_ids_are_removed(self):
        """Guards against IDs that entries cannot route and a table that grows."""
        agent, caller = await self.open_pair()
        table = agent.frontend.table
        seen = set(table.ids)
        for _ in range(40):
            caller.quic.change_connection_id()
            stream_id = caller.request()
            await caller.answer(stream_id)
            seen.update(table.ids)
        self.assertGreater(len(seen), 40)
        for connection_id in seen:
            verdict = agent.frontend.token_check.check(connection_id, SERVICE)
            self.assertIsInstance(verdict, OwnToken)
        (connection,) = table.connections
        self.assertEqual(set(table.ids), set(connection.connection_ids))
        self.assertLessEqual(len(table.ids), 8)

    async def test_no_id_remains_after_the_close(self):
        """Guards against a memory leak of closed connections."""
        agent, caller = await self.open_pair()
        caller.quic.close()
        caller.flush()
        await self.until(lambda: len(agent.frontend.table) == 0)
        self.assertEqual(agent.frontend.table.ids, [])
        self.assertEqual(agent.frontend.table._by_opening, {})

    async def test_serials_wrap_and_skip_ids_in_use(self):
        """Guards against an ID for two connections after 2^24 serial numbers."""
        agent, _ = await self.open_pair()
        table = agent.frontend.table
        used = set(table.ids)
        table._serial = MAX_SERIAL - 1
        fresh = [table.new_id(SERVICE) for _ in range(30)]
        self.assertEqual(len(set(fresh)), 30)
        self.assertFalse(used & set(fresh))

    async def test_tokens_of_other_processes_are_dropped(self):
        """Guards against a new host on a reused address that processes old packets."""
        agent, _ = await self.open_pair()
        table = agent.frontend.table
        own = agent.codec.decode(table.ids[0])
        for change in (
            {"incarnation": b"\0\0\0"},
            {"address": "127.0.0.9"},
            {"data_port": 9},
            {"service": 2},
        ):
            values = {name: getattr(own, name) for name in own.__slots__} | change
            foreign = agent.codec.encode(type(own)(**values))
            agent.deliver(b"\x40" + foreign + os.urandom(40))
        self.assertEqual(self.dropped(agent, "foreign-token"), 4)

    async def test_equal_opening_ids_of_two_callers_do_not_mix(self):
        """Guards against a caller whose random ID equals that of another."""
        agent = await self.open_agent()
        first = MemoryCaller(agent)
        second = MemoryCaller(agent, ("192.0.2.9", 777))
        second.quic._peer_cid.cid = first.quic._peer_cid.cid
        second.quic._original_destination_connection_id = first.quic._peer_cid.cid
        first.start()
        second.start()
        for caller in (first, second):
            await caller.until(lambda c=caller: c.connected)
            self.assertEqual((await caller.answer(caller.request()))[0], 200)
        self.assertEqual(len(agent.frontend.table), 2)


class OpeningTest(FrontendCase):
    async def test_unsupported_version_gets_a_negotiation_packet(self):
        """Guards against ignoring callers of other QUIC versions, and against loops."""
        agent = await self.open_agent()
        packet = b"\xc0" + b"\x1a\x2a\x3a\x4a" + b"\x08" + b"a" * 8 + b"\x08" + b"b" * 8
        agent.deliver(packet.ljust(1200, b"\0"))
        (_, reply, _) = agent.sent[0]
        self.assertEqual(reply[1:5], bytes(4))
        self.assertEqual(reply[6:14], b"b" * 8)
        agent.deliver(packet)
        negotiation = encode_quic_version_negotiation(b"a" * 8, b"b" * 8, [1] * 300)
        agent.deliver(negotiation)
        self.assertEqual(len(agent.sent), 1)

    async def test_small_opening_is_dropped(self):
        """Guards against amplification by small opening packets."""
        agent = await self.open_agent()
        caller = MemoryCaller(agent)
        caller.quic.connect(CALLER, 0.0)
        (payload, _) = caller.quic.datagrams_to_send(0.0)[0]
        agent.deliver(payload[:1199])
        self.assertEqual(self.dropped(agent, "small-opening"), 1)
        self.assertEqual(len(agent.frontend.table), 0)

    async def test_connection_limit(self):
        """Guards against more connections than the operator allows."""
        limits = {"limits": {"connections_per_host": 1}}
        agent, _ = await self.open_pair(limits)
        MemoryCaller(agent, ("192.0.2.2", 1)).start()
        self.assertEqual(len(agent.frontend.table), 1)
        self.assertEqual(self.dropped(agent, "connection-limit"), 1)

    async def test_unfinished_handshakes_are_bounded_and_end(self):
        """Guards against unbounded memory use by a flood of opening packets."""
        agent = await self.open_agent(
            max_handshakes=3, retry_handshakes=3, handshake_seconds=0.2
        )
        for number in range(6):
            caller = MemoryCaller(agent, ("192.0.2.3", 100 + number))
            caller.paused = True
            caller.start()
        self.assertEqual(len(agent.frontend.table), 3)
        self.assertEqual(self.dropped(agent, "handshake-limit"), 3)
        await self.until(lambda: len(agent.frontend.table) == 0, 2)
        name = "balsamspool_frontend_handshakes_total"
        self.assertEqual(agent.metric(name, result="timeout"), 3)

    async def test_retry_proves_the_address(self):
        """Guards against a Retry that entries cannot route or that fails to open."""
        agent = await self.open_agent(retry_handshakes=0)
        caller = MemoryCaller(agent)
        caller.start()
        self.assertEqual(len(agent.frontend.table), 0)
        await caller.until(lambda: caller.connected)
        retry = agent.sent[0][1]
        self.assertEqual((retry[0] >> 4) & 3, QuicPacketType.RETRY.value)
        at = 6 + retry[5]
        retry_id = retry[at + 1 : at + 1 + retry[at]]
        verdict = agent.frontend.token_check.check(retry_id, SERVICE)
        self.assertIsInstance(verdict, OwnToken)
        self.assertEqual((await caller.answer(caller.request()))[0], 200)

    async def test_retry_outlives_a_restart_and_a_rotation(self):
        """Guards against callers that cannot connect because the agent restarted."""
        old = await self.open_agent(retry_handshakes=0)
        caller = MemoryCaller(old)
        caller.start()
        new = await self.open_agent(retry_handshakes=0)
        new.text["keys"] = {"active": 2, "secrets": {"1": "5a" * 32, "2": "6b" * 32}}
        new.publish()
        new.callers[caller.address] = caller
        caller.agent = new
        await caller.until(lambda: caller.connected)
        self.assertEqual(len(new.frontend.table), 1)

    async def test_retry_token_of_another_address_is_refused(self):
        """Guards against spoofed addresses that use a captured token."""
        agent = await self.open_agent(retry_handshakes=0)
        caller = MemoryCaller(agent)
        caller.start()
        caller.move(("192.0.2.77", 9))
        retry = agent.sent[0][1]
        caller.receive(retry)
        self.assertEqual(len(agent.frontend.table), 0)
        self.assertEqual(self.dropped(agent, "unknown-connection"), 1)

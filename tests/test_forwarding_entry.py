"""The entry with fakes around it: routing, probes, traces, hostile input, sockets."""

import asyncio
import random
import socket
from unittest import IsolatedAsyncioTestCase, TestCase
from unittest.mock import patch

import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st
from opentelemetry.sdk.trace import TracerProvider

from balsamspool.plugins.forwarding._codec import EnvelopeCodec
from balsamspool.plugins.forwarding.entry import MAX_PAYLOAD_BYTES, EntryPlugin
from balsamspool.plugins.forwarding.envelope import (
    Forward,
    Probe,
    ProbeReply,
    Return,
    TracedForward,
)
from balsamspool.plugins.membership import Signal
from balsamspool.plugins.membership.signals import SignalState
from balsamspool.plugins.routing import RoutingToken
from tests.forwarding_fakes import Clock, FakeKernel, FakeTransport, dropped, instance

CALLER = ("127.0.0.1", 6000)
OPENING = b"\xc0\x00\x00\x00\x01\x08" + bytes(1194)
SIGNAL = Signal(SignalState.ACCEPTING, 0)


def short(connection_id):
    return b"\x40" + connection_id + bytes(40)


def free_address():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as opened:
        opened.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{opened.getsockname()[1]}"


def is_free(address):
    host, port = address.split(":")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as attempt:
        try:
            attempt.bind((host, int(port)))
        except OSError:
            return False
    return True


class EntryCase(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.kernel = FakeKernel()
        self.entry = EntryPlugin(self.kernel)
        self.codec = EnvelopeCodec(self.kernel.keyring)
        self.out = self.entry._agent_transport = FakeTransport()
        await self.kernel.routing.start()

    def sent(self):
        found = [(self.codec.open(data), to) for data, to in self.out.sent]
        self.out.sent.clear()
        return found

    def dropped(self, reason):
        return dropped(self.kernel, reason)


class EntryTest(EntryCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.clock = Clock()
        self.kernel.membership.subscribe(self.entry._on_list)
        self.kernel.membership.change([instance(f"h{n}", 4000 + n) for n in range(4)])
        self.kernel.configuration.change(portal=(1, "127.0.0.1:1"))

    def open_flow(self, port=6000):
        self.entry.caller_datagram(1, OPENING, ("127.0.0.1", port))
        return self.sent()

    async def test_flow_keeps_its_host(self):
        """Guards against opening packets of one flow that reach two hosts."""
        first = self.open_flow()[0][1]
        for _ in range(20):
            self.clock.time += 0.05
            self.entry.agent_datagram(
                self.codec.seal(Return(1, *CALLER, SIGNAL, b"")), first
            )
            self.assertEqual(self.open_flow()[0][1], first)

    async def test_silent_host_loses_only_its_flows(self):
        """Guards against new flows at a silent host, and moved flows of other hosts."""
        before = {port: self.open_flow(port)[0][1] for port in range(6000, 6100)}
        dead = before[6000]
        self.clock.time += 6.0
        self.assertIn(dead, [to for e, to in self.open_flow() if isinstance(e, Probe)])
        self.clock.time += 0.31
        for port, host in before.items():
            after = self.open_flow(port)[0][1]
            self.assertEqual(after == host, host != dead, (port, host))

    async def test_leaving_host_gets_no_new_flows(self):
        """Guards against a table that ignores signals or is not rebuilt."""
        host = self.open_flow()[0][1]
        leaving = Signal(SignalState.LEAVING, 0)
        self.entry.agent_datagram(
            self.codec.seal(Return(1, *CALLER, leaving, b"")), host
        )
        self.clock.time += 0.6
        self.assertNotEqual(self.open_flow()[0][1], host)

    async def test_only_opening_packets_are_traced(self):
        """Guards against spans whose number grows with every packet."""
        tracer = TracerProvider().get_tracer("test")
        token = RoutingToken("127.0.0.1", 4001, 1, b"abc", 1)
        with patch.object(self.entry, "_tracer", tracer):
            ((envelope, _), *_) = self.open_flow()
            self.assertIsInstance(envelope, TracedForward)
            self.assertEqual(len(envelope.trace_id), 16)
            datagram = short(self.kernel.routing.codec.encode(token))
            self.entry.caller_datagram(1, datagram, CALLER)
        self.assertIsInstance(self.sent()[0][0], Forward)
        self.assertIsInstance(self.open_flow()[0][0], Forward)

    async def test_token_of_another_service_is_dropped(self):
        """Guards against a packet for one service that reaches another."""
        token = RoutingToken("127.0.0.1", 4001, 2, b"abc", 1)
        datagram = short(self.kernel.routing.codec.encode(token))
        self.entry.caller_datagram(1, datagram, CALLER)
        self.assertEqual(self.sent(), [])
        self.assertEqual(self.dropped("wrong-service"), 1)

    async def test_replayed_probe_reply_does_not_mark_a_host_alive(self):
        """Guards against a recorded reply that keeps a silent host in use."""
        ((_, host), (probe, _)) = self.open_flow()
        reply = self.codec.seal(ProbeReply(probe.sequence, SIGNAL))
        self.entry.agent_datagram(reply, host)
        self.clock.time += 5.0
        ((_, _), (again, _)) = self.open_flow()
        self.assertNotEqual(again.sequence, probe.sequence)
        self.entry.agent_datagram(reply, host)
        self.assertEqual(self.dropped("unexpected-reply"), 1)
        self.clock.time += 0.4
        self.assertNotEqual(self.open_flow()[0][1], host)

    async def test_replay_from_many_addresses_leaves_no_state(self):
        """Guards against memory that grows with replayed return datagrams."""
        whole = self.codec.seal(Return(1, *CALLER, SIGNAL, b"x"))
        for port in range(1, 1000):
            self.entry.agent_datagram(whole, ("127.0.0.9", port))
        self.assertEqual(len(self.kernel.membership.board._signals), 0)
        self.assertEqual(len(self.entry._probes), 0)

    async def test_hostile_datagrams_are_counted(self):
        """Guards against a bad datagram that raises, is passed on or is not counted."""
        rng = random.Random(7)
        whole = self.codec.seal(Return(1, *CALLER, SIGNAL, b"x"))
        for datagram in (b"", whole[:-1], rng.randbytes(60), whole[:-8] + bytes(8)):
            self.entry.agent_datagram(datagram, CALLER)
        self.assertEqual(self.dropped("not-authentic"), 4)
        self.entry.agent_datagram(self.codec.seal(Forward(1, *CALLER, 0, b"x")), CALLER)
        self.assertEqual(self.dropped("unexpected-kind"), 1)
        self.entry.agent_datagram(whole, CALLER)
        self.assertEqual(self.dropped("unknown-service"), 1)
        self.entry.caller_datagram(1, b"", CALLER)
        self.assertEqual(self.dropped("not-quic"), 1)
        self.entry.caller_datagram(1, OPENING + bytes(MAX_PAYLOAD_BYTES), CALLER)
        self.assertEqual(self.dropped("too-long"), 1)
        self.entry.caller_datagram(1, short(bytes(17)), CALLER)
        self.assertEqual(self.dropped("no-token"), 1)
        self.assertEqual(self.out.sent, [])

    @settings(derandomize=True)
    @given(st.binary(max_size=1300))
    def test_random_datagrams_do_not_raise(self, datagram):
        """Guards against a datagram that stops the entry."""

        async def feed():
            entry = EntryPlugin(FakeKernel())
            entry._agent_transport = FakeTransport()
            entry.caller_datagram(1, datagram, CALLER)
            entry.agent_datagram(datagram, CALLER)
            self.assertEqual(entry._agent_transport.sent, [])

        asyncio.run(feed())


class ServiceSocketsTest(EntryCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.kernel.configuration.subscribe(self.entry._on_configuration)

    async def asyncTearDown(self):
        await self.entry.stop()

    def bound(self):
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        opened.bind(("127.0.0.1", 0))
        self.addCleanup(opened.close)
        return opened, f"127.0.0.1:{opened.getsockname()[1]}"

    async def wait_for(self, condition):
        for _ in range(500):
            if condition():
                return
            await asyncio.sleep(0.01)
        self.fail("the condition was not met within 5 s")

    async def test_services_exchange_their_addresses(self):
        """Guards against a move that fails because the old socket is still open."""
        one, two = free_address(), free_address()
        self.kernel.configuration.change(portal=(1, one), records=(2, two))
        status = self.entry._sockets.status
        await self.wait_for(lambda: status() == {"1": one, "2": two})
        self.kernel.configuration.change(portal=(1, two), records=(2, one))
        await self.wait_for(lambda: status() == {"1": two, "2": one})

    async def test_taken_address_is_tried_again(self):
        """Guards against an address in use that stops the process."""
        taken, address = self.bound()
        other = free_address()
        self.kernel.configuration.change(portal=(1, address), records=(2, other))
        status = self.entry._sockets.status
        await self.wait_for(lambda: "in use" in status()["1"])
        await self.wait_for(lambda: status()["2"] == other)
        taken.close()
        await self.wait_for(lambda: status()["1"] == address)
        self.assertTrue(all(t.done() and not t.exception() for t in self.kernel.tasks))

    async def test_unsendable_address_is_counted(self):
        """Guards against an answer to port 0 that raises or is not counted."""
        self.kernel.configuration.change(portal=(1, free_address()))
        await self.wait_for(lambda: self.entry._sockets.transport(1))
        envelope = Return(1, "127.0.0.1", 0, SIGNAL, b"x")
        self.entry.agent_datagram(self.codec.seal(envelope), CALLER)
        await asyncio.sleep(0.02)
        self.assertEqual(self.dropped("unsendable"), 1)


class WithdrawalTest(TestCase):
    def test_address_withdrawn_while_opening_stays_closed(self):
        """Guards against a socket that opens after its address was withdrawn."""
        for factory in (asyncio.new_event_loop, uvloop.new_event_loop):
            for turns in range(5):
                with asyncio.Runner(loop_factory=factory) as runner:
                    self.assertTrue(runner.run(self.withdraw(turns)), (factory, turns))

    async def withdraw(self, turns):
        kernel, address = FakeKernel(), free_address()
        entry = EntryPlugin(kernel)
        kernel.configuration.subscribe(entry._on_configuration)
        kernel.configuration.change(portal=(1, address))
        for _ in range(turns):
            await asyncio.sleep(0)
        kernel.configuration.change()
        await asyncio.sleep(0.05)
        return is_free(address)


class AgentCase(EntryCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.clock = Clock()
        self.kernel.membership.subscribe(self.entry._on_list)
        self.kernel.membership.change([instance("h1", 4001)])
        self.agent = ("127.0.0.1", 4001)

    def answer(self, signal):
        envelope = Return(1, *CALLER, signal, b"x")
        self.entry.agent_datagram(self.codec.seal(envelope), self.agent)

    def latest_signal(self):
        return self.kernel.membership.board.latest(*self.agent)


class AgentSignalsTest(AgentCase):
    async def test_changed_signal_counts_at_once(self):
        """Guards against a leaving signal that is skipped as a repetition."""
        self.answer(SIGNAL)
        leaving = Signal(SignalState.LEAVING, 0)
        self.answer(leaving)
        self.assertEqual(self.latest_signal(), leaving)

    async def test_repeated_signal_stays_valid(self):
        """Guards against a busy host whose signal expires between repetitions."""
        for _ in range(200):
            self.answer(SIGNAL)
            self.clock.time += 0.03
            self.assertEqual(self.latest_signal(), SIGNAL)
        self.clock.time += 3.2
        self.assertIsNone(self.latest_signal())

    async def test_unlisted_agents_leave_no_state(self):
        """Guards against memory that grows with each replaced host."""
        self.answer(SIGNAL)
        self.assertEqual(len(self.entry._signals), 1)
        self.kernel.membership.change([instance("h2", 4002)])
        self.assertEqual(len(self.entry._signals), 0)


class ReplayTest(AgentCase):
    LEAVING = Signal(SignalState.LEAVING, 0)

    def sealed(self, signal, codec=None):
        return (codec or self.codec).seal(Return(1, *CALLER, signal, b"x"))

    def receive(self, datagram):
        self.entry.agent_datagram(datagram, self.agent)

    def probe(self):
        ((probe, to),) = self.sent()
        self.assertIsInstance(probe, Probe)
        self.assertEqual(to, self.agent)
        return probe

    async def test_replayed_return_sets_no_old_signal(self):
        """Guards against a recorded datagram that keeps a leaving host in use."""
        recorded = self.sealed(Signal(SignalState.ACCEPTING, 7))
        self.receive(recorded)
        self.receive(self.sealed(self.LEAVING))
        self.clock.time += 10.0
        self.receive(recorded)
        self.assertEqual(self.latest_signal(), self.LEAVING)
        self.clock.time += 10.0
        self.receive(self.sealed(SIGNAL))
        self.assertEqual(self.latest_signal(), SIGNAL)
        self.receive(recorded)
        self.assertEqual(self.latest_signal(), SIGNAL)

    async def test_replayed_return_does_not_mark_a_host_alive(self):
        """Guards against a recorded datagram that keeps a silent host in use."""
        recorded = self.sealed(SIGNAL)
        self.receive(recorded)
        self.assertIsNotNone(self.entry._probes.record_opening(self.agent))
        self.clock.time += 0.4
        self.receive(recorded)
        self.assertIn(self.agent, self.entry._probes.avoided())

    async def test_replay_from_before_a_restart_is_not_recorded(self):
        """Guards against a replayed leaving signal of an earlier process."""
        recorded = self.sealed(self.LEAVING, EnvelopeCodec(self.kernel.keyring))
        self.receive(self.sealed(SIGNAL))
        self.receive(recorded)
        self.assertEqual(self.latest_signal(), SIGNAL)
        reply = self.codec.seal(ProbeReply(self.probe().sequence, SIGNAL))
        self.receive(reply)
        self.receive(recorded)
        self.assertEqual(self.latest_signal(), SIGNAL)

    async def test_restarted_agent_counts_once_it_answers_a_probe(self):
        """Guards against a restarted process whose signals are ignored for ever."""
        self.receive(self.sealed(SIGNAL))
        self.clock.time += 2.0
        restarted = EnvelopeCodec(self.kernel.keyring)
        busy = Signal(SignalState.ACCEPTING, 200)
        self.receive(self.sealed(busy, restarted))
        self.assertEqual(self.latest_signal(), SIGNAL)
        self.receive(restarted.seal(ProbeReply(self.probe().sequence, busy)))
        self.assertEqual(self.latest_signal(), busy)
        self.receive(self.sealed(SIGNAL, restarted))
        self.assertEqual(self.latest_signal(), SIGNAL)

    async def test_replayed_probe_reply_sets_no_old_signal(self):
        """Guards against a recorded probe reply that hides that a host is leaving."""
        self.receive(self.sealed(SIGNAL))
        probe = self.entry._probes.record_opening(self.agent)
        self.clock.time += 2.0
        probe = probe or self.entry._probes.record_opening(self.agent)
        reply = self.codec.seal(ProbeReply(probe.sequence, SIGNAL))
        self.receive(reply)
        self.receive(self.sealed(self.LEAVING))
        self.clock.time += 5.0
        self.receive(reply)
        self.assertEqual(self.latest_signal(), self.LEAVING)
        self.assertEqual(self.dropped("unexpected-reply"), 1)

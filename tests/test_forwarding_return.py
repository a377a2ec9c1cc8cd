"""The agent's side with real sockets on loopback."""

import asyncio
import random
import socket
from unittest import IsolatedAsyncioTestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from balsamspool.kernel.identity import Role
from balsamspool.plugins.forwarding._codec import EnvelopeCodec
from balsamspool.plugins.forwarding.envelope import (
    Forward,
    Probe,
    ProbeReply,
    Return,
    TracedForward,
)
from balsamspool.plugins.forwarding.return_path import ReturnPathPlugin
from balsamspool.plugins.membership import Signal
from balsamspool.plugins.membership.signals import SignalState
from balsamspool.plugins.routing import FlowKey
from tests.forwarding_fakes import FakeKernel, FakeTransport, dropped, instance

CALLER = ("192.0.2.1", 6000)
FORWARD = Forward(1, *CALLER, 0, b"payload")
SIGNAL = Signal(SignalState.ACCEPTING, 0)


class FakeEntry(asyncio.DatagramProtocol):
    def __init__(self, codec):
        self.codec = codec
        self.alive = True
        self.returned = []

    def connection_made(self, transport):
        self.transport = transport
        self.address = transport.get_extra_info("sockname")

    def datagram_received(self, data, addr):
        match self.codec.open(data) if self.alive else None:
            case Probe(sequence):
                reply = self.codec.seal(ProbeReply(sequence, SIGNAL))
                self.transport.sendto(reply, addr)
            case Return() as envelope:
                self.returned.append(envelope)


class ReturnPathTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.kernel = FakeKernel()
        self.codec = EnvelopeCodec(self.kernel.keyring)
        self.path = ReturnPathPlugin(self.kernel)
        self.received = []
        self.path.on_forward(lambda *args: self.received.append(args))

    async def start(self, entries):
        loop = asyncio.get_running_loop()
        found = []
        for _ in range(entries):
            _, entry = await loop.create_datagram_endpoint(
                lambda: FakeEntry(self.codec), ("127.0.0.1", 0)
            )
            self.addCleanup(entry.transport.close)
            found.append(entry)
        await self.path.start()
        self.addAsyncCleanup(self.path.stop)
        self.kernel.membership.change(
            [
                instance(f"entry-{n}", e.address[1], Role.ENTRY, domain="ab"[n % 2])
                for n, e in enumerate(found)
            ]
        )
        return found

    async def test_answer_avoids_a_dead_entry_without_a_caller_packet(self):
        """Guards against an answer lost because the caller sends nothing."""
        entries = await self.start(3)
        route = self.path.open_route(FlowKey(1, *CALLER))
        await asyncio.sleep(0.2)
        dead = entries[0]
        route.record_caller_entry(dead.address)
        self.assertEqual(route.current(), dead.address)
        dead.alive = False
        for _ in range(120):
            if route.current() != dead.address:
                break
            await asyncio.sleep(0.05)
        self.path.send(1, CALLER, b"answer", route.current())
        await asyncio.sleep(0.1)
        payloads = [r.payload for e in entries[1:] for r in e.returned]
        self.assertEqual(payloads, [b"answer"])

    async def test_each_answer_carries_load_and_state(self):
        """Guards against entries that never receive the load of a host."""
        (entry,) = await self.start(1)
        self.path.set_signal_source(lambda: Signal(SignalState.LEAVING, 255))
        self.path.send(1, CALLER, b"answer", entry.address)
        await asyncio.sleep(0.1)
        self.assertEqual(entry.returned[0].signal, Signal(SignalState.LEAVING, 255))

    async def test_removed_entries_are_no_longer_probed(self):
        """Guards against probe tasks whose number grows with each list."""
        await self.start(3)
        self.kernel.membership.change([])
        await asyncio.sleep(0.01)
        self.assertTrue(all(task.done() for task in self.kernel.tasks))
        self.assertEqual(self.path.status(), {"entries": {}})

    async def test_hand_over_counts_hops(self):
        """Guards against a datagram that loops between agents."""
        out = self.path._transport = FakeTransport()
        self.path.hand_over(FORWARD, ("127.0.0.1", 1))
        self.assertEqual(self.codec.open(out.sent[0][0]).hops, 1)
        for hops in (2, 3, 255):
            datagram = self.codec.seal(Forward(1, *CALLER, hops, b""))
            self.path.entry_datagram(datagram, CALLER)
        self.assertEqual(len(self.received), 1)
        self.assertEqual(dropped(self.kernel, "hop-limit"), 2)

    async def test_hostile_datagrams_are_counted(self):
        """Guards against a bad datagram that raises, is accepted or is not counted."""
        rng = random.Random(7)
        whole = self.codec.seal(TracedForward(FORWARD, bytes(16), bytes(8)))
        for datagram in (b"", whole[:-1], rng.randbytes(60), whole[:-8] + bytes(8)):
            self.path.entry_datagram(datagram, CALLER)
        self.assertEqual(dropped(self.kernel, "not-authentic"), 4)
        self.path.entry_datagram(
            self.codec.seal(Return(1, *CALLER, SIGNAL, b"")), CALLER
        )
        self.assertEqual(dropped(self.kernel, "unexpected-kind"), 1)
        self.path.entry_datagram(self.codec.seal(ProbeReply(5, SIGNAL)), CALLER)
        self.assertEqual(dropped(self.kernel, "unexpected-reply"), 1)
        self.assertEqual(self.received, [])

    @settings(derandomize=True)
    @given(st.binary(max_size=200))
    def test_random_datagrams_do_not_raise(self, datagram):
        """Guards against a datagram that stops the agent."""

        async def feed():
            path = ReturnPathPlugin(FakeKernel())
            path._transport = FakeTransport()
            path.on_forward(lambda *args: self.fail(f"accepted: {args}"))
            path.entry_datagram(datagram, CALLER)
            self.assertEqual(path._transport.sent, [])

        asyncio.run(feed())

    async def test_flood_at_the_socket_leaves_it_working(self):
        """Guards against random datagrams that close the socket."""
        (entry,) = await self.start(1)
        address = self.path._transport.get_extra_info("sockname")
        rng = random.Random(3)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for _ in range(200):
                sender.sendto(rng.randbytes(rng.randrange(100)), address)
        await asyncio.sleep(0.1)
        entry.transport.sendto(self.codec.seal(FORWARD), address)
        await asyncio.sleep(0.1)
        self.assertEqual([forward for forward, *_ in self.received], [FORWARD])
        self.assertGreater(dropped(self.kernel, "not-authentic"), 100)

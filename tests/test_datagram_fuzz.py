"""Malformed datagrams and records at every socket of the small processes."""

import random
from base64 import b64encode
from unittest import TestCase

from balsamspool.datagram._codec import (
    decode,
    encode_small,
    forward_head,
    returned_head,
)
from balsamspool.datagram.messages import (
    Announce,
    FlowEnded,
    FlowLocated,
    Forward,
    Readers,
    Report,
    Subscribe,
    WorkReport,
)
from balsamspool.datagram.settings import DatagramAgentSettings
from balsamspool.datagram.sockets import BatchSocket
from balsamspool.kernel.identity import Role
from balsamspool.kernel.settings import split_host_endpoint
from balsamspool.plugins.catalog.delta import (
    CatalogDelta,
    decode_delta,
    encode_delta,
)
from balsamspool.plugins.catalog.model import Snapshot
from balsamspool.plugins.catalog.view import CatalogView
from balsamspool.plugins.datagram_agent import DatagramAgentPlugin
from standins.odd_entries import entry, random_entry
from tests._clock import PausedClockTestCase
from tests.datagram_entry_case import DATA, IDLE, KEY, EntryCase
from tests.datagram_fakes import (
    ACK,
    BOUNCED,
    CODEC,
    RST,
    SYN,
    FakeKernel,
    FakeSocket,
    answer,
    packet,
)

from fleet_adapter.records import Item, record_of  # isort: skip

ROUNDS = 4_000
FORWARD = Forward(7, bytes(4), 0, True, False, (b"\x0a\0\0\2",), DATA)
SAMPLES = (
    packet(SYN),
    DATA,
    packet(RST),
    packet(ACK | BOUNCED, b"x"),
    answer(ACK, b"y"),
    forward_head(FORWARD) + DATA,
    returned_head(3, False) + DATA,
    *map(
        encode_small,
        (
            FlowLocated(KEY),
            FlowEnded(KEY),
            Subscribe(3.5, 0.1),
            Report(IDLE),
            WorkReport(IDLE),
            Announce(1, 5, True),
            Readers((b"\x0a\0\0\2",), 3, 5),
        ),
    ),
)


def mutations(rng, count):
    """Yield samples with octets changed, removed, added or cut off."""
    for _ in range(count):
        data = bytearray(rng.choice(SAMPLES))
        for _ in range(rng.randrange(1, 5)):
            position = rng.randrange(len(data) + 1)
            match rng.randrange(4):
                case 0 if position < len(data):
                    data[position] = rng.randrange(256)
                case 1:
                    del data[position : position + rng.randrange(1, 9)]
                case 2:
                    data[position:position] = rng.randbytes(rng.randrange(1, 9))
                case _:
                    del data[position:]
        yield bytes(data)


class EntryFuzzTest(EntryCase):
    async def test_malformed_datagrams_do_no_harm(self):
        """Guards against a datagram that raises, or that makes an entry useless."""
        rng = random.Random(5)
        for data in mutations(rng, ROUNDS):
            self.peers.receive(data, (rng.choice(("10.0.0.1", "10.9.9.9")), 7720))
            self.receive(data)
        self.assertTrue(all(not task.done() for task in self.kernel.tasks))
        self.peers.take()
        self.receive(packet(SYN, source=("100.64.3.3", 999)))
        self.assertEqual(len(self.peers.take_forwards()), 1)


class AgentFuzzTest(PausedClockTestCase):
    async def test_malformed_datagrams_do_no_harm(self):
        """Guards against a datagram that raises, or that makes an agent useless."""
        settings = DatagramAgentSettings(
            address="10.0.0.1:8172",
            service="portal",
            backend="10.0.0.1:8165",
            outbound="10.0.0.1:8162",
        )
        kernel = FakeKernel(
            Role.DATAGRAM_AGENT, "10.0.0.1", {"datagram-agent": settings}
        )
        await DatagramAgentPlugin(kernel).start()
        peers = FakeSocket.opened["10.0.0.1", 7720]
        outbound = FakeSocket.opened["10.0.0.1", 8162]
        rng = random.Random(6)
        for data in mutations(rng, ROUNDS):
            peers.receive(data, ("10.0.1.1", 7720))
            outbound.receive(data, ("10.0.0.1", 8165))
        self.assertTrue(all(not task.done() for task in kernel.tasks))
        await kernel.stop()


class RecordFuzzTest(TestCase):
    def test_malformed_records_are_ignored(self):
        """Guards against a record of another writer that ends the process."""
        rng = random.Random(8)
        values = (None, "", "e30=", "bm8=", "!!!", "eyJzZXJ2aWNlIjo3fQ==")
        for _ in range(ROUNDS):
            key = rng.choice(("op/config", "servers/i-1", "servers/", "other", ""))
            value = (
                rng.choice(values) if rng.random() < 0.5 else rng.randbytes(20).hex()
            )
            record_of(Item(key, rng.randrange(100), value, rng.random() < 0.2))

    def test_the_other_entries_hold_and_reach_the_peers(self):
        """Guards against an odd entry that takes others of its batch with it."""
        rng = random.Random(10)
        good = record_of(Item("servers/good", 1, b64encode(entry()).decode()))
        for _ in range(ROUNDS // 8):
            keys = rng.sample(("servers/a", "servers/b", "servers/", "op/config"), 3)
            odd = [
                record_of(Item(key, 2, b64encode(random_entry(rng)).decode()))
                for key in keys
            ]
            view = CatalogView()
            records = (*odd[:2], good, *odd[2:])
            delta = decode_delta(encode_delta(CatalogDelta(2, True, records, None)))
            self.assertEqual(delta.records, records)
            view.replace(Snapshot(2, delta.records), 0.0)
            self.assertIn("good", [server.name for server in view.servers])
            for server in view.servers:
                split_host_endpoint(f"{server.address}:{server.port}")
                self.assertIsInstance(server.slots, int)
                self.assertTrue(server.service and server.failure_domain)


class SocketTest(PausedClockTestCase):
    async def test_a_failure_of_the_handler_is_logged_and_counted(self):
        """Guards against an unexpected error that ends the reading of datagrams."""
        handled = []

        def handle(data, sender):
            handled.append(data)
            raise ValueError("planted")

        opened = BatchSocket(("127.0.0.1", 0), handle)
        with self.assertLogs("balsamspool.datagram.sockets", "ERROR") as logs:
            for number in range(10):
                opened._handle(bytes((number,)), ("127.0.0.1", 1))
        opened.close()
        self.assertEqual(len(handled), 10)
        # One line for the failures 1, 2, 4 and 8.
        self.assertEqual(len(logs.output), 4)


class DecodeTest(TestCase):
    def test_random_octets_decode_to_nothing_or_a_message(self):
        """Guards against a decoder that raises."""
        rng = random.Random(9)
        for data in mutations(rng, ROUNDS):
            decode(data)
            CODEC.decode(data)

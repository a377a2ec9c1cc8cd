"""Exchange of the text between peers, on a paused clock and an in-memory mesh."""

import asyncio
import math
import random
from types import SimpleNamespace

from prometheus_client import CollectorRegistry

from balsamspool.kernel.clock import now
from balsamspool.kernel.identity import Identity, Role
from balsamspool.kernel.keyring import KeyRing, KeySet
from balsamspool.plugins.configuration import plugin as configuration_module
from balsamspool.plugins.configuration.digest import text_digest
from balsamspool.plugins.configuration.messages import (
    ConfigurationOffer,
    ConfigurationRequest,
)
from balsamspool.plugins.configuration.peers import FANOUT, ListedPeer, PeerSample
from balsamspool.plugins.configuration.plugin import (
    SILENT_PEERS_SECONDS,
    ConfigurationPlugin,
)
from balsamspool.plugins.configuration.settings import ConfigurationSettings
from balsamspool.plugins.mesh import MeshPlugin, PeerAddress
from balsamspool.plugins.mesh._codec import MeshCodec
from balsamspool.plugins.platform import PlatformPlugin, PlatformValue
from tests._clock import PausedClockTestCase
from tests.test_configuration_store import SECRET, text_of

OTHER = "cd" * 32
TCP_BYTES = 120  # headers of a segment and of its acknowledgement, with Ethernet
CONTROL_BYTES_PER_SECOND = 9_000


class Network:
    """Delivers sealed frames between nodes with delay, loss and partitions."""

    def __init__(self, rng, loss=0.0):
        self.rng, self.loss = rng, loss
        self.nodes = {}
        self.cut = lambda sender, receiver: False

    def deliver(self, sender, receiver, frame):
        node = self.nodes.get(receiver)
        sender.sent_bytes += len(frame) + TCP_BYTES
        if node is None or self.rng.random() < self.loss:
            return
        if self.cut(sender.address, receiver):
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self.rng.uniform(0.001, 0.01), node.receive, frame)


class Node:
    """A process with the real configuration plug-in, store and codec."""

    def __init__(self, network, number, keys=None, seeds=(), domain="a"):
        self.address = PeerAddress(f"10.{number >> 16}.{number >> 8 & 255}.1", number)
        self.network, self.handlers, self.sent_bytes = network, {}, 0
        self.identity = Identity(
            Role.ENTRY,
            f"entry-{number}",
            domain,
            self.address.address,
            1,
            number,
            1,
            b"12345678",
        )
        self.keys = keys or KeySet(1, {"1": SECRET})
        self.keyring = KeyRing(self.keys)
        self.codec = MeshCodec(self.keyring, self.identity)
        self.metrics, self.pauses = CollectorRegistry(), 0
        section = ConfigurationSettings(
            peers=[f"{seed.address}:{seed.peer_port}" for seed in seeds]
        )
        self.settings = SimpleNamespace(
            process=SimpleNamespace(keys=self.keys), section=lambda name: section
        )
        self.tasks, self.watched = [], []
        network.nodes[self.address] = self
        self.configuration = ConfigurationPlugin(self)

    def plugin(self, plugin_type):
        assert plugin_type in (MeshPlugin, PlatformPlugin)
        return self

    def subscribe(self, body_type, handler):
        self.handlers[body_type] = handler

    def send(self, peer, body):
        self.network.deliver(self, peer, self.codec.seal(body, now()))

    def receive(self, frame):
        opened = self.codec.open(frame)
        if opened is not None:
            self.handlers[type(opened.message.body)](opened.message)

    def watch(self, name, known_revision, on_value):
        self.watched.append((known_revision(), on_value))

    def spawn(self, work, name):
        self.tasks.append(asyncio.get_running_loop().create_task(work, name=name))

    @property
    def revision(self):
        return self.configuration.text_state().revision


class ExchangeTest(PausedClockTestCase):
    async def asyncSetUp(self):
        self.rng = random.Random(5)
        self.network = Network(self.rng)

    async def asyncTearDown(self):
        tasks = [task for node in self.network.nodes.values() for task in node.tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def fleet(self, count, domains="a", revision=1):
        nodes = [
            Node(self.network, n + 1, domain=domains[n % len(domains)])
            for n in range(count)
        ]
        listed = [
            ListedPeer(node.address, node.identity.failure_domain) for node in nodes
        ]
        for node in nodes:
            node.configuration.learn_peers(listed)
            if revision:
                node.configuration.offer(revision, text_of({"a": 1}))
        return nodes

    async def start(self, nodes):
        for node in nodes:
            await node.configuration.start()

    async def test_change_spreads_without_the_platform(self):
        """Guards against a change that spreads late or needs too much traffic."""
        self.network.loss = 0.05
        nodes = self.fleet(300, "abcdefgh")
        await self.start(nodes)
        await asyncio.sleep(10)
        for node in nodes:
            node.sent_bytes = 0
        await asyncio.sleep(60)
        quiet = max(node.sent_bytes for node in nodes) / 60
        self.assertLess(quiet, CONTROL_BYTES_PER_SECOND / 10)
        nodes[0].configuration.offer(2, text_of({"a": 1}, "changed"))
        await asyncio.sleep(8)
        self.assertEqual({node.revision for node in nodes}, {2})

    async def test_partition_heals_to_the_higher_revision(self):
        """Guards against parts of a fleet that keep different texts."""
        nodes = self.fleet(60, "ab")
        side = {node.address: node.identity.failure_domain for node in nodes}
        await self.start(nodes)
        self.network.cut = lambda one, other: side[one] != side[other]
        nodes[0].configuration.offer(2, text_of({"a": 1}, "near"))
        nodes[1].configuration.offer(3, text_of({"a": 1}, "far"))
        await asyncio.sleep(8)
        found = {side[node.address]: node.revision for node in nodes}
        self.assertEqual(found, {"a": 2, "b": 3})
        self.network.cut = lambda one, other: False
        await asyncio.sleep(15)
        self.assertEqual({node.revision for node in nodes}, {3})

    async def test_fresh_process_queries_peers_before_the_platform(self):
        """Guards against a start with the text of a stale platform."""
        low, high = Node(self.network, 1), Node(self.network, 2)
        low.configuration.offer(3, text_of({"a": 1}, "low"))
        high.configuration.offer(7, text_of({"a": 1}, "high"))
        fresh = Node(self.network, 3, seeds=[low.address, high.address])
        await self.start([fresh])
        await asyncio.sleep(1.05)
        known, on_value = fresh.watched[0]
        self.assertEqual((known, fresh.revision), (7, 7))
        on_value(PlatformValue(4, text_of({"a": 1}, "stale")))
        self.assertEqual(fresh.revision, 7)

    async def test_fresh_process_starts_without_peers(self):
        """Guards against a start that waits for unreachable peers for ever.

        The limit is 8 s, within which a text must be in force.
        """
        unreachable = [PeerAddress("10.9.9.9", 9), PeerAddress("10.9.9.8", 9)]
        fresh = Node(self.network, 3, seeds=unreachable)
        await self.start([fresh])
        await asyncio.sleep(SILENT_PEERS_SECONDS + 0.35)
        self.assertEqual(len(fresh.watched), 1)
        fresh.watched[0][1](PlatformValue(1, text_of({"a": 1})))
        self.assertTrue(fresh.configuration.ready)

    async def test_peers_without_a_text_answer_a_start_at_once(self):
        """Guards against a new fleet that waits as if its peers were silent."""
        peers = [Node(self.network, 1), Node(self.network, 2)]
        fresh = Node(self.network, 3, seeds=[peer.address for peer in peers])
        await self.start([fresh])
        await asyncio.sleep(0.5)
        self.assertEqual(len(fresh.watched), 1)
        sent = fresh.sent_bytes
        await asyncio.sleep(1.0)
        # Answers are not answered; only periodic offers follow.
        self.assertLess(fresh.sent_bytes - sent, 3 * 400)

    async def test_resumed_process_queries_peers_again(self):
        """Guards against a resumed process that serves with an outdated text."""
        nodes = self.fleet(10)
        paused = nodes[0]
        await self.start(nodes)
        await asyncio.sleep(5)
        self.network.cut = lambda one, other: paused.address in (one, other)
        nodes[1].configuration.offer(2, text_of({"a": 1}, "changed"))
        await asyncio.sleep(5)
        self.network.cut = lambda one, other: False
        paused.pauses += 1
        self.assertFalse(paused.configuration.fresh)
        await asyncio.sleep(1.5)
        self.assertTrue(paused.configuration.fresh)
        self.assertEqual(paused.revision, 2)

    async def test_refused_text_is_not_requested_again(self):
        """Guards against a text that is transferred with every offer."""
        nodes = self.fleet(2)
        refused = text_of({"b": 1})
        nodes[0].configuration.offer(2, refused)
        self.assertEqual(nodes[0].revision, 1)
        requests = []
        nodes[1].handlers[ConfigurationRequest] = requests.append
        for digest in (text_digest(refused), "0" * 16):
            for _ in range(50):
                nodes[1].send(nodes[0].address, ConfigurationOffer(2, digest))
            await asyncio.sleep(0.5)
        # The refused text is never requested. The unknown text with the same revision
        # is requested once, and not again while that request is pending.
        self.assertEqual(len(requests), 1)

    async def test_conflicting_text_is_counted(self):
        """Guards against two texts with the same revision that are not reported."""
        nodes = self.fleet(2, revision=0)
        nodes[0].configuration.offer(1, text_of({"a": 1}, "one"))
        nodes[1].configuration.offer(1, text_of({"a": 1}, "other"))
        await self.start(nodes)
        with self.assertLogs(configuration_module.__name__, "ERROR"):
            await asyncio.sleep(10)
        count = nodes[0].metrics.get_sample_value(
            "balsamspool_configuration_ignored_texts_total", {"reason": "conflict"}
        )
        self.assertGreater(count, 0)
        self.assertEqual(nodes[0].configuration.status()["conflict_revision"], 1)

    async def test_process_with_older_keys_learns_the_text(self):
        """Guards against a restarted process that a key rotation locks out."""
        newer = KeySet(2, {"2": OTHER})
        holder = Node(self.network, 1, KeySet(1, {"1": SECRET}))
        secrets = {"1": "ef" * 32, "2": OTHER}
        holder.configuration.offer(5, text_of({"a": 1}, secrets=secrets))
        fresh = Node(self.network, 2, seeds=[holder.address])
        stranger = Node(self.network, 3, KeySet(1, {"1": "00" * 32}), [holder.address])
        rotated = Node(self.network, 4, newer, [holder.address])
        await self.start([fresh, stranger, rotated])
        await asyncio.sleep(2)
        self.assertEqual(fresh.revision, 5)
        self.assertEqual(rotated.revision, 5)
        self.assertEqual(stranger.revision, 0)
        # For traffic, the process uses only the keys from the received text.
        self.assertEqual(fresh.keyring.numbers, {1, 2})
        self.assertEqual(
            fresh.keyring.key(1, "mesh"), holder.keyring.key(1, "mesh"), "text keys"
        )

    async def test_failed_subscriber_restores_the_previous_text(self):
        """Guards against parts of a process that apply different texts."""
        node = Node(self.network, 1)
        seen, fail = [], True

        def second(configuration):
            if fail and configuration.revision == 2:
                raise OSError("address in use")

        node.configuration.subscribe(lambda c: seen.append(c.revision))
        node.configuration.subscribe(second)
        node.configuration.offer(1, text_of({"a": 1}))
        secrets = {"1": OTHER}
        with self.assertLogs(configuration_module.__name__, "ERROR"):
            node.configuration.offer(2, text_of({"a": 1}, secrets=secrets))
        self.assertEqual(seen, [1, 2, 1])
        self.assertEqual(node.configuration.current.revision, 1)
        first_key = KeyRing(KeySet(1, {"1": SECRET})).key(1, "mesh")
        self.assertEqual(node.keyring.key(1, "mesh"), first_key)
        self.assertIn("address in use", node.configuration.status()["rejected_detail"])
        node.configuration.offer(3, text_of({"a": 1}, "b"))
        self.assertEqual(node.configuration.current.revision, 3)

    async def test_invalid_first_text_is_shown(self):
        """Guards against a process that does not report why it is not ready."""
        node = Node(self.network, 1)
        node.configuration.offer(1, '{\n"format": 2}')
        self.assertFalse(node.configuration.ready)
        self.assertIn("line", node.configuration.status()["rejected_detail"])


class PeerSampleTest(PausedClockTestCase):
    def test_half_of_the_small_sample_is_in_the_own_domain(self):
        """Guards against a process without peers when its failure domain is cut off."""
        listed = [
            ListedPeer(PeerAddress("10.0.0.1", n + 1), "abcdefgh"[n % 8])
            for n in range(4_740)
        ]
        own = listed[0]
        sample = PeerSample(own.address, "a", [], random.Random(2))
        sample.learn(listed)
        first = sample.members
        near = {peer.address for peer in listed if peer.failure_domain == "a"}
        self.assertEqual(len(first), FANOUT)
        self.assertGreaterEqual(len(near & set(first)), FANOUT // 2)
        self.assertNotIn(own.address, first)
        sample.learn(peer for peer in listed if peer.address != first[0])
        self.assertEqual(set(first[1:]) - set(sample.members), set())
        self.assertEqual(math.ceil(math.log(4_740, FANOUT)), 5)

    def test_half_of_the_sample_stays_in_the_own_domain_when_peers_move(self):
        """Guards against a full sample without peers in the same failure domain."""
        listed = [
            ListedPeer(PeerAddress("10.0.0.1", n + 1), "ab"[n % 2]) for n in range(100)
        ]
        sample = PeerSample(PeerAddress("10.0.0.2", 1), "a", [], random.Random(2))
        sample.learn(listed)
        first = set(sample.members)
        sample.learn(
            ListedPeer(p.address, "b") if p.address in first else p for p in listed
        )
        near = {p.address for p in listed if p.failure_domain == "a"} - first
        self.assertGreaterEqual(len(near & set(sample.members)), FANOUT // 2)

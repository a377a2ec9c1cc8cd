"""The mesh over pynng on loopback, on uvloop."""

import asyncio
import os
import secrets
import socket
import time
from dataclasses import dataclass, field
from unittest import TestCase, mock

from prometheus_client import CollectorRegistry
from pynng import Push0

from balsamspool.kernel.errors import ResultError
from balsamspool.kernel.identity import Identity, Role
from balsamspool.kernel.keyring import KeyRing, KeySet
from balsamspool.kernel.lifecycle import ProcessState
from balsamspool.plugins.mesh import MeshPlugin, NotSent, PeerAddress, Sent
from balsamspool.plugins.mesh import connections as connections_module
from balsamspool.plugins.mesh import peer as peer_module
from balsamspool.plugins.mesh import plugin as plugin_module
from balsamspool.plugins.mesh.message import mesh_message
from balsamspool.programs._runner import run_on_uvloop

SECRETS = {"0": "11" * 32, "1": "22" * 32}


@mesh_message(902)
@dataclass(frozen=True, slots=True)
class Note:
    text: str


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


@dataclass
class StubKernel:
    """The parts of the kernel that the mesh uses."""

    identity: Identity
    keyring: KeyRing
    metrics: CollectorRegistry = field(default_factory=CollectorRegistry)
    state: ProcessState = ProcessState.ACCEPTING
    tasks: list = field(default_factory=list)

    def spawn(self, work, name):
        task = asyncio.create_task(work, name=name)
        self.tasks.append(task)
        return task


class Node:
    """A mesh plug-in with a stub kernel; collects the notes it receives."""

    def __init__(self, port=None, active=0, numbers=("0", "1")):
        port = port or free_port()
        self.address = PeerAddress("127.0.0.1", port)
        identity = Identity(
            Role.AGENT, "n", "d", "127.0.0.1", 1, port, 2, secrets.token_bytes(8)
        )
        keys = KeySet(active, {n: SECRETS[n] for n in numbers})
        self.kernel = StubKernel(identity, KeyRing(keys))
        self.mesh = MeshPlugin(self.kernel)
        self.notes = []
        self.mesh.subscribe(Note, lambda m: self.notes.append(m.body.text))

    async def __aenter__(self):
        await self.mesh.start()
        return self

    async def __aexit__(self, *_):
        await self.mesh.stop()
        for task in self.kernel.tasks:
            task.cancel()
        await asyncio.gather(*self.kernel.tasks, return_exceptions=True)

    def count(self, name, **labels):
        return self.kernel.metrics.get_sample_value(f"{name}_total", labels) or 0

    async def wait_notes(self, count):
        async with asyncio.timeout(10):
            while len(self.notes) < count:  # noqa: ASYNC110
                await asyncio.sleep(0.01)


def on_uvloop(test):
    return lambda self: run_on_uvloop(test(self))


class MeshLinkTest(TestCase):
    @on_uvloop
    async def test_order_and_key_rotation(self):
        """Guards against lost frames, and frames refused despite a valid key."""
        async with Node() as a, Node(active=1) as b, Node(numbers=("0",)) as c:
            for i in range(200):
                a.mesh.send(b.address, Note(str(i)))
            await b.wait_notes(200)
            self.assertEqual(b.notes, [str(i) for i in range(200)])
            self.assertEqual(await b.mesh.deliver(a.address, Note("x")), Sent())
            await a.wait_notes(1)
            b.mesh.send(c.address, Note("unknown key"))
            await asyncio.sleep(0.3)
            self.assertEqual(c.notes, [])

    @on_uvloop
    async def test_bytes_are_counted_on_both_sides(self):
        """Guards against control traffic that the metrics do not count."""
        async with Node() as a, Node() as b:
            for text in ("", "x" * 1000):
                await a.mesh.deliver(b.address, Note(text))
            await b.wait_notes(2)
            sent = a.count("balsamspool_mesh_sent_bytes")
            self.assertGreater(sent, 1000)
            self.assertLess(sent, 1600)
            self.assertEqual(b.count("balsamspool_mesh_received_bytes"), sent)

    @on_uvloop
    async def test_absent_peer_blocks_no_other(self):
        """Guards against an absent peer that delays others or gets old messages."""
        port = free_port()
        absent = PeerAddress("127.0.0.1", port)
        with mock.patch.object(peer_module, "SEND_TIMEOUT_SECONDS", 0.5):
            async with Node() as a, Node() as b:
                old = asyncio.create_task(a.mesh.deliver(absent, Note("old")))
                a.mesh.send(b.address, Note("new"))
                await b.wait_notes(1)
                self.assertEqual(await old, NotSent("timeout"))
                async with Node(port) as late:
                    self.assertEqual(await a.mesh.deliver(absent, Note("n")), Sent())
                    await late.wait_notes(1)
                    self.assertEqual(late.notes, ["n"])

    @on_uvloop
    async def test_queue_and_peers_are_bounded(self):
        """Guards against memory that grows with an absent peer or with many peers."""
        absent = PeerAddress("127.0.0.1", free_port())
        with mock.patch.object(plugin_module, "PEER_LIMIT", 1):
            async with Node() as a, Node() as b:
                sent = [a.mesh.send(absent, Note("x" * 10_000)) for _ in range(1000)]
                self.assertLess(sum(sent), 430)
                result = await a.mesh.deliver(b.address, Note("x"))
                self.assertEqual(result, NotSent("too-many-peers"))

    @on_uvloop
    async def test_occupied_port_is_reported(self):
        """Guards against a failed start without the result code of an occupied port."""
        with socket.socket() as other:
            other.bind(("127.0.0.1", 0))
            other.listen()
            node = Node(other.getsockname()[1])
            with self.assertRaises(ResultError) as caught:
                await node.mesh.start()
            self.assertEqual(caught.exception.code.number, 1801)

    @on_uvloop
    async def test_unused_link_is_closed(self):
        """Guards against tasks and sockets that are kept for stopped peers."""
        with mock.patch.object(peer_module.PeerLink.__init__, "__defaults__", (0.2,)):
            async with Node() as a, Node() as b:
                await a.mesh.deliver(b.address, Note("1"))
                await asyncio.sleep(0.5)
                self.assertEqual(a.mesh.status()["peers"], 0)
                await a.mesh.deliver(b.address, Note("2"))
                await b.wait_notes(2)

    @on_uvloop
    async def test_subscriber_exception_is_logged_and_counted(self):
        """Guards against a faulty handler that ends the receive task."""
        async with Node() as a, Node() as b:
            b.mesh.subscribe(Note, lambda message: 1 / 0)
            with self.assertLogs("balsamspool", "ERROR"):
                await a.mesh.deliver(b.address, Note("1"))
                await asyncio.sleep(0.3)
            name = "balsamspool_mesh_received_messages"
            self.assertEqual(b.count(name, result="subscriber-failed"), 1)
            b.mesh.subscribe(Note, lambda m: b.notes.append(m.body.text))
            await a.mesh.deliver(b.address, Note("2"))
            await b.wait_notes(1)

    @on_uvloop
    async def test_unauthenticated_clients_cannot_block_peers(self):
        """Guards against garbage, oversized frames and many idle connections."""
        with mock.patch.object(connections_module, "CONNECTION_LIMIT", 20):
            async with Node() as a, Node() as b:
                url = f"tcp://127.0.0.1:{b.address.peer_port}"
                idle = [Push0(dial=url, block_on_dial=True) for _ in range(40)]
                raw = [
                    socket.create_connection(("127.0.0.1", b.address.peer_port))
                    for _ in range(40)
                ]
                for i, client in enumerate(raw):
                    client.sendall(os.urandom(1 + i * 100))
                huge = Push0(dial=url, block_on_dial=True)
                huge.send(bytes(3 * 1024 * 1024))
                for i in range(20):
                    with Push0(dial=url, block_on_dial=True) as garbage:
                        garbage.send(b"\x01\x00" + os.urandom(i * 50))
                        await asyncio.sleep(0.02)
                # The first frames may be lost while other clients use up the connection
                # limit; a connection that carried an authentic frame stays open.
                started = time.monotonic()
                while not b.notes and time.monotonic() - started < 10:
                    await a.mesh.deliver(b.address, Note("1"))
                    await asyncio.sleep(0.05)
                print(f"first frame after {time.monotonic() - started:.3f} s")
                b.notes.clear()
                for _ in range(20):
                    await a.mesh.deliver(b.address, Note("2"))
                    await asyncio.sleep(0.02)
                await b.wait_notes(20)
                await asyncio.sleep(0.2)
                self.assertLessEqual(b.mesh.status()["connections"], 20)
                name = "balsamspool_mesh_received_messages"
                self.assertGreater(b.count(name, result="not-authentic"), 0)
                for client in [*idle, *raw, huge]:
                    client.close()

    @on_uvloop
    async def test_idle_links_use_no_processor_time(self):
        """Guards against a thread of NNG or a reader that spins while it waits."""
        async with Node() as a, Node() as b, Node() as c, Node() as d:
            for peer in (b, c, d):
                await a.mesh.deliver(peer.address, Note("1"))
                await peer.wait_notes(1)
            started = time.process_time()
            await asyncio.sleep(3)
            used = time.process_time() - started
            print(f"processor time in 3 idle seconds: {used:.4f} s")
            self.assertLess(used, 0.15)

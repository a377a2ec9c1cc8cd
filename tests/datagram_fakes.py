"""Fakes at the interfaces of the datagram plug-ins, and packets of the adapter."""

import asyncio
import random
import socket
import struct
import sys
from pathlib import Path
from types import SimpleNamespace

# The adapter's folder is on the import path only in the adapter's own program, so it is
# added here.
ADAPTER = Path(__file__).resolve().parent.parent / "platform"
sys.path.insert(0, str(ADAPTER))

from fleet_adapter.packets import PlatformPacketCodec  # noqa: E402

from balsamspool.datagram._codec import decode  # noqa: E402
from balsamspool.datagram.messages import Forward  # noqa: E402
from balsamspool.datagram.sockets import DatagramSockets  # noqa: E402
from balsamspool.kernel.clock import now  # noqa: E402
from balsamspool.kernel.counters import CounterSet  # noqa: E402
from balsamspool.kernel.identity import Identity, Role  # noqa: E402
from balsamspool.kernel.lifecycle import (  # noqa: E402
    ProcessState,
    run_supervised,
)
from balsamspool.plugins.catalog.delta import CatalogDelta  # noqa: E402
from balsamspool.plugins.catalog.model import (  # noqa: E402
    BackendServer,
    BackendState,
    Changes,
    Route,
    RoutesPublished,
    RouteTable,
    ServerPublished,
    Snapshot,
    Target,
)
from balsamspool.plugins.catalog.peers import CatalogPeers  # noqa: E402
from balsamspool.plugins.catalog.revision import Revision  # noqa: E402
from balsamspool.plugins.catalog.source import CatalogSource  # noqa: E402

FIN, SYN, RST, ACK, BOUNCED = 1, 2, 4, 64, 128
HEAD = struct.Struct("!BII4s4s2s2sIH4s")
CALLER = ("100.64.0.7", 40001)
SERVICE = ("198.18.0.1", 443)
CODEC = PlatformPacketCodec(None)


def packet(
    flags, data=b"", source=CALLER, destination=SERVICE, seq=1, ack=0, echo=bytes(4)
):
    """Return a packet as a caller or a backend server sends it."""
    return (
        HEAD.pack(
            flags,
            seq,
            ack,
            socket.inet_aton(destination[0]),
            socket.inet_aton(source[0]),
            source[1].to_bytes(2, "big"),
            destination[1].to_bytes(2, "big"),
            7,
            len(data),
            echo,
        )
        + data
    )


def answer(flags, data=b"", caller=CALLER, service=SERVICE, **fields):
    """Return a packet of a backend server to a caller."""
    return packet(flags, data, source=service, destination=caller, **fields)


def server(number, service="portal", **fields):
    """Return a backend server at 10.0.0.<number>."""
    values = {
        "name": f"i-{number}",
        "service": service,
        "address": f"10.0.0.{number}",
        "port": 8080,
        "failure_domain": "a",
        "slots": 2,
        "state": BackendState.READY,
    }
    return BackendServer(**(values | fields))


def table(version, *routes):
    """Return a published route table."""
    return RouteTable(version, routes or (route("portal"),), idle_seconds=15.0)


def route(*services, address=SERVICE):
    """Return a route to services of equal weight."""
    targets = tuple(Target(service) for service in services)
    return Route("r-1", address[0], address[1], targets)


class FakeSocket:
    """Records sent datagrams; a test passes in the datagrams that arrive."""

    opened: dict = {}

    def __init__(self, address, on_datagram):
        self.address = address
        self.receive = on_datagram
        self.sent = []
        FakeSocket.opened[address] = self

    def start(self):
        pass

    def close(self):
        pass

    def send(self, parts, address):
        self.sent.append((b"".join(parts), address))

    def take(self):
        """Return what was sent since the last call."""
        sent, self.sent = self.sent, []
        return sent

    def take_messages(self):
        """Return the messages between processes that were sent, with receivers."""
        return [(decode(data), address[0]) for data, address in self.take()]

    def take_forwards(self):
        """Return the forwarded packets among the messages."""
        return [
            (message, address)
            for message, address in self.take_messages()
            if isinstance(message, Forward)
        ]


class FakeSockets(DatagramSockets):
    """Opens recording sockets."""

    def open(self, address, on_datagram):
        return FakeSocket(address, on_datagram)


class FakeSource(CatalogSource):
    """A catalog source that a test fills; an exception in `failure` is raised."""

    def __init__(self):
        self.records = []
        self.revision = Revision(10)
        self.failure = None
        self.past = Changes(10, ())
        self.reads = 0
        self.updates = 0
        self.watches = 0
        self.queue = asyncio.Queue()

    async def read(self):
        self.reads += 1
        if self.failure:
            raise self.failure
        return Snapshot(self.revision, tuple(self.records))

    async def changes(self, after):
        self.updates += 1
        if self.failure:
            raise self.failure
        newer = tuple(r for r in self.records if r.revision > after)
        return Changes(self.revision, newer)

    async def history(self, revision):
        return self.past

    async def watch(self, after, wait):
        self.watches += 1
        if self.failure:
            raise self.failure
        try:
            async with asyncio.timeout(wait):
                found = await self.queue.get()
        except TimeoutError:
            return Changes(after, ())
        if isinstance(found, Exception):
            raise found
        return found

    def publish(self, *records):
        """Pass records to the waiting watch."""
        self.revision = Revision(max(r.revision for r in records))
        self.queue.put_nowait(Changes(self.revision, records))


class FakePeers(CatalogPeers):
    """Peers that a test fills: a delta by peer, or an exception to raise."""

    def __init__(self):
        self.deltas = {}
        self.fetched = []
        self.stopped = False

    async def serve(self, endpoint, answer):
        self.answer = answer

    async def fetch(self, peer, after, wait):
        self.fetched.append((peer, after))
        end = now() + wait
        while True:
            found = self.deltas.get(peer)
            changed = isinstance(found, CatalogDelta) and found.revision > after
            if changed or now() >= end:
                break
            await asyncio.sleep(0.05)
        if isinstance(found, Exception):
            raise found
        return found


class FakeKernel:
    """The parts of the kernel that plug-ins use."""

    def __init__(self, role, address, sections):
        self.identity = Identity(role, "x-1", "a", address, 7720, 7735, 9464, bytes(8))
        self.settings = SimpleNamespace(section=sections.__getitem__)
        self.counters = CounterSet()
        self.state = ProcessState.ACCEPTING
        self.pauses = 0
        self.known = [CODEC, FakeSockets(self), FakePeers()]
        self.tasks = []

    def plugin(self, plugin_type):
        return next(p for p in self.known if isinstance(p, plugin_type))

    def supervise(self, work, name):
        return self.spawn(run_supervised(work, name), name)

    def new_random(self):
        return random.Random(1)

    def spawn(self, work, name):
        task = asyncio.get_running_loop().create_task(work, name=name)
        self.tasks.append(task)
        return task

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def published(revision, *servers):
    """Return records that publish backend servers."""
    return [ServerPublished(revision + n, s) for n, s in enumerate(servers)]


def routes(revision, *found, version=1):
    """Return the record of a route table."""
    return RoutesPublished(revision, table(version, *found))


__all__ = ["CODEC", "Role"]

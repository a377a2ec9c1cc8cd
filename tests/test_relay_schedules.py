"""The relay over a mesh that delays, reorders, repeats and drops messages.

The mesh can also lose all messages in one direction.
"""

import asyncio
import random
import selectors
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from unittest import TestCase, mock

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from balsamspool.kernel.clock import Deadline, now
from balsamspool.kernel.errors import ResultError
from balsamspool.plugins.mesh.message import Message, NotSent, PeerAddress, Sent
from balsamspool.plugins.relay import client as client_module
from balsamspool.plugins.relay.client import RelayClient
from balsamspool.plugins.relay.codes import RELAY_PEER_FAILED
from balsamspool.plugins.relay.messages import (
    RelayBody,
    RelayCancel,
    RelayCredit,
    RelayHeartbeat,
    RelayRequest,
)
from balsamspool.plugins.relay.server import RelayServer
from balsamspool.plugins.relay.stream import (
    CHUNK_BYTES,
    WINDOW_COST,
    Part,
    PartReader,
    part_cost,
)
from balsamspool.requests.answer import ResponseWriter
from balsamspool.requests.relay import Answered, NotRun, Unknown
from balsamspool.requests.request import Request

GOLDEN = Path(__file__).parent / "golden" / "relay_session.jsonl"
ISSUER, PEER = PeerAddress("10.0.0.1", 1), PeerAddress("10.0.0.2", 1)
INCARNATIONS = {ISSUER: b"issuer", PEER: b"peer"}
TO_SERVER = (RelayRequest, RelayBody, RelayCancel)
MESSAGE_LIFETIME_SECONDS = 5.0


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time advances only when nothing is ready."""

    def __init__(self):
        self.virtual_time = 0.0
        super().__init__(_JumpSelector(self))

    def time(self):
        return self.virtual_time


class _JumpSelector(selectors.SelectSelector):
    def __init__(self, loop):
        super().__init__()
        self._loop = loop

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready:
            if timeout is None:
                raise RuntimeError("nothing is scheduled: deadlock")
            self._loop.virtual_time += max(timeout, 0)
        return ready


@dataclass(frozen=True)
class Faults:
    seed: int = 0
    delay: float = 0.0
    drop: float = 0.0
    repeat: float = 0.0
    refuse: float = 0.0
    cut_at: float = 1e9
    cut_to_peer: bool = False


class FakeMesh:
    """Mesh of two processes; ``view`` returns the mesh as one process uses it."""

    def __init__(self, faults):
        self.faults = faults
        self.rng = random.Random(faults.seed)
        self.receivers = {}
        self.log = []

    def view(self, own):
        return FakeMeshView(self, own)

    def transmit(self, sender, receiver, body, incarnation):
        faults, rng = self.faults, self.rng
        if rng.random() < faults.refuse:
            return NotSent("refused")
        self.log.append(body)
        cut = now() >= faults.cut_at and (receiver == PEER) == faults.cut_to_peer
        if cut or rng.random() < faults.drop:
            return Sent()
        if incarnation not in (None, INCARNATIONS[receiver]):
            return Sent()
        message = Message(sender, "x", INCARNATIONS[sender], len(self.log), body)
        for _ in range(2 if rng.random() < faults.repeat else 1):
            delay = rng.uniform(0, faults.delay)
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self.receivers[receiver], message)
        return Sent()


class FakeMeshView:
    def __init__(self, mesh, own):
        self._mesh, self._own = mesh, own

    def subscribe(self, body_type, callback):
        raise AssertionError("client and server of the relay do not subscribe")

    def send(self, peer, body, incarnation=None):
        return isinstance(self._mesh.transmit(self._own, peer, body, incarnation), Sent)

    async def deliver(self, peer, body, incarnation=None):
        await asyncio.sleep(0)
        return self._mesh.transmit(self._own, peer, body, incarnation)


@dataclass
class RecordingWriter(ResponseWriter):
    pause: float = 0.0
    status: int = 0
    body: bytearray = field(default_factory=bytearray)
    finished: bool = False
    aborted: bool = False

    @property
    def started(self):
        return self.status != 0

    async def start(self, status, headers):
        self.status = status

    async def write(self, data):
        await asyncio.sleep(self.pause)
        self.body += data

    async def finish(self):
        self.finished = True

    async def abort(self, error):
        self.aborted = True


def content(name, size):
    return random.Random(name).randbytes(size)


class FakeServing:
    """Runs requests named by ``x-id`` and counts the runs."""

    def __init__(self):
        self.runs = Counter()
        self.bodies = {}

    async def handle(self, request, writer):
        name = request.header("x-id")
        self.runs[name] += 1
        body = b"".join([chunk async for chunk in request.body])
        self.bodies[name] = body
        size = int(request.header("x-size"))
        if size % 7 == 1:
            raise ResultError(RELAY_PEER_FAILED, "failure requested by the test")
        await writer.start(200, [])
        data = content(name, size)
        for i in range(0, size, 50_000):
            await writer.write(data[i : i + 50_000])
            await asyncio.sleep(0.01)
        await writer.finish()


async def chunks(data):
    for i in range(0, len(data), 40_000):
        yield data[i : i + 40_000]


class Pair:
    """An issuer and a peer that are connected by a fake mesh."""

    def __init__(self, faults):
        self.mesh = FakeMesh(faults)
        self.serving = FakeServing()
        self.tasks = []
        self.client = RelayClient(self.mesh.view(ISSUER), INCARNATIONS[ISSUER])
        self.server = RelayServer(
            self.mesh.view(PEER), self.serving.handle, self.spawn, lambda: False
        )
        self.mesh.receivers = {
            ISSUER: self.client.receive,
            PEER: self.server.receive,
        }
        self.spawn(self.send_heartbeats(), "heartbeats")

    def spawn(self, work, name):
        task = asyncio.create_task(work, name=name)
        self.tasks.append(task)
        return task

    async def send_heartbeats(self):
        while True:
            await asyncio.sleep(1)
            self.client.send_heartbeats()
            self.server.send_heartbeats()

    async def send_request(self, name, size, upload=b"", seconds=None):
        writer = RecordingWriter(pause=0.02)
        request = Request(
            "POST" if upload else "GET",
            "/x",
            [("x-id", name), ("x-size", str(size))],
            chunks(upload),
            Deadline.after(seconds) if seconds else None,
        )
        result = await self.client.run(PEER, request, writer, b"peer")
        return result, writer

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


async def find_violations(faults, sizes, seconds):
    """Run requests concurrently; return the violations and the kinds of results."""
    pair = Pair(faults)
    upload = content("upload", 90_000)
    requests = [
        pair.send_request(f"r{i}", size, upload if i % 2 else b"", seconds)
        for i, size in enumerate(sizes)
    ]
    results = await asyncio.gather(*requests)
    # Messages of a request may still be in transit when its result is known.
    await asyncio.sleep(MESSAGE_LIFETIME_SECONDS * 2 + 1)
    found = []
    for i, (result, writer) in enumerate(results):
        name = f"r{i}"
        whole = writer.finished and writer.body == content(name, sizes[i])
        match result:
            case Answered() if not whole or writer.aborted:
                found.append("answer is not whole")
            case Answered() if i % 2 and pair.serving.bodies[name] != upload:
                found.append("body is not whole")
            case NotRun() if pair.serving.runs[name] or writer.started:
                found.append("not run is wrong")
            case Unknown() if writer.finished or writer.started != writer.aborted:
                found.append("unknown left the answer open")
    if max(pair.serving.runs.values(), default=0) > 1:
        found.append("ran twice")
    if pair.client.in_progress or pair.server.in_progress:
        found.append("session left over")
    await pair.close()
    return found, [type(result).__name__ for result, _ in results]


def run_virtual(work):
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work)


RATES = st.sampled_from([0.0, 0.0, 0.02, 0.2])
FAULTS = st.builds(
    Faults,
    seed=st.integers(0, 2**32),
    delay=st.sampled_from([0.0, 0.05, 0.5, 4.9]),
    drop=RATES,
    repeat=RATES,
    refuse=RATES,
    cut_at=st.sampled_from([1e9, 1e9, 0.0, 0.05, 1.0]),
    cut_to_peer=st.booleans(),
)
SIZES = st.lists(st.integers(0, 600_000), min_size=1, max_size=4)


def count_violations(target, name, fault, repeat=0.1):
    """Count the violations that fixed seeds find with an injected fault, by kind."""
    found = Counter()
    with mock.patch.object(target, name, fault):
        for seed in range(40):
            faults = Faults(seed, 0.05, 0.02 * (seed % 2), repeat, 0.02)
            kinds, _ = run_virtual(find_violations(faults, [70_000, 300_000], 20.0))
            found.update(kinds)
    return found


class ScheduleTest(TestCase):
    @settings(max_examples=150, derandomize=True, deadline=None, database=None)
    @given(FAULTS, SIZES, st.sampled_from([None, 0.3, 20.0]))
    def test_results_are_correct_under_faults(self, faults, sizes, seconds):
        """Guards against partial answers, second runs and a wrong "not run"."""
        found, _ = run_virtual(find_violations(faults, sizes, seconds))
        self.assertEqual(found, [])

    def test_reordered_and_repeated_messages_give_whole_answers(self):
        """Guards against a relay that passes the checks by failing every request."""
        for seed in range(20):
            faults = Faults(seed, delay=0.1, repeat=0.3)
            found, kinds = run_virtual(find_violations(faults, [0, 500_000], None))
            self.assertEqual(found, [])
            self.assertIn("Answered", kinds)

    def test_seeds_without_a_fault_find_nothing(self):
        """Guards against seeds that find violations without an injected fault."""
        self.assertEqual(
            count_violations(PartReader, "silent", PartReader.silent), Counter()
        )

    def test_lost_order_is_caught(self):
        """Shows that the check for complete answers detects parts out of order."""

        def accept(reader, sequence, value, size):
            reader.restart_silence_timer()
            slot = reader._next_sequence + len(reader._parts)
            reader._parts[slot] = Part(value, size)
            reader._buffered_cost += part_cost(size)
            reader._changed.set()

        kinds = count_violations(PartReader, "accept", accept, repeat=0.0)
        self.assertGreater(kinds["answer is not whole"], 0)

    def test_missing_record_of_ids_is_caught(self):
        """Shows that the check for a single run detects a repeated request."""
        kinds = count_violations(RelayServer, "_record_id", lambda server, relay: True)
        self.assertGreater(kinds["ran twice"], 0)

    def test_false_not_run_is_caught(self):
        """Shows that the check for "not run" detects its use for an unknown outcome."""
        kinds = count_violations(client_module, "Unknown", NotRun)
        self.assertGreater(kinds["not run is wrong"], 0)


class RelayTest(TestCase):
    def test_session_matches_golden_file(self):
        """Guards against unintended changes of the protocol."""

        async def session():
            pair = Pair(Faults())
            result, writer = await pair.send_request("r", 70_000, b"upload", 10.0)
            self.assertEqual((result, writer.finished), (Answered(), True))
            await pair.close()
            return [
                {"type": type(body).__name__, **msgspec.to_builtins(body)}
                for body in pair.mesh.log
            ]

        lines = [msgspec.json.encode(line).decode() for line in run_virtual(session())]
        self.assertEqual(lines, GOLDEN.read_text().splitlines())

    def test_cancel_reaches_the_peer(self):
        """Guards against a cancelled request that still runs at the peer."""

        async def cancel():
            pair = Pair(Faults())
            request_task = asyncio.create_task(pair.send_request("r", 5_000_000))
            await asyncio.sleep(0.1)
            running = pair.server.in_progress
            request_task.cancel()
            await asyncio.gather(request_task, return_exceptions=True)
            await asyncio.sleep(0.1)
            left = pair.server.in_progress, pair.client.in_progress
            await pair.close()
            return running, left

        self.assertEqual(run_virtual(cancel()), (1, (0, 0)))

    def test_long_silence_of_the_backend_server_is_no_failure(self):
        """Guards against a slow answer that is treated as a failed peer."""

        async def slow():
            pair = Pair(Faults())
            handle = pair.serving.handle

            async def late(request, writer):
                await asyncio.sleep(60)
                await handle(request, writer)

            pair.server._handle = late
            result, _ = await pair.send_request("r", 10)
            await pair.close()
            return result

        self.assertEqual(run_virtual(slow()), Answered())

    def test_sent_but_unread_parts_are_bounded(self):
        """Guards against memory that grows with the size of an answer."""

        async def stalled():
            pair = Pair(Faults())
            task = asyncio.create_task(pair.send_request("r", 5_000_000))
            with mock.patch.object(RecordingWriter, "write", _block_forever):
                await asyncio.sleep(2)
                sent = sum(len(getattr(b, "data", b"")) for b in pair.mesh.log)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await pair.close()
            return sent

        # The sent parts may exceed the window by one part, because the blocked writer
        # has already received one.
        self.assertLessEqual(run_virtual(stalled()), WINDOW_COST + CHUNK_BYTES)

    def test_lost_credit_is_recovered(self):
        """Guards against a stream that stalls forever after a lost credit message."""

        async def without_credit():
            pair = Pair(Faults())
            transmit = pair.mesh.transmit

            def lossy(sender, receiver, body, incarnation):
                if isinstance(body, RelayCredit):
                    return Sent()
                return transmit(sender, receiver, body, incarnation)

            pair.mesh.transmit = lossy
            result, writer = await pair.send_request("r", 700_000)
            heartbeats = sum(isinstance(b, RelayHeartbeat) for b in pair.mesh.log)
            await pair.close()
            return result, len(writer.body), heartbeats > 0

        expected = (Answered(), 700_000, True)
        self.assertEqual(run_virtual(without_credit()), expected)


async def _block_forever(writer, data):
    await asyncio.Event().wait()

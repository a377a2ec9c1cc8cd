"""The relay between two processes over pynng, with a killed or paused peer."""

import asyncio
import signal
import sys
from contextlib import asynccontextmanager
from pathlib import Path
from unittest import TestCase

from balsamspool.kernel.clock import now
from balsamspool.plugins.mesh import PeerAddress
from balsamspool.plugins.relay.client import RelayClient
from balsamspool.plugins.relay.codes import RELAY_NOT_SENT
from balsamspool.plugins.relay.plugin import _TO_BOTH, _TO_CLIENT, _TO_SERVER
from balsamspool.plugins.relay.server import RelayServer
from balsamspool.programs._runner import run_on_uvloop
from balsamspool.requests.relay import Answered, NotRun, Unknown
from balsamspool.requests.request import Request
from tests.test_mesh_links import Node, free_port, on_uvloop
from tests.test_relay_schedules import FakeServing, RecordingWriter, chunks, content

ROOT = Path(__file__).resolve().parent.parent


async def send_heartbeats(side):
    while True:
        await asyncio.sleep(1)
        side.send_heartbeats()


async def run_peer(port):
    """Run requests of peers until the process is killed; print each start."""
    serving = FakeServing()

    async def handle(request, writer):
        print(request.header("x-id"), flush=True)
        if request.header("x-id").startswith("slow"):
            await asyncio.sleep(30)
        await serving.handle(request, writer)

    async with Node(port) as node:
        server = RelayServer(node.mesh, handle, node.kernel.spawn, lambda: False)
        for body_type in (*_TO_SERVER, *_TO_BOTH):
            node.mesh.subscribe(body_type, server.receive)
        print("ready", flush=True)
        await send_heartbeats(server)


@asynccontextmanager
async def peer_process(port):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tests.test_relay_processes",
        str(port),
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        await process.stdout.readline()
        yield process
    finally:
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)
            process.kill()
        await process.wait()


@asynccontextmanager
async def issuer():
    async with Node() as node:
        client = RelayClient(node.mesh, node.kernel.identity.incarnation)
        for body_type in (*_TO_CLIENT, *_TO_BOTH):
            node.mesh.subscribe(body_type, client.receive)
        node.kernel.spawn(send_heartbeats(client), "heartbeats")
        yield client


async def send_request(client, port, name, size=10, upload=b""):
    writer = RecordingWriter()
    headers = [("x-id", name), ("x-size", str(size))]
    method = "POST" if upload else "GET"
    request = Request(method, "/x", headers, chunks(upload))
    peer = PeerAddress("127.0.0.1", port)
    started = now()
    result = await client.run(peer, request, writer, None)
    return result, writer, now() - started


class RelayProcessTest(TestCase):
    @on_uvloop
    async def test_large_bodies_arrive_whole(self):
        """Guards against parts lost between two processes, in both directions."""
        port = free_port()
        async with peer_process(port), issuer() as client:
            result, writer, _ = await send_request(
                client, port, "r", 5_000_000, b"u" * 900_000
            )
            self.assertEqual(result, Answered())
            self.assertEqual(writer.body, content("r", 5_000_000))

    @on_uvloop
    async def test_kill_gives_unknown_and_restart_serves(self):
        """Guards against a second run or a wrong "not run" after the peer is killed."""
        port = free_port()
        async with issuer() as client:
            async with peer_process(port) as process:
                request_task = asyncio.create_task(send_request(client, port, "slow"))
                self.assertEqual(await process.stdout.readline(), b"slow\n")
                process.kill()
                result, _, seconds = await request_task
                self.assertIsInstance(result, Unknown)
                self.assertLess(seconds, 6)
            result, _, _ = await send_request(client, port, "r")
            self.assertEqual((type(result), result.code), (NotRun, RELAY_NOT_SENT))
            async with peer_process(port) as process:
                result, _, _ = await send_request(client, port, "r")
                self.assertEqual(result, Answered())
                self.assertEqual(await process.stdout.readline(), b"r\n")

    @on_uvloop
    async def test_request_to_a_paused_peer_is_never_run_late(self):
        """Guards against a paused peer that runs a request after its issuer gave up."""
        port = free_port()
        async with peer_process(port) as process, issuer() as client:
            self.assertEqual((await send_request(client, port, "r1"))[0], Answered())
            process.send_signal(signal.SIGSTOP)
            result, _, _ = await send_request(client, port, "r2")
            self.assertIsInstance(result, Unknown)
            await asyncio.sleep(3)
            process.send_signal(signal.SIGCONT)
            await asyncio.sleep(1)
            self.assertEqual((await send_request(client, port, "r3"))[0], Answered())
            self.assertEqual(await process.stdout.readline(), b"r1\n")
            self.assertEqual(await process.stdout.readline(), b"r3\n")


if __name__ == "__main__":
    run_on_uvloop(run_peer(int(sys.argv[1])))

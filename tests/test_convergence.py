"""An accepted configuration is in force everywhere within seconds and never reverts.

The peak of calls when a fleet starts is measured at full size, 4,740 readers on a
paused clock, in ``tests/test_platform_watch.py``; a few processes could not show it.
"""

import asyncio
import json
from contextlib import asynccontextmanager
from dataclasses import dataclass
from time import monotonic
from unittest import IsolatedAsyncioTestCase, TestCase

from aiohttp import ClientError

from standins.fleet import ServicePlan, run_fleet, serve
from standins.platform import PlatformStandIn
from standins.ports import ADDRESS, free_port
from tests.fleet_tools import hosts_of

PORTAL = ServicePlan("portal", 1, 1, [{"kind": "request", "path": "/"}])
RECORDS = ServicePlan("records", 2, 1, [{"kind": "request", "path": "/"}])
SPREAD_SECONDS = 8.0


@dataclass(frozen=True, slots=True)
class Observation:
    """Revision and digest of a text, as read from the status page of a process."""

    time: float
    instance: str
    revision: int
    digest: str | None


def problems_of(history):
    """Return the lower revisions and differing texts in a history."""
    found, last, texts = [], {}, {}
    for seen in history:
        if not seen.revision:
            continue  # a process that has just started has no text yet
        before = last.get(seen.instance, 0)
        if seen.revision < before:
            found.append(f"{seen.instance} went from {before} to {seen.revision}")
        last[seen.instance] = seen.revision
        if texts.setdefault(seen.revision, seen.digest) != seen.digest:
            found.append(f"{seen.instance} has another text {seen.revision}")
    return found


class HistoryCheckTest(TestCase):
    def test_planted_faults_are_caught(self):
        """Guards against a check that passes for every history."""
        good = [
            Observation(0, "a", 0, None),
            Observation(1, "a", 4, "x"),
            Observation(2, "b", 5, "y"),
        ]
        self.assertEqual(problems_of(good), [])
        self.assertTrue(problems_of([*good, Observation(3, "b", 4, "x")]))
        restarted = [*good, Observation(3, "b", 0, None), Observation(4, "b", 4, "x")]
        self.assertTrue(problems_of(restarted))
        self.assertTrue(problems_of([*good, Observation(3, "a", 5, "z")]))


class PeerProxies:
    """TCP proxies in front of the peer ports of one side, which can cut the mesh."""

    def __init__(self):
        self.closed = False
        self._servers = []
        self._writers = set()

    async def open(self, port):
        """Open a proxy for a peer port and return the port of the proxy."""

        async def forward(reader, writer):
            self._writers.add(writer)
            try:
                while data := await reader.read(65536):
                    writer_of[reader].write(data)
            except OSError:
                pass
            finally:
                writer_of[reader].close()

        writer_of = {}

        async def accept(reader, writer):
            if self.closed:
                writer.close()
                return
            far_reader, far_writer = await asyncio.open_connection(ADDRESS, port)
            writer_of[reader], writer_of[far_reader] = far_writer, writer
            await asyncio.gather(
                forward(reader, writer), forward(far_reader, far_writer)
            )

        proxy = free_port()
        self._servers.append(await asyncio.start_server(accept, ADDRESS, proxy))
        return proxy

    def close(self):
        """Cut all connections and refuse further ones."""
        self.closed = True
        for writer in self._writers:
            writer.close()
        self._writers.clear()

    def stop(self):
        """Stop all proxies."""
        self.close()
        for server in self._servers:
            server.close()


class ConvergenceTest(IsolatedAsyncioTestCase):
    """A fleet whose halves read different platform addresses."""

    async def asyncSetUp(self):
        self.fleet = await self.enterAsyncContext(run_fleet([PORTAL, RECORDS], 1))
        fleet = self.fleet
        self.first_half = hosts_of(fleet)
        self.second = PlatformStandIn()
        # Both platform stand-ins serve the same revisions, but each of them can be down
        # or stale independently of the other.
        self.second._values = fleet.platform._values
        port = free_port()
        fleet._runners.append(await serve(self.second.application(), port))
        address = f"http://{ADDRESS}:{port}"
        fleet.extra_settings = {
            "platform": {"addresses": [address], "watch_seconds": 5.0}
        }
        await fleet.add_entry(publish=False)
        await fleet.add_agent("portal", publish=False)
        await fleet.add_agent("records", publish=False)
        await self.publish_list()
        for host in hosts_of(fleet):
            await fleet.wait_ready(host)
        self.history = []
        watching = asyncio.create_task(self.watch())
        self.addCleanup(watching.cancel)

    async def asyncTearDown(self):
        self.assertEqual(problems_of(self.history), [])
        self.assertGreater(len(self.history), 20)

    async def publish(self):
        """Publish the text at both addresses."""
        revision = await self.fleet.publish_text()
        await self.second.wake()
        return revision

    async def publish_list(self):
        await self.fleet.publish_list()
        await self.second.wake()

    async def watch(self):
        """Record what each process has in force."""
        while True:
            for host in hosts_of(self.fleet):
                try:
                    async with asyncio.timeout(1):
                        status = await self.fleet.status(host)
                except (ClientError, OSError, TimeoutError):
                    continue  # the process is stopped at the moment
                part = status["plugins"]["configuration"]
                self.history.append(
                    Observation(
                        monotonic(), host.instance, part["revision"], part["digest"]
                    )
                )
            await asyncio.sleep(0.05)

    async def converge(self, revision):
        """Wait until the history shows a revision at every process."""
        started = monotonic()
        names = {host.instance for host in hosts_of(self.fleet)}
        while True:
            last = {seen.instance: seen.revision for seen in self.history}
            late = {name for name in names if last.get(name) != revision}
            if not late:
                return monotonic() - started
            self.assertLess(monotonic() - started, SPREAD_SECONDS, late)
            await asyncio.sleep(0.05)

    async def wait_for_list(self, revision):
        """Wait until each process has applied a list of instances."""
        async with asyncio.timeout(SPREAD_SECONDS):
            for host in hosts_of(self.fleet):
                while await self.list_revision(host) < revision:
                    await asyncio.sleep(0.05)

    async def list_revision(self, host):
        status = await self.fleet.status(host)
        return status["plugins"]["membership"]["revision"]

    async def set_down(self, platform, down):
        platform.down = down
        await platform.wake()

    async def restart(self, host):
        """Kill a process and restart it with the other processes as its seed peers."""
        settings = json.loads(host.settings_path.read_text())
        seeds = [h.listed for h in hosts_of(self.fleet) if h is not host]
        peers = [f"{seed['address']}:{seed['peer_port']}" for seed in seeds]
        settings["configuration"] = {"peers": peers}
        host.settings_path.write_text(json.dumps(settings))
        await host.kill()
        await self.fleet.restart(host)

    async def test_platform_down_or_stale_for_half_of_the_readers(self):
        """Guards against a half that misses a change or returns to an older text."""
        await self.set_down(self.second, True)
        await self.converge(await self.publish())
        await self.set_down(self.second, False)
        self.second.hidden_revisions["configuration"] = 1
        await self.second.wake()
        revision = await self.publish()
        await self.converge(revision)
        self.second.hidden_revisions["configuration"] = 2
        await self.second.wake()
        await asyncio.sleep(2)
        await self.converge(revision)

    async def test_two_operators_and_an_invalid_text(self):
        """Guards against an invalid or superseded text that stays in force anywhere."""
        invalid = '{"format": 1, "operator": '
        self.fleet.text["operator"] = "one"
        await self.publish()
        await self.fleet.publish("configuration", invalid)
        self.fleet.text["operator"] = "two"
        revision = await self.publish()
        await self.converge(revision)
        await self.fleet.publish("configuration", invalid)
        await self.second.wake()
        await asyncio.sleep(3)
        for host in hosts_of(self.fleet):
            part = (await self.fleet.status(host))["plugins"]["configuration"]
            self.assertEqual(part["revision"], revision)
            self.assertEqual(part["rejected_revision"], revision + 1)
        self.fleet.text["operator"] = "three"
        await self.converge(await self.publish())

    async def test_restart_of_every_process_while_the_platform_is_down(self):
        """Guards against a text lost if all processes restart in a platform outage."""
        await self.publish()
        revision = await self.publish()
        await self.converge(revision)
        for platform in (self.fleet.platform, self.second):
            await self.set_down(platform, True)
        for host in hosts_of(self.fleet):
            await self.restart(host)
        await self.converge(revision)
        # The platform returns with an older revision than the fleet has.
        for platform in (self.fleet.platform, self.second):
            platform.hidden_revisions["configuration"] = 1
            await self.set_down(platform, False)
        await self.restart(hosts_of(self.fleet)[0])
        await self.converge(revision)

    async def test_partition_heals(self):
        """Guards against a part of a fleet that keeps an old text after a partition."""
        async with self.partition() as proxies:
            # The second half of the fleet reaches neither the platform nor the first
            # half, so it cannot receive the new text.
            revision = await self.publish()
            await asyncio.sleep(3)
            last = {seen.instance: seen.revision for seen in self.history}
            first = {host.instance for host in self.first_half}
            behind = {name for name, seen in last.items() if seen < revision}
            self.assertEqual(behind, set(last) - first)
            proxies.closed = False
            await self.converge(revision)

    @asynccontextmanager
    async def partition(self):
        """Cut the mesh between the halves and stop the platform of the second half."""
        proxies = PeerProxies()
        self.addCleanup(proxies.stop)
        first = [host.listed for host in self.first_half]
        second = [h.listed for h in hosts_of(self.fleet) if h.listed not in first]
        hidden = {}
        for record in (*first, *second):
            proxy = await proxies.open(record["peer_port"])
            hidden[record["instance"]] = record | {"peer_port": proxy}
        seen_by_first = [*first, *(hidden[r["instance"]] for r in second)]
        seen_by_second = [*second, *(hidden[r["instance"]] for r in first)]
        self.second._values = dict(self.second._values)
        lists = self.second._values["instances"]
        self.second._values["instances"] = list(lists)
        await self.fleet.publish("instances", json.dumps(seen_by_first))
        revision = await self.second.publish("instances", json.dumps(seen_by_second))
        # Until a process has applied its list, it has links past the proxies.
        await self.wait_for_list(revision)
        proxies.close()
        await self.set_down(self.second, True)
        yield proxies

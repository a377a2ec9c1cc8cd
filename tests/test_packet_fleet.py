"""Entry and agent processes for opaque flows, between stand-ins of the platform."""

import asyncio
import contextlib
import io
import json
import os
import resource
import subprocess
import sys
import tempfile
from pathlib import Path
from signal import SIGHUP, SIGKILL
from unittest import IsolatedAsyncioTestCase

from aiohttp import ClientSession

from balsamspool.commands.codes import ExitCode
from balsamspool.commands.inspect import inspect
from balsamspool.kernel.errors import ResultError
from standins.packet_caller import FlowBroken
from standins.packet_fleet import ADMIN_PORT, PROGRAM, run_packet_fleet

SERVICES = {1: "portal", 2: "records"}
HOSTS = 3
DEADLINE = 2.0
# Limits for the start time and the memory of a process, set by the platform's smallest
# instances.
MAX_START_SECONDS = 0.3
MAX_MEGABYTES = 40.0


class FleetTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        context = run_packet_fleet(
            Path(directory.name), SERVICES, hosts=HOSTS, entries=2
        )
        self.fleet = await self.enterAsyncContext(context)
        self.caller = self.fleet.caller(1)
        await self.caller.start()
        self.addCleanup(self.caller.close)
        self.number = 0

    async def open_flow(self, route=1):
        flow = self.caller.flow(self.fleet.service_address(route))
        await flow.open()
        return flow

    async def check_request(self, flow, service="portal"):
        self.number += 1
        data = b"request-%d" % self.number
        answer = await flow.request(data, DEADLINE)
        self.assertEqual(answer, service.encode() + b":" + data)

    def assert_clean(self):
        """Check that each request ran once, and that no packet was forged."""
        requests = [data for _, _, data in self.fleet.runs]
        self.assertEqual(len(requests), len(set(requests)))
        self.assertEqual(sum(a.server.forged for a in self.fleet.agents), 0)
        self.assertEqual(self.caller.forged, 0)

    async def test_inspect_shows_each_process_and_what_is_unreachable(self):
        """Guards against an engineer who cannot see the state of the processes."""
        await self.check_request(await self.open_flow())
        machines = [*self.fleet.entries, *self.fleet.agents]
        endpoints = [f"{m.address}:{ADMIN_PORT}" for m in machines]
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            code = await inspect(*endpoints)
        self.assertEqual(code, ExitCode.OK)
        self.assertEqual(output.getvalue().count("accepting"), len(machines))
        with contextlib.redirect_stdout(output):
            code = await inspect(*endpoints, f"{self.fleet.network}.9.9:{ADMIN_PORT}")
        self.assertEqual(code, ExitCode.NOT_MET)
        self.assertIn("unreachable", output.getvalue())
        with self.assertRaises(ResultError):
            await inspect("nowhere")

    async def test_flows_survive_planned_changes(self):
        """Guards against a restart or a leaving host that breaks flows."""
        flows = [await self.open_flow() for _ in range(12)]
        for flow in flows:
            await self.check_request(flow)
        records = await self.open_flow(2)
        await self.check_request(records, "records")
        leaving = self.fleet.agents[0]
        await self.fleet.list_server(leaving, "draining")
        entry = self.fleet.entries[0]
        entry.process.send_signal(SIGHUP)
        stopped = asyncio.create_task(self.fleet.stop(entry))
        while not stopped.done():
            for flow in flows:
                await self.check_request(flow)
        await self.fleet.start(entry)
        await self.fleet.wait_ready(entry)
        held = leaving.server.open_flows
        for _ in range(20):
            await self.check_request(await self.open_flow())
        self.assertEqual(leaving.server.open_flows, held)
        for flow in flows:
            await self.check_request(flow)
        self.assert_clean()

    async def test_flows_survive_a_kill_of_all_processes(self):
        """Guards against flows that are lost with the state of a process."""
        flows = [await self.open_flow() for _ in range(6)]
        for flow in flows:
            await self.check_request(flow)
        machines = [*self.fleet.entries, *self.fleet.agents]
        for machine in machines:
            await self.fleet.stop(machine, SIGKILL)
        for machine in machines:
            await self.fleet.start(machine)
        await self.fleet.wait_ready(*machines)
        for flow in flows:
            await self.check_request(flow)
        self.assert_clean()

    async def test_lost_flows_are_reset_and_open_ones_are_not(self):
        """Guards against callers that wait for a backend server that has restarted."""
        flows = [await self.open_flow() for _ in range(8)]
        for flow in flows:
            await self.check_request(flow)
        # Ports of callers are random, so any given host may hold none of the flows.
        restarted = max(self.fleet.agents, key=lambda agent: agent.server.open_flows)
        expected = restarted.server.open_flows
        self.assertGreaterEqual(expected, len(flows) / HOSTS)
        restarted.server.forget_flows()
        broken = 0
        for flow in flows:
            try:
                await self.check_request(flow)
            except FlowBroken as error:
                self.assertEqual(str(error), "reset")
                broken += 1
        self.assertEqual(broken, expected)

    async def test_a_stopped_backend_server_delays_new_flows_little(self):
        """Guards against openings that wait for a server that does not answer."""
        self.fleet.agents[0].server.close()
        started = asyncio.get_running_loop().time()
        for _ in range(20):
            await self.check_request(await self.open_flow())
        seconds = asyncio.get_running_loop().time() - started
        # If agents did not pass opening packets on to other hosts, one flow in three
        # would wait for 200 ms.
        self.assertLess(seconds, 20 * 0.1)
        self.assert_clean()

    async def test_an_outage_of_the_store_changes_nothing(self):
        """Guards against a process that drops records which it cannot read again."""
        flow = await self.open_flow()
        self.fleet.store.refusing = True
        await asyncio.sleep(1)
        await self.check_request(flow)
        await self.check_request(await self.open_flow())
        await self.fleet.store.drop_history()
        self.fleet.store.refusing = False
        await self.fleet.publish_routes({1: "records"})
        await asyncio.sleep(2)
        await self.check_request(flow)
        await self.check_request(await self.open_flow(), "records")
        self.assert_clean()

    async def test_an_entry_that_starts_without_the_store_reads_from_a_peer(self):
        """Guards against an entry that serves nobody after a restart in an outage."""
        flow = await self.open_flow()
        await self.check_request(flow)
        self.fleet.store.refusing = True
        entry = self.fleet.entries[1]
        await self.fleet.stop(entry)
        await self.fleet.start(entry)
        await self.fleet.wait_ready(entry)
        for _ in range(10):
            await self.check_request(await self.open_flow())
        await self.check_request(flow)
        self.assert_clean()

    async def test_an_unknown_route_is_rejected_at_once(self):
        """Guards against callers that wait for a route that does not exist."""
        with self.assertRaisesRegex(FlowBroken, "reset"):
            await self.open_flow(77)

    async def test_changed_settings_are_applied_without_a_signal(self):
        """Guards against settings that are applied only after a restart."""
        entry = self.fleet.entries[1]
        path = self.fleet.directory / f"{entry.name}.json"
        settings = json.loads(path.read_text())
        settings["catalog"]["peers"] = []
        path.write_text(json.dumps(settings))
        log = self.fleet.directory / f"{entry.name}.log"
        async with asyncio.timeout(6):
            while "settings-reloaded" not in log.read_text():
                await asyncio.sleep(0.1)
        path.write_text("not JSON")
        async with asyncio.timeout(6):
            while "settings-refused" not in log.read_text():
                await asyncio.sleep(0.1)
        await self.check_request(await self.open_flow())

    async def test_metrics_and_status_are_served(self):
        """Guards against processes that do not serve their metrics and status."""
        await self.check_request(await self.open_flow())
        async with ClientSession() as session:
            for machine in (self.fleet.entries[0], self.fleet.agents[0]):
                base = f"http://{machine.address}:{ADMIN_PORT}"
                async with session.get(f"{base}/metrics") as answer:
                    self.assertIn("balsamspool_datagram", await answer.text())
                async with session.get(f"{base}/status") as answer:
                    status = await answer.json()
                self.assertEqual(status["instance"], machine.name)
                self.assertEqual(status["state"], "accepting")


class StartTest(IsolatedAsyncioTestCase):
    async def test_processes_start_within_their_budget(self):
        """Guards against libraries that make a restart slow or a process large."""
        with tempfile.TemporaryDirectory() as directory:
            context = run_packet_fleet(Path(directory), SERVICES, hosts=1, entries=1)
            async with context as fleet:
                for machine in (fleet.entries[0], fleet.agents[0]):
                    self.assertEqual(_rings(machine.process.pid), [])
                    megabytes = _resident_megabytes(machine.process.pid)
                    seconds = min(_start_seconds(fleet, machine) for _ in range(5))
                    cost = f"{seconds:.3f} CPU s, {megabytes:.1f} MB"
                    sys.stderr.write(f"\nfigure: start of {machine.role}: {cost}\n")
                    self.assertLess(seconds, MAX_START_SECONDS)
                    self.assertLess(megabytes, MAX_MEGABYTES)


def _rings(pid):
    """Return the `io_uring` descriptors of a process, which the platform refuses."""
    links = [os.readlink(path) for path in Path(f"/proc/{pid}/fd").iterdir()]
    return [link for link in links if "io_uring" in link]


def _resident_megabytes(pid):
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    resident = next(line for line in lines if line.startswith("VmRSS"))
    return int(resident.split()[1]) / 1024


def _start_seconds(fleet, machine):
    settings = fleet.directory / f"{machine.name}.json"
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    subprocess.run(
        [sys.executable, str(PROGRAM), machine.role, "--check"],
        env={"BALSAMSPOOL_CONFIG": str(settings)},
        stdout=subprocess.DEVNULL,
        check=True,
    )
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    return after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime

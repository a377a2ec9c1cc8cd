"""Exchange of text and list between processes while the platform is down."""

import asyncio
import json
import signal
from time import monotonic
from unittest import IsolatedAsyncioTestCase

from standins.fleet import ServicePlan, run_fleet

PORTAL = ServicePlan("portal", 1, 2, [{"kind": "request", "path": "/"}])
SPREAD_SECONDS = 8.0


def revision_of(status, plugin="configuration"):
    """Return the revision that a plug-in has."""
    return status["plugins"][plugin]["revision"]


class FleetTest(IsolatedAsyncioTestCase):
    async def wait_revision(self, fleet, host, revision):
        async with asyncio.timeout(SPREAD_SECONDS):
            found = 0
            while found < revision:
                found = revision_of(await fleet.status(host))
                await asyncio.sleep(0.1)  # the status page cannot be watched

    def add_seeds(self, host, seeds):
        settings = json.loads(host.settings_path.read_text())
        peers = [f"{s.listed['address']}:{s.listed['peer_port']}" for s in seeds]
        settings["configuration"] = {"peers": peers}
        host.settings_path.write_text(json.dumps(settings))

    async def stop_and_hide_the_text(self, fleet):
        """Publish a text, stop an entry, and let the platform serve an older text.

        Returns:
            The entry, the other processes, and the revision of the text.
        """
        entry, *others = [*fleet.entries.values(), *fleet.agents.values()]
        revision = await fleet.publish_text()
        for host in others:
            await self.wait_revision(fleet, host, revision)
        await entry.stop()
        fleet.platform.hidden_revisions["configuration"] = 1
        await fleet.platform.wake()
        self.add_seeds(entry, others)
        return entry, others, revision

    async def test_process_starts_while_the_platform_is_down(self):
        """Guards against a fleet that cannot replace instances in an outage."""
        async with run_fleet([PORTAL]) as fleet:
            entry, *others = [*fleet.entries.values(), *fleet.agents.values()]
            revision = await fleet.publish_text()
            for host in others:
                await self.wait_revision(fleet, host, revision)
            await entry.stop()
            fleet.platform.down = True
            await fleet.platform.wake()
            self.add_seeds(entry, others)
            started = monotonic()
            await fleet.restart(entry)
            status = await fleet.status(entry)
            self.assertLess(monotonic() - started, SPREAD_SECONDS)
            self.assertEqual(revision_of(status), revision)
            self.assertEqual(status["plugins"]["membership"]["instances"], 4)
            self.assertFalse(
                status["plugins"]["platform"]["reachable"].get("instances")
            )

    async def test_resumed_process_learns_a_missed_change(self):
        """Guards against a paused process that stays outdated in an outage."""
        async with run_fleet([PORTAL]) as fleet:
            paused, *others = [*fleet.agents.values(), *fleet.entries.values()]
            paused.send_signal(signal.SIGSTOP)
            fleet.text["operator"] = "changed"
            revision = await fleet.publish_text()
            for host in others:
                await self.wait_revision(fleet, host, revision)
            fleet.platform.down = True
            await fleet.platform.wake()
            await asyncio.sleep(2)
            paused.send_signal(signal.SIGCONT)
            await self.wait_revision(fleet, paused, revision)
            self.assertGreater((await fleet.status(paused))["pauses"], 0)

    async def test_stale_platform_does_not_reach_a_new_process(self):
        """Guards against a start that accepts an old text from a stale platform."""
        async with run_fleet([PORTAL]) as fleet:
            entry, others, revision = await self.stop_and_hide_the_text(fleet)
            await fleet.restart(entry)
            self.assertEqual(revision_of(await fleet.status(entry)), revision)
            calls = fleet.platform.calls
            await asyncio.sleep(4)
            self.assertLess(fleet.platform.calls - calls, 40)

    async def test_silent_peers_are_awaited_before_a_stale_platform_is_trusted(self):
        """Guards against an old text that returns because all peers were paused."""
        async with run_fleet([PORTAL]) as fleet:
            entry, others, revision = await self.stop_and_hide_the_text(fleet)
            for host in others:
                host.send_signal(signal.SIGSTOP)
            restarted = asyncio.create_task(fleet.restart(entry))
            await asyncio.sleep(3.5)
            for host in others:
                host.send_signal(signal.SIGCONT)
            await restarted
            self.assertEqual(revision_of(await fleet.status(entry)), revision)

    async def test_rotated_keys_reach_a_process_with_older_settings(self):
        """Guards against key rotation that locks out processes or breaks requests."""
        async with run_fleet([PORTAL]) as fleet:
            hosts = [*fleet.entries.values(), *fleet.agents.values()]
            fleet.text["keys"]["secrets"]["2"] = "c3" * 32
            await fleet.publish_text()
            fleet.text["keys"]["active"] = 2
            await fleet.publish_text()
            del fleet.text["keys"]["secrets"]["1"]
            revision = await fleet.publish_text()
            for host in hosts:
                await self.wait_revision(fleet, host, revision)
            entry, *others = hosts
            await entry.stop()
            fleet.platform.down = True
            await fleet.platform.wake()
            self.add_seeds(entry, others)
            await fleet.restart(entry)
            self.assertEqual(revision_of(await fleet.status(entry)), revision)

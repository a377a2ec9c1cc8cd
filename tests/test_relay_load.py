"""Load of peers: table of reports, sample of receivers, reports between real agents."""

import asyncio
import random
from unittest import IsolatedAsyncioTestCase, TestCase

from aiohttp import ClientSession

from balsamspool.plugins.mesh import Message, PeerAddress
from balsamspool.plugins.relay.load import ACCEPTING, LEAVING, LoadTable, PeerSample
from balsamspool.plugins.relay.messages import LoadReport
from standins.fleet import ServicePlan, run_fleet

PEERS = [PeerAddress("10.0.0.1", port) for port in range(1, 21)]


def report(peer, state=ACCEPTING, age=0.0):
    return Message(peer, "p", b"inc", 1, LoadReport(state, 5, 0.1), age)


class LoadTableTest(TestCase):
    def test_expired_load_is_not_returned(self):
        """Guards against requests sent to a peer because of an outdated report."""
        table = LoadTable()
        table.record_report(report(PEERS[0]), 10.0)
        table.record_report(report(PEERS[1], age=1.5), 10.0)
        self.assertEqual(len(table.loads(11.0)), 2)
        self.assertEqual([p.address for p in table.loads(12.0)], [PEERS[0]])
        self.assertEqual(table.loads(13.1), [])
        self.assertIsNone(table.incarnation(PEERS[0], 13.1))

    def test_leaving_peer_does_not_accept(self):
        """Guards against requests sent to a peer that reported that it is leaving."""
        table = LoadTable()
        table.record_report(report(PEERS[0]), 10.0)
        table.record_report(report(PEERS[0], LEAVING), 10.1)
        self.assertEqual([p.accepting for p in table.loads(10.2)], [False])


class PeerSampleTest(TestCase):
    def test_sample_is_small_and_changes(self):
        """Guards against reports to every peer, and always to the same peers."""
        sample = PeerSample(random.Random(1))
        chosen = [sample.choose(PEERS) for _ in range(200)]
        self.assertEqual({len(c) for c in chosen}, {8})
        self.assertEqual({p for c in chosen for p in c}, set(PEERS))
        self.assertEqual(chosen[0], chosen[5])

    def test_removed_peer_is_replaced(self):
        """Guards against reports to a peer that is no longer listed."""
        sample = PeerSample(random.Random(1))
        removed = sample.choose(PEERS)[0]
        self.assertNotIn(removed, sample.choose([p for p in PEERS if p != removed]))


class ReportTest(IsolatedAsyncioTestCase):
    async def test_agents_know_each_other(self):
        """Guards against agents of one service that never learn each other's load."""
        plan = ServicePlan("portal", 1, 3, [{"kind": "request", "path": "/"}])
        async with run_fleet([plan]) as fleet, ClientSession() as session:
            await asyncio.sleep(3)
            for host in fleet.agents.values():
                async with session.get(f"{host.admin_url}/status") as answer:
                    status = await answer.json()
                self.assertEqual(_find(status, "known_loads"), 2)


def _find(value, key):
    if not isinstance(value, dict):
        return None
    if key in value:
        return value[key]
    found = [_find(inner, key) for inner in value.values()]
    return next((f for f in found if f is not None), None)

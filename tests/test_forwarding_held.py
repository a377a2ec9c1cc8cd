"""Probes of hosts that are held as leaving, on a paused clock."""

import asyncio

from balsamspool.plugins.forwarding._codec import EnvelopeCodec
from balsamspool.plugins.forwarding.entry import MAX_HELD_PROBES, EntryPlugin
from balsamspool.plugins.forwarding.envelope import Probe, ProbeReply, Return
from balsamspool.plugins.membership import Signal
from balsamspool.plugins.membership.signals import SignalState
from tests._clock import PausedClockTestCase
from tests.forwarding_fakes import FakeKernel, FakeTransport, instance

ACCEPTING = Signal(SignalState.ACCEPTING, 0)
LEAVING = Signal(SignalState.LEAVING, 0)


class HeldHostsTest(PausedClockTestCase):
    async def asyncSetUp(self):
        self.kernel = FakeKernel()
        self.entry = EntryPlugin(self.kernel)
        self.codec = EnvelopeCodec(self.kernel.keyring)
        self.out = self.entry._agent_transport = FakeTransport()
        await self.kernel.routing.start()
        self.kernel.membership.subscribe(self.entry._on_list)
        self.kernel.configuration.change(portal=(1, "127.0.0.1:1"))
        self.task = self.kernel.spawn(self.entry._probe_held_hosts(), "held")

    async def asyncTearDown(self):
        self.task.cancel()

    def list(self, count):
        hosts = [instance(f"h{n}", 5000 + n) for n in range(count)]
        self.kernel.membership.change(hosts)
        return [host.endpoint for host in hosts]

    def send_signal(self, signal, agent, codec=None):
        answer = Return(1, "127.0.0.1", 6000, signal, b"x")
        self.entry.agent_datagram((codec or self.codec).seal(answer), agent)

    def probes(self):
        found = [(self.codec.open(data), to) for data, to in self.out.sent]
        self.out.sent.clear()
        self.assertTrue(all(isinstance(probe, Probe) for probe, _ in found))
        return found

    async def test_restarted_host_is_used_again_without_a_list(self):
        """Guards against a restarted host that waits for the next list."""
        (agent,) = self.list(1)
        self.send_signal(LEAVING, agent)
        self.assertEqual(self.kernel.routing.candidates(1), [])
        await asyncio.sleep(12.0)
        probe, to = self.probes()[-1]
        self.assertEqual(to, agent)
        restarted = EnvelopeCodec(self.kernel.keyring)
        reply = restarted.seal(ProbeReply(probe.sequence, ACCEPTING))
        self.entry.agent_datagram(reply, agent)
        await asyncio.sleep(0.6)
        self.assertEqual([h.name for h in self.kernel.routing.candidates(1)], ["h0"])
        self.probes()
        self.send_signal(ACCEPTING, agent, restarted)
        await asyncio.sleep(10.0)
        self.assertEqual(self.probes(), [])

    async def test_host_that_is_still_leaving_gets_no_flows(self):
        """Guards against a leaving host that gets flows again after a probe."""
        (agent,) = self.list(1)
        self.send_signal(LEAVING, agent)
        for _ in range(30):
            await asyncio.sleep(1.0)
            for probe, _ in self.probes():
                reply = self.codec.seal(ProbeReply(probe.sequence, LEAVING))
                self.entry.agent_datagram(reply, agent)
            self.assertEqual(self.kernel.routing.candidates(1), [])

    async def test_probes_are_bounded_and_reach_all_hosts(self):
        """Guards against a burst of probes, and against hosts that never get one."""
        hosts = self.list(300)
        for host in hosts:
            self.send_signal(LEAVING, host)
        await asyncio.sleep(500.0)
        probes = self.probes()
        self.assertLessEqual(len(probes), MAX_HELD_PROBES * 500 / 3.5)
        self.assertEqual({to for _, to in probes}, set(hosts))

    async def test_live_hosts_are_not_probed(self):
        """Guards against probes whose number grows with the fleet."""
        for host in self.list(50):
            self.send_signal(ACCEPTING, host)
        await asyncio.sleep(20.0)
        self.assertEqual(self.probes(), [])

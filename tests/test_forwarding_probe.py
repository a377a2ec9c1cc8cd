"""Which agents and entries are avoided or chosen after probes."""

import random
from unittest import IsolatedAsyncioTestCase

from balsamspool.plugins.forwarding.probe import (
    EntryProbes,
    EntryRecord,
    HostProbes,
    ReturnRoute,
)
from balsamspool.plugins.membership import Signal
from balsamspool.plugins.membership.signals import SignalState
from tests.forwarding_fakes import Clock

HOST = ("10.0.0.1", 4000)
ACCEPTING = Signal(SignalState.ACCEPTING, 0)
LEAVING = Signal(SignalState.LEAVING, 0)


def records(*domains):
    return [
        EntryRecord(f"entry-{n}", (f"10.1.0.{n}", 4000), domain)
        for n, domain in enumerate(domains)
    ]


class HostProbesTest(IsolatedAsyncioTestCase):
    async def test_silent_host_is_avoided_for_five_seconds(self):
        """Guards against new flows that keep going to a silent host."""
        clock, probes = Clock(), HostProbes()
        self.assertIsNotNone(probes.record_opening(HOST))
        self.assertIsNone(probes.record_opening(HOST))
        clock.time += 0.29
        self.assertEqual(probes.avoided(), set())
        clock.time += 0.02
        self.assertEqual(probes.avoided(), {HOST})
        clock.time += 4.9
        self.assertEqual(probes.avoided(), {HOST})
        clock.time += 0.1
        self.assertEqual(probes.avoided(), set())
        self.assertIsNotNone(probes.record_opening(HOST))

    async def test_answering_host_is_probed_after_a_silent_second_only(self):
        """Guards against probes whose number grows with the traffic."""
        clock, probes = Clock(), HostProbes()
        probe = probes.record_opening(HOST)
        self.assertTrue(probes.record_reply(HOST, probe.sequence))
        clock.time += 0.9
        self.assertIsNone(probes.record_opening(HOST))
        probes.record_return(HOST)
        clock.time += 0.9
        self.assertIsNone(probes.record_opening(HOST))
        clock.time += 0.2
        self.assertIsNotNone(probes.record_opening(HOST))

    async def test_late_reply_ends_the_avoidance(self):
        """Guards against a host that is avoided though it answers again."""
        clock, probes = Clock(), HostProbes()
        probe = probes.record_opening(HOST)
        clock.time += 1.0
        self.assertEqual(probes.avoided(), {HOST})
        self.assertFalse(probes.record_reply(HOST, probe.sequence + 1))
        self.assertEqual(probes.avoided(), {HOST})
        self.assertTrue(probes.record_reply(HOST, probe.sequence))
        self.assertEqual(probes.avoided(), set())

    async def test_expired_avoidance_is_not_applied_late(self):
        """Guards against a paused entry that avoids all hosts when it resumes."""
        clock, probes = Clock(), HostProbes()
        probes.record_opening(HOST)
        clock.time += 60.0
        self.assertEqual(probes.avoided(), set())
        self.assertIsNotNone(probes.record_opening(HOST))

    async def test_state_is_bounded(self):
        """Guards against memory that grows with the hosts that come and go."""
        clock, probes = Clock(), HostProbes(limit=4)
        for port in range(100):
            probes.record_opening(("10.0.0.1", port))
            clock.time += 0.5
            probes.avoided()
            probes.record_return(("10.9.9.9", port))
        self.assertEqual(len(probes), 4)
        self.assertLessEqual(len(probes.avoided()), 4)


class EntryProbesTest(IsolatedAsyncioTestCase):
    def probes(self, listed):
        probes = EntryProbes("agent", "a", random.Random(1))
        probes.choose(listed)
        return probes

    def answer(self, probes, entry, signal=ACCEPTING):
        sequence = probes.next_probe(entry).sequence
        self.assertTrue(probes.record_reply(entry, sequence, signal))

    async def test_choice_is_spread_over_failure_domains(self):
        """Guards against answers that all depend on one failure domain."""
        listed = records(*"aaaaaaaaaabc")
        addresses = self.probes(listed).addresses
        self.assertEqual(len(addresses), 8)
        domains = {r.failure_domain for r in listed if r.address in addresses}
        self.assertEqual(domains, {"a", "b", "c"})

    async def test_two_unanswered_probes_make_an_entry_unusable(self):
        """Guards against answers that go to a silent entry."""
        (entry,) = (r.address for r in records("a"))
        probes = self.probes(records("a"))
        for _ in range(2):
            probes.next_probe(entry)
            self.assertTrue(probes.usable(entry))
        late = probes.next_probe(entry)
        self.assertFalse(probes.usable(entry))
        self.assertFalse(probes.record_reply(entry, late.sequence ^ 1, ACCEPTING))
        self.assertTrue(probes.record_reply(entry, late.sequence, ACCEPTING))
        self.assertTrue(probes.usable(entry))
        self.assertFalse(probes.record_reply(entry, late.sequence, LEAVING))
        self.assertTrue(probes.usable(entry))

    async def test_route_keeps_its_entry_and_leaves_a_dead_one(self):
        """Guards against answers sent through the silent entry of the last packet."""
        listed = records("a", "b", "b")
        probes = self.probes(listed)
        route = ReturnRoute(probes, b"flow")
        caller_entry = listed[1].address
        route.record_caller_entry(caller_entry)
        route.record_caller_entry(listed[2].address)
        self.assertEqual(route.current(), caller_entry)
        self.answer(probes, listed[0].address)
        for _ in range(3):
            probes.next_probe(caller_entry)
        # The caller sends nothing, so only the probes change the route.
        self.assertEqual(route.current(), listed[0].address)

    async def test_route_leaves_a_leaving_entry(self):
        """Guards against a flow that breaks at the planned stop of an entry."""
        listed = records("a", "a")
        probes = self.probes(listed)
        route = ReturnRoute(probes, b"flow")
        route.record_caller_entry(listed[0].address)
        self.answer(probes, listed[0].address, LEAVING)
        self.assertEqual(route.current(), listed[1].address)

    async def test_rotation_reaches_every_entry(self):
        """Guards against a loss timer that switches between two silent entries."""
        listed = records(*"aaabbb")
        probes = self.probes(listed)
        route = ReturnRoute(probes, b"flow")
        route.record_caller_entry(listed[3].address)
        seen = [route.rotate() for _ in range(5)]
        self.assertEqual({listed[3].address, *seen}, {r.address for r in listed})
        self.assertNotEqual(route.rotate(), seen[-1])

    async def test_failure_domain_breaks_ties_only(self):
        """Guards against a silent entry preferred for its failure domain."""
        listed = records("b", "a")
        probes = self.probes(listed)
        self.assertEqual(probes.ranked(b"flow")[0], listed[1].address)
        for _ in range(2):
            probes.next_probe(listed[1].address)
        self.assertEqual(probes.ranked(b"flow")[0], listed[0].address)

    async def test_route_without_a_list_uses_the_entry_of_the_caller(self):
        """Guards against a new agent that answers nobody before it has a list."""
        route = ReturnRoute(self.probes([]), b"flow")
        self.assertIsNone(route.current())
        route.record_caller_entry(HOST)
        self.assertEqual(route.current(), HOST)
        self.assertEqual(route.rotate(), HOST)

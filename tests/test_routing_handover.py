"""Hand-over decisions and the search through earlier tables."""

from dataclasses import replace
from unittest import TestCase

from balsamspool.placement.rendezvous import Candidate, choose
from balsamspool.plugins.routing.handover import (
    Accept,
    HandOver,
    Handover,
    HandoverMemory,
    OwnHost,
    OwnState,
    Peer,
    Refuse,
    RefuseReason,
    TableHistory,
)

HOSTS = [Candidate(f"portal-{n}", f"10.0.0.{n}", 4000) for n in range(1, 8)]


def peers(*loads):
    return [Peer(host, load) for host, load in zip(HOSTS, loads, strict=False)]


def own(state=OwnState.ACCEPTING, load=0):
    return OwnHost("portal-own", state, load)


class HandoverTest(TestCase):
    def test_idle_host_accepts(self):
        """Guards against a hand-over that costs a hop and gains nothing."""
        self.assertEqual(Handover().decide(b"k", own(), peers(0, 0), 0, 0.0), Accept())

    def test_busy_host_hands_over_to_lighter_peers_only(self):
        """Guards against a flow that moves to a host as loaded as the first."""
        handover = Handover()
        for number in range(200):
            key = number.to_bytes(2, "big")
            decision = handover.decide(key, own(load=200), peers(190, 10, 250), 0, 0.0)
            self.assertEqual(decision, HandOver(HOSTS[1]))
        self.assertEqual(
            handover.decide(b"x", own(load=200), peers(190, 250), 0, 0.0), Accept()
        )

    def test_agents_with_different_order_agree(self):
        """Guards against packets of one flow that two entries send to two hosts."""
        listed = peers(0, 0, 0, 0)
        first = Handover().decide(b"k", own(load=255), listed, 0, 0.0)
        second = Handover().decide(b"k", own(load=255), listed[::-1], 0, 0.0)
        self.assertEqual(first, second)

    def test_only_the_first_agent_compares_loads(self):
        """Guards against a flow that two loaded agents pass back and forth."""
        decision = Handover().decide(b"k", own(load=255), peers(0), 1, 0.0)
        self.assertEqual(decision, Accept())

    def test_leaving_host_hands_over_until_the_hop_limit(self):
        """Guards against new flows at a leaving host and against a loop."""
        leaving = own(OwnState.LEAVING)
        handover = Handover()
        self.assertIsInstance(
            handover.decide(b"k", leaving, peers(255), 1, 0.0), HandOver
        )
        self.assertEqual(
            handover.decide(b"l", leaving, peers(0), 2, 0.0),
            Refuse(RefuseReason.HOP_LIMIT),
        )

    def test_last_host_refuses(self):
        """Guards against a caller that gets no answer where it should get a refusal."""
        for state, reason in (
            (OwnState.LEAVING, RefuseReason.LAST_HOST),
            (OwnState.FULL, RefuseReason.CONNECTION_LIMIT),
        ):
            decision = Handover().decide(b"k", own(state), [], 0, 0.0)
            self.assertEqual(decision, Refuse(reason))

    def test_retransmission_follows_the_first_packet(self):
        """Guards against a handshake split over two hosts when loads change."""
        handover = Handover()
        first = handover.decide(b"k", own(load=200), peers(0, 255), 0, 0.0)
        self.assertEqual(
            handover.decide(b"k", own(load=0), peers(255, 0), 0, 9.0), first
        )
        self.assertEqual(
            handover.decide(b"k", own(load=0), peers(255, 0), 0, 19.1), Accept()
        )

    def test_peer_without_recent_reports_is_not_chosen(self):
        """Guards against a flow whose later packets still go to a silent peer."""
        handover = Handover()
        first = handover.decide(b"k", own(load=200), peers(0, 255, 255), 0, 0.0)
        self.assertEqual(first, HandOver(HOSTS[0]))
        silent = [
            replace(peers(255)[0], has_recent_report=False),
            *peers(255, 0, 255)[1:],
        ]
        second = handover.decide(b"k", own(load=200), silent, 0, 3.0)
        self.assertEqual(second, HandOver(HOSTS[1]))
        self.assertEqual(handover.decide(b"l", own(load=10), silent, 0, 3.0), Accept())

    def test_a_leaving_host_prefers_peers_that_report(self):
        """Guards against new flows at a peer that was killed a moment ago."""
        silent = [replace(peer, has_recent_report=False) for peer in peers(0, 0, 0)[:2]]
        listed = [*silent, peers(0, 0, 255)[2]]
        for number in range(50):
            key = number.to_bytes(2, "big")
            decision = Handover().decide(key, own(OwnState.LEAVING), listed, 0, 0.0)
            self.assertEqual(decision, HandOver(HOSTS[2]))
        only = Handover().decide(b"k", own(OwnState.LEAVING), silent, 0, 0.0)
        self.assertIsInstance(only, HandOver)

    def test_packet_that_came_back_goes_to_another_peer(self):
        """Guards against two leaving agents that send a packet to each other."""
        handover = Handover()
        leaving = own(OwnState.LEAVING)
        first = handover.decide(b"k", leaving, peers(0, 0), 0, 0.0)
        second = handover.decide(b"k", leaving, peers(0, 0), 1, 0.1)
        self.assertIsInstance(second, HandOver)
        self.assertNotEqual(first, second)

    def test_memory_is_bounded(self):
        """Guards against memory that grows with forged opening packets."""
        memory = HandoverMemory(limit=8)
        for number in range(100):
            memory.record(bytes([number]), HOSTS[0], 0.0)
        self.assertEqual(len(memory), 8)
        self.assertIsNone(memory.find(bytes([91]), 0.0))
        self.assertIsNone(memory.find(bytes([99]), 10.0))
        self.assertEqual(len(memory), 0)


class TableHistoryTest(TestCase):
    def test_packet_reaches_the_host_of_an_earlier_table(self):
        """Guards against flows without tokens that break when a host joins."""
        before, after = HOSTS[:4], HOSTS[:6]
        for number in range(100):
            key = number.to_bytes(2, "big")
            old, new = choose(key, before), choose(key, after)
            if old == new:
                continue
            history = TableHistory()
            history.record(before)
            history.record(after)
            self.assertEqual(history.find_agent(key, new.name, 0), HandOver(old))
            self.assertIsInstance(history.find_agent(key, old.name, 1), Refuse)

    def test_hops_and_tables_are_bounded(self):
        """Guards against loops and against memory that grows with each change."""
        history = TableHistory(limit=2)
        for host in HOSTS:
            history.record([host])
        self.assertEqual(history.find_agent(b"k", HOSTS[6].name, 0), HandOver(HOSTS[5]))
        self.assertEqual(
            history.find_agent(b"k", HOSTS[5].name, 2), Refuse(RefuseReason.HOP_LIMIT)
        )
        self.assertEqual(history.find_agent(b"k", HOSTS[5].name, 1), HandOver(HOSTS[4]))

"""The instance list, and the view that combines it with direct signals."""

import asyncio
import json
from unittest import TestCase

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from balsamspool.kernel.identity import Role
from balsamspool.kernel.keyring import KeyRing, KeySet
from balsamspool.plugins.membership.listing import (
    MAX_INSTANCES,
    Listing,
    UnreadableList,
    read_list,
)
from balsamspool.plugins.membership.signals import Signal, SignalState
from balsamspool.plugins.membership.view import View
from balsamspool.plugins.routing.flow import FlowKey, Packet
from balsamspool.plugins.routing.router import Deliver, Router
from balsamspool.plugins.routing.token import RoutingToken, TokenCodec
from tests._clock import PausedClockLoop, PausedClockTestCase

ACCEPTING = Signal(SignalState.ACCEPTING, 0)
LEAVING = Signal(SignalState.LEAVING, 0)
HOST = ("10.0.0.1", 4_000)


def record(number=1, **changes):
    """Return a list record of an agent."""
    return {
        "instance": f"portal-{number}",
        "role": "agent",
        "state": "live",
        "failure_domain": "a",
        "address": f"10.0.0.{number}",
        "data_port": 4_000,
        "peer_port": 4_001,
        "admin_port": 4_002,
        "service": "portal",
    } | changes


class ListTest(PausedClockTestCase):
    def test_wrong_records_are_left_out(self):
        """Guards against a view that is frozen because one record is invalid."""
        wrong = [
            record(2, address="x"),
            record(3, data_port=0),
            record(4, service=None),
            record(5, state="odd"),
            record(1, address="10.0.0.9"),
            record(6, address="10.0.0.1"),
            7,
        ]
        listing = read_list(json.dumps([record(1), *wrong]))
        self.assertIsInstance(listing, Listing)
        self.assertEqual(list(listing.instances), ["portal-1"])
        self.assertEqual(len(listing.faults), len(wrong))

    def test_records_are_checked_alike_in_a_well_formed_list(self):
        """Guards against invalid records that pass if all records have valid types."""
        wrong = [
            record(2, address="10.0.0.02"),
            record(3, address="10.0.3"),
            record(4, service=None),
            record(1, address="10.0.0.9"),
            record(6, address="10.0.0.1"),
        ]
        listed = [record(1), *wrong, record(7)]
        alone = read_list(json.dumps(listed))
        beside = read_list(json.dumps([*listed, record(8, data_port=0)]))
        self.assertEqual(list(alone.instances), ["portal-1", "portal-7"])
        self.assertEqual(len(alone.faults), len(wrong))
        self.assertEqual(beside.instances, alone.instances)
        self.assertEqual(beside.faults[:-1], alone.faults)

    def test_unusable_lists_are_refused(self):
        """Guards against a broken list that empties the view."""
        too_many = json.dumps([1] * (MAX_INSTANCES + 1))
        too_large = json.dumps([record()]) + " " * 2_000_000
        for text in ("{", "{}", too_many, too_large, json.dumps([{"a": 1}])):
            self.assertIsInstance(read_list(text), UnreadableList, text[:40])


class ViewTest(PausedClockTestCase):
    def setUp(self):
        self.view = View()

    def publish(self, *records):
        listing = read_list(json.dumps(records))
        self.view.replace(listing.instances)

    def hosts(self):
        return [host.instance for host in self.view.accepting(Role.AGENT, "portal")]

    async def test_signals_override_the_list(self):
        """Guards against a lagging list that overrides the signals of a host."""
        self.publish(record(1), record(2, state="leaving"))
        self.assertEqual(self.hosts(), ["portal-1"])
        self.view.record_signal("10.0.0.2", 4_000, ACCEPTING)
        self.assertEqual(self.hosts(), ["portal-1", "portal-2"])
        self.advance(3.1)
        self.assertEqual(self.hosts(), ["portal-1"])

    async def test_lagging_list_does_not_undo_leaving(self):
        """Guards against new work for a leaving host that has become silent."""
        self.publish(record(1))
        self.view.record_signal(*HOST, LEAVING)
        self.advance(59)
        self.assertEqual(self.hosts(), [])
        self.publish(record(1), record(2))
        self.assertEqual(self.hosts(), ["portal-2"])
        self.advance(3_600)
        self.assertEqual(self.hosts(), ["portal-2"])

    async def test_host_restarted_at_once_gets_work_again(self):
        """Guards against a restarted host that is treated as leaving for ever."""
        self.publish(record(1))
        self.view.record_signal(*HOST, LEAVING)
        self.assertEqual(self.view.held_as_leaving(), [])
        self.advance(4)
        held = [host.instance for host in self.view.held_as_leaving()]
        self.assertEqual(held, ["portal-1"])
        self.advance(57)
        self.publish(record(1), record(2))
        self.assertEqual(self.hosts(), ["portal-1", "portal-2"])
        self.assertEqual(self.view.held_as_leaving(), [])

    async def test_late_datagram_does_not_undo_leaving(self):
        """Guards against a reordered datagram that brings back a leaving host."""
        self.publish(record(1))
        self.view.record_signal(*HOST, LEAVING, b"one")
        self.advance(10)
        self.view.record_signal(*HOST, ACCEPTING, b"one")
        self.assertEqual(self.hosts(), [])
        self.view.record_signal(*HOST, ACCEPTING, b"two")
        self.assertEqual(self.hosts(), ["portal-1"])

    async def test_host_gets_work_again_after_the_end_of_its_drain(self):
        """Guards against a service without hosts after the end of a drain (seed 6)."""
        self.publish(record(1))
        self.view.set_draining_hosts(["portal-1"])
        self.view.record_signal(*HOST, LEAVING, b"one")
        self.view.set_draining_hosts([])
        self.assertEqual(self.hosts(), ["portal-1"])

    async def test_host_that_learns_late_of_the_end_of_its_drain_gets_work_again(self):
        """Guards against a host that stays unused because of a late leaving signal."""
        self.publish(record(1))
        self.view.set_draining_hosts(["portal-1"])
        self.view.record_signal(*HOST, LEAVING, b"one")
        self.view.set_draining_hosts([])
        self.view.record_signal(*HOST, LEAVING, b"one")
        self.assertEqual(self.hosts(), [])
        self.advance(4)
        self.view.record_signal(*HOST, ACCEPTING, b"one")
        self.assertEqual(self.hosts(), ["portal-1"])

    async def test_late_datagram_without_incarnation(self):
        """Guards against reordered datagrams without an incarnation."""
        self.publish(record(1))
        self.view.record_signal(*HOST, LEAVING)
        self.advance(1)
        self.view.record_signal(*HOST, ACCEPTING)
        self.assertEqual(self.hosts(), [])
        self.advance(3)
        self.view.record_signal(*HOST, ACCEPTING)
        self.assertEqual(self.hosts(), ["portal-1"])

    async def test_new_list_record_clears_the_leaving_signal(self):
        """Guards against a replaced host that never gets work."""
        for later_records in ([], [record(1, state="leaving")]):
            self.publish(record(1))
            self.view.record_signal(*HOST, LEAVING)
            self.publish(*later_records)
            self.publish(record(1))
            self.assertEqual(self.hosts(), ["portal-1"])
        self.view.record_signal(*HOST, LEAVING)
        self.publish(record(1, instance="portal-9"))
        self.assertEqual(self.hosts(), ["portal-9"])

    async def test_signal_before_the_record_holds(self):
        """Guards against work for a leaving host whose record arrives late."""
        self.view.record_signal(*HOST, LEAVING)
        self.publish()
        self.publish(record(2))
        self.publish(record(1), record(2))
        self.assertEqual(self.hosts(), ["portal-2"])

    async def test_draining_host_takes_no_new_work(self):
        """Guards against a drained host that gets work because of its own signal."""
        self.publish(record(1), record(2))
        self.view.record_signal(*HOST, ACCEPTING)
        self.view.set_draining_hosts(["portal-1"])
        self.assertEqual(self.hosts(), ["portal-2"])
        self.view.set_draining_hosts([])
        self.assertEqual(self.hosts(), ["portal-1", "portal-2"])

    async def test_removed_host_keeps_its_flows(self):
        """Guards against open flows that break when a list record is removed."""
        codec = TokenCodec(KeyRing(KeySet(1, {"1": "ab" * 32})))
        router = Router(codec)
        router.set_networks(["10.0.0.0/8"])
        self.publish(record(1))
        token = RoutingToken(*HOST, service=1, incarnation=b"abc", serial=1)
        self.publish()
        self.assertEqual(self.hosts(), [])
        flow = FlowKey(1, "192.0.2.7", 5_000)
        packet = Packet(flow, codec.encode(token), opens=False)
        self.assertEqual(router.route(packet, []), Deliver(*HOST, opens=False))


class ReorderTest(TestCase):
    @seed(13)
    @settings(max_examples=200, deadline=None, database=None)
    @given(
        st.lists(st.sampled_from(["accepting", "leaving", "list", "wait"]), max_size=25)
    )
    def test_leaving_host_gets_no_work_in_any_order_of_events(self, steps):
        """Guards against new work for a leaving host in any order of events."""
        with asyncio.Runner(loop_factory=PausedClockLoop) as runner:
            runner.run(self.follow(steps))

    async def follow(self, steps):
        view, left = View(), False
        instances = read_list(json.dumps([record(1)])).instances
        view.replace(instances)
        for step in steps:
            match step:
                case "accepting":
                    view.record_signal(*HOST, ACCEPTING, b"one")
                case "leaving":
                    view.record_signal(*HOST, LEAVING, b"one")
                    left = True
                case "wait":
                    asyncio.get_running_loop().advance(2.0)
                case "list":
                    view.replace(dict(instances))
            self.assertEqual(view.accepts(instances["portal-1"]), not left)

"""Emulated fleets: promises hold under random troubles, and checks detect faults."""

import logging
from unittest import TestCase, mock

from balsamspool.placement.ranking import by_failure_domain
from balsamspool.plugins.catalog.cordons import Cordons
from balsamspool.plugins.catalog.model import Target
from balsamspool.plugins.catalog.server_index import ServerIndex
from balsamspool.plugins.datagram_entry import holders as holders_module
from balsamspool.plugins.datagram_entry import openings
from balsamspool.plugins.datagram_entry import plugin as entry_plugin
from balsamspool.plugins.datagram_entry.search import FlowSearch
from emulator.checks import MIN_ANSWERED_SHARE, answered_share, check
from emulator.experiment import large_workload, run_trial, small_workload
from emulator.history import History, Run
from emulator.segment import SegmentCodec
from emulator.troubles import CordonDomain, DrainServer, PowerOff, RollingRestart

WORKLOAD = small_workload(30.0, 0.3)
TROUBLES = 8
CORDONS = 2
SEEDS = range(1, 5)
# Runs that failed before a fault was fixed: seed, number of troubles, seconds, cause.
REGRESSIONS = (
    (8, 8, 30.0, "searches for an acknowledgement sent copies to every host (stray)"),
    (
        1069,
        14,
        40.0,
        "a flow at an earlier service, after a restart of its agent (reset)",
    ),
    (1002, 14, 40.0, "a flow at an earlier service of its route (stray, reset)"),
    (42, 8, 30.0, "the same after a kill of all processes, found in history (stray)"),
)


class EmulatorCase(TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def broken_promises(self, workload, seed, troubles):
        trial = run_trial(workload, seed, troubles)
        return {violation.promise for violation in trial.violations}


class PromisesTest(EmulatorCase):
    def test_promises_hold_under_drawn_troubles(self):
        """Guards against faults that appear only when several troubles coincide."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                trial = run_trial(WORKLOAD, seed, TROUBLES)
                self.assertEqual(trial.violations, [])
                self.assertGreater(len(trial.history.outcomes), 500)

    def test_promises_hold_while_failure_domains_are_out_of_service(self):
        """Guards against flows in such a domain after a fault, and flows lost there."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                trial = run_trial(WORKLOAD, seed, TROUBLES, cordons=CORDONS)
                self.assertEqual(trial.violations, [])
                self.assertGreaterEqual(len(trial.history.domains_out), 1)

    def test_seeds_of_earlier_failures_pass(self):
        """Guards against regressions of faults that the emulator found."""
        for seed, troubles, seconds, cause in REGRESSIONS:
            with self.subTest(seed=seed, cause=cause):
                trial = run_trial(small_workload(seconds, 0.3), seed, troubles)
                self.assertEqual(trial.violations, [])

    def test_the_same_seed_gives_the_same_run(self):
        """Guards against violations that cannot be reproduced from their seed."""
        first, second = (run_trial(WORKLOAD, 3, 3) for _ in range(2))
        self.assertEqual(first.history.outcomes, second.history.outcomes)
        self.assertEqual(first.counters, second.counters)


class LargeFleetTest(EmulatorCase):
    """59 entries and 136 hosts; the demand is low, so that a run takes seconds."""

    SECONDS = 14.0

    def test_flows_that_a_power_failure_ended_are_reset(self):
        """Guards against callers that wait for their deadline after a power failure.

        No host of a service of 109 holds the flows, and each caller has 2.6 s.
        """
        failure = [PowerOff(at=4.0, seconds=0.6)]
        trial = run_trial(large_workload(self.SECONDS, 1.0), 1, failure)
        self.assertEqual(trial.violations, [])
        outcomes = trial.history.outcomes
        begin = min(outcome.started for outcome in outcomes)
        after = answered_share(trial.history, begin + 6.0, begin + self.SECONDS)
        self.assertGreater(after, MIN_ANSWERED_SHARE)

    def test_calls_to_the_service_do_not_grow_with_the_entries(self):
        """Guards against a watch of each entry."""
        calls = {}
        for seconds in (4.0, 14.0):
            trial = run_trial(large_workload(seconds, 0.3), 1)
            self.assertEqual(trial.violations, [])
            calls[seconds] = trial.summary.calls
        # In 10 s, each of six readers may make a call every 1.2 s.
        self.assertLess(calls[14.0] - calls[4.0], 6 * 10 / 1.2 + 12)


class PlantedFaultTest(EmulatorCase):
    """Guards against checks that never fail, by planting a fault for each one."""

    def test_a_flow_at_another_service_is_noticed(self):
        def choose(key, targets):
            return Target("records")

        with mock.patch.object(openings, "choose_target", choose):
            self.assertIn("route", self.broken_promises(small_workload(5.0, 0.3), 1, 0))

    def test_new_flows_at_a_draining_host_are_noticed(self):
        drains = [DrainServer(at=1.0 + number) for number in range(3)]
        with mock.patch.object(ServerIndex, "ready", ServerIndex.listed):
            found = self.broken_promises(small_workload(20.0, 1.0), 1, drains)
        self.assertIn("drain", found)

    def test_new_flows_in_a_domain_out_of_service_are_noticed(self):
        def ready_by_domain(self, service):
            return by_failure_domain(self.ready(service))

        out = [CordonDomain(at=1.0, position=0.0, seconds=6.0)]
        with mock.patch.object(ServerIndex, "ready_by_domain", ready_by_domain):
            found = self.broken_promises(small_workload(8.0, 0.3), 1, out)
        self.assertEqual(found, {"cordon"})

    def test_a_domain_that_stays_out_of_service_is_noticed(self):
        def remove(self, domain, revision, time):
            return False

        out = [CordonDomain(at=1.0, position=0.0, seconds=2.0)]
        with mock.patch.object(Cordons, "remove", remove):
            found = self.broken_promises(small_workload(8.0, 0.3), 1, out)
        self.assertEqual(found, {"listing"})

    def test_a_reset_of_an_open_flow_is_noticed(self):
        def search(self, packet, *args):
            self.reset_lost(packet, "planted")

        restarts = [RollingRestart(at=1.0, gap=0.5)]
        with mock.patch.object(FlowSearch, "search", search):
            found = self.broken_promises(small_workload(10.0, 0.3), 1, restarts)
        self.assertIn("reset", found)

    def test_packets_at_other_hosts_are_noticed(self):
        original = holders_module.order_lookup

        def order(*args):
            return original(*args)[-2:]

        restarts = [RollingRestart(at=1.0, gap=0.5)]
        with mock.patch.object(holders_module, "order_lookup", order):
            found = self.broken_promises(small_workload(10.0, 0.3), 1, restarts)
        self.assertIn("stray", found)

    def test_changed_packets_are_noticed(self):
        original = SegmentCodec.encode

        def encode(self, packet, tag):
            head, data = original(self, packet, tag)
            return [head, bytes(len(data))]

        with mock.patch.object(SegmentCodec, "encode", encode):
            self.assertIn(
                "genuine", self.broken_promises(small_workload(3.0, 0.3), 1, 0)
            )

    def test_a_second_run_is_noticed(self):
        history = History()
        for server in ("i-1", "i-2"):
            history.runs.append(Run(7, server, "portal", bytes(6), 1.0, 0.0))
        self.assertEqual({v.promise for v in check(history)}, {"once"})

    def test_requests_without_answers_are_noticed(self):
        def ignore(self, packet):
            """Drop every opening."""

        drain = [DrainServer(at=0.5)]
        with mock.patch.object(entry_plugin.DatagramEntryPlugin, "_on_opening", ignore):
            self.assertIn(
                "served", self.broken_promises(small_workload(12.0, 0.3), 1, drain)
            )

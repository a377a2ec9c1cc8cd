"""Injects faults into real processes with opaque flows, and tests the checks."""

import asyncio
from unittest import TestCase

from faults.packet_checks import packet_violations
from faults.packet_history import (
    BrokenFlow,
    DomainOut,
    LateOpening,
    Opening,
    PacketHistory,
    UnplannedFault,
)
from faults.packet_runner import FleetSize, run_packet_seed
from faults.packet_schedule import (
    Machines,
    is_planned,
    make_cordons,
    make_odd_entries,
    make_schedule,
)
from standins.odd_entries import HARMFUL_ENTRIES

CALLER = ("100.64.0.1", 20_001)
MACHINES = Machines((0, 1), ((2, 3, 4), (5, 6, 7)))
# A schedule with planned changes only, and a schedule with all kinds of faults.
SEEDS = (3, 7)
# Seeds that failed before, each with one line on the cause.
REGRESSIONS: dict[int, str] = {}


def broken(reason="reset", holder=2, time=10.0):
    return BrokenFlow(CALLER, time, reason, True, holder)


class SoakTest(TestCase):
    def test_guarantees_hold_under_faults(self):
        """Guards against processes that lose flows or requests under faults."""
        for seed in (*SEEDS, *REGRESSIONS):
            with self.subTest(seed=seed):
                history = asyncio.run(run_packet_seed(seed, FleetSize()))
                self.assertEqual(packet_violations(history), [], history.faults)
                self.assertGreater(history.answered, 100)
                out = history.domains_out[-1]
                opened = {
                    o.failure_domain
                    for o in history.openings
                    if out.start < o.time <= out.end
                }
                self.assertIn("hall-a", opened)


class ScheduleTest(TestCase):
    def test_a_seed_gives_the_same_faults(self):
        """Guards against a schedule that cannot be reproduced from its seed."""
        self.assertEqual(make_schedule(5, MACHINES), make_schedule(5, MACHINES))
        self.assertNotEqual(make_schedule(5, MACHINES), make_schedule(7, MACHINES))

    def test_harmful_entries_are_in_each_schedule(self):
        """Guards against a soak that no longer plays a writer of odd entries."""
        for seed in range(20):
            written = [step.fault for step in make_odd_entries(seed)]
            self.assertLessEqual(set(HARMFUL_ENTRIES), set(written))
            self.assertEqual(make_odd_entries(seed), make_odd_entries(seed))

    def test_a_domain_is_out_of_service_in_each_schedule(self):
        """Guards against a soak that takes no failure domain out of service."""
        lengths = set()
        for seed in range(20):
            steps = make_cordons(seed)
            self.assertEqual(steps, make_cordons(seed))
            lengths.add(len(steps))
        self.assertEqual(lengths, {1, 2})

    def test_planned_seeds_have_planned_faults_only(self):
        """Guards against unplanned faults in a run that counts as planned."""
        for seed in range(0, 60, 3):
            self.assertTrue(is_planned(seed))
            names = {type(s.fault).__name__ for s in make_schedule(seed, MACHINES)}
            self.assertFalse(names & {"KillProcess", "FreezeProcess", "DisturbStore"})


class ChecksTest(TestCase):
    """Guards against checks that never fail."""

    def history(self, planned=False, **fields):
        return PacketHistory(planned, **fields)

    def violated_guarantees(self, history):
        return {line.split(":")[0] for line in packet_violations(history)}

    def test_a_second_run_is_found(self):
        runs = [("portal", b"portal/1"), ("portal", b"portal/1")]
        self.assertEqual(self.violated_guarantees(self.history(runs=runs)), {"once"})

    def test_a_task_that_failed_is_found(self):
        history = self.history(restarted_tasks=["entry-1 catalog follower"] * 9)
        self.assertEqual(self.violated_guarantees(history), {"task"})
        self.assertEqual(len(packet_violations(history)), 1)

    def test_a_run_at_another_service_is_found(self):
        runs = [("records", b"portal/1")]
        self.assertEqual(self.violated_guarantees(self.history(runs=runs)), {"route"})

    def test_a_reset_of_a_held_flow_is_found(self):
        found = self.history(broken_flows=[broken()])
        self.assertEqual(self.violated_guarantees(found), {"reset"})
        found.unplanned_faults.append(UnplannedFault(frozenset({1}), 5.0, 7.0))
        self.assertEqual(self.violated_guarantees(found), set())
        found.broken_flows.append(broken(time=11.5))
        self.assertEqual(self.violated_guarantees(found), {"reset"})

    def test_a_store_fault_does_not_allow_a_reset(self):
        found = self.history(broken_flows=[broken()])
        found.unplanned_faults.append(UnplannedFault(frozenset(), 9.0, 11.0))
        self.assertEqual(self.violated_guarantees(found), {"reset"})

    def test_an_opening_in_a_domain_out_of_service_is_found(self):
        found = self.history(domains_out=[DomainOut("b", 10.0, 15.0)])
        found.openings += [Opening(2, "a", 14.0), Opening(3, "b", 12.9)]
        found.openings.append(Opening(3, "b", 15.1))
        self.assertEqual(self.violated_guarantees(found), set())
        found.openings.append(Opening(3, "b", 14.0))
        self.assertEqual(self.violated_guarantees(found), {"cordon"})
        found.unplanned_faults.append(UnplannedFault(frozenset(), 5.0, 6.9))
        self.assertEqual(self.violated_guarantees(found), {"cordon"})
        found.unplanned_faults.append(UnplannedFault(frozenset(), 11.0, 11.5))
        self.assertEqual(self.violated_guarantees(found), set())

    def test_a_flow_broken_by_a_planned_change_is_found(self):
        found = self.history(planned=True, broken_flows=[broken("no answer", None)])
        self.assertEqual(self.violated_guarantees(found), {"planned"})

    def test_violations_of_other_guarantees_are_found(self):
        found = self.history(
            late_openings=[LateOpening(3, 3.4)],
            forged=1,
            exits=["0 entry-1"],
            unrecovered_services=["portal"],
        )
        expected = {"drain", "genuine", "exit", "recovery"}
        self.assertEqual(self.violated_guarantees(found), expected)

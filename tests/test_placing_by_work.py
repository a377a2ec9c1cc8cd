"""Placing of new flows by expected work, and what callers get by it."""

from unittest import TestCase

from balsamspool.placement.load import LoadBoard, LoadReport
from balsamspool.placement.opening import (
    MIN_SHARE,
    WARMUP_FACTOR,
    order_choices,
)
from balsamspool.placement.ranking import by_failure_domain
from tests.datagram_entry_case import IDLE
from tests.datagram_fakes import server
from tests.placing_model import CASES, Run

# Margin by which expected work may be worse than requests per slot: late requests as a
# share of all, and the 99th percentile relative to that of requests per slot.
LATE_MARGIN, P99_MARGIN = 0.005, 1.05


class CostTest(TestCase):
    def choices(self, *reports, servers=None, age=0.0):
        servers = servers or [server(n, slots=1) for n in range(1, len(reports) + 1)]
        board = LoadBoard()
        for backend, load in zip(servers, reports, strict=True):
            if load is not None:
                board.record(backend.address, load, 10.0)
        grouped = by_failure_domain(servers)
        found = order_choices(b"k" * 12, "portal", grouped, board, 10.0 + age, "a")
        return {choice.server.name: choice for choice in found}, found[0].server.name

    def load(self, work_left=0.0, service_time=0.1, in_progress=0, mean=0.0, flows=0):
        return LoadReport(in_progress, mean, flows, True, 0.1, work_left, service_time)

    def test_a_long_request_counts_by_its_time(self):
        """Guards against a flow behind a long request while another host ends soon."""
        long, short = self.load(0.7, in_progress=1), self.load(0.05, in_progress=1)
        self.assertEqual(self.choices(long, short)[1], "i-2")

    def test_a_slow_host_gets_no_flow_with_the_same_count(self):
        """Guards against equal costs of hosts of different speed."""
        slow = self.load(0.17, 0.17, in_progress=1)
        self.assertEqual(self.choices(slow, self.load(0.07, 0.07, 1))[1], "i-2")

    def test_work_that_was_reported_drains(self):
        """Guards against an old report by which a host looks busy for ever."""
        loads = [self.load(0.3), self.load(0.3)]
        fresh, old = (self.choices(*loads, age=age)[0]["i-1"] for age in (0.0, 0.2))
        self.assertLess(old.seconds, fresh.seconds)

    def test_without_work_reports_the_cost_is_that_of_before(self):
        """Guards against another placement in a fleet of the version before."""
        found, _ = self.choices(LoadReport(3, 2.0, 0, True, 0.1), IDLE)
        self.assertAlmostEqual(found["i-1"].cost, 0.5 * 3 + 0.5 * 1.0 + 0.5)
        self.assertIsNone(found["i-1"].seconds)

    def test_hosts_without_work_reports_are_compared_in_the_same_unit(self):
        """Guards against all flows to, or none to, the agents of one version."""
        idle, busy = IDLE, LoadReport(4, 4.0, 4, True, 0.1)
        loaded = self.load(0.4, in_progress=4, mean=4.0, flows=4)
        self.assertEqual(self.choices(loaded, idle)[1], "i-2")
        self.assertEqual(self.choices(self.load(), busy)[1], "i-1")
        found, _ = self.choices(loaded, busy, None)
        self.assertAlmostEqual(found["i-1"].cost, found["i-2"].cost, delta=0.01)
        self.assertGreater(found["i-3"].cost, 1.0)

    def test_a_replaced_host_counts_as_usual_until_it_has_learned(self):
        """Guards against a new host that looks infinitely fast or infinitely slow."""
        new = self.load(0.04, 0.0, in_progress=1, mean=1.0)
        usual = self.load(0.1, in_progress=1, mean=1.0)
        found, _ = self.choices(new, usual)
        self.assertAlmostEqual(found["i-1"].cost, found["i-2"].cost, delta=0.01)

    def test_a_host_of_fast_errors_is_not_infinitely_fast(self):
        """Guards against a failing host that draws flows from domains around it."""
        loads = [self.load(service_time=0.001), *[self.load()] * 3]
        failing = self.choices(*loads)[0]["i-1"]
        self.assertGreaterEqual(failing.cost, MIN_SHARE)

    def test_a_cold_host_is_slower_than_it_was_when_warm(self):
        """Guards against times from before a backend server became cold."""
        servers = [server(1, slots=1, warmup=2.0), server(2, slots=1)]
        found, first = self.choices(self.load(), self.load(), servers=servers)
        self.assertEqual(first, "i-2")
        self.assertAlmostEqual(found["i-1"].cost, WARMUP_FACTOR)

    def test_another_failure_domain_costs_a_share_of_a_request(self):
        """Guards against a penalty in another unit than the cost."""
        for work, first in ((0.02, "i-1"), (0.2, "i-2")):
            servers = [
                server(1, slots=1),
                server(2, slots=1, failure_domain="b"),
            ]
            loads = [self.load(work), self.load()]
            self.assertEqual(self.choices(*loads, servers=servers)[1], first)


class CallersTest(TestCase):
    """What callers get, on the same arrivals."""

    def compare(self, name, seeds=(1, 2)):
        results = {}
        for policy in ("today", "work"):
            runs = [Run(CASES[name], policy, seed).play() for seed in seeds]
            late = sum(run.late for run in runs) / len(runs)
            results[policy] = late, sum(run.p99 for run in runs) / len(runs)
        (late_before, p99_before), (late, p99) = results["today"], results["work"]
        self.assertLessEqual(late, late_before + LATE_MARGIN)
        self.assertLessEqual(p99, P99_MARGIN * p99_before)
        return late_before, late

    def test_long_requests_at_hosts_of_three_speeds(self):
        """Guards against callers that wait behind long requests."""
        self.compare("heavy")

    def test_long_requests_at_equal_hosts(self):
        """Guards against hosts that look slow for the long requests they got."""
        self.compare("heavy-equal")

    def test_hosts_of_three_speeds(self):
        """Guards against late answers of slow hosts while fast ones are idle."""
        before, late = self.compare("speeds")
        self.assertLess(late, before / 2)

    def test_a_host_that_slows_down_and_recovers(self):
        """Guards against a slow host that keeps its flows, or never gets them back."""
        self.compare("slowed")
        run = Run(CASES["slowed"], "work", 1).play()
        self.assertGreater(run.shares[0], sum(run.shares) / len(run.shares) / 3)

    def test_a_third_of_the_hosts_is_cold(self):
        """Guards against a full share of flows for hosts that warm up."""
        self.compare("cold")

    def test_many_entries_with_old_reports(self):
        """Guards against entries that all choose the host of the same old report."""
        self.compare("herd", seeds=(1,))

    def test_flows_that_stay_open(self):
        """Guards against hosts whose open flows bring more than their work left."""
        self.compare("kept")

    def test_a_fleet_of_two_versions(self):
        """Guards against an upgrade in steps during which callers are worse off."""
        before, mixed = (
            Run(CASES["speeds"], policy, 1).play().late for policy in ("today", "mixed")
        )
        self.assertLessEqual(mixed, before + LATE_MARGIN)

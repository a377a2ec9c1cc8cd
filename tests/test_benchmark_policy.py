from dataclasses import replace
from unittest import TestCase

from benchmarks.policy import best, fleet
from benchmarks.policy.figures import measure
from benchmarks.policy.parts import PRODUCT, SYSTEMS
from benchmarks.policy.workload import SCENARIOS, SERVICES, build

SMALL = replace(SERVICES[2], calm_seconds=4.0)
CHURN, OVERLOAD = SCENARIOS[1], SCENARIOS[2]


class PolicyBenchmarkTest(TestCase):
    def test_same_seed_gives_same_figures(self):
        """Guards against differences between systems that are only random noise."""
        workload = build(SMALL, CHURN, 1)
        best_times = best.answer_times(workload)
        first, second = (
            measure(workload, fleet.run(workload, PRODUCT), best_times)
            for _ in range(2)
        )
        self.assertEqual(first, second)

    def test_other_seed_gives_other_arrivals(self):
        """Guards against a workload that ignores its seed."""
        first, second = (build(SMALL, CHURN, seed).arrivals for seed in (1, 2))
        self.assertNotEqual(first, second)

    def test_every_request_ends_once(self):
        """Guards against requests that are missing from the figures."""
        workload = build(SMALL, OVERLOAD, 1)
        best_times = best.answer_times(workload)
        for system in SYSTEMS:
            with self.subTest(system.name):
                record = fleet.run(workload, system)
                figures = measure(workload, record, best_times)
                numbers = [outcome.arrival.number for outcome in record.outcomes]
                self.assertEqual(numbers, list(range(len(workload.arrivals))))
                self.assertEqual(sum(figures.endings.values()), figures.requests)

    def test_slots_are_never_exceeded(self):
        """Guards against requests that a backend server runs without a slot."""
        workload = build(SMALL, OVERLOAD, 1)
        for host in fleet.run(workload, PRODUCT).hosts:
            changes = [(use.begin, 1) for use in host.slot_uses]
            changes += [(use.end, -1) for use in host.slot_uses]
            running = 0
            for _, change in sorted(changes):
                running += change
                self.assertLessEqual(running, 2)

    def test_best_answers_are_in_time(self):
        """Guards against a reference schedule that no real system could achieve.

        The count of needless sheds would then be too high.
        """
        workload = build(SMALL, OVERLOAD, 1)
        best_times = best.answer_times(workload)
        self.assertTrue(best_times)
        for number, seconds in best_times.items():
            arrival = workload.arrivals[number]
            self.assertLessEqual(seconds, arrival.route.deadline)
            fastest = arrival.work / max(workload.speeds)
            self.assertGreaterEqual(seconds, fastest)

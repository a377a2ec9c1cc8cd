from dataclasses import replace
from unittest import TestCase

from benchmarks.policy import best, fleet
from benchmarks.policy.figures import measure
from benchmarks.policy.parts import PRODUCT, SYSTEMS
from benchmarks.policy.workload import SCENARIOS, SERVICES, build

SMALL = replace(SERVICES[2], calm=4.0)
CHURN, OVERLOAD = SCENARIOS[1], SCENARIOS[2]


class PolicyBenchmarkTest(TestCase):
    def test_same_seed_gives_same_figures(self):
        """Guards against a comparison of two systems that is noise."""
        workload = build(SMALL, CHURN, 1)
        possible = best.answered(workload)
        first, second = (
            measure(workload, fleet.run(workload, PRODUCT), possible) for _ in range(2)
        )
        self.assertEqual(first, second)

    def test_other_seed_gives_other_arrivals(self):
        """Guards against seeds that are ignored."""
        first, second = (build(SMALL, CHURN, seed).arrivals for seed in (1, 2))
        self.assertNotEqual(first, second)

    def test_every_request_ends_once(self):
        """Guards against requests that vanish from the counts."""
        workload = build(SMALL, OVERLOAD, 1)
        possible = best.answered(workload)
        for system in SYSTEMS:
            with self.subTest(system.name):
                record = fleet.run(workload, system)
                figures = measure(workload, record, possible)
                numbers = [outcome.arrival.number for outcome in record.outcomes]
                self.assertEqual(numbers, list(range(len(workload.arrivals))))
                self.assertEqual(sum(figures.endings.values()), figures.requests)

    def test_slots_are_never_exceeded(self):
        """Guards against work that the fake backend servers do beside the slots."""
        workload = build(SMALL, OVERLOAD, 1)
        for host in fleet.run(workload, PRODUCT).hosts:
            changes = [(run.begin, 1) for run in host.runs]
            changes += [(run.end, -1) for run in host.runs]
            running = 0
            for _, change in sorted(changes):
                running += change
                self.assertLessEqual(running, 2)

    def test_best_answers_are_in_time(self):
        """Guards against needless sheds counted against an impossible schedule."""
        workload = build(SMALL, OVERLOAD, 1)
        answers = best.answered(workload)
        self.assertTrue(answers)
        for number, seconds in answers.items():
            arrival = workload.arrivals[number]
            self.assertLessEqual(seconds, arrival.route.deadline)
            fastest = arrival.work / max(workload.speeds)
            self.assertGreaterEqual(seconds, fastest)

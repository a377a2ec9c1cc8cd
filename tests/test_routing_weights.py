"""Weights of hosts and the shares of flows that result from them."""

from collections import Counter
from unittest import TestCase

from balsamspool.placement.rendezvous import Candidate, choose
from balsamspool.plugins.routing.weights import HostAges, HostReport, weight_of


def shares(weights, keys=7_000):
    hosts = [Candidate(f"h{n}", "10.0.0.1", n, w) for n, w in enumerate(weights)]
    counts = Counter(choose(n.to_bytes(4, "big"), hosts).name for n in range(keys))
    return [counts[f"h{n}"] / keys for n in range(len(weights))]


class WeightTest(TestCase):
    def test_one_wrong_load_neither_empties_nor_floods_a_host(self):
        """Guards against a misleading report that moves all flows."""
        idle, full = (weight_of(HostReport(load=load)) for load in (0, 255))
        self.assertGreater(shares([full] + [idle] * 6)[0] * 7, 0.4)
        self.assertLess(shares([idle] + [full] * 6)[0] * 7, 2.0)

    def test_load_lowers_the_weight(self):
        """Guards against a loaded host that gets as many flows as an idle one."""
        weights = [weight_of(HostReport(load=load)) for load in range(256)]
        self.assertEqual(weights, sorted(weights, reverse=True))
        self.assertLess(weights[-1], weights[0])

    def test_cold_host_ramps_up(self):
        """Guards against a cold host that gets a full share at once."""
        weights = [weight_of(HostReport(age=float(age))) for age in range(31)]
        self.assertEqual(weights, sorted(weights))
        self.assertAlmostEqual(weights[0], 0.2)
        self.assertEqual(weights[-1], 1.0)

    def test_listed_weight_is_limited(self):
        """Guards against a listed weight that gives a host no flows or too many."""
        self.assertEqual(weight_of(HostReport(listed_weight=1e9)), 10.0)
        self.assertEqual(weight_of(HostReport(listed_weight=-1.0)), 0.1)

    def test_first_view_is_warm_and_later_hosts_are_cold(self):
        """Guards against a new entry that treats all hosts as cold."""
        ages = HostAges()
        ages.update(["a", "b"], 5.0)
        ages.update(["a", "b", "c"], 10.0)
        self.assertIsNone(ages.age("a", 11.0))
        self.assertEqual(ages.age("c", 11.0), 1.0)
        self.assertIsNone(ages.age("c", 40.0))
        ages.update(["a"], 50.0)
        ages.update(["a", "b"], 51.0)
        self.assertEqual(ages.age("b", 51.0), 0.0)

    def test_weight_of_one_host_moves_only_its_flows(self):
        """Guards against a ranking that reshuffles flows of other hosts."""
        before = [Candidate(f"h{n}", "10.0.0.1", n) for n in range(7)]
        after = [Candidate("h0", "10.0.0.1", 0, 0.5), *before[1:]]
        for number in range(500):
            key = number.to_bytes(4, "big")
            old, new = choose(key, before).name, choose(key, after).name
            self.assertTrue(old in (new, "h0"), (old, new))

"""Where a new flow opens, and which hosts are queried for an unknown flow."""

import random
from collections import Counter
from unittest import TestCase

from balsamspool.placement.interest import (
    MAX_REMOTE_HOSTS,
    MEETING_AGENTS,
    announce_targets,
    reporting_hosts,
)
from balsamspool.placement.load import LoadBoard, LoadReport
from balsamspool.placement.lookup import LOOKUP_LIMIT, order_lookup
from balsamspool.placement.opening import CHOICES, order_choices
from balsamspool.placement.ranking import by_failure_domain
from balsamspool.placement.rendezvous import choose_target, rank_equal
from balsamspool.plugins.catalog.model import Target
from tests.datagram_fakes import server

KEYS = [n.to_bytes(12, "big") for n in range(400)]
SERVERS = [server(n) for n in range(1, 8)]


def report(in_progress=0, mean=0.0, flows=0, responsive=True):
    return LoadReport(in_progress, mean, flows, responsive, period=0.1)


def choices_of(key, servers, board, time, failure_domain):
    """Return the choices for a flow among ungrouped backend servers."""
    grouped = by_failure_domain(servers)
    return order_choices(key, "portal", grouped, board, time, failure_domain)


def lookup_of(key, listed, departed, board, failure_domain="a"):
    """Return the hosts to query among ungrouped backend servers."""
    groups = by_failure_domain(listed), by_failure_domain(departed)
    return order_lookup(key, *groups, board, failure_domain)


def board_of(reports, time=10.0):
    board = LoadBoard()
    for backend, load in zip(SERVERS, reports, strict=False):
        board.record(backend.address, load, time)
    return board


class OpeningTest(TestCase):
    def first(self, key, board, time=10.0, servers=SERVERS):
        return choices_of(key, servers, board, time, "a")[0].server

    def test_flows_spread_without_any_report(self):
        """Guards against all flows going to one host before the first load reports."""
        counts = Counter(self.first(key, LoadBoard()).name for key in KEYS)
        self.assertEqual(len(counts), 7)
        self.assertLess(max(counts.values()), 2 * len(KEYS) / 7)

    def test_the_least_loaded_of_the_first_choices_is_taken(self):
        """Guards against a flow that waits although another first choice is idle."""
        board = board_of([report(in_progress=n, mean=n) for n in range(7)])
        for key in KEYS[:50]:
            first = rank_equal(key, SERVERS)[:CHOICES]
            self.assertEqual(self.first(key, board), min(first, key=SERVERS.index))

    def test_a_slow_host_gets_fewer_flows(self):
        """Guards against equal shares for hosts of different speed."""
        loads = [report(in_progress=2, mean=1.8, flows=20)]
        loads += [report(in_progress=0, mean=0.6, flows=20)] * 6
        counts = Counter(self.first(key, board_of(loads)).name for key in KEYS)
        self.assertLess(counts["i-1"], len(KEYS) / 7 / 2)

    def test_flows_placed_since_the_report_count(self):
        """Guards against a burst that goes to one host between two reports."""
        board = board_of([report()] * 7)
        counts = Counter()
        for key in KEYS[:70]:
            first = self.first(key, board)
            board.record_placed(first.address, 0.0)
            counts[first.name] += 1
        self.assertLessEqual(max(counts.values()) - min(counts.values()), 4)

    def test_flows_placed_before_the_first_reports_are_spread(self):
        """Guards against an entry that fills a few hosts right after its start."""
        counts = Counter()
        board = LoadBoard()
        for key in KEYS[:70]:
            first = self.first(key, board)
            board.record_placed(first.address, 10.0)
            counts[first.name] += 1
        self.assertLessEqual(max(counts.values()) - min(counts.values()), 4)

    def test_flows_placed_without_reports_are_forgotten(self):
        """Guards against hosts that are avoided for flows of long ago."""
        board = LoadBoard()
        for _ in range(5):
            board.record_placed("10.0.0.1", 0.0)
        self.assertEqual(board.placed_unreported("10.0.0.1", 0.5), 5)
        self.assertEqual(board.placed_unreported("10.0.0.1", 1.5), 0)
        board.record_placed("10.0.0.2", 1.5)
        self.assertEqual(set(board._unreported), {"10.0.0.2"})

    def test_a_new_host_with_many_flows_does_not_count_as_idle(self):
        """Guards against a replacement host that gets all flows until it is slow."""
        loads = [report(in_progress=0, mean=0.0, flows=40)]
        loads += [report(in_progress=0, mean=0.5, flows=10)] * 6
        key = next(k for k in KEYS if SERVERS[0] in rank_equal(k, SERVERS)[:CHOICES])
        self.assertNotEqual(self.first(key, board_of(loads)), SERVERS[0])

    def test_silent_and_unresponsive_hosts_come_last(self):
        """Guards against flows that open at a stopped host while other hosts answer."""
        board = board_of([report(responsive=False), *[report()] * 6])
        board.record(SERVERS[1].address, report(), 5.0)
        for backend in SERVERS[2:]:
            board.record(backend.address, report(), 10.0)
        for key in KEYS:
            self.assertNotIn(self.first(key, board), SERVERS[:2])

    def test_the_last_host_is_used_even_if_it_is_silent(self):
        """Guards against refusing new flows because the only host's report was lost."""
        board = board_of([report(responsive=False)])
        self.assertEqual(self.first(KEYS[0], board, servers=SERVERS[:1]), SERVERS[0])

    def test_a_host_that_warms_up_costs_more(self):
        """Guards against a full share of flows for hosts that still warm up."""
        cold = server(1, warmup=1.5)
        board = board_of([report(in_progress=1, mean=1.0)] * 2)
        for key in KEYS[:20]:
            first = self.first(key, board, servers=[cold, SERVERS[1]])
            self.assertEqual(first, SERVERS[1])


class FailureDomainTest(TestCase):
    SERVERS = [server(n, failure_domain="ab"[n % 2]) for n in range(1, 5)]

    def own_share(self, loads):
        board = LoadBoard()
        for backend in self.SERVERS:
            board.record(backend.address, loads[backend.failure_domain], 10.0)
        choices = [choices_of(k, self.SERVERS, board, 10.0, "a")[0] for k in KEYS]
        own = [c for c in choices if c.server.failure_domain == "a"]
        return len(own) / len(KEYS)

    def test_an_idle_host_of_the_own_domain_is_preferred(self):
        """Guards against traffic between failure domains that saves no wait."""
        self.assertEqual(self.own_share({"a": report(), "b": report()}), 1.0)

    def test_a_busy_domain_spills_over(self):
        """Guards against callers that wait while another failure domain is idle."""
        loads = {"a": report(in_progress=2, mean=1.5), "b": report()}
        self.assertEqual(self.own_share(loads), 0.0)


class LoadBoardTest(TestCase):
    def test_silence_is_measured_against_other_hosts(self):
        """Guards against a pause of the entry that makes all hosts look silent."""
        board = board_of([report()] * 3, time=1.0)
        self.assertFalse(board.silent(SERVERS[0].address))
        board.record(SERVERS[1].address, report(), 9.0)
        self.assertTrue(board.silent(SERVERS[0].address))
        self.assertFalse(board.silent(SERVERS[1].address))
        self.assertFalse(board.silent("10.9.9.9"))

    def test_a_lost_report_of_a_host_that_reports_seldom_is_no_silence(self):
        """Guards against giving up the flows of a remote host for one lost report."""
        seldom = LoadReport(0, 0.0, 0, True, period=2.0)
        board = board_of([seldom, report()], time=1.0)
        board.record(SERVERS[1].address, report(), 5.1)
        self.assertFalse(board.seems_gone(SERVERS[0].address))
        board.record(SERVERS[1].address, report(), 6.1)
        self.assertTrue(board.seems_gone(SERVERS[0].address))


class LookupTest(TestCase):
    def test_an_open_flow_is_found_by_the_first_choices(self):
        """Guards against a search whose length grows with the number of hosts."""
        for key in KEYS[:50]:
            choices = choices_of(key, SERVERS, LoadBoard(), 0.0, "a")
            found = lookup_of(key, SERVERS, [], LoadBoard())[:CHOICES]
            self.assertIn(choices[0].server, found)

    def test_hosts_that_report_come_before_silent_and_departed_ones(self):
        """Guards against a search that ends at a host without power.

        Such searches cost 9 requests in the run quiet-1.
        """
        board = board_of([report(responsive=False), *[report()] * 5])
        departed = [server(90)]
        for key in KEYS[:50]:
            found = lookup_of(key, SERVERS, departed, board)
            self.assertEqual([s.name for s in found[-3:]], ["i-7", "i-1", "i-90"])

    def test_the_chain_is_bounded(self):
        """Guards against a packet that is passed to every host of a large service."""
        many = [server(n) for n in range(1, LOOKUP_LIMIT)]
        self.assertEqual(len(lookup_of(KEYS[0], many, many, LoadBoard())), LOOKUP_LIMIT)


class TargetTest(TestCase):
    def test_targets_share_flows_by_weight(self):
        """Guards against a split that ignores its weights."""
        targets = (Target("a", 90), Target("b", 10))
        counts = Counter(choose_target(key, targets).service for key in KEYS)
        self.assertAlmostEqual(counts["b"] / len(KEYS), 0.1, delta=0.05)


class InterestTest(TestCase):
    def hosts(self, count, services, domains="abcdefgh", flow_hosts=()):
        listed = [
            server(
                number,
                f"s-{number % services}",
                address=f"10.{number >> 8}.{number & 255}.1",
                failure_domain=domains[number % len(domains)],
            )
            for number in range(count)
        ]
        return reporting_hosts(listed, [], flow_hosts, "a", "10.9.9.9")

    def test_reports_do_not_grow_with_the_fleet(self):
        """Guards against control traffic that grows with entries times hosts.

        4,100 hosts of 590 services in 8 failure domains may cost an entry 9 KB/s.
        """
        found = self.hosts(4_100, 590)
        self.assertLessEqual(len(found.local), 4_100 / 8 + 1)
        self.assertLessEqual(len(found.remote), MAX_REMOTE_HOSTS)

    def test_hosts_with_flows_of_the_entry_report(self):
        """Guards against a dead host in another failure domain that nobody notices."""
        found = self.hosts(80, 2, flow_hosts=["10.0.1.1", "10.0.0.1"])
        self.assertIn("10.0.1.1", found.remote)
        self.assertIn("10.0.0.1", found.local)

    def test_entries_of_a_failure_domain_meet_at_the_same_agents(self):
        """Guards against entries that never learn of one another."""
        listed = [server(n, failure_domain="ab"[n % 2]) for n in range(40)]
        targets = [
            announce_targets(listed, LoadBoard(), "a", random.Random(n))
            for n in range(9)
        ]
        common = set.intersection(*targets)
        self.assertEqual(len(common), MEETING_AGENTS)
        self.assertTrue(all(len(t - common) == 1 for t in targets))

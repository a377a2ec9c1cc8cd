"""Limit of new flows at a backend server that warms up."""

from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from balsamspool.placement.slow_start import (
    MAX_OPENINGS,
    UNKNOWN_SECONDS,
    Admitted,
    KeptOut,
    OpeningLimit,
    Warm,
)
from balsamspool.scheduling.terms import ServerTerms

SECOND = 1.0
# Time in seconds after which a limit is no longer new.
READY = UNKNOWN_SECONDS + 0.01


def ready_limit(excess=1.0, slack=0.0, rate=10.0, warmup=60.0):
    """Return a limit that knows the last second, and its time."""
    limit = OpeningLimit(excess, slack, 0.0)
    limit.learn(ServerTerms(1, warmup, rate), READY)
    return limit


def admitted_times(limit, times):
    """Return the times at which the limit admits an opening."""
    return [t for t in times if isinstance(limit.decide(t), Admitted)]


def busiest_second(times):
    """Return the highest number of openings in any span of one second."""
    return max((sum(t <= u <= t + SECOND for u in times) for t in times), default=0)


class LimitTest(TestCase):
    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(
        st.lists(st.floats(0.0, 0.3), max_size=150),
        st.floats(0.0, 40.0),
        st.floats(0.0, 3.0),
        st.floats(0.0, 8.0),
        st.lists(st.floats(0.0, 10.0), max_size=4),
    )
    def test_no_second_has_more_openings_than_the_bound(
        self, pauses, rate, excess, slack, terms_times
    ):
        """Guards against a burst that falls into two counted seconds."""
        limit = OpeningLimit(excess, slack, 0.0)
        terms = ServerTerms(1, 60.0, max(rate, 0.001))
        limit.learn(terms, 0.0)
        bound = terms.flows_per_second * excess + slack
        time, admitted, due = 0.0, [], sorted(terms_times)
        for pause in pauses:
            time += pause
            while due and due[0] <= time:
                limit.learn(terms, due.pop(0))
            admitted += admitted_times(limit, [time])
        self.assertLessEqual(busiest_second(admitted), bound)

    def test_two_bursts_beside_the_edge_of_a_second_share_one_bound(self):
        """Guards against a count that starts anew with each second."""
        limit = ready_limit(slack=5.0)
        first = [READY + 0.95 + n / 10_000 for n in range(100)]
        second = [READY + 1.05 + n / 10_000 for n in range(100)]
        admitted = admitted_times(limit, first + second)
        self.assertLessEqual(len(admitted), 15)

    def test_callers_get_what_the_backend_server_bears(self):
        """Guards against a limit that wastes what a cold backend server can serve."""
        for excess, slack in ((1.0, 0.0), (1.5, 5.0)):
            with self.subTest(excess=excess, slack=slack):
                limit = ready_limit(excess, slack)
                times = [READY + n / 100 for n in range(1_000)]
                count = len(admitted_times(limit, times))
                self.assertGreaterEqual(count, 90)
                self.assertLessEqual(count, 100 + slack)

    def test_the_slack_serves_a_burst_after_a_pause(self):
        """Guards against refusals of a burst that the rule allows."""
        limit = ready_limit(slack=5.0)
        self.assertEqual(len(admitted_times(limit, [READY + 1.0] * 20)), 5)

    def test_openings_are_admitted_evenly(self):
        """Guards against a second's openings that all queue at the same moment."""
        limit = ready_limit(slack=5.0)
        times = [READY + n / 1_000 for n in range(3_000)]
        admitted = admitted_times(limit, times)[5:]
        gaps = [b - a for a, b in zip(admitted, admitted[1:], strict=False)]
        self.assertLess(max(gaps), 0.2)

    def test_a_new_limit_admits_nothing_to_a_cold_backend_server(self):
        """Guards against a restart of the agent that doubles the openings."""
        limit = OpeningLimit(1.0, 5.0, 100.0)
        limit.learn(ServerTerms(1, 60.0, 10.0), 100.0)
        times = [100.0, 100.5, 101.0, 100.0 + READY]
        self.assertEqual(admitted_times(limit, times), times[-1:])

    def test_openings_from_before_the_terms_are_counted(self):
        """Guards against a backend server that turns cold under load."""
        limit = OpeningLimit(1.0, 5.0, 0.0)
        before = admitted_times(limit, [READY + n / 100 for n in range(100)])
        self.assertEqual(len(before), 100)
        limit.learn(ServerTerms(1, 60.0, 10.0), READY + 1.0)
        self.assertIsInstance(limit.decide(READY + 1.0), KeptOut)
        after = admitted_times(limit, [READY + 1.0 + n / 100 for n in range(200)])
        self.assertLessEqual(busiest_second([t for t in after if t > READY + 2]), 15)
        self.assertGreater(len(after), 5)

    def test_a_backend_server_that_turns_cold_under_load_gets_no_burst(self):
        """Guards against a burst on top of the openings of the last second."""
        limit = OpeningLimit(100.0, 5.0, 0.0)
        admitted_times(limit, [READY + n / 100 for n in range(100)])
        limit.learn(ServerTerms(1, 60.0, 10.0), READY + 1.0)
        self.assertIsInstance(limit.decide(READY + 1.0), KeptOut)

    def test_a_backend_server_without_limit_takes_all(self):
        """Guards against a limit at services for which none is published."""
        for terms in (ServerTerms(1, 60.0, 0.0), ServerTerms(1, 0.0, 10.0)):
            limit = OpeningLimit(1.0, 0.0, 0.0)
            limit.learn(terms, 0.0)
            self.assertEqual(len(admitted_times(limit, [0.1] * 10_000)), 10_000)

    def test_the_limit_ends_with_the_warm_up(self):
        """Guards against a limit that lasts until the next terms."""
        limit = ready_limit(warmup=2.0)
        self.assertEqual(len(admitted_times(limit, [READY + 1.99] * 50)), 2)
        self.assertEqual(len(admitted_times(limit, [READY + 2.0] * 50)), 50)
        self.assertIsInstance(limit.state(READY + 2.0), Warm)

    def test_later_terms_replace_earlier_ones(self):
        """Guards against a changed limit that is applied after the warm-up only."""
        limit = ready_limit()
        limit.learn(ServerTerms(1, 60.0, 2.0), READY + 1.0)
        times = [READY + 1.0 + n / 100 for n in range(1_000)]
        self.assertLessEqual(len(admitted_times(limit, times)), 22)
        limit.learn(ServerTerms(1), READY + 20.0)
        self.assertEqual(len(admitted_times(limit, [READY + 20.0] * 50)), 50)

    def test_repeated_terms_grant_no_further_burst(self):
        """Guards against notices of many entries that each refill the burst."""
        limit = ready_limit(excess=10.0, slack=5.0)
        admitted = []
        for n in range(100):
            limit.learn(ServerTerms(1, 60.0, 10.0), READY + n / 100)
            admitted += admitted_times(limit, [READY + n / 100] * 3)
        self.assertLessEqual(len(admitted), 16)

    def test_a_tiny_limit_admits_nothing_and_a_huge_one_stays_bounded(self):
        """Guards against a published limit that no second can hold."""
        times = [READY + n / 1_000 for n in range(1_000)]
        self.assertEqual(admitted_times(ready_limit(rate=0.001), times), [])
        self.assertEqual(admitted_times(ready_limit(rate=1e6), times), times)
        at_once = admitted_times(ready_limit(rate=1e6), [READY] * (2 * MAX_OPENINGS))
        self.assertEqual(len(at_once), MAX_OPENINGS)

    def test_a_tiny_limit_with_slack_admits_the_slack(self):
        """Guards against a limit below one that is rounded up each second."""
        limit = ready_limit(rate=0.001, slack=1.0)
        times = [READY + n / 10 for n in range(300)]
        self.assertEqual(admitted_times(limit, times), times[:1])

    def test_a_clock_that_stands_still_admits_one_burst(self):
        """Guards against a refill that does not depend on time."""
        limit = ready_limit(slack=5.0)
        self.assertEqual(len(admitted_times(limit, [READY] * 1_000)), 5)

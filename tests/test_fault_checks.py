"""Each check of the fault suite finds a violation that a test puts in a history."""

from unittest import TestCase

from faults import checks
from faults.history import (
    Attempt,
    CompleteAnswer,
    Feed,
    History,
    HostState,
    Interrupted,
    NotConnected,
    Rejected,
    Run,
    Stop,
    TimedOut,
)
from faults.schedule import StopAgents, make_schedule

HOSTS = {"portal": [0, 1, 2], "records": [3, 4]}


def answered(request_id, at=0.0, body=None, expected=None):
    text = f'"/plain?id={request_id}&seconds=0"'.encode() if body is None else body
    final_state = CompleteAnswer(200, "", "", text, expected)
    return Attempt(request_id, True, at, at + 1, final_state)


def refused(request_id, at=0.0, outcome="not-run"):
    final_state = CompleteAnswer(503, "1604", outcome, b"{}")
    return Attempt(request_id, True, at, at + 1, final_state)


class CheckCase(TestCase):
    def found(self, check, **fields):
        return list(check(History(**({"planned": False} | fields))))


class FeedCheckTest(CheckCase):
    def feed(self, numbers, interrupted=False, count_at_fault_end=1):
        messages = [("a", number) for number in numbers]
        return [Feed("f", messages, count_at_fault_end, interrupted)]

    def test_complete_feed_passes(self):
        """Guards against a check that reports a violation for a complete feed."""
        found = self.found(checks.feeds_continue, feeds=self.feed([0, 1, 2]))
        self.assertEqual(found, [])

    def test_violations_are_found(self):
        """Guards against a check that misses a gap, a repeat or an early end."""
        for numbers, interrupted, count_at_fault_end in (
            ([0, 2], False, 1),
            ([0, 1, 1], False, 1),
            ([1, 0], False, 1),
            ([0, 1], True, 1),
            ([0, 1], False, 2),
            ([], False, 0),
        ):
            with self.subTest(
                numbers=numbers,
                interrupted=interrupted,
                count_at_fault_end=count_at_fault_end,
            ):
                feeds = self.feed(numbers, interrupted, count_at_fault_end)
                self.assertTrue(self.found(checks.feeds_continue, feeds=feeds))

    def test_feed_of_two_servers_is_found(self):
        """Guards against a check that misses a change of the server of a feed."""
        feeds = [Feed("f", [("a", 0), ("b", 1)], 1)]
        self.assertTrue(self.found(checks.feeds_continue, feeds=feeds))

    def test_only_feeds_of_killed_agents_may_break(self):
        """Guards against a check that ignores feeds of agents that were not killed."""
        feeds = self.feed([0, 1], interrupted=True)
        for killed, count in (({"a"}, 0), ({"b"}, 1)):
            found = self.found(checks.feeds_continue, feeds=feeds, killed=killed)
            self.assertEqual(len(found), count)


class AnswerCheckTest(CheckCase):
    def test_violations_are_found(self):
        """Guards against a check that misses a short or mixed-up answer."""
        for attempt, count in (
            (answered("r-1"), 0),
            (answered("r-1", body=b"?id=r-11&seconds"), 1),
            (answered("r-1", body=b""), 1),
            (answered("r-1", body=b"abc", expected=b"abc"), 0),
            (answered("r-1", body=b"ab", expected=b"abc"), 1),
            (answered("r-1", body=b"abd", expected=b"abc"), 1),
        ):
            with self.subTest(attempt=attempt):
                found = self.found(checks.answers_whole, attempts=[attempt])
                self.assertEqual(len(found), count)


class NotRunCheckTest(CheckCase):
    def count(self, attempts, *starts):
        runs = [Run("r", "a", start) for start in starts]
        return len(self.found(checks.not_run_holds, attempts=attempts, runs=runs))

    def test_run_before_and_after_the_report_is_found(self):
        """Guards against a check that misses "not run" for a request that runs."""
        reported = refused("r", at=1.0)
        rejected = Attempt("r", False, 1.0, 2.0, Rejected())
        for attempt in (reported, rejected):
            self.assertEqual(self.count([attempt]), 0)
            for start in (0.5, 1.5, 9.0):
                self.assertEqual(self.count([attempt], start), 1)

    def test_rejected_retry_reports_only_on_itself(self):
        """Guards against a check that misses a run of the rejected retry itself."""
        retry = Attempt("r", True, 3.0, 4.0, Rejected())
        attempts = [answered("r", at=1.0), retry]
        self.assertEqual(self.count(attempts, 1.5), 0)
        for start in (0.5, 3.5, 9.0):
            self.assertEqual(self.count(attempts, start), 1)

    def test_only_a_later_attempt_may_run(self):
        """Guards against a check that takes a late first run for a retry."""
        attempts = [refused("r", at=1.0), answered("r", at=4.0)]
        self.assertEqual(self.count(attempts, 4.5), 0)
        self.assertEqual(self.count(attempts, 3.0), 1)

    def test_unknown_outcome_permits_a_run(self):
        """Guards against a check that reads "unknown" as "not run"."""
        self.assertEqual(self.count([refused("r", outcome="unknown")], 0.5), 0)


class OtherChecksTest(CheckCase):
    def test_second_run_of_a_keyed_request_is_found(self):
        """Guards against a check that misses a second run of a keyed request."""
        runs = [Run("r", "a", 1.0), Run("r", "b", 2.0)]
        for number, count in ((1, 0), (2, 1)):
            found = self.found(
                checks.keyed_once, attempts=[answered("r")], runs=runs[:number]
            )
            self.assertEqual(len(found), count)

    def test_stop_that_fails_or_hangs_is_found(self):
        """Guards against a check that misses a stop that fails or does not end."""
        for code, count in ((0, 0), (1, 1), (-9, 1), (None, 1)):
            found = self.found(checks.stops_graceful, stops=[Stop("a", code)])
            self.assertEqual(len(found), count)

    def test_request_interrupted_by_a_planned_change_is_found(self):
        """Guards against a check that misses a request that a planned change broke."""
        for final_state in (Interrupted(), TimedOut(), NotConnected()):
            attempts = [Attempt("r", False, 0.0, 1.0, final_state)]
            for planned in (False, True):
                found = self.found(
                    checks.stops_graceful, attempts=attempts, planned=planned
                )
                self.assertEqual(len(found), int(planned))

    def test_late_recovery_is_found(self):
        """Guards against a check that misses a service that recovers late or never."""
        for seconds, count in ((9.0, 0), (10.5, 1), (None, 1)):
            found = self.found(checks.service_recovers, recovery_seconds=seconds)
            self.assertEqual(len(found), count)

    def test_lost_slot_and_exceeded_limit_are_found(self):
        """Guards against a check that misses a lost or overused slot."""
        for usable, peak, lost, exceeded in ((2, 2, 0, 0), (1, 2, 1, 0), (2, 3, 0, 1)):
            hosts = [HostState("a", 2, usable, peak)]
            found = self.found(
                checks.service_recovers, hosts=hosts, recovery_seconds=0.0
            )
            self.assertEqual(len(found), lost)
            found = self.found(checks.slots_respected, hosts=hosts)
            self.assertEqual(len(found), exceeded)


class ScheduleTest(TestCase):
    def test_seed_determines_the_schedule(self):
        """Guards against a schedule that cannot be reproduced from its seed."""
        for seed in range(30):
            schedule = make_schedule(seed, 2, HOSTS)
            self.assertEqual(schedule, make_schedule(seed, 2, HOSTS))
            self.assertEqual(schedule.planned, seed % 3 == 0)

    def test_planned_stops_spare_one_host_of_each_service(self):
        """Guards against a schedule that stops all hosts of a service."""
        for seed in range(0, 60, 3):
            steps = make_schedule(seed, 2, HOSTS).steps
            numbers = set()
            for step in steps:
                if isinstance(step.fault, StopAgents):
                    numbers.update(step.fault.numbers)
            for service in HOSTS.values():
                self.assertLess(len(numbers & set(service)), len(service))

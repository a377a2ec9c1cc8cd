"""Learned times of requests and the work left at a backend server."""

from unittest import TestCase

from balsamspool.scheduling.service_times import (
    DEFAULT_SECONDS,
    FORGET_SECONDS,
    MAX_QUICK_IN_A_ROW,
    MAX_REMAINING_SHARE,
    MAX_ROUTES,
    ServiceTimes,
)
from balsamspool.scheduling.work_left import WorkLeft

FEED, BOOKING = b"feed..", b"book.."


class ServiceTimesTest(TestCase):
    def learned(self, *seconds):
        times = ServiceTimes()
        for number, value in enumerate(seconds):
            times.observe(FEED, value, number / 100)
        return times

    def test_a_sensible_time_before_anything_is_known(self):
        """Guards against work of 0 seconds while no request was answered yet."""
        self.assertEqual(ServiceTimes().expected(FEED), DEFAULT_SECONDS)
        self.assertEqual(ServiceTimes().mean(0.0), 0.0)
        self.assertEqual(self.learned(0.2).expected(BOOKING), 0.2)

    def test_fast_errors_do_not_make_a_server_look_fast(self):
        """Guards against a failing backend server that attracts all new flows."""
        times = self.learned(*[0.1] * 8, *[0.001, 0.1, 0.001] * 40)
        self.assertAlmostEqual(times.mean(2.0), 0.1)

    def test_a_server_that_became_much_faster_is_believed(self):
        """Guards against a backend server that counts as slow for ever."""
        times = self.learned(*[1.0] * 32, *[0.05] * (MAX_QUICK_IN_A_ROW + 32))
        self.assertAlmostEqual(times.expected(FEED), 0.05)

    def test_a_long_first_request_is_forgotten(self):
        """Guards against usual requests that count as errors after a long first one."""
        times = self.learned(0.7, *[0.1] * 40)
        self.assertAlmostEqual(times.expected(FEED), 0.1)

    def test_a_few_long_requests_do_not_make_a_server_look_slow(self):
        """Guards against a host that is avoided for the requests it happened to get."""
        usual = self.learned(*[0.1] * 31).mean(1.0)
        found = self.learned(*[0.1] * 30, 0.7, 0.7).mean(1.0)
        self.assertLess(found, 1.25 * usual)

    def test_a_server_that_slows_down_is_noticed_and_forgiven(self):
        """Guards against times that are never forgotten."""
        slow = self.learned(*[0.1] * 40, *[0.4] * 40)
        self.assertAlmostEqual(slow.expected(FEED), 0.4)
        for _ in range(40):
            slow.observe(FEED, 0.1, 1.0)
        self.assertAlmostEqual(slow.expected(FEED), 0.1)

    def test_old_times_are_forgotten_without_many_requests(self):
        """Guards against a host that was slow and gets no flow to show it recovered."""
        slow = self.learned(*[0.4] * 32)
        self.assertGreater(slow.mean(FORGET_SECONDS), 0.0)
        self.assertEqual(slow.mean(FORGET_SECONDS + 0.5), 0.0)
        slow.observe(FEED, 0.1, FORGET_SECONDS + 0.5)
        self.assertAlmostEqual(slow.mean(FORGET_SECONDS + 0.6), 0.1)

    def test_a_standing_clock_teaches_nothing(self):
        """Guards against service times of 0 while the clock of a process stands."""
        self.assertEqual(self.learned(0.0, 0.0).expected(FEED), DEFAULT_SECONDS)

    def test_a_lost_answer_counts_for_a_bounded_time(self):
        """Guards against a host that is avoided because one answer was lost."""
        times = self.learned(*[0.1] * 8)
        self.assertAlmostEqual(times.remaining(FEED, 0.02), 0.08)
        self.assertAlmostEqual(times.remaining(FEED, 0.4), 0.4)
        longest = MAX_REMAINING_SHARE * 0.1
        self.assertAlmostEqual(times.remaining(FEED, 9.0), longest)

    def test_routes_are_bounded(self):
        """Guards against callers of many routes that fill the memory."""
        times = ServiceTimes()
        for number in range(3 * MAX_ROUTES):
            times.observe(number.to_bytes(6, "big"), 0.1, 0.0)
        self.assertEqual(len(times.by_route()), MAX_ROUTES)


class WorkLeftTest(TestCase):
    def setUp(self):
        self.work = WorkLeft()
        for number in range(10):
            self.work.begin(b"k", FEED, float(number))
            self.work.end(b"k", number + 0.1)

    def test_work_is_time_and_not_a_count(self):
        """Guards against a long request that counts like a short one."""
        self.work.begin(b"a", FEED, 20.0)
        self.work.begin(b"b", FEED, 20.0)
        self.assertAlmostEqual(self.work.seconds(20.0), 0.2)
        self.assertAlmostEqual(self.work.seconds(20.04), 0.16)
        self.assertAlmostEqual(self.work.seconds(20.5), 0.6)

    def test_slots_share_the_work(self):
        """Guards against a host with many slots that looks busy."""
        self.work.begin(b"a", FEED, 20.0)
        self.work.begin(b"b", FEED, 20.0)
        self.work.set_slots(2, 20.0)
        self.assertAlmostEqual(self.work.seconds(20.0), 0.1)

    def test_a_loaded_server_does_not_look_slow(self):
        """Guards against service times that contain the wait for a slot."""
        for number in range(5):
            self.work.begin(bytes((number,)), FEED, 20.0)
        for number in range(5):
            self.work.end(bytes((number,)), 20.1 + number * 0.1)
        self.assertAlmostEqual(self.work.times.mean(21.0), 0.1)
        self.assertEqual(self.work.seconds(21.0), 0.0)

    def test_requests_without_an_answer_teach_nothing(self):
        """Guards against times of requests that were given up."""
        self.work.begin(b"a", FEED, 20.0)
        self.work.begin(b"b", FEED, 20.0)
        self.work.end(b"a", 30.0, answered=False)
        self.work.end(b"b", 30.1)
        self.work.end(b"b", 30.2)
        self.assertAlmostEqual(self.work.times.mean(21.0), 0.1)
        self.assertEqual(self.work.seconds(31.0), 0.0)

    def test_a_clock_that_goes_back_adds_no_work(self):
        """Guards against a request of negative age."""
        self.work.begin(b"a", FEED, 20.0)
        self.assertAlmostEqual(self.work.seconds(19.0), 0.1)

"""Order of requests that wait at a host, and what their callers get under load."""

from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from balsamspool.scheduling.request_queue import (
    LAST_CHANCE_SECONDS,
    LATE_SHARE,
    RequestQueue,
    WaitingRequest,
)

GOAL = 0.35
LIMIT = 2.5
WORK = 0.05


def waiting(key, arrived=0.0, priority=1, goal=GOAL, limit=LIMIT, expected=WORK):
    """Return a request with the terms of a usual route."""
    return WaitingRequest(
        key=key,
        endpoint=b"route1",
        priority=priority,
        arrived=arrived,
        due=arrived + goal,
        until=arrived + limit,
        expected=expected,
    )


class OrderTest(TestCase):
    def setUp(self):
        self.queue = RequestQueue()

    def add(self, *requests):
        for request in requests:
            self.queue.add(request)

    def take(self, time):
        return [r.key for r in iter(lambda: self.queue.take(time), None)]

    def test_the_urgent_one_goes_first(self):
        """Guards against an urgent request that waits behind less urgent ones."""
        self.add(waiting("feed", priority=2), waiting("ticket", 0.1, priority=1))
        self.assertEqual(self.take(0.1), ["ticket", "feed"])

    def test_of_equal_urgency_the_one_that_is_due_first(self):
        """Guards against a request that becomes late while a later one runs."""
        self.add(waiting("long", goal=0.8), waiting("short", 0.1, goal=0.2))
        self.assertEqual(self.take(0.1), ["short", "long"])

    def test_one_that_can_be_in_time_goes_before_one_that_is_late(self):
        """Guards against a queue in which every request is late."""
        self.add(waiting("late", 0.0, priority=0), waiting("new", 1.0, priority=2))
        self.assertEqual(self.take(1.0), ["new", "late"])

    def test_late_ones_get_a_turn_before_their_callers_leave(self):
        """Guards against requests that are never answered while load lasts."""
        time = LIMIT - LAST_CHANCE_SECONDS
        self.add(*(waiting(f"new-{n}", time) for n in range(6)), waiting("late"))
        order = self.take(time)
        self.assertEqual(order.index("late"), LATE_SHARE - 1)

    def test_late_ones_do_not_take_all_turns(self):
        """Guards against a queue that answers only requests that are late already."""
        time = LIMIT - LAST_CHANCE_SECONDS
        late = [waiting(f"late-{n}") for n in range(10)]
        self.add(*late, *(waiting(f"new-{n}", time) for n in range(10)))
        first = self.take(time)[:9]
        self.assertEqual(sum(key.startswith("late") for key in first), 3)

    def test_one_whose_caller_cannot_get_the_answer_is_given_up(self):
        """Guards against work for callers that no longer wait."""
        self.add(waiting("gone"), waiting("new", 2.0))
        self.assertEqual([r.key for r in self.queue.expire(LIMIT)], ["gone"])
        self.assertEqual(self.take(LIMIT), ["new"])

    def test_without_a_known_limit_a_request_is_never_given_up(self):
        """Guards against lost requests of routes without a limit."""
        self.add(waiting("kept", limit=float("inf")))
        self.assertEqual(self.queue.expire(1e9), [])

    @given(st.lists(st.tuples(st.integers(0, 2), st.floats(0, 3)), max_size=30))
    def test_each_request_is_taken_once(self, drawn):
        """Guards against a request that is lost or sent twice."""
        keys = []
        for number, (priority, arrived) in enumerate(drawn):
            keys.append(number)
            self.queue.add(waiting(number, arrived, priority))
        self.assertEqual(sorted(self.take(1.0)), keys)
        self.assertEqual(len(self.queue), 0)


class Outcome:
    """What the callers of a played load get."""

    def __init__(self):
        self.in_time = self.late = self.failed = 0


class ArrivalOrder(RequestQueue):
    """Requests in the order of their arrival, as a backend server keeps them."""

    def _choose(self, time):
        return next(iter(self.requests), None)

    def expire(self, time):
        return []


def play(arrivals, capacity, queue):
    """Play a load on one backend server with one slot.

    Args:
        arrivals: Time and priority of each request, the earliest first.
        capacity: Requests that the backend server runs in a second.
        queue: Keeps the requests that wait.
    """
    found, pending, time = {0: Outcome(), 1: Outcome()}, list(arrivals), 0.0
    while pending or len(queue):
        if not len(queue):
            time = max(time, pending[0][0])
        while pending and pending[0][0] <= time:
            arrived, priority = pending.pop(0)
            key = (arrived, priority)
            queue.add(waiting(key, arrived, priority, expected=1 / capacity))
        for gone in queue.expire(time):
            found[gone.priority].failed += 1
        request = queue.take(time)
        if request is None:
            continue
        time += 1 / capacity
        outcome = found[request.priority]
        if time <= request.due + 1e-9:
            outcome.in_time += 1
        elif time <= request.until + 1e-9:
            outcome.late += 1
        else:
            outcome.failed += 1
    return found


class LoadTest(TestCase):
    """The return of all callers after an outage: twice the capacity for two seconds.

    Then there is little load, so that a late answer can be given to nearly all others.
    """

    def setUp(self):
        self.arrivals = [(n / 40, int(n % 5 > 0)) for n in range(80)]
        self.arrivals += [(2 + n / 4, int(n % 5 > 0)) for n in range(12)]

    def test_more_callers_are_answered_in_time_than_in_order_of_arrival(self):
        """Guards against an overload after which every answer is late."""
        played = play(self.arrivals, 20, RequestQueue())
        before = play(self.arrivals, 20, ArrivalOrder())
        in_time = sum(o.in_time for o in played.values())
        earlier = sum(o.in_time for o in before.values())
        self.assertGreater(in_time, 2 * earlier)

    def test_the_urgent_are_in_time(self):
        """Guards against urgent requests that share the lot of the others."""
        urgent = play(self.arrivals, 20, RequestQueue())[0]
        total = urgent.in_time + urgent.late + urgent.failed
        self.assertGreaterEqual(urgent.in_time, 0.9 * total)

    def test_hardly_any_caller_is_left_without_an_answer(self):
        """Guards against late requests that starve in a short overload."""
        played = play(self.arrivals, 20, RequestQueue())
        failed = sum(o.failed for o in played.values())
        self.assertLessEqual(failed, 0.05 * len(self.arrivals))

    def test_without_overload_all_are_in_time(self):
        """Guards against an order that costs something when there is room."""
        calm = [(n / 15, int(n % 5 > 0)) for n in range(60)]
        played = play(calm, 20, RequestQueue())
        self.assertEqual(sum(o.in_time for o in played.values()), len(calm))

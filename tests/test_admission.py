"""Admission: slots, queue, long requests, shedding."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass
from unittest import TestCase
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from balsamspool.kernel.clock import now
from balsamspool.plugins.admission.codes import DEADLINE_UNREACHABLE, QUEUE_FULL
from balsamspool.plugins.admission.controller import AdmissionController
from balsamspool.plugins.admission.decision import Admit, Relay, Shed
from balsamspool.plugins.admission.estimate import MAX_ROUTES, Estimator
from balsamspool.plugins.admission.plugin import dependency_share
from balsamspool.plugins.admission.policy import RelayPolicy
from balsamspool.plugins.admission.queue import Job
from balsamspool.plugins.admission.slots import Slots
from balsamspool.plugins.configuration.text import Dependency, Service, Text
from balsamspool.plugins.mesh.message import PeerAddress
from balsamspool.requests.relay import PeerLoad
from tests.test_admission_clock import run_paused


def make_controller(slots=2, queue=64, share=None, slow_start=0.0):
    rng = random.Random(1)
    counted = Slots(slots, share or slots, slow_start)
    return AdmissionController(counted, queue, 2, RelayPolicy(rng))


def make_job(expected=0.1, deadline=10.0, long=False, relayed=False):
    return Job("GET /", now() + deadline, expected, long, relayed)


def peer(name, wait, accepting=True):
    return PeerLoad(name, PeerAddress("127.0.0.1", 1), accepting, 0, wait)


@dataclass(frozen=True)
class Arrival:
    gap: float
    expected: float
    actual: float
    deadline: float
    long: bool
    cancel_after: float | None


arrivals = st.lists(
    st.builds(
        Arrival,
        gap=st.sampled_from([0.0, 0.01, 0.3]),
        expected=st.sampled_from([0.05, 0.5, 3.0]),
        actual=st.sampled_from([0.0, 0.05, 0.5, 6.0]),
        deadline=st.sampled_from([0.0, 0.4, 2.0, 10.0]),
        long=st.booleans(),
        cancel_after=st.sampled_from([None, None, 0.0, 0.05, 0.5]),
    ),
    max_size=30,
)


async def run_history(controller, schedule):
    """Run a schedule and return the violations that were seen."""
    slots, problems = controller.slots, []
    running: Counter[bool] = Counter()

    async def run_request(arrival):
        job = make_job(arrival.expected, arrival.deadline, arrival.long)
        match await controller.admit(job):
            case Admit(slot):
                with slot:
                    running[arrival.long] += 1
                    if running.total() > slots.limit:
                        problems.append("more requests than slots")
                    if running[True] > max(1, slots.limit - 1):
                        problems.append("long requests hold every slot")
                    try:
                        await asyncio.sleep(arrival.actual)
                    finally:
                        running[arrival.long] -= 1
            case Shed():
                pass

    tasks = []
    for arrival in schedule:
        await asyncio.sleep(arrival.gap)
        task = asyncio.create_task(run_request(arrival))
        if arrival.cancel_after is not None:
            asyncio.get_running_loop().call_later(arrival.cancel_after, task.cancel)
        tasks.append(task)
    await asyncio.gather(*tasks, return_exceptions=True)
    if slots.busy or controller.queued:
        problems.append("a slot or a place in the queue is lost")
    return problems


class ScheduleTest(TestCase):
    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(schedule=arrivals, slots=st.integers(1, 4), queue=st.integers(0, 5))
    def test_slots_are_never_exceeded_or_lost(self, schedule, slots, queue):
        """Guards against slots granted twice, lost, or all held by long requests."""
        controller = make_controller(slots, queue)
        self.assertEqual(run_paused(run_history(controller, schedule)), [])

    def test_planted_faults_are_caught(self):
        """Guards against a history check that never fails."""
        schedule = [Arrival(0.0, 0.05, 0.5, 10.0, True, None)] * 4
        cancelled = [*schedule, Arrival(0.0, 0.05, 0.5, 10.0, False, 0.05)] * 2
        for name, fault, plan in (
            ("fits", lambda self, long: True, schedule),
            ("usable_for_long", property(lambda self: self.usable), schedule),
        ):
            with patch.object(Slots, name, fault):
                self.assertTrue(run_paused(run_history(make_controller(), plan)))
        with patch.object(
            AdmissionController, "_remove_waiter", lambda self, waiter: None
        ):
            self.assertTrue(run_paused(run_history(make_controller(), cancelled)))

    def test_slot_granted_at_the_moment_of_a_cancel_is_not_lost(self):
        """Guards against a slot that stays busy when grant and cancel coincide."""

        async def work():
            controller = make_controller(slots=1)
            first = await controller.admit(make_job())
            task = asyncio.create_task(controller.admit(make_job()))
            await asyncio.sleep(0.01)
            first.slot.release()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return controller.slots.busy

        self.assertEqual(run_paused(work()), 0)

    def test_slot_released_twice_is_freed_once(self):
        """Guards against an error path that frees the slot of another request."""

        async def work():
            controller = make_controller(slots=2)
            first = await controller.admit(make_job())
            await controller.admit(make_job())
            first.slot.release()
            first.slot.release()
            return controller.slots.busy

        self.assertEqual(run_paused(work()), 1)


class OrderTest(TestCase):
    def test_short_request_passes_long_ones_and_long_one_does_not_starve(self):
        """Guards against blocking behind long requests and against starvation."""

        async def work():
            controller = make_controller(slots=2)
            waits = {"long": [], "short": []}

            async def run_request(kind, seconds):
                arrived = now()
                job = make_job(seconds, 60.0, kind == "long")
                decision = await controller.admit(job)
                with decision.slot:
                    waits[kind].append(now() - arrived)
                    await asyncio.sleep(seconds)

            # Without the long requests, the short requests would fill 1.9 of the 2
            # slots.
            tasks = [asyncio.create_task(run_request("long", 2.0)) for _ in range(4)]
            for _ in range(600):
                tasks.append(asyncio.create_task(run_request("short", 0.05)))
                await asyncio.sleep(0.05)
            await asyncio.gather(*tasks)
            return waits

        waits = run_paused(work())
        self.assertEqual(len(waits["long"]), 4)
        self.assertLess(max(waits["short"]), 1.0)
        self.assertLess(max(waits["long"]), 30.0)

    def test_near_deadline_goes_first(self):
        """Guards against a queue that ignores deadlines."""

        async def work():
            controller, order = make_controller(slots=1), []
            held = await controller.admit(make_job())

            async def run_request(name, deadline):
                match await controller.admit(make_job(1.0, deadline)):
                    case Admit(slot):
                        order.append(name)
                        slot.release()

            tasks = [asyncio.create_task(run_request("far", 30.0))]
            await asyncio.sleep(0)
            tasks.append(asyncio.create_task(run_request("near", 2.5)))
            await asyncio.sleep(0.01)
            held.slot.release()
            await asyncio.gather(*tasks)
            return order

        self.assertEqual(run_paused(work()), ["near", "far"])


class ShedTest(TestCase):
    def test_impossible_deadline_is_shed_at_once_with_the_predicted_wait(self):
        """Guards against requests that wait although they will miss their deadline."""

        async def work():
            controller = make_controller(slots=1)
            await controller.admit(make_job(expected=5.0))
            started = now()
            decision = await controller.admit(make_job(expected=0.1, deadline=1.0))
            return decision, now() - started

        decision, waited = run_paused(work())
        self.assertEqual(decision.reason, DEADLINE_UNREACHABLE)
        self.assertAlmostEqual(decision.retry_after, 5.0, delta=0.1)
        self.assertEqual(waited, 0.0)

    def test_full_queue_sheds_what_would_miss_its_deadline_first(self):
        """Guards against shedding a request that could be answered in time."""

        async def work():
            controller = make_controller(slots=1, queue=1)
            await controller.admit(make_job(expected=0.5))
            late = asyncio.create_task(controller.admit(make_job(0.5, deadline=1.2)))
            # The running request takes longer than expected.
            await asyncio.sleep(0.8)
            fresh = asyncio.create_task(controller.admit(make_job(0.1)))
            await asyncio.sleep(0.01)
            full = await controller.admit(make_job(0.1))
            result = late.done() and late.result(), fresh.done(), full
            fresh.cancel()
            return result

        late, fresh_done, full = run_paused(work())
        self.assertEqual(late.reason, DEADLINE_UNREACHABLE)
        self.assertFalse(fresh_done)
        self.assertEqual(full.reason, QUEUE_FULL)

    def test_feeds_take_no_slot_and_have_a_limit(self):
        """Guards against feeds that block requests or grow without bound."""

        async def work():
            controller = make_controller(slots=1)
            feeds = [controller.admit_feed() for _ in range(3)]
            return [type(f) for f in feeds], await controller.admit(make_job())

        feeds, request = run_paused(work())
        self.assertEqual(feeds, [Admit, Admit, Shed])
        self.assertIsInstance(request, Admit)


class CapacityTest(TestCase):
    def test_slow_start_grants_waiting_requests_as_slots_warm(self):
        """Guards against an overloaded cold server and a request that never starts."""

        async def work():
            controller = make_controller(slots=5, slow_start=4.0)
            controller.begin_slow_start()
            started, granted = now(), []

            async def run_request():
                await controller.admit(make_job(60.0, 1000.0))
                granted.append(round(now() - started, 1))

            await asyncio.gather(*(run_request() for _ in range(5)))
            return granted

        self.assertEqual(run_paused(work()), [0.0, 1.0, 2.0, 3.0, 4.0])

    def test_share_of_a_dependency(self):
        """Guards against one service that uses all the capacity of a dependency."""
        services = {
            name: Service(number, "127.0.0.1:1", depends_on=["billing"])
            for number, name in enumerate(("portal", "records"), 1)
        }
        text = Text(1, "op", services, None, ["127.0.0.0/8"])
        text.dependencies["billing"] = Dependency(concurrent_requests=12)
        hosts = Counter(portal=4, records=2, other=9)
        self.assertEqual(dependency_share(text, services["portal"], hosts), 2)
        # The number of hosts is unknown until the instance list has arrived.
        self.assertEqual(dependency_share(text, services["portal"], Counter()), 1)
        hosts["portal"] = 400
        self.assertEqual(dependency_share(text, services["portal"], hosts), 1)

    def test_load_byte(self):
        """Guards against a load signal that does not show busy slots or the queue."""

        async def work():
            controller = make_controller(slots=2, queue=1)
            loads = [controller.load]
            for _ in range(2):
                await controller.admit(make_job(1.0))
                loads.append(controller.load)
            task = asyncio.create_task(controller.admit(make_job(1.0)))
            await asyncio.sleep(0)
            loads.append(controller.load)
            task.cancel()
            return loads

        self.assertEqual(run_paused(work()), [0, 64, 128, 255])


class RelayTest(TestCase):
    def decide(self, peers, relayed=False):
        async def work():
            controller = make_controller(slots=1)
            await controller.admit(make_job(2.0))
            job = make_job(relayed=relayed)
            task = asyncio.create_task(controller.admit(job, lambda: peers))
            await asyncio.sleep(0.01)
            return task.result() if task.done() else task.cancel()

        return run_paused(work())

    def test_only_a_clearly_lighter_accepting_peer_gets_the_request(self):
        """Guards against relays between equally loaded hosts."""
        light, heavy = peer("light", 0.0), peer("heavy", 1.9)
        self.assertEqual(self.decide([light, heavy]), Relay(light))
        self.assertIs(self.decide([heavy]), True)
        self.assertIs(self.decide([peer("leaving", 0.0, accepting=False)]), True)
        self.assertIs(self.decide([light], relayed=True), True)

    def test_request_that_waits_longer_than_predicted_is_relayed(self):
        """Guards against short requests that keep waiting behind a stuck request."""

        async def work():
            controller = make_controller(slots=1)
            held = await controller.admit(make_job(0.1))
            known = [peer("light", 0.06)]
            task = asyncio.create_task(controller.admit(make_job(0.1), lambda: known))
            await asyncio.sleep(0.09)
            # The request stays here at first: its predicted wait is 0.1 s here, and the
            # predicted wait at the peer is not clearly shorter.
            self.assertFalse(task.done())
            await asyncio.sleep(2.0)
            self.assertEqual(task.result(), Relay(known[0]))
            self.assertEqual(controller.queued, 0)
            held.slot.release()
            self.assertEqual(controller.slots.busy, 0)

        run_paused(work())

    def test_relayed_request_is_not_relayed_again(self):
        """Guards against requests that a peer relays to a third host."""

        async def work():
            controller = make_controller(slots=1)
            await controller.admit(make_job(0.1))
            job = make_job(0.1, relayed=True)
            task = asyncio.create_task(
                controller.admit(job, lambda: [peer("light", 0.0)])
            )
            await asyncio.sleep(5.0)
            self.assertFalse(task.done())
            await asyncio.sleep(6.0)
            self.assertEqual(task.result().reason, DEADLINE_UNREACHABLE)

        run_paused(work())


class EstimatorTest(TestCase):
    def test_estimates_are_robust_expire_and_are_bounded(self):
        """Guards against estimates skewed by one stuck request, or never dropped."""

        async def work():
            estimator = Estimator()
            for _ in range(10):
                estimator.observe("short", 0.02)
                estimator.observe("report", 2.0)
            estimator.observe("short", 500.0)
            estimates = estimator.expected("short"), estimator.is_long("report")
            short_is_long = estimator.is_long("short")
            await asyncio.sleep(400)
            expired = estimator.expected("report")
            for number in range(2 * MAX_ROUTES):
                estimator.observe(f"route {number}", 1.0)
            return estimates, short_is_long, expired, len(estimator._routes)

        estimates, short_is_long, expired, routes = run_paused(work())
        self.assertEqual(estimates, (0.02, True))
        self.assertFalse(short_is_long)
        self.assertEqual(expired, 0.05)
        self.assertLessEqual(routes, MAX_ROUTES)

"""When the table of a service is rebuilt."""

from unittest import IsolatedAsyncioTestCase, TestCase

from balsamspool.plugins.membership import Signal
from balsamspool.plugins.membership.signals import LOAD_STEP, SignalState
from balsamspool.plugins.membership.view import View
from balsamspool.plugins.routing.weights import HostReport, weight_of
from tests.forwarding_fakes import Clock, FakeKernel, instance

HOSTS = [("127.0.0.1", 4000 + n) for n in range(3)]


def accepting(load):
    return Signal(SignalState.ACCEPTING, load)


class _Membership(View):
    def subscribe(self, callback):
        self.changed = callback


class TablesTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = Clock()
        kernel = FakeKernel()
        kernel.membership = self.membership = _Membership()
        self.routing = type(kernel.routing)(kernel)
        self.list(3)
        await self.routing.start()
        kernel.configuration.change(portal=(1, "127.0.0.1:1"))

    def list(self, count):
        listed = [instance(f"h{n}", 4000 + n) for n in range(count)]
        self.membership.replace({host.instance: host for host in listed})

    def weights(self):
        return [host.weight for host in self.routing.candidates(1)]

    def names(self):
        return [host.name for host in self.routing.candidates(1)]

    async def test_load_within_a_step_keeps_the_table(self):
        """Guards against tables that are rebuilt for every report of load."""
        self.membership.record_signal(*HOSTS[0], accepting(3))
        before = self.routing.candidates(1)
        for load in (4, 20, 63, 0):
            self.clock.time += 0.4
            self.membership.record_signal(*HOSTS[0], accepting(load))
            self.assertIs(self.routing.candidates(1), before)

    async def test_load_of_another_step_counts_within_half_a_second(self):
        """Guards against a busy host that keeps its full share of flows."""
        self.membership.record_signal(*HOSTS[0], accepting(3))
        self.assertEqual(self.weights(), [1.0, 1.0, 1.0])
        self.clock.time += 0.1
        self.membership.record_signal(*HOSTS[0], accepting(64))
        self.clock.time += 0.5
        self.assertEqual(self.weights(), [0.85, 1.0, 1.0])

    async def test_changes_are_collected_for_half_a_second(self):
        """Guards against a table that is rebuilt with each of many signals."""
        before = self.routing.candidates(1)
        for load in (0, 64, 128, 192):
            self.clock.time += 0.1
            self.membership.record_signal(*HOSTS[0], accepting(load))
            self.assertIs(self.routing.candidates(1), before)

    async def test_leaving_host_is_removed_within_half_a_second(self):
        """Guards against new flows at a host that signals that it is leaving."""
        self.assertEqual(self.names(), ["h0", "h1", "h2"])
        self.clock.time += 0.5
        self.membership.record_signal(*HOSTS[1], Signal(SignalState.LEAVING, 0))
        self.assertEqual(self.names(), ["h0", "h2"])

    async def test_load_expires_without_signals(self):
        """Guards against a weight that still counts a signal that has expired."""
        self.membership.record_signal(*HOSTS[0], accepting(200))
        self.assertEqual(self.weights(), [0.5, 1.0, 1.0])
        self.clock.time += 3.1
        self.assertEqual(self.weights(), [1.0, 1.0, 1.0])

    async def test_signal_after_an_expired_one_counts(self):
        """Guards against a load that is ignored because it equals an expired one."""
        self.membership.record_signal(*HOSTS[0], accepting(200))
        self.weights()
        self.clock.time += 3.1
        self.assertEqual(self.weights(), [1.0, 1.0, 1.0])
        self.membership.record_signal(*HOSTS[0], accepting(200))
        self.clock.time += 0.5
        self.assertEqual(self.weights(), [0.5, 1.0, 1.0])

    async def test_new_host_warms_up_in_steps(self):
        """Guards against a slow start that waits for the next signal."""
        self.list(2)
        self.membership.changed()
        self.weights()
        self.list(3)
        self.membership.changed()
        self.assertLess(self.weights()[2], 0.3)
        seen = set()
        for _ in range(70):
            self.clock.time += 0.5
            seen.add(self.weights()[2])
        self.assertEqual(len(seen), 7)
        self.assertEqual(self.weights()[2], 1.0)


class LoadStepTest(TestCase):
    def test_weights_change_only_between_load_steps(self):
        """Guards against a weight that changes without a new version."""
        for load in range(256):
            first = load // LOAD_STEP * LOAD_STEP
            self.assertEqual(
                weight_of(HostReport(load=load)), weight_of(HostReport(load=first))
            )

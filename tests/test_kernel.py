"""Kernel: settings, registry, lifecycle, retry budget, logs."""

import asyncio
import json
import logging
import random
import signal
from unittest import IsolatedAsyncioTestCase, TestCase, mock

from balsamspool.kernel import registry
from balsamspool.kernel.backoff import Backoff, RetryBudget
from balsamspool.kernel.clock import Deadline
from balsamspool.kernel.errors import (
    PLUGIN_MISSING,
    SETTINGS_INVALID,
    Outcome,
    ResultError,
    result_code,
)
from balsamspool.kernel.events import PROCESS_STARTED, log_event
from balsamspool.kernel.identity import Role
from balsamspool.kernel.lifecycle import (
    RESTART_PAUSE_SECONDS,
    Kernel,
    ProcessState,
    run_supervised,
)
from balsamspool.kernel.logs import JsonFormatter
from balsamspool.kernel.registry import Plugin, plugins_of, register
from balsamspool.kernel.settings import Section, check_settings
from tests._clock import PausedClockTestCase

PROCESS = {
    "instance": "entry-1",
    "failure_domain": "hall-a",
    "address": "127.0.0.1",
    "data_port": 1,
    "peer_port": 2,
    "admin_port": 3,
    "keys": {"active": 1, "secrets": {"1": "5a" * 32}},
}


class Limit(Section, frozen=True):
    maximum: int = 3

    def problem(self):
        return None if self.maximum > 0 else ("maximum", f"{self.maximum} is too low")


class SettingsTest(TestCase):
    def error_detail(self, document):
        with self.assertRaises(ResultError) as caught:
            check_settings(document, {"limit": Limit})
        self.assertEqual(caught.exception.code, SETTINGS_INVALID)
        return caught.exception.detail

    def test_wrong_settings_name_the_field(self):
        """Guards against a process that starts with settings that are not valid."""
        self.assertIn("'other'", self.error_detail({"process": PROCESS, "other": {}}))
        wrong = PROCESS | {"data_port": 0}
        self.assertIn("data_port", self.error_detail({"process": wrong}))
        wrong = PROCESS | {"address": "localhost"}
        self.assertIn("process.address", self.error_detail({"process": wrong}))
        wrong = PROCESS | {"keys": {"active": 2, "secrets": {"1": "5a" * 32}}}
        self.assertIn("process.keys.active", self.error_detail({"process": wrong}))
        for limit in ({"minimum": 1}, {"maximum": "x"}, {"maximum": 0}):
            found = self.error_detail({"process": PROCESS, "limit": limit})
            self.assertIn("limit", found)

    def test_sections_have_defaults(self):
        """Guards against settings that must repeat every default."""
        settings = check_settings({"process": PROCESS}, {"limit": Limit})
        self.assertEqual(settings.section("limit").maximum, 3)


class Recording(Plugin):
    """Records the lifecycle calls that it receives."""

    events = []
    busy = None

    async def start(self):
        self.events.append(f"start {type(self).__name__}")

    async def drain(self):
        if self.busy is not None:
            await self.busy.wait()
        self.events.append(f"drain {type(self).__name__}")

    async def stop(self):
        self.events.append(f"stop {type(self).__name__}")


class First(Recording):
    pass


class Second(Recording):
    pass


class LifecycleTest(IsolatedAsyncioTestCase):
    def setUp(self):
        patched = mock.patch.object(registry, "_registrations", {})
        patched.start()
        self.addCleanup(patched.stop)
        Recording.events = []

    def kernel(self):
        register("a-second", [Role.ENTRY], ["first"])(Second)
        register("first", [Role.ENTRY])(First)
        types = {entry.name: Section for entry in plugins_of(Role.ENTRY)}
        return Kernel(Role.ENTRY, check_settings({"process": PROCESS}, types))

    async def test_order_of_start_and_stop(self):
        """Guards against a plug-in that runs without the plug-ins that it requires."""
        kernel = self.kernel()
        running = asyncio.create_task(kernel.run())
        await asyncio.sleep(0.01)
        self.assertIs(kernel.state, ProcessState.ACCEPTING)
        signal.raise_signal(signal.SIGTERM)
        self.assertEqual(await running, 0)
        self.assertEqual(Recording.events[:2], ["start First", "start Second"])
        self.assertEqual(Recording.events[-2:], ["stop Second", "stop First"])

    async def test_second_signal_waits_for_the_drain(self):
        """Guards against a repeated signal that aborts work in progress."""
        kernel = self.kernel()
        First.busy = asyncio.Event()
        self.addCleanup(setattr, First, "busy", None)
        running = asyncio.create_task(kernel.run())
        await asyncio.sleep(0.01)
        for _ in range(2):
            signal.raise_signal(signal.SIGTERM)
            await asyncio.sleep(0.01)
        self.assertFalse(running.done())
        First.busy.set()
        self.assertEqual(await running, 0)

    async def test_failed_task_stops_the_process(self):
        """Guards against a process that keeps running after one of its tasks failed."""
        kernel = self.kernel()
        running = asyncio.create_task(kernel.run())
        await asyncio.sleep(0.01)

        async def fail():
            raise RuntimeError("broken")

        with self.assertLogs("balsamspool.kernel.lifecycle", "ERROR"):
            kernel.spawn(fail(), "broken task")
            self.assertEqual(await running, 1)

    def test_missing_and_circular_requirements(self):
        """Guards against plug-ins that start without the plug-ins they require."""
        register("lonely", [Role.AGENT], ["absent"])(First)
        with self.assertRaises(ResultError) as caught:
            plugins_of(Role.AGENT)
        self.assertEqual(caught.exception.code, PLUGIN_MISSING)
        register("left", [Role.ENTRY], ["right"])(Second)
        register("right", [Role.ENTRY], ["left"])(Recording)
        with self.assertRaises(ResultError):
            plugins_of(Role.ENTRY)


class RetryTest(PausedClockTestCase):
    async def test_backoff_grows_to_its_limit(self):
        """Guards against retries without a delay and delays beyond the limit."""
        backoff = Backoff(0.5, 5.0, random.Random(1))
        delays = [backoff.next_delay() for _ in range(200)]
        self.assertLessEqual(max(delays), 5.0)
        self.assertGreaterEqual(min(delays[10:]), 1.25)
        backoff.reset()
        self.assertLessEqual(backoff.next_delay(), 0.5)

    async def test_budget_limits_retries_to_a_share(self):
        """Guards against retry storms when everything fails."""
        budget = RetryBudget(ratio=0.1, reserve=0.0, burst=2.0)
        spent = 0
        for _ in range(100):
            budget.record_attempt()
            spent += budget.try_spend()
        self.assertLessEqual(spent, 12)

    async def test_deadline_follows_the_event_loop(self):
        """Guards against deadlines on another clock than the one tests advance."""
        deadline = Deadline.after(5.0)
        await asyncio.sleep(4.0)
        self.assertFalse(deadline.expired)
        self.assertAlmostEqual(deadline.remaining, 1.0)
        await asyncio.sleep(1.0)
        self.assertTrue(deadline.expired)


class NumbersTest(TestCase):
    def test_numbers_are_unique(self):
        """Guards against one number with two meanings."""
        with self.assertRaises(ValueError):
            result_code(1001, "other", "Other.", Outcome.NONE)
        with self.assertRaises(ValueError):
            log_event(1001, "other", logging.INFO, "Other.")

    def test_log_line_is_json_with_the_event(self):
        """Guards against logs that tools cannot read."""
        logger = logging.getLogger("balsamspool.test")
        with self.assertLogs(logger, "INFO") as logs:
            PROCESS_STARTED.log(logger, role="entry", extra_value=b"\x01")
        line = json.loads(JsonFormatter("entry-1").format(logs.records[0]))
        self.assertEqual((line["event"], line["role"]), (1001, "entry"))
        self.assertEqual(line["instance"], "entry-1")


class SuperviseTest(PausedClockTestCase):
    async def test_a_failed_task_starts_again(self):
        """Guards against one malformed record that ends a whole process."""
        starts = []

        async def work():
            starts.append(asyncio.get_running_loop().time())
            if len(starts) < 4:
                raise ValueError("malformed")

        with self.assertLogs("balsamspool.kernel.lifecycle", "ERROR") as logs:
            await run_supervised(work, "planted")
        self.assertEqual(len(logs.output), 3)
        gaps = [b - a for a, b in zip(starts, starts[1:], strict=False)]
        self.assertGreaterEqual(min(gaps), RESTART_PAUSE_SECONDS)

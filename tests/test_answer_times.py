"""What is logged about an answer that takes long to read."""

from unittest import TestCase
from unittest.mock import patch

from balsamspool.kernel.counters import CounterSet
from balsamspool.plugins.catalog.answer_times import SLOW_SECONDS, AnswerTimes
from tests.log_capture import recorded_events

RECORDS = [b'{"key":"servers/a"}', b'{"key":"servers/large","value":"' + b"x" * 9_000]
CLOCK = "balsamspool.plugins.catalog.answer_times.processor_seconds"


class AnswerTimesTest(TestCase):
    def lines(self, seconds):
        times = AnswerTimes(CounterSet())
        clock = patch(CLOCK, side_effect=(5, 5 + seconds))
        with recorded_events() as recorder, clock, times.measure(RECORDS):
            pass
        return recorder.fields("catalog-answer-slow")

    def test_a_slow_answer_names_its_largest_record(self):
        """Guards against an entry that keeps a process busy and stands in no line."""
        (line,) = self.lines(2 * SLOW_SECONDS)
        self.assertEqual(line["records"], 2)
        self.assertEqual(line["largest_octets"], len(RECORDS[1]))
        self.assertIn("servers/large", line["largest"])
        self.assertLess(len(line["largest"]), 200)

    def test_a_usual_answer_writes_no_line(self):
        """Guards against a line for each answer of the service."""
        self.assertEqual(self.lines(SLOW_SECONDS / 2), [])

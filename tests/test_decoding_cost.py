"""The time to read a text of another writer grows no faster than the text."""

import contextlib
import time
from base64 import b64encode
from unittest import TestCase

import msgspec

from balsamspool.commands.log_lines import parse_lines
from balsamspool.kernel.decoding import decode_json_parts
from balsamspool.plugins.catalog.delta import decode_delta
from balsamspool.plugins.configuration.checker import TextError, check_text
from balsamspool.plugins.membership.listing import read_list
from balsamspool.plugins.platform.client import decode_answer
from tests.datagram_fakes import ADAPTER  # noqa: F401  sets the import path

from fleet_adapter.records import Item, record_of  # isort: skip

# Number of repeated units of the shorter and the longer text.
SHORT, LONG = 1_000, 8_000
# The time may grow twice as fast as the text, beyond what the clock cannot tell.
GROWTH = 2 * LONG / SHORT
CLOCK_SECONDS = 0.01
# The machine may run other things meanwhile, so a text that seems slow is read again.
ATTEMPTS = 5

# Enough brackets that the depth of a text is looked for, and not excluded.
NESTED = b"[" * 70
# Head, repeated unit and end of texts that end in each state of the grammar.
TEXTS = (
    (NESTED + b'"', b"a", b""),
    (NESTED + b'"', b'\\"', b""),
    (NESTED + b'"', b'\\"', b"\\"),
    (NESTED + b'"', b"\\\\", b'"'),
    (NESTED + b'"', b"\\ud800", b"\\u"),
    (NESTED, b'"a"', b'"'),
    (NESTED, b'"a",', b""),
    (b"", b"[", b""),
    (b"", b"[{", b"}"),
    (b"", b"[]", b"x"),
    (b"", b'{"a":', b""),
    (b"", b'{"a":', b"}"),
    (b"{", b'"a":1,', b""),
    (b"[", b"[],", b"[]]"),
    (b"[", b"1,", b"NaN]"),
    (b"0.", b"1", b""),
    (b"1e", b"9", b""),
    (b"[", b" ", b"x"),
    (b"{", b"}", b"x"),
    (b"", b"{", b"}x"),
    (b"{}", b" ", b"x"),
    (b'{"version":1,"routes":[', NESTED + b"]" * 70 + b",", b"1]}"),
    (b'{"service":"a","addr":"', b"1.", b'"}'),
)


def read_record(key):
    return lambda text: record_of(Item(key, 7, b64encode(text).decode()))


def read_body(text):
    return decode_json_parts(msgspec.json.Decoder(list[msgspec.Raw]), text, 1)


READERS = {
    "host": read_record("servers/odd"),
    "cordon": read_record("op/evacuate/odd"),
    "routes": read_record("op/config"),
    "body": read_body,
    "delta": decode_delta,
    "instances": lambda text: read_list(text.decode("latin-1")),
    "platform": decode_answer,
    "text": lambda text: check_text(text.decode("latin-1")),
    "log": lambda text: list(parse_lines([text.decode("latin-1")])),
}


def seconds_to_read(reader, text):
    """Return the processor time that a text takes."""
    started = time.thread_time()
    with contextlib.suppress(ValueError, TextError):
        reader(text)
    return time.thread_time() - started


class DecodingCostTest(TestCase):
    def assert_grows_with_the_text(self, reader, head, unit, end):
        found = []
        for _ in range(ATTEMPTS):
            short = seconds_to_read(reader, head + unit * SHORT + end)
            long = seconds_to_read(reader, head + unit * LONG + end)
            if long < GROWTH * short + CLOCK_SECONDS:
                return
            found.append((round(short, 4), round(long, 4)))
        self.fail(f"{head[:30]} {unit[:10]}... {end}: {found} s")

    def check(self, name):
        for head, unit, end in TEXTS:
            self.assert_grows_with_the_text(READERS[name], head, unit, end)

    def test_an_entry_of_another_writer(self):
        """Guards against one unreadable entry that keeps an entry process busy."""
        for name in ("host", "cordon", "routes"):
            with self.subTest(name):
                self.check(name)

    def test_an_answer_and_a_message_of_a_peer(self):
        """Guards against an answer or a message that takes minutes to refuse."""
        for name in ("body", "delta", "instances", "platform"):
            with self.subTest(name):
                self.check(name)

    def test_a_text_of_an_operator(self):
        """Guards against a configuration text that takes minutes to refuse."""
        self.check("text")

    def test_a_line_of_a_log(self):
        """Guards against a log line of another program that stops a report."""
        self.check("log")

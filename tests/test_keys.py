"""Request keys and the table of their records."""

import asyncio
from base64 import urlsafe_b64decode, urlsafe_b64encode
from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from balsamspool.kernel.errors import ResultError
from balsamspool.kernel.keyring import KeyRing, KeySet
from balsamspool.plugins.admission.codes import (
    KEY_INVALID,
    KEY_OUTCOME_UNKNOWN,
    KEY_REUSED,
    KEYS_FULL,
)
from balsamspool.plugins.admission.key_codec import KeyCodec, RequestKey
from balsamspool.plugins.admission.keys import (
    MAX_ANSWER_BYTES,
    Done,
    Duplicate,
    First,
    KeptAnswer,
    KeyTable,
    NotRun,
    OutcomeUnknown,
    Ran,
    request_digest,
)
from balsamspool.plugins.mesh.message import PeerAddress
from tests.test_admission_clock import run_paused

OLD, NEW = "11" * 32, "22" * 32
HERE = PeerAddress("127.0.0.1", 4000)
DIGEST = request_digest("POST", "/tickets", b"{}")


def make_key(serial=1, expires_ms=2_000_000):
    return RequestKey(HERE, b"8 bytes!", 3, serial, expires_ms)


def code_of(function, *args):
    try:
        function(*args)
    except ResultError as error:
        return error.code
    return None


class CodecTest(TestCase):
    def setUp(self):
        self.ring = KeyRing(KeySet(1, {"1": OLD}))
        self.codec = KeyCodec(self.ring)

    def test_key_names_its_issuer(self):
        """Guards against a key that names another process or service."""
        self.assertEqual(self.codec.open(self.codec.seal(make_key())), make_key())
        quoted = f'"{self.codec.seal(make_key())}"'
        self.assertEqual(self.codec.open(quoted), make_key())

    @settings(max_examples=200, derandomize=True)
    @given(bit=st.integers(0, 47 * 8 - 1))
    def test_any_changed_bit_is_refused(self, bit):
        """Guards against request keys that are forged or changed by callers."""
        data = bytearray(urlsafe_b64decode(self.codec.seal(make_key())))
        self.assertGreaterEqual(len(data), 47)
        data[bit // 8] ^= 1 << bit % 8
        code = code_of(self.codec.open, urlsafe_b64encode(data).decode())
        # The first 8 bits are the number of the secret. A changed number may be that of
        # a removed secret, so the outcome is unknown.
        expected = KEY_OUTCOME_UNKNOWN if bit < 8 else KEY_INVALID
        self.assertEqual(code, expected)

    def test_malformed_keys_are_refused(self):
        """Guards against a crash on malformed input of callers."""
        for text in ("", "abc", "ü", "A" * 100, "=" * 8):
            self.assertEqual(code_of(self.codec.open, text), KEY_INVALID, text)

    def test_rotation_keeps_live_keys(self):
        """Guards against keys that are lost when a new secret becomes active."""
        text = self.codec.seal(make_key())
        self.ring.replace(KeySet(2, {"1": OLD, "2": NEW}))
        self.assertEqual(self.codec.open(text), make_key())
        self.ring.replace(KeySet(2, {"2": NEW}))
        # A request with this key may have run before the secret was removed, so "not
        # run" would be wrong.
        self.assertEqual(code_of(self.codec.open, text), KEY_OUTCOME_UNKNOWN)

    def test_delegation_is_bound_to_key_and_peer(self):
        """Guards against a permission that another agent or request could use."""
        first, second = self.codec.seal(make_key(1)), self.codec.seal(make_key(2))
        other = PeerAddress("127.0.0.1", 4001)
        permissions = {
            self.codec.delegation(first, HERE),
            self.codec.delegation(first, other),
            self.codec.delegation(second, HERE),
        }
        self.assertEqual(len(permissions), 3)


class TableTest(TestCase):
    def in_table(self, steps, **limits):
        async def work():
            return await steps(KeyTable(**limits))

        return run_paused(work())

    def test_first_runs_and_later_ones_are_duplicates(self):
        """Guards against a second run of a request that must not repeat."""

        async def steps(table):
            first = table.claim(make_key(), DIGEST)
            self.assertIsInstance(first, First)
            other = request_digest("POST", "/tickets", b"{ }")
            self.assertEqual(code_of(table.claim, make_key(), other), KEY_REUSED)
            states = [
                Done(KeptAnswer(200, [], b"")),
                NotRun(ResultError(KEYS_FULL, "")),
            ]
            for state in states:
                found = table.claim(make_key(), DIGEST)
                self.assertEqual(found, Duplicate(first.record))
                # Only the first call of `settle` changes the state of the record.
                table.settle(make_key(), first.record, state)
            self.assertEqual(first.record.state, states[0])

        self.in_table(steps)

    def test_only_not_run_may_be_tried_again(self):
        """Guards against a second run after an unknown outcome."""

        async def steps(table):
            for serial, state, expected in (
                (1, NotRun(ResultError(KEYS_FULL, "")), First),
                (2, OutcomeUnknown(KEYS_FULL, ""), Duplicate),
                (3, Ran(200), Duplicate),
            ):
                key = make_key(serial)
                table.settle(key, table.claim(key, DIGEST).record, state)
                self.assertIsInstance(table.claim(key, DIGEST), expected)

        self.in_table(steps)

    def test_expired_key_is_never_run(self):
        """Guards against a second run after the record has been dropped."""

        async def steps(table):
            key = make_key(expires_ms=1_010_000)
            record = table.claim(key, DIGEST).record
            await asyncio.sleep(30)
            # The record outlives the key while the request runs.
            self.assertEqual(table.claim(key, DIGEST), Duplicate(record))
            table.settle(key, record, Done(KeptAnswer(200, [], b"x" * 100)))
            await asyncio.sleep(30)
            self.assertEqual(code_of(table.claim, key, DIGEST), KEY_OUTCOME_UNKNOWN)
            self.assertEqual((len(table), table.kept_bytes), (0, 0))

        self.in_table(steps)

    def test_kept_answers_are_bounded(self):
        """Guards against memory that grows with the size of the answers."""

        async def steps(table):
            results = []
            for serial, size in ((1, MAX_ANSWER_BYTES + 1), (2, 16_000), (3, 16_000)):
                record = table.claim(make_key(serial), DIGEST).record
                answer = KeptAnswer(201, [], bytes(size))
                table.settle(make_key(serial), record, Done(answer))
                results.append(type(record.state))
            return results, table.kept_bytes

        results, kept = self.in_table(steps, max_kept_bytes=20_000)
        self.assertEqual(results, [Ran, Done, Ran])
        self.assertEqual(kept, 16_000)

    def test_full_table_drops_only_records_of_requests_that_were_not_run(self):
        """Guards against an unbounded table and against dropped live records."""

        async def steps(table):
            for serial in (1, 2):
                table.claim(make_key(serial), DIGEST)
            self.assertEqual(code_of(table.claim, make_key(3), DIGEST), KEYS_FULL)
            second = table.claim(make_key(2), DIGEST).record
            table.settle(make_key(2), second, NotRun(ResultError(KEYS_FULL, "")))
            self.assertIsInstance(table.claim(make_key(3), DIGEST), First)
            self.assertEqual(len(table), 2)
            for serial in range(4, 1000):
                last = table.claim(make_key(serial - 1), DIGEST).record
                error = ResultError(KEYS_FULL, "")
                table.settle(make_key(serial - 1), last, NotRun(error))
                table.claim(make_key(serial), DIGEST)
            self.assertLessEqual(len(table._expiry), 5)

        self.in_table(steps, max_keys=2)

"""Frames of the mesh: authentic, forged, changed and malformed."""

import secrets
from dataclasses import dataclass
from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from balsamspool.kernel.identity import Identity, Role
from balsamspool.kernel.keyring import KeyRing, KeySet
from balsamspool.plugins.mesh._codec import MeshCodec
from balsamspool.plugins.mesh.message import mesh_message


@mesh_message(903)
@dataclass(frozen=True, slots=True)
class Value:
    number: int


def make_codec(secret, active=0):
    identity = Identity(Role.AGENT, "n", "d", "127.0.0.1", 1, 2, 3, b"incarnat")
    return MeshCodec(KeyRing(KeySet(active, {str(active): secret})), identity)


CODEC = make_codec("11" * 32)
FRAME = CODEC.seal(Value(7), 1.0)


class MeshCodecTest(TestCase):
    def test_frame_is_read_back(self):
        """Guards against fields that change between sealing and opening."""
        frame = CODEC.open(CODEC.seal(Value(7), 1.5, b"receiver"))
        self.assertEqual(frame.message.body, Value(7))
        self.assertEqual((frame.sent_at, frame.receiver), (1.5, b"receiver"))

    def test_other_key_is_refused(self):
        """Guards against frames of processes without the secret."""
        other = make_codec(secrets.token_hex(32))
        self.assertIsNone(CODEC.open(other.seal(Value(7), 1.0)))
        other_number = make_codec("11" * 32, active=1)
        self.assertIsNone(CODEC.open(other_number.seal(Value(7), 1.0)))

    @settings(max_examples=400, derandomize=True, deadline=None, database=None)
    @given(st.integers(0, len(FRAME) - 1), st.integers(1, 255), st.integers(0, 40))
    def test_changed_frame_is_refused(self, at, change, cut):
        """Guards against a changed or cut frame that is accepted."""
        data = bytearray(FRAME)
        data[at] ^= change
        self.assertIsNone(CODEC.open(bytes(data)))
        self.assertIsNone(CODEC.open(bytes(data[: len(data) - cut])))

    @settings(max_examples=400, derandomize=True, deadline=None, database=None)
    @given(st.binary(max_size=300))
    def test_garbage_is_refused(self, data):
        """Guards against an exception on bytes that no peer has sent."""
        self.assertIsNone(CODEC.open(data))
        tagged = b"\x01\x00" + data
        self.assertIsNone(CODEC.open(tagged + CODEC._tag(0, tagged)))

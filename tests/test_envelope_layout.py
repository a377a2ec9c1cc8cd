"""Layout and authentication of the datagrams between entries and agents."""

from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from balsamspool.kernel.keyring import KeyRing, KeySet
from balsamspool.plugins.forwarding._codec import EnvelopeCodec
from balsamspool.plugins.forwarding.envelope import (
    Forward,
    Probe,
    ProbeReply,
    Return,
    TracedForward,
)
from balsamspool.plugins.membership import Signal
from balsamspool.plugins.membership.signals import SignalState

KEYS = KeySet(active=1, secrets={"1": "11" * 32})
SIGNAL = Signal(SignalState.LEAVING, 200)
FORWARD = Forward(7, "192.0.2.1", 5000, 1, b"payload")
GOLDEN = {
    "010101010007c000020113887061796c6f6164212f87eb6dc13aa2": FORWARD,
    (
        "010201010007c00002011388000102030405060708090a0b0c0d0e0f00010203"
        "040506077061796c6f616454007012fd71a408"
    ): TracedForward(FORWARD, bytes(range(16)), bytes(range(8))),
    "010301000007c0000201138801c87061796c6f61645eda0a3d93f5cd24": Return(
        7, "192.0.2.1", 5000, SIGNAL, b"payload"
    ),
    "0104010001020304e01e627570f32cad": Probe(0x01020304),
    "010501000102030401c827d3a88d8af56c98": ProbeReply(0x01020304, SIGNAL),
}


class EnvelopeLayoutTest(TestCase):
    def test_golden_vectors(self):
        """Guards against a layout change between entries and agents in an upgrade."""
        codec = EnvelopeCodec(KeyRing(KEYS))
        for golden, envelope in GOLDEN.items():
            self.assertEqual(codec.seal(envelope).hex(), golden)
            self.assertEqual(codec.open(bytes.fromhex(golden)), envelope)

    def test_every_changed_bit_is_noticed(self):
        """Guards against fields that the tag does not cover."""
        codec = EnvelopeCodec(KeyRing(KEYS))
        for envelope in GOLDEN.values():
            datagram = codec.seal(envelope)
            for bit in range(len(datagram) * 8):
                changed = bytearray(datagram)
                changed[bit // 8] ^= 1 << bit % 8
                self.assertIsNone(codec.open(bytes(changed)))

    def test_truncated_datagrams_are_refused(self):
        """Guards against an exception on a short datagram."""
        codec = EnvelopeCodec(KeyRing(KEYS))
        for envelope in GOLDEN.values():
            datagram = codec.seal(envelope)
            for length in range(len(datagram)):
                self.assertIsNone(codec.open(datagram[:length]))

    @settings(derandomize=True)
    @given(st.binary(max_size=80))
    def test_well_tagged_nonsense_does_not_raise(self, body):
        """Guards against a faulty peer with the right key that stops a process."""
        codec = EnvelopeCodec(KeyRing(KEYS))
        body = b"\x01" + body[:1] + b"\x01" + body[1:]
        codec.open(body + codec._tag(1, body))

    def test_removed_key_is_refused(self):
        """Guards against a cached key that outlives its removal."""
        ring = KeyRing(KEYS)
        codec = EnvelopeCodec(ring)
        datagram = codec.seal(Probe(1))
        both = {"1": "11" * 32, "2": "22" * 32}
        ring.replace(KeySet(active=2, secrets=both))
        self.assertEqual(codec.open(datagram), Probe(1))
        ring.replace(KeySet(active=2, secrets={"2": "22" * 32}))
        self.assertIsNone(codec.open(datagram))
        ring.replace(KeySet(active=1, secrets={"1": "22" * 32}))
        self.assertIsNone(codec.open(datagram))

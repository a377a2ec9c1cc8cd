"""Layout and authentication of the datagrams between entries and agents."""

from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from balsamspool.kernel.keyring import KeyRing, KeySet
from balsamspool.plugins.forwarding._codec import MAX_COUNT, EnvelopeCodec
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
    (
        "020101010007c000020113887061796c6f616462616c73616d73700000000132"
        "595cecb2c0ea227e84ec7823988634"
    ): FORWARD,
    (
        "020201010007c00002011388000102030405060708090a0b0c0d0e0f00010203"
        "040506077061796c6f616462616c73616d7370000000019690a777de058e62e9"
        "7eb1044d358294"
    ): TracedForward(FORWARD, bytes(range(16)), bytes(range(8))),
    (
        "020301000007c0000201138801c87061796c6f616462616c73616d7370000000"
        "01bc3c05cf2a6477666348d48803a13541"
    ): Return(7, "192.0.2.1", 5000, SIGNAL, b"payload"),
    ("020401000102030462616c73616d737000000001474c23b92b4b393a33d33b54fa40a96f"): Probe(
        0x01020304
    ),
    (
        "020501000102030401c862616c73616d737000000001828732b5c594afde01a39efa8fc4f83d"
    ): ProbeReply(0x01020304, SIGNAL),
}


class EnvelopeLayoutTest(TestCase):
    def test_golden_vectors(self):
        """Guards against a layout change between entries and agents in an upgrade."""
        for golden, envelope in GOLDEN.items():
            codec = EnvelopeCodec(KeyRing(KEYS), prefix=b"balsamsp")
            self.assertEqual(codec.seal(envelope).hex(), golden)
            self.assertEqual(codec.open(bytes.fromhex(golden)), envelope)

    def test_every_changed_bit_is_detected(self):
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
    def test_authentic_random_datagrams_do_not_raise(self, body):
        """Guards against a faulty peer with a valid key that stops a process."""
        codec = EnvelopeCodec(KeyRing(KEYS))
        body = b"\x02" + body[:1] + b"\x01" + body[1:]
        nonce = bytes(12)
        codec.open(body + nonce + codec._tag(1, nonce, body))

    def test_nonce_is_never_used_twice(self):
        """Guards against two datagrams whose shared nonce reveals the key."""
        ring = KeyRing(KEYS)
        codecs = [EnvelopeCodec(ring) for _ in range(50)]
        codecs[0]._count = MAX_COUNT - 25
        sealed = [codec.seal(Probe(1)) for codec in codecs for _ in range(50)]
        nonces = {datagram[-28:-16] for datagram in sealed}
        self.assertEqual(len(nonces), len(sealed))

    def test_removed_key_is_refused(self):
        """Guards against a cached key that is used after its removal."""
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

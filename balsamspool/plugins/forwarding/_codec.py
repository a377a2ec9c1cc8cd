"""Binary layout of the datagrams between entries and agents.

A datagram is: version, kind, key number and hops (one octet each), fields of the kind,
payload, nonce of 12 octets, tag of 16 octets. The tag is AES-128-GMAC over everything
before the nonce. A nonce is 8 random octets of the sending process and a counter of 4
octets, because two datagrams with the same nonce would reveal the authentication key.
"""

import os
import struct
from functools import lru_cache
from socket import inet_aton, inet_ntoa

from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import AESGCM

from balsamspool.kernel.errors import ResultError
from balsamspool.kernel.keyring import KeyRing
from balsamspool.plugins.forwarding.envelope import (
    Envelope,
    Forward,
    Probe,
    ProbeReply,
    Return,
    TracedForward,
)
from balsamspool.plugins.membership.signals import Signal, SignalState

# Version of the datagram layout. Version 1 was authenticated with a keyed BLAKE2s of 8
# octets.
VERSION = 2
PREFIX_BYTES = 8
NONCE_BYTES = 12
TAG_BYTES = 16
TAIL_BYTES = NONCE_BYTES + TAG_BYTES
MAX_COUNT = (1 << 32) - 1

# Purpose from which the authentication key is derived. Version 1 used the purpose
# "envelope". Two algorithms must not share a key, so version 2 uses a purpose of its
# own.
_PURPOSE = "envelope-gmac"
_KEY_BYTES = 16
_FORWARD, _TRACED, _RETURN, _PROBE, _REPLY = range(1, 6)
_HEAD = struct.Struct("!BBBB")
_FLOW = struct.Struct("!H4sH")
# `_HEAD` and `_FLOW` in one layout, so that one call packs both.
_HEAD_AND_FLOW = struct.Struct("!BBBBH4sH")
_TRACE = struct.Struct("!16s8s")
_SIGNAL = struct.Struct("!BB")
_SEQUENCE = struct.Struct("!I")
_NONCE = struct.Struct("!8sI")
_FLOW_OFFSET = _HEAD.size
_BODY_OFFSET = _HEAD.size + _FLOW.size


class EnvelopeCodec:
    """Seals and opens datagrams between entries and agents.

    Args:
        keyring: Shared keys.
        prefix: First 8 octets of the nonces; random if left out. Only tests set it.
    """

    __slots__ = ("_ciphers", "_count", "_keyring", "_prefix", "_version")

    def __init__(self, keyring: KeyRing, prefix: bytes | None = None) -> None:
        self._keyring = keyring
        self._version = -1
        self._ciphers: dict[int, AESGCM] = {}
        self._prefix = os.urandom(PREFIX_BYTES) if prefix is None else prefix
        self._count = 0

    def seal(self, envelope: Envelope) -> bytes:
        """Return the datagram for an envelope.

        Args:
            envelope: The message to send.

        Returns:
            The authenticated datagram.
        """
        number = self._keyring.active
        match envelope:
            case Forward():
                body = self._forward(_FORWARD, number, envelope, b"")
            case TracedForward(forward, trace_id, span_id):
                trace = _TRACE.pack(trace_id, span_id)
                body = self._forward(_TRACED, number, forward, trace)
            case Return(service, address, port, signal, payload):
                flow = _FLOW.pack(service, inet_aton(address), port)
                head = _HEAD.pack(VERSION, _RETURN, number, 0)
                body = head + flow + _pack_signal(signal) + payload
            case Probe(sequence):
                head = _HEAD.pack(VERSION, _PROBE, number, 0)
                body = head + _SEQUENCE.pack(sequence)
            case ProbeReply(sequence, signal):
                head = _HEAD.pack(VERSION, _REPLY, number, 0)
                body = head + _SEQUENCE.pack(sequence) + _pack_signal(signal)
        nonce = self._next_nonce()
        return b"".join((body, nonce, self._tag(number, nonce, body)))

    def open(self, datagram: bytes) -> Envelope | None:
        """Verify and read a datagram.

        Args:
            datagram: Datagram from the network.

        Returns:
            The message, or None if the datagram is not authentic or not well formed.
        """
        if len(datagram) < _HEAD.size + TAIL_BYTES:
            return None
        version, kind, number, hops = _HEAD.unpack_from(datagram)
        if version != VERSION:
            return None
        body, nonce = datagram[:-TAIL_BYTES], datagram[-TAIL_BYTES:-TAG_BYTES]
        try:
            self._cipher(number).decrypt(nonce, datagram[-TAG_BYTES:], body)
        except (InvalidTag, ResultError):
            return None
        try:
            return _read(kind, hops, body, nonce)
        except (struct.error, ValueError):
            return None

    def _forward(self, kind: int, number: int, forward: Forward, extra: bytes) -> bytes:
        start = _HEAD_AND_FLOW.pack(
            VERSION,
            kind,
            number,
            forward.hops,
            forward.service,
            inet_aton(forward.caller_address),
            forward.caller_port,
        )
        return start + extra + forward.payload

    def _next_nonce(self) -> bytes:
        if self._count == MAX_COUNT:
            self._prefix = os.urandom(PREFIX_BYTES)
            self._count = 0
        self._count += 1
        return _NONCE.pack(self._prefix, self._count)

    def _tag(self, number: int, nonce: bytes, body: bytes) -> bytes:
        # GCM without plaintext returns only the tag.
        return self._cipher(number).encrypt(nonce, b"", body)

    def _cipher(self, number: int) -> AESGCM:
        if self._version != self._keyring.version:
            self._ciphers.clear()
            self._version = self._keyring.version
        cipher = self._ciphers.get(number)
        if cipher is None:
            cipher = AESGCM(self._keyring.key(number, _PURPOSE, _KEY_BYTES))
            self._ciphers[number] = cipher
        return cipher


def _pack_signal(signal: Signal) -> bytes:
    return _SIGNAL.pack(signal.state.value, signal.load)


def _unpack_signal(body: bytes, offset: int) -> Signal:
    return _make_signal(*_SIGNAL.unpack_from(body, offset))


@lru_cache(maxsize=len(SignalState) * 256)
def _make_signal(state: int, load: int) -> Signal:
    return Signal(SignalState(state), load)


def _read(kind: int, hops: int, body: bytes, nonce: bytes) -> Envelope | None:
    if kind == _PROBE:
        return Probe(*_SEQUENCE.unpack_from(body, _FLOW_OFFSET))
    if kind == _REPLY:
        (sequence,) = _SEQUENCE.unpack_from(body, _FLOW_OFFSET)
        signal = _unpack_signal(body, _FLOW_OFFSET + _SEQUENCE.size)
        return ProbeReply(sequence, signal, nonce)
    service, packed, port = _FLOW.unpack_from(body, _FLOW_OFFSET)
    address = inet_ntoa(packed)
    if kind == _FORWARD:
        return Forward(service, address, port, hops, body[_BODY_OFFSET:])
    if kind == _TRACED:
        trace_id, span_id = _TRACE.unpack_from(body, _BODY_OFFSET)
        payload = body[_BODY_OFFSET + _TRACE.size :]
        forward = Forward(service, address, port, hops, payload)
        return TracedForward(forward, trace_id, span_id)
    if kind == _RETURN:
        signal = _unpack_signal(body, _BODY_OFFSET)
        payload = body[_BODY_OFFSET + _SIGNAL.size :]
        return Return(service, address, port, signal, payload, nonce)
    return None

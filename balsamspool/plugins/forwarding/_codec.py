"""Binary layout of the datagrams between entries and agents.

A datagram is: version, kind, key number and hops (one octet each), fields of the kind,
payload, tag of 8 octets. The tag is a keyed BLAKE2s over all that precedes it.
"""

import struct
from functools import lru_cache
from hashlib import blake2s
from hmac import compare_digest
from socket import inet_aton, inet_ntoa
from typing import Any

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

VERSION = 1
TAG_BYTES = 8

_PURPOSE = "envelope"
_FORWARD, _TRACED, _RETURN, _PROBE, _REPLY = range(1, 6)
_HEAD = struct.Struct("!BBBB")
_FLOW = struct.Struct("!H4sH")
# Both of them, packed at once.
_START = struct.Struct("!BBBBH4sH")
_TRACE = struct.Struct("!16s8s")
_SIGNAL = struct.Struct("!BB")
_SEQUENCE = struct.Struct("!I")
_FLOW_AT = _HEAD.size
_BODY_AT = _HEAD.size + _FLOW.size


class EnvelopeCodec:
    """Seals and opens datagrams between entries and agents.

    Args:
        keyring: Shared keys.
    """

    __slots__ = ("_hashers", "_keyring", "_version")

    def __init__(self, keyring: KeyRing) -> None:
        self._keyring = keyring
        self._version = -1
        # A keyed state by key number; its copies save the compression of the key.
        self._hashers: dict[int, Any] = {}

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
        return body + self._tag(number, body)

    def open(self, datagram: bytes) -> Envelope | None:
        """Verify and read a datagram.

        Args:
            datagram: Datagram from the network.

        Returns:
            The message, or None if the datagram is not authentic or not well formed.
        """
        if len(datagram) < _HEAD.size + TAG_BYTES:
            return None
        body, tag = datagram[:-TAG_BYTES], datagram[-TAG_BYTES:]
        version, kind, number, hops = _HEAD.unpack_from(body)
        if version != VERSION:
            return None
        try:
            expected = self._tag(number, body)
        except ResultError:
            return None
        if not compare_digest(expected, tag):
            return None
        try:
            return _read(kind, hops, body)
        except (struct.error, ValueError):
            return None

    def _forward(self, kind: int, number: int, forward: Forward, extra: bytes) -> bytes:
        start = _START.pack(
            VERSION,
            kind,
            number,
            forward.hops,
            forward.service,
            inet_aton(forward.caller_address),
            forward.caller_port,
        )
        return start + extra + forward.payload

    def _tag(self, number: int, body: bytes) -> bytes:
        if self._version != self._keyring.version:
            self._hashers.clear()
            self._version = self._keyring.version
        keyed = self._hashers.get(number)
        if keyed is None:
            key = self._keyring.key(number, _PURPOSE)
            keyed = blake2s(digest_size=TAG_BYTES, key=key)
            self._hashers[number] = keyed
        hasher = keyed.copy()
        hasher.update(body)
        return hasher.digest()


def _pack_signal(signal: Signal) -> bytes:
    return _SIGNAL.pack(signal.state.value, signal.load)


def _unpack_signal(body: bytes, at: int) -> Signal:
    return _make_signal(*_SIGNAL.unpack_from(body, at))


@lru_cache(maxsize=len(SignalState) * 256)
def _make_signal(state: int, load: int) -> Signal:
    return Signal(SignalState(state), load)


def _read(kind: int, hops: int, body: bytes) -> Envelope | None:
    if kind == _PROBE:
        return Probe(*_SEQUENCE.unpack_from(body, _FLOW_AT))
    if kind == _REPLY:
        (sequence,) = _SEQUENCE.unpack_from(body, _FLOW_AT)
        return ProbeReply(sequence, _unpack_signal(body, _FLOW_AT + _SEQUENCE.size))
    service, packed, port = _FLOW.unpack_from(body, _FLOW_AT)
    address = inet_ntoa(packed)
    if kind == _FORWARD:
        return Forward(service, address, port, hops, body[_BODY_AT:])
    if kind == _TRACED:
        trace_id, span_id = _TRACE.unpack_from(body, _BODY_AT)
        payload = body[_BODY_AT + _TRACE.size :]
        forward = Forward(service, address, port, hops, payload)
        return TracedForward(forward, trace_id, span_id)
    if kind == _RETURN:
        signal = _unpack_signal(body, _BODY_AT)
        return Return(service, address, port, signal, body[_BODY_AT + _SIGNAL.size :])
    return None

"""Encoding of mesh messages.

A frame is: version, key number (one octet each), msgpack of header and body, tag
of 16 octets. The tag is a keyed BLAKE2s over all that precedes it.
"""

from hashlib import blake2s
from hmac import compare_digest
from typing import Any

import msgspec
from msgspec import Struct

from balsamspool.kernel.errors import ResultError
from balsamspool.kernel.identity import Identity
from balsamspool.kernel.keyring import KeyRing
from balsamspool.plugins.mesh.message import Message, PeerAddress, number_of, type_of

VERSION = 1
TAG_BYTES = 16

_PURPOSE = "mesh"
_HEAD_BYTES = 2


class _Frame(Struct, array_like=True, frozen=True):
    number: int
    instance: str
    incarnation: bytes
    address: str
    peer_port: int
    message_id: int
    body: msgspec.Raw


class MeshCodec:
    """Seals and opens the frames of the mesh.

    Args:
        keyring: Shared keys.
        identity: Identity of this process, sent with each message.
    """

    __slots__ = ("_identity", "_keyring", "_next_id")

    def __init__(self, keyring: KeyRing, identity: Identity) -> None:
        self._keyring = keyring
        self._identity = identity
        self._next_id = 0

    def seal(self, body: Any) -> bytes:
        """Return the frame for a message."""
        self._next_id += 1
        identity = self._identity
        frame = _Frame(
            number=number_of(type(body)),
            instance=identity.instance,
            incarnation=identity.incarnation,
            address=identity.address,
            peer_port=identity.peer_port,
            message_id=self._next_id,
            body=msgspec.Raw(msgspec.msgpack.encode(body)),
        )
        number = self._keyring.active
        data = bytes((VERSION, number)) + msgspec.msgpack.encode(frame)
        return data + self._tag(number, data)

    def open(self, data: bytes) -> Message | None:
        """Verify and read a frame.

        Args:
            data: Frame from the network.

        Returns:
            The message, or None if the frame is not authentic or not well formed.
        """
        if len(data) < _HEAD_BYTES + TAG_BYTES or data[0] != VERSION:
            return None
        content, tag = data[:-TAG_BYTES], data[-TAG_BYTES:]
        try:
            if not compare_digest(self._tag(data[1], content), tag):
                return None
            frame = msgspec.msgpack.decode(content[_HEAD_BYTES:], type=_Frame)
            body_type = type_of(frame.number)
            if body_type is None:
                return None
            body = msgspec.msgpack.decode(frame.body, type=body_type)
        except (ResultError, msgspec.DecodeError):
            return None
        return Message(
            sender=PeerAddress(frame.address, frame.peer_port),
            instance=frame.instance,
            incarnation=frame.incarnation,
            message_id=frame.message_id,
            body=body,
        )

    def _tag(self, number: int, data: bytes) -> bytes:
        key = self._keyring.key(number, _PURPOSE)
        return blake2s(data, digest_size=TAG_BYTES, key=key).digest()

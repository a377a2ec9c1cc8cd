"""Encoding of mesh messages.

A frame is: version, key number (one octet each), msgpack of header and body, tag
of 16 octets. The tag is a keyed BLAKE2s over all that precedes it.
"""

from dataclasses import dataclass
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
    receiver: bytes
    address: str
    peer_port: int
    message_id: int
    sent_at: float
    body: msgspec.Raw


@dataclass(frozen=True, slots=True)
class OpenedFrame:
    """An authentic frame.

    Attributes:
        message: The message with its sender.
        receiver: Incarnation for which it is meant, empty for any.
        sent_at: Time of the sender's event loop in seconds.
    """

    message: Message
    receiver: bytes
    sent_at: float


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

    def seal(self, body: Any, sent_at: float, receiver: bytes = b"") -> bytes:
        """Return the frame for a message.

        Args:
            body: Instance of a registered message class.
            sent_at: Time of the event loop in seconds.
            receiver: Incarnation for which it is meant, empty for any.
        """
        self._next_id += 1
        identity = self._identity
        frame = _Frame(
            number=number_of(type(body)),
            instance=identity.instance,
            incarnation=identity.incarnation,
            receiver=receiver,
            address=identity.address,
            peer_port=identity.peer_port,
            message_id=self._next_id,
            sent_at=sent_at,
            body=msgspec.Raw(msgspec.msgpack.encode(body)),
        )
        number = self._keyring.active
        data = bytes((VERSION, number)) + msgspec.msgpack.encode(frame)
        return data + self._tag(number, data)

    def open(self, data: bytes) -> OpenedFrame | None:
        """Verify and read a frame.

        Args:
            data: Frame from the network.

        Returns:
            The frame, or None if it is not authentic or not well formed.
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
        message = Message(
            sender=PeerAddress(frame.address, frame.peer_port),
            instance=frame.instance,
            incarnation=frame.incarnation,
            message_id=frame.message_id,
            body=body,
        )
        return OpenedFrame(message, frame.receiver, frame.sent_at)

    def _tag(self, number: int, data: bytes) -> bytes:
        key = self._keyring.key(number, _PURPOSE)
        return blake2s(data, digest_size=TAG_BYTES, key=key).digest()

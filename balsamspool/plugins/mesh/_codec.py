"""Encoding of mesh messages.

A frame is: version, key number (one octet each), msgpack of header and body, tag
of 16 octets. The tag is a keyed BLAKE2s hash of all preceding octets.

A frame that exchanges configuration (message numbers 10 to 19) is: version, number of
tags, tags of key number and 16 octets, msgpack of header and body. It has a tag for
every key that the sender knows, from its settings or from the text in force. The frame
is authentic if the receiver can verify one of the tags, so processes that were started
before and after a rotation of keys can exchange the text while they share a key.
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
EXCHANGE_VERSION = 2
EXCHANGE_NUMBERS = range(10, 20)
TAG_BYTES = 16

_PURPOSE = "mesh"
_EXCHANGE_PURPOSE = "configuration"
_HEADER_BYTES = 2


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
        receiver: Incarnation that may read the message, empty for any.
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
            receiver: Incarnation that may read the message, empty for any.
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
        content = msgspec.msgpack.encode(frame)
        if frame.number in EXCHANGE_NUMBERS:
            return self._seal_exchange(content)
        number = self._keyring.active
        data = bytes((VERSION, number)) + content
        return data + self._tag(number, data)

    def open(self, data: bytes) -> OpenedFrame | None:
        """Verify and read a frame.

        Args:
            data: Frame from the network.

        Returns:
            The frame, or None if it is not authentic or not well formed.
        """
        try:
            content = self._verified_content(data)
            if content is None:
                return None
            frame = msgspec.msgpack.decode(content, type=_Frame)
            if (frame.number in EXCHANGE_NUMBERS) != (data[0] == EXCHANGE_VERSION):
                return None
            body_type = type_of(frame.number)
            if body_type is None:
                return None
            body = msgspec.msgpack.decode(frame.body, type=body_type)
        except (ResultError, ValueError, RecursionError):
            return None
        message = Message(
            sender=PeerAddress(frame.address, frame.peer_port),
            instance=frame.instance,
            incarnation=frame.incarnation,
            message_id=frame.message_id,
            body=body,
        )
        return OpenedFrame(message, frame.receiver, frame.sent_at)

    def _verified_content(self, data: bytes) -> bytes | None:
        if len(data) < _HEADER_BYTES + TAG_BYTES:
            return None
        match data[0]:
            case 1:
                content, tag = data[:-TAG_BYTES], data[-TAG_BYTES:]
                authentic = compare_digest(self._tag(data[1], content), tag)
                return content[_HEADER_BYTES:] if authentic else None
            case 2:
                return self._verified_exchange_content(data)
            case _:
                return None

    def _seal_exchange(self, content: bytes) -> bytes:
        tags = self._exchange_tags(content)
        return bytes((EXCHANGE_VERSION, len(tags))) + b"".join(tags) + content

    def _verified_exchange_content(self, data: bytes) -> bytes | None:
        size = 1 + TAG_BYTES
        end = _HEADER_BYTES + data[1] * size
        content = data[end:]
        known_tags = self._exchange_tags(content)
        for start in range(_HEADER_BYTES, end, size):
            tag = data[start : start + size]
            if any(compare_digest(tag, known_tag) for known_tag in known_tags):
                return content
        return None

    def _exchange_tags(self, content: bytes) -> list[bytes]:
        # The tags cover a hash of the content, so a large text is read only once and
        # not once for each key.
        digest = blake2s(content).digest()
        return [
            bytes((number,)) + blake2s(digest, digest_size=TAG_BYTES, key=key).digest()
            for number, key in self._keyring.all_keys(_EXCHANGE_PURPOSE)
        ]

    def _tag(self, number: int, data: bytes) -> bytes:
        key = self._keyring.key(number, _PURPOSE)
        return blake2s(data, digest_size=TAG_BYTES, key=key).digest()

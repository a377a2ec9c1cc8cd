"""Segments of opaque flows as emulated callers and backend servers exchange them."""

import socket
import struct
import zlib
from enum import IntFlag

from msgspec import Struct

from balsamspool.datagram.packet import Packet, PacketCodec
from balsamspool.datagram.sockets import Address

# Fields: flags, attempt, sequence, acknowledged, source, destination, checksum, tag.
_HEAD = struct.Struct("!BBII6s6sI4s")
# The part of the header that the checksum covers.
_CHECKSUMMED = struct.Struct("!BBII6s6s")
NO_TAG = bytes(4)
MAX_DATA_BYTES = 1_200


class Flag(IntFlag):
    """Flags of a segment."""

    OPENS = 1
    ACCEPTS = 2
    ENDS = 4
    RESETS = 8
    RETURNED = 16


class Segment(Struct, frozen=True):
    """One datagram of a flow.

    Attributes:
        flags: Its flags.
        source: Endpoint of the sender, 6 octets.
        destination: Endpoint of the receiver, 6 octets.
        attempt: Number of earlier copies of an opening.
        sequence: Number that the sender chose for the flow.
        acknowledged: Number that the other end chose, 0 if it is not known.
        data: Payload.
        genuine: Whether the checksum matches, as it does for an unchanged segment.
        tag: Octets that a backend server leaves unchanged when it returns the segment.
    """

    flags: Flag
    source: bytes
    destination: bytes
    attempt: int = 0
    sequence: int = 0
    acknowledged: int = 0
    data: bytes = b""
    genuine: bool = True
    tag: bytes = NO_TAG


def endpoint(address: Address) -> bytes:
    """Return an address and port as 6 octets."""
    return socket.inet_aton(address[0]) + address[1].to_bytes(2, "big")


def encode(segment: Segment) -> bytes:
    """Encode a segment as octets, with a checksum."""
    checksummed = _CHECKSUMMED.pack(
        segment.flags & ~Flag.RETURNED,
        segment.attempt,
        segment.sequence,
        segment.acknowledged,
        segment.source,
        segment.destination,
    )
    checksum = zlib.crc32(segment.data, zlib.crc32(checksummed))
    head = _HEAD.pack(
        segment.flags,
        segment.attempt,
        segment.sequence,
        segment.acknowledged,
        segment.source,
        segment.destination,
        checksum,
        segment.tag,
    )
    return head + segment.data


def decode(data: bytes) -> Segment:
    """Decode a segment."""
    flags, attempt, sequence, acknowledged, source, destination, checksum, tag = (
        _HEAD.unpack_from(data)
    )
    body = data[_HEAD.size :]
    checksummed = bytes((flags & ~Flag.RETURNED,)) + data[1 : _CHECKSUMMED.size]
    genuine = zlib.crc32(body, zlib.crc32(checksummed)) == checksum
    return Segment(
        Flag(flags),
        source,
        destination,
        attempt,
        sequence,
        acknowledged,
        body,
        genuine,
        tag,
    )


class SegmentCodec(PacketCodec):
    """Decodes and encodes segments for the plug-ins of the product."""

    def decode(self, data: bytes) -> Packet | None:
        """Decode a packet, None if the datagram is not a segment."""
        if len(data) < _HEAD.size:
            return None
        flags, attempt, sequence, acknowledged, source, destination, _, tag = (
            _HEAD.unpack_from(data)
        )
        return Packet(
            source=source,
            destination=destination,
            opens=bool(flags & Flag.OPENS),
            accepts=bool(flags & Flag.ACCEPTS),
            ends=bool(flags & Flag.ENDS),
            resets=bool(flags & Flag.RESETS),
            returned=bool(flags & Flag.RETURNED),
            attempt=attempt,
            sequence=sequence,
            acknowledged=acknowledged,
            length=len(data) - _HEAD.size,
            tag=tag,
            data=data,
        )

    def encode(self, packet: Packet, tag: bytes) -> list[bytes | memoryview]:
        """Return the parts of a packet with a new tag and without the returned flag."""
        data = packet.data
        flags = data[0] & ~Flag.RETURNED
        head = bytes((flags,)) + data[1 : _HEAD.size - len(tag)] + tag
        return [head, memoryview(data)[_HEAD.size :]]

    def reset(self, packet: Packet) -> bytes:
        """Return a reset that the product sends itself; it carries no checksum."""
        return _HEAD.pack(
            Flag.RESETS, 0, 0, 0, packet.destination, packet.source, 0, NO_TAG
        )


def is_system_reset(data: bytes) -> bool:
    """Return whether a datagram is a reset that no backend server sent."""
    flags, *_, checksum, _ = _HEAD.unpack_from(data)
    return bool(flags == Flag.RESETS and checksum == 0)

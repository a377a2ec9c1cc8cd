"""Segments of opaque flows as emulated callers and backend servers exchange them."""

import socket
import struct
import zlib
from enum import IntFlag

from msgspec import Struct

from balsamspool.datagram.packet import Packet, PacketCodec
from balsamspool.datagram.sockets import Address

# flags, attempt, sequence, acknowledged, source, destination, checksum, tag
_HEAD = struct.Struct("!BBII6s6sI4s")
_CHECKED = struct.Struct("!BBII6s6s")
NO_TAG = bytes(4)
MAX_DATA_BYTES = 1_200


class Flag(IntFlag):
    """What a segment says."""

    OPENS = 1
    ACCEPTS = 2
    ENDS = 4
    RESETS = 8
    RETURNED = 16


class Segment(Struct, frozen=True):
    """One datagram of a flow.

    Attributes:
        flags: What it says.
        source: Endpoint of the sender, 6 octets.
        destination: Endpoint of the receiver, 6 octets.
        attempt: Number of earlier copies of an opening.
        sequence: Number that the sender chose for the flow.
        acknowledged: Number that the other end chose, 0 if it is not known.
        data: Data.
        genuine: Whether it is as its sender wrote it.
        tag: Octets that a backend server keeps when it returns the segment.
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
    """Return a segment as octets, with the checksum of its sender."""
    checked = _CHECKED.pack(
        segment.flags & ~Flag.RETURNED,
        segment.attempt,
        segment.sequence,
        segment.acknowledged,
        segment.source,
        segment.destination,
    )
    checksum = zlib.crc32(segment.data, zlib.crc32(checked))
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
    """Read a segment."""
    flags, attempt, sequence, acknowledged, source, destination, checksum, tag = (
        _HEAD.unpack_from(data)
    )
    body = data[_HEAD.size :]
    checked = bytes((flags & ~Flag.RETURNED,)) + data[1 : _CHECKED.size]
    genuine = zlib.crc32(body, zlib.crc32(checked)) == checksum
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
    """Reads and writes segments for the plug-ins of the product."""

    def decode(self, data: bytes) -> Packet | None:
        """Read a packet, None if the datagram is none."""
        if len(data) < _HEAD.size:
            return None
        flags, attempt, _, acknowledged, source, destination, _, tag = (
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
            acknowledged=acknowledged,
            length=len(data) - _HEAD.size,
            tag=tag,
            data=data,
        )

    def encode(self, packet: Packet, tag: bytes) -> list[bytes | memoryview]:
        """Return the parts of a packet that does not count as returned."""
        data = packet.data
        flags = data[0] & ~Flag.RETURNED
        head = bytes((flags,)) + data[1 : _HEAD.size - len(tag)] + tag
        return [head, memoryview(data)[_HEAD.size :]]

    def reset(self, packet: Packet) -> bytes:
        """Return a reset of the system's own, which has no checksum."""
        return _HEAD.pack(
            Flag.RESETS, 0, 0, 0, packet.destination, packet.source, 0, NO_TAG
        )


def is_system_reset(data: bytes) -> bool:
    """Return whether a datagram is a reset that no backend server sent."""
    flags, *_, checksum, _ = _HEAD.unpack_from(data)
    return bool(flags == Flag.RESETS and checksum == 0)

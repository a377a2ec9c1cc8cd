"""Packets of opaque flows as callers and backend servers of the platform write them."""

import socket
import struct
from dataclasses import dataclass

FIN, SYN, RST, ACK, BOUNCED = 1, 2, 4, 64, 128
# flags, seq, ack, dst, src, sport, dport, sum, len, echo
HEAD = struct.Struct("!BII4s4sHHIH4s")
MAX_DATA_BYTES = 1_200

Endpoint = tuple[str, int]


@dataclass(frozen=True, slots=True)
class WirePacket:
    """One packet.

    Attributes:
        flags: Sum of the flags.
        source: Address and port of the sender.
        destination: Address and port of the receiver.
        sequence: Sequence number.
        acknowledged: Acknowledged sequence number, or the number of a copy.
        data: Data.
        checksum: Sum over the fields that nobody on the way may change.
        echo: Four octets that a backend server keeps.
    """

    flags: int
    source: Endpoint
    destination: Endpoint
    sequence: int = 0
    acknowledged: int = 0
    data: bytes = b""
    checksum: int = 0
    echo: bytes = bytes(4)

    @property
    def genuine(self) -> bool:
        """Whether the sum matches the fields, as the sender wrote them."""
        return self.checksum == _checksum(self)


def encode(packet: WirePacket, checksum: int | None = None) -> bytes:
    """Return a packet as octets, with its sum unless another one is given."""
    head = HEAD.pack(
        packet.flags,
        packet.sequence,
        packet.acknowledged,
        socket.inet_aton(packet.destination[0]),
        socket.inet_aton(packet.source[0]),
        packet.source[1],
        packet.destination[1],
        _checksum(packet) if checksum is None else checksum,
        len(packet.data),
        packet.echo,
    )
    return head + packet.data


def decode(data: bytes) -> WirePacket:
    """Read a packet.

    Raises:
        ValueError: If the datagram is none.
    """
    if len(data) < HEAD.size:
        raise ValueError(f"{len(data)} octets are too few")
    flags, seq, ack, dst, src, sport, dport, checksum, length, echo = HEAD.unpack_from(
        data
    )
    body = data[HEAD.size :]
    if len(body) != length:
        raise ValueError(f"{len(body)} octets of data instead of {length}")
    return WirePacket(
        flags,
        (socket.inet_ntoa(src), sport),
        (socket.inet_ntoa(dst), dport),
        seq,
        ack,
        body,
        checksum,
        echo,
    )


def _checksum(packet: WirePacket) -> int:
    """Return a sum whose key the processes between the ends do not know."""
    fields = (
        "stand-in",
        packet.flags & ~BOUNCED,
        packet.source,
        packet.destination,
        packet.sequence,
        packet.acknowledged,
        packet.data,
    )
    return hash(repr(fields)) & 0xFFFFFFFF

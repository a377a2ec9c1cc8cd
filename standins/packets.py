"""Encodes and decodes packets of opaque flows for callers and backend servers."""

import socket
import struct
from dataclasses import dataclass

FIN, SYN, RST, ACK, BOUNCED = 1, 2, 4, 64, 128
# Header fields in order: flags, seq, ack, dst, src, sport, dport, sum, len, echo.
HEADER = struct.Struct("!BII4s4sHHIH4s")
MAX_DATA_BYTES = 1_200

Endpoint = tuple[str, int]


@dataclass(frozen=True, slots=True)
class WirePacket:
    """A packet of an opaque flow.

    Attributes:
        flags: Combined flags, such as ``SYN | ACK``.
        source: Address and port of the sender.
        destination: Address and port of the receiver.
        sequence: Sequence number.
        acknowledged: Acknowledged sequence number; in an opening packet, the number of
            its copy.
        data: Payload.
        checksum: Checksum of the fields that must not change on the way.
        echo: Four octets that a backend server keeps in the packets that it returns.
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
    def has_valid_checksum(self) -> bool:
        """Whether the checksum matches the fields."""
        return self.checksum == _checksum(self)


def encode(packet: WirePacket, checksum: int | None = None) -> bytes:
    """Encode a packet.

    Args:
        packet: The packet.
        checksum: Checksum to write, None to compute it.
    """
    header = HEADER.pack(
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
    return header + packet.data


def decode(data: bytes) -> WirePacket:
    """Decode a packet.

    Raises:
        ValueError: If the datagram is not a packet.
    """
    if len(data) < HEADER.size:
        raise ValueError(f"packet has only {len(data)} octets")
    flags, seq, ack, dst, src, sport, dport, checksum, length, echo = (
        HEADER.unpack_from(data)
    )
    payload = data[HEADER.size :]
    if len(payload) != length:
        raise ValueError(
            f"packet has {len(payload)} octets of data instead of {length}"
        )
    return WirePacket(
        flags,
        (socket.inet_ntoa(src), sport),
        (socket.inet_ntoa(dst), dport),
        seq,
        ack,
        payload,
        checksum,
        echo,
    )


def _checksum(packet: WirePacket) -> int:
    """Return a checksum that the processes between both ends cannot compute.

    ``hash`` depends on a random seed of this process.
    """
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

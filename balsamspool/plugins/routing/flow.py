"""Facts about a packet on which routing depends, whatever its protocol."""

import struct
from dataclasses import dataclass
from socket import inet_aton

_KEY_LAYOUT = struct.Struct("!H4sH")


# Not frozen, because a key is made for every datagram and the constructor of a frozen
# class takes three times as long. Keys are never changed after construction.
@dataclass(slots=True, unsafe_hash=True)
class FlowKey:
    """Identifies a flow: a caller's address and the service it talks to.

    Attributes:
        service: Number of the service.
        address: IPv4 address of the caller.
        port: UDP port of the caller.
    """

    service: int
    address: str
    port: int

    def encode(self) -> bytes:
        """Return the key as bytes for hashing."""
        return _KEY_LAYOUT.pack(self.service, inet_aton(self.address), self.port)


@dataclass(slots=True)
class Packet:
    """Facts about one packet on which routing depends.

    Attributes:
        flow: Flow of the packet.
        connection_id: Bytes that may be a routing token, empty if there are none.
        opens: Whether the packet may open a flow.
    """

    flow: FlowKey
    connection_id: bytes
    opens: bool

"""What routing knows of a packet, whatever protocol it belongs to."""

import struct
from dataclasses import dataclass
from socket import inet_aton

_KEY = struct.Struct("!H4sH")


# One is made for every datagram; the constructor of a frozen class takes three times
# as long. A key is never changed after it was made.
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
        return _KEY.pack(self.service, inet_aton(self.address), self.port)


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

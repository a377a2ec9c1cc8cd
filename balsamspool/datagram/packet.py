"""A packet of a flow, independent of its layout on the wire."""

import socket

from msgspec import Struct

from balsamspool.kernel.registry import Plugin


class Packet(Struct):
    """Decoded fields of one packet.

    Endpoints are 6 octets each: IPv4 address and port, in network order.

    Attributes:
        source: Endpoint of the sender.
        destination: Endpoint of the receiver.
        opens: Whether the packet requests to open a flow.
        accepts: Whether the packet accepts a requested flow.
        ends: Whether its sender sends nothing after this packet.
        resets: Whether the packet resets the flow.
        returned: Whether a backend server returned the packet because it does not hold
            the flow.
        attempt: Number of earlier copies of an opening packet.
        sequence: Sequence number of the first octet of data.
        acknowledged: Acknowledged sequence number.
        length: Octets of data.
        tag: Four octets set by the agent. A backend server that returns the packet
            keeps them.
        data: The whole packet.
    """

    source: bytes
    destination: bytes
    opens: bool
    accepts: bool
    ends: bool
    resets: bool
    returned: bool
    attempt: int
    sequence: int
    acknowledged: int
    length: int
    tag: bytes
    data: bytes

    @property
    def flow_from_caller(self) -> bytes:
        """Key of the flow if the packet comes from a caller."""
        return self.source + self.destination

    @property
    def flow_to_caller(self) -> bytes:
        """Key of the flow if the packet goes to a caller."""
        return self.destination + self.source


class PacketCodec(Plugin):
    """Base of the plug-in that knows the layout of packets on the wire.

    An adapter registers one subclass.
    """

    def decode(self, data: bytes) -> Packet | None:
        """Read a packet.

        Args:
            data: The datagram.

        Returns:
            The packet, or None if the datagram is not a packet.
        """
        raise NotImplementedError

    def encode(self, packet: Packet, tag: bytes) -> list[bytes | memoryview]:
        """Return the parts of a packet for a backend server or for another agent.

        Args:
            packet: The packet. Its mark as a returned packet is removed.
            tag: Four octets to carry in the packet.
        """
        raise NotImplementedError

    def reset(self, packet: Packet) -> bytes:
        """Return a reset that notifies a caller that its flow is not open.

        Args:
            packet: Packet of the caller.
        """
        raise NotImplementedError


def address_of(endpoint: bytes) -> str:
    """Return the IPv4 address of an endpoint in dotted form."""
    return socket.inet_ntoa(endpoint[:4])


def port_of(endpoint: bytes) -> int:
    """Return the port of an endpoint."""
    return int.from_bytes(endpoint[4:6], "big")


def endpoint_of(address: str, port: int) -> bytes:
    """Return the endpoint of an IPv4 address in dotted form and a port."""
    return socket.inet_aton(address) + port.to_bytes(2, "big")


def service_endpoint(packet: Packet) -> tuple[str, int]:
    """Return address and port of the route to which a caller sent a packet."""
    return address_of(packet.destination), port_of(packet.destination)


def flow_id(key: bytes) -> str:
    """Return a flow key in the format of the logs."""
    caller, service = key[:6], key[6:]
    return (
        f"{address_of(caller)}:{port_of(caller)}"
        f">{address_of(service)}:{port_of(service)}"
    )

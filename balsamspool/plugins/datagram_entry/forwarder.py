"""Sends packets of callers to agents, and resets to callers."""

import socket

from balsamspool.datagram._codec import forward_head
from balsamspool.datagram.messages import Forward
from balsamspool.datagram.packet import Packet, PacketCodec, address_of
from balsamspool.datagram.sockets import BatchSocket
from balsamspool.kernel.counters import CounterSet

PACKETS = "balsamspool_datagram_packets"
PACKETS_HELP = "Packets by what was done with them"


class Forwarder:
    """Sends the packets and resets of an entry.

    Args:
        peers: Socket for packets to agents.
        callers: Socket for packets to callers.
        codec: Layout of packets.
        counters: Counters of the process.
        peer_address: Own address and the UDP port of all entries and agents.
        caller_port: UDP port of all callers.
    """

    __slots__ = (
        "_caller_port",
        "_callers",
        "_codec",
        "_data_port",
        "_forwarded",
        "_origin",
        "_peers",
    )

    def __init__(
        self,
        peers: BatchSocket,
        callers: BatchSocket,
        codec: PacketCodec,
        counters: CounterSet,
        peer_address: tuple[str, int],
        caller_port: int,
    ) -> None:
        self._peers = peers
        self._callers = callers
        self._codec = codec
        self._origin = socket.inet_aton(peer_address[0])
        self._data_port = peer_address[1]
        self._caller_port = caller_port
        self._forwarded = counters.counter(PACKETS, PACKETS_HELP, "forwarded")

    def forward(
        self,
        packet: Packet,
        service: int,
        hosts: tuple[bytes, ...],
        unconfirmed: bool,
    ) -> None:
        """Send a packet to the first of the given hosts.

        Args:
            packet: The packet.
            service: Number of the service that may receive the packet.
            hosts: Addresses of agents, 4 octets each. An agent that does not
                hold the flow passes an unconfirmed packet on to the next agent.
            unconfirmed: Whether the agent that holds the flow has to notify the entry.
        """
        alternatives = hosts[1:] if unconfirmed else ()
        forward = Forward(
            service, self._origin, 0, unconfirmed, False, alternatives, packet.data
        )
        self._forwarded.value += 1
        agent = (socket.inet_ntoa(hosts[0]), self._data_port)
        self._peers.send((forward_head(forward), packet.data), agent)

    def reset(self, packet: Packet) -> None:
        """Send a reset to the caller of a packet whose flow is not open."""
        caller = (address_of(packet.source), self._caller_port)
        self._callers.send((self._codec.reset(packet),), caller)

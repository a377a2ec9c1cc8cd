"""Datagram plug-ins: the front end for flows of opaque packets.

The entry chooses a host for each flow and forwards the packets of callers to the agent
there. The agent passes them to its backend server and sends what the backend server
answers straight to the caller.
"""

from balsamspool.plugins.datagram.agent import DatagramAgentPlugin
from balsamspool.plugins.datagram.entry import DatagramEntryPlugin
from balsamspool.plugins.datagram.packet import Packet, PacketCodec

__all__ = [
    "DatagramAgentPlugin",
    "DatagramEntryPlugin",
    "Packet",
    "PacketCodec",
]

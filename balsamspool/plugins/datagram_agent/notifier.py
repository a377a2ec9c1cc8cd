"""Notifies entries which flows the backend server holds, and asks them for terms."""

import socket

from balsamspool.datagram._codec import encode_small
from balsamspool.datagram.messages import FlowEnded, FlowLocated, QueryTerms
from balsamspool.datagram.packet import Packet
from balsamspool.datagram.sockets import BatchSocket
from balsamspool.kernel.clock import now
from balsamspool.plugins.datagram_agent.flows import HostFlow
from balsamspool.plugins.datagram_agent.terms import TermsTable


class EntryNotifier:
    """Sends messages about flows and routes to the entries of their packets.

    Args:
        peer_socket: Socket for messages to entries.
        port: UDP port of the entries.
        terms: Terms that entries have told this agent.
    """

    __slots__ = ("_peer_socket", "_port", "_terms")

    def __init__(self, peer_socket: BatchSocket, port: int, terms: TermsTable) -> None:
        self._peer_socket = peer_socket
        self._port = port
        self._terms = terms

    def query_terms(self, entry: bytes, endpoint: bytes) -> None:
        """Ask an entry for the terms of a route if they are not known or are old.

        Args:
            entry: Address of the entry, 4 octets.
            endpoint: Address and port of the route, 6 octets.
        """
        if self._terms.query_due(endpoint, now()):
            self._send(entry, QueryTerms(endpoint))

    def confirm_search(self, packet: Packet, flow: HostFlow) -> None:
        """Notify an entry immediately if it searches for a flow that is held here.

        The backend server does not answer an acknowledgement, so without this notice
        the entry would go on to query the other hosts.

        Args:
            packet: Packet of the search.
            flow: Its flow.
        """
        flow.unconfirmed = True
        if flow.held and not flow.ended and not packet.opens:
            self.confirm(packet.flow_from_caller, flow)

    def confirm(self, key: bytes, flow: HostFlow) -> None:
        """Notify the entry of a flow that is held here, unless it was notified."""
        if flow.unconfirmed:
            flow.unconfirmed = False
            if flow.located is None:
                flow.located = now()
            self._send(flow.origin, FlowLocated(key))

    def end(self, key: bytes, flow: HostFlow) -> None:
        """Notify the entry of a flow that the backend server no longer holds."""
        self._send(flow.origin, FlowEnded(key))

    def _send(
        self, entry: bytes, message: FlowLocated | FlowEnded | QueryTerms
    ) -> None:
        address = (socket.inet_ntoa(entry), self._port)
        self._peer_socket.send((encode_small(message),), address)

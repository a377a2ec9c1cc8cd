"""Decides which packets of callers wait at the agent."""

from balsamspool.datagram.messages import Forward
from balsamspool.datagram.packet import Packet
from balsamspool.plugins.datagram_agent.dispatcher import RequestDispatcher
from balsamspool.plugins.datagram_agent.flows import (
    FlowTable,
    HostFlow,
    is_searched_for,
    is_surely_held,
)
from balsamspool.plugins.datagram_agent.liveness import ServerLiveness


class RequestGate:
    """Recognizes requests among the packets of callers, and lets them wait.

    Args:
        flows: Flows of the backend server.
        requests: Sends requests as the backend server can run them.
        liveness: Whether the backend server answers.
    """

    __slots__ = ("_flows", "_liveness", "_requests")

    def __init__(
        self, flows: FlowTable, requests: RequestDispatcher, liveness: ServerLiveness
    ) -> None:
        self._flows = flows
        self._requests = requests
        self._liveness = liveness

    def has_to_wait(
        self, forward: Forward, packet: Packet, flow: HostFlow, time: float
    ) -> bool:
        """Return whether a packet belongs to a request that waits for its turn.

        Args:
            forward: How the packet arrived.
            packet: The packet, which is kept if it has to wait.
            flow: Its flow.
            time: Event loop time in seconds.
        """
        key = packet.flow_from_caller
        searched = is_searched_for(flow, forward, time)
        if self._requests.holds(key) and not packet.resets:
            if searched:
                self._requests.release(key)
                return False
            if not packet.length and not packet.ends:
                return False
            self._requests.keep(forward, packet)
            return True
        # Only packets of accepted flows count as requests, because an entry that
        # searches for a flow may send its packets to a backend server that is not
        # running.
        if not packet.length or not flow.accepted:
            return False
        if not self._flows.record_data(flow, packet, time):
            return False
        surely_held = self._liveness.responsive and is_surely_held(flow, packet)
        return self._requests.begin(forward, packet, surely_held and not searched)

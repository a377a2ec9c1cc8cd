"""Test case of an agent of opaque flows between fakes, on a paused clock."""

import socket

from balsamspool.datagram._codec import forward_head, service_number
from balsamspool.datagram.messages import Forward
from balsamspool.datagram.settings import DatagramAgentSettings
from balsamspool.kernel.identity import Role
from balsamspool.plugins.datagram_agent import DatagramAgentPlugin
from tests._clock import PausedClockTestCase
from tests.datagram_fakes import (
    ACK,
    BOUNCED,
    SYN,
    FakeKernel,
    FakeSocket,
    answer,
    packet,
)

ENTRY = "10.0.1.1"
NEXT = "10.0.0.2"
BACKEND = ("10.0.0.1", 8165)
SETTINGS = DatagramAgentSettings(
    address="10.0.0.1:8172",
    service="portal",
    backend="10.0.0.1:8165",
    outbound="10.0.0.1:8162",
)


class AgentCase(PausedClockTestCase):
    async def asyncSetUp(self):
        sections = {"datagram-agent": SETTINGS}
        self.kernel = FakeKernel(Role.DATAGRAM_AGENT, "10.0.0.1", sections)
        self.agent = DatagramAgentPlugin(self.kernel)
        await self.agent.start()
        self.peers = FakeSocket.opened["10.0.0.1", 7720]
        self.backend = FakeSocket.opened["10.0.0.1", 8162]

    async def asyncTearDown(self):
        await self.kernel.stop()

    def forward(self, data, alternatives=(NEXT,), unconfirmed=True, service="portal"):
        message = Forward(
            service_number(service),
            socket.inet_aton(ENTRY),
            0,
            unconfirmed,
            False,
            tuple(socket.inet_aton(a) for a in alternatives),
            data,
        )
        self.peers.receive(forward_head(message) + data, (ENTRY, 7720))

    def reply(self, data):
        self.backend.receive(data, BACKEND)

    def return_last_packet(self):
        """Return the last packet to the agent, as the backend server does."""
        data, address = self.backend.take()[-1]
        self.assertEqual(address, BACKEND)
        self.reply(bytes((data[0] | BOUNCED,)) + data[1:])

    def request(self, **fields):
        """Forward a request with the sequence number after the one before it."""
        self.forward(packet(ACK, b"request", seq=self.sequence, **fields))
        self.sequence += len(b"request")

    def open_flow(self):
        self.sequence = 8
        self.forward(packet(SYN))
        self.reply(answer(SYN | ACK))
        self.forward(packet(ACK, b"request"))
        self.reply(answer(ACK, b"answer"))
        self.peers.take()
        self.backend.take()

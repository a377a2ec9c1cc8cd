"""Entry of opaque flows: packets reach the host of a flow although another is silent.

The backend servers are played: one holds the flow, some have no power, and the others
return each packet, which their agents pass on.
"""

import asyncio
import socket

from balsamspool.datagram._codec import encode_small
from balsamspool.datagram.messages import FlowLocated
from tests.datagram_entry_case import DATA, KEY, EntryCase
from tests.datagram_fakes import ACK, SYN, packet, published, server

ACKNOWLEDGEMENT = packet(ACK, ack=77)
# Times at which an end sends a packet again that is not acknowledged.
RETRANSMISSIONS = (0.0, 0.2, 0.6, 1.4)
# A flow whose packets reach only other hosts for this long counts as stray.
STRAY_SECONDS = 2.0


class StalledTest(EntryCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.holder = ""
        self.dead = set()
        self.reached = []

    def play_hosts(self):
        """Deliver the forwarded packets, and return those that no host holds."""
        while forwards := self.peers.take_forwards():
            for message, address in forwards:
                self.pass_along(
                    message, [address, *map(socket.inet_ntoa, message.alternatives)]
                )

    def pass_along(self, message, agents):
        for agent in agents:
            if agent in self.dead:
                return
            self.reached.append(agent)
            if agent == self.holder:
                return
        self.return_packet(bytes(message.payload), agents[-1], len(agents))

    async def retransmit(self, data):
        """Send a packet as its end does without an answer, for `STRAY_SECONDS`."""
        start = asyncio.get_running_loop().time()
        for due in RETRANSMISSIONS:
            while asyncio.get_running_loop().time() - start < due:
                await asyncio.sleep(0.05)
                self.play_hosts()
            self.receive(data)
            self.play_hosts()
        while asyncio.get_running_loop().time() - start < STRAY_SECONDS:
            await asyncio.sleep(0.05)
            self.play_hosts()

    def chain(self):
        """Return the agents along which the one forwarded packet is passed."""
        message, address = self.forwarded()
        return [address, *map(socket.inet_ntoa, message.alternatives)]

    async def test_acknowledgements_reach_a_host_behind_a_silent_one(self):
        """Guards against a download whose packets reach other hosts and none its own.

        A host that lost power a moment ago is still listed, and stops the packet that
        is passed from host to host.
        """
        self.receive(ACKNOWLEDGEMENT)
        chain = self.chain()
        self.dead, self.holder = {chain[1]}, chain[-1]
        await self.retransmit(ACKNOWLEDGEMENT)
        self.assertIn(self.holder, self.reached)
        self.assertEqual(self.resets(), [])

    async def test_acknowledgements_reach_a_host_whose_agent_restarts(self):
        """Guards against packets that reach only other hosts during a planned restart.

        The agent of the flow's host is away for longer than the first retransmissions.
        """
        self.receive(ACKNOWLEDGEMENT)
        self.holder = self.chain()[-1]
        self.dead = {self.holder}
        asyncio.get_running_loop().call_later(1.6, self.dead.clear)
        await self.retransmit(ACKNOWLEDGEMENT)
        self.assertIn(self.holder, self.reached)

    async def test_a_flow_is_searched_if_the_hosts_of_its_opening_are_silent(self):
        """Guards against a flow that stays with hosts that only this entry chose.

        The flow opened at another host, by a copy of its opening at another entry.
        """
        more = [server(n) for n in range(6, 12)]
        self.reporting |= {s.address for s in more}
        self.source.publish(*published(50, *more))
        await asyncio.sleep(1)
        self.peers.take()
        self.receive(packet(SYN, ack=1))
        chain = self.chain()
        self.dead = {chain[1]}
        self.holder = next(a for a in sorted(self.reporting) if a not in chain)
        await self.retransmit(DATA)
        self.assertIn(self.holder, self.reached)

    async def test_a_flow_behind_a_silent_host_of_its_opening_reaches_its_host(self):
        """Guards against a flow whose packets stop at a host that refused to answer."""
        self.receive(packet(SYN))
        chain = self.chain()
        self.dead, self.holder = {chain[1]}, chain[-1]
        await self.retransmit(ACKNOWLEDGEMENT)
        self.assertIn(self.holder, self.reached)

    async def test_unlikely_hosts_are_queried_although_a_likely_one_is_silent(self):
        """Guards against a search of a large service that never leaves its first hosts.

        Backend servers that started later rank before the host of the flow.
        """
        more = [server(n) for n in range(6, 41)]
        self.reporting |= {s.address for s in more}
        self.source.publish(*published(50, *more))
        await asyncio.sleep(1)
        self.peers.take()
        self.receive(DATA)
        chain = self.chain()
        unlikely = sorted(self.reporting - set(chain))
        self.dead, self.holder = {chain[3]}, unlikely[-1]
        await self.retransmit(DATA)
        self.assertIn(self.holder, self.reached)
        self.assertEqual(self.resets(), [])

    async def test_a_silent_unlikely_host_hides_no_other_host(self):
        """Guards against a search that stops at the same silent host each time."""
        more = [server(n) for n in range(6, 41)]
        self.reporting |= {s.address for s in more}
        self.source.publish(*published(50, *more))
        await asyncio.sleep(1)
        self.peers.take()
        self.receive(DATA)
        chain = self.chain()
        for silent in sorted(self.reporting - set(chain)):
            with self.subTest(silent=silent):
                self.dead = {chain[3], silent}
                await asyncio.sleep(3)
                self.reached.clear()
                await self.retransmit(DATA)
                missed = self.reporting - self.dead - set(self.reached)
                self.assertEqual(missed, set())

    async def test_a_flow_that_is_used_again_after_a_pause_causes_no_search(self):
        """Guards against copies to every host whenever a caller was idle."""
        self.receive(packet(SYN))
        chain = self.chain()
        self.receive(ACKNOWLEDGEMENT)
        self.forwarded()
        await asyncio.sleep(5)
        self.peers.take()
        self.receive(DATA)
        self.assertEqual(self.chain(), chain)

    async def test_a_flow_that_is_confirmed_meanwhile_is_queried_no_further(self):
        """Guards against copies to other hosts after the host of a flow is known."""
        self.receive(ACKNOWLEDGEMENT)
        self.peers.take()
        await asyncio.sleep(0.2)
        self.receive(ACKNOWLEDGEMENT)
        self.peers.take()
        self.peers.receive(encode_small(FlowLocated(KEY)), ("10.0.0.4", 7720))
        self.receive(ACKNOWLEDGEMENT)
        self.assertEqual(self.forwarded()[1], "10.0.0.4")

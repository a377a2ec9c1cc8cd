"""Test case of an entry of opaque flows between fakes, on a paused clock."""

import asyncio

from balsamspool.datagram._codec import encode_small, returned_head
from balsamspool.datagram.messages import FlowLocated, Report
from balsamspool.datagram.settings import DatagramEntrySettings
from balsamspool.kernel.identity import Role
from balsamspool.placement.load import LoadReport
from balsamspool.plugins.catalog import CatalogPlugin
from balsamspool.plugins.catalog.plugin import CatalogSettings
from balsamspool.plugins.datagram_entry import DatagramEntryPlugin
from tests._clock import PausedClockTestCase
from tests.datagram_fakes import (
    ACK,
    CALLER,
    CODEC,
    SYN,
    FakeKernel,
    FakeSocket,
    FakeSource,
    packet,
    published,
    routes,
    server,
)

KEY = CODEC.decode(packet(SYN)).flow_from_caller
DATA = packet(ACK, b"request", ack=77)
IDLE = LoadReport(0, 0.0, 0, True, 0.1)


class EntryCase(PausedClockTestCase):
    source_type = FakeSource
    link_mbps: float | None = None
    # Longer than the time within which expired catalog entries are listed again.
    settle_seconds = 3.0

    def fill_source(self):
        """Fill the catalog before the entry starts."""
        self.source.records = [routes(1), *published(2, *self.servers)]

    async def asyncSetUp(self):
        sections = {
            "datagram-entry": DatagramEntrySettings(
                address="10.0.1.1:8172", link_mbps=self.link_mbps
            ),
            "catalog": CatalogSettings(),
        }
        self.kernel = FakeKernel(Role.DATAGRAM_ENTRY, "10.0.1.1", sections)
        self.source = self.source_type()
        self.servers = [server(n) for n in range(1, 6)]
        self.fill_source()
        self.kernel.known.append(self.source)
        self.catalog = CatalogPlugin(self.kernel)
        self.kernel.known.append(self.catalog)
        self.entry = DatagramEntryPlugin(self.kernel)
        await self.catalog.start()
        await self.entry.start()
        self.peers = FakeSocket.opened["10.0.1.1", 7720]
        self.callers = FakeSocket.opened["10.0.1.1", 8172]
        self.reporting = {s.address for s in self.servers}
        reports = asyncio.create_task(self.report())
        self.kernel.tasks.append(reports)
        await asyncio.sleep(self.settle_seconds)
        self.peers.take()

    async def asyncTearDown(self):
        await self.kernel.stop()

    async def report(self):
        while True:
            for address in self.reporting:
                self.peers.receive(encode_small(Report(IDLE)), (address, 7720))
            await asyncio.sleep(0.1)

    def receive(self, data):
        self.callers.receive(data, CALLER)

    def forwarded(self):
        """Return the one packet that was forwarded, and the agent."""
        ((message, address),) = self.peers.take_forwards()
        return message, address

    def return_packet(self, data, agent, hops, skipped=False, unsure=False):
        self.peers.receive(returned_head(hops, skipped, unsure) + data, (agent, 7720))

    def open_flow(self):
        self.receive(packet(SYN))
        _, agent = self.forwarded()
        self.peers.receive(encode_small(FlowLocated(KEY)), (agent, 7720))
        return agent

    def resets(self):
        return [data for data, _ in self.callers.take()]

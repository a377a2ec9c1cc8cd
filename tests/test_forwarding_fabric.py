"""The fabric stand-in: a seed repeats its faults, and its state is bounded."""

import asyncio
from unittest import IsolatedAsyncioTestCase

from standins.fabric import Fabric


class Recorder(asyncio.DatagramProtocol):
    def __init__(self):
        self.received = []

    def connection_made(self, transport):
        self.transport = transport
        self.address = transport.get_extra_info("sockname")

    def datagram_received(self, data, addr):
        self.received.append(data[0])


class FabricTest(IsolatedAsyncioTestCase):
    async def recorders(self, count):
        loop = asyncio.get_running_loop()
        found = []
        for _ in range(count):
            _, recorder = await loop.create_datagram_endpoint(
                Recorder, ("127.0.0.1", 0)
            )
            self.addCleanup(recorder.transport.close)
            found.append(recorder)
        return found

    async def run_once(self, seed, **faults):
        entries = await self.recorders(3)
        fabric = Fabric([entry.address for entry in entries], seed)
        self.addCleanup(fabric.close)
        # The flow is open before the faults begin, and all datagrams are sent before
        # the first delayed one is delivered, so that the order of arrival depends on
        # the seed alone.
        fabric.forward_to_entry(b"\xff", ("127.0.0.1", 1))
        await asyncio.sleep(0.05)
        fabric.inward_faults.delay_seconds = 0.3
        for name, value in faults.items():
            setattr(fabric.inward_faults, name, value)
        for number in range(100):
            fabric.forward_to_entry(bytes([number]), ("127.0.0.1", 1))
        await self.wait_for_delayed(entries, fabric.inward_faults.delay_seconds)
        return [entry.received for entry in entries]

    async def wait_for_delayed(self, entries, delay):
        """Wait until no datagram has arrived for longer than a delayed one takes."""
        count = None
        async with asyncio.timeout(20):
            while count != (count := sum(len(e.received) for e in entries)):
                await asyncio.sleep(delay + 0.2)

    async def test_faults_repeat_with_the_seed(self):
        """Guards against a failing run that cannot be repeated."""
        faults = {"loss": 0.3, "duplication": 0.3, "reordering": 0.3}
        first = await self.run_once(4, **faults)
        self.assertEqual(first, await self.run_once(4, **faults))
        self.assertNotEqual(first, await self.run_once(5, **faults))

    async def test_each_fault_has_its_effect(self):
        """Guards against a test that passes because its fault never happened."""
        lossy = await self.run_once(4, loss=0.5)
        self.assertLess(sum(map(len, lossy)), 80)
        doubled = await self.run_once(4, duplication=1.0)
        self.assertEqual(sum(map(len, doubled)), 201)
        late = await self.run_once(4, reordering=0.5)
        self.assertEqual(sum(map(len, late)), 101)
        self.assertNotEqual(late, [sorted(got) for got in late])

    async def test_cut_works_in_one_direction(self):
        """Guards against a one-way cut that cuts both ways."""
        entry, caller = await self.recorders(2)
        fabric = Fabric([entry.address])
        await fabric.open(("127.0.0.1", 0))
        self.addCleanup(fabric.close)
        fabric.unreachable.add(entry.address)
        fabric.forward_to_entry(b"a", caller.address)
        fabric.forward_to_caller(b"b", entry.address, caller.address)
        await asyncio.sleep(0.05)
        self.assertEqual((entry.received, caller.received), ([], [98]))
        fabric.unreachable.clear()
        fabric.blocked_senders.add(entry.address)
        fabric.forward_to_entry(b"a", caller.address)
        fabric.forward_to_caller(b"b", entry.address, caller.address)
        await asyncio.sleep(0.05)
        self.assertEqual((entry.received, caller.received), ([97], [98]))

    async def test_flow_table_is_bounded(self):
        """Guards against a long test that runs out of sockets."""
        (entry,) = await self.recorders(1)
        fabric = Fabric([entry.address], max_flows=4)
        self.addCleanup(fabric.close)
        for port in range(1, 30):
            fabric.forward_to_entry(b"a", ("127.0.0.1", port))
            await asyncio.sleep(0.005)
        self.assertEqual(fabric.flows, 4)

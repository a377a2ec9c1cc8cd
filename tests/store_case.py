"""Base of the tests that read the stand-in of the store through the adapter."""

from types import SimpleNamespace
from unittest import IsolatedAsyncioTestCase

from aiohttp import web

from balsamspool.kernel.counters import CounterSet
from standins.ports import ADDRESS, free_port
from standins.store import StoreStandIn
from tests.datagram_fakes import ADAPTER  # noqa: F401  puts the adapter on the path


class StoreCase(IsolatedAsyncioTestCase):
    """Starts the stand-in `store` at `port`, and the adapter's `source`."""

    async def asyncSetUp(self):
        from fleet_adapter.store import StoreSettings, StoreSource

        self.store = StoreStandIn()
        runner = web.AppRunner(self.store.application())
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        self.port = free_port()
        await web.TCPSite(runner, ADDRESS, self.port).start()
        settings = StoreSettings(address=f"{ADDRESS}:{self.port}")
        kernel = SimpleNamespace(
            settings=SimpleNamespace(section=lambda _: settings), counters=CounterSet()
        )
        self.source = StoreSource(kernel)
        self.addAsyncCleanup(self.source.stop)

"""A stop while the platform is being watched."""

import asyncio
from types import SimpleNamespace
from unittest import IsolatedAsyncioTestCase, mock

from prometheus_client import CollectorRegistry

from balsamspool.plugins.platform.pace import Pace
from balsamspool.plugins.platform.plugin import PlatformPlugin, PlatformSettings
from standins.fleet import free_port, serve
from standins.platform import PlatformStandIn


class PlatformStopTest(IsolatedAsyncioTestCase):
    def kernel(self, addresses):
        settings = PlatformSettings(addresses=addresses, watch_seconds=5.0)
        self.tasks = []

        def spawn(work, name):
            task = asyncio.create_task(work, name=name)
            self.tasks.append(task)
            return task

        return SimpleNamespace(
            settings=SimpleNamespace(section=lambda name: settings),
            metrics=CollectorRegistry(),
            spawn=spawn,
        )

    async def stop_while_watching(self, down):
        platform, port = PlatformStandIn(), free_port()
        platform.down = down
        runner = await serve(platform.application(), port)
        self.addAsyncCleanup(runner.cleanup)
        plugin = PlatformPlugin(self.kernel([f"http://127.0.0.1:{port}"]))
        await plugin.start()
        plugin.watch("configuration", lambda: 0, lambda value: None)
        await asyncio.sleep(0.2)
        await plugin.stop()
        await asyncio.wait(self.tasks, timeout=3)

    async def test_watch_ends_with_the_plugin(self):
        """Guards against exit code 1 after a watch uses a closed session."""
        for down in (True, False):
            with self.subTest(down=down):
                with (
                    mock.patch.object(Pace, "spread_delay", return_value=0.0),
                    mock.patch.object(Pace, "next_call_delay", return_value=0.0),
                ):
                    await self.stop_while_watching(down)
                self.assertTrue(all(task.cancelled() for task in self.tasks))

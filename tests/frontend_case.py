"""Base class of the front end's tests."""

import asyncio
import tempfile
from pathlib import Path
from typing import Any
from unittest import IsolatedAsyncioTestCase

from tests.frontend_harness import AgentHarness, MemoryCaller


class FrontendCase(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory(prefix="balsamspool-")
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    async def asyncTearDown(self):
        current = asyncio.current_task()
        tasks = [task for task in asyncio.all_tasks() if task is not current]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def open_agent(
        self, service: dict[str, Any] | None = None, **frontend: Any
    ) -> AgentHarness:
        agent = AgentHarness(self.folder, service, frontend)
        await agent.frontend.start()
        return agent

    async def open_pair(
        self, service: dict[str, Any] | None = None, **frontend: Any
    ) -> tuple[AgentHarness, MemoryCaller]:
        agent = await self.open_agent(service, **frontend)
        caller = MemoryCaller(agent)
        await caller.connect()
        return agent, caller

    def dropped(self, agent: AgentHarness, reason: str) -> float:
        name = "balsamspool_frontend_dropped_datagrams_total"
        return agent.metric(name, reason=reason)

    async def until(self, condition, seconds: float = 5.0) -> None:
        async with asyncio.timeout(seconds):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.002)

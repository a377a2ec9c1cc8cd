"""A fleet whose stand-ins run as separate processes."""

import asyncio
from asyncio.subprocess import Process

from aiohttp import ClientError, ClientSession

from standins.fleet import START_TIMEOUT_SECONDS, Fleet, Host, start_module
from standins.ports import ADDRESS, free_port

RETRY_INTERVAL_SECONDS = 0.05


class ProcessFleet(Fleet):
    """Runs platform, fabric and backend servers as separate processes."""

    _standins: list[Process]
    _fabric_controls: dict[str, int]

    async def start(self, entries: int) -> None:
        """Start all processes and wait until they are ready."""
        self._standins = []
        self._fabric_controls = {}
        await super().start(entries)

    async def close(self) -> None:
        """Stop all processes."""
        await super().close()
        for process in self._standins:
            if process.returncode is None:
                process.terminate()
        for process in self._standins:
            await process.wait()

    async def refresh_fabrics(self) -> None:
        """Make the fabrics spray datagrams across the current entries."""
        for name, port in self._fabric_controls.items():
            await self._put_entries(name, port)

    async def publish(self, name: str, value: str) -> int:
        """Publish a value on the platform and return its revision."""
        url = f"{self.platform_url}/values/{name}"
        async with ClientSession() as session, session.put(url, data=value) as answer:
            return (await answer.json())["revision"]

    async def executed(self, host: Host) -> list[str]:
        """Return the IDs of the requests that a backend server ran."""
        url = f"http://{ADDRESS}:{host.backend_port}/executed"
        async with ClientSession() as session, session.get(url) as answer:
            return await answer.json()

    async def _start_platform(self, port: int) -> None:
        await self._start_standin("platform", f"--port={port}")
        await _wait_for(f"http://{ADDRESS}:{port}/calls")

    async def _start_fabric(self, service: str, address: tuple[str, int]) -> None:
        control = free_port()
        await self._start_standin(
            "fabric", f"--port={address[1]}", f"--control_port={control}"
        )
        await _wait_for(f"http://{ADDRESS}:{control}/entries")
        self._fabric_controls[service] = control
        await self._put_entries(service, control)

    async def _start_backend_server(self, name: str, port: int) -> None:
        await self._start_standin("backend_server", f"--name={name}", f"--port={port}")
        await _wait_for(f"http://{ADDRESS}:{port}/health")

    async def _start_standin(self, *arguments: str) -> None:
        log = self.folder / f"standin-{len(self._standins)}.log"
        self._standins.append(await start_module(log, "standins", *arguments))

    async def _put_entries(self, service: str, port: int) -> None:
        url = f"http://{ADDRESS}:{port}/entries"
        entries = self.entry_addresses(service)
        async with ClientSession() as session:
            await session.put(url, json=entries)


async def _wait_for(url: str) -> None:
    """Wait until something answers at a URL, with any status."""
    async with asyncio.timeout(START_TIMEOUT_SECONDS), ClientSession() as session:
        while True:
            try:
                async with session.get(url):
                    return
            except ClientError:
                await asyncio.sleep(RETRY_INTERVAL_SECONDS)

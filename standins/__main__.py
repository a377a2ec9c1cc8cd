"""Runs each stand-in as a separate process."""

import asyncio

from aiohttp import web
from fire import Fire

from standins.backend_server import BackendServerStandIn
from standins.fabric import Fabric
from standins.platform import PlatformStandIn

ADDRESS = "127.0.0.1"


def platform(port: int) -> None:
    """Serve the platform on a port."""
    _run(PlatformStandIn().application(), port)


def backend_server(name: str, port: int) -> None:
    """Serve a backend server on a port."""
    _run(BackendServerStandIn(name).application(), port)


def fabric(port: int, control_port: int) -> None:
    """Spray the datagrams of a UDP port.

    Args:
        port: Public UDP port.
        control_port: TCP port on which ``PUT /entries`` accepts a JSON list of
            addresses.
    """
    asyncio.run(_fabric(port, control_port))


async def _fabric(port: int, control_port: int) -> None:
    stand_in = Fabric([])
    await stand_in.open((ADDRESS, port))

    async def put_entries(request: web.Request) -> web.Response:
        stand_in.entries = [
            (host, entry_port) for host, entry_port in await request.json()
        ]
        return web.Response()

    application = web.Application()
    application.router.add_put("/entries", put_entries)
    runner = web.AppRunner(application)
    await runner.setup()
    await web.TCPSite(runner, ADDRESS, control_port).start()
    await asyncio.Event().wait()


def _run(application: web.Application, port: int) -> None:
    web.run_app(application, host=ADDRESS, port=port, print=None)


if __name__ == "__main__":
    Fire(
        {"platform": platform, "backend_server": backend_server, "fabric": fabric},
        name="standins",
    )

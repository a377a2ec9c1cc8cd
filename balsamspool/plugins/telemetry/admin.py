"""Admin pages of a process over HTTP."""

import asyncio
from typing import Annotated

import msgspec
from aiohttp import web
from msgspec import Meta
from opentelemetry.sdk.trace import TracerProvider
from prometheus_client import generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from balsamspool.kernel.identity import Role
from balsamspool.kernel.lifecycle import Kernel, ProcessState
from balsamspool.kernel.registry import Plugin, register
from balsamspool.kernel.settings import Section
from balsamspool.plugins.telemetry.tracing import start_tracing


class TelemetrySettings(Section, frozen=True):
    """Settings of the telemetry plug-in.

    Attributes:
        otlp_endpoint: URL to which spans are sent over OTLP/HTTP, None for no traces.
        trace_ratio: Share of new traces that is recorded.
    """

    otlp_endpoint: str | None = None
    trace_ratio: Annotated[float, Meta(ge=0, le=1)] = 0.01


@register("telemetry", roles=[Role.ENTRY, Role.AGENT])
class TelemetryPlugin(Plugin):
    """Serves ``/metrics``, ``/healthz``, ``/readyz`` and ``/status``, sends traces.

    Args:
        kernel: Kernel that runs the plug-in.
    """

    settings_type = TelemetrySettings

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._settings: TelemetrySettings = kernel.settings.section("telemetry")
        self._runner: web.AppRunner | None = None
        self._tracing: TracerProvider | None = None

    async def start(self) -> None:
        """Open the admin port and start to send traces."""
        endpoint = self._settings.otlp_endpoint
        if endpoint is not None:
            ratio = self._settings.trace_ratio
            self._tracing = start_tracing(self._kernel.identity, endpoint, ratio)
        application = web.Application()
        application.router.add_get("/metrics", self._metrics)
        application.router.add_get("/healthz", self._health)
        application.router.add_get("/readyz", self._ready)
        application.router.add_get("/status", self._status)
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        identity = self._kernel.identity
        site = web.TCPSite(self._runner, identity.address, identity.admin_port)
        await site.start()

    async def stop(self) -> None:
        """Close the admin port and send the buffered spans."""
        if self._runner is not None:
            await self._runner.cleanup()
        if self._tracing is not None:
            # The exporter blocks until the collector answers or its timeout ends.
            await asyncio.to_thread(self._tracing.shutdown)

    def _state(self) -> ProcessState:
        state = self._kernel.state
        leaving = any(plugin.leaving for plugin in self._kernel.plugins.values())
        if state is ProcessState.ACCEPTING and leaving:
            return ProcessState.LEAVING
        return state

    async def _metrics(self, request: web.Request) -> web.Response:
        body = generate_latest(self._kernel.metrics)
        return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE_LATEST})

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _ready(self, request: web.Request) -> web.Response:
        waiting = [
            name for name, plugin in self._kernel.plugins.items() if not plugin.ready
        ]
        state = self._state()
        if state is ProcessState.ACCEPTING and not waiting:
            return web.Response(text="ready\n")
        return web.Response(status=503, text=f"{state.value}, waiting for {waiting}\n")

    async def _status(self, request: web.Request) -> web.Response:
        identity = self._kernel.identity
        body = {
            "instance": identity.instance,
            "role": identity.role.value,
            "failure_domain": identity.failure_domain,
            "incarnation": identity.incarnation.hex(),
            "state": self._state().value,
            "pauses": self._kernel.pauses,
            "plugins": {
                name: plugin.status() for name, plugin in self._kernel.plugins.items()
            },
        }
        return web.Response(
            body=msgspec.json.encode(body), content_type="application/json"
        )

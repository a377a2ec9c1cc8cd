"""Plug-in that answers readiness probes and serves metrics, status and pages."""

from urllib.parse import parse_qsl

import msgspec

from balsamspool.kernel.errors import ResultError
from balsamspool.kernel.identity import Role
from balsamspool.kernel.lifecycle import Kernel, ProcessState
from balsamspool.kernel.registry import JsonPage, Plugin, register
from balsamspool.kernel.settings import Section, split_endpoint
from balsamspool.minihttp.server import Page, PageServer


class AdminSettings(Section, frozen=True):
    """Settings of the admin plug-in.

    Attributes:
        ready_address: IPv4 address and port at which readiness probes arrive.
        ready_path: Path of the readiness probe.
    """

    ready_address: str
    ready_path: str = "/readyz"

    def problem(self) -> tuple[str, str] | None:
        """Return the field and what is wrong with it, or None if all is valid."""
        try:
            split_endpoint(self.ready_address)
        except ValueError as error:
            return "ready_address", str(error)
        return None


@register("admin", roles=[Role.DATAGRAM_ENTRY, Role.DATAGRAM_AGENT])
class AdminPlugin(Plugin):
    """Serves the readiness probe, ``/metrics``, ``/status`` and pages of plug-ins.

    Args:
        kernel: Kernel that runs the plug-in.
    """

    settings_type = AdminSettings

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._settings: AdminSettings = kernel.settings.section("admin")
        self._probe_server = PageServer(self._probe_page)
        self._admin_server = PageServer(self._admin_page)

    async def start(self) -> None:
        """Listen for readiness probes and for requests to the admin pages."""
        await self._probe_server.start(*split_endpoint(self._settings.ready_address))
        identity = self._kernel.identity
        await self._admin_server.start(identity.address, identity.admin_port)

    async def stop(self) -> None:
        """Stop listening."""
        self._probe_server.close()
        self._admin_server.close()

    async def _probe_page(self, path: str, query: str) -> Page:
        if path != self._settings.ready_path:
            return Page(404, b"")
        return self._readiness()

    def _readiness(self) -> Page:
        plugins = self._kernel.plugins
        waiting = [name for name, plugin in plugins.items() if not plugin.ready]
        if self._kernel.state is ProcessState.ACCEPTING and not waiting:
            return Page(200, b"ready\n")
        state = self._kernel.state.value
        return Page(503, f"{state}, waiting for {waiting}\n".encode())

    async def _admin_page(self, path: str, query: str) -> Page:
        match path:
            case "/metrics":
                return self._metrics()
            case "/status":
                return self._status()
            case "/readyz":
                return self._readiness()
            case "/healthz":
                return Page(200, b"ok\n")
            case _:
                return self._plugin_page(path, query)

    def _plugin_page(self, path: str, query: str) -> Page:
        for plugin in self._kernel.plugins.values():
            page = plugin.json_pages().get(path)
            if page is not None:
                return _json_page(page, query)
        return Page(404, b"")

    def _metrics(self) -> Page:
        # Imported here so that a process that is never scraped starts faster.
        from prometheus_client import generate_latest
        from prometheus_client.exposition import CONTENT_TYPE_LATEST

        return Page(200, generate_latest(self._kernel.counters), CONTENT_TYPE_LATEST)

    def _status(self) -> Page:
        identity = self._kernel.identity
        body = {
            "instance": identity.instance,
            "role": identity.role.value,
            "failure_domain": identity.failure_domain,
            "incarnation": identity.incarnation.hex(),
            "state": self._kernel.state.value,
            "pauses": self._kernel.pauses,
            "plugins": {
                name: plugin.status() for name, plugin in self._kernel.plugins.items()
            },
        }
        return Page(200, msgspec.json.encode(body), "application/json")


def _json_page(page: JsonPage, query: str) -> Page:
    try:
        body = page(dict(parse_qsl(query)))
    except ResultError as error:
        return Page(400, f"{error}\n".encode())
    return Page(200, msgspec.json.encode(body), "application/json")

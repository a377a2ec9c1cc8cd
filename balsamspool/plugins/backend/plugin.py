"""Plug-in that owns the connection to the backend server."""

from contextlib import AbstractAsyncContextManager

from balsamspool.kernel.identity import Role
from balsamspool.kernel.lifecycle import Kernel
from balsamspool.kernel.registry import Plugin, register
from balsamspool.kernel.settings import Port, Section
from balsamspool.plugins.backend.client import BackendAnswer, BackendClient
from balsamspool.requests.request import Request

# Methods that carry no body, so that no empty chunked body is sent.
_BODYLESS_METHODS = frozenset(("GET", "HEAD", "DELETE", "OPTIONS"))


class BackendSettings(Section, frozen=True):
    """Settings of the backend plug-in.

    Attributes:
        host: IPv4 address of the backend server.
        port: TCP port of the backend server.
    """

    host: str
    port: Port


@register("backend", roles=[Role.AGENT], requires=["configuration"])
class BackendPlugin(Plugin):
    """Dispatches requests to the backend server beside the agent.

    Args:
        kernel: Kernel that runs the plug-in.
    """

    settings_type = BackendSettings

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._settings: BackendSettings = kernel.settings.section("backend")
        self._client: BackendClient | None = None

    async def start(self) -> None:
        """Open the HTTP client."""
        address = f"http://{self._settings.host}:{self._settings.port}"
        self._client = BackendClient(address)

    async def stop(self) -> None:
        """Close the HTTP client."""
        if self._client is not None:
            await self._client.close()

    def dispatch(self, request: Request) -> AbstractAsyncContextManager[BackendAnswer]:
        """Send a request to the backend server, once.

        Args:
            request: The request with its deadline.

        Returns:
            A context that yields the answer and cancels the request when it is left.
        """
        assert self._client is not None
        headers = [pair for pair in request.headers if pair[0] != "request-timeout-ms"]
        if request.deadline is not None:
            left = str(max(1, int(request.deadline.remaining * 1000)))
            headers.append(("request-timeout-ms", left))
        if request.trace_context:
            headers = [pair for pair in headers if pair[0] != "traceparent"]
            headers.append(("traceparent", request.trace_context))
        body = None if request.method in _BODYLESS_METHODS else request.body
        return self._client.send(
            request.method, request.path, headers, body, request.deadline
        )

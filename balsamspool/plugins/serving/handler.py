"""Runs requests: classify, admit, dispatch, stream the answer."""

import logging
from typing import assert_never

from balsamspool.kernel.clock import Deadline
from balsamspool.kernel.errors import ResultError
from balsamspool.kernel.identity import Role
from balsamspool.kernel.lifecycle import Kernel
from balsamspool.kernel.registry import Plugin, register
from balsamspool.kernel.settings import Name, Section
from balsamspool.plugins.backend import BackendPlugin
from balsamspool.plugins.configuration import (
    ConfigurationPlugin,
    DownloadRoute,
    FeedRoute,
    RequestRoute,
    Service,
)
from balsamspool.plugins.configuration.codes import NO_CONFIGURATION
from balsamspool.plugins.configuration.text import Route
from balsamspool.plugins.serving.codes import DEADLINE_PASSED, NO_ROUTE
from balsamspool.requests.answer import ResponseWriter, write_error
from balsamspool.requests.request import Request

_logger = logging.getLogger(__name__)

TIMEOUT_HEADER = "request-timeout-ms"


class ServingSettings(Section, frozen=True):
    """Settings of the serving plug-in.

    Attributes:
        service: Name of the service whose backend server stands beside the agent.
    """

    service: Name


@register("serving", roles=[Role.AGENT], requires=["configuration", "backend"])
class ServingPlugin(Plugin):
    """Runs the requests of one service.

    Args:
        kernel: Kernel that runs the plug-in.
    """

    settings_type = ServingSettings

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._settings: ServingSettings = kernel.settings.section("serving")
        self._configuration = kernel.plugin(ConfigurationPlugin)
        self._backend = kernel.plugin(BackendPlugin)

    @property
    def service_name(self) -> str:
        """Name of the service that this agent serves."""
        return self._settings.service

    async def handle(self, request: Request, writer: ResponseWriter) -> None:
        """Run a request and write its answer.

        Args:
            request: The request.
            writer: Where the answer goes.
        """
        try:
            service = self._service()
            route = service.route(request.path)
            if route is None:
                raise ResultError(NO_ROUTE, f"no route for path {request.path!r}")
            request.deadline = self._deadline(request, service, route)
            await self._dispatch(request, writer)
        except ResultError as error:
            await write_error(writer, error)

    def _service(self) -> Service:
        service = self._configuration.service(self._settings.service)
        if service is None:
            detail = f"service {self._settings.service!r} is not configured"
            raise ResultError(NO_CONFIGURATION, detail)
        return service

    def _deadline(
        self, request: Request, service: Service, route: Route
    ) -> Deadline | None:
        match route:
            case FeedRoute():
                return None
            case RequestRoute() | DownloadRoute():
                limit = route.deadline_ms or service.limits.deadline_ms
            case _:
                assert_never(route)
        asked = request.header(TIMEOUT_HEADER)
        if asked is not None and asked.isdigit():
            limit = min(limit, int(asked))
        return Deadline.after(limit / 1000)

    async def _dispatch(self, request: Request, writer: ResponseWriter) -> None:
        if request.deadline is not None and request.deadline.expired:
            raise ResultError(DEADLINE_PASSED, f"{request.method} {request.path}")
        async with self._backend.dispatch(request) as answer:
            await writer.start(answer.status, answer.headers)
            async for chunk in answer.chunks():
                await writer.write(chunk)
        await writer.finish()

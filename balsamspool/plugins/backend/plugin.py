"""Plug-in that sends requests to the backend server and monitors its health."""

import logging
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from opentelemetry.trace import SpanKind, get_tracer

from balsamspool.kernel.clock import now
from balsamspool.kernel.errors import ResultError
from balsamspool.kernel.identity import Role
from balsamspool.kernel.lifecycle import Kernel
from balsamspool.kernel.registry import Plugin, register
from balsamspool.kernel.settings import Port, Section
from balsamspool.plugins.backend.client import (
    BackendAnswer,
    BackendClient,
    without_connection_headers,
)
from balsamspool.plugins.backend.codes import (
    BACKEND_FAILED,
    BACKEND_TIMEOUT,
    BACKEND_UNREACHABLE,
)
from balsamspool.plugins.backend.events import (
    BACKEND_DRAINING,
    BACKEND_HEALTHY,
    BACKEND_SUSPENDED,
    BACKEND_TRIAL,
)
from balsamspool.plugins.backend.health import (
    ConnectFailed,
    HealthPoller,
    HealthReport,
    Healthy,
    Unhealthy,
)
from balsamspool.plugins.backend.outlier import HealthState, OutlierDetector
from balsamspool.requests.request import TIMEOUT_HEADER, Headers, Request
from balsamspool.requests.tracing import current_trace_context, parent_of

_logger = logging.getLogger(__name__)
_tracer = get_tracer("balsamspool")

# Requests with these methods are sent without a body. If their empty body were passed
# to aiohttp as a stream, it would be sent in chunked encoding.
_BODYLESS_METHODS = frozenset(("GET", "HEAD", "DELETE", "OPTIONS"))
# Header fields that are not copied from the caller's request to the request for the
# backend server, because the agent sets them itself or because they only concern the
# hop to the agent.
_UNCOPIED_HEADERS = frozenset(
    (TIMEOUT_HEADER, "traceparent", "expect", "balsamspool-delegation")
)

# Shortest time after the dispatch at which a timeout counts as a failure of the backend
# server. If a timeout comes earlier, the caller's deadline was too short.
MIN_COUNTED_TIMEOUT_SECONDS = 1.0

_STATE_EVENTS = {
    HealthState.SUSPENDED: BACKEND_SUSPENDED,
    HealthState.TRIAL: BACKEND_TRIAL,
    HealthState.HEALTHY: BACKEND_HEALTHY,
}


class BackendSettings(Section, frozen=True):
    """Settings of the backend plug-in.

    Attributes:
        host: IPv4 address of the backend server.
        port: TCP port of the backend server.
        poll_seconds: Average time between two polls of health and load.
    """

    host: str
    port: Port
    poll_seconds: float = 1.0

    def problem(self) -> tuple[str, str] | None:
        """Return the field and what is wrong with it, or None if all is valid."""
        if self.poll_seconds <= 0:
            return "poll_seconds", f"{self.poll_seconds} is not positive"
        return None


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
        address = f"http://{self._settings.host}:{self._settings.port}"
        self._address = address
        self._client: BackendClient | None = None
        self._poller = HealthPoller(address, self._settings.poll_seconds)
        self._detector = OutlierDetector()
        self._draining = False
        self._draining_callbacks: list[Callable[[], None]] = []
        self._recovery_callbacks: list[Callable[[], None]] = []

    @property
    def draining(self) -> bool:
        """Whether the backend server is draining and wants no new requests."""
        return self._draining

    @property
    def usable(self) -> bool:
        """Whether outlier detection lets the backend server get requests."""
        return self._detector.state is not HealthState.SUSPENDED

    async def start(self) -> None:
        """Open the HTTP client and start to poll the health."""
        self._client = BackendClient(self._address)
        self._kernel.spawn(self._poller.run(self._on_report), "backend health")

    async def stop(self) -> None:
        """Close the HTTP client."""
        if self._client is not None:
            await self._client.close()

    def status(self) -> dict[str, object]:
        """Return the state and the load of the backend server."""
        load = self._poller.load
        return {
            "standing": self._detector.state.value,
            "draining": self._draining,
            "first_byte_seconds": round(self._detector.first_byte_seconds, 6),
            "reported_busy": load.busy if load else None,
            "reported_slots": load.slots if load else None,
        }

    def on_recovery(self, callback: Callable[[], None]) -> None:
        """Register a callback for the end of a suspension, when a trial begins."""
        self._recovery_callbacks.append(callback)

    def on_draining(self, callback: Callable[[], None]) -> None:
        """Register a callback for when the backend server starts or stops draining."""
        self._draining_callbacks.append(callback)

    @asynccontextmanager
    async def dispatch(self, request: Request) -> AsyncIterator[BackendAnswer]:
        """Send a request to the backend server at most once.

        Args:
            request: The request with its deadline.

        Yields:
            The answer. Leaving the context early cancels the request.

        Raises:
            ResultError: With code 1701 if no connection was opened, 1702 or 1703 if
                the outcome is unknown.
        """
        assert self._client is not None
        previous, started = self._detector.state, now()
        context = parent_of(request.trace_context)
        with _tracer.start_as_current_span(
            "dispatch", context=context, kind=SpanKind.CLIENT
        ):
            try:
                async with self._client.send(
                    request.method,
                    request.path,
                    _request_headers(request),
                    _request_body(request),
                    request.deadline,
                ) as answer:
                    self._detector.record_first_byte(now() - started)
                    yield answer
                self._detector.record_success()
            except ResultError as error:
                self._record_failure(error, now() - started)
                raise
            finally:
                self._log_state_change(previous)

    def _record_failure(self, error: ResultError, seconds: float) -> None:
        if error.code is BACKEND_UNREACHABLE:
            self._detector.record_failed_connect()
        elif error.code is BACKEND_FAILED or (
            error.code is BACKEND_TIMEOUT and seconds >= MIN_COUNTED_TIMEOUT_SECONDS
        ):
            self._detector.record_failure()

    def _on_report(self, report: HealthReport) -> None:
        previous = self._detector.state
        match report:
            case Healthy(draining):
                self._set_draining(draining)
                if self._detector.record_report(healthy=True):
                    for callback in self._recovery_callbacks:
                        callback()
            case Unhealthy():
                self._detector.record_report(healthy=False)
            case ConnectFailed():
                self._detector.record_failed_connect()
        self._log_state_change(previous)

    def _set_draining(self, draining: bool) -> None:
        if draining != self._draining:
            self._draining = draining
            BACKEND_DRAINING.log(_logger, draining=draining)
            for callback in self._draining_callbacks:
                callback()

    def _log_state_change(self, previous: HealthState) -> None:
        state = self._detector.state
        if state is not previous:
            _STATE_EVENTS[state].log(_logger, address=self._address)


def _request_headers(request: Request) -> Headers:
    fields = without_connection_headers(request.headers)
    fields = [pair for pair in fields if pair[0] not in _UNCOPIED_HEADERS]
    if request.content is not None or request.method in _BODYLESS_METHODS:
        # aiohttp sets content-length itself for a body that is not streamed. If the
        # caller's content-length were kept for a request without a body, the backend
        # server would wait for the body until the deadline.
        fields = [pair for pair in fields if pair[0] != "content-length"]
    if request.deadline is not None:
        remaining_ms = str(max(1, int(request.deadline.remaining * 1000)))
        fields.append((TIMEOUT_HEADER, remaining_ms))
    if trace_context := current_trace_context(request.trace_context):
        fields.append(("traceparent", trace_context))
    return fields


def _request_body(request: Request) -> AsyncIterator[bytes] | bytes | None:
    if request.content is not None:
        return request.content or None
    return None if request.method in _BODYLESS_METHODS else request.body

"""Plug-in that owns the connection to the backend server."""

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
    HealthPoller,
    HealthReport,
    Healthy,
    Refused,
    Unwell,
)
from balsamspool.plugins.backend.outlier import OutlierJudge, Standing
from balsamspool.requests.request import TIMEOUT_HEADER, Headers, Request
from balsamspool.requests.tracing import current_trace_context, parent_of

_logger = logging.getLogger(__name__)
_tracer = get_tracer("balsamspool")

# Methods that carry no body, so that no empty chunked body is sent.
_BODYLESS_METHODS = frozenset(("GET", "HEAD", "DELETE", "OPTIONS"))
# Set anew for the next hop, or only meant for this one.
_OWN_HEADERS = frozenset(
    (TIMEOUT_HEADER, "traceparent", "expect", "balsamspool-delegation")
)

# A deadline shorter than this says more of the caller than of the backend server.
BLAME_SECONDS = 1.0

_STANDING_EVENTS = {
    Standing.SUSPENDED: BACKEND_SUSPENDED,
    Standing.TRIAL: BACKEND_TRIAL,
    Standing.HEALTHY: BACKEND_HEALTHY,
}


class BackendSettings(Section, frozen=True):
    """Settings of the backend plug-in.

    Attributes:
        host: IPv4 address of the backend server.
        port: TCP port of the backend server.
        poll_seconds: Time between two polls of health and load.
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
        self._judge = OutlierJudge()
        self._draining = False
        self._recovered: list[Callable[[], None]] = []
        self._drained: list[Callable[[], None]] = []

    @property
    def draining(self) -> bool:
        """Whether the backend server asks for no new requests."""
        return self._draining

    @property
    def usable(self) -> bool:
        """Whether the backend server gets requests, judged by own observations."""
        return self._judge.standing is not Standing.SUSPENDED

    async def start(self) -> None:
        """Open the HTTP client and begin to poll."""
        self._client = BackendClient(self._address)
        self._kernel.spawn(self._poller.run(self._on_report), "backend health")

    async def stop(self) -> None:
        """Close the HTTP client."""
        if self._client is not None:
            await self._client.close()

    def status(self) -> dict[str, object]:
        """Return the judgement and what the backend server reports."""
        load = self._poller.load
        return {
            "standing": self._judge.standing.value,
            "draining": self._draining,
            "first_byte_seconds": round(self._judge.first_byte_seconds, 6),
            "reported_busy": load.busy if load else None,
            "reported_slots": load.slots if load else None,
        }

    def on_recovery(self, callback: Callable[[], None]) -> None:
        """Call a function when the backend server gets requests again."""
        self._recovered.append(callback)

    def on_draining(self, callback: Callable[[], None]) -> None:
        """Call a function when the backend server begins or ends to drain."""
        self._drained.append(callback)

    @asynccontextmanager
    async def dispatch(self, request: Request) -> AsyncIterator[BackendAnswer]:
        """Send a request to the backend server, once.

        Args:
            request: The request with its deadline.

        Yields:
            The answer. Leaving the context before its end cancels the request.

        Raises:
            ResultError: With code 1701 if no connection was opened, 1702 or 1703 if
                the outcome is unknown.
        """
        assert self._client is not None
        before, started = self._judge.standing, now()
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
                    self._judge.record_first_byte(now() - started)
                    yield answer
                self._judge.record_success()
            except ResultError as error:
                self._judge_failure(error, now() - started)
                raise
            finally:
                self._report_change(before)

    def _judge_failure(self, error: ResultError, seconds: float) -> None:
        if error.code is BACKEND_UNREACHABLE:
            self._judge.record_refused()
        elif error.code is BACKEND_FAILED or (
            error.code is BACKEND_TIMEOUT and seconds >= BLAME_SECONDS
        ):
            self._judge.record_failure()

    def _on_report(self, report: HealthReport) -> None:
        before = self._judge.standing
        match report:
            case Healthy(draining):
                self._set_draining(draining)
                if self._judge.record_report(healthy=True):
                    for callback in self._recovered:
                        callback()
            case Unwell():
                self._judge.record_report(healthy=False)
            case Refused():
                self._judge.record_refused()
        self._report_change(before)

    def _set_draining(self, draining: bool) -> None:
        if draining != self._draining:
            self._draining = draining
            BACKEND_DRAINING.log(_logger, draining=draining)
            for callback in self._drained:
                callback()

    def _report_change(self, before: Standing) -> None:
        standing = self._judge.standing
        if standing is not before:
            _STANDING_EVENTS[standing].log(_logger, address=self._address)


def _request_headers(request: Request) -> Headers:
    fields = without_connection_headers(request.headers)
    fields = [pair for pair in fields if pair[0] not in _OWN_HEADERS]
    if request.content is not None or request.method in _BODYLESS_METHODS:
        # The HTTP client sets the length of a body that it has in full. A length
        # without its body would keep the backend server waiting until the deadline.
        fields = [pair for pair in fields if pair[0] != "content-length"]
    if request.deadline is not None:
        left = str(max(1, int(request.deadline.remaining * 1000)))
        fields.append((TIMEOUT_HEADER, left))
    if trace_context := current_trace_context(request.trace_context):
        fields.append(("traceparent", trace_context))
    return fields


def _request_body(request: Request) -> AsyncIterator[bytes] | bytes | None:
    if request.content is not None:
        return request.content or None
    return None if request.method in _BODYLESS_METHODS else request.body

"""Plug-in that grants the slots of the backend server to requests."""

import collections
from collections.abc import Sequence
from typing import assert_never

from opentelemetry.trace import get_tracer
from prometheus_client import Counter, Gauge, Histogram

from balsamspool.kernel.clock import now
from balsamspool.kernel.identity import Role
from balsamspool.kernel.lifecycle import Kernel
from balsamspool.kernel.registry import Plugin, register
from balsamspool.kernel.settings import Section
from balsamspool.plugins.admission.controller import (
    AdmissionController,
    Peers,
    no_peers,
)
from balsamspool.plugins.admission.decision import Admit, Decision, Refuse, Relay, Shed
from balsamspool.plugins.admission.estimate import Estimator
from balsamspool.plugins.admission.key_codec import KeyCodec
from balsamspool.plugins.admission.keys import (
    Delegated,
    Done,
    KeyTable,
    NotRun,
    OutcomeUnknown,
    Ran,
    Running,
)
from balsamspool.plugins.admission.policy import RelayPolicy
from balsamspool.plugins.admission.queue import Job
from balsamspool.plugins.admission.slots import Slots
from balsamspool.plugins.configuration import (
    ConfigurationPlugin,
    DownloadRoute,
    FeedRoute,
    RequestRoute,
    Service,
)
from balsamspool.plugins.configuration.store import Configuration
from balsamspool.plugins.configuration.text import Limits, Route, Text
from balsamspool.plugins.membership import MembershipPlugin
from balsamspool.requests.relay import PeerLoad
from balsamspool.requests.request import Request
from balsamspool.requests.tracing import parent_of

_tracer = get_tracer("balsamspool")

_KEY_STATES = (Running, Delegated, Done, Ran, NotRun, OutcomeUnknown)


class AdmissionSettings(Section, frozen=True):
    """Settings of the admission plug-in.

    Attributes:
        slow_start_seconds: Duration of the growth from 1 usable slot to the limit after
            a start or an outage of the backend server.
    """

    slow_start_seconds: float = 2.0

    def problem(self) -> tuple[str, str] | None:
        """Return an invalid field and what is wrong with it, or None."""
        if self.slow_start_seconds < 0:
            return "slow_start_seconds", f"{self.slow_start_seconds} is negative"
        return None


@register("admission", roles=[Role.AGENT], requires=["configuration", "membership"])
class AdmissionPlugin(Plugin):
    """Admits all requests to the backend server beside the agent.

    Args:
        kernel: Kernel that runs the plug-in.
    """

    settings_type = AdmissionSettings

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        settings: AdmissionSettings = kernel.settings.section("admission")
        self._configuration = kernel.plugin(ConfigurationPlugin)
        self._membership = kernel.plugin(MembershipPlugin)
        self._service = ""
        limits = Limits()
        slots = Slots(
            limits.slots_per_host, limits.slots_per_host, settings.slow_start_seconds
        )
        self._controller = AdmissionController(
            slots, limits.queue_per_host, limits.connections_per_host, RelayPolicy()
        )
        self._estimator = Estimator()
        self.keys = KeyTable()
        self.key_codec = KeyCodec(kernel.keyring)
        self._create_metrics()

    @property
    def load(self) -> int:
        """Use of slots and queue, 0 to 255; 128 means that all slots are busy."""
        return self._controller.load

    @property
    def expected_wait(self) -> float:
        """Predicted wait in seconds of a short request that arrives now."""
        return self._controller.expected_wait

    async def start(self) -> None:
        """Subscribe to changes of the limits and begin a slow start."""
        self._controller.begin_slow_start()
        self._configuration.subscribe(self._apply)
        self._membership.subscribe(self._apply_current)

    def set_service(self, service: str) -> None:
        """Set the service whose limits apply."""
        self._service = service
        self._apply_current()

    def status(self) -> dict[str, object]:
        """Return slots, queue, feeds and keys in use."""
        controller = self._controller
        return {
            "busy": controller.slots.busy,
            "usable": controller.slots.usable,
            "queued": controller.queued,
            "feeds": controller.feeds,
            "keys": len(self.keys),
            "load": controller.load,
        }

    def backend_recovered(self) -> None:
        """Begin a slow start after an outage of the backend server."""
        self._controller.begin_slow_start()

    async def admit(
        self,
        request: Request,
        service: Service,
        route: Route,
        peers: Peers = no_peers,
    ) -> Decision:
        """Decide on a request, which may wait for a slot.

        Args:
            request: The request with its deadline.
            service: Its service.
            route: Its route.
            peers: Returns the peers to which the request may be relayed now.

        Returns:
            The decision. A slot of ``Admit`` belongs to the caller of this method.
        """
        started = now()
        context = parent_of(request.trace_context)
        with _tracer.start_as_current_span("admission", context=context) as span:
            decision = await self._decide(request, service, route, peers)
            span.set_attribute("decision", type(decision).__name__)
        match decision:
            case Admit():
                self._wait_histogram.observe(now() - started)
            case Shed(reason=code) | Refuse(code=code):
                self._shed_counter.labels(code.name).inc()
            case Relay():
                pass
        return decision

    def relay_or_refuse(self, peers: Sequence[PeerLoad]) -> Relay | Refuse:
        """Choose a peer for a request that must not run here, or refuse the request."""
        return self._controller.relay_or_refuse(peers)

    def observe(self, request: Request, route: Route, seconds: float) -> None:
        """Record the duration of a request that was answered completely."""
        self._estimator.observe(_route_name(request, route), seconds)

    def observe_interrupted(
        self, request: Request, route: Route, seconds: float
    ) -> None:
        """Record the duration of a request whose answer was interrupted."""
        self._estimator.observe_interrupted(_route_name(request, route), seconds)

    async def _decide(
        self,
        request: Request,
        service: Service,
        route: Route,
        peers: Peers,
    ) -> Decision:
        match route:
            case FeedRoute():
                return self._controller.admit_feed()
            case RequestRoute() | DownloadRoute():
                job = self._make_job(request, service, route)
                return await self._controller.admit(job, peers)
            case _:
                assert_never(route)

    def _make_job(self, request: Request, service: Service, route: Route) -> Job:
        assert request.deadline is not None
        name = _route_name(request, route)
        # If the service also has request routes, downloads count as long, so that they
        # leave one slot free for short requests.
        has_request_routes = any(
            isinstance(other, RequestRoute) for other in service.routes
        )
        return Job(
            route=name,
            deadline=request.deadline.at,
            expected=self._estimator.expected(name),
            long=(has_request_routes and isinstance(route, DownloadRoute))
            or self._estimator.is_long(name),
            relayed=request.relayed,
        )

    def _apply_current(self) -> None:
        if self._configuration.ready:
            self._apply(self._configuration.current)

    def _apply(self, configuration: Configuration) -> None:
        service = configuration.document.services.get(self._service)
        if service is None:
            return
        limits = service.limits
        hosts = collections.Counter(
            instance.service
            for instance in self._membership.instances
            if instance.role is Role.AGENT and instance.service is not None
        )
        share = dependency_share(configuration.document, service, hosts)
        self._controller.resize(
            limits.slots_per_host,
            limits.slots_per_host if share is None else share,
            limits.queue_per_host,
            limits.connections_per_host,
        )

    def _create_metrics(self) -> None:
        registry, controller = self._kernel.metrics, self._controller
        queue = Gauge(
            "balsamspool_admission_queue_requests", "Waiting", registry=registry
        )
        queue.set_function(lambda: controller.queued)
        busy = Gauge("balsamspool_admission_busy_slots", "Busy", registry=registry)
        busy.set_function(lambda: controller.slots.busy)
        feeds = Gauge("balsamspool_admission_open_feeds", "Open", registry=registry)
        feeds.set_function(lambda: controller.feeds)
        keys = Gauge(
            "balsamspool_admission_keys", "Request keys", ["state"], registry=registry
        )
        for state in _KEY_STATES:
            gauge = keys.labels(state.__name__)
            gauge.set_function(lambda state=state: self.keys.count(state))
        self._wait_histogram = Histogram(
            "balsamspool_admission_wait_seconds", "Wait for a slot", registry=registry
        )
        self._shed_counter = Counter(
            "balsamspool_admission_shed_requests",
            "Requests that were not admitted",
            ["reason"],
            registry=registry,
        )


def dependency_share(
    text: Text, service: Service, hosts: collections.Counter[str]
) -> int | None:
    """Return the slots per host that the dependencies of a service allow.

    Args:
        text: The configuration text.
        service: The service.
        hosts: Number of hosts of each service.

    Returns:
        The smallest share, at least 1, or None if no dependency sets a limit.
    """
    shares: list[int] = []
    for name in service.depends_on:
        dependency = text.dependencies.get(name)
        if dependency is None or dependency.concurrent_requests is None:
            continue
        host_count = sum(
            hosts[other]
            for other, candidate in text.services.items()
            if name in candidate.depends_on
        )
        # Before the instance list arrives, no host is known and the share cannot be
        # computed. The smallest share is used.
        share = dependency.concurrent_requests // host_count if host_count else 1
        shares.append(max(1, share))
    return min(shares, default=None)


def _route_name(request: Request, route: Route) -> str:
    # Callers choose the method, so unknown methods must not create new estimates.
    method = request.method if request.method in ("GET", "POST", "PUT") else "-"
    return f"{method} {route.path}"

"""Plug-in that admits requests to the slots of the backend server."""

from collections import Counter as Tally
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
        slow_start_seconds: Time in which a cold backend server gets all its slots.
    """

    slow_start_seconds: float = 2.0

    def problem(self) -> tuple[str, str] | None:
        """Return the field and what is wrong with it, or None if all is valid."""
        if self.slow_start_seconds < 0:
            return "slow_start_seconds", f"{self.slow_start_seconds} is negative"
        return None


@register("admission", roles=[Role.AGENT], requires=["configuration", "membership"])
class AdmissionPlugin(Plugin):
    """The only admitter to the slots of the backend server beside the agent.

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
        """Slots and queue in use, 0 to 255; 128 means that all slots are busy."""
        return self._controller.load

    @property
    def expected_wait(self) -> float:
        """Predicted wait in seconds of a short request that arrives now."""
        return self._controller.expected_wait

    async def start(self) -> None:
        """Follow the limits in force and begin with a slow start."""
        self._controller.cool()
        self._configuration.subscribe(self._apply)
        self._membership.subscribe(self._apply_current)

    def serve(self, service: str) -> None:
        """Set the service whose limits hold."""
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
        self._controller.cool()

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
            peers: Returns the peers to which it may be relayed now.

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
                self._waited.observe(now() - started)
            case Shed(reason=code) | Refuse(code=code):
                self._shed.labels(code.name).inc()
            case Relay():
                pass
        return decision

    def elsewhere(self, peers: Sequence[PeerLoad]) -> Relay | Refuse:
        """Decide on a request that must not run here."""
        return self._controller.elsewhere(peers)

    def observe(self, request: Request, route: Route, seconds: float) -> None:
        """Learn from a request that was answered in full."""
        self._estimator.observe(_route_name(request, route), seconds)

    def observe_cut(self, request: Request, route: Route, seconds: float) -> None:
        """Learn from a request that ended before its answer was whole."""
        self._estimator.observe_cut(_route_name(request, route), seconds)

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
                job = self._job(request, service, route)
                return await self._controller.admit(job, peers)
            case _:
                assert_never(route)

    def _job(self, request: Request, service: Service, route: Route) -> Job:
        assert request.deadline is not None
        name = _route_name(request, route)
        # Without a route for short requests no slot needs to be kept for them.
        mixed = any(isinstance(other, RequestRoute) for other in service.routes)
        return Job(
            route=name,
            deadline=request.deadline.at,
            expected=self._estimator.expected(name),
            long=(mixed and isinstance(route, DownloadRoute))
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
        hosts = Tally(
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
        self._waited = Histogram(
            "balsamspool_admission_wait_seconds", "Wait for a slot", registry=registry
        )
        self._shed = Counter(
            "balsamspool_admission_shed_requests",
            "Requests that were not admitted",
            ["reason"],
            registry=registry,
        )


def dependency_share(text: Text, service: Service, hosts: Tally[str]) -> int | None:
    """Return the slots that the dependencies of a service leave to one host.

    Args:
        text: The configuration text.
        service: The service.
        hosts: Number of hosts by service.

    Returns:
        The smallest share, at least 1, or None if no dependency sets a limit.
    """
    shares: list[int] = []
    for name in service.depends_on:
        dependency = text.dependencies.get(name)
        if dependency is None or dependency.concurrent_requests is None:
            continue
        sharing = sum(
            hosts[other]
            for other, candidate in text.services.items()
            if name in candidate.depends_on
        )
        # No host at all means that the list has not arrived, so the share is unknown.
        share = dependency.concurrent_requests // sharing if sharing else 1
        shares.append(max(1, share))
    return min(shares, default=None)


def _route_name(request: Request, route: Route) -> str:
    # Callers choose the method, so an unknown one must not create a new estimate.
    method = request.method if request.method in ("GET", "POST", "PUT") else "-"
    return f"{method} {route.path}"

"""Runs requests: classification, request keys, admission, dispatch, answer."""

import asyncio
from asyncio import Timeout
from collections.abc import Sequence
from typing import assert_never

from balsamspool.kernel.backoff import RetryBudget
from balsamspool.kernel.clock import Deadline, now
from balsamspool.kernel.errors import ResultError
from balsamspool.kernel.identity import Role
from balsamspool.kernel.lifecycle import Kernel, ProcessState
from balsamspool.kernel.registry import Plugin, register
from balsamspool.kernel.settings import Name, Section
from balsamspool.plugins.admission import (
    AdmissionPlugin,
    Admit,
    Decision,
    Refuse,
    Relay,
    Shed,
)
from balsamspool.plugins.backend import BackendPlugin
from balsamspool.plugins.backend.codes import BACKEND_UNREACHABLE
from balsamspool.plugins.configuration import (
    ConfigurationPlugin,
    DownloadRoute,
    FeedRoute,
    RequestRoute,
    Service,
)
from balsamspool.plugins.configuration.codes import NO_CONFIGURATION
from balsamspool.plugins.configuration.text import Route
from balsamspool.plugins.membership import MembershipPlugin
from balsamspool.plugins.serving.body import (
    MAX_BUFFERED_BYTES,
    content_chunks,
    read_body,
)
from balsamspool.plugins.serving.codes import DEADLINE_PASSED, FEED_ENDED, NO_ROUTE
from balsamspool.plugins.serving.keyed import (
    DELEGATION_FIELD,
    KEY_PATH,
    KeyedRequests,
)
from balsamspool.plugins.serving.work import Work
from balsamspool.requests import relay, tracing
from balsamspool.requests.answer import ResponseWriter, write_error
from balsamspool.requests.relay import PeerLoad
from balsamspool.requests.request import TIMEOUT_HEADER, Request

# Maximum number of peers that are tried for one request. Another peer is tried only if
# the one before stated that it did not run the request.
MAX_PEERS = 2
# A leaving agent still dispatches a request from its queue to its own backend server if
# the request arrived less than this long ago.
LEAVING_GRACE_SECONDS = 2.0


class ServingSettings(Section, frozen=True):
    """Settings of the serving plug-in.

    Attributes:
        service: Name of the service of the backend server beside the agent.
    """

    service: Name


@register(
    "serving",
    roles=[Role.AGENT],
    requires=["configuration", "membership", "admission", "backend"],
)
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
        self._membership = kernel.plugin(MembershipPlugin)
        self._admission = kernel.plugin(AdmissionPlugin)
        self._backend = kernel.plugin(BackendPlugin)
        self._relay: relay.Relay | None = None
        self._retry_budget = RetryBudget()
        self._keyed = KeyedRequests(
            kernel.identity,
            self._admission.key_codec,
            self._admission.keys,
            self._serve,
        )
        self._running = 0
        self._idle = asyncio.Event()
        self._feeds: set[Timeout] = set()

    @property
    def service_name(self) -> str:
        """Name of the service that this agent serves."""
        return self._settings.service

    @property
    def leaving(self) -> bool:
        """Whether this agent is to leave and therefore accepts no new requests."""
        return (
            self._kernel.state in (ProcessState.LEAVING, ProcessState.STOPPED)
            or self._membership.asked_to_leave
            or self._backend.draining
        )

    @property
    def accepting(self) -> bool:
        """Whether this agent accepts new requests."""
        return not self.leaving and self._backend.usable

    async def start(self) -> None:
        """Set the service of admission and report recoveries of the backend server."""
        self._admission.set_service(self._settings.service)
        self._backend.on_recovery(self._admission.backend_recovered)

    async def drain(self) -> None:
        """Wait for the requests in progress; end feeds after the configured time."""
        service = self._configuration.service(self._settings.service)
        limit = service.drain.feed_seconds if service is not None else 0.0
        feed_timer = asyncio.get_running_loop().call_later(limit, self._end_feeds)
        if not limit:
            feed_timer.cancel()
        while self._running:
            self._idle.clear()
            await self._idle.wait()
        await self._keyed.drain()

    async def stop(self) -> None:
        """Cancel keyed requests that continue without their callers."""
        await self._keyed.stop()

    def set_relay(self, relay_plugin: relay.Relay) -> None:
        """Set the relay that runs requests at peers."""
        self._relay = relay_plugin

    async def handle(self, request: Request, writer: ResponseWriter) -> None:
        """Run a request and write its answer.

        Args:
            request: The request.
            writer: Where the answer goes.
        """
        try:
            await self.run(request, writer)
        except ResultError as error:
            await write_error(writer, error)

    async def run(self, request: Request, writer: ResponseWriter) -> None:
        """Run a request and write its answer; raise errors instead of writing them.

        Args:
            request: The request.
            writer: Where the answer goes.

        Raises:
            ResultError: If there is no complete answer. The outcome of its code states
                whether the request has run.
        """
        self._running += 1
        try:
            await self._classify(request, writer)
        finally:
            self._running -= 1
            if self._running == 0:
                self._idle.set()

    async def _classify(self, request: Request, writer: ResponseWriter) -> None:
        if not request.relayed:
            request.replace_header(DELEGATION_FIELD, None)
        if not request.trace_context:
            request.trace_context = request.header(tracing.FIELD) or ""
        service = self._configured_service()
        if request.path == KEY_PATH:
            await self._issue_key(request, service, writer)
            return
        route = service.route(request.path)
        if route is None:
            raise ResultError(NO_ROUTE, f"no route for path {request.path!r}")
        request.deadline = self._deadline(request, service, route)
        work = Work(request, service, route)
        match route:
            case RequestRoute(repeatable=False):
                await self._keyed.run(work, route, writer, self._relay)
            case FeedRoute():
                await self._serve_feed(work, writer)
            case RequestRoute() | DownloadRoute():
                await self._serve(work, writer)
            case _:
                assert_never(route)

    async def _issue_key(
        self, request: Request, service: Service, writer: ResponseWriter
    ) -> None:
        if not self.leaving:
            await self._keyed.issue(request, service, writer)
            return
        # A leaving agent lets a peer issue the key, because the outcome of requests
        # with the agent's own keys is unknown once the agent has stopped.
        route = RequestRoute(KEY_PATH)
        work = Work(request, service, route, allow_local=False)
        request.deadline = self._deadline(request, service, route)
        await self._serve(work, writer)

    def _configured_service(self) -> Service:
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
                limit_ms = route.deadline_ms or service.limits.deadline_ms
            case _:
                assert_never(route)
        requested_ms = request.number(TIMEOUT_HEADER)
        if requested_ms is not None:
            limit_ms = min(limit_ms, requested_ms)
        return Deadline.after(limit_ms / 1000)

    async def _serve_feed(self, work: Work, writer: ResponseWriter) -> None:
        try:
            async with asyncio.timeout(None) as timeout:
                self._feeds.add(timeout)
                try:
                    await self._serve(work, writer)
                finally:
                    self._feeds.discard(timeout)
        except TimeoutError as error:
            raise ResultError(FEED_ENDED, f"instance {self._instance}") from error

    def _end_feeds(self) -> None:
        for timeout in self._feeds:
            timeout.reschedule(now())

    async def _serve(self, work: Work, writer: ResponseWriter) -> None:
        request = work.request
        if request.content is None:
            limit = work.service.limits.request_body_bytes
            await read_body(request, MAX_BUFFERED_BYTES, limit)
        self._retry_budget.record_attempt()
        arrived = now()
        while True:
            match await self._decide(work):
                case Admit(slot):
                    with slot:
                        allowed = self._may_dispatch(arrived)
                        if allowed and await self._run_locally(work, writer):
                            return
                    work.allow_local = False
                case Relay(peer):
                    if await self._run_at_peer(work, peer, writer):
                        return
                case Shed(retry_after, reason):
                    detail = f"predicted wait {retry_after:.3f} s"
                    raise ResultError(reason, detail, retry_after)
                case Refuse(code):
                    if work.not_run_error is not None:
                        raise work.not_run_error
                    raise ResultError(code, f"instance {self._instance}")

    @property
    def _instance(self) -> str:
        return self._kernel.identity.instance

    async def _decide(self, work: Work) -> Decision:
        may_relay = self._may_relay(work)

        def peers() -> Sequence[PeerLoad]:
            return self._peers(work) if may_relay else ()

        if work.allow_local and self.accepting:
            return await self._admission.admit(
                work.request, work.service, work.route, peers
            )
        return self._admission.relay_or_refuse(peers())

    def _may_relay(self, work: Work) -> bool:
        if self._relay is None or work.request.relayed:
            return False
        if work.not_run_error is None:
            return True
        return len(work.tried_peers) < MAX_PEERS and self._retry_budget.try_spend()

    def _peers(self, work: Work) -> Sequence[PeerLoad]:
        assert self._relay is not None
        return [
            peer for peer in self._relay.peers() if peer.address not in work.tried_peers
        ]

    def _may_dispatch(self, arrived: float) -> bool:
        # The agent was not leaving yet when this request arrived. If the agent is
        # leaving now, it has been leaving for at most the waiting time of the request.
        return not self.leaving or now() - arrived < LEAVING_GRACE_SECONDS

    async def _run_locally(self, work: Work, writer: ResponseWriter) -> bool:
        """Dispatch a request and return whether it has been answered."""
        request = work.request
        if request.deadline is not None and request.deadline.expired:
            raise ResultError(DEADLINE_PASSED, f"{request.method} {request.path}")
        try:
            await self._dispatch(work, writer)
        except ResultError as error:
            if error.code is not BACKEND_UNREACHABLE:
                raise
            work.dispatched = False
            if request.content is None:
                raise
            work.not_run_error = error
            return False
        return True

    async def _dispatch(self, work: Work, writer: ResponseWriter) -> None:
        request, started = work.request, now()
        work.dispatched = True
        try:
            async with self._backend.dispatch(request) as answer:
                await writer.start(answer.status, answer.headers)
                async for chunk in answer.chunks():
                    await writer.write(chunk)
            await writer.finish()
        except BaseException:
            self._record_duration(work, now() - started, complete=False)
            raise
        self._record_duration(work, now() - started, complete=True)

    def _record_duration(self, work: Work, seconds: float, *, complete: bool) -> None:
        match work.route:
            case FeedRoute():
                return
            case RequestRoute() | DownloadRoute() as route:
                if complete:
                    self._admission.observe(work.request, route, seconds)
                else:
                    self._admission.observe_interrupted(work.request, route, seconds)
            case _:
                assert_never(work.route)

    async def _run_at_peer(
        self, work: Work, peer: PeerLoad, writer: ResponseWriter
    ) -> bool:
        """Run a request at a peer and return whether it has been answered."""
        assert self._relay is not None
        request = work.request
        if request.deadline is not None and request.deadline.expired:
            raise ResultError(DEADLINE_PASSED, f"{request.method} {request.path}")
        replayable = request.content is not None
        if request.content is not None:
            request.body = content_chunks(request.content)
        request.set_timeout_header()
        self._keyed.delegate(work, peer.address)
        work.dispatched = True
        match await self._relay.run_at(peer.address, request, writer, None):
            case relay.Answered():
                return True
            case relay.NotRun(code, detail, retry_after):
                work.dispatched = False
                self._keyed.revoke(work)
                work.tried_peers.add(peer.address)
                work.not_run_error = ResultError(code, detail, retry_after)
                if not replayable:
                    raise work.not_run_error
                return False
            case relay.Unknown(code, detail):
                raise ResultError(code, detail)

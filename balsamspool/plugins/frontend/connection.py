"""QUIC connection of a caller, which is owned by one task."""

import asyncio
from collections import deque
from collections.abc import Callable

from aioquic.h3.events import DataReceived, H3Event, HeadersReceived
from aioquic.quic.events import (
    ConnectionIdRetired,
    ConnectionTerminated,
    HandshakeCompleted,
    ProtocolNegotiated,
    QuicEvent,
    StopSendingReceived,
    StreamDataReceived,
    StreamReset,
)
from opentelemetry.trace import Span

from balsamspool.kernel.clock import now
from balsamspool.kernel.errors import ResultError
from balsamspool.plugins.configuration import FeedRoute
from balsamspool.plugins.configuration.text import Limits, Service
from balsamspool.plugins.forwarding import ReturnRoute
from balsamspool.plugins.frontend._fields import (
    InvalidFields,
    ValidFields,
    read_fields,
)
from balsamspool.plugins.frontend._metrics import FrontendMetrics
from balsamspool.plugins.frontend._quic import (
    MAX_REQUEST_STREAM_ID,
    MalformedMessage,
    ServerHttp,
    TokenQuicConnection,
)
from balsamspool.plugins.frontend.codes import REQUEST_MALFORMED
from balsamspool.plugins.frontend.exchange import Exchange
from balsamspool.plugins.frontend.phase import (
    Announced,
    Closing,
    Leaving,
    Open,
    Phase,
)
from balsamspool.plugins.serving import ServingPlugin
from balsamspool.requests.request import Headers

H3_NO_ERROR = 0x100
H3_EXCESSIVE_LOAD = 0x107
H3_REQUEST_REJECTED = 0x10B
H3_REQUEST_CANCELLED = 0x10C

# Largest number of datagrams that wait for the connection's task: twice the number that
# a caller can send before it receives more flow control credit.
INBOX_DATAGRAMS = 512
MAX_FIELD_BYTES = 64 * 1024
# A ping is sent after this share of the idle timeout, so that the connection stays open
# if two pings are lost.
PING_SHARE = 0.3
# Time from the first to the final GOAWAY. Requests that the caller sends before it has
# read the first GOAWAY still run.
FINAL_GOAWAY_DELAY_SECONDS = 0.5

Address = tuple[str, int]
Send = Callable[[bytes, Address, Address], None]


class Connection:
    """A caller's connection.

    Args:
        quic: QUIC connection.
        route: Chooses the entry for return datagrams.
        service: Returns the configured service, None if it is not configured.
        serving: Runs the requests.
        send: Sends one datagram to a caller through an entry.
        on_established: Called when the handshake is complete.
        on_retired: Called with each connection ID that the caller has retired.
        metrics: Metrics of the front end.
        span: Span of the connection.
        handshake_seconds: Time within which the handshake must complete in seconds.
    """

    __slots__ = (
        "_acknowledged",
        "_close_requested",
        "_closed",
        "_established",
        "_exchanges",
        "_handshake_deadline",
        "_http",
        "_inbox",
        "_last_probe_count",
        "_metrics",
        "_missing_streams",
        "_next_stream_id",
        "_on_established",
        "_on_retired",
        "_phase",
        "_ping_at",
        "_quic",
        "_renewal_due",
        "_route",
        "_send",
        "_service",
        "_serving",
        "_span",
        "_wake",
    )

    def __init__(
        self,
        quic: TokenQuicConnection,
        route: ReturnRoute,
        service: Callable[[], Service | None],
        serving: ServingPlugin,
        send: Send,
        on_established: Callable[[], None],
        on_retired: Callable[[bytes], None],
        metrics: FrontendMetrics,
        span: Span,
        handshake_seconds: float,
    ) -> None:
        self._quic = quic
        self._route = route
        self._service = service
        self._serving = serving
        self._send = send
        self._on_established = on_established
        self._on_retired = on_retired
        self._metrics = metrics
        self._span = span
        self._http: ServerHttp | None = None
        self._inbox: deque[tuple[bytes, Address]] = deque()
        self._wake = asyncio.Event()
        self._acknowledged = asyncio.Event()
        self._exchanges: dict[int, Exchange] = {}
        self._phase: Phase = Open()
        self._closed = False
        self._close_requested = False
        self._established = False
        self._handshake_deadline = now() + handshake_seconds
        self._next_stream_id = 0
        self._renewal_due = False
        # Request streams below _next_stream_id of which no packet has arrived.
        self._missing_streams: set[int] = set()
        self._ping_at = 0.0
        self._last_probe_count = 0

    @property
    def connection_ids(self) -> list[bytes]:
        """Connection IDs that the caller may use."""
        return self._quic.connection_ids

    @property
    def established(self) -> bool:
        """Whether the handshake is complete."""
        return self._established

    @property
    def open_requests(self) -> int:
        """Number of requests in progress."""
        return len(self._exchanges)

    def receive(self, datagram: bytes, caller: Address, entry: Address | None) -> bool:
        """Queue a datagram of the caller for the connection's task.

        Args:
            datagram: The datagram.
            caller: Address of the caller.
            entry: Entry that forwarded the datagram, None if an agent handed it over.

        Returns:
            Whether the queue had room for the datagram.
        """
        if len(self._inbox) >= INBOX_DATAGRAMS:
            return False
        if entry is not None:
            self._route.record_caller_entry(entry)
        self._inbox.append((datagram, caller))
        self._wake.set()
        return True

    def drain(self, feed_seconds: float) -> None:
        """Send a GOAWAY, and close the connection after the last answer.

        Args:
            feed_seconds: Time for which feeds are kept open in seconds, 0 for no limit.
        """
        if isinstance(self._phase, Open):
            feeds_until = now() + feed_seconds if feed_seconds else None
            self._phase = Announced(now() + FINAL_GOAWAY_DELAY_SECONDS, feeds_until)
            if self._http is not None:
                self._http.send_goaway(MAX_REQUEST_STREAM_ID)
            self._wake.set()

    def renew_ids(self) -> None:
        """Replace the caller's connection IDs by new ones that use the active key."""
        self._renewal_due = True
        self._wake.set()

    def close(self) -> None:
        """Close the connection immediately."""
        self._close_requested = True
        self._wake.set()

    async def run(self) -> None:
        """Serve the connection until it closes."""
        try:
            while not self._closed:
                await self._wait()
                self._handle_input()
                self._handle_events()
                self._keep_alive()
                self._renew_ids()
                self._advance_phase()
                self._transmit()
        finally:
            await self._cancel_exchanges()

    def send_headers(self, stream_id: int, status: int, headers: Headers) -> None:
        """Send the status and the header fields of an answer."""
        fields = [(b":status", str(status).encode())]
        fields += [(n.encode("latin-1"), v.encode("latin-1")) for n, v in headers]
        if self._http is not None and self._can_send(stream_id):
            self._http.send_headers(stream_id, fields)
            self._wake.set()

    def send_data(self, stream_id: int, data: bytes, *, end: bool) -> None:
        """Send a part of an answer."""
        if self._http is not None and self._can_send(stream_id):
            self._http.send_data(stream_id, data, end)
            self._wake.set()

    def reset_stream(self, stream_id: int, error_code: int) -> None:
        """Reset the stream of an incomplete answer."""
        if self._http is not None and not self._closed:
            self._quic.reset_stream(stream_id, error_code)
            self._http.release_stream(stream_id)
            self._wake.set()

    def stop_receiving(self, stream_id: int, error_code: int) -> None:
        """Send STOP_SENDING for a request."""
        if not self._closed:
            self._quic.stop_receiving(stream_id, error_code)
            self._wake.set()

    def hold_credit(self, stream_id: int, size: int) -> None:
        """Withhold flow control credit for bytes that wait to be consumed."""
        self._quic.hold_credit(stream_id, size)

    def release_credit(self, stream_id: int, size: int) -> None:
        """Grant flow control credit for bytes that have been consumed."""
        self._quic.release_credit(stream_id, size)
        self._wake.set()

    async def wait_sendable(self, stream_id: int, limit: int) -> None:
        """Wait until fewer bytes of a stream than a limit are unacknowledged."""
        while (
            self._can_send(stream_id) and self._quic.buffered_bytes(stream_id) >= limit
        ):
            self._acknowledged.clear()
            await self._acknowledged.wait()

    def _can_send(self, stream_id: int) -> bool:
        return not self._closed and self._quic.can_send(stream_id)

    async def _wait(self) -> None:
        try:
            async with asyncio.timeout_at(self._next_timer()):
                await self._wake.wait()
        except TimeoutError:
            self._handle_timers()
        self._wake.clear()

    def _next_timer(self) -> float | None:
        times = [self._quic.get_timer()]
        if not self._established:
            times.append(self._handshake_deadline)
        if self._exchanges:
            times.append(self._ping_at)
        match self._phase:
            case Announced(final_goaway_at, _) if self._established:
                times.append(final_goaway_at)
            case Leaving(feeds_until):
                times.append(feeds_until)
            case Open() | Announced() | Closing():
                pass
        return min((time for time in times if time is not None), default=None)

    def _handle_timers(self) -> None:
        timer = self._quic.get_timer()
        if timer is not None and timer <= now():
            self._quic.handle_timer(now())
        if self._quic.probe_count > self._last_probe_count:
            # The loss timer has fired without an acknowledgement from the caller, so
            # the entry on the way to the caller may have failed.
            self._route.rotate()
        if not self._established and now() >= self._handshake_deadline:
            self._metrics.handshakes.labels("timeout").inc()
            self._closed = True

    def _handle_input(self) -> None:
        received = bool(self._inbox)
        while self._inbox:
            datagram, caller = self._inbox.popleft()
            self._quic.receive_datagram(datagram, caller, now())
        self._last_probe_count = self._quic.probe_count
        if received:
            self._ping_at = now() + PING_SHARE * self._quic.idle_seconds
            self._acknowledged.set()

    def _handle_events(self) -> None:
        while (event := self._quic.next_event()) is not None:
            match event:
                case ProtocolNegotiated():
                    self._http = ServerHttp(self._quic)
                    if not isinstance(self._phase, Open):
                        self._http.send_goaway(MAX_REQUEST_STREAM_ID)
                case HandshakeCompleted():
                    self._establish()
                case ConnectionIdRetired(connection_id=connection_id):
                    self._on_retired(connection_id)
                case ConnectionTerminated():
                    self._closed = True
                    if not self._established:
                        self._metrics.handshakes.labels("failed").inc()
            self._handle_http(event)
            match event:
                case StreamReset(stream_id=stream_id):
                    self._cancel_request(stream_id)
                case StopSendingReceived(stream_id=stream_id):
                    self._cancel_request(stream_id)

    def _establish(self) -> None:
        self._established = True
        self._on_established()
        self._quic.release_handshake()
        self._metrics.handshakes.labels("completed").inc()
        match self._phase:
            case Announced(_, feeds_until):
                # The delay before the final GOAWAY starts again, because the caller
                # could not read a GOAWAY before the handshake was complete.
                self._phase = Announced(now() + FINAL_GOAWAY_DELAY_SECONDS, feeds_until)

    def _handle_http(self, event: QuicEvent) -> None:
        if self._http is None:
            return
        for http_event in self._http.handle_event(event):
            self._handle_http_event(http_event)
        match event:
            case StreamDataReceived(stream_id=stream_id):
                if self._http.buffered_bytes(stream_id) > MAX_FIELD_BYTES:
                    self._quic.close(error_code=H3_EXCESSIVE_LOAD)

    def _handle_http_event(self, event: H3Event) -> None:
        match event:
            case HeadersReceived(headers=fields, stream_id=stream_id):
                self._start_exchange(stream_id, read_fields(fields))
                if event.stream_ended:
                    self._receive_body(stream_id, b"", ended=True)
            case DataReceived(data=data, stream_id=stream_id, stream_ended=ended):
                self._receive_body(stream_id, data, ended=ended)
            case MalformedMessage(
                stream_id=stream_id, detail=detail, headers_received=False
            ):
                error = ResultError(REQUEST_MALFORMED, detail)
                self._start_exchange(stream_id, InvalidFields(error))
            case MalformedMessage(stream_id=stream_id):
                # The request may have been dispatched, so the caller must not be told
                # that it was not run. The request is cancelled without an answer.
                self._cancel_request(stream_id)

    def _start_exchange(
        self, stream_id: int, fields: ValidFields | InvalidFields
    ) -> None:
        assert self._http is not None
        if not self._accepts_stream(stream_id):
            self.reset_stream(stream_id, H3_REQUEST_REJECTED)
            self.stop_receiving(stream_id, H3_REQUEST_REJECTED)
            return
        self._record_stream(stream_id)
        service = self._service()
        limits = service.limits if service is not None else Limits()
        exchange = Exchange(
            self,
            stream_id,
            fields,
            limits.request_body_bytes,
            _is_feed(service, fields),
            self._span,
        )
        self._exchanges[stream_id] = exchange
        exchange.start(self._serving, self._metrics)
        assert exchange.task is not None
        exchange.task.add_done_callback(lambda _: self._remove_exchange(stream_id))

    def _accepts_stream(self, stream_id: int) -> bool:
        goaway = self._http.goaway if self._http is not None else None
        return goaway is None or stream_id < goaway

    def _record_stream(self, stream_id: int) -> None:
        self._missing_streams.update(range(self._next_stream_id, stream_id, 4))
        self._missing_streams.discard(stream_id)
        self._next_stream_id = max(self._next_stream_id, stream_id + 4)

    def _remove_exchange(self, stream_id: int) -> None:
        self._exchanges.pop(stream_id, None)
        self._wake.set()

    def _receive_body(self, stream_id: int, data: bytes, *, ended: bool) -> None:
        exchange = self._exchanges.get(stream_id)
        if exchange is not None:
            exchange.receive_body(data, ended)

    def _cancel_request(self, stream_id: int) -> None:
        exchange = self._exchanges.get(stream_id)
        if exchange is not None:
            exchange.cancel()
        elif stream_id % 4 == 0 and self._accepts_stream(stream_id):
            # The caller cancelled the request before its header fields arrived.
            self._record_stream(stream_id)

    def _keep_alive(self) -> None:
        if self._exchanges and now() >= self._ping_at:
            self._quic.send_ping(0)
            self._ping_at = now() + PING_SHARE * self._quic.idle_seconds

    def _renew_ids(self) -> None:
        if self._renewal_due and self._established:
            self._renewal_due = False
            self._quic.renew_connection_ids()

    def _advance_phase(self) -> None:
        if self._close_requested and not self._closed:
            self._quic.close(error_code=H3_NO_ERROR)
            self._closed = True
            return
        match self._phase:
            case Announced(final_goaway_at, feeds_until) if (
                self._established
                and self._http is not None
                and now() >= final_goaway_at
            ):
                self._http.send_goaway(self._next_stream_id)
                self._phase = Leaving(feeds_until)
                self._wake.set()
            case Leaving(feeds_until):
                if feeds_until is not None and now() >= feeds_until:
                    self._phase = Leaving(None)
                    self._cancel_feeds()
                if self._all_answered():
                    self._phase = Closing()
                    self._quic.close(error_code=H3_NO_ERROR)

    def _all_answered(self) -> bool:
        # If no packet of a request has arrived, but its stream ID is below that of the
        # last GOAWAY, its packets may have been lost, and the connection waits for
        # them. It also waits for the acknowledgement of the GOAWAY, because a caller
        # that has not read the GOAWAY cannot know that a later request is not run. The
        # idle timeout limits the wait for a caller that has stopped.
        pending = self._exchanges or self._missing_streams
        return not pending and self._quic.all_acknowledged

    def _cancel_feeds(self) -> None:
        for exchange in self._exchanges.values():
            if exchange.is_feed:
                exchange.cancel()

    def _transmit(self) -> None:
        datagrams = self._quic.datagrams_to_send(now())
        if not datagrams:
            return
        entry = self._route.current()
        if entry is None:
            self._metrics.dropped.labels("no-entry").inc(len(datagrams))
            return
        for datagram, caller in datagrams:
            self._send(datagram, caller, entry)

    async def _cancel_exchanges(self) -> None:
        self._closed = True
        self._acknowledged.set()
        tasks = [e.task for e in self._exchanges.values() if e.task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _is_feed(service: Service | None, fields: ValidFields | InvalidFields) -> bool:
    match fields:
        case ValidFields(path=path) if service is not None:
            return isinstance(service.route(path), FeedRoute)
        case _:
            return False

"""One QUIC connection of a caller: one task owns it."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from aioquic.h3.connection import H3Connection
from aioquic.h3.events import DataReceived, H3Event, HeadersReceived
from aioquic.h3.exceptions import H3Error
from aioquic.quic.events import (
    ConnectionTerminated,
    ProtocolNegotiated,
    QuicEvent,
    StopSendingReceived,
    StreamReset,
)

from balsamspool.kernel.clock import now
from balsamspool.plugins.frontend._quic import TokenQuicConnection
from balsamspool.plugins.frontend.exchange import (
    RequestBody,
    StreamWriter,
    make_request,
)
from balsamspool.plugins.serving import ServingPlugin
from balsamspool.requests.request import Headers

_logger = logging.getLogger(__name__)

H3_INTERNAL_ERROR = 0x102
H3_REQUEST_CANCELLED = 0x10C

Address = tuple[str, int]


@dataclass(slots=True)
class _Stream:
    """A request stream while its request runs."""

    body: RequestBody
    task: asyncio.Task[None]


class Connection:
    """A caller's connection.

    Args:
        quic: QUIC connection.
        caller: Address of the caller.
        serving: Runs the requests.
        send: Sends one datagram to the caller.
    """

    __slots__ = (
        "_acknowledged",
        "_caller",
        "_closed",
        "_http",
        "_inbox",
        "_quic",
        "_send",
        "_serving",
        "_streams",
        "_wake",
    )

    def __init__(
        self,
        quic: TokenQuicConnection,
        caller: Address,
        serving: ServingPlugin,
        send: Callable[[bytes], None],
    ) -> None:
        self._quic = quic
        self._caller = caller
        self._serving = serving
        self._send = send
        self._http: H3Connection | None = None
        self._inbox: deque[bytes] = deque()
        self._wake = asyncio.Event()
        self._acknowledged = asyncio.Event()
        self._streams: dict[int, _Stream] = {}
        self._closed = False

    @property
    def connection_ids(self) -> list[bytes]:
        """Connection IDs that the caller may use."""
        return self._quic.connection_ids

    def receive(self, datagram: bytes) -> None:
        """Queue a datagram of the caller for the connection's task."""
        self._inbox.append(datagram)
        self._wake.set()

    async def run(self) -> None:
        """Serve the connection until it ends."""
        try:
            while not self._closed:
                await self._wait()
                self._handle_input()
                self._handle_events()
                self._transmit()
        finally:
            await self._cancel_streams()

    def send_headers(self, stream_id: int, status: int, headers: Headers) -> None:
        """Send the head of an answer."""
        fields = [(b":status", str(status).encode())]
        fields += [(n.encode("latin-1"), v.encode("latin-1")) for n, v in headers]
        if self._http is not None and not self._closed:
            self._http.send_headers(stream_id, fields)
            self._wake.set()

    def send_data(self, stream_id: int, data: bytes, *, end: bool) -> None:
        """Send a part of an answer."""
        if self._http is not None and not self._closed:
            self._http.send_data(stream_id, data, end)
            self._wake.set()

    def reset_stream(self, stream_id: int) -> None:
        """End an answer that is not whole."""
        if not self._closed:
            self._quic.reset_stream(stream_id, H3_INTERNAL_ERROR)
            self._wake.set()

    async def wait_sendable(self, stream_id: int, limit: int) -> None:
        """Wait until less than a limit of a stream is unacknowledged."""
        while not self._closed and self._quic.buffered_bytes(stream_id) >= limit:
            self._acknowledged.clear()
            await self._acknowledged.wait()

    async def _wait(self) -> None:
        timer = self._quic.get_timer()
        try:
            async with asyncio.timeout_at(timer):
                await self._wake.wait()
        except TimeoutError:
            self._quic.handle_timer(now())
        self._wake.clear()

    def _handle_input(self) -> None:
        while self._inbox:
            datagram = self._inbox.popleft()
            self._quic.receive_datagram(datagram, self._caller, now())
        self._acknowledged.set()

    def _handle_events(self) -> None:
        while (event := self._quic.next_event()) is not None:
            match event:
                case ProtocolNegotiated():
                    self._http = H3Connection(self._quic)
                case ConnectionTerminated():
                    self._closed = True
                case StreamReset(stream_id=stream_id):
                    self._cancel(stream_id)
                case StopSendingReceived(stream_id=stream_id):
                    self._cancel(stream_id)
            self._handle_http(event)

    def _handle_http(self, event: QuicEvent) -> None:
        if self._http is None:
            return
        try:
            http_events = self._http.handle_event(event)
        except H3Error as error:
            self._quic.close(error_code=error.error_code)
            return
        for http_event in http_events:
            self._handle_http_event(http_event)

    def _handle_http_event(self, event: H3Event) -> None:
        match event:
            case HeadersReceived(headers=fields, stream_id=stream_id):
                if stream_id not in self._streams:
                    self._start_request(stream_id, fields)
                if event.stream_ended:
                    self._feed(stream_id, b"", ended=True)
            case DataReceived(data=data, stream_id=stream_id, stream_ended=ended):
                self._feed(stream_id, data, ended=ended)

    def _start_request(self, stream_id: int, fields: list[tuple[bytes, bytes]]) -> None:
        body = RequestBody()
        request = make_request(fields, body)
        work = self._serving.handle(request, StreamWriter(self, stream_id))
        loop = asyncio.get_running_loop()
        task = loop.create_task(work, name=f"request {request.method} {request.path}")
        self._streams[stream_id] = _Stream(body, task)
        task.add_done_callback(lambda _: self._streams.pop(stream_id, None))

    def _feed(self, stream_id: int, data: bytes, *, ended: bool) -> None:
        stream = self._streams.get(stream_id)
        if stream is not None:
            stream.body.feed(data, ended)

    def _cancel(self, stream_id: int) -> None:
        stream = self._streams.get(stream_id)
        if stream is not None:
            stream.task.cancel()

    def _transmit(self) -> None:
        for datagram, _ in self._quic.datagrams_to_send(now()):
            self._send(datagram)

    async def _cancel_streams(self) -> None:
        self._closed = True
        self._acknowledged.set()
        tasks = [stream.task for stream in self._streams.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

"""Stand-in for a caller: an HTTP/3 client with another library than the agent's."""

import asyncio
import ssl
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field

from qh3.asyncio.client import connect
from qh3.asyncio.protocol import QuicConnectionProtocol
from qh3.h3.connection import H3Connection
from qh3.h3.events import DataReceived, GoawayReceived, HeadersReceived
from qh3.quic.configuration import QuicConfiguration
from qh3.quic.events import (
    ConnectionTerminated,
    ProtocolNegotiated,
    QuicEvent,
    StreamReset,
)

H3_REQUEST_REJECTED = 0x10B
H3_REQUEST_CANCELLED = 0x10C


class ConnectionLost(Exception):
    """The connection ended before the answer was complete."""


@dataclass(slots=True)
class Answer:
    """An answer, which may still be arriving.

    Attributes:
        status: HTTP status, 0 until the header has arrived.
        headers: Header fields.
        body: Body received so far.
        whole: Whether the complete answer has arrived.
        cut: Whether the stream was reset or the connection was lost.
        reset_code: Error code of the reset, None if there was no reset.
        changed: Set whenever another attribute has changed.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)
    whole: bool = False
    cut: bool = False
    reset_code: int | None = None
    changed: asyncio.Event = field(default_factory=asyncio.Event)


class CallerConnection(QuicConnectionProtocol):
    """One HTTP/3 connection of a caller."""

    def __init__(self, *args: object, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)
        self._http: H3Connection | None = None
        self._answers: dict[int, Answer] = {}
        # Whether the peer has sent GOAWAY.
        self.goaway = False
        # Whether the connection was closed by either side or timed out.
        self.lost = False

    def quic_event_received(self, event: QuicEvent) -> None:
        """Handle an event of the QUIC connection."""
        match event:
            case ProtocolNegotiated():
                self._http = H3Connection(self._quic)
            case StreamReset(stream_id=stream_id):
                self._mark_cut(stream_id, event.error_code)
            case ConnectionTerminated():
                self.lost = True
                for stream_id in list(self._answers):
                    self._mark_cut(stream_id)
        if self._http is not None:
            for http_event in self._http.handle_event(event):
                self._handle_http(http_event)

    def start(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> tuple[int, Answer]:
        """Send a request and return its stream ID and its answer.

        Raises:
            ConnectionLost: If the connection is not open.
        """
        if self._http is None or self.lost:
            raise ConnectionLost
        stream_id = self._quic.get_next_available_stream_id()
        answer = Answer()
        self._answers[stream_id] = answer
        fields = [
            (b":method", method.encode()),
            (b":scheme", b"https"),
            (b":authority", b"balsamspool.example"),
            (b":path", path.encode()),
        ]
        fields += [(n.encode(), v.encode()) for n, v in (headers or {}).items()]
        self._http.send_headers(stream_id, fields, end_stream=not body)
        if body:
            self._http.send_data(stream_id, body, end_stream=True)
        self.transmit()
        return stream_id, answer

    async def request(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        timeout: float = 10.0,
    ) -> Answer:
        """Send a request and wait for its complete answer.

        Raises:
            ConnectionLost: If the connection is not open or the answer was cut off.
            TimeoutError: If the answer is not complete in time.
        """
        stream_id, answer = self.start(method, path, headers, body)
        try:
            async with asyncio.timeout(timeout):
                while not answer.whole and not answer.cut:
                    answer.changed.clear()
                    await answer.changed.wait()
        finally:
            self._answers.pop(stream_id, None)
        if answer.cut:
            raise ConnectionLost(f"answer to {method} {path} was cut off")
        return answer

    def cancel(self, stream_id: int) -> None:
        """Cancel a request. A request whose stream is complete is left as it is."""
        # The two directions of a stream complete separately, and the library refuses
        # to end a direction that is complete.
        for end_direction in (self._quic.reset_stream, self._quic.stop_stream):
            with suppress(ValueError):
                end_direction(stream_id, H3_REQUEST_CANCELLED)
        self.transmit()

    def _handle_http(self, event: object) -> None:
        match event:
            case HeadersReceived(headers=fields, stream_id=stream_id):
                answer = self._answers.get(stream_id)
                if answer is not None:
                    answer.headers = {n.decode(): v.decode() for n, v in fields}
                    answer.status = int(answer.headers.pop(":status", "0"))
                    answer.whole = event.stream_ended
                    answer.changed.set()
            case DataReceived(data=data, stream_id=stream_id):
                answer = self._answers.get(stream_id)
                if answer is not None:
                    answer.body += data
                    answer.whole = event.stream_ended
                    answer.changed.set()
            case GoawayReceived(stream_id=first):
                self.goaway = True
                # Requests with this or a higher ID are not processed (RFC 9114, 5.2).
                for stream_id in [s for s in self._answers if s >= first]:
                    self._mark_cut(stream_id, H3_REQUEST_REJECTED)

    def _mark_cut(self, stream_id: int, code: int | None = None) -> None:
        answer = self._answers.get(stream_id)
        if answer is not None and not answer.whole:
            answer.cut = True
            answer.reset_code = code
            answer.changed.set()


@asynccontextmanager
async def open_caller(
    host: str, port: int, idle_seconds: float = 30.0
) -> AsyncIterator[CallerConnection]:
    """Open a connection to a service address and close it afterwards."""
    configuration = QuicConfiguration(
        is_client=True,
        alpn_protocols=["h3"],
        verify_mode=ssl.CERT_NONE,
        server_name="balsamspool.example",
        idle_timeout=idle_seconds,
    )
    async with connect(
        host, port, configuration=configuration, create_protocol=CallerConnection
    ) as connection:
        yield connection

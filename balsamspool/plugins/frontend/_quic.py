"""QUIC and HTTP/3 connections that change the behaviour of the library.

The library generates random connection IDs, at construction and whenever the peer
retires an ID; here every ID is a routing token. The library also doubles flow control
limits as data arrives; here credit is granted for the bytes that the request has
consumed. The classes override private methods, so the library version is pinned; tests
decode every issued ID and fill a stream that nobody reads.
"""

# ruff: noqa: SLF001

import os
from collections.abc import Callable
from dataclasses import dataclass

from aioquic.buffer import Buffer, encode_uint_var
from aioquic.h3.connection import (
    FrameType,
    H3Connection,
    H3Stream,
    HeadersState,
    MessageError,
    encode_frame,
)
from aioquic.h3.events import DataReceived, H3Event
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import (
    MAX_STREAM_DATA_FRAME_CAPACITY,
    NEW_CONNECTION_ID_FRAME_CAPACITY,
    QuicConnection,
    QuicConnectionId,
    QuicReceiveContext,
    stream_is_client_initiated,
    stream_is_unidirectional,
)
from aioquic.quic.packet import QuicFrameType
from aioquic.quic.packet_builder import QuicPacketBuilder
from aioquic.quic.recovery import QuicPacketSpace
from aioquic.quic.stream import QuicStream
from pylsqpack import Decoder

MAX_CONNECTION_IDS = 8
# Highest ID of a request stream. A GOAWAY with this ID announces that the connection
# will close, but rejects no request yet.
MAX_REQUEST_STREAM_ID = (1 << 62) - 4


class TokenQuicConnection(QuicConnection):
    """QUIC connection whose connection IDs are routing tokens.

    Args:
        configuration: Configuration of the server side.
        original_connection_id: Destination connection ID of the caller's first packet.
        issue_id: Returns a new connection ID.
        retry_id: Source connection ID of the Retry that the caller answers, None if no
            Retry was sent.
    """

    def __init__(
        self,
        configuration: QuicConfiguration,
        original_connection_id: bytes,
        issue_id: Callable[[], bytes],
        retry_id: bytes | None = None,
    ) -> None:
        super().__init__(
            configuration=configuration,
            original_destination_connection_id=original_connection_id,
            retry_source_connection_id=retry_id,
        )
        self._issue_id = issue_id
        self._unconsumed: dict[int, int] = {}
        # Connection IDs with a sequence number below this one use a key that is no
        # longer active; the peer is told to retire them.
        self._retire_prior_to = 0
        first = issue_id()
        self._host_cids[0].cid = first
        self.host_cid = first
        self._local_initial_source_connection_id = first

    @property
    def connection_ids(self) -> list[bytes]:
        """Connection IDs that the peer may use."""
        return [connection_id.cid for connection_id in self._host_cids]

    @property
    def probe_count(self) -> int:
        """Number of loss timer expiries since the last acknowledgement."""
        return self._loss._pto_count

    @property
    def idle_seconds(self) -> float:
        """Time in seconds without a received packet until the connection closes."""
        return self._idle_timeout()

    @property
    def all_acknowledged(self) -> bool:
        """Whether the peer has acknowledged the end of every answer and all GOAWAYs."""
        return all(
            stream.sender.is_finished
            or stream.sender.buffer_is_empty
            and stream.sender._buffer_stop == 0
            if _is_request_stream(stream_id)
            else self.buffered_bytes(stream_id) == 0
            for stream_id, stream in self._streams.items()
        )

    def renew_connection_ids(self) -> None:
        """Issue new connection IDs and make the peer retire all earlier ones."""
        self._retire_prior_to = self._host_cid_seq
        for _ in range(self._connection_id_limit):
            self._add_connection_id()

    def buffered_bytes(self, stream_id: int) -> int:
        """Return how many sent bytes of a stream are not yet acknowledged."""
        stream = self._streams.get(stream_id)
        if stream is None:
            return 0
        return stream.sender._buffer_stop - stream.sender._buffer_start

    def can_send(self, stream_id: int) -> bool:
        """Return whether data can still be sent on a stream."""
        stream = self._streams.get(stream_id)
        return stream is not None and stream.sender._reset_error_code is None

    def release_handshake(self) -> None:
        """Release the buffers of the handshake after it is confirmed."""
        # Empty buffers replace the three buffers of 16 KB for handshake data. No
        # handshake data is sent after the handshake because no session tickets are
        # issued.
        self._crypto_buffers = {epoch: Buffer() for epoch in self._crypto_buffers}

    def stop_receiving(self, stream_id: int, error_code: int) -> None:
        """Send STOP_SENDING for a stream that the peer has not finished."""
        stream = self._streams.get(stream_id)
        if stream is not None and not stream.receiver.is_finished:
            stream.receiver.stop(error_code)

    def hold_credit(self, stream_id: int, size: int) -> None:
        """Withhold flow control credit for bytes that the request has not consumed."""
        self._unconsumed[stream_id] = self._unconsumed.get(stream_id, 0) + size

    def release_credit(self, stream_id: int, size: int) -> None:
        """Grant the credit for bytes that the request has consumed."""
        remaining = self._unconsumed.get(stream_id, 0) - size
        if remaining > 0:
            self._unconsumed[stream_id] = remaining
        else:
            self._unconsumed.pop(stream_id, None)

    def _payload_received(
        self,
        context: QuicReceiveContext,
        plain: bytes,
        crypto_frame_required: bool = False,
    ) -> tuple[bool, bool]:
        # The library would close a connection whose first packet carries no CRYPTO
        # frame, so `crypto_frame_required` is not passed on. If a caller's first packet
        # went to a host that failed, the caller retransmits to this host, and the first
        # packet here may contain only a PING frame.
        return super()._payload_received(context, plain)

    def _replenish_connection_ids(self) -> None:
        while len(self._host_cids) < self._connection_id_limit:
            self._add_connection_id()

    @property
    def _connection_id_limit(self) -> int:
        return min(MAX_CONNECTION_IDS, self._remote_active_connection_id_limit)

    def _add_connection_id(self) -> None:
        self._host_cids.append(
            QuicConnectionId(
                cid=self._issue_id(),
                sequence_number=self._host_cid_seq,
                stateless_reset_token=os.urandom(16),
            )
        )
        self._host_cid_seq += 1

    def _write_new_connection_id_frame(
        self, builder: QuicPacketBuilder, connection_id: QuicConnectionId
    ) -> None:
        # The library always writes 0 in the field Retire Prior To, the sequence number
        # below which the peer retires connection IDs.
        frame = builder.start_frame(
            QuicFrameType.NEW_CONNECTION_ID,
            capacity=NEW_CONNECTION_ID_FRAME_CAPACITY,
            handler=self._on_new_connection_id_delivery,
            handler_args=(connection_id,),
        )
        number = connection_id.sequence_number
        frame.push_uint_var(number)
        frame.push_uint_var(min(number, self._retire_prior_to))
        frame.push_uint8(len(connection_id.cid))
        frame.push_bytes(connection_id.cid)
        frame.push_bytes(connection_id.stateless_reset_token)
        connection_id.was_sent = True

    def _write_connection_limits(
        self, builder: QuicPacketBuilder, space: QuicPacketSpace
    ) -> None:
        limit = self._local_max_data
        window = self._configuration.max_data
        if limit.used + window // 2 > limit.value:
            pending = sum(self._unconsumed.values()) + sum(
                stream.receiver.highest_offset - stream.receiver.starting_offset()
                for stream in self._streams.values()
            )
            limit.value = max(limit.value, limit.used - pending + window)
        # The library doubles the limit if more than half of it is used, so the used
        # part is set to 0 during the call.
        used, limit.used = limit.used, 0
        try:
            super()._write_connection_limits(builder, space)
        finally:
            limit.used = used

    def _write_stream_limits(
        self, builder: QuicPacketBuilder, space: QuicPacketSpace, stream: QuicStream
    ) -> None:
        stream_id = stream.stream_id
        if not stream.max_stream_data_local or stream.receiver.is_finished:
            return
        window = self._configuration.max_stream_data
        consumed = stream.receiver.starting_offset() - self._unconsumed.get(
            stream_id, 0
        )
        if consumed + window - stream.max_stream_data_local >= window // 2:
            stream.max_stream_data_local = consumed + window
        if stream.max_stream_data_local_sent == stream.max_stream_data_local:
            return
        frame = builder.start_frame(
            QuicFrameType.MAX_STREAM_DATA,
            capacity=MAX_STREAM_DATA_FRAME_CAPACITY,
            handler=self._on_max_stream_data_delivery,
            handler_args=(stream,),
        )
        frame.push_uint_var(stream_id)
        frame.push_uint_var(stream.max_stream_data_local)
        stream.max_stream_data_local_sent = stream.max_stream_data_local


@dataclass(slots=True)
class MalformedMessage(H3Event):
    """A request whose header fields or length are not valid.

    Attributes:
        stream_id: ID of the request stream.
        detail: Why the request is not valid.
        headers_received: Whether valid header fields of the request were reported.
    """

    stream_id: int
    detail: str
    headers_received: bool


class ServerHttp(H3Connection):
    """HTTP/3 connection that reports a malformed request instead of closing.

    The dynamic table of header fields is disabled: one byte can refer to a header
    field of 4 KB, so a small request could expand to many megabytes.

    Args:
        quic: QUIC connection that carries the HTTP/3 connection.
    """

    def __init__(self, quic: TokenQuicConnection) -> None:
        super().__init__(quic)
        self._goaway: int | None = None

    @property
    def goaway(self) -> int | None:
        """First stream ID that will not be processed, None before a GOAWAY."""
        return self._goaway

    def buffered_bytes(self, stream_id: int) -> int:
        """Return how many bytes of a stream are buffered for an incomplete frame."""
        stream = self._stream.get(stream_id)
        return 0 if stream is None else len(stream.buffer)

    def send_goaway(self, stream_id: int) -> None:
        """Send a GOAWAY: requests from a stream ID on will not be processed.

        Args:
            stream_id: First stream ID that will not be processed.
        """
        self._goaway = stream_id
        frame = encode_frame(FrameType.GOAWAY, encode_uint_var(stream_id))
        self._quic.send_stream_data(self._local_control_stream_id, frame)

    def release_stream(self, stream_id: int) -> None:
        """Release the state of a stream whose answer was reset."""
        stream = self._stream.get(stream_id)
        if stream is not None:
            stream.sending_ended = True
            if stream.is_ended():
                self._stream.pop(stream_id)

    def _init_connection(self) -> None:
        self._max_table_capacity = 0
        self._blocked_streams = 0
        self._decoder = Decoder(0, 0)
        super()._init_connection()

    def _handle_request_or_push_frame(
        self,
        frame_type: int,
        frame_data: bytes | None,
        stream: H3Stream,
        stream_ended: bool,
    ) -> list[H3Event]:
        is_trailers = stream.headers_recv_state is not HeadersState.INITIAL
        try:
            events = super()._handle_request_or_push_frame(
                frame_type, frame_data, stream, stream_ended
            )
        except MessageError as error:
            return _malformed(stream, error)
        if frame_type == FrameType.HEADERS and is_trailers:
            # Trailers are not passed on, but the end of the stream is.
            return [DataReceived(b"", stream.stream_id, stream_ended)]
        return events

    def _handle_request_or_push_end(self, stream: H3Stream) -> list[H3Event]:
        try:
            return super()._handle_request_or_push_end(stream)
        except MessageError as error:
            return _malformed(stream, error)


def _malformed(stream: H3Stream, error: MessageError) -> list[H3Event]:
    headers_received = stream.headers_recv_state is not HeadersState.INITIAL
    if not headers_received:
        # The rest of the stream is read and ignored.
        stream.headers_recv_state = HeadersState.AFTER_HEADERS
    stream.expected_content_length = None
    return [MalformedMessage(stream.stream_id, error.reason_phrase, headers_received)]


def _is_request_stream(stream_id: int) -> bool:
    return stream_is_client_initiated(stream_id) and not stream_is_unidirectional(
        stream_id
    )

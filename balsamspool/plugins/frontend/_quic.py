"""Changes to the QUIC library that this project depends on.

The library draws connection IDs at random, at construction and whenever the peer
retires one. Here every ID is a routing token. The library version is pinned; tests
decode every issued ID.
"""

# ruff: noqa: SLF001

import os
from collections.abc import Callable

from aioquic.buffer import encode_uint_var
from aioquic.h3.connection import FrameType, H3Connection, encode_frame
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection, QuicConnectionId

MAX_CONNECTION_IDS = 8


class TokenQuicConnection(QuicConnection):
    """QUIC connection whose connection IDs are routing tokens.

    Args:
        configuration: Configuration of the server side.
        original_connection_id: Destination connection ID of the caller's first packet.
        issue_id: Returns a new connection ID.
    """

    def __init__(
        self,
        configuration: QuicConfiguration,
        original_connection_id: bytes,
        issue_id: Callable[[], bytes],
    ) -> None:
        super().__init__(
            configuration=configuration,
            original_destination_connection_id=original_connection_id,
        )
        self._issue_id = issue_id
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

    def buffered_bytes(self, stream_id: int) -> int:
        """Return the bytes of a stream that are not yet acknowledged."""
        stream = self._streams.get(stream_id)
        if stream is None:
            return 0
        return stream.sender._buffer_stop - stream.sender._buffer_start

    def _replenish_connection_ids(self) -> None:
        limit = min(MAX_CONNECTION_IDS, self._remote_active_connection_id_limit)
        while len(self._host_cids) < limit:
            self._host_cids.append(
                QuicConnectionId(
                    cid=self._issue_id(),
                    sequence_number=self._host_cid_seq,
                    stateless_reset_token=os.urandom(16),
                )
            )
            self._host_cid_seq += 1


def send_goaway(http: H3Connection, quic: QuicConnection, stream_id: int) -> None:
    """Tell the peer that requests from a stream ID on will not be processed.

    Args:
        http: HTTP/3 connection.
        quic: QUIC connection below it.
        stream_id: First stream ID that will not be processed.
    """
    control = http._local_control_stream_id
    if control is not None:
        frame = encode_frame(FrameType.GOAWAY, encode_uint_var(stream_id))
        quic.send_stream_data(control, frame)

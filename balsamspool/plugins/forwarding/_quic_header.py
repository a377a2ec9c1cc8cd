"""The part of a QUIC header that routing needs; see RFC 8999."""

from balsamspool.plugins.routing.token import TOKEN_BYTES

LONG_HEADER_BIT = 0x80
# A caller pads every datagram with an Initial packet to this size (RFC 9000, 14.1).
MIN_OPENING_BYTES = 1200
_CONNECTION_ID_LENGTH_OFFSET = 5
_CONNECTION_ID_OFFSET = 6
MAX_CONNECTION_ID_BYTES = 20


def read_connection_id(datagram: bytes) -> bytes | None:
    """Read the destination connection ID of a QUIC datagram.

    Args:
        datagram: Datagram from a caller.

    Returns:
        The connection ID, or None if the datagram is not QUIC.
    """
    if not datagram:
        return None
    if datagram[0] & LONG_HEADER_BIT:
        if len(datagram) <= _CONNECTION_ID_OFFSET:
            return None
        length = datagram[_CONNECTION_ID_LENGTH_OFFSET]
        connection_id = datagram[_CONNECTION_ID_OFFSET : _CONNECTION_ID_OFFSET + length]
        if length > MAX_CONNECTION_ID_BYTES or len(connection_id) != length:
            return None
        return connection_id
    connection_id = datagram[1 : 1 + TOKEN_BYTES]
    return connection_id if len(connection_id) == TOKEN_BYTES else None


def may_open(datagram: bytes) -> bool:
    """Return whether a QUIC datagram may open a flow."""
    return bool(datagram[0] & LONG_HEADER_BIT) and len(datagram) >= MIN_OPENING_BYTES

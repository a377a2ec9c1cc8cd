"""Binary layout of the messages between entries and agents."""

import struct

from xxhash import xxh32_intdigest

from balsamspool.datagram.messages import (
    FlowEnded,
    FlowLocated,
    Forward,
    Message,
    PacketReturned,
    Report,
    Subscribe,
)
from balsamspool.placement.load import LoadReport

LAYOUT_VERSION = 1

_FORWARD, _LOCATED, _ENDED, _RETURNED, _SUBSCRIBE, _REPORT = range(1, 7)
# Fields: layout, kind, hops, flags, number of alternatives, service, origin.
_FORWARD_HEAD = struct.Struct("!BBBBBI4s")
_FLOW = struct.Struct("!BB12s")
# Fields: layout, kind, hops, flags.
_RETURNED_HEAD = struct.Struct("!BBBB")
_SUBSCRIPTION = struct.Struct("!BBH")
# Fields: layout, kind, responsive, requests in progress, mean number of requests in
# progress in 1/256, flows, period in ms.
_LOAD = struct.Struct("!BBBHIHH")

_UNCONFIRMED, _SKIPPED = 1, 2

_MEAN_UNIT = 256
_MAX_SHORT = 0xFFFF
_MAX_LONG = 0xFFFFFFFF


def service_number(name: str) -> int:
    """Return the number that identifies a service in messages, which is never 0."""
    return xxh32_intdigest(name.encode()) or 1


def forward_head(message: Forward) -> bytes:
    """Return the header that precedes the payload of a forwarded packet."""
    head = _FORWARD_HEAD.pack(
        LAYOUT_VERSION,
        _FORWARD,
        message.hops,
        _UNCONFIRMED * message.unconfirmed | _SKIPPED * message.skipped,
        len(message.alternatives),
        message.service,
        message.origin,
    )
    return head + b"".join(message.alternatives)


def returned_head(hops: int, skipped: bool) -> bytes:
    """Return the header that precedes the payload of a returned packet."""
    return _RETURNED_HEAD.pack(LAYOUT_VERSION, _RETURNED, hops, _SKIPPED * skipped)


def encode_small(message: FlowLocated | FlowEnded | Subscribe | Report) -> bytes:
    """Encode a message without a payload."""
    match message:
        case FlowLocated(flow):
            return _FLOW.pack(LAYOUT_VERSION, _LOCATED, flow)
        case FlowEnded(flow):
            return _FLOW.pack(LAYOUT_VERSION, _ENDED, flow)
        case Subscribe(lease):
            milliseconds = min(int(lease * 1000), _MAX_SHORT)
            return _SUBSCRIPTION.pack(LAYOUT_VERSION, _SUBSCRIBE, milliseconds)
        case Report(load):
            return _LOAD.pack(
                LAYOUT_VERSION,
                _REPORT,
                load.responsive,
                min(load.in_progress, _MAX_SHORT),
                min(int(load.mean_in_progress * _MEAN_UNIT), _MAX_LONG),
                min(load.flows, _MAX_SHORT),
                min(int(load.period * 1000), _MAX_SHORT),
            )


def decode(data: bytes) -> Message | None:
    """Decode a message.

    Args:
        data: The datagram.

    Returns:
        The message, or None if the datagram is not a message of this layout.
    """
    if len(data) < 2 or data[0] != LAYOUT_VERSION:
        return None
    try:
        return _decode(data)
    except struct.error:
        return None


def _decode(data: bytes) -> Message | None:
    match data[1]:
        case 1:
            return _decode_forward(data)
        case 2:
            return FlowLocated(_FLOW.unpack(data)[2])
        case 3:
            return FlowEnded(_FLOW.unpack(data)[2])
        case 4:
            _, _, hops, flags = _RETURNED_HEAD.unpack_from(data)
            payload = data[_RETURNED_HEAD.size :]
            return PacketReturned(hops, bool(flags & _SKIPPED), payload)
        case 5:
            return Subscribe(_SUBSCRIPTION.unpack(data)[2] / 1000)
        case 6:
            _, _, responsive, in_progress, mean, flows, period = _LOAD.unpack(data)
            load = LoadReport(
                in_progress, mean / _MEAN_UNIT, flows, bool(responsive), period / 1000
            )
            return Report(load)
        case _:
            return None


def _decode_forward(data: bytes) -> Forward | None:
    _, _, hops, flags, count, service, origin = _FORWARD_HEAD.unpack_from(data)
    start = _FORWARD_HEAD.size
    end = start + 4 * count
    if len(data) < end:
        return None
    alternatives = tuple(data[i : i + 4] for i in range(start, end, 4))
    return Forward(
        service=service,
        origin=origin,
        hops=hops,
        unconfirmed=bool(flags & _UNCONFIRMED),
        skipped=bool(flags & _SKIPPED),
        alternatives=alternatives,
        payload=data[end:],
    )

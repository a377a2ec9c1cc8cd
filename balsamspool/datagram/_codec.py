"""Binary layout of the messages between entries and agents."""

import math
import struct

from xxhash import xxh32_intdigest

from balsamspool.datagram.messages import (
    Announce,
    FlowEnded,
    FlowLocated,
    Forward,
    Message,
    PacketReturned,
    QueryTerms,
    Readers,
    Report,
    SmallMessage,
    Subscribe,
    Terms,
    WorkReport,
)
from balsamspool.placement.load import LoadReport
from balsamspool.scheduling.terms import RequestTerms, ServerTerms

LAYOUT_VERSION = 1

_FORWARD, _LOCATED, _ENDED, _RETURNED = range(1, 5)
_SUBSCRIBE, _REPORT, _ANNOUNCE, _READERS = range(5, 9)
_QUERY_TERMS, _TERMS, _WORK_REPORT = range(9, 12)
# Fields: layout, kind, hops, flags, number of alternatives, service, origin.
_FORWARD_HEAD = struct.Struct("!BBBBBI4s")
_FLOW = struct.Struct("!BB12s")
# Fields: layout, kind, hops, flags.
_RETURNED_HEAD = struct.Struct("!BBBB")
# Fields: layout, kind, lease in ms, period in ms. The period may be missing.
_SUBSCRIPTION = struct.Struct("!BBHH")
_SUBSCRIPTION_WITHOUT_PERIOD = struct.Struct("!BBH")
# Fields: layout, kind, responsive, requests in progress, mean number of requests in
# progress in 1/256, flows, period in ms.
_LOAD = struct.Struct("!BBBHIHH")
# Fields: layout, kind, responsive, requests in progress, mean number of requests in
# progress in 1/64, flows, period in ms, work left in ms, service time in 1/4 ms.
_WORK = struct.Struct("!BBBHHHHHH")
# Fields: layout, kind, whether the entry reaches the service, failure domain, revision.
_ANNOUNCEMENT = struct.Struct("!BBBIQ")
# Fields: layout, kind, number of readers, entries, newest revision.
_READERS_HEAD = struct.Struct("!BBBHQ")

# Fields: layout, kind, endpoint of the route.
_TERMS_QUERY = struct.Struct("!BB6s")
# Fields: layout, kind, endpoint of the route, priority, latency objective in ms, limit
# in ms, slots, warm-up in ms, new flows in 1/256 a second.
_TERMS_CONTENT = struct.Struct("!BB6sBIIHII")

_UNCONFIRMED, _SKIPPED, _UNSURE = 1, 2, 4

_MEAN_UNIT = 256
_WORK_MEAN_UNIT = 64
_SERVICE_TIME_UNIT = 4_000
_RATE_UNIT = 256
_MAX_OCTET = 0xFF
_MAX_SHORT = 0xFFFF
_MAX_LONG = 0xFFFFFFFF


def service_number(name: str) -> int:
    """Return the number that identifies a service in messages, which is never 0."""
    return xxh32_intdigest(name.encode()) or 1


def failure_domain_number(name: str) -> int:
    """Return the number that identifies a failure domain in messages."""
    return xxh32_intdigest(name.encode())


def forward_head(message: Forward) -> bytes:
    """Return the header that precedes the payload of a forwarded packet."""
    head = _FORWARD_HEAD.pack(
        LAYOUT_VERSION,
        _FORWARD,
        message.hops,
        _UNCONFIRMED * message.unconfirmed
        | _SKIPPED * message.skipped
        | _UNSURE * message.unsure,
        len(message.alternatives),
        message.service,
        message.origin,
    )
    return head + b"".join(message.alternatives)


def returned_head(hops: int, skipped: bool, unsure: bool = False) -> bytes:
    """Return the header that precedes the payload of a returned packet."""
    flags = _SKIPPED * skipped | _UNSURE * unsure
    return _RETURNED_HEAD.pack(LAYOUT_VERSION, _RETURNED, hops, flags)


def encode_small(message: SmallMessage) -> bytes:
    """Encode a message without a payload."""
    match message:
        case FlowLocated(flow):
            return _FLOW.pack(LAYOUT_VERSION, _LOCATED, flow)
        case FlowEnded(flow):
            return _FLOW.pack(LAYOUT_VERSION, _ENDED, flow)
        case Subscribe(lease, period):
            return _SUBSCRIPTION.pack(
                LAYOUT_VERSION,
                _SUBSCRIBE,
                min(int(lease * 1000), _MAX_SHORT),
                min(int(period * 1000), _MAX_SHORT),
            )
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
        case WorkReport(load):
            return _encode_work_report(load)
        case Announce(failure_domain, revision, reaches_service):
            return _ANNOUNCEMENT.pack(
                LAYOUT_VERSION, _ANNOUNCE, reaches_service, failure_domain, revision
            )
        case Readers(readers, entries, newest_revision):
            head = _READERS_HEAD.pack(
                LAYOUT_VERSION,
                _READERS,
                len(readers),
                min(entries, _MAX_SHORT),
                newest_revision,
            )
            return head + b"".join(readers)
        case QueryTerms(endpoint):
            return _TERMS_QUERY.pack(LAYOUT_VERSION, _QUERY_TERMS, endpoint)
        case Terms(endpoint, request, server):
            return _TERMS_CONTENT.pack(
                LAYOUT_VERSION,
                _TERMS,
                endpoint,
                min(request.priority, _MAX_OCTET),
                min(int(request.goal * 1000), _MAX_LONG),
                min(int(request.limit * 1000), _MAX_LONG),
                min(server.slots, _MAX_SHORT),
                min(int(server.warmup * 1000), _MAX_LONG),
                min(int(server.flows_per_second * _RATE_UNIT), _MAX_LONG),
            )


def _encode_work_report(load: LoadReport) -> bytes:
    return _WORK.pack(
        LAYOUT_VERSION,
        _WORK_REPORT,
        load.responsive,
        min(load.in_progress, _MAX_SHORT),
        min(int(load.mean_in_progress * _WORK_MEAN_UNIT), _MAX_SHORT),
        min(load.flows, _MAX_SHORT),
        min(int(load.period * 1000), _MAX_SHORT),
        min(round((load.work_left or 0.0) * 1000), _MAX_SHORT),
        min(math.ceil(load.service_time * _SERVICE_TIME_UNIT), _MAX_SHORT),
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
            skipped, unsure = bool(flags & _SKIPPED), bool(flags & _UNSURE)
            return PacketReturned(hops, skipped, payload, unsure)
        case 5:
            return _decode_subscribe(data)
        case 6:
            _, _, responsive, in_progress, mean, flows, period = _LOAD.unpack(data)
            load = LoadReport(
                in_progress, mean / _MEAN_UNIT, flows, bool(responsive), period / 1000
            )
            return Report(load)
        case 7:
            _, _, reaches, domain, revision = _ANNOUNCEMENT.unpack(data)
            return Announce(domain, revision, bool(reaches))
        case 8:
            return _decode_readers(data)
        case 9:
            return QueryTerms(_TERMS_QUERY.unpack(data)[2])
        case 10:
            return _decode_terms(data)
        case 11:
            return _decode_work_report(data)
        case _:
            return None


def _decode_forward(data: bytes) -> Forward | None:
    _, _, hops, flags, count, service, origin = _FORWARD_HEAD.unpack_from(data)
    end = _FORWARD_HEAD.size + 4 * count
    if len(data) < end:
        return None
    alternatives = _decode_addresses(data, _FORWARD_HEAD.size, end)
    return Forward(
        service=service,
        origin=origin,
        hops=hops,
        unconfirmed=bool(flags & _UNCONFIRMED),
        skipped=bool(flags & _SKIPPED),
        alternatives=alternatives,
        payload=data[end:],
        unsure=bool(flags & _UNSURE),
    )


def _decode_subscribe(data: bytes) -> Subscribe:
    if len(data) == _SUBSCRIPTION_WITHOUT_PERIOD.size:
        return Subscribe(_SUBSCRIPTION_WITHOUT_PERIOD.unpack(data)[2] / 1000)
    _, _, lease, period = _SUBSCRIPTION.unpack(data)
    return Subscribe(lease / 1000, period / 1000)


def _decode_readers(data: bytes) -> Readers | None:
    _, _, count, entries, newest_revision = _READERS_HEAD.unpack_from(data)
    end = _READERS_HEAD.size + 4 * count
    if len(data) != end:
        return None
    readers = _decode_addresses(data, _READERS_HEAD.size, end)
    return Readers(readers, entries, newest_revision)


def _decode_terms(data: bytes) -> Terms:
    _, _, endpoint, priority, goal, limit, slots, warmup, rate = _TERMS_CONTENT.unpack(
        data
    )
    request = RequestTerms(priority, goal / 1000, limit / 1000)
    server = ServerTerms(max(1, slots), warmup / 1000, rate / _RATE_UNIT)
    return Terms(endpoint, request, server)


def _decode_work_report(data: bytes) -> WorkReport:
    _, _, responsive, in_progress, mean, flows, period, left, service = _WORK.unpack(
        data
    )
    load = LoadReport(
        in_progress,
        mean / _WORK_MEAN_UNIT,
        flows,
        bool(responsive),
        period / 1000,
        left / 1000,
        service / _SERVICE_TIME_UNIT,
    )
    return WorkReport(load)


def _decode_addresses(data: bytes, start: int, end: int) -> tuple[bytes, ...]:
    return tuple(data[i : i + 4] for i in range(start, end, 4))

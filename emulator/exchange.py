"""Requests and replies inside flows, which only callers and backend servers decode."""

import msgspec
from msgspec import Struct

from emulator.segment import MAX_DATA_BYTES

# Bytes reserved in a segment for the fields of an encoded reply other than its data.
_REPLY_OVERHEAD_BYTES = 40


class Request(Struct, frozen=True, array_like=True):
    """A request of a caller.

    Attributes:
        number: Number of the attempt, unique in a run.
        work: Seconds of work at a backend server of ordinary speed.
        size: Octets of the answer.
    """

    number: int
    work: float
    size: int


class Reply(Struct, frozen=True, array_like=True):
    """A part of an answer.

    Attributes:
        number: Number of the request.
        part: Number of the part, from 0.
        parts: Number of parts.
        executed: Whether the request was run; if not, it may be sent to another server.
        succeeded: Whether it succeeded.
        content: Octets of the answer in this part.
    """

    number: int
    part: int
    parts: int
    executed: bool
    succeeded: bool
    content: bytes = b""


_request_decoder = msgspec.msgpack.Decoder(Request)
_reply_decoder = msgspec.msgpack.Decoder(Reply)


def encode(message: Request | Reply) -> bytes:
    """Encode a message as octets."""
    return msgspec.msgpack.encode(message)


def decode_request(data: bytes) -> Request:
    """Decode a request."""
    return _request_decoder.decode(data)


def decode_reply(data: bytes) -> Reply:
    """Decode a part of an answer."""
    return _reply_decoder.decode(data)


def reply_parts(request: Request, executed: bool, succeeded: bool) -> list[bytes]:
    """Return the parts of an answer, each small enough for one segment."""
    part_bytes = MAX_DATA_BYTES - _REPLY_OVERHEAD_BYTES
    size = request.size if succeeded else 0
    parts = max(1, -(-size // part_bytes))
    messages = []
    for part in range(parts):
        content = bytes(min(part_bytes, size - part * part_bytes))
        reply = Reply(request.number, part, parts, executed, succeeded, content)
        messages.append(encode(reply))
    return messages

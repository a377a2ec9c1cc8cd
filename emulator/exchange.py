"""Requests and replies inside flows; only callers and backend servers read them."""

import msgspec
from msgspec import Struct

from emulator.segment import MAX_DATA_BYTES

# What a reply chunk needs beside its filling.
_CHUNK_ROOM = 40


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
        executed: Whether the request was run; if not, it may be sent elsewhere.
        succeeded: Whether it succeeded.
        filling: Octets of the answer.
    """

    number: int
    part: int
    parts: int
    executed: bool
    succeeded: bool
    filling: bytes = b""


_request_decoder = msgspec.msgpack.Decoder(Request)
_reply_decoder = msgspec.msgpack.Decoder(Reply)


def encode(message: Request | Reply) -> bytes:
    """Return a message as octets."""
    return msgspec.msgpack.encode(message)


def decode_request(data: bytes) -> Request:
    """Read a request."""
    return _request_decoder.decode(data)


def decode_reply(data: bytes) -> Reply:
    """Read a part of an answer."""
    return _reply_decoder.decode(data)


def reply_parts(request: Request, executed: bool, succeeded: bool) -> list[bytes]:
    """Return the parts of an answer, each small enough for one segment."""
    room = MAX_DATA_BYTES - _CHUNK_ROOM
    size = request.size if succeeded else 0
    parts = max(1, -(-size // room))
    messages = []
    for part in range(parts):
        filling = bytes(min(room, size - part * room))
        reply = Reply(request.number, part, parts, executed, succeeded, filling)
        messages.append(encode(reply))
    return messages

"""Decoding of what other writers sent, whatever it holds.

A decoder of msgspec calls itself for each level of nesting, also in fields that it
skips, so that it raises `RecursionError` at a depth that depends on its caller. The
functions of this module find the depth by a scan, so that all processes agree on what
is too deep, and raise nothing but `ValueError`.
"""

import re
from itertools import accumulate
from typing import Protocol, TypeVar

# Deepest nesting that is read. Messages and entries have fewer than 10 levels.
MAX_NESTING = 64
# Longest description of a failure. The messages of a decoder repeat values in full.
MAX_DETAIL_CHARACTERS = 200

# A string, or the rest of a text that ends within one. A pattern that needs the closing
# quote would search the rest of such a text again from each quote in it.
_STRING_PATTERN = rb'"(?:[^"\\]+|\\.)*+(?:"|\\?\Z)'
_STRING = re.compile(_STRING_PATTERN, re.DOTALL)
_STRING_OR_BRACKET = re.compile(_STRING_PATTERN + rb"|[\[\]{}]", re.DOTALL)
_NO_BRACKETS = bytes(set(range(256)) - set(b"[]{}"))
# Change of the depth at each bracket.
_STEPS = {ord("["): 1, ord("{"): 1, ord("]"): -1, ord("}"): -1}
# A pair of surrogates, half of a pair, or another escape.
_ESCAPE = re.compile(
    rb"\\u[dD][89abAB]\w\w\\u[dD][c-fC-F]\w\w|(\\u[dD][89a-fA-F]\w\w)|\\.", re.DOTALL
)
_REPLACEMENT = rb"\ufffd"

T_co = TypeVar("T_co", covariant=True)
T = TypeVar("T")


class Decoder(Protocol[T_co]):
    """Decoder of a format into a type."""

    def decode(self, data: bytes, /) -> T_co:
        """Decode a message."""


def decode_json(decoder: Decoder[T], data: bytes) -> T:
    """Decode a JSON text.

    Raises:
        ValueError: If the text cannot be decoded, for any reason.
    """
    if _is_deep(data):
        raise ValueError(f"the text is nested deeper than {MAX_NESTING} levels")
    return decode(decoder, data)


def decode_json_parts(decoder: Decoder[T], data: bytes, level: int) -> T:
    """Decode a JSON text whose parts are kept as `msgspec.Raw` and decoded later.

    Args:
        decoder: Decoder of the text.
        data: JSON text.
        level: Nesting of the parts; 1 for the elements of an array. A part that would
            keep the others from being decoded becomes null.

    Raises:
        ValueError: If the text cannot be decoded, for any reason.
    """
    try:
        return decode(decoder, data)
    except ValueError:
        return decode(decoder, _readable_json(data, level))


def decode(decoder: Decoder[T], data: bytes) -> T:
    """Decode a message of any format.

    Raises:
        ValueError: If the message cannot be decoded, for any reason.
    """
    try:
        return decoder.decode(data)
    except (ValueError, RecursionError, OverflowError) as error:
        raise ValueError(str(error)[:MAX_DETAIL_CHARACTERS]) from error


def _readable_json(data: bytes, level: int) -> bytes:
    """Replace the parts of a JSON text that keep the others from being decoded.

    Half of a surrogate pair becomes the replacement character, and a value at a level
    that is nested too deeply becomes null.
    """
    text = data
    if b"\\u" in data:
        text = _ESCAPE.sub(lambda m: _REPLACEMENT if m.group(1) else m.group(), data)
    if not _is_deep(text):
        return text
    parts: list[bytes] = []
    depth = deepest = start = end = 0
    for match in _STRING_OR_BRACKET.finditer(text):
        match match.group():
            case b"[" | b"{":
                if depth == level:
                    deepest, start = depth, match.start()
                depth += 1
                deepest = max(deepest, depth)
            case b"]" | b"}":
                depth -= 1
                if depth == level and deepest > MAX_NESTING:
                    parts += (text[end:start], b"null")
                    end = match.end()
    return b"".join((*parts, text[end:]))


def _is_deep(data: bytes) -> bool:
    """Return whether a text is nested too deeply, up to its first mistake at least."""
    # The number of opening brackets is an upper bound of the depth.
    if data.count(b"[") + data.count(b"{") <= MAX_NESTING:
        return False
    brackets = _STRING.sub(b"", data).translate(None, _NO_BRACKETS)
    return max(accumulate(map(_STEPS.__getitem__, brackets))) > MAX_NESTING

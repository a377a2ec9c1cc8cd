"""Entries of other writers that name no host, and a grammar that builds more."""

import json
import random
from collections.abc import Iterator
from typing import Any

GOOD = {
    "service": "portal",
    "addr": "10.0.0.1:8080",
    "zone": "a",
    "version": "v1",
    "concurrency": 2,
    "state": "ready",
    "warmup-left-ms": 0,
    "seq": 4,
    "born": 1_700_000_000_000,
}

# JSON texts of values that are wrong in each field of an entry.
_WRONG = (
    b"null",
    b"[]",
    b"{}",
    b"-1",
    b"1e400",
    b"9" * 30,
    b"-" + b"9" * 30,
    b"9" * 5_000,
    b"NaN",
    b"-Infinity",
    b'"\\ud800"',
    b'"\xff"',
    b'""',
    b'"' + b"x" * 5_000 + b'"',
    b"[" * 70 + b"]" * 70,
    b"[" * 5_000 + b"]" * 5_000,
    b'{"a":' * 2_000 + b"1" + b"}" * 2_000,
)
WRONG_ADDRESSES = (
    "10.0.0.1",
    "10.0.0.1:",
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:-1",
    "10.0.0.1:" + "9" * 30,
    "10.0.0.1:" + "9" * 5_000,
    "10.0.0.1:٣",
    "10.0.0.1:²",
    "10.0.0.1: 80",
    "10.0.0.1:80\n",
    "10.0.0.1:8_0",
    "10.0.0.1:+80",
    "10.0.0.1:080",
    "10.0.0.1:80:80",
    "10.0.0.256:80",
    "10.0.0.1\0:80",
    " 10.0.0.1:80",
    "::1:80",
    "host-1:80",
    "0.0.0.0:80",
    "224.0.0.1:80",
    "240.0.0.1:80",
    "255.255.255.255:80",
)


def entry(field: str | None = None, text: bytes = b"", **values: Any) -> bytes:
    """Return the JSON text of a good entry, with one field replaced by a JSON text."""
    members = {
        name: json.dumps(value).encode() for name, value in (GOOD | values).items()
    }
    if field is not None:
        members[field] = text
    pairs = (json.dumps(name).encode() + b":" + v for name, v in members.items())
    return b"{" + b",".join(pairs) + b"}"


# Entries that once ended the reading of the list, or the messages to peers.
HARMFUL_ENTRIES = (
    entry("other", b"[" * 2_000 + b"]" * 2_000),
    entry("concurrency", b"9" * 30),
)


def odd_entries() -> Iterator[bytes]:
    """Yield entries that name no host."""
    for field in ("service", "addr", "zone", "concurrency", "state", "born"):
        for text in _WRONG:
            # A host without a known start may send none.
            if (field, text) != ("born", b"null"):
                yield entry(field, text)
    for text in _WRONG:
        if text not in (b"null", b"{}"):
            yield text
    for address in WRONG_ADDRESSES:
        yield entry(addr=address)
    yield entry("warmup-left-ms", b"1e300")
    yield entry("warmup-left-ms", b"-1")
    yield entry("other", b"[" * 70 + b"]" * 70)
    yield entry("other", b"[" * 2_000 + b"]" * 2_000)
    yield entry("concurrency", b"0")
    yield entry("concurrency", b"65536")
    yield entry("born", b"9999999999999")
    yield b""
    yield b"{"


def random_entry(rng: random.Random) -> bytes:
    """Return a text that is built from a good entry by a grammar of JSON values."""
    if rng.random() < 0.1:
        return _random_value(rng, 3)
    # Another program of the instance on which the good host runs.
    address = "10.0.0.1:9100"
    found = entry(rng.choice((*GOOD, "other")), _random_value(rng, 3), addr=address)
    if rng.random() < 0.1:
        found = found[: rng.randrange(len(found))]
    return found


def _random_value(rng: random.Random, depth: int) -> bytes:
    match rng.randrange(9):
        case 0:
            return rng.choice(_WRONG)
        case 1:
            return str(rng.randrange(-(10**30), 10**30)).encode()
        case 2:
            return str(rng.randrange(-9, 70_000)).encode()
        case 3:
            address = ".".join(str(rng.randrange(-1, 258)) for _ in range(4))
            return f'"{address}:{rng.randrange(-9, 70_000)}"'.encode()
        case 4:
            return json.dumps(rng.choice(WRONG_ADDRESSES)).encode()
        case 5:
            levels = rng.choice((1, 60, 70, 900, 1_000, 20_000))
            return b"[" * levels + b"]" * levels
        case 6 if depth:
            members = (_random_value(rng, depth - 1) for _ in range(3))
            return b"[" + b",".join(members) + b"]"
        case 7 if depth:
            pairs = (
                json.dumps(rng.choice((*GOOD, "x"))).encode()
                + b":"
                + _random_value(rng, depth - 1)
                for _ in range(3)
            )
            return b"{" + b",".join(pairs) + b"}"
        case _:
            return json.dumps(rng.choice(("", "ready", "ü", "\0", "a" * 300))).encode()

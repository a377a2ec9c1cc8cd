"""Weighted rendezvous hashing."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

_HASH_RANGE = float(1 << 64)


@dataclass(frozen=True, slots=True)
class Candidate:
    """A host that can be chosen.

    Attributes:
        name: Name of the agent instance.
        address: IPv4 address of the agent.
        data_port: UDP port of the agent.
        weight: Share of flows relative to the others, above 0.
    """

    name: str
    address: str
    data_port: int
    weight: float = 1.0


def rank(key: bytes, candidates: Sequence[Candidate]) -> list[Candidate]:
    """Order candidates for a key, the chosen one first.

    Args:
        key: Bytes of the flow key.
        candidates: Hosts that can be chosen.

    Returns:
        All candidates. The order of two of them depends on no third one.
    """
    return sorted(candidates, key=lambda c: _score(key, c), reverse=True)


def choose(key: bytes, candidates: Sequence[Candidate]) -> Candidate | None:
    """Return the first candidate of the ranking, or None if there are none."""
    return max(candidates, key=lambda c: _score(key, c), default=None)


def _score(key: bytes, candidate: Candidate) -> float:
    digest = xxh3_64_intdigest(candidate.name.encode() + b"\x00" + key)
    # The half keeps the logarithm finite for a digest of 0.
    return -candidate.weight / math.log((digest + 0.5) / _HASH_RANGE)

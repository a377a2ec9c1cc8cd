"""Weighted rendezvous hashing."""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Protocol, TypeVar

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


class Named(Protocol):
    """Anything with a name that is the same in all processes."""

    @property
    def name(self) -> str:
        """The name."""


N = TypeVar("N", bound=Named)


def rank_equal(key: bytes, items: Sequence[N]) -> list[N]:
    """Order items of equal weight for a key.

    Args:
        key: Bytes of the flow key.
        items: Items that can be chosen.

    Returns:
        All items, the chosen one first. The relative order of two items does not depend
        on the other items.
    """
    return sorted(items, key=lambda i: _digest(key, i.name), reverse=True)


def first_equal(key: bytes, items: Iterable[N]) -> N | None:
    """Return the item that `rank_equal` puts first, or None if there are none."""
    return max(items, key=lambda i: _digest(key, i.name), default=None)


def rank_names(key: bytes, names: Iterable[str]) -> list[str]:
    """Order names for a key, the chosen one first."""
    return sorted(names, key=lambda name: _digest(key, name), reverse=True)


def rank(key: bytes, candidates: Sequence[Candidate]) -> list[Candidate]:
    """Order candidates for a key, the chosen one first.

    Args:
        key: Bytes of the flow key.
        candidates: Hosts that can be chosen.

    Returns:
        All candidates. The relative order of two candidates does not depend on the
        others.
    """
    return sorted(candidates, key=lambda c: _score(key, c), reverse=True)


def choose(key: bytes, candidates: Sequence[Candidate]) -> Candidate | None:
    """Return the first candidate of the ranking, or None if there are none."""
    return max(candidates, key=lambda c: _score(key, c), default=None)


class Weighted(Protocol):
    """A service that receives a share of the new flows."""

    @property
    def service(self) -> str:
        """Name of the service."""

    @property
    def weight(self) -> int:
        """Share relative to the others, above 0."""


W = TypeVar("W", bound=Weighted)


def choose_target(key: bytes, targets: Sequence[W]) -> W:
    """Return the service for a new flow, by weight and the key of the flow.

    Args:
        key: Bytes of the flow key.
        targets: Services to choose from, at least one.
    """
    if len(targets) == 1:
        return targets[0]
    return max(targets, key=lambda t: _weighted_score(key, t.service, t.weight))


def _score(key: bytes, candidate: Candidate) -> float:
    return _weighted_score(key, candidate.name, candidate.weight)


def _weighted_score(key: bytes, name: str, weight: float) -> float:
    # Adding 0.5 keeps the logarithm finite for a digest of 0.
    return -weight / math.log((_digest(key, name) + 0.5) / _HASH_RANGE)


def _digest(key: bytes, name: str) -> int:
    return xxh3_64_intdigest(name.encode() + b"\x00" + key)

"""Order in which the backend servers of a service are considered for a flow."""

from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Protocol, TypeVar

from balsamspool.placement.rendezvous import (
    Named,
    first_equal,
    rank_equal,
    rank_names,
)

# Number of backend servers of the entry's own failure domain that come before those of
# other failure domains.
LOCAL_FIRST = 3


class Located(Named, Protocol):
    """A backend server in a failure domain."""

    @property
    def address(self) -> str:
        """IPv4 address of its agent."""

    @property
    def failure_domain(self) -> str:
        """Failure domain of its instance."""


S = TypeVar("S", bound=Located)


def rank_by_domain(
    key: bytes,
    servers: Mapping[str, Sequence[S]],
    failure_domain: str,
    usable: Callable[[S], bool] = lambda server: True,
) -> Iterator[S]:
    """Yield the backend servers of a service, those that a flow prefers first.

    The first usable servers of the own failure domain come first, then the first server
    of each other failure domain, then the rest of the own one and of each other one.
    The order is the same at all entries of a failure domain. It is computed only as far
    as it is used, because a service may have hundreds of backend servers.

    Args:
        key: Bytes of the flow key.
        servers: Backend servers by failure domain.
        failure_domain: The own failure domain.
        usable: Returns whether a server counts as one of the first.
    """
    local = iter(rank_equal(key, servers.get(failure_domain, ())))
    found = 0
    while found < LOCAL_FIRST and (server := next(local, None)) is not None:
        found += usable(server)
        yield server
    others = rank_names(key, (name for name in servers if name != failure_domain))
    firsts = []
    for name in others:
        first = first_equal(key, servers[name])
        if first is not None:
            firsts.append(first)
            yield first
    yield from local
    for name in others:
        yield from (s for s in rank_equal(key, servers[name]) if s not in firsts)


def by_failure_domain(servers: Sequence[S]) -> dict[str, list[S]]:
    """Group backend servers by failure domain."""
    grouped: dict[str, list[S]] = {}
    for server in servers:
        grouped.setdefault(server.failure_domain, []).append(server)
    return grouped

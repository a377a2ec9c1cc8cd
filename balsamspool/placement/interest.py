"""Selects the hosts whose load an entry has to know.

An entry places nearly all flows in its own failure domain, so it needs the load of the
hosts there. The number of reports therefore does not grow with the size of the fleet.
"""

import random
from collections.abc import Collection, Iterable, Sequence
from itertools import chain
from typing import Protocol

from msgspec import Struct

from balsamspool.placement.load import LoadBoard
from balsamspool.placement.ranking import Located
from balsamspool.placement.rendezvous import rank_equal

# Maximum number of hosts of the own failure domain that report to one entry.
MAX_LOCAL_HOSTS = 512
# Number of hosts of each service in other failure domains that report to one entry.
REMOTE_SAMPLE = 4
# Maximum number of hosts of all services in other failure domains, besides those that
# hold flows of the entry.
MAX_REMOTE_HOSTS = 32
# Number of agents to which all entries of a failure domain announce themselves.
MEETING_AGENTS = 3


class Serving(Located, Protocol):
    """A backend server of a service."""

    @property
    def service(self) -> str:
        """Name of the service."""


class ReportingHosts(Struct, frozen=True):
    """Addresses of the hosts that are asked for load reports.

    Attributes:
        local: Hosts of the own failure domain, which report often.
        remote: Hosts of other failure domains.
    """

    local: set[str]
    remote: set[str]


def reporting_hosts(
    listed: Iterable[Serving],
    removed: Iterable[Serving],
    flow_hosts: Collection[str],
    failure_domain: str,
    own_address: str,
) -> ReportingHosts:
    """Return the hosts that an entry asks for load reports.

    Args:
        listed: Listed backend servers.
        removed: Backend servers that were removed a short time ago. Their reports show
            whether they still hold their flows.
        flow_hosts: Addresses of the hosts that hold flows of the entry.
        failure_domain: Failure domain of the entry.
        own_address: Address of the entry. Each entry asks other remote hosts.
    """
    local: set[str] = set()
    remote: set[str] = set()
    remote_servers: dict[str, list[Serving]] = {}
    for server in chain(listed, removed):
        if server.failure_domain == failure_domain:
            local.add(server.address)
        elif server.address in flow_hosts:
            remote.add(server.address)
    for server in listed:
        if server.failure_domain != failure_domain:
            remote_servers.setdefault(server.service, []).append(server)
    key = own_address.encode()
    sample = [
        server
        for servers in remote_servers.values()
        for server in rank_equal(key, servers)[:REMOTE_SAMPLE]
    ]
    for server in rank_equal(key, sample)[:MAX_REMOTE_HOSTS]:
        remote.add(server.address)
    return ReportingHosts(set(sorted(local)[:MAX_LOCAL_HOSTS]), remote)


def announce_targets(
    servers: Sequence[Located],
    board: LoadBoard,
    failure_domain: str,
    rng: random.Random,
) -> set[str]:
    """Return the agents to which an entry announces itself.

    All entries of a failure domain choose the same agents, and one more in another
    failure domain, so that agents there learn the newest revision.

    Args:
        servers: Listed backend servers.
        board: Latest load of each host.
        failure_domain: Failure domain of the entry.
        rng: Random number generator.
    """
    local = [s for s in servers if s.failure_domain == failure_domain]
    remote = [s for s in servers if s.failure_domain != failure_domain]
    key = failure_domain.encode()
    ranked = rank_equal(key, local) or rank_equal(key, remote)
    ranked.sort(key=lambda server: board.silent(server.address))
    targets = {server.address for server in ranked[:MEETING_AGENTS]}
    if remote:
        targets.add(rng.choice(remote).address)
    return targets

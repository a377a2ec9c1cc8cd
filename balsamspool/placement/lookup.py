"""Selects the hosts to query for an open flow that this process does not know."""

from collections.abc import Mapping, Sequence
from itertools import islice
from typing import TypeVar

from balsamspool.placement.load import LoadBoard
from balsamspool.placement.ranking import Located, rank_by_domain

# Maximum number of hosts to which one packet is passed in turn. A flow opens at one of
# the first few hosts in the ranking of its key. Further hosts are included because
# hosts may have joined or left the service since the flow opened.
CHAIN_HOSTS = 12
# Maximum number of hosts that are queried for one flow. In a larger service, a lost
# flow is not reset and its caller waits, because querying all hosts would cost
# more than that wait.
LOOKUP_LIMIT = 256

S = TypeVar("S", bound=Located)


def order_lookup(
    key: bytes,
    listed: Mapping[str, Sequence[S]],
    departed: Mapping[str, Sequence[S]],
    board: LoadBoard,
    failure_domain: str,
) -> list[S]:
    """Order the hosts that may hold a flow, the most likely first.

    A stopped host does not return a packet, and the search ends there. Therefore hosts
    that have never reported come after the others, then hosts to avoid, and hosts that
    are no longer listed come last.

    Args:
        key: Bytes of the flow key.
        listed: Backend servers of the service, by failure domain.
        departed: Backend servers of the service that are no longer listed.
        board: Latest load of each host.
        failure_domain: Failure domain of this process, and of the callers whose packets
            it receives.

    Returns:
        At most ``LOOKUP_LIMIT`` backend servers. After the likely ones, those of a
        failure domain follow each other, so that a packet that is passed along them
        seldom crosses to another failure domain.
    """
    ranked = list(islice(rank_by_domain(key, listed, failure_domain), LOOKUP_LIMIT))
    ranked.sort(key=lambda server: _report_group(server, board, failure_domain))
    ranked += rank_by_domain(key, departed, failure_domain)
    return ranked[:LOOKUP_LIMIT]


def _report_group(server: Located, board: LoadBoard, failure_domain: str) -> int:
    """Return 2 for a host to avoid, 1 if it should report but never has, else 0."""
    if board.avoided(server.address):
        return 2
    # Most hosts of other failure domains are not asked for reports.
    expected = server.failure_domain == failure_domain and not board.empty
    return int(expected and board.load(server.address) is None)

"""Selects the hosts to query for an open flow that this process does not know."""

from collections.abc import Sequence
from typing import TypeVar

from balsamspool.placement.load import LoadBoard
from balsamspool.placement.opening import Placeable
from balsamspool.placement.rendezvous import rank_equal

# Maximum number of hosts to which one packet is passed in turn. A flow opens at one of
# the first few hosts in the ranking of its key. Further hosts are included because
# hosts may have joined or left the service since the flow opened.
CHAIN_HOSTS = 12
# Maximum number of hosts that are queried for one flow. In a larger service, a lost
# flow is not reset and its caller waits, because querying all hosts would cost
# more than that wait.
LOOKUP_LIMIT = 96

S = TypeVar("S", bound=Placeable)


def order_lookup(
    key: bytes, listed: Sequence[S], departed: Sequence[S], board: LoadBoard
) -> list[S]:
    """Order the hosts that may hold a flow, the most likely first.

    A stopped host does not return a packet, and the search ends there. Therefore hosts
    that reported recently come first, and hosts that are no longer listed come last.

    Args:
        key: Bytes of the flow key.
        listed: Backend servers of the service.
        departed: Backend servers of the service that are no longer listed.
        board: Latest load of each host.

    Returns:
        At most ``LOOKUP_LIMIT`` backend servers.
    """
    ranked = rank_equal(key, listed)
    ranked.sort(key=lambda server: _report_group(server, board))
    return [*ranked, *rank_equal(key, departed)][:LOOKUP_LIMIT]


def _report_group(server: Placeable, board: LoadBoard) -> int:
    """Return 0 for a host that reports, 1 if it never reported, 2 if it is avoided."""
    if board.avoided(server.address):
        return 2
    return 0 if board.load(server.address) is not None else 1

"""Decides where an open flow is looked for by a process that does not know it."""

from collections.abc import Sequence
from typing import TypeVar

from balsamspool.placement.load import LoadBoard
from balsamspool.placement.opening import Placeable
from balsamspool.placement.rendezvous import rank_equal

# Hosts that are asked one after the other. A flow opens at one of the first few of the
# ranking; the others allow for hosts that came or left since.
CHAIN_HOSTS = 12
# Hosts that are asked at all. In a larger service a lost flow is not reset, because
# asking everybody for it would cost more than the wait of its caller.
LOOKUP_LIMIT = 96

S = TypeVar("S", bound=Placeable)


def order_lookup(
    key: bytes, listed: Sequence[S], departed: Sequence[S], board: LoadBoard
) -> list[S]:
    """Order the hosts that may hold a flow, the likeliest first.

    A host that is gone gives no packet back, and the search ends there. So hosts that
    reported lately come first, and hosts that are no longer listed come last.

    Args:
        key: Bytes of the flow key.
        listed: Backend servers of the service.
        departed: Backend servers of the service that are no longer listed.
        board: Latest load of each host.

    Returns:
        At most ``LOOKUP_LIMIT`` backend servers.
    """
    ranked = rank_equal(key, listed)
    ranked.sort(key=lambda server: _doubt(server, board))
    return [*ranked, *rank_equal(key, departed)][:LOOKUP_LIMIT]


def _doubt(server: Placeable, board: LoadBoard) -> int:
    """Return 0 for a host that reports, 1 for an unknown and 2 for a silent one."""
    if board.avoided(server.address):
        return 2
    return 0 if board.load(server.address) is not None else 1

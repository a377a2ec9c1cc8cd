"""Decides where an open flow is looked for by a process that does not know it."""

from collections.abc import Sequence
from typing import TypeVar

from balsamspool.placement.load import LoadBoard
from balsamspool.placement.opening import Placeable
from balsamspool.placement.rendezvous import rank_equal

# Hosts that are asked one after the other. A flow opens at one of the first few of the
# ranking; the others allow for hosts that came or left since.
LOOKUP_LIMIT = 12

S = TypeVar("S", bound=Placeable)


def order_lookup(key: bytes, servers: Sequence[S], board: LoadBoard) -> list[S]:
    """Order the hosts that may hold a flow, the likeliest first.

    Args:
        key: Bytes of the flow key.
        servers: Backend servers that may hold flows of the service.
        board: Latest load of each host.

    Returns:
        At most ``LOOKUP_LIMIT`` backend servers. A silent host would end the search,
        so silent ones come last.
    """
    ranked = rank_equal(key, servers)
    heard = [s for s in ranked if not board.avoided(s.address)]
    silent = [s for s in ranked if board.avoided(s.address)]
    return [*heard, *silent][:LOOKUP_LIMIT]

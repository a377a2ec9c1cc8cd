"""Selects the backend server at which a new flow opens.

A flow goes to the least loaded of the first few backend servers in the rendezvous
ranking of its key. Any process can therefore find an open flow by the ranking alone.
Choosing the least loaded of two or more servers balances the hosts nearly as well as
choosing the least loaded of all, and avoids the herding that delayed reports cause when
all entries choose the least loaded server.
"""

from collections.abc import Sequence
from typing import Protocol

from msgspec import Struct

from balsamspool.placement.load import LoadBoard
from balsamspool.placement.rendezvous import Named, rank_equal

# Number of servers at the head of the ranking from which the least loaded is chosen.
CHOICES = 4
# Weight of the latest number of requests in progress in the load of a server. The
# remaining weight applies to the mean of the last seconds, which predicts the requests
# of the open flows.
CURRENT_WEIGHT = 0.5
# Number of requests in progress that a new flow is expected to add before the next
# report of its host.
WORK_PER_PLACED_FLOW = 0.5
# Penalty in expected requests per slot that is added to the cost of a host in another
# failure domain than the entry. Traffic between failure domains costs money, but
# waiting costs more.
DOMAIN_PENALTY = 0.2
# Factor by which a backend server is slower while it warms up.
WARMUP_FACTOR = 1.6


class Placeable(Named, Protocol):
    """A backend server that can accept a new flow."""

    @property
    def address(self) -> str:
        """IPv4 address of its agent."""

    @property
    def slots(self) -> int:
        """Number of requests that it runs at the same time."""

    @property
    def warmup(self) -> float:
        """Seconds for which it stays slow after its start."""

    @property
    def failure_domain(self) -> str:
        """Failure domain of its instance."""


class Choice(Struct, frozen=True):
    """A backend server and the facts that determine its position in the order.

    Attributes:
        server: The backend server.
        cost: Expected requests in progress per slot.
        age: Seconds since the last report of its host, None if there was none.
        avoided: Whether its host is silent or the backend server does not answer.
    """

    server: Placeable
    cost: float
    age: float | None
    avoided: bool


def order_choices(
    key: bytes,
    servers: Sequence[Placeable],
    board: LoadBoard,
    time: float,
    failure_domain: str,
) -> list[Choice]:
    """Order the backend servers that may open a flow, the best first.

    Args:
        key: Bytes of the flow key.
        servers: Backend servers that accept new flows.
        board: Latest load of each host.
        time: Event loop time in seconds.
        failure_domain: Failure domain of the entry, and therefore of its callers.

    Returns:
        At most ``CHOICES`` choices. Backend servers to avoid come last.
    """
    work_per_flow = _mean_work_per_flow(servers, board)
    choices = []
    avoided = []
    for server in rank_equal(key, servers):
        if board.avoided(server.address):
            avoided.append(_choice(server, board, work_per_flow, time, avoided=True))
        else:
            choices.append(_choice(server, board, work_per_flow, time, avoided=False))
        if len(choices) == CHOICES:
            break
    choices.sort(
        key=lambda c: (
            c.cost + DOMAIN_PENALTY * (c.server.failure_domain != failure_domain)
        )
    )
    return [*choices, *avoided][:CHOICES]


def _choice(
    server: Placeable,
    board: LoadBoard,
    work_per_flow: float,
    time: float,
    avoided: bool,
) -> Choice:
    load = board.load(server.address)
    if load is None:
        return Choice(server, 0.0, None, avoided)
    report = load.report
    # The reported mean is still low for a host that has just received many flows, so
    # the requests that its flows are expected to have in progress count too.
    sustained = (report.mean_in_progress + report.flows * work_per_flow) / 2
    work = CURRENT_WEIGHT * report.in_progress + (1 - CURRENT_WEIGHT) * sustained
    work += WORK_PER_PLACED_FLOW * load.placed
    factor = WARMUP_FACTOR if server.warmup > 0 else 1.0
    cost = factor * (work + WORK_PER_PLACED_FLOW) / max(1, server.slots)
    return Choice(server, cost, time - load.received, avoided)


def _mean_work_per_flow(servers: Sequence[Placeable], board: LoadBoard) -> float:
    """Return the mean number of requests in progress per open flow of a service."""
    work = 0.0
    flows = 0
    for server in servers:
        load = board.load(server.address)
        if load is not None:
            work += load.report.mean_in_progress
            flows += load.report.flows
    return work / flows if flows else 0.0

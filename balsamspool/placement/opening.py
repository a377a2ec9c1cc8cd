"""Decides at which backend server a new flow opens.

A flow goes to the least loaded of the first few backend servers in the rendezvous
ranking of its key. Any process can so find an open flow again by the ranking alone,
and two choices or more by recent load keep the hosts nearly as even as a choice among
all, without the herding that a choice among all by delayed reports would cause.
"""

from collections.abc import Sequence
from typing import Protocol

from msgspec import Struct

from balsamspool.placement.load import LoadBoard
from balsamspool.placement.rendezvous import Named, rank_equal

# Backend servers among which the load decides.
CHOICES = 4
# Share of the requests in work now; the rest is the mean of the last seconds, which
# tells what the open flows will ask for.
INSTANT_SHARE = 0.5
# Requests in work that a flow is expected to add until the next report.
PLACED_WORK = 0.5
# Expected requests for each slot by which a host of another failure domain has to be
# better. Bytes between failure domains have a price, and a wait costs more.
DOMAIN_PENALTY = 0.2
# A backend server that warms up works this much slower.
WARMUP_FACTOR = 1.6


class Placeable(Named, Protocol):
    """A backend server that can take a new flow."""

    @property
    def address(self) -> str:
        """IPv4 address of its agent."""

    @property
    def slots(self) -> int:
        """Requests that it runs at a time."""

    @property
    def warmup(self) -> float:
        """Seconds for which it stays slow after its start."""

    @property
    def failure_domain(self) -> str:
        """Failure domain of its instance."""


class Choice(Struct, frozen=True):
    """A backend server and why it stands where it does.

    Attributes:
        server: The backend server.
        cost: Expected requests in work for each slot.
        age: Seconds since its last report, None without one.
        avoided: Whether it is silent or its backend server does not answer.
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
        servers: Backend servers that take new flows.
        failure_domain: Failure domain of the entry, and so of its callers.
        board: Latest load of each host.
        time: Event loop time in seconds.

    Returns:
        At most ``CHOICES`` choices. Those to avoid come last.
    """
    flow_work = _work_of_a_flow(servers, board)
    choices = []
    avoided = []
    for server in rank_equal(key, servers):
        if board.avoided(server.address):
            avoided.append(_choice(server, board, flow_work, time, avoided=True))
        else:
            choices.append(_choice(server, board, flow_work, time, avoided=False))
        if len(choices) == CHOICES:
            break
    choices.sort(
        key=lambda c: (
            c.cost + DOMAIN_PENALTY * (c.server.failure_domain != failure_domain)
        )
    )
    return [*choices, *avoided][:CHOICES]


def _choice(
    server: Placeable, board: LoadBoard, flow_work: float, time: float, avoided: bool
) -> Choice:
    load = board.load(server.address)
    if load is None:
        return Choice(server, 0.0, None, avoided)
    report = load.report
    # A host that was just filled has many flows and little work so far.
    lasting = (report.mean_work + report.flows * flow_work) / 2
    work = INSTANT_SHARE * report.in_work + (1 - INSTANT_SHARE) * lasting
    work += PLACED_WORK * load.placed
    factor = WARMUP_FACTOR if server.warmup > 0 else 1.0
    cost = factor * (work + PLACED_WORK) / max(1, server.slots)
    return Choice(server, cost, time - load.received, avoided)


def _work_of_a_flow(servers: Sequence[Placeable], board: LoadBoard) -> float:
    """Return the mean work of an open flow over all hosts of a service."""
    work = 0.0
    flows = 0
    for server in servers:
        load = board.load(server.address)
        if load is not None:
            work += load.report.mean_work
            flows += load.report.flows
    return work / flows if flows else 0.0

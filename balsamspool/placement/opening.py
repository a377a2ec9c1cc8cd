"""Selects the backend server at which a new flow opens.

A flow goes to the least loaded of a few backend servers: the first ones in the
rendezvous ranking of its key in the failure domain of its entry, and one of another
failure domain. Any entry of the failure domain can therefore find an open flow by the
ranking alone. Choosing the least loaded of a few servers balances the hosts nearly as
well as choosing the least loaded of all, and avoids the herding that delayed reports
cause when all entries choose the least loaded server.
"""

from collections.abc import Mapping, Sequence
from typing import Protocol

from msgspec import Struct

from balsamspool.placement.load import LoadBoard, ServiceLoad
from balsamspool.placement.ranking import Located, rank_by_domain

# Number of servers from which the least loaded is chosen. With three of the failure
# domain of the entry, one remains that takes over if all three are busy.
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
DOMAIN_PENALTY = 0.3
# Factor by which a backend server is slower while it warms up.
WARMUP_FACTOR = 1.6


class Placeable(Located, Protocol):
    """A backend server that can accept a new flow."""

    @property
    def slots(self) -> int:
        """Number of requests that it runs at the same time."""

    @property
    def warmup(self) -> float:
        """Seconds for which it stays slow after its start."""


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
    service: str,
    servers: Mapping[str, Sequence[Placeable]],
    board: LoadBoard,
    time: float,
    failure_domain: str,
) -> list[Choice]:
    """Order the backend servers that may open a flow, the best first.

    Args:
        key: Bytes of the flow key.
        service: Name of the service.
        servers: Backend servers that accept new flows, by failure domain.
        board: Latest load of each host.
        time: Event loop time in seconds.
        failure_domain: Failure domain of the entry, and therefore of its callers.

    Returns:
        At most ``CHOICES`` choices. Backend servers to avoid come last.
    """
    load = board.service_load(service, servers, failure_domain, time)
    choices: list[Choice] = []
    avoided: list[Choice] = []

    def usable(server: Placeable) -> bool:
        return not board.avoided(server.address)

    for server in rank_by_domain(key, servers, failure_domain, usable):
        if usable(server):
            choices.append(_choice(server, board, load, time, avoided=False))
        else:
            avoided.append(_choice(server, board, load, time, avoided=True))
        if len(choices) == CHOICES:
            break
    choices.sort(key=lambda c: order_cost(c, failure_domain))
    return [*choices, *avoided][:CHOICES]


def order_cost(choice: Choice, failure_domain: str) -> float:
    """Return the cost by which a choice is ordered, with penalties.

    Args:
        choice: The choice.
        failure_domain: Failure domain of the entry.
    """
    elsewhere = choice.server.failure_domain != failure_domain
    return choice.cost + DOMAIN_PENALTY * elsewhere


def _choice(
    server: Placeable,
    board: LoadBoard,
    service_load: ServiceLoad,
    time: float,
    avoided: bool,
) -> Choice:
    load = board.load(server.address)
    if load is None:
        cost = _cost(server, service_load.remote_work)
        return Choice(server, cost, None, avoided)
    report = load.report
    # The reported mean is still low for a host that has just received many flows, so
    # the requests that its flows are expected to have in progress count too.
    expected = report.flows * service_load.work_per_flow
    sustained = (report.mean_in_progress + expected) / 2
    work = CURRENT_WEIGHT * report.in_progress + (1 - CURRENT_WEIGHT) * sustained
    work += WORK_PER_PLACED_FLOW * load.placed
    return Choice(server, _cost(server, work), time - load.received, avoided)


def _cost(server: Placeable, work: float) -> float:
    factor = WARMUP_FACTOR if server.warmup > 0 else 1.0
    return factor * (work + WORK_PER_PLACED_FLOW) / max(1, server.slots)

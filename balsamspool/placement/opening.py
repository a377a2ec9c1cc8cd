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

from balsamspool.placement.load import HostLoad, LoadBoard, LoadReport, ServiceLoad
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
# The same where the work left is known. A report that is late or old can't yet tell of
# the request with which a flow opens.
REQUESTS_PER_PLACED_FLOW = 1.0
# Penalty in expected requests per slot that is added to the cost of a host in another
# failure domain than the entry. Traffic between failure domains costs money, but
# waiting costs more.
DOMAIN_PENALTY = 0.3
# Factor by which a backend server is slower while it warms up.
WARMUP_FACTOR = 1.6
# Bounds of the service time of a host relative to the mean of its service. A backend
# server that answers errors quickly must not get all flows.
MIN_SHARE, MAX_SHARE = 0.5, 4.0


class Placeable(Located, Protocol):
    """A backend server that can accept a new flow."""

    @property
    def slots(self) -> int:
        """Number of requests that it runs at the same time."""

    @property
    def warmup(self) -> float:
        """Seconds for which it still warmed up when it was listed, 0 if it is warm."""


class Choice(Struct, frozen=True):
    """A backend server and the facts that determine its position in the order.

    Attributes:
        server: The backend server.
        cost: Expected requests in progress per slot. If the service time is known, the
            expected seconds as a multiple of the mean service time of the service.
        age: Seconds since the last report of its host, None if there was none.
        avoided: Whether its host is silent or the backend server does not answer.
        seconds: Expected seconds until a request of the flow is finished, None if no
            host of the service reports its work.
        work_left: Work left that its host reported in seconds, None if it did not.
        service_time: Expected seconds of a request there, None as for ``seconds``.
    """

    server: Placeable
    cost: float
    age: float | None
    avoided: bool
    seconds: float | None = None
    work_left: float | None = None
    service_time: float | None = None


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
    age = None if load is None else time - load.received
    if service_load.service_time <= 0:
        placed = board.placed_unreported(server.address, time)
        cost = _cost(server, _requests(load, service_load, placed))
        return Choice(server, cost, age, avoided)
    service_time = _service_time(server, load, service_load)
    placed = board.placed_unreported(server.address, time)
    wait = _wait(server, load, service_load, service_time, placed, time)
    seconds = wait + service_time
    return Choice(
        server,
        seconds / service_load.service_time,
        age,
        avoided,
        seconds,
        None if load is None else load.report.work_left,
        service_time,
    )


def _requests(load: HostLoad | None, service_load: ServiceLoad, placed: int) -> float:
    """Return the number of requests that a new flow is expected to meet."""
    if load is None:
        return service_load.remote_work + WORK_PER_PLACED_FLOW * placed
    work = CURRENT_WEIGHT * load.report.in_progress
    work += (1 - CURRENT_WEIGHT) * _sustained(load.report, service_load)
    return work + WORK_PER_PLACED_FLOW * load.placed


def _sustained(report: LoadReport, service_load: ServiceLoad) -> float:
    """Return the number of requests that the open flows keep in progress.

    The reported mean is still low for a host that has just received many flows, so the
    requests that its flows are expected to have in progress count too.
    """
    expected = report.flows * service_load.work_per_flow
    return (report.mean_in_progress + expected) / 2


def _cost(server: Placeable, work: float) -> float:
    factor = WARMUP_FACTOR if server.warmup > 0 else 1.0
    return factor * (work + WORK_PER_PLACED_FLOW) / max(1, server.slots)


def _service_time(
    server: Placeable, load: HostLoad | None, service_load: ServiceLoad
) -> float:
    """Return the expected time of a request at a backend server in seconds."""
    mean = service_load.service_time
    learned = load.report.service_time if load is not None else 0.0
    expected = min(max(learned or mean, MIN_SHARE * mean), MAX_SHARE * mean)
    # What was learned before a backend server became cold does not hold any more.
    return max(expected, WARMUP_FACTOR * mean) if server.warmup > 0 else expected


def _wait(
    server: Placeable,
    load: HostLoad | None,
    service_load: ServiceLoad,
    service_time: float,
    placed: int,
    time: float,
) -> float:
    """Return the expected seconds until a new request begins at a backend server."""
    each = service_time / max(1, server.slots)
    if load is None:
        return _requests(load, service_load, placed) * each
    report = load.report
    if report.work_left is None or report.service_time <= 0:
        return _requests(load, service_load, placed) * each
    current = max(0.0, report.work_left - max(0.0, time - load.received))
    sustained = _sustained(report, service_load) * each
    wait = CURRENT_WEIGHT * current + (1 - CURRENT_WEIGHT) * sustained
    return wait + REQUESTS_PER_PLACED_FLOW * load.placed * each

"""Load of the backend servers, as their agents report it."""

from collections.abc import Mapping, Sequence
from copy import copy
from typing import Protocol

from msgspec import Struct

# A host counts as silent when its latest report is older than this many report periods
# plus the slack.
SILENT_PERIODS = 4.0
SILENT_SLACK_SECONDS = 0.1

# Silence after which the flows of a host that is no longer listed are given up. A host
# that reports seldom is given up later, because a single report may have been lost.
GONE_SECONDS = 3.0
GONE_PERIODS = 2.5
# Time for which the load of a whole service is kept. Hosts report about as often.
SERVICE_LOAD_SECONDS = 0.1
# Time for which flows count that were placed at a host that never reported. Most hosts
# of other failure domains are never asked for reports.
UNREPORTED_PLACED_SECONDS = 1.0


class Addressed(Protocol):
    """Anything with the address of an agent."""

    @property
    def address(self) -> str:
        """IPv4 address of the agent."""


class LoadReport(Struct, frozen=True):
    """Load of one backend server as its agent sees it.

    Attributes:
        in_progress: Requests that the backend server has not answered yet.
        mean_in_progress: Mean of ``in_progress`` over the last seconds.
        flows: Open flows.
        responsive: Whether the backend server answers.
        period: Seconds until the next report.
        work_left: Expected seconds until a new request would begin, None if the agent
            does not tell.
        service_time: Expected seconds of a request of the recent mix, 0 if not known.
    """

    in_progress: int
    mean_in_progress: float
    flows: int
    responsive: bool
    period: float
    work_left: float | None = None
    service_time: float = 0.0


class PlacedFlows(Struct):
    """Flows placed at a host that never reported.

    Attributes:
        since: Event loop time in seconds of the first of them.
        count: Number of flows.
    """

    since: float
    count: int = 0


class HostLoad(Struct):
    """The latest report of one host and the number of flows placed there since.

    Attributes:
        report: The latest report.
        received: Event loop time in seconds at which the report arrived.
        placed: Flows placed at the host since the report arrived.
    """

    report: LoadReport
    received: float
    placed: int = 0


class ServiceLoad(Struct, frozen=True):
    """Load of the hosts of a service that report.

    Attributes:
        work_per_flow: Mean number of requests in progress per open flow.
        remote_work: Mean number of requests in progress of a host in another failure
            domain, or of any host if none of them reports.
        service_time: Mean of the known service times in seconds, 0 if none is known.
        computed: Event loop time in seconds at which the load was computed.
    """

    work_per_flow: float
    remote_work: float
    service_time: float
    computed: float


class LoadBoard:
    """Latest load of each host by the address of its agent."""

    __slots__ = ("_hosts", "_last_received", "_service_loads", "_unreported")

    def __init__(self) -> None:
        self._hosts: dict[str, HostLoad] = {}
        self._last_received = 0.0
        self._service_loads: dict[str, ServiceLoad] = {}
        self._unreported: dict[str, PlacedFlows] = {}

    @property
    def empty(self) -> bool:
        """Whether no host has reported yet."""
        return not self._hosts

    def copy(self) -> "LoadBoard":
        """Return a board of the same loads that caches its own sums.

        Reading the copy changes nothing here. It must not be recorded into, because the
        loads are shared.
        """
        board = LoadBoard()
        for name in self.__slots__:
            setattr(board, name, copy(getattr(self, name)))
        return board

    def record(self, address: str, report: LoadReport, time: float) -> bool:
        """Record a report.

        Args:
            address: Address of the agent.
            report: The report.
            time: Event loop time in seconds.

        Returns:
            Whether the backend server started or stopped answering.
        """
        previous = self._hosts.get(address)
        self._hosts[address] = HostLoad(report, time)
        self._unreported.pop(address, None)
        self._last_received = time
        if previous is None:
            return not report.responsive
        return previous.report.responsive != report.responsive

    def record_placed(self, address: str, time: float) -> None:
        """Count a flow that was placed at a host.

        Args:
            address: Address of the agent.
            time: Event loop time in seconds.
        """
        load = self._hosts.get(address)
        if load is not None:
            load.placed += 1
            return
        placed = self._unreported.get(address)
        if placed is None or not 0 <= time - placed.since < UNREPORTED_PLACED_SECONDS:
            self._forget_placed(time)
            placed = self._unreported[address] = PlacedFlows(time)
        placed.count += 1

    def placed_unreported(self, address: str, time: float) -> int:
        """Return the flows that were placed lately at a host that never reported.

        Without them, an entry that has just started would place each flow as if it were
        the first one.

        Args:
            address: Address of the agent.
            time: Event loop time in seconds.
        """
        placed = self._unreported.get(address)
        if placed is None or not 0 <= time - placed.since < UNREPORTED_PLACED_SECONDS:
            return 0
        return placed.count

    def load(self, address: str) -> HostLoad | None:
        """Return the latest load of a host, None if it never reported."""
        return self._hosts.get(address)

    def has_work(self, address: str) -> bool:
        """Return whether the latest report of a host tells its work left."""
        load = self._hosts.get(address)
        return load is not None and load.report.work_left is not None

    def service_load(
        self,
        service: str,
        servers: Mapping[str, Sequence[Addressed]],
        failure_domain: str,
        time: float,
    ) -> ServiceLoad:
        """Return the load of a service, which is at most as old as a report.

        Args:
            service: Name of the service.
            servers: Its backend servers by failure domain.
            failure_domain: Failure domain of this process.
            time: Event loop time in seconds.
        """
        known = self._service_loads.get(service)
        if known is None or not 0 <= time - known.computed < SERVICE_LOAD_SECONDS:
            known = self._compute_service_load(servers, failure_domain, time)
            self._service_loads[service] = known
        return known

    def avoided(self, address: str) -> bool:
        """Return whether a host should get new flows only if no other host is left.

        Args:
            address: Address of the agent.
        """
        load = self._hosts.get(address)
        if load is None:
            return False
        return not load.report.responsive or self.silent(address)

    def silent(self, address: str) -> bool:
        """Return whether a host has stopped reporting.

        The age of a report is measured against the newest report of any host, so that a
        pause of this process does not make all hosts look silent. A host that has never
        reported is not silent.
        """
        load = self._hosts.get(address)
        if load is None:
            return False
        limit = SILENT_PERIODS * load.report.period + SILENT_SLACK_SECONDS
        return self._last_received - load.received > limit

    def seems_gone(self, address: str) -> bool:
        """Return whether a host has been silent for so long that it may have stopped.

        A host that is silent for a shorter time may be slow or may have been cut off,
        and still holds its flows.
        """
        load = self._hosts.get(address)
        if load is None:
            return False
        limit = max(GONE_SECONDS, GONE_PERIODS * load.report.period)
        return self._last_received - load.received > limit

    def _forget_placed(self, time: float) -> None:
        self._unreported = {
            address: placed
            for address, placed in self._unreported.items()
            if 0 <= time - placed.since < UNREPORTED_PLACED_SECONDS
        }

    def _compute_service_load(
        self,
        servers: Mapping[str, Sequence[Addressed]],
        failure_domain: str,
        time: float,
    ) -> ServiceLoad:
        local = self._reports(servers.get(failure_domain, ()))
        remote = [
            report
            for domain, found in servers.items()
            if domain != failure_domain
            for report in self._reports(found)
        ]
        reports = [*local, *remote]
        flows = sum(report.flows for report in reports)
        return ServiceLoad(
            work_per_flow=len(reports) * _mean_work(reports) / max(1, flows),
            remote_work=_mean_work(remote or reports),
            service_time=_mean_service_time(reports),
            computed=time,
        )

    def _reports(self, servers: Sequence[Addressed]) -> list[LoadReport]:
        loads = (self._hosts.get(server.address) for server in servers)
        return [load.report for load in loads if load is not None]

    def retain(self, addresses: set[str]) -> None:
        """Remove the load of all hosts except those at the given addresses."""
        for address in set(self._hosts) - addresses:
            del self._hosts[address]


def _mean_work(reports: Sequence[LoadReport]) -> float:
    if not reports:
        return 0.0
    return sum(report.mean_in_progress for report in reports) / len(reports)


def _mean_service_time(reports: Sequence[LoadReport]) -> float:
    known = [report.service_time for report in reports if report.service_time > 0]
    return sum(known) / len(known) if known else 0.0

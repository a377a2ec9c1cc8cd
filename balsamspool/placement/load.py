"""Load of the backend servers, as their agents report it."""

from msgspec import Struct

# A host counts as silent when its latest report is older than this many report periods
# plus the slack.
SILENT_PERIODS = 4.0
SILENT_SLACK_SECONDS = 0.1


class LoadReport(Struct, frozen=True):
    """Load of one backend server as its agent sees it.

    Attributes:
        in_progress: Requests that the backend server has not answered yet.
        mean_in_progress: Mean of ``in_progress`` over the last seconds.
        flows: Open flows.
        responsive: Whether the backend server answers.
        period: Seconds until the next report.
    """

    in_progress: int
    mean_in_progress: float
    flows: int
    responsive: bool
    period: float


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


class LoadBoard:
    """Latest load of each host by the address of its agent."""

    __slots__ = ("_hosts", "_last_received")

    def __init__(self) -> None:
        self._hosts: dict[str, HostLoad] = {}
        self._last_received = 0.0

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
        self._last_received = time
        if previous is None:
            return not report.responsive
        return previous.report.responsive != report.responsive

    def record_placed(self, address: str) -> None:
        """Count a flow that was placed at a host."""
        load = self._hosts.get(address)
        if load is not None:
            load.placed += 1

    def load(self, address: str) -> HostLoad | None:
        """Return the latest load of a host, None if it never reported."""
        return self._hosts.get(address)

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

    def retain(self, addresses: set[str]) -> None:
        """Remove the load of all hosts except those at the given addresses."""
        for address in set(self._hosts) - addresses:
            del self._hosts[address]

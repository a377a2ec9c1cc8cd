"""Sends load reports to the entries that subscribed, one task for each."""

import asyncio
import logging
from functools import partial

from msgspec import Struct

from balsamspool.datagram._codec import encode_small
from balsamspool.datagram.events import SUBSCRIBER_ADDED, SUBSCRIBER_EXPIRED
from balsamspool.datagram.messages import Report, WorkReport
from balsamspool.datagram.sockets import Address, BatchSocket
from balsamspool.kernel.clock import now
from balsamspool.kernel.lifecycle import Kernel
from balsamspool.placement.load import LoadReport
from balsamspool.plugins.datagram_agent.dispatcher import RequestDispatcher
from balsamspool.plugins.datagram_agent.flows import FlowTable
from balsamspool.plugins.datagram_agent.liveness import ServerLiveness
from balsamspool.plugins.datagram_agent.work import WorkMeter

_logger = logging.getLogger(__name__)

# Shortest period of reports. It covers a few service times, so that an entry places
# only one or two flows between two reports.
PERIOD_SECONDS = 0.1
# Maximum rate of reports to all entries together. With more entries, each of them gets
# fewer reports.
REPORTS_PER_SECOND = 80.0
MAX_SUBSCRIBERS = 1_024
# Time for which an entry gets work reports after it sent terms. It limits the time
# without load reports of an entry that was replaced at its address by one of an older
# version, which ignores work reports.
WORK_REPORTS_SECONDS = 600.0

REPORTS = "balsamspool_datagram_reports"
REPORTS_HELP = "Load reports that were sent to entries, by kind"


class _Subscription(Struct):
    """Subscription of one entry.

    Attributes:
        until: Event loop time in seconds at which it ends.
        period: Shortest time between two reports in seconds.
        work_until: Event loop time in seconds until which it gets work reports.
    """

    until: float
    period: float
    work_until: float = 0.0


class LoadReporter:
    """Reports the load of a backend server.

    Args:
        kernel: Kernel that runs the tasks.
        peer_socket: Socket from which the reports are sent.
        meter: Counts the requests in progress.
        flows: Flows of the backend server.
        requests: Requests of the backend server, also those that wait.
        liveness: Whether the backend server answers.
    """

    __slots__ = (
        "_flows",
        "_kernel",
        "_liveness",
        "_meter",
        "_peer_socket",
        "_plain_reports",
        "_requests",
        "_subscriptions",
        "_work_reports",
    )

    def __init__(
        self,
        kernel: Kernel,
        peer_socket: BatchSocket,
        meter: WorkMeter,
        flows: FlowTable,
        requests: RequestDispatcher,
        liveness: ServerLiveness,
    ) -> None:
        self._kernel = kernel
        self._peer_socket = peer_socket
        self._meter = meter
        self._flows = flows
        self._requests = requests
        self._liveness = liveness
        self._subscriptions: dict[Address, _Subscription] = {}
        counters = kernel.counters
        self._plain_reports = counters.counter(REPORTS, REPORTS_HELP, "plain")
        self._work_reports = counters.counter(REPORTS, REPORTS_HELP, "work")

    @property
    def subscribers(self) -> int:
        """Number of entries that get reports."""
        return len(self._subscriptions)

    def subscribe(self, entry: Address, lease: float, period: float) -> None:
        """Start sending reports to an entry, or extend its subscription.

        Args:
            entry: Address and port of the entry.
            lease: Seconds for which the entry subscribes to reports.
            period: Shortest time between two reports in seconds.
        """
        known = self._subscriptions.get(entry)
        if known is not None:
            known.until, known.period = now() + lease, period
            return
        if len(self._subscriptions) >= MAX_SUBSCRIBERS:
            return
        self._subscriptions[entry] = _Subscription(now() + lease, period)
        SUBSCRIBER_ADDED.log(_logger, entry=entry[0])
        self._kernel.supervise(
            partial(self._report, entry), f"load reports to {entry[0]}"
        )

    def send_work(self, entry: Address) -> None:
        """Send work reports to an entry, because it sent a message of their version.

        Args:
            entry: Address and port of the entry.
        """
        known = self._subscriptions.get(entry)
        if known is not None:
            known.work_until = now() + WORK_REPORTS_SECONDS

    async def _report(self, entry: Address) -> None:
        subscription = self._subscriptions[entry]
        while now() < subscription.until:
            shared = len(self._subscriptions) / REPORTS_PER_SECOND
            period = max(PERIOD_SECONDS, shared, subscription.period)
            report = self._message(subscription, period)
            self._peer_socket.send((encode_small(report),), entry)
            await asyncio.sleep(period)
        del self._subscriptions[entry]
        SUBSCRIBER_EXPIRED.log(_logger, entry=entry[0])

    def _message(
        self, subscription: _Subscription, period: float
    ) -> Report | WorkReport:
        load = self._load(period)
        if now() < subscription.work_until:
            self._work_reports.value += 1
            return WorkReport(load)
        self._plain_reports.value += 1
        return Report(load)

    def _load(self, period: float) -> LoadReport:
        return LoadReport(
            in_progress=self._meter.in_progress,
            mean_in_progress=self._meter.mean(now()),
            flows=len(self._flows),
            responsive=self._liveness.responsive,
            period=period,
            work_left=self._requests.work_seconds,
            service_time=self._requests.work.times.mean(now()),
        )

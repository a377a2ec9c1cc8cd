"""Reported load of peers, and the peers that receive the load of this agent."""

import random
from dataclasses import dataclass

from balsamspool.plugins.mesh.message import Message, PeerAddress
from balsamspool.plugins.relay.messages import LoadReport
from balsamspool.requests.relay import PeerLoad

REPORT_LIFETIME_SECONDS = 3.0
# Interval between load reports to peers. With 1 s, the p99 latency of short requests to
# the portal was a third higher at peak load.
REPORT_SECONDS = 0.5
REPORT_JITTER = 0.2
SAMPLE_SIZE = 8
RESAMPLE_AFTER_REPORTS = 10
TABLE_LIMIT = 1024

ACCEPTING = "accepting"
LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class _StoredReport:
    load: PeerLoad
    incarnation: bytes
    reported_at: float


class LoadTable:
    """Keeps the newest report of each peer for a short time."""

    __slots__ = ("_reports",)

    def __init__(self) -> None:
        self._reports: dict[PeerAddress, _StoredReport] = {}

    def record_report(self, message: Message, time: float) -> None:
        """Record a report.

        Args:
            message: Message whose body is a ``LoadReport``.
            time: Time of the event loop in seconds.
        """
        report: LoadReport = message.body
        self._remove_expired(time)
        if message.sender not in self._reports and len(self._reports) >= TABLE_LIMIT:
            return
        reported_at = time - message.age
        load = PeerLoad(
            message.instance,
            message.sender,
            report.state == ACCEPTING,
            report.load,
            report.expected_wait,
            reported_at,
        )
        self._reports[message.sender] = _StoredReport(
            load, message.incarnation, reported_at
        )

    def loads(self, time: float) -> list[PeerLoad]:
        """Return the loads of the reports that have not expired."""
        self._remove_expired(time)
        return [stored.load for stored in self._reports.values()]

    def incarnation(self, peer: PeerAddress, time: float) -> bytes | None:
        """Return the incarnation that last reported from an address, if known."""
        self._remove_expired(time)
        stored = self._reports.get(peer)
        return stored.incarnation if stored is not None else None

    def _remove_expired(self, time: float) -> None:
        limit = time - REPORT_LIFETIME_SECONDS
        self._reports = {
            peer: stored
            for peer, stored in self._reports.items()
            if stored.reported_at >= limit
        }


class PeerSample:
    """Random sample of the peers to which this agent reports its load.

    The sample is drawn again after some reports.

    Args:
        rng: Random number generator.
    """

    __slots__ = ("_chosen", "_rng", "_uses")

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()
        self._chosen: list[PeerAddress] = []
        self._uses = 0

    def choose(self, peers: list[PeerAddress]) -> list[PeerAddress]:
        """Return the peers to report to.

        Args:
            peers: All peers of the service.
        """
        kept = [peer for peer in self._chosen if peer in peers]
        wanted = min(SAMPLE_SIZE, len(peers))
        if self._uses >= RESAMPLE_AFTER_REPORTS or len(kept) < wanted:
            kept = self._rng.sample(peers, wanted)
            self._uses = 0
        self._uses += 1
        self._chosen = kept
        return kept

    def next_delay(self) -> float:
        """Return the seconds until the next report."""
        return REPORT_SECONDS * self._rng.uniform(1 - REPORT_JITTER, 1 + REPORT_JITTER)

"""Load of peers: what is known, and to whom the own load is told."""

import random
from dataclasses import dataclass

from balsamspool.plugins.mesh.message import Message, PeerAddress
from balsamspool.plugins.relay.messages import LoadReport
from balsamspool.requests.relay import PeerLoad

LOAD_SECONDS = 3.0
# With 1 s, p99 of short requests at the crest of the portal was a third higher.
REPORT_SECONDS = 0.5
REPORT_JITTER = 0.2
SAMPLE_SIZE = 8
RESAMPLE_REPORTS = 10
TABLE_LIMIT = 1024

ACCEPTING = "accepting"
LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class _Known:
    load: PeerLoad
    incarnation: bytes
    reported_at: float


class LoadTable:
    """Keeps the newest report of each peer for a short time."""

    __slots__ = ("_known",)

    def __init__(self) -> None:
        self._known: dict[PeerAddress, _Known] = {}

    def note(self, message: Message, time: float) -> None:
        """Record a report.

        Args:
            message: Message whose body is a ``LoadReport``.
            time: Time of the event loop in seconds.
        """
        report: LoadReport = message.body
        self._forget(time)
        if message.sender not in self._known and len(self._known) >= TABLE_LIMIT:
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
        self._known[message.sender] = _Known(load, message.incarnation, reported_at)

    def loads(self, time: float) -> list[PeerLoad]:
        """Return the loads that are known now."""
        self._forget(time)
        return [known.load for known in self._known.values()]

    def incarnation(self, peer: PeerAddress, time: float) -> bytes | None:
        """Return the incarnation that last reported from an address, if known."""
        self._forget(time)
        known = self._known.get(peer)
        return known.incarnation if known is not None else None

    def _forget(self, time: float) -> None:
        limit = time - LOAD_SECONDS
        self._known = {
            peer: known
            for peer, known in self._known.items()
            if known.reported_at >= limit
        }


class PeerSample:
    """A few peers that hear of the own load, sampled anew now and then.

    Args:
        rng: Source of randomness.
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
        if self._uses >= RESAMPLE_REPORTS or len(kept) < wanted:
            kept = self._rng.sample(peers, wanted)
            self._uses = 0
        self._uses += 1
        self._chosen = kept
        return kept

    def next_delay(self) -> float:
        """Return the seconds until the next report."""
        return REPORT_SECONDS * self._rng.uniform(1 - REPORT_JITTER, 1 + REPORT_JITTER)

"""Chooses whether and where a request is relayed."""

import random
from collections.abc import Sequence

from balsamspool.plugins.mesh.message import PeerAddress
from balsamspool.requests.relay import PeerLoad

# Below this predicted wait in seconds a relay costs more than it saves.
HIGH_WAIT_SECONDS = 0.05
# A peer must be lighter by this share of the own wait, since its report may be a second
# old.
MARGIN_SHARE = 0.5


class RelayPolicy:
    """Samples two peers and takes the lighter one.

    What was relayed to a peer since its last report counts towards its wait, because
    the report does not yet include it.

    Args:
        rng: Source of randomness.
    """

    __slots__ = ("_relayed", "_rng")

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()
        self._relayed: dict[PeerAddress, tuple[PeerLoad, float]] = {}

    def lighter(
        self, own_wait: float, peers: Sequence[PeerLoad], expected: float = 0.0
    ) -> PeerLoad | None:
        """Return a peer at which a request waits much shorter, or None.

        Args:
            own_wait: Predicted wait here in seconds.
            peers: Peers that may take the request.
            expected: Expected duration of the request in seconds.

        Returns:
            The lighter one of two sampled peers if the margin is kept.
        """
        if own_wait < HIGH_WAIT_SECONDS:
            return None
        peer = self.any(peers)
        if peer is None or self._wait_at(peer) > own_wait * (1 - MARGIN_SHARE):
            return None
        self._note(peer, expected, peers)
        return peer

    def any(self, peers: Sequence[PeerLoad]) -> PeerLoad | None:
        """Return the lighter one of two sampled accepting peers, or None."""
        accepting = [peer for peer in peers if peer.accepting]
        sample = self._rng.sample(accepting, min(2, len(accepting)))
        return min(sample, key=lambda p: (self._wait_at(p), p.load), default=None)

    def _wait_at(self, peer: PeerLoad) -> float:
        report, seconds = self._relayed.get(peer.address, (None, 0.0))
        # A newer report is another object, even if it says the same.
        return peer.expected_wait + (seconds if report is peer else 0.0)

    def _note(self, peer: PeerLoad, expected: float, peers: Sequence[PeerLoad]) -> None:
        current = {p.address: p for p in peers}
        seconds = self._wait_at(peer) - peer.expected_wait + expected
        self._relayed = {
            address: entry
            for address, entry in self._relayed.items()
            if current.get(address) is entry[0]
        }
        self._relayed[peer.address] = (peer, seconds)

"""Chooses whether and where a request is relayed."""

import random
from collections.abc import Sequence

from balsamspool.requests.relay import PeerLoad

# Below this predicted wait in seconds a relay costs more than it saves.
HIGH_WAIT_SECONDS = 0.05
# A peer must be lighter by this share of the own wait, since its report may be a second
# old.
MARGIN_SHARE = 0.5


class RelayPolicy:
    """Samples two peers and takes the lighter one.

    Args:
        rng: Source of randomness.
    """

    __slots__ = ("_rng",)

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()

    def lighter(self, own_wait: float, peers: Sequence[PeerLoad]) -> PeerLoad | None:
        """Return a peer at which a request waits much shorter, or None.

        Args:
            own_wait: Predicted wait here in seconds.
            peers: Peers that may take the request.

        Returns:
            The lighter one of two sampled peers if the margin is kept.
        """
        if own_wait < HIGH_WAIT_SECONDS:
            return None
        peer = self.any(peers)
        if peer is None or peer.expected_wait > own_wait * (1 - MARGIN_SHARE):
            return None
        return peer

    def any(self, peers: Sequence[PeerLoad]) -> PeerLoad | None:
        """Return the lighter one of two sampled accepting peers, or None."""
        accepting = [peer for peer in peers if peer.accepting]
        sample = self._rng.sample(accepting, min(2, len(accepting)))
        return min(sample, key=lambda p: (p.expected_wait, p.load), default=None)

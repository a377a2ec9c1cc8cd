"""Chooses whether and where a request is relayed."""

import random
from collections.abc import Sequence

from balsamspool.requests.relay import PeerLoad

# Shortest predicted wait at this agent for which a request is relayed. With a shorter
# wait, a relay costs more time than it saves.
MIN_RELAY_WAIT_SECONDS = 0.05
# A request is relayed only if the predicted wait at the peer is shorter by at least
# this share of the predicted wait at this agent. The margin is needed because the load
# report of the peer may be a second old.
MIN_SAVING_SHARE = 0.5


class RelayPolicy:
    """Samples two peers and chooses the less loaded one.

    Args:
        rng: Random number generator.
    """

    __slots__ = ("_rng",)

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()

    def choose_less_loaded(
        self, own_wait: float, peers: Sequence[PeerLoad]
    ) -> PeerLoad | None:
        """Return a peer at which the wait is much shorter, or None.

        Args:
            own_wait: Predicted wait here in seconds.
            peers: Peers to which the request may be relayed.

        Returns:
            The less loaded one of two sampled peers if it saves enough time.
        """
        if own_wait < MIN_RELAY_WAIT_SECONDS:
            return None
        peer = self.choose(peers)
        if peer is None or peer.expected_wait > own_wait * (1 - MIN_SAVING_SHARE):
            return None
        return peer

    def choose(self, peers: Sequence[PeerLoad]) -> PeerLoad | None:
        """Return the less loaded one of two sampled accepting peers, or None."""
        accepting = [peer for peer in peers if peer.accepting]
        sample = self._rng.sample(accepting, min(2, len(accepting)))
        return min(sample, key=lambda p: (p.expected_wait, p.load), default=None)

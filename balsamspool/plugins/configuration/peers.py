"""The peers with which a process exchanges text."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from balsamspool.plugins.mesh import PeerAddress

FANOUT = 6


@dataclass(frozen=True, slots=True)
class ListedPeer:
    """A process that the instance list names.

    Attributes:
        address: Where its mesh socket listens.
        failure_domain: Its failure domain.
    """

    address: PeerAddress
    failure_domain: str


class PeerSample:
    """Keeps a small random sample of the fleet.

    The sample changes only when a member leaves the list, because each new peer costs a
    connection. Half of the sample is in the failure domain of this process, so a
    process that is cut off together with its domain still has peers.

    Args:
        own_address: Where the mesh socket of this process listens.
        failure_domain: Failure domain of this process.
        seeds: Peers from the settings, used while the list has too few.
        rng: Random number generator.
    """

    __slots__ = (
        "_domains_by_peer",
        "_failure_domain",
        "_own_address",
        "_rng",
        "_sample",
        "_seeds",
    )

    def __init__(
        self,
        own_address: PeerAddress,
        failure_domain: str,
        seeds: Iterable[PeerAddress],
        rng: random.Random,
    ) -> None:
        self._own_address = own_address
        self._failure_domain = failure_domain
        self._seeds = [seed for seed in seeds if seed != own_address]
        self._rng = rng
        self._domains_by_peer: dict[PeerAddress, str] = {}
        self._sample: list[PeerAddress] = []
        self._fill()

    @property
    def members(self) -> tuple[PeerAddress, ...]:
        """The peers of the sample."""
        return tuple(self._sample)

    def learn(self, peers: Iterable[ListedPeer]) -> None:
        """Replace the known processes of the fleet.

        Args:
            peers: All listed processes.
        """
        self._domains_by_peer = {
            peer.address: peer.failure_domain
            for peer in peers
            if peer.address != self._own_address
        }
        self._fill()

    def _fill(self) -> None:
        kept = [peer for peer in self._sample if peer in self._domains_by_peer]
        near_count = sum(self._is_near(peer) for peer in kept)
        # Most new lists of peers leave the sample unchanged. The sample is then kept
        # without a shuffle, because shuffling 4,740 peers takes 15 ms.
        if len(kept) >= FANOUT and near_count >= FANOUT // 2:
            self._sample = kept
            return
        near = self._candidates(kept, own_domain=True)
        far = self._candidates(kept, own_domain=False)
        kept += near[: max(0, FANOUT // 2 - near_count)]
        rest = [*far, *near[max(0, FANOUT // 2 - near_count) :]]
        kept += rest[: max(0, FANOUT - len(kept))]
        seeds = [seed for seed in self._seeds if seed not in kept]
        self._rng.shuffle(seeds)
        self._sample = kept + seeds[: max(0, FANOUT - len(kept))]

    def _candidates(
        self, kept: list[PeerAddress], *, own_domain: bool
    ) -> list[PeerAddress]:
        found = [
            peer
            for peer in self._domains_by_peer
            if self._is_near(peer) is own_domain and peer not in kept
        ]
        self._rng.shuffle(found)
        return found

    def _is_near(self, peer: PeerAddress) -> bool:
        return self._domains_by_peer[peer] == self._failure_domain

"""Decides from where a process reads the catalog.

In each failure domain, one entry reads the publishing service and the others follow
it. Entries announce themselves to the same few agents of their failure domain, which
tell them the first reachable entries in a fixed order; the first one is the reader.
Nothing is agreed between processes: if two entries see different readers, there is one
reader more or one less for a while, and a follower that falls behind reads the service
itself.
"""

import math
import random
from collections.abc import Iterator
from typing import TypeAlias

from msgspec import Struct

from balsamspool.plugins.catalog.announced import AnnouncedRevisions
from balsamspool.plugins.catalog.revision import Revision

# Number of entries of a failure domain that read the service. A follower that does not
# hear from them in time reads the service itself.
READERS = 1
# In a failure domain with at most this many entries, all of them read the service.
SMALL_DOMAIN_ENTRIES = 2
# Age of a list of readers after which it is no longer used. It allows for two lost
# datagrams.
READERS_LIFETIME_SECONDS = 2.8
# Pause after a watch that returned changes, so that the next watch reads all changes
# that follow closely in one call. It is short compared with the limits within which a
# change must be applied, which are 3 s or more.
CHANGE_BATCH_SECONDS = 0.5
# Time within which a revision that another entry knows has to arrive.
REVISION_LAG_SECONDS = 1.0
# Time for which a follower that found its readers outdated reads the service itself.
INDEPENDENT_SECONDS = 5.0
# Pause of a follower before it tries the service again after a failure.
SERVICE_RETRY_SECONDS = (2.0, 3.0)
# Longest wait of a watch before this process knows whether it has to read the service.
UNDECIDED_WAIT_SECONDS = 1.0
# Longest wait of a watch that shows whether the service answers. A longer wait would
# not show it until the next change.
PROBE_WAIT_SECONDS = 0.05
# Time for which a peer is not asked again after a failure.
PEER_PAUSE_SECONDS = 4.0
# Time after a failed call for which this process tells others that it does not reach
# the service.
UNREACHABLE_SECONDS = 4.0


class UpstreamTimes(Struct, frozen=True):
    """Times that follow from the limit within which a change must be applied.

    A follower has to notice in time that its reader was cut off from the service. The
    last answer that it knows is at most as old as both waits and the pause of a reader
    after a change, unless something is wrong.

    Attributes:
        reader_wait: Longest wait of a watch of a process that others follow in seconds.
        peer_wait: Time for which a peer waits for changes before it answers in seconds.
        stale: Age of the last answer in seconds from which a follower reads the service
            itself.
    """

    reader_wait: float
    peer_wait: float
    stale: float

    @classmethod
    def from_limit(cls, seconds: float) -> "UpstreamTimes":
        """Return the times for a limit in seconds."""
        reader_wait, peer_wait = seconds / 5, seconds / 10
        slack = seconds / 10
        stale = reader_wait + peer_wait + CHANGE_BATCH_SECONDS + slack
        return cls(reader_wait, peer_wait, stale)


class ReadService(Struct, frozen=True):
    """Read the publishing service."""


class FollowPeer(Struct, frozen=True):
    """Request changes from a peer.

    Attributes:
        address: IPv4 address of the peer.
    """

    address: str


Upstream: TypeAlias = ReadService | FollowPeer


class ReaderList(Struct, frozen=True):
    """The entries of a failure domain, as one agent knows them.

    Attributes:
        readers: Addresses of the first entries in the order in which they are to read
            the service.
        entries: Number of entries of the failure domain.
        newest_revision: Newest revision that any entry announced.
    """

    readers: tuple[str, ...]
    entries: int
    newest_revision: Revision


class _ReceivedList(Struct, frozen=True):
    content: ReaderList
    received: float


class UpstreamSelector:
    """Selects the upstream of this process.

    Args:
        own_address: IPv4 address of this process.
        times: Waits of this process.
        rng: Random number generator.
    """

    __slots__ = (
        "_announced",
        "_independent_until",
        "_lists",
        "_next_service_try",
        "_own_address",
        "_paused_peers",
        "_rng",
        "_times",
        "_unreachable_until",
        "_fell_back",
    )

    def __init__(
        self, own_address: str, times: UpstreamTimes, rng: random.Random
    ) -> None:
        self._own_address = own_address
        self._times = times
        self._rng = rng
        self._lists: dict[str, _ReceivedList] = {}
        self._paused_peers: dict[str, float] = {}
        self._announced = AnnouncedRevisions()
        self._next_service_try = -math.inf
        # Whether the last choice was the service because no reader was of use.
        self._fell_back = False
        self._independent_until = -math.inf
        self._unreachable_until = -math.inf

    @property
    def times(self) -> UpstreamTimes:
        """Waits of this process."""
        return self._times

    def record_list(self, agent: str, found: ReaderList, time: float) -> None:
        """Record the readers that an agent knows.

        Args:
            agent: Address of the agent.
            found: The readers.
            time: Event loop time in seconds.
        """
        self._lists = {
            sender: received
            for sender, received in self._lists.items()
            if time - received.received <= READERS_LIFETIME_SECONDS
        }
        self._lists[agent] = _ReceivedList(found, time)
        newest = max(r.content.newest_revision for r in self._lists.values())
        self._announced.retract_above(newest)
        self._announced.record(newest, time)

    def record_peer_failure(self, peer: str, time: float) -> None:
        """Do not ask a peer again for a while."""
        self._paused_peers[peer] = time + PEER_PAUSE_SECONDS

    def record_service_answer(self, time: float, started: float) -> None:
        """Record that the service answered this process.

        Args:
            time: Event loop time of the answer in seconds.
            started: Event loop time in seconds at which the call began.
        """
        self._announced.confirm(started)
        self._unreachable_until = -math.inf
        if self._fell_back:
            self._fell_back = False
            self._independent_until = time + INDEPENDENT_SECONDS

    def record_service_failure(self, time: float) -> None:
        """Record that the service did not answer this process."""
        self._unreachable_until = time + UNREACHABLE_SECONDS
        self._fell_back = False
        self._independent_until = -math.inf
        self._next_service_try = time + self._rng.uniform(*SERVICE_RETRY_SECONDS)

    def reaches_service(self, time: float) -> bool:
        """Return whether this process can read the service, as far as it knows."""
        return time >= self._unreachable_until

    def is_reader(self, time: float) -> bool:
        """Return whether this process has to read the service."""
        found = self._current_list(time)
        if found is None or found.entries <= SMALL_DOMAIN_ENTRIES:
            return True
        return not found.readers or self._own_address in found.readers[:READERS]

    def longest_wait(self, time: float) -> float:
        """Return the longest wait of the next watch of the service in seconds."""
        found = self._current_list(time)
        if found is None:
            return UNDECIDED_WAIT_SECONDS
        if self.is_reader(time):
            followed = found.entries > SMALL_DOMAIN_ENTRIES
            return self._times.reader_wait if followed else math.inf
        independent = time < self._independent_until
        return self._times.reader_wait if independent else PROBE_WAIT_SECONDS

    def is_behind(self, revision: Revision, time: float) -> bool:
        """Return whether another entry has known a newer revision for a while.

        Args:
            revision: Revision up to which this process knows all changes.
            time: Event loop time in seconds.
        """
        behind = self._announced.seconds_behind(revision, time)
        return behind > REVISION_LAG_SECONDS

    def choose(
        self, revision: Revision | None, last_answer: float | None, time: float
    ) -> Upstream:
        """Choose the upstream of the next call.

        Args:
            revision: Revision up to which this process knows all changes, None if it
                has not read the catalog.
            last_answer: Event loop time in seconds of the last answer of the service
                that this process or a peer got, None before the first.
            time: Event loop time in seconds.
        """
        if revision is None or last_answer is None or self.is_reader(time):
            return ReadService()
        if time < self._independent_until:
            return ReadService()
        stale = time - last_answer > self._times.stale
        behind = self.is_behind(revision, time) or stale
        if behind and time >= self._next_service_try:
            self._fell_back = True
            return ReadService()
        first = next(self._usable_peers(time), self._own_address)
        if first == self._own_address:
            # The reader does not answer, and this process is the next in the order.
            self._fell_back = True
            return ReadService()
        return FollowPeer(first)

    def _usable_peers(self, time: float) -> Iterator[str]:
        """Yield the entries that can be followed, the reader first.

        If the reader does not answer, the next entry in the order takes its place.
        """
        found = self._current_list(time)
        for peer in found.readers[: READERS + 1] if found is not None else ():
            if time >= self._paused_peers.get(peer, -math.inf):
                yield peer

    def _current_list(self, time: float) -> ReaderList | None:
        """Return the list of the agent that knows the most entries."""
        current = [
            received
            for received in self._lists.values()
            if time - received.received <= READERS_LIFETIME_SECONDS
        ]
        if not current:
            return None
        return max(current, key=lambda r: (r.content.entries, r.received)).content

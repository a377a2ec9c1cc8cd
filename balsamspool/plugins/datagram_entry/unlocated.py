"""Flows for which an entry searches, and how long each has been without a host."""

from collections.abc import Mapping, Sequence

from msgspec import Struct

from balsamspool.kernel.clock import now
from balsamspool.kernel.counters import CounterSet
from balsamspool.plugins.catalog import BackendServer

# Maximum number of flows that are recorded; the one searched longest ago is dropped.
MAX_UNLOCATED_FLOWS = 1_024
# Longest life of a flow without packets. A record is dropped after this time.
FORGET_SECONDS = 60.0

FLOWS = "balsamspool_datagram_flows_without_host"
FLOWS_HELP = "Flows for which a search began, and how the search ended"


class UnlocatedFlow(Struct):
    """Searches for one flow since the entry last knew its host.

    Attributes:
        since: Event loop time in seconds at which the first search began.
        searched: Event loop time in seconds at which the last search began.
        servers: Backend servers that the last search covers, in the order in which a
            packet is passed along them.
        searches: Number of searches so far.
        answers: Bit mask of the ``servers`` that returned the packet.
        skips: Returned packets that an agent had passed on without delivering them.
        left_out: Number of the backend servers that the last search does not cover, by
            reason.
    """

    since: float
    searched: float
    servers: tuple[BackendServer, ...]
    searches: int = 1
    answers: int = 0
    skips: int = 0
    left_out: Mapping[str, int] = {}

    @property
    def answered(self) -> int:
        """Number of backend servers that returned the packet."""
        return self.answers.bit_count()

    def unanswered(self, limit: int) -> list[str]:
        """Return the names of the first backend servers that returned no packet."""
        names = []
        for index, server in enumerate(self.servers):
            if len(names) == limit:
                break
            if not self.answers >> index & 1:
                names.append(server.name)
        return names

    def record_answer(self, agent: str, hops: int) -> None:
        """Record a packet that an agent returned.

        Args:
            agent: IPv4 address of the agent.
            hops: Number of agents that had the packet; the last of them returns it.
        """
        for index, server in enumerate(self.servers):
            if server.address == agent:
                count = min(hops, index + 1)
                self.answers |= ((1 << count) - 1) << (index + 1 - count)
                return


class UnlocatedFlows:
    """Bounded table of the flows whose host the entry does not know.

    Args:
        counters: Counters of the process.
    """

    __slots__ = (
        "_flows",
        "_forgotten",
        "_locate_time",
        "_located",
        "_reset",
        "_reset_time",
        "_searched",
    )

    def __init__(self, counters: CounterSet) -> None:
        # Ordered by the time of the last search.
        self._flows: dict[bytes, UnlocatedFlow] = {}
        self._searched = counters.counter(FLOWS, FLOWS_HELP, "searched")
        self._located = counters.counter(FLOWS, FLOWS_HELP, "located")
        self._reset = counters.counter(FLOWS, FLOWS_HELP, "reset")
        self._forgotten = counters.counter(FLOWS, FLOWS_HELP, "forgotten")
        self._locate_time = counters.histogram(
            "balsamspool_datagram_locate_seconds",
            "Time from the first search for a flow until its host confirmed it",
        )
        self._reset_time = counters.histogram(
            "balsamspool_datagram_search_reset_seconds",
            "Time from the first search for a flow until the flow was reset",
        )

    def __len__(self) -> int:
        """Return the number of flows without a host."""
        return len(self._flows)

    @property
    def longest_seconds(self) -> float:
        """Longest time for which a flow has been without a host, in seconds."""
        since = min((flow.since for flow in self._flows.values()), default=None)
        return 0.0 if since is None else round(now() - since, 3)

    def get(self, key: bytes) -> UnlocatedFlow | None:
        """Return the record of a flow, or None."""
        return self._flows.get(key)

    def record_search(
        self,
        key: bytes,
        servers: Sequence[BackendServer],
        left_out: Mapping[str, int],
    ) -> UnlocatedFlow | None:
        """Record that a search begins, and return the record of the search before it.

        Args:
            key: Key of the flow.
            servers: Backend servers that the search covers.
            left_out: Number of backend servers that it does not cover, by reason.
        """
        time = now()
        earlier = self._flows.pop(key, None)
        unique: dict[str, BackendServer] = {}
        for server in servers:
            unique.setdefault(server.address, server)
        flow = UnlocatedFlow(time, time, tuple(unique.values()), left_out=left_out)
        if earlier is None:
            self._searched.value += 1
            self._make_room(time)
        else:
            flow.since, flow.searches = earlier.since, earlier.searches + 1
        self._flows[key] = flow
        return earlier

    def record_located(self, key: bytes) -> UnlocatedFlow | None:
        """Remove a flow whose host is known now, and return its record."""
        flow = self._flows.pop(key, None) if self._flows else None
        if flow is not None:
            self._located.value += 1
            self._locate_time.observe(now() - flow.since)
        return flow

    def record_reset(self, key: bytes) -> UnlocatedFlow | None:
        """Remove a flow that is reset, and return its record."""
        flow = self._flows.pop(key, None)
        if flow is not None:
            self._reset.value += 1
            self._reset_time.observe(now() - flow.since)
        return flow

    def forget(self, key: bytes) -> None:
        """Remove a flow whose port its caller uses for a new flow."""
        if self._flows and self._flows.pop(key, None) is not None:
            self._forgotten.value += 1

    def _make_room(self, time: float) -> None:
        while self._flows:
            oldest = next(iter(self._flows))
            full = len(self._flows) >= MAX_UNLOCATED_FLOWS
            if not full and time - self._flows[oldest].searched < FORGET_SECONDS:
                return
            del self._flows[oldest]
            self._forgotten.value += 1

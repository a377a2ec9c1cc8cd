"""Decides which agent accepts a flow: this one, a peer or none."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from balsamspool.placement.rendezvous import Candidate, choose

MAX_HOPS = 2
MAX_MEMORY_ENTRIES = 65_536
MEMORY_LIFETIME_SECONDS = 10.0
MAX_EARLIER_TABLES = 4
# Load at which all slots are busy. An accepting agent with a lower load hands no flow
# over, because a peer would not serve it sooner.
BUSY_LOAD = 128
# A flow is handed over because of load only if the peer's load is lower by at least
# this much. Load reports are up to a second old, so a smaller difference may no longer
# exist when the packet arrives at the peer.
LOAD_MARGIN = 32


class OwnState(Enum):
    """Whether this agent can accept new flows."""

    ACCEPTING = "accepting"
    LEAVING = "leaving"
    FULL = "connection-limit"


class RefuseReason(Enum):
    """Why no agent accepts a flow."""

    LAST_HOST = "last-host"
    CONNECTION_LIMIT = "connection-limit"
    HOP_LIMIT = "hop-limit"
    UNKNOWN_FLOW = "unknown-flow"


@dataclass(frozen=True, slots=True)
class Peer:
    """Another agent of the service that accepts new flows.

    Attributes:
        host: The agent.
        load: Its reported load, 0 to 255.
        has_recent_report: Whether its last report is recent.
    """

    host: Candidate
    load: int
    has_recent_report: bool = True


@dataclass(frozen=True, slots=True)
class OwnHost:
    """State and load of this agent.

    Attributes:
        name: Name of this agent instance.
        state: Whether it can accept new flows.
        load: Its load, 0 to 255.
    """

    name: str
    state: OwnState
    load: int


@dataclass(frozen=True, slots=True)
class Accept:
    """Open the flow here."""


@dataclass(frozen=True, slots=True)
class HandOver:
    """Pass the packet on to a peer.

    Attributes:
        peer: The peer.
    """

    peer: Candidate


@dataclass(frozen=True, slots=True)
class Refuse:
    """Open the flow on no agent.

    Attributes:
        reason: Why no agent accepts it.
    """

    reason: RefuseReason


HandoverDecision = Accept | HandOver | Refuse


class HandoverMemory:
    """Remembers for a short time to which peer each flow was handed over.

    Args:
        limit: Largest number of entries; the oldest is dropped first.
        seconds: Lifetime of an entry after its last use in seconds.
    """

    __slots__ = ("_entries", "_limit", "_seconds")

    def __init__(
        self, limit: int = MAX_MEMORY_ENTRIES, seconds: float = MEMORY_LIFETIME_SECONDS
    ) -> None:
        self._limit = limit
        self._seconds = seconds
        self._entries: OrderedDict[bytes, tuple[Candidate, float]] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._entries)

    def find(self, key: bytes, time: float) -> Candidate | None:
        """Return the peer of a flow and extend the lifetime of its entry.

        Args:
            key: Encoded flow key.
            time: Event loop time in seconds.

        Returns:
            The peer, or None if no peer is remembered for the flow.
        """
        self._expire(time)
        found = self._entries.get(key)
        if found is None:
            return None
        self.record(key, found[0], time)
        return found[0]

    def record(self, key: bytes, peer: Candidate, time: float) -> None:
        """Remember the peer of a flow."""
        self._expire(time)
        self._entries[key] = (peer, time + self._seconds)
        self._entries.move_to_end(key)
        if len(self._entries) > self._limit:
            self._entries.popitem(last=False)

    def forget(self, key: bytes) -> None:
        """Drop the entry of a flow."""
        self._entries.pop(key, None)

    def _expire(self, time: float) -> None:
        # Each use renews the lifetime of an entry and moves the entry to the end, so
        # the entries are in order of expiry.
        while self._entries:
            key = next(iter(self._entries))
            if self._entries[key][1] > time:
                return
            del self._entries[key]


class Handover:
    """Decides on opening packets.

    Args:
        memory: Remembers earlier decisions.
    """

    __slots__ = ("_memory",)

    def __init__(self, memory: HandoverMemory | None = None) -> None:
        self._memory = memory if memory is not None else HandoverMemory()

    def decide(
        self, key: bytes, own: OwnHost, peers: Sequence[Peer], hops: int, time: float
    ) -> HandoverDecision:
        """Decide which agent accepts a flow.

        Args:
            key: Encoded flow key.
            own: This agent.
            peers: Other agents of the service that accept new flows.
            hops: Number of agents that already handed the packet over.
            time: Event loop time in seconds.

        Returns:
            Accept, HandOver or Refuse.
        """
        others = [peer for peer in peers if peer.host.name != own.name]
        remembered = self._memory.find(key, time)
        if remembered is not None and hops == 0 and _may_get_flows(remembered, others):
            return HandOver(remembered)
        if remembered is not None:
            # Either another agent handed the packet back, or the remembered peer is
            # leaving or no longer reports. The remembered peer is not chosen again.
            self._memory.forget(key)
            others = [peer for peer in others if peer.host.name != remembered.name]
        decision = self._decide_without_memory(key, own, others, hops)
        if isinstance(decision, HandOver):
            self._memory.record(key, decision.peer, time)
        return decision

    def _decide_without_memory(
        self, key: bytes, own: OwnHost, others: Sequence[Peer], hops: int
    ) -> HandoverDecision:
        match own.state:
            case OwnState.ACCEPTING:
                # Only the first agent that gets a packet compares loads. Otherwise
                # agents with different load reports could pass a flow back and forth.
                if hops > 0 or own.load < BUSY_LOAD:
                    return Accept()
                less_loaded = [p.host for p in others if _is_less_loaded(p, own)]
                chosen = choose(key, less_loaded)
                return Accept() if chosen is None else HandOver(chosen)
            case OwnState.LEAVING:
                return _hand_over_or_refuse(key, others, hops, RefuseReason.LAST_HOST)
            case OwnState.FULL:
                return _hand_over_or_refuse(
                    key, others, hops, RefuseReason.CONNECTION_LIMIT
                )


class TableHistory:
    """The newest tables of one service, for flows whose packets carry no token.

    Args:
        limit: Number of earlier tables that are kept.
    """

    __slots__ = ("_limit", "_tables")

    def __init__(self, limit: int = MAX_EARLIER_TABLES) -> None:
        self._limit = limit
        self._tables: list[tuple[Candidate, ...]] = []

    def record(self, table: Sequence[Candidate]) -> None:
        """Record the table in force if it differs from the newest recorded table."""
        newest = tuple(table)
        if not self._tables or self._tables[0] != newest:
            self._tables.insert(0, newest)
            del self._tables[self._limit + 1 :]

    def find_agent(self, key: bytes, own: str, hops: int) -> HandOver | Refuse:
        """Find an agent that may hold a flow that is unknown to this agent.

        Args:
            key: Encoded flow key.
            own: Name of this agent instance.
            hops: Number of agents that already passed the packet on.

        Returns:
            HandOver to the first untried agent that the tables choose, newest table
            first, or Refuse.
        """
        if hops >= MAX_HOPS:
            return Refuse(RefuseReason.HOP_LIMIT)
        choices = [choose(key, table) for table in self._tables]
        tried = {own}
        if hops > 0 and choices and choices[0] is not None:
            # Another agent passed this packet on. Every agent first tries the agent
            # that the newest table chooses, so that agent already received the packet.
            tried.add(choices[0].name)
        for choice in choices:
            if choice is not None and choice.name not in tried:
                return HandOver(choice)
        return Refuse(RefuseReason.UNKNOWN_FLOW)


def _may_get_flows(host: Candidate, peers: Sequence[Peer]) -> bool:
    """Return whether a host is one of the peers that may get a flow."""
    return any(peer.host.name == host.name for peer in _with_recent_reports(peers))


def _with_recent_reports(peers: Sequence[Peer]) -> Sequence[Peer]:
    """Return the peers with recent reports, or all peers if none has reported.

    A killed peer stays listed for a while but no longer reports. If no peer reports,
    as after a start, nothing but the list is known.
    """
    return [peer for peer in peers if peer.has_recent_report] or peers


def _is_less_loaded(peer: Peer, own: OwnHost) -> bool:
    return peer.has_recent_report and peer.load + LOAD_MARGIN <= own.load


def _hand_over_or_refuse(
    key: bytes, others: Sequence[Peer], hops: int, reason: RefuseReason
) -> HandOver | Refuse:
    if hops >= MAX_HOPS:
        return Refuse(RefuseReason.HOP_LIMIT)
    chosen = choose(key, [peer.host for peer in _with_recent_reports(others)])
    return Refuse(reason) if chosen is None else HandOver(chosen)

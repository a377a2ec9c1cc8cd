"""Probe state: which agents and entries answer. Holds no socket."""

import random
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

from balsamspool.kernel.clock import now
from balsamspool.placement.rendezvous import Candidate, rank
from balsamspool.plugins.forwarding.envelope import Probe
from balsamspool.plugins.membership import Signal
from balsamspool.plugins.membership.signals import SignalState

Address = tuple[str, int]

SILENT_SECONDS = 1.0
REPLY_TIMEOUT_SECONDS = 0.3
AVOID_SECONDS = 5.0
# Largest number of agents for which state is kept: twice the 4,100 hosts of the growth
# target.
MAX_HOSTS = 8_192

MAX_ENTRIES = 8
PROBE_SECONDS = 1.0
MAX_UNANSWERED = 2

_SEQUENCES = 1 << 32


class _HostState:
    """Times of the last datagram from an agent and of its probe."""

    __slots__ = ("avoid_until", "heard_at", "probed_at", "sequence")

    def __init__(self) -> None:
        self.heard_at: float | None = None
        self.probed_at: float | None = None
        self.sequence: int | None = None
        self.avoid_until = 0.0


class HostProbes:
    """Tracks at the entry which agents do not answer.

    An opening packet to a silent agent causes a probe. Without a reply in time, the
    agent is avoided for new flows. The number of agents with state is limited; the
    state that was created first is dropped first.

    Args:
        limit: Largest number of agents.
        rng: Random number generator for the first sequence number.
    """

    __slots__ = ("_avoided", "_hosts", "_limit", "_pending", "_sequence")

    def __init__(
        self, limit: int = MAX_HOSTS, rng: random.Random | None = None
    ) -> None:
        self._limit = limit
        self._hosts: OrderedDict[Address, _HostState] = OrderedDict()
        self._pending: set[Address] = set()
        self._avoided: set[Address] = set()
        self._sequence = (rng or random.SystemRandom()).randrange(_SEQUENCES)

    def __len__(self) -> int:
        """Return the number of agents with state."""
        return len(self._hosts)

    def avoided(self) -> set[Address]:
        """Return the agents that get no new flows now."""
        if self._pending or self._avoided:
            self._apply_deadlines(now())
        return self._avoided

    def record_opening(self, host: Address) -> Probe | None:
        """Record an opening packet.

        Args:
            host: Address of the agent that gets the packet.

        Returns:
            A probe to send with the packet if the agent has been silent, else None.
        """
        time = now()
        state = self._state(host)
        if state.heard_at is not None and time - state.heard_at < SILENT_SECONDS:
            return None
        if state.probed_at is not None:
            return None
        state.probed_at = time
        self._pending.add(host)
        return self._next_probe(state)

    def make_probe(self, host: Address) -> Probe:
        """Return a probe for an agent that gets no flows.

        An agent that does not reply to this probe is not avoided.

        Args:
            host: Address of the agent.
        """
        return self._next_probe(self._state(host))

    def record_return(self, host: Address) -> None:
        """Record a return datagram of an agent."""
        state = self._hosts.get(host)
        if state is not None:
            state.heard_at = now()
            state.probed_at = None
            self._pending.discard(host)
            self._avoided.discard(host)

    def record_reply(self, host: Address, sequence: int) -> bool:
        """Record a probe reply.

        Args:
            host: Address of the agent that sent the reply.
            sequence: Number in the reply.

        Returns:
            Whether this is the first reply to the last probe of that agent. Every other
            reply is a replay.
        """
        state = self._hosts.get(host)
        if state is None or state.sequence != sequence:
            return False
        state.sequence = None
        self.record_return(host)
        return True

    def _state(self, host: Address) -> _HostState:
        state = self._hosts.get(host)
        if state is None:
            state = self._hosts[host] = _HostState()
            if len(self._hosts) > self._limit:
                self._drop(next(iter(self._hosts)))
        return state

    def _next_probe(self, state: _HostState) -> Probe:
        self._sequence = (self._sequence + 1) % _SEQUENCES
        state.sequence = self._sequence
        return Probe(self._sequence)

    def _apply_deadlines(self, time: float) -> None:
        for host in [h for h in self._pending if self._is_overdue(h, time)]:
            state = self._hosts[host]
            # The time to avoid the host starts at the reply deadline of its probe and
            # not now, because this check may run much later.
            state.avoid_until = (
                (state.probed_at or 0.0) + REPLY_TIMEOUT_SECONDS + AVOID_SECONDS
            )
            self._pending.discard(host)
            self._avoided.add(host)
        for host in [h for h in self._avoided if self._hosts[h].avoid_until <= time]:
            self._avoided.discard(host)
            self._hosts[host].probed_at = None

    def _is_overdue(self, host: Address, time: float) -> bool:
        probed = self._hosts[host].probed_at
        return probed is not None and time - probed >= REPLY_TIMEOUT_SECONDS

    def _drop(self, host: Address) -> None:
        del self._hosts[host]
        self._pending.discard(host)
        self._avoided.discard(host)


@dataclass(frozen=True, slots=True)
class EntryRecord:
    """An entry that may carry return datagrams.

    Attributes:
        name: Name of the entry instance.
        address: Address of the entry.
        failure_domain: Failure domain of the entry.
    """

    name: str
    address: Address
    failure_domain: str


class _EntryState:
    """An entry and its outstanding probe."""

    __slots__ = ("leaving", "record", "sequence", "unanswered")

    def __init__(self, record: EntryRecord) -> None:
        self.record = record
        self.sequence: int | None = None
        self.unanswered = 0
        self.leaving = False


class EntryProbes:
    """Chooses the entries of an agent and tracks which of them answer.

    Args:
        name: Name of the agent instance, so that agents choose different entries.
        failure_domain: Failure domain of the agent.
        rng: Random number generator for sequence numbers.
    """

    __slots__ = ("_entries", "_failure_domain", "_name", "_rng")

    def __init__(
        self, name: str, failure_domain: str, rng: random.Random | None = None
    ) -> None:
        self._name = name.encode()
        self._failure_domain = failure_domain
        self._rng = rng or random.SystemRandom()
        self._entries: dict[Address, _EntryState] = {}

    @property
    def addresses(self) -> list[Address]:
        """Addresses of the chosen entries."""
        return list(self._entries)

    def choose(self, records: Sequence[EntryRecord]) -> None:
        """Choose up to 8 entries, spread over failure domains, and keep their state.

        Args:
            records: Entries that may carry return datagrams.
        """
        chosen = _choose_from_each_domain(self._name, records)
        known = self._entries
        self._entries = {
            record.address: _keep_or_create_state(known.get(record.address), record)
            for record in chosen
        }

    def next_probe(self, entry: Address) -> Probe | None:
        """Return the next probe for an entry and count an unanswered one.

        Args:
            entry: Address of the entry.

        Returns:
            The probe, or None if the entry is no longer chosen.
        """
        state = self._entries.get(entry)
        if state is None:
            return None
        if state.sequence is not None:
            state.unanswered += 1
        # The sequence number cannot be predicted, so a reply that an attacker captured
        # earlier does not match a later probe.
        state.sequence = self._rng.randrange(_SEQUENCES)
        return Probe(state.sequence)

    def record_reply(self, entry: Address, sequence: int, signal: Signal) -> bool:
        """Record a probe reply.

        Args:
            entry: Address of the entry that sent the reply.
            sequence: Number in the reply.
            signal: State and load of the entry.

        Returns:
            Whether the reply answers the outstanding probe.
        """
        state = self._entries.get(entry)
        if state is None or state.sequence != sequence:
            return False
        state.sequence = None
        state.unanswered = 0
        state.leaving = signal.state is SignalState.LEAVING
        return True

    def usable(self, entry: Address) -> bool:
        """Return whether an entry is chosen, answers and is not leaving."""
        state = self._entries.get(entry)
        return (
            state is not None
            and state.unanswered < MAX_UNANSWERED
            and not state.leaving
        )

    def ranked(self, flow: bytes) -> list[Address]:
        """Order the chosen entries for a flow, the best first.

        Args:
            flow: Encoded flow key, which spreads flows over equal entries.

        Returns:
            All chosen entries. Those that answer come first, then those in the
            failure domain of the agent.
        """
        candidates = [
            Candidate(state.record.name, *address)
            for address, state in self._entries.items()
        ]
        ordered = [(c.address, c.data_port) for c in rank(flow, candidates)]
        return sorted(ordered, key=self._cost)

    def status(self) -> dict[str, object]:
        """Return the unanswered probes of each entry."""
        return {
            state.record.name: "leaving" if state.leaving else state.unanswered
            for state in self._entries.values()
        }

    def _cost(self, entry: Address) -> tuple[bool, int, bool]:
        state = self._entries[entry]
        other_domain = state.record.failure_domain != self._failure_domain
        return not self.usable(entry), state.unanswered, other_domain


class ReturnRoute:
    """Entry through which the answers of one flow are sent.

    Args:
        probes: Entries of this agent.
        flow: Encoded flow key.
    """

    __slots__ = ("_caller_entry", "_flow", "_entry", "_probes", "_tried")

    def __init__(self, probes: EntryProbes, flow: bytes) -> None:
        self._probes = probes
        self._flow = flow
        self._caller_entry: Address | None = None
        self._entry: Address | None = None
        self._tried: set[Address] = set()

    def record_caller_entry(self, entry: Address) -> None:
        """Record the entry that carried a packet of the caller."""
        self._caller_entry = entry
        if self._entry is None and self._probes.usable(entry):
            self._entry = entry

    def current(self) -> Address | None:
        """Return the entry to send through, None if no entry is known."""
        if self._entry is None or not self._probes.usable(self._entry):
            self._entry = self._choose_entry()
        return self._entry or self._caller_entry

    def rotate(self) -> Address | None:
        """Switch to another entry after QUIC's loss timer has fired.

        Returns:
            The entry to send through from now on.
        """
        previous = self.current()
        if previous is not None:
            self._tried.add(previous)
        self._entry = self._choose_entry()
        return self._entry or self._caller_entry

    def _choose_entry(self) -> Address | None:
        ranked = self._probes.ranked(self._flow)
        usable = [entry for entry in ranked if self._probes.usable(entry)]
        if not usable:
            # The entry that forwarded the caller's last packet is tried first, because
            # that packet is newer evidence than the unanswered probes.
            return self._first_untried(
                [e for e in [self._caller_entry, *ranked] if e is not None]
            )
        return self._first_untried(usable)

    def _first_untried(self, entries: Sequence[Address]) -> Address | None:
        self._tried &= set(entries)
        untried = [entry for entry in entries if entry not in self._tried]
        if not untried:
            last = self._entry
            self._tried = {last} if last is not None and len(entries) > 1 else set()
            untried = [entry for entry in entries if entry not in self._tried]
        return untried[0] if untried else None


def _keep_or_create_state(
    state: _EntryState | None, record: EntryRecord
) -> _EntryState:
    if state is None or state.record != record:
        return _EntryState(record)
    return state


def _choose_from_each_domain(
    name: bytes, records: Sequence[EntryRecord]
) -> list[EntryRecord]:
    """Choose up to 8 entries, taking one from each failure domain in turn."""
    by_name = {record.name: record for record in records}
    domains: dict[str, list[EntryRecord]] = {}
    for candidate in rank(name, [Candidate(r.name, *r.address) for r in records]):
        record = by_name[candidate.name]
        domains.setdefault(record.failure_domain, []).append(record)
    chosen: list[EntryRecord] = []
    while len(chosen) < MAX_ENTRIES and any(domains.values()):
        for ranked_records in domains.values():
            if ranked_records and len(chosen) < MAX_ENTRIES:
                chosen.append(ranked_records.pop(0))
    return chosen

"""Finds which signals on return datagrams are new and genuine. Holds no socket."""

from collections.abc import Collection
from enum import Enum

from balsamspool.kernel.clock import now
from balsamspool.plugins.membership import Signal

Address = tuple[str, int]

# An agent's unchanged signal is passed on again only after this time. The time is a
# tenth of the silence after which an agent is probed, so an agent whose repeated
# signals are skipped never looks silent.
REPEAT_INTERVAL_SECONDS = 0.1
# Length of the first part of a nonce: random octets that identify the sending process.
# A counter follows them.
_SENDER_BYTES = 8


class Verdict(Enum):
    """What to do with the signal of a return datagram."""

    NEW = "news"
    REPEATED = "repeated"
    # The datagram was sent before one that has already arrived, so it was delayed or
    # replayed.
    OLD = "old-signal"
    # The datagram was sent by a process other than the recorded one. Either the agent
    # has restarted, or the datagram is a replay from before the restart. Only the reply
    # to a probe shows which is the case.
    UNPROVEN = "unproven-signal"


class _AgentState:
    """The last signal of an agent that was passed on, and its newest nonce."""

    __slots__ = ("skip_repeats_until", "sender", "signal", "nonce")

    def __init__(self, nonce: bytes, signal: Signal) -> None:
        self.nonce = nonce
        self.sender = nonce[:_SENDER_BYTES]
        self.signal = signal
        self.skip_repeats_until = 0.0


class AgentSignals:
    """Keeps the last signal of each listed agent.

    Every return datagram repeats the signal of its agent. Passing the signal on each
    time would take longer than authenticating the datagram. The first process whose
    datagram arrives from an address counts as the current one. Only a process that
    answers a probe replaces it.
    """

    __slots__ = ("_agents",)

    def __init__(self) -> None:
        self._agents: dict[Address, _AgentState] = {}

    def __len__(self) -> int:
        """Return the number of agents with a signal."""
        return len(self._agents)

    def keep(self, agents: Collection[Address]) -> None:
        """Drop the state of agents that are no longer listed."""
        self._agents = {a: state for a, state in self._agents.items() if a in agents}

    def record_reply_signal(self, agent: Address, nonce: bytes, signal: Signal) -> bool:
        """Record the signal of a reply to the outstanding probe.

        Args:
            agent: Address of a listed agent.
            nonce: Nonce of the reply.
            signal: Signal in the reply.

        Returns:
            Whether the reply was sent after every recorded datagram of that process.
        """
        state = self._agents.get(agent)
        if state is None or not nonce.startswith(state.sender):
            self._agents[agent] = _AgentState(nonce, signal)
        elif nonce <= state.nonce:
            return False
        else:
            state.nonce, state.signal = nonce, signal
        return True

    def record_return_signal(
        self, agent: Address, nonce: bytes, signal: Signal
    ) -> Verdict:
        """Record the signal of a return datagram.

        Args:
            agent: Address of a listed agent.
            nonce: Nonce of the datagram.
            signal: Signal in the datagram.

        Returns:
            NEW if the signal has to be passed on, else the reason why not.
        """
        time = now()
        state = self._agents.get(agent)
        if state is None:
            state = self._agents[agent] = _AgentState(nonce, signal)
        elif not nonce.startswith(state.sender):
            return Verdict.UNPROVEN
        elif nonce <= state.nonce:
            return Verdict.OLD
        elif state.signal is signal and time < state.skip_repeats_until:
            # The codec returns the same object for equal signals, so comparing identity
            # is enough.
            state.nonce = nonce
            return Verdict.REPEATED
        state.nonce, state.signal = nonce, signal
        state.skip_repeats_until = time + REPEAT_INTERVAL_SECONDS
        return Verdict.NEW

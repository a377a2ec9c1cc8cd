"""Which signals on return datagrams are genuine news. Holds no socket."""

from collections.abc import Collection
from enum import Enum

from balsamspool.kernel.clock import now
from balsamspool.plugins.membership import Signal

Address = tuple[str, int]

# A tenth of the silence after which an agent is probed, so a skipped repetition never
# makes an agent look silent.
REPEAT_SECONDS = 0.1
# A stamp is the nonce of a datagram: the random octets of its sender, then a counter.
_SENDER_BYTES = 8


class Verdict(Enum):
    """What to do with the signal of a return datagram."""

    NEWS = "news"
    REPEATED = "repeated"
    # Sent before a datagram that was seen: delayed on the way, or replayed.
    OLD = "old-signal"
    # Of another process than the known one: a restarted agent, or a replay from before
    # its restart. Only the reply to a probe tells which.
    UNPROVEN = "unproven-signal"


class _Heard:
    """The last signal of an agent that was passed on, and the newest stamp."""

    __slots__ = ("repeat_until", "sender", "signal", "stamp")

    def __init__(self, stamp: bytes, signal: Signal) -> None:
        self.stamp = stamp
        self.sender = stamp[:_SENDER_BYTES]
        self.signal = signal
        self.repeat_until = 0.0


class AgentSignals:
    """Keeps the last signal of each listed agent.

    Every return datagram repeats the signal of its agent. To record it each time takes
    longer than to authenticate the datagram. The first process heard at an address is
    taken to be the current one; it is replaced only by one that answers a probe.
    """

    __slots__ = ("_heard",)

    def __init__(self) -> None:
        self._heard: dict[Address, _Heard] = {}

    def __len__(self) -> int:
        """Return the number of agents with a signal."""
        return len(self._heard)

    def keep(self, agents: Collection[Address]) -> None:
        """Drop what is known of agents that are no longer listed."""
        self._heard = {a: heard for a, heard in self._heard.items() if a in agents}

    def prove(self, agent: Address, stamp: bytes, signal: Signal) -> bool:
        """Record the signal of a reply to the outstanding probe.

        Args:
            agent: Address of a listed agent.
            stamp: Stamp of the reply.
            signal: What it said.

        Returns:
            Whether it was sent after everything heard of that process.
        """
        heard = self._heard.get(agent)
        if heard is None or not stamp.startswith(heard.sender):
            self._heard[agent] = _Heard(stamp, signal)
        elif stamp <= heard.stamp:
            return False
        else:
            heard.stamp, heard.signal = stamp, signal
        return True

    def judge(self, agent: Address, stamp: bytes, signal: Signal) -> Verdict:
        """Record the signal of a return datagram.

        Args:
            agent: Address of a listed agent.
            stamp: Stamp of the datagram.
            signal: What the agent said.

        Returns:
            NEWS if the signal has to be passed on, else why not.
        """
        time = now()
        heard = self._heard.get(agent)
        if heard is None:
            heard = self._heard[agent] = _Heard(stamp, signal)
        elif not stamp.startswith(heard.sender):
            return Verdict.UNPROVEN
        elif stamp <= heard.stamp:
            return Verdict.OLD
        elif heard.signal is signal and time < heard.repeat_until:
            # The codec returns one object for equal signals, so no value is compared.
            heard.stamp = stamp
            return Verdict.REPEATED
        heard.stamp, heard.signal = stamp, signal
        heard.repeat_until = time + REPEAT_SECONDS
        return Verdict.NEWS

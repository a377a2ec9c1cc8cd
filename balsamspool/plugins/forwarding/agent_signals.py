"""Which signals on return datagrams say something new. Holds no socket."""

from collections.abc import Collection

from balsamspool.kernel.clock import now
from balsamspool.plugins.membership import Signal

Address = tuple[str, int]

# A tenth of the silence after which an agent is probed, so a skipped repetition never
# makes an agent look silent.
REPEAT_SECONDS = 0.1


class _Heard:
    """The last signal of an agent that was passed on."""

    __slots__ = ("repeat_until", "signal")

    def __init__(self, signal: Signal) -> None:
        self.signal = signal
        self.repeat_until = 0.0


class AgentSignals:
    """Keeps the last signal of each listed agent.

    Every return datagram repeats the signal of its agent. To record it each time takes
    longer than to authenticate the datagram.
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

    def is_news(self, agent: Address, signal: Signal) -> bool:
        """Record a signal and return whether it has to be passed on.

        Args:
            agent: Address of a listed agent.
            signal: What it said.

        Returns:
            False if it repeats a signal that was passed on a moment ago.
        """
        time = now()
        heard = self._heard.get(agent)
        if heard is None:
            heard = self._heard[agent] = _Heard(signal)
        elif heard.signal is signal and time < heard.repeat_until:
            # The codec returns one object for equal signals, so no value is compared.
            return False
        heard.signal = signal
        heard.repeat_until = time + REPEAT_SECONDS
        return True

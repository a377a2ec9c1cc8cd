"""Direct signals of instances, which go before the lagging list."""

from dataclasses import dataclass
from enum import Enum

from balsamspool.kernel.clock import now

# Signals arrive at least once a second where there is traffic.
SIGNAL_LIFETIME_SECONDS = 3.0


class SignalState(Enum):
    """What an instance says of itself."""

    ACCEPTING = 0
    LEAVING = 1


@dataclass(frozen=True, slots=True)
class Signal:
    """What an instance said of itself.

    Attributes:
        state: Whether it takes new work.
        load: Slots and queue in use, 0 to 255; 128 means that all slots are busy.
    """

    state: SignalState
    load: int


class SignalBoard:
    """Keeps the newest signal of each instance for a short time."""

    __slots__ = ("_signals",)

    def __init__(self) -> None:
        self._signals: dict[tuple[str, int], tuple[Signal, float]] = {}

    def note(self, address: str, data_port: int, signal: Signal) -> None:
        """Record a signal of the instance at an address."""
        self._signals[address, data_port] = (signal, now())

    def latest(self, address: str, data_port: int) -> Signal | None:
        """Return the signal of an instance unless it is too old."""
        found = self._signals.get((address, data_port))
        if found is None or now() - found[1] > SIGNAL_LIFETIME_SECONDS:
            return None
        return found[0]

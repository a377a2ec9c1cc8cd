"""Direct signals of instances, which go before the lagging list."""

from dataclasses import dataclass
from enum import Enum

from balsamspool.kernel.clock import now

# Signals arrive at least once a second where there is traffic.
SIGNAL_LIFETIME_SECONDS = 3.0
# A datagram sent before the leaving one can arrive after it, but not this much later.
REORDER_SECONDS = 3.0
# Loads within one step count alike in the weights of hosts.
LOAD_STEP = 64
# Four times the growth target of 4,740 instances, for addresses that were replaced.
MAX_SIGNALS = 20_000

Endpoint = tuple[str, int]


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


@dataclass(frozen=True, slots=True)
class _Noted:
    signal: Signal
    incarnation: bytes
    at: float


class SignalBoard:
    """Keeps the newest signal of each instance.

    A signal counts for a short time, except that ``leaving`` holds until a later
    incarnation or the list contradicts it, because no process returns from leaving.
    """

    __slots__ = ("_signals",)

    def __init__(self) -> None:
        self._signals: dict[Endpoint, _Noted] = {}

    def note(
        self,
        address: str,
        data_port: int,
        signal: Signal,
        incarnation: bytes = b"",
        may_return: bool = False,
    ) -> bool:
        """Record a signal of the instance at an address.

        Args:
            address: IPv4 address of the instance.
            data_port: UDP port of the instance.
            signal: What it said.
            incarnation: Its incarnation, empty if the message did not carry one.
            may_return: Whether the process may accept again after it was leaving,
                because the configuration text drained it for a while.

        Returns:
            Whether state or load step differ from what was known until now.
        """
        endpoint, time = (address, data_port), now()
        before = self._signals.get(endpoint)
        if before is not None and _outdated(before, signal, incarnation, may_return):
            return False
        # Moved to the end, so that the first entry is the one not heard of for longest.
        self._signals.pop(endpoint, None)
        self._signals[endpoint] = _Noted(signal, incarnation, time)
        if len(self._signals) > MAX_SIGNALS:
            del self._signals[next(iter(self._signals))]
        return (
            before is None
            or time - before.at > SIGNAL_LIFETIME_SECONDS
            or before.signal.state is not signal.state
            or before.signal.load // LOAD_STEP != signal.load // LOAD_STEP
        )

    def endpoints(self) -> list[Endpoint]:
        """Return the addresses of which a signal is kept."""
        return list(self._signals)

    def latest(self, address: str, data_port: int) -> Signal | None:
        """Return the signal of an instance unless it is too old."""
        noted = self._signals.get((address, data_port))
        if noted is None:
            return None
        if noted.signal.state is SignalState.LEAVING:
            return noted.signal
        fresh = now() - noted.at <= SIGNAL_LIFETIME_SECONDS
        return noted.signal if fresh else None

    def silent_seconds(self, address: str, data_port: int) -> float:
        """Return the age of the newest signal of an address in seconds."""
        noted = self._signals.get((address, data_port))
        return float("inf") if noted is None else now() - noted.at

    def forget(self, address: str, data_port: int) -> None:
        """Drop the signal of an address, which now belongs to another process."""
        self._signals.pop((address, data_port), None)


def _outdated(
    before: _Noted, signal: Signal, incarnation: bytes, may_return: bool
) -> bool:
    left = before.signal.state is SignalState.LEAVING
    if not left or signal.state is SignalState.LEAVING:
        return False
    if incarnation and before.incarnation:
        if incarnation != before.incarnation:
            return False
        if not may_return:
            return True
    # Without an incarnation only time tells a late datagram from a new process.
    return now() - before.at <= REORDER_SECONDS

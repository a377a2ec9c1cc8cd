"""Direct signals of instances, which take precedence over the lagging list."""

from dataclasses import dataclass
from enum import Enum

from balsamspool.kernel.clock import now

# Time for which a signal is valid. Only a leaving signal stays valid for longer. Where
# there is traffic, signals arrive at least once a second.
SIGNAL_LIFETIME_SECONDS = 3.0
# A datagram that was sent before a leaving signal may arrive up to this long after the
# signal.
REORDER_SECONDS = 3.0
# Width of a load step. Hosts whose loads lie within the same step get the same weight.
LOAD_STEP = 64
# Maximum number of stored signals. It is about four times the growth target of 4,740
# instances, because signals of addresses that are no longer in use are kept as well.
MAX_SIGNALS = 20_000

Endpoint = tuple[str, int]


class SignalState(Enum):
    """State that an instance reports."""

    ACCEPTING = 0
    LEAVING = 1


@dataclass(frozen=True, slots=True)
class Signal:
    """State and load that an instance reports.

    Attributes:
        state: Whether the instance accepts new work.
        load: Slots and queue in use, 0 to 255; 128 means that all slots are busy.
    """

    state: SignalState
    load: int


@dataclass(frozen=True, slots=True)
class _RecordedSignal:
    signal: Signal
    incarnation: bytes
    recorded_at: float


class SignalBoard:
    """Keeps the newest signal of each instance.

    A signal expires after a short time. Only a leaving signal stays valid until a later
    incarnation or the list contradicts it, because a process that is leaving does not
    accept work again.
    """

    __slots__ = ("_signals",)

    def __init__(self) -> None:
        self._signals: dict[Endpoint, _RecordedSignal] = {}

    def record(
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
            signal: State and load that the instance reports.
            incarnation: Its incarnation, empty if the message did not carry one.
            may_return: Whether the process may accept work again after it was leaving,
                because the configuration text drained it for a while.

        Returns:
            Whether the state or load step is new, or the earlier signal had expired.
        """
        endpoint, time = (address, data_port), now()
        before = self._signals.get(endpoint)
        if before is not None and _outdated(before, signal, incarnation, may_return):
            return False
        # Moves the endpoint to the end, so that the first one has the oldest signal.
        self._signals.pop(endpoint, None)
        self._signals[endpoint] = _RecordedSignal(signal, incarnation, time)
        if len(self._signals) > MAX_SIGNALS:
            del self._signals[next(iter(self._signals))]
        return (
            before is None
            or time - before.recorded_at > SIGNAL_LIFETIME_SECONDS
            or before.signal.state is not signal.state
            or before.signal.load // LOAD_STEP != signal.load // LOAD_STEP
        )

    def endpoints(self) -> list[Endpoint]:
        """Return the addresses with a stored signal."""
        return list(self._signals)

    def latest(self, address: str, data_port: int) -> Signal | None:
        """Return the signal of an instance unless it is too old."""
        recorded = self._signals.get((address, data_port))
        if recorded is None:
            return None
        if recorded.signal.state is SignalState.LEAVING:
            return recorded.signal
        fresh = now() - recorded.recorded_at <= SIGNAL_LIFETIME_SECONDS
        return recorded.signal if fresh else None

    def silent_seconds(self, address: str, data_port: int) -> float:
        """Return the age of the newest signal of an address in seconds."""
        recorded = self._signals.get((address, data_port))
        return float("inf") if recorded is None else now() - recorded.recorded_at

    def forget(self, address: str, data_port: int) -> None:
        """Remove the signal of an address because it is no longer valid."""
        self._signals.pop((address, data_port), None)


def _outdated(
    before: _RecordedSignal, signal: Signal, incarnation: bytes, may_return: bool
) -> bool:
    was_leaving = before.signal.state is SignalState.LEAVING
    if not was_leaving or signal.state is SignalState.LEAVING:
        return False
    if incarnation and before.incarnation:
        if incarnation != before.incarnation:
            return False
        if not may_return:
            return True
    # If the signal does not show a new incarnation, only the elapsed time tells whether
    # it comes from a late datagram or from an instance that accepts work again.
    return now() - before.recorded_at <= REORDER_SECONDS

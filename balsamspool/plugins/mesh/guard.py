"""Accepts authentic frames that are new, in time and addressed to this process."""

from collections import OrderedDict
from dataclasses import dataclass

from balsamspool.plugins.mesh._codec import OpenedFrame
from balsamspool.plugins.mesh.message import lifetime_of

WINDOW_IDS = 4096
SENDER_LIMIT = 4096
SENDER_IDLE_SECONDS = 60.0
# Assumed drift between the clocks of two hosts, in seconds per second. Quartz clocks
# differ by up to about 100 parts per million. Without an allowance, a day of drift
# would make every frame from a slower clock look seconds old.
DRIFT_ALLOWANCE = 2e-4


@dataclass(frozen=True, slots=True)
class Fresh:
    """The frame is passed to its subscriber.

    Attributes:
        age: Estimated seconds since the frame was queued, minus the least observed
            delay.
    """

    age: float


@dataclass(frozen=True, slots=True)
class Rejected:
    """The frame is dropped.

    Attributes:
        reason: Label of the metric that counts the frame.
    """

    reason: str


class _Sender:
    """Clock estimate and received message IDs of one incarnation of a sender."""

    __slots__ = (
        "_highest_id",
        "_least_difference",
        "_received_mask",
        "last_received_at",
    )

    def __init__(self, difference: float, time: float) -> None:
        self._highest_id = 0
        self._received_mask = 0
        self._least_difference = difference
        self.last_received_at = time

    def estimate_age(self, difference: float, time: float) -> float:
        """Update the clock estimate and return the age of a frame in seconds."""
        drifted = (
            self._least_difference + (time - self.last_received_at) * DRIFT_ALLOWANCE
        )
        self._least_difference = min(drifted, difference)
        self.last_received_at = time
        return difference - self._least_difference

    def record_id(self, message_id: int) -> bool:
        """Record an ID and return whether it is received for the first time."""
        ahead = message_id - self._highest_id
        if ahead > 0:
            kept = self._received_mask << ahead if ahead < WINDOW_IDS else 0
            self._received_mask = (kept | 1) & ((1 << WINDOW_IDS) - 1)
            self._highest_id = message_id
            return True
        if -ahead >= WINDOW_IDS or self._received_mask >> -ahead & 1:
            return False
        self._received_mask |= 1 << -ahead
        return True


class FrameGuard:
    """Rejects frames that are replayed, late or addressed to another incarnation.

    Hosts share no clock. The smallest observed difference between local time and the
    sender's time is taken as clock offset plus least delay. The age of a frame is how
    much its own difference exceeds the smallest one.

    Args:
        incarnation: Incarnation of this process.
    """

    __slots__ = ("_incarnation", "_senders")

    def __init__(self, incarnation: bytes) -> None:
        self._incarnation = incarnation
        self._senders: OrderedDict[bytes, _Sender] = OrderedDict()

    def check(self, frame: OpenedFrame, time: float) -> Fresh | Rejected:
        """Decide whether an authentic frame is passed to its subscriber.

        Args:
            frame: The frame.
            time: Time of the event loop in seconds.
        """
        message = frame.message
        if frame.receiver and frame.receiver != self._incarnation:
            return Rejected("other-incarnation")
        difference = time - frame.sent_at
        sender = self._find_or_add_sender(message.incarnation, difference, time)
        if sender is None:
            return Rejected("too-many-senders")
        age = sender.estimate_age(difference, time)
        if not sender.record_id(message.message_id):
            return Rejected("replayed")
        if age > lifetime_of(type(message.body)):
            return Rejected("late")
        return Fresh(age)

    def _find_or_add_sender(
        self, incarnation: bytes, difference: float, time: float
    ) -> _Sender | None:
        sender = self._senders.get(incarnation)
        if sender is not None:
            self._senders.move_to_end(incarnation)
            return sender
        if len(self._senders) >= SENDER_LIMIT:
            oldest = next(iter(self._senders))
            if time - self._senders[oldest].last_received_at < SENDER_IDLE_SECONDS:
                return None
            del self._senders[oldest]
        sender = self._senders[incarnation] = _Sender(difference, time)
        return sender

"""Decides which authentic frames are new, in time and meant for this process."""

from collections import OrderedDict
from dataclasses import dataclass

from balsamspool.plugins.mesh._codec import OpenedFrame
from balsamspool.plugins.mesh.message import lifetime_of

WINDOW_IDS = 4096
SENDER_LIMIT = 4096
SENDER_IDLE_SECONDS = 60.0
# Quartz clocks differ by up to about 100 parts in a million. Without an allowance, a
# day of drift would make every frame of a slower clock look seconds old.
DRIFT_ALLOWANCE = 2e-4


@dataclass(frozen=True, slots=True)
class Fresh:
    """The frame is to be handed on.

    Attributes:
        age: Estimated seconds since it was queued, beyond the least delay seen.
    """

    age: float


@dataclass(frozen=True, slots=True)
class Rejected:
    """The frame is to be dropped.

    Attributes:
        reason: Label for the count.
    """

    reason: str


class _Sender:
    """What is known of one incarnation of a sender."""

    __slots__ = ("_highest", "_least", "_seen", "heard_at")

    def __init__(self, difference: float, time: float) -> None:
        self._highest = 0
        self._seen = 0
        self._least = difference
        self.heard_at = time

    def age(self, difference: float, time: float) -> float:
        """Update the clock estimate and return the age of a frame in seconds."""
        risen = self._least + (time - self.heard_at) * DRIFT_ALLOWANCE
        self._least = min(risen, difference)
        self.heard_at = time
        return difference - self._least

    def is_new(self, message_id: int) -> bool:
        """Record an ID and return whether it is seen for the first time."""
        ahead = message_id - self._highest
        if ahead > 0:
            kept = self._seen << ahead if ahead < WINDOW_IDS else 0
            self._seen = (kept | 1) & ((1 << WINDOW_IDS) - 1)
            self._highest = message_id
            return True
        if -ahead >= WINDOW_IDS or self._seen >> -ahead & 1:
            return False
        self._seen |= 1 << -ahead
        return True


class FrameGuard:
    """Rejects replayed and old frames and those for another incarnation.

    Hosts share no clock. The smallest difference between local and sender's time is
    taken as clock offset plus least delay; the age of a frame is the excess over it.

    Args:
        incarnation: Incarnation of this process.
    """

    __slots__ = ("_incarnation", "_senders")

    def __init__(self, incarnation: bytes) -> None:
        self._incarnation = incarnation
        self._senders: OrderedDict[bytes, _Sender] = OrderedDict()

    def check(self, frame: OpenedFrame, time: float) -> Fresh | Rejected:
        """Decide about an authentic frame.

        Args:
            frame: The frame.
            time: Time of the event loop in seconds.
        """
        message = frame.message
        if frame.receiver and frame.receiver != self._incarnation:
            return Rejected("other-incarnation")
        difference = time - frame.sent_at
        sender = self._sender(message.incarnation, difference, time)
        if sender is None:
            return Rejected("too-many-senders")
        age = sender.age(difference, time)
        if not sender.is_new(message.message_id):
            return Rejected("replayed")
        if age > lifetime_of(type(message.body)):
            return Rejected("late")
        return Fresh(age)

    def _sender(
        self, incarnation: bytes, difference: float, time: float
    ) -> _Sender | None:
        sender = self._senders.get(incarnation)
        if sender is not None:
            self._senders.move_to_end(incarnation)
            return sender
        if len(self._senders) >= SENDER_LIMIT:
            oldest = next(iter(self._senders))
            if time - self._senders[oldest].heard_at < SENDER_IDLE_SECONDS:
                return None
            del self._senders[oldest]
        sender = self._senders[incarnation] = _Sender(difference, time)
        return sender

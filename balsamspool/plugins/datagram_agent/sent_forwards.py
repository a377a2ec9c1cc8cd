"""Recent messages by which packets for the backend server arrived."""

from balsamspool.datagram.messages import Forward

# Number of recent packets to the backend server whose `Forward` messages are kept. The
# agent needs the message to pass on a packet that the backend server returns.
REMEMBERED_PACKETS = 4_096
_COUNT_RANGE = 1 << 32


class SentForwards:
    """Finds the message of a packet that the backend server returns."""

    __slots__ = ("_count", "_forwards")

    def __init__(self) -> None:
        self._count = 0
        self._forwards: list[Forward | None] = [None] * REMEMBERED_PACKETS

    def store(self, forward: Forward) -> bytes:
        """Keep the message of a delivered packet and return a tag to find it again."""
        count = self._count
        self._count = (count + 1) % _COUNT_RANGE
        self._forwards[count % REMEMBERED_PACKETS] = forward
        return count.to_bytes(4, "big")

    def find(self, tag: bytes) -> Forward | None:
        """Return the message of a returned packet, None if it is no longer kept."""
        count = int.from_bytes(tag, "big")
        if (self._count - count) % _COUNT_RANGE > REMEMBERED_PACKETS:
            return None
        return self._forwards[count % REMEMBERED_PACKETS]

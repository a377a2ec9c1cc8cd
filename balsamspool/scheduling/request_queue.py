"""Order in which requests that wait at a host go to its backend server.

The order answers load above what the backend server can run, such as the return of all
callers after an outage. A backend server that runs requests in the order of arrival
then answers all of them late, because each waits behind older ones. Here a request that
can still be answered in time goes first, so that as many as possible are in time, and
some of the others go in between before their callers stop waiting.
"""

import math

from msgspec import Struct

# Of this many requests that go to the backend server, one may be late already, if its
# caller is about to stop waiting while others can still be answered in time.
LATE_SHARE = 3
# A late request whose caller stops waiting within this time, beyond the time that the
# request takes, must not wait until no other can be answered in time.
LAST_CHANCE_SECONDS = 0.3


class WaitingRequest(Struct, frozen=True):
    """A request that waits for its turn.

    Attributes:
        key: Key of its flow, which has no other request.
        endpoint: Address and port of its route, 6 octets.
        priority: Priority, 0 is the highest.
        arrived: Event loop time in seconds of its arrival.
        due: Event loop time in seconds until which an answer is in time.
        until: Event loop time in seconds until which its caller waits.
        expected: Expected time that it takes in seconds.
    """

    key: bytes
    endpoint: bytes
    priority: int
    arrived: float
    due: float
    until: float = math.inf
    expected: float = 0.0

    @property
    def latest_start(self) -> float:
        """Event loop time in seconds after which its caller can't get the answer."""
        return self.until - self.expected

    def in_time(self, time: float) -> bool:
        """Return whether it is answered in time if it begins at a time in seconds."""
        return time + self.expected <= self.due


class RequestQueue:
    """Requests that wait, by the key of their flow."""

    __slots__ = ("_requests", "_since_late")

    def __init__(self) -> None:
        self._requests: dict[bytes, WaitingRequest] = {}
        # Requests taken since the last one that was late already.
        self._since_late = 0

    def __len__(self) -> int:
        return len(self._requests)

    def __contains__(self, key: bytes) -> bool:
        return key in self._requests

    @property
    def requests(self) -> list[WaitingRequest]:
        """The requests in the order of their arrival."""
        return list(self._requests.values())

    @property
    def expected_seconds(self) -> float:
        """Expected time in seconds that all requests take together."""
        return sum(request.expected for request in self._requests.values())

    def add(self, request: WaitingRequest) -> None:
        """Add a request."""
        self._requests[request.key] = request

    def remove(self, key: bytes) -> WaitingRequest | None:
        """Remove and return the request of a flow, None if it has none."""
        return self._requests.pop(key, None)

    def take(self, time: float) -> WaitingRequest | None:
        """Remove and return the request that goes next, None if none waits.

        Args:
            time: Event loop time in seconds.
        """
        chosen = self._choose(time)
        if chosen is None:
            return None
        self._since_late = self._since_late + 1 if chosen.in_time(time) else 0
        del self._requests[chosen.key]
        return chosen

    def expire(self, time: float) -> list[WaitingRequest]:
        """Remove and return the requests whose callers can't get an answer any more.

        Args:
            time: Event loop time in seconds.
        """
        expired = [r for r in self._requests.values() if r.latest_start < time]
        for request in expired:
            del self._requests[request.key]
        return expired

    def _choose(self, time: float) -> WaitingRequest | None:
        in_time = [r for r in self._requests.values() if r.in_time(time)]
        late = [r for r in self._requests.values() if not r.in_time(time)]
        first_late = min(late, key=lambda r: (r.priority, r.until), default=None)
        if not in_time:
            return first_late
        if self._since_late >= LATE_SHARE - 1:
            last_chances = [
                r for r in late if r.latest_start < time + LAST_CHANCE_SECONDS
            ]
            if last_chances:
                return min(last_chances, key=lambda r: (r.priority, r.until))
        return min(in_time, key=lambda r: (r.priority, r.due))

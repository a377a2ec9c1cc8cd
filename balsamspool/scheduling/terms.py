"""What the catalog says of requests and of the backend server that runs them."""

from msgspec import Struct


class RequestTerms(Struct, frozen=True):
    """Terms of the requests of one route.

    Attributes:
        priority: Priority, 0 is the highest.
        goal: Latency objective in seconds.
        limit: Seconds after which the caller no longer waits, 0 if it is not known.
    """

    priority: int
    goal: float
    limit: float


class ServerTerms(Struct, frozen=True):
    """Terms of one backend server.

    Attributes:
        slots: Number of requests that it runs at the same time.
        warmup: Seconds for which it still warms up.
        flows_per_second: New flows a second that it bears while it warms up, 0 if
            there is no limit.
    """

    slots: int
    warmup: float = 0.0
    flows_per_second: float = 0.0

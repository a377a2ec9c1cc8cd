"""What an entry knows of a flow."""

from msgspec import Struct


class EntryFlow(Struct):
    """Where a flow is, as far as the entry knows.

    Attributes:
        service: Number of the service to which it was opened.
        hosts: Addresses of the agents that may hold it, the likeliest first, 4 octets
            each.
        confirmed: Whether the first of them said that it holds the flow.
        searched: Event loop time in seconds at which the last search for it began,
            None if none did.
        version: Version of the catalog at that time.
        exhaustive: Whether that search asks every listed host in the end.
        rest: Addresses of agents that are asked if none of ``hosts`` holds it.
        asked: Addresses of all agents that the last search asks in the end.
        awaited: Agents that still have to give the packet back until all of ``hosts``
            are known not to hold it, None while any one that does tells so.
        widened: Whether the hosts that are not likely to hold it are being asked.
        missing_since: Event loop time in seconds at which the first search ended
            without a host, None if none did.
    """

    service: int
    hosts: tuple[bytes, ...]
    confirmed: bool = False
    searched: float | None = None
    version: int = 0
    exhaustive: bool = False
    rest: tuple[bytes, ...] = ()
    asked: frozenset[bytes] = frozenset()
    awaited: set[str] | None = None
    widened: bool = False
    missing_since: float | None = None

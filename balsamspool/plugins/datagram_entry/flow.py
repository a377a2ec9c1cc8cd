"""State that an entry keeps for a flow."""

from msgspec import Struct


class EntryFlow(Struct):
    """The host of a flow, or the hosts that may hold it, as far as the entry knows.

    Attributes:
        service: Number of the service to which the flow was opened.
        hosts: Addresses of the agents that may hold the flow, the most likely first, 4
            octets each.
        confirmed: Whether the first of ``hosts`` confirmed that it holds the flow.
        searched_at: Event loop time in seconds at which the last search for the flow
            began, None without a search.
        catalog_version: Version of the catalog at that time.
        exhaustive: Whether that search queries every listed host in the end.
        remaining_hosts: Addresses of the agents that are queried if none of ``hosts``
            holds the flow, 4 octets each.
        queried: Addresses of all agents that the last search queries in the end.
        awaited_agents: Agents that have not returned their copy of the packet yet, if
            the search sent several copies. The search has failed when the set is empty.
            None while a single packet is passed along all of ``hosts``.
        widened: Whether the hosts that are unlikely to hold the flow are queried now.
        missing_since: Event loop time in seconds at which the first search ended
            without finding a host, None if no search did.
    """

    service: int
    hosts: tuple[bytes, ...]
    confirmed: bool = False
    searched_at: float | None = None
    catalog_version: int = 0
    exhaustive: bool = False
    remaining_hosts: tuple[bytes, ...] = ()
    queried: frozenset[bytes] = frozenset()
    awaited_agents: set[str] | None = None
    widened: bool = False
    missing_since: float | None = None

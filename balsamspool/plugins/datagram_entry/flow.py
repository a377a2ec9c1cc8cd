"""State that an entry keeps for a flow."""

from msgspec import Struct

from balsamspool.datagram.messages import PacketReturned


class EntryFlow(Struct):
    """The host of a flow, or the hosts that may hold it, as far as the entry knows.

    Attributes:
        service: Number of the service to which the flow was opened.
        hosts: Addresses of the agents that may hold the flow, the most likely first, 4
            octets each.
        confirmed: Whether the first of ``hosts`` confirmed that it holds the flow.
        confirmed_at: Event loop time in seconds at which it first confirmed that, None
            if ``confirmed`` is not set.
        used_at: Event loop time in seconds at which the last packet was sent to the
            confirmed host.
        passed_at: Event loop time in seconds at which a packet after the opening was
            first passed along ``hosts``, None if there was none.
        searched_at: Event loop time in seconds at which the last search for the flow
            began, None without a search.
        unanswered: Number of successive searches without a result before the last one.
        catalog_version: Version of the catalog when that search began.
        exhaustive: Whether ``queried`` contains every host of the services of its
            route that was listed then, or was removed and still reported.
        unsure: Whether an agent of another service returned a packet of the flow
            although it may not know all flows of its host.
        remaining_hosts: Addresses of the agents that are queried if none of ``hosts``
            holds the flow, 4 octets each.
        queried: Addresses of all agents that the last search covers, including those in
            ``remaining_hosts`` when it began.
        awaited_agents: Agents that have not returned their copy of the packet yet, if
            the search sent several copies, each with the number of agents that its copy
            passes. The search has failed when there is none left. None while a single
            packet is passed along all of ``hosts``.
        widened: Whether the search has failed at the likely hosts and now queries the
            hosts that were in ``remaining_hosts``.
        missing_since: Event loop time in seconds at which the first search ended
            without finding a host, None if no search has ended like that.
    """

    service: int
    hosts: tuple[bytes, ...]
    confirmed: bool = False
    confirmed_at: float | None = None
    used_at: float = 0.0
    passed_at: float | None = None
    searched_at: float | None = None
    unanswered: int = 0
    catalog_version: int = 0
    exhaustive: bool = False
    unsure: bool = False
    remaining_hosts: tuple[bytes, ...] = ()
    queried: frozenset[bytes] = frozenset()
    awaited_agents: dict[str, int] | None = None
    widened: bool = False
    missing_since: float | None = None

    def record_returned(self, returned: PacketReturned, agent: str) -> bool:
        """Record a packet that was returned, and return whether it ends the search.

        A copy of an earlier search, which a slow agent returns late, passed other
        agents and does not speak for the agents of this search.

        Args:
            returned: The returned packet.
            agent: Address of the agent that returned it.
        """
        if self.awaited_agents is None:
            return returned.hops == len(self.hosts)
        if not returned.skipped and returned.hops == self.awaited_agents.get(agent):
            del self.awaited_agents[agent]
        return not self.awaited_agents

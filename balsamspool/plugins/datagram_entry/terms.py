"""Tells agents the terms of their routes and backend servers."""

import socket

from balsamspool.datagram._codec import encode_small
from balsamspool.datagram.messages import NO_ROUTE, QueryTerms, Terms
from balsamspool.datagram.packet import address_of, endpoint_of, port_of
from balsamspool.datagram.sockets import BatchSocket
from balsamspool.kernel.clock import now
from balsamspool.kernel.counters import CounterSet
from balsamspool.kernel.recent import RecentCache
from balsamspool.plugins.catalog import BackendServer, CatalogPlugin, Route
from balsamspool.scheduling.terms import RequestTerms

# Shortest time between two notices to the agent of a backend server that warms up.
NOTICE_SECONDS = 0.25
# Maximum number of agents in each of the two generations of recent notices.
MAX_NOTICES = 1_024
# Terms of requests in messages that only tell of the backend server.
_NO_REQUEST = RequestTerms(priority=0, goal=0.0, limit=0.0)

TERMS = "balsamspool_datagram_terms"
TERMS_HELP = "Terms of routes and backend servers that were sent to agents, by cause"


class TermsSender:
    """Answers agents that ask for terms, and notifies those that have to know at once.

    Nothing is kept for an agent: it asks again when it needs to know.

    Args:
        catalog: Published routes and backend servers.
        peers: Socket for messages to agents.
        port: UDP port of the agents.
        counters: Counters of the process.
    """

    __slots__ = (
        "_answered",
        "_catalog",
        "_introduced",
        "_notices",
        "_notified",
        "_peers",
        "_port",
    )

    def __init__(
        self,
        catalog: CatalogPlugin,
        peers: BatchSocket,
        port: int,
        counters: CounterSet,
    ) -> None:
        self._catalog = catalog
        self._peers = peers
        self._port = port
        # Event loop time in seconds of the last notice, by address of the agent.
        self._notices: RecentCache[float] = RecentCache(MAX_NOTICES)
        self._answered = counters.counter(TERMS, TERMS_HELP, "answer")
        self._notified = counters.counter(TERMS, TERMS_HELP, "notice")
        self._introduced = counters.counter(TERMS, TERMS_HELP, "introduction")

    def answer(self, query: QueryTerms, agent: str) -> None:
        """Answer an agent, unless its route or its backend server is not known.

        Args:
            query: Route of which the agent wants to know the terms.
            agent: IPv4 address of the agent.
        """
        endpoint = query.endpoint
        route = self._catalog.view.route(address_of(endpoint), port_of(endpoint))
        if route is None:
            return
        server = self._server_at(agent, {target.service for target in route.targets})
        if server is not None:
            self._answered.value += 1
            self._send(route, server)

    def notify_warming(self, route: Route, server: BackendServer) -> None:
        """Tell an agent that its backend server bears few new flows, if that is so.

        The agent may not have asked yet, or its backend server may have become cold
        since.

        Args:
            route: Route of a new flow.
            server: Backend server to which the flow is sent.
        """
        time = now()
        terms = self._catalog.view.warmups.terms(server, time)
        if not terms.flows_per_second:
            return
        key = socket.inet_aton(server.address)
        last = self._notices.get(key)
        if last is None or time - last >= NOTICE_SECONDS:
            self._notices.put(key, time)
            self._notified.value += 1
            self._send(route, server)

    def introduce(self, agent: str) -> None:
        """Tell an agent the terms of its backend server, without those of a route.

        The agent learns from it that this entry understands work reports. If several
        backend servers are listed at its address, it is told with the terms of a route.

        Args:
            agent: IPv4 address of the agent.
        """
        listed = self._catalog.view.listed_at(agent)
        if len(listed) == 1:
            self._introduced.value += 1
            self._send_terms(NO_ROUTE, _NO_REQUEST, listed[0])

    def _server_at(self, agent: str, services: set[str]) -> BackendServer | None:
        """Return the latest backend server of some services at an address, or None."""
        view = self._catalog.view
        found = [s for s in view.listed_at(agent) if s.service in services]
        if len(found) > 1:
            found = [s for s in found if s in view.listed(s.service)]
        return found[0] if found else None

    def _send(self, route: Route, server: BackendServer) -> None:
        endpoint = endpoint_of(route.address, route.port)
        request = RequestTerms(route.priority, route.goal, route.limit)
        self._send_terms(endpoint, request, server)

    def _send_terms(
        self, endpoint: bytes, request: RequestTerms, server: BackendServer
    ) -> None:
        terms = self._catalog.view.warmups.terms(server, now())
        message = Terms(endpoint, request, terms)
        self._peers.send((encode_small(message),), (server.address, self._port))

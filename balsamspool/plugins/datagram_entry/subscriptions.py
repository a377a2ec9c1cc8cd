"""Keeps an entry informed: load of hosts, and which entries read the catalog."""

import asyncio
import math
import socket
from contextlib import suppress

from balsamspool.datagram._codec import encode_small, failure_domain_number
from balsamspool.datagram.messages import Announce, Readers, Subscribe
from balsamspool.datagram.sockets import BatchSocket
from balsamspool.kernel.clock import now
from balsamspool.kernel.identity import Identity
from balsamspool.kernel.lifecycle import Kernel, ProcessState
from balsamspool.placement.interest import (
    ReportingHosts,
    announce_targets,
    reporting_hosts,
)
from balsamspool.placement.load import LoadBoard
from balsamspool.plugins.catalog import CatalogPlugin
from balsamspool.plugins.catalog.revision import Revision
from balsamspool.plugins.catalog.upstream import ReaderList
from balsamspool.plugins.datagram_entry.terms import TermsSender

SUBSCRIBE_SECONDS = 1.0
# Shortest time between two rounds. Catalog changes that follow each other within it
# need only one round.
MIN_ROUND_SECONDS = 0.3
# Maximum number of subscriptions that are renewed in a second. With more hosts, each is
# renewed less often.
MAX_RENEWALS = 100
# Lifetime of a subscription, in intervals between its renewals. Two lost renewals do
# not end it.
LEASE_INTERVALS = 3.5
# Maximum rate of reports that an entry requests from the hosts of its failure domain.
# Together with the renewals, they take less than the 9 KB/s of control traffic that an
# entry may use.
LOCAL_REPORTS_PER_SECOND = 100.0
# Period of reports of hosts in other failure domains. Their load only tells whether
# another failure domain is less busy.
REMOTE_PERIOD_SECONDS = 2.0
# Number of rounds after which a host that sends no work report is told again that this
# entry understands them. The first message may be lost, or the agent started again.
INTRODUCTION_ROUNDS = 30
# Time for which a host at which a flow is or was placed is asked for reports. It is the
# longest life of a flow.
FLOW_HOST_SECONDS = 60.0
MAX_FLOW_HOSTS = 256


class Subscriptions:
    """Subscribes to load reports and announces this entry, once a second.

    Args:
        kernel: Kernel of the process.
        catalog: Published routes and backend servers.
        board: Latest load of each host.
        peers: Socket for messages to agents.
        terms: Tells agents that this entry understands work reports.
    """

    __slots__ = (
        "_board",
        "_catalog",
        "_changed",
        "_flow_hosts",
        "_identity",
        "_kernel",
        "_peers",
        "_rng",
        "_round",
        "_subscribed",
        "_terms",
    )

    def __init__(
        self,
        kernel: Kernel,
        catalog: CatalogPlugin,
        board: LoadBoard,
        peers: BatchSocket,
        terms: TermsSender,
    ) -> None:
        self._kernel = kernel
        self._identity: Identity = kernel.identity
        self._catalog = catalog
        self._board = board
        self._peers = peers
        self._terms = terms
        self._rng = kernel.new_random()
        self._changed = asyncio.Event()
        self._round = 0
        self._subscribed: set[str] = set()
        # Hosts in other failure domains that hold flows of this entry, with the event
        # loop time in seconds of the last one.
        self._flow_hosts: dict[str, float] = {}
        catalog.view.subscribe(self._changed.set)

    def record_flow_at(self, address: str) -> None:
        """Record that a host holds a flow whose packets pass this entry."""
        # The host at which no flow was located for the longest time comes first.
        self._flow_hosts.pop(address, None)
        self._flow_hosts[address] = now()
        if len(self._flow_hosts) > MAX_FLOW_HOSTS:
            del self._flow_hosts[next(iter(self._flow_hosts))]

    def record_readers(self, readers: Readers, agent: str) -> None:
        """Record which entries an agent names as readers of the catalog."""
        found = ReaderList(
            tuple(socket.inet_ntoa(address) for address in readers.readers),
            readers.entries,
            Revision(readers.newest_revision),
        )
        self._catalog.selector.record_list(agent, found, now())

    async def run(self) -> None:
        """Renew subscriptions periodically, and subscribe to hosts that are new."""
        while True:
            self._changed.clear()
            self._subscribe(renew=True)
            self._announce()
            renewed = now()
            while (left := renewed + SUBSCRIBE_SECONDS - now()) > MIN_ROUND_SECONDS:
                await asyncio.sleep(MIN_ROUND_SECONDS)
                with suppress(TimeoutError):
                    async with asyncio.timeout(left - MIN_ROUND_SECONDS):
                        await self._changed.wait()
                        self._changed.clear()
                        self._subscribe(renew=False)
            await asyncio.sleep(max(0.0, left))

    def _subscribe(self, renew: bool) -> None:
        """Subscribe to hosts that are new, and renew subscriptions that are due.

        Args:
            renew: Whether to renew subscriptions.
        """
        hosts = self._reporting_hosts()
        everyone = [*sorted(hosts.local), *sorted(hosts.remote)]
        intervals = max(1, math.ceil(len(everyone) / MAX_RENEWALS))
        due = {a for a in everyone if a not in self._subscribed}
        introduced = set(due)
        if renew:
            self._round += 1
            renewed = everyone[self._round % intervals :: intervals]
            due.update(renewed)
            if self._round // intervals % INTRODUCTION_ROUNDS == 0:
                introduced.update(a for a in renewed if not self._board.has_work(a))
        self._subscribed = set(everyone)
        self._board.retain(self._subscribed)
        lease = LEASE_INTERVALS * SUBSCRIBE_SECONDS * intervals
        local_period = len(hosts.local) / LOCAL_REPORTS_PER_SECOND
        self._send_all(due & hosts.local, Subscribe(lease, local_period))
        self._send_all(due & hosts.remote, Subscribe(lease, REMOTE_PERIOD_SECONDS))
        for address in sorted(introduced):
            self._terms.introduce(address)

    def _reporting_hosts(self) -> ReportingHosts:
        limit = now() - FLOW_HOST_SECONDS
        self._flow_hosts = {a: t for a, t in self._flow_hosts.items() if t > limit}
        view = self._catalog.view
        return reporting_hosts(
            view.servers,
            view.recently_removed,
            self._flow_hosts,
            self._identity.failure_domain,
            self._identity.address,
        )

    def _announce(self) -> None:
        if self._kernel.state is ProcessState.LEAVING:
            # A stopping entry is no longer to be followed.
            return
        announce = Announce(
            failure_domain_number(self._identity.failure_domain),
            self._catalog.revision,
            self._catalog.selector.reaches_service(now()),
        )
        targets = announce_targets(
            self._catalog.view.servers,
            self._board,
            self._identity.failure_domain,
            self._rng,
        )
        self._send_all(targets, announce)

    def _send_all(self, addresses: set[str], message: Subscribe | Announce) -> None:
        data = encode_small(message)
        for address in sorted(addresses):
            self._peers.send((data,), (address, self._identity.data_port))

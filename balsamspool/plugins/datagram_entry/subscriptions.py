"""Keeps an entry informed: load of hosts, and which entries read the catalog."""

import asyncio
import socket
from contextlib import suppress

from balsamspool.datagram._codec import encode_small, failure_domain_number
from balsamspool.datagram.messages import Announce, Readers, Subscribe
from balsamspool.datagram.sockets import BatchSocket
from balsamspool.kernel.clock import now
from balsamspool.kernel.identity import Identity
from balsamspool.kernel.lifecycle import Kernel, ProcessState
from balsamspool.placement.interest import announce_targets, reporting_hosts
from balsamspool.placement.load import LoadBoard
from balsamspool.plugins.catalog import CatalogPlugin
from balsamspool.plugins.catalog.upstream import ReaderList

SUBSCRIBE_SECONDS = 1.0
# Shortest time between two rounds. Catalog changes that follow each other within it
# need only one round.
MIN_ROUND_SECONDS = 0.3
# Lifetime of a subscription to load reports. It is long enough that two lost renewals
# do not end the subscription.
LEASE_SECONDS = 3.5
# Maximum rate of reports that an entry requests from the hosts of its failure domain.
# At 45 octets a report, they take less than 9 KB/s.
LOCAL_REPORTS_PER_SECOND = 180.0
# Period of reports of hosts in other failure domains. Their load only tells whether
# another failure domain is less busy.
REMOTE_PERIOD_SECONDS = 1.0
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
    )

    def __init__(
        self,
        kernel: Kernel,
        catalog: CatalogPlugin,
        board: LoadBoard,
        peers: BatchSocket,
    ) -> None:
        self._kernel = kernel
        self._identity: Identity = kernel.identity
        self._catalog = catalog
        self._board = board
        self._peers = peers
        self._rng = kernel.new_random()
        self._changed = asyncio.Event()
        # Hosts in other failure domains that hold flows of this entry, with the event
        # loop time in seconds of the last one.
        self._flow_hosts: dict[str, float] = {}
        catalog.view.subscribe(self._changed.set)

    def record_flow_at(self, address: str) -> None:
        """Record that a host holds a flow whose packets pass this entry."""
        self._flow_hosts[address] = now()
        if len(self._flow_hosts) > MAX_FLOW_HOSTS:
            del self._flow_hosts[next(iter(self._flow_hosts))]

    def record_readers(self, readers: Readers, agent: str) -> None:
        """Record which entries an agent names as readers of the catalog."""
        found = ReaderList(
            tuple(socket.inet_ntoa(address) for address in readers.readers),
            readers.entries,
            readers.newest_revision,
        )
        self._catalog.selector.record_list(agent, found, now())

    async def run(self) -> None:
        """Renew subscriptions periodically and on catalog changes until cancelled."""
        while True:
            self._changed.clear()
            self._subscribe()
            self._announce()
            await asyncio.sleep(MIN_ROUND_SECONDS)
            with suppress(TimeoutError):
                async with asyncio.timeout(SUBSCRIBE_SECONDS - MIN_ROUND_SECONDS):
                    await self._changed.wait()

    def _subscribe(self) -> None:
        view = self._catalog.view
        limit = now() - FLOW_HOST_SECONDS
        self._flow_hosts = {a: t for a, t in self._flow_hosts.items() if t > limit}
        hosts = reporting_hosts(
            view.servers,
            view.recently_removed,
            self._flow_hosts,
            self._identity.failure_domain,
            self._identity.address,
        )
        self._board.retain(hosts.local | hosts.remote)
        local_period = len(hosts.local) / LOCAL_REPORTS_PER_SECOND
        self._send_all(hosts.local, Subscribe(LEASE_SECONDS, local_period))
        self._send_all(hosts.remote, Subscribe(LEASE_SECONDS, REMOTE_PERIOD_SECONDS))

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

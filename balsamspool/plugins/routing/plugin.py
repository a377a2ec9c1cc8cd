"""Plug-in that routes packets over the hosts of the current view."""

import random
from collections.abc import Collection
from dataclasses import dataclass

from balsamspool.kernel.clock import now
from balsamspool.kernel.identity import Role
from balsamspool.kernel.lifecycle import Kernel
from balsamspool.kernel.registry import Plugin, register
from balsamspool.placement.rendezvous import Candidate
from balsamspool.plugins.configuration import Configuration, ConfigurationPlugin
from balsamspool.plugins.membership import Instance, MembershipPlugin
from balsamspool.plugins.membership.signals import SIGNAL_LIFETIME_SECONDS
from balsamspool.plugins.routing.flow import Packet
from balsamspool.plugins.routing.router import Decision, Router
from balsamspool.plugins.routing.token import TokenCodec
from balsamspool.plugins.routing.weights import HostAges, HostReport, weight_of

# Changed signals cause a rebuild of a service's table of candidates at most once in
# this time. Until the rebuild, a leaving agent hands over the flows that it still gets.
MIN_REBUILD_SECONDS = 0.5
# Longest time between two rebuilds of a table. No notification announces that a signal
# expires or that a host warms up, so tables are also rebuilt periodically. An expired
# signal can influence the table for up to this long. The table of a service with hosts
# that warm up is rebuilt sooner.
MAX_REBUILD_SECONDS = SIGNAL_LIFETIME_SECONDS
# MAX_REBUILD_SECONDS is reduced by a random share of up to this value for each rebuild.
# Without this jitter, all tables would be rebuilt at the same time every 3 s, which
# takes 50 ms for 4,100 hosts.
_REBUILD_JITTER = 0.4


@dataclass(slots=True)
class _Table:
    """Candidates of one service.

    Attributes:
        ages: How long each host has accepted new flows.
        candidates: Hosts that accept new flows.
        version: Version of the service's signals from which the table was built.
        rebuilds_from: Event loop time in seconds from which a new version of the
            signals causes a rebuild.
        expires: Event loop time in seconds at which the table is rebuilt in any case.
    """

    ages: HostAges
    candidates: list[Candidate]
    version: int
    rebuilds_from: float
    expires: float


@register(
    "routing",
    roles=[Role.ENTRY, Role.AGENT],
    requires=["configuration", "membership"],
)
class RoutingPlugin(Plugin):
    """Routes packets over the hosts that membership reports.

    Args:
        kernel: Kernel that runs the plug-in.
    """

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._codec = TokenCodec(kernel.keyring)
        self._router = Router(self._codec)
        self._membership = kernel.plugin(MembershipPlugin)
        self._service_names: dict[int, str] = {}
        self._tables: dict[int, _Table] = {}
        # Agents by service, because with 4,100 hosts a scan of all instances for each
        # table takes too long.
        self._agents: dict[str, list[Instance]] = {}

    @property
    def codec(self) -> TokenCodec:
        """Codec of routing tokens."""
        return self._codec

    async def start(self) -> None:
        """Follow the configuration and the instance list."""
        self._kernel.plugin(ConfigurationPlugin).subscribe(self._on_configuration)
        self._membership.subscribe(self._on_list)
        self._on_list()

    def route(
        self, packet: Packet, avoided: Collection[tuple[str, int]] = ()
    ) -> Decision:
        """Decide where a packet goes.

        Args:
            packet: Facts about the packet.
            avoided: Addresses of hosts that are chosen only if there is no other host.

        Returns:
            Deliver or Drop.
        """
        # Only opening packets are routed by the table of candidates.
        candidates = self.candidates(packet.flow.service) if packet.opens else ()
        return self._router.route(packet, candidates, avoided)

    def route_token(self, service: int, connection_id: bytes) -> Decision | None:
        """Decide on a packet by its token alone.

        Args:
            service: Number of the service at whose address the packet arrived.
            connection_id: Bytes that may be a routing token.

        Returns:
            Deliver or Drop, or None if the connection ID is no token.
        """
        return self._router.route_token(service, connection_id)

    def candidates(self, service: int) -> list[Candidate]:
        """Return the weighted hosts of a service that accept new flows.

        Args:
            service: Number of the service.

        Returns:
            The hosts, or no hosts if the service is not configured.
        """
        name = self._service_names.get(service)
        if name is None:
            return []
        time = now()
        table = self._tables.get(service)
        if table is None:
            table = self._tables[service] = _Table(HostAges(), [], 0, time, time)
        if time >= table.expires or (
            time >= table.rebuilds_from
            and self._membership.version(name) != table.version
        ):
            self._rebuild(table, name, time)
        return table.candidates

    def _rebuild(self, table: _Table, service: str, time: float) -> None:
        listed = self._agents.get(service, [])
        hosts = [host for host in listed if self._membership.accepts(host)]
        table.ages.update([host.instance for host in hosts], time)
        table.candidates = [
            Candidate(
                host.instance,
                host.address,
                host.data_port,
                weight_of(self._report(host, table.ages.age(host.instance, time))),
            )
            for host in hosts
        ]
        table.version = self._membership.version(service)
        table.rebuilds_from = time + MIN_REBUILD_SECONDS
        warm = all(table.ages.age(host.instance, time) is None for host in hosts)
        delay = MAX_REBUILD_SECONDS * random.uniform(1 - _REBUILD_JITTER, 1)
        table.expires = time + (delay if warm else MIN_REBUILD_SECONDS)

    def _report(self, host: Instance, age: float | None) -> HostReport:
        signal = self._membership.signal(host)
        return HostReport(
            listed_weight=getattr(host, "weight", 1.0),
            load=None if signal is None else signal.load,
            age=age,
        )

    def _on_list(self) -> None:
        self._agents = {}
        for instance in self._membership.instances:
            if instance.role is Role.AGENT and instance.service is not None:
                self._agents.setdefault(instance.service, []).append(instance)
        self._expire_tables()

    def _expire_tables(self) -> None:
        for table in self._tables.values():
            table.expires = 0.0

    def _on_configuration(self, configuration: Configuration) -> None:
        document = configuration.document
        self._router.set_networks(document.host_networks)
        self._service_names = {
            service.number: name for name, service in document.services.items()
        }
        for number in set(self._tables) - set(self._service_names):
            del self._tables[number]
        self._expire_tables()

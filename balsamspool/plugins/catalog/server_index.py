"""Listed backend servers by service, computed when they are first requested."""

from collections.abc import Mapping

from balsamspool.placement.ranking import by_failure_domain
from balsamspool.plugins.catalog.address_index import AddressIndex
from balsamspool.plugins.catalog.cordons import Cordons
from balsamspool.plugins.catalog.model import BackendServer, BackendState


class ServerIndex:
    """Backend servers by service, state and failure domain.

    Args:
        servers: Listed backend servers by name; they may change if `clear` is called.
        addresses: The same backend servers by address.
        cordons: Failure domains that are out of service.
    """

    __slots__ = (
        "_addresses",
        "_cordons",
        "_listed",
        "_ready",
        "_ready_domains",
        "_servers",
    )

    def __init__(
        self,
        servers: Mapping[str, BackendServer],
        addresses: AddressIndex,
        cordons: Cordons,
    ) -> None:
        self._servers = servers
        self._addresses = addresses
        self._cordons = cordons
        self._ready: dict[str, tuple[BackendServer, ...]] = {}
        self._listed: dict[str, tuple[BackendServer, ...]] = {}
        self._ready_domains: dict[str, dict[str, list[BackendServer]]] = {}

    def ready(self, service: str) -> tuple[BackendServer, ...]:
        """Return the backend servers of a service that accept new flows."""
        found = self._ready.get(service)
        if found is None:
            found = tuple(
                server
                for server in self.listed(service)
                if server.state is BackendState.READY
                and not self._addresses.is_succeeded(server)
            )
            self._ready[service] = found
        return found

    def ready_by_domain(self, service: str) -> dict[str, list[BackendServer]]:
        """Return the backend servers that accept new flows, by failure domain.

        Failure domains that are out of service are left out.
        """
        found = self._ready_domains.get(service)
        if found is None:
            ready = self.ready(service)
            found = by_failure_domain(
                [s for s in ready if s.failure_domain not in self._cordons]
            )
            self._ready_domains[service] = found
        return found

    def listed(self, service: str) -> tuple[BackendServer, ...]:
        """Return the listed backend servers of a service, in any state.

        Only the latest of those at one address is returned.
        """
        found = self._listed.get(service)
        if found is None:
            found = tuple(
                server
                for server in self._servers.values()
                if server.service == service
                and not self._addresses.is_duplicate(server)
            )
            self._listed[service] = found
        return found

    def clear(self) -> None:
        """Forget what was computed, after a change of the backend servers."""
        self._ready.clear()
        self._listed.clear()
        self._ready_domains.clear()

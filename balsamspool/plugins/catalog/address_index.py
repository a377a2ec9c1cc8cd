"""Backend servers that are listed at the same address.

An instance runs one backend server at a time, so two entries at one address are either
a backend server and its successor, or one of them is not what it says. The catalog
cannot tell which. Therefore an entry never removes another one: both stay listed, and a
flow is looked for at both. Only new flows are kept from the earlier one.
"""

import logging
from collections.abc import Callable, Iterator, Mapping

from balsamspool.plugins.catalog.events import ADDRESS_SHARED
from balsamspool.plugins.catalog.model import BackendServer
from balsamspool.plugins.catalog.revision import Revision

_logger = logging.getLogger(__name__)


class AddressIndex:
    """Names of the listed backend servers by address.

    Args:
        servers: Listed backend servers by name.
        is_routed: Returns whether a route leads to a service.
    """

    __slots__ = ("_created", "_is_routed", "_names", "_servers")

    def __init__(
        self,
        servers: Mapping[str, BackendServer],
        is_routed: Callable[[str], bool],
    ) -> None:
        self._servers = servers
        self._is_routed = is_routed
        self._names: dict[str, tuple[str, ...]] = {}
        # Revision at which the entry of each backend server was created.
        self._created: dict[str, Revision] = {}

    def add(self, server: BackendServer, created: Revision) -> None:
        """Record that a backend server is listed at its address.

        Args:
            server: The backend server.
            created: Revision at which its entry was created, 0 if unknown.
        """
        self._created[server.name] = created
        names = self._names.get(server.address, ())
        if server.name not in names:
            self._names[server.address] = (*names, server.name)

    def discard(self, server: BackendServer) -> None:
        """Record that a backend server is no longer listed at its address."""
        self._created.pop(server.name, None)
        names = self._names.get(server.address, ())
        left = tuple(name for name in names if name != server.name)
        if left:
            self._names[server.address] = left
        else:
            self._names.pop(server.address, None)

    def created(self, server: BackendServer) -> Revision:
        """Return the revision at which an entry was created, 0 if unknown."""
        return Revision(self._created[server.name])

    def at(self, address: str) -> list[BackendServer]:
        """Return the backend servers that are listed at an address."""
        return [self._servers[name] for name in self._names.get(address, ())]

    def others(self, server: BackendServer) -> Iterator[BackendServer]:
        """Yield the other backend servers that are listed at an address."""
        names = self._names.get(server.address, ())
        if len(names) > 1:
            yield from (self._servers[n] for n in names if n != server.name)

    def is_duplicate(self, server: BackendServer) -> bool:
        """Return whether the service has a later backend server at the address."""
        return any(
            other.service == server.service and self._is_later(other, server)
            for other in self.others(server)
        )

    def is_succeeded(self, server: BackendServer) -> bool:
        """Return whether a later backend server runs in the place of this one.

        A backend server of another service takes the place only if it has the same
        port and a route leads to its service: other programs of an instance may be
        listed at its address too.
        """
        return self.is_duplicate(server) or any(
            other.port == server.port
            and self._is_routed(other.service)
            and self._is_later(other, server)
            for other in self.others(server)
        )

    def log_shared(self, server: BackendServer) -> None:
        """Log which other backend servers are listed at the address of a server."""
        for other in self.others(server):
            ADDRESS_SHARED.log(
                _logger,
                address=server.address,
                server=server.name,
                service=server.service,
                succeeded=self.is_succeeded(server),
                other=other.name,
                other_service=other.service,
                other_succeeded=self.is_succeeded(other),
            )

    def _is_later(self, server: BackendServer, other: BackendServer) -> bool:
        """Return whether a backend server started, or was listed, after another one."""
        return self._order(server) > self._order(other)

    def _order(self, server: BackendServer) -> tuple[int, int, str]:
        return server.started_ms or 0, self._created[server.name], server.name

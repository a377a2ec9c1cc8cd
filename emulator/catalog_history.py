"""What processes knew of the catalog in a run, and what the catalog lost."""

import math

from msgspec import Struct, field

from balsamspool.plugins.catalog.model import BackendState
from balsamspool.plugins.catalog.view import CatalogView


class ServerGone(Struct, frozen=True):
    """The entry of a backend server was removed from the catalog.

    Attributes:
        server: Name of the backend server.
        time: Time in seconds.
    """

    server: str
    time: float


class CatalogRestored(Struct, frozen=True):
    """The service that publishes the catalog went back to a copy.

    Attributes:
        copied: Time of the copy in seconds; later changes are lost.
        left: Time in seconds from which the service answered nobody.
        returned: Time in seconds from which it answered again.
    """

    copied: float
    left: float
    returned: float

    def lost(self, time: float) -> bool:
        """Return whether what was written at a time in seconds is lost."""
        return self.copied < time < self.returned

    def covers(self, begin: float, end: float) -> bool:
        """Return whether the service answered nobody at a moment of a span."""
        return self.left <= end and self.returned >= begin


class Offer(Struct):
    """A span in which a process regarded a backend server as ready for new flows.

    Attributes:
        server: Name of the backend server.
        start: Start time in seconds.
        end: End time in seconds.
    """

    server: str
    start: float
    end: float = math.inf


class TableInForce(Struct, frozen=True):
    """A process put a route table in force.

    Attributes:
        version: Version of the route table.
        time: Time in seconds.
    """

    version: int
    time: float


class CatalogRun(Struct):
    """What a process knew of the catalog from its start to its end.

    Attributes:
        instance: Name of its instance.
        address: Address of its instance.
        started: Start time in seconds.
        stopped: Time in seconds at which it ended.
        tables: Route tables in the order in which they were in force.
        offers: Ready backend servers.
        current: The offers that have not ended, by backend server.
    """

    instance: str
    address: str
    started: float
    stopped: float = math.inf
    tables: list[TableInForce] = field(default_factory=list)
    offers: list[Offer] = field(default_factory=list)
    current: dict[str, Offer] = field(default_factory=dict)

    def record(self, view: CatalogView, time: float) -> None:
        """Record what the process knows after a change, at a time in seconds."""
        table = view.table
        known = self.tables[-1].version if self.tables else None
        if table is not None and table.version != known:
            self.tables.append(TableInForce(table.version, time))
        ready = {s.name for s in view.servers if s.state is BackendState.READY}
        for name in [name for name in self.current if name not in ready]:
            self.current.pop(name).end = time
        for name in sorted(ready - self.current.keys()):
            offer = self.current[name] = Offer(name, time)
            self.offers.append(offer)

    def version_at(self, time: float) -> int:
        """Return the version in force at a time in seconds, 0 before the first."""
        found = [table.version for table in self.tables if table.time <= time]
        return found[-1] if found else 0

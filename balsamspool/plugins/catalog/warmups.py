"""How long backend servers still warm up, and what they bear until then."""

from balsamspool.plugins.catalog.cordons import Cordons
from balsamspool.plugins.catalog.model import BackendServer, RouteTable, SlowStart
from balsamspool.scheduling.terms import ServerTerms


class Warmups:
    """Ends of the warm-ups of the listed backend servers.

    A catalog entry gives the time that was left when it was written, so the time is
    counted from the moment at which this process learned of it.

    Args:
        cordons: Failure domains that are out of service. Their backend servers may have
            become cold meanwhile, whatever their catalog entries still say.
    """

    __slots__ = ("_cordons", "_ends", "_slow_starts")

    def __init__(self, cordons: Cordons) -> None:
        self._cordons = cordons
        # Event loop time in seconds at which the warm-up of a backend server ends.
        self._ends: dict[str, float] = {}
        self._slow_starts: dict[str, SlowStart] = {}

    def record_table(self, table: RouteTable) -> None:
        """Record the limits of the route table that is in force now."""
        self._slow_starts = {s.service: s for s in table.slow_starts}

    def record(self, server: BackendServer, time: float) -> None:
        """Record the catalog entry of a backend server.

        Args:
            server: The backend server.
            time: Event loop time in seconds.
        """
        if server.warmup > 0:
            self._ends[server.name] = time + server.warmup
        else:
            self._ends.pop(server.name, None)

    def forget(self, name: str) -> None:
        """Forget a backend server that is no longer listed."""
        self._ends.pop(name, None)

    def left(self, server: BackendServer, time: float) -> float:
        """Return the seconds for which a backend server still warms up.

        Args:
            server: The backend server.
            time: Event loop time in seconds.
        """
        end = self._ends.get(server.name, time)
        slow_start = self._slow_starts.get(server.service)
        returned = self._cordons.ended(server.failure_domain)
        if slow_start is not None and returned is not None:
            end = max(end, returned + slow_start.seconds)
        return max(0.0, end - time)

    def terms(self, server: BackendServer, time: float) -> ServerTerms:
        """Return what the agent of a backend server has to know.

        Args:
            server: The backend server.
            time: Event loop time in seconds.
        """
        left = self.left(server, time)
        slow_start = self._slow_starts.get(server.service)
        limit = slow_start.flows_per_second if slow_start and left > 0 else 0.0
        return ServerTerms(server.slots, left, limit)

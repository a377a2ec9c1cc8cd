"""Services to which routes were directed, for as long as they may hold flows."""

import logging
import math
from collections.abc import Iterable

from balsamspool.plugins.catalog.events import SERVICES_FORGOTTEN

_logger = logging.getLogger(__name__)

# Maximum number of earlier services that are remembered for one route, and of routes
# for which any are. Beyond them, it is not known which hosts hold flows of a route.
MAX_SERVICES = 32
MAX_ROUTES = 16_384
# A service that another process may still use has not left its route yet.
NOT_LEFT = math.inf

Endpoint = tuple[str, int]


class PastServices:
    """Services that left a route, and when each of them did.

    A service is forgotten when the flows that opened while the route was directed to it
    have ended. If one has to be forgotten earlier, the services of its route, or of all
    routes, are not known until those flows have ended.

    Args:
        retention: Time in seconds after which no flow depends on a service that left.
    """

    __slots__ = ("_all_known_from", "_retention", "_known_from", "_left")

    def __init__(self, retention: float) -> None:
        self._retention = retention
        # Event loop time in seconds at which each service left, the latest one last.
        self._left: dict[Endpoint, dict[str, float]] = {}
        # Event loop time in seconds from which on the services of a route, and of all
        # routes, are known.
        self._known_from: dict[Endpoint, float] = {}
        self._all_known_from = -math.inf

    def at(self, endpoint: Endpoint) -> tuple[str, ...]:
        """Return the earlier services of a route, the latest first."""
        return tuple(reversed(self._left.get(endpoint, {})))

    def are_known(self, endpoint: Endpoint, time: float) -> bool:
        """Return whether no earlier service of a route had to be forgotten.

        Args:
            endpoint: Address and port of the route.
            time: Event loop time in seconds.
        """
        known_from = self._known_from.get(endpoint, -math.inf)
        return time >= max(known_from, self._all_known_from)

    def record(
        self, endpoint: Endpoint, services: Iterable[str], time: float = NOT_LEFT
    ) -> None:
        """Record that services left a route.

        Args:
            endpoint: Address and port of the route.
            services: Names of the services.
            time: Event loop time in seconds, ``NOT_LEFT`` if other processes may still
                direct flows to them.
        """
        left = self._left.get(endpoint)
        if left is None:
            self._make_room()
            left = self._left[endpoint] = {}
        for service in services:
            left[service] = max(time, left.pop(service, time))
        while len(left) > MAX_SERVICES:
            self._forget_service(endpoint, left)

    def end_use(self, time: float) -> None:
        """Record that no process directs flows to the services any more.

        Args:
            time: Event loop time in seconds.
        """
        end = time + self._retention
        for left in self._left.values():
            for service, moment in left.items():
                if moment == NOT_LEFT:
                    left[service] = time
        for endpoint, known_from in self._known_from.items():
            self._known_from[endpoint] = min(end, known_from)
        self._all_known_from = min(end, self._all_known_from)

    def expire(self, time: float) -> None:
        """Forget the services whose flows have ended.

        Args:
            time: Event loop time in seconds.
        """
        limit = time - self._retention
        for endpoint, left in list(self._left.items()):
            for service in [s for s, moment in left.items() if moment <= limit]:
                del left[service]
            if not left:
                del self._left[endpoint]
        for endpoint, known_from in list(self._known_from.items()):
            if known_from <= time:
                del self._known_from[endpoint]
        if self._all_known_from <= time:
            self._all_known_from = -math.inf

    def _forget_service(self, endpoint: Endpoint, left: dict[str, float]) -> None:
        """Forget the service of a route that left first."""
        end = left.pop(next(iter(left))) + self._retention
        if endpoint not in self._known_from:
            address, port = endpoint
            SERVICES_FORGOTTEN.log(_logger, address=address, port=port, kept=len(left))
        known_from = self._known_from.get(endpoint, -math.inf)
        self._known_from[endpoint] = max(end, known_from)

    def _make_room(self) -> None:
        """Forget the services of the route that was recorded first."""
        if len(self._left) < MAX_ROUTES:
            return
        left = self._left.pop(next(iter(self._left)))
        if self._all_known_from == -math.inf:
            SERVICES_FORGOTTEN.log(_logger, routes=len(self._left))
        end = max(left.values()) + self._retention
        self._all_known_from = max(end, self._all_known_from)

"""Logs and counts what was decided about opening packets."""

import logging

from balsamspool.datagram.events import FLOW_IGNORED, FLOW_PLACED, FLOW_REJECTED
from balsamspool.datagram.packet import flow_id
from balsamspool.kernel.counters import CounterFamily, CounterSet
from balsamspool.plugins.catalog import CatalogPlugin
from balsamspool.plugins.datagram_entry.forwarder import PACKETS, PACKETS_HELP
from balsamspool.plugins.datagram_entry.openings import (
    NO_HOST,
    NO_ROUTE,
    OUT_OF_SERVICE,
    PlaceAt,
)

_logger = logging.getLogger(__name__)

REJECTIONS = "balsamspool_datagram_rejections"
REJECTIONS_HELP = "Opening packets answered by a reset, by reason"


class OpeningLog:
    """Logs and counts placed, rejected and ignored opening packets.

    Args:
        catalog: Published routes and backend servers.
        counters: Counters of the process.
    """

    __slots__ = ("_catalog", "_ignored", "_placed", "_rejected", "_rejections")

    def __init__(self, catalog: CatalogPlugin, counters: CounterSet) -> None:
        self._catalog = catalog
        self._placed = counters.counter(PACKETS, PACKETS_HELP, "placed")
        self._rejected = counters.counter(PACKETS, PACKETS_HELP, "rejected")
        self._ignored = counters.counter(PACKETS, PACKETS_HELP, "ignored")
        self._rejections = CounterFamily(
            counters, REJECTIONS, REJECTIONS_HELP, (NO_ROUTE, NO_HOST, OUT_OF_SERVICE)
        )

    def placed(self, key: bytes, place: PlaceAt) -> None:
        """Record a flow that was sent to its first choice."""
        self._placed.value += 1
        first, *others = place.choices
        FLOW_PLACED.log(
            _logger,
            flow=flow_id(key),
            route=place.route.name,
            service=first.server.service,
            server=first.server.name,
            cost=round(first.cost, 2),
            expected=_rounded(first.seconds),
            work_left=_rounded(first.work_left),
            service_time=_rounded(first.service_time),
            load_age=_rounded(first.age),
            next=[f"{c.server.name}:{c.cost:.2f}" for c in others],
            catalog_version=self._catalog.view.version,
            **self._catalog_state(),
        )

    def rejected(self, key: bytes, reason: str) -> None:
        """Record an opening packet that was answered by a reset."""
        self._rejected.value += 1
        self._rejections.add(reason)
        FLOW_REJECTED.log(
            _logger, flow=flow_id(key), reason=reason, **self._catalog_state()
        )

    def ignored(self, key: bytes, reason: str) -> None:
        """Record an opening packet that was dropped."""
        self._ignored.value += 1
        FLOW_IGNORED.log(
            _logger, flow=flow_id(key), reason=reason, **self._catalog_state()
        )

    def overflowed(self) -> None:
        """Count a packet for which there was no room while the catalog was awaited."""
        self._ignored.value += 1

    def _catalog_state(self) -> dict[str, object]:
        """Return the route table by which a flow is handled, and the catalog's age."""
        table, age = self._catalog.view.table, self._catalog.age
        return {
            "routes_version": table.version if table else None,
            "age_seconds": _rounded(age),
        }


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)

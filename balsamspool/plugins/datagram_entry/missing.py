"""Flows that no queried host holds, until the catalog has been read again."""

from collections.abc import Iterator

from balsamspool.datagram.packet import Packet
from balsamspool.kernel.clock import now
from balsamspool.kernel.recent import RecentCache
from balsamspool.plugins.catalog import CatalogPlugin
from balsamspool.plugins.datagram_entry.decision_log import DecisionLog
from balsamspool.plugins.datagram_entry.flow import EntryFlow

# Maximum number of flows that wait until the catalog has been read again.
MAX_MISSING_FLOWS = 4_096


class MissingFlows:
    """One packet of each flow that waits until the catalog has been read again.

    Args:
        catalog: Published routes and backend servers.
        flows: Flows that the entry knows.
        log: Logs what is decided for a flow.
    """

    __slots__ = ("_catalog", "_flows", "_log", "_packets")

    def __init__(
        self, catalog: CatalogPlugin, flows: RecentCache[EntryFlow], log: DecisionLog
    ) -> None:
        self._catalog = catalog
        self._flows = flows
        self._log = log
        self._packets: dict[bytes, Packet] = {}

    def __contains__(self, key: bytes) -> bool:
        """Return whether a flow waits."""
        return key in self._packets

    def add(self, packet: Packet, flow: EntryFlow) -> None:
        """Keep a packet and request a read, which may list further hosts."""
        if flow.missing_since is None:
            flow.missing_since = now()
            self._log.awaits_catalog(packet.flow_from_caller)
        if len(self._packets) < MAX_MISSING_FLOWS:
            self._packets[packet.flow_from_caller] = packet
        self._catalog.refresher.request()

    def discard(self, key: bytes) -> None:
        """Let a flow wait no longer."""
        self._packets.pop(key, None)

    def has_been_read(self, flow: EntryFlow) -> bool:
        """Return whether the catalog was read between two searches for a flow.

        The read began after the first search had failed and ended before the last one
        began, so the last search covers all hosts that were listed when the read began.
        """
        refresher = self._catalog.refresher
        missing_since, searched_at = flow.missing_since, flow.searched_at
        if missing_since is None or searched_at is None:
            return False
        return missing_since <= refresher.started and refresher.finished <= searched_at

    def take_due(self) -> Iterator[tuple[Packet, EntryFlow]]:
        """Yield the flows that were missing when the last read began.

        None is due before the catalog is complete. A search then would be wasted: it
        queries every host, but its result cannot justify a reset.
        """
        if self._packets and not self._catalog.complete:
            self._catalog.refresher.request()
            return
        for key, packet in list(self._packets.items()):
            flow = self._flows.get(key)
            if flow is None or flow.confirmed or flow.missing_since is None:
                del self._packets[key]
            elif flow.missing_since <= self._catalog.refresher.started:
                del self._packets[key]
                yield packet, flow

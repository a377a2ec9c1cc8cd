"""The entries that announced themselves to an agent."""

import socket

from msgspec import Struct
from xxhash import xxh32_intdigest

from balsamspool.datagram.messages import Announce, Readers

# Time after which an entry that no longer announces itself is forgotten. It allows for
# two lost datagrams.
LIFETIME_SECONDS = 2.8
MAX_ENTRIES = 1_024
# Number of entries in a reply. An entry needs the readers of the catalog and a few more
# in case that it cannot reach them.
REPLY_ENTRIES = 4


class _KnownEntry(Struct, frozen=True):
    announce: Announce
    received: float


class EntryRegister:
    """Remembers the entries that are running, so that they learn of one another.

    The platform does not list them. All entries of a failure domain announce themselves
    to the same few agents.
    """

    __slots__ = ("_entries",)

    def __init__(self) -> None:
        self._entries: dict[bytes, _KnownEntry] = {}

    def __len__(self) -> int:
        """Return the number of known entries."""
        return len(self._entries)

    def record(self, address: str, announce: Announce, time: float) -> None:
        """Record an announcement.

        Args:
            address: IPv4 address of the entry.
            announce: What the entry announced.
            time: Event loop time in seconds.
        """
        self._forget_silent(time)
        key = socket.inet_aton(address)
        if key in self._entries or len(self._entries) < MAX_ENTRIES:
            self._entries[key] = _KnownEntry(announce, time)

    def readers_for(self, failure_domain: int) -> Readers:
        """Return which entries of a failure domain are to read the catalog.

        Entries that reach the publishing service come first. The order is the same at
        all agents that know the same entries.
        """
        found = [
            (not known.announce.reaches_service, xxh32_intdigest(address), address)
            for address, known in self._entries.items()
            if known.announce.failure_domain == failure_domain
        ]
        newest = max((k.announce.revision for k in self._entries.values()), default=0)
        readers = tuple(address for _, _, address in sorted(found)[:REPLY_ENTRIES])
        return Readers(readers, len(found), newest)

    def _forget_silent(self, time: float) -> None:
        self._entries = {
            address: known
            for address, known in self._entries.items()
            if time - known.received <= LIFETIME_SECONDS
        }

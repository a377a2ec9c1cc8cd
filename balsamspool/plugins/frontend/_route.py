"""Choice of the entry through which a connection is answered."""

from balsamspool.kernel.clock import now
from balsamspool.plugins.membership import MembershipPlugin

Address = tuple[str, int]

# The list of entries is long in a large fleet and changes rarely.
VIEW_SECONDS = 0.25


class EntryView:
    """Entries that membership knows, read again after a short time.

    Args:
        membership: View of the fleet.
    """

    __slots__ = ("_listed", "_live", "_membership", "_read_at")

    def __init__(self, membership: MembershipPlugin) -> None:
        self._membership = membership
        self._live: list[Address] = []
        self._listed: set[Address] = set()
        self._read_at: float | None = None

    @property
    def live(self) -> list[Address]:
        """Addresses of the entries that may carry datagrams."""
        self._refresh()
        return self._live

    def usable(self, entry: Address) -> bool:
        """Return whether an entry is live, or too new to be listed."""
        self._refresh()
        return entry not in self._listed or entry in self._live

    def _refresh(self) -> None:
        if self._read_at is not None and now() - self._read_at < VIEW_SECONDS:
            return
        self._read_at = now()
        entries = self._membership.entries()
        self._live = [(entry.address, entry.data_port) for entry in entries]
        self._listed = {
            (instance.address, instance.data_port)
            for instance in self._membership.instances
        }


class ReturnRoute:
    """Entry through which one connection is answered.

    Args:
        view: Known entries.
    """

    __slots__ = ("_carrier", "_view")

    def __init__(self, view: EntryView) -> None:
        self._view = view
        self._carrier: Address | None = None

    def note_carrier(self, entry: Address) -> None:
        """Record the entry that carried the last datagram of the caller."""
        self._carrier = entry

    def current(self) -> Address | None:
        """Return the entry to use, or None if none is known."""
        if self._carrier is None or not self._view.usable(self._carrier):
            self.rotate()
        return self._carrier

    def rotate(self) -> None:
        """Change to the next live entry; the only one is kept."""
        live = self._view.live
        if not live:
            return
        at = live.index(self._carrier) + 1 if self._carrier in live else 0
        self._carrier = live[at % len(live)]

"""Since when the catalog has listed each backend server."""

from collections.abc import Iterable

from msgspec import Struct

from balsamspool.plugins.catalog.model import (
    BackendServer,
    Record,
    ServerPublished,
    ServerRemoved,
)
from balsamspool.plugins.catalog.revision import NO_REVISION, Revision


class _Listing(Struct):
    """The first catalog entry of a backend server since its start.

    Attributes:
        created: Revision at which it was first listed, 0 if unknown.
        started_ms: Its start in Unix milliseconds, None if unknown.
    """

    created: Revision
    started_ms: int | None


class ListingAges:
    """Revision at which each backend server was first listed since its start.

    A catalog entry that expired in an outage is created again when the outage ends, but
    its backend server is older.
    """

    __slots__ = ("_history_start", "_listings")

    def __init__(self) -> None:
        self._listings: dict[str, _Listing] = {}
        # Revision of the first record in the history, 0 before the history is known.
        self._history_start = NO_REVISION

    def record(self, server: BackendServer, created: Revision) -> None:
        """Record that a backend server is listed.

        Args:
            server: The backend server.
            created: Revision at which its present catalog entry was created.
        """
        self._listings[server.name] = _merge(
            self._listings.get(server.name), server, created
        )

    def listed_since(self, name: str) -> Revision:
        """Return the revision at which a backend server was first listed."""
        return self._listings[name].created

    def forget(self, name: str) -> None:
        """Forget a backend server that was removed long ago."""
        self._listings.pop(name, None)

    def learn(self, records: Iterable[Record]) -> None:
        """Learn from the history which listed backend servers are older than known.

        Args:
            records: All records since a revision, in order of their revision.
        """
        earlier: dict[str, _Listing] = {}
        for record in records:
            self._history_start = self._history_start or record.revision
            match record:
                case ServerPublished(_, server, created):
                    known = earlier.get(server.name)
                    earlier[server.name] = _merge(known, server, created)
                case ServerRemoved(_, name) if name not in earlier:
                    # Its entry before the removal is not known.
                    earlier[name] = _Listing(NO_REVISION, None)
        for name, found in earlier.items():
            listing = self._listings.get(name)
            if listing is not None and _may_be_same(listing, found.started_ms):
                listing.created = min(listing.created, found.created)

    def may_precede(self, name: str, revision: Revision) -> bool:
        """Return whether a backend server may have been listed before a revision."""
        created = self._listings[name].created
        # An entry that was created before the history begins may be that of a backend
        # server that was listed again.
        if Revision(created).era != Revision(revision).era:
            # A catalog that was restored lists a backend server again, at a later
            # revision.
            return True
        return created < max(revision, self._history_start)


def _merge(
    known: _Listing | None, server: BackendServer, created: Revision
) -> _Listing:
    if known is not None and _may_be_same(known, server.started_ms):
        created = min(created, known.created)
    return _Listing(created, server.started_ms)


def _may_be_same(listing: _Listing, started_ms: int | None) -> bool:
    """Return whether a listed backend server may have run since an earlier listing."""
    if listing.started_ms is None or started_ms is None:
        return True
    return listing.started_ms == started_ms

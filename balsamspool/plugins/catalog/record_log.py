"""The newest record of each name, kept so that it can be passed on to peers."""

from msgspec import Struct

from balsamspool.plugins.catalog.model import (
    DomainCordoned,
    DomainUncordoned,
    Record,
    RecordIgnored,
    RoutesPublished,
    ServerPublished,
    ServerRemoved,
    Snapshot,
)
from balsamspool.plugins.catalog.revision import NO_REVISION, Revision

# Maximum number of removals that are kept. A peer that asks for changes from before the
# oldest of them gets the whole catalog.
MAX_REMOVALS = 1_024


class _RoutesKey(Struct, frozen=True):
    """Key of the route table, which is no name, so that no server can replace it."""


class _DomainKey(Struct, frozen=True):
    """Key of the records of a failure domain, which may have the name of a server.

    Attributes:
        failure_domain: Name of the failure domain.
    """

    failure_domain: str


_Key = str | _RoutesKey | _DomainKey
_ROUTES_KEY = _RoutesKey()


class RecordLog:
    """Records as the publishing service sent them, without decisions of this process.

    The view of a process delays some removals. A peer decides on its own which removals
    it delays, so it gets the records and not the view.
    """

    __slots__ = ("_complete_since", "_one_table_since", "_records", "_removals")

    def __init__(self) -> None:
        self._records: dict[_Key, Record] = {}
        # Names of the removed records, the oldest removal first.
        self._removals: dict[_Key, None] = {}
        # Revision after which no change is missing, None before the first snapshot.
        self._complete_since: Revision | None = None
        # Revision after which at most one route table was published, which is kept.
        self._one_table_since = NO_REVISION

    def apply(self, record: Record, all_tables: bool = True) -> None:
        """Keep a record unless a newer one of the same name is known.

        Args:
            record: The record.
            all_tables: Whether no route table before the record is missing.
        """
        name = _key_of(record)
        known = self._records.get(name)
        if known is not None and known.revision >= record.revision:
            return
        latest = _latest_table(known, record)
        if name == _ROUTES_KEY:
            kept = all_tables and latest is record
            earlier = known.revision if known is not None else NO_REVISION
            self._one_table_since = earlier if kept else record.revision
        self._records[name] = latest
        self._removals.pop(name, None)
        if _is_removal(record):
            self._removals[name] = None
            if len(self._removals) > MAX_REMOVALS:
                self._forget_oldest_removal()

    def replace(self, snapshot: Snapshot) -> None:
        """Apply a snapshot, and record what it no longer lists as removed."""
        listed = {_key_of(record) for record in snapshot.records}
        for record in snapshot.records:
            self.apply(record, all_tables=False)
        for name, known in list(self._records.items()):
            if name in listed or name in self._removals or name == _ROUTES_KEY:
                continue
            if known.revision <= snapshot.revision:
                # The time of the removal is not known. A peer must not miss it, so the
                # removal gets the revision of the snapshot.
                self._records[name] = _removal_of(name, snapshot.revision)
                self._removals[name] = None
        since = self._complete_since
        if since is None or Revision(since).era < Revision(snapshot.revision).era:
            self._complete_since = snapshot.revision

    def has_all_tables_after(self, revision: Revision) -> bool:
        """Return whether each route table after a revision is kept."""
        return revision >= self._one_table_since

    def changes_after(self, revision: Revision) -> tuple[Record, ...] | None:
        """Return the records that changed after a revision, the oldest first.

        Returns:
            The records, None if some of the changes are no longer known.
        """
        if self._complete_since is None or revision < self._complete_since:
            return None
        found = [r for r in self._records.values() if r.revision > revision]
        return tuple(sorted(found, key=lambda record: record.revision))

    def listed(self) -> tuple[Record, ...]:
        """Return all records except removals."""
        return tuple(
            record for record in self._records.values() if not _is_removal(record)
        )

    def _forget_oldest_removal(self) -> None:
        name = next(iter(self._removals))
        del self._removals[name]
        removal = self._records.pop(name)
        if self._complete_since is not None:
            self._complete_since = max(self._complete_since, removal.revision)


def _latest_table(known: Record | None, record: Record) -> Record:
    """Return a record, with the known route table if the table in it is older."""
    match known, record:
        case RoutesPublished(_, table), RoutesPublished(revision, offered):
            if offered.version < table.version:
                return RoutesPublished(revision, table)
    return record


def _is_removal(record: Record) -> bool:
    return isinstance(record, ServerRemoved | DomainUncordoned)


def _removal_of(key: _Key, revision: Revision) -> Record:
    match key:
        case _DomainKey(failure_domain):
            return DomainUncordoned(revision, failure_domain)
        case str():
            return ServerRemoved(revision, key)
        case _RoutesKey():
            raise ValueError("the route table is never removed")


def _key_of(record: Record) -> _Key:
    match record:
        case RoutesPublished():
            return _ROUTES_KEY
        case DomainCordoned(_, domain) | DomainUncordoned(_, domain):
            return _DomainKey(domain)
        case ServerPublished(_, server):
            return server.name
        case ServerRemoved(_, name) | RecordIgnored(_, name):
            return name

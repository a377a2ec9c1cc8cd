"""Decides whether all backend servers have just started.

If they have, every flow from before is lost, so no backend server that is about to be
listed again can hold one. Whatever is doubtful counts against a restart, because a
wrong answer resets flows that are open.
"""

from enum import Enum

from msgspec import Struct

from balsamspool.plugins.catalog.model import (
    BackendServer,
    Changes,
    DomainUncordoned,
    RecordIgnored,
    ServerPublished,
    ServerRemoved,
)
from balsamspool.plugins.catalog.removals import RemovedServer
from balsamspool.plugins.catalog.revision import Revision

# Longest time between the first and the last start of one restart. It includes the
# difference of the clocks of the instances.
START_SPREAD_MS = 5_000

# Address and port of a backend server. Only one runs there at a time.
Place = tuple[str, int]


class Listing(Struct, frozen=True):
    """A listed backend server.

    Attributes:
        server: The backend server.
        created: Revision at which its entry was created, 0 if unknown.
    """

    server: BackendServer
    created: Revision


class FleetState(Struct, frozen=True):
    """What a process knows of all backend servers.

    Attributes:
        listed: Backend servers that the catalog lists.
        removed: Backend servers that were removed since this process has followed the
            catalog, also those whose removal is delayed.
        services: Services to which a route leads.
        domain_returned: Whether a failure domain came back from being out of service.
    """

    listed: tuple[Listing, ...]
    removed: tuple[RemovedServer, ...]
    services: frozenset[str]
    domain_returned: bool = False


class Doubt(Enum):
    """Why a restart of all backend servers is not certain."""

    HISTORY_UNKNOWN = "history-unknown"
    CATALOG_RESTORED = "catalog-restored"
    DOMAIN_RETURNED = "failure-domain-returned"
    NOT_STARTED = "server-not-started"
    STARTS_APART = "starts-apart"
    SERVICE_MISSING = "service-without-server"
    DOMAIN_MISSING = "failure-domain-without-server"
    PLACE_VACANT = "removed-server-not-replaced"
    TOO_FEW_STARTED = "fewer-started-than-gone"
    WITHOUT_PREDECESSOR = "started-without-predecessor"


class Unproven(Struct, frozen=True):
    """It is not certain that all backend servers have just started.

    Attributes:
        doubt: What stands against it.
        detail: Name of what it was found at, empty if it is found at none in
            particular.
    """

    doubt: Doubt
    detail: str = ""


class FleetRestarted(Struct, frozen=True):
    """All backend servers have just started.

    Attributes:
        started: Number of listed backend servers, all of which have just started.
        renamed: Number of those that are listed under a new name.
        failure_domains: Number of their failure domains.
        services: Number of their services.
        gone: Number of backend servers that are known and not listed any more.
        unlocated: Number of those whose address is not known.
        spare: Number of started backend servers that took the place of no known one,
            as many as `unlocated`.
        spread_ms: Time between the first and the last start in milliseconds.
    """

    started: int
    renamed: int
    failure_domains: int
    services: int
    gone: int
    unlocated: int
    spare: int
    spread_ms: int


class _Past(Struct):
    """What the history shows of earlier backend servers.

    Attributes:
        latest: Last publication of each backend server by name.
        places: Names and places of all publications.
        domains: Failure domains of all publications.
        created: Names and creations of the entries that were created in the history
            for a backend server that warmed up.
        warming: Names and starts of the backend servers that warmed up.
        vanished: Names of entries that were removed or became unreadable.
    """

    latest: dict[str, BackendServer] = {}
    places: set[tuple[str, Place]] = set()
    domains: set[str] = set()
    created: set[tuple[str, Revision]] = set()
    warming: set[tuple[str, int | None]] = set()
    vanished: set[str] = set()

    def publish(self, record: ServerPublished) -> None:
        """Record that an entry was published."""
        server = record.server
        self.latest[server.name] = server
        self.places.add((server.name, place(server)))
        self.domains.add(server.failure_domain)
        if server.warmup > 0:
            self.warming.add((server.name, server.started_ms))
            if record.created == record.revision:
                self.created.add((server.name, record.created))


def place(server: BackendServer) -> Place:
    """Return the address and port of a backend server."""
    return server.address, server.port


def judge_restart(
    history: Changes | None, state: FleetState
) -> FleetRestarted | Unproven:
    """Return whether all backend servers have just started.

    A backend server that survived and is not listed either has a known place, which no
    other one can have taken, or it is one removal more than there are started backend
    servers whose predecessor is not known otherwise. These must be equally many.

    Args:
        history: Changes before this process followed the catalog, None if not known.
        state: What this process knows now, at least up to the end of the history.
    """
    if history is None:
        return Unproven(Doubt.HISTORY_UNKNOWN)
    revisions = [history.revision, *(listing.created for listing in state.listed)]
    if any(Revision(revision).era for revision in revisions):
        # A restored catalog lacks entries without showing their removal.
        return Unproven(Doubt.CATALOG_RESTORED)
    past = _read(history)
    if past is None or state.domain_returned:
        return Unproven(Doubt.DOMAIN_RETURNED)
    current = _current(state)
    renamed = {
        listing.server.name
        for listing in current
        if _is_renamed(listing, past, history.revision)
    }
    doubt = _doubt_starts(current, renamed, past) or _doubt_groups(current, past, state)
    return doubt or _compare_counts(current, renamed, past, state)


def _read(history: Changes) -> _Past | None:
    """Return what the history shows, None if a failure domain came back in it.

    The backend servers of such a failure domain warm up again without a start.
    """
    past = _Past()
    for record in history.records:
        match record:
            case ServerPublished():
                past.publish(record)
            case ServerRemoved(_, name) | RecordIgnored(_, name, _):
                past.vanished.add(name)
            case DomainUncordoned():
                return None
    return past


def _current(state: FleetState) -> list[Listing]:
    """Return the latest listing at each place."""
    latest: dict[Place, Listing] = {}
    for listing in state.listed:
        other = latest.get(place(listing.server))
        if other is None or _order(listing) > _order(other):
            latest[place(listing.server)] = listing
    return list(latest.values())


def _order(listing: Listing) -> tuple[int, int, str]:
    return listing.server.started_ms or 0, listing.created, listing.server.name


def _is_renamed(listing: Listing, past: _Past, until: Revision) -> bool:
    """Return whether a backend server has just started under a new name.

    An entry that is listed again after it expired is created anew too, but its backend
    server no longer warms up.
    """
    server = listing.server
    if server.started_ms is None or server.name in past.vanished:
        return False
    if listing.created > until:
        return server.warmup > 0 and server.name not in past.latest
    return (server.name, listing.created) in past.created


def _doubt_starts(
    current: list[Listing], renamed: set[str], past: _Past
) -> Unproven | None:
    """Return a doubt that all current backend servers have started together.

    One that has started under its former name is told by the time of its start.
    """
    for server in (listing.server for listing in current):
        warming = server.warmup > 0 or (server.name, server.started_ms) in past.warming
        if server.started_ms is None or not (warming or server.name in renamed):
            return Unproven(Doubt.NOT_STARTED, server.name)
    if not renamed:
        return Unproven(Doubt.NOT_STARTED)
    if _spread_ms(current) > START_SPREAD_MS:
        return Unproven(Doubt.STARTS_APART)
    return None


def _spread_ms(current: list[Listing]) -> int:
    """Return the time between the first and the last start in milliseconds."""
    starts = [listing.server.started_ms or 0 for listing in current]
    return max(starts) - min(starts)


def _doubt_groups(
    current: list[Listing], past: _Past, state: FleetState
) -> Unproven | None:
    """Return a doubt that each service and failure domain has started."""
    services = {listing.server.service for listing in current}
    for service in sorted(state.services - services):
        return Unproven(Doubt.SERVICE_MISSING, service)
    domains = {listing.server.failure_domain for listing in current}
    known = past.domains | {r.server.failure_domain for r in state.removed}
    for domain in sorted(known - domains):
        return Unproven(Doubt.DOMAIN_MISSING, domain)
    return None


def _compare_counts(
    current: list[Listing], renamed: set[str], past: _Past, state: FleetState
) -> FleetRestarted | Unproven:
    """Compare the backend servers that are gone with those that have started."""
    gone = _gone(past, state)
    taken = {place(listing.server) for listing in current}
    for name, vacant in sorted(gone.items()):
        if vacant is not None and vacant not in taken:
            return Unproven(Doubt.PLACE_VACANT, name)
    unlocated = sum(1 for found in gone.values() if found is None)
    known = past.places | {(r.server.name, place(r.server)) for r in state.removed}
    known |= {(e.server.name, place(e.server)) for e in state.listed}
    succeeded = {found for name, found in known if name not in renamed} & taken
    spare = len(taken) - len(succeeded)
    detail = f"unlocated={unlocated} spare={spare}"
    if unlocated > spare:
        return Unproven(Doubt.TOO_FEW_STARTED, detail)
    if unlocated < spare:
        # One that was added may hide that another one survived.
        return Unproven(Doubt.WITHOUT_PREDECESSOR, detail)
    return FleetRestarted(
        started=len(current),
        renamed=len(renamed),
        failure_domains=len({e.server.failure_domain for e in current}),
        services=len({e.server.service for e in current}),
        gone=len(gone),
        unlocated=unlocated,
        spare=spare,
        spread_ms=_spread_ms(current),
    )


def _gone(past: _Past, state: FleetState) -> dict[str, Place | None]:
    """Return the names of unlisted backend servers with their places, if known.

    Those that drained first are included, because the entry of one that drains may
    expire too while it still serves its flows.
    """
    listed = {listing.server.name for listing in state.listed}
    gone: dict[str, Place | None] = {}
    for name in past.vanished - listed:
        server = past.latest.get(name)
        gone[name] = None if server is None else place(server)
    gone.update((r.server.name, place(r.server)) for r in state.removed)
    return gone

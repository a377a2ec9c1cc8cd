"""Checks what processes knew of the catalog, above all after a restore of it."""

from collections import defaultdict
from collections.abc import Iterator, Mapping, Set

from balsamspool.plugins.catalog.model import BackendServer
from balsamspool.plugins.catalog.view import CatalogView
from emulator.catalog_history import CatalogRun
from emulator.history import Drained, History
from emulator.violation import (
    DISTURBANCE_GRACE_SECONDS,
    Violation,
    catalog_disturbed,
    find_disturbance,
)

# A draining backend server may still get openings for this long after its report.
DRAIN_GRACE_SECONDS = 3.0
# Time after which a backend server that was removed is not ready in any process. It
# allows for a removal that is delayed because the entry may have expired in an outage.
REMOVAL_GRACE_SECONDS = 6.0
# Time within which a published route table is in force in every process: the setting
# "apply_milliseconds" of the emulated processes.
TABLE_APPLY_SECONDS = 6.0
# Time added to limits while the service that publishes the catalog has a disturbance.
DISTURBED_CATALOG_EXTRA_SECONDS = 12.0


def check_catalog(history: History) -> Iterator[Violation]:
    """Yield the violations in what processes knew of the catalog."""
    for run in history.catalog_runs:
        yield from _late_tables(history, run)
        yield from _older_tables(run)
        yield from _offers_after_restores(history, run)


def check_views(
    servers: Mapping[str, BackendServer], views: Mapping[str, CatalogView], time: float
) -> Iterator[Violation]:
    """Yield the processes that list other backend servers than the catalog.

    Args:
        servers: Backend servers of the catalog by name.
        views: View of each process that runs, by its instance.
        time: Time in seconds, well after the last change.
    """
    expected = {(name, server.state) for name, server in servers.items()}
    for instance, view in views.items():
        found = {(server.name, server.state) for server in view.servers}
        different = sorted({name for name, _ in found ^ expected})
        if different:
            yield Violation("listing", time, f"{instance} differs in {different}")


def check_cordons(
    cordons: Set[str], views: Mapping[str, CatalogView], time: float
) -> Iterator[Violation]:
    """Yield the processes that keep other failure domains out of service.

    Args:
        cordons: Failure domains that the catalog lists as out of service.
        views: View of each process that runs, by its instance.
        time: Time in seconds, well after the last change.
    """
    for instance, view in views.items():
        different = sorted(cordons ^ view.cordons.domains.keys())
        if different:
            yield Violation("listing", time, f"{instance} differs in {different}")


def drain_reports(history: History) -> dict[str, Drained]:
    """Return the report by which each draining backend server must be known as such.

    A report that the catalog lost before it had to be known everywhere does not count.
    The limit of one that was made shortly before a restore begins with the return of
    the service.
    """
    found: dict[str, Drained] = {}
    for report in history.drained:
        if not report.available or report.server in found:
            continue
        begin = report.time
        for restored in history.restores:
            if restored.covers(begin, begin + DRAIN_GRACE_SECONDS):
                if restored.lost(report.time):
                    break
                begin = restored.returned
        else:
            found[report.server] = Drained(report.server, begin, report.available)
    return found


def _late_tables(history: History, run: CatalogRun) -> Iterator[Violation]:
    """Yield route tables that a process did not put in force in time."""
    for change in history.routes:
        begin = max(change.time, run.started)
        lost = False
        for restored in history.restores:
            if restored.covers(begin, begin + TABLE_APPLY_SECONDS):
                lost = lost or restored.lost(change.time)
                begin = max(begin, restored.returned)
        end = begin + TABLE_APPLY_SECONDS
        if catalog_disturbed(history, change.time - DISTURBANCE_GRACE_SECONDS):
            end += DISTURBED_CATALOG_EXTRA_SECONDS
        if lost or run.stopped <= end or run.version_at(end) >= change.version:
            continue
        if not find_disturbance(history, {run.address}, change.time, end):
            detail = (
                f"{run.instance} has version {run.version_at(end)} "
                f"instead of {change.version}"
            )
            yield Violation("late-table", end, detail)


def _older_tables(run: CatalogRun) -> Iterator[Violation]:
    """Yield route tables that replaced a newer one in the same process."""
    for before, after in zip(run.tables, run.tables[1:], strict=False):
        if after.version < before.version:
            detail = f"{run.instance}: {after.version} after {before.version}"
            yield Violation("older-table", after.time, detail)


def _offers_after_restores(history: History, run: CatalogRun) -> Iterator[Violation]:
    """Yield backend servers that became ready again because of a restore."""
    if not history.restores:
        return
    left: defaultdict[str, list[tuple[float, float]]] = defaultdict(list)
    for report in history.drained:
        if report.available:
            left[report.server].append((report.time, DRAIN_GRACE_SECONDS))
    for gone in history.gone:
        left[gone.server].append((gone.time, REMOVAL_GRACE_SECONDS))
    for offer in run.offers:
        for begin, grace in left.get(offer.server, ()):
            end = begin + grace
            if run.started > begin or _excused(history, run, begin, end):
                continue
            if any(end < r.left <= offer.start for r in history.restores):
                detail = f"{offer.server} is ready again in {run.instance}"
                yield Violation("left", offer.start, detail)
                break


def _excused(history: History, run: CatalogRun, begin: float, end: float) -> bool:
    """Return whether a process may not have learned a change of a span."""
    return (
        catalog_disturbed(history, begin - DISTURBANCE_GRACE_SECONDS)
        or find_disturbance(history, {run.address}, begin, end) is not None
        or any(restored.covers(begin, end) for restored in history.restores)
    )

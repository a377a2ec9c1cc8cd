"""Order of the reports of one backend server, by their content.

A restored catalog may contain reports that are older than those that are known, at
positions that are newer. The order by content tells them apart.
"""

from balsamspool.plugins.catalog.model import BackendServer, BackendState


def is_older_report(server: BackendServer, known: BackendServer) -> bool:
    """Return whether a report is known to be older than another one."""
    if _order(server) != _order(known):
        return _order(server) < _order(known)
    # A backend server that drains becomes ready again only after a new start.
    return known.state is BackendState.DRAINING and server.state is BackendState.READY


def is_newer_report(server: BackendServer, known: BackendServer) -> bool:
    """Return whether a report is known to be newer than another one."""
    return _order(server) > _order(known)


def _order(server: BackendServer) -> tuple[int, int]:
    return server.started_ms or 0, server.sequence

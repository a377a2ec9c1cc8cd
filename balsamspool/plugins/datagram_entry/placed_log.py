"""Writes where an entry placed a new flow, and why."""

import logging

from balsamspool.datagram.events import FLOW_PLACED
from balsamspool.datagram.packet import flow_id
from balsamspool.placement.opening import Choice
from balsamspool.plugins.catalog import Route

_logger = logging.getLogger(__name__)


def log_placed(
    key: bytes,
    route: Route,
    choices: list[Choice],
    catalog_version: object,
    catalog_state: dict[str, object],
) -> None:
    """Log the placement of a new flow.

    Args:
        key: Key of the flow.
        route: Route of the flow.
        choices: Choices for the flow, the chosen one first.
        catalog_version: Version of the catalog by which it was placed.
        catalog_state: Log fields of the route table and the catalog's age.
    """
    first = choices[0]
    FLOW_PLACED.log(
        _logger,
        flow=flow_id(key),
        route=route.name,
        service=first.server.service,
        server=first.server.name,
        cost=round(first.cost, 2),
        expected=_rounded(first.seconds),
        work_left=_rounded(first.work_left),
        service_time=_rounded(first.service_time),
        load_age=_rounded(first.age),
        next=[f"{c.server.name}:{c.cost:.2f}" for c in choices[1:]],
        catalog_version=catalog_version,
        **catalog_state,
    )


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)

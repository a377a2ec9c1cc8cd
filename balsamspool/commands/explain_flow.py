"""Command ``explain-flow``: where a new flow would go through entries, and why."""

import sys
from dataclasses import dataclass
from typing import Any

import msgspec

from balsamspool.commands.admin_pages import (
    AdminAnswer,
    check_endpoint,
    check_endpoints,
    read_pages,
)
from balsamspool.commands.codes import ARGUMENT_INVALID, ExitCode
from balsamspool.commands.explanation_tables import print_explanations
from balsamspool.commands.output import print_json
from balsamspool.commands.registry import command
from balsamspool.datagram.explanation import EXPLAIN_PATH, Explanation, Outcome
from balsamspool.kernel.errors import ResultError


@dataclass(frozen=True, slots=True)
class _Explained:
    """Explanation of one entry.

    Attributes:
        endpoint: Address and admin port of the entry.
        page: The page as it was answered, None if there was none that can be read.
        explanation: The decoded page.
    """

    endpoint: str
    page: Any = None
    explanation: Explanation | None = None


@command("explain-flow")
async def explain_flow(
    *endpoints: str, caller: str = "", route: str = "", json: bool = False
) -> int:
    """Explain where a new flow would go now through entries for opaque flows.

    No packet is sent and nothing is recorded. Exits with 0, with 1 if an entry did not
    answer, and with 2 if an argument is not valid or no entry knows the route.

    Args:
        *endpoints: Address and admin port of each entry, such as 10.1.0.10:9464.
            Entries of one failure domain are expected to choose alike.
        caller: Address and port of the caller, as IPv4:port.
        route: Address and port of the route, as IPv4:port.
        json: Print the explanations as JSON in place of tables.
    """
    check_endpoints(endpoints)
    check_endpoint(caller, "--caller")
    check_endpoint(route, "--route")
    query = {"caller": caller, "route": route}
    answers = await read_pages(endpoints, EXPLAIN_PATH, query)
    found = [_decode(answer) for answer in answers]
    explained = {e.endpoint: e.explanation for e in found if e.explanation is not None}
    _check_route(list(explained.values()), route)
    if json:
        print_json({e.endpoint: e.page for e in found})
    elif explained:
        print_explanations(list(explained.values()))
    missing = [e.endpoint for e in found if e.explanation is None]
    for endpoint in missing:
        sys.stderr.write(f"{endpoint} did not answer with an explanation\n")
    return ExitCode.NOT_MET if missing else ExitCode.OK


def _decode(answer: AdminAnswer) -> _Explained:
    if answer.status == 400:
        detail = answer.body.decode(errors="replace").strip()
        raise ResultError(ARGUMENT_INVALID, f"{answer.endpoint} answered: {detail}")
    if answer.status == 404:
        raise ResultError(
            ARGUMENT_INVALID,
            f"{answer.endpoint} is not an entry for opaque flows, or is of a version "
            "that does not explain flows",
        )
    try:
        page = msgspec.json.decode(answer.body)
        explanation = msgspec.convert(page, Explanation)
    except msgspec.DecodeError:
        return _Explained(answer.endpoint)
    return _Explained(answer.endpoint, page, explanation)


def _check_route(explanations: list[Explanation], route: str) -> None:
    """Raise a ResultError if all entries have a route table and none has the route."""
    if not explanations or any(
        e.route is not None or e.outcome is Outcome.AWAIT_CATALOG for e in explanations
    ):
        return
    tables = [
        f"{e.instance}: version {e.catalog.routes_version}, catalog age "
        f"{e.catalog.age_seconds} s, {'' if e.catalog.fresh else 'not '}fresh, "
        f"an opening packet is {_REFUSALS[e.outcome]}"
        for e in explanations
    ]
    raise ResultError(
        ARGUMENT_INVALID, f"no route table has a route at {route} ({'; '.join(tables)})"
    )


_REFUSALS = {Outcome.REJECT: "reset", Outcome.IGNORE: "dropped"}

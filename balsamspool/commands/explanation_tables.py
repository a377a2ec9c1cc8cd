"""Tables of the explanations of entries."""

from collections.abc import Iterable, Sequence
from typing import Any

from balsamspool.commands.output import print_line, print_table
from balsamspool.datagram.explanation import Explanation, HostExplanation, Outcome

_ENTRY_HEADER = (
    "entry",
    "failure domain",
    "state",
    "decision",
    "route",
    "service",
    "first host",
    "routes",
    "revision",
    "catalog age s",
    "fresh",
    "out of service",
)
_HOST_HEADER = (
    "order",
    "host",
    "address",
    "failure domain",
    "cost",
    "order cost",
    "expected s",
    "work left s",
    "service time s",
    "slots",
    "in work",
    "mean work",
    "flows",
    "placed",
    "report age s",
    "warm-up s",
    "reasons",
)
# Fields of a choice and of a report that have a column of their own, or that a reason
# tells. Further fields get columns under their own names.
_SHOWN_CHOICE = {"cost", "age", "avoided", "seconds", "work_left", "service_time"}
_SHOWN_REPORT = {
    "in_progress",
    "mean_in_progress",
    "flows",
    "responsive",
    "period",
    "work_left",
    "service_time",
}


def print_explanations(explanations: Sequence[Explanation]) -> None:
    """Print what each entry decides, and the hosts that it weighs.

    Entries that choose alike share the table of the first of them.
    """
    print_line(f"flow {explanations[0].flow}")
    print_table(_ENTRY_HEADER, [_entry_row(e) for e in explanations])
    groups = _groups(explanations)
    if len(groups) > 1:
        print_line("\nthe entries choose differently; order and cost at each entry:")
        _print_comparison(explanations)
    for group in groups:
        _print_hosts(group)


def _entry_row(explanation: Explanation) -> tuple[Any, ...]:
    catalog, route = explanation.catalog, explanation.route
    decision = explanation.outcome.value
    if explanation.reason is not None:
        decision += f": {explanation.reason}"
    return (
        explanation.instance,
        explanation.failure_domain,
        explanation.state,
        decision,
        route.name if route else None,
        route.service if route else None,
        _first_host(explanation),
        catalog.routes_version,
        catalog.revision,
        None if catalog.age_seconds is None else round(catalog.age_seconds, 1),
        "yes" if catalog.fresh else "no",
        ",".join(catalog.out_of_service) or None,
    )


def _first_host(explanation: Explanation) -> str | None:
    candidates = explanation.candidates
    return candidates[0].server if candidates else None


def _groups(explanations: Sequence[Explanation]) -> list[list[Explanation]]:
    """Group the explanations that lead to the same host, or to the same refusal."""
    groups: dict[tuple[Any, ...], list[Explanation]] = {}
    for explanation in explanations:
        decided = (explanation.outcome, explanation.reason, _first_host(explanation))
        groups.setdefault(decided, []).append(explanation)
    return list(groups.values())


def _print_comparison(explanations: Sequence[Explanation]) -> None:
    hosts = dict.fromkeys(c.server for e in explanations for c in e.candidates)
    header = ("host", *(e.instance for e in explanations))
    rows = [(host, *(_place_of(host, e) for e in explanations)) for host in hosts]
    print_table(header, rows)


def _place_of(host: str, explanation: Explanation) -> str | None:
    for order, candidate in enumerate(explanation.candidates, 1):
        if candidate.server == host:
            return f"{order}: {_number(candidate.order_cost)}"
    for other in explanation.others:
        if other.server == host:
            return _reasons(other)
    return None


def _print_hosts(group: Sequence[Explanation]) -> None:
    first = group[0]
    names = ", ".join(e.instance for e in group[1:])
    also = f" (the same host at {names})" if names else ""
    print_line(f"\nat {first.instance}{also}:")
    if first.outcome is Outcome.AWAIT_CATALOG:
        print_line("no route table yet; the packet waits for the first one")
        return
    if first.route is None:
        print_line("no route at this address")
        return
    weights = ", ".join(f"{s} {w}" for s, w in first.route.weights.items())
    print_line(
        f"route {first.route.name}, service {first.route.service} of weights {weights}"
    )
    hosts = [*first.candidates, *first.others]
    further = _further_names(hosts)
    rows = [
        (*_host_row(order, host), *(_further_value(host, name) for name in further))
        for order, host in enumerate(hosts, 1)
    ]
    if rows:
        print_table((*_HOST_HEADER, *further), rows)
    if first.left_out:
        counts = ", ".join(f"{n} {reason}" for reason, n in first.left_out.items())
        print_line(f"left out: {counts}")


def _host_row(order: int, host: HostExplanation) -> tuple[Any, ...]:
    report = host.report or {}
    choice = host.choice
    return (
        None if choice is None else order,
        host.server,
        host.address,
        host.failure_domain,
        None if choice is None else _number(choice.get("cost")),
        _number(host.order_cost),
        None if choice is None else _number(choice.get("seconds")),
        _number(report.get("work_left")),
        _number(report.get("service_time")),
        host.slots,
        report.get("in_progress"),
        _number(report.get("mean_in_progress")),
        report.get("flows"),
        host.placed,
        _number(host.report_age),
        _number(host.warmup_left),
        _reasons(host),
    )


def _reasons(host: HostExplanation) -> str | None:
    return ", ".join(reason.value for reason in host.reasons) or None


def _further_names(hosts: Iterable[HostExplanation]) -> list[str]:
    names: dict[str, None] = {}
    for host in hosts:
        names.update(dict.fromkeys(_further(host)))
    return list(names)


def _further_value(host: HostExplanation, name: str) -> Any:
    return _number(_further(host).get(name))


def _further(host: HostExplanation) -> dict[str, Any]:
    """Return the fields of the choice and the report that have no column yet."""
    choice, report = host.choice or {}, host.report or {}
    return {
        **{n: v for n, v in report.items() if n not in _SHOWN_REPORT},
        **{n: v for n, v in choice.items() if n not in _SHOWN_CHOICE},
    }


def _number(value: Any) -> Any:
    return f"{value:.2f}" if isinstance(value, float) else value

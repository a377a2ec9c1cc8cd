"""Command ``explain``: where a flow or a request goes and why."""

from dataclasses import dataclass

from fire.decorators import SetParseFns

from balsamspool.commands.codes import ARGUMENT_INVALID, ExitCode
from balsamspool.commands.fleet import Published, Report, open_fleet
from balsamspool.commands.output import print_line
from balsamspool.commands.registry import command
from balsamspool.kernel.errors import ResultError
from balsamspool.kernel.keyring import KeyRing
from balsamspool.placement.rendezvous import Candidate, rank
from balsamspool.plugins.configuration import (
    DownloadRoute,
    FeedRoute,
    RequestRoute,
    Service,
)
from balsamspool.plugins.configuration.checker import split_address
from balsamspool.plugins.membership import ListedState
from balsamspool.plugins.routing import FlowKey
from balsamspool.plugins.routing.token import TokenCodec


@dataclass(frozen=True, slots=True)
class _Choice:
    """A host in the ranking for a flow."""

    instance: str
    accepts: bool
    reason: str


# Without a parse function, fire converts an ID of decimal digits to a number.
@command("explain")
@SetParseFns(connection_id=str)
async def explain(
    platform: str,
    service: str,
    caller: str = "",
    connection_id: str = "",
    path: str = "",
) -> int:
    """Explain which host a flow or a request goes to and why.

    Args:
        platform: Base URL of the platform, such as http://127.0.0.1:9000.
        service: Name of the service.
        caller: Address of a caller as IPv4:port, for a new flow.
        connection_id: Connection ID in hexadecimal digits, for an open flow.
        path: Path of a request.
    """
    async with open_fleet(platform) as fleet:
        published = await fleet.published()
        reports = await fleet.reports()
    configured = published.document.services.get(service)
    if configured is None:
        raise ResultError(ARGUMENT_INVALID, f"service {service!r} is not configured")
    if connection_id:
        _explain_token(published, configured, connection_id, reports)
    if caller:
        _explain_flow(published, service, configured, caller, reports)
    if path:
        _explain_path(service, configured, path)
    if not (connection_id or caller or path):
        detail = "nothing to explain; give --caller, --connection_id or --path"
        raise ResultError(ARGUMENT_INVALID, detail)
    return ExitCode.OK


def _explain_token(
    published: Published, service: Service, text: str, reports: list[Report]
) -> None:
    try:
        raw = bytes.fromhex(text)
    except ValueError as error:
        raise ResultError(
            ARGUMENT_INVALID, f"connection ID is not hexadecimal: {error}"
        ) from error
    codec = TokenCodec(KeyRing(published.document.keys))
    token = codec.decode(raw)
    if token is None:
        print_line("connection ID: not a routing token under the published keys")
        return
    print_line(f"connection ID: token of {token.address}:{token.data_port}")
    if token.service != service.number:
        print_line(f"  dropped: it belongs to service number {token.service}")
        return
    for report in reports:
        instance = report.instance
        if (instance.address, instance.data_port) == (token.address, token.data_port):
            print_line(f"  delivered to {instance.instance}, state {report.state}")
            _explain_incarnation(report, token.incarnation)
            return
    print_line("  delivered there, although no listed instance has that address")


def _explain_incarnation(report: Report, incarnation: bytes) -> None:
    if report.status is None:
        return
    if not report.status["incarnation"].startswith(incarnation.hex()):
        print_line("  dropped there: the agent has been restarted since")


def _explain_flow(
    published: Published,
    name: str,
    service: Service,
    caller: str,
    reports: list[Report],
) -> None:
    try:
        address, port = split_address(caller)
    except ValueError as error:
        raise ResultError(ARGUMENT_INVALID, f"caller: {error}") from error
    key = FlowKey(service.number, address, port).encode()
    agents = {r.instance.instance: r for r in reports if r.instance.service == name}
    candidates = [
        Candidate(r.instance.instance, r.instance.address, r.instance.data_port)
        for r in agents.values()
    ]
    print_line(f"flow from {caller}, hosts in rendezvous order with equal weights:")
    draining = published.document.draining_hosts
    chosen = False
    for candidate in rank(key, candidates):
        choice = _assess(agents[candidate.name], draining)
        mark = "->" if choice.accepts and not chosen else "  "
        chosen = chosen or choice.accepts
        print_line(f"{mark} {choice.instance}: {choice.reason}")
    if not chosen:
        print_line("no host accepts new flows; the packet is dropped")


def _assess(report: Report, draining: list[str]) -> _Choice:
    name = report.instance.instance
    if report.instance.state is ListedState.LEAVING:
        return _Choice(name, False, "listed as leaving")
    if name in draining:
        return _Choice(name, False, "drained by the configuration")
    if report.state != "accepting":
        return _Choice(name, False, f"reports the state {report.state}")
    return _Choice(name, True, "accepts new flows")


def _explain_path(name: str, service: Service, path: str) -> None:
    route = service.route(path)
    match route:
        case None:
            print_line(f"path {path}: no route of {name} matches, answered with 404")
        case FeedRoute(path=prefix):
            print_line(f"path {path}: feed route {prefix}, uses no slot, no deadline")
        case DownloadRoute(path=prefix, deadline_ms=deadline):
            limit = deadline or service.limits.deadline_ms
            print_line(f"path {path}: download route {prefix}, deadline {limit} ms")
        case RequestRoute(path=prefix, deadline_ms=deadline):
            limit = deadline or service.limits.deadline_ms
            print_line(f"path {path}: request route {prefix}, deadline {limit} ms")
            if not route.repeatable:
                needed = "needs" if route.require_key else "may carry"
                print_line(f"  runs at most once, {needed} a request key")

"""Explains where a new flow would go, from the state of the entry."""

from collections import Counter
from collections.abc import Mapping, Sequence
from typing import cast

from msgspec import structs

from balsamspool.datagram.explanation import (
    CatalogExplanation,
    Explanation,
    HostExplanation,
    Outcome,
    Reason,
    RouteExplanation,
)
from balsamspool.datagram.packet import endpoint_of, flow_id
from balsamspool.kernel.clock import now
from balsamspool.kernel.errors import ResultError
from balsamspool.kernel.lifecycle import Kernel
from balsamspool.kernel.settings import split_endpoint
from balsamspool.placement.load import LoadBoard
from balsamspool.placement.opening import Choice, order_cost
from balsamspool.plugins.catalog import (
    BackendServer,
    BackendState,
    CatalogPlugin,
    Route,
)
from balsamspool.plugins.datagram_entry.codes import EXPLANATION_INVALID
from balsamspool.plugins.datagram_entry.openings import (
    AwaitCatalog,
    Decision,
    Ignore,
    OpeningPolicy,
    PlaceAt,
    Reject,
)

# Maximum number of hosts that are described though they are no candidates.
MAX_OTHERS = 64


class FlowExplainer:
    """Explains placements. It only reads, and sends nothing.

    Args:
        kernel: Kernel of the process.
        catalog: Published routes and backend servers.
        board: Latest load of each host.
    """

    __slots__ = ("_board", "_catalog", "_kernel")

    def __init__(
        self, kernel: Kernel, catalog: CatalogPlugin, board: LoadBoard
    ) -> None:
        self._kernel = kernel
        self._catalog = catalog
        self._board = board

    def page(self, arguments: Mapping[str, str]) -> Explanation:
        """Return the explanation for the arguments of a query.

        Args:
            arguments: Caller and route, each as IPv4:port.

        Raises:
            ResultError: With code 2401 if an argument is missing or not valid.
        """
        return self.explain(
            _endpoint(arguments, "caller") + _endpoint(arguments, "route")
        )

    def explain(self, key: bytes) -> Explanation:
        """Explain what would happen now to the first packet of a flow.

        Args:
            key: Key of the flow, from the caller.
        """
        identity = self._kernel.identity
        # The entry keeps sums of the board for a while, which a request must not renew.
        policy = OpeningPolicy(
            self._catalog, self._board.copy(), identity.failure_domain
        )
        decision = policy.decide(key, attempt=0)
        explanation = Explanation(
            instance=identity.instance,
            failure_domain=identity.failure_domain,
            state=self._kernel.state.value,
            flow=flow_id(key),
            outcome=_outcome(decision),
            catalog=self._explain_catalog(),
        )
        match decision:
            case PlaceAt(route, service, choices):
                explanation.candidates = [self._candidate(c) for c in choices]
                self._add_service(explanation, route, service)
            case Reject(reason, route, service) | Ignore(reason, route, service):
                explanation.reason = reason
                if route is not None and service is not None:
                    self._add_service(explanation, route, service)
        return explanation

    def _explain_catalog(self) -> CatalogExplanation:
        catalog = self._catalog
        table, revision, age = catalog.view.table, catalog.revision, catalog.age
        return CatalogExplanation(
            routes_version=table.version if table else None,
            era=revision.era,
            revision=revision.number,
            age_seconds=None if age is None else round(age, 3),
            fresh=catalog.fresh,
            out_of_service=sorted(catalog.view.cordons.domains),
        )

    def _add_service(
        self, explanation: Explanation, route: Route, service: str
    ) -> None:
        weights = {target.service: target.weight for target in route.targets}
        explanation.route = RouteExplanation(route.name, weights, service)
        candidates = {host.server for host in explanation.candidates}
        left_out = self._left_out(service, candidates)
        counts = Counter(r.value for _, reasons in left_out for r in reasons)
        explanation.left_out = dict(counts)
        left_out.sort(key=lambda found: (Reason.RANK in found[1], found[0].name))
        explanation.others = [
            self._host(server, reasons) for server, reasons in left_out[:MAX_OTHERS]
        ]

    def _left_out(
        self, service: str, candidates: set[str]
    ) -> list[tuple[BackendServer, list[Reason]]]:
        view = self._catalog.view
        ready = {server.name for server in view.ready(service)}
        return [
            (server, self._reasons(server, ready, chosen=False))
            for server in view.servers
            if server.service == service and server.name not in candidates
        ]

    def _reasons(
        self, server: BackendServer, ready: set[str], chosen: bool
    ) -> list[Reason]:
        """Return what keeps flows away from a host.

        A host that nothing else keeps out is left out for its rank.
        """
        load = self._board.load(server.address)
        draining = server.state is BackendState.DRAINING
        facts = {
            Reason.DRAINING: draining,
            Reason.SUCCEEDED: server.name not in ready and not draining,
            Reason.OUT_OF_SERVICE: server.failure_domain in self._catalog.view.cordons,
            Reason.SILENT: self._board.silent(server.address),
            Reason.NO_ANSWER: load is not None and not load.report.responsive,
        }
        reasons = [reason for reason, holds in facts.items() if holds]
        if not reasons and not chosen:
            reasons.append(Reason.RANK)
        if load is None:
            reasons.append(Reason.NEVER_REPORTED)
        return reasons

    def _candidate(self, choice: Choice) -> HostExplanation:
        server = cast(BackendServer, choice.server)
        host = self._host(server, self._reasons(server, {server.name}, chosen=True))
        host.choice = structs.asdict(choice)
        del host.choice["server"]
        host.order_cost = order_cost(choice, self._kernel.identity.failure_domain)
        return host

    def _host(
        self, server: BackendServer, reasons: Sequence[Reason]
    ) -> HostExplanation:
        host = HostExplanation(
            server=server.name,
            address=server.address,
            failure_domain=server.failure_domain,
            slots=server.slots,
            warmup_left=self._catalog.view.warmups.left(server, now()),
            reasons=list(reasons),
        )
        load = self._board.load(server.address)
        if load is not None:
            host.report = structs.asdict(load.report)
            host.report_age = now() - load.received
            host.placed = load.placed
        return host


def _endpoint(arguments: Mapping[str, str], name: str) -> bytes:
    try:
        return endpoint_of(*split_endpoint(arguments.get(name, "")))
    except ValueError as error:
        raise ResultError(EXPLANATION_INVALID, f"{name}: {error}") from error


def _outcome(decision: Decision) -> Outcome:
    match decision:
        case PlaceAt():
            return Outcome.PLACE
        case Reject():
            return Outcome.REJECT
        case Ignore():
            return Outcome.IGNORE
        case AwaitCatalog():
            return Outcome.AWAIT_CATALOG

"""State of a request in serving."""

from dataclasses import dataclass, field

from balsamspool.kernel.errors import ResultError
from balsamspool.plugins.admission.keys import KeyRecord
from balsamspool.plugins.configuration import Service
from balsamspool.plugins.configuration.text import Route
from balsamspool.plugins.mesh.message import PeerAddress
from balsamspool.requests.request import Request


@dataclass(slots=True, eq=False)
class Work:
    """One request and its state in serving.

    Attributes:
        request: The request with its deadline.
        service: Its service.
        route: Its route.
        key: Text of the request key if this process issued it, or None.
        record: Record of that key, or None.
        dispatched: Whether a backend server may have begun to run the request.
        tried_peers: Peers that stated that they did not run the request.
        not_run_error: Why the last attempt did not run the request, None if no attempt
            has failed.
        allow_local: Whether the backend server beside this agent may run the request.
    """

    request: Request
    service: Service
    route: Route
    key: str | None = None
    record: KeyRecord | None = None
    dispatched: bool = False
    tried_peers: set[PeerAddress] = field(default_factory=set)
    not_run_error: ResultError | None = None
    allow_local: bool = True

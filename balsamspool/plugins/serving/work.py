"""A request on its way through serving."""

from dataclasses import dataclass, field

from balsamspool.kernel.errors import ResultError
from balsamspool.plugins.admission.keys import KeyRecord
from balsamspool.plugins.configuration import Service
from balsamspool.plugins.configuration.text import Route
from balsamspool.plugins.mesh.message import PeerAddress
from balsamspool.requests.request import Request


@dataclass(slots=True, eq=False)
class Work:
    """One request with what was decided about it.

    Attributes:
        request: The request with its deadline.
        service: Its service.
        route: Its route.
        key: Text of the request key that this process issued, None for none.
        record: Record of that key.
        dispatched: Whether it may have begun to run at a backend server.
        tried: Peers that stated that they did not run it.
        refusal: Why the last attempt did not run it.
        local: Whether it may be run by the backend server beside this agent.
    """

    request: Request
    service: Service
    route: Route
    key: str | None = None
    record: KeyRecord | None = None
    dispatched: bool = False
    tried: set[PeerAddress] = field(default_factory=set)
    refusal: ResultError | None = None
    local: bool = True

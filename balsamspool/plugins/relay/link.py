"""Interface of the mesh to the relay, and trace helpers of client and server."""

from collections.abc import Callable
from typing import Any, Protocol

from opentelemetry import trace
from opentelemetry.context import Context
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from balsamspool.plugins.mesh.message import Message, PeerAddress, SendResult

_propagator = TraceContextTextMapPropagator()

tracer = trace.get_tracer("balsamspool")


class MeshLink(Protocol):
    """The part of the mesh that the relay uses."""

    def subscribe(self, body_type: type, callback: Callable[[Message], None]) -> None:
        """Call a function with each message of a class."""
        ...

    def send(
        self, peer: PeerAddress, body: Any, incarnation: bytes | None = None
    ) -> bool:
        """Queue a message for a peer."""
        ...

    async def deliver(
        self, peer: PeerAddress, body: Any, incarnation: bytes | None = None
    ) -> SendResult:
        """Queue a message and wait until the socket accepts it or it is dropped."""
        ...


def context_of(traceparent: str) -> Context:
    """Return the trace context of a ``traceparent`` value."""
    return _propagator.extract({"traceparent": traceparent})


def current_traceparent(default: str) -> str:
    """Return the ``traceparent`` of the current span, or a default if there is none."""
    carrier: dict[str, str] = {}
    _propagator.inject(carrier)
    return carrier.get("traceparent", default)

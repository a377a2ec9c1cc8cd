"""Trace context of requests in the format of W3C Trace Context."""

from opentelemetry.context import Context
from opentelemetry.trace import get_current_span
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

FIELD = "traceparent"

_propagator = TraceContextTextMapPropagator()


def parent_of(trace_context: str) -> Context | None:
    """Return the context for a value of ``traceparent``, None for no value."""
    return _propagator.extract({FIELD: trace_context}) if trace_context else None


def current_trace_context(received: str) -> str:
    """Return the value of ``traceparent`` for the next hop.

    Args:
        received: Received value, which is returned if there is no valid current span.

    Returns:
        The context of the current span, or the received value.
    """
    if not get_current_span().get_span_context().is_valid:
        return received
    carrier: dict[str, str] = {}
    _propagator.inject(carrier)
    return carrier.get(FIELD, received)

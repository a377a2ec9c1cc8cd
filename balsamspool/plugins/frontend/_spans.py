"""Trace spans of connections and requests."""

from opentelemetry import trace
from opentelemetry.context import Context
from opentelemetry.trace import Link, Span, SpanKind
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from balsamspool.plugins.forwarding.envelope import TracedForward

_TRACEPARENT = "traceparent"
_propagator = TraceContextTextMapPropagator()


def connection_span(traced: TracedForward | None) -> Span:
    """Start the span of a connection, as a child of the entry's span if it sent one."""
    parent = Context()
    if traced is not None:
        context = trace.SpanContext(
            trace_id=int.from_bytes(traced.trace_id, "big"),
            span_id=int.from_bytes(traced.span_id, "big"),
            is_remote=True,
            trace_flags=trace.TraceFlags(trace.TraceFlags.SAMPLED),
        )
        parent = trace.set_span_in_context(trace.NonRecordingSpan(context), parent)
    return _tracer().start_span("connection", parent, SpanKind.SERVER)


def request_span(method: str, traceparent: str | None, connection: Span) -> Span:
    """Start the span of a request.

    Args:
        method: HTTP method.
        traceparent: Value of the caller's header field, None if it is missing.
        connection: Span of the connection.

    Returns:
        A span in the caller's trace that links to the connection, or a child of the
        connection's span if the caller has no trace.
    """
    links: list[Link] = []
    parent = trace.set_span_in_context(connection, Context())
    if traceparent is not None:
        caller_context = _propagator.extract({_TRACEPARENT: traceparent}, Context())
        if trace.get_current_span(caller_context).get_span_context().is_valid:
            parent = caller_context
            links = [Link(connection.get_span_context())]
    attributes = {"http.request.method": method}
    return _tracer().start_span("request", parent, SpanKind.SERVER, attributes, links)


def trace_context(span: Span) -> str:
    """Return the ``traceparent`` for the next hop, empty without a valid span."""
    carrier: dict[str, str] = {}
    _propagator.inject(carrier, trace.set_span_in_context(span, Context()))
    return carrier.get(_TRACEPARENT, "")


def _tracer() -> trace.Tracer:
    return trace.get_tracer("balsamspool")

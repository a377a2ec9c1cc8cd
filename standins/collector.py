"""Stand-in for a trace collector: receives spans over OTLP/HTTP."""

from dataclasses import dataclass

from aiohttp import web
from opentelemetry.proto.collector.trace.v1.trace_service_pb2 import (
    ExportTraceServiceRequest,
)


@dataclass(frozen=True, slots=True)
class CollectedSpan:
    """An exported span.

    Attributes:
        service: Program that created the span.
        name: Name of the span.
        trace_id: Trace ID in hexadecimal digits.
        span_id: Span ID in hexadecimal digits.
        parent_id: Span ID of the parent, empty for a root.
    """

    service: str
    name: str
    trace_id: str
    span_id: str
    parent_id: str


class CollectorStandIn:
    """Stores all exported spans."""

    def __init__(self) -> None:
        self.spans: list[CollectedSpan] = []

    def application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(client_max_size=1 << 26)
        application.router.add_post("/v1/traces", self._receive_spans)
        return application

    async def _receive_spans(self, request: web.Request) -> web.Response:
        exported = ExportTraceServiceRequest.FromString(await request.read())
        for resource in exported.resource_spans:
            attributes = {
                pair.key: pair.value.string_value
                for pair in resource.resource.attributes
            }
            for scope in resource.scope_spans:
                for span in scope.spans:
                    self.spans.append(
                        CollectedSpan(
                            service=attributes.get("service.name", ""),
                            name=span.name,
                            trace_id=span.trace_id.hex(),
                            span_id=span.span_id.hex(),
                            parent_id=span.parent_span_id.hex(),
                        )
                    )
        return web.Response(content_type="application/x-protobuf")

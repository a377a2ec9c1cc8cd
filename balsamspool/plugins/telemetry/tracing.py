"""Export of trace spans over OTLP/HTTP."""

from opentelemetry import trace
from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased

from balsamspool.kernel.identity import Identity

EXPORT_TIMEOUT_SECONDS = 2
EXPORT_INTERVAL_MS = 1000


def start_tracing(identity: Identity, endpoint: str, ratio: float) -> TracerProvider:
    """Send the spans of this process to a collector.

    Args:
        identity: Identity of the process, recorded with each span.
        endpoint: URL of the collector, such as ``http://127.0.0.1:4318/v1/traces``.
        ratio: Share of new traces that is recorded. A trace that began in another
            process is recorded if that process recorded it.

    Returns:
        The provider; the caller shuts it down.
    """
    resource = Resource.create(
        {
            "service.name": f"balsamspool-{identity.role.value}",
            "service.instance.id": identity.instance,
            "balsamspool.failure_domain": identity.failure_domain,
        }
    )
    provider = TracerProvider(
        resource=resource, sampler=ParentBased(TraceIdRatioBased(ratio))
    )
    exporter = OTLPSpanExporter(endpoint=endpoint, timeout=EXPORT_TIMEOUT_SECONDS)
    provider.add_span_processor(
        BatchSpanProcessor(exporter, schedule_delay_millis=EXPORT_INTERVAL_MS)
    )
    trace.set_tracer_provider(provider)
    return provider

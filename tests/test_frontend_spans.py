"""Trace spans of the front end."""

from unittest import mock

from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.sdk.trace.export.in_memory_span_exporter import InMemorySpanExporter

from balsamspool.plugins.frontend import _spans
from tests.frontend_case import FrontendCase
from tests.frontend_harness import MemoryCaller, answer_ok

TRACE_ID, SPAN_ID = b"\x11" * 16, b"\x22" * 8
CALLER_TRACE = "33" * 16


class SpanTest(FrontendCase):
    async def test_spans_continue_the_traces_of_entry_and_caller(self):
        """Guards against traces that end at the agent."""
        exporter = InMemorySpanExporter()
        provider = TracerProvider()
        provider.add_span_processor(SimpleSpanProcessor(exporter))
        tracer = provider.get_tracer("balsamspool")
        patched = mock.patch.object(_spans, "_tracer", lambda: tracer)
        patched.start()
        self.addCleanup(patched.stop)
        agent = await self.open_agent()
        contexts = []

        async def handler(request, writer):
            contexts.append(request.trace_context)
            await answer_ok(request, writer)

        agent.handler = handler
        caller = MemoryCaller(agent)
        caller.start(trace=(TRACE_ID, SPAN_ID))
        await caller.until(lambda: caller.connected)
        await caller.answer(caller.request())
        field = (b"traceparent", f"00-{CALLER_TRACE}-{'44' * 8}-01".encode())
        await caller.answer(caller.request(headers=[field]))
        await caller.answer(caller.request(headers=[(b"traceparent", b"nonsense")]))
        caller.quic.close()
        caller.flush()
        await self.until(lambda: len(exporter.get_finished_spans()) == 4)
        child, linked, ignored, connection = exporter.get_finished_spans()
        self.assertEqual(connection.context.trace_id, int.from_bytes(TRACE_ID, "big"))
        self.assertEqual(connection.parent.span_id, int.from_bytes(SPAN_ID, "big"))
        self.assertEqual(child.parent.span_id, connection.context.span_id)
        self.assertEqual(ignored.parent.span_id, connection.context.span_id)
        self.assertEqual(f"{linked.context.trace_id:032x}", CALLER_TRACE)
        self.assertEqual(linked.links[0].context, connection.context)
        expected = f"00-{CALLER_TRACE}-{linked.context.span_id:016x}-01"
        self.assertEqual(contexts[1], expected)

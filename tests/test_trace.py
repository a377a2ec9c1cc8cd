"""Traces that span several processes."""

import asyncio
from unittest import IsolatedAsyncioTestCase

from standins.caller import open_caller
from standins.collector import CollectorStandIn
from standins.fleet import ServicePlan, run_fleet, serve
from standins.ports import ADDRESS, free_port

PORTAL = ServicePlan("portal", 1, 1, [{"kind": "request", "path": "/"}])
COLLECT_SECONDS = 10.0


class TraceTest(IsolatedAsyncioTestCase):
    async def test_one_trace_from_entry_to_backend_server(self):
        """Guards against spans that are missing from a trace or lack their parent."""
        collector, port = CollectorStandIn(), free_port()
        runner = await serve(collector.application(), port)
        self.addAsyncCleanup(runner.cleanup)
        telemetry = {
            "otlp_endpoint": f"http://{ADDRESS}:{port}/v1/traces",
            "trace_ratio": 1.0,
        }
        async with run_fleet(
            [PORTAL], extra_settings={"telemetry": telemetry}
        ) as fleet:
            async with open_caller(*fleet.addresses["portal"]) as caller:
                await caller.request("GET", "/traced")
            async with asyncio.timeout(COLLECT_SECONDS):
                while not any(
                    s.service == "balsamspool-entry" for s in collector.spans
                ):
                    await asyncio.sleep(0.1)
                await asyncio.sleep(2.0)
        by_id = {span.span_id: span for span in collector.spans}
        dispatches = [s for s in collector.spans if "dispatch" in s.name]
        self.assertTrue(dispatches, collector.spans)
        path, span = [], dispatches[0]
        while span is not None:
            path.append(span)
            span = by_id.get(span.parent_id)
        self.assertEqual(path[-1].service, "balsamspool-entry", path)
        self.assertEqual(len({s.trace_id for s in path}), 1)
        self.assertGreaterEqual(len(path), 4, path)

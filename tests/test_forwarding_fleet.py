"""Faults of entries and agents in a running fleet."""

import asyncio
import json
from unittest import IsolatedAsyncioTestCase

from standins.caller import open_caller
from standins.fleet import ServicePlan, run_fleet

# Time limit for opening new flows. A caller repeats its opening packet after 0.7, 2,
# 4.7, 10 and 21 s. One repetition may be lost before the agent is found to be silent,
# and a second repetition may be lost on a slow machine.
CONNECT_SECONDS = 15.0
PORTAL = ServicePlan("portal", 1, 3, [{"kind": "request", "path": "/"}])


class FleetTest(IsolatedAsyncioTestCase):
    async def request_server(self, fleet):
        async with open_caller(*fleet.addresses["portal"]) as caller:
            answer = await caller.request("GET", "/any", timeout=10)
        self.assertEqual(answer.status, 200)
        return json.loads(bytes(answer.body))["server"]

    async def test_new_flows_leave_a_dead_agent_that_is_still_listed(self):
        """Guards against flows that open at a killed host that is still listed."""
        async with run_fleet([PORTAL]) as fleet:
            dead = next(iter(fleet.agents.values()))
            await dead.kill()
            servers = await asyncio.gather(
                *(self.request_server(fleet) for _ in range(12))
            )
            self.assertNotIn(dead.instance, servers)
            self.assertEqual(len(set(servers)), 2)

    async def test_busy_agents_do_not_hand_new_flows_to_a_dead_one(self):
        """Guards against callers that wait until they give up (known red, idle limit).

        The killed agent has just reported that it was idle, so busy ones hand flows
        over to it, and a caller sends its opening packet again only after 1, 3 and 7 s.
        """
        async with run_fleet([PORTAL]) as fleet:
            dead, *alive = fleet.agents.values()
            for agent in alive:
                agent.backend_server.behaviour.service_seconds = 1.5
            busy = [asyncio.create_task(self.request_server(fleet)) for _ in range(12)]
            await asyncio.sleep(1.0)
            await dead.kill()
            for agent in alive:
                agent.backend_server.behaviour.service_seconds = 0.005
            async with asyncio.timeout(CONNECT_SECONDS):
                servers = await asyncio.gather(
                    *(self.request_server(fleet) for _ in range(12))
                )
            for task in busy:
                task.cancel()
            await asyncio.gather(*busy, return_exceptions=True)
            self.assertNotIn(dead.instance, servers)

    async def test_faults_of_the_fabric_do_not_stop_requests(self):
        """Guards against a path that depends on ordered or single delivery."""
        async with run_fleet([PORTAL]) as fleet:
            fabric = fleet.fabrics["portal"]
            for faults in (fabric.inward_faults, fabric.outward_faults):
                faults.loss, faults.duplication, faults.reordering = 0.05, 0.1, 0.1
            for _ in range(3):
                await self.request_server(fleet)

    async def test_status_names_an_address_that_cannot_be_opened(self):
        """Guards against an entry that stops when the text names a foreign address."""
        async with run_fleet([PORTAL], entries=1) as fleet:
            (entry,) = fleet.entries.values()
            fleet.text["services"]["foreign"] = {
                "number": 9,
                "address": "192.0.2.1:443",
                "routes": [],
            }
            await fleet.publish_text()
            for _ in range(100):
                status = await fleet.status(entry)
                addresses = status["plugins"]["forwarding"]["addresses"]
                if "not open" in addresses.get("9", ""):
                    break
                await asyncio.sleep(0.05)
            self.assertIn("192.0.2.1:443 not open", addresses["9"])
            await self.request_server(fleet)

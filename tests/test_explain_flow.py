"""Explained placements of new flows, and the command that shows them."""

import asyncio
import json
import socket
import tempfile
from copy import deepcopy
from pathlib import Path
from unittest import IsolatedAsyncioTestCase

from balsamspool.commands.admin_pages import AdminAnswer
from balsamspool.commands.codes import ExitCode
from balsamspool.datagram.explanation import Outcome, Reason
from balsamspool.kernel.errors import ResultError
from balsamspool.placement.load import LoadReport
from balsamspool.plugins.catalog.codes import CATALOG_UNAVAILABLE
from balsamspool.plugins.catalog.model import (
    BackendState,
    DomainCordoned,
    Route,
    Target,
)
from balsamspool.plugins.catalog.revision import Revision
from balsamspool.plugins.datagram_entry.explainer import MAX_OTHERS
from standins.packet_fleet import ADMIN_PORT, run_packet_fleet
from tests.datagram_fakes import (
    CALLER,
    SERVICE,
    SYN,
    FakeSource,
    packet,
    published,
    route,
    routes,
    server,
)
from tests.explain_flow_case import FIRST, GOLDEN, SECOND, ExplainCase, endpoint
from tests.log_capture import recorded_events
from tests.test_ctl import ctl

UNKNOWN_ROUTE = ("198.18.0.99", 443)


class SameDecisionTest(ExplainCase):
    def open(self, caller):
        """Send an opening packet; return the agents in the order of the choice."""
        self.receive(packet(SYN, source=caller))
        message, agent = self.forwarded()
        return [agent, *map(socket.inet_ntoa, message.alternatives)]

    async def test_the_next_opening_goes_where_the_explanation_says(self):
        """Guards against an explanation that differs from the decision."""
        records = [server(n, "records") for n in range(11, 15)]
        split = Route("r-1", *SERVICE, (Target("portal", 1), Target("records", 3)))
        await self.publish(*published(100, *records), routes(200, split, version=2))
        self.reporting |= {s.address for s in records}
        self.reporting -= {"10.0.0.14"}
        for number, address in enumerate(sorted(self.reporting)):
            busy = LoadReport(number % 4, number * 0.7, number, number != 2, 0.1)
            self.loads[address] = busy
        await asyncio.sleep(1)
        services = set()
        for port in range(30_000, 30_060):
            caller = (CALLER[0], port)
            explained = await self.explanation(caller)
            services.add(explained.route.service)
            addresses = [c.address for c in explained.candidates]
            self.assertEqual(self.open(caller), addresses)
        self.assertEqual(services, {"portal", "records"})
        self.assertEqual(explained.route.weights, {"portal": 1, "records": 3})

    async def test_placed_flows_and_loads_are_shown_as_they_count(self):
        """Guards against a choice whose reason cannot be seen."""
        self.loads["10.0.0.3"] = LoadReport(5, 2.5, 7, True, 0.1)
        # The next reports are due in 50 ms.
        await asyncio.sleep(1.05)
        first = (await self.explanation()).candidates[0]
        self.assertEqual(self.open(CALLER)[0], first.address)
        explained = await self.explanation()
        hosts = {h.address: h for h in [*explained.candidates, *explained.others]}
        self.assertEqual(hosts[first.address].placed, 1)
        self.assertAlmostEqual(hosts[first.address].report_age, 0.05, delta=0.02)
        busy = hosts["10.0.0.3"].report
        self.assertEqual((busy["in_progress"], busy["flows"]), (5, 7))
        costs = [c.order_cost for c in explained.candidates]
        self.assertEqual(costs, sorted(costs))

    async def test_an_explanation_changes_nothing(self):
        """Guards against a request of an operator that shifts later placements."""
        self.open(CALLER)
        # The entry computes its sums of the load again at the next opening.
        await asyncio.sleep(1.05)
        self.peers.take()
        before = self.state()
        with recorded_events() as log:
            for port in (*range(40_000, 40_050), CALLER[1]):
                await self.explanation((CALLER[0], port))
                await self.explanation((CALLER[0], port), UNKNOWN_ROUTE)
        self.assertEqual(self.state(), before)
        self.assertEqual(log.events, [])
        self.assertEqual((self.peers.take(), self.callers.take()), ([], []))

    def state(self):
        """Return a copy of all that openings change in an entry."""
        board, flows = self.entry._board, self.entry._flows
        return deepcopy(
            (
                {name: getattr(board, name) for name in board.__slots__},
                {name: repr(getattr(flows, name)) for name in flows.__slots__},
                self.kernel.counters.values(),
                self.catalog.view.version,
                self.entry._waiting_packets,
                self.entry._last_packet,
            )
        )


class ReasonsTest(ExplainCase):
    async def reasons(self, address):
        explained = await self.explanation()
        hosts = [*explained.candidates, *explained.others]
        ((found, chosen),) = (
            (h.reasons, h in explained.candidates)
            for h in hosts
            if h.address == address
        )
        return found, chosen

    async def test_a_host_that_drains(self):
        """Guards against a host that drains and seems to be merely ranked low."""
        await self.publish(
            *published(100, server(1, state=BackendState.DRAINING)),
        )
        self.assertEqual(await self.reasons("10.0.0.1"), ([Reason.DRAINING], False))

    async def test_a_host_in_a_domain_out_of_service(self):
        """Guards against an operator who forgets a domain that is out of service."""
        await self.publish(*published(100, server(7, failure_domain="b")))
        self.reporting |= {"10.0.0.7"}
        await self.publish(DomainCordoned(Revision(200), "b"))
        self.assertEqual(
            await self.reasons("10.0.0.7"), ([Reason.OUT_OF_SERVICE], False)
        )
        explained = await self.explanation()
        self.assertEqual(explained.catalog.out_of_service, ["b"])

    async def test_a_host_that_is_silent(self):
        """Guards against a host whose agent has stopped unnoticed."""
        self.reporting -= {"10.0.0.2"}
        await asyncio.sleep(2)
        self.assertEqual(await self.reasons("10.0.0.2"), ([Reason.SILENT], False))

    async def test_a_backend_server_that_does_not_answer(self):
        """Guards against an agent whose backend server has stopped unnoticed."""
        self.loads["10.0.0.2"] = LoadReport(0, 0.0, 0, False, 0.1)
        await asyncio.sleep(1)
        self.assertEqual(await self.reasons("10.0.0.2"), ([Reason.NO_ANSWER], False))

    async def test_a_host_that_never_reported_may_be_a_candidate(self):
        """Guards against a missing report that passes for an idle host."""
        await self.publish(*published(100, server(7, failure_domain="b")))
        self.assertEqual(
            await self.reasons("10.0.0.7"), ([Reason.NEVER_REPORTED], True)
        )

    async def test_a_host_that_ranks_low(self):
        """Guards against a host that gets no flow of a caller for no visible reason."""
        explained = await self.explanation()
        self.assertEqual(len(explained.candidates), 4)
        (other,) = explained.others
        self.assertEqual(other.reasons, [Reason.RANK])
        self.assertEqual(explained.left_out, {"rank": 1})

    async def test_a_host_whose_address_has_a_later_backend_server(self):
        """Guards against a predecessor that is listed still and seems to be usable."""
        later = server(9, address="10.0.0.1", started_ms=1_000)
        await self.publish(*published(100, later))
        explained = await self.explanation()
        ((reasons, name),) = (
            (h.reasons, h.server)
            for h in [*explained.candidates, *explained.others]
            if h.address == "10.0.0.1" and h.server != "i-9"
        )
        self.assertEqual((reasons, name), ([Reason.SUCCEEDED], "i-1"))

    async def test_a_warm_up_is_counted_from_the_catalog_entry(self):
        """Guards against a warm-up that is shown as it was when it was written."""
        await self.publish(*published(100, server(1, warmup=60.0)))
        explained = await self.explanation()
        hosts = {h.server: h for h in [*explained.candidates, *explained.others]}
        self.assertAlmostEqual(hosts["i-1"].warmup_left, 59.0, delta=0.1)

    async def test_the_page_is_bounded_and_reasons_come_first(self):
        """Guards against a page as large as the fleet that hides what matters."""
        many = [server(n) for n in range(20, 20 + 2 * MAX_OTHERS)]
        await self.publish(
            *published(100, *many, server(1, state=BackendState.DRAINING))
        )
        explained = await self.explanation()
        self.assertEqual(len(explained.others), MAX_OTHERS)
        self.assertEqual(explained.others[0].reasons, [Reason.DRAINING])
        self.assertEqual(explained.left_out["draining"], 1)
        self.assertEqual(explained.left_out["rank"], 2 * MAX_OTHERS)


class RefusalTest(ExplainCase):
    async def refused(self, service=SERVICE):
        """Return outcome and reason, after a check that the next opening is reset."""
        explained = await self.explanation(service=service)
        self.assertEqual(explained.candidates, [])
        self.receive(packet(SYN, destination=service))
        self.assertEqual(len(self.resets()), 1)
        self.assertEqual(self.peers.take_forwards(), [])
        counters = self.kernel.counters.values()
        counted = counters[f"balsamspool_datagram_rejections.{explained.reason}"]
        self.assertEqual(counted, 1)
        return explained.outcome, explained.reason

    async def test_no_route(self):
        """Guards against a reset that an explanation does not foresee."""
        found = await self.refused(UNKNOWN_ROUTE)
        self.assertEqual(found, (Outcome.REJECT, "no-route"))

    async def test_no_host(self):
        """Guards against a service without hosts that is not shown as such."""
        await self.publish(routes(200, route("empty"), version=2))
        self.assertEqual(await self.refused(), (Outcome.REJECT, "no-host"))

    async def test_all_hosts_drain(self):
        """Guards against hosts that are left out without their reason."""
        drained = [server(n, state=BackendState.DRAINING) for n in range(1, 6)]
        await self.publish(*published(100, *drained))
        self.assertEqual(await self.refused(), (Outcome.REJECT, "no-host"))
        explained = await self.explanation()
        self.assertEqual(explained.left_out, {"draining": 5})

    async def test_all_domains_out_of_service(self):
        """Guards against a request of the operator that passes for lost hosts."""
        await self.publish(DomainCordoned(Revision(200), "a"))
        self.assertEqual(await self.refused(), (Outcome.REJECT, "out-of-service"))
        explained = await self.explanation()
        self.assertEqual(explained.left_out, {"out-of-service": 5})

    async def test_an_old_catalog(self):
        """Guards against a predicted reset where the packet is dropped."""
        self.source.failure = ResultError(CATALOG_UNAVAILABLE, "503")
        self.source.queue.put_nowait(self.source.failure)
        await asyncio.sleep(20)
        explained = await self.explanation(service=UNKNOWN_ROUTE)
        self.assertEqual(explained.outcome, Outcome.IGNORE)
        self.assertFalse(explained.catalog.fresh)
        self.assertGreater(explained.catalog.age_seconds, 19)
        self.receive(packet(SYN, destination=UNKNOWN_ROUTE))
        self.assertEqual(self.resets(), [])


class SourceDown(FakeSource):
    def __init__(self):
        super().__init__()
        self.failure = ResultError(CATALOG_UNAVAILABLE, "503")


class NoCatalogTest(ExplainCase):
    source_type = SourceDown

    async def test_the_packet_waits_for_the_first_catalog(self):
        """Guards against a predicted reset where the packet waits."""
        explained = await self.explanation()
        self.assertEqual(explained.outcome, Outcome.AWAIT_CATALOG)
        code, output, _ = await self.command({FIRST: await self.answer()})
        self.assertEqual(code, ExitCode.OK)
        self.assertIn("await-catalog", output)
        self.receive(packet(SYN))
        self.assertEqual((self.resets(), self.peers.take_forwards()), ([], []))
        self.source.failure = None
        await asyncio.sleep(20)
        self.assertEqual(len(self.peers.take_forwards()), 1)


class InputTest(ExplainCase):
    async def test_the_page_names_a_wrong_argument(self):
        """Guards against a request of an operator that fails without its cause."""
        good = endpoint(SERVICE)
        for arguments, name in (
            ({}, "caller"),
            ({"caller": "nobody", "route": good}, "caller"),
            ({"caller": good}, "route"),
            ({"caller": good, "route": "198.18.0.1:0"}, "route"),
            ({"caller": good, "route": "198.18.0.1:443\r\nx: y"}, "route"),
        ):
            with self.subTest(arguments):
                page = await self.page(**arguments)
                self.assertEqual(page.status, 400)
                self.assertIn(name.encode(), page.body)
                self.assertEqual(page.body.count(b"\n"), 1)

    async def test_a_wrong_argument_of_the_command(self):
        """Guards against a traceback, and against a wrong argument that is sent."""
        good = await self.answer()
        for arguments, options, named in (
            ((), {}, "no endpoints"),
            (("nowhere",), {}, "nowhere"),
            ((9464,), {}, "9464"),
            ((FIRST,), {"caller": ""}, "--caller"),
            ((FIRST,), {"caller": 40001}, "--caller"),
            ((FIRST,), {"route": "r-1"}, "--route"),
        ):
            with (
                self.subTest(arguments=arguments, options=options),
                self.assertRaisesRegex(ResultError, named) as raised,
            ):
                answers = {FIRST: good} if arguments else {}
                await self.command(answers, *arguments, **options)
            self.assertNotIn("\n", str(raised.exception))

    async def test_a_route_that_no_entry_knows(self):
        """Guards against a mistyped route that passes for an outage."""
        answers = {FIRST: await self.answer(service=UNKNOWN_ROUTE)}
        options = {"route": endpoint(UNKNOWN_ROUTE)}
        with self.assertRaisesRegex(ResultError, "no route table has .*99:443.*reset"):
            await self.command(answers, **options)
        # An entry that knows the route is compared with one that does not.
        answers[SECOND] = await self.answer(SECOND)
        code, output, _ = await self.command(answers, **options)
        self.assertEqual(code, ExitCode.OK)
        self.assertIn("reject: no-route", output)
        self.assertIn("the entries choose differently", output)

    async def test_an_entry_that_does_not_answer(self):
        """Guards against an outage of one entry that hides what others choose."""
        for answer in (
            AdminAnswer(SECOND),
            AdminAnswer(SECOND, 500, b"internal error\n"),
            AdminAnswer(SECOND, 200, b'{"instance": 1}'),
        ):
            with self.subTest(answer):
                answers = {FIRST: await self.answer(), SECOND: answer}
                code, output, errors = await self.command(answers)
                self.assertEqual(code, ExitCode.NOT_MET)
                self.assertIn("place", output)
                self.assertEqual(errors.count("\n"), 1)
                self.assertIn(SECOND, errors)
                code, output, _ = await self.command(answers, json=True)
                self.assertEqual(code, ExitCode.NOT_MET)
                self.assertEqual(set(json.loads(output)), {FIRST, SECOND})
                self.assertIsNone(json.loads(output)[SECOND])

    async def test_a_process_that_is_no_entry(self):
        """Guards against an agent's endpoint that passes for an entry that is down."""
        with self.assertRaisesRegex(ResultError, "not an entry"):
            await self.command({FIRST: AdminAnswer(FIRST, 404)})


class OutputTest(ExplainCase):
    async def test_the_tables_equal_the_golden_file(self):
        """Guards against an unnoticed change of the tables."""
        code, output, errors = await self.two_entries()
        self.assertEqual((code, errors), (ExitCode.OK, ""))
        self.assertEqual(output, GOLDEN.read_text())

    async def test_further_facts_of_a_choice_are_shown(self):
        """Guards against a new input of the decision that no table shows."""
        answer = await self.answer()
        page = json.loads(answer.body)
        page["candidates"][0]["choice"]["expected_seconds"] = 1.25
        page["candidates"][1]["report"]["queued"] = 17
        answers = {FIRST: AdminAnswer(FIRST, 200, json.dumps(page).encode())}
        _, output, _ = await self.command(answers)
        self.assertRegex(output, r"reasons +expected_seconds +queued")
        self.assertRegex(output, r"- +1\.25 +-")
        self.assertRegex(output, r"- +- +17")


class FleetTest(IsolatedAsyncioTestCase):
    async def test_entries_explain_the_flow_that_opens_next(self):
        """Guards against a command that fails against real processes."""
        async with self.fleet() as fleet:
            caller = fleet.caller(1)
            await caller.start()
            self.addCleanup(caller.close)
            flow = caller.flow(fleet.service_address(1))
            route, source = endpoint(flow.service), endpoint(flow.source)
            used = fleet.entry_for(flow.source, flow.service)[0]
            endpoints = [f"{e.address}:{ADMIN_PORT}" for e in fleet.entries]
            arguments = (f"--caller={source}", f"--route={route}")
            code, output = await ctl("explain-flow", *endpoints, *arguments, "--json")
            self.assertEqual(code, ExitCode.OK, output)
            pages = json.loads(output)
            self.assertEqual(list(pages), endpoints)
            first = pages[f"{used}:{ADMIN_PORT}"]["candidates"][0]["address"]
            self.assertEqual(sum(a.server.open_flows for a in fleet.agents), 0)
            await flow.open()
            (holder,) = (a for a in fleet.agents if a.server.open_flows)
            self.assertEqual(holder.address, first)
            await self.check_failures(fleet, endpoints, arguments, source)

    def fleet(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        return run_packet_fleet(Path(directory.name), {1: "portal"}, 3, 2)

    async def check_failures(self, fleet, endpoints, arguments, source):
        down = f"{fleet.network}.9.9:{ADMIN_PORT}"
        code, output = await ctl("explain-flow", endpoints[0], down, *arguments)
        self.assertEqual(code, ExitCode.NOT_MET, output)
        self.assertIn(f"{down} did not answer", output)
        self.assertIn(fleet.entries[0].name, output)
        agent = f"{fleet.agents[0].address}:{ADMIN_PORT}"
        unknown = f"--route={endpoint(fleet.service_address(77))}"
        for wrong in (
            (agent, *arguments),
            (endpoints[0], f"--caller={source}", unknown),
            (endpoints[0], "--caller=nobody", arguments[1]),
            (endpoints[0],),
            ("9464", *arguments),
        ):
            with self.subTest(wrong):
                code, output = await ctl("explain-flow", *wrong)
                self.assertEqual(code, ExitCode.INVALID, output)
                self.assertEqual(output.count("\n"), 1, output)

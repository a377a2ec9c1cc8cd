"""Limit of new flows at a backend server that warms up."""

import asyncio
import socket
from pathlib import Path
from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from balsamspool.datagram._codec import encode_small, forward_head, service_number
from balsamspool.datagram.messages import Forward, QueryTerms, Terms
from balsamspool.datagram.packet import flow_id
from balsamspool.datagram.settings import DatagramAgentSettings
from balsamspool.kernel.errors import ResultError
from balsamspool.kernel.identity import Role
from balsamspool.kernel.settings import BaseProcessSettings, check_settings
from balsamspool.placement.slow_start import (
    MAX_OPENINGS,
    UNKNOWN_SECONDS,
    Admitted,
    KeptOut,
    OpeningLimit,
    Warm,
)
from balsamspool.plugins.datagram_agent import DatagramAgentPlugin
from balsamspool.plugins.datagram_agent.openings import KEPT_OUT_SECONDS, MAX_KEPT_OUT
from balsamspool.scheduling.terms import RequestTerms, ServerTerms
from tests._clock import PausedClockTestCase
from tests.datagram_agent_case import BACKEND, ENTRY, NEXT, AgentCase
from tests.datagram_fakes import (
    ACK,
    CODEC,
    RST,
    SYN,
    FakeKernel,
    FakeSocket,
    answer,
    packet,
)
from tests.log_capture import recorded_events

ENDPOINT = CODEC.decode(packet(SYN)).destination
SECOND = 1.0
# Time in seconds after which a limit is no longer new.
READY = UNKNOWN_SECONDS + 0.01


def ready_limit(excess=1.0, slack=0.0, rate=10.0, warmup=60.0):
    """Return a limit that knows the last second, and its time."""
    limit = OpeningLimit(excess, slack, 0.0)
    limit.learn(ServerTerms(1, warmup, rate), READY)
    return limit


def admitted_times(limit, times):
    """Return the times at which the limit admits an opening."""
    return [t for t in times if isinstance(limit.decide(t), Admitted)]


def busiest_second(times):
    """Return the highest number of openings in any span of one second."""
    return max((sum(t <= u <= t + SECOND for u in times) for t in times), default=0)


class LimitTest(TestCase):
    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(
        st.lists(st.floats(0.0, 0.3), max_size=150),
        st.floats(0.0, 40.0),
        st.floats(0.0, 3.0),
        st.floats(0.0, 8.0),
        st.lists(st.floats(0.0, 10.0), max_size=4),
    )
    def test_no_second_has_more_openings_than_the_bound(
        self, pauses, rate, excess, slack, terms_times
    ):
        """Guards against a burst that falls into two counted seconds."""
        limit = OpeningLimit(excess, slack, 0.0)
        terms = ServerTerms(1, 60.0, max(rate, 0.001))
        limit.learn(terms, 0.0)
        bound = terms.flows_per_second * excess + slack
        time, admitted, due = 0.0, [], sorted(terms_times)
        for pause in pauses:
            time += pause
            while due and due[0] <= time:
                limit.learn(terms, due.pop(0))
            admitted += admitted_times(limit, [time])
        self.assertLessEqual(busiest_second(admitted), bound)

    def test_two_bursts_beside_the_edge_of_a_second_share_one_bound(self):
        """Guards against a count that starts anew with each second."""
        limit = ready_limit(slack=5.0)
        first = [READY + 0.95 + n / 10_000 for n in range(100)]
        second = [READY + 1.05 + n / 10_000 for n in range(100)]
        admitted = admitted_times(limit, first + second)
        self.assertLessEqual(len(admitted), 15)

    def test_callers_get_what_the_backend_server_bears(self):
        """Guards against a limit that wastes what a cold backend server can serve."""
        for excess, slack in ((1.0, 0.0), (1.5, 5.0)):
            with self.subTest(excess=excess, slack=slack):
                limit = ready_limit(excess, slack)
                times = [READY + n / 100 for n in range(1_000)]
                count = len(admitted_times(limit, times))
                self.assertGreaterEqual(count, 90)
                self.assertLessEqual(count, 100 + slack)

    def test_the_slack_serves_a_burst_after_a_pause(self):
        """Guards against refusals of a burst that the rule allows."""
        limit = ready_limit(slack=5.0)
        self.assertEqual(len(admitted_times(limit, [READY + 1.0] * 20)), 5)

    def test_openings_are_admitted_evenly(self):
        """Guards against a second's openings that all queue at the same moment."""
        limit = ready_limit(slack=5.0)
        times = [READY + n / 1_000 for n in range(3_000)]
        admitted = admitted_times(limit, times)[5:]
        gaps = [b - a for a, b in zip(admitted, admitted[1:], strict=False)]
        self.assertLess(max(gaps), 0.2)

    def test_a_new_limit_admits_nothing_to_a_cold_backend_server(self):
        """Guards against a restart of the agent that doubles the openings."""
        limit = OpeningLimit(1.0, 5.0, 100.0)
        limit.learn(ServerTerms(1, 60.0, 10.0), 100.0)
        times = [100.0, 100.5, 101.0, 100.0 + READY]
        self.assertEqual(admitted_times(limit, times), times[-1:])

    def test_openings_from_before_the_terms_are_counted(self):
        """Guards against a backend server that turns cold under load."""
        limit = OpeningLimit(1.0, 5.0, 0.0)
        before = admitted_times(limit, [READY + n / 100 for n in range(100)])
        self.assertEqual(len(before), 100)
        limit.learn(ServerTerms(1, 60.0, 10.0), READY + 1.0)
        self.assertIsInstance(limit.decide(READY + 1.0), KeptOut)
        after = admitted_times(limit, [READY + 1.0 + n / 100 for n in range(200)])
        self.assertLessEqual(busiest_second([t for t in after if t > READY + 2]), 15)
        self.assertGreater(len(after), 5)

    def test_a_backend_server_that_turns_cold_under_load_gets_no_burst(self):
        """Guards against a burst on top of the openings of the last second."""
        limit = OpeningLimit(100.0, 5.0, 0.0)
        admitted_times(limit, [READY + n / 100 for n in range(100)])
        limit.learn(ServerTerms(1, 60.0, 10.0), READY + 1.0)
        self.assertIsInstance(limit.decide(READY + 1.0), KeptOut)

    def test_a_backend_server_without_limit_takes_all(self):
        """Guards against a limit at services for which none is published."""
        for terms in (ServerTerms(1, 60.0, 0.0), ServerTerms(1, 0.0, 10.0)):
            limit = OpeningLimit(1.0, 0.0, 0.0)
            limit.learn(terms, 0.0)
            self.assertEqual(len(admitted_times(limit, [0.1] * 10_000)), 10_000)

    def test_the_limit_ends_with_the_warm_up(self):
        """Guards against a limit that lasts until the next terms."""
        limit = ready_limit(warmup=2.0)
        self.assertEqual(len(admitted_times(limit, [READY + 1.99] * 50)), 2)
        self.assertEqual(len(admitted_times(limit, [READY + 2.0] * 50)), 50)
        self.assertIsInstance(limit.state(READY + 2.0), Warm)

    def test_later_terms_replace_earlier_ones(self):
        """Guards against a changed limit that is applied after the warm-up only."""
        limit = ready_limit()
        limit.learn(ServerTerms(1, 60.0, 2.0), READY + 1.0)
        times = [READY + 1.0 + n / 100 for n in range(1_000)]
        self.assertLessEqual(len(admitted_times(limit, times)), 22)
        limit.learn(ServerTerms(1), READY + 20.0)
        self.assertEqual(len(admitted_times(limit, [READY + 20.0] * 50)), 50)

    def test_repeated_terms_grant_no_further_burst(self):
        """Guards against notices of many entries that each refill the burst."""
        limit = ready_limit(excess=10.0, slack=5.0)
        admitted = []
        for n in range(100):
            limit.learn(ServerTerms(1, 60.0, 10.0), READY + n / 100)
            admitted += admitted_times(limit, [READY + n / 100] * 3)
        self.assertLessEqual(len(admitted), 16)

    def test_a_tiny_limit_admits_nothing_and_a_huge_one_stays_bounded(self):
        """Guards against a published limit that no second can hold."""
        times = [READY + n / 1_000 for n in range(1_000)]
        self.assertEqual(admitted_times(ready_limit(rate=0.001), times), [])
        self.assertEqual(admitted_times(ready_limit(rate=1e6), times), times)
        at_once = admitted_times(ready_limit(rate=1e6), [READY] * (2 * MAX_OPENINGS))
        self.assertEqual(len(at_once), MAX_OPENINGS)

    def test_a_tiny_limit_with_slack_admits_the_slack(self):
        """Guards against a limit below one that is rounded up each second."""
        limit = ready_limit(rate=0.001, slack=1.0)
        times = [READY + n / 10 for n in range(300)]
        self.assertEqual(admitted_times(limit, times), times[:1])

    def test_a_clock_that_stands_still_admits_one_burst(self):
        """Guards against a refill that does not depend on time."""
        limit = ready_limit(slack=5.0)
        self.assertEqual(len(admitted_times(limit, [READY] * 1_000)), 5)


class SettingsTest(TestCase):
    def check(self, **fields):
        section = {
            "address": "10.0.0.1:8172",
            "service": "portal",
            "backend": "10.0.0.1:8165",
            "outbound": "10.0.0.1:8162",
        }
        process = {
            "instance": "x-1",
            "failure_domain": "a",
            "address": "10.0.0.1",
            "data_port": 7720,
            "peer_port": 7735,
            "admin_port": 9464,
        }
        document = {"process": process, "datagram-agent": section | fields}
        types = {"datagram-agent": DatagramAgentSettings}
        checked = check_settings(document, types, BaseProcessSettings)
        return checked.section("datagram-agent")

    def test_without_values_the_published_limit_holds(self):
        """Guards against a default that exceeds the published limit."""
        checked = self.check()
        self.assertEqual((checked.warmup_excess, checked.warmup_slack), (1.0, 0.0))
        checked = self.check(warmup_excess=1.5, warmup_slack=5)
        self.assertEqual((checked.warmup_excess, checked.warmup_slack), (1.5, 5.0))

    def test_values_out_of_range_are_refused_by_name(self):
        """Guards against a mistyped bound that lifts the limit."""
        for field, value in (
            ("warmup_excess", -0.1),
            ("warmup_excess", 101),
            ("warmup_slack", -1),
            ("warmup_slack", 10_001),
            ("warmup_slack", "5"),
        ):
            with (
                self.subTest(field=field, value=value),
                self.assertRaisesRegex(ResultError, field),
            ):
                self.check(**{field: value})

    def test_the_deployment_passes_the_bounds_on(self):
        """Guards against a deployment whose published bounds are not used."""
        path = Path(__file__).resolve().parent.parent / "deploy" / "agent.json"
        template = path.read_text()
        self.assertIn('"warmup_excess": {{bounds.warmup-excess}}', template)
        self.assertIn('"warmup_slack": {{bounds.warmup-slack}}', template)


def cold_terms(rate=5.0, warmup=60.0):
    """Return terms of a cold backend server."""
    server = ServerTerms(1, warmup, rate)
    return Terms(ENDPOINT, RequestTerms(1, 1.0, 0.0), server)


def caller(number):
    """Return the endpoint of a caller."""
    return f"100.64.{number >> 8}.{number & 255}", 40_001


class AgentLimitCase(AgentCase):
    """An agent whose backend server is cold and takes one opening at once."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await asyncio.sleep(READY)
        self.tell()

    def tell(self, **fields):
        self.peers.receive(encode_small(cold_terms(**fields)), (ENTRY, 7720))

    def open(self, number, attempt=0, **fields):
        self.forward(packet(SYN, source=caller(number), ack=attempt), **fields)

    def fill(self):
        """Use up what the backend server takes at once."""
        self.open(0)
        self.reply(answer(SYN | ACK, caller=caller(0)))
        self.peers.take()
        self.backend.take()

    def counted(self, kind):
        name = f"balsamspool_datagram_cold_openings.{kind}"
        return self.kernel.counters.values()[name]


class AgentLimitTest(AgentLimitCase):
    async def test_an_opening_beyond_the_limit_goes_to_the_next_host_at_once(self):
        """Guards against callers that wait until a cold backend server takes them."""
        self.fill()
        with recorded_events() as events:
            self.open(1)
        ((passed, address),) = self.peers.take_forwards()
        self.assertEqual((address, passed.hops), (NEXT, 1))
        self.assertEqual(self.backend.take(), [])
        (line,) = events.fields("opening-passed-on")
        self.assertEqual(line["reason"], "warming-up")
        self.assertEqual((self.counted("admitted"), self.counted("passed-on")), (1, 1))

    async def test_an_opening_that_no_host_takes_is_reset_at_once(self):
        """Guards against callers that wait 1.4 s for an answer that never comes."""
        self.fill()
        with recorded_events() as events:
            self.open(1, alternatives=())
        opening = CODEC.decode(packet(SYN, source=caller(1)))
        reset = (CODEC.reset(opening), (caller(1)[0], 8172))
        self.assertEqual(self.peers.take(), [reset])
        self.assertEqual(self.backend.take(), [])
        flow = flow_id(opening.flow_from_caller)
        self.assertEqual(
            events.fields("flow-rejected"), [{"flow": flow, "reason": "warming-up"}]
        )
        self.assertEqual(self.counted("refused"), 1)

    async def test_a_copy_that_no_host_takes_is_dropped(self):
        """Guards against a reset of a flow that opened at another host."""
        self.fill()
        self.open(1, attempt=1, alternatives=())
        self.assertEqual(self.peers.take(), [])
        self.assertEqual(self.backend.take(), [])
        self.assertEqual(self.counted("dropped"), 1)

    async def test_a_copy_of_an_admitted_opening_is_delivered_and_not_counted(self):
        """Guards against a lost packet that the limit turns into a lost flow."""
        self.open(1)
        self.open(1, attempt=1)
        self.assertEqual(len(self.backend.take()), 2)
        self.assertEqual(self.counted("admitted"), 1)
        await asyncio.sleep(0.21)
        self.open(2)
        self.assertEqual(self.counted("admitted"), 2)

    async def test_a_copy_of_an_opening_that_was_passed_on_follows_it(self):
        """Guards against a flow that opens at two hosts."""
        self.fill()
        self.open(1)
        await asyncio.sleep(0.3)
        self.open(1, attempt=1)
        self.assertEqual(len(self.peers.take_forwards()), 2)
        self.assertEqual(self.backend.take(), [])

    async def test_a_port_is_used_again_after_its_opening_was_kept_out(self):
        """Guards against callers that stay locked out after the limit."""
        self.fill()
        self.open(1)
        await asyncio.sleep(0.3)
        self.open(1)
        self.assertEqual(len(self.backend.take()), 1)
        self.open(2)
        await asyncio.sleep(KEPT_OUT_SECONDS)
        self.open(2, attempt=2)
        self.assertEqual(len(self.backend.take()), 1)

    async def test_the_memory_of_openings_that_were_kept_out_is_bounded(self):
        """Guards against callers that fill the memory of an agent."""
        for number in range(3 * MAX_KEPT_OUT):
            self.open(number)
        remembered = len(self.agent._admission._kept_out)
        self.assertLessEqual(remembered, 2 * MAX_KEPT_OUT)

    async def test_data_of_an_open_flow_is_not_limited(self):
        """Guards against an open flow that the limit interrupts."""
        self.fill()
        for _ in range(20):
            self.forward(packet(ACK, b"request", source=caller(0)))
        self.assertEqual(len(self.backend.take()), 20)

    async def test_an_opening_at_a_silent_cold_backend_server_counts(self):
        """Guards against an unlimited number of openings that reach a silent server."""
        self.tell(rate=40.0)
        for number in range(2):
            self.open(number)
            await asyncio.sleep(0.1)
        self.assertFalse(self.agent.status()["responsive"])
        self.backend.take()
        self.peers.take()
        for number in range(100, 150):
            self.open(number)
        self.assertEqual(len(self.peers.take_forwards()), 50)
        # One opening at the start and 40 a second for 0.2 s, less the first two.
        self.assertEqual(len(self.backend.take()), 7)

    async def test_an_opening_that_the_backend_server_refuses_counts(self):
        """Guards against a full backend server that gets ever more openings."""
        self.open(1)
        self.return_last_packet()
        self.peers.take()
        self.open(2)
        self.assertEqual(self.backend.take(), [])
        self.assertEqual(len(self.peers.take_forwards()), 1)

    async def test_the_limit_ends_with_the_warm_up(self):
        """Guards against a warm backend server that gets too few flows."""
        self.tell(warmup=1.0)
        self.fill()
        status = self.agent.status()
        self.assertEqual(status["opening_limit"], 5)
        self.assertEqual(status["warmup_seconds_left"], 1.0)
        await asyncio.sleep(1.0)
        for number in range(1, 51):
            self.open(number)
        self.assertEqual(len(self.backend.take()), 50)
        status = self.agent.status()
        self.assertIsNone(status["opening_limit"])
        self.assertEqual(status["warmup_seconds_left"], 0.0)

    async def test_lines_are_bounded_and_count_what_they_leave_out(self):
        """Guards against a log that a storm of openings fills."""
        with recorded_events() as events:
            self.tell()
            self.fill()
            for number in range(1, 101):
                self.open(number)
            await asyncio.sleep(1.0)
            for number in range(101, 111):
                self.open(number)
        self.assertEqual(events.fields("backend-server-cold"), [])
        counts = [f["openings"] for f in events.fields("openings-kept-out")]
        self.assertEqual(counts, [1, 100])


class AgentTermsTest(AgentCase):
    """An agent that has just started and knows no terms."""

    def open(self, number):
        self.forward(packet(SYN, source=caller(number)))

    def tell(self, terms):
        self.peers.receive(encode_small(terms), (ENTRY, 7720))

    async def test_terms_that_arrive_while_openings_flow_limit_the_next_one(self):
        """Guards against a backend server that turns cold under load."""
        await asyncio.sleep(READY)
        for number in range(20):
            self.open(number)
            self.reply(answer(SYN | ACK, caller=caller(number)))
        self.assertEqual(len(self.backend.take()), 20)
        with recorded_events() as events:
            self.tell(cold_terms())
        (line,) = events.fields("backend-server-cold")
        self.assertEqual((line["limit"], line["flows_per_second"]), (5, 5.0))
        self.open(20)
        self.assertEqual(self.backend.take(), [])

    async def test_a_restarted_agent_keeps_openings_out_for_its_first_second(self):
        """Guards against openings of before and after a restart in one second."""
        self.tell(cold_terms())
        self.open(1)
        self.assertEqual(self.backend.take(), [])
        await asyncio.sleep(READY)
        self.open(2)
        self.assertEqual(len(self.backend.take()), 1)

    async def test_a_restarted_agent_of_a_warm_backend_server_admits_at_once(self):
        """Guards against a pause of all flows at each restart of an agent."""
        self.tell(Terms(ENDPOINT, RequestTerms(1, 1.0, 0.0), ServerTerms(1)))
        for number in range(50):
            self.open(number)
        self.assertEqual(len(self.backend.take()), 50)

    async def test_an_agent_of_a_cold_backend_server_asks_for_terms_once(self):
        """Guards against a query for each opening packet while the limit is in force.

        The first opening is answered, so that nothing else is sent to peers.
        """
        await asyncio.sleep(READY)
        self.open(1)
        sent = [m for m, a in self.peers.take_messages() if a == ENTRY]
        self.assertEqual(sent, [QueryTerms(ENDPOINT)])
        self.tell(cold_terms(rate=12.5, warmup=1.5))
        self.open(2)
        self.assertEqual(self.peers.take(), [])


class ColdServiceTest(PausedClockTestCase):
    """Three agents of one cold service, and the openings of many entries."""

    ENTRIES = 60
    ADDRESSES = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
    RATE, SLACK, EXCESS = 10.0, 5.0, 1.5

    async def asyncSetUp(self):
        self.kernels = []
        self.answered = {}
        self.delivered = {address: [] for address in self.ADDRESSES}
        for address in self.ADDRESSES:
            await self.start_agent(address)
        await asyncio.sleep(READY)
        for address in self.ADDRESSES:
            message = encode_small(cold_terms(rate=self.RATE))
            FakeSocket.opened[address, 7720].receive(message, (ENTRY, 7720))

    async def asyncTearDown(self):
        for kernel in self.kernels:
            await kernel.stop()

    async def start_agent(self, address):
        settings_ = DatagramAgentSettings(
            address=f"{address}:8172",
            service="portal",
            backend=f"{address}:8165",
            outbound=f"{address}:8162",
            warmup_excess=self.EXCESS,
            warmup_slack=self.SLACK,
        )
        kernel = FakeKernel(Role.DATAGRAM_AGENT, address, {"datagram-agent": settings_})
        self.kernels.append(kernel)
        await DatagramAgentPlugin(kernel).start()

    def open(self, number, attempt=0):
        """Send an opening of an entry to one agent, with the others as next hosts."""
        first = number % len(self.ADDRESSES)
        hosts = self.ADDRESSES[first:] + self.ADDRESSES[:first]
        entry = f"10.0.1.{number % self.ENTRIES + 1}"
        data = packet(SYN, source=caller(number), ack=attempt)
        message = Forward(
            service_number("portal"),
            socket.inet_aton(entry),
            0,
            False,
            False,
            tuple(socket.inet_aton(h) for h in hosts[1:]),
            data,
        )
        agent = FakeSocket.opened[hosts[0], 7720]
        agent.receive(forward_head(message) + data, (entry, 7720))
        while self.pass_packets():
            pass

    def pass_packets(self):
        """Pass on what the agents sent, and return whether there was anything."""
        moved = 0
        time = asyncio.get_running_loop().time()
        for address in self.ADDRESSES:
            outbound = FakeSocket.opened[address, 8162]
            for data, _ in outbound.take():
                moved += 1
                self.delivered[address].append(time)
                opening = CODEC.decode(data)
                source = (socket.inet_ntoa(opening.source[:4]), 40_001)
                outbound.receive(answer(SYN | ACK, caller=source), BACKEND)
            for data, (receiver, port) in FakeSocket.opened[address, 7720].take():
                if port == 7720 and receiver in self.ADDRESSES:
                    moved += 1
                    FakeSocket.opened[receiver, 7720].receive(data, (address, 7720))
                elif port == 8172:
                    self.answered.setdefault(receiver, []).append(data[0])
        return moved

    async def test_each_caller_is_accepted_or_refused_at_once(self):
        """Guards against callers of a cold service that wait for an answer.

        Each agent takes what it bears, and no second exceeds the bound.
        """
        number = 0
        for _ in range(100):
            for _ in range(4):
                self.open(number)
                number += 1
            await asyncio.sleep(0.05)
        answers = [self.answered[caller(n)[0]] for n in range(number)]
        accepted = sum(flags == [SYN | ACK] for flags in answers)
        refused = sum(flags == [RST] for flags in answers)
        self.assertEqual(accepted + refused, number)
        bound = self.RATE * self.EXCESS + self.SLACK
        for times in self.delivered.values():
            self.assertLessEqual(busiest_second(times), bound)
        # Three backend servers bear 10 openings a second each for 5 s.
        self.assertGreaterEqual(accepted, 0.95 * 150)

    async def test_a_restart_under_load_keeps_the_bound(self):
        """Guards against a killed agent whose successor grants a second burst."""
        number = 0
        for step in range(60):
            if step == 20:
                await self.kernels[0].stop()
                await self.start_agent("10.0.0.1")
                restarted = asyncio.get_running_loop().time()
                message = encode_small(cold_terms(rate=self.RATE))
                FakeSocket.opened["10.0.0.1", 7720].receive(message, (ENTRY, 7720))
            for _ in range(6):
                self.open(number)
                number += 1
            await asyncio.sleep(0.05)
        answers = [self.answered[caller(n)[0]] for n in range(number)]
        self.assertTrue(all(f in ([SYN | ACK], [RST]) for f in answers))
        bound = self.RATE * self.EXCESS + self.SLACK
        for times in self.delivered.values():
            self.assertLessEqual(busiest_second(times), bound)
        later = [t for t in self.delivered["10.0.0.1"] if t >= restarted]
        self.assertGreaterEqual(later[0], restarted + UNKNOWN_SECONDS)

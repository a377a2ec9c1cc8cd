"""Requests that wait at an agent until its backend server can run them."""

import asyncio

from balsamspool.datagram._codec import encode_small
from balsamspool.datagram.events import REQUEST_EXPIRED, REQUESTS_WAIT
from balsamspool.datagram.messages import FlowLocated, Terms
from balsamspool.plugins.datagram_agent.dispatcher import AHEAD, MAX_WAITING
from balsamspool.scheduling.terms import RequestTerms, ServerTerms
from tests.datagram_agent_case import ENTRY, AgentCase
from tests.datagram_fakes import ACK, CODEC, FIN, RST, SYN, answer, packet
from tests.log_capture import recorded_events

URGENT, USUAL = ("198.18.0.1", 443), ("198.18.0.2", 443)
SERVER_SEQUENCE = 500
LIMIT = 1.5


class DispatcherCase(AgentCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        for route, priority in ((URGENT, 1), (USUAL, 2)):
            endpoint = CODEC.decode(packet(SYN, destination=route)).destination
            terms = Terms(endpoint, RequestTerms(priority, 0.3, LIMIT), ServerTerms(1))
            self.peers.receive(encode_small(terms), (ENTRY, 7720))

    def caller(self, number):
        return ("100.64.0.8", 1_000 + number)

    def open(self, number, route=USUAL):
        """Open a flow, whose backend server has not confirmed it yet."""
        source = self.caller(number)
        self.forward(packet(SYN, source=source, destination=route))
        self.reply(answer(SYN | ACK, caller=source, service=route, seq=SERVER_SEQUENCE))
        self.backend.take()

    def send(self, number, route=USUAL, data=b"request", seq=8, flags=ACK):
        self.forward(
            packet(
                flags,
                data,
                source=self.caller(number),
                destination=route,
                seq=seq,
                ack=SERVER_SEQUENCE + 1,
            )
        )

    def answer(self, number, route=USUAL):
        self.reply(answer(ACK, b"answer", caller=self.caller(number), service=route))

    def delivered(self):
        """Return the ports of the callers whose data reached the backend server."""
        packets = [CODEC.decode(data) for data, _ in self.backend.take()]
        return [
            int.from_bytes(p.source[4:], "big") - 1_000 for p in packets if p.length
        ]

    def fill(self):
        """Let the backend server run as many requests as it may get."""
        for number in range(1 + AHEAD):
            self.open(number)
        for number in range(1 + AHEAD):
            self.send(number)
        self.assertEqual(self.delivered(), list(range(1 + AHEAD)))

    def counter(self, kind):
        return self.kernel.counters.values()[f"balsamspool_datagram_requests.{kind}"]


class WaitTest(DispatcherCase):
    async def test_the_urgent_request_goes_first_when_a_slot_is_free(self):
        """Guards against an urgent request that waits behind others (overload)."""
        self.fill()
        self.open(5)
        self.open(6, URGENT)
        self.send(5)
        self.send(6, URGENT)
        self.assertEqual(self.delivered(), [])
        self.answer(0)
        self.assertEqual(self.delivered(), [6])
        self.answer(1)
        self.assertEqual(self.delivered(), [5])

    async def test_a_request_that_waits_is_sent_unchanged_and_once(self):
        """Guards against a packet that its receiver rejects, and a second run."""
        self.fill()
        self.open(5)
        self.send(5, data=b"first", seq=8)
        self.send(5, data=b"second", seq=13)
        self.send(5, data=b"first", seq=8)
        self.answer(0)
        sent = [data[:27] + data[31:] for data, _ in self.backend.take()]
        expected = [
            packet(
                ACK, data, source=self.caller(5), destination=USUAL, seq=seq, ack=501
            )
            for data, seq in ((b"first", 8), (b"second", 13))
        ]
        self.assertEqual(sent, [data[:27] + data[31:] for data in expected])

    async def test_the_entry_is_told_where_the_flow_is(self):
        """Guards against a search at other hosts while the request waits."""
        self.fill()
        self.open(5)
        self.peers.take()
        self.send(5)
        told = [m for m, to in self.peers.take_messages() if to == ENTRY]
        key = CODEC.decode(
            packet(ACK, source=self.caller(5), destination=USUAL)
        ).flow_from_caller
        self.assertEqual(told, [FlowLocated(key)])

    async def test_each_entry_that_searches_is_told_where_the_flow_is(self):
        """Guards against strays: an entry that queries other hosts for 2 s (seed 8)."""
        self.fill()
        self.open(5)
        self.send(5)
        self.peers.take()
        self.send(5)
        self.send(5, data=b"")
        told = [type(m) for m, to in self.peers.take_messages() if to == ENTRY]
        self.assertEqual(told, [FlowLocated, FlowLocated])

    async def test_a_flow_for_which_an_entry_searches_does_not_wait(self):
        """Guards against strays: copies at other hosts while none reaches its own."""
        self.fill()
        self.open(5)
        self.send(5)
        await asyncio.sleep(0.1)
        self.assertEqual(self.delivered(), [])
        self.send(5)
        self.assertEqual(self.delivered(), [5, 5])
        self.assertEqual(self.counter("released"), 1)

    async def test_a_route_without_a_known_limit_does_not_wait(self):
        """Guards against a request that waits for longer than its caller."""
        self.fill()
        other = ("198.18.0.3", 443)
        self.open(5, other)
        self.send(5, other)
        self.assertEqual(self.delivered(), [5])

    async def test_acknowledgements_do_not_wait(self):
        """Guards against an answer that stops because its caller seems silent."""
        self.fill()
        self.open(5)
        self.send(5)
        self.send(5, data=b"")
        self.assertEqual(len(self.backend.take()), 1)

    async def test_a_flow_that_may_be_open_elsewhere_does_not_wait(self):
        """Guards against a packet that is kept although another host holds its flow."""
        self.fill()
        self.open(5)
        self.forward(
            packet(ACK, b"x", source=self.caller(5), destination=USUAL, seq=8, ack=77)
        )
        self.assertEqual(self.delivered(), [5])

    async def test_a_copy_after_the_answer_is_no_request(self):
        """Guards against a slot that a late copy occupies for nothing."""
        self.open(0)
        self.send(0)
        self.answer(0)
        self.send(0)
        self.assertEqual(self.agent.status()["in_work"], 0)

    async def test_a_request_that_is_never_answered_does_not_block_others(self):
        """Guards against a backend server that loses requests and then gets none."""
        self.fill()
        self.open(5)
        self.send(5)
        await asyncio.sleep(0.5)
        self.assertEqual(self.delivered(), [5])

    async def test_a_repeated_answer_does_not_drop_the_next_request(self):
        """Guards against a kept request that a copy of an earlier answer removes."""
        self.open(5)
        self.send(5, data=b"first")
        self.answer(5)
        self.delivered()
        self.fill()
        self.send(5, data=b"second", seq=13)
        self.answer(5)
        self.answer(0)
        self.assertEqual(self.delivered(), [5])

    async def test_each_searching_entry_is_told_of_a_request_that_waits(self):
        """Guards against searches at all hosts after a notice was lost."""
        self.fill()
        self.open(5)
        self.send(5)
        self.peers.take()
        self.send(5)
        told = [m for m, _ in self.peers.take_messages()]
        self.assertEqual([type(m) for m in told], [FlowLocated])

    async def test_requests_behind_unanswered_ones_do_not_block_others(self):
        """Guards against kept requests that wait until lost ones are given up."""
        self.fill()
        waiting = [5, 6, 7, 8]
        for number in waiting:
            self.open(number)
            self.send(number)
        await asyncio.sleep(1)
        self.assertEqual(sorted(self.delivered()), waiting)

    async def test_a_returned_request_occupies_no_slot(self):
        """Guards against requests that wait for one that the server never had."""
        for number in range(1 + AHEAD):
            self.open(number)
            self.forward(
                packet(ACK, b"x", source=self.caller(number), destination=USUAL, ack=77)
            )
            self.return_last_packet()
        self.open(5)
        self.send(5)
        self.assertEqual(self.delivered(), [5])

    async def test_a_request_of_a_reset_flow_occupies_no_slot(self):
        """Guards against requests that wait for one that the server gave up."""
        self.fill()
        for number in range(1 + AHEAD):
            self.reply(answer(RST, caller=self.caller(number), service=USUAL))
        self.open(5)
        self.send(5)
        self.assertEqual(self.delivered(), [5])

    async def test_without_terms_nothing_waits(self):
        """Guards against waits at an agent that does not know the slots."""
        self.agent._terms._server = None
        for number in range(4):
            self.open(number)
        for number in range(4):
            self.send(number)
        self.assertEqual(self.delivered(), [0, 1, 2, 3])


class EndTest(DispatcherCase):
    async def test_a_caller_that_resets_its_flow_leaves_the_queue(self):
        """Guards against work for a caller that has left."""
        self.fill()
        self.open(5)
        self.send(5)
        self.send(5, data=b"", flags=RST)
        self.backend.take()
        self.answer(0)
        self.assertEqual(self.delivered(), [])
        self.assertEqual(self.agent.status()["waiting"], 0)

    async def test_a_new_flow_of_the_same_key_ends_the_wait(self):
        """Guards against a request of an earlier flow that runs on the next one."""
        self.fill()
        self.open(5)
        self.send(5, data=b"earlier")
        self.open(5)
        self.answer(0)
        self.assertEqual(self.delivered(), [])
        self.send(5, data=b"next", seq=40)
        self.assertEqual(self.delivered(), [5])

    async def test_the_end_of_the_callers_side_keeps_its_place(self):
        """Guards against a request that is overtaken by the end of its own data."""
        self.fill()
        self.open(5)
        self.send(5)
        self.send(5, data=b"", seq=15, flags=FIN | ACK)
        self.assertEqual(self.backend.take(), [])
        self.answer(0)
        flags = [data[0] for data, _ in self.backend.take()]
        self.assertEqual(flags, [ACK, FIN | ACK])

    async def test_a_request_whose_caller_no_longer_waits_is_not_run(self):
        """Guards against work that serves nobody, and against a loss without a line."""
        urgent = list(range(100, 100 + 4 * int(LIMIT / 0.05)))
        usual = range(10, 50)
        for number in urgent:
            self.open(number, URGENT)
        for number in usual:
            self.open(number)
        self.fill()
        for number in usual:
            self.send(number)
        running, served = [0, 1], []
        with recorded_events() as log:
            while urgent:
                # Urgent requests arrive as fast as the backend server answers.
                for _ in range(2):
                    self.send(urgent.pop(0), URGENT)
                await asyncio.sleep(0.05)
                for number in running:
                    self.answer(number, URGENT if number >= 100 else USUAL)
                running = self.delivered()
                served += running
        expired = {f["flow"].split(">")[0] for f in log.fields(REQUEST_EXPIRED.name)}
        given_up = {f"100.64.0.8:{1_000 + n}" for n in usual if n not in served}
        self.assertEqual(expired, given_up)
        self.assertEqual(self.counter("expired"), len(given_up))
        self.assertTrue(0 < len(given_up) < len(usual))
        for _ in range(60):
            for number in running:
                self.answer(number, URGENT if number >= 100 else USUAL)
            running = self.delivered()
            await asyncio.sleep(0.01)
        # Requests that were given up no longer count in the load reports.
        self.assertEqual(self.agent.status()["in_work"], 0)

    async def test_a_request_without_a_limit_is_not_forgotten(self):
        """Guards against a request that urgent ones keep waiting until it is given up.

        The agent gives up requests after 10 s, without a line in the log.
        """
        endpoint = CODEC.decode(packet(SYN, destination=USUAL)).destination
        terms = Terms(endpoint, RequestTerms(2, 0.3, 0.0), ServerTerms(1))
        self.peers.receive(encode_small(terms), (ENTRY, 7720))
        self.fill()
        self.open(5)
        self.send(5)
        running = served = [0, 1, *self.delivered()]
        for number in range(100, 600, 2):
            for urgent in (number, number + 1):
                self.open(urgent, URGENT)
                self.send(urgent, URGENT)
            await asyncio.sleep(0.05)
            for answered in running:
                self.answer(answered, URGENT if answered >= 100 else USUAL)
            running = self.delivered()
            served = [*served, *running]
        self.assertIn(5, served)

    async def test_a_planned_stop_sends_what_waits(self):
        """Guards against accepted requests that a planned stop cuts off."""
        self.fill()
        self.open(5)
        self.send(5)
        stop = asyncio.create_task(self.agent.drain())
        await asyncio.sleep(0.01)
        self.assertEqual(self.delivered(), [5])
        await stop

    async def test_during_a_planned_stop_no_request_waits(self):
        """Guards against requests that arrive during a stop and are lost at its end."""
        self.fill()
        stop = asyncio.create_task(self.agent.drain())
        await asyncio.sleep(0.01)
        self.open(5)
        self.send(5)
        self.assertEqual(self.delivered(), [5])
        await stop

    async def test_the_number_of_waiting_requests_is_bounded(self):
        """Guards against callers that fill the memory of an agent."""
        self.fill()
        for number in range(10, 11 + MAX_WAITING):
            self.open(number)
            self.send(number)
        self.assertEqual(self.agent.status()["waiting"], MAX_WAITING)
        self.assertEqual(self.counter("overflowed"), 1)

    async def test_waiting_requests_show_in_log_and_work(self):
        """Guards against overload that no operator and no entry can see."""
        self.fill()
        before = self.agent.status()["work_left"]
        self.open(5)
        with recorded_events() as log:
            self.send(5)
            await asyncio.sleep(0.001)
        (fields,) = log.fields(REQUESTS_WAIT.name)
        self.assertEqual((fields["requests"], fields["slots"]), (1, 1))
        self.assertGreater(self.agent.status()["work_left"], before)

"""Plug-in of the agent: passes packets to and from its backend server."""

import asyncio

from balsamspool.datagram._codec import decode, encode_small, service_number
from balsamspool.datagram.messages import (
    ANY_SERVICE,
    Announce,
    Forward,
    Subscribe,
    Terms,
)
from balsamspool.datagram.packet import Packet, PacketCodec, address_of
from balsamspool.datagram.settings import DatagramAgentSettings
from balsamspool.datagram.sockets import Address, BatchSocket, DatagramSockets
from balsamspool.kernel.clock import now
from balsamspool.kernel.identity import Role
from balsamspool.kernel.lifecycle import Kernel
from balsamspool.kernel.registry import Plugin, register
from balsamspool.kernel.settings import split_endpoint
from balsamspool.placement.slow_start import OpeningLimit
from balsamspool.plugins.datagram_agent.dispatcher import RequestDispatcher
from balsamspool.plugins.datagram_agent.entries import EntryRegister
from balsamspool.plugins.datagram_agent.flow_watch import FlowWatch
from balsamspool.plugins.datagram_agent.flows import FlowTable, HostFlow
from balsamspool.plugins.datagram_agent.liveness import ServerLiveness
from balsamspool.plugins.datagram_agent.notifier import EntryNotifier
from balsamspool.plugins.datagram_agent.openings import (
    WARMING_UP,
    Deliver,
    Drop,
    OpeningAdmission,
    PassOn,
    Refuse,
)
from balsamspool.plugins.datagram_agent.passing import PacketPasser, has_next_host
from balsamspool.plugins.datagram_agent.reporter import LoadReporter
from balsamspool.plugins.datagram_agent.request_gate import RequestGate
from balsamspool.plugins.datagram_agent.sent_forwards import SentForwards
from balsamspool.plugins.datagram_agent.terms import TermsTable
from balsamspool.plugins.datagram_agent.work import WorkMeter

# Time within which the backend server must answer an opening packet. A server accepts
# the packet within a millisecond; the remaining time allows for a slow instance.
ANSWER_SECONDS = 0.08
EXPIRY_SECONDS = 1.0
# A stopping agent passes packets until none has arrived for QUIET_SECONDS, and for at
# most LINGER_SECONDS.
LINGER_SECONDS = 4.0
QUIET_SECONDS = 0.5


@register(
    "datagram-agent",
    roles=[Role.DATAGRAM_AGENT],
    requires=["packet-codec", "datagram-sockets", "admin"],
)
class DatagramAgentPlugin(Plugin):
    """Admits flows to the backend server of its instance.

    Args:
        kernel: Kernel that runs the plug-in.
    """

    settings_type = DatagramAgentSettings

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        settings: DatagramAgentSettings = kernel.settings.section("datagram-agent")
        identity = kernel.identity
        self._service_name = settings.service
        self._service = service_number(settings.service)
        self._backend = split_endpoint(settings.backend)
        self._outbound_address = split_endpoint(settings.outbound)
        self._flow_life = settings.flow_seconds
        self._warmup_excess = settings.warmup_excess
        self._warmup_slack = settings.warmup_slack
        self._caller_port = split_endpoint(settings.address)[1]
        self._address = (identity.address, identity.data_port)
        self._codec = kernel.plugin(PacketCodec)
        self._peer_socket: BatchSocket
        self._server_socket: BatchSocket
        self._sent = SentForwards()
        self._last_packet = 0.0
        self._entries = EntryRegister()
        self._terms = TermsTable()
        counters = kernel.counters
        self._watch = FlowWatch(counters)
        self._malformed = counters.counter(
            "balsamspool_datagram_malformed", "Datagrams that could not be read"
        )
        packets = "balsamspool_datagram_packets"
        help_text = "Packets by what was done with them"
        self._delivered = counters.counter(packets, help_text, "delivered")
        self._to_callers = counters.counter(packets, help_text, "to-caller")
        self._openings = counters.counter(packets, help_text, "opening")
        self._evicted = counters.counter(
            "balsamspool_datagram_flows_evicted", "Flows removed from a full table"
        )
        self._answer_time = counters.histogram(
            "balsamspool_datagram_answer_seconds",
            "Time from a request of a caller to the first data of the answer",
        )

    async def start(self) -> None:
        """Open the sockets and start passing packets."""
        started = now()
        self._meter = WorkMeter(started)
        self._requests = RequestDispatcher(
            self._terms,
            self._send_to_server,
            self._give_up_request,
            self._kernel.counters,
        )
        self._flows = FlowTable(
            self._meter, self._flow_life, started, self._evicted, self._requests.end
        )
        self._liveness = ServerLiveness()
        self._gate = RequestGate(self._flows, self._requests, self._liveness)
        limit = OpeningLimit(self._warmup_excess, self._warmup_slack, started)
        self._admission = OpeningAdmission(limit, self._kernel.counters)
        sockets = self._kernel.plugin(DatagramSockets)
        self._peer_socket = sockets.open(self._address, self._on_peer)
        self._server_socket = sockets.open(self._outbound_address, self._on_server)
        self._reporter = LoadReporter(
            self._kernel,
            self._peer_socket,
            self._meter,
            self._flows,
            self._requests,
            self._liveness,
        )
        self._notifier = EntryNotifier(self._peer_socket, self._address[1], self._terms)
        self._passer = PacketPasser(
            self._peer_socket,
            self._codec,
            self._flows,
            self._watch,
            (self._address[1], self._caller_port),
            self._kernel.counters,
        )
        self._peer_socket.start()
        self._server_socket.start()
        self._kernel.supervise(self._expire, "flow expiry")
        self._kernel.supervise(self._requests.run, "waiting requests")

    async def drain(self) -> None:
        """Keep passing packets while the backend server or callers still send them."""
        self._requests.release_all()
        end = now() + LINGER_SECONDS
        while now() < end:
            if now() - self._last_packet > QUIET_SECONDS:
                return
            await asyncio.sleep(QUIET_SECONDS / 4)

    def status(self) -> dict[str, object]:
        """Return the load of the backend server, and its limit while it warms up."""
        return {
            "service": self._service_name,
            "flows": len(self._flows),
            "in_work": self._meter.in_progress,
            "mean_work": round(self._meter.mean(now()), 2),
            **self._requests.status(),
            "responsive": self._liveness.responsive,
            "subscribers": self._reporter.subscribers,
            "entries": len(self._entries),
            **self._admission.status(now()),
        }

    def _on_peer(self, data: bytes, sender: Address) -> None:
        match decode(data):
            case Forward() as forward:
                self._on_forward(forward)
            case Subscribe(lease, period):
                self._reporter.subscribe(sender, lease, period)
            case Terms() as terms:
                self._terms.record(terms, now())
                self._admission.learn(terms.server, now())
                self._requests.work.set_slots(terms.server.slots, now())
                self._reporter.send_work(sender)
            case Announce() as announce:
                self._entries.record(sender[0], announce, now())
                readers = self._entries.readers_for(announce.failure_domain)
                self._peer_socket.send((encode_small(readers),), sender)
            case _:
                self._malformed.value += 1

    def _on_forward(self, forward: Forward) -> None:
        packet = self._codec.decode(bytes(forward.payload))
        if packet is None:
            self._malformed.value += 1
            return
        self._last_packet = now()
        if packet.opens:
            self._on_opening(forward, packet)
            return
        flow = self._flows.get(packet.flow_from_caller)
        if flow is None or not flow.accepted:
            was_passed_on = flow is not None and flow.passed_on
            if forward.service not in (ANY_SERVICE, self._service):
                forward.unsure |= not self._flows.is_complete(now())
                self._passer.pass_on(forward, packet, "other-service")
                return
            if was_passed_on or not self._liveness.responsive:
                # A silent backend server does not return a packet of a flow that it
                # does not hold, so the search for the flow would end at this host.
                forward.skipped = True
                self._passer.pass_on(forward, packet, "silent")
                return
        self._deliver(forward, packet)

    def _on_opening(self, forward: Forward, packet: Packet) -> None:
        self._openings.value += 1
        if forward.service != self._service:
            # The entry chose this address for another service. The address now belongs
            # to a backend server of the service of this agent.
            self._passer.pass_on(forward, packet, "other-service")
            return
        self._notifier.query_terms(forward.origin, packet.destination)
        key = packet.flow_from_caller
        flow = self._flows.get(key)
        if flow is not None and not packet.attempt:
            # The caller uses the port for a new flow.
            if flow.ended:
                self._flows.remove(key, now())
                flow = None
            elif self._requests.holds(key):
                # Packets of the earlier flow must not follow the opening.
                self._flows.record_answer(key, flow, now(), answered=False)
        has_next = has_next_host(forward)
        match self._admission.judge(packet, flow, has_next, now()):
            case Deliver():
                self._deliver_opening(forward, packet, known=flow is not None)
            case PassOn() | Drop():
                self._passer.pass_on(forward, packet, WARMING_UP)
            case Refuse():
                self._passer.reset(packet)

    def _deliver_opening(self, forward: Forward, packet: Packet, known: bool) -> None:
        self._deliver(forward, packet)
        if not self._liveness.responsive:
            # The packet goes to another host, because the backend server is silent. It
            # was delivered to the backend server as well, to find out whether the
            # server answers again.
            self._passer.pass_on(forward, packet, "silent")
        elif not known:
            asyncio.get_running_loop().call_later(
                ANSWER_SECONDS, self._check_answer, forward, packet
            )

    def _check_answer(self, forward: Forward, packet: Packet) -> None:
        """Pass an opening packet on if the backend server has not answered it."""
        flow = self._flows.get(packet.flow_from_caller)
        if flow is None or flow.accepted or flow.passed_on:
            return
        self._liveness.record_unanswered(now(), flow.last_packet)
        self._passer.pass_on(forward, packet, "no-answer")

    def _deliver(self, forward: Forward, packet: Packet) -> None:
        time = now()
        flow = self._flows.get_or_create(packet.flow_from_caller, forward.origin, time)
        if forward.unconfirmed:
            self._watch.on_search(forward, packet, flow)
        flow.origin = forward.origin
        flow.opening_delivered = flow.opening_delivered or packet.opens
        flow.last_packet = flow.last_from_caller = time
        if forward.unconfirmed:
            self._notifier.confirm_search(packet, flow)
        flow.caller_ended = flow.caller_ended or packet.ends or packet.resets
        flow.server_ended = flow.server_ended or packet.resets
        if self._gate.has_to_wait(forward, packet, flow, time):
            # The backend server cannot confirm the flow while its packets wait, so the
            # entry would go on to query other hosts.
            flow.held = True
            self._notifier.confirm(packet.flow_from_caller, flow)
        else:
            self._send_to_server(forward, packet)
        self._flows.end_if_closed(packet.flow_from_caller, flow, time)

    def _send_to_server(self, forward: Forward, packet: Packet) -> None:
        self._delivered.value += 1
        parts = self._codec.encode(packet, self._sent.store(forward))
        self._server_socket.send(parts, self._backend)

    def _give_up_request(self, key: bytes) -> None:
        """End a request that waited until its caller no longer waits for it."""
        flow = self._flows.get(key)
        if flow is not None:
            self._flows.record_answer(key, flow, now(), answered=False)

    def _on_server(self, data: bytes, sender: Address) -> None:
        packet = self._codec.decode(data)
        if packet is None:
            self._malformed.value += 1
            return
        self._last_packet = time = now()
        self._liveness.record_answer(time)
        if packet.returned:
            self._on_returned(packet)
            return
        key = packet.flow_to_caller
        flow = self._flows.get(key)
        if flow is None:
            self._watch.on_server_packet(key, packet)
        else:
            self._record_answer(key, flow, packet, time)
        self._to_callers.value += 1
        caller = (address_of(packet.destination), self._caller_port)
        self._peer_socket.send((data,), caller)
        if flow is not None:
            self._flows.end_if_closed(key, flow, time)

    def _record_answer(
        self, key: bytes, flow: HostFlow, packet: Packet, time: float
    ) -> None:
        flow.last_packet = flow.last_from_server = time
        if not flow.accepted:
            flow.accepted = True
            self._watch.on_accepted(key, flow, packet)
        if packet.accepts:
            flow.server_sequence = packet.sequence
        if packet.length and not self._requests.holds(key):
            # Data for a request that waits here would be a copy of an earlier answer.
            seconds = self._flows.record_answer(key, flow, time)
            if seconds is not None:
                self._answer_time.observe(seconds)
        if packet.resets:
            self._flows.record_answer(key, flow, time, answered=False)
        flow.server_ended = flow.server_ended or packet.ends or packet.resets
        if packet.accepts or packet.resets:
            # A packet that accepts or resets a flow does not show that the backend
            # server holds the flow: the server also resets a flow that opened at
            # another host.
            return
        if not flow.held:
            flow.held = True
            self._watch.on_server_packet(key, packet)
        self._notifier.confirm(key, flow)

    def _on_returned(self, packet: Packet) -> None:
        key = packet.flow_from_caller
        flow = self._flows.get(key)
        forward = self._sent.find(packet.tag)
        self._watch.on_server_return(packet, flow)
        if flow is not None and flow.held and not packet.opens:
            self._reset_lost(key, flow, packet)
            return
        if flow is not None and not flow.accepted:
            self._flows.remove(key, now())
        elif flow is not None and packet.length and not self._requests.holds(key):
            self._flows.record_answer(key, flow, now(), answered=False)
        if forward is not None:
            self._passer.pass_on(forward, packet, "refused")

    def _reset_lost(self, key: bytes, flow: HostFlow, packet: Packet) -> None:
        """Reset a flow that the backend server held and no longer holds."""
        self._watch.on_lost(key, flow)
        self._passer.reset(packet)
        self._notifier.end(key, flow)
        self._flows.remove(key, now())

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_SECONDS)
            self._flows.expire(now())

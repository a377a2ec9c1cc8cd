"""Entry front end: carries callers' datagrams to agents and the answers back."""

import asyncio
import random
from asyncio import DatagramProtocol, DatagramTransport

from msgspec import field
from opentelemetry.trace import get_tracer

from balsamspool.kernel.identity import Role
from balsamspool.kernel.lifecycle import Kernel, ProcessState
from balsamspool.kernel.registry import Plugin, register
from balsamspool.kernel.settings import Name, Section
from balsamspool.plugins.configuration import Configuration, ConfigurationPlugin
from balsamspool.plugins.configuration.checker import split_address
from balsamspool.plugins.forwarding._codec import EnvelopeCodec
from balsamspool.plugins.forwarding._counts import DatagramCounts
from balsamspool.plugins.forwarding._quic_header import may_open, read_connection_id
from balsamspool.plugins.forwarding.agent_signals import AgentSignals, Verdict
from balsamspool.plugins.forwarding.envelope import (
    Envelope,
    Forward,
    Probe,
    ProbeReply,
    Return,
    TracedForward,
)
from balsamspool.plugins.forwarding.probe import HostProbes
from balsamspool.plugins.forwarding.service_sockets import ServiceSockets
from balsamspool.plugins.membership import MembershipPlugin, Signal
from balsamspool.plugins.membership.signals import SignalState
from balsamspool.plugins.routing import (
    Decision,
    Deliver,
    Drop,
    FlowKey,
    Packet,
    RoutingPlugin,
)

Address = tuple[str, int]

# Largest UDP payload over IPv4, less the octets that `TracedForward` adds.
MAX_PAYLOAD_BYTES = 65_507 - 64

# Time between probes of hosts that are held as leaving. A restarted host gets flows
# again after about this time. A probe takes 64 octets with IP and UDP headers, so 640
# entries send 8 KB/s to a host; with 2 s they would send 20 KB/s.
HELD_PROBE_SECONDS = 5.0
# Largest number of leaving hosts that are probed in one round, so that an entry sends
# 0.8 KB/s of these probes at most.
MAX_HELD_PROBES = 64
_HELD_PROBE_JITTER = 0.3


class EntrySettings(Section, frozen=True):
    """Settings of the entry front end.

    Attributes:
        listen: Local address as ``IPv4:port`` by service, for services whose local
            address differs from their public address.
        linger_seconds: Time in seconds for which a stopping entry still carries
            datagrams, because the fabric learns only after a delay that the entry is
            leaving.
    """

    listen: dict[Name, str] = field(default_factory=dict)
    linger_seconds: float = 3.0


@register(
    "forwarding",
    roles=[Role.ENTRY],
    requires=["configuration", "membership", "routing"],
)
class EntryPlugin(Plugin):
    """Carries datagrams between callers and agents without state for any flow.

    Args:
        kernel: Kernel that runs the plug-in.
    """

    settings_type = EntrySettings

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._settings: EntrySettings = kernel.settings.section("forwarding")
        self._codec = EnvelopeCodec(kernel.keyring)
        self._routing = kernel.plugin(RoutingPlugin)
        self._membership = kernel.plugin(MembershipPlugin)
        self._agent_transport: DatagramTransport | None = None
        self._sockets = ServiceSockets(kernel, self.caller_datagram, self.send_failed)
        self._probes = HostProbes()
        self._signals = AgentSignals()
        self._listed: frozenset[Address] = frozenset()
        self._tracer = get_tracer("balsamspool")
        self._forwarded = DatagramCounts(
            "balsamspool_forwarding_datagrams",
            "Datagrams passed on",
            "direction",
            kernel.metrics,
        )
        self._dropped = DatagramCounts(
            "balsamspool_forwarding_dropped_datagrams",
            "Datagrams dropped",
            "reason",
            kernel.metrics,
        )

        self._ignored = DatagramCounts(
            "balsamspool_forwarding_ignored_signals",
            "Signals on return datagrams that were not noted",
            "reason",
            kernel.metrics,
        )

    async def start(self) -> None:
        """Open the socket towards the agents, then those of the services."""
        identity = self._kernel.identity
        loop = asyncio.get_running_loop()
        self._agent_transport, _ = await loop.create_datagram_endpoint(
            lambda: _AgentProtocol(self), (identity.address, identity.data_port)
        )
        self._membership.subscribe(self._on_list)
        self._on_list()
        configuration = self._kernel.plugin(ConfigurationPlugin)
        configuration.subscribe(self._on_configuration)
        self._kernel.spawn(self._probe_held_hosts(), "probe hosts held as leaving")

    async def drain(self) -> None:
        """Carry datagrams until the fabric has learnt that this entry is leaving."""
        await asyncio.sleep(self._settings.linger_seconds)

    async def stop(self) -> None:
        """Close all sockets."""
        self._sockets.close()
        if self._agent_transport is not None:
            self._agent_transport.close()

    def status(self) -> dict[str, object]:
        """Return the service addresses and the agents that do not answer."""
        return {
            "addresses": self._sockets.status(),
            "silent_agents": sorted(f"{a}:{p}" for a, p in self._probes.avoided()),
        }

    def caller_datagram(self, service: int, datagram: bytes, caller: Address) -> None:
        """Pass a caller's datagram on to the agent of its flow.

        Args:
            service: Number of the service at whose address the datagram arrived.
            datagram: The datagram.
            caller: Address of the caller.
        """
        connection_id = read_connection_id(datagram)
        if connection_id is None:
            self._dropped.add("not-quic")
            return
        if len(datagram) > MAX_PAYLOAD_BYTES:
            self._dropped.add("too-long")
            return
        # Class patterns with attribute reads take a third of the time of class patterns
        # that bind each field.
        match self._route(service, connection_id, datagram, caller):
            case Deliver() as host:
                agent = (host.address, host.data_port)
                forward = Forward(service, caller[0], caller[1], 0, datagram)
                if host.opens:
                    self._forward_opening(forward, agent)
                else:
                    self._send_to_agent(forward, agent)
                self._forwarded.add("to-agent")
            case Drop(reason):
                self._dropped.add(reason.value)

    def agent_datagram(self, datagram: bytes, sender: Address) -> None:
        """Handle a datagram from an agent.

        Args:
            datagram: The datagram.
            sender: Address of the sender.
        """
        match self._codec.open(datagram):
            case Return() as answer:
                self._record_signal(sender, answer)
                caller = (answer.caller_address, answer.caller_port)
                self._send_to_caller(answer.service, answer.payload, caller)
            case Probe(sequence):
                self._send_to_agent(ProbeReply(sequence, self._signal()), sender)
            case ProbeReply(sequence, signal, nonce):
                if not self._probes.record_reply(sender, sequence):
                    self._dropped.add("unexpected-reply")
                elif sender in self._listed and self._signals.record_reply_signal(
                    sender, nonce, signal
                ):
                    self._membership.record_signal(*sender, signal)
            case Forward() | TracedForward():
                self._dropped.add("unexpected-kind")
            case None:
                self._dropped.add("not-authentic")

    def send_failed(self, error: Exception) -> None:
        """Count a datagram that the operating system refused to send."""
        self._dropped.add("unsendable")

    def _route(
        self, service: int, connection_id: bytes, datagram: bytes, caller: Address
    ) -> Decision:
        # Nearly all packets carry a token and are routed without a flow key.
        decision = self._routing.route_token(service, connection_id)
        if decision is not None:
            return decision
        flow = FlowKey(service, caller[0], caller[1])
        packet = Packet(flow, connection_id, may_open(datagram))
        return self._routing.route(packet, self._probes.avoided())

    def _forward_opening(self, forward: Forward, agent: Address) -> None:
        with self._tracer.start_as_current_span("entry.forward") as span:
            context = span.get_span_context()
            span.set_attribute("balsamspool.service", forward.service)
            if context.is_valid and context.trace_flags.sampled:
                trace_id = context.trace_id.to_bytes(16, "big")
                span_id = context.span_id.to_bytes(8, "big")
                self._send_to_agent(TracedForward(forward, trace_id, span_id), agent)
            else:
                self._send_to_agent(forward, agent)
        probe = self._probes.record_opening(agent)
        if probe is not None:
            self._send_to_agent(probe, agent)

    def _record_signal(self, agent: Address, answer: Return) -> None:
        # A replayed datagram may come from any address, so signals are recorded only
        # for agents in the instance list.
        if agent not in self._listed:
            return
        match self._signals.record_return_signal(agent, answer.nonce, answer.signal):
            case Verdict.NEW:
                self._probes.record_return(agent)
                self._membership.record_signal(*agent, answer.signal)
            case Verdict.REPEATED:
                pass
            case Verdict.OLD:
                self._ignored.add(Verdict.OLD.value)
            case Verdict.UNPROVEN:
                self._ignored.add(Verdict.UNPROVEN.value)
                probe = self._probes.record_opening(agent)
                if probe is not None:
                    self._send_to_agent(probe, agent)

    async def _probe_held_hosts(self) -> None:
        while True:
            jitter = random.uniform(1 - _HELD_PROBE_JITTER, 1 + _HELD_PROBE_JITTER)
            await asyncio.sleep(HELD_PROBE_SECONDS * jitter)
            held = [host.endpoint for host in self._membership.held_as_leaving()]
            # The hosts to probe are chosen at random, so that silent hosts do not keep
            # other hosts from being probed.
            for host in random.sample(held, min(len(held), MAX_HELD_PROBES)):
                self._send_to_agent(self._probes.make_probe(host), host)

    def _signal(self) -> Signal:
        leaving = self._kernel.state is not ProcessState.ACCEPTING
        state = SignalState.LEAVING if leaving else SignalState.ACCEPTING
        return Signal(state, 0)

    def _send_to_agent(self, envelope: Envelope, agent: Address) -> None:
        if self._agent_transport is not None:
            self._send(self._agent_transport, self._codec.seal(envelope), agent)

    def _send_to_caller(self, service: int, payload: bytes, caller: Address) -> None:
        transport = self._sockets.transport(service)
        if transport is None:
            self._dropped.add("unknown-service")
            return
        if self._send(transport, payload, caller):
            self._forwarded.add("to-caller")

    def _send(self, transport: DatagramTransport, data: bytes, to: Address) -> bool:
        try:
            transport.sendto(data, to)
        except (OSError, ValueError) as error:
            # Sending fails for some addresses, such as those with port 0.
            self.send_failed(error)
            return False
        return True

    def _on_list(self) -> None:
        self._listed = frozenset(
            (i.address, i.data_port) for i in self._membership.instances
        )
        self._signals.keep(self._listed)

    def _on_configuration(self, configuration: Configuration) -> None:
        wanted: dict[int, Address] = {}
        for name, service in configuration.document.services.items():
            local = self._settings.listen.get(name, service.address)
            wanted[service.number] = split_address(local)
        self._sockets.update(wanted)


class _AgentProtocol(DatagramProtocol):
    """Receives datagrams of agents."""

    __slots__ = ("_entry",)

    def __init__(self, entry: EntryPlugin) -> None:
        self._entry = entry

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Pass on a datagram of an agent."""
        self._entry.agent_datagram(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Count a datagram that could not be sent."""
        self._entry.send_failed(exc)

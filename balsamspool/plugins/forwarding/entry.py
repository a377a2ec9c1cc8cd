"""Entry front end: callers' datagrams to agents and back."""

import asyncio
import logging
from asyncio import DatagramProtocol, DatagramTransport

from msgspec import field
from prometheus_client import Counter

from balsamspool.kernel.identity import Role
from balsamspool.kernel.lifecycle import Kernel
from balsamspool.kernel.registry import Plugin, register
from balsamspool.kernel.settings import Name, Section
from balsamspool.plugins.configuration import Configuration, ConfigurationPlugin
from balsamspool.plugins.configuration.checker import split_address
from balsamspool.plugins.forwarding._codec import EnvelopeCodec
from balsamspool.plugins.forwarding._quic_header import read_packet
from balsamspool.plugins.forwarding.envelope import (
    Forward,
    Probe,
    ProbeReply,
    Return,
    TracedForward,
)
from balsamspool.plugins.forwarding.events import ADDRESS_CLOSED, ADDRESS_OPENED
from balsamspool.plugins.membership import MembershipPlugin, Signal
from balsamspool.plugins.membership.signals import SignalState
from balsamspool.plugins.routing import Deliver, Drop, FlowKey, RoutingPlugin

_logger = logging.getLogger(__name__)

ServiceAddress = tuple[str, int]


class EntrySettings(Section, frozen=True):
    """Settings of the entry front end.

    Attributes:
        listen: Local address as ``IPv4:port`` by service, where it differs from the
            public address of the service.
        linger_seconds: Time that a stopping entry still carries datagrams in seconds,
            because the fabric learns of it late.
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
        self._agents: DatagramTransport | None = None
        self._services: dict[int, DatagramTransport] = {}
        self._addresses: dict[int, ServiceAddress] = {}
        self._forwarded = Counter(
            "balsamspool_forwarding_datagrams",
            "Datagrams passed on",
            ["direction"],
            registry=kernel.metrics,
        )
        self._dropped = Counter(
            "balsamspool_forwarding_dropped_datagrams",
            "Datagrams dropped",
            ["reason"],
            registry=kernel.metrics,
        )

    async def start(self) -> None:
        """Open the socket towards the agents, then those of the services."""
        identity = self._kernel.identity
        loop = asyncio.get_running_loop()
        self._agents, _ = await loop.create_datagram_endpoint(
            lambda: _AgentSide(self), (identity.address, identity.data_port)
        )
        configuration = self._kernel.plugin(ConfigurationPlugin)
        configuration.subscribe(self._on_configuration)

    async def drain(self) -> None:
        """Carry datagrams until the fabric has learnt that this entry leaves."""
        await asyncio.sleep(self._settings.linger_seconds)

    async def stop(self) -> None:
        """Close all sockets."""
        for transport in self._services.values():
            transport.close()
        if self._agents is not None:
            self._agents.close()

    def status(self) -> dict[str, object]:
        """Return the open service addresses."""
        return {
            "addresses": {str(n): f"{a}:{p}" for n, (a, p) in self._addresses.items()}
        }

    def caller_datagram(
        self, service: int, datagram: bytes, caller: ServiceAddress
    ) -> None:
        """Pass a caller's datagram on to the agent of its flow.

        Args:
            service: Number of the service at whose address it arrived.
            datagram: The datagram.
            caller: Address of the caller.
        """
        packet = read_packet(FlowKey(service, *caller), datagram)
        if packet is None:
            self._dropped.labels("not-quic").inc()
            return
        match self._routing.route(packet):
            case Deliver(address, data_port):
                forward = Forward(service, *caller, 0, datagram)
                self._send_to_agent(self._codec.seal(forward), (address, data_port))
                self._forwarded.labels("to-agent").inc()
            case Drop(reason):
                self._dropped.labels(reason.value).inc()

    def agent_datagram(self, datagram: bytes, sender: ServiceAddress) -> None:
        """Handle a datagram from an agent.

        Args:
            datagram: The datagram.
            sender: Address of the sender.
        """
        match self._codec.open(datagram):
            case Return(service, address, port, signal, payload):
                self._membership.note(*sender, signal)
                self._send_to_caller(service, payload, (address, port))
            case Probe(sequence):
                reply = ProbeReply(sequence, self._signal())
                self._send_to_agent(self._codec.seal(reply), sender)
            case ProbeReply(_, signal):
                self._membership.note(*sender, signal)
            case Forward() | TracedForward():
                self._dropped.labels("unexpected-kind").inc()
            case None:
                self._dropped.labels("not-authentic").inc()

    def _signal(self) -> Signal:
        leaving = self._kernel.state.value != "accepting"
        state = SignalState.LEAVING if leaving else SignalState.ACCEPTING
        return Signal(state, 0)

    def _send_to_agent(self, datagram: bytes, agent: ServiceAddress) -> None:
        if self._agents is not None:
            self._agents.sendto(datagram, agent)

    def _send_to_caller(
        self, service: int, payload: bytes, caller: ServiceAddress
    ) -> None:
        transport = self._services.get(service)
        if transport is None:
            self._dropped.labels("unknown-service").inc()
            return
        transport.sendto(payload, caller)
        self._forwarded.labels("to-caller").inc()

    def _on_configuration(self, configuration: Configuration) -> None:
        wanted: dict[int, ServiceAddress] = {}
        for name, service in configuration.document.services.items():
            local = self._settings.listen.get(name, service.address)
            wanted[service.number] = split_address(local)
        for number in list(self._services):
            if wanted.get(number) != self._addresses[number]:
                self._close_service(number)
        for number, address in wanted.items():
            if number not in self._services and number not in self._addresses:
                self._addresses[number] = address
                work = self._open_service(number, address)
                self._kernel.spawn(work, f"open service {number}")

    async def _open_service(self, number: int, address: ServiceAddress) -> None:
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _CallerSide(self, number), address
        )
        self._services[number] = transport
        ADDRESS_OPENED.log(_logger, service=number, address=address)

    def _close_service(self, number: int) -> None:
        self._services.pop(number).close()
        address = self._addresses.pop(number)
        ADDRESS_CLOSED.log(_logger, service=number, address=address)


class _CallerSide(DatagramProtocol):
    """Receives datagrams of callers at one service address."""

    __slots__ = ("_entry", "_service")

    def __init__(self, entry: EntryPlugin, service: int) -> None:
        self._entry = entry
        self._service = service

    def datagram_received(self, data: bytes, addr: ServiceAddress) -> None:
        """Pass on a datagram of a caller."""
        self._entry.caller_datagram(self._service, data, addr)


class _AgentSide(DatagramProtocol):
    """Receives datagrams of agents."""

    __slots__ = ("_entry",)

    def __init__(self, entry: EntryPlugin) -> None:
        self._entry = entry

    def datagram_received(self, data: bytes, addr: ServiceAddress) -> None:
        """Pass on a datagram of an agent."""
        self._entry.agent_datagram(data, addr)

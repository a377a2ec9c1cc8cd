"""Agent side of the datagrams between entries and agents."""

import asyncio
import logging
from asyncio import DatagramProtocol, DatagramTransport
from collections.abc import Callable

from prometheus_client import Counter

from balsamspool.kernel.identity import Role
from balsamspool.kernel.lifecycle import Kernel, ProcessState
from balsamspool.kernel.registry import Plugin, register
from balsamspool.plugins.forwarding._codec import EnvelopeCodec
from balsamspool.plugins.forwarding.envelope import (
    Forward,
    Probe,
    ProbeReply,
    Return,
    TracedForward,
)
from balsamspool.plugins.membership import MembershipPlugin, Signal
from balsamspool.plugins.membership.signals import SignalState

_logger = logging.getLogger(__name__)

Address = tuple[str, int]
OnForward = Callable[[Forward, Address, TracedForward | None], None]


@register(
    "return-path",
    roles=[Role.AGENT],
    requires=["configuration", "membership"],
)
class ReturnPathPlugin(Plugin):
    """Receives forwarded datagrams and sends return datagrams through live entries.

    Args:
        kernel: Kernel that runs the plug-in.
    """

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self._codec = EnvelopeCodec(kernel.keyring)
        self._membership = kernel.plugin(MembershipPlugin)
        self._transport: DatagramTransport | None = None
        self._on_forward: OnForward | None = None
        self._dropped = Counter(
            "balsamspool_forwarding_dropped_datagrams",
            "Datagrams dropped",
            ["reason"],
            registry=kernel.metrics,
        )

    async def start(self) -> None:
        """Open the socket towards entries and other agents."""
        identity = self._kernel.identity
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _EntrySide(self), (identity.address, identity.data_port)
        )

    async def stop(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def on_forward(self, callback: OnForward) -> None:
        """Set the function that takes the callers' datagrams."""
        self._on_forward = callback

    def send(
        self, service: int, caller: Address, payload: bytes, entry: Address
    ) -> None:
        """Send a datagram to a caller through an entry.

        Args:
            service: Number of the service from whose address it is sent.
            caller: Address of the caller.
            payload: The datagram.
            entry: Address of the entry.
        """
        self._send(Return(service, *caller, self._signal(), payload), entry)

    def hand_over(self, forward: Forward, peer: Address) -> None:
        """Pass a caller's datagram on to another agent.

        Args:
            forward: The datagram as it was received.
            peer: Address of the other agent.
        """
        moved = Forward(
            forward.service,
            forward.caller_address,
            forward.caller_port,
            forward.hops + 1,
            forward.payload,
        )
        self._send(moved, peer)

    def entry_datagram(self, datagram: bytes, sender: Address) -> None:
        """Handle a datagram from an entry or another agent.

        Args:
            datagram: The datagram.
            sender: Address of the sender.
        """
        match self._codec.open(datagram):
            case Forward() as forward:
                self._deliver(forward, sender, None)
            case TracedForward(forward) as traced:
                self._deliver(forward, sender, traced)
            case Probe(sequence):
                self._send(ProbeReply(sequence, self._signal()), sender)
            case ProbeReply(_, signal):
                self._membership.note(*sender, signal)
            case Return():
                self._dropped.labels("unexpected-kind").inc()
            case None:
                self._dropped.labels("not-authentic").inc()

    def _deliver(
        self, forward: Forward, sender: Address, traced: TracedForward | None
    ) -> None:
        if self._on_forward is not None:
            self._on_forward(forward, sender, traced)

    def _signal(self) -> Signal:
        leaving = self._kernel.state is not ProcessState.ACCEPTING
        state = SignalState.LEAVING if leaving else SignalState.ACCEPTING
        return Signal(state, 0)

    def _send(self, envelope: Return | Forward | ProbeReply, to: Address) -> None:
        if self._transport is not None:
            self._transport.sendto(self._codec.seal(envelope), to)


class _EntrySide(DatagramProtocol):
    """Receives datagrams of entries and other agents."""

    __slots__ = ("_path",)

    def __init__(self, path: ReturnPathPlugin) -> None:
        self._path = path

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Pass on a datagram."""
        self._path.entry_datagram(data, addr)

"""Agent side of the datagrams between entries and agents."""

import asyncio
import random
from asyncio import DatagramProtocol, DatagramTransport
from collections.abc import Callable

from balsamspool.kernel.identity import Role
from balsamspool.kernel.lifecycle import Kernel, ProcessState
from balsamspool.kernel.registry import Plugin, register
from balsamspool.plugins.forwarding._codec import EnvelopeCodec
from balsamspool.plugins.forwarding._counts import DatagramCounts
from balsamspool.plugins.forwarding.envelope import (
    Envelope,
    Forward,
    Probe,
    ProbeReply,
    Return,
    TracedForward,
)
from balsamspool.plugins.forwarding.probe import (
    PROBE_SECONDS,
    EntryProbes,
    EntryRecord,
    ReturnRoute,
)
from balsamspool.plugins.membership import MembershipPlugin, Signal
from balsamspool.plugins.membership.signals import SignalState
from balsamspool.plugins.routing.flow import FlowKey
from balsamspool.plugins.routing.handover import MAX_HOPS

Address = tuple[str, int]
OnForward = Callable[[Forward, Address, TracedForward | None], None]

_PROBE_JITTER = 0.2


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
        self._signal: Callable[[], Signal] = self._process_signal
        identity = kernel.identity
        self._probes = EntryProbes(identity.instance, identity.failure_domain)
        self._probers: dict[Address, asyncio.Task[None]] = {}
        self._dropped = DatagramCounts(
            "balsamspool_forwarding_dropped_datagrams",
            "Datagrams dropped",
            "reason",
            kernel.metrics,
        )

    async def start(self) -> None:
        """Open the socket towards entries and other agents."""
        identity = self._kernel.identity
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _EntryProtocol(self), (identity.address, identity.data_port)
        )
        self._membership.subscribe(self._choose_entries)
        self._choose_entries()

    async def stop(self) -> None:
        """Close the socket and stop probing."""
        for task in self._probers.values():
            task.cancel()
        if self._transport is not None:
            self._transport.close()

    def status(self) -> dict[str, object]:
        """Return the unanswered probes of the chosen entries."""
        return {"entries": self._probes.status()}

    def set_signal_source(self, source: Callable[[], Signal]) -> None:
        """Set the function that returns the state and load of this host."""
        self._signal = source

    def open_route(self, flow: FlowKey) -> ReturnRoute:
        """Return a new route for the answers of one flow.

        Args:
            flow: Key of the flow.

        Returns:
            The route, which the front end keeps as long as the flow.
        """
        return ReturnRoute(self._probes, flow.encode())

    def on_forward(self, callback: OnForward) -> None:
        """Set the function that receives the callers' datagrams."""
        self._on_forward = callback

    def send(
        self, service: int, caller: Address, payload: bytes, entry: Address
    ) -> None:
        """Send a datagram to a caller through an entry.

        Args:
            service: Number of the service from whose address the datagram is sent.
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
        handed_over = Forward(
            forward.service,
            forward.caller_address,
            forward.caller_port,
            forward.hops + 1,
            forward.payload,
        )
        self._send(handed_over, peer)

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
            case ProbeReply(sequence, signal):
                if self._probes.record_reply(sender, sequence, signal):
                    self._membership.record_signal(*sender, signal)
                else:
                    self._dropped.add("unexpected-reply")
            case Return():
                self._dropped.add("unexpected-kind")
            case None:
                self._dropped.add("not-authentic")

    def send_failed(self, error: Exception) -> None:
        """Count a datagram that the operating system refused to send."""
        self._dropped.add("unsendable")

    def _deliver(
        self, forward: Forward, sender: Address, traced: TracedForward | None
    ) -> None:
        if forward.hops > MAX_HOPS:
            self._dropped.add("hop-limit")
        elif self._on_forward is not None:
            self._on_forward(forward, sender, traced)

    def _choose_entries(self) -> None:
        records = [
            EntryRecord(
                entry.instance,
                (entry.address, entry.data_port),
                entry.failure_domain,
            )
            for entry in self._membership.entries()
        ]
        self._probes.choose(records)
        chosen = self._probes.addresses
        for entry in set(self._probers).difference(chosen):
            self._probers.pop(entry).cancel()
        for entry in chosen:
            if entry not in self._probers:
                probing = self._probe_entry(entry)
                self._probers[entry] = self._kernel.spawn(probing, f"probe {entry}")

    async def _probe_entry(self, entry: Address) -> None:
        while (probe := self._probes.next_probe(entry)) is not None:
            self._send(probe, entry)
            jitter = random.uniform(1 - _PROBE_JITTER, 1 + _PROBE_JITTER)
            await asyncio.sleep(PROBE_SECONDS * jitter)

    def _process_signal(self) -> Signal:
        leaving = self._kernel.state is not ProcessState.ACCEPTING
        return Signal(SignalState.LEAVING if leaving else SignalState.ACCEPTING, 0)

    def _send(self, envelope: Envelope, to: Address) -> None:
        if self._transport is None:
            return
        try:
            self._transport.sendto(self._codec.seal(envelope), to)
        except (OSError, ValueError) as error:
            # Sending fails for some addresses, such as those with port 0.
            self.send_failed(error)


class _EntryProtocol(DatagramProtocol):
    """Receives datagrams of entries and other agents."""

    __slots__ = ("_path",)

    def __init__(self, path: ReturnPathPlugin) -> None:
        self._path = path

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Pass on a datagram."""
        self._path.entry_datagram(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Count a datagram that could not be sent."""
        self._path.send_failed(exc)

"""Datagrams between entries and agents."""

from dataclasses import dataclass, field

from balsamspool.plugins.membership import Signal


@dataclass(slots=True)
class Forward:
    """A caller's datagram on its way to an agent.

    Classes made for every datagram are not frozen: the constructor of a frozen class
    with 5 fields takes 2.5 µs, that of a plain one less than half.

    Attributes:
        service: Number of the service at whose address it arrived.
        caller_address: IPv4 address of the caller.
        caller_port: UDP port of the caller.
        hops: Number of agents that handed it over.
        payload: The caller's datagram.
    """

    service: int
    caller_address: str
    caller_port: int
    hops: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class TracedForward:
    """A caller's datagram that opens a flow, with the trace that began at the entry.

    Attributes:
        forward: The datagram.
        trace_id: Trace ID of 16 bytes.
        span_id: Span ID of 8 bytes.
    """

    forward: Forward
    trace_id: bytes
    span_id: bytes


@dataclass(slots=True)
class Return:
    """An agent's datagram on its way to a caller.

    Attributes:
        service: Number of the service from whose address it is sent.
        caller_address: IPv4 address of the caller.
        caller_port: UDP port of the caller.
        signal: What the agent says of itself.
        payload: The datagram for the caller.
        stamp: Nonce under which it was received; later ones of a process are larger.
    """

    service: int
    caller_address: str
    caller_port: int
    signal: Signal
    payload: bytes
    stamp: bytes = field(default=b"", compare=False)


@dataclass(frozen=True, slots=True)
class Probe:
    """Asks for a sign of life.

    Attributes:
        sequence: Number that the reply repeats.
    """

    sequence: int


@dataclass(frozen=True, slots=True)
class ProbeReply:
    """Answers a probe.

    Attributes:
        sequence: Number of the probe.
        signal: What the instance says of itself.
        stamp: Nonce under which it was received; later ones of a process are larger.
    """

    sequence: int
    signal: Signal
    stamp: bytes = field(default=b"", compare=False)


Envelope = Forward | TracedForward | Return | Probe | ProbeReply

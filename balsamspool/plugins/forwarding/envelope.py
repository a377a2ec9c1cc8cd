"""Datagrams between entries and agents."""

from dataclasses import dataclass, field

from balsamspool.plugins.membership import Signal


@dataclass(slots=True)
class Forward:
    """A caller's datagram on its way to an agent.

    Classes made for every datagram are not frozen: the constructor of a frozen class
    with 5 fields takes 2.5 µs, that of a plain class less than half of that.

    Attributes:
        service: Number of the service at whose address the datagram arrived.
        caller_address: IPv4 address of the caller.
        caller_port: UDP port of the caller.
        hops: Number of agents that handed the datagram over.
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
        service: Number of the service from whose address the datagram is sent.
        caller_address: IPv4 address of the caller.
        caller_port: UDP port of the caller.
        signal: State and load of the agent.
        payload: The datagram for the caller.
        nonce: Nonce of the received datagram. A process sends increasing nonces.
    """

    service: int
    caller_address: str
    caller_port: int
    signal: Signal
    payload: bytes
    nonce: bytes = field(default=b"", compare=False)


@dataclass(frozen=True, slots=True)
class Probe:
    """Requests a reply, which shows that the instance is alive.

    Attributes:
        sequence: Number that the reply repeats.
    """

    sequence: int


@dataclass(frozen=True, slots=True)
class ProbeReply:
    """Answers a probe.

    Attributes:
        sequence: Number of the probe.
        signal: State and load of the instance.
        nonce: Nonce of the received datagram. A process sends increasing nonces.
    """

    sequence: int
    signal: Signal
    nonce: bytes = field(default=b"", compare=False)


Envelope = Forward | TracedForward | Return | Probe | ProbeReply

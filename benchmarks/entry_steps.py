"""Measures the steps of the entry's code path in a loop, without a fabric or agents.

The figures are medians of the CPU microseconds per datagram. They vary less than the
comparison with a relay in `entry_datagrams`, because no other process takes part.
"""

import asyncio
import os
import socket
import sys
from asyncio import DatagramProtocol
from collections.abc import Callable
from statistics import median
from time import process_time
from types import SimpleNamespace

os.environ["UV_USE_IO_URING"] = "0"

import uvloop  # noqa: E402

from balsamspool.plugins.forwarding._codec import EnvelopeCodec  # noqa: E402
from balsamspool.plugins.forwarding._quic_header import read_connection_id  # noqa: E402
from balsamspool.plugins.forwarding.entry import EntryPlugin  # noqa: E402
from balsamspool.plugins.forwarding.envelope import Forward, Return  # noqa: E402
from balsamspool.plugins.membership import Signal  # noqa: E402
from balsamspool.plugins.membership.signals import SignalState  # noqa: E402
from balsamspool.plugins.routing.token import RoutingToken  # noqa: E402
from tests.forwarding_fakes import FakeKernel, instance  # noqa: E402

ROUNDS = 25
FLOWS = 1_000
CALLER = ("127.0.0.1", 6000)
AGENT = ("127.0.0.1", 4001)


class _DiscardingTransport:
    """Discards datagrams."""

    def sendto(self, data: bytes, to: tuple[str, int]) -> None:
        """Discard a datagram."""


async def _entry() -> tuple[FakeKernel, EntryPlugin]:
    kernel, transport = FakeKernel(), _DiscardingTransport()
    entry = EntryPlugin(kernel)
    entry._agent_transport = transport  # noqa: SLF001
    sockets = SimpleNamespace(transport=lambda service: transport)
    entry._sockets = sockets  # noqa: SLF001
    await kernel.routing.start()
    kernel.membership.subscribe(entry._on_list)  # noqa: SLF001
    kernel.membership.change([instance(f"h{n}", 4000 + n) for n in range(7)])
    kernel.configuration.change(portal=(1, "127.0.0.1:1"))
    return kernel, entry


def _time_step(work: Callable[[int], object]) -> float:
    """Return the median CPU microseconds of one call."""
    microseconds = []
    for _ in range(ROUNDS):
        started = process_time()
        for number in range(FLOWS):
            work(number)
        microseconds.append((process_time() - started) / FLOWS * 1e6)
    return median(microseconds)


async def measure_steps(payload: int) -> None:
    """Print the CPU microseconds of each step.

    Args:
        payload: Size of a datagram in octets.
    """
    kernel, entry = await _entry()
    tokens, codec = kernel.routing.codec, EnvelopeCodec(kernel.keyring)
    datagrams = [
        b"\x40"
        + tokens.encode(RoutingToken(*AGENT, 1, b"abc", number))
        + bytes(payload - 18)
        for number in range(FLOWS)
    ]
    ids = [read_connection_id(datagram) or b"" for datagram in datagrams]
    forwards = [Forward(1, *CALLER, 0, datagram) for datagram in datagrams]
    sealed = [codec.seal(forward) for forward in forwards]
    nonces = [envelope[-28:-16] for envelope in sealed]
    answer = Return(1, *CALLER, Signal(SignalState.ACCEPTING, 0), bytes(payload))
    answers = [codec.seal(answer) for _ in range(FLOWS)]
    # An entry rejects the signal of a datagram that it has already received, so each
    # answer is used once.
    unseen_answers = iter([codec.seal(answer) for _ in range(ROUNDS * FLOWS)])
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sink:
        sink.bind(("127.0.0.1", 0))
        target = sink.getsockname()
        loop = asyncio.get_running_loop()
        out, _ = await loop.create_datagram_endpoint(DatagramProtocol, ("127.0.0.1", 0))
        steps: dict[str, Callable[[int], object]] = {
            "header": lambda n: read_connection_id(datagrams[n]),
            "token": lambda n: kernel.routing.route_token(1, ids[n]),
            "tag": lambda n: codec._tag(1, nonces[n], sealed[n]),  # noqa: SLF001
            "seal with tag": lambda n: codec.seal(forwards[n]),
            "open with tag": lambda n: codec.open(answers[n]),
            "send": lambda n: out.sendto(sealed[n], target),
            "inward, no send": lambda n: entry.caller_datagram(1, datagrams[n], CALLER),
            "outward, no send": lambda n: entry.agent_datagram(
                next(unseen_answers), AGENT
            ),
        }
        for name, work in steps.items():
            sys.stdout.write(f"{name:18} {_time_step(work):6.2f} us a datagram\n")
        out.close()


def run_steps(payload: int) -> None:
    """Measure the steps on a uvloop event loop, which the entry uses too."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(measure_steps(payload))

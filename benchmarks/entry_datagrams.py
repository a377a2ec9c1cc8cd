"""Compares the entry with a bare datagram relay in the same run.

The entry program and the relay run as separate processes on loopback. A window limits
the datagrams in flight, so that no socket buffer overflows. The figure is the number of
datagrams that arrived per CPU second of the process.
"""

import asyncio
import math
import os
import signal
import socket
import sys
from asyncio import DatagramProtocol, DatagramTransport
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from subprocess import Popen
from time import monotonic, sleep

os.environ["UV_USE_IO_URING"] = "0"

import uvloop  # noqa: E402
from fire import Fire  # noqa: E402

from balsamspool.kernel.keyring import KeyRing, KeySet  # noqa: E402
from balsamspool.plugins.forwarding._codec import EnvelopeCodec  # noqa: E402
from balsamspool.plugins.forwarding.envelope import Return  # noqa: E402
from balsamspool.plugins.membership import Signal  # noqa: E402
from balsamspool.plugins.membership.signals import SignalState  # noqa: E402
from balsamspool.plugins.routing.token import RoutingToken, TokenCodec  # noqa: E402
from benchmarks.entry_steps import run_steps  # noqa: E402
from standins.fleet import SECRET, ServicePlan, run_fleet  # noqa: E402
from standins.ports import free_port  # noqa: E402

ROOT = Path(__file__).resolve().parent.parent
ADDRESS = "127.0.0.1"
# Maximum number of datagrams in flight.
WINDOW = 64
# Length of one slice of a measurement. The measured paths alternate in short slices, so
# that a change of the machine's speed by other jobs affects all paths equally. Such
# changes happen within seconds.
SLICE_SECONDS = 0.25
START_SECONDS = 10.0
# Time without an arrival after which all datagrams in flight count as lost. Without
# this limit, lost datagrams would block the window forever.
STALL_SECONDS = 0.2

Address = tuple[str, int]


class _Relay(DatagramProtocol):
    """Forwards each datagram to one address."""

    def __init__(self, target: Address) -> None:
        self._target = target
        self.out: DatagramTransport | None = None

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Forward a datagram."""
        if self.out is not None:
            self.out.sendto(data, self._target)


@dataclass(frozen=True, slots=True)
class Figure:
    """Result of one measurement.

    Attributes:
        sent: Datagrams sent to the process.
        arrived: Datagrams received from the process.
        cpu_seconds: CPU time that the process used.
    """

    sent: int
    arrived: int
    cpu_seconds: float

    @property
    def rate(self) -> float:
        """Datagrams that arrived per CPU second."""
        return self.arrived / self.cpu_seconds if self.cpu_seconds else 0.0

    def plus(self, other: "Figure") -> "Figure":
        """Return the sum of two measurements."""
        return Figure(
            self.sent + other.sent,
            self.arrived + other.arrived,
            self.cpu_seconds + other.cpu_seconds,
        )

    def line(self, name: str) -> str:
        """Return one line of the report."""
        return (
            f"{name:14} {self.rate:9.0f} datagrams a CPU second "
            f"({self.arrived} of {self.sent} arrived, {self.cpu_seconds:.2f} s CPU)"
        )


def cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure(
    pid: int,
    datagrams: list[bytes],
    target: Address,
    sender: socket.socket,
    sink: socket.socket,
    seconds: float,
) -> Figure:
    """Send datagrams through a process for some seconds and count those that arrive."""
    sent = arrived = lost = 0
    before, end = cpu_seconds(pid), monotonic() + seconds
    sink.settimeout(STALL_SECONDS)
    while monotonic() < end or sent > arrived + lost:
        while monotonic() < end and sent - arrived - lost < WINDOW:
            sender.sendto(datagrams[sent % len(datagrams)], target)
            sent += 1
        try:
            sink.recv(65_535)
            arrived += 1
        except TimeoutError:
            lost = sent - arrived
    return Figure(sent, arrived, cpu_seconds(pid) - before)


@contextmanager
def udp_socket() -> Iterator[socket.socket]:
    """Open a UDP socket on loopback."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as opened:
        opened.bind((ADDRESS, 0))
        yield opened


@contextmanager
def relay_process(target: Address) -> Iterator[tuple[int, Address]]:
    """Run the relay and yield its process ID and address."""
    port = free_port(socket.SOCK_DGRAM)
    arguments = [f"--port={port}", f"--target={target[1]}"]
    command = [sys.executable, "-m", "benchmarks.entry_datagrams", "relay", *arguments]
    process = Popen(command, cwd=ROOT)
    try:
        _wait_bound(port)
        yield process.pid, (ADDRESS, port)
    finally:
        process.send_signal(signal.SIGTERM)
        process.wait(timeout=5)


class Commands:
    """Measures the datagram throughput of the entry."""

    def relay(self, port: int, target: int) -> None:
        """Relay datagrams until the process is stopped."""

        async def serve() -> None:
            loop = asyncio.get_running_loop()
            relay = _Relay((ADDRESS, target))
            relay.out, _ = await loop.create_datagram_endpoint(
                DatagramProtocol, (ADDRESS, 0)
            )
            await loop.create_datagram_endpoint(lambda: relay, (ADDRESS, port))
            await asyncio.Event().wait()

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve())

    def steps(self, payload: int = 1_200) -> None:
        """Print the CPU microseconds of each step of the entry's code path.

        Args:
            payload: Size of a caller's datagram and of an answer in octets.
        """
        run_steps(payload)

    def run(self, seconds: float = 3.0, payload: int = 1_200) -> None:
        """Measure the relay and the entry in alternating slices.

        Args:
            seconds: Duration of each of the three measurements, at most 20.
            payload: Size of a caller's datagram and of an answer in octets, 18 to
                1,400.
        """
        payload = min(max(payload, 18), 1_400)
        asyncio.run(_run(min(seconds, 20.0), payload))


async def _run(seconds: float, payload: int) -> None:
    keys = KeyRing(KeySet(active=1, secrets={"1": SECRET}))
    plan = ServicePlan("portal", 1, 0, [{"kind": "request", "path": "/"}])
    async with run_fleet([plan], entries=1) as fleet:
        (entry,) = fleet.entries.values()
        assert entry.process is not None
        pid, agents_port = entry.process.pid, entry.listed["data_port"]
        (public,) = fleet.entry_addresses("portal")
        with udp_socket() as sender, udp_socket() as sink:
            sink_address = sink.getsockname()
            inward = _caller_datagrams(keys, sink_address[1], payload)
            outward = [_return_datagram(keys, sink_address, payload)]
            with relay_process(sink_address) as (relay_pid, relay):
                paths = {
                    "relay": (relay_pid, inward, relay),
                    "entry inward": (pid, inward, public),
                    "entry outward": (pid, outward, (ADDRESS, agents_port)),
                }
                totals = dict.fromkeys(paths, Figure(0, 0, 0.0))
                for _ in range(math.ceil(seconds / SLICE_SECONDS)):
                    for name, path in paths.items():
                        figure = await asyncio.to_thread(
                            measure, *path, sender, sink, SLICE_SECONDS
                        )
                        totals[name] = totals[name].plus(figure)
    base = totals["relay"].rate
    for name, total in totals.items():
        ratio = total.rate / base if base else 0.0
        sys.stdout.write(f"{total.line(name)} ratio {ratio:.2f}\n")


def _caller_datagrams(keys: KeyRing, port: int, size: int) -> list[bytes]:
    codec = TokenCodec(keys)
    padding = bytes(size - 18)
    return [
        b"\x40"
        + codec.encode(RoutingToken(ADDRESS, port, 1, b"\x00\x00\x00", serial))
        + padding
        for serial in range(1_000)
    ]


def _return_datagram(keys: KeyRing, caller: Address, size: int) -> bytes:
    load_signal = Signal(SignalState.ACCEPTING, 0)
    return EnvelopeCodec(keys).seal(Return(1, *caller, load_signal, bytes(size)))


def _wait_bound(port: int) -> None:
    end = monotonic() + START_SECONDS
    address_suffix = f":{port:04X} "
    while address_suffix not in Path("/proc/net/udp").read_text():
        if monotonic() > end:
            raise TimeoutError(f"the relay did not open port {port}")
        sleep(0.02)


if __name__ == "__main__":
    Fire(Commands)

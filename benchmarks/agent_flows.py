"""Measures the cost of connections at the agent's front end.

The figures are new flows per CPU second, resident bytes per connection, and CPU time
per opening packet in a flood.

Callers and front end run in one process without a network. The callers' own CPU time is
measured and subtracted, and callers are discarded before memory is read.

Run from the root: ``.venv/bin/python -m benchmarks.agent_flows --flows=300 --rounds=5``
"""

import asyncio
import gc
import tempfile
from pathlib import Path
from time import process_time

from fire import Fire

from balsamspool.kernel.clock import now
from tests.frontend_harness import SERVER, AgentHarness, MemoryCaller

WARM_UP_FLOWS = 30
PAGE_BYTES = 4096


class _TimedCaller(MemoryCaller):
    """Caller that adds up the CPU time that all callers use."""

    cpu_seconds = 0.0
    nested = 0

    def start(self, trace: tuple[bytes, bytes] | None = None) -> None:
        started = process_time()
        super().start(trace)
        _TimedCaller.cpu_seconds += process_time() - started

    def receive(self, payload: bytes) -> None:
        started = process_time()
        super().receive(payload)
        _TimedCaller.cpu_seconds += process_time() - started


def _read_resident_bytes() -> int:
    fields = Path("/proc/self/statm").read_text().split()
    return int(fields[1]) * PAGE_BYTES


async def _open_connections(agent: AgentHarness, first: int, count: int) -> None:
    for number in range(first, first + count):
        address = (f"192.0.{2 + number // 250}.{1 + number % 250}", 5000)
        caller = _TimedCaller(agent, address)
        caller.start()
        while not caller.connected:  # noqa: ASYNC110
            await asyncio.sleep(0)
        for _ in range(5):
            await asyncio.sleep(0)
        del agent.callers[address]


async def _measure(flows: int) -> tuple[float, float]:
    with tempfile.TemporaryDirectory(prefix="balsamspool-") as folder:
        agent = AgentHarness(
            Path(folder), {"limits": {"connections_per_host": 100_000}}
        )
        agent.keep_sent = False
        await agent.frontend.start()
        await _open_connections(agent, 0, WARM_UP_FLOWS)
        gc.collect()
        resident_bytes = _read_resident_bytes()
        _TimedCaller.cpu_seconds = 0.0
        started = process_time()
        await _open_connections(agent, WARM_UP_FLOWS, flows)
        used_seconds = process_time() - started - _TimedCaller.cpu_seconds
        gc.collect()
        grown_bytes = _read_resident_bytes() - resident_bytes
        tasks = [t for t in asyncio.all_tasks() if t is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return flows / used_seconds, grown_bytes / flows


async def _measure_flood(openings: int) -> float:
    with tempfile.TemporaryDirectory(prefix="balsamspool-") as folder:
        agent = AgentHarness(Path(folder))
        agent.keep_sent = False
        await agent.frontend.start()
        caller = MemoryCaller(agent)
        caller.paused = True
        caller.quic.connect(SERVER, now())
        opening = caller.quic.datagrams_to_send(now())[0][0]
        started = process_time()
        for number in range(openings):
            address = (f"198.51.{number // 250}.{1 + number % 250}", 1000)
            agent.deliver(opening, address)
        used_seconds = process_time() - started
        tasks = [t for t in asyncio.all_tasks() if t is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return used_seconds / openings


def main(flows: int = 300, rounds: int = 5, openings: int = 10_000) -> None:
    """Print a table with a row for each round and a row with the results.

    Compare the best figures between versions, because other work on the machine only
    makes a figure worse.

    Args:
        flows: Number of connections that are opened and kept open in a round.
        rounds: Number of rounds, each with a new agent.
        openings: Number of opening packets of a flood that is answered with Retry.
    """
    print(f"{'round':>8} {'flows a CPU-second':>20} {'bytes a connection':>20}")
    results = []
    for number in range(rounds):
        rate, size = asyncio.run(_measure(flows))
        results.append((rate, size))
        print(f"{number:>8} {rate:>20.0f} {size:>20.0f}")
    rate = max(rate for rate, _ in results)
    # The memory per connection is taken from the first round, because later rounds
    # reuse memory that earlier rounds released.
    size = results[0][1]
    print(f"{'result':>8} {rate:>20.0f} {size:>20.0f}")
    costs = [asyncio.run(_measure_flood(openings)) for _ in range(rounds)]
    print(f"opening packet in a flood: {min(costs) * 1e6:.1f} µs (best round)")


if __name__ == "__main__":
    Fire(main)

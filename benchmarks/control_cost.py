"""Measures what the control plane costs each process.

The figures are memory, CPU time, bytes, and the time until a change is in force.

Runs entries and agents without callers. Each stage lists a number of instances and
services; some of the instances are listed but not running. TCP bytes are read from the
kernel; datagrams of probes are not counted. The benchmark reads no admin page during a
measurement, because that would add to the costs.

Run from the root: ``.venv/bin/python -m benchmarks.control_cost run``
"""

import asyncio
import contextlib
import json
import os
import statistics
import tempfile
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass
from datetime import datetime
from pathlib import Path

os.environ["UV_USE_IO_URING"] = "0"

from fire import Fire  # noqa: E402

from balsamspool.programs._runner import run_on_uvloop  # noqa: E402
from benchmarks._control_fleet import ControlFleet  # noqa: E402
from benchmarks._least_squares import fit  # noqa: E402
from benchmarks._socket_bytes import (  # noqa: E402
    HEADER_BYTES,
    inodes_of,
    tcp_sockets,
)
from standins.fleet import Host  # noqa: E402

FACTORS = ("listed", "services", "processes")
MEMORY_LIMIT_BYTES = 16 << 30
SETTLE_SECONDS = 8.0


@dataclass(frozen=True, slots=True)
class Stage:
    """Size of one measurement.

    Attributes:
        entries: Number of running entries.
        running_services: Number of services with 7 running hosts each.
        services: Number of services in the text, 0 for only the running ones.
        listed: Number of instances in the list, 0 for only the running ones.
    """

    entries: int
    running_services: int
    services: int = 0
    listed: int = 0


STAGES = (
    Stage(2, 1),
    Stage(8, 4),
    Stage(8, 4, 590, 4_740),
    Stage(24, 16),
    Stage(24, 16, 150, 1_200),
    Stage(24, 16, 16, 4_740),
    Stage(24, 16, 590, 4_740),
)


@dataclass(frozen=True, slots=True)
class Usage:
    """Resources that one process has used so far.

    Attributes:
        cpu: CPU time in seconds.
        mesh: Bytes on mesh connections, both directions, with headers.
        platform: Bytes on connections to the platform, both directions, with headers.
    """

    cpu: float
    mesh: int
    platform: int


@dataclass(frozen=True, slots=True)
class Cost:
    """Median cost of one process of a role in one phase.

    Attributes:
        role: Role of the process.
        phase: ``idle``, ``text`` or ``list``.
        processes: Number of running processes.
        listed: Number of instances in the list.
        services: Number of services in the text.
        cpu_percent: CPU time as a percentage of a core.
        cpu_ms_per_change: CPU milliseconds per change, beyond those of the idle phase.
        mesh_bytes: Bytes per second on mesh connections.
        platform_bytes: Bytes per second to and from the platform.
        memory_mb: Largest resident memory of any process of the role, in megabytes.
    """

    role: str
    phase: str
    processes: int
    listed: int
    services: int
    cpu_percent: float
    cpu_ms_per_change: float
    mesh_bytes: float
    platform_bytes: float
    memory_mb: float


@dataclass(frozen=True, slots=True)
class Spread:
    """Time and cost of distributing changes in one stage.

    Attributes:
        processes: Number of running processes.
        listed: Number of instances in the list.
        services: Number of services in the text.
        text_bytes: Size of the text.
        list_bytes: Size of the list.
        text_median: Median time until a text was in force everywhere, in seconds.
        text_worst: Longest time until a text was in force everywhere, in seconds.
        text_missed: Number of pairs of a process and a text that the process skipped,
            because a newer text was already published.
        list_last: Time until the last list was in force everywhere, in seconds.
        peak_calls: Highest number of calls to the platform in one second.
    """

    processes: int
    listed: int
    services: int
    text_bytes: int
    list_bytes: int
    text_median: float
    text_worst: float
    text_missed: int
    list_last: float
    peak_calls: int


def usage(fleet: ControlFleet) -> dict[str, Usage]:
    """Return the resources that each process has used so far."""
    by_inode = {s.inode: s for s in tcp_sockets()}
    peer_ports = {host.listed["peer_port"] for host in fleet.hosts}
    usages = {}
    for host in fleet.hosts:
        pid = pid_of(host)
        mesh = platform = 0
        for inode in inodes_of(pid):
            counters = by_inode.get(inode)
            if counters is None:
                continue
            segments = counters.segments_sent + counters.segments_received
            size = counters.sent + counters.received + segments * HEADER_BYTES
            if counters.remote_port == fleet.platform_port:
                platform += size
            elif {counters.local_port, counters.remote_port} & peer_ports:
                mesh += size
        usages[host.instance] = Usage(cpu_seconds(pid), mesh, platform)
    return usages


def cpu_seconds(pid: int) -> float:
    """Return the CPU time of all threads of a process, in nanosecond resolution."""
    tasks = Path(f"/proc/{pid}/task").iterdir()
    total = 0
    for task in tasks:
        # A thread may end before its schedstat file is read.
        with contextlib.suppress(OSError):
            total += int((task / "schedstat").read_text().split()[0])
    return total / 1e9


def pid_of(host: Host) -> int:
    """Return the process ID of a running program."""
    assert host.process is not None
    return host.process.pid


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    status = Path(f"/proc/{pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) * 1024 / 1e6


class Measurement:
    """Measures a running fleet.

    Args:
        fleet: The fleet.
        seconds: Duration of each phase in seconds.
        interval: Seconds between two changes.
    """

    def __init__(self, fleet: ControlFleet, seconds: float, interval: float) -> None:
        self._fleet = fleet
        self._seconds = seconds
        self._interval = interval
        self._costs: list[Cost] = []
        self._idle: dict[str, float] = {}

    async def run(self, stage: Stage) -> tuple[list[Cost], Spread]:
        """Measure one stage and return its costs and its distribution of changes."""
        fleet = self._fleet
        fleet.pad(stage.services, stage.listed)
        await fleet.publish_text()
        await fleet.publish_list()
        await asyncio.sleep(SETTLE_SECONDS + 2 * len(self._listed()) / 800)
        fleet.platform.peak_rate = 0
        self._costs, self._idle = [], {}
        await self._phase("idle", None)
        published: dict[int, float] = {}

        async def change_text() -> None:
            published[await fleet.change_text()] = datetime.now().timestamp()

        await self._phase("text", change_text)
        times, missed = self._times_in_force(published)

        async def change_list() -> None:
            await fleet.change_list()

        await self._phase("list", change_list)
        last = await self._last_list_in_force()
        spread = Spread(
            len(fleet.hosts),
            len(self._listed()),
            len(fleet.text["services"]),
            len(fleet.published_text()),
            len(fleet.published_list()),
            statistics.median(times),
            max(times),
            missed,
            last,
            fleet.platform.peak_rate,
        )
        return self._costs, spread

    def _listed(self) -> list[object]:
        return json.loads(self._fleet.published_list())

    async def _phase(
        self, name: str, change: Callable[[], Awaitable[None]] | None
    ) -> None:
        fleet = self._fleet
        before, loop = usage(fleet), asyncio.get_running_loop()
        start = loop.time()
        changes = int(self._seconds // self._interval) if change else 0
        for number in range(changes):
            await change()
            await asyncio.sleep(start + (number + 1) * self._interval - loop.time())
        await asyncio.sleep(start + self._seconds - loop.time())
        after = usage(fleet)
        elapsed = loop.time() - start
        for role, hosts in (("entry", fleet.entries), ("agent", fleet.agents)):
            self._add_cost(name, role, hosts, before, after, elapsed, changes)

    def _add_cost(
        self,
        phase: str,
        role: str,
        hosts: dict[str, Host],
        before: dict[str, Usage],
        after: dict[str, Usage],
        elapsed: float,
        changes: int,
    ) -> None:
        def rate(field: str) -> float:
            return statistics.median(
                (getattr(after[name], field) - getattr(before[name], field)) / elapsed
                for name in hosts
            )

        cpu = rate("cpu")
        if phase == "idle":
            self._idle[role] = cpu
        cpu_per_change = (
            (cpu - self._idle[role]) * elapsed / changes if changes else 0.0
        )
        self._costs.append(
            Cost(
                role,
                phase,
                len(self._fleet.hosts),
                len(self._listed()),
                len(self._fleet.text["services"]),
                cpu * 100,
                cpu_per_change * 1e3,
                rate("mesh"),
                rate("platform"),
                max(resident_mb(pid_of(host)) for host in hosts.values()),
            )
        )

    def _times_in_force(self, published: dict[int, float]) -> tuple[list[float], int]:
        """Read from the logs how long each revision took to be in force everywhere."""
        worst = dict.fromkeys(published, 0.0)
        seen = dict.fromkeys(published, 0)
        for host in self._fleet.hosts:
            for line in host.log_path.read_text().splitlines():
                if '"configuration-in-force"' not in line:
                    continue
                entry = json.loads(line)
                revision = entry["revision"]
                if revision in published:
                    at = datetime.fromisoformat(entry["time"]).timestamp()
                    seen[revision] += 1
                    worst[revision] = max(worst[revision], at - published[revision])
        missed = sum(len(self._fleet.hosts) - count for count in seen.values())
        return list(worst.values()), missed

    async def _last_list_in_force(self) -> float:
        loop = asyncio.get_running_loop()
        start, revision = loop.time(), await self._fleet.change_list()
        waiting = self._fleet.hosts
        while waiting and loop.time() - start < 60:
            await asyncio.sleep(1.0)
            still_waiting = []
            for host in waiting:
                status = await self._fleet.status(host)
                if status["plugins"]["membership"]["revision"] < revision:
                    still_waiting.append(host)
            waiting = still_waiting
        return loop.time() - start


def slopes(costs: list[Cost]) -> list[dict[str, object]]:
    """Fit each figure linearly to listed instances, services and running processes."""
    rows: list[dict[str, object]] = []
    for role in ("entry", "agent"):
        for phase, field in (
            ("idle", "memory_mb"),
            ("idle", "cpu_percent"),
            ("idle", "mesh_bytes"),
            ("idle", "platform_bytes"),
            ("text", "cpu_ms_per_change"),
            ("text", "mesh_bytes"),
            ("text", "platform_bytes"),
            ("list", "cpu_ms_per_change"),
            ("list", "mesh_bytes"),
            ("list", "platform_bytes"),
            ("list", "memory_mb"),
        ):
            chosen = [c for c in costs if (c.role, c.phase) == (role, phase)]
            points = [[1.0, *(getattr(c, f) for f in FACTORS)] for c in chosen]
            base, *coefficients = fit(points, [getattr(c, field) for c in chosen])
            row: dict[str, object] = {"role": role, "phase": phase, "figure": field}
            rows.append(
                row | {"base": base} | dict(zip(FACTORS, coefficients, strict=True))
            )
    return rows


def print_table(rows: list[dict[str, object]]) -> None:
    """Print rows with the same fields as a Markdown table."""
    print("| " + " | ".join(rows[0]) + " |")
    print("|" + " --- |" * len(rows[0]))
    for row in rows:
        shown = (f"{v:.4g}" if isinstance(v, float) else str(v) for v in row.values())
        print("| " + " | ".join(shown) + " |")


async def _run(
    stages: list[Stage], seconds: float, interval: float, compress: bool
) -> tuple[list[Cost], list[Spread]]:
    costs: list[Cost] = []
    spreads: list[Spread] = []
    for size in dict.fromkeys((s.entries, s.running_services) for s in stages):
        with tempfile.TemporaryDirectory(prefix="balsamspool-") as folder:
            fleet = ControlFleet(Path(folder), size[1])
            fleet.platform.compress = compress
            try:
                await fleet.start(size[0])
                used_bytes = sum(resident_mb(pid_of(h)) for h in fleet.hosts) * 1e6
                if used_bytes > MEMORY_LIMIT_BYTES:
                    raise MemoryError(
                        f"{used_bytes} bytes are over half of the machine's memory"
                    )
                for stage in stages:
                    if (stage.entries, stage.running_services) == size:
                        measurement = Measurement(fleet, seconds, interval)
                        stage_costs, spread = await measurement.run(stage)
                        print(spread, flush=True)
                        costs += stage_costs
                        spreads.append(spread)
            finally:
                await fleet.close()
    return costs, spreads


def _print_all(costs: list[Cost], spreads: list[Spread]) -> list[dict[str, object]]:
    sizes = {(c.processes, c.listed, c.services) for c in costs}
    fitted = slopes(costs) if len(sizes) > len(FACTORS) else []
    for rows in ([asdict(c) for c in costs], [asdict(s) for s in spreads], fitted):
        if rows:
            print_table(rows)
            print()
    return fitted


class Commands:
    """Measures the cost of the control plane."""

    def run(
        self,
        seconds: float = 12.0,
        interval: float = 4.0,
        first: int = 0,
        last: int = len(STAGES),
        compress: bool = False,
        json_path: str = "",
    ) -> None:
        """Measure stages, print tables and write the figures as JSON.

        Args:
            seconds: Duration of each of the three phases of a stage.
            interval: Seconds between two changes.
            first: Number of the first stage, from 0.
            last: Number of the stage after the last one.
            compress: Whether the platform compresses values.
            json_path: File to write the figures to; none is written if empty.
        """
        stages = list(STAGES[first:last])
        costs, spreads = run_on_uvloop(_run(stages, seconds, interval, compress))
        fitted = _print_all(costs, spreads)
        if json_path:
            figures = {
                "costs": [asdict(c) for c in costs],
                "spreads": [asdict(s) for s in spreads],
                "slopes": fitted,
            }
            Path(json_path).write_text(json.dumps(figures, indent=1))

    def fit(self, *paths: str) -> None:
        """Print the tables and slopes of several runs together.

        Args:
            paths: Files that ``run`` has written.
        """
        figures = [json.loads(Path(path).read_text()) for path in paths]
        _print_all(
            [Cost(**cost) for f in figures for cost in f["costs"]],
            [Spread(**spread) for f in figures for spread in f["spreads"]],
        )


if __name__ == "__main__":
    Fire(Commands)

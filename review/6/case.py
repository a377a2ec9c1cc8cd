"""Another writer leaves an entry that can't be read: a JSON text that is cut off."""

import asyncio
import json
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit-2"))

from lab2 import (  # noqa: E402
    BROKEN,
    HELD,
    TROUBLE,
    CannotRun,
    Lab,
    route_address,
    run_case,
)

# Largest value that the store takes (value-bytes of the settings), and the size here.
VALUE_BYTES = 1_048_576
SIZE = 600_000
FLOWS = 12
BEFORE, AFTER, REACTION = 6.0, 45.0, 5.0


def cut_off_dump():
    """Return a document that holds another one as a string, cut off at SIZE octets."""
    racks = [
        {"id": f"rack-{n:05d}", "hall": "midrand-a", "readings": [{"kw": 1.2, "c": 21}]}
        for n in range(10_000)
    ]
    text = json.dumps({"taken": "2026-12-06", "dump": json.dumps(racks)})
    return text.encode()[:SIZE]


def processor_seconds(machine):
    """Return the processor time that a program has used so far."""
    stat = Path(f"/proc/{machine.process.pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def new_flows(lab, opened):
    """Open a flow for one request every 0.2 s."""
    tasks = set()
    while True:
        client = lab.clients[len(opened) % len(lab.clients)]
        flow = client.flow(route_address(2))
        opened.append(flow)
        tasks.add(asyncio.create_task(flow.run(1.0, time.monotonic() + 0.5)))
        await asyncio.sleep(0.2)


async def probe_all(lab, answers):
    """Probe every front program once a second."""
    while True:
        for machine in lab.fronts:
            if await machine.ready():
                answers.append((time.monotonic(), machine.name))
        await asyncio.sleep(1)


async def case(holder):
    """Run the case and return its result."""
    lab = Lab(["midrand-a", "isando"], 2, {"member-portal": 6, "records": 2})
    holder.append(lab)
    await lab.publish({1: "member-portal", 2: "records"})
    await lab.start()
    await asyncio.sleep(1.5)
    until = time.monotonic() + BEFORE + AFTER
    opened, answers, tasks = [], [], []
    for number in range(FLOWS):
        flow = lab.clients[number % len(lab.clients)].flow(route_address(1))
        tasks.append(asyncio.create_task(flow.run(0.2, until)))
    tasks.append(asyncio.create_task(new_flows(lab, opened)))
    tasks.append(asyncio.create_task(probe_all(lab, answers)))
    await asyncio.sleep(BEFORE)
    runs_before = len(lab.runs)
    value = cut_off_dump()
    assert len(value) <= VALUE_BYTES
    if TROUBLE:
        await lab.store.put("servers/rack-dump", value)
        lab.say(
            f"other writer: servers/rack-dump, {len(value)} octets, {value[:90]}..."
        )
    await asyncio.sleep(REACTION)
    start, runs, probes = time.monotonic(), len(lab.runs), len(answers)
    used = {m.name: processor_seconds(m) for m in lab.fronts}
    await asyncio.sleep(until - time.monotonic())
    seconds = time.monotonic() - start
    served, answered = len(lab.runs) - runs, len(answers) - probes
    for machine in lab.fronts:
        share = (processor_seconds(machine) - used[machine.name]) / seconds
        mine = sum(at > start for at, name in answers if name == machine.name)
        lab.say(
            f"{machine.name}: {mine} probes answered in the last {seconds:.0f} s, "
            f"used {share:.0%} of a processor"
        )
    lab.say(
        f"requests that hosts ran: {runs_before} in the first {BEFORE:.0f} s, {served} "
        f"in the last {seconds:.0f} s; {answered} probes answered then"
    )
    for task in tasks:
        task.cancel()
    if runs_before < 50:
        raise CannotRun("too few requests before the entry")
    return BROKEN if served == 0 and answered == 0 else HELD


if __name__ == "__main__":
    run_case(case, FOLDER, r"record-ignored|catalog-lost|process-resumed")

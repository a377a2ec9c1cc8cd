"""A program beside a host leaves the list; then the host's agent is restarted."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit-2"))

from lab2 import BROKEN, HELD, TROUBLE, CannotRun, Lab, route_address, run_case  # noqa: E402

FLOWS = 24
PAUSE = 0.12
MONITOR_PORT = 9100


async def list_monitor(lab, host, state):
    """Write the entry of another program on the host's machine, or remove it."""
    entry = {
        "service": "rack-monitor",  # no configuration names it
        "addr": f"{host.address}:{MONITOR_PORT}",
        "zone": host.zone,
        "version": "v1",
        "concurrency": 1,
        "state": state,
        "warmup-left-ms": 0,
        "seq": 1,
        "born": host.born + 1500,
    }
    key = "servers/rack-monitor-1"
    await lab.store.put_json(key, entry if state else None)
    lab.say(f"other writer: {key} at {entry['addr']}: {state or 'removed'}")


async def case(holder):
    """Run the case and return its result."""
    lab = Lab(["midrand-a", "isando"], 2, {"member-portal": 6, "records": 2})
    holder.append(lab)
    await lab.publish({1: "member-portal", 2: "records"})
    await lab.start()
    await asyncio.sleep(1.5)
    until = time.monotonic() + 30
    tasks = []
    for number in range(FLOWS):
        client = lab.clients[number % len(lab.clients)]
        flow = client.flow(route_address(1))
        tasks.append(asyncio.create_task(flow.run(PAUSE, until)))
        await asyncio.sleep(0.03)
    flows = [f for c in lab.clients for f in c.flows.values()]
    await asyncio.sleep(2)
    held = {h: sum(h.holds(f.key) for f in flows) for h in lab.hosts}
    chosen = max(held, key=held.get)
    if held[chosen] < 2 or any(f.state != "open" for f in flows):
        raise CannotRun("too few open flows")
    lab.say(f"{FLOWS} flows are open, {held[chosen]} of them at {chosen.name}")
    if TROUBLE:
        await list_monitor(lab, chosen, "ready")
        await asyncio.sleep(2)
        await list_monitor(lab, chosen, "draining")
        await asyncio.sleep(2)
        await list_monitor(lab, chosen, None)
    else:
        await asyncio.sleep(4)
    await asyncio.sleep(1)
    # Planned work: the daemons beside the hosts are stopped and started in turn.
    first = next(m for m in lab.sides if m.host is chosen)
    others = [m for m in lab.sides if m.host is not chosen]
    for machine in (first, others[0]):
        await machine.restart()
        await asyncio.sleep(1)
    await asyncio.sleep(3)
    for task in tasks:
        task.cancel()
    answered = sum(f.answered for f in flows)
    lab.say(f"{answered} requests were answered, {len(lab.resets)} open flows reset")
    ages = [f.reset_at - f.opened for f, _ in lab.resets]
    return BROKEN if any(age < 60 for age in ages) else HELD


if __name__ == "__main__":
    run_case(case, FOLDER, r"flow-reset|server-removed|address-shared|malformed")

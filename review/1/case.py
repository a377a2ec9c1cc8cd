"""An entry of another writer hides a live host, and its open flows are reset."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "kit"))
from lab import BROKEN, HELD, TROUBLE, CannotRun, FlowReset, main  # noqa: E402

PAUSE = 1.5  # between two requests of a flow; idle-timeout-ms is 15,000


async def keep_open(lab, flow, broken):
    """Send a request each PAUSE until the flow is reset or cancelled."""
    number = 0
    try:
        while True:
            await asyncio.sleep(PAUSE)
            number += 1
            answer = await flow.request(f"{flow.src[1]}-{number}")
            if answer is None:
                lab.log("flow", flow.src, "got no answer")
    except FlowReset:
        host = lab.holder(flow)
        age = time.monotonic() - flow.opened_at
        held = host is not None and host.sent_resets == 0
        lab.log(
            "flow",
            flow.src,
            f"reset at the age of {age:.1f} s; open at its host:",
            host.name if held else "no",
        )
        if held:
            broken.append(flow)


async def case(lab):
    await lab.begin()
    lab.configure({1: "portal", 2: "records"})
    for service in ("portal", "portal", "portal", "records"):
        await lab.add_host(service)
    entries = [lab.add_entry(), lab.add_entry()]
    for entry in entries:
        await entry.start()
    await lab.in_rotation(*entries)
    await asyncio.sleep(3.0)

    flows = await lab.open_flows(1, 24)
    held = {h: [f for f in flows if lab.holder(f) is h] for h in lab.hosts}
    host = max(held, key=lambda h: len(held[h]))
    lab.log("flows by host:", {h.name: len(f) for h, f in held.items()})
    if not held[host]:
        raise CannotRun("no flow opened")
    broken = []
    for flow in flows:
        lab.spawn(keep_open(lab, flow, broken))
    await asyncio.sleep(3.0)

    if TROUBLE:
        # Another program on the host's machine lists itself: a service that no
        # configuration names, at a port of its own.
        lab.store.put(
            "servers/exporter-7f3a",
            {
                "service": "metrics-exporter",
                "addr": f"{host.machine.address}:9100",
                "zone": host.machine.zone,
                "version": "2.4",
                "concurrency": 1,
                "state": "ready",
                "warmup-left-ms": 0,
                "seq": 1,
                "born": int(time.time() * 1000),
            },
        )
    await asyncio.sleep(3.0)
    # Planned work: the front machines are stopped and started in turn.
    for entry in entries:
        await entry.stop()
        await asyncio.sleep(0.5)
        await entry.start()
        await lab.in_rotation(entry)
        await asyncio.sleep(6.0)

    lab.log("flows:", len(flows), "reset while open at a live host:", len(broken))
    lab.log("flows of", host.name, "before:", len(held[host]))
    return BROKEN if broken else HELD


main(case, __file__)

"""Flows of a service that left a route two configurations ago are reset."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "kit"))
from lab import BROKEN, HELD, TROUBLE, CannotRun, FlowReset, main  # noqa: E402

PAUSE = 1.5  # between two requests of a flow; idle-timeout-ms is 15,000
SERVICES = ("portal-a", "portal-b", "portal-c", "portal-d")


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
            f"{host.name} of {host.service}" if held else "no",
        )
        if held:
            broken.append(flow)


async def case(lab):
    await lab.begin()
    lab.configure({1: {"portal-a": 50, "portal-b": 50}}, services=SERVICES)
    for service in SERVICES:
        await lab.add_host(service)
    entries = [lab.add_entry(), lab.add_entry()]
    for entry in entries:
        await entry.start()
    await lab.in_rotation(*entries)
    # The entries have run for longer than flow-ttl-s when the route changes.
    await asyncio.sleep(62.0)
    flows = await lab.open_flows(1, 24)
    if not flows:
        raise CannotRun("no flow opened")
    lab.log("flows:", {f.src[1]: lab.holder(f).service for f in flows})
    broken = []
    for flow in flows:
        lab.spawn(keep_open(lab, flow, broken))
    await asyncio.sleep(2.0)
    if TROUBLE:
        lab.configure({1: {"portal-c": 50, "portal-d": 50}}, services=SERVICES)
        await asyncio.sleep(2.0)
        lab.configure({1: "portal-c"}, services=SERVICES)
    await asyncio.sleep(4.0)
    # Planned: one front machine is stopped and started; its flows move to the other.
    await entries[0].stop()
    await asyncio.sleep(0.5)
    await entries[0].start()
    await lab.in_rotation(entries[0])
    await asyncio.sleep(8.0)
    lab.log("flows:", len(flows), "reset while open at a live host:", len(broken))
    return BROKEN if broken else HELD


main(case, __file__)

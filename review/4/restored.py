"""KNOWN-RED.txt: after a restore, a host that registered again is missed."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "kit"))
from lab import BROKEN, HELD, TROUBLE, CannotRun, FlowReset, main  # noqa: E402

PAUSE = 1.5  # between two requests of a flow; idle-timeout-ms is 15,000
SERVICES = ("portal", "records")


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
    lab.configure({1: "portal", 2: "records"}, services=SERVICES)
    for service in ("portal", "portal", "records", "records"):
        await lab.add_host(service)
    entries = [lab.add_entry(), lab.add_entry()]
    for entry in entries:
        await entry.start()
    await lab.in_rotation(*entries)
    await asyncio.sleep(2.0)
    copy = lab.store.copy()
    # Planned: a host is added, and the route goes to the other service.
    added = await lab.add_host("portal")
    await asyncio.sleep(2.0)
    flows = await lab.open_flows(1, 24)
    if not any(lab.holder(flow) is added for flow in flows):
        raise CannotRun("no flow opened at the host that was added")
    lab.log("flows:", {f.src[1]: lab.holder(f).name for f in flows})
    broken = []
    for flow in flows:
        lab.spawn(keep_open(lab, flow, broken))
    await asyncio.sleep(1.0)
    lab.configure({1: "records", 2: "records"}, services=SERVICES)
    table = lab.store.items["op/config"]["value"]
    await asyncio.sleep(1.0)
    if TROUBLE:
        lab.log("the store is away")
        lab.store.away = True
        await asyncio.sleep(1.0)
        lab.store.restore(copy)
        lab.store.away = False
        lab.log("the store is back from a copy")
        # What the operator and the hosts wrote is written again.
        lab.write_again("op/config", table)
        await asyncio.sleep(0.8)
        added.seq += 1
        added.register()
    await asyncio.sleep(8.0)
    lab.log("flows reset so far:", len(broken))
    # Planned: the front machines are stopped and started in turn.
    for entry in entries:
        await entry.stop()
        await asyncio.sleep(0.5)
        await entry.start()
        await lab.in_rotation(entry)
        await asyncio.sleep(1.0)
    await asyncio.sleep(6.0)
    lab.log("flows:", len(flows), "reset while open at a live host:", len(broken))
    return BROKEN if broken else HELD


main(case, __file__, "record-restored.txt")

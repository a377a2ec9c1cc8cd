"""A flow that pauses within idle-timeout-ms is reset after a rolling restart."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "kit"))
from lab import BROKEN, HELD, TROUBLE, CannotRun, FlowReset, main  # noqa: E402

IDLE_MS = 60_000  # idle-timeout-ms of the configuration
PAUSE = 42.0  # pause of the clients; flow-ttl-s is 60


async def resume(lab, flow, broken):
    """Send a request after the pause."""
    name = f"{flow.src[1]}-late"
    idle, age = time.monotonic() - flow.last, time.monotonic() - flow.opened_at
    try:
        answer = await flow.request(name, 6.0)
    except FlowReset:
        host = lab.holder(flow)
        held = host is not None and host.sent_resets == 0
        lab.log(
            "flow",
            flow.src,
            f"reset: age {age:.1f} s, idle {idle:.1f} s, open at:",
            host.name if held else "no host",
        )
        if held:
            broken.append(flow)
    else:
        lab.log("flow", flow.src, f"idle {idle:.1f} s, answer:", answer)


async def case(lab):
    await lab.begin()
    lab.configure({1: "portal", 2: "records"}, IDLE_MS, ("portal", "records"))
    for service in ("portal", "portal", "records", "records"):
        await lab.add_host(service)
    entries = [lab.add_entry(), lab.add_entry()]
    for entry in entries:
        await entry.start()
    await lab.in_rotation(*entries)
    await asyncio.sleep(2.0)
    flows = await lab.open_flows(1, 12)
    paused = time.monotonic()
    if not flows:
        raise CannotRun("no flow opened")
    lab.log("flows:", {f.src[1]: lab.holder(f).name for f in flows})

    # Planned: new flows of the route go to the other service. Open flows stay.
    await asyncio.sleep(2.0)
    lab.configure({1: "records", 2: "records"}, IDLE_MS, ("portal", "records"))
    await asyncio.sleep(22.0)
    if TROUBLE:
        # Planned: the front machines are stopped and started in turn.
        for entry in entries:
            await entry.stop()
            await asyncio.sleep(0.5)
            await entry.start()
            await lab.in_rotation(entry)
    await asyncio.sleep(paused + PAUSE - time.monotonic())

    broken = []
    await asyncio.gather(*(resume(lab, flow, broken) for flow in flows))
    lab.log("flows:", len(flows), "reset while open at a live host:", len(broken))
    return BROKEN if broken else HELD


main(case, __file__)

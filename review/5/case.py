"""The store moves to another address; the settings say so; SIGHUP changes nothing."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "kit"))
from lab import BROKEN, HELD, STORE, TROUBLE, FlowReset, main  # noqa: E402

APPLY = 3.0  # config-apply-ms
STABLE = 4.0  # stable-window-ms


async def opens(lab, number):
    """Return whether a new flow of a route opens."""
    flow = lab.clients["hall-a"].flow(lab.route(number))
    try:
        opened = await flow.open()
    except FlowReset:
        opened = False
    if opened:
        flow.close()
    return opened


async def case(lab):
    await lab.begin()
    lab.configure({1: "portal", 2: "records"})
    for service in ("portal", "portal", "records"):
        await lab.add_host(service)
    entries = [lab.add_entry(), lab.add_entry()]
    for entry in entries:
        await entry.start()
    await lab.in_rotation(*entries)
    await asyncio.sleep(5.0)

    if TROUBLE:
        # The same store at a second address; both answer for a while.
        address = (f"{lab.network}.0.2", STORE)
        lab.second = await asyncio.start_server(lab.store._serve, *address)
        lab.store_text = f"{address[0]}:{address[1]}"
        for entry in entries:
            entry.write_settings()
            entry.signal(signal.SIGHUP)
        await asyncio.sleep(10.0)
        lab.store.server.close()
        lab.log("the store has left its first address")
        await asyncio.sleep(STABLE + 8.0)
    lab.configure({1: "portal", 2: "records", 3: "portal"})
    await asyncio.sleep(APPLY + 1.0)
    found = [await opens(lab, 3) for _ in range(8)]
    lab.log("flows of the new route, sent over 4 s after the acknowledgement:", found)
    return HELD if all(found) else BROKEN


main(case, __file__)

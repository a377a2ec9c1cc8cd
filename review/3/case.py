"""A front machine that the store turned away for a second acts on an old catalog."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "kit"))
from lab import BROKEN, HELD, STORE, TROUBLE, CannotRun, FlowReset, main  # noqa: E402

TURNED_AWAY = 1.0  # seconds
DRAIN = 3.0  # drain-ms
STABLE = 4.0  # stable-window-ms


class SecondAddress:
    """The store's address for one machine, which it turns away for a while.

    Meanwhile a call gets no response, neither one that waits nor a new one, and its
    connection returns nothing further. Later calls are answered as usual.
    """

    def __init__(self, store):
        self.store = store
        self.silent = False
        self.times = 0

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                times = self.times
                answer = await self.store.reply(head)
                if self.silent or times != self.times:
                    await reader.read()  # until the caller closes the connection
                    return
                writer.write(answer)
                await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            writer.close()


async def try_flow(lab, late):
    """Open a flow and send a request; record a host that had to get none."""
    flow = lab.clients["hall-a"].flow(lab.route(1))
    entry = lab.router(flow.src, flow.dst)
    sent = time.monotonic()
    try:
        answer = await flow.open() and await flow.request(f"late-{flow.src[1]}")
    except FlowReset:
        answer = "reset"
    host = lab.holder(flow)
    lab.log(
        "flow",
        flow.src,
        "through",
        entry.name,
        f"sent {sent - lab.start_time:.3f}",
        "answer:",
        answer,
    )
    if host is not None and host.state == "draining":
        late.append((flow, entry.name))


async def case(lab):
    await lab.begin()
    lab.configure({1: "portal", 2: "records"})
    for service in ("portal", "portal", "portal", "records"):
        await lab.add_host(service)
    first, second = lab.add_entry(), lab.add_entry()
    address = SecondAddress(lab.store)
    place = (f"{lab.network}.0.2", STORE)
    lab.second = await asyncio.start_server(address.serve, *place)
    first.store_text = f"{place[0]}:{place[1]}"
    for entry in (first, second):
        await entry.start()
    await lab.in_rotation(first, second)
    await asyncio.sleep(10.0)

    lab.configure({1: "portal", 2: "records"}, idle_ms=14_000)
    await asyncio.sleep(0.8)
    if TROUBLE:
        lab.log("the store turns", first.name, "away")
        address.silent = True
        address.times += 1
    await asyncio.sleep(TURNED_AWAY)
    address.silent = False
    back = time.monotonic()
    lab.log("the store serves all machines")

    # Planned: a host drains. The store acknowledges it while it is undisturbed.
    await asyncio.sleep(0.3)
    host = lab.hosts[0]
    host.state, host.seq = "draining", host.seq + 1
    host.register()
    acknowledged = time.monotonic()
    lab.log("acknowledged:", host.name, "is draining")

    await asyncio.sleep(back + STABLE + 0.1 - time.monotonic())
    if time.monotonic() - acknowledged < DRAIN:
        raise CannotRun("too early")
    late = []
    tries = []
    for _ in range(40):
        tries.append(lab.spawn(try_flow(lab, late)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*tries)
    lab.log(
        "flows that opened at the draining host, sent over 3 s after the",
        "acknowledgement:",
        len(late),
        "through",
        sorted({name for _, name in late}),
    )
    return BROKEN if late else HELD


main(case, __file__)

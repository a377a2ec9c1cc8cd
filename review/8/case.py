"""A host whose entry expired before a restore of the store is not seen any more."""

import asyncio
import sys
import time
from contextlib import suppress
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit-2"))

from lab2 import (  # noqa: E402
    BROKEN,
    EXPIRY_BEATS,
    HEARTBEAT,
    HELD,
    STABLE,
    TROUBLE,
    CannotRun,
    Lab,
    Store,
    route_address,
    run_case,
)

FLOWS = 36
PAUSE = 1.0
# The cut of the host's machine from the store (for_s is 5.5 at most on the site).
CUT = 4.6
# Time for which the store is away, "for a moment".
AWAY = 0.5
# Time from the end of all disruptions to the planned restarts.
CALM = 22.0


class DrillStore(Store):
    """A store that can be away and come back from a copy of its state."""

    def __init__(self):
        super().__init__()
        self.era = 1
        self.away = False

    def copy(self):
        """Return a copy of the state."""
        return dict(self.items), list(self.history), self.revision, self.oldest

    async def restore(self, copy):
        """Go back to a copy and begin the next era."""
        async with self._changed:
            self.items, self.history = dict(copy[0]), list(copy[1])
            self.revision, self.oldest = copy[2], copy[3]
            self.era += 1
            self._changed.notify_all()

    def go_away(self):
        """Answer nothing until `away` is cleared."""
        self.away = True
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    async def put(self, key, value):
        """Write an item as soon as the store answers."""
        while self.away:
            await asyncio.sleep(0.05)
        await super().put(key, value)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while not self.away:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                era = self.era
                status, text = await self._answer(head.split(" ", 2)[1])
                if self.away or era != self.era:
                    break
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Store-Era: {era}\r\nContent-Length: {len(text)}\r\n\r\n".encode()
                    + text
                )
                await writer.drain()
        writer.transport.abort()
        self._writers.discard(writer)


async def cut_from_store(lab, host):
    """Cut a host from the store until its entry has expired, and heal the cut later."""
    start = time.monotonic()
    host._beats.cancel()
    await host.beat()
    lab.say(f"the machine of {host.name} is cut from the store")
    await asyncio.sleep(EXPIRY_BEATS * HEARTBEAT)
    await lab.store.put(f"servers/{host.name}", None)
    lab.say(f"the entry of {host.name} has expired after three silent heartbeats")
    return start


async def drill(lab, copy, copied):
    """Let the store be away for a moment and come back from a copy."""
    lab.store.go_away()
    await asyncio.sleep(AWAY)
    await lab.store.restore(copy)
    lab.store.away = False
    age = time.monotonic() - copied
    lab.say(f"drill: the store was away, and is back from a copy {age:.1f} s old")


async def case(holder):
    """Run the case and return its result."""
    lab = Lab(["midrand-a", "isando"], 2, {"member-portal": 4, "records": 2})
    holder.append(lab)
    store = lab.store = DrillStore()
    await lab.publish({1: "member-portal", 2: "records"})
    await lab.start()
    await asyncio.sleep(2)
    host = lab.hosts[0]
    until = time.monotonic() + CALM + 30
    tasks = []
    for number in range(FLOWS):
        flow = lab.clients[number % len(lab.clients)].flow(route_address(1))
        tasks.append(asyncio.create_task(flow.run(PAUSE, until)))
        await asyncio.sleep(0.03)
    await asyncio.sleep(1)
    flows = [f for c in lab.clients for f in c.flows.values()]
    mine = [f for f in flows if host.holds(f.key)]
    if len(mine) < 3:
        raise CannotRun("too few flows at the host")
    lab.say(f"{len(mine)} of {FLOWS} flows are open at {host.name}")
    if TROUBLE:
        copy, copied = store.copy(), time.monotonic()
        start = await cut_from_store(lab, host)
        await asyncio.sleep(0.4)
        await drill(lab, copy, copied)
        await asyncio.sleep(max(0.0, start + CUT - time.monotonic()))
        host._beats = asyncio.create_task(host._beat_forever())
        await host.beat()
        lab.say(f"the cut has healed, {host.name} sends its heartbeats again")
    else:
        await asyncio.sleep(CUT)
    calm = time.monotonic()
    await asyncio.sleep(CALM)
    if TROUBLE and f"servers/{host.name}" not in store.items:
        raise CannotRun("the host is not listed")
    early = len(lab.resets)
    lab.say(f"{early} flows reset before the planned work")
    # Planned work: the front machines are stopped and started in turn.
    for machine in lab.fronts:
        await machine.restart()
        await asyncio.sleep(1)
    await asyncio.sleep(3)
    for task in tasks:
        task.cancel()
    late = [f for f, _ in lab.resets if f.reset_at > calm + STABLE]
    ages = [f.reset_at - f.opened for f in late]
    listed = f"servers/{host.name}" in store.items
    lab.say(
        f"{len(late)} open flows reset, at most {max(ages, default=0):.0f} s old; "
        f"{host.name} is listed in the store: {listed}"
    )
    return BROKEN if any(age < 60 for age in ages) else HELD


if __name__ == "__main__":
    run_case(
        case,
        FOLDER,
        r"flow-reset|removed|report-outdated|catalog-restored|catalog-read",
    )

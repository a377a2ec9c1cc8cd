"""A rolling stop of the entries while clients use their ports again."""

import asyncio
import random
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit-3"))

from lab3 import (  # noqa: E402
    BROKEN,
    HELD,
    TROUBLE,
    Client,
    FlowFailed,
    Lab,
    Machine,
    Record,
    clock,
    play,
)

FRONTS, HOSTS = 4, 4
CLIENTS, PORTS = 6, 30
# A flow of a client: requests with pauses, like a live feed.
REQUESTS, PAUSE_S = 8, 0.4
# Time after the end of a flow from which on its port is used for the next one.
REST_S = 7.0
# A planned stop of the entries in turn.
GAP_S = 2.0
PLAY_S = 60.0


@dataclass
class Seen:
    """What the clients and hosts saw."""

    opened: int = 0
    answered: int = 0
    failed: int = 0
    foreign_resets: list[str] = field(default_factory=list)
    serial: int = 0


def holder(lab: Lab, flow) -> Machine | None:
    """Return the machine whose host holds a flow."""
    for machine in lab.sides:
        if machine.host is not None and machine.host.holds(*flow.key):
            return machine
    return None


async def one_flow(lab: Lab, record: Record, client: Client, port: int, seen: Seen):
    """Play one flow: open, some requests with pauses, close."""
    flow = client.flow(port, lab.route(1))
    try:
        await flow.connect()
        seen.opened += 1
        for number in range(REQUESTS):
            seen.serial += 1
            last = number == REQUESTS - 1
            await flow.request(f"a{seen.serial}", 3.0, close=last)
            seen.answered += 1
            if not last:
                await asyncio.sleep(PAUSE_S * random.uniform(0.5, 1.5))
    except FlowFailed as error:
        seen.failed += 1
        held = holder(lab, flow)
        line = f"{flow.src} {error}; held by {held.name if held else 'no host'}"
        record.add(line)
        if flow.reset and flow.open and held and flow.key not in held.host.resets:
            seen.foreign_resets.append(line)
        await flow.close()


async def port_user(lab: Lab, record: Record, client: Client, port: int, seen: Seen):
    """Use a port for one flow after the other."""
    await asyncio.sleep(random.uniform(0, REST_S))
    while True:
        await one_flow(lab, record, client, port, seen)
        await asyncio.sleep(REST_S)


async def case(lab: Lab, record: Record) -> int:
    """Play the case."""
    await lab.start_store({1: "portal"})
    for number in range(HOSTS):
        await lab.add_side("portal", f"hall-{number % 2}")
    for number in range(FRONTS):
        await lab.add_front(f"hall-{number % 2}")
    await lab.wait_ready()
    await asyncio.sleep(3)
    seen = Seen()
    clients = [Client(lab, number) for number in range(CLIENTS)]
    users = []
    for client in clients:
        await client.start()
        users += [
            asyncio.create_task(port_user(lab, record, client, 40000 + n, seen))
            for n in range(PORTS)
        ]
    end = clock() + PLAY_S
    await asyncio.sleep(8)
    while TROUBLE and clock() < end - 12:
        for front in list(lab.fronts):
            record.add(f"planned stop of {front.name}")
            await lab.stop(front, signal.SIGTERM)
            await lab.start(front)
            record.add(f"{front.name} started again")
            await asyncio.sleep(GAP_S)
    await asyncio.sleep(max(0.0, end - clock()))
    for user in users:
        user.cancel()
    forged = sum(c.forged for c in clients) + sum(m.host.forged for m in lab.sides)
    record.add(
        f"opened {seen.opened}, answered {seen.answered}, failed {seen.failed}, "
        f"resets of open flows that their host did not send: "
        f"{len(seen.foreign_resets)}, forged packets: {forged}"
    )
    return BROKEN if seen.foreign_resets else HELD


if __name__ == "__main__":
    play(case, FOLDER)

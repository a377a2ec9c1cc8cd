"""An entry is killed after a host began to drain, and clients use old ports again."""

import asyncio
import random
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit-3"))

from lab3 import (  # noqa: E402
    BROKEN,
    DRAIN_S,
    HELD,
    TROUBLE,
    Client,
    Flow,
    FlowFailed,
    Lab,
    Record,
    clock,
    play,
)

HOSTS = 8
CLIENTS, PORTS = 5, 100
# Time after the end of a flow before its port is used again.
REST_S = 60.0
# Time from the acknowledgement that the host drains to the kill of the entry.
AFTER_DRAIN_S = DRAIN_S + 3.0


async def one_flow(record: Record, flow: Flow, attempt: str, delay: float) -> bool:
    """Play one flow with one request; return whether it was answered."""
    await asyncio.sleep(delay)
    try:
        await flow.connect()
        await flow.request(attempt, 1.2, close=True)
    except FlowFailed as error:
        record.add(f"{flow.src} {attempt}: {error}")
        return False
    return True


async def round_of_flows(
    lab: Lab, record: Record, clients: list[Client], name: str, spread: float
) -> dict[str, Flow]:
    """Use each port of each client for one flow."""
    flows: dict[str, Flow] = {}
    for client in clients:
        for port in range(40_000, 40_000 + PORTS):
            flows[f"{name}-{client.address}-{port}"] = client.flow(port, lab.route(1))
    results = await asyncio.gather(
        *(
            one_flow(record, flow, attempt, random.uniform(0, spread))
            for attempt, flow in flows.items()
        )
    )
    record.add(f"round {name}: {sum(results)} of {len(flows)} requests answered")
    return flows


async def case(lab: Lab, record: Record) -> int:
    """Play the case."""
    await lab.start_store({1: "portal"})
    for _ in range(HOSTS):
        await lab.add_side("portal", "hall-a")
    await lab.add_front("hall-a")
    await lab.wait_ready()
    await asyncio.sleep(5)
    clients = [Client(lab, number) for number in range(CLIENTS)]
    for client in clients:
        await client.start()
    # Planned: the second entry is added later, so the first one sees all these flows.
    await round_of_flows(lab, record, clients, "one", 4.0)
    rested = clock() + REST_S
    added = await lab.add_front("hall-a")
    await asyncio.sleep(rested - AFTER_DRAIN_S - clock())
    leaving = lab.sides[0]
    assert leaving.host is not None
    acknowledged = await lab.drain(leaving)
    await asyncio.sleep(acknowledged + AFTER_DRAIN_S - clock())
    if TROUBLE:
        record.add(f"{added.name} is killed")
        lab.send_signal(added, signal.SIGKILL)
    flows = await round_of_flows(lab, record, clients, "two", 0.9)
    by_key = {flow.key: attempt for attempt, flow in flows.items()}
    late = 0
    for time, key in leaving.host.openings:
        attempt = by_key.get(key)
        sent = flows[attempt].first_syn if attempt else None
        if sent is None or time < sent or sent < acknowledged + DRAIN_S:
            continue
        late += 1
        ran = any(found == attempt for _, found in leaving.host.runs)
        record.add(
            f"{attempt}: first sent {sent - acknowledged:.3f} s, opened at "
            f"{leaving.name} {time - acknowledged:.3f} s after it drained, ran: {ran}"
        )
    record.add(f"flows that opened at {leaving.name} too late: {late}")
    return BROKEN if late else HELD


if __name__ == "__main__":
    play(case, FOLDER)

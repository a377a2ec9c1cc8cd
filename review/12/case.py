"""An entry is killed after a route has changed, and clients use old ports again."""

import asyncio
import random
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "kit-3"))

from lab3 import (  # noqa: E402
    BROKEN,
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

HOSTS = 3
CLIENTS, PORTS = 5, 100
# Time after the end of a flow before its port is used again.
REST_S = 60.0
# Time within which a configuration is in force (`config-apply-ms`).
APPLY_S = 3.0
# Time from the acknowledgement of the configuration to the kill of the entry.
AFTER_CONFIG_S = APPLY_S + 3.0


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
    await lab.start_store({1: "portal", 2: "records"})
    for _ in range(HOSTS):
        await lab.add_side("portal", "hall-a")
        await lab.add_side("records", "hall-a")
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
    await asyncio.sleep(rested - AFTER_CONFIG_S - clock())
    await lab.configure({1: "records", 2: "records"})
    acknowledged = clock()
    await asyncio.sleep(acknowledged + AFTER_CONFIG_S - clock())
    if TROUBLE:
        record.add(f"{added.name} is killed")
        lab.send_signal(added, signal.SIGKILL)
    flows = await round_of_flows(lab, record, clients, "two", 0.9)
    late = 0
    for machine in lab.sides:
        if machine.service != "portal" or machine.host is None:
            continue
        for time, found in machine.host.runs:
            flow = flows.get(found)
            if flow is None or flow.first_syn is None:
                continue
            late += 1
            record.add(
                f"{found}: first sent {flow.first_syn - acknowledged:.3f} s after the "
                f"configuration, run {time - acknowledged:.3f} s after it by "
                f"{machine.name} of the old service"
            )
    record.add(f"requests run by the old service: {late} of {len(flows)}")
    return BROKEN if late else HELD


if __name__ == "__main__":
    play(case, FOLDER)

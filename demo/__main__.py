"""Runs both users' services, replaces an entry, drains a host, checks every answer."""

import asyncio
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from balsamspool.commands.output import print_line, print_table
from balsamspool.commands.status import status
from balsamspool.commands.wait import wait
from balsamspool.plugins.configuration.digest import text_digest
from demo.opaque_flows import run_opaque_flows
from demo.process_fleet import ProcessFleet
from demo.workload import Callers
from standins.fleet import Host, ServicePlan

CONNECTIONS = 3
PHASE_SECONDS = 2.0
# Time after which the backend server of a draining host must get no new requests. It
# starts when the configuration that drains the host is in force everywhere.
LEAVING_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class User:
    """A user of the product with an interactive service and a document service."""

    name: str
    failure_domains: tuple[str, ...]
    interactive: ServicePlan
    documents: ServicePlan
    feed: str
    submit: str
    document_paths: tuple[str, ...]


KLOOFRAND = User(
    "Kloofrand Rack Co-operative",
    ("hall-a", "hall-b", "hall-c", "hall-d"),
    ServicePlan(
        "member-portal",
        1,
        3,
        [
            {"kind": "feed", "path": "/feeds/readings"},
            {"kind": "request", "path": "/tickets", "repeatable": False},
            {"kind": "request", "path": "/"},
        ],
    ),
    ServicePlan("records", 2, 2, [{"kind": "download", "path": "/"}]),
    "/feeds/readings",
    "/tickets",
    ("/invoices/7", "/statements/2026-11?bytes=400000"),
)
KITAKYUSHU = User(
    "Kitakyushu Municipal Rehearsal Hall Services",
    ("kokura", "moji", "wakamatsu"),
    ServicePlan(
        "booking",
        1,
        3,
        [
            {"kind": "feed", "path": "/feeds/availability"},
            {"kind": "request", "path": "/reservations", "repeatable": False},
            {"kind": "request", "path": "/"},
        ],
    ),
    ServicePlan("studio-documents", 2, 2, [{"kind": "download", "path": "/"}]),
    "/feeds/availability",
    "/reservations",
    ("/gear-lists/3", "/floor-plans/2?bytes=400000"),
)


async def run_user(user: User, folder: Path) -> list[str]:
    """Run one user's services and return all problems that were found."""
    plans = [user.interactive, user.documents]
    fleet = ProcessFleet(folder, plans, list(user.failure_domains))
    try:
        print_line(
            f"\n{user.name}: starting {2 + sum(p.hosts for p in plans)} processes"
        )
        await fleet.start(entries=2)
        return await _run_services(user, fleet)
    finally:
        await fleet.close()


async def _run_services(user: User, fleet: ProcessFleet) -> list[str]:
    interactive, documents = user.interactive.name, user.documents.name
    address = fleet.addresses[interactive]
    groups = {
        interactive: Callers(interactive, address, ["/"], user.feed, user.submit),
        documents: Callers(
            documents, fleet.addresses[documents], list(user.document_paths)
        ),
    }
    running = [asyncio.create_task(g.run(CONNECTIONS)) for g in groups.values()]
    await asyncio.sleep(PHASE_SECONDS)
    await _replace_entry(fleet)
    await asyncio.sleep(PHASE_SECONDS)
    drained = next(
        h for h in fleet.agents.values() if h.listed["service"] == interactive
    )
    problems = await _drain_host(fleet, drained)
    await status(fleet.platform_url)
    for group in groups.values():
        group.stop()
    await asyncio.gather(*running)
    if await drained.stop() != 0:
        problems.append(f"{drained.instance} did not stop gracefully")
    problems += await _check_executions(fleet, groups[interactive])
    _print_results(groups)
    for group in groups.values():
        problems += group.results.wrong
    return problems


async def _replace_entry(fleet: ProcessFleet) -> None:
    old = next(iter(fleet.entries.values()))
    new = await fleet.add_entry()
    print_line(f"replacing entry {old.instance} by {new.instance}")
    old.listed["state"] = "leaving"
    await fleet.publish_list()
    del fleet.entries[old.instance]
    await fleet.refresh_fabrics()
    await old.stop()
    await fleet.publish_list()


async def _drain_host(fleet: ProcessFleet, host: Host) -> list[str]:
    print_line(f"draining host {host.instance}")
    fleet.text["draining_hosts"] = [host.instance]
    await fleet.publish_text()
    digest = text_digest(fleet.published_text())
    if await wait(fleet.platform_url, digest, timeout=8.0) != 0:
        return [f"digest {digest} was not in force everywhere within 8 s"]
    await asyncio.sleep(LEAVING_SECONDS)
    before = len(await fleet.executed(host))
    await asyncio.sleep(PHASE_SECONDS)
    after = len(await fleet.executed(host))
    if after > before:
        return [f"{host.instance} got {after - before} new requests while leaving"]
    return []


async def _check_executions(fleet: ProcessFleet, callers: Callers) -> list[str]:
    executions: Counter[str] = Counter()
    for host in fleet.agents.values():
        executions.update(await fleet.executed(host))
    mismatches = []
    for request_id in callers.results.submitted:
        if executions[request_id] != 1:
            mismatches.append(
                f"request {request_id} ran {executions[request_id]} times"
            )
    return mismatches


def _print_results(groups: dict[str, Callers]) -> None:
    header = ("service", "requests", "answered", "feeds", "messages", "broken", "wrong")
    rows = []
    for name, group in groups.items():
        t = group.results
        counts = (t.requests, t.answered, t.feeds, t.feed_messages)
        rows.append((name, *counts, t.broken_feeds, len(t.wrong)))
    print_table(header, rows)


async def run() -> int:
    """Run the demonstration and return its exit code."""
    problems = []
    for user in (KLOOFRAND, KITAKYUSHU):
        with tempfile.TemporaryDirectory(prefix="balsamspool-demo-") as folder:
            problems += await run_user(user, Path(folder))
    with tempfile.TemporaryDirectory(prefix="balsamspool-demo-") as folder:
        problems += await run_opaque_flows(Path(folder))
    for problem in problems[:20]:
        print_line(f"wrong: {problem}")
    print_line(f"\n{'failed' if problems else 'passed'}: {len(problems)} wrong results")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(run()))

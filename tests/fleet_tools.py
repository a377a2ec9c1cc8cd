"""Helpers for tests that run a fleet of processes."""

import asyncio
import json
import os
from pathlib import Path

from aiohttp import ClientSession
from prometheus_client.parser import text_string_to_metric_families

from balsamspool.kernel.keyring import KeyRing, KeySet
from standins.caller import open_caller
from standins.fleet import SECRET

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def keyring(secret=SECRET, number=1):
    """Return a key ring with the key of a fleet."""
    return KeyRing(KeySet(number, {str(number): secret}))


def hosts_of(fleet):
    """Return all entries and agents of a fleet."""
    return [*fleet.entries.values(), *fleet.agents.values()]


def agents_of(fleet, service):
    """Return the agents of a service."""
    return [a for a in fleet.agents.values() if a.listed["service"] == service]


def resident_bytes(host):
    """Return the resident memory of a process in bytes."""
    pages = Path(f"/proc/{host.process.pid}/statm").read_text().split()[1]
    return int(pages) * PAGE_BYTES


async def eventually(condition, seconds=8.0):
    """Wait until an asynchronous condition holds."""
    async with asyncio.timeout(seconds):
        while not await condition():
            await asyncio.sleep(0.05)


async def read_metric(host, name, **labels):
    """Return the value of a metric of a process, 0 if it does not exist."""
    async with (
        ClientSession() as session,
        session.get(host.admin_url + "/metrics") as answer,
    ):
        text = await answer.text()
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            if sample.name == name and labels.items() <= sample.labels.items():
                return sample.value
    return 0.0


async def send_request(fleet, service, path="/any"):
    """Send a request over a new connection.

    Returns:
        The HTTP status, and the server that answered or else the outcome.
    """
    async with open_caller(*fleet.addresses[service]) as caller:
        answer = await caller.request("GET", path)
    body = json.loads(bytes(answer.body))
    return answer.status, body.get("server") or body.get("outcome")

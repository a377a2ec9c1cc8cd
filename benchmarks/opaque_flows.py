"""Measures CPU time per packet and memory per opaque flow, in the entry and the agent.

Decisions, tables and codecs are the real ones; fakes replace the sockets.
"""

import asyncio
import gc
import logging
import resource
from time import process_time

from fire import Fire

from balsamspool.commands.output import print_table
from balsamspool.datagram._codec import encode_small
from balsamspool.datagram.messages import FlowLocated
from balsamspool.datagram.settings import DatagramAgentSettings, DatagramEntrySettings
from balsamspool.kernel.identity import Role
from balsamspool.plugins.catalog import CatalogPlugin
from balsamspool.plugins.catalog.plugin import CatalogSettings
from balsamspool.plugins.datagram_agent import DatagramAgentPlugin
from balsamspool.plugins.datagram_entry import DatagramEntryPlugin
from tests.datagram_fakes import (
    ACK,
    CALLER,
    CODEC,
    SYN,
    FakeKernel,
    FakeSocket,
    FakeSource,
    answer,
    packet,
    published,
    routes,
    server,
)

DATA = b"x" * 900


def _caller_address(number: int) -> tuple[str, int]:
    return f"100.64.{number >> 14 & 255}.{number >> 6 & 255}", 1_024 + number % 60_000


def _peak_resident_megabytes() -> float:
    gc.collect()
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


async def _entry(flows: int, hosts: int) -> list[tuple[str, str, str]]:
    sections = {
        "datagram-entry": DatagramEntrySettings(address="10.0.1.1:8172"),
        "catalog": CatalogSettings(),
    }
    kernel = FakeKernel(Role.DATAGRAM_ENTRY, "10.0.1.1", sections)
    source = FakeSource()
    servers = [server(n % 250 + 1, name=f"i-{n}") for n in range(hosts)]
    source.records = [routes(1), *published(2, *servers)]
    kernel.known.append(source)
    kernel.known.append(CatalogPlugin(kernel))
    entry = DatagramEntryPlugin(kernel)
    await kernel.known[-1].start()
    await entry.start()
    await asyncio.sleep(0.1)
    peers = FakeSocket.opened["10.0.1.1", 7720]
    callers = FakeSocket.opened["10.0.1.1", 8172]
    before, started = _peak_resident_megabytes(), process_time()
    for number in range(flows):
        callers.receive(packet(SYN, source=_caller_address(number)), CALLER)
        peers.sent.clear()
    opening_seconds = process_time() - started
    megabytes = _peak_resident_megabytes() - before
    for number in range(flows):
        key = CODEC.decode(packet(SYN, source=_caller_address(number))).flow_from_caller
        peers.receive(encode_small(FlowLocated(key)), ("10.0.0.1", 7720))
    datagrams = [packet(ACK, DATA, source=_caller_address(n)) for n in range(flows)]
    started = process_time()
    for datagram in datagrams:
        callers.receive(datagram, CALLER)
        peers.sent.clear()
    known_seconds = process_time() - started
    await kernel.stop()
    return [
        (
            "entry, new flow",
            f"{opening_seconds / flows * 1e6:.1f} us",
            f"{hosts} hosts",
        ),
        ("entry, known flow", f"{known_seconds / flows * 1e6:.1f} us", "a packet"),
        ("entry, memory", f"{megabytes / flows * 1e6:.0f} B", "a flow"),
    ]


async def _agent(flows: int) -> list[tuple[str, str, str]]:
    settings = DatagramAgentSettings(
        address="10.0.0.1:8172",
        service="portal",
        backend="10.0.0.1:8165",
        outbound="10.0.0.1:8162",
    )
    kernel = FakeKernel(Role.DATAGRAM_AGENT, "10.0.0.1", {"datagram-agent": settings})
    agent = DatagramAgentPlugin(kernel)
    await agent.start()
    backend = FakeSocket.opened["10.0.0.1", 8162]
    peers = FakeSocket.opened["10.0.0.1", 7720]
    forwards = [
        _encode_forward(packet(ACK, DATA, source=_caller_address(n)))
        for n in range(flows)
    ]
    before, started = _peak_resident_megabytes(), process_time()
    for forward in forwards:
        peers.receive(forward, ("10.0.1.1", 7720))
        backend.sent.clear()
    inward_seconds = process_time() - started
    megabytes = _peak_resident_megabytes() - before
    answers = [answer(ACK, DATA, caller=_caller_address(n)) for n in range(flows)]
    started = process_time()
    for datagram in answers:
        backend.receive(datagram, ("10.0.0.1", 8165))
        peers.sent.clear()
    outward_seconds = process_time() - started
    await kernel.stop()
    return [
        ("agent, inward", f"{inward_seconds / flows * 1e6:.1f} us", "a packet"),
        ("agent, outward", f"{outward_seconds / flows * 1e6:.1f} us", "a packet"),
        ("agent, memory", f"{megabytes / flows * 1e6:.0f} B", "a flow"),
    ]


def _encode_forward(data: bytes) -> bytes:
    from balsamspool.datagram._codec import forward_head, service_number
    from balsamspool.datagram.messages import Forward

    message = Forward(service_number("portal"), bytes(4), 0, False, False, (), data)
    return forward_head(message) + data


async def _run(flows: int, hosts: int) -> None:
    logging.disable(logging.CRITICAL)
    rows = await _entry(flows, hosts) + await _agent(flows)
    print_table(("path", "cost", "for"), rows)


def run(flows: int = 60_000, hosts: int = 7) -> None:
    """Measure the entry and the agent and print a table.

    Args:
        flows: Number of flows.
        hosts: Number of hosts of the service.
    """
    asyncio.run(_run(flows, hosts))


if __name__ == "__main__":
    Fire(run)

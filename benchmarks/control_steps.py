"""Measures time and memory of each step of the control plane, in one process.

Each step runs on the event loop without interruption, so it blocks everything else in
the process for its duration. Each time is the median of several runs.

Run from the root: ``.venv/bin/python -m benchmarks.control_steps``
"""

import asyncio
import gc
import json
import random
import statistics
import tracemalloc
from collections.abc import Callable
from time import process_time
from typing import Any

import msgspec
from fire import Fire

from balsamspool.kernel.identity import Identity, Role
from balsamspool.kernel.keyring import KeyRing, KeySet
from balsamspool.plugins.configuration.checker import check_text
from balsamspool.plugins.configuration.digest import text_digest
from balsamspool.plugins.configuration.messages import ConfigurationOffer
from balsamspool.plugins.configuration.peers import ListedPeer, PeerSample
from balsamspool.plugins.configuration.store import ConfigurationStore
from balsamspool.plugins.membership.instance import Instance
from balsamspool.plugins.membership.listing import Listing, read_list
from balsamspool.plugins.membership.signals import Signal, SignalState
from balsamspool.plugins.membership.view import View
from balsamspool.plugins.mesh import PeerAddress
from balsamspool.plugins.mesh._codec import MeshCodec
from balsamspool.plugins.platform.client import decode_answer
from balsamspool.plugins.relay.load import LoadTable
from balsamspool.plugins.relay.messages import LoadReport
from balsamspool.plugins.routing.plugin import RoutingPlugin
from benchmarks._control_fleet import DOMAINS, HOSTS_PER_SERVICE, service_fields
from benchmarks._least_squares import fit
from standins.fleet import SECRET

SERVICES = (100, 300, 590)
INSTANCES = (1_000, 2_500, 4_740)
ENTRIES = 640
ROUNDS = 7


def text_of(services: int, padding: int = 0) -> str:
    """Return a configuration text, indented as an operator writes it.

    Args:
        services: Number of services.
        padding: Number of additional routes of each service.
    """
    services_by_name = {
        f"service-{n}": service_fields(n) for n in range(1, services + 1)
    }
    for service in services_by_name.values():
        service["routes"] = service["routes"] + [
            {"kind": "request", "path": f"/more/{n}"} for n in range(padding)
        ]
    document = {
        "format": 1,
        "operator": "benchmark",
        "services": services_by_name,
        "keys": {"active": 1, "secrets": {"1": SECRET}},
        "host_networks": ["10.0.0.0/8"],
    }
    return json.dumps(document, indent=2)


def list_of(instances: int) -> str:
    """Return an instance list in which about one instance in seven is an entry."""
    entries = instances * ENTRIES // INSTANCES[-1]
    return json.dumps([_record(n, n < entries) for n in range(instances)])


def _record(number: int, is_entry: bool) -> dict[str, Any]:
    service = f"service-{1 + number // HOSTS_PER_SERVICE % SERVICES[-1]}"
    common = {
        "instance": f"{'entry' if is_entry else service}-{number}",
        "role": "entry" if is_entry else "agent",
        "state": "live",
        "failure_domain": DOMAINS[number % len(DOMAINS)],
        "address": f"10.{number // 60_000}.{number // 250}.{number % 250 + 1}",
        "data_port": 7_000,
        "peer_port": 7_001,
        "admin_port": 7_002,
    }
    return common if is_entry else common | {"service": service}


def milliseconds(step: Callable[[], object]) -> float:
    """Return the median CPU time of a step in milliseconds."""
    times = []
    for _ in range(ROUNDS):
        gc.collect()
        start = process_time()
        step()
        times.append(process_time() - start)
    return statistics.median(times) * 1e3


def held_megabytes(make: Callable[[], object]) -> float:
    """Return the memory that the result of a step occupies, in megabytes."""
    gc.collect()
    tracemalloc.start()
    result = make()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del result
    return size / 1e6


class _Membership:
    """The part of the membership plug-in that routing uses, backed by a view."""

    def __init__(self, view: View) -> None:
        self._view = view
        self.accepts = view.accepts
        self.signal = view.signal

    @property
    def instances(self) -> list[Instance]:
        """All listed instances."""
        return self._view.instances


class _Kernel:
    """The part of the kernel that routing uses."""

    def __init__(self, view: View) -> None:
        self.keyring = _keys()
        self._membership = _Membership(view)

    def plugin(self, plugin: type) -> Any:
        """Return the membership."""
        return self._membership


def _keys() -> KeyRing:
    return KeyRing(KeySet(active=1, secrets={"1": SECRET}))


def _instances(text: str) -> dict[str, Instance]:
    listing = read_list(text)
    assert isinstance(listing, Listing)
    return listing.instances


def text_steps(services: int, padding: int = 0) -> dict[str, float]:
    """Measure the steps of processing a configuration text."""
    text = text_of(services, padding)
    answer = msgspec.json.encode({"revision": 1, "value": text})
    return {
        "text: KB": len(text) / 1e3,
        "text: decode answer ms": milliseconds(lambda: decode_answer(answer)),
        "text: digest ms": milliseconds(lambda: text_digest(text)),
        "text: check ms": milliseconds(lambda: check_text(text)),
        "text: offer to store ms": milliseconds(
            lambda: ConfigurationStore().offer(1, text)
        ),
        "text: document held MB": held_megabytes(lambda: check_text(text)),
    }


def list_steps(instances: int) -> dict[str, float]:
    """Measure the steps of processing an instance list."""
    text = list_of(instances)
    answer = msgspec.json.encode({"revision": 1, "value": text})
    listed = _instances(text)
    view = View()
    view.replace(listed)
    for instance in listed.values():
        view.record_signal(*instance.endpoint, Signal(SignalState.ACCEPTING, 3))
    view_without_signals = View()
    view_without_signals.replace(listed)
    sample = PeerSample(PeerAddress("10.9.9.9", 1), DOMAINS[0], [], random.Random(1))
    routing = RoutingPlugin(_Kernel(view))  # type: ignore[arg-type]
    services = {i.service for i in listed.values() if i.service}
    routing._service_names = dict(enumerate(sorted(services)))  # noqa: SLF001

    def learn() -> None:
        sample.learn(
            ListedPeer(PeerAddress(i.address, i.peer_port), i.failure_domain)
            for i in listed.values()
        )

    def rebuild() -> None:
        routing._expire_tables()  # noqa: SLF001
        for number in routing._service_names:  # noqa: SLF001
            routing.candidates(number)

    routing._on_list()  # noqa: SLF001
    return {
        "list: KB": len(text) / 1e3,
        "list: decode answer ms": milliseconds(lambda: decode_answer(answer)),
        "list: digest ms": milliseconds(lambda: text_digest(text)),
        "list: read ms": milliseconds(lambda: read_list(text)),
        "list: replace view ms": milliseconds(lambda: view.replace(listed)),
        "list: replace view without signals ms": milliseconds(
            lambda: view_without_signals.replace(listed)
        ),
        "list: learn peers ms": milliseconds(learn),
        "list: index for routing ms": milliseconds(routing._on_list),  # noqa: SLF001
        "routing: rebuild all tables ms": milliseconds(rebuild),
        "membership: entries() ms": milliseconds(lambda: view.accepting(Role.ENTRY)),
        "membership: hosts(service) ms": milliseconds(
            lambda: view.accepting(Role.AGENT, "service-5")
        ),
        "membership: held_as_leaving() ms": milliseconds(view.held_as_leaving),
        "list: view held MB": held_megabytes(lambda: _instances(text)),
    }


def message_steps() -> dict[str, float]:
    """Measure the periodic messages: sealing, opening, and size."""
    identity = Identity(
        Role.AGENT, "service-12-345", DOMAINS[0], "10.0.0.1", 1, 2, 3, b"incarnat"
    )
    codec = MeshCodec(_keys(), identity)
    table, figures = LoadTable(), {}
    bodies = {
        "load report": LoadReport("accepting", 12, 0.25),
        "offer": ConfigurationOffer(350, "0123456789abcdef"),
    }
    for name, body in bodies.items():
        frame = codec.seal(body, 1.0, b"")
        opened = codec.open(frame)
        assert opened is not None
        figures[f"{name}: frame bytes"] = float(len(frame))
        for step, work in (
            ("seal", lambda body=body: codec.seal(body, 1.0, b"")),
            ("open", lambda frame=frame: codec.open(frame)),
        ):
            # Milliseconds per 1,000 calls equal microseconds per call.
            microseconds = milliseconds(lambda work=work: [work() for _ in range(1000)])
            figures[f"{name}: {step} µs"] = microseconds
        if name == "load report":
            message = opened.message
            microseconds = milliseconds(
                lambda message=message: [
                    table.record_report(message, 1.0) for _ in range(1000)
                ]
            )
            figures["load report: note µs"] = microseconds
    return figures


def _print(title: str, sizes: tuple[int, ...], rows: list[dict[str, float]]) -> None:
    print(f"| step | {' | '.join(f'{size} {title}' for size in sizes)} | slope |")
    print("|" + " --- |" * (len(sizes) + 2))
    points = [[1.0, float(size)] for size in sizes]
    for name in rows[0]:
        values = [row[name] for row in rows]
        slope = fit(points, values)[1] * 1000 if len(sizes) > 1 else 0.0
        shown = " | ".join(f"{value:.3g}" for value in values)
        print(f"| {name} | {shown} | {slope:.3g} for 1,000 |")
    print()


def main(padding: int = 12) -> None:
    """Print the figures as tables.

    Args:
        padding: Number of routes added to each service, to approach the largest text.
    """
    asyncio.run(_measure(padding))


async def _measure(padding: int) -> None:
    _print("services", SERVICES, [text_steps(size) for size in SERVICES])
    _print("large services", SERVICES, [text_steps(s, padding) for s in SERVICES])
    _print("instances", INSTANCES, [list_steps(size) for size in INSTANCES])
    for name, value in message_steps().items():
        print(f"{name}: {value:.1f}")


if __name__ == "__main__":
    Fire(main)

"""Measures the cost of the routing tables at the size of the growth target.

The routing tables select a host for each opening packet.
"""

import asyncio
import os
import random
import sys
from statistics import mean
from time import process_time

os.environ["UV_USE_IO_URING"] = "0"

from fire import Fire  # noqa: E402

from balsamspool.kernel.identity import Role  # noqa: E402
from balsamspool.plugins.membership import Instance, ListedState, Signal  # noqa: E402
from balsamspool.plugins.membership.signals import SignalState  # noqa: E402
from balsamspool.plugins.membership.view import View  # noqa: E402
from balsamspool.plugins.routing import RoutingPlugin  # noqa: E402
from tests.forwarding_fakes import FakeKernel  # noqa: E402

SERVICES = 590
HOSTS = 4_100
ROUNDS = 61
STEP_SECONDS = 0.5
# Share of the hosts that have a load above the first load step in a round, and
# therefore a lower weight.
MOVED_SHARE = 0.02


class _Membership(View):
    """The real view, extended to the interface of the membership plug-in."""

    def subscribe(self, callback: object) -> None:
        """Ignore the subscription, because the list does not change."""


def _hosts() -> dict[str, Instance]:
    return {
        f"agent-{n}": Instance(
            f"agent-{n}",
            Role.AGENT,
            ListedState.LIVE,
            "a",
            f"10.0.{n // 250}.{n % 250 + 1}",
            4000,
            1,
            1,
            f"service-{n % SERVICES}",
        )
        for n in range(HOSTS)
    }


async def _measure(moved: float) -> tuple[float, float]:
    """Return the mean CPU seconds of one round, for signals and for tables.

    The mean is used, because a table without a changed signal is rebuilt only in some
    rounds.
    """
    kernel = FakeKernel()
    hosts = _hosts()
    kernel.membership = _Membership()
    kernel.membership.replace(hosts)
    kernel.configuration.services = {}
    routing = RoutingPlugin(kernel)
    await routing.start()
    kernel.configuration.change(
        **{f"service-{n}": (n, "127.0.0.1:1") for n in range(SERVICES)}
    )
    loop, rng = asyncio.get_running_loop(), random.Random(3)
    signal_seconds, table_seconds = [], []
    time = loop.time()
    loop.time = lambda: time
    for _ in range(ROUNDS):
        time += STEP_SECONDS
        # A share `moved` of the hosts gets a load above the first load step. The loads
        # of all other hosts vary only within the first load step.
        lowest_load = {host: 70 if rng.random() < moved else 5 for host in hosts}
        signal_by_host = {
            host: Signal(SignalState.ACCEPTING, lowest_load[host] + rng.randrange(50))
            for host in hosts
        }
        started_at = process_time()
        for name, host in hosts.items():
            signal = signal_by_host[name]
            kernel.membership.record_signal(host.address, host.data_port, signal)
        recorded_at = process_time()
        for number in range(SERVICES):
            routing.candidates(number)
        table_seconds.append(process_time() - recorded_at)
        signal_seconds.append(recorded_at - started_at)
    return mean(signal_seconds[1:]), mean(table_seconds[1:])


def run(moved: float = MOVED_SHARE) -> None:
    """Print the share of a core that the tables and the signals use.

    Args:
        moved: Share of hosts whose weight is lowered in each half second.
    """
    with asyncio.Runner(loop_factory=asyncio.new_event_loop) as runner:
        signal_seconds, table_seconds = runner.run(_measure(moved))
    sys.stdout.write(
        f"{SERVICES} services, {HOSTS} hosts, {moved:.0%} of hosts moved: "
        f"tables {table_seconds / STEP_SECONDS:.2%}, "
        f"signals {signal_seconds / STEP_SECONDS:.2%} of a core\n"
    )


if __name__ == "__main__":
    Fire(run)

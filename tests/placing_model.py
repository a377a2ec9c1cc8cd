"""Arrivals of requests at entries that place them by reports, on an event queue.

``python -m tests.placing_model`` prints the results of all policies.
"""

import heapq
import random
from collections import deque
from itertools import count

from balsamspool.placement.load import LoadBoard, LoadReport
from balsamspool.placement.opening import WARMUP_FACTOR, order_choices
from balsamspool.placement.ranking import by_failure_domain
from balsamspool.plugins.datagram_agent.work import WorkMeter
from balsamspool.scheduling.work_left import WorkLeft
from tests.datagram_fakes import server

ENDPOINT = bytes(6)
MEAN_SECONDS = 0.04
# A request is late after this multiple of the mean.
LATE_SHARE = 6
# Share and length of long requests in a heavy-tailed workload.
LONG_REQUESTS, LONG_FACTOR = 0.03, 7.0
WARM_UP_SECONDS = 5.0


class Case:
    """A workload.

    Args:
        factors: Duration of a request at each host relative to the mean.
        utilization: Share of the hosts' capacity that is used.
        entries: Number of entries.
        period: Period of the reports in seconds.
        heavy: Whether a few requests are long.
        slow: Factor, start and end of a slow-down of the first host.
        cold: Number of hosts that warm up in the whole run.
        kept: Share of flows with ten requests in the place of one.
        seconds: Length of the run.
    """

    def __init__(
        self,
        factors,
        utilization=0.75,
        entries=6,
        period=0.1,
        heavy=False,
        slow=None,
        cold=0,
        kept=0.0,
        seconds=60.0,
    ):
        self.factors = factors
        self.utilization = utilization
        self.entries = entries
        self.period = period
        self.heavy = heavy
        self.slow = slow
        self.cold = cold
        self.kept = kept
        self.seconds = seconds


THREE_SPEEDS = (0.7, 0.7, 1.7)
CASES = {
    "heavy": Case(THREE_SPEEDS * 4, heavy=True),
    "heavy-equal": Case((1,) * 12, heavy=True),
    "speeds": Case(THREE_SPEEDS * 4),
    "slowed": Case((1,) * 9, 0.65, slow=(4.0, 15.0, 35.0)),
    "cold": Case((1,) * 12, cold=4),
    "herd": Case(THREE_SPEEDS * 8, entries=60, period=0.75),
    "kept": Case(THREE_SPEEDS * 4, kept=0.5),
}
POLICIES = ("today", "work", "mixed", "two", "idle")
SEEDS = (1, 2, 3, 4)


class Host:
    """A backend server with one slot, and what its agent knows."""

    def __init__(self, number, case):
        warmup = 60.0 if number < case.cold else 0.0
        self.server = server(
            number, address=f"10.0.{number >> 8}.{number & 255}", slots=1, warmup=warmup
        )
        self.factor = case.factors[number] * (WARMUP_FACTOR if warmup else 1.0)
        self.slow = case.slow if number == 0 else None
        self.queue = deque()
        self.meter = WorkMeter(0.0)
        self.work = WorkLeft()
        self.flows = 0

    def duration(self, seconds, time):
        factor = self.factor
        if self.slow and self.slow[1] <= time < self.slow[2]:
            factor *= self.slow[0]
        return seconds * factor

    def report(self, time, period, with_work):
        load = (self.meter.in_progress, self.meter.mean(time), self.flows, True, period)
        if with_work:
            return LoadReport(
                *load, self.work.seconds(time), self.work.times.mean(time)
            )
        return LoadReport(*load)


class Run:
    """One run of a case under a policy.

    Args:
        case: The workload.
        policy: ``today``, ``work``, ``mixed``, ``two`` or ``idle``.
        seed: Seed of the random number generator.
    """

    def __init__(self, case, policy, seed):
        self.case, self.policy = case, policy
        self.rng = random.Random(seed)
        # Placement draws from a generator of its own, so that arrivals are the same
        # under all policies.
        self.place_rng = random.Random(seed + 1)
        self.hosts = [Host(n, case) for n in range(len(case.factors))]
        self.by_address = {h.server.address: h for h in self.hosts}
        self.servers = by_failure_domain([h.server for h in self.hosts])
        self.boards = [LoadBoard() for _ in range(case.entries)]
        self.idle = [deque() for _ in range(case.entries)]
        self.latencies = []
        self.numbers = count()
        self.events = []
        self.shares = [0] * len(self.hosts)

    def play(self):
        """Run the case and return itself."""
        for entry in range(self.case.entries):
            for host in self.hosts:
                self.at(self.rng.random() * self.case.period, self.send, entry, host)
        for host in self.hosts:
            self.place_rng.choice(self.idle).append(host)
        self.at(0.0, self.arrive)
        while self.events:
            time, _, action, args = heapq.heappop(self.events)
            action(time, *args)
        return self

    @property
    def late(self):
        """Share of requests that were late."""
        limit = LATE_SHARE * MEAN_SECONDS
        return sum(s > limit for s in self.latencies) / len(self.latencies)

    @property
    def p99(self):
        """99th percentile of the time of a request in seconds."""
        return sorted(self.latencies)[int(0.99 * len(self.latencies))]

    def at(self, time, action, *args):
        heapq.heappush(self.events, (time, next(self.numbers), action, args))

    def send(self, time, entry, host):
        with_work = self.policy == "work"
        if self.policy == "mixed":
            with_work = self.hosts.index(host) % 2 == 0
        report = host.report(time, self.case.period, with_work)
        self.boards[entry].record(host.server.address, report, time)
        if time < self.case.seconds:
            self.at(time + self.case.period, self.send, entry, host)

    def arrive(self, time):
        case = self.case
        capacity = sum(
            1 / (f * (WARMUP_FACTOR if n < case.cold else 1.0))
            for n, f in enumerate(case.factors)
        )
        rate = case.utilization * capacity / MEAN_SECONDS / (1 + 9 * case.kept)
        if time < case.seconds:
            self.at(time + self.rng.expovariate(rate), self.arrive)
        entry = self.rng.randrange(case.entries)
        key = self.rng.randbytes(12)
        requests = 10 if self.rng.random() < case.kept else 1
        host = self.place(time, entry, key)
        self.shares[self.hosts.index(host)] += 1
        host.flows += 1
        self.request(time, host, key, requests)

    def request(self, time, host, key, left):
        seconds = MEAN_SECONDS * self.rng.uniform(0.6, 1.4)
        if self.case.heavy:
            seconds /= 1 - LONG_REQUESTS + LONG_REQUESTS * LONG_FACTOR
            seconds *= LONG_FACTOR if self.rng.random() < LONG_REQUESTS else 1.0
        host.queue.append((time, key, seconds, left))
        host.meter.begin(time)
        host.work.begin(key, ENDPOINT, time)
        if len(host.queue) == 1:
            self.at(time + host.duration(seconds, time), self.finish, host)

    def finish(self, time, host):
        began, key, _, left = host.queue.popleft()
        if began > WARM_UP_SECONDS:
            self.latencies.append(time - began)
        host.meter.end(time)
        host.work.end(key, time)
        if left > 1:
            pause = self.rng.expovariate(1.0)
            self.at(time + pause, self.request, host, key, left - 1)
        else:
            host.flows -= 1
        if host.queue:
            self.at(time + host.duration(host.queue[0][2], time), self.finish, host)
        else:
            self.place_rng.choice(self.idle).append(host)

    def place(self, time, entry, key):
        match self.policy:
            case "two":
                return min(
                    self.place_rng.sample(self.hosts, 2),
                    key=lambda host: self.two_cost(entry, host),
                )
            case "idle":
                # A host may have got a request from another entry since it was idle.
                while self.idle[entry]:
                    host = self.idle[entry].popleft()
                    if not host.queue:
                        return host
                return self.place_rng.choice(self.hosts)
        board = self.boards[entry]
        choices = order_choices(key, "portal", self.servers, board, time, "a")
        board.record_placed(choices[0].server.address, time)
        return self.by_address[choices[0].server.address]

    def two_cost(self, entry, host):
        load = self.boards[entry].load(host.server.address)
        return (load.report.in_progress + 1 if load else 1) * host.factor


def main():
    """Print late share and 99th percentile of each case and policy."""
    for name, case in CASES.items():
        for policy in POLICIES:
            runs = [Run(case, policy, seed).play() for seed in SEEDS]
            late = sum(run.late for run in runs) / len(runs)
            p99 = sum(run.p99 for run in runs) / len(runs)
            print(f"{name:12} {policy:6} {late:7.2%} {p99 * 1000:6.0f} ms", flush=True)


if __name__ == "__main__":
    main()

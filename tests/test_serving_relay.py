"""Serving at several agents, with a relay that loses requests and answers."""

import asyncio
from collections import Counter
from dataclasses import dataclass
from enum import Enum
from unittest import TestCase
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from balsamspool.kernel.errors import Outcome, ResultCode
from balsamspool.kernel.lifecycle import ProcessState
from balsamspool.plugins.admission import AdmissionPlugin
from balsamspool.plugins.backend.codes import BACKEND_FAILED
from balsamspool.plugins.serving.keyed import KeyedRequests
from balsamspool.requests.relay import NotRun, Unknown
from balsamspool.requests.request import Request
from tests.test_admission_clock import run_paused
from tests.test_serving import Agent, FakeRelay, FakeWriter

AGENTS = 3
# Result code of a peer that refuses a relayed request before it looks at the request
# key.
RELAY_REFUSED = ResultCode(1899, "refused", "Refused.", Outcome.NOT_RUN, 503)


class Fault(Enum):
    NONE = 0
    LOST_REQUEST = 1
    LOST_ANSWER = 2
    REFUSED = 3


class FaultyRelay(FakeRelay):
    """Loses requests, loses answers or refuses requests, as scheduled."""

    def __init__(self, agents, faults):
        super().__init__(*agents)
        self.faults = iter(faults)
        self.lost = set()

    async def run_at(self, peer, request, writer, incarnation):
        match next(self.faults, Fault.NONE):
            case Fault.NONE:
                return await super().run_at(peer, request, writer, incarnation)
            case Fault.LOST_REQUEST:
                await asyncio.sleep(0.5)
                return Unknown(BACKEND_FAILED, "the request was lost")
            case Fault.LOST_ANSWER:
                copy = Request(
                    request.method,
                    request.path,
                    request.headers,
                    request.body,
                    relayed=True,
                )
                handled = self.agents[peer].serving.handle(copy, FakeWriter())
                self.lost.add(asyncio.create_task(handled))
                return Unknown(BACKEND_FAILED, "the answer was lost")
            case Fault.REFUSED:
                return NotRun(RELAY_REFUSED, "the relay of the peer is full")


@dataclass(frozen=True)
class Step:
    gap: float
    agent: int
    key: int | None
    query: str
    cancel_after: float | None
    leave: int | None


steps = st.lists(
    st.builds(
        Step,
        gap=st.sampled_from([0.0, 0.05, 0.4]),
        agent=st.integers(0, AGENTS - 1),
        key=st.sampled_from([None, 0, 0, 1]),
        query=st.sampled_from(["", "&seconds=1", "&failed=1", "&refused=1"]),
        cancel_after=st.sampled_from([None, None, 0.0, 0.02, 0.3]),
        leave=st.sampled_from([None, None, None, 0, 1, 2]),
    ),
    max_size=14,
)


async def run_steps(schedule, faults):
    """Run a schedule and return where runs and answers contradict each other."""
    agents = [
        await Agent(slots_per_host=1, queue_per_host=1).start() for _ in range(AGENTS)
    ]
    faults = iter(faults)
    relays = []
    for agent in agents:
        others = [other for other in agents if other is not agent]
        relays.append(FaultyRelay(others, faults))
        agent.serving.set_relay(relays[-1])
    keys = [await agents[number].key() for number in range(2)]
    queries, observed, tasks, problems = {}, [], [], []

    def runs(name):
        return sum(agent.backend.runs[name] for agent in agents)

    for number, step in enumerate(schedule):
        await asyncio.sleep(step.gap)
        if step.leave is not None:
            agents[step.leave].kernel.state = ProcessState.LEAVING
        name, path, headers = f"plain-{number}", f"/x?id=plain-{number}{step.query}", []
        if step.key is not None:
            name, headers = f"key-{step.key}", keys[step.key]
            path = f"/ticket?id={name}{queries.setdefault(step.key, step.query)}"
        task, writer = agents[step.agent].call("POST", path, headers)
        observed.append((name, writer, runs(name)))
        tasks.append(task)
        if step.cancel_after is not None:
            asyncio.get_running_loop().call_later(step.cancel_after, task.cancel)
    lost = set().union(*(relay.lost for relay in relays))
    await asyncio.gather(*tasks, *lost, return_exceptions=True)
    await asyncio.sleep(30)
    for name, writer, earlier_runs in observed:
        if runs(name) > 1:
            problems.append(f"{name} ran {runs(name)} times")
        not_run = writer.whole and writer.outcome == "not-run"
        if not_run and (earlier_runs or ("plain" in name and runs(name))):
            problems.append(f"{name} was reported as not run")
        if writer.whole and writer.outcome is None and writer.body != b"run 1 ":
            problems.append(f"{name} got another answer")
    for agent in agents:
        if agent.kernel.plugin(AdmissionPlugin).status()["busy"]:
            problems.append("a slot is lost")
        if agent.backend.peak > 1:
            problems.append("more requests than slots")
    return problems


class RelayHistoryTest(TestCase):
    @settings(max_examples=250, derandomize=True, deadline=None)
    @given(schedule=steps, faults=st.lists(st.sampled_from(Fault), max_size=8))
    def test_answers_match_what_has_run(self, schedule, faults):
        """Guards against second runs and false "not run" across agents."""
        self.assertEqual(run_paused(run_steps(schedule, faults)), [])

    def test_planted_faults_are_caught(self):
        """Guards against a history check that never fails."""
        # The issuer leaves, the answer of its peer is lost and the caller tries again.
        first = Step(0.0, 0, 0, "", None, 0)
        again = Step(0.4, 0, 0, "", None, None)
        lost = [Fault.LOST_ANSWER]
        self.assertEqual(run_paused(run_steps([first, again], lost)), [])

        async def treat_as_not_run(self, peer, request, writer, incarnation):
            result = await original(self, peer, request, writer, incarnation)
            if isinstance(result, Unknown):
                return NotRun(result.code, result.detail)
            return result

        original = FaultyRelay.run_at
        with patch.object(FaultyRelay, "run_at", treat_as_not_run):
            self.assertTrue(run_paused(run_steps([first, again], lost)))

    def test_caller_cannot_delegate(self):
        """Guards against a caller that chooses the agent that runs its request."""
        foreign = [Step(0.0, 1, 0, "", None, None), Step(0.4, 2, 0, "", None, None)]
        self.assertEqual(run_paused(run_steps(foreign, [])), [])
        with patch.object(KeyedRequests, "_is_delegated", lambda *_: True):
            self.assertTrue(run_paused(run_steps(foreign, [])))

    def test_delegation_continues_after_a_peer_that_did_not_run(self):
        """Guards against a request that fails although another host could run it."""

        async def work():
            agents = [await Agent().start() for _ in range(AGENTS)]
            first, *others = agents
            relay = FaultyRelay(others, [Fault.REFUSED])
            first.serving.set_relay(relay)
            key = await first.key()
            first.kernel.state = ProcessState.LEAVING
            answer = await first.fetch("POST", "/ticket", key)
            return answer.status, Counter(a.backend.runs.total() for a in agents)

        self.assertEqual(run_paused(work()), (201, Counter({0: 2, 1: 1})))

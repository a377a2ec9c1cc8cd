"""Random and mutated input at the front end."""

import asyncio
import random
import tempfile
from pathlib import Path
from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.frontend_harness import CALLER, AgentHarness, MemoryCaller

OTHER_ADDRESS = ("192.0.2.99", 99)


async def open_pair(folder):
    agent = AgentHarness(Path(folder))
    await agent.frontend.start()
    other_caller = MemoryCaller(agent, OTHER_ADDRESS)
    await other_caller.connect()
    caller = MemoryCaller(agent)
    await caller.connect()
    return agent, caller, other_caller


class FuzzTest(TestCase):
    def run_attack(self, attack):
        async def run():
            with tempfile.TemporaryDirectory() as folder:
                agent, caller, other_caller = await open_pair(folder)
                await attack(agent, caller)
                for _ in range(10):
                    await asyncio.sleep(0)
                status, _ = await other_caller.answer(other_caller.request())
                self.assertEqual(status, 200)
                self.assertFalse(agent.kernel._failed)
                failures = "balsamspool_frontend_connection_failures_total"
                self.assertEqual(agent.metric(failures), 0)
                tasks = asyncio.all_tasks() - {asyncio.current_task()}
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)

        asyncio.run(run())

    @settings(derandomize=True, max_examples=25, deadline=None)
    @given(st.lists(st.binary(max_size=1400), min_size=1, max_size=20))
    def test_random_datagrams(self, datagrams):
        """Guards against datagrams that stop the process or another connection."""

        async def attack(agent, caller):
            connection_id = caller.quic._peer_cid.cid
            for data in datagrams:
                agent.deliver(data)
                agent.deliver(b"\x40" + connection_id + data)
                agent.deliver((b"\xc0\0\0\0\1" + data).ljust(1200, b"\0"))

        self.run_attack(attack)

    @settings(derandomize=True, max_examples=25, deadline=None)
    @given(st.integers(0, 2**32))
    def test_mutated_datagrams(self, seed):
        """Guards against faults from damaged packets of a handshake and a request."""

        async def attack(agent, caller):
            rng = random.Random(seed)
            new_caller = MemoryCaller(agent, ("192.0.2.98", 98))
            deliver = agent.deliver

            def deliver_damaged(payload, address=CALLER, *args, **kwargs):
                changed = bytearray(payload)
                for _ in range(rng.randrange(4)):
                    changed[rng.randrange(len(changed))] = rng.randrange(256)
                end = rng.choice((len(changed), rng.randrange(len(changed))))
                deliver(bytes(changed[:end]), address)
                deliver(payload, address, *args, **kwargs)

            agent.deliver = deliver_damaged
            new_caller.start()
            for _ in range(3):
                caller.request("POST", body=bytes(5000))
                await asyncio.sleep(0.002)
            agent.deliver = deliver

        self.run_attack(attack)

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from((0, 4, 8, 2, 6, 14, 18)),
                st.one_of(
                    st.binary(max_size=200),
                    st.tuples(
                        st.sampled_from((0, 1, 3, 4, 5, 7, 13, 33, 65)),
                        st.binary(max_size=60),
                    ).map(lambda f: bytes((f[0], len(f[1]))) + f[1]),
                ),
                st.booleans(),
            ),
            min_size=1,
            max_size=12,
        )
    )
    def test_http_frames(self, writes):
        """Guards against frames that stop the process or another connection."""

        async def attack(agent, caller):
            for stream_id, data, end_stream in writes:
                try:
                    caller.quic.send_stream_data(stream_id, data, end_stream)
                except (ValueError, RuntimeError, AssertionError):
                    continue  # the caller's library refuses data after a stream's end
                caller.flush()
                await asyncio.sleep(0)

        self.run_attack(attack)

"""Searches for lost flows after a failure of many hosts, on a small link."""

import asyncio
from unittest import TestCase

from balsamspool.kernel.counters import CounterSet
from balsamspool.kernel.token_bucket import TokenBucket
from balsamspool.plugins.datagram_entry.search_budget import (
    BURST_SECONDS,
    LINK_SHARE,
    SearchBudget,
)
from tests._clock import PausedClockTestCase
from tests.datagram_entry_case import EntryCase
from tests.datagram_fakes import ACK, packet

LINK_MBPS = 1.0
LINK_OCTETS_PER_SECOND = LINK_MBPS * 125_000


class TokenBucketTest(TestCase):
    def test_the_rate_holds_over_any_longer_time(self):
        """Guards against a limit that a steady demand exceeds."""
        bucket = TokenBucket(100.0, 20.0, 0.0)
        taken = sum(10 for tick in range(1_000) if bucket.take(10, tick / 100))
        self.assertLessEqual(taken, 20 + 100 * 10)
        self.assertGreaterEqual(taken, 100 * 9)

    def test_a_clock_that_stands_still_or_goes_back_adds_nothing(self):
        """Guards against tokens that appear without time."""
        bucket = TokenBucket(100.0, 20.0, 5.0)
        self.assertTrue(bucket.take(20, 5.0))
        self.assertFalse(bucket.take(1, 5.0))
        self.assertFalse(bucket.take(1, 4.0))

    def test_more_than_the_limit_is_never_given(self):
        """Guards against a packet larger than the burst that waits for ever unseen."""
        bucket = TokenBucket(100.0, 20.0, 0.0)
        self.assertFalse(bucket.take(21, 10.0))


class BudgetTest(PausedClockTestCase):
    async def test_without_a_known_link_nothing_is_limited(self):
        """Guards against a deployment without the setting that loses searches."""
        budget = SearchBudget(None, CounterSet())
        self.assertTrue(all(budget.allows(1_200, 12) for _ in range(10_000)))

    async def test_copies_use_a_part_of_the_link(self):
        """Guards against copies that leave no room for packets of sound flows."""
        counters = CounterSet()
        budget = SearchBudget(LINK_MBPS, counters)
        sent = 0
        for _ in range(2_000):
            sent += 1_000 * budget.allows(1_000 - 41, 0)
            await asyncio.sleep(0.001)
        allowed = LINK_SHARE * LINK_OCTETS_PER_SECOND * (2 + BURST_SECONDS)
        self.assertLessEqual(sent, allowed)
        postponed = counters.values()["balsamspool_datagram_packets.search-postponed"]
        self.assertGreater(postponed, 0)

    async def test_copies_beyond_the_burst_are_sent_when_nothing_else_was(self):
        """Guards against a widened search in a large fleet that is never sent."""
        budget = SearchBudget(LINK_MBPS, CounterSet())
        burst = int(LINK_SHARE * LINK_OCTETS_PER_SECOND * BURST_SECONDS)
        self.assertTrue(budget.allows(2 * burst, 100))
        self.assertFalse(budget.allows(0, 0))


class BlackoutTest(EntryCase):
    """All hosts have lost their flows, and an entry with a small link knows none."""

    link_mbps = LINK_MBPS

    async def test_searches_leave_room_for_new_flows(self):
        """Guards against a link that stays full of searches long after a blackout.

        300 callers repeat a packet of a lost flow as callers do, every 0.2 s. No host
        answers a search.
        """
        lost = [
            packet(ACK, bytes(600), source=("100.64.1.1", 1_000 + n), ack=n)
            for n in range(300)
        ]
        octets = 0
        for _ in range(10):
            for data in lost:
                self.callers.receive(data, ("100.64.1.1", 1))
            await asyncio.sleep(0.2)
            octets += sum(len(data) + 28 for data, _ in self.peers.take())
        # The first copy of each packet is sent in any case, as without a failure.
        first_copies = 10 * sum(len(data) + 60 for data in lost)
        copies = octets - first_copies
        self.assertLess(copies / 2, LINK_SHARE * LINK_OCTETS_PER_SECOND * 1.3)

    async def test_a_postponed_search_goes_on_with_a_later_packet(self):
        """Guards against a flow that is given up because the link was busy once."""
        for _ in range(1_000):
            self.entry._search._budget.allows(1_000, 0)
        data = packet(ACK, b"request", ack=77)
        self.receive(data)
        self.peers.take()
        await asyncio.sleep(3)
        self.peers.take()
        self.receive(data)
        await asyncio.sleep(0.5)
        asked = {address for _, address in self.peers.take_forwards()}
        self.assertGreater(len(asked), 1)

"""Failure domains that the operator takes out of service and back."""

import asyncio
from unittest import TestCase

from balsamspool.kernel.counters import CounterSet
from balsamspool.placement.lookup import order_lookup
from balsamspool.plugins.catalog.cordons import MAX_DOMAINS, Cordons
from balsamspool.plugins.catalog.delta import CatalogDelta, decode_delta, encode_delta
from balsamspool.plugins.catalog.events import DOMAIN_UNKNOWN
from balsamspool.plugins.catalog.model import (
    DomainCordoned,
    DomainUncordoned,
    ServerPublished,
    Snapshot,
)
from balsamspool.plugins.catalog.record_log import RecordLog
from balsamspool.plugins.catalog.removals import RELISTING_SECONDS
from balsamspool.plugins.catalog.revision import Revision
from balsamspool.plugins.catalog.view import CatalogView
from tests.datagram_entry_case import DATA, KEY, EntryCase
from tests.datagram_fakes import SYN, packet, published, routes, server
from tests.log_capture import recorded_events


def at(era, number):
    return Revision.of(era, number)


class ViewTest(TestCase):
    def setUp(self):
        self.view = CatalogView()
        for record in (
            routes(1),
            *published(2, server(1), server(2), server(3, failure_domain="b")),
        ):
            self.view.apply(record, 0.0)

    def open_domains(self):
        return set(self.view.ready_by_domain("portal"))

    def test_new_flows_avoid_the_domain_and_open_ones_are_still_found(self):
        """Guards against new flows in the domain, and against lost open ones."""
        self.view.apply(DomainCordoned(9, "a"), 1.0)
        self.assertEqual(self.open_domains(), {"b"})
        self.assertEqual(
            {s.name for s in self.view.listed("portal")}, {"i-1", "i-2", "i-3"}
        )

    def test_a_domain_comes_back_and_goes_again_within_a_second(self):
        """Guards against a cordon that outlives its removal, or the next one lost."""
        self.view.apply(DomainCordoned(9, "a"), 1.0)
        self.view.apply(DomainUncordoned(10, "a"), 1.2)
        self.assertEqual(self.open_domains(), {"a", "b"})
        self.view.apply(DomainCordoned(11, "a"), 1.4)
        self.assertEqual(self.open_domains(), {"b"})

    def test_an_older_record_changes_nothing(self):
        """Guards against a peer's old record that takes a domain back."""
        self.view.apply(DomainCordoned(9, "a"), 1.0)
        self.view.apply(DomainUncordoned(8, "a"), 1.1)
        self.assertEqual(self.open_domains(), {"b"})

    def test_all_domains_may_be_out(self):
        """Guards against an exception when nothing is left."""
        self.view.apply(DomainCordoned(9, "a"), 1.0)
        self.view.apply(DomainCordoned(10, "b"), 1.0)
        self.assertEqual(self.open_domains(), set())

    def test_a_server_that_starts_in_the_domain_gets_no_flows(self):
        """Guards against a cordon that covers only the servers of its time."""
        self.view.apply(DomainCordoned(9, "a"), 1.0)
        self.view.apply(ServerPublished(10, server(4)), 1.1)
        self.assertEqual(self.open_domains(), {"b"})

    def test_a_full_read_decides_after_lost_history(self):
        """Guards against a cordon that nobody removes after the history was lost."""
        self.view.apply(DomainCordoned(9, "a"), 1.0)
        listed = tuple(published(2, server(1), server(3, failure_domain="b")))
        self.view.replace(Snapshot(20, (routes(1), *listed)), 2.0)
        self.assertEqual(self.open_domains(), {"a", "b"})
        self.view.replace(Snapshot(30, (DomainCordoned(25, "b"), *listed)), 3.0)
        self.assertEqual(self.open_domains(), {"a"})

    def test_a_restored_copy_does_not_take_a_domain_back_at_once(self):
        """Guards against flows in the seconds until the record is written again."""
        self.view.apply(DomainCordoned(at(0, 9), "a"), 1.0)
        copy = tuple(published(2, server(1), server(3, failure_domain="b")))
        self.view.replace(Snapshot(at(1, 5), copy), 2.0)
        self.view.expire(2.0 + RELISTING_SECONDS / 2)
        self.assertEqual(self.open_domains(), {"b"})
        self.view.apply(DomainCordoned(at(1, 6), "a"), 3.5)
        self.view.expire(10.0)
        self.assertEqual(self.open_domains(), {"b"})

    def test_a_record_that_a_restored_copy_never_gets_ends(self):
        """Guards against a failure domain that stays out of service for good."""
        self.view.apply(DomainCordoned(at(0, 9), "a"), 1.0)
        copy = tuple(published(2, server(1), server(3, failure_domain="b")))
        self.view.replace(Snapshot(at(1, 5), copy), 2.0)
        self.view.expire(2.0 + RELISTING_SECONDS)
        self.assertEqual(self.open_domains(), {"a", "b"})

    def test_a_domain_without_servers_is_one_line(self):
        """Guards against a mistyped name that nobody notices."""
        with recorded_events() as log:
            self.view.apply(DomainCordoned(9, "x" * 200), 1.0)
            self.view.apply(DomainCordoned(9, "x" * 200), 1.0)
        self.assertEqual(len(log.fields(DOMAIN_UNKNOWN.name)), 1)
        self.assertEqual(self.open_domains(), {"a", "b"})

    def test_the_number_of_records_is_bounded(self):
        """Guards against a writer of odd records that fills the memory."""
        cordons = Cordons(CounterSet())
        for number in range(2 * MAX_DOMAINS):
            cordons.add(f"x-{number}", Revision(number + 1), (), 0.0)
        self.assertEqual(len(cordons.domains), MAX_DOMAINS)
        cordons.remove("x-3", Revision(10_000), 1.0)
        self.assertTrue(cordons.add("a", Revision(10_001), ("a",), 2.0))


class PeerTest(TestCase):
    def test_records_reach_a_follower(self):
        """Guards against a follower that never learns of a cordon, or of its end."""
        log = RecordLog()
        log.replace(Snapshot(5, (DomainCordoned(4, "a"),)))
        self.assertEqual(log.listed(), (DomainCordoned(4, "a"),))
        log.apply(DomainUncordoned(6, "a"))
        self.assertEqual(log.changes_after(5), (DomainUncordoned(6, "a"),))
        self.assertEqual(log.listed(), ())

    def test_a_full_read_without_the_record_ends_the_cordon_at_followers(self):
        """Guards against a reader that lost its history and passes no end on."""
        log = RecordLog()
        log.replace(Snapshot(5, (DomainCordoned(4, "a"),)))
        log.replace(Snapshot(9, ()))
        self.assertEqual(log.changes_after(5), (DomainUncordoned(9, "a"),))

    def test_a_server_with_the_name_of_a_domain_replaces_no_record(self):
        """Guards against a cordon that a record of another kind hides."""
        log = RecordLog()
        log.replace(Snapshot(5, (DomainCordoned(4, "i-1"), *published(5, server(1)))))
        self.assertEqual(len(log.listed()), 2)

    def test_a_message_of_an_earlier_version_says_nothing_of_cordons(self):
        """Guards against an old peer whose silence ends a cordon."""
        delta = CatalogDelta(Revision(5), True, (DomainCordoned(4, "a"),), 0.1)
        self.assertEqual(decode_delta(encode_delta(delta)), delta)
        old = encode_delta(delta)
        # The last of seven fields is the new one.
        self.assertEqual(old[0], 0x97)
        self.assertFalse(decode_delta(b"\x96" + old[1:-1]).cordons)


class EntryTest(EntryCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.source.publish(
            *published(100, *(server(n, failure_domain="b") for n in (11, 12)))
        )
        self.reporting |= {"10.0.0.11", "10.0.0.12"}
        await asyncio.sleep(1)
        self.peers.take()

    async def cordon(self, revision, domain):
        self.source.publish(DomainCordoned(Revision(revision), domain))
        await asyncio.sleep(1)
        self.peers.take()

    async def test_a_new_flow_goes_to_another_domain_with_all_its_choices(self):
        """Guards against an agent that passes an opening on into the domain."""
        await self.cordon(200, "a")
        self.receive(packet(SYN))
        message, agent = self.forwarded()
        names = {agent, *(".".join(map(str, a)) for a in message.alternatives)}
        self.assertEqual(names, {"10.0.0.11", "10.0.0.12"})

    async def test_a_copy_of_an_opening_under_way_goes_elsewhere(self):
        """Guards against a copy that opens the flow in the domain after all."""
        self.receive(packet(SYN))
        _, agent = self.forwarded()
        self.assertTrue(agent.startswith("10.0.0.") and len(agent) == 8, agent)
        await self.cordon(200, "a")
        self.receive(packet(SYN, ack=1))
        _, agent = self.forwarded()
        self.assertIn(agent, {"10.0.0.11", "10.0.0.12"})

    async def test_an_open_flow_stays(self):
        """Guards against a cordon that breaks the flows of its failure domain."""
        agent = self.open_flow()
        await self.cordon(200, "a")
        self.receive(DATA)
        self.assertEqual(self.forwarded()[1], agent)

    async def test_a_lost_flow_is_still_searched_for_in_the_domain(self):
        """Guards against a reset of a flow that is held in the domain."""
        await self.cordon(200, "a")
        view = self.catalog.view
        found = order_lookup(
            KEY, {"a": list(view.listed("portal"))}, {}, self.entry._board, "a"
        )
        self.assertIn("10.0.0.1", {s.address for s in found})
        self.receive(DATA)
        self.assertTrue(self.peers.take_forwards())

    async def test_with_all_domains_out_a_caller_is_refused_at_once(self):
        """Guards against a caller that waits for an opening that nobody may accept."""
        await self.cordon(200, "a")
        await self.cordon(201, "b")
        self.receive(packet(SYN))
        self.assertEqual(len(self.resets()), 1)
        counters = self.kernel.counters.values()
        self.assertEqual(counters["balsamspool_datagram_rejections.out-of-service"], 1)

    async def test_status_names_domain_revision_and_time(self):
        """Guards against an operator who can't see whether the request is in force."""
        await self.cordon(200, "a")
        shown = self.catalog.status()["cordons"]["a"]
        self.assertEqual(shown["revision"], "200")
        self.assertGreater(shown["since_seconds"], 0.1)

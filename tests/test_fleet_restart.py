"""Lost flows after a restart of all hosts: the evidence, and when it is in force."""

import asyncio
from dataclasses import dataclass
from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from balsamspool.datagram._codec import encode_small
from balsamspool.datagram.messages import FlowLocated
from balsamspool.kernel.clock import now
from balsamspool.plugins.catalog.fleet_restart import (
    START_SPREAD_MS,
    Doubt,
    FleetRestarted,
    FleetState,
    Listing,
    Unproven,
    judge_restart,
)
from balsamspool.plugins.catalog.model import (
    BackendState,
    Changes,
    DomainUncordoned,
    RecordIgnored,
    ServerPublished,
    ServerRemoved,
)
from balsamspool.plugins.catalog.removals import RELISTING_SECONDS, RemovedServer
from balsamspool.plugins.catalog.revision import Revision
from balsamspool.plugins.catalog.view import CatalogView
from tests.datagram_entry_case import DATA, KEY, EntryCase
from tests.datagram_fakes import routes, server
from tests.log_capture import recorded_events

START_MS = 1_000_000
HOSTS = 4
HISTORY_END = 100
DOMAINS = ("a", "b")


def old(number, **fields):
    """Return a host from before the restart."""
    values = {
        "name": f"old-{number}",
        "failure_domain": DOMAINS[number % 2],
        "started_ms": START_MS - 60_000,
    }
    return server(number, **(values | fields))


def new(number, **fields):
    """Return a host that has just started."""
    values = {
        "name": f"new-{number}",
        "failure_domain": DOMAINS[number % 2],
        "started_ms": START_MS + 100 * number,
        "warmup": 2.0,
    }
    return server(number, **(values | fields))


def started(revision, backend_server):
    """Return the record of an entry that is created."""
    return ServerPublished(Revision(revision), backend_server, Revision(revision))


def removed(revision, backend_server):
    return ServerRemoved(Revision(revision), backend_server.name)


def listing(record):
    return Listing(record.server, Revision(record.created))


def judge(records, listed, gone=(), services=("portal",), returned=False):
    history = Changes(Revision(HISTORY_END), tuple(records))
    state = FleetState(tuple(listed), tuple(gone), frozenset(services), returned)
    return judge_restart(history, state)


class Restart:
    """Records of a restart of all hosts, some time after an outage.

    The entries of the first two hosts expired in the outage; only the first one was
    listed again. All expired once more after the restart.
    """

    def __init__(self, numbers=range(1, HOSTS + 1)):
        self.outage = [
            removed(10, old(1)),
            removed(11, old(2)),
            started(15, old(1)),
        ]
        self.starts = [started(20 + n, new(n)) for n in numbers]
        self.expiries = [removed(40 + n, old(n)) for n in numbers if n != 2]
        self.listed = [listing(record) for record in self.starts]

    @property
    def records(self):
        return [*self.outage, *self.starts, *self.expiries]


class JudgeTest(TestCase):
    def setUp(self):
        self.restart = Restart()

    def assert_doubt(self, doubt, verdict):
        self.assertIsInstance(verdict, Unproven)
        self.assertIs(verdict.doubt, doubt)

    def test_a_restart_shortly_after_an_outage_is_seen(self):
        """Guards against resets 2 s late because entries had expired before."""
        verdict = judge(self.restart.records, self.restart.listed)
        self.assertEqual(
            verdict,
            FleetRestarted(
                started=4,
                renamed=4,
                failure_domains=2,
                services=1,
                gone=4,
                unlocated=3,
                spare=3,
                spread_ms=300,
            ),
        )

    def test_predecessors_that_are_still_listed_do_not_hide_a_restart(self):
        """Guards against a wait until the entries from before have expired."""
        records = [*self.restart.outage, *self.restart.starts]
        before = [Listing(old(n), Revision(3)) for n in (3, 4)]
        verdict = judge(records, [*self.restart.listed, *before])
        self.assertIsInstance(verdict, FleetRestarted)

    def test_hosts_that_are_listed_after_the_history_count(self):
        """Guards against hosts that register late and are taken for old ones."""
        late = [listing(started(HISTORY_END + n, new(n))) for n in (3, 4)]
        records = [*self.restart.outage, *self.restart.starts[:2]]
        expired = [RemovedServer(old(n), 0.0) for n in (3, 4)]
        verdict = judge(records, [*self.restart.listed[:2], *late], expired)
        self.assertIsInstance(verdict, FleetRestarted)

    def test_a_host_that_restarts_under_its_name_has_lost_its_flows(self):
        """Guards against one host that kept its name and makes all flows wait."""
        same = ServerPublished(
            Revision(24), new(4, name="old-4", started_ms=START_MS - 300), Revision(3)
        )
        listed = [*self.restart.listed[:3], listing(same)]
        records = [
            *self.restart.outage,
            *self.restart.starts[:3],
            same,
            *self.restart.expiries[:2],
        ]
        verdict = judge(records, listed)
        self.assertIsInstance(verdict, FleetRestarted)
        self.assertEqual((verdict.started, verdict.renamed), (4, 3))

    def test_a_host_that_is_not_back_yet_may_have_survived(self):
        """Guards against a reset of a flow while its host is about to be listed."""
        verdict = judge(self.restart.records, self.restart.listed[:3])
        self.assert_doubt(Doubt.TOO_FEW_STARTED, verdict)

    def test_a_host_whose_address_is_known_is_not_replaced_elsewhere(self):
        """Guards against a start at another address that counts for a survivor."""
        extra = started(30, new(9))
        records = [*self.restart.outage, *self.restart.starts[1:], extra]
        listed = [*self.restart.listed[1:], listing(extra)]
        survivor = RemovedServer(old(1), 0.0)
        verdict = judge(records, listed, [survivor])
        self.assertEqual(verdict, Unproven(Doubt.PLACE_VACANT, "old-1"))

    def test_a_draining_host_may_have_expired_too(self):
        """Guards against a reset of a flow at a leaving host in an outage."""
        leaving = old(7, state=BackendState.DRAINING)
        records = [
            ServerPublished(Revision(5), leaving, Revision(2)),
            *self.restart.records,
            removed(60, leaving),
        ]
        verdict = judge(records, self.restart.listed)
        self.assertEqual(verdict, Unproven(Doubt.PLACE_VACANT, "old-7"))

    def test_an_entry_that_another_writer_spoiled_hides_a_live_host(self):
        """Guards against a reset of a flow whose host has an unreadable entry."""
        spoiled = RecordIgnored(Revision(60), "old-7", "no state")
        verdict = judge([*self.restart.records, spoiled], self.restart.listed)
        self.assert_doubt(Doubt.TOO_FEW_STARTED, verdict)

    def test_a_new_host_without_a_predecessor_is_needed_for_a_spare(self):
        """Guards against a start whose predecessor is known counting twice."""
        records = [
            ServerPublished(Revision(1), old(3), Revision(1)),
            *self.restart.records,
        ]
        verdict = judge(records, self.restart.listed)
        self.assertIsInstance(verdict, FleetRestarted)
        records.append(removed(60, old(8)))
        self.assert_doubt(Doubt.TOO_FEW_STARTED, judge(records, self.restart.listed))

    def test_hosts_that_were_added_hide_no_survivor(self):
        """Guards against a start of a new fleet that counts for an expired host."""
        starts = self.restart.starts
        verdict = judge([removed(10, old(9)), *starts], self.restart.listed)
        self.assert_doubt(Doubt.WITHOUT_PREDECESSOR, verdict)

    def test_a_listed_host_from_before_shows_that_not_all_restarted(self):
        """Guards against a partial loss of power that counts as a restart."""
        alive = Listing(old(5), Revision(3))
        verdict = judge(self.restart.records, [*self.restart.listed, alive])
        self.assertEqual(verdict, Unproven(Doubt.NOT_STARTED, "old-5"))

    def test_one_failure_domain_restarts_while_the_others_are_cut_off(self):
        """Guards against resets of flows in failure domains without power trouble."""
        restart = Restart(numbers=(2, 4))
        cut_off = [removed(50 + n, old(n)) for n in (1, 3)]
        records = [*restart.starts, *restart.expiries, *cut_off]
        verdict = judge(records, restart.listed)
        self.assert_doubt(Doubt.TOO_FEW_STARTED, verdict)
        known = [ServerPublished(Revision(5 + n), old(n), Revision(1)) for n in (1, 3)]
        records = [*known, *records]
        verdict = judge(records, restart.listed)
        self.assertEqual(verdict, Unproven(Doubt.DOMAIN_MISSING, "b"))

    def test_a_service_without_hosts_may_have_survived(self):
        """Guards against resets of flows of a service that is not listed at all."""
        verdict = judge(
            self.restart.records, self.restart.listed, services=("portal", "records")
        )
        self.assertEqual(verdict, Unproven(Doubt.SERVICE_MISSING, "records"))

    def test_only_the_processes_of_the_system_restarted(self):
        """Guards against resets of sound flows after a kill of all entries."""
        relisted = [started(20 + n, old(n)) for n in (1, 3, 4)]
        records = [*(removed(n, old(n)) for n in range(1, 5)), *relisted]
        verdict = judge(records, [listing(record) for record in relisted])
        self.assert_doubt(Doubt.NOT_STARTED, verdict)
        self.assert_doubt(Doubt.NOT_STARTED, judge(records, []))

    def test_hosts_of_one_age_that_are_listed_again_have_not_started(self):
        """Guards against hosts that all started with the system and then expired."""
        hosts = [new(n, warmup=0.0) for n in range(1, 5)]
        relisted = [started(20 + n, hosts[n]) for n in range(3)]
        records = [*(removed(n + 1, hosts[n]) for n in range(4)), *relisted]
        verdict = judge(records, [listing(record) for record in relisted])
        self.assert_doubt(Doubt.NOT_STARTED, verdict)

    def test_cold_hosts_that_are_listed_again_have_not_started(self):
        """Guards against hosts that turned cold and expired counting as started."""
        relisted = [started(20 + n, new(n)) for n in range(1, 4)]
        records = [*(removed(n, new(n)) for n in range(1, 5)), *relisted]
        verdict = judge(records, [listing(record) for record in relisted])
        self.assert_doubt(Doubt.NOT_STARTED, verdict)

    def test_a_cold_host_that_kept_its_start_has_not_started(self):
        """Guards against a host that turned cold in service counting as started."""
        cold = ServerPublished(Revision(30), old(5, warmup=2.0), Revision(3))
        listed = [*self.restart.listed, listing(cold)]
        verdict = judge([*self.restart.records, cold], listed)
        self.assert_doubt(Doubt.STARTS_APART, verdict)

    def test_a_failure_domain_that_came_back_makes_hosts_cold(self):
        """Guards against cold hosts of a returned failure domain counting as new."""
        back = DomainUncordoned(Revision(18), "a")
        verdict = judge([*self.restart.records, back], self.restart.listed)
        self.assert_doubt(Doubt.DOMAIN_RETURNED, verdict)
        verdict = judge(self.restart.records, self.restart.listed, returned=True)
        self.assert_doubt(Doubt.DOMAIN_RETURNED, verdict)

    def test_hosts_that_are_replaced_one_after_the_other_are_no_restart(self):
        """Guards against a release that counts as a restart of all hosts."""
        apart = [
            started(20 + n, new(n, started_ms=START_MS + n * START_SPREAD_MS))
            for n in range(1, 5)
        ]
        records = [*self.restart.outage, *apart, *self.restart.expiries]
        verdict = judge(records, [listing(record) for record in apart])
        self.assert_doubt(Doubt.STARTS_APART, verdict)

    def test_hosts_that_report_no_start_are_not_judged(self):
        """Guards against a decision without the starts of the hosts."""
        records = [started(20 + n, new(n, started_ms=None)) for n in range(1, 5)]
        listed = [listing(record) for record in records]
        self.assert_doubt(Doubt.NOT_STARTED, judge(records, listed))

    def test_an_entry_created_before_the_history_is_not_new(self):
        """Guards against a host whose entry may have been removed unseen."""
        earlier = [Listing(new(n), Revision(2)) for n in range(1, 5)]
        verdict = judge([*self.restart.outage, *self.restart.expiries], earlier)
        self.assert_doubt(Doubt.NOT_STARTED, verdict)
        listed = [*self.restart.listed[:3], earlier[3]]
        verdict = judge(self.restart.records, listed)
        self.assert_doubt(Doubt.TOO_FEW_STARTED, verdict)

    def test_a_restored_catalog_shows_no_restart(self):
        """Guards against entries that a restore lost without showing a removal."""
        era = Revision.of(1, HISTORY_END)
        state = FleetState(tuple(self.restart.listed), (), frozenset({"portal"}))
        history = Changes(era, tuple(self.restart.records))
        self.assert_doubt(Doubt.CATALOG_RESTORED, judge_restart(history, state))
        created = Revision.of(1, 1)
        later = [Listing(found.server, created) for found in self.restart.listed]
        verdict = judge(self.restart.records, later)
        self.assert_doubt(Doubt.CATALOG_RESTORED, verdict)

    def test_an_unknown_history_shows_no_restart(self):
        """Guards against a lost history that counts as one without removals."""
        state = FleetState(tuple(self.restart.listed), (), frozenset())
        self.assert_doubt(Doubt.HISTORY_UNKNOWN, judge_restart(None, state))


@dataclass(slots=True)
class Machine:
    """What happened at one machine.

    Attributes:
        survived: Whether its host kept running while its entry expired.
        relisted: Whether its entry had expired and come back before.
        known: Whether the history contains a publication of its host.
        expired: Whether the entry from before is no longer listed.
        seen: Whether the entry that judges saw the last removal itself.
        registered_late: Whether its next host registered after the history was read.
        same_name: Whether its next host has the same name.
    """

    survived: bool
    relisted: bool
    known: bool
    expired: bool
    seen: bool
    registered_late: bool
    same_name: bool


MACHINES = st.lists(st.builds(Machine, *[st.booleans()] * 7), min_size=1, max_size=8)


def played(machines):
    """Return history, listed and removed hosts after the machines' events."""
    records, listed, gone = [], [], []
    for number, machine in enumerate(machines):
        before = old(number, failure_domain="a")
        name = before.name if machine.same_name else f"new-{number}"
        after = new(number, failure_domain="a", name=name)
        if machine.known:
            records.append(ServerPublished(Revision(number + 1), before, Revision(1)))
        if machine.relisted:
            records.append(removed(10 + number, before))
            records.append(started(20 + number, before))
        replaced = not machine.survived and machine.same_name
        if (machine.survived or machine.expired) and not replaced:
            if machine.seen:
                gone.append(RemovedServer(before, 0.0))
            else:
                records.append(removed(40 + number, before))
        elif not replaced:
            listed.append(Listing(before, Revision(1)))
        if machine.survived:
            continue
        created = Revision(
            (HISTORY_END if machine.registered_late else 30) + number + 1
        )
        if replaced:
            created = Revision(1)
        record = ServerPublished(Revision(31 + number), after, created)
        if not machine.registered_late or replaced:
            records.append(record)
        listed.append(listing(record))
    records.sort(key=lambda record: record.revision)
    return records, listed, gone


class ScheduleTest(TestCase):
    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(MACHINES)
    def test_a_survivor_is_never_overlooked(self, machines):
        """Guards against a reset of a flow whose live host is not listed."""
        machines[0].survived = True
        verdict = judge(*played(machines))
        self.assertIsInstance(verdict, Unproven)

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(MACHINES)
    def test_a_restart_of_all_machines_is_seen(self, machines):
        """Guards against flows that wait although no host can hold them."""
        for machine in machines:
            machine.survived = False
        machines[0].same_name = False
        verdict = judge(*played(machines))
        self.assertIsInstance(verdict, FleetRestarted)


class DelayedRemovalTest(TestCase):
    def test_a_successor_completes_a_delayed_removal(self):
        """Guards against resets that wait for a host that has been replaced."""
        view = CatalogView()
        for number in (1, 2):
            view.apply(started(number, old(number)), 0.0)
        for number in (1, 2):
            view.apply(removed(10 + number, old(number)), 1.0)
        self.assertTrue(view.has_delayed_removals)
        view.apply(started(20, new(1)), 1.1)
        view.apply(started(21, new(2)), 1.2)
        self.assertFalse(view.has_delayed_removals)
        names = sorted(found.name for found in view.recently_removed)
        self.assertEqual(names, ["old-1", "old-2"])


class RestartedFleetCase(EntryCase):
    """An entry that has just started, while the hosts register after a restart."""

    settle_seconds = 0.05
    holder = None

    def fill_source(self):
        restart = Restart()
        self.servers = [new(n) for n in range(1, HOSTS + 1)]
        self.source.records = [routes(1), *restart.starts[:2]]
        self.source.revision = Revision(HISTORY_END)
        past = (*restart.outage, *restart.starts[:2], *restart.expiries)
        self.source.past = Changes(Revision(HISTORY_END), past)

    async def asyncSetUp(self):
        with recorded_events() as self.log:
            await super().asyncSetUp()
        self.kernel.tasks.append(asyncio.create_task(self.answer()))
        self.started = now()

    async def answer(self):
        """Answer searches as agents do whose hosts hold no flow but at `holder`."""
        while True:
            await asyncio.sleep(0.01)
            for message, agent in self.peers.take_forwards():
                chain = (agent, *message.alternatives)
                if self.holder in chain:
                    located = encode_small(FlowLocated(KEY))
                    self.peers.receive(located, (self.holder, 7720))
                else:
                    payload = bytes(message.payload)
                    self.return_packet(payload, chain[-1], len(chain))

    def register(self, *servers):
        """List further hosts."""
        first = self.source.revision + 1
        records = [started(first + n, found) for n, found in enumerate(servers)]
        self.source.records += records
        self.source.publish(*records)

    async def seconds_until_reset(self, limit):
        """Return the time until the caller is reset, None if it is not."""
        begin = now()
        while now() < begin + limit:
            if self.resets():
                return now() - begin
            await asyncio.sleep(0.01)
        return None


class EntryTest(RestartedFleetCase):
    async def test_a_lost_flow_is_reset_when_the_last_host_has_registered(self):
        """Guards against callers that wait 2 s after a restart of all hosts."""
        self.receive(DATA)
        await asyncio.sleep(0.6)
        self.assertFalse(self.catalog.complete)
        self.register(new(3))
        await asyncio.sleep(0.3)
        self.assertEqual(self.resets(), [])
        with recorded_events() as log:
            self.register(new(4))
            waited = await self.seconds_until_reset(1.0)
        self.assertLess(waited, 0.3)
        self.assertTrue(self.catalog.complete)
        (found,) = log.fields("fleet-restarted")
        self.assertEqual((found["started"], found["unlocated"]), (4, 3))
        self.assertEqual(
            self.kernel.counters.values()["balsamspool_catalog_fleet_restarts"], 1
        )

    async def test_a_host_of_another_service_is_queried_when_it_is_listed(self):
        """Guards against a lost flow that waits for the caller's next packet."""
        self.receive(DATA)
        await asyncio.sleep(0.6)
        self.register(new(3), new(4, service="records"))
        self.assertLess(await self.seconds_until_reset(1.0), 0.3)

    async def test_the_evidence_costs_no_more_calls_than_the_wait(self):
        """Guards against calls to the platform for each host that registers."""
        history_reads = []
        history = self.source.history

        async def counted(revision):
            history_reads.append(revision)
            return await history(revision)

        self.source.history = counted
        self.receive(DATA)
        for number in (3, 4):
            await asyncio.sleep(0.6)
            self.register(new(number))
        await asyncio.sleep(1.0)
        self.assertEqual(len(self.resets()), 1)
        self.assertEqual((len(history_reads), self.source.updates), (1, 2))

    async def test_a_flow_of_a_live_host_whose_entry_expired_is_kept(self):
        """Guards against a reset of an open flow in a partial loss of power."""
        self.receive(DATA)
        await asyncio.sleep(0.6)
        self.register(new(3))
        await asyncio.sleep(1.2)
        self.receive(DATA)
        self.assertFalse(self.catalog.complete)
        self.register(old(4))
        self.holder = "10.0.0.4"
        for _ in range(20):
            await asyncio.sleep(0.2)
            self.receive(DATA)
        self.assertEqual(self.resets(), [])

    async def test_a_lost_flow_is_reset_at_last_if_a_host_does_not_come_back(self):
        """Guards against flows that wait for a host that failed for good."""
        self.receive(DATA)
        self.register(new(3))
        waited = await self.seconds_until_reset(4.0)
        self.assertGreater(waited, RELISTING_SECONDS - 0.2)
        self.assertLess(waited, RELISTING_SECONDS + 0.3)

    async def test_an_outage_after_the_start_is_waited_for(self):
        """Guards against a restart that hides entries that expire after it."""
        self.receive(DATA)
        await asyncio.sleep(0.6)
        self.kernel.pauses += 1
        await asyncio.sleep(0.5)
        self.register(new(3), new(4))
        await asyncio.sleep(1.0)
        self.assertEqual(self.resets(), [])
        self.assertFalse(self.catalog.complete)
        self.assertIsNotNone(await self.seconds_until_reset(RELISTING_SECONDS))


class RestartSeenAtOnceTest(RestartedFleetCase):
    def fill_source(self):
        super().fill_source()
        starts = Restart().starts
        self.source.records = [routes(1), *starts]
        past = self.source.past
        self.source.past = replace(past, records=(*past.records, *starts[2:]))

    async def test_a_restart_that_the_history_shows_needs_no_wait(self):
        """Guards against callers that wait although all hosts have registered."""
        self.receive(DATA)
        waited = await self.seconds_until_reset(1.0)
        self.assertLess(waited, 0.3)

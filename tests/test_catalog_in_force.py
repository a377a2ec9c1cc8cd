"""Time from the acknowledgement of a route table until an entry serves by it."""

import asyncio

from balsamspool.plugins.catalog.upstream import CHANGE_BATCH_SECONDS
from tests.datagram_entry_case import EntryCase
from tests.datagram_fakes import SERVICE, SYN, packet, route, routes
from tests.silent_source import STEP_SECONDS, SilentSource

# Values of the users' deployments.
RECOVERY_SECONDS = 4.0
SILENCE_SECONDS = 1.0
OTHER = ("198.18.0.2", 443)


class LostAnswerTest(EntryCase):
    """An entry that reads the service itself, and alone is not answered."""

    source_type = SilentSource

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.version = 1
        self.openings = 0

    def publish(self, *changed):
        """Publish the next table, which always has a route at `OTHER`."""
        self.version += 1
        kept = route("portal", address=OTHER)
        record = routes(self.source.revision + 1, kept, *changed, version=self.version)
        self.source.write(record)

    def opens(self):
        """Return whether a new flow to `SERVICE` is forwarded."""
        self.openings += 1
        self.peers.take()
        self.receive(packet(SYN, source=("100.64.0.7", 2000 + self.openings)))
        return bool(self.peers.take_forwards())

    async def test_no_flow_opens_on_a_dropped_route_after_a_silence(self):
        """Guards against a confirmed table that is not in force in time (CONFIG)."""
        for moment in (0.0, 0.3, 1.0, 2.0, 2.4, 3.0, 5.9):
            with self.subTest(moment=moment):
                self.publish(route("portal", address=SERVICE))
                await asyncio.sleep(3 * RECOVERY_SECONDS)
                self.assertTrue(self.opens())
                self.publish(route("portal", address=SERVICE))
                await asyncio.sleep(CHANGE_BATCH_SECONDS + 2 * STEP_SECONDS + moment)
                await self.source.silence(SILENCE_SECONDS)
                self.publish()
                await asyncio.sleep(RECOVERY_SECONDS)
                self.assertFalse(self.opens())

"""Which authentic frames the mesh passes to subscribers."""

import random
from unittest import TestCase, mock

from balsamspool.plugins.mesh import guard as guard_module
from balsamspool.plugins.mesh._codec import OpenedFrame
from balsamspool.plugins.mesh.guard import WINDOW_IDS, FrameGuard, Fresh, Rejected
from balsamspool.plugins.mesh.message import Message, PeerAddress, mesh_message

OFFSET = 1000.0


@mesh_message(901, lifetime=1.0)
class Short:
    pass


def frame(number, sent_at, sender=b"s", receiver=b""):
    source = PeerAddress("10.0.0.1", 1)
    return OpenedFrame(Message(source, "s", sender, number, Short()), receiver, sent_at)


class FrameGuardTest(TestCase):
    def setUp(self):
        self.guard = FrameGuard(b"own")

    def reason(self, *args, time, **kwargs):
        match self.guard.check(frame(*args, **kwargs), time):
            case Rejected(reason):
                return reason
            case Fresh():
                return "fresh"

    def test_each_id_passes_once(self):
        """Guards against replays in any order, also far behind the newest frame."""
        ids = list(range(1, 3 * WINDOW_IDS, 3))
        random.Random(1).shuffle(ids)
        passed = [n for n in ids * 2 if self.reason(n, 0.0, time=OFFSET) == "fresh"]
        self.assertEqual(len(passed), len(set(passed)))
        self.assertEqual(self.reason(3 * WINDOW_IDS + 1, 0.0, time=OFFSET), "fresh")
        self.assertEqual(self.reason(1, 0.0, time=OFFSET), "replayed")

    def test_late_frame_is_dropped_without_a_shared_clock(self):
        """Guards against a frame that is processed after its time to live."""
        self.assertEqual(self.reason(1, 0.0, time=OFFSET), "fresh")
        self.assertEqual(self.reason(2, 5.0, time=OFFSET + 5.9), "fresh")
        self.assertEqual(self.reason(3, 5.0, time=OFFSET + 6.1), "late")

    def test_slow_clock_is_not_treated_as_delay(self):
        """Guards against fresh frames dropped after a day of clock drift."""
        for day_part in range(1, 1441):
            sent_at = day_part * 60 * (1 - 1e-4)
            reason = self.reason(day_part, sent_at, time=OFFSET + day_part * 60)
            self.assertEqual(reason, "fresh", day_part)

    def test_bound_frame_needs_the_incarnation(self):
        """Guards against a frame that was meant for an earlier process at this port."""
        self.assertEqual(
            self.reason(1, 0.0, time=OFFSET, receiver=b"old"), "other-incarnation"
        )
        self.assertEqual(self.reason(1, 0.0, time=OFFSET, receiver=b"own"), "fresh")

    def test_number_of_senders_is_bounded(self):
        """Guards against memory that grows with restarts of peers."""
        with mock.patch.object(guard_module, "SENDER_LIMIT", 2):
            for sender in (b"a", b"b"):
                self.reason(1, 0.0, time=OFFSET, sender=sender)
            reason = self.reason(1, 0.0, time=OFFSET + 1, sender=b"c")
            self.assertEqual(reason, "too-many-senders")
            reason = self.reason(1, 0.0, time=OFFSET + 61, sender=b"c")
            self.assertEqual(reason, "fresh")
            self.assertEqual(len(self.guard._senders), 2)

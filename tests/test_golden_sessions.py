"""Messages of sessions compared with golden files, see ``tests/golden_sessions.py``."""

from unittest import IsolatedAsyncioTestCase

from tests.golden_sessions import SESSIONS, golden_path, run_session


class GoldenSessionsTest(IsolatedAsyncioTestCase):
    async def test_sessions_equal_their_golden_files(self):
        """Guards against an unnoticed change of the messages in a session."""
        for scenario in SESSIONS:
            with self.subTest(scenario.__name__):
                found = (await run_session(scenario)).splitlines()
                golden = golden_path(scenario).read_text().splitlines()
                self.assertEqual(found, golden)

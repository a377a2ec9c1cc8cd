"""Whole sessions compared with golden files; see ``tests/golden_sessions.py``."""

from unittest import IsolatedAsyncioTestCase

from tests.golden_sessions import SESSIONS, golden_path, run_session


class GoldenSessionsTest(IsolatedAsyncioTestCase):
    async def test_sessions_equal_their_golden_files(self):
        """Guards against a change of what the parts say to each other in a session."""
        for course in SESSIONS:
            with self.subTest(course.__name__):
                found = (await run_session(course)).splitlines()
                golden = golden_path(course).read_text().splitlines()
                self.assertEqual(found, golden)

"""Pages that are written from the code."""

from unittest import TestCase

from scripts.write_tables import pages


class TablesTest(TestCase):
    def test_pages_match_the_code(self):
        """Guards against codes and events that operators cannot look up."""
        for path, text in pages().items():
            with self.subTest(page=path.name):
                self.assertEqual(path.read_text(), text, "run scripts/write_tables.py")

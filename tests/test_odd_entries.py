"""Odd entries of other writers: each names no host, and the others hold."""

from base64 import b64encode
from unittest import TestCase

from balsamspool.kernel.settings import split_endpoint, split_host_endpoint
from balsamspool.plugins.catalog.delta import (
    CatalogDelta,
    decode_delta,
    encode_delta,
)
from balsamspool.plugins.catalog.model import (
    RecordIgnored,
    ServerPublished,
    ServerRemoved,
)
from balsamspool.plugins.catalog.record_log import RecordLog
from standins.odd_entries import WRONG_ADDRESSES, entry, odd_entries
from tests.datagram_fakes import ADAPTER, routes  # noqa: F401  sets the import path

from fleet_adapter.records import Item, record_of  # isort: skip

# The longest line of a log that one entry may cause.
MAX_DETAIL_CHARACTERS = 300


def item(text, key="servers/odd", revision=7):
    return Item(key, revision, b64encode(text).decode())


class OddEntryTest(TestCase):
    def test_an_odd_entry_names_no_host(self):
        """Guards against an entry that ends the reading of the list, or is used."""
        for text in odd_entries():
            found = record_of(item(text))
            self.assertIsInstance(found, RecordIgnored, text[:200])
            self.assertEqual(found.name, "odd")

    def test_the_log_of_an_odd_entry_is_bounded(self):
        """Guards against a value of a megabyte that is written to the log."""
        for text in odd_entries():
            self.assertLess(len(record_of(item(text)).detail), MAX_DETAIL_CHARACTERS)

    def test_records_beside_an_odd_entry_reach_the_peers(self):
        """Guards against a number that no message to a peer can hold."""
        good = record_of(item(entry(), "servers/good"))
        self.assertIsInstance(good, ServerPublished)
        for text in odd_entries():
            delta = CatalogDelta(7, True, (record_of(item(text)), good), None)
            self.assertIn(good, decode_delta(encode_delta(delta)).records)

    def test_the_depth_that_is_read_does_not_depend_on_the_caller(self):
        """Guards against an entry that is read by some machines and not by others."""

        def found_below(frames, text):
            if frames:
                return found_below(frames - 1, text)
            return type(record_of(item(text)))

        for levels in (60, 70, 300, 900, 980):
            text = entry("other", b"[" * levels + b"]" * levels)
            kinds = {found_below(frames, text) for frames in (0, 200, 600)}
            self.assertEqual(len(kinds), 1, levels)

    def test_brackets_in_strings_are_not_levels(self):
        """Guards against a good entry that is refused for the text of a field."""
        for text in (b'"' + b"[" * 500 + b'"', b'"\\"' + b"{" * 500 + b'\\\\"'):
            self.assertIsInstance(
                record_of(item(entry("other", text))), ServerPublished
            )

    def test_a_key_without_a_name_does_not_replace_the_routes(self):
        """Guards against an entry that takes the route table from the peers."""
        log = RecordLog()
        log.apply(routes(1))
        found = record_of(item(entry(), "servers/"))
        self.assertIsInstance(found, RecordIgnored)
        log.apply(found)
        self.assertIsNone(record_of(Item("servers/", 8, deleted=True)))
        log.apply(RecordIgnored(9, "", "of an older version"))
        log.apply(ServerRemoved(10, ""))
        self.assertIn(routes(1), log.listed())


class EndpointTest(TestCase):
    def test_other_forms_of_an_endpoint_are_refused(self):
        """Guards against a port in another script, with blanks or out of range."""
        for endpoint in WRONG_ADDRESSES:
            with self.assertRaises(ValueError, msg=endpoint):
                split_host_endpoint(endpoint)

    def test_endpoints(self):
        """Guards against endpoints that are refused although they can be used."""
        for port in (1, 80, 65_535):
            found = split_host_endpoint(f"10.0.0.1:{port}")
            self.assertEqual(found, ("10.0.0.1", port))
        # A process may listen at all its addresses.
        self.assertEqual(split_endpoint("0.0.0.0:80"), ("0.0.0.0", 80))

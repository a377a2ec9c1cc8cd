"""Tests of the platform adapter: packet layout, items of the store, folder."""

import platform
import subprocess
import sys
from base64 import b64encode
from unittest import TestCase

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from balsamspool.plugins.catalog.model import (
    BackendState,
    DomainCordoned,
    DomainUncordoned,
    RecordIgnored,
    RoutesPublished,
    ServerPublished,
    ServerRemoved,
    Target,
)
from tests.datagram_fakes import (
    ACK,
    ADAPTER,
    BOUNCED,
    CODEC,
    FIN,
    RST,
    SYN,
    answer,
    packet,
)

from fleet_adapter.records import Item, record_of  # isort: skip

# Examples from the platform's packet description.
OPENING = bytes.fromhex(
    "021122334400000000c6120001644000079c4101bba1b2c3d5000000000000"
)
RESET = bytes.fromhex(
    "0400000000000000006440 0007c612000101bb9c41000000000000000000 00"
)
MAX_LINES = 600


class PacketTest(TestCase):
    def test_opening_packet_and_its_reset_match_the_description(self):
        """Guards against packet fields that are read at wrong offsets."""
        found = CODEC.decode(OPENING)
        self.assertTrue(found.opens)
        self.assertEqual(found.source, bytes.fromhex("644000079c41"))
        self.assertEqual(found.destination, bytes.fromhex("c612000101bb"))
        self.assertEqual(CODEC.reset(found), RESET)

    def test_reset_of_an_open_flow_is_near_the_acknowledged_sequence(self):
        """Guards against a reset that a caller ignores."""
        found = CODEC.decode(packet(ACK, b"x", ack=0xABCDEF01))
        self.assertEqual(CODEC.reset(found)[1:5], bytes.fromhex("abcdef01"))

    def test_flags(self):
        """Guards against an accepting or copied packet that counts as a new flow."""
        self.assertFalse(CODEC.decode(answer(SYN | ACK)).opens)
        self.assertTrue(CODEC.decode(answer(SYN | ACK)).accepts)
        self.assertEqual(CODEC.decode(packet(SYN, ack=2)).attempt, 2)
        self.assertTrue(CODEC.decode(packet(FIN | ACK)).ends)
        self.assertTrue(CODEC.decode(packet(RST)).resets)
        self.assertTrue(CODEC.decode(packet(ACK | BOUNCED)).returned)

    def test_encoding_changes_only_tag_and_returned_flag(self):
        """Guards against a packet whose keyed checksum fails at the next host."""
        data = packet(ACK | BOUNCED, b"body", echo=b"abcd")
        sent = b"".join(CODEC.encode(CODEC.decode(data), b"wxyz"))
        self.assertEqual(sent, packet(ACK, b"body", echo=b"wxyz"))

    @given(st.binary(max_size=80))
    def test_other_datagrams_are_rejected(self, data):
        """Guards against a malformed datagram that stops the process."""
        found = CODEC.decode(data)
        if found is not None:
            self.assertEqual(len(data), 31 + found.length)


def item(key, value, revision=7):
    if not isinstance(value, bytes):
        value = msgspec.json.encode(value)
    return Item(key, revision, b64encode(value).decode())


SERVER = {
    "service": "portal",
    "addr": "10.0.0.1:8080",
    "zone": "a",
    "version": "v1",
    "concurrency": 2,
    "state": "ready",
    "warmup-left-ms": 1500,
    "seq": 4,
    "born": 1_700_000_000_000,
}


class RecordTest(TestCase):
    def test_server(self):
        """Guards against fields of an entry that are read wrongly."""
        found = record_of(item("servers/i-1", SERVER))
        self.assertIsInstance(found, ServerPublished)
        self.assertEqual(found.server.name, "i-1")
        self.assertEqual(found.server.address, "10.0.0.1")
        self.assertEqual(found.server.warmup, 1.5)
        self.assertIs(found.server.state, BackendState.READY)

    def test_unusable_servers_become_ignored_records(self):
        """Guards against one unusable entry that prevents the use of all others."""
        wrong = [
            SERVER | {"state": "resting"},
            SERVER | {"addr": "host-1:8080"},
            SERVER | {"addr": "10.0.0.1"},
            SERVER | {"concurrency": "2"},
            {k: v for k, v in SERVER.items() if k != "service"},
            SERVER | {"born": "today"},
            b"\xff\xfe not JSON",
        ]
        for value in wrong:
            found = record_of(item("servers/i-1", value))
            self.assertIsInstance(found, RecordIgnored, value)
            self.assertEqual(found.name, "i-1")
        found = record_of(Item("servers/i-1", 7, "no base64!"))
        self.assertIsInstance(found, RecordIgnored)

    def test_removal_and_other_keys(self):
        """Guards against a missed removal and against use of an unrelated key."""
        removed = Item("servers/i-1", 9, deleted=True)
        self.assertEqual(record_of(removed), ServerRemoved(9, "i-1"))
        self.assertIsNone(record_of(item("other/i-1", SERVER)))
        self.assertIsNone(record_of(Item("op/config", 9, deleted=True)))

    def test_configuration(self):
        """Guards against routes that lead to another service or port."""
        config = {
            "version": 7,
            "routes": [
                {
                    "name": "r-1",
                    "host": "198.18.0.1",
                    "prefix": "/8443/",
                    "kind": "unsafe",
                    "timeout-ms": 1200,
                    "goal-ms": 200,
                    "priority": 1,
                    "service": "portal",
                },
                {
                    "name": "r-2",
                    "host": "198.18.0.1",
                    "prefix": "/8080/",
                    "kind": "safe",
                    "split": [
                        {"service": "portal", "weight": 90},
                        {"service": "records", "weight": 10},
                    ],
                },
                {"name": "r-3", "host": "198.18.0.1", "prefix": "/x/"},
            ],
            "services": [],
            "limits": {"idle-timeout-ms": 9000},
        }
        found = record_of(item("op/config", config))
        self.assertIsInstance(found, RoutesPublished)
        first, second = found.table.routes
        self.assertEqual((first.address, first.port), ("198.18.0.1", 8443))
        self.assertEqual(first.targets, (Target("portal"),))
        self.assertEqual(second.targets, (Target("portal", 90), Target("records", 10)))
        self.assertEqual(found.table.idle_seconds, 9.0)
        self.assertIsInstance(record_of(item("op/config", [])), RecordIgnored)


class CordonTest(TestCase):
    def test_an_item_takes_a_failure_domain_out_and_its_removal_back(self):
        """Guards against an operator's request that is not read."""
        found = record_of(item("op/evacuate/hall-a", {}))
        self.assertEqual(found, DomainCordoned(7, "hall-a"))
        removed = Item("op/evacuate/hall-a", 9, deleted=True)
        self.assertEqual(record_of(removed), DomainUncordoned(9, "hall-a"))

    def test_an_item_that_cannot_be_read_is_ignored(self):
        """Guards against a process that stops, or a domain out by mistake."""
        for value in (b"\xff", b"", [], "x", 1):
            found = record_of(item("op/evacuate/hall-a", value))
            self.assertIsInstance(found, RecordIgnored, value)
        self.assertIsInstance(record_of(item("op/evacuate/", {})), RecordIgnored)
        self.assertIsNone(record_of(Item("op/evacuate/", 9, deleted=True)))


class FolderTest(TestCase):
    def test_the_folder_does_not_shadow_the_standard_module(self):
        """Guards against a folder that replaces the standard module `platform`."""
        self.assertTrue(callable(platform.python_version))
        self.assertFalse((ADAPTER / "__init__.py").exists())
        root = ADAPTER.parent
        code = "import platform; print(platform.python_version())"
        done = subprocess.run(
            [sys.executable, "-c", code], cwd=root, capture_output=True, check=True
        )
        self.assertTrue(done.stdout.strip())

    def test_the_adapter_is_small_and_its_names_stay_inside(self):
        """Guards against a growing adapter and platform names outside of it."""
        lines = sum(len(p.read_text().splitlines()) for p in ADAPTER.rglob("*.py"))
        self.assertLess(lines, MAX_LINES)
        for path in (ADAPTER.parent / "balsamspool").rglob("*.py"):
            text = path.read_text()
            for word in (
                "/-/",
                "warmup-left",
                "store-revision",
                "op/config",
                "evacuat",
            ):
                self.assertNotIn(word, text, path)

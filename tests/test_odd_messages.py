"""Odd messages between processes: each is refused alone, and work goes on."""

import math
import zlib
from contextlib import suppress
from unittest import IsolatedAsyncioTestCase, TestCase

import msgspec

from balsamspool.datagram.sockets import BatchSocket
from balsamspool.minihttp.client import MAX_BODY_BYTES, HttpConnection
from balsamspool.plugins.catalog.delta import (
    MAX_BYTES,
    CatalogDelta,
    decode_delta,
    encode_delta,
)
from balsamspool.plugins.catalog.feed import CatalogFeed
from balsamspool.plugins.catalog.model import Snapshot
from balsamspool.plugins.catalog.peers import CHANGES_PATH, CatalogPeers
from tests._clock import PausedClockTestCase
from tests.datagram_fakes import FakeKernel, Role, published, routes, server
from tests.raw_server import answer, run_raw_server

RECORDS = (routes(1), *published(2, server(1)))
NESTED = b"\x91" * 5_000 + b"\x01"


def message(records=b"", **fields):
    """Return a message whose fields are not checked."""
    values = {"revision": 9, "complete": True, "records": records, "age": 0.5}
    values |= {"outage_age": None, "all_tables": False, "cordons": True} | fields
    return msgspec.msgpack.encode(list(values.values()))


def compressed(*records):
    """Return encoded records; octets stand for themselves."""
    parts = [
        record
        if isinstance(record, bytes)
        else msgspec.msgpack.encode(record, enc_hook=int)
        for record in records
    ]
    head = bytes((0x90 | len(parts),))
    return zlib.compress(head + b"".join(parts))


class OddDeltaTest(TestCase):
    def test_odd_numbers_of_a_peer_are_refused(self):
        """Guards against a time of the last answer that is no number."""
        records = compressed(*RECORDS)
        self.assertEqual(decode_delta(message(records)).records, RECORDS)
        for field in ("age", "outage_age"):
            for number in (math.nan, math.inf, -math.inf, -1.0, 1e300):
                with self.assertRaises(ValueError, msg=(field, number)):
                    decode_delta(message(records, **{field: number}))

    def test_nested_messages_are_refused(self):
        """Guards against a message that raises another error than `ValueError`."""
        for data in (
            NESTED,
            message(zlib.compress(NESTED)),
            message(compressed(NESTED)),
            message(compressed(*RECORDS))[:1] + NESTED,
        ):
            with suppress(ValueError):
                self.assertEqual(decode_delta(data).records, ())

    def test_an_odd_record_of_a_peer_leaves_the_others(self):
        """Guards against a peer of another version whose records are all lost."""
        good = msgspec.to_builtins(RECORDS[1], enc_hook=int)
        for field, value in (
            ("port", 70_000),
            ("slots", 1 << 62),
            ("service", ""),
            ("started_ms", 1 << 62),
            ("state", "resting"),
        ):
            odd = good | {"server": good["server"] | {field: value}}
            found = decode_delta(message(compressed(RECORDS[0], odd, RECORDS[1])))
            self.assertEqual(found.records, RECORDS, field)

    def test_records_that_grow_without_bound_are_refused(self):
        """Guards against a small message that fills the memory."""
        bomb = zlib.compress(bytes(MAX_BYTES + 1))
        self.assertLess(len(bomb), 20_000)
        with self.assertRaises(ValueError):
            decode_delta(message(bomb))


class OddRequestTest(PausedClockTestCase):
    async def test_odd_numbers_of_a_request_are_refused(self):
        """Guards against a number that makes the page fail with an error."""
        kernel = FakeKernel(Role.DATAGRAM_ENTRY, "10.0.0.9", {})
        peers = CatalogPeers(kernel)
        feed = CatalogFeed()
        feed.record_snapshot(Snapshot(9, RECORDS))
        peers._answer = feed.changes_after
        for number in ("9" * 30, "9" * 400, "9" * 5_000, "٣", "1e3", "nan", "+1", ""):
            for query in (f"after={number}", f"after=1&wait-ms={number}"):
                if number or "wait" not in query:
                    page = await peers._server._page(CHANGES_PATH, query)
                    self.assertEqual(page.status, 400, query[:60])
        page = await peers._page(CHANGES_PATH, "after=-1&wait-ms=99999999")
        self.assertEqual(decode_delta(page.body).records, RECORDS)


class OddAnswerTest(IsolatedAsyncioTestCase):
    async def test_a_body_without_bound_is_refused(self):
        """Guards against an answer that fills the memory of each process."""
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunk = b"%x\r\n%b\r\n" % (1 << 20, bytes(1 << 20))
        async with run_raw_server() as found:
            chunks = [chunk] * ((MAX_BODY_BYTES >> 20) + 1)
            found.scripts = [[head, *chunks, 5.0], [answer(b"next")]]
            connection = HttpConnection("127.0.0.1", found.port)
            with self.assertRaisesRegex(OSError, "too large"):
                await connection.get("/x", 4.0)
            response = await connection.get("/x", 4.0)
            self.assertEqual(bytes(response.body), b"next")
            connection.close()


class OddReceiverTest(PausedClockTestCase):
    async def test_datagrams_to_odd_receivers_are_lost_and_counted(self):
        """Guards against an address that ends the task which sends to it."""
        opened = BatchSocket(("127.0.0.1", 0), lambda data, sender: None)
        receivers = [
            ("255.255.255.255", 9),
            ("127.0.0.1", 0),
            ("127.0.0.1", 65_536),
            ("127.0.0.1", -1),
            ("127.0.0.1", 10**30),
        ]
        with self.assertLogs("balsamspool.datagram.sockets", "WARNING"):
            for receiver in receivers:
                opened.send([b"x"], receiver)
        self.assertEqual(opened.send_failures, len(receivers))
        opened.close()


class EncodingTest(TestCase):
    def test_the_helper_builds_what_a_peer_sends(self):
        """Guards against odd messages that are refused for another reason."""
        delta = CatalogDelta(9, True, RECORDS, 0.5)
        self.assertEqual(decode_delta(encode_delta(delta)), delta)
        self.assertEqual(decode_delta(message(compressed(*RECORDS))), delta)

"""Odd routes and tables: the other routes, or the last table, stay in force."""

import json
import random
from base64 import b64encode
from unittest import TestCase

from balsamspool.placement.rendezvous import choose_target
from balsamspool.plugins.catalog.delta import encode_records
from balsamspool.plugins.catalog.model import RecordIgnored, RoutesPublished
from balsamspool.plugins.catalog.view import CatalogView
from tests.datagram_fakes import ADAPTER  # noqa: F401  sets the import path

from fleet_adapter.records import Item, record_of  # isort: skip

GOOD = b'{"name":"r-1","host":"198.18.0.1","prefix":"/443/","service":"portal"}'
SPLIT = (
    b'{"name":"odd","host":"198.18.0.1","prefix":"/80/",'
    b'"split":[{"service":"a","weight":%b},{"service":"b","weight":1}]}'
)
ODD_ROUTES = (
    b"7",
    b"null",
    b"{}",
    *(
        GOOD.replace(b"/443/", prefix)
        for prefix in (
            b"/0/",
            b"/65536/",
            b"/ 80/",
            "/٣/".encode(),
            "/²/".encode(),
            b"/-1/",
            b"/x/",
            b"/" + b"9" * 30 + b"/",
            b"/" + b"9" * 5_000 + b"/",
            b"\\ud800",
            b"\xff",
        )
    ),
    *(
        GOOD.replace(b"198.18.0.1", host)
        for host in (b"", b"host-1", b"198.18.0.256", b"::1", b"\xff")
    ),
    GOOD.replace(b'"portal"', b'""'),
    GOOD.replace(b'"portal"', b"null"),
    GOOD.replace(b"}", b',"goal-ms":1e400}'),
    GOOD.replace(b"}", b',"priority":' + b"9" * 30 + b"}"),
    GOOD.replace(b"}", b',"x":' + b"[" * 70 + b"]" * 70 + b"}"),
    GOOD.replace(b"}", b',"x":' + b"[" * 3_000 + b"]" * 3_000 + b"}"),
    *(
        SPLIT % weight
        for weight in (b"-1", b"1e3", b"9" * 30, b"9" * 400, b"9" * 5_000)
    ),
)
ODD_TABLES = (
    b"[]",
    b"7",
    b'{"version":1}',
    b'{"version":%b,"routes":[]}' % (b"9" * 30),
    b'{"version":-1,"routes":[]}',
    b'{"version":9,"routes":{}}',
    b'{"version":9,"routes":[7]}',
    b'{"version":9,"routes":[' + b"[" * 3_000 + b"]" * 3_000 + b"]}",
    b'{"version":9,"routes":[],"limits":{"idle-timeout-ms":1e400}}',
    b"[" * 70 + b"]" * 70,
    b"{",
)


def config(*routes, version=3):
    return b'{"version":%d,"routes":[%b]}' % (version, b",".join(routes))


def record(text, revision=7):
    return record_of(Item("op/config", revision, b64encode(text).decode()))


class OddRouteTest(TestCase):
    def test_an_odd_route_leaves_the_others(self):
        """Guards against a route that takes the whole table with it."""
        for odd in ODD_ROUTES:
            with self.assertLogs("fleet_adapter.records", "WARNING") as logs:
                found = record(config(odd, GOOD))
            self.assertIsInstance(found, RoutesPublished, odd[:200])
            self.assertEqual([r.name for r in found.table.routes], ["r-1"], odd[:200])
            encode_records((found,))
            self.assertEqual(len(logs.output), 1)
            self.assertLess(len(logs.records[0].fields["first"]), 300)

    def test_many_odd_routes_are_one_line(self):
        """Guards against a table that fills the log."""
        with self.assertLogs("fleet_adapter.records", "WARNING") as logs:
            record(config(GOOD, *ODD_ROUTES))
        self.assertEqual(len(logs.output), 1)
        self.assertEqual(logs.records[0].fields["count"], len(ODD_ROUTES))

    def test_the_largest_weight_can_be_used(self):
        """Guards against a weight that makes the choice of a service fail."""
        found = record(config(SPLIT % b"1000000")).table.routes[0]
        rng = random.Random(1)
        chosen = {choose_target(rng.randbytes(12), found.targets) for _ in range(50)}
        self.assertEqual({target.service for target in chosen}, {"a"})

    def test_odd_services_leave_the_routes(self):
        """Guards against a service that takes the table with it, or fills the log.

        Only the limits of new flows at cold backend servers depend on the services.
        """
        good = b'{"name":"portal","warmup-s":2,"warmup-per-s":5}'
        many = b"[" + b"7," * 100 + good + b"]"
        for odd, limits in ((b"null", 0), (b"{}", 0), (b"7", 0), (many, 1)):
            text = config(GOOD).replace(b"{", b'{"services":%b,' % odd, 1)
            with self.assertLogs("fleet_adapter.records", "WARNING") as logs:
                found = record(text)
            self.assertIsInstance(found, RoutesPublished, odd[:100])
            self.assertEqual(len(found.table.routes), 1)
            self.assertEqual(len(found.table.slow_starts), limits)
            self.assertEqual(len(logs.output), 1)

    def test_an_odd_table_leaves_the_last_one_in_force(self):
        """Guards against a table that leaves callers without routes."""
        view = CatalogView()
        view.apply(record(config(GOOD)), 0.0)
        for revision, text in enumerate(ODD_TABLES, 8):
            found = record(text, revision)
            self.assertIsInstance(found, RecordIgnored, text[:100])
            view.apply(found, 0.0)
            self.assertIsNotNone(view.route("198.18.0.1", 443))

    def test_an_unknown_field_beside_the_routes_is_skipped(self):
        """Guards against a nested field of a later version that hides the routes."""
        text = config(GOOD).replace(
            b"{", b'{"x":' + b"[" * 3_000 + b"]" * 3_000 + b",", 1
        )
        self.assertEqual(len(record(text).table.routes), 1)

    def test_tables_without_odd_routes_are_unchanged(self):
        """Guards against a check that refuses what the operator may write."""
        empty = record(json.dumps({"version": 4, "routes": []}).encode())
        self.assertEqual(empty.table.routes, ())
        zero = record(config(SPLIT % b"0")).table.routes[0]
        self.assertEqual([t.service for t in zero.targets], ["b"])

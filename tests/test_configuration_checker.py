"""The checker of the configuration text and the comparison of two texts."""

import copy
import json
from unittest import TestCase

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from balsamspool.plugins.configuration._lines import line_of, places
from balsamspool.plugins.configuration.checker import TextError, check_text
from balsamspool.plugins.configuration.compare import (
    ActiveKeyChanged,
    FieldChanged,
    HostDraining,
    KeyAdded,
    NumberReused,
    ServiceAdded,
    ServiceMoved,
    ServiceRemoved,
    compare_texts,
    refusal,
)

SECRET = "ab" * 32
BASE = {
    "format": 1,
    "operator": "test",
    "services": {
        "portal": {
            "number": 1,
            "address": "192.0.2.1:443",
            "depends_on": ["records"],
            "routes": [{"kind": "feed", "path": "/feed"}],
        },
        "records": {"number": 2, "address": "192.0.2.2:443"},
    },
    "keys": {"active": 1, "secrets": {"1": SECRET}},
    "host_networks": ["10.0.0.0/8"],
}


def changed(path, value):
    """Return the base text with one field changed."""
    document = copy.deepcopy(BASE)
    place = document
    for step in path[:-1]:
        place = place[step]
    place[path[-1]] = value
    return json.dumps(document, indent=1, ensure_ascii=False)


class CheckerTest(TestCase):
    def assert_refused(self, text, line, field, reason):
        with self.assertRaises(TextError) as caught:
            check_text(text)
        error = caught.exception
        self.assertEqual((error.line, error.field), (line, field), str(error))
        self.assertIn(reason, error.reason)
        self.assertIn(f"line {line}", error.detail)
        return error

    def test_wrong_fields_are_named(self):
        """Guards against an error that does not name the wrong field and its line."""
        portal = ("services", "portal")
        cases = [
            (("format",), 2, "format", "not 1"),
            (("surplus",), 2, "surplus", "unknown field"),
            ((*portal, "number"), "x", "services.portal.number", "`int`"),
            ((*portal, "number"), 0, "services.portal.number", ">= 1"),
            ((*portal, "number"), 2, "services.records.number", "taken"),
            ((*portal, "address"), "a:1", "services.portal.address", "a"),
            ((*portal, "address"), "192.0.2.1:0", "services.portal.address", "port"),
            (
                (*portal, "address"),
                "192.0.2.2:443",
                "services.records.address",
                "taken",
            ),
            ((*portal, "depends_on"), ["x"], "services.portal.depends_on[0]", "neith"),
            (
                ("services", "records", "depends_on"),
                ["portal"],
                "services.portal.depends_on[0]",
                "portal -> records -> portal",
            ),
            (("services", "Wrong"), {}, "services.Wrong", "regex"),
            (("host_networks", 0), "10.0.0.1/8", "host_networks[0]", "host bits"),
            (("keys", "active"), 3, "keys.active", "no secret"),
            (("keys", "secrets", "\u00b2"), SECRET, "keys.secrets.\u00b2", "0 to 6"),
            (("dependencies",), {"records": {}}, "dependencies.records", "same name"),
            (("draining_hosts",), ["h", "h"], "draining_hosts[1]", "twice"),
        ]
        for path, value, field, reason in cases:
            with self.subTest(path=path, value=value):
                text = changed(path, value)
                key = f'"{field.split(".")[-1].split("[")[0]}":'
                lines = [n for n, x in enumerate(text.splitlines(), 1) if key in x]
                with self.assertRaises(TextError) as caught:
                    check_text(text)
                error = caught.exception
                self.assertEqual(error.field, field, str(error))
                self.assertIn(reason, error.reason)
                # Each element of an array has its own line after the line of the key.
                offset = int(field[-2]) + 1 if field.endswith("]") else 0
                self.assertIn(error.line - offset, lines, str(error))

    def test_repeated_route_is_refused(self):
        """Guards against two routes of which one never applies."""
        routes = [{"kind": "feed", "path": "/a"}, {"kind": "request", "path": "/a"}]
        text = changed(("services", "portal", "routes"), routes)
        self.assert_refused(text, 18, "services.portal.routes[1].path", "another route")

    def test_malformed_text_names_its_line(self):
        """Guards against syntax errors without a line, and against repeated keys."""
        self.assert_refused('{\n"a": 1,\n}', 3, "", "property name")
        self.assert_refused('{"a": {\n"b": 1,\n"b": 2}}', 3, "a.b", "twice")
        self.assert_refused('{"a": "NaN",\n"b": NaN}', 2, "", "NaN")
        self.assert_refused("", 1, "", "Expecting value")
        self.assert_refused("[" * 100_000, 1, "", "recursion")

    def test_text_over_the_limit_is_refused(self):
        """Guards against a text that the platform and peers cannot carry."""
        text = changed(("operator",), "x" * 1_000_001)
        self.assert_refused(text, 1, "", "more than 1000000")

    def test_errors_show_no_secret(self):
        """Guards against a secret in logs and on the status page."""
        wrong = "cd" * 31
        texts = [
            changed(("keys", "secrets", "2"), wrong),
            changed(("operator",), [wrong]),
            '{"secrets": {\n"2": "' + wrong + '",}}',
        ]
        for text in texts:
            with self.assertRaises(TextError) as caught:
                check_text(text)
            self.assertNotIn(wrong[:20], str(caught.exception))

    @seed(7)
    @settings(max_examples=200, deadline=None, database=None)
    @given(
        st.recursive(
            st.integers() | st.text() | st.none() | st.booleans(),
            lambda inner: (
                st.lists(inner, max_size=4)
                | st.dictionaries(st.text(max_size=6), inner, max_size=4)
            ),
        )
    )
    def test_line_of_every_value_is_found(self, document):
        """Guards against wrong or missing line numbers of values in unusual texts."""
        expected = set()

        def collect(value, path):
            expected.add(path)
            if isinstance(value, dict):
                for key, item in value.items():
                    collect(item, (*path, key))
            elif isinstance(value, list):
                for index, item in enumerate(value):
                    collect(item, (*path, index))

        collect(document, ())
        text = json.dumps(document, indent=1)
        found = list(places(text))
        self.assertEqual({place.path for place in found}, expected)
        self.assertEqual(len(found), len(expected))
        lines = text.split("\n")
        for place in found:
            if place.path and isinstance(place.path[-1], str):
                key = json.dumps(place.path[-1])
                self.assertIn(key, lines[line_of(text, place.path) - 1])


class CompareTest(TestCase):
    def test_changes_are_listed(self):
        """Guards against a change that is not reported to the operator."""
        after = copy.deepcopy(BASE)
        portal = after["services"]["portal"]
        portal["limits"] = {"queue_per_host": 5}
        portal["depends_on"] = []
        del after["services"]["records"]
        after["services"]["tickets"] = {"number": 3, "address": "192.0.2.3:443"}
        after["keys"] = {"active": 2, "secrets": {"1": SECRET, "2": "cd" * 32}}
        after["draining_hosts"] = ["portal-1"]
        before = check_text(json.dumps(BASE))
        self.assertEqual(
            compare_texts(before, check_text(json.dumps(after))),
            [
                ServiceRemoved("records", 2),
                FieldChanged("portal", "limits.queue_per_host", 64, 5),
                FieldChanged("portal", "depends_on", ["records"], []),
                ServiceAdded("tickets", 3),
                KeyAdded(2),
                ActiveKeyChanged(1, 2),
                HostDraining("portal-1"),
            ],
        )

    def test_moved_and_reused_numbers_are_refused(self):
        """Guards against packets of one service that reach another."""
        after = copy.deepcopy(BASE)
        after["services"]["portal"]["number"] = 2
        after["services"]["records"]["number"] = 3
        before = check_text(json.dumps(BASE))
        changes = compare_texts(before, check_text(json.dumps(after)))
        refused = [change for change in changes if refusal(change)]
        expected = [
            NumberReused(2, "records", "portal"),
            ServiceMoved("portal", 1, 2),
            ServiceMoved("records", 2, 3),
        ]
        self.assertEqual(refused, expected)

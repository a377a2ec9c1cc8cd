"""The configuration store: revisions never decrease, failed texts are reverted."""

import json
from unittest import TestCase

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from balsamspool.plugins.configuration.store import (
    Accepted,
    ConfigurationStore,
    Conflict,
    Invalid,
    Known,
    Stale,
)

SECRET = "ab" * 32


def text_of(services, operator="test", secrets=None):
    """Return a text with these service numbers by name."""
    return json.dumps(
        {
            "format": 1,
            "operator": operator,
            "services": {
                name: {"number": number, "address": f"192.0.2.{index + 1}:443"}
                for index, (name, number) in enumerate(services.items())
            },
            "keys": {"active": 1, "secrets": secrets or {"1": SECRET}},
            "host_networks": ["10.0.0.0/8"],
        },
        indent=1,
    )


class StoreTest(TestCase):
    def setUp(self):
        self.store = ConfigurationStore()

    def offer(self, revision, text):
        result = self.store.offer(revision, text)
        if isinstance(result, Accepted):
            self.store.confirm(result.configuration)
        return result

    def test_lower_and_conflicting_revisions_are_refused(self):
        """Guards against a return to an older text, and against a conflicting text."""
        first = text_of({"a": 1})
        self.assertIsInstance(self.offer(5, first), Accepted)
        self.assertEqual(self.offer(4, text_of({"a": 1}, "old")), Stale(4))
        self.assertEqual(self.offer(5, first), Known())
        self.assertIsInstance(self.offer(5, text_of({"a": 1}, "b")), Conflict)
        self.assertEqual(self.store.current.text, first)

    def test_invalid_text_leaves_the_last_one(self):
        """Guards against an invalid text that takes a service down."""
        self.offer(1, text_of({"a": 1}))
        self.assertIsInstance(self.offer(2, "{"), Invalid)
        self.assertEqual(self.store.revision, 1)
        self.assertEqual(self.store.seen_revision, 2)
        self.assertEqual(self.offer(2, "{"), Known())
        # The invalid text of revision 2 is not in force, so a valid text with the same
        # revision is accepted from a peer.
        self.assertIsInstance(self.offer(2, text_of({"a": 1}, "b")), Accepted)
        self.assertIsNone(self.store.rejected)

    def test_number_stays_assigned_after_removal(self):
        """Guards against a packet with an old token that reaches a new service."""
        self.offer(1, text_of({"a": 1, "b": 2}))
        self.offer(2, text_of({"a": 1}))
        refused = self.offer(3, text_of({"a": 1, "c": 2}))
        self.assertIsInstance(refused, Invalid)
        self.assertIn("line 10, field 'services.c.number', value 2", refused.detail)
        self.assertIsInstance(self.offer(4, text_of({"a": 3})), Invalid)
        self.assertIsInstance(self.offer(5, text_of({"a": 1, "b": 2})), Accepted)

    def test_revert_restores_text_and_numbers(self):
        """Guards against a reverted text whose service numbers stay assigned."""
        self.offer(1, text_of({"a": 1}))
        accepted = self.store.offer(2, text_of({"a": 1, "b": 2}))
        self.store.revert(accepted, "failed")
        self.assertEqual(self.store.revision, 1)
        self.assertEqual(self.store.rejected.revision, 2)
        self.assertIsInstance(self.offer(3, text_of({"a": 1, "c": 2})), Accepted)

    @seed(3)
    @settings(max_examples=150, deadline=None, database=None)
    @given(
        st.lists(
            st.tuples(st.integers(-1, 9), st.sampled_from(["a", "b", "bad"])),
            max_size=30,
        )
    )
    def test_revision_never_goes_down(self, offers):
        """Guards against any order of offers that lowers the revision."""
        store = ConfigurationStore()
        in_force = {}
        for revision, kind in offers:
            before = store.revision
            text = "{" if kind == "bad" else text_of({"s": 1}, kind)
            result = store.offer(revision, text)
            self.assertGreaterEqual(store.revision, before)
            if isinstance(result, Accepted):
                self.assertGreater(store.revision, before)
                in_force[store.revision] = text
            if store.revision:
                self.assertEqual(store.current.text, in_force[store.revision])

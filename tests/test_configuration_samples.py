"""The samples of both users."""

import json
from collections import Counter
from pathlib import Path
from unittest import TestCase

from balsamspool.kernel.identity import Role
from balsamspool.kernel.registry import load_plugins, plugins_of
from balsamspool.kernel.settings import read_settings
from balsamspool.plugins.configuration.checker import check_text
from balsamspool.plugins.configuration.text import DownloadRoute, FeedRoute
from balsamspool.plugins.membership.listing import read_list

SAMPLES = Path(__file__).resolve().parent.parent / "samples"
EXPECTED = {
    "kloofrand": {
        "domains": 4,
        "hosts": {"member-portal": 7, "records": 4},
        "feeds": {"/readings"},
        "once": {"/tickets"},
        "downloads": {"/invoices", "/statements"},
    },
    "kitakyushu": {
        "domains": 3,
        "hosts": {"booking": 7, "studio-documents": 3},
        "feeds": {"/availability"},
        "once": {"/reservations"},
        "downloads": {"/floor-plans", "/gear-lists"},
    },
}


class SamplesTest(TestCase):
    def test_samples_are_valid(self):
        """Guards against samples that the programs would refuse."""
        load_plugins()
        for user, expected in EXPECTED.items():
            folder = SAMPLES / user
            document = check_text((folder / "configuration.json").read_text())
            routes = [r for s in document.services.values() for r in s.routes]
            feeds = {r.path for r in routes if isinstance(r, FeedRoute)}
            downloads = {r.path for r in routes if isinstance(r, DownloadRoute)}
            once = {r.path for r in routes if not getattr(r, "repeatable", True)}
            listing = read_list((folder / "instances.json").read_text())
            self.assertEqual(listing.faults, ())
            listed = listing.instances.values()
            hosts = Counter(i.service for i in listed if i.role is Role.AGENT)
            found = {
                "domains": len({i.failure_domain for i in listed}),
                "hosts": dict(hosts),
                "feeds": feeds,
                "once": once,
                "downloads": downloads,
            }
            self.assertEqual(found, expected, user)

    def test_settings_are_valid_and_match_the_list(self):
        """Guards against sample settings that do not match the text or the list."""
        load_plugins()
        checked = 0
        for user in EXPECTED:
            folder = SAMPLES / user
            instances = json.loads((folder / "instances.json").read_text())
            document = check_text((folder / "configuration.json").read_text())
            for listed in instances:
                path = folder / f"{listed['instance']}.json"
                if not path.exists():
                    continue
                role = Role(listed["role"])
                types = {e.name: e.plugin.settings_type for e in plugins_of(role)}
                settings = read_settings(path, types)
                process = settings.process
                for field in ("failure_domain", "address", "peer_port"):
                    self.assertEqual(getattr(process, field), listed[field], path)
                if role is Role.AGENT:
                    service = settings.section("serving").service
                    self.assertEqual(service, listed["service"])
                    self.assertIn(service, document.services)
                checked += 1
        self.assertEqual(checked, 6)

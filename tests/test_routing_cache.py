"""Tokens and hosts that the router remembers."""

from unittest import TestCase
from unittest.mock import patch

from balsamspool.kernel.keyring import KeyRing, KeySet
from balsamspool.kernel.recent import RecentCache
from balsamspool.plugins.routing import router as router_module
from balsamspool.plugins.routing.flow import FlowKey, Packet
from balsamspool.plugins.routing.router import Deliver, Drop, DropReason, Router
from balsamspool.plugins.routing.token import RoutingToken, TokenCodec

OLD, NEW = "11" * 32, "22" * 32


def token(serial, port=4000):
    return RoutingToken("10.1.2.3", port, 7, b"\x01\x02\x03", serial)


class TokenCacheTest(TestCase):
    def setUp(self):
        self.ring = KeyRing(KeySet(active=1, secrets={"1": OLD}))
        self.codec = TokenCodec(self.ring)
        self.router = Router(self.codec)
        self.router.set_networks(["10.0.0.0/8"])

    def route(self, connection_id, service=7):
        packet = Packet(FlowKey(service, "192.0.2.1", 5), connection_id, False)
        return self.router.route(packet, [])

    def test_remembered_token_is_not_decoded_again(self):
        """Guards against a cache that is never hit."""
        connection_id = self.codec.encode(token(1))
        wanted = Deliver("10.1.2.3", 4000, opens=False)
        self.assertEqual(self.route(connection_id), wanted)
        with patch.object(TokenCodec, "decode", side_effect=AssertionError):
            self.assertEqual(self.route(connection_id), wanted)

    def test_remembered_token_keeps_its_service(self):
        """Guards against a cached token that sends a packet to another service."""
        connection_id = self.codec.encode(token(1))
        self.route(connection_id)
        wrong = Drop(DropReason.WRONG_SERVICE)
        self.assertEqual(self.route(connection_id, service=8), wrong)

    def test_removed_key_drops_remembered_tokens(self):
        """Guards against forged tokens that stay valid after their key was removed."""
        connection_id = self.codec.encode(token(1))
        self.route(connection_id)
        self.ring.replace(KeySet(active=2, secrets={"1": OLD, "2": NEW}))
        self.assertIsInstance(self.route(connection_id), Deliver)
        self.ring.replace(KeySet(active=2, secrets={"2": NEW}))
        self.assertEqual(self.route(connection_id), Drop(DropReason.NO_TOKEN))

    def test_changed_networks_drop_remembered_tokens(self):
        """Guards against a host outside the networks that still gets packets."""
        connection_id = self.codec.encode(token(1))
        self.route(connection_id)
        self.router.set_networks(["192.0.2.0/24"])
        outside = Drop(DropReason.OUTSIDE_NETWORKS)
        self.assertEqual(self.route(connection_id), outside)

    def test_memory_is_bounded(self):
        """Guards against memory that grows with the number of flows and hosts."""
        with patch.object(router_module, "MAX_KNOWN_HOSTS", 16):
            router = Router(self.codec)
            router.set_networks(["10.0.0.0/8"])
            router._tokens = RecentCache(32)
            for serial in range(500):
                connection_id = self.codec.encode(token(serial, port=4000 + serial))
                packet = Packet(FlowKey(7, "192.0.2.1", 5), connection_id, False)
                found = router.route(packet, [])
                self.assertEqual(found.data_port, 4000 + serial)
                self.assertLessEqual(len(router._tokens), 64)
                self.assertLessEqual(len(router._hosts), 16)


class RecentTest(TestCase):
    def test_used_value_is_kept_and_unused_one_is_dropped(self):
        """Guards against tokens of busy flows that are decoded repeatedly."""
        recent = RecentCache(4)
        recent.put(b"busy", 1)
        recent.put(b"idle", 2)
        for number in range(40):
            recent.put(bytes([number]), number)
            self.assertEqual(recent.get(b"busy"), 1)
        self.assertIsNone(recent.get(b"idle"))

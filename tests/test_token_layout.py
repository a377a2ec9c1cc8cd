"""Layout of routing tokens, key rotation and the check at the agent."""

from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from balsamspool.kernel.keyring import KeyRing, KeySet
from balsamspool.plugins.routing.flow import FlowKey, Packet
from balsamspool.plugins.routing.router import Deliver, Drop, DropReason, Router
from balsamspool.plugins.routing.token import RoutingToken, TokenCodec
from balsamspool.plugins.routing.token_check import (
    ForeignToken,
    NoToken,
    OwnToken,
    TokenCheck,
    TokenMismatch,
)

OLD, NEW = "11" * 32, "22" * 32
TOKEN = RoutingToken("10.1.2.3", 4000, 7, b"\x01\x02\x03", 258)


def codec(active=1, **secrets):
    found = {number[1:]: secret for number, secret in secrets.items()}
    ring = KeyRing(KeySet(active=active, secrets=found or {"1": OLD}))
    return ring, TokenCodec(ring)


class TokenLayoutTest(TestCase):
    def test_golden_vector(self):
        """Guards against a layout change that breaks flows during an upgrade."""
        _, tokens = codec()
        self.assertEqual(
            tokens.encode(TOKEN).hex(), "30c097bb41ecbe86fc414444cc5a599312"
        )

    def test_rotation_keeps_tokens_until_the_key_is_removed(self):
        """Guards against a rotation that breaks flows or keeps forged tokens valid."""
        ring, tokens = codec()
        connection_id = tokens.encode(TOKEN)
        ring.replace(KeySet(active=2, secrets={"1": OLD, "2": NEW}))
        self.assertEqual(tokens.decode(connection_id), TOKEN)
        self.assertEqual(tokens.encode(TOKEN)[0] >> 5, 2)
        ring.replace(KeySet(active=2, secrets={"2": NEW}))
        self.assertIsNone(tokens.decode(connection_id))
        ring.replace(KeySet(active=1, secrets={"1": NEW}))
        self.assertNotEqual(tokens.decode(connection_id), TOKEN)

    @settings(derandomize=True)
    @given(st.binary(max_size=24))
    def test_random_ids_are_never_delivered(self, connection_id):
        """Guards against forged connection IDs that reach a host or raise."""
        _, tokens = codec()
        router = Router(tokens)
        router.set_networks(["10.0.0.0/8"])
        packet = Packet(FlowKey(7, "192.0.2.1", 5), connection_id, opens=False)
        self.assertIsInstance(router.route(packet, []), Drop)

    def test_token_of_another_service_is_dropped(self):
        """Guards against a packet for one service that reaches another."""
        _, tokens = codec()
        router = Router(tokens)
        router.set_networks(["10.0.0.0/8"])
        connection_id = tokens.encode(TOKEN)
        for service, wanted in (
            (7, Deliver("10.1.2.3", 4000, opens=False)),
            (8, Drop(DropReason.WRONG_SERVICE)),
        ):
            packet = Packet(FlowKey(service, "192.0.2.1", 5), connection_id, True)
            self.assertEqual(router.route(packet, []), wanted)
        router.set_networks(["10.9.0.0/16"])
        packet = Packet(FlowKey(7, "192.0.2.1", 5), connection_id, True)
        self.assertEqual(router.route(packet, []), Drop(DropReason.OUTSIDE_NETWORKS))


class TokenCheckTest(TestCase):
    def test_each_field_is_compared(self):
        """Guards against a new process that accepts packets of the previous one."""
        _, tokens = codec()
        connection_id = tokens.encode(TOKEN)
        own = ("10.1.2.3", 4000, b"\x01\x02\x03\xff\xff")
        self.assertEqual(
            TokenCheck(tokens, *own).check(connection_id, 7), OwnToken(TOKEN)
        )
        for check, service, mismatch in (
            (("10.1.2.4", *own[1:]), 7, TokenMismatch.ADDRESS),
            ((own[0], 4001, own[2]), 7, TokenMismatch.PORT),
            (own, 8, TokenMismatch.SERVICE),
            ((*own[:2], b"\x01\x02\x04"), 7, TokenMismatch.INCARNATION),
        ):
            verdict = TokenCheck(tokens, *check).check(connection_id, service)
            self.assertEqual(verdict, ForeignToken(mismatch))
        self.assertEqual(TokenCheck(tokens, *own).check(b"x" * 17, 7), NoToken())

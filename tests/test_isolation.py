"""No packet reaches another service, whatever arrives at the listening sockets."""

import asyncio
import contextlib
import json
import random
import socket
from unittest import IsolatedAsyncioTestCase

from pynng import NNGException, Push0

from balsamspool.plugins.forwarding._codec import EnvelopeCodec
from balsamspool.plugins.forwarding.envelope import Forward, Probe
from balsamspool.plugins.routing.token import RoutingToken, TokenCodec
from standins.caller import open_caller
from standins.fleet import ServicePlan, run_fleet
from tests.fleet_tools import (
    agents_of,
    eventually,
    hosts_of,
    keyring,
    read_metric,
    resident_bytes,
    send_request,
)
from tests.frontend_case import FrontendCase

ROUTES = [{"kind": "request", "path": "/"}]
PORTAL = ServicePlan("portal", 1, 2, ROUTES)
RECORDS = ServicePlan("records", 2, 1, ROUTES)
ENTRY_DROPS = "balsamspool_forwarding_dropped_datagrams_total"
RECEIVED = "balsamspool_frontend_datagrams_total"
AGENT_DROPS = "balsamspool_frontend_dropped_datagrams_total"
FLOOD_DATAGRAMS = 4_000
# Limit of each process's memory growth in the flood. An agent grows by 3 to 7 MB in
# this flood and by 10 MB in a flood three times as long. The growth comes from
# connections in handshake, whose number is limited.
MAX_GROWTH_BYTES = 24 << 20


def record_inward(fabric):
    """Record every datagram that callers send from now on."""
    seen, inward = [], fabric.forward_to_entry

    def record(datagram, caller):
        seen.append(datagram)
        inward(datagram, caller)

    fabric.forward_to_entry = record
    return seen


def send_all(datagrams, address):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for datagram in datagrams:
            sender.sendto(datagram, address)


def mutate(rng, datagram):
    """Return a copy with changed, missing or added bytes."""
    data = bytearray(datagram)
    for _ in range(rng.randrange(1, 6)):
        data[rng.randrange(len(data))] = rng.randrange(256)
    match rng.randrange(4):
        case 0:
            return bytes(data[: rng.randrange(len(data))])
        case 1:
            return bytes(data) + rng.randbytes(rng.randrange(64))
        case 2:
            return rng.randbytes(rng.randrange(1500))
        case _:
            return bytes(data)


class CrossingTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = await self.enterAsyncContext(run_fleet([PORTAL, RECORDS], 1))
        (self.entry,) = self.fleet.entries.values()
        self.address = {
            name: self.fleet.entry_addresses(name)[0] for name in ("portal", "records")
        }

    def executed(self, service):
        agents = agents_of(self.fleet, service)
        return [r for a in agents for r in a.backend_server.executed]

    async def check_drops_rise(self, host, name, reason, send):
        before = await read_metric(host, name, reason=reason)
        send()

        async def has_risen():
            return await read_metric(host, name, reason=reason) > before

        await eventually(has_risen)

    async def record_request(self, service, request_id):
        """Send one request and return its datagrams and the agent that answered."""
        fabric = self.fleet.fabrics[service]
        original, seen = fabric.forward_to_entry, record_inward(fabric)
        _, server = await send_request(self.fleet, service, f"/any?id={request_id}")
        fabric.forward_to_entry = original
        return list(seen), self.fleet.agents[server]

    async def test_replayed_datagrams_run_nothing_at_the_other_service(self):
        """Guards against an entry that forwards by a token of another service."""
        for service, other in (("portal", "records"), ("records", "portal")):
            seen, _ = await self.record_request(service, f"of-{service}")
            await self.check_drops_rise(
                self.entry,
                ENTRY_DROPS,
                "wrong-service",
                lambda seen=seen, to=self.address[other]: send_all(seen, to),
            )
            await send_request(self.fleet, other, f"/any?id=own-{other}")
            self.assertNotIn(f"of-{service}", self.executed(other))
            self.assertEqual(self.executed(service).count(f"of-{service}"), 1)

    async def test_forged_tokens_and_envelopes_are_dropped(self):
        """Guards against an agent that accepts a forged token or envelope."""
        agent = agents_of(self.fleet, "portal")[0]
        data_port = agent.listed["data_port"]
        incarnation = bytes.fromhex((await self.fleet.status(agent))["incarnation"])

        def packet(number=2, incarnation=incarnation[:3], secret="5a" * 32, key=1):
            token = RoutingToken("127.0.0.1", data_port, number, incarnation, 1)
            codec = TokenCodec(keyring(secret, key))
            return b"\x40" + codec.encode(token) + bytes(40)

        to_records = self.address["records"]
        # The routing token carries the number of the service "records", but the address
        # of an agent of the service "portal".
        forged = packet()
        await self.check_drops_rise(
            agent, AGENT_DROPS, "wrong-service", lambda: send_all([forged], to_records)
        )
        other = packet(1, b"\x00\x00\x00")
        await self.check_drops_rise(
            agent,
            AGENT_DROPS,
            "foreign-token",
            lambda: send_all([other], self.address["portal"]),
        )
        before = await read_metric(agent, RECEIVED, direction="in")
        for secret, key in (("a5" * 32, 1), ("5a" * 32, 2)):
            unknown = packet(1, secret=secret, key=key)
            send_all([unknown], self.address["portal"])
            sealed = EnvelopeCodec(keyring(secret, key)).seal(
                Forward(1, "127.0.0.1", 9, 0, unknown)
            )
            await self.check_drops_rise(
                agent,
                ENTRY_DROPS,
                "not-authentic",
                lambda s=sealed: send_all([s], ("127.0.0.1", data_port)),
            )
        after = await read_metric(agent, RECEIVED, direction="in")
        self.assertEqual(before, after)

    async def test_stale_tokens_end_at_the_next_process_on_the_address(self):
        """Guards against a process that accepts packets for its predecessor."""
        seen, agent = await self.record_request("portal", "stale")
        await agent.kill()
        await self.fleet.restart(agent)
        await self.check_drops_rise(
            agent,
            AGENT_DROPS,
            "foreign-token",
            lambda: send_all(seen, self.address["portal"]),
        )
        # The host moves to the other service with the same address and ports.
        await agent.stop()
        settings = json.loads(agent.settings_path.read_text())
        settings["serving"]["service"] = agent.listed["service"] = "records"
        agent.settings_path.write_text(json.dumps(settings))
        await self.fleet.publish_list()
        await self.fleet.restart(agent)
        await self.check_drops_rise(
            agent,
            AGENT_DROPS,
            "wrong-service",
            lambda: send_all(seen, self.address["portal"]),
        )
        answers = [
            await send_request(self.fleet, "portal", "/any?id=p") for _ in range(4)
        ]
        self.assertNotIn(agent.instance, {server for _, server in answers})
        self.assertEqual({status for status, _ in answers}, {200})
        self.assertEqual(agent.backend_server.executed.count("stale"), 1)
        self.assertNotIn("p", agent.backend_server.executed)

    async def test_tokens_under_a_removed_key_are_dropped(self):
        """Guards against an entry that accepts tokens under a removed key."""
        seen, _ = await self.record_request("portal", "old-key")
        keys = self.fleet.text["keys"]
        keys["secrets"]["2"] = "c3" * 32
        await self.publish()
        keys["active"] = 2
        await self.publish()
        del keys["secrets"]["1"]
        await self.publish()
        agents = agents_of(self.fleet, "portal")
        tokens = [d for d in seen if not d[0] & 0x80]
        before = [
            await read_metric(agent, RECEIVED, direction="in") for agent in agents
        ]
        await self.check_drops_rise(
            self.entry,
            ENTRY_DROPS,
            "no-token",
            lambda: send_all(tokens, self.address["portal"]),
        )
        self.assertEqual(
            before,
            [await read_metric(agent, RECEIVED, direction="in") for agent in agents],
        )
        self.assertEqual((await send_request(self.fleet, "portal"))[0], 200)

    async def publish(self):
        revision = await self.fleet.publish_text()
        for host in hosts_of(self.fleet):

            async def has_revision(host=host):
                status = await self.fleet.status(host)
                return status["plugins"]["configuration"]["revision"] >= revision

            await eventually(has_revision)

    async def test_open_connection_outlives_a_rotation_of_keys(self):
        """Guards against a planned change of keys that breaks an open connection."""
        async with open_caller(*self.fleet.addresses["portal"]) as caller:
            self.assertEqual((await caller.request("GET", "/any")).status, 200)
            keys = self.fleet.text["keys"]
            keys["secrets"]["2"] = "c3" * 32
            await self.publish()
            keys["active"] = 2
            await self.publish()
            self.assertEqual((await caller.request("GET", "/any")).status, 200)
            await asyncio.sleep(1)  # as the operator waits before removing the key
            del keys["secrets"]["1"]
            await self.publish()
            answer = await caller.request("GET", "/any", timeout=5)
            self.assertEqual(answer.status, 200)


class RotationTest(FrontendCase):
    async def test_caller_moves_to_ids_under_the_active_key(self):
        """Guards against connection IDs that keep a key that is no longer active."""
        agent, caller = await self.open_pair()
        agent.text["keys"]["secrets"]["2"] = "c3" * 32
        agent.publish()
        agent.text["keys"]["active"] = 2
        agent.publish()
        table = agent.frontend.table
        await caller.until(lambda: {i[0] >> 5 for i in table.ids} == {2})
        self.assertEqual(len(table.ids), 8)
        del agent.text["keys"]["secrets"]["1"]
        agent.publish()
        self.assertEqual((await caller.answer(caller.request()))[0], 200)


class FloodTest(IsolatedAsyncioTestCase):
    async def test_noise_at_every_socket_has_no_effect(self):
        """Guards against noise that stops a process, fills memory or runs a request."""
        rng = random.Random(20)
        async with run_fleet([PORTAL, RECORDS], 1) as fleet:
            seen = record_inward(fleet.fabrics["portal"])
            for service in ("portal", "records"):
                for _ in range(4):
                    await send_request(fleet, service, f"/any?id={service}")
            seen = list(seen)
            codec = EnvelopeCodec(keyring())
            sealed = [codec.seal(Forward(1, "127.0.0.1", 9, 0, d)) for d in seen]
            sealed.append(codec.seal(Probe(7)))
            hosts = hosts_of(fleet)
            before = {h.instance: resident_bytes(h) for h in hosts}
            entry = next(iter(fleet.entries.values()))
            targets = [(fleet.entry_addresses(s)[0], seen) for s in fleet.services]
            targets += [(("127.0.0.1", h.listed["data_port"]), sealed) for h in hosts]
            work = [self.send_mutated(rng, samples, to) for to, samples in targets]
            work += [self.send_noise_streams(rng, h) for h in hosts]
            flood = asyncio.gather(*work)
            answers = []
            while not flood.done() or len(answers) < 6:
                for service in ("portal", "records"):
                    answers.append(
                        (service, *await send_request(fleet, service, "/any?id=own"))
                    )
            await flood
            for service, status, server in answers:
                self.assertEqual(status, 200)
                self.assertTrue(server.startswith(service), server)
            for agent in fleet.agents.values():
                own = {agent.listed["service"], "own"}
                self.assertLessEqual(set(agent.backend_server.executed), own)
            for host in hosts:
                self.assertIsNone(host.process.returncode, host.instance)
                grown = resident_bytes(host) - before[host.instance]
                self.assertLess(grown, MAX_GROWTH_BYTES, host.instance)
            self.assertIsNone(entry.process.returncode)

    async def send_mutated(self, rng, samples, address):
        for _ in range(FLOOD_DATAGRAMS // 100):
            send_all([mutate(rng, rng.choice(samples)) for _ in range(100)], address)
            await asyncio.sleep(0.05)

    async def send_noise_streams(self, rng, host):
        """Send random bytes to the peer port, also as frames, and to the admin port."""
        for _ in range(40):
            for port in (host.listed["peer_port"], host.listed["admin_port"]):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(rng.randbytes(rng.randrange(1, 4096)))
                writer.close()
                del reader
            with Push0(send_timeout=200) as push:
                push.dial(f"tcp://127.0.0.1:{host.listed['peer_port']}", block=False)
                with contextlib.suppress(NNGException):  # closed by the process
                    await push.asend(bytes((rng.randrange(4),)) + rng.randbytes(300))
            await asyncio.sleep(0.02)

"""Stand-ins for the platform, its hosts, routers and clients, and a runner of cases.

Only the standard library is used. The project's programs run as separate processes with
the commands and the templates of the deploy file; store, hosts, routers and clients run
in this process. Each machine has a loopback address of its own, so that all machines
use the same ports, as on the platform.
"""

import asyncio
import hashlib
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from base64 import b64encode
from contextlib import suppress
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2

FIN, SYN, RST, ACK, BOUNCED = 1, 2, 4, 64, 128
HEAD = struct.Struct("!BII4s4sHHIH4s")
DATAGRAM, READY, OUTBOUND, APP, STORE, CONTROL = 8172, 8167, 8162, 8165, 8169, 8166
# Bounds and times of the pages for kloofrand-lb, in seconds.
HEARTBEAT, EXPIRY_BEATS = 1.2, 3
DRAIN, STABLE, FLOW_TTL, IDLE, HISTORY = 3.0, 4.0, 60.0, 15.0, 20.0
PROBE, MISSES = 0.5, 2
SYN_TIMES, ATTEMPT_END = (0.0, 0.2, 0.6), 1.4
FIRST_RETRANSMISSION, LONGEST_RETRANSMISSION = 0.2, 1.6
HOST_RETRANSMISSIONS = 8
# A reset is accepted if its number is this near to the client's last acknowledgement.
RESET_WINDOW = 76_800
# Time until the platform starts a process again that has ended.
RESTART_DELAY = 0.2
_KEY = os.urandom(16)
_BOUNDS = {
    "seed-lag-s": 3,
    "addr-reuse-s": 2,
    "stable-window-ms": 4000,
    "ack-ms": 5000,
    "sync-s": 4,
    "drain-ms": 3000,
    "grace-s": 6,
    "loss-slack-ms": 200,
    "config-apply-ms": 3000,
    "rollback-slack-ms": 250,
    "max-stretch-ms": 12000,
    "recovery-s": 12,
    "flow-stray-ms": 2000,
    "flow-ttl-s": 60,
}


class CannotRun(Exception):
    """The case cannot be shown on this run."""


class Packet:
    """One packet of a flow."""

    def __init__(self, flags, src, dst, seq=0, ack=0, data=b"", echo=bytes(4)):
        self.flags, self.src, self.dst = flags, src, dst
        self.seq, self.ack, self.data, self.echo = seq, ack, data, echo
        self.sum = None

    def checksum(self):
        """Return the keyed sum over all fields but echo and BOUNCED."""
        head = self._head(self.flags & ~BOUNCED, 0, bytes(4))
        digest = hashlib.blake2b(head + self.data, key=_KEY, digest_size=4).digest()
        return int.from_bytes(digest, "big") or 1

    def encode(self):
        """Return the datagram; a decoded packet keeps its sum."""
        total = self.checksum() if self.sum is None else self.sum
        return self._head(self.flags, total, self.echo) + self.data

    def _head(self, flags, total, echo):
        return HEAD.pack(
            flags,
            self.seq,
            self.ack,
            socket.inet_aton(self.dst[0]),
            socket.inet_aton(self.src[0]),
            self.src[1],
            self.dst[1],
            total,
            len(self.data),
            echo,
        )

    @classmethod
    def decode(cls, raw):
        """Return the packet of a datagram, None if it is none."""
        if len(raw) < HEAD.size:
            return None
        flags, seq, ack, dst, src, sport, dport, total, size, echo = HEAD.unpack_from(
            raw
        )
        if len(raw) != HEAD.size + size:
            return None
        source = (socket.inet_ntoa(src), sport)
        target = (socket.inet_ntoa(dst), dport)
        packet = cls(flags, source, target, seq, ack, raw[HEAD.size :], echo)
        packet.sum = total
        return packet

    @property
    def genuine(self):
        """Whether nobody changed the packet."""
        return self.sum == self.checksum()


class Udp(asyncio.DatagramProtocol):
    """A bound UDP socket that hands its datagrams to a function."""

    def __init__(self, on_data):
        self._on_data = on_data
        self.transport = None

    @classmethod
    async def bind(cls, address, on_data):
        """Return a socket that is bound to an address and a port."""
        loop = asyncio.get_running_loop()
        _, protocol = await loop.create_datagram_endpoint(
            lambda: cls(on_data), local_addr=address
        )
        return protocol

    def connection_made(self, transport):
        """Keep the transport."""
        self.transport = transport

    def datagram_received(self, data, addr):
        """Hand a datagram over."""
        self._on_data(data)

    def error_received(self, exc):
        """Ignore that a port was closed; the datagram is lost."""

    def send(self, data, address):
        """Send a datagram."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, address)

    def close(self):
        """Close the socket."""
        self.transport.close()


class Store:
    """The platform's store: items, pages, watches and a history of 20 s."""

    PAGE = 50

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.history = []
        self.oldest = 100
        self._changed = asyncio.Condition()
        self._server = None
        self._writers = set()

    async def start(self, address):
        """Answer calls at an address and a port."""
        self._server = await asyncio.start_server(self._serve, *address)

    def close(self):
        """Stop answering and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def put(self, key, value):
        """Write an item of bytes, or remove it if the value is None."""
        async with self._changed:
            if value is None and key not in self.items:
                return
            self.revision += 1
            event = {"key": key, "revision": self.revision}
            if value is None:
                del self.items[key]
                event["deleted"] = True
            else:
                old = self.items.get(key)
                created = old["created-at"] if old else self.revision
                text = b64encode(value).decode()
                event |= {"created-at": created, "lease": 0, "value": text}
                self.items[key] = event
            encoded = json.dumps(event).encode()
            self.history.append((time.monotonic(), event, encoded))
            self._forget()
            self._changed.notify_all()

    def _forget(self):
        """Drop the changes that are older than the history that the store keeps."""
        while self.history and self.history[0][0] < time.monotonic() - HISTORY:
            self.oldest = self.history.pop(0)[1]["revision"]

    async def put_json(self, key, value):
        """Write an item as JSON, or remove it if the value is None."""
        await self.put(key, None if value is None else json.dumps(value).encode())

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                target = head.split(" ", 2)[1]
                await asyncio.sleep(0.004)
                status, text = await self._answer(target)
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Store-Era: 1\r\nContent-Length: {len(text)}\r\n\r\n".encode()
                    + text
                )
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, target):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query, True).items()}
        if url.path == "/-/kv-range":
            return self._range(query)
        if url.path == "/-/kv-watch":
            return await self._watch(query)
        if url.path == "/-/kv-key" and query.get("key") in self.items:
            item = self.items[query["key"]] | {"store-revision": self.revision}
            return 200, json.dumps(item).encode()
        return 404, b"{}"

    def _range(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [self.items[key] for key in keys[: self.PAGE]]
        body = {"items": page, "has-more": len(keys) > self.PAGE}
        body["store-revision"] = self.revision
        return 200, json.dumps(body).encode()

    async def _watch(self, query):
        after, prefix = int(query["after"]), query.get("prefix", "")
        end = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        async with self._changed:
            while True:
                self._forget()
                if after < self.oldest:
                    return 410, b"{}"
                events = [
                    text
                    for _, e, text in self.history
                    if e["revision"] > after and e["key"].startswith(prefix)
                ]
                left = end - time.monotonic()
                if events or left <= 0:
                    tail = b'], "store-revision": %d}' % self.revision
                    return 200, b'{"events": [' + b", ".join(events) + tail
                with suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), left)


class HostFlow:
    """A flow at a host."""

    def __init__(self):
        self.seq = random.getrandbits(31)
        self.open = False
        self.opened = None
        self.received = None  # next octet that is expected of the client
        self.sent = 0  # next octet that the host sends
        self.acked = 0
        self.ended = False


class Host:
    """A host: takes flows, answers requests, and lists itself in the store."""

    def __init__(self, lab, name, service, zone, address):
        self.lab, self.name, self.service = lab, name, service
        self.zone, self.address = zone, address
        self.state = "ready"
        self.flows = {}
        self.openings = []
        self.draining_acked = None
        self.born = int(time.time() * 1000)
        self.seq = 0
        self._listed = None
        self._udp = None
        self._beats = None

    def entry(self):
        """Return its entry in the store."""
        return {
            "service": self.service,
            "addr": f"{self.address}:{APP}",
            "zone": self.zone,
            "version": "v1",
            "concurrency": 2,
            "state": self.state,
            "warmup-left-ms": 0,
            "seq": self.seq,
            "born": self.born,
        }

    async def start(self):
        """Open the socket and start the heartbeats."""
        self._udp = await Udp.bind((self.address, APP), self._on_datagram)
        await self.beat()
        self._beats = asyncio.create_task(self._beat_forever())

    async def close(self):
        """Close the socket and end the heartbeats."""
        if self._beats is not None:
            self._beats.cancel()
        if self._udp is not None:
            self._udp.close()

    async def beat(self):
        """Write a heartbeat; the entry changes only if more than seq changes."""
        self.seq += 1
        content = self.entry()
        content.pop("seq")
        key = f"servers/{self.name}"
        if content != self._listed or key not in self.lab.store.items:
            self._listed = content
            await self.lab.store.put_json(key, self.entry())

    async def drain(self):
        """Report that the host is draining."""
        self.state = "draining"
        await self.beat()
        self.draining_acked = time.monotonic()
        self.lab.say(f"store acknowledged that {self.name} is draining")

    def holds(self, key):
        """Return whether a flow is open here."""
        flow = self.flows.get(key)
        return flow is not None and flow.open and not flow.ended

    async def _beat_forever(self):
        while True:
            await asyncio.sleep(HEARTBEAT)
            await self.beat()

    def _on_datagram(self, data):
        packet = Packet.decode(data)
        if packet is None or not packet.genuine:
            self.lab.forged.append((self.name, data.hex()))
            return
        key = (packet.src, packet.dst)
        flow = self.flows.get(key)
        if packet.flags & (SYN | ACK) == SYN:
            if flow is None:
                flow = self.flows[key] = HostFlow()
                self.openings.append((time.monotonic(), key))
            self._send(packet, SYN | ACK, flow.seq, packet.seq + 1)
        elif flow is None or (not flow.open and packet.ack != flow.seq + 1):
            # Not of a flow that opened here: the client took another host's answer.
            self.flows.pop(key, None)
            self._return(packet)
        else:
            self._on_packet(packet, key, flow)

    def _on_packet(self, packet, key, flow):
        if not flow.open:
            flow.open, flow.opened = True, time.monotonic()
            flow.sent = flow.acked = flow.seq + 1
            flow.received = packet.seq
            self.lab.opened[key] = self
        flow.acked = max(flow.acked, packet.ack)
        if packet.flags & RST:
            flow.ended = True
            return
        if packet.data and packet.seq == flow.received:
            flow.received += len(packet.data)
            asyncio.create_task(self._run(packet, key, flow))
        elif packet.data:
            self._send(packet, ACK, flow.sent, flow.received)
        if packet.flags & FIN:
            flow.ended = True
            self._send(packet, FIN | ACK, flow.sent, packet.seq + 1)

    async def _run(self, packet, key, flow):
        request = packet.data.split(b"\r\n", 1)[0]
        self.lab.runs.append((time.monotonic(), self.name, request.decode()))
        await asyncio.sleep(0.025)
        body = request + b" by " + self.name.encode()
        data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        start, flow.sent = flow.sent, flow.sent + len(data)
        wait = FIRST_RETRANSMISSION
        for _ in range(1 + HOST_RETRANSMISSIONS):
            self._send(packet, ACK, start, flow.received, data)
            await asyncio.sleep(wait)
            if flow.acked >= flow.sent or flow.ended:
                return
            wait = min(2 * wait, LONGEST_RETRANSMISSION)

    def _send(self, packet, flags, seq, ack, data=b""):
        answer = Packet(flags, packet.dst, packet.src, seq, ack, data)
        self._udp.send(answer.encode(), (self.address, OUTBOUND))

    def _return(self, packet):
        packet.flags |= BOUNCED
        self._udp.send(packet.encode(), (self.address, OUTBOUND))


class Flow:
    """A client's flow, which carries one request after the other."""

    def __init__(self, client, port, route):
        self.client, self.lab = client, client.lab
        self.src, self.dst = (client.address, port), route
        self.seq = random.getrandbits(30)
        self.ack = 0
        self.state = "new"
        self.opened = None
        self.last_used = None
        self.reset_at = None
        self.answered = 0
        self._packets = asyncio.Queue()

    @property
    def key(self):
        """Key under which hosts know the flow."""
        return self.src, self.dst

    def receive(self, packet):
        """Take a packet that arrived for this flow."""
        if packet.flags & RST and not packet.genuine:
            near = abs(packet.seq - self.ack) <= RESET_WINDOW
            if self.state == "open" and not near:
                return
        self._packets.put_nowait(packet)

    async def open(self):
        """Open the flow and return whether a host accepted it."""
        start = time.monotonic()
        self.state, first = "opening", self.seq
        for copy, until in enumerate((*SYN_TIMES[1:], ATTEMPT_END)):
            self._send(SYN, first, copy)
            while (left := start + until - time.monotonic()) > 0:
                packet = await self._next(left)
                if packet is None:
                    break
                if packet.flags & RST:
                    self.state = "refused"
                    return False
                if packet.flags & (SYN | ACK) == SYN | ACK:
                    self.seq, self.ack = first + 1, packet.seq + 1
                    self.state, self.opened = "open", time.monotonic()
                    self.last_used = self.opened
                    self._send(ACK, self.seq, self.ack)
                    return True
        self.state = "unanswered"
        return False

    async def request(self, deadline=1.2):
        """Send a request and return whether it was answered."""
        name = self.lab.next_request()
        text = f"GET {name} HTTP/1.1\r\nX-Balsamspool-Attempt-Id: {name}\r\n\r\n"
        data, end = text.encode(), time.monotonic() + deadline
        wait, start = FIRST_RETRANSMISSION, self.seq
        self.seq += len(data)
        while time.monotonic() < end and self.state == "open":
            self._send(ACK, start, self.ack, data)
            until = min(end, time.monotonic() + wait)
            wait = min(2 * wait, LONGEST_RETRANSMISSION)
            while (left := until - time.monotonic()) > 0:
                packet = await self._next(left)
                if packet is None:
                    break
                if packet.flags & RST:
                    self._on_reset(packet)
                    return False
                if packet.data and packet.seq == self.ack:
                    self.ack += len(packet.data)
                    self._send(ACK, self.seq, self.ack)
                    self.last_used = time.monotonic()
                    self.answered += 1
                    return True
        return False

    async def run(self, pause, until):
        """Open the flow and send requests until a time or its end."""
        if not await self.open():
            return
        while self.state == "open" and time.monotonic() < until:
            await self.request()
            await asyncio.sleep(pause * random.uniform(0.8, 1.2))

    def end(self):
        """Close the flow."""
        if self.state == "open":
            self.state = "closed"
            self._send(FIN | ACK, self.seq, self.ack)

    def _on_reset(self, packet):
        host = self.lab.opened.get(self.key)
        self.state, self.reset_at = "reset", time.monotonic()
        if host is None or packet.genuine:
            return
        age = self.reset_at - self.opened
        held = host.holds(self.key)
        self.lab.say(
            f"client {self.src} got a reset of the system on its open flow to "
            f"{self.dst}: at {host.name}, open for {age:.2f} s, idle for "
            f"{self.reset_at - self.last_used:.2f} s, still held there: {held}"
        )
        if held:
            self.lab.resets.append((self, host))

    async def _next(self, left):
        with suppress(TimeoutError):
            return await asyncio.wait_for(self._packets.get(), left)
        return None

    def _send(self, flags, seq, ack, data=b""):
        packet = Packet(flags, self.src, self.dst, seq, ack, data)
        self.lab.route(packet)


class Client:
    """A client's machine."""

    def __init__(self, lab, address):
        self.lab, self.address = lab, address
        self.flows = {}
        self._udp = None
        self._ports = iter(range(random.randrange(20_000, 40_000), 65_000))

    async def start(self):
        """Open the socket at which all packets for the client arrive."""
        self._udp = await Udp.bind((self.address, DATAGRAM), self._on_datagram)

    async def close(self):
        """Close the socket."""
        if self._udp is not None:
            self._udp.close()

    def flow(self, route):
        """Return a new flow to a route, from a new port."""
        flow = Flow(self, next(self._ports), route)
        self.flows[flow.src] = flow
        return flow

    def send(self, data, address):
        """Send a datagram."""
        self._udp.send(data, address)

    def _on_datagram(self, data):
        packet = Packet.decode(data)
        if packet is None:
            return
        flow = self.flows.get(packet.dst)
        system_reset = packet.flags == RST and packet.sum == 0 and not packet.data
        if flow is None or not (packet.genuine or system_reset):
            return
        flow.receive(packet)


class Machine:
    """A machine that runs one of the project's programs."""

    def __init__(self, lab, name, role, zone, address, host=None):
        self.lab, self.name, self.role = lab, name, role
        self.zone, self.address, self.host = zone, address, host
        self.process = None
        self.store_address = None
        self.in_rotation = True
        self.misses = 0
        self.stops = 0

    def settings(self):
        """Return the fields of its settings file, as the page on deployment lists."""
        front = self.role == "entry"
        listen = {
            "datagram-addr": f"{self.address}:{DATAGRAM}",
            "ready": f"{self.address}:{READY}",
        }
        if front:
            listen["control"] = f"{self.address}:{CONTROL}"
        else:
            listen["outbound"] = f"{self.address}:{OUTBOUND}"
        store = self.store_address or self.lab.store_address
        fields = {
            "node-name": self.name,
            "role": self.role,
            "machine-class": "front" if front else "side",
            "ip": self.address,
            "zone": self.zone,
            "region": "gauteng",
            "listen": listen,
            "internal-ports": [7720, 7735],
            "seeds": [f"{m.address}:{CONTROL}" for m in self.lab.fronts[:3]],
            "bootstrap": True,
            "limits": {"link-mbps": 1000.0, "memory-mb": 300, "max-fds": 4100},
            "heartbeat-ms": 1200,
            "bounds": _BOUNDS,
            "hash": "mod",
            "deploy-mode": "agent",
            "platform": {"addr": f"{store[0]}:{store[1]}", "deploy-mode": "read"},
        }
        if self.host is not None:
            fields["service"] = self.host.service
            fields["app"] = f"{self.address}:{APP}"
        return fields

    async def start(self):
        """Write the settings and start the program with the deploy file's command."""
        role = self.lab.deploy["roles"][self.role]
        path = self.lab.folder / f"{self.name}.conf"
        path.write_text(render((ROOT / role["template"]).read_text(), self.settings()))
        environment = {k: os.environ[k] for k in ("PATH", "LANG") if k in os.environ}
        environment |= {
            "HOME": str(self.lab.folder),
            "BALSAMSPOOL_CONFIG": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self.lab.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def stop(self, number=signal.SIGTERM, grace=6.0):
        """Send a signal, SIGKILL after the grace time, and wait for the end."""
        process = self.process
        if process is None or process.returncode is not None:
            return
        process.send_signal(number)
        try:
            await asyncio.wait_for(process.wait(), grace)
        except TimeoutError:
            process.kill()
            await process.wait()

    async def restart(self):
        """Stop and start the program as planned work does."""
        self.lab.say(f"SIGTERM to {self.name}")
        await self.stop()
        self.stops += 1
        await asyncio.sleep(RESTART_DELAY)
        await self.start()
        self.lab.say(f"{self.name} started again")

    async def ready(self):
        """Return whether the program answers the platform's probe with 200."""
        with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(PROBE):
                reader, writer = await asyncio.open_connection(self.address, READY)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        return False


class Lab:
    """A small deployment: front machines, hosts with their agents, and clients."""

    def __init__(self, zones, fronts, hosts, clients=4):
        """Describe the deployment.

        Args:
            zones: Names of the zones.
            fronts: Number of front machines in each zone.
            hosts: Number of hosts by service; they are dealt to the zones in turn.
            clients: Number of clients' machines, which are dealt to the zones too.
        """
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.folder = Path(tempfile.mkdtemp(prefix="balsamspool-review-"))
        self.net = _free_net()
        self.store = Store()
        self.store_address = (f"127.{self.net}.200.1", STORE)
        self.started = time.monotonic()
        self.lines, self.resets, self.forged, self.runs = [], [], [], []
        self.opened = {}
        self.version = 0
        self._requests = 0
        self._tasks = []
        self.fronts = [
            Machine(self, f"front-{z}-{n + 1}", "entry", z, self._address(1 + i, n))
            for i, z in enumerate(zones)
            for n in range(fronts)
        ]
        self.hosts, self.sides, self.clients = [], [], []
        for service, count in hosts.items():
            for _ in range(count):
                self._add_host(service, zones)
        for n in range(clients):
            self.clients.append(Client(self, f"127.{self.net}.100.{n + 1}"))
        self._zone_of = {
            c.address: zones[n % len(zones)] for n, c in enumerate(self.clients)
        }

    def _address(self, zone, number):
        return f"127.{self.net}.{zone}.{10 + number}"

    def _add_host(self, service, zones):
        number = len(self.hosts)
        zone = zones[number % len(zones)]
        address = f"127.{self.net}.{50 + zones.index(zone)}.{10 + number}"
        name = f"i-{random.getrandbits(32):08x}"
        host = Host(self, name, service, zone, address)
        self.hosts.append(host)
        self.sides.append(
            Machine(self, f"side-{zone}-{number + 1}", "agent", zone, address, host)
        )

    def say(self, text):
        """Add a line to the record."""
        self.lines.append(f"{time.monotonic() - self.started:8.3f} s  {text}")

    def next_request(self):
        """Return the name of a new request."""
        self._requests += 1
        return f"/r{self._requests}"

    def route(self, packet):
        """Send a client's packet to the front machine that the router selects."""
        client = next(c for c in self.clients if c.address == packet.src[0])
        zone = self._zone_of[client.address]
        daemons = [m for m in self.fronts if m.zone == zone]
        rotation = [m for m in daemons if m.in_rotation]
        if 2 * len(rotation) < len(daemons):
            rotation = daemons
        text = repr((packet.src, packet.dst)).encode()
        digest = int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")
        chosen = rotation[digest % len(rotation)]
        client.send(packet.encode(), (chosen.address, DATAGRAM))

    async def publish(self, routes, idle=IDLE):
        """Write a configuration.

        Args:
            routes: Service by the number of the route's address.
            idle: Time in seconds after which an idle flow may be discarded.
        """
        self.version += random.randrange(1, 4)
        services = sorted(set(routes.values()))
        document = {
            "version": self.version,
            "routes": [
                {
                    "name": f"r-{number}",
                    "host": route_address(number)[0],
                    "prefix": f"/{route_address(number)[1]}/",
                    "kind": "safe",
                    "timeout-ms": 1000,
                    "goal-ms": 150,
                    "priority": 2,
                    "service": service,
                    "attempts": 2,
                }
                for number, service in sorted(routes.items())
            ],
            "services": [{"name": name} for name in services],
            "limits": {"idle-timeout-ms": int(idle * 1000)},
        }
        await self.store.put_json("op/config", document)

    async def start(self):
        """Start everything and wait until all programs are ready.

        Raises:
            CannotRun: If a program does not become ready.
        """
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRun("run the build command of the deploy file first")
        await self.store.start(self.store_address)
        for host in self.hosts:
            await host.start()
        for client in self.clients:
            await client.start()
        for machine in (*self.sides, *self.fronts):
            await machine.start()
        end = time.monotonic() + 30
        for machine in (*self.sides, *self.fronts):
            while not await machine.ready():
                if time.monotonic() > end:
                    raise CannotRun(f"{machine.name} is not ready")
                await asyncio.sleep(0.05)
        for machine in self.fronts:
            self._tasks.append(asyncio.create_task(self._probe(machine)))
        self.say(f"{len(self.fronts)} front and {len(self.sides)} side programs ready")

    async def _probe(self, machine):
        while True:
            answered = await machine.ready()
            machine.misses = 0 if answered else machine.misses + 1
            before, machine.in_rotation = machine.in_rotation, machine.misses < MISSES
            if before != machine.in_rotation:
                self.say(f"{machine.name} in rotation: {machine.in_rotation}")
            await asyncio.sleep(PROBE)

    async def stop(self):
        """End all programs and stand-ins."""
        for task in self._tasks:
            task.cancel()
        machines = (*self.fronts, *self.sides)
        await asyncio.gather(*(m.stop(signal.SIGKILL) for m in machines))
        for part in (*self.hosts, *self.clients):
            await part.close()
        self.store.close()
        await asyncio.sleep(0.1)

    def logs(self, pattern):
        """Return the lines of the programs' logs that match a pattern."""
        found = []
        for path in sorted(self.folder.glob("*.log")):
            for line in path.read_text(errors="replace").splitlines():
                if re.search(pattern, line):
                    found.append(f"{path.stem}: {line[:600]}")
        return found


def route_address(number):
    """Return the address and port of a route."""
    return f"198.18.0.{number}", 443


def render(template, fields):
    """Fill a template in as the page on deployment says, as far as it is used here."""

    def look_up(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        value = look_up(match.group(1))
        return match.group(2) if value not in (None, False, [], {}) else ""

    def placeholder(match):
        name, form = match.group(1), match.group(2)
        value = look_up(name)
        if form:
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.-]+)(\|json)?\}\}", placeholder, text)


def run_case(case, folder, keep_logs=r"\b(never)\b"):
    """Run a case, write its record and exit with its result.

    Args:
        case: Coroutine function that returns a lab that it has started, filled and
            judged, and the result.
        folder: Folder of the case.
        keep_logs: Pattern of the log lines that belong in the record.
    """
    lines = [f"TROUBLE={int(TROUBLE)}, started {time.strftime('%Y-%m-%d %H:%M:%S')}"]
    holder = []
    try:
        result = asyncio.run(_guarded(case, holder))
    except Exception as error:  # a fault of the case is no broken rule
        result = CANNOT_RUN
        lines.append(f"cannot run: {error!r}")
    for lab in holder:
        lines += lab.lines
        logs = lab.logs(keep_logs)
        lines += [f"log lines of the programs ({len(logs)}, the first 60):", *logs[:60]]
        shutil.rmtree(lab.folder, ignore_errors=True)
    word = {HELD: "held", BROKEN: "BROKEN", CANNOT_RUN: "could not run"}[result]
    lines.append(f"result: {word}")
    (folder / "record.txt").write_text("\n".join(lines) + "\n")
    sys.stdout.write(f"{word}\n")
    sys.exit(result)


async def _guarded(case, holder):
    try:
        async with asyncio.timeout(110):
            return await case(holder)
    except TimeoutError as error:
        raise CannotRun("the case took too long") from error
    finally:
        for lab in holder:
            await lab.stop()


def _free_net():
    """Return a second octet of addresses whose ports are free."""
    for _ in range(50):
        net = random.randrange(16, 250)
        with socket.socket() as probe:
            try:
                probe.bind((f"127.{net}.200.1", STORE))
            except OSError:
                continue
            return net
    raise CannotRun("no free addresses")

"""Small stand-ins for the platform, hosts, routers and clients, and a runner.

Only the standard library is used. The project's programs run as separate processes
with the commands and settings templates of the deploy file; everything else (store,
hosts, routers, clients) runs in this process. Each machine has a loopback address of
its own, so that all machines use the same ports, as on the platform.
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
from base64 import b64decode, b64encode
from contextlib import suppress
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2

FIN, SYN, RST, ACK, BOUNCED = 1, 2, 4, 64, 128
HEAD = struct.Struct("!BII4s4sHHIH4s")
DATAGRAM, READY, OUTBOUND, APP, STORE, CONTROL = 8172, 8167, 8162, 8165, 8169, 8166
INTERNAL = (7720, 7735)
ADMIN = 9464
HEARTBEAT = 1.2
# Times of the pages: copies of a SYN, end of an attempt, retransmissions.
SYN_COPIES = (0.2, 0.4, 0.8)
FIRST_RETRANSMISSION, LONGEST_RETRANSMISSION = 0.2, 1.6
_KEY = os.urandom(16)


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
        head = HEAD.pack(
            self.flags & ~BOUNCED,
            self.seq,
            self.ack,
            socket.inet_aton(self.dst[0]),
            socket.inet_aton(self.src[0]),
            self.src[1],
            self.dst[1],
            0,
            len(self.data),
            bytes(4),
        )
        digest = hashlib.blake2b(head + self.data, key=_KEY, digest_size=4).digest()
        return int.from_bytes(digest, "big") or 1

    def encode(self):
        """Return the datagram."""
        return (
            HEAD.pack(
                self.flags,
                self.seq,
                self.ack,
                socket.inet_aton(self.dst[0]),
                socket.inet_aton(self.src[0]),
                self.src[1],
                self.dst[1],
                self.checksum() if self.sum is None else self.sum,
                len(self.data),
                self.echo,
            )
            + self.data
        )

    @classmethod
    def decode(cls, datagram):
        """Return the packet of a datagram, None if it is none."""
        if len(datagram) < HEAD.size:
            return None
        flags, seq, ack, dst, src, sport, dport, total, length, echo = HEAD.unpack_from(
            datagram
        )
        data = datagram[HEAD.size :]
        if len(data) != length:
            return None
        packet = cls(
            flags,
            (socket.inet_ntoa(src), sport),
            (socket.inet_ntoa(dst), dport),
            seq,
            ack,
            data,
            echo,
        )
        packet.sum = total
        return packet


class Datagrams(asyncio.DatagramProtocol):
    """A UDP socket that hands each datagram to a function."""

    def __init__(self, on_datagram):
        self.on_datagram = on_datagram
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        self.on_datagram(data)

    def send(self, data, address):
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, address)


class Store:
    """The platform's metadata store: items, ranges and watches, 20 s of history."""

    HISTORY_S = 20.0

    def __init__(self, log):
        self.log = log
        self.items = {}
        self.history = []  # (time, revision, event)
        self.revision = 100
        self.oldest = 100
        self.era = 1
        self.away = False
        self.changed = asyncio.Event()
        self.calls = 0
        self.server = None

    async def start(self, address):
        self.server = await asyncio.start_server(self._serve, *address)

    def put(self, key, value):
        """Write an item; a value that is no bytes is written as JSON."""
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        before = self.items.get(key)
        item = {
            "key": key,
            "value": b64encode(body).decode(),
            "revision": self.revision,
            "created-at": before["created-at"] if before else self.revision,
            "lease": 0,
        }
        self.items[key] = item
        self._publish(item)
        self.log("store acknowledges", key, body.decode("utf-8", "replace")[:300])
        return time.monotonic()

    def delete(self, key):
        """Remove an item."""
        self.revision += 1
        self.items.pop(key, None)
        self._publish({"key": key, "revision": self.revision, "deleted": True})
        self.log("store removes", key)

    def _publish(self, event):
        self.history.append((time.monotonic(), self.revision, event))
        self.changed.set()
        self.changed = asyncio.Event()

    def _trim(self):
        limit = time.monotonic() - self.HISTORY_S
        while self.history and self.history[0][0] < limit:
            self.oldest = self.history.pop(0)[1]

    def copy(self):
        """Return a copy of the state."""
        return dict(self.items), list(self.history), self.revision, self.oldest

    def restore(self, copy):
        """Go back to a copy; the next era begins."""
        self.items, self.history, self.revision, self.oldest = copy
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if self.away:
                    writer.transport.abort()
                    return
                answer = await self.reply(head)
                if self.away:
                    writer.transport.abort()
                    return
                writer.write(answer)
                await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    async def reply(self, head):
        """Return the response to a request."""
        self.calls += 1
        status, body = await self._answer(head.split(b" ", 2)[1].decode())
        text = json.dumps(body).encode()
        start = (
            f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Store-Era: {self.era}\r\nContent-Length: {len(text)}\r\n\r\n"
        )
        return start.encode() + text

    async def _answer(self, target):
        url = urlsplit(target)
        query = {
            k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()
        }
        prefix = query.get("prefix", "")
        match url.path:
            case "/-/kv-key":
                item = self.items.get(query.get("key", ""))
                if item is None:
                    return 404, {}
                return 200, item | {"store-revision": self.revision}
            case "/-/kv-range":
                after = query.get("after", "")
                keys = sorted(
                    k for k in self.items if k.startswith(prefix) and k > after
                )
                return 200, {
                    "items": [self.items[k] for k in keys[:500]],
                    "has-more": len(keys) > 500,
                    "store-revision": self.revision,
                }
            case "/-/kv-watch":
                return await self._watch(
                    prefix, int(query["after"]), int(query.get("wait-ms", "0")) / 1000
                )
        return 404, {}

    async def _watch(self, prefix, after, wait):
        end = time.monotonic() + min(wait, 30.0)
        era = self.era
        while True:
            self._trim()
            if era != self.era or not self.oldest <= after <= self.revision:
                return 410, {}
            events = [
                event
                for _, revision, event in self.history
                if revision > after and event["key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store-revision": self.revision}
            with suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)


class HostFlow:
    """A flow at a host."""

    def __init__(self, own, peer):
        self.own = own  # next sequence number of the host
        self.peer = peer  # next expected sequence number of the client
        self.open = False
        self.opened_at = None
        self.last = time.monotonic()
        self.unanswered = None  # last answer, until it is acknowledged


class Host:
    """A host beside an agent: holds flows, runs requests, returns other packets."""

    def __init__(self, lab, name, service, machine):
        self.lab, self.name, self.service, self.machine = lab, name, service, machine
        self.flows = {}
        self.seq = 1
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sent_resets = 0
        self.packets = []  # (time, flow) of each packet of a client that arrived
        self.app = Datagrams(self._received)

    async def start(self):
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self.app, local_addr=(self.machine.address, APP)
        )

    def document(self):
        """Return the entry under which the host is listed."""
        return {
            "service": self.service,
            "addr": f"{self.machine.address}:{APP}",
            "zone": self.machine.zone,
            "version": "v1",
            "concurrency": 4,
            "state": self.state,
            "warmup-left-ms": 0,
            "seq": self.seq,
            "born": self.born,
        }

    def register(self):
        """Write the entry to the store."""
        self.lab.store.put(f"servers/{self.name}", self.document())

    def holds(self, flow):
        """Return whether a client's flow is open here."""
        found = self.flows.get((flow.src, flow.dst))
        return found is not None and found.open

    def _send(self, packet):
        self.app.send(packet.encode(), (self.machine.address, OUTBOUND))

    def _bounce(self, packet):
        packet.flags |= BOUNCED
        self._send(packet)

    def _received(self, data):
        packet = Packet.decode(data)
        if packet is None or packet.sum != packet.checksum():
            self.lab.forged.append((self.name, data[:31].hex()))
            return
        key = (packet.src, packet.dst)
        self.packets.append((time.monotonic(), key))
        flow = self.flows.get(key)
        if packet.flags & (SYN | ACK) == SYN:
            if flow is None:
                own = random.getrandbits(31)
                flow = self.flows[key] = HostFlow(own, (packet.seq + 1) & 0xFFFFFFFF)
            self._reply(packet, SYN | ACK, flow.own, flow.peer)
            return
        if flow is None:
            self._bounce(packet)
            return
        if not flow.open:
            if packet.ack != (flow.own + 1) & 0xFFFFFFFF:
                # The client acknowledged another host's answer.
                del self.flows[key]
                self._bounce(packet)
                return
            flow.open, flow.opened_at = True, time.monotonic()
            flow.own = packet.ack
            self.lab.log("host", self.name, "opens flow", key[0], "to", key[1])
        flow.last = time.monotonic()
        if packet.flags & RST:
            del self.flows[key]
            return
        if packet.flags & FIN:
            del self.flows[key]
            self._reply(packet, FIN | ACK, flow.own, packet.seq + len(packet.data) + 1)
            return
        if packet.data:
            self._request(packet, flow)

    def _request(self, packet, flow):
        if packet.seq == flow.peer:  # new data
            flow.peer = (flow.peer + len(packet.data)) & 0xFFFFFFFF
            ident = re.search(rb"Attempt-Id: (\S+)", packet.data)
            name = ident[1].decode() if ident else "?"
            self.lab.runs.append((name, self.name, self.service))
            self.lab.log("host", self.name, "runs", name)
            body = f"{self.name} answers {name}".encode()
            flow.unanswered = (
                b"HTTP/1.1 200 OK\r\nX-Balsamspool-Server-Seal: s\r\n"
                b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
            )
            flow.answer_seq = flow.own
            flow.own = (flow.own + len(flow.unanswered)) & 0xFFFFFFFF
        if flow.unanswered is not None:
            self._reply(packet, ACK, flow.answer_seq, flow.peer, flow.unanswered)

    def _reply(self, packet, flags, seq, ack, data=b""):
        if flags & RST:
            self.sent_resets += 1
        self._send(Packet(flags, packet.dst, packet.src, seq, ack & 0xFFFFFFFF, data))


class FlowReset(Exception):
    """The system reset a flow."""


class Flow:
    """A client's flow."""

    def __init__(self, clients, src, dst):
        self.clients, self.src, self.dst = clients, src, dst
        self.seq = random.getrandbits(31)
        self.ack = 0
        self.opened_at = None
        self.last = None
        self.reset_at = None
        self.inbox = asyncio.Queue()

    def _send(self, flags, data=b"", seq=None, ack=None):
        self.last = time.monotonic()
        self.clients.send(
            Packet(
                flags,
                self.src,
                self.dst,
                self.seq if seq is None else seq,
                self.ack if ack is None else ack,
                data,
            )
        )

    async def open(self):
        """Open the flow; return whether it opened."""
        for copy, wait in enumerate(SYN_COPIES):
            self._send(SYN, ack=copy)
            packet = await self._next(wait, lambda p: p.flags == SYN | ACK)
            if packet is not None:
                self.seq = (self.seq + 1) & 0xFFFFFFFF
                self.ack = (packet.seq + 1) & 0xFFFFFFFF
                self.opened_at = time.monotonic()
                self._send(ACK)
                return True
        return False

    async def request(self, name, seconds=4.0):
        """Send a request and return the answer, None without one."""
        data = (
            f"GET /feed HTTP/1.1\r\nX-Balsamspool-Attempt-Id: {name}\r\n\r\n".encode()
        )
        end, wait = time.monotonic() + seconds, FIRST_RETRANSMISSION
        seq, ack = self.seq, self.ack
        while time.monotonic() < end:
            self._send(ACK, data, seq, ack)
            packet = await self._next(
                wait, lambda p: p.flags == ACK and p.data and p.seq == ack
            )
            if packet is not None:
                self.seq = (seq + len(data)) & 0xFFFFFFFF
                self.ack = (packet.seq + len(packet.data)) & 0xFFFFFFFF
                self._send(ACK)
                return packet.data.split(b"\r\n\r\n", 1)[1].decode()
            wait = min(2 * wait, LONGEST_RETRANSMISSION)
        return None

    def close(self):
        """End the client's side."""
        if self.opened_at is not None and self.reset_at is None:
            self._send(FIN | ACK)

    async def _next(self, seconds, wanted):
        end = time.monotonic() + seconds
        while (left := end - time.monotonic()) > 0:
            try:
                packet = await asyncio.wait_for(self.inbox.get(), left)
            except TimeoutError:
                return None
            if packet.flags & RST:
                self.reset_at = time.monotonic()
                raise FlowReset
            if wanted(packet):
                return packet
        return None


class Clients:
    """All clients of one zone, behind the platform's routers."""

    def __init__(self, lab, address):
        self.lab, self.address = lab, address
        self.flows = {}
        self.next_port = 20_000
        self.socket = Datagrams(self._received)

    async def start(self):
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self.socket, local_addr=(self.address, DATAGRAM)
        )

    def flow(self, route):
        """Return a new flow from a new port."""
        self.next_port += 1
        flow = Flow(self, (self.address, self.next_port), route)
        self.flows[flow.src, route] = flow
        return flow

    def send(self, packet):
        entry = self.lab.router(packet.src, packet.dst)
        if entry is not None:
            self.socket.send(packet.encode(), (entry.address, DATAGRAM))

    def _received(self, data):
        packet = Packet.decode(data)
        if packet is None:
            return
        flow = self.flows.get((packet.dst, packet.src))
        system_reset = packet.flags == RST and packet.sum == 0 and not packet.data
        if flow is None or not (system_reset or packet.sum == packet.checksum()):
            self.lab.forged.append(("client", data[:31].hex()))
            return
        if system_reset and flow.opened_at is not None:
            self.lab.log("client", flow.src, "gets a reset of the system's own")
        flow.inbox.put_nowait(packet)


class Machine:
    """A machine with one process of the system."""

    def __init__(self, lab, role, name, address, zone, service=""):
        self.lab, self.role, self.name = lab, role, name
        self.address, self.zone, self.service = address, zone, service
        self.process = None
        self.host = None
        self.store_text = None  # where it reaches the store, if not where all do
        self.misses = 2  # out of rotation until it answers
        self.settings = lab.directory / f"{name}.json"

    @property
    def in_rotation(self):
        return self.misses < 2

    def fields(self):
        """Return the fields of the settings page."""
        lab = self.lab
        found = {
            "node-name": self.name,
            "ip": self.address,
            "zone": self.zone,
            "internal-ports": [str(p) for p in INTERNAL],
            "listen": {
                "ready": f"{self.address}:{READY}",
                "datagram-addr": f"{self.address}:{DATAGRAM}",
                "outbound": f"{self.address}:{OUTBOUND}",
                "control": f"{self.address}:{CONTROL}",
            },
            "platform": {"addr": self.store_text or lab.store_text},
            "bounds": {"config-apply-ms": 3000},
            "seeds": [f"{m.address}:{CONTROL}" for m in lab.entries[:3]],
        }
        if self.service:
            found["service"] = self.service
            found["app"] = f"{self.address}:{APP}"
        return found

    def write_settings(self):
        """Fill in the template of the role, as the platform does."""
        template = (ROOT / self.lab.roles[self.role]["template"]).read_text()
        self.settings.write_text(render(template, self.fields()))

    async def start(self):
        """Start the process with the command of the deploy file."""
        self.write_settings()
        environment = {
            k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["BALSAMSPOOL_CONFIG"] = str(self.settings)
        path = self.lab.directory / f"{self.name}.log"
        output = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT)
        words = self.lab.roles[self.role]["run"].split()
        if words[0] == "python3":
            words[0] = sys.executable
        self.process = await asyncio.create_subprocess_exec(
            *words,
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=output,
            stderr=output,
        )
        os.close(output)
        self.lab.log("process", self.name, "started, pid", self.process.pid)

    async def stop(self, grace=6.0):
        """Send SIGTERM, and SIGKILL after the grace time."""
        if self.process is None or self.process.returncode is not None:
            return
        self.lab.log("process", self.name, "gets SIGTERM")
        self.process.terminate()
        try:
            await asyncio.wait_for(self.process.wait(), grace)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
        self.lab.log("process", self.name, "ended with", self.process.returncode)

    def signal(self, number):
        """Send a signal to the process."""
        self.lab.log("process", self.name, "gets signal", signal.Signals(number).name)
        self.process.send_signal(number)

    async def probe(self):
        """Send one readiness probe."""
        try:
            async with asyncio.timeout(0.45):
                reader, writer = await asyncio.open_connection(self.address, READY)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
            good = line.split(b" ")[1:2] == [b"200"]
        except (OSError, TimeoutError):
            good = False
        self.misses = 0 if good else self.misses + 1


def render(template, fields):
    """Fill in the placeholders and sections that our two templates use."""

    def value(name):
        found = fields
        for part in name.split("."):
            if isinstance(found, list):
                found = found[int(part)] if int(part) < len(found) else None
            else:
                found = found.get(part) if isinstance(found, dict) else None
        return found

    def section(match):
        return match[2] if value(match[1]) not in (None, False) else ""

    def placeholder(match):
        name, as_json = match[1], match[2]
        found = value(name)
        if as_json:
            return json.dumps(found)
        return "" if found is None else str(found)

    text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([^}|#/]+)(\|json)?\}\}", placeholder, text)


class Lab:
    """A small deployment: store, routers, hosts, clients and the system."""

    def __init__(self, record):
        self.start_time = time.monotonic()
        self.record = record
        self.record.write_text("")
        self.directory = Path(tempfile.mkdtemp(prefix="review-"))
        self.roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())[
            "roles"
        ]
        self.network = self._free_network()
        self.store = Store(self.log)
        self.store_text = f"{self.network}.0.1:{STORE}"
        self.entries, self.agents, self.hosts = [], [], []
        self.clients = {}
        self.runs = []
        self.forged = []
        self.version = 1
        self.tasks = set()

    def log(self, *words):
        """Write a line to the record."""
        text = " ".join(str(word) for word in words)
        with self.record.open("a") as record:
            record.write(f"{time.monotonic() - self.start_time:8.3f} {text}\n")

    def _free_network(self):
        for _ in range(50):
            network = f"127.{random.randrange(16, 250)}"
            try:
                for last in (1, 11, 21):
                    for port in (STORE, READY, ADMIN, CONTROL):
                        with socket.socket() as probe:
                            probe.bind((f"{network}.0.{last}", port))
            except OSError:
                continue
            return network
        raise CannotRun("no free loopback network")

    def spawn(self, work):
        """Run a coroutine in the background."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        return task

    def route(self, number):
        """Return the address of a route."""
        return f"198.18.0.{number}", 8443

    def configure(self, routes, idle_ms=15_000, services=()):
        """Write a configuration: the service or the split of each route number."""
        self.version += random.choice((1, 2, 3))
        entries = []
        for number, target in routes.items():
            host, port = self.route(number)
            entry = {
                "name": f"r-{number}",
                "host": host,
                "prefix": f"/{port}/",
                "kind": "safe",
                "timeout-ms": 1000,
                "goal-ms": 150,
                "priority": 2,
                "attempts": 2,
            }
            if isinstance(target, str):
                entry["service"] = target
            else:
                entry["split"] = [
                    {"service": s, "weight": w} for s, w in target.items()
                ]
            entries.append(entry)
        names = sorted({h.service for h in self.hosts} | set(services))
        return self.store.put(
            "op/config",
            {
                "version": self.version,
                "routes": entries,
                "services": [
                    {
                        "name": n,
                        "health-path": "/health",
                        "max-flows": 2000,
                        "proto": "h1",
                        "tls": False,
                    }
                    for n in names
                ],
                "limits": {
                    "header-bytes": 16384,
                    "body-bytes": 262144,
                    "header-timeout-ms": 3000,
                    "idle-timeout-ms": idle_ms,
                },
            },
        )

    def write_again(self, key, value):
        """Write an item again that a restore lost, as it was."""
        self.store.put(key, b64decode(value))

    def add_entry(self, zone="hall-a"):
        """Add a front machine; its process is not started."""
        number = len(self.entries) + 1
        address = f"{self.network}.0.{10 + number}"
        machine = Machine(self, "entry", f"front-{number}", address, zone)
        self.entries.append(machine)
        return machine

    async def add_host(self, service, zone="hall-a", listed=True):
        """Start a side machine with its agent and its host."""
        number = len(self.agents) + 1
        address = f"{self.network}.1.{10 + number}"
        machine = Machine(self, "agent", f"side-{number}", address, zone, service)
        machine.host = Host(self, f"i-{number:04x}", service, machine)
        await machine.host.start()
        await machine.start()
        self.agents.append(machine)
        self.hosts.append(machine.host)
        if listed:
            machine.host.register()
        return machine.host

    async def begin(self, zones=("hall-a",)):
        """Start the store, the routers and a network of clients for each zone."""
        await self.store.start((f"{self.network}.0.1", STORE))
        for index, zone in enumerate(zones):
            clients = Clients(self, f"{self.network}.9.{1 + index}")
            await clients.start()
            self.clients[zone] = clients
        self.spawn(self._probe())

    async def _probe(self):
        while True:
            await asyncio.gather(*(entry.probe() for entry in self.entries))
            await asyncio.sleep(0.5)

    def router(self, src, dst):
        """Return the entry that gets a packet (hash by ``mod``)."""
        usable = [e for e in self.entries if e.in_rotation]
        if 2 * len(usable) < len(self.entries):
            usable = self.entries
        text = repr((src, dst)).encode()
        number = int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")
        return usable[number % len(usable)] if usable else None

    async def in_rotation(self, *entries, seconds=15.0):
        """Wait until entries are in rotation."""
        end = time.monotonic() + seconds
        while not all(e.in_rotation for e in entries):
            if time.monotonic() > end:
                raise CannotRun("an entry did not become ready")
            await asyncio.sleep(0.05)

    async def open_flows(self, route, count, zone="hall-a"):
        """Open flows and return those that opened and answered once."""
        flows = [self.clients[zone].flow(self.route(route)) for _ in range(count)]

        async def one(index, flow):
            await asyncio.sleep(index * 0.02)
            opened = await flow.open() and await flow.request(f"first-{flow.src[1]}")
            return flow if opened else None

        found = await asyncio.gather(*(one(i, f) for i, f in enumerate(flows)))
        return [flow for flow in found if flow is not None]

    def holder(self, flow):
        """Return the host that holds a flow, None if none does."""
        return next((h for h in self.hosts if h.holds(flow)), None)

    async def end(self):
        """End all processes that were started, and keep their logs."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*(m.stop() for m in (*self.entries, *self.agents)))
        self.log("packets that were no packets of their sender:", len(self.forged))


async def _run(case, record):
    lab = Lab(record)
    lab.log("TROUBLE", int(TROUBLE))
    # A run that is ended from outside ends its processes too.
    this = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, this.cancel)
    try:
        async with asyncio.timeout(112):
            code = await case(lab)
    except (CannotRun, TimeoutError, OSError) as error:
        lab.log("the case could not run:", repr(error))
        code = CANNOT_RUN
    finally:
        await lab.end()
    lab.log("exit", code, {0: "held", 1: "BROKEN", 2: "could not run"}[code])
    keep = os.environ.get("KEEP_LOGS")
    if keep:
        shutil.copytree(lab.directory, keep, dirs_exist_ok=True)
    shutil.rmtree(lab.directory, ignore_errors=True)
    return code


def main(case, file, record="record.txt"):
    """Run a case, write its record beside it, and exit with its verdict."""
    sys.exit(asyncio.run(_run(case, Path(file).resolve().with_name(record))))

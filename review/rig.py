"""Stand-ins for the scripts in review/: the platform's store, its routers,
targets and clients, on loopback addresses. They follow PROTOCOL.md and DEPLOY.md.

The programs under test run as separate processes, started from the root of the
repository with the commands of deploy/system.toml. A scenario is a coroutine
that gets a Rig; main() runs it and ends all processes.
"""
import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import zlib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HEAD = struct.Struct(">HIIIIHIHBBI")
SYN, ACK, FIN, RST, BOUNCED = 16, 2, 8, 4, 1
MASK = 0xFFFFFFFF
# Bounds of a small deployment (sites/fcr-hq.toml).
CONTACT_S, DRAIN_S, CONFIG_S, HEARTBEAT_S = 4.0, 3.0, 3.0, 0.77
FLOW_LIFETIME_S, IDLE_TIMEOUT_S, REORDER_S = 60.0, 15.0, 2.0
RESET_WINDOW = 76800
HISTORY_S = 20.0
SLOTS, QUEUE = 2, 8
# Both ends retransmit after these times, in seconds.
RETRANSMIT_S = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6)
KEY = b"not known to the system"


def number(ip):
    return struct.unpack(">I", socket.inet_aton(ip))[0]


def keyed_sum(size, seq, ack, src, sport, dst, dport, flags, data):
    fields = struct.pack(">HIIIHIHB", size, seq, ack, src, sport, dst, dport, flags & ~BOUNCED)
    return zlib.crc32(KEY + fields + data) or 1


def packet(src, sport, dst, dport, flags, seq, ack, data=b""):
    seq, ack = seq & MASK, ack & MASK
    s = keyed_sum(len(data), seq, ack, src, sport, dst, dport, flags, data)
    return HEAD.pack(len(data), seq, ack, s, src, sport, dst, dport, flags, 0, 0) + data


class Packet:
    def __init__(self, raw):
        (self.size, self.seq, self.ack, self.sum, self.src, self.sport, self.dst, self.dport, self.flags, self.pad,
         self.echo) = HEAD.unpack_from(raw)
        self.raw, self.data = raw, raw[HEAD.size:]

    def genuine(self):
        return self.sum == keyed_sum(self.size, self.seq, self.ack, self.src, self.sport, self.dst, self.dport,
                                     self.flags, self.data)


def diff(a, b):
    """a - b of two sequence numbers."""
    return ((a - b + 0x80000000) & MASK) - 0x80000000


class Store:
    """The platform's metadata store."""

    def __init__(self, rig):
        self.rig, self.items, self.revision, self.era = rig, {}, 100, 1
        self.compacted, self.changed = 100, asyncio.Event()
        self.log = []  # of (revision, time, item as JSON), for HISTORY_S
        self.refuse = {}  # address of a machine -> status
        self.waiting = set()

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port)

    def put(self, key, value):
        """value None: the item is deleted. Returns the revision, the acknowledgement."""
        self.revision += 1
        raw = value if value is None or isinstance(value, bytes) else json.dumps(value, separators=(",", ":")).encode()
        self.items[key] = (self.revision, raw)
        self.log.append((self.revision, time.monotonic(), json.dumps(self.item(key, self.items[key]))))
        self.changed.set()
        self.changed = asyncio.Event()
        self.rig.note("store", "%s %s" % (key, "deleted" if raw is None else "written"), revision=self.revision)
        return self.revision

    @staticmethod
    def item(key, entry):
        revision, raw = entry
        if raw is None:
            return {"key": key, "revision": revision, "deleted": True}
        return {"key": key, "value": base64.b64encode(raw).decode(), "revision": revision, "created": revision, "lease": 0}

    @staticmethod
    def matches(text, prefix):
        return text.startswith('{"key": "' + prefix)

    async def serve(self, reader, writer):
        peer = writer.get_extra_info("peername")[0]
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                while (await reader.readline()).strip():
                    pass
                status, body = await self.answer(line.split()[1].decode(), peer)
                data = body.encode() if isinstance(body, str) else json.dumps(body).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nStore-Era: %d\r\nContent-Length: %d\r\n\r\n"
                             % (status, self.era, len(data)) + data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, path, peer):
        query = dict(p.split("=", 1) for p in path.split("?", 1)[1].split("&")) if "?" in path else {}
        await asyncio.sleep(0.004)
        if peer in self.refuse:
            return self.refuse[peer], {}
        prefix = query.get("prefix", "")
        if path.startswith("/v1/kv-range"):
            found = [(k, v) for k, v in sorted(self.items.items())
                     if v[1] is not None and k.startswith(prefix) and k > query.get("after", "")]
            return 200, {"items": [self.item(k, v) for k, v in found[:500]], "has_more": len(found) > 500,
                         "store_revision": self.revision}
        if not path.startswith("/v1/kv-watch"):
            return 404, {}
        after, end = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            while self.log and self.log[0][1] < time.monotonic() - HISTORY_S:
                self.compacted = self.log.pop(0)[0]
            if after < self.compacted or after > self.revision:
                return 410, {}
            if peer in self.refuse:
                return self.refuse[peer], {}
            events = [text for revision, _, text in self.log if revision > after and self.matches(text, prefix)]
            if events or time.monotonic() >= end:
                return 200, '{"events":[%s],"store_revision":%d}' % (",".join(events), self.revision)
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.01, end - time.monotonic()))
            except asyncio.TimeoutError:
                pass


class Machine:
    """A balancer or an agent as a process."""

    def __init__(self, rig, kind, name, ip, zone, settings):
        self.rig, self.kind, self.name, self.ip, self.zone, self.settings = rig, kind, name, ip, zone, settings
        self.child, self.starts, self.disturbances = None, 0, []
        self.rotation = False

    def start(self):
        path = os.path.join(self.rig.dir, self.name + ".toml")
        with open(path, "w") as f:
            f.write(self.settings + "first_start = %s\n" % ("true" if self.starts == 0 and not self.rig.later else "false"))
        log = open(os.path.join(self.rig.dir, self.name + ".log"), "ab")
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["CHERVILTRAY_SETTINGS"] = path
        self.child = subprocess.Popen(self.rig.commands[self.kind], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                      stdout=log, stderr=log)
        log.close()
        self.starts += 1
        self.disturbances.append(self.rig.now())
        self.rig.note(self.name, "is started")

    def signal(self, which):
        self.disturbances.append(self.rig.now())
        self.rig.note(self.name, "gets " + signal.Signals(which).name)
        if self.child.poll() is None:
            self.child.send_signal(which)

    async def ended(self):
        while self.child.poll() is None:
            await asyncio.sleep(0.02)
        self.disturbances.append(self.rig.now())
        self.rig.note(self.name, "has ended with %s" % self.child.returncode)

    async def restart(self, delay=0.3):
        """A planned restart: SIGTERM, and a new start after the end."""
        self.signal(signal.SIGTERM)
        await self.ended()
        await asyncio.sleep(delay)
        self.start()

    def in_touch(self, at):
        return not any(at - CONTACT_S < d <= at for d in self.disturbances)


class Target(asyncio.DatagramProtocol):
    """A target beside an agent: an HTTP server over the platform's packets."""

    def __init__(self, rig, agent, service):
        self.rig, self.agent, self.service = rig, agent, service
        self.up, self.starts, self.disturbed, self.work_s = False, 0, 0.0, 0.02
        self.id, self.transport, self.health, self.beat = None, None, None, None

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(self.agent.ip, self.rig.ports["app"]))
        self.health = await asyncio.start_server(self.serve_health, self.agent.ip, self.rig.ports["app"])
        self.starts += 1
        self.id = "i-%s-%d" % (self.agent.name, self.starts)
        self.flows, self.over, self.busy, self.queue, self.writes = {}, set(), 0, [], 0
        self.born, self.state, self.up = int(time.time() * 1000), "ready", True
        self.disturbed = self.rig.now()
        self.rig.note(self.id, "target of %s runs beside %s" % (self.service, self.agent.name))
        self.beat = asyncio.create_task(self.heartbeat())

    def entry(self):
        self.writes += 1
        return {"service": self.service, "address": "%s:%d" % (self.agent.ip, self.rig.ports["app"]), "zone": self.agent.zone,
                "version": "v1", "slots": SLOTS, "state": self.state, "warmup_left_ms": 0, "seq": self.writes, "born": self.born}

    async def heartbeat(self):
        """The entry changes when more than its seq changes."""
        published = None
        while True:
            entry = self.entry()
            if published != self.state:
                published = self.state
                self.rig.store.put("servers/" + self.id, entry)
            self.last_beat = self.rig.now()
            await asyncio.sleep(HEARTBEAT_S)

    async def serve_health(self, reader, writer):
        try:
            while await reader.readline():
                while (await reader.readline()).strip():
                    pass
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        except (ConnectionError, asyncio.CancelledError):
            pass
        writer.close()

    def stop(self):
        self.up, self.disturbed = False, self.rig.now()
        self.beat.cancel()
        self.transport.close()
        self.health.close()
        for f in self.flows.values():
            f["timer"] and f["timer"].cancel()

    def crash(self):
        """The process is gone; the store drops its entry after three heartbeats of silence."""
        self.rig.note(self.id, "crashes")
        self.stop()
        id, left = self.id, self.last_beat + 3 * HEARTBEAT_S - self.rig.now()
        asyncio.get_running_loop().call_later(max(0, left), lambda: self.rig.store.put("servers/" + id, None))

    # Packets
    def send(self, key, flags, seq, ack, data=b""):
        src, sport, dst, dport = key
        raw = packet(dst, dport, src, sport, flags, seq, ack, data)
        self.transport.sendto(raw, (self.agent.ip, self.rig.ports["outbound"]))

    def datagram_received(self, raw, addr):
        if not self.up:
            return
        p = Packet(raw)
        key = (p.src, p.sport, p.dst, p.dport)
        if addr[0] != self.agent.ip or not p.genuine():
            self.rig.broken("UNASKED", "%s got a packet that its sender did not write so" % self.id)
            return
        self.rig.arrived(self, key, p)
        flow = self.flows.get(key)
        if p.flags & SYN:
            if flow is None:
                isn = random.getrandbits(32)
                flow = self.flows[key] = {"isn": isn, "next": (isn + 1) & MASK, "got": (p.seq + 1) & MASK, "open": False,
                                          "out": [], "timer": None, "tries": 0, "fin": False, "bytes": b""}
                self.transmit(key, flow, SYN | ACK, isn, b"")
            else:
                self.send(key, SYN | ACK, flow["isn"], flow["got"])
            return
        if flow is None and key in self.over:
            if p.flags & FIN:
                self.send(key, ACK, p.ack, p.seq + p.size + 1)
            elif p.size:
                self.send(key, RST, p.ack, p.seq + p.size)
            return
        if flow is None or (not flow["open"] and (p.flags & RST or p.ack != (flow["isn"] + 1) & MASK)):
            self.transport.sendto(raw[:26] + bytes([p.flags | BOUNCED, 0]) + raw[28:],
                                  (self.agent.ip, self.rig.ports["outbound"]))
            return
        if not flow["open"]:
            flow["open"] = True
            self.rig.opened(self, key)
        if p.flags & RST:
            self.close(key)
            return
        if p.flags & ACK:
            flow["out"] = [o for o in flow["out"] if diff(o[1] + len(o[2]) + (1 if o[0] & (SYN | FIN) else 0), p.ack) > 0]
            if not flow["out"] and flow["timer"]:
                flow["timer"].cancel()
                flow["timer"], flow["tries"] = None, 0
        if p.size and p.seq == flow["got"]:
            flow["got"] = (flow["got"] + p.size) & MASK
            flow["bytes"] += p.data
            self.read(key, flow)
        elif p.size:
            self.send(key, ACK, flow["next"], flow["got"])
        if p.flags & FIN and (p.seq + p.size) & MASK == flow["got"]:
            self.send(key, ACK, flow["next"], flow["got"] + 1)
            self.close(key)

    def transmit(self, key, flow, flags, seq, data):
        flow["out"].append((flags, seq, data))
        self.send(key, flags, seq, flow["got"], data)
        if not flow["timer"]:
            self.arm(key, flow)

    def arm(self, key, flow):
        if flow["tries"] >= len(RETRANSMIT_S):
            self.rig.note(self.id, "gives up flow", flow=self.rig.text(key))
            self.flows.pop(key, None)
            return
        flow["timer"] = asyncio.get_running_loop().call_later(RETRANSMIT_S[flow["tries"]], self.again, key, flow)

    def again(self, key, flow):
        flow["timer"] = None
        if not self.up or self.flows.get(key) is not flow:
            return
        flow["tries"] += 1
        for flags, seq, data in flow["out"]:
            self.send(key, flags, seq, flow["got"], data)
        self.arm(key, flow)

    def close(self, key):
        flow = self.flows.pop(key, None)
        if flow and flow["timer"]:
            flow["timer"].cancel()
        self.over.add(key)
        self.rig.closed(key)

    def read(self, key, flow):
        while b"\r\n\r\n" in flow["bytes"]:
            head, rest = flow["bytes"].split(b"\r\n\r\n", 1)
            fields = dict(l.split(": ", 1) for l in head.decode().split("\r\n")[1:])
            size = int(fields.get("Content-Length", 0))
            if len(rest) < size:
                return
            flow["bytes"] = rest[size:]
            self.queue.append((key, flow, head.decode().split("\r\n")[0], fields["Cherviltray-Attempt-Id"]))
            self.work()

    def work(self):
        while self.busy < SLOTS and self.queue:
            key, flow, line, attempt = self.queue.pop(0)
            self.busy += 1
            self.rig.ran(self, key, attempt)
            asyncio.get_running_loop().call_later(self.work_s * random.uniform(0.7, 1.3), self.done, key, flow, attempt, self.starts)

    def done(self, key, flow, attempt, starts):
        if not self.up or starts != self.starts:
            return
        self.busy -= 1
        if self.flows.get(key) is flow:
            body = ("done " + attempt).encode()
            data = (b"HTTP/1.1 200 OK\r\nCherviltray-Response-Seal: %08x\r\nContent-Length: %d\r\n\r\n"
                    % (zlib.crc32(KEY + body), len(body)) + body)
            seq, flow["next"] = flow["next"], (flow["next"] + len(data)) & MASK
            self.transmit(key, flow, ACK, seq, data)
        self.work()


class Client(asyncio.DatagramProtocol):
    """A client machine; each of its flows has a port of its own."""

    def __init__(self, rig, ip, zone):
        self.rig, self.ip, self.zone, self.flows, self.port = rig, ip, zone, {}, 1023

    def connection_made(self, transport):
        self.transport = transport

    def send(self, flow, flags, seq, ack, data=b""):
        node = self.rig.route(self.zone, flow["key"])
        flow["last"] = self.rig.now()
        if node is not flow["node"]:
            self.rig.note("router", "packets of the flow go to %s" % (node.name if node else "nobody"), flow=self.rig.text(flow["key"]))
            flow["node"] = node
            node and flow["nodes"].append((self.rig.now(), node.name))
        if node:
            self.transport.sendto(packet(*flow["key"], flags, seq, ack, data), (node.ip, self.rig.ports["packets"]))

    def datagram_received(self, raw, addr):
        p = Packet(raw)
        flow = self.flows.get(p.dport)
        own = p.flags & RST and not p.size and p.sum == 0
        if not own and not p.genuine():
            self.rig.broken("MIXED", "a client got a packet that its sender did not write so")
            return
        if flow is None or flow["key"][2:] != (p.src, p.sport):
            return
        if p.flags & RST:
            valid = not flow["open"] or not own or abs(diff(p.seq, flow["got"])) <= RESET_WINDOW
            self.rig.reset(flow, addr[0], own, valid)
            if valid:
                flow["reset"] = True
                flow["event"].set()
            return
        if p.flags & SYN:
            if not flow["open"]:
                flow["open"], flow["isn"], flow["got"] = True, p.seq, (p.seq + 1) & MASK
                flow["event"].set()
                self.send(flow, ACK, flow["seq"], flow["got"])
            elif p.seq == flow["isn"]:
                self.send(flow, ACK, flow["seq"], flow["got"])
            return
        if p.flags & ACK and diff(p.ack, flow["acked"]) > 0:
            flow["acked"] = p.ack
        if p.size and p.seq == flow["got"]:
            flow["got"] = (flow["got"] + p.size) & MASK
            flow["bytes"] += p.data
            self.send(flow, ACK, flow["seq"], flow["got"])
            flow["event"].set()
        elif p.size:
            self.send(flow, ACK, flow["seq"], flow["got"])

    async def wait(self, flow, seconds):
        flow["event"].clear()
        try:
            await asyncio.wait_for(flow["event"].wait(), max(0.001, seconds))
        except asyncio.TimeoutError:
            pass

    async def open(self, route):
        """Returns the flow, or None when it did not open."""
        self.port += 1
        key = (number(self.ip), self.port, number(route["host"]), int(route["prefix"].strip("/")))
        flow = {"key": key, "open": False, "reset": False, "seq": random.getrandbits(32), "acked": 0, "got": 0, "isn": None,
                "bytes": b"", "event": asyncio.Event(), "node": None, "nodes": [], "born": self.rig.now(), "last": self.rig.now(),
                "route": route["name"], "zone": self.zone}
        self.flows[self.port] = self.rig.flows[key] = flow
        first = flow["seq"]
        for copy, pause in enumerate((0.2, 0.4, 0.8)):
            self.send(flow, SYN, first, copy)
            flow["seq"] = flow["acked"] = (first + 1) & MASK
            await self.wait(flow, pause)
            if flow["open"] or flow["reset"]:
                break
        if flow["open"] and not flow["reset"]:
            return flow
        self.rig.note("client", "flow did not open", flow=self.rig.text(key))
        self.flows.pop(self.port, None)
        return None

    async def request(self, flow, method, deadline):
        """Sends a request. Returns True when it was answered before the deadline (seconds from now)."""
        self.rig.attempts += 1
        attempt = "a%05d" % self.rig.attempts
        data = ("%s /%s HTTP/1.1\r\nHost: x\r\nCherviltray-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n"
                % (method, attempt, attempt)).encode()
        seq, flow["seq"] = flow["seq"], (flow["seq"] + len(data)) & MASK
        self.rig.sent(flow, attempt, method)
        end, tries = self.rig.now() + deadline, 0
        flow["bytes"] = b""
        while self.rig.now() < end and not flow["reset"]:
            if diff(flow["acked"], seq + len(data)) < 0:
                self.send(flow, ACK, seq, flow["got"], data)
            until = min(end, self.rig.now() + RETRANSMIT_S[min(tries, 7)])
            tries += 1
            while self.rig.now() < until and not flow["reset"]:
                if b"\r\n\r\n" in flow["bytes"]:
                    head, body = flow["bytes"].split(b"\r\n\r\n", 1)
                    if body == b"done " + attempt.encode():
                        self.rig.answered(flow, attempt, head)
                        return True
                    if len(body) >= 11:
                        self.rig.broken("MIXED", "answer %r to request %s" % (body, attempt))
                        return False
                await self.wait(flow, until - self.rig.now())
        self.rig.unanswered(flow, attempt, "reset" if flow["reset"] else "deadline")
        return False

    async def close(self, flow):
        for pause in (0.2, 0.4):
            if flow["reset"] or diff(flow["acked"], flow["seq"]) > 0:
                break
            self.send(flow, FIN | ACK, flow["seq"], flow["got"])
            await asyncio.sleep(pause)
        self.flows.pop(flow["key"][1], None)


class Rig:
    def __init__(self, folder, later=False):
        self.folder, self.later = folder, later
        self.planned_only = False  # planned work alone: FLOW counts for machines that are not in touch, too
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.dir = tempfile.mkdtemp(prefix="review-")
        self.record = open(os.path.join(folder, "record.txt"), "w")
        self.began, self.attempts, self.violations = time.monotonic(), 0, []
        self.machines, self.targets, self.clients, self.flows, self.holders, self.runs = [], [], [], {}, {}, {}
        self.arrivals, self.ended, self.answers, self.lost, self.tasks, self.routes_dropped = {}, set(), 0, [], [], {}
        with open(os.path.join(ROOT, "deploy", "system.toml")) as f:
            text = f.read()
        self.commands = {kind: re.search(r'^\[roles\.%s\]\nrun = "([^"]*)"' % kind, text, re.M).group(1).split()
                         for kind in ("balancer", "agent")}
        self.net, self.ports = self.free_ports()
        self.store = Store(self)

    def free_ports(self):
        """A part of the loopback network, and ports that are free there."""
        for _ in range(100):
            net = random.randint(1, 250)
            base = random.randint(200, 315) * 100  # below the ports that the kernel gives out
            try:
                for port in range(base, base + 9):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as s:
                            s.bind(("127.%d.0.1" % net, port))
                names = ("packets", "ready", "internal", "control", "app", "store", "outbound", "metrics")
                return net, dict(zip(names, range(base, base + 9)))
            except OSError:
                continue
        raise RuntimeError("no free ports")

    def now(self):
        return time.monotonic() - self.began

    def note(self, who, what, **more):
        self.record.write("%8.3f  %-12s %s%s\n" % (self.now(), who, what, "".join("  %s=%s" % m for m in more.items())))

    def broken(self, rule, what, **more):
        self.violations.append((rule, what))
        self.note("BROKEN", rule + ": " + what, **more)

    @staticmethod
    def text(key):
        return "%s:%d-%s:%d" % (socket.inet_ntoa(struct.pack(">I", key[0])), key[1],
                                socket.inet_ntoa(struct.pack(">I", key[2])), key[3])

    # Building the deployment
    def common(self, name, ip, zone, peers, memory):
        p = self.ports
        return ('name = "%s"\nzone = "%s"\naddress = "%s"\npackets = "%s:%d"\nready = "%s:%d"\ninternal_port = %d\n'
                'metrics_port = %d\nplatform = "127.%d.9.1:%d"\nsilence_ms = 4000\napply_ms = 3000\nheartbeat_ms = 770\n'
                'peers = [%s]\nmemory_mb = %d\n' % (
                    name, zone, ip, ip, p["packets"], ip, p["ready"], p["internal"], p["metrics"], self.net, p["store"],
                    ",".join('"%s:%d"' % (a, p["control"]) for a in peers), memory))

    def balancer_ip(self, i):
        return "127.%d.1.%d" % (self.net, i)

    def add_balancer(self, i, zone, seeds):
        ip = self.balancer_ip(i)
        text = self.common("frontend-%d" % i, ip, zone, [self.balancer_ip(s) for s in seeds], 260)
        m = Machine(self, "balancer", "frontend-%d" % i, ip, zone, text + 'control = "%s:%d"\n' % (ip, self.ports["control"]))
        self.machines.append(m)
        return m

    def add_target(self, i, zone, service, seeds):
        ip = "127.%d.2.%d" % (self.net, i)
        text = self.common("side-%d" % i, ip, zone, [self.balancer_ip(s) for s in seeds], 128)
        text += 'service = "%s"\nserver = "%s:%d"\nserver_out = "%s:%d"\n' % (service, ip, self.ports["app"], ip, self.ports["outbound"])
        m = Machine(self, "agent", "side-%d" % i, ip, zone, text)
        self.machines.append(m)
        t = Target(self, m, service)
        self.targets.append(t)
        return t

    async def add_client(self, i, zone):
        ip = "127.%d.4.%d" % (self.net, i)
        loop = asyncio.get_running_loop()
        c = Client(self, ip, zone)
        await loop.create_datagram_endpoint(lambda: c, local_addr=(ip, self.ports["packets"]))
        self.clients.append(c)
        return c

    def configure(self, version, routes, services):
        self.config = self.make_config(version, routes, services)
        return self.store.put("op/config", self.config)

    @staticmethod
    def make_config(version, routes, services):
        return {"version": version, "routes": routes, "services": [
            {"name": s, "health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": False} for s in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}

    async def start(self):
        """Starts store, processes, targets and routers; returns when all balancers are in rotation."""
        await self.store.start("127.%d.9.1" % self.net, self.ports["store"])
        for m in self.machines:
            m.start()
        for t in self.targets:
            await t.start()
        for m in self.machines:
            if m.kind == "balancer":
                self.tasks.append(asyncio.create_task(self.probe(m)))
        self.tasks.append(asyncio.create_task(self.watch_processes()))
        for _ in range(100):
            await asyncio.sleep(0.1)
            if all(m.rotation for m in self.machines if m.kind == "balancer"):
                return
        raise RuntimeError("the balancers do not become ready")

    async def watch_processes(self):
        seen = set()
        while True:
            for m in self.machines:
                code = m.child.poll()
                if code is not None and code < 0 and code not in (-signal.SIGKILL,) and m.child.pid not in seen:
                    seen.add(m.child.pid)
                    self.broken("Fault", "%s was ended by signal %d" % (m.name, -code))
            await asyncio.sleep(0.2)

    # The platform's routers
    async def probe(self, m):
        """GET /v1/ready twice per second; out of rotation after two misses."""
        misses = 2
        while True:
            ok = False
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(m.ip, self.ports["ready"]), 0.4)
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                ok = b" 200 " in await asyncio.wait_for(reader.readline(), 0.4)
                writer.close()
            except (OSError, asyncio.TimeoutError):
                pass
            misses = 0 if ok else misses + 1
            before, m.rotation = m.rotation, misses < 2
            if before != m.rotation:
                self.note("router", "%s is %s rotation" % (m.name, "in" if m.rotation else "out of"))
            await asyncio.sleep(0.5)

    def route(self, zone, key):
        nodes = [m for m in self.machines if m.kind == "balancer" and m.zone == zone]
        ready = [m for m in nodes if m.rotation]
        if not ready and not nodes:
            return None
        if 2 * len(ready) < len(nodes):
            ready = nodes
        return max(ready, key=lambda m: zlib.crc32(repr((m.name, key)).encode()))

    # What clients and targets see
    def arrived(self, target, key, p):
        self.arrivals.setdefault(key, []).append((self.now(), target))
        if p.flags & SYN:
            self.note(target.id, "gets the open of", flow=self.text(key))
        elif self.holders.get(key, target) is not target:
            self.note(target.id, "gets a packet of the flow, which is open at %s" % self.holders[key].id, flow=self.text(key))

    def opened(self, target, key):
        self.holders[key] = target
        self.note(target.id, "has the end of the handshake of", flow=self.text(key))

    def closed(self, key):
        self.ended.add(key)

    def sent(self, flow, attempt, method):
        self.note("client", "sends %s %s" % (method, attempt), flow=self.text(flow["key"]))

    def ran(self, target, key, attempt):
        self.note(target.id, "runs %s" % attempt, flow=self.text(key))
        self.runs.setdefault(attempt, []).append(target.id)
        if len(self.runs[attempt]) > 1:
            self.broken("UNASKED", "request %s ran more than once" % attempt)

    def answered(self, flow, attempt, head):
        if not head.startswith(b"HTTP/1.1 200") or b"Cherviltray-Response-Seal" not in head:
            self.broken("MIXED", "answer without the target's seal to %s" % attempt)
        self.answers += 1
        self.note("client", "is answered %s" % attempt, flow=self.text(flow["key"]))

    def unanswered(self, flow, attempt, why):
        ran = bool(self.runs.get(attempt))
        self.lost.append((attempt, why, ran))
        self.note("client", "gets no answer to %s (%s; %s)" % (attempt, why, "it has run" if ran else "it has not run"),
                  flow=self.text(flow["key"]))

    def reset(self, flow, sender, own, valid):
        """FLOW (a): a client gets a reset that the flow's target did not send."""
        key, now = flow["key"], self.now()
        target = self.holders.get(key)
        who = next((m for m in self.machines if m.ip == sender), None)
        self.note("client", "gets a reset from %s%s%s" % (who.name if who else sender, "" if own else ", written by the target",
                                                           "" if valid else ", with a number that it ignores"),
                  flow=self.text(key), open_at=target.id if target else "-")
        if not own or not valid or target is None or key in self.ended:
            return
        if not target.up or key not in target.flows:
            return  # the target has lost the flow
        if now - target.disturbed < CONTACT_S or not target.agent.in_touch(now):
            return
        if now - flow["born"] > FLOW_LIFETIME_S or now - flow["last"] > IDLE_TIMEOUT_S:
            return
        if not any(r["name"] == flow["route"] for r in self.config["routes"]):
            return
        taker = flow["node"]
        touch = {m.name: m.in_touch(now) for m in (taker, who, target.agent) if m}
        if not all(touch.values()) and not self.planned_only:
            self.note("judge", "not counted, out of touch: %s" % [n for n, t in touch.items() if not t], flow=self.text(key))
            return
        self.broken("FLOW", "(a) the client got a reset from %s on a flow that is open at %s, which did not send it"
                    % (who.name if who else sender, target.id), flow=self.text(key),
                    out_of_touch=[n for n, t in touch.items() if not t])

    def calm(self, flow, target, at):
        """The target, its machine and the balancer that took the flow's packets are undisturbed."""
        taker = [name for since, name in flow["nodes"] if since <= at]
        machines = [m for m in self.machines if m is target.agent or m.name == taker[-1]]
        return all(m.in_touch(at) for m in machines) and target.disturbed < at - CONTACT_S

    def judge_detours(self, began, ended):
        """FLOW (b): for REORDER_S three or more of a flow's packets reach other targets and none its own."""
        for key, seen in self.arrivals.items():
            target, flow = self.holders.get(key), self.flows.get(key)
            if target is None or flow is None or not target.up or key not in target.flows:
                continue
            since, others, own = None, 0, began
            for at, t in seen + [(ended, target)]:
                if at < began or at - flow["born"] > FLOW_LIFETIME_S:
                    own = at if t is target else own
                    continue
                if t is target:
                    if since is not None and at - since >= REORDER_S and others >= 3 and self.calm(flow, target, since) \
                            and since - own <= IDLE_TIMEOUT_S:
                        self.broken("FLOW", "(b) for %.1f s %d packets of a flow reached other targets and none %s, where it is open"
                                    % (at - since, others, target.id), flow=self.text(key))
                    since, others, own = None, 0, at
                else:
                    since, others = since if since is not None else at, others + 1

    def stop(self):
        for m in self.machines:
            if m.child and m.child.poll() is None:
                m.child.send_signal(signal.SIGCONT)
                m.child.kill()
        for m in self.machines:
            if m.child:
                m.child.wait()


async def run(rig, scenario):
    try:
        await asyncio.wait_for(scenario(rig), 110)
    finally:
        for t in rig.tasks:
            t.cancel()


def main(folder, scenario, later=False):
    """Exits with 1 if a rule was broken, 0 if it held, 2 if the case could not run."""
    rig = None
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        if not os.path.exists(os.path.join(ROOT, "target", "cherviltray-relay")):
            raise RuntimeError("target/cherviltray-relay is not built")
        rig = Rig(folder, later)
        asyncio.run(run(rig, scenario))
    except Exception as e:  # any failure of the stand-ins
        print("could not run: %r" % e)
        if os.environ.get("DEBUG"):
            raise
        sys.exit(2)
    finally:
        if rig:
            rig.stop()
            rig.note("end", "%d requests, %d answered, %d not; %d rules broken"
                     % (rig.attempts, rig.answers, len(rig.lost), len(rig.violations)))
            rig.record.close()
            if os.environ.get("KEEP"):
                print("logs in", rig.dir)
            else:
                for name in os.listdir(rig.dir):
                    os.remove(os.path.join(rig.dir, name))
                os.rmdir(rig.dir)
    print("%d requests, %d answered, %d not" % (rig.attempts, rig.answers, len(rig.lost)))
    for rule, what in rig.violations[:5]:
        print("%s: %s" % (rule, what))
    print("%d times broken" % len(rig.violations))
    sys.exit(1 if rig.violations else 0)

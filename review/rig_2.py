"""Stand-ins of the platform for the scripts of review/6 to review/10.

Starts target/cherviltray-relay as balancers and agents on loopback addresses
of their own, and plays the platform's store, the routers, the targets and the
clients as PROTOCOL.md describes them. Everything that clients and targets see
goes to record.txt of the case. The checks are those of RULES.md, judged only by
what clients and targets have seen.
"""
import asyncio, base64, json, os, random, shutil, signal, socket, struct, sys, tempfile, time, traceback, zlib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "cherviltray-relay")
HEAD = struct.Struct(">HIIIIHIHBBI")
SYN, ACK, FIN, RST, BOUNCED = 16, 2, 8, 4, 1
MASK = 0xFFFFFFFF
KEY = os.urandom(8)  # of the keyed sum, which only clients and targets know
# Figures of sites/fcr-hq.toml.
HEARTBEAT_S, CONTACT_S, IDLE_S, LIFETIME_S, DRAIN_S = 0.77, 4.0, 15.0, 60.0, 3.0
RESET_SLACK = 76800  # a reset counts when its seq is this close to the last ack


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


def now():
    return time.monotonic()


def pack(key, flags, seq, ack, data=b""):
    src, sport, dst, dport = key
    seq, ack = seq & MASK, ack & MASK
    covered = struct.pack(">HIIIHIHB", len(data), seq, ack, src, sport, dst, dport, flags)
    total = zlib.crc32(KEY + covered + data) or 1
    return HEAD.pack(len(data), seq, ack, total, src, sport, dst, dport, flags, 0, 0) + data


class Packet:
    def __init__(self, raw):
        (self.len, self.seq, self.ack, self.sum, src, sport, dst, dport, self.flags, self.pad,
         self.echo) = HEAD.unpack_from(raw)
        self.key, self.back = (src, sport, dst, dport), (dst, dport, src, sport)
        self.data, self.raw = raw[HEAD.size:], raw

    def intact(self):
        f = self.flags & ~BOUNCED
        covered = struct.pack(">HIIIHIHB", self.len, self.seq, self.ack, *self.key, f)
        return len(self.data) == self.len and self.sum == (zlib.crc32(KEY + covered + self.data) or 1)

    def own_reset(self):
        return self.flags == RST and self.sum == 0 and not self.data


def diff(a, b):
    return ((a - b + 0x80000000) & MASK) - 0x80000000


class Stream:
    """One end of a flow after the handshake: 16 packets in flight, retransmission after 200 ms."""

    def __init__(self, send, seq, ack):
        self.send, self.una, self.next, self.expected = send, seq, seq, ack
        self.out, self.flight, self.inbuf, self.early = b"", [], b"", {}
        self.timer, self.pause, self.unacked, self.fin_in, self.fin_out, self.tries = None, 0.2, 0, False, False, 0
        self.dead = False

    def write(self, data, fin=False):
        self.out += data
        self.fin_out = self.fin_out or fin
        self.fin_pending = fin
        self.pump()

    def pump(self):
        while len(self.flight) < 16 and self.out:
            data, self.out = self.out[:1200], self.out[1200:]
            self.flight.append((self.next, 0, data))
            self.send(ACK, self.next, self.expected, data)
            self.next = (self.next + len(data)) & MASK
        if not self.out and self.fin_out and getattr(self, "fin_pending", False) and len(self.flight) < 16:
            self.fin_pending = False
            self.flight.append((self.next, FIN, b""))
            self.send(ACK | FIN, self.next, self.expected, b"")
            self.next = (self.next + 1) & MASK
        self.arm()

    def arm(self):
        if self.flight and not self.timer and not self.dead:
            self.timer = asyncio.get_running_loop().call_later(self.pause, self.again)

    def again(self):
        self.timer = None
        if not self.flight or self.dead:
            return
        self.tries += 1
        if self.tries > 8:
            return
        seq, flags, data = self.flight[0]
        self.send(ACK | flags, seq, self.expected, data)
        self.pause = min(1.6, self.pause * 2)
        self.arm()

    def receive(self, p):
        """Takes a packet in; returns True when new bytes or a FIN were read."""
        fresh = False
        if diff(p.ack, self.una) > 0 and diff(p.ack, self.next) <= 0:
            self.una = p.ack
            while self.flight and diff(self.flight[0][0] + len(self.flight[0][2]) + bool(self.flight[0][1]), self.una) <= 0:
                self.flight.pop(0)
            self.pause, self.tries = 0.2, 0
            if self.timer:
                self.timer.cancel()
                self.timer = None
            self.pump()
        if p.data or p.flags & FIN:
            if diff(p.seq, self.expected) >= 0:
                self.early[p.seq] = (p.data, bool(p.flags & FIN))
            while self.expected in self.early:
                data, fin = self.early.pop(self.expected)
                self.inbuf += data
                self.expected = (self.expected + len(data) + fin) & MASK
                self.fin_in = self.fin_in or fin
                fresh, self.unacked = True, self.unacked + 1
            if self.unacked >= 2 or p.flags & FIN or not fresh or len(p.data) < 1200:
                self.unacked = 0
                self.send(ACK, self.next, self.expected, b"")
        return fresh

    def close(self):
        self.dead = True
        if self.timer:
            self.timer.cancel()
            self.timer = None


def http_message(buffer):
    """Splits a whole message off: (head, body, rest), or None."""
    at = buffer.find(b"\r\n\r\n")
    if at < 0:
        return None
    head = buffer[:at].decode()
    size = 0
    for line in head.split("\r\n")[1:]:
        if line.lower().startswith("content-length:"):
            size = int(line.split(":")[1])
    if len(buffer) < at + 4 + size:
        return None
    return head, buffer[at + 4:at + 4 + size], buffer[at + 4 + size:]


def field(head, name):
    for line in head.split("\r\n")[1:]:
        if line.lower().startswith(name.lower() + ":"):
            return line.split(":", 1)[1].strip()
    return ""


class Store:
    """The platform's store: items with revisions, pages, watches."""

    def __init__(self, rig, address):
        self.rig, self.address, self.items, self.revision, self.era = rig, address, {}, 100, 1
        self.changed, self.mode, self.compacted = asyncio.Event(), "up", 0

    def put(self, key, value, raw=None):
        """value None deletes. A put of an equal value changes nothing."""
        data = raw if raw is not None else None if value is None else json.dumps(value).encode()
        old = self.items.get(key)
        if (old and old[1] == data) or (old is None and data is None):
            return
        self.revision += 1
        self.items[key] = (self.revision, data)
        self.rig.note("store", "put" if data is not None else "deleted", key=key, revision=self.revision,
                      value=data.decode("utf-8", "replace")[:300] if data is not None else None)
        self.changed.set()
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    async def serve(self, reader, writer):
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                while (await reader.readline()).strip():
                    pass
                status, body = await self.answer(line.split()[1].decode())
                if status is None:  # the answer is lost: this connection returns nothing further
                    await asyncio.sleep(3600)
                data = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 %d X\r\nStore-Era: %d\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, self.era, len(data)) + data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def restore(self, copy):
        """Comes back from an older copy: revisions are given out again, the era rises."""
        self.revision, self.items, self.era, self.mode = copy[0], dict(copy[1]), self.era + 1, "up"
        self.rig.note("store", "restored", revision=self.revision, era=self.era)
        self.changed.set()
        self.changed = asyncio.Event()

    async def answer(self, path):
        query = dict(p.split("=", 1) for p in path.split("?")[1].split("&"))
        await asyncio.sleep(0.004)
        if self.mode == "busy":
            return 503, {"error": "busy"}
        if self.mode == "silent":
            return None, None
        prefix = query.get("prefix", "")
        if "kv-range" in path:
            after = query.get("after", "")
            found = [(k, v) for k, v in sorted(self.items.items()) if v[1] is not None and k.startswith(prefix) and k > after]
            return 200, {"items": [self.item(k, v) for k, v in found[:50]], "has_more": len(found) > 50,
                         "store_revision": self.revision}
        after, end = int(query["after"]), now() + int(query["wait_ms"]) / 1000
        while True:
            if after < self.compacted or after > self.revision:
                return 410, {"error": "compacted"}
            events = [self.item(k, v) for k, v in sorted(self.items.items(), key=lambda i: i[1][0])
                      if v[0] > after and k.startswith(prefix)]
            if events or now() >= end:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.01, end - now()))
            except asyncio.TimeoutError:
                pass
            if self.mode != "up":
                return (503, {"error": "busy"}) if self.mode == "busy" else (None, None)

    @staticmethod
    def item(key, entry):
        if entry[1] is None:
            return {"key": key, "revision": entry[0], "deleted": True}
        return {"key": key, "value": base64.b64encode(entry[1]).decode(), "revision": entry[0], "created": entry[0], "lease": 0}


class Target(asyncio.DatagramProtocol):
    """A target beside an agent, with slots and a queue."""

    SLOTS, QUEUE = 2, 8

    def __init__(self, rig, service, machine, work_s):
        self.rig, self.service, self.machine, self.work_s = rig, service, machine, work_s
        self.flows, self.ended, self.busy, self.waiting, self.up = {}, set(), 0, [], False
        self.id = self.entry = None

    def connection_made(self, transport):
        self.transport = transport

    async def start(self, target_id):
        loop = asyncio.get_running_loop()
        self.id, self.born, self.state, self.drained, self.writes = target_id, int(time.time() * 1000), "ready", None, 0
        self.flows, self.ended, self.busy, self.waiting, self.up = {}, set(), 0, [], True
        self.disturbed = now() - CONTACT_S - 1 if self.rig.first else now()
        self.incarnation = "%s@%d" % (target_id, self.born)
        await loop.create_datagram_endpoint(lambda: self, local_addr=(self.machine.ip, self.rig.ports["app"]))
        self.health = await asyncio.start_server(self.serve_health, self.machine.ip, self.rig.ports["app"])
        self.rig.note(self.id, "target starts", service=self.service, machine=self.machine.ip, born=self.born)
        self.beats = asyncio.create_task(self.beat())

    async def serve_health(self, reader, writer):
        try:
            await reader.readline()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
        except ConnectionError:
            pass
        writer.close()

    def published(self):
        return {"service": self.service, "address": "%s:%d" % (self.machine.ip, self.rig.ports["app"]),
                "zone": self.machine.zone, "version": "v7", "slots": self.SLOTS, "state": self.state, "warmup_left_ms": 0,
                "seq": self.writes, "born": self.born}

    async def beat(self):
        """Writes the entry each heartbeat; the entry changes when more than seq changes."""
        while self.up:
            self.writes += 1
            if self.rig.store.mode == "up" and not self.same_as_stored():
                self.rig.store.put("servers/" + self.id, self.published())
            await asyncio.sleep(HEARTBEAT_S)

    def same_as_stored(self):
        try:
            stored = json.loads(self.rig.store.items["servers/" + self.id][1])
            return dict(stored, seq=0) == dict(self.published(), seq=0)
        except (KeyError, TypeError, ValueError):
            return False

    def stop(self, how):
        """Ends the target's process: its flows are gone."""
        self.up = False
        self.rig.note(self.id, "target ends", how=how)
        self.beats.cancel()
        self.transport.close()
        self.health.close()
        self.flows = {}
        for key in [k for k, t in self.rig.open_at.items() if t is self]:
            del self.rig.open_at[key]

    def send(self, key, flags, seq, ack, data=b""):
        if self.up:
            self.transport.sendto(pack(key, flags, seq, ack, data), (self.machine.ip, self.rig.ports["outbound"]))

    def datagram_received(self, raw, addr):
        p = Packet(raw)
        if not self.up:
            return
        if not p.intact():
            self.rig.broken("UNASKED", "%s got a packet that its sender did not write so: %s" % (self.id, raw[:32].hex()))
            return
        route = self.rig.route_at.get((p.key[2], p.key[3]))
        if p.flags & SYN:
            self.open(p, route)
            return
        flow = self.flows.get(p.key)
        if flow is None:
            if p.key in self.ended:
                if p.data:
                    self.send(p.back, RST, p.ack, p.seq)
                elif p.flags & FIN:
                    self.send(p.back, ACK, p.ack, p.seq + 1)
                return
            self.bounce(p)
            return
        if flow["stream"] is None:
            if p.ack != (flow["isn"] + 1) & MASK:
                self.bounce(p)  # the caller uses another target
                return
            flow["stream"] = Stream(lambda f, s, a, d, k=p.back: self.send(k, f, s, a, d), flow["isn"] + 1, flow["client"])
            flow["opened"] = now()
            self.rig.opened(p.key, self)
        self.rig.arrived(p.key, self)
        if p.flags & RST:
            self.end_flow(p.key)
            return
        s = flow["stream"]
        if diff(p.ack, s.next) > 0 and not self.rig.loose:
            return
        s.receive(p)
        while (message := http_message(s.inbuf)) is not None:
            head, body, s.inbuf = message
            self.request(p.key, flow, head, body)
        if s.fin_in and not s.fin_out:
            s.write(b"", fin=True)
        if s.fin_in and s.fin_out and not s.flight:
            self.end_flow(p.key)

    def open(self, p, route):
        if self.service not in self.rig.allowed.get((p.key[2], p.key[3]), ()):
            self.rig.broken("ROUTE", "%s of %s took an open of route %s" % (self.id, self.service, route))
        self.rig.open_taken(p, self)
        flow = self.flows.setdefault(p.key, {"isn": random.getrandbits(32), "client": (p.seq + 1) & MASK, "stream": None})
        self.send(p.back, SYN | ACK, flow["isn"], p.seq + 1)

    def bounce(self, p):
        self.rig.stray(p.key, self)
        raw = bytearray(p.raw)
        raw[26] |= BOUNCED
        raw[27] = 0
        self.transport.sendto(bytes(raw), (self.machine.ip, self.rig.ports["outbound"]))

    def end_flow(self, key):
        flow = self.flows.pop(key, None)
        if flow and flow["stream"]:
            flow["stream"].close()
        self.ended.add(key)
        self.rig.closed(key)

    def request(self, key, flow, head, body):
        attempt = field(head, "Cherviltray-Attempt-Id")
        if self.busy >= self.SLOTS:
            if len(self.waiting) >= self.QUEUE:
                self.reply(key, flow, 503, b"", attempt, not_run=True)
                return
            self.waiting.append((key, flow, attempt, head))
            return
        self.run(key, flow, attempt, head)

    def run(self, key, flow, attempt, head):
        self.busy += 1
        self.rig.ran(attempt, self)
        size, incarnation = int(field(head, "X-Answer-Bytes") or 200), self.incarnation

        def done():
            if not self.up or incarnation != self.incarnation:
                return
            self.busy -= 1
            self.reply(key, flow, 200, os.urandom(size // 2).hex().encode(), attempt)
            if self.waiting:
                self.run(*self.waiting.pop(0))
        asyncio.get_running_loop().call_later(self.work_s * random.uniform(0.7, 1.3), done)

    def reply(self, key, flow, status, body, attempt, not_run=False):
        extra = "Cherviltray-Not-Executed: 1\r\n" if not_run else ""
        closing = self.state == "draining"
        text = "HTTP/1.1 %d X\r\nCherviltray-Attempt-Id: %s\r\nCherviltray-Response-Seal: %08x\r\n%sContent-Length: %d\r\n\r\n" % (
            status, attempt, zlib.crc32(KEY + attempt.encode() + body), extra, len(body))
        if flow["stream"]:
            flow["stream"].write(text.encode() + body, fin=closing)


class Machine:
    """A machine with one process of the system."""

    def __init__(self, rig, kind, ip, zone, **more):
        self.rig, self.kind, self.ip, self.zone, self.more = rig, kind, ip, zone, more
        self.child, self.starts, self.disturbed, self.frozen, self.ready, self.misses = None, 0, 0, False, False, 2
        self.expected_end = False

    def settings(self):
        """What platform/settings.template makes of the platform's fields."""
        r, p = self.rig, self.rig.ports
        text = 'name = "%s-%s"\nzone = "%s"\naddress = "%s"\npackets = "%s:%d"\nready = "%s:%d"\ninternal_port = %d\nmetrics_port = %d\n' % (
            self.kind, self.ip, self.zone, self.ip, self.ip, p["packets"], self.ip, p["ready"], p["internal"], p["metrics"])
        text += 'platform = "%s:%d"\nsilence_ms = 4000\napply_ms = 3000\nheartbeat_ms = 770\n' % r.store.address
        if self.kind == "balancer":
            text += 'control = "%s:%d"\npeers = [%s]\n' % (self.ip, p["control"], ", ".join(
                '"%s:%d"' % (b.ip, p["control"]) for b in r.balancers[:3]))
        else:
            text += 'peers = []\nservice = "%s"\nserver = "%s:%d"\nserver_out = "%s:%d"\n' % (
                self.more["service"], self.ip, p["app"], self.ip, p["outbound"])
        return text + "first_start = %s\nmemory_mb = %d\n" % (
            "true" if self.rig.first else "false", 260 if self.kind == "balancer" else 128)

    async def start(self):
        path = os.path.join(self.rig.dir, self.ip + ".toml")
        with open(path, "w") as f:
            f.write(self.settings())
        log = open(os.path.join(self.rig.dir, self.ip + ".log"), "ab")
        env = {"PATH": os.environ.get("PATH", ""), "CHERVILTRAY_SETTINGS": path}
        self.child = await asyncio.create_subprocess_exec(PROGRAM, self.kind, stdout=log, stderr=log, env=env, cwd=ROOT)
        self.starts += 1
        self.expected_end = False
        if not self.rig.first:
            self.disturbed = now()
        self.rig.note(self.ip, "process starts", kind=self.kind, pid=self.child.pid)

    def signal(self, number, planned=False):
        self.rig.note(self.ip, "signal", number=int(number))
        if not planned:
            self.disturbed = now()
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.expected_end = True
        if number == signal.SIGSTOP:
            self.frozen = True
        if number == signal.SIGCONT:
            self.frozen, self.disturbed = False, now()
        self.child.send_signal(number)

    async def probe(self):
        """The platform probes each balancer twice a second."""
        while not self.rig.ended:
            asyncio.create_task(self.probe_once())
            await asyncio.sleep(0.5)

    async def probe_once(self):
        ok = False
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, self.rig.ports["ready"]), 0.45)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            ok = b" 200 " in await asyncio.wait_for(reader.readline(), 0.45)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            pass
        self.misses = 0 if ok else self.misses + 1
        was, self.ready = self.ready, ok or (self.ready and self.misses < 2)
        if was != self.ready:
            self.rig.note(self.ip, "in rotation" if self.ready else "out of rotation")

    def watch_end(self):
        if self.child and self.child.returncode is not None and not self.expected_end:
            self.rig.broken("crash", "%s %s ended by itself with %s" % (self.kind, self.ip, self.child.returncode))
            self.expected_end = True


class Client(asyncio.DatagramProtocol):
    """A client machine: opens flows and sends requests on them."""

    def __init__(self, rig, ip, zone):
        self.rig, self.ip, self.zone, self.flows, self.port, self.count = rig, ip, zone, {}, random.randrange(20000, 30000), 0

    def connection_made(self, transport):
        self.transport = transport

    def send(self, flow, flags, seq, ack, data=b""):
        balancer = self.rig.route_packet(flow["key"], self.zone)
        if balancer:
            flow["through"] = balancer
            flow["last"] = now()
            self.transport.sendto(pack(flow["key"], flags, seq, ack, data), (balancer.ip, self.rig.ports["packets"]))

    def datagram_received(self, raw, addr):
        p = Packet(raw)
        flow = self.flows.get(p.key[3])
        if flow is None or flow["key"] != p.back:
            return
        if p.own_reset():
            self.reset(flow, p, addr[0])
            return
        if not p.intact():
            self.rig.broken("MIXED", "%s got a packet that its sender did not write so: %s" % (self.ip, raw[:32].hex()))
            return
        if p.flags & RST:
            if flow["stream"] and diff(p.ack, flow["stream"].una) >= -RESET_SLACK:
                self.end(flow, "target reset")
            return
        if p.flags & SYN:
            if flow["stream"] is None and p.ack == (flow["isn"] + 1) & MASK:
                flow["stream"] = Stream(lambda f, s, a, d: self.send(flow, f, s, a, d), flow["isn"] + 1, (p.seq + 1) & MASK)
                self.send(flow, ACK, flow["isn"] + 1, p.seq + 1)
                flow["event"].set()
            return
        if flow["stream"]:
            flow["bytes"] += len(p.data)
            flow["stream"].receive(p)
            flow["event"].set()

    def reset(self, flow, p, sender):
        s = flow["stream"]
        valid = s is None or abs(diff(p.seq, s.expected)) <= RESET_SLACK
        self.rig.note(self.ip, "reset by the system", flow=flow["name"], sender=sender, seq=p.seq, valid=valid,
                      opened=flow["key"] in self.rig.open_at)
        if not valid:
            return
        self.rig.check_reset(flow, sender)
        self.end(flow, "reset")

    def end(self, flow, why):
        flow["end"] = why
        if flow["stream"]:
            flow["stream"].close()
        self.flows.pop(flow["key"][1], None)
        flow["event"].set()

    async def open(self, route):
        self.port += 1
        address, port = self.rig.routes[route][:2]
        key = (ip_number(self.ip), self.port, ip_number(address), port)
        flow = {"key": key, "isn": random.getrandbits(32), "stream": None, "event": asyncio.Event(), "end": None, "route": route,
                "name": "%s:%d>%s" % (self.ip, self.port, route), "through": None, "born": now(), "last": now(), "bytes": 0}
        self.flows[self.port] = flow
        self.rig.flow_of[key] = flow
        for copy, pause in enumerate((0.2, 0.4, 0.8)):
            flow["sent"] = now()
            self.send(flow, SYN, flow["isn"], copy)
            flow["copies"] = copy + 1
            if await self.wait(flow, pause):
                return flow
            if flow["end"]:
                self.rig.note(self.ip, "open refused", flow=flow["name"])
                return None
        self.rig.note(self.ip, "open not answered", flow=flow["name"])
        self.end(flow, "not opened")
        return None

    async def wait(self, flow, seconds):
        try:
            await asyncio.wait_for(flow["event"].wait(), seconds)
        except asyncio.TimeoutError:
            return False
        flow["event"].clear()
        return flow["end"] is None

    async def request(self, flow, deadline_s, body=b"", answer_bytes=200):
        """Sends a request; returns its status, 0 when the flow ended or nothing came in time."""
        self.count += 1
        attempt = "%s-%d" % (self.ip, self.count)
        head = "%s /%s HTTP/1.1\r\nHost: x\r\nCherviltray-Attempt-Id: %s\r\nX-Answer-Bytes: %d\r\nContent-Length: %d\r\n\r\n" % (
            "POST" if body else "GET", flow["route"], attempt, answer_bytes, len(body))
        end, s = now() + deadline_s, flow["stream"]
        self.rig.sent.add(attempt)
        self.rig.note(self.ip, "request", flow=flow["name"], attempt=attempt, through=flow["through"].ip if flow["through"] else None)
        s.write(head.encode() + body)
        while now() < end and not flow["end"]:
            message = http_message(s.inbuf)
            if message:
                head, answer, s.inbuf = message
                status = int(head.split()[1])
                if field(head, "Cherviltray-Attempt-Id") != attempt:
                    self.rig.broken("MIXED", "%s got the answer of %s" % (attempt, field(head, "Cherviltray-Attempt-Id")))
                if status == 200 and field(head, "Cherviltray-Response-Seal") != "%08x" % zlib.crc32(KEY + attempt.encode() + answer):
                    self.rig.broken("MIXED", "%s got an answer with another seal" % attempt)
                self.rig.note(self.ip, "answer", attempt=attempt, status=status, size=len(answer))
                self.rig.answered += status == 200
                return status
            await self.wait(flow, max(0.01, end - now()))
        self.rig.note(self.ip, "no answer", attempt=attempt, flow=flow["name"], why=flow["end"] or "deadline")
        self.rig.unanswered.append((now(), attempt, flow["end"] or "deadline"))
        return 0

    def finish(self, flow):
        if flow["stream"] and not flow["end"]:
            flow["stream"].write(b"", fin=True)


class Rig:
    def __init__(self, case_dir, seed=None):
        self.random = random.Random(seed)
        self.case_dir, self.record = case_dir, open(os.path.join(case_dir, "record.txt"), "w")
        self.dir = tempfile.mkdtemp(prefix="review-")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.started, self.ended, self.breaks, self.first, self.loose = now(), False, [], True, True
        self.balancers, self.agents, self.targets, self.clients = [], [], [], []
        self.routes, self.route_at, self.allowed = {}, {}, {}
        self.open_at, self.flow_of, self.runs, self.sent, self.answered, self.unanswered = {}, {}, {}, set(), 0, []
        self.strays, self.version, self.services, self.core_disturbed = {}, 0, set(), 0
        self.net = "127.%d.%d" % (self.random.randrange(20, 200), os.getpid() % 250)
        self.ports = self.free_ports()
        self.store = Store(self, (self.net + ".1", self.ports["store"]))

    def free_ports(self):
        names = ("store", "packets", "ready", "control", "internal", "metrics", "app", "outbound")
        while True:
            base = random.randrange(10000, 30000)
            ports = {n: base + i for i, n in enumerate(names)}
            try:
                for port in ports.values():
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as s:
                            s.bind((self.net + ".1", port))
                return ports
            except OSError:
                continue

    def note(self, who, what, **more):
        self.record.write("%8.3f %-16s %s %s\n" % (now() - self.started, who, what, json.dumps(more) if more else ""))

    def broken(self, rule, text):
        self.breaks.append((rule, text))
        self.note("RULE", rule, text=text)
        print("%7.2f s  %s: %s" % (now() - self.started, rule, text), flush=True)

    # What targets see
    def opened(self, key, target):
        self.open_at[key] = target
        flow = self.flow_of.get(key)
        self.note(target.id, "flow open", flow=flow and flow["name"])

    def closed(self, key):
        flow = self.flow_of.get(key)
        if self.open_at.pop(key, None):
            self.note("target", "flow closed", flow=flow and flow["name"])

    def arrived(self, key, target):
        self.strays.pop(key, None)

    def stray(self, key, target):
        """FLOW (b): for 2 s three or more packets of an open flow at other targets and none at its own."""
        holder, flow = self.open_at.get(key), self.flow_of.get(key)
        self.note(target.id, "returns a packet", flow=flow and flow["name"])
        if not holder or holder is target or not holder.up:
            return
        first, n = self.strays.get(key, (now(), 0))
        self.strays[key] = (first, n + 1)

    def open_taken(self, p, target):
        """DRAIN: an opening packet that a target took, judged by when the client sent it and when it arrived."""
        flow = self.flow_of.get(p.key)
        self.note(target.id, "takes an open", flow=flow and flow["name"], state=target.state)
        if target.drained is None or now() <= target.drained + DRAIN_S or flow is None:
            return
        if flow["sent"] <= target.drained + DRAIN_S:
            return
        for m in (flow["through"], target.machine):
            if not self.in_touch(m):
                self.note("check", "open not counted: a machine is not in touch", flow=flow["name"], machine=m and m.ip)
                return
        self.broken("DRAIN", "%s took an open %.1f s after the store had acknowledged that it drains, through %s" % (
            target.id, now() - target.drained, flow["through"].ip))

    def ran(self, attempt, target):
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        self.note(target.id, "runs", attempt=attempt, times=self.runs[attempt])
        if attempt not in self.sent:
            self.broken("UNASKED", "%s ran %s, which no client sent" % (target.id, attempt))
        if self.runs[attempt] > 1:
            self.broken("twice", "%s ran %d times" % (attempt, self.runs[attempt]))

    def in_touch(self, machine):
        if now() <= self.core_disturbed + CONTACT_S:
            return False
        return machine is not None and not machine.frozen and now() > machine.disturbed + CONTACT_S

    def check_reset(self, flow, sender):
        """FLOW (a): a reset that the flow's target didn't send, while that target lives undisturbed."""
        target = self.open_at.get(flow["key"])
        if target is None or not target.up or flow["key"] not in target.flows:
            return
        if now() < target.disturbed + CONTACT_S or now() > flow["born"] + LIFETIME_S or now() > flow["last"] + IDLE_S:
            return
        machine = next((m for m in self.balancers + self.agents if m.ip == sender), None)
        for m in (machine, flow["through"], target.machine):
            if not self.in_touch(m):
                self.note("check", "reset not counted: a machine is not in touch", flow=flow["name"], machine=m and m.ip)
                return
        self.broken("FLOW", "%s was reset by %s, though its target %s holds it" % (flow["name"], sender, target.id))

    # Routers
    def route_packet(self, key, zone):
        near = [b for b in self.balancers if b.zone == zone] or self.balancers
        ready = [b for b in near if b.ready]
        if 2 * len(ready) < len(near):
            ready = near if ready else [b for b in self.balancers if b.ready] or self.balancers
        return max(ready, key=lambda b: zlib.crc32(repr((key, b.ip)).encode())) if ready else None

    # Building
    def add_balancer(self, zone="tw-north-a"):
        m = Machine(self, "balancer", "%s.%d" % (self.net, 10 + len(self.balancers)), zone)
        self.balancers.append(m)
        return m

    def add_target(self, service, zone="tw-north-a", work_s=0.02):
        m = Machine(self, "agent", "%s.%d" % (self.net, 50 + len(self.agents)), zone, service=service)
        self.agents.append(m)
        t = Target(self, service, m, work_s)
        self.targets.append(t)
        m.target = t
        self.services.add(service)
        return t

    def add_route(self, name, service, kind, address, port=443, objective=200):
        self.routes[name] = (address, port, service, kind, objective)
        self.route_at[(ip_number(address), port)] = name
        self.allowed.setdefault((ip_number(address), port), set()).add(service)

    def configure(self):
        self.version += random.randint(1, 5)
        routes = [{"name": n, "host": a, "prefix": "/%d/" % p, "service": s, "route_type": k, "timeout_ms": 2000,
                   "slo_latency_ms": o, "priority": 1, "attempts": 1} for n, (a, p, s, k, o) in self.routes.items()]
        services = [{"name": s, "health_path": "/health", "max_conns": 2000} for s in sorted(self.services)]
        self.config = {"version": self.version, "routes": routes, "services": services,
                       "limits": {"idle_timeout_ms": int(IDLE_S * 1000)}}
        self.store.put("op/config", self.config)

    async def add_clients(self, n, zone="tw-north-a"):
        for _ in range(n):
            c = Client(self, "%s.%d" % (self.net, 100 + len(self.clients)), zone)
            self.clients.append(c)
            await asyncio.get_running_loop().create_datagram_endpoint(lambda: c, local_addr=(c.ip, self.ports["packets"]))

    async def start(self):
        await self.store.start()
        self.configure()
        for m in self.balancers + self.agents:
            await m.start()
        for i, t in enumerate(self.targets):
            await t.start("t%02d-%06x" % (i, self.random.getrandbits(24)))
        for b in self.balancers:
            self.probes = getattr(self, "probes", []) + [asyncio.create_task(b.probe())]
        end = now() + 10
        while not all(b.ready for b in self.balancers):
            await asyncio.sleep(0.1)
            if now() > end:
                raise RuntimeError("balancers are not ready after 10 s")
        await asyncio.sleep(2.5)
        self.first = False
        self.watcher = asyncio.create_task(self.watch())

    async def watch(self):
        while not self.ended:
            for m in self.balancers + self.agents:
                m.watch_end()
            for key, (first, n) in list(self.strays.items()):
                target = self.open_at.get(key)
                if target is None:
                    self.strays.pop(key)
                elif n >= 3 and now() >= first + 2:
                    self.strays.pop(key)
                    flow = self.flow_of[key]
                    if self.in_touch(flow["through"]) and self.in_touch(target.machine) and now() > target.disturbed + CONTACT_S:
                        self.broken("FLOW", "%d packets of %s reached other targets in 2 s and none its own" % (n, flow["name"]))
            await asyncio.sleep(0.1)

    def drain(self, target):
        """The target reports draining; the store's answer is the acknowledgement."""
        target.state = "draining"
        self.store.put("servers/" + target.id, target.published())
        target.drained = now()

    def leave(self, target):
        """The target exits; its entry is removed and its machine gets SIGTERM."""
        target.stop("has drained")
        self.store.put("servers/" + target.id, None)
        target.machine.signal(signal.SIGTERM, planned=True)

    def stop(self):
        self.ended = True
        for m in self.balancers + self.agents:
            if m.child and m.child.returncode is None:
                try:
                    m.child.send_signal(signal.SIGCONT)
                    m.child.kill()
                except ProcessLookupError:
                    pass


def run(case_dir, build, play, length_s=100):
    """build(rig) adds machines and routes, play(rig) is the case. Exits as the issue asks."""
    async def main():
        rig = Rig(case_dir)
        try:
            build(rig)
            await rig.start()
            await asyncio.wait_for(play(rig), length_s)
        finally:
            rig.stop()
            for m in rig.balancers + rig.agents:
                if m.child:
                    try:
                        await asyncio.wait_for(m.child.wait(), 5)
                    except asyncio.TimeoutError:
                        pass
        return rig
    if not os.access(PROGRAM, os.X_OK):
        print("target/cherviltray-relay is not built")
        return 2
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # so that the processes are ended
    try:
        rig = asyncio.run(main())
    except Exception as e:  # the case couldn't run
        print("could not run: %r" % e)
        traceback.print_exc()
        return 2
    counted = {}
    for rule, _ in rig.breaks:
        counted[rule] = counted.get(rule, 0) + 1
    rig.note("end", "result", breaks=counted, answered=rig.answered, unanswered=len(rig.unanswered))
    print("trouble %s: %d requests answered, %d not; rules broken: %s" % (
        "on" if rig.trouble else "off", rig.answered, len(rig.unanswered), counted or "none"))
    rig.record.close()
    if os.environ.get("KEEP"):
        print("logs in " + rig.dir)
    else:
        shutil.rmtree(rig.dir, ignore_errors=True)
    if rig.answered < 20:
        print("too few requests were answered for a judgement")
        return 2
    return 1 if counted else 0

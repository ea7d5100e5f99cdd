#!/usr/bin/env python3
"""Stand-ins for review/11 and 12: store, router, backend targets and clients on loopback.

They follow PROTOCOL.md. The balancers and agents are the project's program, as
separate processes. Every message of the stand-ins that matters for the verdict
goes to the record. The process ends all that it started.
"""
import asyncio, base64, json, os, random, shutil, signal, socket, struct, subprocess, tempfile, time

HEADER = struct.Struct(">HIIIIHIHBBI")
SYN, ACK, FIN, RST, BOUNCED = 16, 2, 8, 4, 1
PAYLOAD, WINDOW = 1200, 16
HEARTBEAT_S, LIFETIME_S = 0.77, 60.0
COPIES_S = (0.0, 0.2, 0.6)
CLIENT_WAY_S = 0.003  # one way between clients and the system (SYSTEM.md: 3 ms)
ROUTE = ("127.198.0.2", 443)
HISTORY_S = 20


def ip(text):
    return struct.unpack(">I", bytes(map(int, text.split("."))))[0]


def now():
    return time.monotonic()


class Rig:
    def __init__(self, program, record, balancers, targets, bound_ms=(4000, 3000), link_bytes_s=0):
        """bound_ms: contact_ms and config_apply_ms; link_bytes_s: of a balancer's link, 0: no limit."""
        self.program, self.started, self.bound_ms, self.link_bytes_s = program, now(), bound_ms, link_bytes_s
        self.record_file = open(record, "w")
        self.net = os.getpid() % 200 + 20
        self.port = self.free_port()
        self.dir = tempfile.mkdtemp(prefix="review-rig-")
        self.store = Store(self)
        self.balancers = [Machine(self, "balancer", "127.%d.1.%d" % (self.net, i + 1)) for i in range(balancers)]
        self.agents = [Machine(self, "agent", "127.%d.2.%d" % (self.net, i + 1)) for i in range(targets)]
        self.targets = [Target(self, a) for a in self.agents]
        self.clients, self.ended, self.violations = [], False, []
        self.asked = {}  # the clients' flows
        self.settings_extra, self.service_extra = "", {}
        self.counts = {}

    def free_port(self):
        """A base of ten ports that are free on this rig's addresses."""
        while True:
            base, free = random.randrange(20000, 32000, 10), True
            for offset in range(10):
                for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                    s = socket.socket(socket.AF_INET, kind)
                    try:
                        s.bind(("127.%d.1.1" % self.net, base + offset))
                    except OSError:
                        free = False
                    s.close()
            if free:
                return base

    def record(self, text):
        self.record_file.write("%8.3f %s\n" % (now() - self.started, text))

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    async def start(self):
        loop = asyncio.get_running_loop()
        for i, b in enumerate(self.balancers):
            b.store_at = ("127.%d.9.%d" % (self.net, i + 1), self.port + 5)
            await asyncio.start_server(lambda r, w, b=b: self.store.serve(r, w, b), *b.store_at)
        self.configure(3, [ROUTE])
        for m in self.balancers + self.agents:
            m.start()
        for t in self.targets:
            await t.start()
        for b in self.balancers:
            asyncio.ensure_future(self.probe(b))
        await asyncio.sleep(2.0)

    def configure(self, version, addresses):
        routes = [{"name": "r-%d" % i, "host": a, "prefix": "/%d/" % p, "route_type": "download", "timeout_ms": 8000,
                   "slo_latency_ms": 500, "priority": 1, "service": "maps", "attempts": 2} for i, (a, p) in enumerate(addresses)]
        self.store.put("op/config", {
            "version": version, "routes": routes, "limits": {"idle_timeout_ms": 15000},
            "services": [dict({"name": "maps", "health_path": "/health", "max_conns": 2000}, **self.service_extra)]})
        self.record("store acknowledges version %d, %d routes, %d bytes" % (
            version, len(routes), len(self.store.items["op/config"]["value"])))

    async def probe(self, balancer):
        """The platform's routers: twice a second, out of rotation after two misses."""
        misses = 0
        while not self.ended:
            began, ok = now(), False
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(balancer.address, self.port + 1), 0.25)
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                ok = b" 200 " in await asyncio.wait_for(reader.readline(), 0.25)
                writer.close()
            except (OSError, asyncio.TimeoutError):
                pass
            misses = 0 if ok else misses + 1
            rotation = ok or (balancer.rotation and misses < 2)
            if rotation != balancer.rotation:
                self.record("router: %s %s rotation" % (balancer.name, "in" if rotation else "out of"))
            balancer.rotation = rotation
            await asyncio.sleep(max(0, began + 0.5 - now()))

    def balancer_for(self, key):
        """hash = steady: only the flows of a node that leaves move."""
        ready = [b for b in self.balancers if b.rotation]
        if 2 * len(ready) < len(self.balancers):
            ready = self.balancers
        return max(ready, key=lambda b: hash((b.address,) + key))

    def in_touch(self, machine):
        return not machine.frozen and now() - machine.disturbed_at > self.bound_ms[0] / 1000

    def check_reset(self, flow, sender):
        """FLOW (a), with its excuses, from what clients, targets and the platform see."""
        holders = [(t, t.flows[flow["key"]]) for t in self.targets if flow["key"] in t.flows and t.flows[flow["key"]]["open"]]
        if not holders or holders[0][1]["ended"] or now() - flow["began"] > LIFETIME_S:
            return
        target = holders[0][0]
        machine = next(m for m in self.balancers + self.agents if m.address == sender)
        text = "the open flow of port %d, held by %s, is reset by %s; its packets went through %s" % (
            flow["key"][1], target.id, machine.name, flow["through"].name)
        if all(self.in_touch(m) for m in (machine, target.machine, flow["through"])):
            self.violations.append(text)
            self.record("VIOLATION of FLOW: " + text)
        else:
            self.record("excused: " + text)

    def check_open(self, target, key):
        """DRAIN: the bound is that of the configuration on the sites, drain_ms = config_apply_ms."""
        flow, late = self.asked[key], now() - target.drains_since
        if not target.drains_since or late <= self.bound_ms[1] / 1000:
            return
        text = "%s gets an open %.1f s after it said that it drains, through %s" % (target.id, late, flow["through"].name)
        if self.in_touch(flow["through"]) and self.in_touch(target.machine):
            self.violations.append(text)
            self.record("VIOLATION of DRAIN: " + text)
        else:
            self.record("excused: " + text)

    def stop(self):
        self.ended = True
        for m in self.balancers + self.agents:
            if m.child and m.child.poll() is None:
                m.child.send_signal(signal.SIGCONT)
                m.child.kill()
                m.child.wait()
        self.record_file.close()
        shutil.rmtree(self.dir, ignore_errors=True)


class Machine:
    """A process of the system, with settings as the template writes them."""

    def __init__(self, rig, role, address):
        self.rig, self.role, self.address = rig, role, address
        self.name = "%s-%s" % (role, address.split(".")[-1])
        self.child, self.frozen, self.disturbed_at, self.rotation = None, False, -1e9, False
        self.turned_away, self.store_at = False, ("127.%d.9.1" % rig.net, rig.port + 5)

    def start(self):
        r = self.rig
        text = 'name = "%s"\nzone = "tw-north-a"\naddress = "%s"\n' % (self.name, self.address)
        text += 'packets = "%s:%d"\nready = "%s:%d"\n' % (self.address, r.port, self.address, r.port + 1)
        text += 'internal_port = %d\nplatform = "%s:%d"\n' % (r.port + 2, *self.store_at)
        text += 'silence_ms = %d\napply_ms = %d\nheartbeat_ms = 770\nfirst_start = true\n' % r.bound_ms
        if self.role == "balancer":
            text += 'control = "%s:%d"\nmemory_mb = 260\n' % (self.address, r.port + 3)
        else:
            text += 'memory_mb = 128\nservice = "maps"\nserver = "%s:%d"\nserver_out = "%s:%d"\n' % (
                self.address, r.port + 4, self.address, r.port + 6)
        text += 'peers = [%s]\n' % ", ".join('"%s:%d"' % (b.address, r.port + 3) for b in r.balancers[:3])
        text += r.settings_extra
        path = os.path.join(r.dir, self.name + ".toml")
        with open(path, "w") as f:
            f.write(text)
        self.log = open(os.path.join(r.dir, self.name + ".log"), "ab")
        self.child = subprocess.Popen([r.program, self.role, path], stdout=self.log, stderr=self.log)
        r.record("started %s at %s" % (self.name, self.address))

    def freeze(self, frozen):
        self.child.send_signal(signal.SIGSTOP if frozen else signal.SIGCONT)
        self.frozen, self.disturbed_at = frozen, now()
        self.rig.record("%s %s" % (self.name, "freezes" if frozen else "wakes"))


class Store:
    """The platform's store: listings, and watches with 20 s of history."""

    def __init__(self, rig):
        self.rig, self.events, self.items, self.revision, self.dropped = rig, [], {}, 100, 0
        self.changed = asyncio.Event()

    def put(self, key, value):
        self.revision += 1
        item = {"key": key, "revision": self.revision, "created": self.revision, "lease": 0,
                "value": base64.b64encode(json.dumps(value).encode()).decode()}
        self.items[key] = item
        self.events.append((now(), item))
        while self.events[0][0] < now() - HISTORY_S:
            self.dropped = self.events.pop(0)[1]["revision"]
        self.changed.set()
        self.changed = asyncio.Event()

    def delete(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self.events.append((now(), {"key": key, "revision": self.revision, "deleted": True}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer, caller):
        try:
            while line := await reader.readline():
                while (await reader.readline()).strip():
                    pass
                status, body = await self.answer(line.split()[1].decode(), caller)
                body = json.dumps(body).encode()
                if len(body) > 100000:
                    self.rig.record("store sends %s %d bytes" % (caller.name, len(body)))
                await self.send(writer, b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (
                    status, len(body)) + body)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def send(self, writer, data):
        """At the pace of the caller's link."""
        rate, began = self.rig.link_bytes_s, now()
        for at in range(0, len(data), 4096):
            writer.write(data[at:at + 4096])
            await writer.drain()
            if rate:
                await asyncio.sleep(max(0, began + (at + 4096) / rate - now()))

    async def answer(self, path, caller):
        query = dict(p.split("=", 1) for p in path.split("?")[1].split("&"))
        await asyncio.sleep(0.004)
        if caller.turned_away:
            return 503, {}
        if path.startswith("/v1/kv-range"):
            items = [self.items[k] for k in sorted(self.items) if k > query.get("after", "")]
            return 200, {"items": items, "has_more": False, "store_revision": self.revision}
        after, end = int(query["after"]), now() + int(query["wait_ms"]) / 1000
        while not caller.turned_away:
            if after < self.dropped:
                self.rig.record("store has dropped the history that %s asks for" % caller.name)
                return 410, {}
            events = [e for _, e in self.events if e["revision"] > after]
            if events or now() >= end:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.001, end - now()))
            except asyncio.TimeoutError:
                pass
        return 503, {}


class Target(asyncio.DatagramProtocol):
    """A backend target: 2 slots, 5 ms of work, answers of the length asked for."""

    def __init__(self, rig, machine):
        self.rig, self.machine, self.id = rig, machine, "i-%s" % machine.address
        self.flows, self.busy, self.waiting, self.writes, self.drains_since = {}, 0, [], 0, 0
        self.born = int(time.time() * 1000)

    async def start(self):
        loop, r = asyncio.get_running_loop(), self.rig
        at = (self.machine.address, r.port + 4)
        await asyncio.start_server(lambda reader, writer: writer.close(), *at)
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=at)
        asyncio.ensure_future(self.beat())

    async def beat(self):
        while not self.rig.ended:
            self.write()
            await asyncio.sleep(HEARTBEAT_S)

    def write(self):
        self.writes += 1
        self.rig.store.put("servers/" + self.id, {
            "service": "maps", "address": "%s:%d" % (self.machine.address, self.rig.port + 4), "zone": "tw-north-a",
            "version": "v1", "slots": 2, "state": "draining" if self.drains_since else "ready", "warmup_left_ms": 0,
            "seq": self.writes, "born": self.born})

    def drain(self):
        """It serves on for longer than the script runs: at times many seconds."""
        self.drains_since = now()
        self.write()
        self.rig.record("store acknowledges that %s is draining" % self.id)

    def out(self, key, flags, seq, ack, data=b""):
        src, sport, dst, dport = key
        packet = HEADER.pack(len(data), seq & 0xffffffff, ack & 0xffffffff, 0, dst, dport, src, sport, flags, 0, 0) + data
        self.transport.sendto(packet, (self.machine.address, self.rig.port + 6))

    def datagram_received(self, packet, addr):
        size, seq, ack, _, src, sport, dst, dport, flags, _, echo = HEADER.unpack_from(packet)
        key = (src, sport, dst, dport)
        flow = self.flows.get(key)
        if flags & SYN:
            if flow is None:
                self.rig.check_open(self, key)
                flow = self.flows[key] = {"isn": random.getrandbits(32), "open": False, "ended": False, "answer": b"",
                                          "sent": 0, "acked": 0, "next": seq + 1, "asked": False, "pause": 0.2, "timer": None}
            elif flow["open"]:
                self.rig.count("copy of an open at the target that holds the flow")
                self.rig.record("%s gets a late copy of the open of port %d, %d bytes sent" % (self.id, sport, flow["sent"]))
            if not flow["ended"]:
                self.out(key, SYN | ACK, flow["isn"], seq + 1)
            return
        if flow is None or (not flow["open"] and ack != (flow["isn"] + 1) & 0xffffffff):
            if not flags & RST:
                self.transport.sendto(packet[:26] + bytes([flags | BOUNCED, 0]) + packet[28:],
                                      (self.machine.address, self.rig.port + 6))
            return
        if flow["ended"]:
            if size:
                self.out(key, RST, flow["isn"], seq)
            elif flags & FIN:
                self.out(key, ACK, flow["isn"] + 2 + len(flow["answer"]), seq + 1)
            return
        if not flow["open"]:
            flow["open"] = True
            self.rig.record("%s: flow of port %d is open" % (self.id, sport))
        if flags & RST:
            self.end(flow)
            return
        if size and not flow["asked"]:
            flow["asked"], flow["next"] = True, seq + size
            length = int(packet[HEADER.size:].split()[1])
            self.waiting.append((key, flow, length))
            self.work()
        acked = (ack - flow["isn"] - 1) & 0xffffffff
        if flow["acked"] < acked <= flow["sent"]:
            flow["acked"], flow["pause"] = acked, 0.2
            self.push(key, flow)
        if flags & FIN:
            self.out(key, FIN | ACK, flow["isn"] + 1 + flow["sent"], seq + 1)
            self.end(flow)

    def end(self, flow):
        flow["ended"] = True
        if flow["timer"]:
            flow["timer"].cancel()

    def work(self):
        while self.waiting and self.busy < 2:
            key, flow, length = self.waiting.pop(0)
            self.busy += 1
            asyncio.get_running_loop().call_later(0.005, self.done, key, flow, length)

    def done(self, key, flow, length):
        self.busy -= 1
        self.work()
        if not flow["ended"]:
            self.rig.record("%s ran the request of port %d" % (self.id, key[1]))
            flow["answer"] = bytes(length)
            self.push(key, flow)

    def push(self, key, flow):
        """At most 16 packets in flight; the oldest is sent again after 200 ms, doubled up to 1.6 s."""
        while flow["sent"] < len(flow["answer"]) and flow["sent"] - flow["acked"] < WINDOW * PAYLOAD:
            data = flow["answer"][flow["sent"]:flow["sent"] + PAYLOAD]
            self.out(key, ACK, flow["isn"] + 1 + flow["sent"], flow["next"], data)
            flow["sent"] += len(data)
        if flow["timer"]:
            flow["timer"].cancel()
        flow["timer"] = asyncio.get_running_loop().call_later(flow["pause"], self.again, key, flow)

    def again(self, key, flow):
        if flow["ended"] or self.rig.ended or flow["acked"] >= len(flow["answer"]):
            return
        at = flow["acked"]
        self.out(key, ACK, flow["isn"] + 1 + at, flow["next"], flow["answer"][at:at + PAYLOAD])
        flow["pause"] = min(1.6, flow["pause"] * 2)
        flow["timer"] = asyncio.get_running_loop().call_later(flow["pause"], self.again, key, flow)


class Client(asyncio.DatagramProtocol):
    """Opens a flow for each request, and asks for one download on it."""

    def __init__(self, rig, number):
        self.rig, self.address = rig, "127.%d.4.%d" % (rig.net, number)
        self.flows, self.port = {}, 1024

    async def start(self):
        self.transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(self.address, self.rig.port))

    def send(self, flow, flags, seq, ack, data=b""):
        balancer = flow["direct"] or self.rig.balancer_for(flow["key"])
        packet = HEADER.pack(len(data), seq & 0xffffffff, ack & 0xffffffff, 0, *flow["key"], flags, 0, 0) + data
        flow["through"] = balancer
        asyncio.get_running_loop().call_later(CLIENT_WAY_S, self.transport.sendto, packet, (balancer.address, self.rig.port))

    def datagram_received(self, packet, addr):
        asyncio.get_running_loop().call_later(CLIENT_WAY_S, self.receive, packet, addr)

    def receive(self, packet, addr):
        size, seq, ack, _, src, sport, dst, dport, flags, _, _ = HEADER.unpack_from(packet)
        flow = self.flows.get(dport)
        if flow is None or flow["key"][2:] != (src, sport) or flow["over"]:
            return
        if flags & RST:
            flow["over"] = "reset"
            self.rig.check_reset(flow, addr[0])
            flow["done"].set()
        elif flags & SYN:
            if flow["isn"] is None:
                flow["isn"] = seq
                self.send(flow, ACK, flow["seq"], seq + 1, flow["request"])
                flow["done"].set()
        elif flow["isn"] is not None and size:
            at = (seq - flow["isn"] - 1) & 0xffffffff
            if at == flow["got"]:
                flow["got"] += size
                flow["unacked"] += 1
            if at != flow["got"] - size or flow["unacked"] >= 2 or flow["got"] >= flow["length"]:
                flow["unacked"] = 0
                self.send(flow, ACK, flow["seq"] + len(flow["request"]), flow["isn"] + 1 + flow["got"])
            if flow["got"] >= flow["length"]:
                flow["over"] = "answered"
                flow["done"].set()

    async def ask(self, length, route=ROUTE, through=None):
        """Returns the flow; through: a flow of the platform's that is sent to that node directly."""
        rig = self.rig
        self.port += 1
        request = b"GET %d " % length + b"x" * 40
        flow = {"key": (ip(self.address), self.port, ip(route[0]), route[1]), "seq": 1000, "isn": None, "got": 0, "unacked": 0,
                "request": request, "length": length, "over": "", "done": asyncio.Event(), "through": None, "direct": through, "began": now()}
        self.flows[self.port] = rig.asked[flow["key"]] = flow
        for copy, at in enumerate(COPIES_S + (1.4,)):
            try:
                await asyncio.wait_for(flow["done"].wait(), max(0.001, flow["began"] + at - now()))
                break
            except asyncio.TimeoutError:
                if copy < 3:
                    self.send(flow, SYN, 999, copy)
                    if copy:
                        rig.record("%s port %d: copy %d of the open to %s" % (self.address, flow["key"][1], copy, flow["through"].name))
        flow["done"].clear()
        if flow["isn"] is None:
            flow["over"] = flow["over"] and "refused" or "never opened"
        pause, deadline = 0.2, flow["began"] + 8.0
        while not flow["over"] and now() < deadline:
            before = flow["got"]
            try:
                await asyncio.wait_for(flow["done"].wait(), min(pause, deadline - now()))
            except asyncio.TimeoutError:
                if flow["got"] == before == 0:
                    self.send(flow, ACK, flow["seq"], flow["isn"] + 1, request)
                elif flow["got"] == before:
                    self.send(flow, ACK, flow["seq"] + len(request), flow["isn"] + 1 + flow["got"])
                pause = min(1.6, pause * 2)
        if flow["over"] == "answered":
            self.send(flow, FIN | ACK, flow["seq"] + len(request), flow["isn"] + 1 + flow["got"])
        flow["over"] = flow["over"] or "late"
        rig.count(flow["over"])
        rig.record("%s port %d: %s, %d of %d bytes" % (self.address, flow["key"][1], flow["over"], flow["got"], length))
        self.flows.pop(flow["key"][1], None)
        return flow

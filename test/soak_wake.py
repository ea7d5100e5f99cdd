#!/usr/bin/env python3
"""Soak test of processes that are stopped and run again, on loopback.

Balancers, at times agents too, are stopped in groups with SIGSTOP, or get
little processor time, while servers are replaced, crash or move, routes come
and go, zones are evacuated and the store is away, before, during and after.

The judge is stricter than that of soak.py: it counts each reset of the
system's on a flow that its server holds, whatever its number and whoever is
in contact, and each copy of an open that reaches a server after its caller
has given up.

usage: soak_wake.py PROGRAM [--seconds N] [--seed N] [--hosts N] [--keep DIR] [--events NAME,...]
Exits with 0 when no check failed.
"""
import argparse, asyncio, collections, os, random, re, shutil, signal, sys, tempfile

import soak
from soak import ROUTES, ip, now

# The caller of an open gives up this long after the first copy.
OPEN_GIVE_UP_S = 1.4
# Delay of the test's own event loop that is allowed for in the age of a copy.
LOOP_SLACK_S = 0.15
EVENTS = ["release", "release", "crash", "term-balancer", "term-agent", "new-route", "new-route", "drop-route",
          "evacuate", "reuse", "store", "hang", "lapse"]


class WakeSoak(soak.Soak):
    def __init__(self, options):
        super().__init__(options)
        self.resets = collections.Counter()  # kind of the sender -> resets of flows that servers hold
        self.late_copies, self.cycles, self.requests, self.own_routes = 0, 0, 0, []

    # The judge
    def check_reset(self, flow, sender):
        held = self.flows.get(flow["key"])
        if held is None:
            return
        server, epoch = held
        if not server.up or server.epoch != epoch or flow["key"] not in server.flows or flow["name"] not in ROUTES:
            return
        if self.store.items["servers/" + server.id][1] is None and server.agent.frozen:
            # Entry gone, agent silent: PROTOCOL.md, "treated as gone". A removed host looks the same.
            self.write_log("reset of %r, whose host looked removed" % (flow["key"],))
            return
        kind = "agent" if sender in [a.address for a in self.agents] else "balancer"
        self.resets[kind] += 1
        self.add_violation("%s %s reset the flow %r of server %s" % (kind, sender, flow["key"], server.id))

    def check_open(self, server, key, copy):
        flow = self.opens.get(key)
        if flow is None or key in server.flows or copy >= len(flow["copies"]):
            return
        age = now() - flow["copies"][0]
        if age > OPEN_GIVE_UP_S + LOOP_SLACK_S:
            self.late_copies += 1
            self.add_violation("server %s got copy %d of the open %r after %.2f s" % (server.id, copy, key, age))

    # Events
    async def stop_process(self, process, delay, duration, starve):
        await asyncio.sleep(delay)
        end, process.frozen = now() + duration, True
        while now() < end:
            process.signal(signal.SIGSTOP)
            await asyncio.sleep(min(self.random.uniform(0.05, 0.4), max(0, end - now())) if starve else duration)
            process.signal(signal.SIGCONT)
            await asyncio.sleep(0.003)
        process.frozen = False

    def services(self):
        return collections.Counter(s.service for s in self.servers if s.up and not s.draining)

    async def replace(self, server, service):
        """The server is drained and ends; another one starts at its address."""
        if not server.up or server.draining or self.services()[server.service] < 2:
            return
        server.draining = True
        server.publish()
        await asyncio.sleep(soak.DRAIN_S + self.random.uniform(0, 0.5))
        if not server.up:
            return
        self.store.put("servers/" + server.id, None)
        server.end()
        if service:
            await self.restart_for(server.agent, service)
            server.service = service
        await asyncio.sleep(self.random.uniform(0.05, 1.0))
        server.start()

    async def write_again(self, server, epoch):
        while self.store.fault:
            await asyncio.sleep(0.1)
        if server.up and server.epoch == epoch:
            server.publish()

    async def hang(self, server, duration):
        """The server does not run; its entry expires if that is for long, and comes back with it."""
        expires = asyncio.get_running_loop().call_later(soak.EXPIRY_HEARTBEATS * soak.HEARTBEAT_S, self.store.put,
                                                        "servers/" + server.id, None)
        epoch = server.epoch
        await server.hang(duration)
        expires.cancel()
        await self.write_again(server, epoch)

    async def lapse(self, server):
        """The entry of a server that runs is removed, and written again later; its agent may restart meanwhile."""
        epoch = server.epoch
        self.store.put("servers/" + server.id, None)
        if self.random.random() < 0.6:
            await asyncio.sleep(self.random.uniform(0, 1))
            if not server.agent.frozen:
                server.agent.stopping = True
                server.agent.signal(signal.SIGTERM)
        await asyncio.sleep(self.random.uniform(0.5, 4))
        await self.write_again(server, epoch)

    async def restart_for(self, agent, service):
        """The agent ends, and another one starts at its address for a service."""
        while agent.frozen:
            await asyncio.sleep(0.05)
        agent.settings = re.sub('service = ".*"', 'service = "%s"' % service, agent.settings)
        agent.stopping, starts = True, agent.starts
        agent.signal(signal.SIGTERM)
        while agent.starts == starts:
            await asyncio.sleep(0.05)

    async def use_route(self, name):
        """Callers open flows on a route as soon as it is written."""
        number = len(self.own_routes) + 1
        ROUTES[name] = ("198.18.2.%d" % number, 443, "safe")
        self.own_routes.append(name)
        self.route_at[(ip(ROUTES[name][0]), 443)] = name
        self.service_of[name] = "spots"
        self.led_to.add((name, "spots"))
        self.configure()
        tasks = [asyncio.create_task(self.use_flow(name)) for _ in range(60)]
        await asyncio.wait(tasks)

    async def use_flow(self, name):
        await asyncio.sleep(self.random.uniform(0, 1.5))
        caller = self.random.choice(self.callers)
        flow, end = await caller.open(name), now() + self.random.uniform(1, 6)
        while flow and not flow["reset"] and now() < end:
            self.requests += 1
            if not await caller.send_request(flow, b"%s/%d" % (name.encode(), self.requests), now() + 2.0):
                break
            await asyncio.sleep(0.4)
        if flow and not flow["reset"]:
            caller.send(flow, soak.FIN | soak.ACK, flow["seq"], flow["ack"])

    async def run_event(self, name, delay):
        await asyncio.sleep(max(0, delay))
        self.write_log(name)
        pick = self.random.choice
        if name == "release":
            servers = [s for s in self.servers if s.service == pick(("spots", "maps"))]
            for s in servers:
                asyncio.create_task(self.replace(s, None))
                await asyncio.sleep(self.random.uniform(0.3, 1.0))
        elif name == "reuse":
            s = pick(self.servers)
            await self.replace(s, "maps" if s.service == "spots" else "spots")
        elif name in ("term-balancer", "term-agent"):
            p = pick(self.balancers if name == "term-balancer" else self.agents)
            if not p.frozen:
                p.stopping = True
                p.signal(signal.SIGTERM)
        elif name == "new-route":
            await self.use_route("fresh-%d" % (len(self.own_routes) + 1))
        elif name == "drop-route" and self.own_routes and self.own_routes[0] in ROUTES:
            gone = next(r for r in self.own_routes if r in ROUTES)
            del ROUTES[gone], self.service_of[gone]
            self.configure()
        elif name == "hang":
            await asyncio.gather(*(self.hang(s, self.random.uniform(0.4, 4.0)) for s in self.random.sample(self.servers, 3) if s.up))
        elif name == "lapse":
            await asyncio.gather(*(self.lapse(s) for s in self.random.sample(self.servers, 3) if s.up and not s.draining))
        elif name in ("crash", "evacuate", "store"):
            await self.run_fault(name)

    async def cycle(self):
        """One group of processes is stopped and runs again, with some events around it."""
        self.cycles += 1
        r, events = self.random, []
        duration = r.choice((r.uniform(0.2, 1.0), r.uniform(1.0, 3.5), 3.5, r.uniform(3.5, 7.0)))
        starve = not self.options.no_starve and r.random() < 0.2
        group = r.sample(self.balancers, r.randint(1, (len(self.balancers) + 1) // 2))
        if r.random() < 0.4:
            group += r.sample(self.agents, r.randint(1, 3))
        names = self.options.events.split(",") if self.options.events else EVENTS
        self.write_log("cycle %d: %s %s for %.2f s" % (self.cycles, "starve" if starve else "stop",
                                                      [p.address for p in group], duration))
        before = 1.0
        for p in group:
            events.append(self.stop_process(p, before + r.uniform(0, 0.1), duration, starve))
        for name in r.sample(names, min(len(names), r.randint(1, 3))):
            delay = r.choice((r.uniform(0, before), before + 0.05, before + duration * r.random(),
                              before + duration + r.uniform(0, 0.2), before + duration + r.uniform(0.2, 3)))
            events.append(self.run_event(name, delay))
        await asyncio.gather(*events)

    async def inject_faults(self):
        await asyncio.sleep(1.0)
        end = now() + self.options.seconds
        while now() < end:
            await self.cycle()
            await asyncio.sleep(self.random.choice((0.2, 2.0, 5.0)))


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("program")
    parser.add_argument("--seconds", type=float, default=40)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--hosts", type=int, default=15)
    parser.add_argument("--events", help="comma-separated events instead of all")
    parser.add_argument("--no-starve", action="store_true", help="stop processes only")
    parser.add_argument("--keep", help="directory for the logs")
    options = parser.parse_args()
    options.old, options.faults, options.all_served = None, None, False
    wake = WakeSoak(options)
    random.seed(options.seed)
    try:
        asyncio.run(wake.run())
    finally:
        wake.kill_processes()
    served = sum(ok for _, ok in wake.results)
    print("seed %d: %d cycles, %d of %d requests served, resets of held flows by balancers %d, by agents %d, late copies %d, "
          "%d promises broken%s" % (options.seed, wake.cycles, served, len(wake.results), wake.resets["balancer"], wake.resets["agent"],
                                    wake.late_copies, len(wake.violations), "; logs in " + wake.dir if wake.violations else ""))
    for text in wake.violations[:10]:
        print("  " + text)
    if not wake.violations:
        shutil.rmtree(wake.dir)
    return 1 if wake.violations else 0


if __name__ == "__main__":
    sys.exit(main())

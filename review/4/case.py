"""Planned changes of the configuration come in quick succession.

The configuration has grown to 2,803 routes, less than half of the store's largest value.
25 changes follow in 1.5 s; the last one adds a route, drops one and moves one to
another service. One second later a target reports that it drains. Nothing else
happens, and no process or connection is disturbed.
"""
import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import rig as stand_ins

GROWN_BY, CHANGES, GAP_S = 2800, 25, 0.06


def route(name, host, service, timeout_ms=2000):
    return {"name": name, "host": host, "prefix": "/443/", "route_type": "unsafe", "timeout_ms": timeout_ms,
            "slo_latency_ms": 120, "priority": 1, "service": service, "attempts": 2}


BASE = [route("stays", "198.18.0.1", "spots"), route("moves", "198.18.0.2", "spots"), route("goes", "198.18.0.3", "spots")]
LAST = [BASE[0], route("moves", "198.18.0.2", "maps"), route("comes", "198.18.0.4", "spots")]
IDLE = [route("r-%05d" % i, "198.19.%d.%d" % (i // 250, i % 250 + 1), "spots") for i in range(GROWN_BY)]


async def one_request(rig, client, r):
    """A flow with one request, as a client opens it. Returns "refused" or the services that ran it."""
    sent = rig.now()
    flow = await client.open(r)
    if flow is None:
        rig.seen.append((sent, r["name"], "refused"))
        return
    number = rig.attempts + 1
    await client.request(flow, "POST", 2.0)
    holder = rig.holders.get(flow["key"])
    rig.seen.append((sent, r["name"], holder.service if holder and rig.runs.get("a%05d" % number) else "not run"))
    await client.close(flow)


async def scenario(rig):
    rig.seen, seeds, services = [], [1, 2, 3], ["spots", "maps"]
    for i in (1, 2, 3):
        rig.add_balancer(i, "z0", seeds)
    for i in range(1, 8):
        rig.add_target(i, "z0", "maps" if i > 5 else "spots", seeds)
    rig.configure(7, BASE, services)
    await rig.start()
    rig.configure(9, BASE + IDLE, services)
    clients = [await rig.add_client(i, "z0") for i in range(1, 9)]
    while rig.now() < 6.0:  # all machines are in touch
        await asyncio.sleep(0.05)
    changes = [rig.make_config(12 + 2 * n, BASE + IDLE[:-1] + [route("idle-%d" % n, "198.20.0.%d" % (n + 1), "spots")], services)
               for n in range(CHANGES - 1)]
    changes = [json.dumps(c, separators=(",", ":")).encode() for c in changes] if rig.trouble else []
    began = rig.now()
    for n, value in enumerate(changes):
        await asyncio.sleep(max(0, began + n * GAP_S - rig.now()))
        rig.store.put("op/config", value)
    await asyncio.sleep(GAP_S)
    rig.configure(70, LAST + IDLE, services)
    acked, tasks = rig.now(), []
    rig.note("operator", "the last version is acknowledged")
    drained, drain_acked = rig.targets[0], None
    while rig.now() < acked + 12.0:
        if drain_acked is None and rig.now() > acked + 1.0:
            drained.state, drain_acked = "draining", rig.now()
            rig.store.put("servers/" + drained.id, drained.entry())
        for r in LAST + [BASE[2]]:
            tasks.append(asyncio.create_task(one_request(rig, clients[len(tasks) % 8], r)))
        await asyncio.sleep(0.1)
    await asyncio.wait(tasks)
    for sent, name, by in rig.seen:
        late = sent - acked
        if late <= stand_ins.CONFIG_S or not all(m.in_touch(sent) for m in rig.machines):
            continue
        if name == "moves" and by == "spots":
            rig.broken("CONFIG", "a request sent %.1f s after the acknowledgement was run by the old service" % late)
        elif name == "goes" and by not in ("refused", "not run"):
            rig.broken("CONFIG", "a request sent %.1f s after the acknowledgement was run with a dropped route" % late)
        elif name == "comes" and by == "refused":
            rig.broken("CONFIG", "a request sent %.1f s after the acknowledgement was refused though the route is there" % late)
    for key, seen in rig.arrivals.items():
        if seen[0][1] is drained and seen[0][0] > drain_acked + stand_ins.DRAIN_S:
            rig.broken("DRAIN", "an open reached %s %.1f s after the acknowledgement that it drains"
                       % (drained.id, seen[0][0] - drain_acked))


stand_ins.main(os.path.dirname(os.path.abspath(__file__)), scenario)

"""The balancers are restarted in turn, as planned, while routes are added.

A change each 0.33 s adds a route; users open flows on the routes of the last second.
Nothing else happens.
"""
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import rig as stand_ins

CHANGE_S, RESTART_S, RESTARTS, USERS_PER_S = 0.33, 6.0, 14, 100


def route(i):
    return {"name": "r-%d" % i, "host": "198.18.%d.%d" % (i // 200, i % 200 + 1), "prefix": "/443/", "route_type": "unsafe",
            "timeout_ms": 2000, "slo_latency_ms": 120, "priority": 1, "service": "spots", "attempts": 2}


async def user(rig, client, r):
    """Opens a flow and sends check-ins on it for a second."""
    flow = await client.open(r)
    if flow is None:
        return
    end = rig.now() + 1.0
    while rig.now() < end and not flow["reset"]:
        if not await client.request(flow, "POST", 2.0):
            break
        await asyncio.sleep(0.08)
    await client.close(flow)


async def restarts(rig):
    """One balancer after the other, each when those before have run for over contact_ms."""
    for n in range(RESTARTS):
        began = rig.now()
        await rig.machines[n % 3].restart()
        await asyncio.sleep(max(0, began + RESTART_S - rig.now()))


async def scenario(rig):
    seeds = [1, 2, 3]
    for i in seeds:
        rig.add_balancer(i, "z0", seeds)
    for i in range(1, 8):
        rig.add_target(i, "z0", "spots", seeds).work_s = 0.005
    rig.planned_only = True
    routes, version = [route(0)], 7
    rig.configure(version, routes, ["spots"])
    await rig.start()
    clients = [await rig.add_client(i, "z0") for i in range(1, 9)]
    while rig.now() < 5.0:  # all machines are in touch
        await asyncio.sleep(0.05)
    users, began, changed = [], rig.now(), 0.0
    work = asyncio.create_task(restarts(rig)) if rig.trouble else None
    while rig.now() < began + RESTARTS * RESTART_S and not rig.violations:
        if rig.now() >= changed + CHANGE_S:
            changed, version = rig.now(), version + 3
            routes.append(route(len(routes)))
            rig.configure(version, list(routes), ["spots"])
        users.append(asyncio.create_task(user(rig, clients[len(users) % 8], random.choice(routes[-3:]))))
        await asyncio.sleep(1 / USERS_PER_S)
    if work:
        work.cancel()
    await asyncio.wait(users, timeout=10)


stand_ins.main(os.path.dirname(os.path.abspath(__file__)), scenario)

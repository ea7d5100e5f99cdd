"""A target crashes while flows are opened; then a balancer is restarted as planned.

Seven targets, one of them (Y) in the clients' zone, crashes. The opens that were
offered to Y just before its agent noticed are taken by other targets. The restart
moves flows to the other balancer, which has to find out where they are.
"""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import rig as stand_ins

ROUTE = {"name": "checkin", "host": "198.18.0.1", "prefix": "/443/", "route_type": "unsafe", "timeout_ms": 2000,
         "slo_latency_ms": 120, "priority": 1, "service": "spots", "attempts": 2}


USERS_PER_S, CYCLES = 100, 4


async def user(rig, client, life_s):
    """Opens a long flow and sends a check-in on it now and then."""
    flow = await client.open(ROUTE)
    if flow is None:
        return
    end = rig.now() + life_s
    while rig.now() < end and not flow["reset"]:
        if not await client.request(flow, "POST", 2.0):
            break
        await asyncio.sleep(0.7)
    await client.close(flow)


async def cycle(rig, clients, y, balancer):
    """A crash for 4.5 s and a planned restart, while users come for two seconds."""
    users, crash_at, crashed, restart = [], rig.now() + 1.0, False, None
    while rig.now() < crash_at + 4.5:
        if rig.trouble and not crashed and rig.now() >= crash_at:
            crashed = True
            y.crash()
        if rig.trouble and restart is None and rig.now() >= crash_at + 0.1:
            restart = asyncio.create_task(balancer.restart())
        if rig.now() < crash_at + 1.0:
            users.append(asyncio.create_task(user(rig, clients[len(users) % len(clients)], 3.5)))
        await asyncio.sleep(1 / USERS_PER_S)
    if crashed:
        await y.start()
    await asyncio.wait(users)
    if restart:
        await restart


async def scenario(rig):
    seeds = [1, 2, 3]
    for i, zone in ((1, "z0"), (2, "z0"), (3, "z1")):
        rig.add_balancer(i, zone, seeds)
    y = rig.add_target(1, "z0", "spots", seeds)
    for i in range(2, 8):
        rig.add_target(i, "z1", "spots", seeds)
    rig.configure(7, [ROUTE], ["spots"])
    await rig.start()
    clients = [await rig.add_client(i, "z0") for i in range(1, 9)]
    for n in range(CYCLES):
        settled = rig.now() + 5.0  # all machines are in touch again
        while rig.now() < settled:
            await asyncio.sleep(0.05)
        await cycle(rig, clients, y, rig.machines[n % 2])
        if rig.violations:
            return


stand_ins.main(os.path.dirname(os.path.abspath(__file__)), scenario)

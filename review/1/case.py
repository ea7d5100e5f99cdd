"""The agents have been restarted in turn, as planned, while the users paused.

Later a balancer is restarted as planned, and a target crashes. The other balancer
has to find out where the flows are; all machines that matter are in touch.
"""
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import rig as stand_ins

ROUTE = {"name": "checkin", "host": "198.18.0.1", "prefix": "/443/", "route_type": "unsafe", "timeout_ms": 2000,
         "slo_latency_ms": 120, "priority": 1, "service": "spots", "attempts": 2}
USERS = 280


async def user(rig, client, go):
    """A flow with a check-in, a pause of some seconds, and another check-in."""
    flow = await client.open(ROUTE)
    if flow is None:
        return
    await client.request(flow, "POST", 2.0)
    await go.wait()
    await asyncio.sleep(random.uniform(0, 0.08))
    await client.request(flow, "POST", 2.0)
    await asyncio.sleep(1.0)


async def scenario(rig):
    seeds = [1, 2]
    rig.add_balancer(1, "z0", seeds)
    rig.add_balancer(2, "z0", seeds)
    for i in range(1, 8):
        rig.add_target(i, "z0", "spots", seeds)
    rig.configure(7, [ROUTE], ["spots"])
    await rig.start()
    clients = [await rig.add_client(i, "z0") for i in range(1, 9)]
    go, users = asyncio.Event(), []
    for i in range(USERS):
        users.append(asyncio.create_task(user(rig, clients[i % 8], go)))
        await asyncio.sleep(0.003)
    await asyncio.sleep(0.5)
    paused = rig.now()
    for m in rig.machines:
        if m.kind == "agent":
            await m.restart(0.2)
    while rig.now() < rig.machines[-1].disturbances[-1] + 4.3:  # all machines are in touch again
        await asyncio.sleep(0.02)
    if rig.trouble:
        stopping = asyncio.create_task(rig.machines[0].restart())
    while rig.trouble and rig.machines[0].rotation:
        await asyncio.sleep(0.005)
    began = rig.now()
    rig.note("judge", "the users have paused for %.1f s" % (began - paused))
    if rig.trouble:
        y = rig.targets[6]
        while rig.now() - y.last_beat > 0.03:
            await asyncio.sleep(0.005)
        y.crash()
    go.set()
    await asyncio.wait(users)
    rig.judge_detours(began, rig.now())


stand_ins.main(os.path.dirname(os.path.abspath(__file__)), scenario)

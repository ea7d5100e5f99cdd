#!/usr/bin/env python3
"""The store turns both balancers away while configurations are written. Exits as run.sh says."""
import asyncio, os, sys, traceback

here = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(here))
import rig_3

IDLE = [("127.198.%d.%d" % (10 + i // 200, 1 + i % 200), 443) for i in range(1440)]
LINK = 10_000_000 // 8  # bytes a second


async def use(rig, clients, route, acked_at):
    """Flows to each node that is ready, on the oldest route and on the newest one. The rule is checked where a target
    gets an open; what the nodes answer on the newest route is only recorded."""
    while not rig.ended:
        for client, balancer in zip(clients, rig.balancers):
            await client.ask(2000, rig_3.ROUTE, balancer)
            flow = await client.ask(2000, route, balancer)
            if flow["over"] == "refused" and flow["began"] > acked_at + rig.bound_ms[1] / 1000 and rig.in_touch(balancer):
                rig.count("refused on a new route (CONFIG)")
        await asyncio.sleep(0.1)


async def run(rig, trouble):
    await rig.start()
    rig.configure(5, [rig_3.ROUTE] + IDLE)
    await asyncio.sleep(6)
    version = 5
    for b in rig.balancers if trouble else []:
        b.turned_away = True
        rig.record("store turns %s away" % b.name)
    for _ in range(5):
        await asyncio.sleep(0.9)
        version += 2
        rig.configure(version, [rig_3.ROUTE] + IDLE + [("127.198.3.%d" % version, 443)])
    for b in rig.balancers if trouble else []:
        b.turned_away, b.disturbed_at = False, rig_3.now()
        rig.record("store serves %s again" % b.name)
    await asyncio.sleep(1)
    route = ("127.198.4.1", 443)
    rig.configure(version + 3, [rig_3.ROUTE] + IDLE + [route])
    acked_at, clients = rig_3.now(), []
    for target in rig.targets[:2]:
        target.drain()
    for i, _ in enumerate(rig.balancers):
        clients.append(rig_3.Client(rig, i + 1))
        await clients[-1].start()
    asyncio.ensure_future(use(rig, clients, route, acked_at))
    await asyncio.sleep(30)


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    program = os.path.abspath(os.path.join(here, "..", "..", "target", "cherviltray-relay"))
    rig = rig_3.Rig(program, os.path.join(here, "record.txt"), 2, 4, bound_ms=(5000, 5000), link_bytes_s=LINK)
    code = 2
    try:
        asyncio.run(asyncio.wait_for(run(rig, trouble), 110))
        ended = [m.name for m in rig.balancers + rig.agents if m.child.poll() is not None]
        rig.record("ended by themselves: %s" % ended)
        code = 2 if ended else 1 if rig.violations else 0 if rig.counts.get("answered", 0) > 10 else 2
        print("trouble %s: %s; %d times the rule was broken" % ("on" if trouble else "off", rig.counts, len(rig.violations)))
        rig.record("counts: %s" % rig.counts)
    except Exception:
        traceback.print_exc()
    finally:
        rig.stop()
    sys.exit(code)


main()

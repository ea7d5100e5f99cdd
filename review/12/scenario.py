#!/usr/bin/env python3
"""Balancers freeze and wake again while clients download. Exits as run.sh says."""
import asyncio, os, random, sys, traceback

here = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(here))
import rig_3

ROUNDS, LENGTH, PER_S, CLIENTS = 22, 240000, 30, 12


async def ask_on(rig, client):
    while not rig.ended:
        await asyncio.sleep(random.expovariate(PER_S / CLIENTS))
        asyncio.ensure_future(client.ask(LENGTH))


async def run(rig, trouble):
    await rig.start()
    for i in range(CLIENTS):
        client = rig_3.Client(rig, i + 1)
        await client.start()
        rig.clients.append(client)
        asyncio.ensure_future(ask_on(rig, client))
    await asyncio.sleep(rig.bound_ms[0] / 1000 + 1)
    frozen = rig.balancers[0]
    for _ in range(ROUNDS):
        if trouble:
            frozen.freeze(True)
            began = rig_3.now()
            while frozen.rotation and rig_3.now() < began + 1.7:
                await asyncio.sleep(0.01)
            await asyncio.sleep(random.uniform(0.05, 0.4))
            frozen.freeze(False)
        else:
            await asyncio.sleep(1.5)
        await asyncio.sleep(2.2)
    await asyncio.sleep(2.0)


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    program = os.path.abspath(os.path.join(here, "..", "..", "target", "cherviltray-relay"))
    rig = rig_3.Rig(program, os.path.join(here, "record.txt"), balancers=2, targets=2)
    code = 2
    try:
        asyncio.run(asyncio.wait_for(run(rig, trouble), 115))
        answered = rig.counts.get("answered", 0)
        code = 1 if rig.violations else 0 if answered > 100 else 2
        print("trouble %s: %s; %d times the rule was broken" % ("on" if trouble else "off", rig.counts, len(rig.violations)))
        rig.record("counts: %s" % rig.counts)
    except Exception:
        traceback.print_exc()
    finally:
        rig.stop()
    sys.exit(code)


main()

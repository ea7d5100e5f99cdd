"""Another writer leaves an entry that can't be read at the address of a target that drains."""
import asyncio, json, os, sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import rig_2
from rig_2 import now

# TROUBLE=0 leaves the odd entry out and does everything else, the drain too; what
# is sent, answered and run is written to record.txt.
PLAY_S, DRAIN_AT_S, ODD_AFTER_S = 24, 8, 1.0
DRAIN_S, SERVES_ON_S = 3.0, 6.0  # drain_ms, and "a little longer (at times many seconds)"


def build(rig):
    for _ in range(2):
        rig.add_balancer()
    for _ in range(3):
        rig.add_target("fieldlink", work_s=0.02)
    for _ in range(2):
        rig.add_target("certdesk", work_s=0.005)
    rig.add_route("weight-feed", "fieldlink", "safe", "127.198.0.1")
    rig.add_route("recovery-log", "fieldlink", "unsafe", "127.198.0.2")
    rig.add_route("cert-pull", "certdesk", "download", "127.198.0.3", objective=500)


async def logs(rig, client, until):
    """A flow for each log. A log that was sent on an open flow is not sent again."""
    while now() < until:
        flow = await client.open("recovery-log")
        if flow:
            await client.request(flow, 2.0, body=b"x" * 900, answer_bytes=600)
            client.finish(flow)
        await asyncio.sleep(rig.random.uniform(0.1, 0.3))


async def play(rig):
    await rig.add_clients(12)
    until = now() + PLAY_S
    tasks = [asyncio.create_task(logs(rig, c, until)) for c in rig.clients]
    await asyncio.sleep(DRAIN_AT_S)
    leaving = rig.targets[1]
    torn = json.dumps(leaving.published()).encode() + b'"\xff\xfe\x00,"state":'
    rig.drain(leaving)
    await asyncio.sleep(ODD_AFTER_S)
    if rig.trouble:
        rig.store.put("servers/import-1", None, raw=torn)
    await asyncio.sleep(DRAIN_S + SERVES_ON_S - ODD_AFTER_S)
    rig.leave(leaving)
    await asyncio.gather(*tasks)


sys.exit(rig_2.run(HERE, build, play))

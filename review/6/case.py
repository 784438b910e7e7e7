"""CONFIG: the store comes back from a copy some seconds old, and the next configuration is not put in force."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import fleet as stand_ins

APPLY = stand_ins.BOUNDS["config-apply-ms"] / 1000
STABILITY = stand_ins.BOUNDS["stability-ms"] / 1000
STRETCH = stand_ins.BOUNDS["stretch-max-ms"] / 1000
COPY_AGE = 8.0  # "some seconds old"
AWAY = 1.0  # "away for a moment"
LAST = 9  # Versions 6 to 9 are written in the seconds that the copy lacks.
GAP = 1.5
LENGTH = 30.0  # Observed after the version that moves the route.


def version(number, backend):
    routes = [stand_ins.route("r-a", "/a/", timeout=3000 - number, backend=backend),
              stand_ins.route("r-g", "/g/", timeout=1000, target=150, gather=["g0", "g1", "g2", "g3"],
                              **{"top-k": 20, "min-coverage": 0.75})]
    names = ["a", "b", "g0", "g1", "g2", "g3"]
    return stand_ins.configuration(number, routes, [stand_ins.service(name) for name in names])


async def case(fleet, record, trouble):
    store = fleet.store
    await store.open()
    for name in ("a", "b", "g0", "g1", "g2", "g3"):
        await fleet.add_replicas(name)
    store.put("config", "main", version(5, "a"))
    for daemon in fleet.daemons:
        daemon.start()
    await fleet.wait_ready()

    async def copies():
        while True:
            if store.server.is_serving():
                store.keep_copy()
            await asyncio.sleep(0.25)

    sent = {}

    async def probe(daemon, number):
        request = f"{daemon.name}.{number}"
        sent[request] = (time.monotonic(), daemon.name)
        record.note("sent", id=request)
        status, fields, _ = await stand_ins.ask(daemon.front, "GET", "/a/1", "h.example", request, 2900)
        record.note("answered", id=request, status=status, stamp=fields.get("server-stamp", ""))

    async def traffic():
        number = 0
        while True:
            for daemon in fleet.daemons:
                number += 1
                tasks.append(asyncio.create_task(probe(daemon, number)))
                await asyncio.sleep(0.04)

    tasks = []
    background = [asyncio.create_task(copies()), asyncio.create_task(traffic())]
    await asyncio.sleep(COPY_AGE)
    # Planned work: more replicas start, cold. Their entries change with each heartbeat while they are.
    for replica in await fleet.add_replicas("b", 3, cold_for=stand_ins.WARMUP):
        record.say(f"{replica.name} has started")
    for number in range(6, LAST + 1):
        record.say(f"the operator writes version {number} (another time-out)")
        store.put("config", "main", version(number, "a"))
        await asyncio.sleep(GAP)
    if trouble:
        await store.close()
        record.say("the store is away")
        await asyncio.sleep(AWAY)
        before, revision, age = store.restore_copy(COPY_AGE)
        await store.open()
        record.say(f"the store is back from a copy {age:.1f} s old: revision {before} -> {revision}, era {store.era}")
    else:
        await asyncio.sleep(AWAY)
    returned = time.monotonic()
    # What the operator and the replicas wrote is written again.
    if trouble:
        for number in range(6, LAST + 1):
            store.put("config", "main", version(number, "a"))
    for replica in fleet.replicas:
        replica.beat()
    await asyncio.sleep(3.0)
    revision = store.put("config", "main", version(LAST + 1, "b"))
    confirmed = time.monotonic()
    record.say(f"version {LAST + 1}, which moves the route from service a to b, is confirmed at revision {revision}")
    await asyncio.sleep(LENGTH)
    for task in background:
        task.cancel()
    await asyncio.wait(tasks, timeout=4)
    due = max(confirmed + APPLY, returned + STABILITY)
    # A repeat of the tier's own counts once.
    ran = {request for replica in fleet.replicas if replica.service == "a" for _, request in replica.arrivals}
    old = [sent[request] for request in ran if sent[request][0] > due]
    total = sum(1 for when, _ in sent.values() if when > due)
    stretched = sum(1 for when, _ in old if when > confirmed + APPLY + STRETCH)
    record.say(f"{len(old)} of {total} requests sent later than config-apply-ms after the confirmation, and "
               f"stability-ms after the store's return, ran by the old service, by "
               f"{len({name for _, name in old})} daemons; {stretched} of them later than with stretch-max-ms too")
    if old:
        record.say(f"the last one was sent {max(when for when, _ in old) - confirmed:.1f} s after the confirmation")
    return bool(old)


stand_ins.play(case)

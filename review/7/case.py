"""DRAIN: while machines are stopped and started in turn, the removal of a replica is lost for machines that run on."""
import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import fleet as stand_ins

DRAIN = stand_ins.BOUNDS["drain-ms"] / 1000
SLACK = 0.25  # For delays of the stand-ins themselves; the rule has none.
SERVICES = ("a", "b", "c")
REPLICAS = 19  # As many as the site's largest service has.
SHARE = 0.13  # Of all replicas, in one scale_in.
GAP = 1.1  # Between two SIGTERMs.
RESTART_DELAY = 0.5
TOGETHER = 2  # Replicas that leave with one step of the scale_in.
SCALE_GAP = 0.005  # Between two replicas that leave; on a day of the bench it is 1 to 4 ms.
LATENCY = 0.012  # cross_region_ms of the site, between the machines and the store.
RATE = 260.0  # Requests a second.
LENGTH = 7.0  # Observed after the last removal.


async def case(fleet, record, trouble):
    store = fleet.store
    store.latency = LATENCY
    await store.open()
    for name in SERVICES:
        await fleet.add_replicas(name, REPLICAS)
    routes = [stand_ins.route(f"r-{name}", f"/{name}/", backend=name) for name in SERVICES]
    store.put("config", "main",
              stand_ins.configuration(5, routes, [stand_ins.service(name) for name in SERVICES]))
    for daemon in fleet.daemons:
        daemon.start()
    await fleet.wait_ready()

    sent = {}
    tasks = set()

    async def request(daemon, number):
        name = f"{daemon.name}.{number}"
        sent[name] = (time.monotonic(), daemon)
        path = f"/{SERVICES[number % len(SERVICES)]}/1"
        record.note("sent", id=name)
        status, fields, _ = await stand_ins.ask(daemon.front, "GET", path, "h.example", name, 2900, timeout=4)
        record.note("answered", id=name, status=status, stamp=fields.get("server-stamp", ""))

    async def traffic():
        number = 0
        while True:
            for daemon in fleet.daemons:
                number += 1
                task = asyncio.create_task(request(daemon, number))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await asyncio.sleep(1 / RATE)

    background = asyncio.create_task(traffic())
    await asyncio.sleep(8.0)

    # The machines that read the store, as the store sees them.
    readers = [daemon for daemon in fleet.daemons if daemon.store_ip in store.watchers.values()]
    rolled = [[daemon for daemon in readers if daemon.zone == zone][:1] for zone in stand_ins.ZONES]
    rolled = [daemon for daemons in rolled for daemon in daemons]
    if not rolled:
        raise stand_ins.CannotRun("no machine reads the store")
    record.say("these machines read the store: " + ", ".join(daemon.name for daemon in readers))
    # Some replicas never report `draining`: their entry is removed, and they serve on.
    leaving = fleet.replicas[::3][:int(len(fleet.replicas) * SHARE)]
    removed = {}

    async def scale_in():
        """Takes replicas away, one after the other."""
        for replica in [replica for replica in leaving if replica.name not in removed][:TOGETHER]:
            replica.beating.cancel()
            store.remove("servers", replica.name)
            removed[replica.name] = time.monotonic()
            record.say(f"{replica.name} leaves: the store has removed its entry")
            await asyncio.sleep(SCALE_GAP)

    async def restart(daemon):
        if not trouble:
            await scale_in()
            return
        daemon.stop(signal.SIGTERM)
        record.say(f"SIGTERM to {daemon.name}")
        while daemon.process.poll() is None:
            await asyncio.sleep(0.01)
        await asyncio.sleep(RESTART_DELAY)
        daemon.start()
        record.say(f"{daemon.name} starts again")
        await scale_in()

    running = []
    for daemon in rolled:
        running.append(asyncio.create_task(restart(daemon)))
        await asyncio.sleep(GAP)
    await asyncio.gather(*running)
    await asyncio.sleep(LENGTH)
    background.cancel()
    await asyncio.wait(tasks, timeout=5)

    late = []
    for replica in [replica for replica in leaving if replica.name in removed]:
        gone = removed[replica.name]
        after = [(when - gone, sent[name][1].name) for when, name in replica.arrivals
                 if when > gone + DRAIN + SLACK and sent[name][0] > gone + DRAIN and sent[name][1] not in rolled]
        if after:
            names = sorted({name for _, name in after})
            record.say(f"{replica.name}: {len(after)} requests reached it later than drain-ms after its removal, the last "
                       f"one {max(after)[0]:.1f} s after, from {', '.join(names)}, which ran on all the while")
        late += after
    record.say(f"{len(late)} requests reached replicas later than drain-ms after their removal")
    return bool(late)


stand_ins.play(case)

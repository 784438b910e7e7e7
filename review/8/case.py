"""REFUSED: a replica fails a request after it has run it, with a 503 that doesn't say "not run"; the tier passes it on."""
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import fleet as stand_ins

REPLICAS = 8  # One of them fails: a share of 0.125; the site has 0.14.
FAILING = 0.4  # Of its requests; the site has 0.45.
TROUBLE_LENGTH = 6.5  # As on the site.
LENGTH = 12.0


async def case(fleet, record, trouble):
    store = fleet.store
    await store.open()
    replicas = await fleet.add_replicas("n", REPLICAS)
    routes = [stand_ins.route("r-n", "/n/", kind="non_idempotent", backend="n")]
    store.put("config", "main", stand_ins.configuration(5, routes, [stand_ins.service("n")]))
    for daemon in fleet.daemons:
        daemon.start()
    await fleet.wait_ready()

    failed = []
    fails_until = asyncio.get_running_loop().time() + TROUBLE_LENGTH
    if trouble:
        def fails(line, body):
            # The replica has worked on the request. Its answer has its digest, and no Not-Executed.
            if asyncio.get_running_loop().time() < fails_until and random.random() < FAILING:
                failed.append(line)
                return "503 Service Unavailable", [], b"the write was made, the index could not be reached"
            return "200 OK", [], b""
        replicas[0].answer = fails
        record.say(f"{replicas[0].name} fails {FAILING} of its requests after it has run them")

    answers = {}
    tasks = []

    async def request(daemon, number):
        name = f"{daemon.name}.{number}"
        record.note("sent", id=name)
        status, fields, _ = await stand_ins.ask(daemon.front, "POST", "/n/1", "h.example", name, 2900, b"order")
        answers[name] = status
        record.note("answered", id=name, status=status, stamp=fields.get("server-stamp", ""),
                    not_executed=fields.get("not-executed", "no"))

    number = 0
    ends = asyncio.get_running_loop().time() + LENGTH
    while asyncio.get_running_loop().time() < ends:
        for daemon in fleet.daemons:
            number += 1
            tasks.append(asyncio.create_task(request(daemon, number)))
            await asyncio.sleep(0.02)
    await asyncio.wait(tasks, timeout=5)
    ran = {name for replica in replicas for _, name in replica.arrivals}
    refused = [name for name, status in answers.items() if status in (408, 421, 429, 503)]
    wrong = [name for name in refused if name in ran]
    record.say(f"{len(answers)} requests that may run once at most, {len(ran)} ran; the replica failed {len(failed)} of its "
               f"requests; {len(refused)} were answered 503 (or 408, 421, 429), {len(wrong)} of them had run")
    return bool(wrong)


stand_ins.play(case)

"""A late second copy of a refusal is taken for the answer to the next attempt of the same request."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import rig as stand_ins  # noqa: E402

FOLDER = os.path.dirname(os.path.abspath(__file__))
SERVICES = [f"poolside-tab-{number}" for number in range(5)]
SPOILT_REPLICAS = 2  # Of five: a share of 0.4.
SHARE = 0.04  # Of a replica's answers; a second copy comes just before the next answer on the connection.
BURSTS, LENGTH, PAUSE = 9, 4.9, 2.1  # The limit of a burst is 5 s; timers fire late by some milliseconds.


class Rig(stand_ins.Rig):
    """Some replicas send a share of their answers twice."""
    spoilt = ()
    answers = {}

    def extra_after(self, replica, answer):
        if replica not in self.spoilt:
            return b""
        number = self.answers[replica.id] = self.answers.get(replica.id, 0) + 1
        if int(number * SHARE) == int((number - 1) * SHARE):
            return b""
        first, _, rest = answer.decode("latin-1").partition("\r\n")
        self.record.write(f"{replica.id} ({replica.service}): a second copy comes late: {first[:12]}, "
                          + rest.partition("\r\n")[0])
        return answer


def make():
    return Rig(FOLDER)


async def play(rig):
    zones = list(stand_ins.ZONES)
    replicas = [stand_ins.Replica(rig, service, zones[number % 3], queue=2, work=0.04)
                for number, service in enumerate(SERVICES)]
    routes = [stand_ins.route(f"pass-log-{number}", f"/goka{number}/", backend=service,
                              **{"route-type": "non_idempotent", "timeout-ms": 4000, "target-latency-ms": 400,
                                 "priority": 2}) for number, service in enumerate(SERVICES)]
    await rig.start(stand_ins.configuration(7, routes, SERVICES), replicas)
    for requester in rig.requesters:
        for number in range(len(SERVICES)):
            rig.spawn(requester.send_forever(13, method="POST", target=f"/goka{number}/2f", deadline_ms=4000,
                                             body=b"x" * 300, is_idempotent=False))
    await asyncio.sleep(5)
    for burst in range(BURSTS):
        if stand_ins.TROUBLE:
            rig.spoilt = [replicas[(burst + step) % len(replicas)] for step in range(SPOILT_REPLICAS)]
            rig.record.write("second copies from " + ", ".join(replica.id for replica in rig.spoilt))
        await asyncio.sleep(LENGTH)
        rig.spoilt = ()
        rig.record.write("no second copies")
        await asyncio.sleep(PAUSE)
    for task in rig.tasks:
        task.cancel()
    await asyncio.sleep(5)
    twice = [one for one, runs in rig.runs.items() if len(runs) > 1]
    refused = [one for one, runs in rig.runs.items() if rig.statuses.get(one, (None,))[0] in (429, 503, 408, 421)]
    for one in twice:
        rig.record.write(f"TWICE: {one} ran {len(rig.runs[one])} times, at "
                         + ", ".join(replica for replica, _ in rig.runs[one]))
    for one in refused:
        rig.record.write(f"REFUSED: {one} ran and was answered {rig.statuses[one][0]}")
    good = sum(1 for status, _ in rig.statuses.values() if status == 200)
    rig.record.say(f"{len(rig.requests)} attempts sent, {good} answered 200; TWICE: {len(twice)} ran more than once; "
                   f"REFUSED: {len(refused)} ran and were refused")
    return bool(twice or refused)


if __name__ == "__main__":
    stand_ins.main(make, play)

"""Stand-ins for the platform's store, for replicas and for requesters, and the start of the project's daemons.

Everything listens on loopback addresses and uses the real clock. Only Python's standard library is used.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = {"lowlands-a": "lowlands", "highlands-a": "highlands", "borders-a": "borders"}
HOST = "leno12.example"
BOUNDS = {
    "seed-lag-s": 3, "addr-reuse-s": 2, "stability-ms": 4000, "ack-ms": 5000, "catch-up-s": 4, "drain-ms": 3000,
    "grace-s": 6, "loss-slack-ms": 200, "config-apply-ms": 3000, "rollback-slack-ms": 250, "stretch-max-ms": 12000,
    "retry-budget-ratio": 0.2, "retry-window-s": 10, "retry-budget-slack": 58, "exposure-share": 0.1,
    "exposure-slack": 50, "rollback-ms": 5000, "warmup-overshoot": 1.5, "warmup-slack": 5, "evacuate-ms": 5000,
    "recovery-s": 12, "ttl_max_s": 5}
LIMITS = {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}


class CannotRun(Exception):
    """The case could not be played; this says nothing of the rule."""


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def write(self, text):
        self.file.write(f"{(time.monotonic() - self.start) * 1000:9.0f} ms  {text}\n")

    def say(self, text):
        self.write(text)
        print(text, flush=True)


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


async def read_head(reader):
    """Returns the first line and the fields in lower case, or None at the end of the connection."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = text[:-4].split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(fields.get("content-length", "0")))


def message(first, fields, body=b""):
    text = first + "\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields)
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store: objects with revisions, lists by pages of 50, watches, conditional writes."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()
        self.ip, self.port = "127.0.30.1", free_port()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    def note(self, kind, item, deleted):
        self.history.append((self.revision, kind, {"object": json.loads(json.dumps(item)), "deleted": deleted}))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def put(self, kind, name, spec):
        """Creates or replaces an object, as the operator or a replica does; the return is the confirmation."""
        self.revision += 1
        item = self.objects.setdefault(kind, {}).setdefault(
            name, {"meta": {"name": name, "create-rev": self.revision, "finalizers": [], "deleting": False},
                   "status": None})
        item["spec"] = spec
        item["meta"]["revision"] = self.revision
        self.note(kind, item, False)
        self.record.write(f"store: {kind}/{name} written at revision {self.revision}")

    def delete(self, kind, name):
        item = self.objects.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            self.note(kind, item, True)
            self.record.write(f"store: {kind}/{name} deleted at revision {self.revision}")

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ")
                status, answer = await self.execute(method, target, body)
                writer.write(message(f"HTTP/1.1 {status} X", [("Content-Type", "application/json")],
                                     json.dumps(answer).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def execute(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(part.partition("=")[::2] for part in query.split("&") if part)
        parts = path.split("/")[3:]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        items = self.objects.setdefault(kind, {})
        if method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("wait-ms", "0")) / 1000)
        if method == "GET" and not name:
            names = sorted(item for item in items if item > query.get("after", ""))
            return 200, {"items": [items[item] for item in names[:50]], "has-more": len(names) > 50,
                         "store-revision": self.revision}
        if method == "GET":
            return (200, items[name]) if name in items else (404, {})
        value = json.loads(body) if body else {}
        name = name or value.get("meta", {}).get("name", "")
        if method == "POST":
            if name in items:
                return 409, items[name]
            self.put(kind, name, value.get("spec"))
            return 200, items[name]
        if name not in items:
            return 404, {}
        revision = value.get("meta", {}).get("revision", query.get("revision"))
        if revision is not None and int(revision) != items[name]["meta"]["revision"]:
            return 409, items[name]
        if method == "DELETE":
            self.delete(kind, name)
        elif parts[-1] == "status" and len(parts) > 2:
            if items[name]["status"] != value.get("status"):
                self.revision += 1
                items[name]["status"] = value.get("status")
                items[name]["meta"]["revision"] = self.revision
                self.note(kind, items[name], False)
                self.record.write(f"store: status of {kind}/{name} is {value.get('status')}")
        else:
            self.put(kind, name, value.get("spec"))
        return 200, {}

    async def watch(self, kind, after, wait):
        until = time.monotonic() + min(wait, 30)
        while True:
            events = [event for revision, of, event in self.history if of == kind and revision > after]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store-revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Replica:
    """One replica: slots, a short queue, work on one request at a time on a connection."""
    count = 0

    def __init__(self, rig, service, zone, slots=2, queue=12, work=0.011, is_shard=False):
        Replica.count += 1
        self.rig, self.service, self.zone = rig, service, zone
        self.id = f"i-{random.getrandbits(32):08x}"
        self.ip, self.port = f"127.0.20.{Replica.count}", free_port()
        self.slots, self.queue_size, self.work, self.is_shard = slots, queue, work, is_shard
        self.running, self.waiting, self.served = 0, [], 0
        self.state, self.drained_at, self.late = "ready", None, 0
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.report()

    def report(self):
        self.sequence += 1
        self.rig.store.put("servers", self.id, {
            "backend": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone, "version": "v1",
            "max-concurrency": self.slots, "state": self.state, "warmup-left-ms": 0, "sequence": self.sequence,
            "born": self.born})

    def drain(self):
        self.state = "draining"
        self.report()
        self.drained_at = time.monotonic()

    def leave_unannounced(self):
        """The entry is removed; the replica serves on for a while."""
        self.rig.store.delete("servers", self.id)
        self.drained_at = time.monotonic()

    def end(self):
        self.server.close()
        for writer in list(self.writers):
            writer.close()
        self.rig.store.delete("servers", self.id)

    async def take_slot(self):
        if self.running < self.slots:
            self.running += 1
            return True
        if len(self.waiting) >= self.queue_size:
            return False
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        await turn
        return True

    def free_slot(self):
        while self.waiting:
            turn = self.waiting.pop(0)
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1

    async def serve(self, reader, writer):
        self.writers.add(writer)
        connection = {"extra": b""}
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                first, fields = head
                body = await read_body(reader, fields)
                answer = await self.answer(first, fields, body, connection)
                late, connection["extra"] = connection["extra"], self.rig.extra_after(self, answer)
                writer.write(late + answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reply(self, status, request_id, fields, body=b""):
        load = f"{self.running},{len(self.waiting)},{self.slots}"
        return message(f"HTTP/1.1 {status} X", [("Request-Id", request_id), ("Server-Load", load),
                                                ("Keep-Alive", "timeout=10")] + fields, body)

    async def answer(self, first, fields, body, connection):
        method, target, _ = first.split(" ")
        request_id = fields.get("request-id", "")
        record = self.rig.record
        if fields.get("target-instance", self.id) != self.id:
            record.write(f"{self.id} ({self.service}): 421 to {request_id}")
            return self.reply(421, request_id, [("Not-Executed", "1")])
        arrived = time.monotonic()
        if self.drained_at is not None and arrived > self.drained_at + BOUNDS["drain-ms"] / 1000:
            self.late += 1
            self.rig.judge_arrival(self, request_id, arrived - self.drained_at)
        if not await self.take_slot():
            record.write(f"{self.id} ({self.service}): 503 to {request_id}, full")
            return self.reply(503, request_id, [("Not-Executed", "1")])
        try:
            self.rig.ran(self, request_id, method, target, body)
            await asyncio.sleep(self.work * random.uniform(0.7, 1.3))
        finally:
            self.free_slot()
        self.served += 1
        failure = self.rig.failure_of(self, request_id)
        stamp = f"{random.getrandbits(16):04x}.{self.served:x}.{random.getrandbits(32):08x}"
        if failure is not None:
            record.write(f"{self.id} ({self.service}): ran {request_id} and answers {failure}")
            return self.reply(failure, request_id, [("Server-Stamp", stamp)], b"failed")
        content = b"".join(random.randbytes(16) for _ in range(25)) if self.is_shard else random.randbytes(300)
        return self.reply(200, request_id, [("Server-Stamp", stamp)], content)


class Daemon:
    """One process of the project, started with the command of the deploy file."""

    def __init__(self, rig, number, zone):
        self.rig, self.zone = rig, zone
        self.name = f"front-{zone}-{number}"
        self.ip = f"127.0.10.{number}"
        self.process = None

    def settings(self):
        ports, at = self.rig.ports, lambda ip, port: f"{ip}:{port}"
        listen = {name: at(self.ip, ports[name]) for name in ("front", "readiness", "control", "directory")}
        return {
            "node-name": self.name, "role": "front", "machine-class": "front",
            "serves": ["front", "control", "directory"], "ip": self.ip, "zone": self.zone, "region": ZONES[self.zone],
            "zones": ZONES, "listen-addrs": listen, "port-range": [ports["peer"], ports["peer"] + 15],
            "seeds": [at(other.ip, ports["control"]) for other in self.rig.daemons[:3]], "bootstrap": True,
            "counts-as-loss": False,
            "limits": {"cpu-share": 0.25, "cores": 1, "memory-mb": 260, "max-fds": 4100, "link-mbps": 1000.0,
                       "disk-mb": 0},
            "data-dir": None, "discovery": "platform", "entry": "directory", "heartbeat-ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "scatter", "places", "rollout",
                          "platform"],
            "fault-tolerance": {"machines": 2, "zones": 1, "regions": 1}, "bounds": BOUNDS,
            "platform": {"address": self.rig.store.address, "form": "objects", "writes-per-s": 400,
                         "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "ttl-min-ms": 1000}}

    async def start(self):
        path = os.path.join(self.rig.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings(), file)
        self.log = open(os.path.join(self.rig.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *self.rig.command, cwd=ROOT, stdout=self.log, stderr=self.log,
            env={"RAGWORTCRANK_BOOT": path, "PATH": os.environ.get("PATH", ""), "HOME": self.rig.folder})
        self.rig.record.write(f"{self.name} started at {self.ip}:{self.rig.ports['front']}")

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()

    async def is_ready(self):
        try:
            status, _, _ = await call(self.ip, self.rig.ports["readiness"], "GET", "/api/ready", [])
            return status == 200
        except (OSError, asyncio.TimeoutError, EOFError):
            return False


async def call(ip, port, method, target, fields, body=b"", timeout=1.0):
    """One request on a connection of its own."""
    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            writer.write(message(f"{method} {target} HTTP/1.1", [("Host", HOST), *fields], body))
            head = await read_head(reader)
            if head is None:
                raise EOFError
            return int(head[0].split(" ")[1]), head[1], await read_body(reader, head[1])
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), timeout)


class Requester:
    """Requesters of one zone: they ask the directory, keep connections, and send at a steady rate."""

    def __init__(self, rig, zone):
        self.rig, self.zone = rig, zone
        self.addresses, self.idle = [], []

    async def resolve_forever(self):
        near = sorted(self.rig.daemons, key=lambda daemon: daemon.zone != self.zone)
        while True:
            pause = 0.5
            for daemon in near[:3]:
                target = f"/api/resolve?name={HOST}&region={ZONES[self.zone]}&zone={self.zone}"
                try:
                    status, _, body = await call(daemon.ip, self.rig.ports["directory"], "GET", target, [])
                    answer = json.loads(body) if status == 200 else {}
                except (OSError, asyncio.TimeoutError, EOFError, ValueError):
                    continue
                if answer.get("addrs"):
                    self.addresses = answer["addrs"]
                    pause = min(answer["ttl_s"], BOUNDS["ttl_max_s"])
                    break
            self.idle = [kept for kept in self.idle if kept[0] in self.addresses]
            await asyncio.sleep(pause)

    async def attempt(self, method, target, deadline_ms, body, is_new):
        """Sends one attempt; returns its id, the status (None if there is no answer) and the fields."""
        request_id = f"{random.getrandbits(64):016x}"
        self.rig.sent(request_id, method, target, body)
        fields = [("Host", HOST), ("Request-Id", request_id), ("Deadline-Ms", str(int(deadline_ms)))]
        status, answer_fields, content = None, {}, b""
        try:
            self.idle = [kept for kept in self.idle if time.monotonic() - kept[3] < 10 and not kept[1].at_eof()]
            if self.idle and not is_new:
                address, reader, writer, _ = self.idle.pop()
            else:
                address = random.choice(self.addresses)
                ip, port = address.split(":")
                reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1)
            self.rig.taken_by[request_id] = address
            writer.write(message(f"{method} {target} HTTP/1.1", fields, body))

            async def receive():
                head = await read_head(reader)
                if head is None:
                    raise EOFError
                return int(head[0].split(" ")[1]), head[1], await read_body(reader, head[1])
            status, answer_fields, content = await asyncio.wait_for(receive(), deadline_ms / 1000)
            if answer_fields.get("connection", "").lower() == "close":
                writer.close()
            else:
                self.idle.append((address, reader, writer, time.monotonic()))
        except (OSError, asyncio.TimeoutError, EOFError, asyncio.IncompleteReadError, IndexError):
            if "writer" in locals():
                writer.close()
        self.rig.answered(request_id, status, answer_fields, content)
        return request_id, status, answer_fields

    async def request(self, method, target, deadline_ms, body=b"", is_idempotent=True, retries=1):
        until = time.monotonic() + deadline_ms / 1000
        for attempt in range(retries + 1):
            left = (until - time.monotonic()) * 1000
            if left < 20 or not self.addresses:
                return
            _, status, fields = await self.attempt(method, target, left, body, attempt > 0)
            if status is not None and (status // 100 == 2 or status in (400, 401, 404, 413, 431)):
                return
            if not is_idempotent and status not in (429, 503, 408, 421):
                return
            left = until - time.monotonic()
            await asyncio.sleep(max(min(float(fields.get("retry-after", "0")), left / 3), 0))

    async def send_forever(self, per_s, **request):
        tasks = set()
        try:
            while True:
                if self.addresses:
                    task = asyncio.create_task(self.request(**request))
                    tasks.add(task)
                    task.add_done_callback(tasks.discard)
                await asyncio.sleep(random.expovariate(per_s))
        finally:
            for task in list(tasks):
                task.cancel()


class Rig:
    """A small deployment: a store, replicas, daemons and requesters."""

    def __init__(self, folder, daemons_per_zone=1):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="ragwortcrank-review-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.command = tomllib.load(file)["roles"]["front"]["run"].split(" ")
        if not os.access(os.path.join(ROOT, self.command[0]), os.X_OK):
            raise CannotRun(f"{self.command[0]} is not built")
        self.store = Store(self.record)
        self.ports = {name: free_port() for name in ("front", "readiness", "control", "directory")}
        self.ports["peer"] = free_port()
        self.daemons = []
        for number in range(daemons_per_zone * len(ZONES)):
            self.daemons.append(Daemon(self, number + 1, list(ZONES)[number % len(ZONES)]))
        self.replicas, self.requesters = [], [Requester(self, zone) for zone in ZONES]
        self.requests, self.runs, self.statuses, self.taken_by = {}, {}, {}, {}
        self.tasks = []

    # What a case may override.
    def extra_after(self, replica, answer):
        """Bytes that the replica sends before its next answer on this connection."""
        return b""

    def failure_of(self, replica, request_id):
        """The status with which the replica fails a request that it has run; None if it succeeds."""
        return None

    def judge_arrival(self, replica, request_id, age):
        """A request reached a replica `age` seconds, more than drain-ms, after it was draining or gone."""
        self.record.write(f"DRAIN: {request_id} reached {replica.id} {age * 1000:.0f} ms after the confirmation")

    # What is noted.
    def sent(self, request_id, method, target, body):
        self.requests[request_id] = (method, target, time.monotonic())
        self.record.write(f"requester: {request_id} sent, {method} {target}")

    def answered(self, request_id, status, fields, content):
        self.statuses[request_id] = (status, time.monotonic())
        self.record.write(f"requester: {request_id} answered {status}")

    def ran(self, replica, request_id, method, target, body):
        self.runs.setdefault(request_id, []).append((replica.id, time.monotonic()))
        self.record.write(f"{replica.id} ({replica.service}): runs {request_id}, {method} {target}")

    async def start(self, configuration, replicas):
        await self.store.start()
        self.store.put("config", "main", configuration)
        self.replicas = replicas
        for replica in replicas:
            await replica.start()
        for daemon in self.daemons:
            await daemon.start()
        await self.wait_ready(15)
        for requester in self.requesters:
            self.spawn(requester.resolve_forever())
        await asyncio.sleep(2)
        if not all(requester.addresses for requester in self.requesters):
            raise CannotRun("the directory names no daemon")

    async def wait_ready(self, seconds):
        until = time.monotonic() + seconds
        while not all([await daemon.is_ready() for daemon in self.daemons]):
            if time.monotonic() > until:
                raise CannotRun("the daemons are not ready")
            await asyncio.sleep(0.2)
        self.record.write("all daemons are ready")

    def spawn(self, work):
        self.tasks.append(asyncio.create_task(work))

    def served_share(self, since, until):
        """The share of attempts that were sent in this time and answered with success, and their number."""
        ids = [one for one, (_, _, at) in self.requests.items() if since <= at < until and one in self.statuses]
        good = sum(1 for one in ids if self.statuses[one][0] is not None and self.statuses[one][0] // 100 == 2)
        return (good / len(ids) if ids else 0.0), len(ids)

    async def end(self):
        for task in self.tasks:
            task.cancel()
        for daemon in self.daemons:
            await daemon.kill()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.file.flush()


def route(name, prefix, **more):
    """A route of the configuration."""
    base = {"name": name, "host": HOST, "path-prefix": prefix, "route-type": "idempotent", "timeout-ms": 1200,
            "target-latency-ms": 120, "priority": 1, "attempts": 2, "allowed-regions": []}
    base.update(more)
    return base


def configuration(version, routes, services, max_conns=26):
    return {"version": version, "routes": routes, "limits": LIMITS,
            "services": [{"name": name, "health-path": "/health", "max-conns": max_conns, "warmup-s": 3.0,
                          "warmup-per-s": 4.5} for name in services]}


def main(make, play):
    """Plays a case and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    async def whole():
        loop = asyncio.get_running_loop()
        own = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, own.cancel)
        try:
            rig = make()
        except CannotRun as reason:
            print("could not run:", reason)
            return 2
        try:
            return 1 if await asyncio.wait_for(play(rig), 110) else 0
        except (CannotRun, OSError, asyncio.TimeoutError, asyncio.CancelledError) as reason:
            rig.record.say(f"could not run: {reason!r}")
            return 2
        finally:
            await rig.end()

    code = 2
    try:
        code = asyncio.run(whole())
    finally:
        sys.stdout.flush()
        os._exit(code)  # All processes have ended; open sockets need no farewell.

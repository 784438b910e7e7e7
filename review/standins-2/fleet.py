"""Stand-ins for the second review: the platform's store, replicas, callers, and the daemons as separate processes.

Everything runs on loopback addresses and the real clock. The names on the wire are those of the users' pages.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
ZONES = {"gent-dc": "vlaanderen", "namur-dc": "wallonie", "evere-dc": "brussel"}
# As in the users' example of the settings on a small installation.
BOUNDS = {"seed-lag-s": 3, "addr-reuse-s": 2, "stability-ms": 5000, "ack-ms": 6000, "catch-up-s": 4, "drain-ms": 3000,
          "grace-s": 6, "loss-slack-ms": 200, "config-apply-ms": 3000, "rollback-slack-ms": 250,
          "stretch-max-ms": 15000, "retry-budget-ratio": 0.2, "retry-window-s": 10, "retry-budget-slack": 58,
          "exposure-share": 0.1, "exposure-slack": 50, "rollback-ms": 5000, "warmup-overshoot": 1.5,
          "warmup-slack": 5, "evacuate-ms": 5000, "recovery-s": 12, "ttl_max_s": 5}
LIMITS = {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}
HEARTBEAT = 1.2
WARMUP = 3.0  # warmup-s


class CannotRun(Exception):
    """The case could not be tried."""


class Record:
    """What was sent, answered and run, by the time since the start of the case."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def note(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():9.3f} {what} {text}\n")

    def say(self, text):
        self.file.write(f"{self.now():9.3f} # {text}\n")
        self.file.flush()
        print(f"{self.now():8.2f} {text}", flush=True)


async def read_message(reader):
    """Reads one request or answer with a length. Returns its first line, its fields (lower case) and its body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return lines[0], fields, body


def message(first_line, fields, body=b""):
    text = first_line + "\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields)
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store: objects by kind and name, lists, watches, conditional writes, one revision counter."""

    PAGE = 500

    def __init__(self, record, addresses, port):
        self.record = record
        self.addresses, self.port = addresses, port  # One address for each machine, which shows who calls.
        self.revision = 100
        self.era = 1
        self.objects = {}
        self.history = []
        self.history_from = 100
        self.changed = asyncio.Event()
        self.server = None
        self.writers = set()
        self.copies = []
        self.latency = 0.0  # Of the network, in seconds, one way.
        self.loses_answer = lambda method, kind, query, events: False
        self.watchers = {}  # The addresses at which watches of the replicas wait here, by connection.

    async def open(self):
        self.server = await asyncio.start_server(self.serve, self.addresses, self.port)

    async def close(self):
        """The store is away: its port takes no connections, and the open ones are reset."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def change(self, kind, name, spec=None, status=None, deleted=False):
        self.revision += 1
        objects = self.objects.setdefault(kind, {})
        if deleted:
            entry = objects.pop(name)
        else:
            old = objects.get(name)
            create = old["meta"]["create-rev"] if old else self.revision
            entry = {"meta": {"name": name, "revision": self.revision, "create-rev": create, "finalizers": [],
                              "deleting": False},
                     "spec": spec if spec is not None else old["spec"],
                     "status": status if status is not None else (old["status"] if old else None)}
            objects[name] = entry
        self.history.append((self.revision, kind, entry, deleted))
        self.wake()
        return self.revision

    def put(self, kind, name, spec):
        """An acknowledged write of the operator or of a replica."""
        old = self.objects.get(kind, {}).get(name)
        # An entry of a replica changes when more than `sequence` changes.
        if old and self.without_sequence(old["spec"]) == self.without_sequence(spec):
            return old["meta"]["revision"]
        return self.change(kind, name, spec=spec)

    @staticmethod
    def without_sequence(spec):
        return {key: value for key, value in spec.items() if key != "sequence"}

    def remove(self, kind, name):
        if name in self.objects.get(kind, {}):
            self.change(kind, name, deleted=True)

    def keep_copy(self):
        objects = {kind: dict(entries) for kind, entries in self.objects.items()}
        self.copies.append((time.monotonic(), self.revision, objects, len(self.history)))

    def restore_copy(self, age):
        """Comes back from the newest copy that is at least `age` seconds old."""
        limit = time.monotonic() - age
        taken, revision, objects, length = [copy for copy in self.copies if copy[0] <= limit][-1]
        before = self.revision
        self.revision = revision
        self.objects = {kind: dict(entries) for kind, entries in objects.items()}
        self.history = self.history[:length]
        self.era += 1
        return before, revision, time.monotonic() - taken

    async def serve(self, reader, writer):
        self.writers.add(writer)
        called = writer.get_extra_info("sockname")[0]
        try:
            while True:
                line, _, body = await read_message(reader)
                method, target, _ = line.split(" ")
                path, _, text = target.partition("?")
                query = dict(pair.split("=", 1) for pair in text.split("&") if "=" in pair)
                parts = path.split("/")  # "", "api", "objects", KIND, NAME, "status"
                kind, name = parts[3], parts[4] if len(parts) > 4 else ""
                is_status = len(parts) > 5
                call = json.loads(body) if body else {}
                if kind == "servers" and "watch" in query:
                    self.watchers[writer] = called
                await asyncio.sleep(self.latency)
                status, answer = await self.execute(method, kind, name, is_status, query, call)
                await asyncio.sleep(self.latency)
                if self.loses_answer(method, kind, query, answer.get("events", [])):
                    # A connection on which a response is lost returns nothing further.
                    self.record.note("store-answer-lost", method=method, kind=kind)
                    await reader.read()
                    return
                fields = [("Content-Type", "application/json"), ("Store-Era", self.era)]
                writer.write(message(f"HTTP/1.1 {status} X", fields, json.dumps(answer).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.watchers.pop(writer, None)
            writer.close()

    async def execute(self, method, kind, name, is_status, query, call):
        if method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("wait-ms", "0")) / 1000)
        objects = self.objects.setdefault(kind, {})
        if method == "GET" and not name:
            names = sorted(key for key in objects if key > query.get("after", ""))
            page = names[:self.PAGE]
            return 200, {"items": [objects[key] for key in page], "has-more": len(names) > len(page),
                         "store-revision": self.revision}
        if method == "GET":
            return (200, objects[name]) if name in objects else (404, {})
        if method == "POST":
            name = call["meta"]["name"]
            if name in objects:
                return 409, objects[name]
            self.change(kind, name, spec=call.get("spec"))
            return 200, objects[name]
        if name not in objects:
            return 404, {}
        wanted = call.get("meta", {}).get("revision", query.get("revision"))
        if wanted is not None and int(wanted) != objects[name]["meta"]["revision"]:
            return 409, objects[name]
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        if is_status:
            if objects[name]["status"] != call["status"]:
                self.change(kind, name, status=call["status"])
        else:
            self.put(kind, name, call["spec"])
        return 200, objects[name]

    async def watch(self, kind, after, wait):
        until = time.monotonic() + wait
        while True:
            if after > self.revision or after < self.history_from:
                return 410, {}
            events = [{"deleted": deleted, "object": entry} for revision, changed, entry, deleted in self.history
                      if changed == kind and revision > after]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store-revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Replica:
    """A replica: registers itself, beats, serves, and says what it ran."""

    def __init__(self, record, store, name, service, zone, address, work=0.02, slots=3):
        self.record, self.store = record, store
        self.name, self.service, self.zone, self.address = name, service, zone, address
        self.work, self.slots = work, slots
        self.version = "v1"
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.cold_until = 0.0
        self.sequence = 0
        self.arrivals = []
        self.answer = None
        self.server = None
        self.beating = None
        self.running = 0
        self.writers = set()
        self.crash_above = None  # Requests in one second, while cold.
        self.crashes = 0
        self.lost = []  # Requests that were running at a crash.
        self.at_work = set()

    def beat(self):
        self.sequence += 1
        left = max(0, int((self.cold_until - time.monotonic()) * 1000))
        self.store.put("servers", self.name, {
            "backend": self.service, "address": self.address, "zone": self.zone, "version": self.version,
            "max-concurrency": self.slots, "state": self.state, "warmup-left-ms": left, "sequence": self.sequence,
            "born": self.born})

    async def beats(self):
        await asyncio.sleep(random.random() * HEARTBEAT)
        while True:
            await self.store_up()
            self.beat()
            await asyncio.sleep(HEARTBEAT)

    async def store_up(self):
        while not self.store.server or not self.store.server.is_serving():
            await asyncio.sleep(0.1)

    async def open(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.beat()
        self.beating = asyncio.create_task(self.beats())

    def stop(self):
        """It crashes: its connections are reset. Its entry lapses after three heartbeat intervals."""
        self.server.close()
        self.beating.cancel()
        for writer in list(self.writers):
            writer.transport.abort()

    def is_overrun(self):
        now = time.monotonic()
        recent = sum(1 for when, _ in self.arrivals[-200:] if when > now - 1.0)
        return self.crash_above is not None and now < self.cold_until and recent > self.crash_above

    def crash(self):
        """It gets a rate well above what it tolerates while it is cold."""
        self.crashes += 1
        self.lost += sorted(self.at_work)
        self.stop()

    async def start_again(self, cold_for):
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.cold_until = time.monotonic() + cold_for
        await self.open()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, fields, body = await read_message(reader)
                request = fields.get("request-id", "")
                if fields.get("target-instance", self.name) != self.name:
                    writer.write(message("HTTP/1.1 421 Misdirected Request",
                                         [("Request-Id", request), ("Not-Executed", "1")]))
                    continue
                self.arrivals.append((time.monotonic(), request))
                self.record.note("run", replica=self.name, service=self.service, id=request, line=line.split(" ")[1])
                self.at_work.add(request)
                self.running += 1
                try:
                    if self.is_overrun():
                        self.crash()
                        return
                    await asyncio.sleep(self.work)
                finally:
                    self.running -= 1
                    self.at_work.discard(request)
                stamp = f"{self.name}.{request}"
                common = [("Request-Id", request), ("Server-Stamp", stamp),
                          ("Server-Load", f"{self.running},0,{self.slots}")]
                status, extra, content = self.answer(line, body) if self.answer else ("200 OK", [], b"")
                writer.write(message(f"HTTP/1.1 {status}", common + extra, content or stamp.encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Daemon:
    """One machine of the system, started with the command of the deploy file."""

    def __init__(self, fleet, index, zone):
        self.fleet, self.zone = fleet, zone
        self.name = f"front-{zone}-{index}"
        self.ip = fleet.ip(index)
        self.store_ip = fleet.ip(200 + index)
        self.front = f"{self.ip}:{fleet.ports[0]}"
        self.readiness = f"{self.ip}:{fleet.ports[1]}"
        self.control = f"{self.ip}:{fleet.ports[2]}"
        self.directory = f"{self.ip}:{fleet.ports[3]}"
        self.process = None

    def write_settings(self):
        fleet = self.fleet
        settings = {
            "node-name": self.name, "role": "front", "machine-class": "front",
            "serves": ["front", "directory", "control"], "ip": self.ip, "zone": self.zone,
            "region": ZONES[self.zone], "zones": ZONES,
            "listen-addrs": {"front": self.front, "readiness": self.readiness, "control": self.control,
                             "directory": self.directory},
            "port-range": [fleet.ports[4], fleet.ports[4] + 15],
            "seeds": fleet.seeds or [daemon.control for daemon in fleet.daemons[:9:3]], "bootstrap": True, "counts-as-loss": False,
            "limits": {"cpu-share": 0.25, "cores": 1, "memory-mb": 260, "max-fds": 4100, "link-mbps": 1000.0,
                       "disk-mb": 0},
            "data-dir": None, "discovery": "platform", "entry": "directory", "heartbeat-ms": int(HEARTBEAT * 1000),
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "scatter", "places", "rollout",
                          "platform"],
            "fault-tolerance": {"machines": 2, "zones": 1, "regions": 1}, "bounds": BOUNDS,
            "platform": {"address": f"{self.store_ip}:{fleet.store.port}", "form": "objects", "writes-per-s": 400,
                         "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "ttl-min-ms": 1000}}
        path = os.path.join(fleet.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        return path

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["RAGWORTCRANK_BOOT"] = self.write_settings()
        log = open(os.path.join(self.fleet.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(self.fleet.command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                        stdout=log, stderr=log)
        log.close()

    def stop(self, number=signal.SIGKILL):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def reap(self):
        if self.process:
            self.process.wait()


async def ask(address, method, path, host, request="", deadline=None, body=b"", timeout=10.0, extra=()):
    """Sends one request on a new connection. Returns the status, the fields and the body; status 0: no answer, and
    -1: no connection."""
    ip, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, int(port))
            fields = [("Host", host)] + ([("Request-Id", request)] if request else [])
            if deadline is not None:
                fields.append(("Deadline-Ms", deadline))
            writer.write(message(f"{method} {path} HTTP/1.1", fields + list(extra), body))
            line, answer, content = await read_message(reader)
            return int(line.split(" ")[1]), answer, content
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, TimeoutError):
        return (0 if writer else -1), {}, b""
    finally:
        if writer:
            writer.close()


class Fleet:
    """A small installation: a store, replicas and daemons in three zones."""

    def __init__(self, record, per_zone=3):
        deploy = tomllib.load(open(os.path.join(ROOT, "deploy", "system.toml"), "rb"))
        self.command = deploy["roles"]["front"]["run"].split()
        if not os.access(os.path.join(ROOT, self.command[0]), os.X_OK):
            raise CannotRun("the program of the deploy file is not built")
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.network = random.randrange(16, 200)
        self.daemons = []
        self.replicas = []
        self.next_address = 0
        self.seeds = []  # Other addresses than those of the machines that run.
        self.ports = self.free_ports(3 * per_zone)
        self.store = Store(record, [self.ip(200 + index) for index in range(1, 3 * per_zone + 1)], self.ports[5])
        order = [zone for zone in ZONES for _ in range(per_zone)]
        self.daemons = [Daemon(self, index + 1, zone) for index, zone in enumerate(order)]

    def ip(self, index):
        return f"127.77.{self.network}.{index}"

    def free_ports(self, count):
        """Ports that are free on the addresses of all machines: front, readiness, control, directory, peers, store."""
        for _ in range(50):
            base = random.randrange(18000, 28000)
            try:
                for index in [*range(1, count + 1), *range(201, 201 + count)]:
                    for port in range(base, base + 6):
                        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                            with socket.socket(socket.AF_INET, kind) as probe:
                                probe.bind((self.ip(index), port))
            except OSError:
                continue
            return [base, base + 1, base + 2, base + 3, base + 4, base + 5]
        raise CannotRun("no free ports")

    async def add_replicas(self, service, count=3, zones=tuple(ZONES), cold_for=0.0, **options):
        added = []
        first = sum(1 for replica in self.replicas if replica.service == service)
        for number in range(count):
            self.next_address += 1
            address = f"127.78.{self.network}.{self.next_address}:{self.ports[0]}"
            replica = Replica(self.record, self.store, f"i-{service}-{first + number}", service, zones[number % len(zones)], address,
                              **options)
            replica.cold_until = time.monotonic() + cold_for
            await replica.open()
            added.append(replica)
        self.replicas += added
        return added

    async def wait_ready(self, seconds=15.0):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            states = await asyncio.gather(*[ask(daemon.readiness, "GET", "/api/ready", "x", timeout=1.0)
                                            for daemon in self.daemons])
            if all(status == 200 for status, _, _ in states):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the daemons did not become ready")

    async def end(self):
        for daemon in self.daemons:
            if daemon.process and daemon.process.poll() is None:
                daemon.process.send_signal(signal.SIGCONT)
            daemon.stop()
        for daemon in self.daemons:
            daemon.reap()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, path, kind="idempotent", timeout=3000, target=500, attempts=2, priority=2, **to):
    return {"name": name, "host": "h.example", "path-prefix": path, "route-type": kind, "timeout-ms": timeout,
            "target-latency-ms": target, "priority": priority, "attempts": attempts, "allowed-regions": [], **to}


def service(name, **changed):
    return {"name": name, "health-path": "/health", "max-conns": 31, "protocol": "h1", "tls": False,
            "warmup-s": 3.0, "warmup-per-s": 0.0, **changed}


def configuration(version, routes, services):
    return {"version": version, "routes": routes, "services": services, "limits": LIMITS}


def play(case, per_zone=3, limit=112.0):
    """Plays a case and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    folder = os.path.dirname(os.path.abspath(sys.modules["__main__"].__file__))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))

    async def whole():
        fleet = None
        try:
            fleet = Fleet(record, per_zone)
            async with asyncio.timeout(limit):
                broken = await case(fleet, record, trouble)
            record.say("the rule was broken" if broken else "the rule held")
            return 1 if broken else 0
        except (CannotRun, TimeoutError, asyncio.TimeoutError) as error:
            record.say(f"the case could not run: {error!r}")
            return 2
        finally:
            if fleet:
                await fleet.end()

    try:
        code = asyncio.run(whole())
    except Exception as error:  # A fault of the stand-ins is no result.
        record.say(f"the case could not run: {error!r}")
        code = 2
    record.file.close()
    sys.exit(code)

"""Stand-ins for the scripts of the review: the platform's store, replicas,
clients, and the daemons as separate processes on loopback addresses.

They do what PROTOCOL.md and DEPLOY.md say and nothing more. Every machine has
an address of its own in 127.0.0.0/8, on which its ports were free.
"""
import asyncio
import base64
import hashlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(HERE)
# The run line of deploy/system.toml, without the path of the settings.
COMMAND = [os.path.join(ROOT, "target/src/cuminsaild"), "--forward"]
TROUBLE = os.environ.get("TROUBLE") != "0"
# The zones and machines of putul-search.
REGION_OF = {"kol-salt-lake": "kolkata", "sil-sevoke": "siliguri",
             "dgp-city-centre": "durgapur"}
MACHINES = [(zone, number) for number in (1, 2) for zone in REGION_OF]

KEPT, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """record.txt in the folder of the case; times in seconds from the start."""

    def __init__(self, folder):
        self.out = open(os.path.join(folder, "record.txt"), "w")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def line(self, text):
        self.out.write(f"{self.now():8.3f} {text}\n")

    def say(self, text):
        """Write a line that is also shown."""
        self.line(text)
        self.out.flush()
        print(text, flush=True)


def free_address(ports):
    """Return a loopback address on which the ports are free."""
    for _ in range(1000):
        ip = f"127.{random.randrange(20, 250)}.{random.randrange(250)}." \
             f"{random.randrange(2, 250)}"
        sockets = []
        try:
            for port in ports:
                sock = socket.socket()
                sockets.append(sock)
                sock.bind((ip, port))
            return ip
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()
    raise RuntimeError("no free loopback address")


async def read_message(reader):
    """Return (first line, headers by lower-case name, body), or None."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin1").split("\r\n")
        headers = dict(l.split(": ", 1) for l in lines[1:] if l)
        headers = {k.lower(): v for k, v in headers.items()}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        return lines[0], headers, body
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError,
            ConnectionError, ValueError):
        return None


def answer_bytes(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{k}: {v}" for k, v in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's store: linearizable reads and watches, never slow."""

    MAX_VALUE_BYTES = 1048576
    HISTORY_S = 20
    PAGE_ITEMS, PAGE_BYTES = 500, 1 << 20

    def __init__(self, record):
        self.record = record
        # Keys to items; events as (time, revision, item); items as JSON.
        self.items, self.history = {}, []
        self.revision, self.oldest = 1, 1
        self.changed = asyncio.Event()
        self.address = None
        self.server = None

    async def start(self):
        ip = free_address([8229])
        self.address = f"{ip}:8229"
        self.server = await asyncio.start_server(self.serve, ip, 8229)

    def put(self, key, value):
        """Write a key, or remove it if value is None."""
        self.revision += 1
        event = {"key": key, "revision": self.revision,
                 "createdRevision": self.revision, "leaseId": 0}
        if value is None:
            self.items.pop(key, None)
            event = {"key": key, "revision": self.revision, "tombstone": True}
            self.remember(json.dumps(event))
        else:
            text = json.dumps(value, separators=(",", ":")).encode()
            if len(text) > self.MAX_VALUE_BYTES:
                raise ValueError("value too large")
            event["value"] = base64.b64encode(text).decode()
            self.items[key] = json.dumps(event)
            self.remember(self.items[key])
        self.changed.set()
        self.changed = asyncio.Event()

    def remember(self, event):
        self.history.append((time.monotonic(), self.revision, event))

    def drop_history(self):
        """Forget what is older than the history that the store keeps."""
        limit = time.monotonic() - self.HISTORY_S
        while self.history and self.history[0][0] < limit:
            self.oldest = self.history.pop(0)[1]

    async def answer(self, target):
        path, _, query = target.partition("?")
        query = dict(w.split("=", 1) for w in query.split("&") if "=" in w)
        if path.endswith("kv-range"):
            return 200, self.page(query.get("after", ""))
        after = int(query["after"])
        self.drop_history()
        if after < self.oldest or after > self.revision:
            return 410, "{}"
        if after == self.revision:
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       int(query["waitMs"]) / 1000)
            except asyncio.TimeoutError:
                pass
        events = [e for _, revision, e in self.history if revision > after]
        return 200, f'{{"events":[{",".join(events)}],' \
                    f'"storeRevision":{self.revision}}}'

    def page(self, after):
        """Return a page of all keys, which begins after the given one."""
        page, size, more = [], 0, False
        for key in sorted(k for k in self.items if k > after):
            if len(page) == self.PAGE_ITEMS or size > self.PAGE_BYTES:
                more = True
                break
            page.append(self.items[key])
            size += len(self.items[key])
        return f'{{"items":[{",".join(page)}],"hasMore":' \
               f'{"true" if more else "false"},' \
               f'"storeRevision":{self.revision}}}'

    async def serve(self, reader, writer):
        while message := await read_message(reader):
            status, body = await self.answer(message[0].split()[1])
            writer.write(answer_bytes(
                status, {"Content-Type": "application/json"}, body.encode()))
        writer.close()


class Replica:
    """A replica with slots, a short queue, and answers by its service.

    work_s: processing time. shed: share of the requests that are rejected as
    not run. run: called with (replica, request id, headers, body) when a
    request begins to run.
    """

    def __init__(self, fleet, service, zone, work_s=0.005, slots=3):
        self.fleet, self.service, self.zone = fleet, service, zone
        self.work_s, self.slots, self.shed = work_s, slots, 0.0
        self.ip = free_address([8080])
        self.server = None
        self.warmup_left_ms = 0
        self.begin_incarnation()

    def begin_incarnation(self):
        """Forget everything, as a process that starts does."""
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.sequence, self.state = 0, "ready"
        self.free = asyncio.Semaphore(self.slots)
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 8080,
                                                 limit=1 << 20)
        self.register()

    async def stop(self):
        """Exit: the address refuses connections, open ones are closed."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def register(self):
        self.sequence += 1
        self.fleet.store.put(f"servers/{self.id}", {
            "service": self.service, "address": f"{self.ip}:8080",
            "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": self.state, "warmupLeftMs": self.warmup_left_ms,
            "sequence": self.sequence, "born": self.born})

    async def serve(self, reader, writer):
        self.writers.add(writer)
        while message := await read_message(reader):
            try:
                await self.answer(message, writer)
            except ConnectionError:
                break
        self.writers.discard(writer)
        writer.close()

    async def answer(self, message, writer):
        line, headers, body = message
        fleet = self.fleet
        request_id = headers.get("request-id", "")
        if line.split()[1] == "/health":
            writer.write(answer_bytes(200, {"Instance-Id": self.id}))
            return
        if headers.get("target-instance", self.id) != self.id:
            writer.write(answer_bytes(421, {"Instance-Id": self.id,
                                            "Request-Id": request_id}))
            return
        fleet.arrived(self, request_id, headers, body)
        if random.random() < self.shed:
            fleet.record.line(f"{self.service} {self.id} rejects {request_id}")
            writer.write(answer_bytes(503, {"Not-Executed": "1",
                                            "Request-Id": request_id}))
            return
        async with self.free:
            fleet.record.line(f"{self.service} {self.id} runs {request_id}")
            await asyncio.sleep(self.work_s)
        stamp = f"{request_id}.{self.service}.{self.id}"
        records = b"".join(
            hashlib.md5(f"{stamp}.{i}".encode()).digest() for i in range(6))
        writer.write(answer_bytes(200, {"Request-Id": request_id,
                                        "Server-Stamp": stamp}, records))


class Daemon:
    """One machine with its daemon process."""

    PORTS = {"caller": 8226, "ready": 8227, "control": 8224,
             "metrics": 9464, "relay": 7740}

    def __init__(self, fleet, number, zone):
        self.fleet, self.zone = fleet, zone
        self.name = f"front-{zone}-{number}"
        self.ip = free_address(self.PORTS.values())
        self.path = os.path.join(fleet.folder, self.name + ".json")
        self.log = os.path.join(fleet.folder, self.name + ".log")
        self.process = None
        self.ended = None

    def address(self, name):
        return f"{self.ip}:{self.PORTS[name]}"

    def write_settings(self):
        """The template of deploy/settings.json, filled in."""
        settings = {name: self.address(name) for name in self.PORTS}
        settings.update(self.fleet.bounds, instance=self.name, zone=self.zone,
                        zones=REGION_OF, platform=self.fleet.store.address,
                        seeds=self.fleet.seeds())
        with open(self.path, "w") as out:
            json.dump(settings, out)

    async def start(self):
        self.write_settings()
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *COMMAND, self.path, stdout=log, stderr=log,
                cwd=ROOT, env={"PATH": os.environ["PATH"]})
        self.fleet.record.line(f"{self.name} starts, pid {self.process.pid}")

    def send_signal(self, number):
        self.fleet.record.line(f"{self.name} gets {signal.Signals(number).name}")
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def wait_ready(self, limit_s):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False

    async def is_ready(self):
        status, _, _ = await ask(self.ip, self.PORTS["ready"], "GET",
                                 "/v1/ready", {"Host": "ready"}, timeout_s=1)
        return status == 200


async def ask(ip, port, method, path, headers, body=b"", timeout_s=5):
    """Send one request on a new connection.

    Return (status, headers, body); the status is None without an answer.
    """
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(ip, port, limit=1 << 20), 1)
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{k}: {v}" for k, v in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        answer = await asyncio.wait_for(read_message(reader), timeout_s)
        if answer:
            return int(answer[0].split()[1]), answer[1], answer[2]
    except (OSError, asyncio.TimeoutError):
        pass
    finally:
        if writer:
            writer.transport.abort()
    return None, {}, b""


class Fleet:
    """Store, replicas and daemons of a small deployment."""

    # The bounds of putul-search, under the names of deploy/settings.json.
    BOUNDS = {"budget_ratio": 0.2, "budget_slack": 52, "budget_window_s": 10,
              "cold_overrun": 1.5, "drain_ms": 4000, "stop_s": 6}

    def __init__(self, folder):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = self.temporary.name
        self.bounds = dict(self.BOUNDS)
        self.store = Store(self.record)
        self.daemons, self.replicas = [], []
        self.arrivals = []
        self.requests = 0

    def seeds(self):
        return [d.address("control") for d in self.daemons[:3]]

    def arrived(self, replica, request_id, headers, body):
        self.arrivals.append((time.monotonic(), replica, request_id, headers))

    def configure(self, version, routes, services):
        self.store.put("op/config", {
            "version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})

    def new_id(self):
        self.requests += 1
        return f"{random.getrandbits(64):016x}"

    async def start_daemons(self, limit_s=8):
        """Start all machines; return whether they got ready."""
        self.daemons = [Daemon(self, number, zone)
                        for zone, number in MACHINES]
        for daemon in self.daemons:
            await daemon.start()
        ready = await asyncio.gather(
            *(d.wait_ready(limit_s) for d in self.daemons))
        return all(ready)

    async def stop(self):
        for daemon in self.daemons:
            process = daemon.process
            if process and process.returncode is None:
                process.kill()
                await process.wait()
        for replica in self.replicas:
            if replica.server:
                replica.server.close()
        self.store.server.close()
        self.record.out.flush()
        self.temporary.cleanup()


def run_case(main, folder):
    """Run a case and exit with its result."""
    async def wrapped():
        fleet = Fleet(folder)
        await fleet.store.start()
        try:
            return await main(fleet)
        finally:
            await fleet.stop()
    try:
        result = asyncio.run(wrapped())
    except Exception as error:  # the case could not run
        print(f"not run: {error!r}", file=sys.stderr)
        result = NOT_RUN
    sys.stdout.flush()
    os._exit(result)

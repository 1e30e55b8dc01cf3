"""Stand-ins for the platform's store, replicas and clients, and a launcher of
daemons, shared by the cases of this folder.

Everything runs on loopback addresses and free ports. The stand-ins follow
PROTOCOL.md; a case changes single answers of a replica through
Replica.handle.
"""
import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

# The bounds of SYSTEM.md (Pliega-busca).
BOUNDS = {"budget_ratio": 0.2, "budget_slack": 54, "budget_window_s": 10,
          "cold_overrun": 1.5, "drain_ms": 3000, "stop_s": 6}

# Page limits of PROTOCOL.md for a range.
PAGE_ITEMS = 500
PAGE_BYTES = 1 << 20


class Unusable(Exception):
    """The case could not run (exit status 2)."""


class Record:
    """record.txt: one line for each thing that was sent, answered or run."""

    def __init__(self, folder):
        self.out = open(os.path.join(folder, "record.txt"), "w",
                        encoding="utf8")
        self.began = time.monotonic()

    def __call__(self, what, **fields):
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.out.write(f"{time.monotonic() - self.began:9.3f} {what} {text}\n")
        self.out.flush()


def free_ports(ip, count):
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((ip, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


async def read_message(reader):
    """Return (first line, headers by lower-case name, body), or None if the
    connection ends."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            if line:
                name, value = line.split(":", 1)
                headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        return lines[0], headers, body
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def answer(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{k}: {v}" for k, v in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's store: range reads and watches."""

    def __init__(self, record):
        self.record = record
        self.items, self.events, self.revision = {}, [], 1
        self.changed = asyncio.Event()
        self.server = self.address = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % \
            self.server.sockets[0].getsockname()[1]

    def put(self, key, value):
        """Write a key, or remove it if value is None. The return is the
        store's acknowledgement."""
        self.revision += 1
        event = {"key": key, "revision": self.revision}
        if value is None:
            self.items.pop(key, None)
            event["tombstone"] = True
        else:
            text = json.dumps(value).encode()
            event.update(value=base64.b64encode(text).decode(), leaseId=0,
                         createdRevision=self.revision)
            self.items[key] = event
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()
        self.record("store", key=key, revision=self.revision,
                    state=(value or {}).get("state", "-")
                    if isinstance(value, dict) or value is None else "-")

    def range(self, query):
        items, size, more = [], 0, False
        for key in sorted(self.items):
            if not key.startswith(query.get("prefix", "")) or \
                    key <= query.get("after", ""):
                continue
            if len(items) >= PAGE_ITEMS or (items and size >= PAGE_BYTES):
                more = True
                break
            items.append(self.items[key])
            size += len(self.items[key]["value"])
        return {"items": items, "hasMore": more,
                "storeRevision": self.revision}

    async def watch(self, query):
        after = int(query["after"])
        if after >= self.revision:
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       min(int(query["waitMs"]), 30000) / 1000)
            except asyncio.TimeoutError:
                pass
        return {"events": [e for e in self.events if e["revision"] > after and
                           e["key"].startswith(query.get("prefix", ""))],
                "storeRevision": self.revision}

    async def serve(self, reader, writer):
        try:
            while message := await read_message(reader):
                target = urllib.parse.urlsplit(message[0].split()[1])
                query = dict(urllib.parse.parse_qsl(target.query))
                if target.path == "/v1/kv-range":
                    body = self.range(query)
                elif target.path == "/v1/kv-watch":
                    body = await self.watch(query)
                else:
                    body = None
                await asyncio.sleep(0.004)
                writer.write(answer(200 if body else 404,
                                    {"Content-Type": "application/json",
                                     "Store-Era": "1"},
                                    json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        writer.close()


class Replica:
    """A sound replica. handle(replica, request) may replace the answer to one
    request: it returns the bytes to send, or None for the sound answer."""

    def __init__(self, store, record, service, zone, name, work_s=0.01,
                 slots=3, handle=None, body=None):
        self.store, self.record = store, record
        self.service, self.zone, self.id = service, zone, f"i-{name}"
        self.work_s, self.slots = work_s, slots
        self.handle, self.body = handle, body
        self.running = asyncio.Semaphore(slots)
        self.runs = []  # (time, request id, body)
        self.writers = set()
        self.server = self.address = None
        self.sequence, self.born = 0, int(time.time() * 1000)

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.address = "127.0.0.1:%d" % \
            self.server.sockets[0].getsockname()[1]

    def register(self, state="ready", warmup_left_ms=0):
        self.sequence += 1
        self.store.put(f"servers/{self.id}", {
            "service": self.service, "address": self.address,
            "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": state, "warmupLeftMs": warmup_left_ms,
            "sequence": self.sequence, "born": self.born})

    def stamp(self, request_id):
        return f"{request_id}.{self.id}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while message := await read_message(reader):
                line, headers, body = message
                writer.write(await self.answer(line, headers, body))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        self.writers.discard(writer)
        writer.close()

    async def answer(self, line, headers, body):
        path = line.split()[1]
        request_id = headers.get("request-id")
        if path == "/health":
            return answer(200, {"Instance-Id": self.id})
        if request_id is None:
            return answer(400, {"Not-Executed": "1"})
        if headers.get("target-instance", self.id) != self.id:
            return answer(421, {"Instance-Id": self.id,
                                "Request-Id": request_id,
                                "Not-Executed": "1"})
        async with self.running:
            self.runs.append((time.monotonic(), request_id, body))
            self.record("run", id=request_id, replica=self.id,
                        service=self.service,
                        request=line.rsplit(" ", 1)[0].replace(" ", "_"),
                        body=body[:40].decode("latin1") or "-")
            await asyncio.sleep(self.work_s)
            own = self.handle and self.handle(self, request_id, body)
        if own:
            return own
        out = self.body(request_id) if self.body else \
            f"{self.stamp(request_id)}:done".encode()
        return answer(200, {"Request-Id": request_id,
                            "Server-Stamp": self.stamp(request_id)}, out)

    async def end(self):
        """The process of the replica ends."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Daemon:
    """One daemon, started with the command of the deploy file."""

    def __init__(self, directory, number, zone, zones, store, connections=None):
        self.number, self.zone, self.zones = number, zone, zones
        self.store, self.directory = store, directory
        self.ip = f"127.0.0.{20 + number}"
        names = ("caller", "ready", "control", "metrics", "relay")
        self.ports = dict(zip(names, free_ports(self.ip, len(names))))
        self.path = os.path.join(directory, f"settings-{number}.json")
        self.log_path = os.path.join(directory, f"daemon-{number}.log")
        self.process = None

    def endpoint(self, name):
        return f"{self.ip}:{self.ports[name]}"

    async def start(self, seeds):
        settings = dict(BOUNDS, instance=f"front-{self.number}",
                        zone=self.zone, zones=self.zones, seeds=seeds,
                        platform=self.store.address)
        settings.update({k: self.endpoint(k) for k in self.ports})
        with open(self.path, "w", encoding="utf8") as out:
            json.dump(settings, out)
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            words = tomllib.load(file)["roles"]["daemon"]["run"].split()
        # The deploy file names the place of the settings on the machines.
        words = [self.path if w == "/etc/cuminsail/local.toml" else w
                 for w in words]
        if not os.path.exists(os.path.join(ROOT, words[0])):
            raise Unusable(f"{words[0]} is not built")
        log = open(self.log_path, "ab")
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, stdout=log, stderr=log,
            stdin=asyncio.subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", ""), "LANG": "C",
                 "HOME": self.directory, "CUMINSAIL_BOOT": self.path})

    async def wait_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if self.process.returncode is not None:
                break
            try:
                got = await request(self.ip, self.ports["ready"], "GET",
                                    "/v1/ready", {"Host": "ready"}, b"", 1)
                if got and got[0] == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise Unusable(f"daemon {self.number} is not ready")

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)


async def request(ip, port, method, path, headers, body, limit_s,
                  keep=None):
    """Send one request on a new connection, or on keep, a pair of streams.
    Return (status, headers, body), or None if the connection ends first."""
    reader, writer = keep or await asyncio.wait_for(
        asyncio.open_connection(ip, port), 1)
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{k}: {v}" for k, v in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
    try:
        message = await asyncio.wait_for(read_message(reader), limit_s)
    except asyncio.TimeoutError:
        message = None
    finally:
        if not keep:
            writer.close()
    if not message:
        return None
    return int(message[0].split()[1]), message[1], message[2]


class Case:
    """A small deployment, and the exit status of the case."""

    def __init__(self, folder):
        self.folder = folder
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder)
        self.directory = tempfile.mkdtemp(prefix="review-")
        self.store = Store(self.record)
        self.daemons, self.replicas = [], []
        self.children, self.tasks = [], []
        self.n_requests = 0
        self.sent = {}  # request id to time
        self.answers = []  # (request id, status)

    def new_id(self):
        self.n_requests += 1
        return f"{self.n_requests:08x}{os.urandom(4).hex()}"

    async def add_replica(self, *args, **more):
        replica = Replica(self.store, self.record, *args, **more)
        await replica.start()
        self.replicas.append(replica)
        return replica

    async def start_daemons(self, zones_of_daemons, zones, n_seeds=2):
        self.daemons = [Daemon(self.directory, i, zone, zones, self.store)
                        for i, zone in enumerate(zones_of_daemons)]
        seeds = [d.endpoint("control") for d in self.daemons[:n_seeds]]
        for daemon in self.daemons:
            await daemon.start(seeds)
        for daemon in self.daemons:
            await daemon.wait_ready()

    async def send(self, daemon, method, path, body=b"", deadline_ms=2000,
                   host="shop.example", request_id=None, keep=None):
        """Send one client attempt. Return (id, status, headers, body); the
        status is 0 if there was no answer."""
        request_id = request_id or self.new_id()
        self.sent[request_id] = time.monotonic()
        self.record("sent", id=request_id, to=f"front-{daemon.number}",
                    request=f"{method}_{path}",
                    body=body[:40].decode("latin1") or "-", bytes=len(body))
        try:
            got = await request(daemon.ip, daemon.ports["caller"], method,
                                path, {"Host": host, "Request-Id": request_id,
                                       "Deadline-Ms": deadline_ms}, body,
                                deadline_ms / 1000, keep)
        except (OSError, asyncio.TimeoutError):
            got = None
        status, headers, out = got or (0, {}, b"")
        self.answers.append((request_id, status))
        self.record("answered", id=request_id, status=status, bytes=len(out),
                    stamp=headers.get("server-stamp") or
                    headers.get("part-stamps", "-"),
                    missing=headers.get("missing-parts", "-"))
        return request_id, status, headers, out

    def check_running(self):
        for daemon in self.daemons:
            if daemon.process.returncode is not None:
                self.record("ended", daemon=daemon.number,
                            status=daemon.process.returncode)

    async def close(self):
        for child in [d.process for d in self.daemons if d.process] + \
                self.children:
            if child.returncode is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
                await child.wait()
        for replica in self.replicas:
            replica.server.close()
        if os.environ.get("KEEP"):
            print(f"logs in {self.directory}")
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


def main(folder, play, limit_s=110):
    """Run play(case), which returns the texts of the broken rules, and exit:
    1 if a rule was broken, 0 if all held, 2 if the case could not run."""
    async def run():
        case = Case(folder)
        try:
            await case.store.start()
            return await asyncio.wait_for(play(case), limit_s)
        finally:
            await case.close()

    try:
        broken = asyncio.run(run())
    except Exception as error:  # whatever it is, nothing was shown
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    for text in broken:
        print(f"BROKEN {text}")
    print("rule broken" if broken else "rule held")
    sys.exit(1 if broken else 0)

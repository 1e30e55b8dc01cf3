#!/usr/bin/env python3
"""Soak test: random faults against real daemons on loopback.

Starts forwarding daemons as processes and simulates the platform's store, the
replicas and the callers in this process. The daemons reach the store, the
replicas and the seeds through loopback proxies that inject network faults.
Replicas and callers check these rules:

  whole     a successful answer is the complete answer of one replica to this
            request, or the TOP_K greatest records of the shards that it names,
            which are at least half of all shards
  once      a non-idempotent request runs at most once
  refused   a non-idempotent request that is answered with 408, 429 or 503
            never runs
  allowed   a request runs only at a service of its route; a replica answers a
            request for another instance with 421 and does not run it
  extra     repeated attempts stay within the retry budget in every window
  limit     a replica that names a rate limit gets, from LIMIT_CONTACT_S on,
            at most LIMIT_FACTOR times what it allows and LIMIT_SLACK requests
            in each window of LIMIT_WINDOW_S
  deadly    a request that crashes the replicas that run it is sent to at most
            DEADLY_MORE more, later than DEADLY_CONTACT_S after the third crash
  leaving   a replica that has said on a connection that it leaves gets no
            further request on it
  rest      a replica that has asked for rest on a connection gets no request
            on it until REST_S later
  answered  a request that a replica has run gets an answer from a daemon that
            stops after SIGTERM
  broken    bytes that are no answer by the grammar of HTTP/1.1 reach no caller
  version   the version of the configuration in force at a daemon never falls
            while its process runs, and is the last one written at the end
  recover   of the requests sent later than 4 s after the last fault and
            answered, at least 90 % succeed
  ends      no daemon exits by itself; after SIGTERM it exits with status 0

Beside the daemons' logs, the log directory has requests.log: a line for each
fault, and for each request without a successful answer.

Usage: soak.py DAEMON [--seed N] [--runs N] [--seconds S] [--daemons N]
               [--logs DIR] [--beside DAEMON]

With --beside every other daemon runs another build, whose versions and answers
during a stop are not checked.
"""
import argparse
import asyncio
import base64
import collections
import hashlib
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time

ZONES = 3
SEEDS = 2
SHARDS = 4
REPLICAS_PER_SERVICE = 3
TOP_K = 5
# The retry budget: repeated attempts of one service in a window of WINDOW_S
# are at most RATIO * requests of callers for it + SLACK, whether these arrived
# at a replica or not.
RATIO, SLACK, WINDOW_S = 0.2, 30, 10
UNSAFE_SERVICE = "orders"
LIMIT_PER_S, LIMIT_FACTOR, LIMIT_SLACK = 10, 1.5, 5
LIMIT_CONTACT_S, LIMIT_WINDOW_S = 5, 4
# A body that crashes replicas, and how many crash before it is blocked.
# The rest that a replica asks for, and how long one that leaves serves on.
REST_S, LEAVING_S = 1.5, 2.5
DEADLY, DEADLY_CRASHES, DEADLY_MORE, DEADLY_CONTACT_S = "deadly", 3, 3, 5
# Questions for its version that a daemon may leave without an answer, each for
# half a second, before that is a breach.
QUESTIONS_MAX = 20
# Bytes that a replica sends without end, more than a daemon takes.
ENDLESS_BYTES = 24 * 1024 * 1024


def records(request_id, service):
    """Return the 16-byte records that a shard holds for a request."""
    seed = f"{request_id}/{service}".encode()
    return [hashlib.md5(seed + bytes([i])).digest() for i in range(8)]


class Store:
    """The platform's store: range reads, watches and the change history."""

    def __init__(self):
        self.items, self.history, self.revision = {}, [], 1
        self.oldest, self.era, self.log = 0, 1, []
        self.changed = asyncio.Event()
        self.refuse = False

    def put(self, key, value):
        """Set a key, or delete it if value is None, and wake all watches."""
        self.revision += 1
        event = {"key": key, "revision": self.revision}
        if value is None:
            self.items.pop(key, None)
            event["tombstone"] = True
        else:
            text = json.dumps(value).encode()
            event["value"] = base64.b64encode(text).decode()
            self.items[key] = event
        self.history.append(event)
        self.log.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def restore(self, n_lost):
        """Go back to an older copy: the last n_lost changes are lost."""
        self.log = self.log[:max(len(self.log) - n_lost, 1)]
        self.revision = self.oldest = self.log[-1]["revision"]
        self.items, self.history = {}, []
        for event in self.log:
            self.items[event["key"]] = event
        self.items = {k: e for k, e in self.items.items() if "value" in e}
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def compact(self):
        """Drop the history; watches from older revisions get status 410."""
        self.history, self.oldest = [], self.revision

    async def answer(self, target):
        """Return status and body for a request target."""
        if self.refuse:
            return 503, b""
        query = dict(w.split("=", 1) for w in target.split("?")[1].split("&"))
        if "kv-range" in target:
            body = {"items": list(self.items.values()), "hasMore": False,
                    "storeRevision": self.revision}
            return 200, json.dumps(body).encode()
        after, era = int(query["after"]), self.era
        if after < self.oldest or after > self.revision:
            return 410, b""
        if after == self.revision:
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       int(query["waitMs"]) / 1000)
            except asyncio.TimeoutError:
                pass
        if self.era != era:
            return 410, b""
        events = [e for e in self.history if e["revision"] > after]
        body = {"events": events, "storeRevision": self.revision}
        return 200, json.dumps(body).encode()


async def read_message(reader):
    """Read one HTTP/1.1 message.

    Return (first line, headers by lower-case name, body), or None if the
    connection ends or the message is not valid.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin1").split("\r\n")
        headers = dict(l.split(": ", 1) for l in lines[1:] if l)
        headers = {k.lower(): v for k, v in headers.items()}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        return lines[0], headers, body
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None


def answer_bytes(status, headers, body):
    """Return a whole HTTP/1.1 answer."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{k}: {v}" for k, v in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def broken_answer(pick, headers, body):
    """Return an answer with one deviation from the grammar of HTTP/1.1.

    It names itself "Broken", and may claim that the request did not run.
    """
    status = pick.choice([200, 503])
    names = dict(headers, Broken="1")
    if status == 503:
        names["Not-Executed"] = "1"
    head, _ = answer_bytes(status, names, body).split(b"\r\n\r\n")
    fields = head.split(b"\r\n", 2)[2]
    coded = fields + b"\r\nTransfer-Encoding: chunked\r\n\r\n"
    size = f"{len(body):x}".encode()
    return pick.choice([
        head.replace(b" %d " % status, b" 000 ", 1) + b"\r\n\r\n" + body,
        head.replace(b" %d " % status, b" 0%d " % status, 1) +
        b"\r\n\r\n" + body,
        head.replace(b" %d " % status, b" 999 ", 1) + b"\r\n\r\n" + body,
        head.replace(b"/1.1", b"/2.1", 1) + b"\r\n\r\n" + body,
        head + b"\r\nA b: c\r\n\r\n" + body,
        head + b"\r\nA: \x01\r\n\r\n" + body,
        head + b"\r\nA: b\r\n c\r\n\r\n" + body,
        head + b"\r\nA: b\n\r\n" + body,
        head + b"\r\n\rX" + body,
        head.replace(b" %d " % status, b" 204 ", 1) + b"\r\n\r\n" + body,
        b"HTTP/1.1 200 OK\r\n" + coded + size + b"\r\n" + body +
        b"XX0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n" + coded + size + b"\r\n" + body +
        b"\r\n0\r\nA b: c\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n" + coded.replace(b"chunked", b"gzip, chunked") +
        size + b"\r\n" + body + b"\r\n0\r\n\r\n",
    ])


def unframed_head(headers):
    """Return the head of an answer whose body ends with its connection."""
    return answer_bytes(200, headers, b"").replace(b"Content-Length: 0\r\n",
                                                   b"")


def reset(writer):
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack("ii", 1, 0))
    except OSError:
        pass  # it is closed
    writer.transport.abort()


class Replica:
    """One replica of a service.

    fault affects about half of the requests: "refuse" answers 503 with a proof
    that the request did not run, "lose" aborts the connection after the run,
    "truncate" leaves out the last bytes of the answer, "break" closes the
    connection within the head of the answer, "duplicate" sends the
    answer twice, "surplus" sends further bytes after the answer, "unproven"
    answers with a failure after the run, without proof of anything, "unframed"
    sends the answer without a length and closes the connection, "cut" resets it
    within such an answer, "broken" sends one that the grammar of HTTP/1.1 does
    not have, "endless" sends bytes until the daemon closes. Until
    pause_until the replica completes no request. A limited replica names a rate
    limit in its answers and records when they were sent and requests arrived.
    """

    def __init__(self, testbed, service, port):
        self.testbed, self.service, self.port = testbed, service, port
        self.id = f"i-{service}-{port}-{testbed.random.randrange(10**6)}"
        self.fault, self.pause_until = None, 0
        self.state, self.leaving = "ready", False
        self.limited, self.named_at, self.arrived = False, None, []
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1",
                                                 self.port)
        self.register("ready")

    def register(self, state):
        """Write the replica's entry, with its proxy address, to the store."""
        self.state = state
        self.testbed.sequence += 1
        self.testbed.store.put(f"servers/{self.id}", {
            "service": self.service, "zone": self.testbed.zone_of(self.port),
            "address": f"127.0.0.1:{self.testbed.proxy_port(self.port)}",
            "version": "v1", "slots": 4, "state": state, "warmupLeftMs": 0,
            "sequence": self.testbed.sequence, "born": 1})

    async def serve(self, reader, writer):
        # What this end has said on the connection: that it leaves, and the
        # end of the rest that it asked for.
        said = {"leaving": False, "rest_until": 0}
        while True:
            message = await read_message(reader)
            if not message:
                break
            if said["leaving"]:
                self.testbed.breach("leaving", f"{self.id} got a request")
            if time.monotonic() < said["rest_until"] - 0.02:
                self.testbed.breach("rest", f"{self.id} got a request")
            try:
                if not await self.answer(message, writer, said):
                    break
                await writer.drain()
            except ConnectionError:
                break
        writer.close()

    async def answer(self, message, writer, said):
        """Answer one request; return whether the connection stays open."""
        line, headers, body = message
        testbed, request_id = self.testbed, headers.get("request-id", "")
        fault = self.fault if testbed.random.random() < 0.5 else None
        testbed.arrivals[self.service].append((time.monotonic(), request_id))
        self.arrived.append(time.monotonic())
        if headers.get("target-instance") != self.id:
            writer.write(answer_bytes(421, {"Instance-Id": self.id,
                                            "Request-Id": request_id}, b""))
            return True
        if fault == "refuse":
            writer.write(answer_bytes(503, {"Not-Executed": "1",
                                            "Request-Id": request_id}, b""))
            return True
        if fault == "rest":
            said["rest_until"] = time.monotonic() + REST_S
            writer.write(answer_bytes(503, {
                "Not-Executed": "1", "Request-Id": request_id,
                "Retry-After": str(REST_S)}, b""))
            return True
        path = line.split()[1]
        testbed.record_run(request_id, self.service, path)
        await asyncio.sleep(max(self.pause_until - time.monotonic(), 0) +
                            testbed.random.uniform(0.001, 0.01))
        if body.decode("latin1") == DEADLY:
            testbed.crash(self)
            return False
        if fault == "lose":
            writer.transport.abort()
            return False
        stamp = f"{request_id}.{self.service}.{self.id}"
        if self.service == UNSAFE_SERVICE:
            out = f"{stamp}:{body.decode('latin1')}".encode()
        else:
            out = b"".join(testbed.random.sample(
                records(request_id, self.service), 8)) + b"rest"
        names = {"Request-Id": request_id, "Server-Stamp": stamp}
        if self.limited:
            names["Server-Limit"] = str(LIMIT_PER_S)
            self.named_at = self.named_at or time.monotonic()
        if self.leaving:
            names["Server-Leaving"] = "1"
            said["leaving"] = True
        whole = answer_bytes(200, names, out)
        if fault == "unproven":
            status = testbed.random.choice([302, 404, 408, 429, 500, 503])
            writer.write(answer_bytes(status, names, out))
            return True
        if fault in ("unframed", "cut"):
            head = unframed_head(names)
            if fault == "cut":
                writer.write(head + out[:testbed.random.randrange(len(out))])
                await asyncio.sleep(testbed.random.choice([0, 0.02]))
                reset(writer)
            else:
                writer.write(head + out)
            return False
        if fault == "broken":
            # As records, these are the greatest of all.
            writer.write(broken_answer(testbed.random, names, b"\xff" * 32))
            return True
        if fault == "endless":
            await self.send_without_end(writer, unframed_head(names))
            return False
        if fault == "break":
            out = answer_bytes(200, names, out)
            writer.write(out[:testbed.random.randrange(
                out.index(b"\r\n\r\n") + 4)])
            return False
        if fault == "truncate":
            writer.write(whole[:-3])
            return False
        if fault == "duplicate":
            whole += whole
        if fault == "surplus":
            whole += b"junk"
        writer.write(whole)
        return True

    async def send_without_end(self, writer, head):
        """Send bytes that are no answer, in a head or a body."""
        head = head[:-2]
        start, unit = self.testbed.random.choice([
            (head, b"X: a\r\n"), (head + b"X: ", b"a"), (b"", b"junk"),
            (head + b"\r\n", b"a"),
            (head + b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\na\r\n"),
            (b"", answer_bytes(200, {"Request-Id": "other"}, b"a" * 65536))])
        writer.write(start)
        sent = 0
        while sent < ENDLESS_BYTES and not writer.transport.is_closing():
            writer.write(unit * max(65536 // len(unit), 1))
            sent += 65536
            await writer.drain()


class Proxy:
    """Forwards bytes between a daemon and a target.

    Modes: "pass"; "slow" delays each read by 50 ms; "silent" holds back both
    directions; "one-way" holds back the bytes from the target only.
    """

    def __init__(self, port, target):
        self.port, self.target, self.mode = port, target, "pass"
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1",
                                                 self.port)

    async def pump(self, reader, writer, is_outbound):
        try:
            while data := await reader.read(65536):
                if self.mode == "slow":
                    await asyncio.sleep(0.05)
                while self.mode == "silent" or (self.mode == "one-way" and
                                                not is_outbound):
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            reset(writer)
            return
        writer.close()

    async def serve(self, reader, writer):
        try:
            from_target, to_target = \
                await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        both = {writer, to_target}
        self.writers |= both
        await asyncio.gather(self.pump(reader, to_target, True),
                             self.pump(from_target, writer, False))
        self.writers -= both

    def reset(self):
        """Reset all open connections."""
        for writer in list(self.writers):
            reset(writer)


class Daemon:
    """One daemon process and the signals sent to it."""

    def __init__(self, testbed, number):
        self.testbed, self.number = testbed, number
        self.ip = f"127.0.0.{10 + number}"
        self.is_other = bool(testbed.beside) and number % 2 == 1
        self.program = testbed.beside if self.is_other else testbed.program
        self.process, self.expect_exit = None, False
        self.path = os.path.join(testbed.directory, f"settings-{number}.json")
        self.log = open(os.path.join(testbed.directory,
                                     f"daemon-{number}.log"), "ab")
        base = testbed.base
        with open(self.path, "w", encoding="utf8") as out:
            json.dump({
                "instance": f"d{number}", "zone": testbed.zone_of(number),
                "zones": {z: z for z in testbed.zones},
                "caller": f"{self.ip}:{base}",
                "ready": f"{self.ip}:{base + 1}",
                "control": f"{self.ip}:{base + 2}",
                "metrics": f"{self.ip}:{base + 3}",
                "relay": f"{self.ip}:{base + 4}",
                "platform": f"127.0.0.1:{base + 5}",
                "seeds": [f"{self.ip}:{base + 2}" if i == number else
                          f"127.0.0.1:{base + 7 + i}" for i in range(SEEDS)],
                "budget_ratio": RATIO, "budget_slack": SLACK,
                "budget_window_s": WINDOW_S}, out)

    async def start(self):
        self.expect_exit = False
        self.process = await asyncio.create_subprocess_exec(
            self.program, "--forward", self.path, stdout=self.log,
            stderr=self.log)
        asyncio.create_task(self.watch(self.process))

    async def watch(self, process):
        """Check the exit status when the process ends."""
        status = await process.wait()
        if not self.expect_exit:
            self.testbed.breach("ends", f"daemon {self.number} exited by "
                                f"itself: exit status {status}")
        elif status not in (0, -signal.SIGKILL):
            self.testbed.breach("ends", f"daemon {self.number}: "
                                f"exit status {status}")

    def send_signal(self, number):
        try:
            self.process.send_signal(number)
        except ProcessLookupError:
            pass

    async def stop(self, number):
        """Send a signal that ends the process, also if suspended, and wait."""
        self.expect_exit = True
        if number == signal.SIGTERM and not self.is_other:
            self.testbed.terminated.add(self.process)
        self.send_signal(signal.SIGCONT)
        self.send_signal(number)
        await self.process.wait()


class Testbed:
    """The simulated store, replicas and callers around the daemons.

    Ports, from base: caller, ready, control, metrics and relay port of each
    daemon at 0 to 4, each daemon on its own IP address; proxy of the store at 5; store
    at 6; proxies of the seeds from 7; replicas from 10, each with its proxy 80
    above.
    """

    def __init__(self, program, seed, seconds, directory, daemons=3,
                 beside=None):
        self.program, self.seed, self.seconds = program, seed, seconds
        self.beside = beside
        self.directory, self.n_daemons = directory, daemons
        self.random = random.Random(seed)
        # Below the kernel's range of ephemeral ports: an outgoing connection
        # could otherwise occupy one of these ports.
        self.base = 12000 + (os.getpid() % 80) * 200
        self.zones = [f"z{i}" for i in range(ZONES)]
        self.store, self.sequence, self.version = Store(), 0, 0
        self.breaches, self.requests = [], []
        self.arrivals = collections.defaultdict(list)  # (time, id) by service
        self.runs = collections.defaultdict(list)  # services by request id
        self.shards = [f"shard{i}" for i in range(SHARDS)]
        self.replicas, self.proxies, self.seed_proxies = [], [], []
        self.stopping, self.servers = False, []
        self.crashes, self.restarts = [], []
        self.terminated = set()  # processes that got SIGTERM
        self.log = open(os.path.join(directory, "requests.log"), "a",
                        encoding="utf8")
        self.newest, self.seen = None, {}

    def breach(self, rule, text):
        self.breaches.append(f"{rule}: {text}")
        self.write_log(f"breach {rule} {text}")

    def write_log(self, text):
        """Write a line with the time in the form of the daemons' logs."""
        self.log.write(f"at={time.time() * 1000:.0f} {text}\n")

    def log_unserved(self):
        """Write a line for each request without a successful answer."""
        offset = time.time() - time.monotonic()
        for entry in self.requests:
            if entry["status"] != 200:
                sent = (entry["at"] + offset) * 1000
                self.log.write(f"at={sent:.0f} request id={entry['id']} "
                               f"daemon={entry['daemon']} "
                               f"path={entry['path']} "
                               f"deadly={entry['deadly']:d} "
                               f"status={entry['status']} "
                               f"body={entry['body']}\n")
        self.log.close()

    def zone_of(self, number):
        return self.zones[number % ZONES]

    def proxy_port(self, port):
        return port + 80

    def shards_of(self, path):
        """Return the services that a query is sent to."""
        return self.shards if path.startswith("/all/") else self.shards[:1]

    def services_of(self, entry):
        """Return the services that a request of a caller is for."""
        return [UNSAFE_SERVICE] if entry["unsafe"] else \
            self.shards_of(entry["path"])

    def record_run(self, request_id, service, path):
        """Record a run of a request and check the rule "allowed"."""
        allowed = [UNSAFE_SERVICE] if path.startswith("/once/") else \
            self.shards_of(path)
        if service not in allowed:
            self.breach("allowed", f"{request_id} {path} ran at {service}")
        self.runs[request_id].append(service)

    def publish(self):
        """Write the next version of the configuration to the store."""
        self.version += self.random.randint(1, 3)
        route = {"host": "h", "timeoutMs": 2000, "targetLatencyMs": 200,
                 "maxAttempts": 2, "priority": 1}
        routes = [dict(route, name="all", prefix="/all/", topK=TOP_K,
                       routeType="idempotent", fanout=self.shards,
                       minSuccessShare=0.5),
                  dict(route, name="single", prefix="/single/", topK=TOP_K,
                       routeType="idempotent", fanout=self.shards[:1],
                       minSuccessShare=0.5),
                  dict(route, name="once", prefix="/once/",
                       routeType="non_idempotent", service=UNSAFE_SERVICE)]
        services = [{"name": s, "maxConnections": 60, "warmupPerS": 0}
                    for s in self.shards + [UNSAFE_SERVICE]]
        self.newest = {"version": self.version, "routes": routes,
                       "services": services}
        self.store.put("op/config", self.newest)

    async def restore_store(self):
        """Let the store return from an older copy. What was lost is written
        again: by the operator at once, by the replicas a little later; the
        entries of replicas that have gone lapse."""
        self.store.restore(self.random.randrange(1, 30))
        await asyncio.sleep(self.random.uniform(0, 0.3))
        self.store.put("op/config", self.newest)
        await asyncio.sleep(self.random.uniform(0, 0.8))
        for replica in list(self.replicas):
            replica.register(replica.state)
        await asyncio.sleep(0.5)
        alive = {f"servers/{r.id}" for r in self.replicas}
        for key in [k for k in self.store.items if k.startswith("servers/")]:
            if key not in alive:
                self.store.put(key, None)

    async def serve_store(self, reader, writer):
        try:
            while message := await read_message(reader):
                status, body = await self.store.answer(message[0].split()[1])
                writer.write(answer_bytes(
                    status, {"Store-Era": str(self.store.era)}, body))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass  # the daemon closed the connection, or the run has ended
        writer.close()

    async def start(self):
        self.publish()
        base = self.base
        self.servers.append(await asyncio.start_server(
            self.serve_store, "127.0.0.1", base + 6))
        self.store_proxy = Proxy(base + 5, ("127.0.0.1", base + 6))
        await self.store_proxy.start()
        port = base + 10
        for service in self.shards + [UNSAFE_SERVICE]:
            for _ in range(REPLICAS_PER_SERVICE):
                proxy = Proxy(self.proxy_port(port), ("127.0.0.1", port))
                await proxy.start()
                replica = Replica(self, service, port)
                await replica.start()
                self.proxies.append(proxy)
                self.replicas.append(replica)
                port += 1
        for i in range(SEEDS):
            proxy = Proxy(base + 7 + i, (f"127.0.0.{10 + i}", base + 2))
            await proxy.start()
            self.seed_proxies.append(proxy)
        self.limited = self.random.choice(
            [r for r in self.replicas if r.service != UNSAFE_SERVICE])
        self.limited.limited = True
        self.daemons = [Daemon(self, i) for i in range(self.n_daemons)]
        for daemon in self.daemons:
            await daemon.start()
        await asyncio.sleep(1)

    # ---- callers ----

    async def send_request(self, reader, writer, daemon, unsafe):
        """Send one request to a daemon and check the answer.

        unsafe selects the route of non-idempotent requests; some of these are
        deadly. Return whether the connection stays open.
        """
        process = daemon.process
        request_id = f"{self.random.getrandbits(64):016x}"
        deadly = unsafe and self.random.random() < 0.05
        body = DEADLY if deadly else os.urandom(8).hex() if unsafe else ""
        method, path = ("POST", "/once/x") if unsafe else \
            ("GET", self.random.choice(["/all/x", "/all/x", "/single/x"]))
        entry = {"id": request_id, "unsafe": unsafe, "status": None,
                 "at": time.monotonic(), "deadly": deadly,
                 "path": path, "daemon": daemon.number, "body": None,
                 "shards": len(self.shards_of(path))}
        self.requests.append(entry)
        writer.write((f"{method} {path} HTTP/1.1\r\nHost: h\r\n"
                      f"Request-Id: {request_id}\r\nDeadline-Ms: 2000\r\n"
                      f"Content-Length: {len(body)}\r\n\r\n{body}").encode())
        message = await asyncio.wait_for(read_message(reader), 6)
        if not message:
            if process in self.terminated and self.runs[request_id]:
                self.breach("answered", f"{request_id} ran and got no answer")
            return False
        entry["status"] = int(message[0].split()[1])
        if "broken" in message[1] or not 200 <= entry["status"] < 600:
            self.breach("broken", f"{request_id}: {message}")
        entry["body"] = message[2][:100]
        if 200 <= entry["status"] < 300:
            self.check_success(entry, message, body)
        return message[1].get("connection") != "close"

    def check_success(self, entry, message, sent):
        """Check the rule "whole" for a 2xx answer to the body sent."""
        _, headers, body = message
        request_id = entry["id"]
        if headers.get("request-id") != request_id:
            self.breach("whole", f"{request_id}: answer has another id")
        if entry["unsafe"]:
            stamp = headers.get("server-stamp", "")
            if body.decode("latin1") != f"{stamp}:{sent}" or \
                    not stamp.startswith(request_id):
                self.breach("whole", f"{request_id}: {body!r} signed {stamp} "
                            f"is no answer to {sent}")
            return
        stamps = headers.get("part-stamps", "").split(", ")
        services = [s.split(".")[1] for s in stamps if "." in s]
        missing = int(headers.get("missing-parts", 0))
        if any(not s.startswith(request_id) for s in stamps) or \
                len(set(services)) != len(stamps) or \
                len(stamps) + missing != entry["shards"] or \
                len(stamps) < entry["shards"] / 2:
            self.breach("whole", f"{request_id}: parts {stamps} {missing}")
        best = sorted((r for s in services for r in records(request_id, s)),
                      reverse=True)[:TOP_K]
        if body != b"".join(best):
            self.breach("whole", f"{request_id}: {body!r} are not the greatest "
                        f"records of {stamps}")

    async def run_caller(self):
        """Simulate one caller, which sends many requests per connection."""
        while not self.stopping:
            daemon = self.random.choice(self.daemons)
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(daemon.ip, self.base), 1)
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.05)
                continue
            try:
                while not self.stopping:
                    unsafe = self.random.random() < 0.4
                    if not await self.send_request(reader, writer, daemon,
                                                   unsafe):
                        break
                    await asyncio.sleep(self.random.expovariate(20))
                    if self.random.random() < 0.02:
                        break
            except (ConnectionError, asyncio.TimeoutError):
                pass
            writer.close()

    # ---- faults ----

    async def inject_fault(self):
        """Inject one random fault and end it after up to 1.5 s."""
        pick, span = self.random, self.random.uniform(0.2, 1.5)
        daemon, replica = pick.choice(self.daemons), pick.choice(self.replicas)
        proxy = pick.choice(self.proxies + [self.store_proxy] * 4 +
                            self.seed_proxies * 3)
        kind = pick.choice(["proxy", "proxy", "reset", "suspend", "kill",
                            "term", "hup", "replica", "replica",
                            "replica", "replica", "pause",
                            "crash", "drain", "config", "compact", "refuse",
                            "restore", "restore", "leave", "odd", "odd",
                            "outage", "outage"])
        self.write_log(f"fault {kind} span={span:.2f} daemon={daemon.number} "
                       f"replica={replica.id} proxy={proxy.port - self.base}")
        if kind == "proxy":
            proxy.mode = pick.choice(["slow", "silent", "one-way"])
            await asyncio.sleep(span)
            proxy.mode = "pass"
        elif kind == "reset":
            proxy.reset()
        elif kind == "suspend":
            daemon.send_signal(signal.SIGSTOP)
            await asyncio.sleep(span)
            daemon.send_signal(signal.SIGCONT)
        elif kind in ("kill", "term"):
            if not daemon.expect_exit:
                await daemon.stop(signal.SIGKILL if kind == "kill" else
                                  signal.SIGTERM)
                await daemon.start()
        elif kind == "hup":
            daemon.send_signal(signal.SIGHUP)
        elif kind == "replica":
            replica.fault = pick.choice(["refuse", "lose", "truncate", "break",
                                         "duplicate", "surplus", "rest",
                                         "unproven", "unproven", "unframed",
                                         "cut", "cut", "endless", "broken",
                                         "broken", "broken"])
            await asyncio.sleep(span)
            replica.fault = None
        elif kind == "pause":
            replica.pause_until = time.monotonic() + span
        elif kind in ("crash", "drain"):
            await self.replace(replica, kind == "drain")
        elif kind == "config":
            self.publish()
        elif kind == "compact":
            self.store.compact()
        elif kind == "restore":
            await self.restore_store()
        elif kind == "leave":
            await self.leave(replica)
        elif kind == "odd":
            await self.write_odd_entry(span)
        elif kind == "outage":
            await self.end_service(replica.service, span)
        elif kind == "refuse":
            self.store.refuse = True
            await asyncio.sleep(span)
            self.store.refuse = False

    async def write_odd_entry(self, span):
        """Another writer leaves an entry that names no replica."""
        entry = {"service": UNSAFE_SERVICE, "zone": self.zones[0],
                 "address": "127.0.0.1:1", "version": "v1", "slots": 4,
                 "state": "ready", "warmupLeftMs": 0, "sequence": 1}
        key = f"servers/odd-{self.random.randrange(10**6)}"
        name, value = self.random.choice([
            ("slots", 10**30), ("sequence", -1), ("warmupLeftMs", 1.5e300),
            ("address", "127.0.0.1:65536"), ("address", "127.0.0.1:0"),
            ("address", "255.255.255.255:80"), ("service", [[[[]]]]),
            ("tags", json.loads("[" * 500 + "]" * 500))])
        entry[name] = value
        self.store.put(key, entry)
        await asyncio.sleep(span)
        self.store.put(key, None)

    async def leave(self, replica):
        """A replica says in its answers that it leaves, not to the store."""
        if replica.limited or replica.leaving:
            return
        replica.leaving = True
        await asyncio.sleep(LEAVING_S)
        await self.replace(replica, False)

    async def watch_versions(self):
        """Check the rule "version" while the daemons run."""
        while not self.stopping:
            for daemon in self.daemons:
                process = daemon.process
                version = await self.version_of(daemon)
                before = self.seen.get(process, 0)
                if version is None or process != daemon.process or \
                        daemon.is_other:
                    continue
                if version < before:
                    self.breach("version", f"daemon {daemon.number}: {version} "
                                f"after {before}")
                self.seen[process] = max(version, before)
            await asyncio.sleep(0.2)

    async def version_of(self, daemon):
        """Return the version in force at a daemon, or None."""
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(daemon.ip, self.base + 3), 0.5)
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n")
            message = await asyncio.wait_for(read_message(reader), 0.5)
        except (OSError, asyncio.TimeoutError):
            return None
        finally:
            if writer:
                writer.close()
        for line in (message[2] if message else b"").split(b"\n"):
            if line.startswith(b"cuminsail_table_version "):
                return int(line.split()[1])
        return None

    async def check_versions(self):
        """Check the rule "version" at the end."""
        for daemon in self.daemons:
            version = await self.version_of(daemon)
            # A daemon without processor time answers late.
            for _ in range(QUESTIONS_MAX):
                if version is not None:
                    break
                version = await self.version_of(daemon)
            if version != self.version and not daemon.is_other:
                self.breach("version", f"daemon {daemon.number}: {version}, "
                            f"{self.version} was written")

    async def replace(self, old, drain):
        """Replace a replica by a new one of its service at its address."""
        if old not in self.replicas or old.limited:
            return
        self.replicas.remove(old)
        if drain:
            old.register("draining")
            await asyncio.sleep(1)
        self.store.put(f"servers/{old.id}", None)
        old.server.close()
        self.proxies[old.port - self.base - 10].reset()
        await asyncio.sleep(0.3)
        new = Replica(self, old.service, old.port)
        await new.start()
        self.replicas.append(new)

    async def end_service(self, service, span):
        """All replicas of a service end at once, with the requests of span."""
        replicas = [r for r in self.replicas
                    if r.service == service and not r.limited]
        for replica in replicas:
            replica.pause_until = time.monotonic() + span + 1
        await asyncio.sleep(span)
        for replica in replicas:
            self.end(replica)

    def crash(self, replica):
        """A replica ends because of a request."""
        if replica in self.replicas:
            self.crashes.append(time.monotonic())
            self.end(replica)

    def end(self, replica):
        """A replica ends, and starts again 1.2 s later under another id."""
        if replica not in self.replicas:
            return
        self.replicas.remove(replica)
        replica.server.close()
        proxy = self.proxies[replica.port - self.base - 10]
        proxy.server.close()
        proxy.reset()
        self.restarts.append(asyncio.create_task(
            self.restart(replica, proxy)))

    async def restart(self, old, proxy):
        await asyncio.sleep(1.2)
        self.store.put(f"servers/{old.id}", None)
        await proxy.start()
        new = Replica(self, old.service, old.port)
        await new.start()
        self.replicas.append(new)

    # ---- checks over the whole run ----

    def check_runs(self):
        """Check the rules "once" and "refused"."""
        for entry in self.requests:
            ran = len(self.runs[entry["id"]])
            if entry["unsafe"] and ran > 1:
                self.breach("once", f"{entry['id']} ran {ran} times")
            if entry["unsafe"] and ran and entry["status"] in (408, 429, 503):
                self.breach("refused", f"{entry['id']} got {entry['status']}")

    def check_budget(self):
        """Check the rule "extra" in the window before each repeat."""
        for service, arrivals in self.arrivals.items():
            seen, extra = set(), []
            for at, request_id in arrivals:
                if request_id in seen:
                    extra.append(at)
                seen.add(request_id)
            sent = [r["at"] for r in self.requests
                    if service in self.services_of(r)]
            for end in extra:
                n_extra = sum(end - WINDOW_S < t <= end for t in extra)
                n_sent = sum(end - WINDOW_S < t <= end for t in sent)
                if n_extra > RATIO * n_sent + SLACK:
                    self.breach("extra", f"{service}: {n_extra} repeats, "
                                f"{n_sent} requests")
                    break

    def check_limit(self):
        """Check the rule "limit" in the window before each arrival."""
        replica = self.limited
        if not replica.named_at:
            return
        first = replica.named_at + LIMIT_CONTACT_S
        times = [t for t in replica.arrived if t >= first]
        most = max((sum(end - LIMIT_WINDOW_S < t <= end for t in times)
                    for end in times), default=0)
        if most > LIMIT_FACTOR * LIMIT_PER_S * LIMIT_WINDOW_S + LIMIT_SLACK:
            self.breach("limit", f"{replica.id}: {most} requests in "
                        f"{LIMIT_WINDOW_S} s")

    def check_deadly(self):
        """Check the rule "deadly"."""
        if len(self.crashes) < DEADLY_CRASHES:
            return
        third = self.crashes[DEADLY_CRASHES - 1]
        more = sum(t > third + DEADLY_CONTACT_S for t in self.crashes)
        if more > DEADLY_MORE:
            self.breach("deadly", f"{len(self.crashes)} crashes, {more} later "
                        f"than {DEADLY_CONTACT_S} s after the third")

    def check_recovery(self, since):
        """Check the rule "recover" for answered requests sent after since."""
        late = [r for r in self.requests if r["at"] > since and
                r["status"] is not None and not r["deadly"]]
        good = sum(200 <= r["status"] < 300 for r in late)
        if not late or good < 0.9 * len(late):
            self.breach("recover", f"{good} of {len(late)} served")

    async def run(self):
        """Run the test; return the number of requests sent."""
        await self.start()
        callers = [asyncio.create_task(self.run_caller())
                   for _ in range(max(8, self.n_daemons))]
        watch = asyncio.create_task(self.watch_versions())
        end, faults = time.monotonic() + self.seconds, []
        while time.monotonic() < end:
            faults.append(asyncio.create_task(self.inject_fault()))
            await asyncio.sleep(self.random.expovariate(3))
        await asyncio.gather(*faults)
        await asyncio.gather(*self.restarts)
        # Long enough for new list entries and a routing view to arrive.
        await asyncio.sleep(4)
        faults_ended = time.monotonic()
        await asyncio.sleep(2)
        await self.check_versions()
        self.stopping = True
        await watch
        await asyncio.gather(*callers)
        await asyncio.gather(*(d.stop(signal.SIGTERM) for d in self.daemons))
        for listener in self.replicas + self.proxies + self.seed_proxies + \
                [self.store_proxy]:
            self.servers.append(listener.server)
        for server in self.servers:
            server.close()
        self.check_runs()
        self.check_budget()
        self.check_limit()
        self.check_deadly()
        self.check_recovery(faults_ended)
        self.log_unserved()
        return len(self.requests)


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("program")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--daemons", type=int, default=3)
    parser.add_argument("--logs", default=None)
    parser.add_argument("--beside", default=None)
    args = parser.parse_args()
    failed = 0
    for seed in range(args.seed, args.seed + args.runs):
        directory = args.logs or tempfile.mkdtemp(prefix="soak-")
        os.makedirs(directory, exist_ok=True)
        testbed = Testbed(args.program, seed, args.seconds, directory,
                          args.daemons, args.beside)
        n_requests = asyncio.run(testbed.run())
        served = sum(r["status"] == 200 for r in testbed.requests)
        print(f"seed {seed}: {n_requests} requests, {served} served, "
              f"{len(testbed.crashes)} crashes, "
              f"{len(testbed.breaches)} breaches", flush=True)
        rules = collections.Counter(b.split(":")[0] for b in testbed.breaches)
        for rule, n in sorted(rules.items()):
            print(f"  {rule}: {n} breaches")
        for text in testbed.breaches[:10]:
            print(f"  BREACH {text}; logs in {directory}", flush=True)
        failed += bool(testbed.breaches)
    print(f"{args.runs - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()

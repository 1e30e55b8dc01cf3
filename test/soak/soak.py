#!/usr/bin/env python3
"""Randomized faults against real daemons on loopback.

Starts forwarding daemons as processes and plays the platform's store, the
replicas and the callers itself. Proxies on loopback stand before the store, the
replicas and the seeds. What callers and replicas see is checked:

  whole     a success is one replica's whole answer to this request, or the
            greatest records of the parts that it names
  once      a request that must not be repeated runs at most once
  refused   what was refused with 429 or 503 has not run and never does
  allowed   a request runs only at a service of its route, at the replica meant
  extra     repeats stay within the budget in every window
  recover   after the last fault nearly all requests are served
  ends      no daemon ends by itself; SIGTERM ends with status 0

Usage: soak.py DAEMON [--seed N] [--runs N] [--seconds S] [--daemons N]
               [--logs DIR]
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
import sys
import tempfile
import time

ZONES = 3
SEEDS = 2
SHARDS = 4
REPLICAS = 3  # of each service
TOP_K = 5
RATIO, SLACK, WINDOW_S = 0.2, 30, 10
UNSAFE_SERVICE = "orders"


def records(request_id, service):
    """The 16-byte records that a shard holds for a request."""
    seed = f"{request_id}/{service}".encode()
    return [hashlib.md5(seed + bytes([i])).digest() for i in range(8)]


class Store:
    """The platform's store: ranges, watches and a short history."""

    def __init__(self):
        self.items, self.history, self.revision = {}, [], 1
        self.oldest = 0
        self.changed = asyncio.Event()
        self.refuse = False

    def put(self, key, value):
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
        self.changed.set()
        self.changed = asyncio.Event()

    def compact(self):
        self.history, self.oldest = [], self.revision

    async def answer(self, target):
        if self.refuse:
            return 503, b""
        words = dict(w.split("=", 1) for w in target.split("?")[1].split("&"))
        if "kv-range" in target:
            body = {"items": list(self.items.values()), "hasMore": False,
                    "storeRevision": self.revision}
            return 200, json.dumps(body).encode()
        after = int(words["after"])
        if after < self.oldest:
            return 410, b""
        if after >= self.revision:
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       int(words["waitMs"]) / 1000)
            except asyncio.TimeoutError:
                pass
        events = [e for e in self.history if e["revision"] > after]
        body = {"events": events, "storeRevision": self.revision}
        return 200, json.dumps(body).encode()


async def read_message(reader):
    """Return (first line, lower-case headers, body), or None at the end."""
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
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{k}: {v}" for k, v in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Replica:
    """One replica; its faults are set from outside."""

    def __init__(self, world, service, port):
        self.world, self.service, self.port = world, service, port
        self.id = f"i-{service}-{port}-{world.random.randrange(10**6)}"
        self.trouble, self.pause_until = None, 0
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1",
                                                 self.port)
        self.register("ready")

    def register(self, state):
        self.world.sequence += 1
        self.world.store.put(f"servers/{self.id}", {
            "service": self.service, "zone": self.world.zone_of(self.port),
            "address": f"127.0.0.1:{self.world.proxy_port(self.port)}",
            "version": "v1", "slots": 4, "state": state, "warmupLeftMs": 0,
            "sequence": self.world.sequence, "born": 1})

    async def serve(self, reader, writer):
        while True:
            message = await read_message(reader)
            if not message:
                break
            try:
                if not await self.answer(message, writer):
                    break
                await writer.drain()
            except ConnectionError:
                break
        writer.close()

    async def answer(self, message, writer):
        """Return whether the connection goes on."""
        line, headers, body = message
        world, request_id = self.world, headers.get("request-id", "")
        trouble = self.trouble if world.random.random() < 0.5 else None
        world.arrivals[self.service].append((time.monotonic(), request_id))
        if headers.get("target-instance") != self.id:
            writer.write(answer_bytes(421, {"Instance-Id": self.id}, b""))
            return True
        if trouble == "shed":
            writer.write(answer_bytes(503, {"Not-Executed": "1",
                                            "Request-Id": request_id}, b""))
            return True
        path = line.split()[1]
        world.ran(request_id, self.service, path)
        await asyncio.sleep(max(self.pause_until - time.monotonic(), 0) +
                            world.random.uniform(0.001, 0.01))
        if trouble == "lose":
            writer.transport.abort()
            return False
        stamp = f"{request_id}.{self.service}.{self.id}"
        if self.service == UNSAFE_SERVICE:
            out = f"{stamp}:{body.decode('latin1')}".encode()
        else:
            out = b"".join(world.random.sample(
                records(request_id, self.service), 8)) + b"rest"
        whole = answer_bytes(200, {"Request-Id": request_id,
                                   "Server-Stamp": stamp}, out)
        if trouble == "cut":
            writer.write(whole[:-3])
            return False
        if trouble == "twice":
            whole += whole
        if trouble == "junk":
            whole += b"junk"
        writer.write(whole)
        return True


class Proxy:
    """Passes bytes on, or not."""

    def __init__(self, port, target):
        self.port, self.target, self.mode = port, target, "pass"
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1",
                                                 self.port)

    async def pump(self, reader, writer, forth):
        try:
            while data := await reader.read(65536):
                if self.mode == "slow":
                    await asyncio.sleep(0.05)
                while self.mode == "silent" or (self.mode == "one-way" and
                                                not forth):
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()

    async def serve(self, reader, writer):
        try:
            there, here = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        both = {writer, here}
        self.writers |= both
        await asyncio.gather(self.pump(reader, here, True),
                             self.pump(there, writer, False))
        self.writers -= both

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()


class Daemon:
    """One daemon process, under signals."""

    def __init__(self, world, number):
        self.world, self.number = world, number
        self.ip = f"127.0.0.{10 + number}"
        self.process, self.meant_to_end = None, False
        self.path = os.path.join(world.folder, f"settings-{number}.json")
        self.log = open(os.path.join(world.folder, f"daemon-{number}.log"),
                        "ab")
        base = world.base
        with open(self.path, "w", encoding="utf8") as out:
            json.dump({
                "instance": f"d{number}", "zone": world.zone_of(number),
                "zones": {z: z for z in world.zones},
                "caller": f"{self.ip}:{base}",
                "ready": f"{self.ip}:{base + 1}",
                "control": f"{self.ip}:{base + 2}",
                "metrics": f"{self.ip}:{base + 3}",
                "platform": f"127.0.0.1:{base + 5}",
                "seeds": [f"{self.ip}:{base + 2}" if i == number else
                          f"127.0.0.1:{base + 7 + i}" for i in range(SEEDS)],
                "budget_ratio": RATIO, "budget_slack": SLACK,
                "budget_window_s": WINDOW_S}, out)

    async def start(self):
        self.meant_to_end = False
        self.process = await asyncio.create_subprocess_exec(
            self.world.program, "--forward", self.path, stdout=self.log,
            stderr=self.log)
        asyncio.create_task(self.watch(self.process))

    async def watch(self, process):
        status = await process.wait()
        if not self.meant_to_end:
            self.world.breach("ends", f"daemon {self.number} ended by itself: "
                              f"{status}")
        elif status not in (0, -signal.SIGKILL):
            self.world.breach("ends", f"daemon {self.number}: {status}")

    def send(self, number):
        try:
            self.process.send_signal(number)
        except ProcessLookupError:
            pass

    async def end(self, number):
        self.meant_to_end = True
        self.send(signal.SIGCONT)
        self.send(number)
        await self.process.wait()


class World:
    def __init__(self, program, seed, seconds, folder, daemons=3):
        self.program, self.seed, self.seconds = program, seed, seconds
        self.folder, self.n_daemons = folder, daemons
        self.random = random.Random(seed)
        # Below the range that the kernel gives to outgoing connections.
        self.base = 12000 + (os.getpid() % 80) * 200
        self.zones = [f"z{i}" for i in range(ZONES)]
        self.store, self.sequence, self.version = Store(), 0, 0
        self.breaches, self.requests = [], []
        self.arrivals = collections.defaultdict(list)
        self.runs = collections.defaultdict(list)  # id to services
        self.shards = [f"shard{i}" for i in range(SHARDS)]
        self.replicas, self.proxies, self.seed_proxies = [], [], []
        self.stopping, self.servers = False, []

    def breach(self, rule, text):
        self.breaches.append(f"{rule}: {text}")

    def zone_of(self, number):
        return self.zones[number % ZONES]

    def proxy_port(self, port):
        return port + 80

    def ran(self, request_id, service, path):
        allowed = self.shards if path.startswith("/all/") else [UNSAFE_SERVICE]
        if service not in allowed:
            self.breach("allowed", f"{request_id} {path} ran at {service}")
        self.runs[request_id].append(service)

    def publish(self):
        self.version += self.random.randint(1, 3)
        route = {"host": "h", "timeoutMs": 2000, "targetLatencyMs": 200,
                 "maxAttempts": 2, "priority": 1}
        routes = [dict(route, name="all", prefix="/all/", topK=TOP_K,
                       routeType="idempotent", fanout=self.shards,
                       minSuccessShare=0.5),
                  dict(route, name="once", prefix="/once/",
                       routeType="non_idempotent", service=UNSAFE_SERVICE)]
        services = [{"name": s, "maxConnections": 60, "warmupPerS": 0}
                    for s in self.shards + [UNSAFE_SERVICE]]
        self.store.put("op/config", {"version": self.version, "routes": routes,
                                     "services": services})

    async def serve_store(self, reader, writer):
        try:
            while message := await read_message(reader):
                status, body = await self.store.answer(message[0].split()[1])
                writer.write(answer_bytes(status, {}, body))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass  # the daemon went away, or the run is over
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
            for _ in range(REPLICAS):
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
        self.daemons = [Daemon(self, i) for i in range(self.n_daemons)]
        for daemon in self.daemons:
            await daemon.start()
        await asyncio.sleep(1)

    # ---- callers ----

    async def ask(self, reader, writer, unsafe):
        request_id = f"{self.random.getrandbits(64):016x}"
        body = os.urandom(8).hex() if unsafe else ""
        method, path = ("POST", "/once/x") if unsafe else ("GET", "/all/x")
        entry = {"id": request_id, "unsafe": unsafe, "status": None,
                 "at": time.monotonic()}
        self.requests.append(entry)
        writer.write((f"{method} {path} HTTP/1.1\r\nHost: h\r\n"
                      f"Request-Id: {request_id}\r\nDeadline-Ms: 2000\r\n"
                      f"Content-Length: {len(body)}\r\n\r\n{body}").encode())
        message = await asyncio.wait_for(read_message(reader), 6)
        if not message:
            return False
        entry["status"] = int(message[0].split()[1])
        if 200 <= entry["status"] < 300:
            self.check_success(entry, message, body)
        return message[1].get("connection") != "close"

    def check_success(self, entry, message, sent):
        _, headers, body = message
        request_id = entry["id"]
        if headers.get("request-id") != request_id:
            self.breach("whole", f"{request_id}: another id")
        if entry["unsafe"]:
            stamp = headers.get("server-stamp", "")
            if body.decode("latin1") != f"{stamp}:{sent}" or \
                    not stamp.startswith(request_id):
                self.breach("whole", f"{request_id}: not its answer")
            return
        stamps = headers.get("part-stamps", "").split(", ")
        services = [s.split(".")[1] for s in stamps if "." in s]
        missing = int(headers.get("missing-parts", 0))
        if any(not s.startswith(request_id) for s in stamps) or \
                len(set(services)) != len(stamps) or \
                len(stamps) + missing != SHARDS or \
                len(stamps) < SHARDS / 2:
            self.breach("whole", f"{request_id}: parts {stamps} {missing}")
        best = sorted((r for s in services for r in records(request_id, s)),
                      reverse=True)[:TOP_K]
        if body != b"".join(best):
            self.breach("whole", f"{request_id}: not the greatest records")

    async def call(self):
        """One caller: keeps its connection as long as it may."""
        while not self.stopping:
            ip = self.random.choice(self.daemons).ip
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(ip, self.base), 1)
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.05)
                continue
            try:
                while not self.stopping:
                    unsafe = self.random.random() < 0.4
                    if not await self.ask(reader, writer, unsafe):
                        break
                    await asyncio.sleep(self.random.expovariate(20))
                    if self.random.random() < 0.02:
                        break
            except (ConnectionError, asyncio.TimeoutError):
                pass
            writer.close()

    # ---- faults ----

    async def fault(self):
        pick, span = self.random, self.random.uniform(0.2, 1.5)
        daemon, replica = pick.choice(self.daemons), pick.choice(self.replicas)
        proxy = pick.choice(self.proxies + [self.store_proxy] * 4 +
                            self.seed_proxies * 3)
        kind = pick.choice(["mode", "mode", "reset", "stop", "kill", "term",
                            "hup", "trouble", "trouble", "pause", "crash",
                            "drain", "config", "compact", "refuse"])
        if kind == "mode":
            proxy.mode = pick.choice(["slow", "silent", "one-way"])
            await asyncio.sleep(span)
            proxy.mode = "pass"
        elif kind == "reset":
            proxy.reset()
        elif kind == "stop":
            daemon.send(signal.SIGSTOP)
            await asyncio.sleep(span)
            daemon.send(signal.SIGCONT)
        elif kind in ("kill", "term"):
            if not daemon.meant_to_end:
                await daemon.end(signal.SIGKILL if kind == "kill" else
                                 signal.SIGTERM)
                await daemon.start()
        elif kind == "hup":
            daemon.send(signal.SIGHUP)
        elif kind == "trouble":
            replica.trouble = pick.choice(["shed", "lose", "cut", "twice",
                                           "junk"])
            await asyncio.sleep(span)
            replica.trouble = None
        elif kind == "pause":
            replica.pause_until = time.monotonic() + span
        elif kind in ("crash", "drain"):
            await self.replace(replica, kind == "drain")
        elif kind == "config":
            self.publish()
        elif kind == "compact":
            self.store.compact()
        elif kind == "refuse":
            self.store.refuse = True
            await asyncio.sleep(span)
            self.store.refuse = False

    async def replace(self, old, drain):
        """The address goes to a new replica, at times of another service."""
        if old not in self.replicas:
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

    # ---- checks over the whole run ----

    def check_runs(self):
        for entry in self.requests:
            ran = len(self.runs[entry["id"]])
            if entry["unsafe"] and ran > 1:
                self.breach("once", f"{entry['id']} ran {ran} times")
            if entry["unsafe"] and ran and entry["status"] in (408, 429, 503):
                self.breach("refused", f"{entry['id']} got {entry['status']}")

    def check_budget(self):
        for service, arrivals in self.arrivals.items():
            seen, first, extra = set(), [], []
            for at, request_id in arrivals:
                (extra if request_id in seen else first).append(at)
                seen.add(request_id)
            for end in extra:
                n_extra = sum(end - WINDOW_S < t <= end for t in extra)
                n_first = sum(end - WINDOW_S < t <= end for t in first)
                if n_extra > RATIO * n_first + SLACK:
                    self.breach("extra", f"{service}: {n_extra} beside "
                                f"{n_first}")
                    break

    def check_recovery(self, since):
        late = [r for r in self.requests if r["at"] > since and
                r["status"] is not None]
        good = sum(200 <= r["status"] < 300 for r in late)
        if not late or good < 0.9 * len(late):
            self.breach("recover", f"{good} of {len(late)} served")

    async def play(self):
        await self.start()
        callers = [asyncio.create_task(self.call())
                   for _ in range(max(8, self.n_daemons))]
        end, faults = time.monotonic() + self.seconds, []
        while time.monotonic() < end:
            faults.append(asyncio.create_task(self.fault()))
            await asyncio.sleep(self.random.expovariate(3))
        await asyncio.gather(*faults)
        await asyncio.sleep(4)  # a list entry and a picture are due by then
        healed = time.monotonic()
        await asyncio.sleep(2)
        self.stopping = True
        await asyncio.gather(*callers)
        await asyncio.gather(*(d.end(signal.SIGTERM) for d in self.daemons))
        for owner in self.replicas + self.proxies + self.seed_proxies + \
                [self.store_proxy]:
            self.servers.append(owner.server)
        for server in self.servers:
            server.close()
        self.check_runs()
        self.check_budget()
        self.check_recovery(healed)
        return len(self.requests)


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("program")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--daemons", type=int, default=3)
    parser.add_argument("--logs", default=None)
    args = parser.parse_args()
    failed = 0
    for seed in range(args.seed, args.seed + args.runs):
        folder = args.logs or tempfile.mkdtemp(prefix="soak-")
        os.makedirs(folder, exist_ok=True)
        world = World(args.program, seed, args.seconds, folder,
                      args.daemons)
        asked = asyncio.run(world.play())
        served = sum(r["status"] == 200 for r in world.requests)
        print(f"seed {seed}: {asked} requests, {served} served, "
              f"{len(world.breaches)} breaches", flush=True)
        for text in world.breaches[:10]:
            print(f"  BREACH {text}; logs in {folder}", flush=True)
        failed += bool(world.breaches)
    print(f"{args.runs - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()

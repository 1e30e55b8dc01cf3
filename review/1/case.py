"""A replica crashes while it sends an answer without a length."""
import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standin  # noqa: E402
sys.path.insert(0, FOLDER)
import replica as replicas  # noqa: E402

ZONES = {"sierra-a": "sierra", "costa-a": "costa"}
REPLICAS = 7  # one of them crashes: a share of 0.143
BODY = b"x" * 250_000  # maxBodyBytes is 262,144
CLIENTS = 20
CRASHES = 2
CALM_S = 2.0  # before each crash
DOWN_S = 4.5
LAPSE_S = 3.6  # three heartbeat intervals


async def start_replica(case, number):
    child = await asyncio.create_subprocess_exec(
        sys.executable, os.path.join(FOLDER, "replica.py"), f"i-{number}",
        stdout=asyncio.subprocess.PIPE)
    case.children.append(child)
    port = int((await child.stdout.readline()).split()[1])
    case.store.put(f"servers/i-{number}", {
        "service": "pedidos", "address": f"127.0.0.1:{port}",
        "zone": list(ZONES)[number % len(ZONES)], "version": "v1",
        "slots": replicas.SLOTS, "state": "ready", "warmupLeftMs": 0,
        "sequence": 1, "born": int(time.time() * 1000)})

    async def copy_runs():
        while line := await child.stdout.readline():
            case.record("run", id=line.split()[1].decode(),
                        replica=f"i-{number}")
    case.tasks.append(asyncio.create_task(copy_runs()))
    return child


async def client(case, number, broken):
    while not case.ending:
        request_id, status, headers, body = await case.send(
            case.daemons[number % len(case.daemons)], "POST", "/pedido/1",
            BODY, deadline_ms=2500)
        if 200 <= status < 300:
            stamp = headers.get("server-stamp", "-")
            whole = replicas.whole_body(request_id, stamp.split(".")[-1])
            if not stamp.startswith(request_id) or body != whole:
                broken.append(f"MIXED: {request_id}: {status} with "
                              f"{len(body)} bytes of {len(whole)}")
        await asyncio.sleep(0.05)


async def crash(case, number, child):
    case.record("crash", replica=f"i-{number}")
    child.send_signal(signal.SIGKILL)
    await asyncio.sleep(LAPSE_S)
    case.store.put(f"servers/i-{number}", None)
    await asyncio.sleep(DOWN_S - LAPSE_S)
    await start_replica(case, number + REPLICAS)


async def play(case):
    case.store.put("op/config", {
        "version": 7, "routes": [{
            "name": "pedido", "host": "shop.example", "prefix": "/pedido/",
            "routeType": "non_idempotent", "timeoutMs": 2500,
            "targetLatencyMs": 500, "priority": 1, "maxAttempts": 2,
            "service": "pedidos", "allowedRegions": []}],
        "services": [{"name": "pedidos", "healthPath": "/health",
                      "maxConnections": 31, "protocol": "h1", "tls": False,
                      "warmupS": 3.0, "warmupPerS": 0.0}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
    case.ending = False
    children = [await start_replica(case, i) for i in range(REPLICAS)]
    await case.start_daemons(list(ZONES), ZONES)
    await asyncio.sleep(1)
    broken = []
    clients = [asyncio.create_task(client(case, i, broken))
               for i in range(CLIENTS)]
    for number in range(CRASHES):
        await asyncio.sleep(CALM_S)
        if case.trouble:
            await crash(case, number, children[number])
        else:
            await asyncio.sleep(DOWN_S)
    case.ending = True
    await asyncio.gather(*clients)
    case.record("result", wrong_successes=len(broken))
    return broken


standin.main(FOLDER, play)

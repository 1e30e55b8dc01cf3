"""A replica that fails part of its requests answers 429 without Not-Executed
to orders that it has run."""
import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standin  # noqa: E402

ZONES = {"sierra-a": "sierra", "costa-a": "costa"}
PROMISES = (408, 421, 429, 503)  # not run, and never will be
REPLICAS = 7
FAIL_SHARE = 0.4  # of the requests of the one replica that fails
CLIENTS = 4
PLAY_S = 8.0
TROUBLE_AT_S, TROUBLE_FOR_S = 1.0, 6.0
RETRIES = 1
RETRY_MAX_S = 2.5 / 3  # a third of the time that is left, at most


async def client(case, number, end):
    """Send orders. Each is sent once more after a promise that it has not run,
    as a client attempt of its own."""
    n = 0
    while time.monotonic() < end:
        n += 1
        order = f"order-{number}-{n}".encode()
        for _ in range(1 + RETRIES):
            daemon = random.choice(case.daemons)
            _, status, headers, _ = await case.send(
                daemon, "POST", "/pedido/1", order, deadline_ms=2500)
            if status not in PROMISES:
                break
            await asyncio.sleep(min(float(headers.get("retry-after", 0)),
                                    RETRY_MAX_S))
        await asyncio.sleep(0.02)


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
    failing = False

    def fail(replica, request_id, body):
        if not failing or replica is not case.replicas[0] or \
                random.random() >= FAIL_SHARE:
            return None
        case.record("failed", id=request_id, replica=replica.id, status=429)
        return standin.answer(429, {
            "Request-Id": request_id,
            "Server-Stamp": replica.stamp(request_id)}, b"too many")

    for i in range(REPLICAS):
        replica = await case.add_replica(
            "pedidos", list(ZONES)[i % 2], f"pedidos-{i}", handle=fail)
        replica.register()
    await case.start_daemons(list(ZONES), ZONES)
    await asyncio.sleep(1)
    end = time.monotonic() + PLAY_S
    clients = [asyncio.create_task(client(case, i, end))
               for i in range(CLIENTS)]
    await asyncio.sleep(TROUBLE_AT_S)
    failing = case.trouble
    await asyncio.sleep(TROUBLE_FOR_S)
    failing = False
    await asyncio.gather(*clients)

    ran = {}
    for replica in case.replicas:
        for _, request_id, body in replica.runs:
            ran.setdefault(request_id, []).append(body)
    orders = {}
    for bodies in ran.values():
        for body in bodies:
            orders[body] = orders.get(body, 0) + 1
    broken = [f"REFUSED: {request_id} has run and was answered {status}"
              for request_id, status in case.answers if status in PROMISES and
              request_id in ran]
    twice = sum(n > 1 for n in orders.values())
    case.record("result", refused_but_run=len(broken), orders_run_twice=twice)
    if broken:
        broken = broken[:3] + [f"REFUSED: {len(broken)} requests in all; "
                               f"{twice} orders ran twice"]
    return broken


standin.main(FOLDER, play)

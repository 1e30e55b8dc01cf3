"""A query over one shard, whose replica fails part of its requests."""
import asyncio
import hashlib
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standin  # noqa: E402

ZONES = {"sierra-a": "sierra", "costa-a": "costa"}
TOP_K = 5
REPLICAS = 7
FAIL_SHARE = 0.4  # of the requests of the one replica that fails
FAIL_STATUS = 404
CLIENTS = 4
PLAY_S = 8.0
TROUBLE_AT_S, TROUBLE_FOR_S = 1.0, 6.0


def records(request_id):
    return [hashlib.md5(f"{request_id}/{i}".encode()).digest()
            for i in range(12)]


async def client(case, end):
    while time.monotonic() < end:
        request_id, status, headers, body = await case.send(
            random.choice(case.daemons), "GET", "/codigo/2f",
            deadline_ms=1500)
        case.results.append((request_id, status, headers, body))
        await asyncio.sleep(0.02)


async def play(case):
    case.results, failed, failing = [], {}, False
    case.store.put("op/config", {
        "version": 7, "routes": [{
            "name": "codigo", "host": "shop.example", "prefix": "/codigo/",
            "routeType": "idempotent", "timeoutMs": 1500,
            "targetLatencyMs": 100, "priority": 2, "maxAttempts": 2,
            "fanout": ["buscador"], "topK": TOP_K, "minSuccessShare": 0.75,
            "allowedRegions": []}],
        "services": [{"name": "buscador", "healthPath": "/health",
                      "maxConnections": 31, "protocol": "h1", "tls": False,
                      "warmupS": 3.0, "warmupPerS": 0.0}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})

    def fail(replica, request_id, body):
        if not failing or replica is not case.replicas[0] or \
                random.random() >= FAIL_SHARE:
            return None
        stamp = replica.stamp(request_id)
        failed[stamp] = FAIL_STATUS
        case.record("failed", id=request_id, replica=replica.id,
                    status=FAIL_STATUS)
        return standin.answer(FAIL_STATUS, {"Request-Id": request_id,
                                            "Server-Stamp": stamp},
                              b"the index is not here")

    for i in range(REPLICAS):
        replica = await case.add_replica(
            "buscador", list(ZONES)[i % 2], f"buscador-{i}", work_s=0.005,
            handle=fail, body=lambda request_id: b"".join(
                records(request_id)))
        replica.register()
    await case.start_daemons(list(ZONES), ZONES)
    await asyncio.sleep(1)
    end = time.monotonic() + PLAY_S
    clients = [asyncio.create_task(client(case, end)) for _ in range(CLIENTS)]
    await asyncio.sleep(TROUBLE_AT_S)
    failing = case.trouble
    await asyncio.sleep(TROUBLE_FOR_S)
    failing = False
    await asyncio.gather(*clients)

    broken = []
    for request_id, status, headers, body in case.results:
        if not 200 <= status < 300:
            continue
        stamps = headers.get("part-stamps", "").split(", ")
        best = b"".join(sorted(records(request_id), reverse=True)[:TOP_K])
        for stamp in stamps:
            if stamp in failed:
                broken.append(f"MIXED: {request_id}: {status} whose part is "
                              f"the replica's answer {failed[stamp]}")
            elif not stamp.startswith(request_id) or body != best:
                broken.append(f"MIXED: {request_id}: {status} with a wrong "
                              f"part or body")
    case.record("result", answers=len(case.results), failed=len(failed),
                success_of_failure=len(broken))
    return broken and broken[:3] + [f"MIXED: {len(broken)} answers of "
                                    f"{len(case.results)} in all"]


standin.main(FOLDER, play)

"""All replicas of a service crash once, while many clients send the same
request on a route that was added later."""
import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standin2 as standin  # noqa: E402

FIRST, LATER = "billing-hub", "owner-desk"
PATHS = {FIRST: "/rany33/2f", LATER: "/miba74/2f"}
REPLICAS_PER_ZONE, CLIENTS_PER_DAEMON = 2, 2
PAUSE_S = (0.1, 0.3)
DOWN_S, LAPSE_S = 4.5, 3.6  # LAPSE_S: three heartbeats without a sign of life
CONTACT_S, JUDGED_S = 5.0, 20.0
LEAST_REQUESTS, LEAST_SHARE = 20, 0.25


def route(service):
    return {"name": f"r-{service}", "host": "tile33.example",
            "prefix": PATHS[service][:-2], "routeType": "idempotent",
            "timeoutMs": 10000, "targetLatencyMs": 1000, "priority": 2,
            "service": service, "maxAttempts": 2, "allowedRegions": []}


def configure(fleet, version, services):
    fleet.configure(version, [route(s) for s in services], [
        {"name": s, "healthPath": "/health", "maxConnections": 42,
         "protocol": "h1", "tls": False, "warmupS": 3.0, "warmupPerS": 0.0}
        for s in PATHS])


class Clients:
    def __init__(self, fleet):
        self.fleet, self.results, self.stopped = fleet, [], False

    async def ask(self, daemon, service, path):
        sent = time.monotonic()
        request_id = self.fleet.new_id()
        status, headers, _ = await standin.ask(
            daemon.ip, daemon.PORTS["caller"], "GET", path,
            {"Host": "tile33.example", "Request-Id": request_id,
             "Deadline-Ms": "10000"}, timeout_s=10)
        self.fleet.record.line(
            f"{daemon.name} answers {request_id} {path}: {status} "
            f"Retry-After {headers.get('retry-after', '-')}")
        self.results.append((sent, service, status))
        return status

    async def run(self, daemon, service):
        while not self.stopped:
            await self.ask(daemon, service, PATHS[service])
            await asyncio.sleep(random.uniform(*PAUSE_S))

    def served(self, service, begin, end):
        statuses = [status for sent, name, status in self.results
                    if name == service and begin <= sent < end]
        return sum(status == 200 for status in statuses), len(statuses)


async def crash(fleet, replicas):
    """Crash the replicas; they are back with new ids after DOWN_S."""
    for replica in replicas:
        await replica.stop()
    fleet.record.say(f"the {len(replicas)} replicas of {LATER} crash")
    await asyncio.sleep(LAPSE_S)
    for replica in replicas:
        fleet.store.put(f"servers/{replica.id}", None)
    await asyncio.sleep(DOWN_S - LAPSE_S)
    for replica in replicas:
        replica.begin_incarnation()
        await replica.start()
    fleet.record.say(f"the replicas of {LATER} are back")


async def main(fleet):
    record = fleet.record
    for service in PATHS:
        for zone in standin.REGION_OF:
            for _ in range(REPLICAS_PER_ZONE):
                replica = standin.Replica(fleet, service, zone, work_s=0.2)
                fleet.replicas.append(replica)
                await replica.start()
    configure(fleet, 3, [FIRST])
    if not await fleet.start_daemons():
        return standin.NOT_RUN
    await asyncio.sleep(2.0)
    configure(fleet, 7, [FIRST, LATER])
    await asyncio.sleep(5.0)
    clients = Clients(fleet)
    begun = time.monotonic()
    tasks = [asyncio.create_task(clients.run(d, s)) for d in fleet.daemons
             for s in PATHS for _ in range(CLIENTS_PER_DAEMON)]
    await asyncio.sleep(5.0)
    good, sent = clients.served(LATER, begun, time.monotonic() - 1)
    record.say(f"calm: {good} of {sent} requests on the later route served")
    if good < 0.95 * sent:
        return standin.NOT_RUN
    if standin.TROUBLE:
        await crash(fleet, [r for r in fleet.replicas if r.service == LATER])
    judged = time.monotonic() + CONTACT_S
    await asyncio.sleep(CONTACT_S + JUDGED_S)
    clients.stopped = True
    await asyncio.gather(*tasks)
    other = [await clients.ask(d, "other", PATHS[LATER] + "0")
             for d in fleet.daemons]

    share = {}
    for service in PATHS:
        good, sent = clients.served(service, judged, judged + JUDGED_S - 1)
        share[service] = good / sent
        enough = sent >= LEAST_REQUESTS
        record.say(f"from {CONTACT_S:g} s after that, {good} of {sent} "
                   f"requests on {service}'s route served")
    record.say(f"another path of the same route then: {other}")
    if not enough:
        return standin.NOT_RUN
    broken = share[LATER] < LEAST_SHARE * share[FIRST]
    return standin.BROKEN if broken else standin.KEPT


standin.run_case(main, HERE)

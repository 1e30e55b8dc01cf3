"""A service is replaced by another one, as an operator does it: a version
moves a route to the new service, the old replicas drain once that version is
due everywhere, and leave. Clients ask every daemon all the while.

Two rules are checked, with the bounds of putul-search:

CONFIG  no request sent later than CONFIG_APPLY_S after the acknowledgement of
        the version runs at the old service
DRAIN   no request reaches an old replica later than DRAIN_S after the store
        has acknowledged that it drains
"""
import asyncio
import random
import time

import standin2 as standin

CONFIG_APPLY_S, DRAIN_S = 4.0, 4.0
SERVES_ON_S = 4.0  # after DRAIN_S, until a replica that drains exits
WATCHED_S = 30.0  # after the acknowledgement of the version
GROWTH_ROUTES = 350
SHARDS = [f"shard{i:02d}" for i in range(10)]
OLD, NEW = "owner-desk", "billing-hub"


def route(name, prefix, **more):
    return dict({"name": name, "host": "tile33.example", "prefix": prefix,
                 "routeType": "idempotent", "timeoutMs": 2500,
                 "targetLatencyMs": 150, "priority": 1, "maxAttempts": 2,
                 "allowedRegions": []}, **more)


class Operator:
    """Writes the configuration; versions increase in uneven steps."""

    def __init__(self, fleet):
        self.fleet, self.version, self.grown = fleet, 0, []
        self.service, self.timeout_ms = OLD, 10000
        self.acked = 0

    def write(self):
        routes = [route("ledger", "/miba74/", service=self.service,
                        timeoutMs=self.timeout_ms, targetLatencyMs=1000)]
        services = [{"name": n, "healthPath": "/health", "maxConnections": 42,
                     "protocol": "h1", "tls": False, "warmupS": 3.0,
                     "warmupPerS": 0.0}
                    for n in [OLD, NEW] + SHARDS]
        self.version += random.randint(1, 4)
        self.fleet.configure(self.version, routes + self.grown, services)
        self.acked = time.monotonic()
        self.fleet.record.line(f"version {self.version} acknowledged, "
                               f"{len(self.grown) + 1} routes")

    def grow(self):
        n = len(self.grown)
        self.grown += [
            route(f"r-{i:07x}", f"/nono{i}/", fanout=SHARDS, topK=50,
                  minSuccessShare=0.89) for i in range(n, n + GROWTH_ROUTES)]
        self.write()


class Clients:
    """Each daemon gets a request every 0.25 s, on a new connection."""

    def __init__(self, fleet):
        self.fleet, self.sent_at, self.results = fleet, {}, []
        self.stopped = False

    async def one(self, daemon):
        request_id = self.fleet.new_id()
        self.sent_at[request_id] = time.monotonic()
        status, _, _ = await standin.ask(
            daemon.ip, daemon.PORTS["caller"], "GET", "/miba74/2f",
            {"Host": "tile33.example", "Request-Id": request_id,
             "Deadline-Ms": "10000"}, timeout_s=10)
        self.results.append((self.sent_at[request_id], status))
        self.fleet.record.line(f"{daemon.name} answers {request_id}: {status}")

    async def run(self, daemon):
        tasks = []
        while not self.stopped:
            tasks.append(asyncio.create_task(self.one(daemon)))
            await asyncio.sleep(0.25)
        await asyncio.gather(*tasks)

    def served(self, begin, end):
        statuses = [s for at, s in self.results if begin <= at < end]
        return sum(s == 200 for s in statuses), len(statuses)


async def replace_service(fleet, growth_steps, disrupt):
    """Run the case; return its result.

    growth_steps: how often the configuration grows by GROWTH_ROUTES first.
    disrupt: coroutine function of fleet and operator, awaited just before the
    service is replaced.
    """
    record = fleet.record
    for service in [OLD, NEW]:
        for zone in standin.REGION_OF:
            replica = standin.Replica(fleet, service, zone, work_s=0.03)
            fleet.replicas.append(replica)
            await replica.start()
    operator = Operator(fleet)
    operator.write()
    if not await fleet.start_daemons():
        return standin.NOT_RUN
    clients = Clients(fleet)
    tasks = [asyncio.create_task(clients.run(d)) for d in fleet.daemons]
    for _ in range(growth_steps):
        await asyncio.sleep(1.0)
        operator.grow()
    await asyncio.sleep(6.0)
    calm = time.monotonic()
    good, sent = clients.served(calm - 5, calm - 1)
    record.say(f"calm: {good} of {sent} requests served")
    if good < 0.95 * sent:
        return standin.NOT_RUN

    if standin.TROUBLE:
        await disrupt(fleet, operator)
    operator.service = NEW
    operator.write()
    moved = operator.acked
    record.say(f"version {operator.version} moves the route to "
               f"{NEW}")

    await asyncio.sleep(moved + CONFIG_APPLY_S + 0.5 - time.monotonic())
    old = [r for r in fleet.replicas if r.service == OLD]
    for replica in old:
        replica.state = "draining"
        replica.register()
    drained = time.monotonic()
    record.say(f"the replicas of {OLD} report draining")
    await asyncio.sleep(DRAIN_S + SERVES_ON_S)
    for replica in old:
        fleet.store.put(f"servers/{replica.id}", None)
        await replica.stop()
    gone = time.monotonic()
    record.say(f"the replicas of {OLD} have left")
    await asyncio.sleep(moved + WATCHED_S - time.monotonic())
    clients.stopped = True
    await asyncio.gather(*tasks)

    at_old = [(at, clients.sent_at[i]) for at, r, i, _ in fleet.arrivals
              if r.service == OLD]
    late_config = [s for _, s in at_old if s > moved + CONFIG_APPLY_S]
    late_drain = [at for at, _ in at_old if at > drained + DRAIN_S]
    good, sent = clients.served(gone, moved + WATCHED_S - 1)
    record.say(f"CONFIG: {len(late_config)} requests sent later than "
               f"{CONFIG_APPLY_S} s after the acknowledgement ran at the old "
               "service" + (f", the last one sent "
                            f"{max(late_config) - moved:.1f} s after it"
                            if late_config else ""))
    record.say(f"DRAIN: {len(late_drain)} requests reached a replica later "
               f"than {DRAIN_S} s after it had reported draining")
    record.say(f"after the old replicas had left, {good} of {sent} requests "
               "were served")
    return standin.BROKEN if late_config or late_drain else standin.KEPT

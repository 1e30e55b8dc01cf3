#!/usr/bin/env python3
"""Processor time of a forwarded part and of a whole query, without faults.

Drives real daemons with the soak's store, replicas and callers and reads their
processor time. Usage: forward_cost.py DAEMON [SECONDS]
"""
import asyncio
import os
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "test",
                                "soak"))
import soak  # noqa: E402


def processor_s(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def measure(program, seconds):
    with tempfile.TemporaryDirectory() as folder:
        world = soak.World(program, 1, seconds, folder)
        await world.start()
        pids = [d.process.pid for d in world.daemons]
        before = [processor_s(p) for p in pids]
        callers = [asyncio.create_task(world.call()) for _ in range(24)]
        began = time.monotonic()
        await asyncio.sleep(seconds)
        spent = time.monotonic() - began
        used = sum(processor_s(p) for p in pids) - sum(before)
        parts = sum(len(a) for a in world.arrivals.values())
        asked = len(world.requests)
        world.stopping = True
        await asyncio.gather(*callers)
        for daemon in world.daemons:
            await daemon.end(soak.signal.SIGTERM)
    print(f"{asked / spent:.0f} requests/s, {parts / spent:.0f} parts/s, "
          f"{used / parts * 1e6:.0f} us of processor a part, "
          f"{used / asked * 1e6:.0f} us a request")


if __name__ == "__main__":
    asyncio.run(measure(sys.argv[1], float(sys.argv[2])
                        if len(sys.argv) > 2 else 10))

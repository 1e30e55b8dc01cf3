#!/usr/bin/env python3
"""CPU time per forwarded part and per request, without faults.

Runs real daemons against the simulated store, replicas and callers of the soak
test and reads the daemons' CPU time from /proc. Prints rates and CPU time in
microseconds.

Usage: forward_cost.py DAEMON [SECONDS]
"""
import asyncio
import os
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "test",
                                "soak"))
import soak  # noqa: E402


def cpu_seconds(pid):
    """Return the user and system CPU time of a process in seconds."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def measure(program, seconds):
    with tempfile.TemporaryDirectory() as directory:
        testbed = soak.Testbed(program, 1, seconds, directory)
        await testbed.start()
        pids = [d.process.pid for d in testbed.daemons]
        before = [cpu_seconds(p) for p in pids]
        callers = [asyncio.create_task(testbed.run_caller())
                   for _ in range(24)]
        start = time.monotonic()
        await asyncio.sleep(seconds)
        elapsed = time.monotonic() - start
        cpu_used = sum(cpu_seconds(p) for p in pids) - sum(before)
        parts = sum(len(a) for a in testbed.arrivals.values())
        requests = len(testbed.requests)
        testbed.stopping = True
        await asyncio.gather(*callers)
        for daemon in testbed.daemons:
            await daemon.stop(soak.signal.SIGTERM)
    print(f"{requests / elapsed:.0f} requests/s, "
          f"{parts / elapsed:.0f} parts/s, "
          f"{cpu_used / parts * 1e6:.0f} us of CPU time per part, "
          f"{cpu_used / requests * 1e6:.0f} us per request")


if __name__ == "__main__":
    asyncio.run(measure(sys.argv[1], float(sys.argv[2])
                        if len(sys.argv) > 2 else 10))

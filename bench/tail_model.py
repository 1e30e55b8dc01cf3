#!/usr/bin/env python3
"""Model of the slowest part of a query, for comparison with a played day.

Draws queries of N parts from the figures of a deployment: log-normal work with a
tail, regular pauses, distances, the time to open a connection, and the link of the
daemon, over which the parts arrive one after the other. A part that is late is sent
once more, to another region. Prints for each way of sending them the median and the
99th percentile of the whole query, and the share that is whole in time.

The ways: "none" sends no second request; "late" hedges what is still open a short
time after the others; "known" does not send to a replica that is about to pause, but
to another region at once; "kept" is "late" with a connection kept to each replica of
the other regions; "perfect" is "known" and "kept" together.
"""
import argparse
import random
import statistics

WORK_SPREAD = 0.35  # of the logarithm
TAIL_SHARE = 0.01
TAIL_FACTOR = 5.0
LATE_SHARE = 0.5  # as in src/libroute/pace.c
MARGIN_MS = 14.0  # as FORWARD_ANSWER_MARGIN_US
HEAD_BYTES = 350  # of an answer


def replica_ms(args):
    """Time that a replica takes for a part, with a pause it may be in."""
    work = random.lognormvariate(0, WORK_SPREAD) * args.work
    if random.random() < TAIL_SHARE:
        work *= TAIL_FACTOR
    phase = random.random() * args.period
    if phase < args.pause:
        return work + args.pause - phase, True
    return work, False


def far_ms(args, kept):
    """Time of a part that is sent to another region."""
    connect = 0 if kept else args.far + args.connect
    return connect + args.far + replica_ms(args)[0]


def query_ms(args, way):
    """Time until the last part of a query is there."""
    wire = (args.bytes + HEAD_BYTES) * 8 / args.link_mbps / 1000
    times = []
    for i in range(args.parts):
        own, paused = replica_ms(args)
        if paused and way in ("known", "perfect"):
            own = far_ms(args, way == "perfect") - args.near
        times.append(args.near + own + (i + 1) * wire)
    times.sort()
    if way == "none":
        return times[-1]
    half = times[(len(times) + 1) // 2 - 1]
    most = times[(len(times) * 9 + 9) // 10 - 1]
    late = most + LATE_SHARE * (most - half) + args.near
    kept = way in ("kept", "perfect")
    return max(t if t <= late else min(t, late + far_ms(args, kept)) for t in times)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--parts", type=int, nargs="+",
                        default=[10, 15, 36, 54, 90, 135])
    for name, value, text in (
            ("work", 5.0, "median work of a part, ms"),
            ("aim", 100.0, "time within which a query is to be answered, ms"),
            ("bytes", 100, "bytes of a part"),
            ("pause", 200.0, "length of a pause, ms"),
            ("period", 4500.0, "time between two pauses, ms"),
            ("near", 2.0, "round trip in the region, ms"),
            ("far", 24.0, "round trip to another region, ms"),
            ("connect", 6.0, "time of a replica to accept a connection, ms"),
            ("link-mbps", 50.0, "link of the daemon"),
            ("queries", 4000, "queries drawn for each line")):
        parser.add_argument("--" + name, type=type(value), default=value, help=text)
    args = parser.parse_args()
    sizes = args.parts
    random.seed(1)
    print("parts  way      median ms   p99 ms   whole in time")
    for args.parts in sizes:
        for way in ("none", "late", "known", "kept", "perfect"):
            times = sorted(query_ms(args, way) for _ in range(args.queries))
            whole = sum(t <= args.aim - MARGIN_MS for t in times) / len(times)
            print(f"{args.parts:5}  {way:8} {statistics.median(times):9.1f} "
                  f"{times[int(len(times) * 0.99)]:9.1f} {whole:12.3f}")


if __name__ == "__main__":
    main()

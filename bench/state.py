"""Measures a state group of three members with real files.

usage: PYTHONPATH=src python bench/state.py [MEASURE ...]
"""

from __future__ import annotations

import statistics
import sys
import threading
import time
from typing import TYPE_CHECKING, Final

from hdrh.histogram import HdrHistogram
from state_cluster import Cluster, start_cluster

from tanagerturn.coordination.groups import CONTROL_GROUP
from tanagerturn.schema import coordination_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Callable

RUNS: Final = 3
CALLERS: Final = 16
COMMITS_S: Final = 10.0
VALUE_BYTES: Final = 512
PACED_PER_S: Final = 50
PACED_S: Final = 10.0
CATCH_UP_CHANGES: Final = 5000
SLOPE_COMMITS: Final = 4000
SIZE_KEYS: Final = 20_000
TIMEOUT_S: Final = 10.0


def put(cluster: Cluster, key: str) -> bool:
    """Commit one key."""
    change = pb.Put(key=key, value=b"v" * VALUE_BYTES)
    command = pb.Command(transaction=pb.Transaction(puts=[change]))
    return cluster.client.propose(CONTROL_GROUP, command, TIMEOUT_S).is_ok()


def put_many(cluster: Cluster, count: int, callers: int = CALLERS) -> None:
    """Commit many keys with several callers."""

    def run(start: int) -> None:
        for number in range(start, count, callers):
            assert put(cluster, f"key/{number:08d}")

    threads = [threading.Thread(target=run, args=(n,)) for n in range(callers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def commits(cluster: Cluster) -> float:
    """Return durable commits a second with 16 callers."""
    counts = [0] * CALLERS
    end_s = time.monotonic() + COMMITS_S

    def run(caller: int) -> None:
        while time.monotonic() < end_s:
            counts[caller] += put(cluster, f"caller/{caller}")

    threads = [threading.Thread(target=run, args=(n,)) for n in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sum(counts) / COMMITS_S


def latency(cluster: Cluster) -> float:
    """Return the 95th percentile in ms of commits at 50 a second."""
    histogram = HdrHistogram(1, 60_000_000, 3)
    start_s = time.monotonic()
    threads = []

    def run(number: int) -> None:
        due_s = start_s + number / PACED_PER_S
        assert put(cluster, f"paced/{number % 100}")
        histogram.record_value(int((time.monotonic() - due_s) * 1e6))

    for number in range(int(PACED_PER_S * PACED_S)):
        due_s = start_s + number / PACED_PER_S
        time.sleep(max(0.0, due_s - time.monotonic()))
        threads.append(threading.Thread(target=run, args=(number,)))
        threads[-1].start()
    for thread in threads:
        thread.join()
    return float(histogram.get_value_at_percentile(95)) / 1000


def loss(cluster: Cluster) -> float:
    """Return seconds from the leader's end to the next commit."""
    leader = cluster.leader()
    put(cluster, "before")
    start_s = time.monotonic()
    cluster.kill(leader)
    assert put(cluster, "after")
    taken_s = time.monotonic() - start_s
    cluster.start(leader)
    catch_up_of(cluster, leader)
    return taken_s


def catchup(cluster: Cluster) -> float:
    """Return seconds from a member's start until it has 5,000 missed changes."""
    follower = (cluster.leader() + 1) % len(cluster.ports)
    cluster.kill(follower)
    put_many(cluster, CATCH_UP_CHANGES)
    start_s = time.monotonic()
    cluster.start(follower)
    catch_up_of(cluster, follower)
    return time.monotonic() - start_s


def catch_up_of(cluster: Cluster, number: int) -> None:
    """Wait until a member has applied what the leader had committed."""
    leader = cluster.status(cluster.leader())
    assert leader is not None
    while True:
        status = cluster.status(number)
        if status is not None and status.applied_index >= leader.commit_index:
            return
        time.sleep(0.005)


def slopes(cluster: Cluster) -> float:
    """Return the leader's processor time in ms a commit; print the others."""
    leader = cluster.leader()
    others = [n for n in cluster.processes if n != leader]
    cpu_s = {n: cluster.cpu_s(n) for n in cluster.processes}
    sent = {n: cluster.sent_bytes(n) for n in cluster.processes}
    put_many(cluster, SLOPE_COMMITS)
    spent_ms = {n: (cluster.cpu_s(n) - cpu_s[n]) * 1000 for n in cpu_s}
    bytes_each = {n: (cluster.sent_bytes(n) - sent[n]) / SLOPE_COMMITS for n in cpu_s}
    follower_ms = statistics.mean(spent_ms[n] for n in others) / SLOPE_COMMITS
    follower_bytes = statistics.mean(bytes_each[n] for n in others)
    print(
        f"  a commit of {VALUE_BYTES} bytes: leader sends {bytes_each[leader]:.0f} "
        f"bytes, a follower {follower_bytes:.0f} bytes in {follower_ms:.2f} ms"
    )
    return spent_ms[leader] / SLOPE_COMMITS


def memory(cluster: Cluster) -> float:
    """Return the largest member's resident memory in MiB with 20,000 keys."""
    idle = max(cluster.rss_mib(n) for n in cluster.processes)
    before_s = [cluster.cpu_s(n) for n in cluster.processes]
    time.sleep(5)
    spent = [cluster.cpu_s(n) - b for n, b in enumerate(before_s)]
    print(f"  idle: {idle:.1f} MiB, {max(spent) / 5:.1%} of a core")
    put_many(cluster, SIZE_KEYS)
    return max(cluster.rss_mib(n) for n in cluster.processes)


MEASURES: Final[dict[str, tuple[Callable[[Cluster], float], str]]] = {
    "commits": (commits, "commits/s with 16 callers (target 500)"),
    "latency": (latency, "ms at the 95th percentile at 50/s (target 10)"),
    "loss": (loss, "s from leader loss to next commit (target 2)"),
    "catchup": (catchup, "s to catch up over 5,000 changes (target 3)"),
    "slopes": (slopes, "ms of the leader's processor a commit"),
    "memory": (memory, "MiB of a voter with 20,000 keys of 512 bytes"),
}


def main() -> None:
    """Run the named measures, or all."""
    for name in sys.argv[1:] or MEASURES:
        measure, unit = MEASURES[name]
        figures = []
        for _ in range(RUNS):
            cluster = start_cluster()
            try:
                figures.append(measure(cluster))
            finally:
                cluster.close()
        middle = statistics.median(figures)
        spread = f"{min(figures):.3g} to {max(figures):.3g}"
        print(f"{name}: {middle:.4g} {unit}; {spread} in {RUNS} runs", flush=True)


if __name__ == "__main__":
    main()

"""Measures a replication group of three state members with files on disk.

usage: PYTHONPATH=src python bench/state.py [MEASURE ...]

MEASURE is a key of MEASURES, by default all. Each runs RUNS times, on new members
each time; prints the median, the least and the greatest value.
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
"""Threads that commit concurrently."""

RATE_WINDOW_S: Final = 10.0
"""Seconds for which the commit rate is measured."""

VALUE_BYTES: Final = 512
LATENCY_COMMITS_PER_S: Final = 50
"""Commits per second of the latency measurement."""

LATENCY_WINDOW_S: Final = 10.0
"""Seconds of the latency measurement."""

CATCH_UP_CHANGES: Final = 5000
"""Commits that a stopped member misses."""

COST_COMMITS: Final = 4000
"""Commits over which CPU time and bytes are averaged."""

MEMORY_KEYS: Final = 20_000
"""Keys of the memory measurement."""

TIMEOUT_S: Final = 10.0
"""Timeout of a commit."""


def put(cluster: Cluster, key: str) -> bool:
    """Commit one key; return whether it was committed."""
    change = pb.Put(key=key, value=b"v" * VALUE_BYTES)
    command = pb.Command(transaction=pb.Transaction(puts=[change]))
    return cluster.client.propose(CONTROL_GROUP, command, TIMEOUT_S).is_ok()


def put_many(cluster: Cluster, count: int, callers: int = CALLERS) -> None:
    """Commit a number of keys from several threads."""

    def run(start: int) -> None:
        for number in range(start, count, callers):
            assert put(cluster, f"key/{number:08d}")

    threads = [threading.Thread(target=run, args=(n,)) for n in range(callers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def measure_commit_rate(cluster: Cluster) -> float:
    """Return the durable commits per second with 16 callers."""
    counts = [0] * CALLERS
    end_s = time.monotonic() + RATE_WINDOW_S

    def run(caller: int) -> None:
        while time.monotonic() < end_s:
            counts[caller] += put(cluster, f"caller/{caller}")

    threads = [threading.Thread(target=run, args=(n,)) for n in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sum(counts) / RATE_WINDOW_S


def measure_commit_latency(cluster: Cluster) -> float:
    """Return the 95th percentile latency in ms of commits at 50 per second."""
    histogram = HdrHistogram(1, 60_000_000, 3)
    start_s = time.monotonic()
    threads = []

    def run(number: int) -> None:
        due_s = start_s + number / LATENCY_COMMITS_PER_S
        assert put(cluster, f"paced/{number % 100}")
        histogram.record_value(int((time.monotonic() - due_s) * 1e6))

    for number in range(int(LATENCY_COMMITS_PER_S * LATENCY_WINDOW_S)):
        due_s = start_s + number / LATENCY_COMMITS_PER_S
        time.sleep(max(0.0, due_s - time.monotonic()))
        threads.append(threading.Thread(target=run, args=(number,)))
        threads[-1].start()
    for thread in threads:
        thread.join()
    return float(histogram.get_value_at_percentile(95)) / 1000


def measure_leader_loss(cluster: Cluster) -> float:
    """Return the seconds from the kill of the leader to the next commit."""
    leader = cluster.leader()
    put(cluster, "before")
    start_s = time.monotonic()
    cluster.kill(leader)
    assert put(cluster, "after")
    elapsed_s = time.monotonic() - start_s
    cluster.start(leader)
    wait_caught_up(cluster, leader)
    return elapsed_s


def measure_catch_up(cluster: Cluster) -> float:
    """Return the seconds that a started member needs to apply 5,000 missed commits."""
    follower = (cluster.leader() + 1) % len(cluster.ports)
    cluster.kill(follower)
    put_many(cluster, CATCH_UP_CHANGES)
    start_s = time.monotonic()
    cluster.start(follower)
    wait_caught_up(cluster, follower)
    return time.monotonic() - start_s


def wait_caught_up(cluster: Cluster, number: int) -> None:
    """Wait until a member has applied all that the leader has committed by now."""
    leader = cluster.status(cluster.leader())
    assert leader is not None
    while True:
        status = cluster.status(number)
        if status is not None and status.applied_index >= leader.commit_index:
            return
        time.sleep(0.005)


def measure_commit_cost(cluster: Cluster) -> float:
    """Return the leader's CPU time per commit in ms; print bytes and follower times."""
    leader = cluster.leader()
    followers = [n for n in cluster.processes if n != leader]
    cpu_s = {n: cluster.cpu_s(n) for n in cluster.processes}
    sent = {n: cluster.sent_bytes(n) for n in cluster.processes}
    put_many(cluster, COST_COMMITS)
    spent_ms = {n: (cluster.cpu_s(n) - cpu_s[n]) * 1000 for n in cpu_s}
    bytes_per_commit = {
        n: (cluster.sent_bytes(n) - sent[n]) / COST_COMMITS for n in cpu_s
    }
    follower_ms = statistics.mean(spent_ms[n] for n in followers) / COST_COMMITS
    follower_bytes = statistics.mean(bytes_per_commit[n] for n in followers)
    print(
        f"  per commit of {VALUE_BYTES} bytes: the leader sends "
        f"{bytes_per_commit[leader]:.0f} bytes, a follower {follower_bytes:.0f} "
        f"bytes with {follower_ms:.2f} ms of CPU time"
    )
    return spent_ms[leader] / COST_COMMITS


def measure_memory(cluster: Cluster) -> float:
    """Return the resident memory of the largest member in MiB with 20,000 keys.

    Prints memory and CPU time of an idle member first.
    """
    idle = max(cluster.rss_mib(n) for n in cluster.processes)
    cpu_before_s = [cluster.cpu_s(n) for n in cluster.processes]
    time.sleep(5)
    cpu_s = [cluster.cpu_s(n) - b for n, b in enumerate(cpu_before_s)]
    print(f"  idle: {idle:.1f} MiB, {max(cpu_s) / 5:.1%} of a core")
    put_many(cluster, MEMORY_KEYS)
    return max(cluster.rss_mib(n) for n in cluster.processes)


MEASURES: Final[dict[str, tuple[Callable[[Cluster], float], str]]] = {
    "commits": (measure_commit_rate, "commits/s with 16 callers (target 500)"),
    "latency": (
        measure_commit_latency,
        "ms 95th percentile at 50 commits/s (target 10)",
    ),
    "loss": (measure_leader_loss, "s from leader loss to next commit (target 2)"),
    "catchup": (measure_catch_up, "s to apply 5,000 missed commits (target 3)"),
    "slopes": (measure_commit_cost, "ms of the leader's CPU time per commit"),
    "memory": (measure_memory, "MiB of a voter with 20,000 keys of 512 bytes"),
}


def main() -> None:
    """Run the named measurements, by default all."""
    for name in sys.argv[1:] or MEASURES:
        measure, unit = MEASURES[name]
        values = []
        for _ in range(RUNS):
            cluster = start_cluster()
            try:
                values.append(measure(cluster))
            finally:
                cluster.close()
        median = statistics.median(values)
        value_range = f"{min(values):.3g} to {max(values):.3g}"
        print(f"{name}: {median:.4g} {unit}; {value_range} in {RUNS} runs", flush=True)


if __name__ == "__main__":
    main()

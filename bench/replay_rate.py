"""Measures the request rate of tanager-replay itself, in an open loop.

usage: python bench/replay_rate.py [--rate 1000] [--seconds 10] [--runs 3]
Requests go to a stand-in service that responds at once, in a separate process. This
process is bound to one core. Prints one line for each run.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time

import click
import psutil

from tanagerturn.replay.run import RunPlan, run_trace
from tanagerturn.replay.runner import ReplayOptions
from tanagerturn.replay.trace import (
    CallKind,
    Priority,
    Trace,
    TraceHeader,
    TraceRequest,
)


def make_lookup_trace(rate: int, seconds: int) -> Trace:
    """Return a trace of lookups at a constant rate, in requests per second."""
    count = rate * seconds
    requests = tuple(
        TraceRequest(
            at_ms=number * 1000 // rate,
            id=f"lookup-{number}",
            client_account="a",
            service="null",
            call="lookup",
            kind=CallKind.IDEMPOTENT,
            priority=Priority.URGENT,
            deadline_ms=5000,
            method="GET",
            path=f"/null/{number}",
        )
        for number in range(count)
    )
    header = TraceHeader(1, "null", "null", 0, seconds * 1000, ("a",), 1, ("a",))
    return Trace(header, requests, ())


def start_null_service() -> tuple[subprocess.Popen[str], str]:
    """Start a service that responds at once; return its process and address."""
    command = [sys.executable, "-m", "tanagerturn.standins.main", "service"]
    command += ["--id", "null", "--lookup-ms", "0", "--slots", "256"]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    assert process.stdout is not None
    return process, process.stdout.readline().strip()


@click.command()
@click.option("--rate", default=1000)
@click.option("--seconds", default=10)
@click.option("--runs", default=3)
@click.option("--threads", default=16)
def main(rate: int, seconds: int, runs: int, threads: int) -> None:
    """Measure rate, lateness and CPU time."""
    process, address = start_null_service()
    core = sorted(os.sched_getaffinity(0))[0]
    os.sched_setaffinity(0, {core})
    trace = make_lookup_trace(rate, seconds)
    try:
        for _ in range(runs):
            cpu_times = psutil.Process().cpu_times()
            cpu_before_s = cpu_times.user + cpu_times.system
            started = time.monotonic()
            options = ReplayOptions(threads=threads)
            plan = RunPlan(trace, (address,), options, target="null", direct=True)
            results = run_trace(plan)
            elapsed_s = time.monotonic() - started
            cpu_times = psutil.Process().cpu_times()
            answered = sum(r.outcome.value == "answered" for r in results.requests)
            latencies_ms = sorted(r.latency_ms for r in results.requests)
            end = results.end
            print(
                f"{answered} of {len(results.requests)} answered, "
                f"{answered / (end.duration_ms / 1000):.0f}/s, "
                f"lateness p50 {end.lateness_p50_ms:.2f} p99 {end.lateness_p99_ms:.2f} "
                f"max {end.lateness_max_ms:.2f} ms, "
                f"latency p50 {latencies_ms[len(latencies_ms) // 2]:.2f} "
                f"p99 {latencies_ms[len(latencies_ms) * 99 // 100]:.2f} ms, core "
                f"{(cpu_times.user + cpu_times.system - cpu_before_s) / elapsed_s:.0%}"
            )
    finally:
        process.send_signal(signal.SIGTERM)
        process.wait(10)


if __name__ == "__main__":
    main()

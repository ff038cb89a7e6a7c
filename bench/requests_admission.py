"""Measures the duration of an admission decision with its check of account limits.

usage: PYTHONPATH=src python bench/requests_admission.py

Prints a table by the numbers of waiting requests and of client accounts; each cell is
the least and the greatest value over the runs.
"""

from __future__ import annotations

import time
from dataclasses import replace

import numpy as np

from tanagerturn.schema import serving_pb2 as pb
from tanagerturn.serving.admission.admission import Admission
from tanagerturn.serving.admission.tickets import Ticket, TicketId, Wait
from tanagerturn.serving.limits.limiter import AccountLimiter, Allowance
from tanagerturn.serving.requests.ids import ClientAccountId

DECISIONS = 20_000
RUNS = 3
UNLIMITED = Allowance(1e9, 10**9, 1e9)


def measure(waiting: int, accounts: int) -> np.ndarray:
    """Return the durations of decisions in microseconds.

    A decision includes the check of limits, the offer of a request, and the end of a
    running request, which starts the next waiting one.

    Args:
        waiting: Requests that wait during the decisions.
        accounts: Client accounts over which the requests are spread.
    """
    admission = Admission(10**6, 0.2)
    admission.set_service("pool", 64, 0.2, 0.0)
    limiter = AccountLimiter()
    account_ids = [ClientAccountId(f"account-{number}") for number in range(accounts)]
    for name in account_ids:
        limiter.set_allowance(name, UNLIMITED, 0.0)
    tickets = [
        Ticket(TicketId(n), "pool", account_ids[n % accounts], pb.NORMAL, 0.0, 1e9)
        for n in range(waiting + 64 + DECISIONS)
    ]
    for ticket in tickets[: waiting + 64]:
        admission.offer(ticket, 0.0)
    running = [ticket for ticket, _ in admission.services["pool"].running.values()]
    durations_us = []
    for number, ticket in enumerate(tickets[waiting + 64 :]):
        now_s = 1.0 + number / 1000
        arrived = replace(ticket, arrived_s=now_s)
        started_ns = time.perf_counter_ns()
        limiter.start(account_ids[number % accounts], now_s)
        decision = admission.offer(arrived, now_s)
        started_tickets = admission.finish(running[number % len(running)], now_s)
        limiter.finish(account_ids[number % accounts], 10, now_s)
        durations_us.append((time.perf_counter_ns() - started_ns) / 1000)
        assert not waiting or isinstance(decision, Wait)
        running[number % len(running)] = started_tickets[0]
    return np.array(durations_us)


def main() -> None:
    """Print a row for each combination of waiting requests and client accounts."""
    print("| waiting | accounts | p50 us | p95 us | p99 us |")
    print("| --- | --- | --- | --- | --- |")
    for waiting, accounts in ((10, 5), (100, 5), (1000, 5), (1000, 50), (1000, 500)):
        runs = [measure(waiting, accounts) for _ in range(RUNS)]
        rows = [np.percentile(run, (50, 95, 99)) for run in runs]
        low, high = np.min(rows, axis=0), np.max(rows, axis=0)
        cells = " | ".join(
            f"{a:.1f} to {b:.1f}" for a, b in zip(low, high, strict=True)
        )
        print(f"| {waiting} | {accounts} | {cells} |")


if __name__ == "__main__":
    main()

"""Demo: replays a short window of both firms' traces that includes a reclaim."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Final

import click

from tanagerturn.observe.logs import set_up_logs
from tanagerturn.replay.check import Summary, evaluate_outcomes, summarize
from tanagerturn.replay.codec import read_trace
from tanagerturn.replay.environment import start_environment
from tanagerturn.replay.metrics import group_by_call
from tanagerturn.replay.run import RunPlan, run_trace
from tanagerturn.replay.runner import (
    ReplayOptions,
    new_histogram,
    percentile_ms,
    record_ms,
)
from tanagerturn.replay.target import read_settings, start_target
from tanagerturn.schema.settings_pb2 import Logging
from tanagerturn.tables import format_table

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tanagerturn.replay.results import RequestResult, RunResults
    from tanagerturn.replay.trace import Trace

ROOT: Final = Path(__file__).parents[2]
FIRMS: Final = ("inyenyeri", "fascicoli")
SCENARIO: Final = "reclaim-waves"
FROM_MS: Final = 236_000
TO_MS: Final = 246_000
"""End of the window in trace time. The traces announce the reclaim of the first zone
at 240 s."""

ENTRY_COUNT: Final = 3
SEED: Final = 7


def main() -> None:
    """Run the demo; exit with 1 if requests were lost, repeated or unfinished."""
    set_up_logs(Logging(level="ERROR"), "demo")
    passed = [run_firm(firm) for firm in FIRMS]
    sys.exit(0 if all(passed) else 1)


def run_firm(firm: str) -> bool:
    """Replay the window of one firm's trace and print its results.

    Returns:
        Whether no request was lost or left unfinished, and no not-repeatable call was
        executed more than once.
    """
    trace = read_trace(ROOT / "traces" / f"{firm}-{SCENARIO}.jsonl.gz")
    backend_count = len(trace.header.backends)
    click.echo(
        f"{firm}: 3 state, 2 control and {ENTRY_COUNT} entry roles in one process, "
        f"{backend_count} backend servers, trace {trace.header.name} "
        f"from {FROM_MS / 1000:g} to {TO_MS / 1000:g} s"
    )
    started_s = time.monotonic()
    results, unfinished = replay_window(trace, firm)
    click.echo(format_call_table(results.requests))
    for event in results.timeline:
        click.echo(f"  {event.at_ms / 1000:6.1f} s  {event.what}: {event.detail}")
    verdicts = evaluate_outcomes(results, trace.outcomes_between(FROM_MS, TO_MS))
    for verdict in verdicts:
        click.echo(f"  {verdict}")
    summary = summarize(results)
    click.echo(f"  took {time.monotonic() - started_s:.0f} s")
    click.echo(format_summary(firm, summary))
    return not (summary.lost or summary.doubled or unfinished)


def replay_window(trace: Trace, firm: str) -> tuple[RunResults, int]:
    """Replay the window of a trace against a deployment in this process.

    Args:
        trace: Trace of the firm.
        firm: Name of the firm, whose folder in `examples` holds the settings.

    Returns:
        Results seen by callers and backend servers, and the number of requests that
        were unfinished when the deployment stopped.
    """
    environment = start_environment(trace.header, SEED)
    try:
        files = read_settings(ROOT / "examples" / firm, {})
        target = start_target(trace.header, files, environment, ENTRY_COUNT)
        try:
            target.start_backends()
            options = ReplayOptions(from_ms=FROM_MS, to_ms=TO_MS)
            plan = RunPlan(trace, target.caller_addresses, options, SEED)
            results = run_trace(plan, environment)
        finally:
            unfinished = target.stop()
    finally:
        environment.stop()
    return results, unfinished


def format_call_table(requests: Sequence[RequestResult]) -> str:
    """Return a table of request counts, outcomes and latencies by call."""
    rows = []
    for call, call_requests in sorted(group_by_call(requests).items()):
        outcomes = [request.outcome.value for request in call_requests]
        latencies = new_histogram()
        for request in call_requests:
            record_ms(latencies, request.latency_ms)
        rows.append(
            (
                call,
                str(len(call_requests)),
                ", ".join(f"{outcomes.count(o)} {o}" for o in sorted(set(outcomes))),
                f"{percentile_ms(latencies, 50):.0f}",
                f"{percentile_ms(latencies, 95):.0f}",
            )
        )
    return format_table(("call", "sent", "outcomes", "p50 ms", "p95 ms"), rows)


def format_summary(firm: str, summary: Summary) -> str:
    """Return the line that sums up the results of a firm."""
    return (
        f"{firm.upper()}: {summary.accepted} accepted, {summary.answered_once} "
        f"answered once, {summary.lost} lost, {summary.doubled} doubled"
    )


if __name__ == "__main__":
    main()

"""Replays a short stretch of both firms' traces, with a reclaim in the middle."""

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
"""The first zone is noticed at 240 s of the traces."""

ENTRIES: Final = 3
SEED: Final = 7


def main() -> None:
    """Run the demo; exit with 1 when a promise was broken."""
    set_up_logs(Logging(level="ERROR"), "demo")
    verdicts = [run_firm(firm) for firm in FIRMS]
    sys.exit(0 if all(verdicts) else 1)


def run_firm(firm: str) -> bool:
    """Replay one firm's stretch; tell whether its promises held."""
    trace = read_trace(ROOT / "traces" / f"{firm}-{SCENARIO}.jsonl.gz")
    backends = len(trace.header.backends)
    click.echo(
        f"{firm}: 3 state, 2 control and {ENTRIES} entry processes' parts, "
        f"{backends} backend servers, trace {trace.header.name} "
        f"from {FROM_MS / 1000:g} to {TO_MS / 1000:g} s"
    )
    started_s = time.monotonic()
    results, left = play(trace, firm)
    click.echo(call_table(results.requests))
    for happening in results.timeline:
        click.echo(
            f"  {happening.at_ms / 1000:6.1f} s  {happening.what}: {happening.detail}"
        )
    verdicts = evaluate_outcomes(results, trace.outcomes_between(FROM_MS, TO_MS))
    for verdict in verdicts:
        click.echo(f"  {verdict}")
    summary = summarize(results)
    click.echo(f"  took {time.monotonic() - started_s:.0f} s")
    click.echo(summary_line(firm, summary))
    return not (summary.lost or summary.doubled or left)


def play(trace: Trace, firm: str) -> tuple[RunResults, int]:
    """Replay a stretch of a trace against a deployment in this process.

    Args:
        trace: The trace.
        firm: Name of the example deployment.

    Returns:
        What both ends saw, and the requests that the stop left unfinished.
    """
    stage = start_environment(trace.header, SEED)
    try:
        files = read_settings(ROOT / "examples" / firm, {})
        target = start_target(trace.header, files, stage, ENTRIES)
        try:
            target.start_backends()
            options = ReplayOptions(from_ms=FROM_MS, to_ms=TO_MS)
            plan = RunPlan(trace, target.caller_addresses, options, SEED)
            results = run_trace(plan, stage)
        finally:
            left = target.stop()
    finally:
        stage.stop()
    return results, left


def call_table(requests: Sequence[RequestResult]) -> str:
    """Return requests, outcomes and times by call as a table."""
    rows = []
    for call, chosen in sorted(group_by_call(requests).items()):
        outcomes = [request.outcome.value for request in chosen]
        times = new_histogram()
        for request in chosen:
            record_ms(times, request.latency_ms)
        rows.append(
            (
                call,
                str(len(chosen)),
                ", ".join(f"{outcomes.count(o)} {o}" for o in sorted(set(outcomes))),
                f"{percentile_ms(times, 50):.0f}",
                f"{percentile_ms(times, 95):.0f}",
            )
        )
    return format_table(("call", "sent", "outcomes", "p50 ms", "p95 ms"), rows)


def summary_line(firm: str, summary: Summary) -> str:
    """Return the closing line of a firm."""
    return (
        f"{firm.upper()}: {summary.accepted} accepted, {summary.answered_once} "
        f"answered once, {summary.lost} lost, {summary.doubled} doubled"
    )


if __name__ == "__main__":
    main()

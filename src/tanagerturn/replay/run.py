"""Runs a replay of a trace and gathers its results."""

from __future__ import annotations

import time
from dataclasses import dataclass
from importlib.metadata import version
from typing import TYPE_CHECKING, Final

from tanagerturn.replay.caller import Caller
from tanagerturn.replay.results import (
    RESULT_VERSION,
    RequestResult,
    RunHeader,
    RunResults,
    RunTotals,
)
from tanagerturn.replay.runner import (
    ReplayOptions,
    Runner,
    new_histogram,
    percentile_ms,
    record_ms,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tanagerturn.replay.environment import StandinEnvironment
    from tanagerturn.replay.trace import Trace

MS_PER_S: Final = 1000.0
SETTLE_S: Final = 0.2
"""Time that stand-ins get after the last response to finish their work, in
seconds."""


@dataclass(frozen=True)
class RunPlan:
    """Trace, target and options of a run."""

    trace: Trace
    """Trace to replay."""
    addresses: tuple[str, ...]
    """IP address and port of each entry host, or of the backend server if direct."""
    options: ReplayOptions
    """Speed, window and concurrency of the replay."""
    seed: int = 0
    """Seed of the stand-ins, for the result file."""
    label: str = ""
    """Label of the run in comparisons; empty to use `target`."""
    target: str = "addresses"
    """Description of the deployment that is called."""
    settings: str = ""
    """Policies and settings digest of the deployment; empty if not known."""
    direct: bool = False
    """Whether a backend server is called directly."""


def run_trace(
    plan: RunPlan, environment: StandinEnvironment | None = None
) -> RunResults:
    """Replay a trace and gather the results of callers and stand-ins.

    Args:
        plan: Trace, target and options.
        environment: Stand-ins whose counters and cost are gathered and to which the
            trace's events are applied; None if they don't belong to this run.

    Returns:
        Contents of the result file.
    """
    connections = plan.options.threads + plan.options.draft_threads
    caller = Caller(plan.addresses, plan.options.speed, connections, plan.direct)
    runner = Runner(caller, plan.options, environment.apply if environment else None)
    cost_before = environment.cloud.cost() if environment else 0.0
    started_s = time.monotonic()
    if environment:
        environment.started_s = started_s
    requests = runner.run(plan.trace.requests, plan.trace.events)
    duration_ms = (time.monotonic() - started_s) * MS_PER_S
    cost = environment.cloud.cost() - cost_before if environment else 0.0
    time.sleep(SETTLE_S)
    caller.close()
    return RunResults(
        header=_run_header(plan),
        requests=tuple(requests),
        backends=environment.backend_counts() if environment else (),
        timeline=tuple(environment.timeline) if environment else (),
        end=_run_totals(requests, duration_ms, cost),
    )


def _run_header(plan: RunPlan) -> RunHeader:
    header = plan.trace.header
    return RunHeader(
        version=RESULT_VERSION,
        tool=version("tanagerturn"),
        trace=header.name,
        trace_seed=header.seed,
        seed=plan.seed,
        label=plan.label or plan.target,
        target=plan.target,
        speed=plan.options.speed,
        from_ms=plan.options.from_ms,
        to_ms=plan.options.to_ms or header.duration_ms,
        settings=plan.settings,
    )


def _run_totals(
    requests: Sequence[RequestResult], duration_ms: float, cost: float
) -> RunTotals:
    lateness = new_histogram()
    for request in requests:
        record_ms(lateness, request.late_ms)
    return RunTotals(
        duration_ms=round(duration_ms, 3),
        cost=cost,
        lateness_p50_ms=percentile_ms(lateness, 50),
        lateness_p99_ms=percentile_ms(lateness, 99),
        lateness_max_ms=percentile_ms(lateness, 100),
    )

"""One run of a trace from start to result."""

from __future__ import annotations

import time
from dataclasses import dataclass
from importlib.metadata import version
from typing import TYPE_CHECKING, Final

from tanagerturn.replay.caller import Caller
from tanagerturn.replay.results import (
    RESULT_VERSION,
    RequestResult,
    RunEnd,
    RunHeader,
    RunResults,
)
from tanagerturn.replay.runner import (
    Pace,
    Runner,
    new_histogram,
    percentile_ms,
    record_ms,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tanagerturn.replay.stage import Stage
    from tanagerturn.replay.trace import Trace

MS_PER_S: Final = 1000.0
SETTLE_S: Final = 0.2
"""Time after the last answer in which stand-ins finish."""


@dataclass(frozen=True)
class RunPlan:
    """What is run, and how it is named."""

    trace: Trace
    """The trace."""
    addresses: tuple[str, ...]
    """IP number and port of each entry host."""
    pace: Pace
    """How the trace is played."""
    seed: int = 0
    """Seed of the stand-ins."""
    label: str = ""
    """Name in comparisons."""
    target: str = "addresses"
    """What is called."""
    settings: str = ""
    """Settings of the deployment, as far as they are known."""
    direct: bool = False
    """Whether a backend server itself is called."""


def run_trace(plan: RunPlan, stage: Stage | None = None) -> RunResults:
    """Play a trace and gather what both ends saw.

    Args:
        plan: What is run.
        stage: Stand-ins whose counts and cost are gathered, and to which the
            events are applied; None when they belong to someone else.

    Returns:
        All results.
    """
    connections = plan.pace.threads + plan.pace.draft_threads
    caller = Caller(plan.addresses, plan.pace.speed, connections, plan.direct)
    runner = Runner(caller, plan.pace, stage.apply if stage else None)
    cost_before = stage.cloud.cost() if stage else 0.0
    started_s = time.monotonic()
    if stage:
        stage.started_s = started_s
    requests = runner.run(plan.trace.requests, plan.trace.events)
    duration_ms = (time.monotonic() - started_s) * MS_PER_S
    cost = stage.cloud.cost() - cost_before if stage else 0.0
    time.sleep(SETTLE_S)
    caller.close()
    return RunResults(
        header=_header(plan),
        requests=tuple(requests),
        backends=stage.counts() if stage else (),
        timeline=tuple(stage.timeline) if stage else (),
        end=_end(requests, duration_ms, cost),
    )


def _header(plan: RunPlan) -> RunHeader:
    header = plan.trace.header
    return RunHeader(
        version=RESULT_VERSION,
        tool=version("tanagerturn"),
        trace=header.name,
        trace_seed=header.seed,
        seed=plan.seed,
        label=plan.label or plan.target,
        target=plan.target,
        speed=plan.pace.speed,
        from_ms=plan.pace.from_ms,
        to_ms=plan.pace.to_ms or header.duration_ms,
        settings=plan.settings,
    )


def _end(requests: Sequence[RequestResult], duration_ms: float, cost: float) -> RunEnd:
    lateness = new_histogram()
    for request in requests:
        record_ms(lateness, request.late_ms)
    return RunEnd(
        duration_ms=round(duration_ms, 3),
        cost=cost,
        lateness_p50_ms=percentile_ms(lateness, 50),
        lateness_p99_ms=percentile_ms(lateness, 99),
        lateness_max_ms=percentile_ms(lateness, 100),
    )

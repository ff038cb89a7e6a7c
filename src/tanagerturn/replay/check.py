"""Judges stated outcomes from both ends: callers' answers and executions."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from tanagerturn.replay.results import CallerOutcome
from tanagerturn.replay.trace import CallKind, OutcomeKind

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from tanagerturn.replay.results import RequestResult, RunResults
    from tanagerturn.replay.trace import StatedOutcome

NOT_REPEATABLE: Final = CallKind.NOT_REPEATABLE.value


@dataclass(frozen=True)
class Verdict:
    """Whether one stated outcome holds."""

    outcome: StatedOutcome
    """What was asked for."""
    passed: bool
    """Whether it holds."""
    value: float
    """What was measured against the limit."""
    broken_by: tuple[str, ...] = ()
    """Requests, or backend servers, that broke it."""
    judged: int = 0
    """Requests, or backend servers, that it was judged on."""

    def __str__(self) -> str:
        stated = self.outcome
        place = "/".join(part for part in (stated.service, stated.call) if part)
        word = "pass" if self.passed else "FAIL"
        return (
            f"{word} {stated.outcome.value} {place or 'all'}: "
            f"{self.value:g} of at most {stated.limit:g}, judged on {self.judged}"
        )


@dataclass(frozen=True)
class Summary:
    """The four numbers that a deployment is known by."""

    accepted: int
    """Requests that were not refused as not run."""
    answered_once: int
    """Accepted requests with their own whole answer, executed at most once."""
    lost: int
    """Accepted requests without their own whole answer."""
    doubled: int
    """Not-repeatable calls that were executed more than once."""


def judge_all(results: RunResults, outcomes: Iterable[StatedOutcome]) -> list[Verdict]:
    """Judge each stated outcome."""
    return [judge(results, outcome) for outcome in outcomes]


def judge(results: RunResults, outcome: StatedOutcome) -> Verdict:
    """Judge one stated outcome.

    An outcome that finds nothing to judge passes and says so by `judged` 0.
    """
    chosen = [request for request in results.requests if _concerns(outcome, request)]
    return JUDGES[outcome.outcome](results, outcome, chosen)


def summarize(results: RunResults) -> Summary:
    """Count accepted, answered, lost and doubled requests."""
    lost = set(_lost(results, results.requests))
    doubled = set(_doubled(results, results.requests))
    refused = [request for request in results.requests if _refused(request)]
    accepted = len(results.requests) - len(refused)
    return Summary(
        accepted=accepted,
        answered_once=accepted - len(lost | doubled),
        lost=len(lost),
        doubled=len(doubled),
    )


def _concerns(outcome: StatedOutcome, request: RequestResult) -> bool:
    if outcome.service and outcome.service != request.service:
        return False
    if outcome.call and outcome.call != request.call:
        return False
    before_end = not outcome.to_ms or request.at_ms < outcome.to_ms
    return outcome.from_ms <= request.at_ms and before_end


def _refused(request: RequestResult) -> bool:
    refused = (CallerOutcome.NOT_RUN, CallerOutcome.REJECTED)
    return request.outcome in refused


def _lost(results: RunResults, requests: Iterable[RequestResult]) -> list[str]:
    """Return accepted requests without their whole answer.

    A not-repeatable call that was answered but never executed is lost as well.
    """
    executions = results.executions
    known = bool(executions)
    lost = []
    for request in requests:
        if _refused(request):
            continue
        answered = request.outcome == CallerOutcome.ANSWERED and request.right
        deposit = request.kind == NOT_REPEATABLE and known
        if deposit and not any(executions.get(key) for key in request.keys):
            answered = False
        if not answered:
            lost.append(request.id)
    return lost


def _doubled(results: RunResults, requests: Iterable[RequestResult]) -> list[str]:
    executions = results.executions
    return [
        request.id
        for request in requests
        if request.kind == NOT_REPEATABLE
        and sum(executions.get(key, 0) for key in request.keys) > 1
    ]


def _count_verdict(
    outcome: StatedOutcome, broken: Sequence[str], judged: int
) -> Verdict:
    passed = len(broken) <= outcome.limit
    return Verdict(outcome, passed, len(broken), tuple(broken), judged)


def _judge_answered(
    results: RunResults, outcome: StatedOutcome, chosen: Sequence[RequestResult]
) -> Verdict:
    return _count_verdict(outcome, _lost(results, chosen), len(chosen))


def _judge_right(
    results: RunResults, outcome: StatedOutcome, chosen: Sequence[RequestResult]
) -> Verdict:
    wrong = [request.id for request in chosen if not request.right]
    return _count_verdict(outcome, wrong, len(chosen))


def _judge_order(
    results: RunResults, outcome: StatedOutcome, chosen: Sequence[RequestResult]
) -> Verdict:
    streams = [request for request in chosen if request.tokens]
    broken = [request.id for request in streams if not request.in_order]
    return _count_verdict(outcome, broken, len(streams))


def _judge_executed(
    results: RunResults, outcome: StatedOutcome, chosen: Sequence[RequestResult]
) -> Verdict:
    """Also find executions whose key no caller of the trace sent."""
    deposits = [request for request in chosen if request.kind == NOT_REPEATABLE]
    broken = _doubled(results, chosen)
    sent = Counter(key for request in results.requests for key in request.keys)
    strange = [f"unsent:{key}" for key in results.executions if key not in sent]
    return _count_verdict(outcome, broken + strange, len(deposits))


def _judge_not_run(
    results: RunResults, outcome: StatedOutcome, chosen: Sequence[RequestResult]
) -> Verdict:
    executions = results.executions
    told = [request for request in chosen if request.not_run_keys]
    false = [
        request.id
        for request in told
        if any(executions.get(key) for key in request.not_run_keys)
    ]
    return _count_verdict(outcome, false, len(told))


def _judge_latency(
    results: RunResults, outcome: StatedOutcome, chosen: Sequence[RequestResult]
) -> Verdict:
    times = {request.id: _latency(request) for request in chosen}
    times = {name: value for name, value in times.items() if value is not None}
    return _percentile_verdict(outcome, times)


def _latency(request: RequestResult) -> float | None:
    if _refused(request):
        return None
    if request.outcome != CallerOutcome.ANSWERED:
        return math.inf
    return request.latency_ms


def _judge_first_token(
    results: RunResults, outcome: StatedOutcome, chosen: Sequence[RequestResult]
) -> Verdict:
    streams = [request for request in chosen if request.first_token_ms]
    return _percentile_verdict(outcome, {r.id: r.first_token_ms for r in streams})


def _percentile_verdict(
    outcome: StatedOutcome, times: dict[str, float | None]
) -> Verdict:
    known = {name: value for name, value in times.items() if value is not None}
    if not known:
        return Verdict(outcome, True, 0.0)
    ordered = sorted(known.values())
    rank = math.ceil(len(ordered) * outcome.percentile / 100)
    value = ordered[max(0, rank - 1)]
    over = tuple(name for name, time_ms in known.items() if time_ms > outcome.limit)
    passed = value <= outcome.limit
    return Verdict(outcome, passed, value, () if passed else over, len(known))


def _judge_refused(
    results: RunResults, outcome: StatedOutcome, chosen: Sequence[RequestResult]
) -> Verdict:
    refused = tuple(request.id for request in chosen if _refused(request))
    share = len(refused) / max(1, len(chosen))
    return Verdict(outcome, share <= outcome.limit, share, refused, len(chosen))


def _judge_deadlines(
    results: RunResults, outcome: StatedOutcome, chosen: Sequence[RequestResult]
) -> Verdict:
    missed = [
        request.id
        for request in chosen
        if request.outcome != CallerOutcome.ANSWERED
        or request.latency_ms > request.deadline_ms
    ]
    return _count_verdict(outcome, missed, len(chosen))


def _judge_late_work(
    results: RunResults, outcome: StatedOutcome, chosen: Sequence[RequestResult]
) -> Verdict:
    late = {backend.id: backend.late_work for backend in results.backends}
    total = sum(late.values())
    broken = tuple(name for name, times in late.items() if times)
    return Verdict(outcome, total <= outcome.limit, total, broken, len(late))


def _judge_recomputed(
    results: RunResults, outcome: StatedOutcome, chosen: Sequence[RequestResult]
) -> Verdict:
    engines = [b for b in results.backends if b.service == outcome.service]
    generated = sum(engine.tokens_generated for engine in engines)
    recomputed = sum(engine.tokens_recomputed for engine in engines)
    share = recomputed / max(1, generated)
    passed = share <= outcome.limit
    broken = tuple(engine.id for engine in engines if engine.tokens_recomputed)
    return Verdict(outcome, passed, share, () if passed else broken, len(engines))


if TYPE_CHECKING:
    Judge = Callable[[RunResults, StatedOutcome, Sequence[RequestResult]], Verdict]

JUDGES: Final[dict[OutcomeKind, Judge]] = {
    OutcomeKind.ANSWERED: _judge_answered,
    OutcomeKind.RIGHT_ANSWER: _judge_right,
    OutcomeKind.STREAMS_IN_ORDER: _judge_order,
    OutcomeKind.EXECUTED_ONCE: _judge_executed,
    OutcomeKind.NOT_RUN_IS_TRUE: _judge_not_run,
    OutcomeKind.LATENCY: _judge_latency,
    OutcomeKind.FIRST_TOKEN: _judge_first_token,
    OutcomeKind.REFUSED_SHARE: _judge_refused,
    OutcomeKind.DEADLINES: _judge_deadlines,
    OutcomeKind.NO_LATE_WORK: _judge_late_work,
    OutcomeKind.RECOMPUTED_SHARE: _judge_recomputed,
}

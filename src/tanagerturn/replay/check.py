"""Evaluates expected outcomes by the callers' responses and service executions."""

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
    from tanagerturn.replay.trace import ExpectedOutcome

NOT_REPEATABLE: Final = CallKind.NOT_REPEATABLE.value


@dataclass(frozen=True)
class Verdict:
    """Result of the evaluation of one expected outcome."""

    outcome: ExpectedOutcome
    """Expected outcome that was evaluated."""
    passed: bool
    """Whether the measured value is within the limit."""
    value: float
    """Measured value, in the unit of the limit."""
    broken_by: tuple[str, ...] = ()
    """Ids of the requests or backend servers that violate the expected outcome; empty
    if there are none."""
    judged: int = 0
    """Number of requests or backend servers that were evaluated."""

    def __str__(self) -> str:
        expected = self.outcome
        scope = "/".join(part for part in (expected.service, expected.call) if part)
        status = "pass" if self.passed else "FAIL"
        return (
            f"{status} {expected.outcome.value} {scope or 'all'}: "
            f"{self.value:g} of at most {expected.limit:g}, judged on {self.judged}"
        )


@dataclass(frozen=True)
class Summary:
    """Numbers of accepted, answered, lost and doubled requests of a run."""

    accepted: int
    """Number of requests that were neither reported as not run nor rejected."""
    answered_once: int
    """Number of accepted requests that got their complete response and ran at most
    once."""
    lost: int
    """Number of accepted requests that did not get their complete response."""
    doubled: int
    """Number of not_repeatable calls that were executed more than once."""


def evaluate_outcomes(
    results: RunResults, outcomes: Iterable[ExpectedOutcome]
) -> list[Verdict]:
    """Evaluate each expected outcome."""
    return [evaluate_outcome(results, outcome) for outcome in outcomes]


def evaluate_outcome(results: RunResults, outcome: ExpectedOutcome) -> Verdict:
    """Evaluate one expected outcome.

    An outcome that applies to no request or backend server passes; its verdict has
    `judged` 0.
    """
    selected = [
        request for request in results.requests if _applies_to(outcome, request)
    ]
    return EVALUATORS[outcome.outcome](results, outcome, selected)


def summarize(results: RunResults) -> Summary:
    """Count accepted, answered, lost and doubled requests."""
    lost = set(_find_lost(results, results.requests))
    doubled = set(_find_doubled(results, results.requests))
    refused = [request for request in results.requests if _is_refused(request)]
    accepted = len(results.requests) - len(refused)
    return Summary(
        accepted=accepted,
        answered_once=accepted - len(lost | doubled),
        lost=len(lost),
        doubled=len(doubled),
    )


def _applies_to(outcome: ExpectedOutcome, request: RequestResult) -> bool:
    if outcome.service and outcome.service != request.service:
        return False
    if outcome.call and outcome.call != request.call:
        return False
    before_end = not outcome.to_ms or request.at_ms < outcome.to_ms
    return outcome.from_ms <= request.at_ms and before_end


def _is_refused(request: RequestResult) -> bool:
    refused = (CallerOutcome.NOT_RUN, CallerOutcome.REJECTED)
    return request.outcome in refused


def _find_lost(results: RunResults, requests: Iterable[RequestResult]) -> list[str]:
    """Return the ids of accepted requests that did not get their complete response.

    A not_repeatable call that was answered but never executed is lost as well;
    this is not checked if the results hold no executions.
    """
    executions = results.executions
    has_executions = bool(executions)
    lost = []
    for request in requests:
        if _is_refused(request):
            continue
        answered = request.outcome == CallerOutcome.ANSWERED and request.right
        must_execute = request.kind == NOT_REPEATABLE and has_executions
        if must_execute and not any(executions.get(key) for key in request.keys):
            answered = False
        if not answered:
            lost.append(request.id)
    return lost


def _find_doubled(results: RunResults, requests: Iterable[RequestResult]) -> list[str]:
    executions = results.executions
    return [
        request.id
        for request in requests
        if request.kind == NOT_REPEATABLE
        and sum(executions.get(key, 0) for key in request.keys) > 1
    ]


def _count_verdict(
    outcome: ExpectedOutcome, violating_ids: Sequence[str], evaluated_count: int
) -> Verdict:
    passed = len(violating_ids) <= outcome.limit
    return Verdict(
        outcome, passed, len(violating_ids), tuple(violating_ids), evaluated_count
    )


def _evaluate_answered(
    results: RunResults, outcome: ExpectedOutcome, selected: Sequence[RequestResult]
) -> Verdict:
    return _count_verdict(outcome, _find_lost(results, selected), len(selected))


def _evaluate_right_answer(
    results: RunResults, outcome: ExpectedOutcome, selected: Sequence[RequestResult]
) -> Verdict:
    mismatched_ids = [request.id for request in selected if not request.right]
    return _count_verdict(outcome, mismatched_ids, len(selected))


def _evaluate_stream_order(
    results: RunResults, outcome: ExpectedOutcome, selected: Sequence[RequestResult]
) -> Verdict:
    streams = [request for request in selected if request.tokens]
    unordered_ids = [request.id for request in streams if not request.in_order]
    return _count_verdict(outcome, unordered_ids, len(streams))


def _evaluate_executed_once(
    results: RunResults, outcome: ExpectedOutcome, selected: Sequence[RequestResult]
) -> Verdict:
    """Find calls that ran more than once, and executed keys that no caller sent."""
    not_repeatable = [request for request in selected if request.kind == NOT_REPEATABLE]
    doubled_ids = _find_doubled(results, selected)
    sent_keys = Counter(key for request in results.requests for key in request.keys)
    unsent_keys = [
        f"unsent:{key}" for key in results.executions if key not in sent_keys
    ]
    return _count_verdict(outcome, doubled_ids + unsent_keys, len(not_repeatable))


def _evaluate_not_run(
    results: RunResults, outcome: ExpectedOutcome, selected: Sequence[RequestResult]
) -> Verdict:
    executions = results.executions
    with_not_run_keys = [request for request in selected if request.not_run_keys]
    contradicted_ids = [
        request.id
        for request in with_not_run_keys
        if any(executions.get(key) for key in request.not_run_keys)
    ]
    return _count_verdict(outcome, contradicted_ids, len(with_not_run_keys))


def _evaluate_latency(
    results: RunResults, outcome: ExpectedOutcome, selected: Sequence[RequestResult]
) -> Verdict:
    times = {request.id: _latency(request) for request in selected}
    times = {name: value for name, value in times.items() if value is not None}
    return _percentile_verdict(outcome, times)


def _latency(request: RequestResult) -> float | None:
    if _is_refused(request):
        return None
    if request.outcome != CallerOutcome.ANSWERED:
        return math.inf
    return request.latency_ms


def _evaluate_first_token(
    results: RunResults, outcome: ExpectedOutcome, selected: Sequence[RequestResult]
) -> Verdict:
    streams = [request for request in selected if request.first_token_ms]
    return _percentile_verdict(outcome, {r.id: r.first_token_ms for r in streams})


def _percentile_verdict(
    outcome: ExpectedOutcome, times: dict[str, float | None]
) -> Verdict:
    latencies_ms = {name: value for name, value in times.items() if value is not None}
    if not latencies_ms:
        return Verdict(outcome, True, 0.0)
    ordered = sorted(latencies_ms.values())
    rank = math.ceil(len(ordered) * outcome.percentile / 100)
    value = ordered[max(0, rank - 1)]
    above_limit = tuple(
        name for name, time_ms in latencies_ms.items() if time_ms > outcome.limit
    )
    passed = value <= outcome.limit
    return Verdict(
        outcome, passed, value, () if passed else above_limit, len(latencies_ms)
    )


def _evaluate_refused_share(
    results: RunResults, outcome: ExpectedOutcome, selected: Sequence[RequestResult]
) -> Verdict:
    refused_ids = tuple(request.id for request in selected if _is_refused(request))
    share = len(refused_ids) / max(1, len(selected))
    return Verdict(outcome, share <= outcome.limit, share, refused_ids, len(selected))


def _evaluate_deadlines(
    results: RunResults, outcome: ExpectedOutcome, selected: Sequence[RequestResult]
) -> Verdict:
    late_ids = [
        request.id
        for request in selected
        if request.outcome != CallerOutcome.ANSWERED
        or request.latency_ms > request.deadline_ms
    ]
    return _count_verdict(outcome, late_ids, len(selected))


def _evaluate_late_work(
    results: RunResults, outcome: ExpectedOutcome, selected: Sequence[RequestResult]
) -> Verdict:
    late_work_counts = {backend.id: backend.late_work for backend in results.backends}
    total = sum(late_work_counts.values())
    violating_ids = tuple(name for name, count in late_work_counts.items() if count)
    return Verdict(
        outcome, total <= outcome.limit, total, violating_ids, len(late_work_counts)
    )


def _evaluate_recomputed_share(
    results: RunResults, outcome: ExpectedOutcome, selected: Sequence[RequestResult]
) -> Verdict:
    engines = [b for b in results.backends if b.service == outcome.service]
    generated = sum(engine.tokens_generated for engine in engines)
    recomputed = sum(engine.tokens_recomputed for engine in engines)
    share = recomputed / max(1, generated)
    passed = share <= outcome.limit
    recomputing_ids = tuple(engine.id for engine in engines if engine.tokens_recomputed)
    return Verdict(
        outcome, passed, share, () if passed else recomputing_ids, len(engines)
    )


if TYPE_CHECKING:
    Evaluator = Callable[
        [RunResults, ExpectedOutcome, Sequence[RequestResult]], Verdict
    ]

EVALUATORS: Final[dict[OutcomeKind, Evaluator]] = {
    OutcomeKind.ANSWERED: _evaluate_answered,
    OutcomeKind.RIGHT_ANSWER: _evaluate_right_answer,
    OutcomeKind.STREAMS_IN_ORDER: _evaluate_stream_order,
    OutcomeKind.EXECUTED_ONCE: _evaluate_executed_once,
    OutcomeKind.NOT_RUN_IS_TRUE: _evaluate_not_run,
    OutcomeKind.LATENCY: _evaluate_latency,
    OutcomeKind.FIRST_TOKEN: _evaluate_first_token,
    OutcomeKind.REFUSED_SHARE: _evaluate_refused_share,
    OutcomeKind.DEADLINES: _evaluate_deadlines,
    OutcomeKind.NO_LATE_WORK: _evaluate_late_work,
    OutcomeKind.RECOMPUTED_SHARE: _evaluate_recomputed_share,
}

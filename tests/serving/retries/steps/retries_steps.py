"""Steps of retries.feature."""

from __future__ import annotations

from random import Random

from behave import given, then, when

from tanagerturn.schema import serving_pb2 as pb
from tanagerturn.serving.retries.backoff import (
    MAX_BACKOFF_S,
    backoff_s,
    wait_before_retry,
)
from tanagerturn.serving.retries.budget import BudgetKey, RetryBudget
from tanagerturn.serving.retries.failures import Failure, Phase, may_retry
from tanagerturn.serving.retries.hedging import LatencyWindow, hedge_after_s

SEED = 7


@given("a retry budget of {share:g}")
def retry_budget(context, share):
    context.budget, context.share = RetryBudget(), share


@when("{count:d} first attempts fail and each requests a retry")
def attempts_fail(context, count):
    key = BudgetKey("seats", "a")
    context.granted = 0
    for _ in range(count):
        context.budget.on_first_attempt(key, context.share)
        context.granted += context.budget.take(key)


@then("at most {count:d} retries are granted")
def retries_granted(context, count):
    assert 0 < context.granted <= count, context.granted


@when('the client account "{account}" exhausts its budget')
def exhaust_budget(context, account):
    while context.budget.take(BudgetKey("seats", account)):
        pass


@then('the client account "{account}" is granted a retry')
def retry_is_granted(context, account):
    assert context.budget.take(BudgetKey("seats", account))


@then("a {kind:w} call that failed {phase:w} with {status:d} is retried: {retried:w}")
def is_retried(context, kind, phase, status, retried):
    failure = Failure(Phase[phase], status)
    found = may_retry(failure, pb.CallKind.Value(kind), retried_by_caller=False)
    assert found == (retried == "yes")


@then("a call that its caller retries is retried only if no byte of it was sent")
def not_retried_twice(context):
    assert may_retry(Failure(Phase.NOT_SENT), pb.IDEMPOTENT, retried_by_caller=True)
    assert not may_retry(Failure(Phase.SENT), pb.IDEMPOTENT, retried_by_caller=True)


@then("{count:d} backoffs of attempt {attempt:d} spread between 0 and {most:g} seconds")
def backoffs_are_spread(context, count, attempt, most):
    random = Random(SEED)
    waits = sorted(backoff_s(attempt, random) for _ in range(count))
    assert waits[0] >= 0.0
    assert waits[-1] <= most
    assert waits[count // 10] < 0.15 * most
    assert waits[count * 9 // 10] > 0.85 * most


@then("no backoff is longer than {most:g} seconds")
def backoff_is_capped(context, most):
    assert most == MAX_BACKOFF_S
    assert max(backoff_s(attempt, Random(attempt)) for attempt in range(1, 60)) <= most


@then("no wait before a retry passes the deadline")
def within_deadline(context):
    assert wait_before_retry(1, 3.0, 2.0, Random(SEED)) is None
    assert wait_before_retry(1, 1.0, 2.0, Random(SEED)) < 2.0


@given("measured latencies of {least:d} to {most:d} ms")
def measured_latencies(context, least, most):
    context.window = LatencyWindow()
    for latency_ms in range(least, most + 1):
        context.window.record(latency_ms / 1000)


@then("at percentile {percentile:g} a lookup is hedged after {least:d} to {most:d} ms")
def hedged_after(context, percentile, least, most):
    found = hedge_after_s(context.window, percentile)
    assert least <= found * 1000 <= most, found


@then("at percentile 0 no lookup is hedged")
def never_hedges(context):
    assert hedge_after_s(context.window, 0) is None


@then("no lookup is hedged before {count:d} latencies were measured")
def not_hedged_before(context, count):
    window = LatencyWindow()
    for _ in range(count - 1):
        window.record(0.1)
    assert hedge_after_s(window, 95) is None

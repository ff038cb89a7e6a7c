"""Steps of engine_rate.feature."""

from __future__ import annotations

import math

from behave import given, then, when

from tanagerturn.serving.capacity.counts import ENGINE_TOKENS_PER_S
from tanagerturn.serving.capacity.engine_rate import EngineRate, EngineUse, engines_for

STEP_S = 0.25
REQUESTS_PER_STEP = 10


def make_rate(context, engines, requests):
    context.rate, context.now_s = EngineRate(), 100.0
    context.factors = [1.0] * engines
    for _ in range(requests):
        context.rate.on_sent(2_000, 1_000, context.now_s)


def plan(context, running=0, unread_tokens=0):
    """Return the capacity after one step of requests."""
    use = EngineUse(running, unread_tokens, 64, context.factors, 1.0)
    return context.rate.capacity(use, context.now_s)


def run(context, tokens_per_s, seconds, late_every=0, unread_tokens=0):
    """Let requests end for some time, one in `late_every` late, and plan."""
    for step in range(int(seconds / STEP_S)):
        context.now_s += STEP_S
        for number in range(REQUESTS_PER_STEP):
            context.rate.on_sent(2_000, 1_000, context.now_s)
            position = step * REQUESTS_PER_STEP + number
            is_late = late_every > 0 and position % late_every == 0
            context.rate.on_first_event(context.now_s, is_late=is_late)
        capacity = plan(context, unread_tokens=unread_tokens)
        assert capacity is not None
        context.engines = math.ceil(engines_for(tokens_per_s, capacity))


@given(
    "{engines:d} engines that take as long as expected, and prompts of which half is "
    "cached"
)
def measured_engines(context, engines):
    make_rate(context, engines, 400)


@given("{engines:d} engines and {requests:d} requests")
def few_requests(context, engines, requests):
    make_rate(context, engines, requests)


@when("{tokens:d} tokens a second are requested")
def requested(context, tokens):
    context.tokens = tokens
    run(context, tokens, 1)


@when(
    "{slow:d} of the engines take {ratio:g} times as long, and {tokens:d} tokens a "
    "second are requested"
)
def slow_engines(context, slow, ratio, tokens):
    context.factors[:slow] = [ratio] * slow
    requested(context, tokens)


@when("a tenth of the requests is late for {seconds:d} s at {tokens:d} tokens a second")
def requests_late(context, seconds, tokens):
    run(context, tokens, seconds, late_every=10)


@when(
    "{work_s:g} s of work waits at the engines for {seconds:d} s at {tokens:d} tokens "
    "a second"
)
def work_waits(context, work_s, seconds, tokens):
    unread_tokens = int(work_s * 40_000 * len(context.factors))
    run(context, tokens, seconds, unread_tokens=unread_tokens)


@when("no request is late for {seconds:d} s at {tokens:d} tokens a second")
def none_late(context, seconds, tokens):
    run(context, tokens, seconds)


@when(
    "{running:d} requests run at the engines of 64 slots, and {tokens:d} tokens a "
    "second are requested"
)
def slots_in_use(context, running, tokens):
    context.tokens = tokens
    context.engines = math.ceil(engines_for(tokens, plan(context, running)))


@then("{least:d} to {most:d} engines are planned instead of {constant:d}")
def engines_planned(context, least, most, constant):
    assert least <= context.engines <= most, context.engines
    assert math.ceil(context.tokens / ENGINE_TOKENS_PER_S) == constant


@then("at least {count:d} engines are planned")
def at_least(context, count):
    assert context.engines >= count, context.engines


@then("at most {count:d} engines are planned")
def at_most(context, count):
    assert context.engines <= count, context.engines


@then("no capacity is known")
def no_capacity(context):
    assert plan(context) is None

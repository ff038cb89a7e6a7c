"""Steps of scarcity.feature."""

from __future__ import annotations

import sys
from dataclasses import replace
from pathlib import Path

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from tanagerturn.serving.admission.engine_demand import DemandKey
from tanagerturn.serving.admission.price import PriceReport, ServicePrice
from tanagerturn.serving.admission.scarcity import (
    MAX_RETRY_SHARE,
    MIN_RETRY_AFTER_S,
    Refuse,
    ScarceRequest,
    Send,
    decide,
    on_requested,
)

sys.path.insert(0, str(Path(__file__).parents[4] / "bench"))

from scarce_capacity import simulate
from scarce_policies import PresentRule, SharedPrice
from scarce_sim import Load

SEED = 1
REQUEST = ScarceRequest(
    priority=1,
    account=7,
    draw=0.5,
    read_s=0.2,
    output_tokens=100,
    idle_s=0.1,
    backlog_s=0.1,
    waited_s=0.0,
    objective_s=1.0,
    time_left_s=5.0,
)


@given(
    "{gateways:d} gateways, {capacity:g} of the engines needed and a load of"
    " {seconds:d} s"
)
def a_load(context, gateways, capacity, seconds):
    context.terms = (Load(float(seconds)), capacity, gateways, SEED)


@when("the gateways share a price")
def share_a_price(context):
    context.result, context.sim = simulate(SharedPrice(), *context.terms)
    print(context.result)


@then("the value of requests in time is at least {least:g} of a planner's")
def value(context, least):
    assert context.result.benefit >= least, context.result


@then("it is more than the present rule reaches")
def more_than_present(context):
    present, _ = simulate(PresentRule(), *context.terms)
    assert context.result.benefit > present.benefit, present


@then(
    "more of the answers than of the rosters, and of these than of the hints, are in"
    " time"
)
def by_priority(context):
    shares = context.result.in_time
    assert shares["answers"] > shares["rosters"] > shares["hints"], shares


@then("at least {least:g} of the answers are in time")
def answers_in_time(context, least):
    assert context.result.in_time["answers"] >= least, context.result


@then("less than {most:g} of the engine time is for callers who have left")
def abandoned(context, most):
    assert context.result.abandoned < most, context.result


@then("the refused shares of the gateways differ by less than {most:g}")
def spread(context, most):
    assert context.result.spread < most, context.result


@then("accounts at their usual rate have more rosters in time than the excessive one")
def others_first(context):
    rosters = [r for r in context.sim.arrivals if r.kind.name == "rosters"]
    excessive = [r.is_in_time for r in rosters if r.account == 1]
    share = sum(excessive) / len(excessive)
    assert context.result.others_in_time > 1.3 * share, (context.result, share)


@then("the admitted work of half seconds varies by less than {most:g} of its mean")
def swing(context, most):
    assert context.result.swing < most, context.result


@given("a price at a gateway of {count:d}, {silent:d} of which it does not hear from")
def cut_off(context, count, silent):
    assert silent == count - 1
    context.price, context.gateways = ServicePrice(), count


@when(
    "its callers ask for {rate:g} engine seconds a second at priority 1, of"
    " {engines:d} engines"
)
def callers_ask(context, rate, engines):
    price, request = context.price, REQUEST
    sent, count, gap_s = 0, int(20 * rate / request.work_s), request.work_s / rate
    for number in range(count):
        now_s, draw = number * gap_s, number * 0.618 % 1
        each = replace(request, draw=draw, backlog_s=0.05)
        on_requested(price, each, now_s)
        price.step(engines, context.gateways, now_s)
        sent += isinstance(decide(price, each, now_s), Send)
    context.served = sent / count


@then("it serves between {least:g} and {most:g} of them")
def serves_between(context, least, most):
    assert least <= context.served <= most, context.served


@given(
    "a price at a gateway of 2, whose peer reported {rate:g} engine seconds a second"
)
def peer_reported(context, rate):
    context.report = PriceReport(0.1, 1.0, 1.0, 0.0, {DemandKey(0, 3): rate})
    context.price = ServicePrice()
    context.price.on_report("g2", context.report, 0.0, 0.0)
    on_requested(context.price, REQUEST, 0.0)
    context.price.step(10, 2, 0.1)
    assert isinstance(decide(context.price, REQUEST, 0.1), Refuse)


@then(
    "10 s later it serves all of a demand that fits, and a report 10 s old is dropped"
)
def old_report(context):
    price = context.price
    for number in range(100):
        now_s = 5.0 + number / 20
        on_requested(price, REQUEST, now_s)
        price.on_report("g2", context.report, now_s - 10.0, now_s)
        price.step(20, 2, now_s)
    assert not price.reports
    assert not price.is_scarce, price
    assert isinstance(decide(price, REQUEST, 10.0), Send)


def scarce_price():
    price = ServicePrice()
    on_requested(price, REQUEST, 0.0)
    report = PriceReport(0.5, 1.0, 0.1, 0.0, {DemandKey(0, 3): 100.0})
    price.on_report("g2", report, 0.0, 0.0)
    for number in range(30):
        price.step(10, 2, number / 10)
    assert price.is_scarce
    return price


@then("for any request the decision and its retry delay are within bounds")
def bounded(context):
    times = st.floats(0.0, 20.0)
    price = scarce_price()

    @for_all(times, times, times, times, st.floats(0, 0.999), st.integers(-1, 12))
    def check(read_s, backlog_s, waited_s, left_s, draw, priority):
        request = replace(
            REQUEST,
            read_s=read_s,
            backlog_s=backlog_s,
            waited_s=waited_s,
            time_left_s=left_s,
            draw=draw,
            priority=priority,
        )
        decision = decide(price, request, 3.0)
        if isinstance(decision, Refuse):
            longest_s = max(MIN_RETRY_AFTER_S, MAX_RETRY_SHARE * left_s)
            assert MIN_RETRY_AFTER_S <= decision.retry_after_s <= longest_s
            assert decision.reason in {"price", "late", "unservable"}
        idle = replace(request, waited_s=0.0, nothing_waits=True, objective_s=100.0)
        assert isinstance(decide(ServicePrice(capacity_part=1.0), idle, 3.0), Send)

    check()


@then(
    "of two requests refused at the same time the less urgent one is told to wait"
    " longer"
)
def less_urgent_waits_longer(context):
    price = scarce_price()
    delays = [
        decide(price, replace(REQUEST, priority=each, time_left_s=60.0), 3.0)
        for each in (1, 2, 3)
    ]
    assert all(isinstance(each, Refuse) for each in delays), delays
    assert delays[0].retry_after_s < delays[1].retry_after_s < delays[2].retry_after_s


@then("a resumed stream is sent at any price")
def resumed(context):
    request = replace(REQUEST, is_started=True, backlog_s=9.0, priority=9)
    assert isinstance(decide(scarce_price(), request, 3.0), Send)


@then("a request with a backlog beyond its caller's time is refused as unservable")
def unservable(context):
    request = replace(REQUEST, priority=0, backlog_s=9.0)
    decision = decide(ServicePrice(), request, 3.0)
    assert isinstance(decision, Refuse)
    assert decision.reason == "unservable"

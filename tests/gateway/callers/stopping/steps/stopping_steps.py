"""Steps of stopping.feature; each scenario has its own event loop."""

from __future__ import annotations

import asyncio
import math
from types import SimpleNamespace

from behave import given, then, when

from support.gateway_world import KEY
from support.partition import Cut
from support.stopping_fleet import GRACE_S, TIMEOUT_MS, StoppingFleet
from tanagerturn.gateway.callers.service_times import ServiceTimes
from tanagerturn.gateway.callers.stopping import Shutdown, reject_if_unfinishable
from tanagerturn.gateway.gateway import MIN_DRAIN_S
from tanagerturn.gateway.request_run import Refusal

KINDS = ("look", "buy")
STOPPED = "g4"
CUT_OFF = "g3"
COUNT = 24


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


@given(
    "4 gateways and 2 engines with {slots:d} slots, whose requests take {work_s:g} s"
)
def fleet_started(context, slots, work_s):
    context.loop = asyncio.new_event_loop()

    async def start():
        context.fleet = StoppingFleet(4, 2, slots, work_s)
        await context.fleet.start()

    run(context, start())

    def close():
        run(context, context.fleet.close())
        context.loop.close()

    context.closers.append(close)


@given("the gateways have seen how long requests take")
def warmed_up(context):
    run(context, context.fleet.warm_up(STOPPED))
    context.fleet.tries.clear()


def send(fleet, host, count=COUNT):
    return [
        asyncio.create_task(fleet.try_once(host, KINDS[n % len(KINDS)]))
        for n in range(count)
    ]


async def stop_beside(fleet, tries):
    await asyncio.gather(fleet.stop_gateway(STOPPED), *tries)


@when("a gateway is told to stop while 24 requests are {where}")
def stopped(context, where):
    fleet = context.fleet

    async def play():
        if "peer" in where:
            fleet.cut([STOPPED], Cut("refused"))
            # The first request shows the gateway that it has no path.
            fleet.add_task(fleet.request(STOPPED, "POST /look/probe", KEY))
            await asyncio.sleep(0.5)
        if "pause" in where:
            fleet.pause_s = 6.0
        tries = send(fleet, STOPPED)
        await asyncio.sleep(0.5)
        await stop_beside(fleet, tries)

    run(context, play())


@when("24 requests arrive during the first 2.8 s after a gateway was told to stop")
def arriving(context):
    fleet = context.fleet

    async def play():
        stopping = asyncio.create_task(fleet.stop_gateway(STOPPED))
        tries = []
        for number in range(COUNT):
            await asyncio.sleep(2.8 / COUNT)
            kind = KINDS[number % len(KINDS)]
            tries.append(asyncio.create_task(fleet.try_once(STOPPED, kind)))
        await asyncio.gather(stopping, *tries)

    run(context, play())


@when("a peer is told to stop while a gateway without paths gets 60 requests")
def peer_stopped(context):
    fleet = context.fleet

    async def play():
        fleet.cut([CUT_OFF], Cut("refused"))
        await fleet.try_once(CUT_OFF, "look")
        fleet.tries.clear()
        stopping = asyncio.create_task(fleet.stop_gateway(STOPPED))
        tries = []
        for _ in range(20):
            tries += send(fleet, CUT_OFF, 3)
            await asyncio.sleep(0.1)
        await asyncio.gather(stopping, *tries)

    run(context, play())


@then("it ends within its grace period")
def in_time(context):
    assert context.fleet.stopped_s < GRACE_S, context.fleet.stopped_s


@then("each of the requests got a whole answer")
def all_answered(context):
    assert len(context.fleet.tries) == COUNT
    assert not context.fleet.unanswered(), context.fleet.unanswered()


@then("no purchase ran twice, and none that was refused with 503 ran")
def refusals_true(context):
    assert not context.fleet.purchases_run_twice()
    assert not context.fleet.false_refusals(), context.fleet.false_refusals()


@then("each purchase that ran was served")
def purchases_whole(context):
    assert not context.fleet.cut_purchases(), context.fleet.cut_purchases()


@then("the others were refused within {limit_s:g} s, with a time to come back")
def refused_at_once(context, limit_s):
    refused = [t for t in context.fleet.tries if not t.is_served]
    late = [t for t in refused if t.took_s > limit_s or t.response.status != 503]
    assert not late, late
    for tried in refused:
        retry_after_s = float(tried.response.headers["retry-after"])
        assert retry_after_s < TIMEOUT_MS / 3000, retry_after_s


@then("at least {count:d} of them were served")
def served(context, count):
    tries = context.fleet.tries
    statuses = [t.response.status for t in tries]
    assert sum(t.is_served for t in tries) >= count, statuses


@when(
    "half of 24 requests' bodies arrives as a gateway is told to stop, the rest {rest}"
)
def halves(context, rest):
    fleet = context.fleet
    rest_after_s = math.inf if rest == "never" else float(rest.split()[1])

    async def play():
        tries = [
            asyncio.create_task(
                fleet.try_in_halves(STOPPED, KINDS[n % len(KINDS)], rest_after_s)
            )
            for n in range(COUNT)
        ]
        await asyncio.sleep(0.2)
        await stop_beside(fleet, tries)

    run(context, play())


@when("a gateway is told to stop while it stores a configuration")
def stopped_while_storing(context):
    fleet = context.fleet

    async def play():
        order = asyncio.create_task(fleet.order_late(STOPPED))
        await asyncio.sleep(0.2)
        await fleet.stop_gateway(STOPPED)
        context.response = await order

    run(context, play())


@then("the operator is told to ask another gateway")
def told_to_ask_another(context):
    assert context.response.status == 503, context.response


@when(
    "a resumable stream is read {after_s:g} s after the signal, {left_s:g} s before"
    " the end"
)
def stream_read(context, after_s, left_s):
    longest_s = float(context.active_outline["longest_s"])
    now_s, times = 1000.0, ServiceTimes()
    times.on_answered("notes", longest_s / 1.5, now_s)
    run = SimpleNamespace(
        is_resumable=True,
        is_in_flight=False,
        may_have_run=False,
        route=SimpleNamespace(name="notes", latency_objective_s=1.0),
        exchange=SimpleNamespace(arrived_s=now_s),
        time_left_s=lambda now_s: 15.0,
    )
    stop = Shutdown(now_s - after_s + MIN_DRAIN_S, now_s + left_s)
    try:
        reject_if_unfinishable(run, times, stop, now_s)
        context.decision = "passed on"
    except Refusal as refusal:
        assert refusal.status == 503
        context.decision = "refused"


@then("it is {decision}")
def decided(context, decision):
    assert context.decision == decision, context.decision

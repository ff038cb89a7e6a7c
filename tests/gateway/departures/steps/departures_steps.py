"""Steps of departures.feature."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from support.gateway_world import Engine, World
from tanagerturn.clocks import boot_s
from tanagerturn.gateway.departures import Departures
from tanagerturn.gateway.run import MOVE_BEFORE_S
from tanagerturn.schema import gateway_pb2 as gpb

USUAL_MS = 2_500
TOLERATED_MS = 120
"""Time of a question and its answer on a busy machine."""


@given("an engine that knows at the second question that it ends in {left_ms:d} ms")
def knows_late(context, left_ms):
    async def silent(call):
        await call.answer(200, '{"state":"draining"}', stamp=False)

    async def tells(call):
        await call.answer(200, f'{{"leaves_ms":{left_ms}}}', stamp=False)

    context.engine = Engine("i-1", [silent, tells])


@given("an engine that answers questions with {status:d} {body}")
def answers(context, status, body):
    async def script(call):
        await call.answer(status, body, stamp=False)

    context.engine = Engine("i-1", [script])


async def start(context, **fields):
    """Start two gateways that know the engine; the first one tells the second."""
    context.worlds = [World(context.engine), World(context.engine)]
    for world in context.worlds:
        await world.start()
        world.announce(context.engine, **fields)
    first, second = (world.state.fleet for world in context.worlds)
    context.departures = Departures(
        context.worlds[0].state, lambda news: second.on_news(news, boot_s())
    )
    return first, second


def leave(context, **fields):
    for world in context.worlds:
        world.announce(context.engine, leaving=True, leaving_in_ms=USUAL_MS, **fields)


async def ask(context):
    context.told_s = boot_s()
    context.departures.on_leaving("i-1")
    await asyncio.gather(*context.departures.asking.values())


@when("it announces to one gateway that it leaves, as one that is reclaimed")
def announces(context):
    async def run():
        await start(context, reclaimable=True)
        leave(context, reclaimable=True)
        await ask(context)

    asyncio.run(run())


@when("it announces to one gateway that it leaves, as one that can't be reclaimed")
def announces_kept(context):
    async def run():
        await start(context)
        leave(context)
        await ask(context)

    asyncio.run(run())


@when("it withdraws at one gateway, as one that is reclaimed")
def withdraws(context):
    async def run():
        first, second = await start(context, reclaimable=True)
        news = first.on_withdrawal("i-1", 0, USUAL_MS, boot_s())
        second.on_news(gpb.BackendNews(announcements=[news]), boot_s())
        await ask(context)

    asyncio.run(run())


@when("it announces again that it leaves")
def again(context):
    leave(context, reclaimable=True)


def ends_ms(context):
    """Return when each gateway expects its end, after the first question."""
    backends = [w.state.fleet.view.backends["i-1"] for w in context.worlds]
    return [b.gone_at_ms - context.told_s * 1000 for b in backends]


@then("both gateways expect its end after {least_ms:d} ms, not after the usual 2500 ms")
def expect_told(context, least_ms):
    # The answer comes after the second question.
    for end_ms in ends_ms(context):
        assert least_ms + 100 < end_ms < least_ms + 250 + TOLERATED_MS, end_ms


@then("its streams are due to move after {after_s:g} s and not before")
def due(context, after_s):
    for end_ms in ends_ms(context):
        assert end_ms / 1000 - MOVE_BEFORE_S > after_s


@then("both gateways expect its end after 2500 ms")
def expect_usual(context):
    for end_ms in ends_ms(context):
        assert abs(end_ms - USUAL_MS) < TOLERATED_MS, end_ms


@then("it was asked {times:d} times")
def asked(context, times):
    assert len(context.engine.calls) == times, context.engine.calls

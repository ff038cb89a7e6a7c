"""Steps of departures.feature."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from support.gateway_world import ScriptedBackend, World
from tanagerturn.clocks import boot_s
from tanagerturn.gateway.backends.departures import DepartureTracker
from tanagerturn.gateway.request_run import MIGRATION_LEAD_S
from tanagerturn.schema import gateway_pb2 as gpb

DEFAULT_MS = 2_500
"""Time in milliseconds until the stop that the announcement of a leaving engine
states."""

TOLERANCE_MS = 120
"""Maximum time in milliseconds of a query and its response on a busy machine."""


@given(
    "an engine that reports from the second query on that it stops in {left_ms:d} ms"
)
def reports_from_second_query(context, left_ms):
    async def states_no_time(call):
        await call.answer(200, '{"state":"draining"}', stamp=False)

    async def states_time(call):
        await call.answer(200, f'{{"leaves_ms":{left_ms}}}', stamp=False)

    context.engine = ScriptedBackend(
        "i-1", [states_no_time, states_time], scripts_calls=True
    )


@given("an engine that responds to queries with {status:d} {body}")
def responds_to_queries(context, status, body):
    async def script(call):
        await call.answer(status, body, stamp=False)

    context.engine = ScriptedBackend("i-1", [script], scripts_calls=True)


async def start(context, **fields):
    """Start two gateways that know the engine; the first sends updates to the other."""
    context.worlds = [World(context.engine), World(context.engine)]
    for world in context.worlds:
        await world.start()
        world.announce(context.engine, **fields)
    first, second = (world.state.fleet for world in context.worlds)
    context.departures = DepartureTracker(
        context.worlds[0].state, second.on_backend_updates
    )
    return first, second


def announce_leaving(context, **fields):
    for world in context.worlds:
        world.announce(context.engine, leaving=True, leaving_in_ms=DEFAULT_MS, **fields)


async def run_queries(context):
    context.queried_s = boot_s()
    context.departures.on_leaving("i-1")
    await asyncio.gather(*context.departures.queries.values())


@when("the reclaimable engine announces to one gateway that it leaves")
def announces_leaving(context):
    async def run():
        await start(context, reclaimable=True)
        announce_leaving(context, reclaimable=True)
        await run_queries(context)

    asyncio.run(run())


@when("the on-demand engine announces to one gateway that it leaves")
def on_demand_announces_leaving(context):
    async def run():
        await start(context)
        announce_leaving(context)
        await run_queries(context)

    asyncio.run(run())


@when("the reclaimable engine withdraws at one gateway")
def withdraws(context):
    async def run():
        first, second = await start(context, reclaimable=True)
        news = first.on_withdrawal("i-1", 0, DEFAULT_MS, boot_s())
        second.on_backend_updates(gpb.BackendNews(announcements=[news]), boot_s())
        await run_queries(context)

    asyncio.run(run())


@when("the engine announces again that it leaves")
def announces_again(context):
    announce_leaving(context, reclaimable=True)


def expected_stops_ms(context):
    """Return the time in ms from the first query to each gateway's expected stop."""
    backends = [w.state.fleet.view.backends["i-1"] for w in context.worlds]
    return [b.stops_at_ms - context.queried_s * 1000 for b in backends]


@then(
    "both gateways expect its stop after {left_ms:d} ms, not after the default 2500 ms"
)
def reported_stop_expected(context, left_ms):
    # The reported time counts from the response to the second query, which is sent
    # `QUERY_INTERVAL_S` after the first.
    for stop_ms in expected_stops_ms(context):
        assert left_ms + 100 < stop_ms < left_ms + 250 + TOLERANCE_MS, stop_ms


@then("its streams are due to migrate after {after_s:g} s and not before")
def migration_due(context, after_s):
    for stop_ms in expected_stops_ms(context):
        assert stop_ms / 1000 - MIGRATION_LEAD_S > after_s


@then("both gateways expect its stop after 2500 ms")
def default_stop_expected(context):
    for stop_ms in expected_stops_ms(context):
        assert abs(stop_ms - DEFAULT_MS) < TOLERANCE_MS, stop_ms


@then("the engine was queried {times:d} times")
def was_queried(context, times):
    assert len(context.engine.calls) == times, context.engine.calls

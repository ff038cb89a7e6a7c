"""Steps of backlog.feature; a gateway and its backend servers are on loopback."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from support.gateway_world import ScriptedBackend, World
from tanagerturn.clocks import boot_s
from tanagerturn.gateway.backends.departure_sources import DepartureSource
from tanagerturn.gateway.spread.departures import apply_departures
from tanagerturn.schema import gateway_pb2 as gpb
from tanagerturn.serving.backends.departures import start_key

POLL_S = 0.02
"""Time in seconds between two polls."""

POLLS = {"once 20 ms later": 1, "three times, each of them 20 ms later": 3}
"""Number of polls until the socket is empty."""


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


@given('two backend servers, of which the gateway prefers "{preferred}"')
def two_backends(context, preferred):
    async def serve(call):
        await call.answer(200, "served")

    context.loop = asyncio.new_event_loop()
    context.closers.append(context.loop.close)
    world = context.world = World(
        ScriptedBackend("i-1", [serve]), ScriptedBackend("i-2", [serve])
    )
    run(context, world.start())
    candidates = world.state.fleet.candidates

    def preferred_first(service, excluded, now_s):
        found = candidates(service, excluded, now_s)
        return [b for b in found if b.id == preferred] or found

    world.state.fleet.candidates = preferred_first


def apply_departure(context):
    """Apply a datagram of a peer which states that "i-1" leaves."""
    message = gpb.Departures(starts=[start_key("i-1", 1)], leaving_in_ms=[2_000])
    state, source = context.world.state, DepartureSource.DEPARTURES
    apply_departures(state, message, source, "peer", boot_s())


def suspend(context, time_s):
    """Let the socket have been empty for the last time some seconds ago."""
    context.world.state.backlog.on_polled(boot_s() - time_s, is_empty=True)


@given(
    'the gateway was suspended for {time_s:g} s, while a peer stated that "i-1" leaves'
)
def was_suspended(context, time_s):
    suspend(context, time_s)


@given("the gateway polled its socket {ago_s:g} s ago")
def polled(context, ago_s):
    suspend(context, ago_s)


async def poll(context, count):
    """Poll the socket until it is empty; the last datagram is the departure."""
    for number in range(count):
        await asyncio.sleep(POLL_S)
        is_last = number == count - 1
        if is_last:
            apply_departure(context)
        context.world.state.backlog.on_polled(boot_s(), is_empty=is_last)


def get(context, path, polls):
    async def play():
        sent_s = boot_s()
        headers = {"X-Deadline-Ms": "1000"}
        request = context.world.send_request(path, headers=headers)
        context.answer, _ = await asyncio.gather(request, poll(context, polls))
        context.took_s = boot_s() - sent_s

    run(context, play())


@when('a caller gets "{path}", and the gateway polls its socket {rest}')
def get_and_poll(context, path, rest):
    get(context, path, POLLS[rest])


@when('a caller gets "{path}", and the gateway does not poll its socket')
def get_without_poll(context, path):
    get(context, path, 0)


@when(
    'the gateway is suspended for {time_s:g} s as a connection to "i-1" opens for '
    '"{path}", and "i-1" leaves meanwhile'
)
def suspended_while_opening(context, time_s, path):
    pool = context.world.state.pool
    acquire = pool.acquire
    polling = []

    async def acquire_and_suspend(backend_id, *rest, **options):
        connection = await acquire(backend_id, *rest, **options)
        if not polling:
            suspend(context, time_s)
            polling.append(asyncio.create_task(poll(context, 1)))
        return connection

    pool.acquire = acquire_and_suspend
    get(context, path, 0)


@then('"{backend_id}" gets the request')
def gets_request(context, backend_id):
    counts = {engine.id: len(engine.calls) for engine in context.world.engines}
    assert counts == {"i-1": 0, "i-2": 0} | {backend_id: 1}, counts


@then("the caller gets {status:d} within {most_s:g} s")
def answered_in_time(context, status, most_s):
    assert context.answer.status == status, context.answer
    assert context.took_s < most_s, context.took_s


@given('a connection to "i-1" is open and idle')
def idle_connection(context):
    get(context, "/look/1", 0)
    assert context.world.state.pool.has_idle("i-1", boot_s())


@when(
    'the gateway is suspended for {time_s:g} s as "{path}" gets that connection, which '
    "breaks meanwhile"
)
def idle_connection_breaks(context, time_s, path):
    state, engine = context.world.state, context.world.engines[0]
    acquire, polling = state.pool.acquire, []

    async def acquire_and_break(backend_id, *rest, **options):
        connection = await acquire(backend_id, *rest, **options)
        if not polling:
            suspend(context, time_s)
            engine.calls[0].writer.transport.abort()
            polling.append(asyncio.create_task(poll_without_news(state)))
        return connection

    state.pool.acquire = acquire_and_break
    get(context, path, 0)


async def poll_without_news(state):
    await asyncio.sleep(POLL_S)
    state.backlog.on_polled(boot_s(), is_empty=True)


@then('"{backend_id}" gets it on another connection')
def on_another_connection(context, backend_id):
    calls = context.world.engines[0].calls
    assert [call.target for call in calls] == ["/look/1", "/buy/1"], calls
    assert calls[0].writer is not calls[1].writer

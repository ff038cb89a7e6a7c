"""Steps of restarts.feature."""

from __future__ import annotations

import asyncio
from itertools import count

from behave import given, then, when

from support import restarting_engine
from support.gateway_world import PROMPT_HEADERS, World, manifest, route
from support.restarting_engine import (
    BODY_PARTS,
    EVENT_COUNT,
    NO_LISTING,
    PART,
    RestartingEngine,
    event,
)
from tanagerturn.clocks import boot_s

FRAMINGS = ("close", "chunked", "length")
STREAMS = ("draft", "notes")
REPEATABLE = ("/notes/", "/look/")
WHOLE_STREAM = b"".join(event(number) for number in range(1, EVENT_COUNT + 1))
WHOLE_BODY = PART * BODY_PARTS
SILENT_S = 1.2
TIMEOUT_MS = 8000


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def start(context, **traits):
    context.loop = asyncio.new_event_loop()
    context.numbers = count(1)
    first = context.first = RestartingEngine("i-1", **traits)
    second = context.second = RestartingEngine("i-2", **traits)
    common = {"timeout_ms": TIMEOUT_MS, "slo_ms": 2000, "anonymous": True}
    streaming = {**common, "gap_slo_ms": 2000}
    routes = [
        route("/buy/", "non_idempotent", **common),
        route("/look/", "idempotent", max_attempts=2, **common),
        route("/draft/", "streaming", **streaming),
        route("/notes/", "streaming", max_attempts=2, stream_resume=True, **streaming),
    ]
    context.world = World(first.backend, second.backend, **manifest(routes=routes))

    def close():
        for task in asyncio.all_tasks(context.loop):
            task.cancel()
        context.loop.run_until_complete(asyncio.sleep(0))
        context.loop.close()

    context.closers.append(close)
    run(context, context.world.start())
    context.world.state.fleet.view.forget("i-2")
    context.world.announce(first.backend, slots=200)


@given("an engine that gets its {contact} requests and another engine")
def engine(context, contact):
    start(context)
    if contact == "later":
        run(context, ask_all(context, all_paths()))
        context.first.request_count = context.first.call_count = 0


@given("an engine whose reports state its start and another engine")
def engine_states_start(context):
    start(context, states_start=True)


@given("an engine whose reports list nothing and another engine")
def engine_without_listing(context):
    start(context, listing=NO_LISTING)


@given("an engine with an idle timeout of {keep_alive_s:d} s and another engine")
def engine_with_timeout(context, keep_alive_s):
    start(context, keep_alive_s=keep_alive_s)


@given("an engine that is silent for 1.2 s at an end and another engine")
def silent_engine(context):
    start(context)
    context.is_silent = True


def all_paths(framings=FRAMINGS):
    routes = ("buy", "look", *STREAMS)
    return [f"/{name}/{framing}/x" for name in routes for framing in framings]


async def ask(context, path):
    headers = {
        "X-Request-Id": f"r{next(context.numbers)}",
        "X-Deadline-Ms": str(TIMEOUT_MS),
        "Authorization": "",
    }
    if path.split("/")[1] in STREAMS:
        headers |= {**PROMPT_HEADERS, "X-Token-Usage": "100,800"}
    return await context.world.send_request(path, headers=headers)


async def ask_all(context, paths):
    responses = await asyncio.gather(*(ask(context, path) for path in paths))
    # Of equal paths, the worst response counts.
    pairs = zip(paths, responses, strict=True)
    return dict(sorted(pairs, key=lambda pair: is_whole(*pair), reverse=True))


async def begin(context, paths):
    """Ask for responses and return once the first engine has begun all of them."""
    asking = asyncio.create_task(ask_all(context, paths))
    async with asyncio.timeout(5):
        while len(context.first.runs) < len(paths):
            await asyncio.sleep(0.005)
    context.world.announce(context.second.backend, slots=200)
    await asyncio.sleep(0.02)
    return asking


@when(
    "the engine crashes amid responses in each framing and is back after {down_s:g} s"
    " under {id} id"
)
def crashes(context, down_s, id):
    async def crash():
        asking = await begin(context, all_paths())
        new_id = "i-1" if id == "the same" else "i-9"
        await context.first.restart(down_s, new_id)
        return await asking

    context.responses = run(context, crash())


@when("calls stay unaccepted until the engine has crashed amid responses and is back")
def unaccepted(context):
    async def crash():
        first, paths = context.first, all_paths(("close",))
        # No connection that has answered is left.
        context.world.state.pool.drop_all()
        first.holds_calls = True
        asking = await begin(context, paths)
        first.crash()
        first.holds_calls = False
        return await asking

    context.responses = run(context, crash())


@when("the orders to move its streams find a new start of the engine")
def moves(context):
    async def move():
        paths = [f"/{name}/close/x" for name in STREAMS]
        asking = await begin(context, paths)
        while any(
            not each.progress.event_count for each in context.world.relay.sender.running
        ):
            await asyncio.sleep(0.01)
        leaving = {"leaving": True, "leaving_in_ms": 900}
        context.world.announce(context.first.backend, slots=200, **leaving)
        context.world.relay.start_migrations(boot_s())
        return await asking

    context.responses = run(context, move())
    assert context.first.start_number > 1


@when("responses in each framing end by themselves, twice")
def end_by_themselves(context):
    async def end():
        responses = {}
        for turn in range(2):
            paths = all_paths()
            asking = await begin(context, paths)
            if getattr(context, "is_silent", False):
                context.first.silent_s = SILENT_S
            context.world.state.fleet.view.forget("i-2")
            answered = await asking
            context.first.silent_s = 0.0
            responses |= {f"{path}{turn}": answered[path] for path in paths}
        return responses

    context.responses = run(context, end())


@when(
    "the engine begins to leave amid responses and closes each connection after a call"
)
def leaves(context):
    async def end():
        asking = await begin(context, all_paths(("close",)) * 2)
        leaving = {"leaving": True, "leaving_in_ms": 3000}
        context.world.announce(context.first.backend, slots=200, **leaving)
        context.first.closes_calls = True
        return await asking

    context.responses = run(context, end())


@then(
    "each response is whole, also those that can't be repeated, from the first engine"
)
def all_of_leaving_whole(context):
    for path, response in context.responses.items():
        assert is_whole(path, response), (path, response)
    unrepeatable = [p for p in context.responses if not p.startswith(REPEATABLE)]
    assert context.first.request_count == 2 * len(context.responses)
    assert len(unrepeatable) == 2


@when("responses in each framing end while the engine resets new connections")
def full_engine(context):
    async def end():
        asking = await begin(context, all_paths())
        context.first.backend.is_down = True
        context.world.state.fleet.view.forget("i-2")
        return await asking

    context.responses = run(context, end())


@when("the connections without a response are closed amid streams of 2 s")
def witness_closed(context):
    async def close():
        first = context.first
        context.closers.append(
            lambda: setattr(restarting_engine, "EVENT_S", first_interval_s)
        )
        first_interval_s = restarting_engine.EVENT_S
        restarting_engine.EVENT_S = 2.0 / EVENT_COUNT
        asking = await begin(context, [f"/{name}/close/x" for name in STREAMS])
        context.world.state.fleet.view.forget("i-2")
        for writer in list(first.backend.writers):
            if writer not in first.busy_writers:
                writer.close()
        return await asking

    context.responses = run(context, close())


@when("the engine asks for a pause of 1.5 s before responses end")
def pause(context):
    async def end():
        asking = await begin(context, all_paths(("close",)))
        backend = context.world.state.fleet.view.backends["i-1"]
        limits = context.world.state.backend_limits
        limits.on_pause_asked(backend, 1.5, boot_s())
        context.calls_before = context.first.call_count
        await asyncio.sleep(1.4)
        context.calls_within = context.first.call_count
        return await asking

    context.responses = run(context, end())


@when("20 responses with a length or in chunks arrive")
def delimited(context):
    async def ask_for_delimited():
        for _ in range(4):
            for path in ("/buy/length/x", "/look/chunked/x"):
                await ask(context, path)
            for name in STREAMS:
                await asyncio.gather(
                    *(ask(context, f"/{name}/{f}/x") for f in ("chunked", "length"))
                )

    run(context, ask_for_delimited())


async def ask_in_turn(context, paths, interval_s=0.0):
    responses = {}
    for path in paths:
        responses[path] = await ask(context, path)
        await asyncio.sleep(interval_s)
    return responses


@when(
    "{number:d} {framing} requests follow one that left a single connection, and no new"
    " ones open"
)
def last_connection(context, number, framing):
    async def end():
        pool = context.world.state.pool
        paths = [f"/look/{framing}/{turn}" for turn in range(number + 1)]
        responses = await ask_in_turn(context, paths[:1])
        for connection in pool.idle_connections["i-1"][1:]:
            connection.close()
        context.first.backend.refuse_connections()
        return responses | await ask_in_turn(context, paths[1:])

    context.responses = run(context, end())


@then("{number:d} of the responses are whole, from the first engine alone")
def number_whole(context, number):
    whole = [path for path, each in context.responses.items() if is_whole(path, each)]
    assert len(whole) == number, {p: r.status for p, r in context.responses.items()}
    assert context.second.request_count == 0, context.second.request_count


@when("4 requests that may need a witness are sent within 1 s")
def witness_unasked(context):
    async def end():
        paths = [f"/look/chunked/{turn}" for turn in range(4)]
        await ask_in_turn(context, paths[:1])
        context.first_s = boot_s()
        await ask_in_turn(context, paths[1:], interval_s=0.2)

    run(context, end())
    assert context.first.call_count == 1, context.first.call_count


@then("the connection without a later response is idle for at most {idle_s:g} s")
def idle_time(context, idle_s):
    idle = context.world.state.pool.idle_connections["i-1"]
    idle_until_s = min(connection.idle_until_s for connection in idle)
    assert len(idle) == 2, len(idle)
    assert idle_until_s <= context.first_s + idle_s, idle_until_s - context.first_s


@when("5 responses without a length are requested one after another")
def unframed_in_turn(context):
    paths = [f"/look/close/{turn}" for turn in range(5)]
    context.responses = run(context, ask_in_turn(context, paths))


@then("the engine has got at most {number:d} calls, one for each kind of response")
def at_most_calls(context, number):
    assert context.first.call_count <= number, context.first.call_count


@then("no call is made within the pause")
def no_call(context):
    assert context.calls_within == context.calls_before, context.calls_within


@then("responses that can't be repeated are whole")
def unrepeatable_whole(context):
    for path, response in context.responses.items():
        if not path.startswith(REPEATABLE):
            assert is_whole(path, response), (path, response)


def whole_body(path):
    return WHOLE_STREAM if path.split("/")[1] in STREAMS else WHOLE_BODY


def is_whole(path, response):
    is_complete = response.status == 200 and response.is_whole
    return is_complete and response.body == whole_body(path)


@then("no response ends as complete without its rest")
def no_part(context):
    wrong = [
        path
        for path, each in context.responses.items()
        if each.status == 200 and each.is_whole and each.body != whole_body(path)
    ]
    assert not wrong, f"{len(wrong)} of {len(context.responses)}: {wrong}"


@then("requests that may be repeated get a whole response")
def repeated_whole(context):
    for path, response in context.responses.items():
        if path.startswith(REPEATABLE):
            assert is_whole(path, response), (path, response)


@then("the others are broken off or answered with 502")
def others_broken(context):
    for path, response in context.responses.items():
        if path.startswith("/buy/"):
            assert response.status == 502, (path, response)
        elif path.startswith("/draft/"):
            assert not response.is_whole, (path, response)


@then(
    "each response is whole, from the first engine alone, with at most {number:d} calls"
)
def all_whole(context, number):
    for path, response in context.responses.items():
        assert is_whole(path, response), (path, response)
    assert context.second.request_count == 0, context.second.request_count
    assert context.first.request_count == len(context.responses)
    assert context.first.call_count <= number, context.first.call_count

"""Steps of endings.feature."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import orjson
from behave import given, then, when

from support.ending_engine import (
    BODY_PARTS,
    EVENT_COUNT,
    FRAMINGS,
    MOVE_ANSWERS,
    EngineProcess,
    event_ids,
    is_wrong,
)
from support.ending_peer import UnframedPeer
from support.ending_world import (
    NOT_RESUMABLE,
    RESUMABLE,
    EndingWorld,
    ProcessWorld,
)


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def start(context, world):
    context.loop = asyncio.new_event_loop()
    context.world = world

    def close():
        context.loop.run_until_complete(world.close())
        for task in asyncio.all_tasks(context.loop):
            task.cancel()
        context.loop.run_until_complete(asyncio.sleep(0))
        context.loop.close()

    context.closers.append(close)
    run(context, world.start())


async def stream(world, paths):
    """Ask for streams; the first engine leaves once all have begun."""
    tasks = {path: asyncio.create_task(world.ask(path)) for path in paths}
    await world.wait_for_responses(len(tasks))
    await world.leave()
    return {path: await task for path, task in tasks.items()}


@given("two engines")
def two_engines(context):
    start(context, EndingWorld())


@given("two engines and gateway processes")
def two_engines_and_processes(context):
    start(context, ProcessWorld(context.closers, context.log_paths))


@given("an engine process and another engine")
def engine_process(context):
    context.process = EngineProcess()
    context.process.start()
    context.closers.append(context.process.kill)
    start(context, EndingWorld(context.process.address))


@when(
    "the process, {state}, is killed in the middle of streams and bodies in each "
    "framing"
)
def process_killed(context, state):
    context.streams = [
        f"{route}{framing}/wait"
        for route in (RESUMABLE, NOT_RESUMABLE)
        for framing in FRAMINGS
    ]
    context.bodies = [
        f"{route}{framing}/wait"
        for route in ("/look/", "/buy/")
        for framing in ("close", "length")
    ]
    world = context.world

    async def kill():
        tasks = {
            path: asyncio.create_task(world.ask(path))
            for path in (*context.streams, *context.bodies)
        }
        await world.wait_for_responses(len(tasks))
        world.announce_second()
        if state == "leaving":
            world.announce_leaving()
        context.process.kill()
        return {path: await task for path, task in tasks.items()}

    context.responses = run(context, kill())


@then("no response ends as complete without its rest")
def no_part_is_whole(context):
    responses = context.responses
    wrong = [path for path in context.streams if is_wrong(responses[path])]
    wrong += [
        path
        for path in context.bodies
        if responses[path].status == 200
        and responses[path].body != b"".join(BODY_PARTS)
    ]
    assert not wrong, f"{len(wrong)} of {len(responses)}: {wrong}"


@then("requests that may be repeated get a whole response of the other engine")
def repeated(context):
    for path, response in context.responses.items():
        if path in context.streams:
            is_resumed = path.startswith(RESUMABLE)
            assert event_ids(response) == list(range(1, 7 if is_resumed else 4)), path
            assert response.is_whole == is_resumed, (path, response)
        else:
            status = 200 if path.startswith("/look/") else 502
            assert response.status == status, (path, response)


@when(
    "streams run in each framing on both routes and moves stop them, with each kind of "
    "answer"
)
def moves_stop_streams(context):
    paths = [
        f"{route}{framing}/{answer}"
        for route in (RESUMABLE, NOT_RESUMABLE)
        for framing in FRAMINGS
        for answer in MOVE_ANSWERS
    ]
    context.responses = run(context, stream(context.world, paths))
    moved = context.world.engines[0].moved_ids
    assert len(moved) == len(paths), (len(moved), len(paths))


@then("no stream ends as complete without all its events")
def none_is_cut(context):
    wrong = [path for path, each in context.responses.items() if is_wrong(each)]
    assert not wrong, f"{len(wrong)} of {len(context.responses)}: {wrong}"


@then("streams go on after their last event wherever a copy or their route allows it")
def streams_go_on(context):
    for path, response in context.responses.items():
        goes_on = path.startswith(RESUMABLE) or path.endswith("/200")
        assert response.is_whole == goes_on, (path, response)
        assert event_ids(response) == list(range(1, 7 if goes_on else 4)), (
            path,
            response,
        )


@then(
    "the metric counts {count:d} ends without proof, all of streams without a length, "
    "and {whole:d} others"
)
def metric_counts(context, count, whole):
    ends = context.world.world.state.metrics.stream_ends
    (family,) = ends.collect()
    counted = {
        tuple(each.labels[name] for name in ("framing", "proof")): 0
        for each in family.samples
    }
    for each in family.samples:
        if each.name.endswith("_total"):
            counted[each.labels["framing"], each.labels["proof"]] += each.value
    assert counted == {("close", "none"): count, ("chunked", "framing"): whole}, counted


@then("each attempt at the killed engine counts as broken")
def attempts_broken(context):
    lines = [orjson.loads(line) for line in context.log_lines]
    broken = [each for each in lines if each["event"] == "attempt_broke"]
    assert [each["backend"] for each in broken] == ["i-1"] * 10, broken
    checked = [each for each in lines if each["event"] == "end_checked"]
    of_killed = [each["complete"] for each in checked if each["backend"] == "i-1"]
    assert of_killed == [False] * 4, checked


@when("streams without a length of a leaving engine are cut off without a move")
def streams_cut(context):
    paths = [f"{route}close/cut" for route in (RESUMABLE, NOT_RESUMABLE)]
    context.responses = run(context, end_together(context.world, paths, "leaving"))


async def end_together(world, paths, state):
    """Ask for responses of the first engine, and end them once all have begun."""
    tasks = {path: asyncio.create_task(world.ask(path)) for path in paths}
    await world.wait_for_responses(len(tasks))
    world.announce_second()
    if state == "leaving":
        world.announce_leaving()
    world.engines[0].release.set()
    return {path: await task for path, task in tasks.items()}


@when("responses of a {state} engine end in order, without a length and without a move")
def responses_end(context, state):
    routes = (RESUMABLE, NOT_RESUMABLE, "/look/", "/buy/")
    paths = [f"{route}close/ended" for route in routes]
    context.responses = run(context, end_together(context.world, paths, state))


@then("each response is whole and comes from the first engine alone")
def all_whole(context):
    for path, response in context.responses.items():
        assert response.status == 200 and response.is_whole, (path, response)
        if path.startswith((RESUMABLE, NOT_RESUMABLE)):
            assert event_ids(response) == list(range(1, EVENT_COUNT + 1)), path
        else:
            assert response.body == b"".join(BODY_PARTS), (path, response)
    first, second = (engine.backend.calls for engine in context.world.engines)
    requests = [each for each in first if not each.target.startswith("/v1/")]
    assert len(requests) == len(context.responses), requests
    assert not second, second


@then("the first engine has got some report calls")
def report_calls(context):
    count = context.world.engines[0].report_count
    assert count > 0, count


@then("the first engine has got no report calls since the last end")
def no_report_calls(context):
    engine = context.world.engines[0]
    assert engine.report_count == engine.reports_before_end, engine.report_count


@when("{count:d} whole responses without a length arrive one after the other")
def one_after_the_other(context, count):
    async def ask():
        world = context.world
        return [await world.ask("/look/close/whole") for _ in range(count)]

    responses = run(context, ask())
    assert all(each.body == b"".join(BODY_PARTS) for each in responses), responses


@then("{count:d} connections to backend servers have been opened")
def connections_opened(context, count):
    opened = context.world.world.state.pool.opened_count
    assert opened == count, opened


@given("two engines whose reports fail")
def reports_fail(context):
    two_engines(context)
    for engine in context.world.engines:
        engine.report_status = 500


@when("streams without a length end as the orders to move them arrive")
def streams_cross(context):
    paths = [f"{route}close/crossed" for route in (RESUMABLE, NOT_RESUMABLE)]
    context.responses = run(context, stream(context.world, paths))
    assert len(context.world.engines[0].moved_ids) == len(paths)


@then("the stream that may be resumed is whole, and the other one is broken off")
def only_resumable(context):
    for path, response in context.responses.items():
        assert event_ids(response) == list(range(1, EVENT_COUNT + 1)), path
        assert response.is_whole == path.startswith(RESUMABLE), path


@when("streams without a length have their last possible event and their moves fail")
def streams_counted(context):
    world = context.world
    world.prompt = {**world.prompt, "X-Token-Usage": f"10,{EVENT_COUNT}"}
    paths = [f"{route}close/counted" for route in (RESUMABLE, NOT_RESUMABLE)]
    context.responses = run(context, stream(world, paths))
    assert len(world.engines[0].moved_ids) == len(paths)


@when("a stream ends while a target for its move is chosen")
def ends_before_order(context):
    async def end():
        world = context.world
        relay, first = world.world.relay, world.engines[0]
        choose = relay._migration_target

        async def choose_late(request_run):
            connection = relay.sender.running[request_run].connection
            first.release.set()
            while not connection.tcp.at_eof:
                await asyncio.sleep(0.01)
            return await choose(request_run)

        relay._migration_target = choose_late
        path = f"{NOT_RESUMABLE}close/ended"
        task = asyncio.create_task(world.ask(path))
        await world.wait_for_responses(1)
        (request_run,) = relay.sender.running
        await world.leave()
        response = await task
        await request_run.migration_task
        return {path: response}

    context.responses = run(context, end())


@then("no move is ordered")
def no_move(context):
    assert not context.world.engines[0].moved_ids


@given("plain responses have had a length")
def responses_with_length(context):
    context.world.world.record_lengths()


@when("callers get responses to HEAD and with status 204 and 304, without a length")
def responses_without_body(context):
    async def ask():
        world = context.world
        head = await world.ask("/look/close/whole", "HEAD")
        statuses = [await world.ask(f"/look/close/{s}", "GET") for s in (204, 304)]
        return [each.status for each in (head, *statuses)]

    assert run(context, ask()) == [200, 204, 304]


@given("two engines and a peer gateway that sends neither a length nor chunks")
def unframed_peer(context):
    two_engines(context)
    context.peer = UnframedPeer()

    async def start_peer():
        await context.peer.start()
        context.world.announce_second()
        world = context.world.world
        world.state.settings = replace(
            world.state.settings, forwarding_port=context.peer.port
        )
        select = world.relay._select_target

        async def select_peer_first(request_run):
            if not request_run.tried_peers:
                return context.peer.gateway
            return await select(request_run)

        world.relay._select_target = select_peer_first

    run(context, start_peer())


@when("callers whose requests go through the peer get their responses")
def through_peer(context):
    paths = (
        f"{NOT_RESUMABLE}close/whole",
        f"{RESUMABLE}chunked/whole",
        "/look/length/whole",
        "/buy/length/whole",
    )

    async def ask():
        return {path: await context.world.ask(path) for path in paths}

    context.responses = run(context, ask())
    assert context.peer.request_count == len(paths)


@then("only requests that may be repeated get a response, from an engine")
def repeated_only(context):
    draft, notes, look, buy = context.responses.values()
    assert notes.is_whole and event_ids(notes) == list(range(1, EVENT_COUNT + 1))
    assert (look.status, look.body) == (200, b"".join(BODY_PARTS)), look
    assert (draft.status, buy.status) == (502, 502), (draft, buy)

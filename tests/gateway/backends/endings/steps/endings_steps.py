"""Steps of endings.feature."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from support.ending_engine import (
    BODY_PARTS,
    FRAMINGS,
    MOVE_ANSWERS,
    EngineProcess,
    event_ids,
    is_wrong,
)
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


@when("the process is killed in the middle of streams and bodies in each framing")
def process_killed(context):
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

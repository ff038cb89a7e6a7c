"""Steps of unproven.feature."""

from __future__ import annotations

import asyncio
import socket
import struct

import orjson
from behave import then, when

from support.ending_engine import BODY_PARTS, STOPPED_AFTER, is_wrong
from support.ending_world import NOT_RESUMABLE, RESUMABLE
from support.gateway_world import HOST, KEY, STAMP, read_response
from tanagerturn.clocks import boot_s
from tanagerturn.gateway.backends.pool import max_idle_s
from tanagerturn.gateway.backends.witnesses import WitnessCall

UPLOAD_BYTES = 3_000_000
"""Size of an upload that does not fit into the buffers of a connection."""

KEEP_ALIVE_S = 2

REPORT_AGE_S = 0.4
"""Time in seconds by which the state in a report is older than its request."""

ROUTES = (RESUMABLE, NOT_RESUMABLE)


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def use(engine, **methods):
    """Replace methods of an engine."""
    for name, method in methods.items():
        setattr(engine, name, method)


async def ask_each(context, paths, before_end, *, is_begun=None):
    """Ask for responses; call `before_end` and end them once all have begun."""
    world = context.world
    tasks = {path: asyncio.create_task(world.ask(path)) for path in paths}
    if is_begun is None:
        await world.wait_for_responses(len(tasks))
    else:
        async with asyncio.timeout(5):
            while not is_begun():
                await asyncio.sleep(0.01)
    before_end()
    world.engines[0].release.set()
    return {path: await task for path, task in tasks.items()}


@when("streams without a length are cut off and each new connection is reset")
def listener_closes_late(context):
    backend = context.world.engines[0].backend
    serve, is_ending = backend.serve, asyncio.Event()

    async def serve_or_reset(reader, writer):
        if not is_ending.is_set():
            await serve(reader, writer)
            return
        sock = writer.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    async def restart():
        server = await asyncio.start_server(serve_or_reset, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        backend.address = f"127.0.0.1:{port}"
        context.world.world.announce(backend, slots=200)
        paths = [f"{route}close/cut" for route in ROUTES]
        return await ask_each(context, paths, is_ending.set)

    context.responses = run(context, restart())
    context.streams, context.bodies = list(context.responses), []


@when("streams of a leaving engine are cut off and its reports are older than they")
def old_reports(context):
    world = context.world
    engine = world.engines[0]
    begin, begun_s = engine.begin, {}

    async def begin_timed(call, framing):
        begun_s[call.headers["x-request-id"]] = boot_s()
        await begin(call, framing)

    async def report(call):
        """Report the runs that had begun `REPORT_AGE_S` before."""
        state_s = boot_s() - REPORT_AGE_S
        runs = [
            [run_id, 100, engine.runs[run_id], 5]
            for run_id, at_s in begun_s.items()
            if at_s < state_s
        ]
        body = orjson.dumps({"leaves_ms": 900, "runs": runs}).decode()
        await call.answer(200, body, stamp=False)

    use(engine, begin=begin_timed, report=report)

    def leave():
        world.announce_second()
        world.announce_leaving()

    paths = [f"{route}close/cut" for route in ROUTES]
    context.responses = run(context, ask_each(context, paths, leave))


@when("generations of a {state} engine are cut off before their first event")
def no_event(context, state):
    world = context.world
    engine = world.engines[0]

    async def run_without_event(call, framing, story):
        del story
        await engine.begin(call, framing)
        await engine.release.wait()
        call.writer.close()

    use(engine, run=run_without_event)

    def leave():
        world.announce_second()
        if state == "leaving":
            world.announce_leaving()

    def is_begun():
        runs = world.world.relay.sender.running
        return sum(each.framing is not None for each in runs) == len(ROUTES)

    paths = [f"{route}close/cut" for route in ROUTES]
    context.responses = run(context, ask_each(context, paths, leave, is_begun=is_begun))


@when("moves stop streams without a length whose ids start at 100")
def high_ids(context):
    world = context.world
    engine = world.engines[0]
    send_event = engine.send_event

    async def send_high(call, framing, number):
        await send_event(call, framing, number + 99)

    use(engine, send_event=send_high)
    world.prompt = {**world.prompt, "X-Token-Usage": "10,80"}

    async def stop():
        path = f"{NOT_RESUMABLE}close/503"
        task = asyncio.create_task(world.ask(path))
        await world.wait_for_responses(1)
        while not all(
            each.progress.event_count == STOPPED_AFTER
            for each in world.world.relay.sender.running
        ):
            await asyncio.sleep(0.01)
        await world.leave()
        return {path: await task}

    context.responses = run(context, stop())
    assert len(engine.moved_ids) == 1


@then("no caller gets a success without all events")
def no_part_succeeds(context):
    wrong = [
        path
        for path, each in context.responses.items()
        if each.status == 200 and is_wrong(each)
    ]
    assert not wrong, context.responses


@then("no stream ends as complete")
def none_complete(context):
    whole = [path for path, each in context.responses.items() if each.is_whole]
    assert not whole, context.responses


@when("an engine ends a part of a response and resets the rest of a large upload")
def upload_reset(context):
    world = context.world
    limits = world.world.state.configuration.limits
    object.__setattr__(limits, "body_bytes", 2 * UPLOAD_BYTES)

    async def serve(reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line = next(each for each in head.split("\r\n") if "X-Request-Id" in each)
        lines = ["HTTP/1.1 200 X", line, STAMP, "Connection: close", "", ""]
        writer.write("\r\n".join(lines).encode() + BODY_PARTS[0])
        await writer.drain()
        # With unread input, the close resets the connection.
        writer.transport.pause_reading()
        await asyncio.sleep(0.02)
        sock = writer.transport.get_extra_info("socket")
        sock.shutdown(socket.SHUT_WR)
        writer.transport.abort()

    async def ask():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        backend = world.engines[0].backend
        backend.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        world.world.announce(backend, slots=200)
        reader, writer = await asyncio.open_connection(*world.address)
        lines = [
            "POST /buy/x HTTP/1.1",
            f"Host: {HOST}",
            "X-Request-Id: u1",
            "X-Deadline-Ms: 8000",
            f"Authorization: Bearer {KEY}",
            f"Content-Length: {UPLOAD_BYTES}",
            "Connection: close",
            "",
            "",
        ]
        writer.write("\r\n".join(lines).encode() + bytes(UPLOAD_BYTES))
        try:
            return await read_response(reader)
        finally:
            writer.close()

    context.response = run(context, ask())


@then("no caller gets the part as a whole response")
def part_not_whole(context):
    response = context.response
    assert response.status == 502, (response.status, response.body)


@when("the caller leaves as the connection that verifies its response opens")
def cancelled_check(context):
    world = context.world.world
    pool, state = world.state.pool, world.state
    backend = state.fleet.view.backends["i-1"]
    open_connection = pool.open
    context.opened = []

    async def check():
        task = asyncio.current_task()

        async def open_and_leave(*args):
            connection = await open_connection(*args)
            context.opened.append(connection)
            task.cancel()
            return connection

        pool.open = open_and_leave
        witnesses = world.relay.sender.end_verifier.witnesses
        await witnesses.claim(backend, WitnessCall("/v1/report", []), is_shared=True)

    async def ask():
        checking = asyncio.create_task(check())
        await asyncio.wait((checking,))
        assert checking.cancelled(), checking
        await asyncio.sleep(0)

    run(context, ask())


@then("the connection is closed, or the pool has it")
def connection_not_lost(context):
    (connection,) = context.opened
    idle = context.world.world.state.pool.idle_connections.get("i-1", [])
    assert connection.tcp.is_closing or connection in idle


@when("a whole response without a length announces an idle timeout of 2 s")
def announces_timeout(context):
    world = context.world
    engine = world.engines[0]
    send_head = engine.send_head

    async def send_with_timeout(call, *lines, status=200):
        line = f"Keep-Alive: timeout={KEEP_ALIVE_S}"
        await send_head(call, line, *lines, status=status)

    use(engine, send_head=send_with_timeout)
    response = run(context, world.ask("/look/close/whole"))
    assert response.body == b"".join(BODY_PARTS), response


@then("the connection that verified it is not reused after 1 s")
def not_reused(context):
    (connection,) = context.world.world.state.pool.idle_connections["i-1"]
    left_s = connection.idle_until_s - boot_s()
    assert left_s <= max_idle_s(KEEP_ALIVE_S), left_s

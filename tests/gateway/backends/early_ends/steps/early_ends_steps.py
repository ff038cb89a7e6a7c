"""Steps of early_ends.feature."""

from __future__ import annotations

import asyncio
import itertools
import time
from dataclasses import replace

from behave import given, then, when

from support.early_engine import EarlyEnd, EarlyEngine
from support.gateway_world import World
from tanagerturn.gateway.server import HttpServer

LIMITS = {
    "max_header_bytes": 2048,
    "max_body_bytes": 4_000_000,
    "header_timeout_ms": 300,
    "idle_timeout_ms": 1000,
}
SIZES = (100, 4_000, 65_536, 70_000, 300_000, 1_000_000, 3_500_000)
MOMENTS = ("nothing", "head", "part")
READ_SHARES = (0.0, 0.5, 1.0)
PATHS = ("/buy/1", "/look/1", "/draft/1", "/notes/1")


@given("a gateway that forwards {path} to a backend server")
def gateway(context, path):
    context.is_detour = path == "through a peer"
    context.engine = EarlyEngine("i-1")


async def start(context):
    """Start the gateway of the callers, and a peer where it has no path."""
    world = World(context.engine, limits=LIMITS)
    await world.start()
    context.closers.append(context.engine.stop)
    if not context.is_detour:
        return world
    peer_server = HttpServer(
        world.relay.handle_forwarded, lambda: world.state.configuration.limits
    )
    await peer_server.listen("127.0.0.1:0")
    port = peer_server.listener.sockets[0].getsockname()[1]
    front = World(limits=LIMITS)
    await front.start()
    front.state.settings = replace(front.state.settings, forwarding_port=port)
    front.state.peer_paths.set_peers({"g2": "127.0.0.1:1"}, {})
    front.state.lacks_path = lambda service, now_s: True
    context.peer_world = world
    return front


def forget_failures(context, world):
    """Let the next request be forwarded as the first was."""
    world.state.peer_paths.avoided_until_s.clear()
    for each in (world, getattr(context, "peer_world", world)):
        for engine in each.engines:
            each.state.fleet.view.forget(engine.id)
            each.announce(engine)


async def request(context, world, path, size, end):
    context.engine.end = end
    forget_failures(context, world)
    context.number = getattr(context, "number", 0) + 1
    headers = {"X-Request-Id": f"r{context.number}"}
    try:
        async with asyncio.timeout(5.0):
            return await world.send_request(path, body=bytes(size), headers=headers)
    except TimeoutError:
        return None


@when(
    "uploads of 100 bytes to 3.5 MB are reset before the head, after it and in the body"
)
def uploads(context):
    context.ends = [
        EarlyEnd(share, sent) for share, sent in itertools.product(READ_SHARES, MOMENTS)
    ]


@when("each reset comes before, during and after the upload, {times:d} times")
def resets(context, times):
    async def play():
        world = await start(context)
        context.answers = []
        for path in PATHS:
            for size, end in itertools.product(SIZES, context.ends * times):
                answer = await request(context, world, path, size, end)
                context.answers.append((path, size, end, answer))

    asyncio.run(play())


@then("none of {count:d} callers gets a complete answer, but an error or a cut part")
def none_complete(context, count):
    assert len(context.answers) == count, len(context.answers)
    wrong = [each for each in context.answers if not is_refused_or_cut(each[3])]
    assert not wrong, (len(wrong), wrong[:5])
    assert context.engine.request_count >= len(context.answers)


def is_refused_or_cut(answer):
    if answer is None:
        return False
    if answer.status == 200:
        return not answer.is_whole
    return answer.status in (502, 504)


@when("answers to uploads of 300 kB to 3.5 MB end in order, and the rest is {rest}")
def end_in_order(context, rest):
    end = EarlyEnd(0.0, "event", pause_s=0.02, is_half_closed=True)
    end = replace(end, reads_on=rest == "read", is_reset=rest == "reset")
    ends = [end, replace(end, read_share=0.5)] * 2

    async def play():
        world = await start(context)
        context.answers = [
            (path, size, each, await request(context, world, path, size, each))
            for path in PATHS
            for size, each in itertools.product(SIZES[-3:], ends)
        ]

    asyncio.run(play())


@then("{count:d} of {total:d} callers get an answer that is {how}")
def answers_are(context, count, total, how):
    assert len(context.answers) == total
    is_right = is_refused_or_cut if how == "incomplete" else is_complete
    wrong = [each for each in context.answers if not is_right(each[3])]
    assert len(wrong) == total - count, (len(wrong), wrong[:3])


def is_complete(answer):
    return answer is not None and answer.status == 200 and answer.is_whole


@when('the backend server answers requests of all kinds with "{line}"')
def answers_with(context, line):
    end = EarlyEnd(1.0, "part", status_line=line, is_reset=False)
    ends = [end, replace(end, framing="Content-Length: 400")]

    async def play():
        world = await start(context)
        context.answers = [
            (path, each, await request(context, world, path, 100, each))
            for path, each in itertools.product(PATHS, ends)
        ]

    asyncio.run(play())


@then("each caller gets 502, and none gets that status")
def each_502(context):
    statuses = [answer and answer.status for _, _, answer in context.answers]
    assert statuses == [502] * len(PATHS) * 2, statuses


@when("the backend server has sent a part and the gateway withdraws the request")
def withdraws(context):
    async def play():
        world = await start(context)
        loop = asyncio.get_running_loop()

        def withdraw():
            world.state.repeats.is_guilty = lambda fingerprint: True
            world.relay.sender.withdraw_quarantined()

        def on_part_sent():
            loop.call_soon_threadsafe(withdraw)
            # The engine's own end comes later than the gateway's.
            time.sleep(0.3)

        context.engine.on_part_sent = on_part_sent
        end = EarlyEnd(1.0, "part", pause_s=0.1)
        context.answer = await request(context, world, "/buy/1", 100, end)

    asyncio.run(play())


@then("the caller gets {status:d}")
def caller_gets(context, status):
    assert context.answer.status == status, context.answer

"""Steps of logs.feature."""

from __future__ import annotations

import asyncio
import re
from pathlib import Path

from behave import given, then, when
from loguru import logger

from support.framed_streams import FramedStream, event_text
from support.gateway_world import KEY, PROMPT_HEADERS, ScriptedBackend, World
from tanagerturn.clocks import boot_s
from tanagerturn.gateway.log_events import EVENTS
from tanagerturn.gateway.relay import MIGRATION_TIMEOUT_S
from tanagerturn.serving.streams.endings import Framing

SOURCE = Path(__file__).parents[4] / "src" / "tanagerturn"
LOG_CALL = re.compile(r"\.(?:debug|info|warning|error)\(\s*\"([a-z_]+)\"")
LOG_END_CALL = re.compile(r"log_end\(\s*(?:self\.)?state, run, \"([a-z_]+)\"")
MOVE_PATH = "/v1/kv-move"
MOVE_PAUSE_S = 0.2
"""Time in seconds between the answer to a move and the end of its stream."""

DUTIES_EVENT = re.compile(r"\"(duties_taken|duties_lost)\"")


@then("each event in the code is documented, and each documented one is logged")
def events_documented(context):
    found = set()
    for folder in ("gateway", "platform"):
        for path in (SOURCE / folder).rglob("*.py"):
            if path.name == "log_events.py":
                continue
            text = path.read_text(encoding="utf-8")
            for pattern in (LOG_CALL, LOG_END_CALL, DUTIES_EVENT):
                found.update(pattern.findall(text))
    assert found - set(EVENTS) == set(), found - set(EVENTS)
    assert set(EVENTS) - found == set(), set(EVENTS) - found


@given('a backend server that responds 200 with "{body}"')
def responds(context, body):
    async def script(call):
        await call.answer(200, body)

    context.engine = ScriptedBackend("i-1", [script])


@when('a caller posts "{body}" with an API key and without one')
def posts(context, body):
    lines = context.lines = []

    async def run():
        world = World(context.engine)
        await world.start()
        await world.send_request("/buy/1", body=body.encode())
        await world.send_request(
            "/buy/1", body=body.encode(), headers={"Authorization": ""}
        )

    sink = logger.add(lambda m: lines.append(f"{m.record['extra']} {m}"), level=0)
    try:
        asyncio.run(run())
    finally:
        logger.remove(sink)


@then("no log line contains the API key, the request body or the response body")
def no_secret_logged(context):
    text = "\n".join(context.lines)
    assert "answered" in text, text
    assert "refused" in text, text
    for secret in (KEY, "secret body", "secret answer"):
        assert secret not in text


@given("an engine that closes a {framing} stream after event 3 when it is moved")
def closes_moved_stream(context, framing):
    context.moved, context.move_answer = asyncio.Event(), ""

    async def script(call):
        if call.target == MOVE_PATH:
            await answer_move(context, call)
            return
        stream = FramedStream(call, Framing(framing))
        await stream.begin()
        for number in (1, 2, 3):
            await stream.event(number, "word")
        await context.moved.wait()
        stream.close()

    async def resume(call):
        stream = FramedStream(call, Framing.CHUNKED)
        await stream.begin()
        for number in (4, 5):
            await stream.event(number, "word")
        await stream.end()

    context.engines = [ScriptedBackend("i-1", [script])]
    context.engines.append(ScriptedBackend("i-2", [resume]))


async def answer_move(context, call):
    """Answer the order of a move, and stop its stream before or after that."""
    call.headers["x-request-id"] = ""
    if context.move_answer == "not at all":
        context.moved.set()
        await asyncio.sleep(MIGRATION_TIMEOUT_S + MOVE_PAUSE_S)
        return
    if context.move_answer == "with 200 after the end":
        context.moved.set()
        await asyncio.sleep(MOVE_PAUSE_S)
    status = context.move_answer.split()[1]
    body = '{"handle":"h7","made":3}' if status == "200" else "junk"
    await call.answer(200 if status == "junk" else int(status), body, stamp=False)
    await asyncio.sleep(MOVE_PAUSE_S)
    context.moved.set()


@given("the move is answered {answer}")
def set_move_answer(context, answer):
    context.move_answer = answer


@given("an engine that completes a {framing} stream of 3 events")
def completes_stream(context, framing):
    length_bytes = sum(len(event_text(number, "word")) for number in (1, 2, 3))

    async def script(call):
        stream = FramedStream(call, Framing(framing), length_bytes)
        await stream.begin()
        for number in (1, 2, 3):
            await stream.event(number, "word")
        await stream.end()

    context.engines = [ScriptedBackend("i-1", [script])]


def run_logged(context, action):
    """Run `action` on a gateway with the scenario's engines; keep its log lines."""
    context.records = []

    async def run():
        world = World(*context.engines[:1])
        await world.start()
        await action(world)

    def keep(message):
        record = message.record
        context.records.append({"event": record["message"], **record["extra"]})

    sink = logger.add(keep, level=0)
    try:
        asyncio.run(run())
    finally:
        logger.remove(sink)


@when('the engine is about to leave in the middle of a caller\'s stream to "{path}"')
def leaves_within_stream(context, path):
    async def action(world):
        request = asyncio.create_task(world.send_request(path, headers=PROMPT_HEADERS))
        await asyncio.sleep(MOVE_PAUSE_S)
        await context.engines[1].start()
        world.announce(context.engines[1])
        world.announce(context.engines[0], leaving=True, leaving_in_ms=500)
        world.relay.start_migrations(boot_s())
        await request
        while not any(line["event"] == "moved" for line in context.records):
            await asyncio.sleep(0.01)

    run_logged(context, action)


@when('a caller posts a prompt to "{path}"')
def posts_prompt(context, path):
    run_logged(context, lambda w: w.send_request(path, headers=PROMPT_HEADERS))


@then('the line that ends the attempt at the engine states "{framing}" and "{move}"')
def attempt_end_logged(context, framing, move):
    # Whether the attempt counts as complete is not the subject of this test.
    context.end = next(line for line in context.records if "framing" in line)
    assert context.end["event"] in ("answered", "attempt_broke"), context.end
    assert context.end["request"] == "r1"
    assert (context.end["framing"], context.end["move"]) == (framing, move), context.end


@then('the line on the move states its answer "{outcome}"')
def move_logged(context, outcome):
    (line,) = (line for line in context.records if line["event"] == "moved")
    assert (line["request"], line["source"], line["target"]) == ("r1", "i-1", "i-2")
    assert outcome in line["outcome"], line


@then("it states event {last:d} and {tokens:d} output tokens")
def last_event_logged(context, last, tokens):
    assert context.end["last_event"] == last, context.end
    assert context.end["max_output_tokens"] == tokens, context.end


@then("the check of its end is not logged")
def end_check_not_logged(context):
    assert not end_checks(context), context.records


@then('the check of its end is logged with the proof "{proof}"')
def end_check_logged(context, proof):
    (line,) = end_checks(context)
    assert (line["request"], line["backend"]) == ("r1", "i-1"), line
    assert (line["complete"], line["proof"]) == (True, proof), line
    assert (line["events"], line["max_output_tokens"]) == (3, 20), line


def end_checks(context):
    """Return the lines on the checks of the ends of responses."""
    return [line for line in context.records if line["event"] == "end_checked"]

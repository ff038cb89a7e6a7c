"""Steps of logs.feature."""

from __future__ import annotations

import asyncio
import re
from pathlib import Path

from behave import given, then, when
from loguru import logger

from support.gateway_world import KEY, ScriptedBackend, World
from tanagerturn.gateway.log_events import EVENTS

SOURCE = Path(__file__).parents[4] / "src" / "tanagerturn"
LOG_CALL = re.compile(r"\.(?:debug|info|warning|error)\(\s*\"([a-z_]+)\"")
LOG_END_CALL = re.compile(r"log_end\(\s*(?:self\.)?state, run, \"([a-z_]+)\"")
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
